//! Finds the batch task that harms a service, and learns which pairs do harm.

use std::collections;
use std::time;

/// How much of an error is learned at once where a target was missed by more than expected.
const RATE_UP: f64 = 0.3;
/// How much is learned where it was missed by less: a rush comes back after a calm.
const RATE_DOWN: f64 = 0.02;
/// The harm assumed of a job never seen beside a service, for one task at full speed.
const FIRST_HARM: f64 = 0.05;
/// The room below its target that a service is assumed to have alone.
const FIRST_ROOM: f64 = 0.4;
/// How much of an error is laid to the service itself.
const ROOM_SHARE: f64 = 0.2;
/// The greatest harm that is told apart.
const MAX_HARM: f64 = 4.0;
/// The most times that the calm asked for is doubled.
const MAX_DOUBLINGS: u32 = 5;

/// What is learned of one service.
#[derive(Clone, Debug)]
struct Learned {
    /// The room below its target that it has alone, as a share of the target.
    room: f64,
    /// The harm of one task of each job at full speed, as a share of the target.
    jobs: collections::BTreeMap<String, f64>,
}

impl Default for Learned {
    fn default() -> Self {
        Self { room: FIRST_ROOM, jobs: collections::BTreeMap::new() }
    }
}

/// Tasks of one job beside a service.
#[derive(Clone, Copy, Debug)]
pub struct JobShare<'a> {
    /// The job.
    pub job: &'a str,
    /// The number of tasks, each counted by its share of speed.
    pub share: f64,
}

/// The learned harm of each pair of service and job.
///
/// A service is taken to miss its target by the sum of its neighbours' harms less its own room.
/// Hosts tell misses only, so what was kept says just that the sum was not above the room.
#[derive(Clone, Debug, Default)]
pub struct Model {
    /// The services.
    services: collections::BTreeMap<String, Learned>,
}

impl Model {
    /// Learns from one interval: by what share the target was missed, or zero where it was kept.
    pub fn learn(&mut self, service: &str, beside: &[JobShare<'_>], missed: f64) {
        let error = missed - self.expect(service, beside);
        if missed <= 0.0 && error >= 0.0 {
            return;
        }
        let learned = self.services.entry(service.to_owned()).or_default();
        let squares: f64 = beside.iter().map(|beside| beside.share * beside.share).sum();
        let rate = if error > 0.0 { RATE_UP } else { RATE_DOWN };
        let step = rate * error / (ROOM_SHARE + squares);
        learned.room = (learned.room - step * ROOM_SHARE).clamp(0.0, 1.0);
        for JobShare { job, share } in beside {
            let harm = learned.jobs.entry((*job).to_owned()).or_insert(FIRST_HARM);
            *harm = (*harm + step * share).clamp(0.0, MAX_HARM);
        }
    }

    /// Returns by what share a target is expected to be missed; below zero it is kept.
    #[must_use]
    pub fn expect(&self, service: &str, beside: &[JobShare<'_>]) -> f64 {
        let harms = beside.iter().map(|beside| self.harm(service, beside.job) * beside.share);
        let room = self.services.get(service).map_or(FIRST_ROOM, |learned| learned.room);
        harms.sum::<f64>() - room
    }

    /// Returns the harm of one task of a job at full speed.
    #[must_use]
    pub fn harm(&self, service: &str, job: &str) -> f64 {
        let learned = self.services.get(service).and_then(|learned| learned.jobs.get(job));
        learned.copied().unwrap_or(FIRST_HARM)
    }

    /// Sets what is known of a pair from elsewhere.
    pub fn set(&mut self, service: &str, job: &str, harm: f64, room: f64) {
        let learned = self.services.entry(service.to_owned()).or_default();
        learned.room = room;
        learned.jobs.insert(job.to_owned(), harm);
    }

    /// Returns the learned harms by service and job, for the state dump.
    pub fn pairs(&self) -> impl Iterator<Item = (&str, &str, f64)> {
        self.services.iter().flat_map(|(service, learned)| {
            learned.jobs.iter().map(move |(job, harm)| (service.as_str(), job.as_str(), *harm))
        })
    }
}

/// A batch task beside a disturbed service.
#[derive(Clone, Debug)]
pub struct Candidate<T> {
    /// The task.
    pub task: T,
    /// The harm expected of it at full speed.
    pub harm: f64,
    /// The share of its processors that it has now.
    pub percent: u8,
    /// The work that its eviction would lose, in milliseconds.
    pub lost_ms: u64,
    /// Whether another worker has room where it would do less harm.
    pub movable: bool,
}

impl<T> Candidate<T> {
    /// Returns the harm that it does at its present speed.
    fn present_harm(&self) -> f64 {
        self.harm * f64::from(self.percent)
    }
}

/// What to do about a disturbed service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<T> {
    /// Leave a task only a share of its processors.
    Throttle(T, u8),
    /// Checkpoint a task and move it.
    Evict(T),
    /// Nothing yet: the last change has not had time to show.
    Wait,
}

/// How one worker's disturbance is followed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tracker {
    /// Intervals in a row in which the target was missed.
    missed: u32,
    /// Intervals in a row in which it was kept.
    kept: u32,
    /// When the last change was made.
    changed: Option<time::Duration>,
    /// Changes that a missed target has asked for.
    relapses: u32,
}

/// How patient the loop is.
#[derive(Clone, Copy, Debug)]
pub struct ThrottlePolicy {
    /// Intervals in a row that must miss the target.
    pub misses: u32,
    /// How long a change may take to show.
    pub settle: time::Duration,
    /// Intervals in a row that must keep the target before a throttle is loosened.
    pub calm: u32,
    /// The shares of processors that are tried before a task is moved, the greatest first.
    pub steps: &'static [u8],
}

impl Default for ThrottlePolicy {
    fn default() -> Self {
        Self { misses: 2, settle: time::Duration::from_secs(3), calm: 20, steps: &[50, 20] }
    }
}

impl Tracker {
    /// Notes one interval.
    pub fn note(&mut self, missed: bool) {
        if missed {
            self.missed += 1;
            self.kept = 0;
        } else {
            self.missed = 0;
            self.kept += 1;
        }
    }

    /// Returns the one change to make now, against the most harmful and cheapest candidate.
    pub fn next_action<T>(
        &mut self,
        candidates: Vec<Candidate<T>>,
        patience: &ThrottlePolicy,
        now: time::Duration,
    ) -> Action<T> {
        let settling = self.changed.is_some_and(|at| now.saturating_sub(at) < patience.settle);
        if self.missed < patience.misses || settling {
            return Action::Wait;
        }
        let lowest = patience.steps.last().copied().unwrap_or(0);
        let open = candidates.into_iter().filter(|s| s.percent > lowest || s.movable);
        let worst = open.max_by(|a, b| {
            let cheaper = b.lost_ms.cmp(&a.lost_ms);
            a.present_harm().total_cmp(&b.present_harm()).then(cheaper)
        });
        let Some(candidate) = worst else {
            return Action::Wait;
        };
        self.changed = Some(now);
        self.relapses = (self.relapses + 1).min(MAX_DOUBLINGS);
        match patience.steps.iter().find(|step| **step < candidate.percent) {
            Some(step) => Action::Throttle(candidate.task, *step),
            None => Action::Evict(candidate.task),
        }
    }

    /// Returns whether a throttle on the worker may be loosened now.
    pub fn may_loosen(&mut self, patience: &ThrottlePolicy) -> bool {
        // Each relapse asks for twice the calm before the next try.
        let calm = self.kept >= patience.calm.saturating_mul(2_u32.pow(self.relapses));
        if calm {
            self.kept = 0;
        }
        calm
    }
}
