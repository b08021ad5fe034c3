//! Whether a new job is accepted: one that would be missed although it is sound is refused at once,
//! so that its caller knows and may return when its turn would come.
//!
//! The host that takes a job decides, by what the holder of the domain last told of its queues.

use std::time;

use serde::{Deserialize, Serialize};

use crate::job::load::need;
use crate::job::queue;
use crate::job::spec;

/// Age from which the holder's word is too old to refuse a job by it; a weak host reads it every
/// 1.5 s.
const MAX_AGE: time::Duration = time::Duration::from_secs(3);
/// Part of the limit over which the share of refused jobs rises from none to all. The word is old by
/// a second or two, and hosts that all changed their minds at once would fill a gap together.
const RAMP: f64 = 0.25;
/// Shortest time after which a refused caller may return; hosts learn of a change no sooner.
const MIN_RETRY: time::Duration = time::Duration::from_secs(1);

/// A queue with more work than room, as the holder tells it to the hosts that accept jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog {
    /// The name of the queue.
    pub queue: String,
    /// How long a new job waits until the work before it is done, in milliseconds.
    pub wait_ms: u64,
    /// Run time of the queue's tasks relative to their callers' estimates, in percent.
    pub run_percent: u64,
}

/// What the holder last told of its queues.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Backlogs {
    /// The epoch of the holder.
    pub epoch: u64,
    /// When it was written, by this host's clock.
    pub written: time::Duration,
    /// The queues with more work than room.
    pub queues: Vec<Backlog>,
}

/// Whether a job is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is.
    Accepted,
    /// It would be missed.
    Refused {
        /// When its turn would come.
        retry_after: time::Duration,
        /// How long it would wait, in milliseconds.
        wait_ms: u64,
    },
}

/// Decides whether a job is accepted; `draw` is a random number that spreads both the jobs that are
/// refused near the limit and the return of their callers.
#[must_use]
pub fn decide(
    backlogs: &Backlogs,
    queue: &queue::Queue,
    job: &spec::Job,
    now: time::Duration,
    draw: u64,
) -> Admission {
    let backlog = backlogs.queues.iter().find(|backlog| backlog.queue == queue.name);
    let Some(backlog) = backlog.filter(|_| waits_its_turn(queue, job)) else {
        return Admission::Accepted;
    };
    if now.saturating_sub(backlogs.written) >= MAX_AGE {
        return Admission::Accepted;
    }
    let path_ms = path_ms(job) * backlog.run_percent as f64 / 1e2;
    let allowed_ms =
        path_ms * queue.policy.stretch_percent as f64 / 1e2 + queue.policy.objective_ms as f64;
    let limit_ms = (allowed_ms * need::MAX_LATE_FACTOR - path_ms).max(1.0);
    let over_ms = backlog.wait_ms as f64 - limit_ms;
    // Two draws from one number.
    let (share, spread) = ((draw % 1_000) as f64 / 1e3, (draw / 1_000 % 1_000) as f64 / 1e3);
    if over_ms <= limit_ms * RAMP * share {
        return Admission::Accepted;
    }
    let retry_ms = over_ms * (1.0 + spread / 2.0);
    let retry_after = time::Duration::from_secs_f64(retry_ms / 1e3).max(MIN_RETRY);
    Admission::Refused { retry_after, wait_ms: backlog.wait_ms }
}

/// Returns whether a job waits for the work before it and has a time to keep: it runs once, at once,
/// and to an end.
fn waits_its_turn(queue: &queue::Queue, job: &spec::Job) -> bool {
    queue.policy.objective_ms > 0
        && job.repeats.is_none()
        && job.steps.iter().all(|step| !step.lasting)
}

/// Returns the critical path of a job by its caller's estimates, in milliseconds.
fn path_ms(job: &spec::Job) -> f64 {
    let mut ends: Vec<f64> = Vec::new();
    for step in &job.steps {
        let before = step.after.iter().filter_map(|after| ends.get(*after as usize));
        let start = before.fold(0.0_f64, |latest, end| latest.max(*end));
        ends.push(start + step.estimate_ms as f64);
    }
    ends.into_iter().fold(0.0, f64::max)
}
