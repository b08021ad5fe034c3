//! Learns which batch jobs interfere with which services, and decides which task to throttle or
//! evict.
//!
//! The harm of a job to a service is the latency that one task of the job at full speed adds on the
//! same worker, as a share of the service's latency target.

use std::collections;
use std::time;

/// The learning rate when the target was missed by more than predicted.
const RATE_UP: f64 = 0.3;
/// The learning rate when it was missed by less; estimates decrease slowly, since load that
/// subsides usually returns.
const RATE_DOWN: f64 = 0.02;
/// The harm assumed of one task at full speed of a job that was never observed next to the service.
const INITIAL_HARM: f64 = 0.05;
/// The headroom assumed for a service without interference, as a share of its target.
const INITIAL_HEADROOM: f64 = 0.4;
/// The share of a prediction error that is attributed to the service's own headroom.
const HEADROOM_SHARE: f64 = 0.2;
/// The upper bound of the estimated harm, as a share of the target.
const MAX_HARM: f64 = 4.0;
/// The maximum number of times that the required calm period is doubled.
const MAX_DOUBLINGS: u32 = 5;

/// The estimates for one service.
#[derive(Clone, Debug)]
struct ServiceEstimate {
    /// The headroom below its target without interference, as a share of the target.
    headroom: f64,
    /// The harm of each job.
    jobs: collections::BTreeMap<String, f64>,
}

impl Default for ServiceEstimate {
    fn default() -> Self {
        Self { headroom: INITIAL_HEADROOM, jobs: collections::BTreeMap::new() }
    }
}

/// The tasks of one job next to a service on the same worker.
#[derive(Clone, Copy, Debug)]
pub struct JobShare<'a> {
    /// The job's name.
    pub job: &'a str,
    /// The number of tasks, each weighted by its share of full speed.
    pub share: f64,
}

/// The estimated harm of each job to each service.
///
/// A service is predicted to miss its target by the sum of its neighbours' harm minus its headroom.
/// Hosts report only misses, so an interval without a miss shows only that the sum did not exceed
/// the headroom.
#[derive(Clone, Debug, Default)]
pub struct Model {
    /// The estimates by service.
    services: collections::BTreeMap<String, ServiceEstimate>,
}

impl Model {
    /// Updates the estimates after one interval; `missed` is the share by which the target was
    /// missed, or zero if it was met.
    pub fn learn(&mut self, service: &str, neighbours: &[JobShare<'_>], missed: f64) {
        let error = missed - self.predict_miss(service, neighbours);
        if missed <= 0.0 && error >= 0.0 {
            return;
        }
        let estimate = self.services.entry(service.to_owned()).or_default();
        let sum_of_squares: f64 =
            neighbours.iter().map(|neighbour| neighbour.share * neighbour.share).sum();
        let rate = if error > 0.0 { RATE_UP } else { RATE_DOWN };
        let step = rate * error / (HEADROOM_SHARE + sum_of_squares);
        estimate.headroom = (estimate.headroom - step * HEADROOM_SHARE).clamp(0.0, 1.0);
        for JobShare { job, share } in neighbours {
            let harm = estimate.jobs.entry((*job).to_owned()).or_insert(INITIAL_HARM);
            *harm = (*harm + step * share).clamp(0.0, MAX_HARM);
        }
    }

    /// Returns the share by which the target is predicted to be missed; below zero the target is
    /// met.
    #[must_use]
    pub fn predict_miss(&self, service: &str, neighbours: &[JobShare<'_>]) -> f64 {
        let harms =
            neighbours.iter().map(|neighbour| self.harm(service, neighbour.job) * neighbour.share);
        let headroom =
            self.services.get(service).map_or(INITIAL_HEADROOM, |estimate| estimate.headroom);
        harms.sum::<f64>() - headroom
    }

    /// Returns the harm of one task of a job at full speed.
    #[must_use]
    pub fn harm(&self, service: &str, job: &str) -> f64 {
        let estimate = self.services.get(service).and_then(|estimate| estimate.jobs.get(job));
        estimate.copied().unwrap_or(INITIAL_HARM)
    }

    /// Sets the estimates of a pair from an external source.
    pub fn set(&mut self, service: &str, job: &str, harm: f64, headroom: f64) {
        let estimate = self.services.entry(service.to_owned()).or_default();
        estimate.headroom = headroom;
        estimate.jobs.insert(job.to_owned(), harm);
    }

    /// Returns the estimated harm by service and job, for the state dump.
    pub fn pairs(&self) -> impl Iterator<Item = (&str, &str, f64)> {
        self.services.iter().flat_map(|(service, estimate)| {
            estimate.jobs.iter().map(move |(job, harm)| (service.as_str(), job.as_str(), *harm))
        })
    }
}

/// A batch task next to a service that misses its target.
#[derive(Clone, Debug)]
pub struct Candidate<T> {
    /// The batch task.
    pub task: T,
    /// The estimated harm of the task at full speed.
    pub harm: f64,
    /// The task's current share of its CPU, in percent.
    pub percent: u8,
    /// The work that its eviction would lose, in milliseconds.
    pub lost_ms: u64,
    /// Whether another worker has room where the task would make no service miss its target.
    pub movable: bool,
}

impl<T> Candidate<T> {
    /// Returns the harm that the task does at its current speed.
    fn current_harm(&self) -> f64 {
        self.harm * f64::from(self.percent)
    }
}

/// The action against interference with a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<T> {
    /// Limit a task to a share of its CPU, in percent.
    Throttle(T, u8),
    /// Checkpoint a task and move it to another worker.
    Evict(T),
    /// Take no action: the last one may not have shown its effect yet, or no task qualifies.
    Wait,
}

/// The control state of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tracker {
    /// Consecutive intervals with a missed target.
    misses_in_row: u32,
    /// Consecutive intervals without a missed target.
    hits_in_row: u32,
    /// When the last action was taken.
    last_action_at: Option<time::Duration>,
    /// The number of actions taken because of a missed target, capped at `MAX_DOUBLINGS`.
    relapses: u32,
}

/// Thresholds of the control loop.
#[derive(Clone, Copy, Debug)]
pub struct ThrottlePolicy {
    /// Consecutive missed intervals that trigger an action.
    pub misses: u32,
    /// How long to wait for the effect of an action.
    pub settle: time::Duration,
    /// Consecutive intervals without a miss before a throttle is removed.
    pub calm: u32,
    /// The throttle steps that are tried before a task is evicted, in percent of CPU, in descending
    /// order.
    pub steps: &'static [u8],
}

impl Default for ThrottlePolicy {
    fn default() -> Self {
        Self { misses: 2, settle: time::Duration::from_secs(3), calm: 20, steps: &[50, 20] }
    }
}

impl Tracker {
    /// Records one interval.
    pub fn note(&mut self, missed: bool) {
        if missed {
            self.misses_in_row += 1;
            self.hits_in_row = 0;
        } else {
            self.misses_in_row = 0;
            self.hits_in_row += 1;
        }
    }

    /// Returns the next action, against the candidate that does the most harm and, among equals,
    /// loses the least work.
    pub fn next_action<T>(
        &mut self,
        candidates: Vec<Candidate<T>>,
        policy: &ThrottlePolicy,
        now: time::Duration,
    ) -> Action<T> {
        let settling = self.last_action_at.is_some_and(|at| now.saturating_sub(at) < policy.settle);
        if self.misses_in_row < policy.misses || settling {
            return Action::Wait;
        }
        let lowest_step = policy.steps.last().copied().unwrap_or(0);
        let actionable = candidates.into_iter().filter(|s| s.percent > lowest_step || s.movable);
        let worst = actionable.max_by(|a, b| {
            let cheaper = b.lost_ms.cmp(&a.lost_ms);
            a.current_harm().total_cmp(&b.current_harm()).then(cheaper)
        });
        let Some(candidate) = worst else {
            return Action::Wait;
        };
        self.last_action_at = Some(now);
        self.relapses = (self.relapses + 1).min(MAX_DOUBLINGS);
        match policy.steps.iter().find(|step| **step < candidate.percent) {
            Some(step) => Action::Throttle(candidate.task, *step),
            None => Action::Evict(candidate.task),
        }
    }

    /// Returns whether a throttle on the worker may be removed now.
    pub fn may_remove_throttle(&mut self, policy: &ThrottlePolicy) -> bool {
        // Each relapse doubles the calm period required before the next removal.
        let is_calm = self.hits_in_row >= policy.calm.saturating_mul(2_u32.pow(self.relapses));
        if is_calm {
            self.hits_in_row = 0;
        }
        is_calm
    }
}
