//! Starts of tasks under which workers were lost: how far apart, how long held back, and what outlasts a holder.

mod desk;

use wharflane::job;
use wharflane_stand_in::cases;

use desk::losses::{AWAY_MS, crash, gone, losses, task};

/// The job under whose task workers are lost.
const JOB: u64 = 10;
/// The most starts of a task that crashes each worker.
const MOST_STARTS: usize = 5;
/// How long a start is held back at the most, and a pass to end it, in milliseconds.
const MOST_HELD_MS: u64 = 20_200;
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

/// Lets an idle worker go, of those that had nothing so far.
fn lose_idle(desk: &mut desk::Desk, at: usize) {
    gone(desk, &desk::member(at).incarnation);
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
    // A sound task lost its fourth and fifth worker while idle ones went, too, and was given up.
    a_fourth_start_waits_until_idle_workers_are_lost_no_more => {
        let mut desk = started(40, lasting());
        lose_three(&mut desk);
        let waited = waits(&mut desk, |desk, second| {
            if second < 6 {
                lose_idle(desk, 39 - usize::try_from(second).expect("small"));
            }
        });
        assert!((6_000..6_000 + CALM_MS).contains(&waited), "{waited} ms");
    },
    // A hold without an end would keep a job from all workers for as long as some are lost.
    a_fourth_start_is_held_back_for_a_bounded_time => {
        let mut desk = started(60, lasting());
        lose_three(&mut desk);
        let waited = waits(&mut desk, |desk, second| {
            lose_idle(desk, 59 - usize::try_from(second).expect("small"));
        });
        assert!(waited <= MOST_HELD_MS, "{waited} ms");
    },
    // A sound task went back four times to a worker that restarts again and again under its id.
    the_next_start_goes_to_a_worker_of_another_id => {
        let mut desk = desk::Desk::new(6, Vec::new());
        (0..6).for_each(|at| drop(desk.restart(at)));
        desk.submit(JOB, "first", lasting());
        desk.pass(300, false);
        let lost = desk.order_of(task(JOB)).worker.worker;
        let at = (0..6).find(|at| desk::member(*at).incarnation.worker == lost).expect("a worker");
        for other in 0..30 {
            desk.submit(JOB + 1 + other, "first", desk::step("plain", 500));
        }
        desk.pass(100, false);
        let next = desk.restart(at);
        desk.pass(4_000, false);
        assert_eq!(desk.starts(JOB).len(), 2);
        assert_ne!(desk.order_of(task(JOB)).worker.worker, next.worker);
    },
    // A fourth start beside others tells nothing: one worker is emptied for it.
    a_worker_is_emptied_for_a_fourth_start => {
        let mut desk = started(6, lasting());
        lose_three(&mut desk);
        for other in 0..30 {
            desk.submit(JOB + 1 + other, "first", desk::step("plain", 900));
        }
        waits(&mut desk, |_, _| {});
        let alone = desk.order_of(task(JOB)).worker;
        for other in 100..130 {
            desk.submit(JOB + other, "first", desk::step("plain", 900));
        }
        desk.pass(400, false);
        let beside = (100..130).filter(|job| {
            !desk.starts(JOB + job).is_empty() && desk.order_of(task(JOB + job)).worker == alone
        });
        assert_eq!(beside.count(), 0, "something new beside it");
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
    // A culprit had a sixth start, since the loss of its fourth worker was known only after the fifth start.
    a_fifth_start_waits_until_the_fate_of_the_fourth_is_known => {
        let mut desk = started(20, lasting());
        lose_three(&mut desk);
        waits(&mut desk, |_, _| {});
        let worker = desk.order_of(task(JOB)).worker;
        desk.silent.insert(worker.clone());
        let mut lapsed_ms = 0;
        while desk.engine.holding().expect("a holder").dump().placed > 0 {
            desk.pass(100, false);
            lapsed_ms += 100;
            assert!(lapsed_ms < 10_000, "leases that never lapse");
        }
        desk.pass(2_000, false);
        assert_eq!(desk.starts(JOB).len(), 4, "it may be lost");
        gone(&mut desk, &worker);
        desk.pass(CALM_MS + EMPTY_MS, false);
        assert_eq!(desk.starts(JOB).len(), 5, "it is");
        assert_eq!(losses(&desk, JOB).unexplained + losses(&desk, JOB).suspected, 4);
    },
    // A worker that stays out of reach and listed must not keep a task from all others.
    a_fate_that_stays_open_is_not_waited_for_without_bound => {
        let mut desk = started(20, lasting());
        lose_three(&mut desk);
        waits(&mut desk, |_, _| {});
        let worker = desk.order_of(task(JOB)).worker;
        desk.silent.insert(worker);
        let waited = waits(&mut desk, |_, _| {});
        assert!(waited <= 12_000, "{waited} ms");
    },
    // A run that an earlier holder saw at work counted as one that had just started.
    what_a_run_was_at_work_outlasts_the_holder => {
        let mut before = started(10, lasting());
        crash(&mut before, JOB);
        before.pass(CLEARED_MS + 1_000, false);
        let second = before.order_of(task(JOB)).worker;
        let job::Event::Jobs(jobs) = before.accepted(JOB, "first", lasting()) else {
            panic!("no rows");
        };
        let mut desk = desk::Desk::after(10, (jobs, before.table(job::PROGRESS)), Vec::new());
        desk.silent.insert(second.clone());
        desk.pass(AWAY_MS, false);
        gone(&mut desk, &second);
        desk.pass(100, false);
        assert_eq!(losses(&desk, JOB), job::Losses { suspected: 0, alone: 0, unexplained: 2 });
    },
    // A task that fails between the workers that it crashes had a sixth start, since only losses counted.
    starts_that_fail_after_the_third_loss_count_too => {
        let mut desk = started(20, desk::step("plain", 1_000));
        lose_three(&mut desk);
        for _ in 0..3 {
            desk.pass(CALM_MS + EMPTY_MS, false);
            desk.end(task(JOB), job::EndKind::Failed);
            desk.pass(100, false);
        }
        assert_eq!(desk.phase(JOB), job::Phase::Failed);
        assert!(desk.starts(JOB).len() <= MOST_STARTS, "{} starts", desk.starts(JOB).len());
    },
}
