//! Tasks whose workers are lost together with many others, and tasks that crash their workers
//! meanwhile.
//!
//! Guards against sound jobs that fail by chance while a share of all workers is lost again and
//! again, and against tasks that crash workers and are started too often because such losses don't
//! count.

mod sim;

use std::collections;

use wharflane::{id, job};
use wharflane_stand_in::cases;

use sim::losses::{AWAY_MS, crash, losses, replace_worker, task};

/// The job whose task loses workers.
const JOB: u64 = 10;
/// The number of workers at first; the simulation adds none for those that are lost.
const WORKERS: usize = 64;
/// The number of idle workers that are lost with that of the task: more than an eighth of all.
const OTHERS: usize = 10;
/// The most starts of a task that crashes each worker.
const MAX_STARTS: usize = 5;
/// How long a task runs before its worker is lost, in milliseconds; more than it is a suspect.
const RUN_MS: u64 = 2_200;
/// The time within which the next start is ordered once its worker is lost, in milliseconds.
const RESTART_MS: u64 = 2_000;

/// Returns a simulation in which a task has started.
fn started() -> sim::Sim {
    let mut sim = sim::Sim::new(WORKERS, Vec::new());
    sim.submit(JOB, "first", sim::step("plain", 1_000));
    sim.advance(100, false);
    sim
}

/// Makes idle workers silent and returns their numbers; those of each wave are others.
fn silence_idle(sim: &mut sim::Sim, wave: usize) -> Vec<usize> {
    let own = sim.newest_order(task(JOB)).worker;
    let idle = (wave * OTHERS..).filter(|at| sim::member(*at).incarnation != own);
    let idle: Vec<usize> = idle.take(OTHERS).collect();
    for at in &idle {
        sim.silent_workers.insert(sim::member(*at).incarnation);
    }
    idle
}

/// Loses the worker of the task and many others at one moment, after a given run time.
fn lose_with_others(sim: &mut sim::Sim, wave: usize, run_ms: u64) {
    sim.advance(run_ms, false);
    let others = silence_idle(sim, wave);
    crash(sim, JOB);
    for at in others {
        replace_worker(sim, &sim::member(at).incarnation);
    }
}

/// Loses the workers of all starts at one moment, after they have run for a while.
fn lose_all_started(sim: &mut sim::Sim) {
    sim.advance(RUN_MS, false);
    let started = sim.pending.iter().filter_map(|effect| match effect {
        job::Effect::Start(start) => Some(start.order.worker.clone()),
        _ => None,
    });
    let lost: collections::BTreeSet<id::Incarnation> = started.collect();
    sim.silent_workers.extend(lost.iter().cloned());
    sim.advance(AWAY_MS, false);
    lost.iter().for_each(|worker| replace_worker(sim, worker));
    sim.advance(RESTART_MS, false);
}

/// Returns a simulation of 200 workers, each of which runs a task.
fn large_fleet() -> sim::Sim {
    let mut sim = sim::Sim::new(200, Vec::new());
    sim.submit(JOB, "first", sim::step("plain", 9_000));
    sim.submit(JOB + 1, "first", job::Step { count: 199, ..sim::step("plain", 9_000) });
    sim.advance(RUN_MS, false);
    sim
}

/// Loses the worker of the task, and others that run something, each some time after the one
/// before; the task's is the last of `count`.
fn lose_started(sim: &mut sim::Sim, count: usize, apart_ms: u64) {
    let others = (0..).map(|index| job::TaskId { index, ..task(JOB + 1) });
    let mut lost: Vec<id::Incarnation> =
        others.take(count - 1).map(|other| sim.newest_order(other).worker).collect();
    lost.push(sim.newest_order(task(JOB)).worker);
    for worker in &lost {
        sim.silent_workers.insert(worker.clone());
        sim.advance(apart_ms, false);
    }
    sim.advance(AWAY_MS, false);
    lost.iter().for_each(|worker| replace_worker(sim, worker));
    sim.advance(RESTART_MS, false);
}

/// Returns the workers that run nothing.
fn idle_workers(sim: &sim::Sim, all: usize) -> Vec<id::Incarnation> {
    let busy = sim.pending.iter().filter_map(|effect| match effect {
        job::Effect::Start(start) => Some(&start.order.worker),
        _ => None,
    });
    let busy: collections::BTreeSet<&id::Incarnation> = busy.collect();
    let all = (0..all).map(|at| sim::member(at).incarnation);
    all.filter(|worker| !busy.contains(worker)).collect()
}

/// Advances the time until the task has started more often than before.
fn await_start(sim: &mut sim::Sim, before: usize) {
    for _ in 0..RESTART_MS / 20 {
        if sim.starts(JOB).len() > before {
            return;
        }
        sim.advance(20, false);
    }
    panic!("no start within {RESTART_MS} ms");
}

/// Loses the task's worker alone, some time after its last start.
fn lose_alone(sim: &mut sim::Sim) {
    sim.advance(RUN_MS, false);
    crash(sim, JOB);
    sim.advance(RESTART_MS, false);
}

/// Returns a simulation in which a task lost one worker alone and three with others.
fn with_one_single_loss_of_four() -> sim::Sim {
    let mut sim = started();
    lose_alone(&mut sim);
    for wave in 0..MAX_STARTS - 2 {
        lose_with_others(&mut sim, wave, RUN_MS);
        sim.advance(RESTART_MS, false);
    }
    sim
}

cases! {
    a_task_outlives_more_losses_than_allowed_if_they_come_with_many_others => {
        let mut sim = started();
        lose_alone(&mut sim);
        for wave in 0..MAX_STARTS {
            let before = sim.starts(JOB).len();
            lose_with_others(&mut sim, wave, RUN_MS);
            await_start(&mut sim, before);
        }
        assert_ne!(sim.phase(JOB), job::Phase::Failed);
    },
    correlated_losses_are_recorded_for_the_next_holder => {
        let mut sim = started();
        lose_alone(&mut sim);
        for wave in 0..2 {
            lose_with_others(&mut sim, wave, RUN_MS);
            sim.advance(RESTART_MS, false);
        }
        let losses = losses(&sim, JOB);
        let all = losses.suspected + losses.unexplained;
        assert_eq!((all, losses.correlated), (3, 2));
    },
    two_single_losses_among_five_fail_a_job => {
        let mut sim = with_one_single_loss_of_four();
        assert_ne!(sim.phase(JOB), job::Phase::Failed);
        lose_alone(&mut sim);
        assert_eq!(sim.phase(JOB), job::Phase::Failed);
    },
    a_start_waits_until_others_lost_at_the_same_moment_are_known => {
        let mut sim = with_one_single_loss_of_four();
        sim.advance(RUN_MS, false);
        let before = sim.starts(JOB).len();
        let others = silence_idle(&mut sim, MAX_STARTS);
        let own = sim.newest_order(task(JOB)).worker;
        sim.silent_workers.insert(own.clone());
        sim.advance(1_000, false);
        replace_worker(&mut sim, &own);
        sim.advance(400, false);
        assert_ne!(sim.phase(JOB), job::Phase::Failed);
        assert_eq!(sim.starts(JOB).len(), before);
        others.iter().for_each(|at| replace_worker(&mut sim, &sim::member(*at).incarnation));
        await_start(&mut sim, before);
    },
    // Guards against a decision before the list has dropped the other workers.
    workers_silent_since_the_same_moment_count_as_lost_with_it => {
        let mut sim = started();
        lose_alone(&mut sim);
        sim.advance(RUN_MS, false);
        silence_idle(&mut sim, 0);
        crash(&mut sim, JOB);
        sim.advance(RESTART_MS, false);
        assert_eq!(losses(&sim, JOB).correlated, 1);
    },
    workers_that_answer_again_do_not_count_as_lost => {
        let mut sim = started();
        lose_alone(&mut sim);
        sim.advance(RUN_MS, false);
        let others = silence_idle(&mut sim, 0);
        let own = sim.newest_order(task(JOB)).worker;
        sim.silent_workers.insert(own.clone());
        sim.advance(400, false);
        for at in others {
            sim.silent_workers.remove(&sim::member(at).incarnation);
        }
        sim.advance(1_500, false);
        replace_worker(&mut sim, &own);
        sim.advance(RESTART_MS, false);
        assert_eq!(losses(&sim, JOB).correlated, 0);
    },
    // Guards against a share of all workers that a rack, or a small wave, of a large fleet can't
    // reach.
    a_burst_of_losses_in_a_large_fleet_is_a_common_cause => {
        let mut sim = large_fleet();
        lose_started(&mut sim, 9, 0);
        assert_eq!(losses(&sim, JOB).correlated, 1);
    },
    losses_one_after_the_other_in_a_large_fleet_stand_alone => {
        let mut sim = large_fleet();
        lose_started(&mut sim, 9, 200);
        assert_eq!(losses(&sim, JOB).correlated, 0);
    },
    // Guards against tasks that crash workers together and excuse each other.
    tasks_that_began_together_do_not_excuse_each_other => {
        let mut sim = sim::Sim::new(WORKERS, Vec::new());
        sim.submit(JOB, "first", sim::step("plain", 9_000));
        sim.submit(JOB + 1, "first", job::Step { count: 12, ..sim::step("plain", 9_000) });
        sim.advance(100, false);
        lose_all_started(&mut sim);
        assert_eq!(losses(&sim, JOB).correlated, 1, "none of them had lost a worker before");
        lose_all_started(&mut sim);
        assert_eq!(losses(&sim, JOB).correlated, 1);
    },
    // Guards against comparing a loss with workers that live on although a task there began when
    // this one did: they would have been lost too if such tasks were the cause.
    living_workers_of_tasks_that_began_together_are_not_compared => {
        let all = 104;
        let mut sim = sim::Sim::new(all, Vec::new());
        sim.submit(JOB, "first", sim::step("plain", 9_000));
        sim.submit(JOB + 1, "first", job::Step { count: 40, ..sim::step("plain", 9_000) });
        sim.advance(100, false);
        lose_all_started(&mut sim);
        sim.advance(RUN_MS, false);
        // Fewer than an eighth of all workers, but more than that of those that run no such task.
        sim.silent_workers.extend(idle_workers(&sim, all).into_iter().take(4));
        crash(&mut sim, JOB);
        sim.advance(RESTART_MS, false);
        assert_eq!(losses(&sim, JOB).correlated, 2);
    },
    losses_at_the_moment_of_a_start_count_whatever_else_is_lost => {
        let mut sim = started();
        sim.advance(RUN_MS, false);
        crash(&mut sim, JOB);
        for wave in 0..2 {
            await_start(&mut sim, wave + 1);
            lose_with_others(&mut sim, wave, 0);
        }
        assert_eq!(losses(&sim, JOB).correlated, 0);
    },
}
