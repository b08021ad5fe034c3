//! Tasks that share a worker: best-effort tasks use the CPU that others leave and disturb the tasks
//! that serve users.

use std::time;

use wharflane::{id, job};

use super::{worker, world};

/// The tail latency of an undisturbed serving task without load, in milliseconds.
const UNLOADED_TAIL_MS: f64 = 13.0;
/// The strain of a serving task by its own load; a target of 50 ms allows 0.74 in all.
const OWN_STRAIN: f64 = 0.3;
/// The highest strain, which bounds the tail latency.
const MAX_STRAIN: f64 = 0.98;

impl world::World {
    /// Returns what a task is to the others on its worker.
    pub(super) fn role(&self, task: job::TaskId) -> worker::Role {
        let step = self.checker.jobs.get(&task.job).and_then(|job| job.step(task.step));
        match step {
            Some(step) if step.fills => worker::Role::BestEffort(step.size.cpu_milli),
            Some(step) => step.target_ms.map_or(worker::Role::Plain, worker::Role::Serving),
            None => worker::Role::Plain,
        }
    }

    /// Makes a share take effect at the worker that the order reaches.
    pub(super) fn share(&mut self, change: &job::SetShare) {
        let now = self.now;
        if let Some(worker) = self.reach(&change.order.worker) {
            worker.set_share(change, now);
        }
    }

    /// Returns whether connections to a worker are refused since no process listens there.
    pub(super) fn refuses_connections(&self, worker: &id::Incarnation) -> bool {
        let mut alive = self.workers.iter().filter(|found| found.alive);
        self.plan.dead_workers_refuse && !alive.any(|found| found.has_same_id(worker))
    }
}

impl worker::Worker {
    /// Returns the tail latency of the serving tasks here, in milliseconds.
    #[must_use]
    pub fn tail_ms(&self) -> u64 {
        let filled = self.best_effort_milli() as f64 / self.capacity.cpu_milli.max(1) as f64;
        let strain = (OWN_STRAIN + self.interference * filled).min(MAX_STRAIN);
        (UNLOADED_TAIL_MS / (1.0 - strain)) as u64
    }

    /// Returns the CPU that best-effort tasks use at their shares, at most what the others leave, in
    /// thousandths of a core.
    #[must_use]
    pub fn best_effort_milli(&self) -> u64 {
        self.wanted_milli().min(self.capacity.minus(&self.reserved()).cpu_milli)
    }

    /// Returns the CPU that best-effort tasks would use at their shares, in thousandths of a core.
    fn wanted_milli(&self) -> u64 {
        self.roles().map(|(_, role, percent)| wanted_milli(role, percent)).sum()
    }

    /// Returns the serving tasks here whose tail latency is over its target while best-effort tasks
    /// work beside them.
    pub fn disturbed(&self) -> impl Iterator<Item = job::TaskId> + '_ {
        let tail_ms = self.tail_ms();
        let disturbs = self.best_effort_milli() > 0;
        self.roles().filter_map(move |(task, role, _)| match role {
            worker::Role::Serving(target_ms) if disturbs && tail_ms > target_ms => Some(task),
            _ => None,
        })
    }

    /// Returns the load that a heartbeat answer reports for a run at a share.
    pub(super) fn load(&self, role: worker::Role, percent: u8) -> u64 {
        match role {
            worker::Role::Plain => 0,
            worker::Role::Serving(_) => self.tail_ms(),
            worker::Role::BestEffort(_) => {
                let own = wanted_milli(role, percent) * self.best_effort_milli();
                own.checked_div(self.wanted_milli()).unwrap_or(0)
            }
        }
    }
}

/// Returns the CPU that a run would use at a share, if it is one of a best-effort task.
fn wanted_milli(role: worker::Role, percent: u8) -> u64 {
    match role {
        worker::Role::BestEffort(cpu_milli) => cpu_milli * u64::from(percent) / 100,
        _ => 0,
    }
}

/// Returns the progress that a heartbeat answer reports. That of tasks that end always changes, so
/// that none counts as stalled.
pub(super) fn percent(role: worker::Role, now: time::Duration) -> u64 {
    match role {
        worker::Role::Serving(_) => 100,
        worker::Role::Plain | worker::Role::BestEffort(_) => u64::from(now.subsec_millis() / 100),
    }
}

/// Returns the work that is left of a run which has worked at a share for a time.
pub(super) fn work_left(
    left: time::Duration,
    worked: time::Duration,
    percent: u8,
) -> time::Duration {
    left.saturating_sub(worked * u32::from(percent) / 100)
}
