//! Lasting tasks that lost their worker while the rest is full: a load of many such tasks and short ones that wait.
//!
//! The figures are those of a deployment of 490 workers of 16 cores on which two racks and a quarter of the others were
//! lost: lasting tasks of 3.2 cores in the mean stand four to a worker, short ones of 2.6 cores wait for every room,
//! and a lasting task of 3.85 cores that came back found none for 17 s, where 6 s are allowed.

mod desk;

use wharflane::job;
use wharflane_stand_in::cases;

/// The lasting task that never ends, in thousandths of a core: what it leaves of a worker is just too small.
const STAYS_MILLI: u64 = 12_200;
/// The lasting task that comes back.
const RETURNS_MILLI: u64 = 3_850;
/// A short task.
const SHORT_MILLI: u64 = 2_600;
/// The jobs of these tests: one that stays, one that returns, short ones that run, short ones that wait.
const JOBS: [u64; 4] = [1_000, 1_001, 2, 3];
/// How long a lasting task may be away: the users allow 6 s, and it goes first after 3 s.
const AWAY_MS: u64 = 6_000;

/// Returns a step of so many lasting tasks.
fn lasting(cpu_milli: u64) -> job::Step {
    desk::step("serving", cpu_milli)
}

/// Returns a step of so many short tasks.
fn short(count: u32) -> job::Step {
    job::Step { count, ..desk::step("plain", SHORT_MILLI) }
}

/// Returns a task of a job.
fn task(job: u64, index: u32) -> job::TaskId {
    job::TaskId { job: job::JobId(job), round: 0, step: 0, index }
}

/// Ends the short task that was started first and has not ended, on any worker but one.
fn end_one(desk: &mut desk::Desk, spared: &wharflane::id::Incarnation) {
    let ended = |desk: &desk::Desk, task| desk.over.iter().any(|(_, end)| end.task == task);
    let short = JOBS[2..].iter().flat_map(|job| {
        desk.starts(*job).into_iter().map(|(index, _)| task(*job, index)).collect::<Vec<_>>()
    });
    let next = short
        .filter(|task| !ended(desk, *task))
        .find(|task| desk.order_of(*task).worker != *spared);
    desk.end(next.expect("a short task that runs"), job::EndKind::Done);
}

cases! {
    room_is_kept_where_enough_of_it_will_be_free => {
        let [stays, returns, runs, waits] = JOBS;
        let mut desk = desk::Desk::new(2, Vec::new());
        desk.submit(stays, "first", lasting(STAYS_MILLI));
        desk.pass(200, false);
        desk.submit(returns, "first", lasting(RETURNS_MILLI));
        desk.pass(200, false);
        desk.submit(runs, "first", short(5));
        desk.pass(200, false);
        let full = desk.order_of(task(stays, 0)).worker;
        assert_eq!(desk.starts(runs).len(), 5, "one beside the task that stays, four on the other");
        desk.submit(waits, "first", short(40));
        desk.end(task(returns, 0), job::EndKind::Failed);
        desk.pass(3_400, false);
        // What is left beside the task that stays becomes free, and nobody else may use it while it is kept.
        let beside = (0..5).map(|index| task(runs, index));
        let mut beside = beside.filter(|task| desk.order_of(*task).worker == full);
        desk.end(beside.next().expect("a short task beside"), job::EndKind::Done);
        for _ in 0..(AWAY_MS - 3_400) / 500 {
            end_one(&mut desk, &full);
            desk.pass(500, false);
        }
        assert_eq!(desk.starts(returns).len(), 2, "it starts again in time");
        assert_ne!(desk.order_of(task(returns, 0)).worker, full);
    },
    room_is_kept_too_where_only_cancels_free_it => {
        let [stays, returns, runs, waits] = JOBS;
        let (goes, fills_up, beside) = (1_002, 1_003, 1_004);
        let mut desk = desk::Desk::new(3, Vec::new());
        // One worker with two lasting tasks, one with a larger one, one with the task that returns.
        desk.submit(stays, "first", lasting(10_000));
        desk.pass(100, false);
        desk.submit(beside, "first", lasting(13_000));
        desk.pass(100, false);
        desk.submit(goes, "first", lasting(2_200));
        desk.pass(100, false);
        let here = desk.order_of(task(stays, 0)).worker;
        let there = desk.order_of(task(beside, 0)).worker;
        assert_eq!(desk.order_of(task(goes, 0)).worker, here);
        desk.submit(1_005, "first", lasting(12_100));
        desk.pass(100, false);
        desk.submit(returns, "first", lasting(RETURNS_MILLI));
        desk.pass(100, false);
        let third = desk.order_of(task(returns, 0)).worker;
        assert!(third != here && third != there);
        desk.submit(runs, "first", short(2));
        desk.pass(100, false);
        assert_eq!(desk.starts(runs).len(), 2, "one on each of the others");
        desk.submit(waits, "first", short(40));
        desk.end(task(returns, 0), job::EndKind::Failed);
        desk.pass(600, false);
        desk.submit(fills_up, "first", lasting(1_240));
        desk.pass(3_400, false);
        assert_eq!(desk.order_of(task(fills_up, 0)).worker, third, "it has too little left for good");
        for index in 0..2 {
            if desk.order_of(task(runs, index)).worker == here {
                desk.end(task(runs, index), job::EndKind::Done);
            }
        }
        desk.pass(600, false);
        desk.end(task(goes, 0), job::EndKind::Failed);
        desk.pass(600, false);
        assert_eq!(desk.starts(returns).len(), 2, "what was kept and what became free are enough");
        assert_eq!(desk.order_of(task(returns, 0)).worker, here);
    },
}
