//! What a holder says of the jobs that wait: which it counts, and up to when its counts are true.

mod desk;

use std::time;

use wharflane::{job, rows};
use wharflane_stand_in::cases;

cases! {
    a_job_whose_only_start_is_never_taken_waits => never_taken(),
    a_job_whose_start_was_taken_waits_no_more => taken(),
    a_job_whose_start_was_refused_waits => refused(),
    a_job_whose_start_was_written_and_not_carried_out_waits_after_a_takeover => not_carried_out(),
    a_job_that_runs_waits_no_more_after_a_takeover => inherited_and_there(),
    a_job_with_a_done_task_waits_no_more_after_a_takeover => inherited_and_done(),
    a_start_that_nobody_tells_of_is_counted_as_waiting_after_a_bound => nobody_tells(),
    counts_of_a_silent_feed_stay_as_old_as_it_is => silent_feed(),
    a_holder_that_heard_of_no_job_counts_none => never_heard(),
    counts_are_renewed_where_nothing_changes => renewed(),
    the_age_of_counts_is_known_by_their_mark_only => ages(),
    counts_go_on_where_the_store_refuses_a_job => refused_job(),
    counts_go_on_where_the_store_refuses_what_was_learned => refused_learned(),
}

/// More answers than any case uses up.
const MANY: usize = 1_000;
/// Longer than a holder waits with its first count.
const SETTLED_MS: u64 = 2_000;

/// Returns how many jobs of the first queue are said to wait.
fn waiting(desk: &desk::Desk) -> u64 {
    let counts = desk.waiting().expect("counts");
    counts.queues.get("first").copied().unwrap_or(0)
}

/// Makes a desk with a job whose starts are answered in a way, and lets two seconds pass.
fn answered(answer: job::StartAnswer) -> desk::Desk {
    let mut desk = desk::Desk::new(1, Vec::new());
    desk.answers = std::iter::repeat_n(answer, MANY).collect();
    desk.submit(1, "first", desk::step("plain", 1_000));
    desk.pass(SETTLED_MS, false);
    desk
}

/// Gives no answer to any start.
fn never_taken() {
    let desk = answered(job::StartAnswer::Silent);
    assert!(!desk.not_taken.is_empty(), "starts were ordered");
    assert_eq!(waiting(&desk), 1);
}

/// Takes the start.
fn taken() {
    let desk = answered(job::StartAnswer::Taken);
    assert_eq!(waiting(&desk), 0);
}

/// Refuses every start for want of room.
fn refused() {
    let desk = answered(job::StartAnswer::Refused(job::StartRefusal::Room));
    assert!(!desk.not_taken.is_empty(), "starts were ordered");
    assert_eq!(waiting(&desk), 1);
}

/// Takes over a job whose start was written, on a worker that doesn't have it and takes none.
fn not_carried_out() {
    let mut desk = desk::Desk::after(1, desk::started_rows(), Vec::new());
    desk.answers = std::iter::repeat_n(job::StartAnswer::Silent, MANY).collect();
    desk.pass(SETTLED_MS, false);
    assert_eq!(waiting(&desk), 1);
}

/// Takes over a job whose task runs, as its worker says.
fn inherited_and_there() {
    let mut desk = desk::Desk::after(1, desk::started_rows(), Vec::new());
    let task = job::TaskId { job: job::JobId(1), round: 0, step: 0, index: 0 };
    desk.hear(0, vec![job::Running { task, run: 1, percent: 10, load: 0 }]);
    desk.answers = std::iter::repeat_n(job::StartAnswer::Silent, MANY).collect();
    desk.pass(SETTLED_MS, false);
    assert_eq!(waiting(&desk), 0);
}

/// Takes over a job of two tasks of which one is done and the other is taken by nobody.
fn inherited_and_done() {
    let two = || job::Step { count: 2, ..desk::step("plain", 1_000) };
    let mut before = desk::Desk::new(1, Vec::new());
    before.submit(1, "first", two());
    before.pass(200, false);
    let first = job::TaskId { job: job::JobId(1), round: 0, step: 0, index: 0 };
    before.end(first, job::EndKind::Done);
    before.pass(200, false);
    let job::Event::Jobs(jobs) = before.accepted(1, "first", two()) else {
        panic!("no rows");
    };
    let mut desk = desk::Desk::after(1, (jobs, before.table(job::PROGRESS)), Vec::new());
    desk.answers = std::iter::repeat_n(job::StartAnswer::Silent, MANY).collect();
    desk.pass(SETTLED_MS, false);
    assert_eq!(waiting(&desk), 0);
}

/// Takes over a job whose start was written for a worker that nobody lists.
fn nobody_tells() {
    let mut desk = desk::Desk::after(0, desk::started_rows(), Vec::new());
    desk.pass(1_400, false);
    assert_eq!(desk.waiting(), None, "nothing is known yet");
    desk.pass(SETTLED_MS, false);
    assert_eq!(waiting(&desk), 1);
}

/// Lets the feed of accepted jobs go silent while the holder goes on.
fn silent_feed() {
    let mut desk = desk::Desk::new(1, Vec::new());
    desk.pass(SETTLED_MS, false);
    let heard_ms = millis(&desk);
    desk.feed = false;
    let commits = desk.engine.holding().expect("a holder").dump().commits;
    desk.pass(5_000, false);
    assert!(desk.engine.holding().expect("a holder").dump().commits > commits + 2);
    let as_of_ms = desk.waiting().and_then(|counts| counts.as_of_ms).expect("a mark");
    assert!(as_of_ms <= heard_ms, "{as_of_ms} after {heard_ms}");
}

/// Never hears of the feed.
fn never_heard() {
    let mut desk = desk::Desk::new(1, Vec::new());
    desk.feed = false;
    desk.pass(5_000, false);
    assert_eq!(desk.waiting(), None);
}

/// Lets an idle holder go on and looks at the age of its counts all the time.
fn renewed() {
    let mut desk = desk::Desk::new(1, Vec::new());
    desk.pass(SETTLED_MS, false);
    let mut oldest = time::Duration::ZERO;
    for _ in 0..500 {
        desk.pass(20, false);
        let age = desk.waiting().and_then(|counts| counts.age(millis(&desk)));
        oldest = oldest.max(age.expect("an age"));
    }
    // The time between two commits without news, and one more tick.
    assert!(oldest <= time::Duration::from_millis(740), "{oldest:?}");
}

/// Asks counts of several kinds for their age.
fn ages() {
    let old: job::Waiting = serde_json::from_str(r#"{"queues":{"first":3}}"#).expect("counts");
    assert_eq!(old.age(5_000), None);
    let marked = job::Waiting { as_of_ms: Some(3_000), ..old };
    assert_eq!(marked.age(5_000), Some(time::Duration::from_secs(2)));
    // The store's clock went back: the mark says nothing.
    assert_eq!(marked.age(2_000), None);
}

/// Returns the time of a desk in milliseconds, which is what its store's clock shows.
fn millis(desk: &desk::Desk) -> u64 {
    u64::try_from(desk.now.as_millis()).expect("a small number")
}

/// Returns how old the counts of a desk are, in milliseconds, after the store has refused something for 20 s.
fn age_after(refuses: fn(&rows::Txn) -> bool) -> u64 {
    let mut desk = desk::Desk::new(1, Vec::new());
    desk.pass(SETTLED_MS, false);
    desk.refuses = refuses;
    desk.submit(7, "first", desk::step("plain", 1_000));
    desk.pass(20_000, false);
    assert!(desk.refusals > 0, "something was refused");
    let now_ms = u64::try_from(desk.now.as_millis()).expect("a small number");
    now_ms - desk.waiting().and_then(|counts| counts.as_of_ms).expect("a mark")
}

/// The progress of one job is refused.
fn refused_job() {
    let age_ms =
        age_after(|txn| txn.writes.iter().any(|w| w.key.name == job::JobId(7).to_string()));
    assert!(age_ms <= 2_000, "the counts of all queues are {age_ms} ms old");
}

/// What was learned is refused.
fn refused_learned() {
    let age_ms = age_after(|txn| txn.writes.iter().any(|w| w.key.table == job::LEARNED));
    assert!(age_ms <= 2_000, "the counts of all queues are {age_ms} ms old");
}
