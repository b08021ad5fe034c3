//! Tasks under which workers crash, event by event.
//!
//! Seen: a worker that started a task was silent 11 ms after the order; 1.9 s later another life answered at its
//! address, the holder freed the task and 24 ms later ordered it on the next worker, some 30 times. Nothing counted,
//! since only ends that a worker tells were attempts. This desk shows it with one holder and no other
//! trouble.

mod desk;

use wharflane::job;

/// The job whose task crashes workers.
const JOB: u64 = 10;
/// How long a crashed worker is silent until another life answers, in milliseconds.
const AWAY_MS: u64 = 1_900;
/// The most starts of a task that crashes each worker: three, and two more.
const MOST_STARTS: usize = 5;

/// Lets the worker of a task's newest start crash, and another life come.
fn crash(desk: &mut desk::Desk) {
    let task = job::TaskId { job: job::JobId(JOB), round: 0, step: 0, index: 0 };
    let order = desk.order_of(task);
    desk.silent.insert(order.worker.clone());
    desk.pass(AWAY_MS, false);
    let epoch = desk.engine.holding().expect("a holder").dump().epoch;
    let answer = job::LookAnswer::Gone;
    desk.take(job::Event::Looked { worker: order.worker.clone(), epoch, answer });
    desk.take(job::Event::Member(order.worker, None));
}

#[test]
fn a_task_under_which_workers_crash_is_given_up() {
    let mut desk = desk::Desk::new(10, Vec::new());
    desk.submit(JOB, "first", desk::step("plain", 1_000));
    for _ in 0..8 {
        desk.pass(100, false);
        crash(&mut desk);
    }
    desk.pass(100, false);
    assert!(desk.starts(JOB).len() <= MOST_STARTS, "{} starts", desk.starts(JOB).len());
    let dump = desk.engine.holding().expect("a holder").dump();
    assert_eq!(dump.jobs.values().collect::<Vec<_>>(), [&job::Phase::Failed]);
}
