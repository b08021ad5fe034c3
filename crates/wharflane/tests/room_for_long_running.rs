//! Restarts of long-running tasks that lost their worker while the other workers are full, under a
//! load of many such tasks and of waiting short tasks.
//!
//! The sizes are those of a deployment of 490 workers of 16 cores that lost two racks and a quarter
//! of the other workers. Long-running tasks of 3.2 cores on average run four to a worker, and short
//! tasks of 2.6 cores wait for all free room. A long-running task of 3.85 cores that had to restart
//! found no room for 17 s, where 6 s are allowed.

mod sim;

use wharflane::job;
use wharflane_stand_in::cases;

/// The long-running task that never ends, in thousandths of a core: the room it leaves on a worker
/// is just too small for the restarting task.
const STAYS_MILLI: u64 = 12_200;
/// The long-running task that restarts, in thousandths of a core.
const RETURNS_MILLI: u64 = 3_850;
/// A short task, in thousandths of a core.
const SHORT_MILLI: u64 = 2_600;
/// The jobs of these tests: one that never ends, one that restarts, short ones that run, and short
/// ones that wait.
const JOBS: [u64; 4] = [1_000, 1_001, 2, 3];
/// How long a long-running task may be without a worker, in milliseconds: 6 s are allowed, and it
/// takes precedence after 3 s.
const AWAY_MS: u64 = 6_000;

/// Returns a step of one long-running task.
fn long_running(cpu_milli: u64) -> job::Step {
    sim::step("serving", cpu_milli)
}

/// Returns a step of `count` short tasks.
fn short(count: u32) -> job::Step {
    job::Step { count, ..sim::step("plain", SHORT_MILLI) }
}

/// Returns the id of a task of a job.
fn task(job: u64, index: u32) -> job::TaskId {
    job::TaskId { job: job::JobId(job), round: 0, step: 0, index }
}

/// Ends the short task that was started first and has not ended, on any worker but `spared`.
fn end_one_short_task(sim: &mut sim::Sim, spared: &wharflane::id::Incarnation) {
    let ended = |sim: &sim::Sim, task| sim.ended_runs.iter().any(|(_, end)| end.task == task);
    let short = JOBS[2..].iter().flat_map(|job| {
        sim.starts(*job).into_iter().map(|(index, _)| task(*job, index)).collect::<Vec<_>>()
    });
    let next = short
        .filter(|task| !ended(sim, *task))
        .find(|task| sim.newest_order(*task).worker != *spared);
    sim.end_task(next.expect("a short task that runs"), job::EndKind::Done);
}

cases! {
    room_is_reserved_on_a_worker_where_enough_becomes_free => {
        let [stays, returns, runs, waits] = JOBS;
        let mut sim = sim::Sim::new(2, Vec::new());
        sim.submit(stays, "first", long_running(STAYS_MILLI));
        sim.advance(200, false);
        sim.submit(returns, "first", long_running(RETURNS_MILLI));
        sim.advance(200, false);
        sim.submit(runs, "first", short(5));
        sim.advance(200, false);
        let full = sim.newest_order(task(stays, 0)).worker;
        assert_eq!(sim.starts(runs).len(), 5, "one beside the task that never ends, four on the other worker");
        sim.submit(waits, "first", short(40));
        sim.end_task(task(returns, 0), job::EndKind::Failed);
        sim.advance(3_400, false);
        // The room beside the task that never ends becomes free, and no other task may use it while
        // it is reserved.
        let beside = (0..5).map(|index| task(runs, index));
        let mut beside = beside.filter(|task| sim.newest_order(*task).worker == full);
        sim.end_task(beside.next().expect("a short task beside the task that never ends"), job::EndKind::Done);
        for _ in 0..(AWAY_MS - 3_400) / 500 {
            end_one_short_task(&mut sim, &full);
            sim.advance(500, false);
        }
        assert_eq!(sim.starts(returns).len(), 2, "the task restarts in time");
        assert_ne!(sim.newest_order(task(returns, 0)).worker, full);
    },
    room_is_reserved_where_only_the_end_of_a_long_running_task_frees_it => {
        let [stays, returns, runs, waits] = JOBS;
        let (goes, fills_up, beside) = (1_002, 1_003, 1_004);
        let mut sim = sim::Sim::new(3, Vec::new());
        // One worker gets two long-running tasks, one a larger one, and one the task that restarts.
        sim.submit(stays, "first", long_running(10_000));
        sim.advance(100, false);
        sim.submit(beside, "first", long_running(13_000));
        sim.advance(100, false);
        sim.submit(goes, "first", long_running(2_200));
        sim.advance(100, false);
        let here = sim.newest_order(task(stays, 0)).worker;
        let there = sim.newest_order(task(beside, 0)).worker;
        assert_eq!(sim.newest_order(task(goes, 0)).worker, here);
        sim.submit(1_005, "first", long_running(12_100));
        sim.advance(100, false);
        sim.submit(returns, "first", long_running(RETURNS_MILLI));
        sim.advance(100, false);
        let third = sim.newest_order(task(returns, 0)).worker;
        assert!(third != here && third != there);
        sim.submit(runs, "first", short(2));
        sim.advance(100, false);
        assert_eq!(sim.starts(runs).len(), 2, "one on each of the other workers");
        sim.submit(waits, "first", short(40));
        sim.end_task(task(returns, 0), job::EndKind::Failed);
        sim.advance(600, false);
        sim.submit(fills_up, "first", long_running(1_240));
        sim.advance(3_400, false);
        assert_eq!(sim.newest_order(task(fills_up, 0)).worker, third, "the third worker has too little room left for the restarting task");
        for index in 0..2 {
            if sim.newest_order(task(runs, index)).worker == here {
                sim.end_task(task(runs, index), job::EndKind::Done);
            }
        }
        sim.advance(600, false);
        sim.end_task(task(goes, 0), job::EndKind::Failed);
        sim.advance(600, false);
        assert_eq!(sim.starts(returns).len(), 2, "the reserved and the freed room are enough together");
        assert_eq!(sim.newest_order(task(returns, 0)).worker, here);
    },
}
