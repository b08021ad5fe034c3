//! Starts of a task under which workers were lost: which workers may get them, how long they are
//! deferred, and what the next holder knows of the losses.
//!
//! The rules bound the number of starts of a task that crashes its workers, and prevent that a
//! sound task is given up when workers are lost for other reasons.

mod sim;

use wharflane::job;
use wharflane_stand_in::cases;

use sim::losses::{AWAY_MS, crash, losses, replace_worker, task};

/// The job whose task loses workers.
const JOB: u64 = 10;
/// The most starts of a task that crashes each worker.
const MAX_STARTS: usize = 5;
/// The longest time a start is held back, including the pass that ends it, in milliseconds.
const MAX_HELD_MS: u64 = 20_200;
/// How long a start is held back once no more workers are lost, in milliseconds.
const HELD_MS: u64 = 5_200;
/// How long a start waits for an empty worker, in milliseconds.
const EMPTY_WAIT_MS: u64 = 1_700;
/// How long a task must run until it is no longer a suspect, including the heartbeat that shows it,
/// in milliseconds.
const CLEARED_MS: u64 = 2_200;

/// Returns a step of one long-running task.
fn long_running() -> job::Step {
    job::Step { lasting: true, ..sim::step("plain", 1_000) }
}

/// Returns a simulation in which a task has started.
fn started(workers: usize, step: job::Step) -> sim::Sim {
    let mut sim = sim::Sim::new(workers, Vec::new());
    sim.submit(JOB, "first", step);
    sim.advance(100, false);
    sim
}

/// The longest time for which a job may run nothing in an idle service, in milliseconds.
const STARVING_MS: u64 = 3_000;

/// Returns a step of one batch task.
fn batch() -> job::Step {
    sim::step("plain", 1_000)
}

/// Loses a worker that has run nothing so far.
fn lose_idle_worker(sim: &mut sim::Sim, at: usize) {
    replace_worker(sim, &sim::member(at).incarnation);
}

/// Loses three workers of the task, each after the task has run long enough to be no suspect.
fn lose_three_workers(sim: &mut sim::Sim) {
    for _ in 0..3 {
        sim.advance(CLEARED_MS, false);
        crash(sim, JOB);
        sim.advance(60, false);
    }
}

/// Returns how long the task waits for its next start, in milliseconds, while `beside` is called
/// every second.
fn waits_ms(sim: &mut sim::Sim, mut beside: impl FnMut(&mut sim::Sim, u64)) -> u64 {
    let before = sim.starts(JOB).len();
    for waited in 0..60 {
        for part in 0..10 {
            if sim.starts(JOB).len() > before {
                return waited * 1_000 + part * 100;
            }
            sim.advance(100, false);
        }
        beside(sim, waited);
    }
    panic!("the task never started again");
}

/// Loses workers of the task, each beside freshly started tasks, until the task is given up.
fn lose_workers_beside_fresh_tasks(sim: &mut sim::Sim) {
    for fresh in 1..20 {
        sim.advance(CLEARED_MS, false);
        if sim.phase(JOB) == job::Phase::Failed {
            return;
        }
        for index in 0..12 {
            sim.submit(JOB + fresh * 100 + index, "first", sim::step("plain", 1_000));
        }
        sim.advance(40, false);
        crash(sim, JOB);
        sim.advance(HELD_MS + CLEARED_MS, false);
    }
}

/// Loses workers of the task, and idle ones all the while, and returns how long the task waits for
/// its start after the last loss, in milliseconds. A worker is silent from its loss on.
fn waits_after_losses_ms(sim: &mut sim::Sim, lost: usize) -> u64 {
    for _ in 1..lost {
        sim.advance(CLEARED_MS, false);
        let before = sim.starts(JOB).len();
        crash(sim, JOB);
        for _ in 0..100 {
            if sim.starts(JOB).len() > before {
                break;
            }
            sim.advance(100, false);
        }
    }
    sim.advance(CLEARED_MS, false);
    let (before, at) = (sim.starts(JOB).len(), sim.now);
    crash(sim, JOB);
    for tick in 0..1_500 {
        if sim.starts(JOB).len() > before {
            return u64::try_from((sim.now - at).as_millis()).expect("fits into u64");
        }
        if tick % 25 == 0 && tick < 500 {
            lose_idle_worker(sim, 39 - tick / 25);
        }
        sim.advance(20, false);
    }
    panic!("the task never started again");
}

cases! {
    // The start of a batch task waited up to 20 s for calm in an idle service, where its job may run
    // nothing for 3 s.
    a_fourth_start_of_a_batch_task_waits_no_longer_than_its_job_may_run_nothing => {
        let waited = waits_after_losses_ms(&mut started(40, batch()), 3);
        assert!(waited <= STARVING_MS, "{waited} ms");
    },
    the_fourth_start_of_a_gang_waits_no_longer_either => {
        let mut sim = started(40, job::Step { count: 2, gang: true, ..sim::step("plain", 9_000) });
        let partner = job::TaskId { index: 1, ..task(JOB) };
        for lost in 1..=3 {
            sim.advance(CLEARED_MS, false);
            let before = sim.starts(JOB).len();
            crash(&mut sim, JOB);
            // The other member runs up to here.
            let at = sim.now;
            sim.end_task(partner, job::EndKind::Broken);
            lose_idle_worker(&mut sim, 40 - lost);
            for _ in 0..500 {
                if sim.starts(JOB).len() > before {
                    break;
                }
                sim.advance(20, false);
            }
            let waited = u64::try_from((sim.now - at).as_millis()).expect("fits into u64");
            assert!(waited <= STARVING_MS, "{waited} ms");
        }
    },
    // The next loss fails the job for good, so it must not be by chance.
    the_last_start_of_a_batch_task_waits_while_idle_workers_are_lost => {
        let waited = waits_after_losses_ms(&mut started(40, batch()), 4);
        assert!(waited > 10_000, "{waited} ms");
    },
    a_fourth_start_waits_while_another_task_of_its_job_runs => {
        let step = job::Step { count: 2, max_per_worker: Some(1), ..batch() };
        let waited = waits_after_losses_ms(&mut started(40, step), 3);
        assert!(waited > 2 * STARVING_MS, "{waited} ms");
    },
    a_fourth_start_waits_in_a_service_that_is_mostly_in_use => {
        let mut sim = started(40, batch());
        for at in 40..100 {
            let member = job::Member { labels: vec!["busy".to_owned()], ..sim::member(at) };
            sim.handle(job::Event::Member(member.incarnation.worker.clone(), Some(member)));
        }
        let step = job::Step { count: 60, max_per_worker: Some(1), ..long_running() };
        let size = sim::step("plain", 14_000).size;
        sim.submit(JOB + 1, "first", job::Step { label: Some("busy".to_owned()), size, ..step });
        let waited = waits_after_losses_ms(&mut sim, 3);
        assert!(waited > 2 * STARVING_MS, "{waited} ms");
    },
    // A task that crashes its worker only after a while had unlimited starts, since each loss was
    // attributed to a freshly started task beside it.
    a_culprit_at_work_beside_fresh_starts_is_given_up_after_five => {
        let mut sim = started(12, batch());
        lose_workers_beside_fresh_tasks(&mut sim);
        assert_eq!(sim.phase(JOB), job::Phase::Failed);
        assert!(sim.starts(JOB).len() <= MAX_STARTS, "{} starts", sim.starts(JOB).len());
    },
    a_long_running_culprit_at_work_beside_fresh_starts_is_withheld_after_five => {
        let mut sim = started(12, long_running());
        lose_workers_beside_fresh_tasks(&mut sim);
        assert_eq!(sim.phase(JOB), job::Phase::Running);
        assert_eq!(sim.engine.holding().expect("a holder").withheld(), 1);
        assert!(sim.starts(JOB).len() <= MAX_STARTS, "{} starts", sim.starts(JOB).len());
    },
    // A sound task was given up after it had lost its fourth and fifth worker while idle workers
    // were lost, too.
    a_fourth_start_waits_while_idle_workers_are_lost => {
        let mut sim = started(40, long_running());
        lose_three_workers(&mut sim);
        let waited = waits_ms(&mut sim, |sim, second| {
            if second < 6 {
                lose_idle_worker(sim, 39 - usize::try_from(second).expect("fits into usize"));
            }
        });
        assert!((6_000..6_000 + HELD_MS).contains(&waited), "{waited} ms");
    },
    // An unbounded delay would keep a job from all workers for as long as any worker is lost.
    a_fourth_start_is_held_back_for_a_bounded_time => {
        let mut sim = started(60, long_running());
        lose_three_workers(&mut sim);
        let waited = waits_ms(&mut sim, |sim, second| {
            lose_idle_worker(sim, 59 - usize::try_from(second).expect("fits into usize"));
        });
        assert!(waited <= MAX_HELD_MS, "{waited} ms");
    },
    // A sound task was started four times on a worker that kept restarting under its id.
    the_next_start_avoids_the_worker_id_of_the_loss => {
        let mut sim = sim::Sim::new(6, Vec::new());
        (0..6).for_each(|at| drop(sim.restart(at)));
        sim.submit(JOB, "first", long_running());
        sim.advance(300, false);
        let lost = sim.newest_order(task(JOB)).worker.worker;
        let at = (0..6).find(|at| sim::member(*at).incarnation.worker == lost).expect("a worker");
        for other in 0..30 {
            sim.submit(JOB + 1 + other, "first", sim::step("plain", 500));
        }
        sim.advance(100, false);
        let next = sim.restart(at);
        sim.advance(4_000, false);
        assert_eq!(sim.starts(JOB).len(), 2);
        assert_ne!(sim.newest_order(task(JOB)).worker.worker, next.worker);
    },
    // A fourth start beside other tasks shows nothing about the cause, so one worker is emptied for
    // it.
    a_worker_is_emptied_for_a_fourth_start => {
        let mut sim = started(6, long_running());
        lose_three_workers(&mut sim);
        for other in 0..30 {
            sim.submit(JOB + 1 + other, "first", sim::step("plain", 900));
        }
        waits_ms(&mut sim, |_, _| {});
        let isolated = sim.newest_order(task(JOB)).worker;
        for other in 100..130 {
            sim.submit(JOB + other, "first", sim::step("plain", 900));
        }
        sim.advance(400, false);
        let beside = (100..130).filter(|job| {
            !sim.starts(JOB + job).is_empty() && sim.newest_order(task(JOB + job)).worker == isolated
        });
        assert_eq!(beside.count(), 0, "a new task was started beside it");
    },
    // If every worker runs a long-running task, none ever becomes empty; the fourth start must not
    // wait for one.
    a_fourth_start_does_not_wait_for_a_worker_that_never_becomes_empty => {
        let mut sim = started(8, job::Step { lasting: true, ..sim::step("plain", 300) });
        for other in 0..8 {
            let step = job::Step { lasting: true, ..sim::step("plain", 6_000) };
            sim.submit(JOB + 1 + other, "first", step);
        }
        lose_three_workers(&mut sim);
        let waited = waits_ms(&mut sim, |_, _| {});
        assert!(waited <= HELD_MS + EMPTY_WAIT_MS, "{waited} ms");
    },
    // A task that crashes its workers had a sixth start, since the loss of its fourth worker became
    // known only after the fifth start.
    a_fifth_start_waits_until_the_outcome_of_the_fourth_is_known => {
        let mut sim = started(20, long_running());
        lose_three_workers(&mut sim);
        waits_ms(&mut sim, |_, _| {});
        let worker = sim.newest_order(task(JOB)).worker;
        sim.silent_workers.insert(worker.clone());
        let mut expired_ms = 0;
        while sim.engine.holding().expect("a holder").dump().placed > 0 {
            sim.advance(100, false);
            expired_ms += 100;
            assert!(expired_ms < 10_000, "the leases never expire");
        }
        sim.advance(2_000, false);
        assert_eq!(sim.starts(JOB).len(), 4, "the fourth run may be lost");
        replace_worker(&mut sim, &worker);
        sim.advance(HELD_MS + EMPTY_WAIT_MS, false);
        assert_eq!(sim.starts(JOB).len(), 5, "the fourth run is lost");
        assert_eq!(losses(&sim, JOB).unexplained + losses(&sim, JOB).suspected, 4);
    },
    // A worker that stays unreachable but listed must not keep the task from all other workers.
    a_fifth_start_waits_a_bounded_time_for_an_unknown_outcome => {
        let mut sim = started(20, long_running());
        lose_three_workers(&mut sim);
        waits_ms(&mut sim, |_, _| {});
        let worker = sim.newest_order(task(JOB)).worker;
        sim.silent_workers.insert(worker);
        let waited = waits_ms(&mut sim, |_, _| {});
        assert!(waited <= 12_000, "{waited} ms");
    },
    // A run that the previous holder had seen running was counted as freshly started.
    what_a_run_was_observed_to_do_is_kept_for_the_next_holder => {
        let mut before = started(10, long_running());
        crash(&mut before, JOB);
        before.advance(CLEARED_MS + 1_000, false);
        let second = before.newest_order(task(JOB)).worker;
        let job::Event::Jobs(jobs) = before.accepted(JOB, "first", long_running()) else {
            panic!("no rows");
        };
        let mut sim = sim::Sim::taking_over(10, (jobs, before.table(job::PROGRESS)), Vec::new());
        sim.silent_workers.insert(second.clone());
        sim.advance(AWAY_MS, false);
        replace_worker(&mut sim, &second);
        sim.advance(100, false);
        assert_eq!(losses(&sim, JOB), job::Losses { unexplained: 2, ..job::Losses::default() });
    },
    // A task that fails between the starts that crash workers had a sixth start, since only losses
    // were counted.
    starts_that_fail_after_the_third_loss_count_too => {
        let mut sim = started(20, sim::step("plain", 1_000));
        lose_three_workers(&mut sim);
        for _ in 0..3 {
            sim.advance(HELD_MS + EMPTY_WAIT_MS, false);
            sim.end_task(task(JOB), job::EndKind::Failed);
            sim.advance(100, false);
        }
        assert_eq!(sim.phase(JOB), job::Phase::Failed);
        assert!(sim.starts(JOB).len() <= MAX_STARTS, "{} starts", sim.starts(JOB).len());
    },
}
