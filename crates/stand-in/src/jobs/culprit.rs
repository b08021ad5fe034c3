//! Tasks that crash each worker that starts them.

use std::time;

use rand::RngExt as _;
use wharflane::{id, job};

use super::{mail, worker, world};

/// How long after the start the worker is down.
const CRASH_AFTER: time::Duration = time::Duration::from_millis(10);
/// The same where it goes down a while later, in milliseconds.
const CRASH_LATE_MS: std::ops::Range<u64> = 500..5_000;
/// How long a crashed worker is away, in milliseconds, until another incarnation answers at its address.
const AWAY_MS: std::ops::Range<u64> = 1_000..3_000;
/// What jobs are dealt by, so that the share of those with such a task can be set in thousandths.
const THOUSAND: u64 = 1_000;

impl world::World {
    /// Returns whether a job has a task that crashes workers, always the same way.
    #[must_use]
    pub fn has_culprit(&self, job: job::JobId) -> bool {
        job.0 / 8 % THOUSAND < u64::from(self.faults.culprits)
    }

    /// Returns whether a task crashes each worker that starts it: the first of one of its job's steps.
    pub(super) fn is_culprit(&self, task: job::TaskId) -> bool {
        let steps = self.judge.jobs.get(&task.job).map_or(1, |job| job.steps.len() as u64);
        let step = task.job.0 / 8 / THOUSAND % steps;
        self.has_culprit(task.job) && task.index == 0 && u64::from(task.step) == step
    }

    /// Lets a worker go down soon because of what it has just started.
    pub(super) fn doom(&mut self, worker: &id::Incarnation, task: job::TaskId, run: u32) {
        let alive = |found: &worker::Worker| found.alive && found.is_meant(worker);
        let Some(at) = self.workers.iter().position(alive) else {
            return;
        };
        let late = self.faults.late_culprits > 0 && self.chance(self.faults.late_culprits);
        let after = if late {
            time::Duration::from_millis(self.rng.random_range(CRASH_LATE_MS))
        } else {
            CRASH_AFTER
        };
        self.send(after, mail::Message::Crash(at, task, run));
    }

    /// Lets a worker crash under a run, if that is there still.
    pub(super) fn crash_under(&mut self, at: usize, task: job::TaskId, run: u32) {
        if self.workers[at].running().any(|here| here == (task, run)) {
            self.crash(at);
        }
    }

    /// Lets a worker crash with all that runs there.
    pub(super) fn crash(&mut self, at: usize) {
        if !self.workers[at].alive {
            return;
        }
        self.workers[at].alive = false;
        let now = self.now;
        let here: Vec<_> = self.workers[at].since().collect();
        for (task, began) in here {
            let culprit = self.is_culprit(task);
            let ends = self.behaviour(task).work.is_some();
            let at_work = if ends { now.saturating_sub(began) } else { time::Duration::ZERO };
            self.judge.crashed(task, culprit, at_work);
        }
        if self.keeps_id() {
            return self.restart_soon(at);
        }
        let away = time::Duration::from_millis(self.rng.random_range(AWAY_MS));
        self.send(away, mail::Message::Replace(at));
    }

    /// Lets another incarnation of a crashed worker come, at the same address.
    pub(super) fn replace(&mut self, at: usize) {
        self.workers[at].listed = false;
        self.workers[at].replaced = true;
        self.add_worker();
        self.tell_member(at);
        self.tell_member(self.workers.len() - 1);
    }

    /// Returns whether another incarnation answers where a worker was.
    pub(super) fn is_replaced(&self, worker: &id::Incarnation) -> bool {
        self.workers.iter().any(|found| found.is_meant(worker) && found.replaced)
    }

    /// Returns the jobs that were given up though all of their tasks could be done.
    #[must_use]
    pub fn wronged(&self) -> Vec<job::JobId> {
        let jobs = self.judge.jobs.iter();
        let sound = jobs.filter(|(id, job)| {
            let lasting = job.steps.iter().any(|step| step.lasting);
            !self.has_culprit(**id) && (lasting || id.0 % 8 != 7)
        });
        let failed = sound.filter(|(id, _)| self.phase(**id) == job::Phase::Failed);
        failed.map(|(id, _)| *id).collect()
    }
}
