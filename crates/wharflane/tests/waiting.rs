//! The counts of waiting jobs that a holder publishes: which jobs they include, and up to which
//! time they hold.

mod sim;

use std::time;

use wharflane::{job, rows};
use wharflane_stand_in::cases;

cases! {
    a_job_whose_starts_are_never_answered_waits => starts_never_answered(),
    a_job_whose_start_was_accepted_does_not_wait => start_accepted(),
    a_job_whose_start_was_refused_waits => starts_refused(),
    a_job_whose_recorded_start_was_not_carried_out_waits_after_a_takeover => recorded_start_not_carried_out(),
    a_running_job_does_not_wait_after_a_takeover => inherited_and_running(),
    a_job_with_a_completed_task_does_not_wait_after_a_takeover => inherited_and_done(),
    a_job_whose_recorded_worker_is_not_listed_waits_after_a_bound => worker_not_listed(),
    counts_are_no_newer_than_the_last_report_of_the_feed => silent_feed(),
    a_holder_without_an_event_of_the_feed_publishes_no_counts => feed_without_events(),
    counts_are_renewed_while_nothing_changes => renewed(),
    the_age_of_counts_is_known_only_from_their_time_stamp => age_by_time_stamp(),
    counts_are_published_while_the_store_refuses_a_job => refused_job(),
    counts_are_published_while_the_store_refuses_learned_rows => refused_learned_rows(),
}

/// More answers than any case uses up.
const MANY_ANSWERS: usize = 1_000;
/// Longer than a holder needs to publish its first counts, in milliseconds.
const SETTLED_MS: u64 = 2_000;

/// Returns the published number of waiting jobs of the first queue.
fn waiting(sim: &sim::Sim) -> u64 {
    let counts = sim.waiting().expect("counts");
    counts.queues.get("first").copied().unwrap_or(0)
}

/// Returns a simulation with a job whose starts all get the same answer, two seconds after it was
/// submitted.
fn all_starts_answered(answer: job::StartAnswer) -> sim::Sim {
    let mut sim = sim::Sim::new(1, Vec::new());
    sim.start_answers = std::iter::repeat_n(answer, MANY_ANSWERS).collect();
    sim.submit(1, "first", sim::step("plain", 1_000));
    sim.advance(SETTLED_MS, false);
    sim
}

/// Checks that a job waits while no start of it is answered.
fn starts_never_answered() {
    let sim = all_starts_answered(job::StartAnswer::Silent);
    assert!(!sim.not_taken.is_empty(), "starts were ordered");
    assert_eq!(waiting(&sim), 1);
}

/// Checks that a job no longer waits once a start of it was accepted.
fn start_accepted() {
    let sim = all_starts_answered(job::StartAnswer::Taken { clock_ms: None });
    assert_eq!(waiting(&sim), 0);
}

/// Checks that a job waits while every start of it is refused for lack of room.
fn starts_refused() {
    let sim = all_starts_answered(job::StartAnswer::Refused(job::StartRefusal::Room));
    assert!(!sim.not_taken.is_empty(), "starts were ordered");
    assert_eq!(waiting(&sim), 1);
}

/// Checks that an inherited job waits if its worker does not run the recorded start and answers no
/// other.
fn recorded_start_not_carried_out() {
    let mut sim = sim::Sim::taking_over(1, sim::started_rows(), Vec::new());
    sim.start_answers = std::iter::repeat_n(job::StartAnswer::Silent, MANY_ANSWERS).collect();
    sim.advance(SETTLED_MS, false);
    assert_eq!(waiting(&sim), 1);
}

/// Checks that an inherited job does not wait if its worker reports that its task runs.
fn inherited_and_running() {
    let mut sim = sim::Sim::taking_over(1, sim::started_rows(), Vec::new());
    let task = job::TaskId { job: job::JobId(1), round: 0, step: 0, index: 0 };
    sim.report_running(0, vec![job::Running { task, run: 1, percent: 10, load: 0 }]);
    sim.start_answers = std::iter::repeat_n(job::StartAnswer::Silent, MANY_ANSWERS).collect();
    sim.advance(SETTLED_MS, false);
    assert_eq!(waiting(&sim), 0);
}

/// Checks that an inherited job of two tasks does not wait if one of them is done, although no
/// worker answers a start of the other.
fn inherited_and_done() {
    let two = || job::Step { count: 2, ..sim::step("plain", 1_000) };
    let mut before = sim::Sim::new(1, Vec::new());
    before.submit(1, "first", two());
    before.advance(200, false);
    let first = job::TaskId { job: job::JobId(1), round: 0, step: 0, index: 0 };
    before.end_task(first, job::EndKind::Done);
    before.advance(200, false);
    let job::Event::Jobs(jobs) = before.accepted(1, "first", two()) else {
        panic!("no rows");
    };
    let mut sim = sim::Sim::taking_over(1, (jobs, before.table(job::PROGRESS)), Vec::new());
    sim.start_answers = std::iter::repeat_n(job::StartAnswer::Silent, MANY_ANSWERS).collect();
    sim.advance(SETTLED_MS, false);
    assert_eq!(waiting(&sim), 0);
}

/// Checks that an inherited job whose recorded worker is not listed is counted, but only after a
/// bound.
fn worker_not_listed() {
    let mut sim = sim::Sim::taking_over(0, sim::started_rows(), Vec::new());
    sim.advance(1_400, false);
    assert_eq!(sim.waiting(), None, "no counts are published yet");
    sim.advance(SETTLED_MS, false);
    assert_eq!(waiting(&sim), 1);
}

/// Checks that counts are no newer than the last report of the feed of accepted jobs, although the
/// holder keeps committing.
fn silent_feed() {
    let mut sim = sim::Sim::new(1, Vec::new());
    sim.advance(SETTLED_MS, false);
    let up_to_ms = millis(&sim);
    sim.feed_reports = false;
    let commits = sim.engine.holding().expect("a holder").dump().commits;
    sim.advance(5_000, false);
    assert!(sim.engine.holding().expect("a holder").dump().commits > commits + 2);
    let as_of_ms = sim.waiting().and_then(|counts| counts.as_of_ms).expect("a time stamp");
    assert!(as_of_ms <= up_to_ms, "{as_of_ms} after {up_to_ms}");
}

/// Checks that a holder that never got an event of the feed publishes no counts.
fn feed_without_events() {
    let mut sim = sim::Sim::new(1, Vec::new());
    sim.feed_reports = false;
    sim.advance(5_000, false);
    assert_eq!(sim.waiting(), None);
}

/// Checks that an idle holder renews its counts regularly.
fn renewed() {
    let mut sim = sim::Sim::new(1, Vec::new());
    sim.advance(SETTLED_MS, false);
    let mut oldest = time::Duration::ZERO;
    for _ in 0..500 {
        sim.advance(20, false);
        let age = sim.waiting().and_then(|counts| counts.age(millis(&sim)));
        oldest = oldest.max(age.expect("an age"));
    }
    // The time between two commits without changes, plus one tick.
    assert!(oldest <= time::Duration::from_millis(740), "{oldest:?}");
}

/// Checks that the age of counts is known only from their time stamp.
fn age_by_time_stamp() {
    let old: job::Waiting = serde_json::from_str(r#"{"queues":{"first":3}}"#).expect("counts");
    assert_eq!(old.age(5_000), None);
    let marked = job::Waiting { as_of_ms: Some(3_000), ..old };
    assert_eq!(marked.age(5_000), Some(time::Duration::from_secs(2)));
    // The store's clock went back, so that the time stamp is of no use.
    assert_eq!(marked.age(2_000), None);
}

/// Returns the current time of a simulation in milliseconds, as the clock of its store shows it.
fn millis(sim: &sim::Sim) -> u64 {
    u64::try_from(sim.now.as_millis()).expect("fits into u64")
}

/// Returns the age of the counts in milliseconds after the store has refused some transactions for
/// 20 s.
fn age_after(refuses: fn(&rows::Txn) -> bool) -> u64 {
    let mut sim = sim::Sim::new(1, Vec::new());
    sim.advance(SETTLED_MS, false);
    sim.refuses_txn = refuses;
    sim.submit(7, "first", sim::step("plain", 1_000));
    sim.advance(20_000, false);
    assert!(sim.refusals > 0, "something was refused");
    let now_ms = u64::try_from(sim.now.as_millis()).expect("fits into u64");
    now_ms - sim.waiting().and_then(|counts| counts.as_of_ms).expect("a time stamp")
}

/// Checks that counts are published while the store refuses the progress of one job.
fn refused_job() {
    let age_ms =
        age_after(|txn| txn.writes.iter().any(|w| w.key.name == job::JobId(7).to_string()));
    assert!(age_ms <= 2_000, "the counts of all queues are {age_ms} ms old");
}

/// Checks that counts are published while the store refuses learned rows.
fn refused_learned_rows() {
    let age_ms = age_after(|txn| txn.writes.iter().any(|w| w.key.table == job::LEARNED));
    assert!(age_ms <= 2_000, "the counts of all queues are {age_ms} ms old");
}
