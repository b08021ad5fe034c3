//! What a task would cost on a worker: targets that its services miss, and its own time lost.

use std::sync;

use super::holding;
use super::slot;
use super::spec;
use crate::id;
use crate::interference;

/// How much the time that a throttled task loses weighs against a missed target.
const SLOWED_WEIGHT: f64 = 0.5;

impl holding::Holding {
    /// Returns by how much the worst service on a worker is expected to miss its target with one
    /// more task there at a share of its speed; below zero all targets are kept.
    pub(super) fn expected(&self, slot: &slot::Slot, spec: &spec::Spec, percent: u8) -> f64 {
        let owners = slot.owners.get_or_init(|| self.owners(&slot.worker));
        let mut beside = job_shares(owners);
        let services = owners.iter().map(|owner| &*owner.spec).filter(|spec| !spec.batch());
        let mut services: Vec<&str> = services.map(|spec| spec.owner.as_str()).collect();
        if spec.batch() {
            let share = f64::from(percent) / f64::from(slot::WHOLE_PERCENT);
            beside.push(interference::JobShare { job: &spec.owner, share });
        } else {
            services.push(&spec.owner);
        }
        let misses = services.iter().map(|service| self.harms.expect(service, &beside));
        misses.fold(f64::NEG_INFINITY, f64::max)
    }

    /// Returns the greatest share of speed at which a task is expected to leave targets kept.
    pub(super) fn first_percent(&self, slot: &slot::Slot, spec: &spec::Spec) -> u8 {
        let steps = self.settings.throttle_policy.steps;
        let kept = |percent: &u8| self.expected(slot, spec, *percent) <= 0.0;
        if !spec.batch() || kept(&slot::WHOLE_PERCENT) {
            return slot::WHOLE_PERCENT;
        }
        let step = steps.iter().find(|percent| kept(percent)).or(steps.last());
        step.copied().unwrap_or(slot::WHOLE_PERCENT)
    }

    /// Returns what a task would cost on a worker: targets missed, and its own time lost.
    pub(super) fn harm_there(&self, slot: &slot::Slot, spec: &spec::Spec) -> f64 {
        let percent = self.first_percent(slot, spec);
        let missed = self.expected(slot, spec, percent).max(0.0);
        let slowed = 1.0 - f64::from(percent) / f64::from(slot::WHOLE_PERCENT);
        missed + slowed * SLOWED_WEIGHT
    }

    /// Returns the owners of the tasks on a worker.
    pub(super) fn owners(&self, worker: &id::WorkerId) -> Vec<slot::Owner> {
        let mut owners: Vec<slot::Owner> = Vec::new();
        for (task, _) in self.task_table.on(worker) {
            let Some(spec) = self.wanted.get(task) else {
                continue;
            };
            let share = f64::from(self.percent(worker, task)) / f64::from(slot::WHOLE_PERCENT);
            match owners.iter_mut().find(|owner| sync::Arc::ptr_eq(&owner.spec, spec)) {
                Some(owner) => owner.share += share,
                None => owners.push(slot::Owner { spec: sync::Arc::clone(spec), share }),
            }
        }
        owners
    }
}

/// Returns the batch tasks among the owners on a worker.
pub(super) fn job_shares(owners: &[slot::Owner]) -> Vec<interference::JobShare<'_>> {
    let batch = owners.iter().filter(|owner| owner.spec.batch());
    batch
        .map(|owner| interference::JobShare { job: &owner.spec.owner, share: owner.share })
        .collect()
}
