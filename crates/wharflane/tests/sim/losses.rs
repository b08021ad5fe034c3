//! Ways to lose the worker of a task in the simulation.

use wharflane::{id, job};

use super::Sim;

/// How long a crashed worker is silent until its next incarnation answers, in milliseconds.
pub const AWAY_MS: u64 = 1_900;

/// Returns the id of the first task of a job.
pub fn task(job: u64) -> job::TaskId {
    job::TaskId { job: job::JobId(job), round: 0, step: 0, index: 0 }
}

/// Crashes the worker of a task's newest start, replaces it by another incarnation and returns the
/// lost incarnation.
pub fn crash(sim: &mut Sim, job: u64) -> id::Incarnation {
    let worker = sim.newest_order(task(job)).worker;
    sim.silent_workers.insert(worker.clone());
    sim.advance(AWAY_MS, false);
    replace_worker(sim, &worker);
    worker
}

/// Makes another incarnation answer at a worker's address and removes the worker from the list.
pub fn replace_worker(sim: &mut Sim, worker: &id::Incarnation) {
    answer_as_gone(sim, worker);
    unlist_worker(sim, worker);
}

/// Makes another incarnation answer the heartbeat at a worker's address.
pub fn answer_as_gone(sim: &mut Sim, worker: &id::Incarnation) {
    let epoch = sim.engine.holding().expect("a holder").dump().epoch;
    let answer = job::HeartbeatAnswer::Gone;
    sim.handle(job::Event::HeartbeatAnswered { worker: worker.clone(), epoch, answer });
}

/// Removes a worker from the store's list.
pub fn unlist_worker(sim: &mut Sim, worker: &id::Incarnation) {
    sim.handle(job::Event::Member(worker.worker.clone(), None));
}

/// Returns the losses that the job's row records for its first task.
pub fn losses(sim: &Sim, job: u64) -> job::Losses {
    let key = job::progress_key(0, job::JobId(job));
    let text = sim.rows.get(&(job::PROGRESS, key.name)).expect("a row");
    let progress = job::Progress::decode(text).expect("progress");
    progress.tasks[&task(job).into()].losses
}
