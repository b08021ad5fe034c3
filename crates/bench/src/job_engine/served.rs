//! How much of the jobs of each kind a host serves in time.

use std::collections;
use std::time;

use wharflane::{id, job};

use super::workload;
use super::{Simulation, host};

/// The size and load of a simulation whose host takes time for what it does.
#[derive(Clone, Copy, Debug)]
pub struct SlowSetup {
    /// The number of workers.
    pub workers: usize,
    /// Tasks started per second.
    pub starts_per_s: f64,
    /// The time that the host takes for everything once it is slow, in percent of the usual one.
    pub slow_percent: u32,
    /// The time for which jobs are submitted to the slow host.
    pub duration: time::Duration,
}

/// The share of the jobs that were done in time, by kind.
#[derive(Clone, Copy, Debug)]
pub struct Served {
    /// Of short jobs of the first priority.
    pub short: f64,
    /// Of best-effort jobs of a lower priority.
    pub best_effort: f64,
}

/// How long the host runs at its usual speed first.
const WARM_UP: time::Duration = time::Duration::from_secs(8);

/// Runs a simulation whose host becomes slow, and returns how much it serves from then on. Jobs of
/// the last seconds count only if their time is over by the end.
#[must_use]
pub fn serve(setup: SlowSetup) -> Served {
    let mut simulation = Simulation::new(setup.workers);
    simulation.host = Some(host::Host::new(100));
    simulation.submit_all(setup.workers, setup.starts_per_s, 0);
    simulation.run(WARM_UP);
    if let Some(host) = &mut simulation.host {
        host.set_slow_percent(setup.slow_percent);
    }
    let end = WARM_UP + setup.duration;
    simulation.run(end);
    let share = |kind| simulation.served.share(kind, WARM_UP, end);
    Served { short: share(Class::Short), best_effort: share(Class::BestEffort) }
}

/// A class of jobs that end by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    /// Short tasks of the first priority.
    Short,
    /// Best-effort tasks.
    BestEffort,
}

impl Class {
    /// Returns how long a job with a chain of work may take: the users' objective and stretch.
    fn allowed(self, chain: time::Duration) -> time::Duration {
        match self {
            Self::Short => time::Duration::from_millis(300) + chain * 3 / 2,
            Self::BestEffort => time::Duration::from_millis(1_000) + chain * 2,
        }
    }
}

/// A job that ends by itself.
#[derive(Debug)]
struct Submitted {
    /// Its class.
    class: Class,
    /// When it was submitted.
    at: time::Duration,
    /// How long it may take.
    allowed: time::Duration,
    /// The tasks of which no end was handled.
    left: u64,
    /// When the last end was handled; absent before.
    done: Option<time::Duration>,
}

/// The jobs that end by themselves.
#[derive(Debug, Default)]
pub(super) struct Record {
    /// The jobs, by id.
    jobs: collections::HashMap<job::JobId, Submitted>,
    /// The number of the last end of each worker that was handled.
    last_ends: collections::HashMap<id::Incarnation, u64>,
}

impl Record {
    /// Records a job.
    pub fn note_submission(
        &mut self,
        job: job::JobId,
        kind: workload::Kind,
        steps: &[job::Step],
        now: time::Duration,
    ) {
        let class = match kind {
            workload::Kind::Short => Class::Short,
            workload::Kind::BestEffort => Class::BestEffort,
            workload::Kind::Serving | workload::Kind::Oversized => return,
        };
        // The steps follow one another.
        let chain_ms: u64 = steps.iter().map(|step| step.estimate_ms).sum();
        let allowed = class.allowed(time::Duration::from_millis(chain_ms));
        let left = steps.iter().map(|step| u64::from(step.count)).sum();
        self.jobs.insert(job, Submitted { class, at: now, allowed, left, done: None });
    }

    /// Records the ends that the holder handles; each counts once.
    pub fn note_ends(
        &mut self,
        worker: &id::Incarnation,
        ended: &[job::Ended],
        now: time::Duration,
    ) {
        let last = self.last_ends.entry(worker.clone()).or_default();
        for end in ended.iter().filter(|end| end.number > *last) {
            let Some(job) = self.jobs.get_mut(&end.task.job) else {
                continue;
            };
            job.left = job.left.saturating_sub(1);
            if job.left == 0 {
                job.done = Some(now);
            }
        }
        *last = ended.last().map_or(0, |end| end.number).max(*last);
    }

    /// Returns the share of the jobs of a class that were done in time, of those submitted after
    /// `from` whose time was over by `end`.
    fn share(&self, class: Class, from: time::Duration, end: time::Duration) -> f64 {
        let owed = self
            .jobs
            .values()
            .filter(|job| job.class == class && job.at >= from && job.at + job.allowed <= end);
        let (mut all, mut in_time) = (0.0, 0.0);
        for job in owed {
            all += 1.0;
            in_time +=
                f64::from(u8::from(job.done.is_some_and(|done| done <= job.at + job.allowed)));
        }
        in_time / f64::max(all, 1.0)
    }
}
