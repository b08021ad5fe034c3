//! Starts kept for starving tasks that passes don't come to.
//!
//! Guards against jobs that run nothing for as long as the groups before theirs take all starts that
//! their host can send, and against too many starts withheld from those groups.

mod sim;

use wharflane::job;
use wharflane_stand_in::cases;

/// The job with more tasks than its host can start.
const WIDE: u64 = 10;
/// The first of the jobs that come after it.
const SINGLE: u64 = 100;
/// Starts that the host can send after each pass.
const LIMIT: usize = 32;

/// Runs a wide job and others of one task each, which no pass comes to; returns how many tasks of
/// the wide job and how many of the others have started.
fn play(singles: u64, limit: usize, single: &job::Step) -> (usize, usize) {
    let mut sim = sim::Sim::new(100, Vec::new());
    sim.advance(1_000, false);
    let starts = Some(job::Starts { unsent: job::Unsent::default(), limit });
    sim.engine.set_pace(job::Pace { starts, ..job::Pace::default() });
    sim.submit(WIDE, "first", job::Step { count: 20_000, ..sim::step("plain", 10) });
    let singles = SINGLE..SINGLE + singles;
    for job in singles.clone() {
        sim.submit(job, "last", single.clone());
    }
    sim.advance(3_000, false);
    let started = singles.filter(|job| !sim.starts(*job).is_empty()).count();
    (sim.starts(WIDE).len(), started)
}

cases! {
    all_jobs_that_no_pass_comes_to_run_within_the_bound => {
        let (wide, singles) = play(60, LIMIT, &sim::step("filling", 10));
        assert!(wide < 20_000, "the host could start all tasks");
        assert_eq!(singles, 60);
    },
    a_host_that_sends_one_start_a_pass_serves_them_in_turn => {
        let (_, singles) = play(2, 1, &sim::step("filling", 10));
        assert_eq!(singles, 2);
    },
    a_quarter_of_the_starts_is_kept_at_most => {
        let (wide, singles) = play(2_000, LIMIT, &sim::step("filling", 10));
        // They starve in the second half of the time.
        assert!(singles * 8 <= wide + singles, "{singles} beside {wide}");
    },
    tasks_that_fit_nowhere_hold_back_one_start_a_pass => {
        let nowhere = job::Step { label: Some("rare".to_owned()), ..sim::step("filling", 10) };
        let (wide, singles) = play(2_000, LIMIT, &sim::step("filling", 10));
        let (beside_nowhere, none) = play(2_000, LIMIT, &nowhere);
        assert_eq!(none, 0);
        let all = wide + singles;
        assert!(beside_nowhere * LIMIT >= all * (LIMIT - 1), "{beside_nowhere} of {all}");
    },
}
