//! Crashing tasks: tasks that crash every worker that starts them.

use std::time;

use rand::RngExt as _;
use wharflane::{id, job};

use super::{message, worker, world};

/// The time from a start to the crash of the worker.
const CRASH_DELAY: time::Duration = time::Duration::from_millis(10);
/// The time from a start to a late crash of the worker, in milliseconds.
const LATE_CRASH_DELAY_MS: std::ops::Range<u64> = 500..5_000;
/// The time from the crash of a worker until another incarnation answers at its address, in
/// milliseconds.
const AWAY_MS: std::ops::Range<u64> = 1_000..3_000;
/// The modulus of job ids from which the share of jobs with a crashing task follows, in
/// thousandths.
const SHARE_MODULUS: u64 = 1_000;

impl world::World {
    /// Returns whether a job has a crashing task; derived from its id, so the answer never changes.
    #[must_use]
    pub fn has_crashing_task(&self, job: job::JobId) -> bool {
        job.0 / 8 % SHARE_MODULUS < u64::from(self.faults.crashing_tasks)
    }

    /// Returns whether this is a crashing task: the first task of one step of its job, which the
    /// job's id determines.
    pub(super) fn is_crashing_task(&self, task: job::TaskId) -> bool {
        let steps = self.checker.jobs.get(&task.job).map_or(1, |job| job.steps.len() as u64);
        let step = task.job.0 / 8 / SHARE_MODULUS % steps;
        self.has_crashing_task(task.job) && task.index == 0 && u64::from(task.step) == step
    }

    /// Schedules the crash of a worker that has just started a crashing task.
    pub(super) fn schedule_crash(&mut self, worker: &id::Incarnation, task: job::TaskId, run: u32) {
        let alive = |found: &worker::Worker| found.alive && found.has_same_id(worker);
        let Some(at) = self.workers.iter().position(alive) else {
            return;
        };
        let is_late = self.faults.late_crashes > 0 && self.chance(self.faults.late_crashes);
        let after = if is_late {
            time::Duration::from_millis(self.rng.random_range(LATE_CRASH_DELAY_MS))
        } else {
            CRASH_DELAY
        };
        self.send(after, message::Message::Crash(at, task, run));
    }

    /// Crashes a worker if it still has this run.
    pub(super) fn crash_if_running(&mut self, at: usize, task: job::TaskId, run: u32) {
        if self.workers[at].running().any(|running| running == (task, run)) {
            self.crash(at);
        }
    }

    /// Crashes a worker; everything that runs there is lost.
    pub(super) fn crash(&mut self, at: usize) {
        if !self.workers[at].alive {
            return;
        }
        self.workers[at].alive = false;
        let now = self.now;
        self.waits.note_disturbance(now);
        let runs: Vec<_> = self.workers[at].run_starts().collect();
        for (task, began) in runs {
            let crashing = self.is_crashing_task(task);
            let is_bounded = self.behaviour(task).work.is_some();
            let lost_work =
                if is_bounded { now.saturating_sub(began) } else { time::Duration::ZERO };
            self.checker.record_crash(task, crashing, lost_work);
        }
        if self.draws_same_id() {
            return self.schedule_restart(at);
        }
        let away_ms = self.plan.away_ms.clone().unwrap_or(AWAY_MS);
        let away = time::Duration::from_millis(self.rng.random_range(away_ms));
        self.send(away, message::Message::Replace(at));
    }

    /// Adds another incarnation at the address of a crashed worker, under a new id.
    pub(super) fn replace(&mut self, at: usize) {
        self.waits.note_disturbance(self.now);
        self.workers[at].listed = false;
        self.workers[at].address_reused = true;
        self.add_worker();
        self.announce_member(at);
        self.announce_member(self.workers.len() - 1);
    }

    /// Returns whether another incarnation answers at the address of this worker.
    pub(super) fn is_address_reused(&self, worker: &id::Incarnation) -> bool {
        self.workers.iter().any(|found| found.has_same_id(worker) && found.address_reused)
    }

    /// Returns the jobs that failed although each of their tasks can complete.
    #[must_use]
    pub fn wrongly_failed(&self) -> Vec<job::JobId> {
        let jobs = self.checker.jobs.iter();
        let completable = jobs.filter(|(id, job)| {
            let lasting = job.steps.iter().any(|step| step.lasting);
            let fails = self.plan.configuration.is_some() || id.0 % 8 == 7;
            !self.has_crashing_task(**id) && (lasting || !fails)
        });
        let failed = completable.filter(|(id, _)| self.phase(**id) == job::Phase::Failed);
        failed.map(|(id, _)| *id).collect()
    }
}
