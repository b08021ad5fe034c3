//! Workers that are lost under tasks of the desk.

use wharflane::{id, job};

use super::Desk;

/// How long a crashed worker is silent until another incarnation answers, in milliseconds.
pub const AWAY_MS: u64 = 1_900;

/// Returns the first task of a job.
pub fn task(job: u64) -> job::TaskId {
    job::TaskId { job: job::JobId(job), round: 0, step: 0, index: 0 }
}

/// Lets the worker of a task's newest start crash, and another incarnation come; returns the worker.
pub fn crash(desk: &mut Desk, job: u64) -> id::Incarnation {
    let worker = desk.order_of(task(job)).worker;
    desk.silent.insert(worker.clone());
    desk.pass(AWAY_MS, false);
    gone(desk, &worker);
    worker
}

/// Lets another incarnation answer at a worker's address, and its entry go.
pub fn gone(desk: &mut Desk, worker: &id::Incarnation) {
    turned_away(desk, worker);
    unlisted(desk, worker);
}

/// Lets another incarnation answer at a worker's address.
pub fn turned_away(desk: &mut Desk, worker: &id::Incarnation) {
    let epoch = desk.engine.holding().expect("a holder").dump().epoch;
    let answer = job::HeartbeatAnswer::Gone;
    desk.take(job::Event::HeartbeatAnswered { worker: worker.clone(), epoch, answer });
}

/// Lets the entry of a worker go.
pub fn unlisted(desk: &mut Desk, worker: &id::Incarnation) {
    desk.take(job::Event::Member(worker.worker.clone(), None));
}

/// Returns the workers that are counted as lost under a job's first task, as its row says.
pub fn losses(desk: &Desk, job: u64) -> job::Losses {
    let key = job::progress_key(0, job::JobId(job));
    let text = desk.rows.get(&(job::PROGRESS, key.name)).expect("a row");
    let progress = job::Progress::decode(text).expect("progress");
    progress.tasks[&task(job).into()].losses
}
