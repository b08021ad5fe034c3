//! Starts of tasks under which workers were lost: how far apart, and how long held back.

mod desk;

use wharflane::job;
use wharflane_stand_in::cases;

use desk::losses::crash;

/// The job under whose task workers are lost.
const JOB: u64 = 10;
/// The most starts of a task that crashes each worker.
const MOST_STARTS: usize = 5;
/// How long it is where no worker is lost any more.
const CALM_MS: u64 = 5_200;
/// How long one waits for a worker that has nothing else.
const EMPTY_MS: u64 = 1_700;
/// How long a task must be at work to be no suspect any more, and a look to tell so, in milliseconds.
const CLEARED_MS: u64 = 2_200;

/// Returns a lasting task.
fn lasting() -> job::Step {
    job::Step { lasting: true, ..desk::step("plain", 1_000) }
}

/// Returns a desk on which a task has started.
fn started(workers: usize, step: job::Step) -> desk::Desk {
    let mut desk = desk::Desk::new(workers, Vec::new());
    desk.submit(JOB, "first", step);
    desk.pass(100, false);
    desk
}

/// Lets the task lose three workers, each after it was at work for a while.
fn lose_three(desk: &mut desk::Desk) {
    for _ in 0..3 {
        desk.pass(CLEARED_MS, false);
        crash(desk, JOB);
        desk.pass(60, false);
    }
}

/// Returns how long the task waits for its next start while something happens every second, in milliseconds.
fn waits(desk: &mut desk::Desk, mut beside: impl FnMut(&mut desk::Desk, u64)) -> u64 {
    let before = desk.starts(JOB).len();
    for waited in 0..60 {
        for part in 0..10 {
            if desk.starts(JOB).len() > before {
                return waited * 1_000 + part * 100;
            }
            desk.pass(100, false);
        }
        beside(desk, waited);
    }
    panic!("never started");
}

/// Lets a task lose workers, each beside something that has just started, until it is given up.
fn beside_fresh_tasks(desk: &mut desk::Desk) {
    for fresh in 1..20 {
        desk.pass(CLEARED_MS, false);
        if desk.phase(JOB) == job::Phase::Failed {
            return;
        }
        for index in 0..12 {
            desk.submit(JOB + fresh * 100 + index, "first", desk::step("plain", 1_000));
        }
        desk.pass(40, false);
        crash(desk, JOB);
        desk.pass(CALM_MS + CLEARED_MS, false);
    }
}

cases! {
    // A culprit that takes its time was started without bound while something new stood beside it at each loss.
    a_culprit_at_work_beside_fresh_starts_is_given_up_after_five => {
        let mut desk = started(12, lasting());
        beside_fresh_tasks(&mut desk);
        assert_eq!(desk.phase(JOB), job::Phase::Failed);
        assert!(desk.starts(JOB).len() <= MOST_STARTS, "{} starts", desk.starts(JOB).len());
    },
    // Where every worker has a lasting task none ever becomes empty, and the fourth start must not wait for it.
    a_fourth_start_does_not_wait_for_a_worker_that_never_becomes_empty => {
        let mut desk = started(8, job::Step { lasting: true, ..desk::step("plain", 300) });
        for other in 0..8 {
            let step = job::Step { lasting: true, ..desk::step("plain", 6_000) };
            desk.submit(JOB + 1 + other, "first", step);
        }
        lose_three(&mut desk);
        let waited = waits(&mut desk, |_, _| {});
        assert!(waited <= CALM_MS + EMPTY_MS, "{waited} ms");
    },
}
