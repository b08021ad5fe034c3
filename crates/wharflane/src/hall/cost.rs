//! Estimates the interference cost of placing a task on a worker: the latency targets that services
//! would miss there, and the speed that the task would lose to throttling.

use std::sync;

use super::holding;
use super::slot;
use super::spec;
use crate::id;
use crate::interference;

/// The weight of a task's slowdown by throttling, relative to a missed latency target.
const SLOWDOWN_WEIGHT: f64 = 0.5;

impl holding::Holding {
    /// Returns the share of its latency target by which the worst service on a worker is predicted
    /// to miss it if the task runs there at `percent` of its speed. Below zero every target is met.
    pub(super) fn predicted_miss(&self, slot: &slot::Slot, spec: &spec::Spec, percent: u8) -> f64 {
        let owners = slot.owners.get_or_init(|| self.owners_on(&slot.worker));
        let mut neighbours = job_shares(owners);
        let services = owners.iter().map(|owner| &*owner.spec).filter(|spec| !spec.is_batch());
        let mut services: Vec<&str> = services.map(|spec| spec.owner.as_str()).collect();
        if spec.is_batch() {
            let share = f64::from(percent) / f64::from(slot::FULL_SPEED_PERCENT);
            neighbours.push(interference::JobShare { job: &spec.owner, share });
        } else {
            services.push(&spec.owner);
        }
        let misses =
            services.iter().map(|service| self.interference.predict_miss(service, &neighbours));
        misses.fold(f64::NEG_INFINITY, f64::max)
    }

    /// Returns the highest share of CPU at which the task is predicted to let every service meet
    /// its target, or the lowest throttle step if there is none. Service tasks are never throttled.
    pub(super) fn initial_percent(&self, slot: &slot::Slot, spec: &spec::Spec) -> u8 {
        let steps = self.settings.throttle_policy.steps;
        let meets_targets = |percent: &u8| self.predicted_miss(slot, spec, *percent) <= 0.0;
        if !spec.is_batch() || meets_targets(&slot::FULL_SPEED_PERCENT) {
            return slot::FULL_SPEED_PERCENT;
        }
        let step = steps.iter().find(|percent| meets_targets(percent)).or(steps.last());
        step.copied().unwrap_or(slot::FULL_SPEED_PERCENT)
    }

    /// Returns the interference cost of a placement: predicted misses plus the weighted slowdown.
    pub(super) fn interference_cost(&self, slot: &slot::Slot, spec: &spec::Spec) -> f64 {
        let percent = self.initial_percent(slot, spec);
        let missed = self.predicted_miss(slot, spec, percent).max(0.0);
        let slowdown = 1.0 - f64::from(percent) / f64::from(slot::FULL_SPEED_PERCENT);
        missed + slowdown * SLOWDOWN_WEIGHT
    }

    /// Returns the owners of the tasks on a worker.
    pub(super) fn owners_on(&self, worker: &id::WorkerId) -> Vec<slot::Owner> {
        let mut owners: Vec<slot::Owner> = Vec::new();
        for (task, _) in self.task_table.on(worker) {
            let Some(spec) = self.wanted.get(task) else {
                continue;
            };
            let share =
                f64::from(self.cpu_percent(worker, task)) / f64::from(slot::FULL_SPEED_PERCENT);
            match owners.iter_mut().find(|owner| sync::Arc::ptr_eq(&owner.spec, spec)) {
                Some(owner) => owner.share += share,
                None => owners.push(slot::Owner { spec: sync::Arc::clone(spec), share }),
            }
        }
        owners
    }
}

/// Returns the jobs among the owners on a worker.
pub(super) fn job_shares(owners: &[slot::Owner]) -> Vec<interference::JobShare<'_>> {
    let batch = owners.iter().filter(|owner| owner.spec.is_batch());
    batch
        .map(|owner| interference::JobShare { job: &owner.spec.owner, share: owner.share })
        .collect()
}
