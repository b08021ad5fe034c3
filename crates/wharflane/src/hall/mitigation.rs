//! Detects and mitigates interference with services on the workers of a hall.
//!
//! Hosts report the latency of endpoints in digests. Once per interval the holder updates the
//! interference model and throttles or evicts at most one batch task per worker.

use std::collections;
use std::time;

use super::cost;
use super::holding;
use super::plan;
use super::slot;
use crate::digest;
use crate::id;
use crate::interference;
use crate::task_table;

/// The minimum number of responses in an interval for a meaningful latency percentile.
const MIN_ANSWERS: u32 = 5;

impl holding::Holding {
    /// Returns the estimated harm of each job to each service, for the state dump.
    pub(super) fn estimated_harm(
        &self,
    ) -> collections::BTreeMap<&str, collections::BTreeMap<&str, f64>> {
        let mut harm_by_service: collections::BTreeMap<&str, collections::BTreeMap<&str, f64>> =
            collections::BTreeMap::new();
        for (service, job, harm) in self.interference.pairs() {
            harm_by_service.entry(service).or_default().insert(job, harm);
        }
        harm_by_service
    }

    /// Records the digest of a host; only the worst miss of an interval counts for each worker.
    pub(super) fn record_digest(&mut self, digest: &digest::Digest) {
        for stats in &digest.endpoints {
            self.record_endpoint_stats(stats);
        }
    }

    /// Records the share of its latency target by which an endpoint missed it.
    fn record_endpoint_stats(&mut self, stats: &digest::EndpointStats) {
        let Some(target_ms) = self.wanted.get(&stats.task).and_then(|s| s.latency_target_ms) else {
            return;
        };
        let worker = self.task_table.get(&stats.task).and_then(|entry| entry.state.worker());
        let Some(worker) = worker.filter(|_| stats.answers >= MIN_ANSWERS) else {
            return;
        };
        let missed = stats.p95_us as f64 / (target_ms as f64 * 1_000.0) - 1.0;
        if let Some(view) = self.views.get_mut(worker) {
            let is_worst = view
                .incarnation
                .worst_miss
                .as_ref()
                .is_none_or(|(_, previous_miss)| missed > *previous_miss);
            if missed > 0.0 && is_worst {
                view.incarnation.worst_miss = Some((stats.task.clone(), missed));
            }
        }
    }

    /// Checks every worker once per interval.
    pub(super) fn check_interference(&mut self, now: time::Duration) {
        if now.saturating_sub(self.last_interference_check) < self.settings.sync {
            return;
        }
        self.last_interference_check = now;
        let workers: Vec<id::WorkerId> = self.task_table.workers().cloned().collect();
        for worker in workers {
            self.check_worker(now, &worker);
        }
    }

    /// Updates the interference model from one worker and takes the next action there.
    fn check_worker(&mut self, now: time::Duration, worker: &id::WorkerId) {
        let Some(missed) =
            self.views.get_mut(worker).map(|view| view.incarnation.worst_miss.take())
        else {
            return;
        };
        self.prune_throttles(worker);
        let owners = self.owners_on(worker);
        let neighbours = cost::job_shares(&owners);
        let missed_by = |service: &str| match &missed {
            Some((task, missed)) if *task.owner == *service => *missed,
            _ => 0.0,
        };
        for slot::Owner { spec, .. } in owners.iter().filter(|owner| !owner.spec.is_batch()) {
            self.interference.learn(&spec.owner, &neighbours, missed_by(&spec.owner));
        }
        let candidates = match &missed {
            Some((task, _)) => self.candidates(now, worker, task),
            None => Vec::new(),
        };
        let policy = self.settings.throttle_policy;
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        view.incarnation.tracker.note(missed.is_some());
        match view.incarnation.tracker.next_action(candidates, &policy, now) {
            interference::Action::Wait => self.remove_throttle(now, worker, &policy),
            interference::Action::Throttle(task, percent) => {
                self.set_throttle(now, worker, task, percent);
            }
            interference::Action::Evict(task) => {
                if let Some(entry) = self.task_table.get(&task) {
                    let record = plan::evict_record(&task, entry, task_table::Cause::Harm);
                    self.propose(now, record);
                }
            }
        }
    }

    /// Removes the throttles of tasks that have left a worker.
    fn prune_throttles(&mut self, worker: &id::WorkerId) {
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        let task_table = &self.task_table;
        let is_on_worker = |task: &id::TaskId| {
            task_table.get(task).is_some_and(|entry| entry.state.worker() == Some(worker))
        };
        view.incarnation.throttles.retain(|task, _| is_on_worker(task));
    }

    /// Returns the batch tasks on the worker of a service task that missed its target.
    fn candidates(
        &self,
        now: time::Duration,
        worker: &id::WorkerId,
        service: &id::TaskId,
    ) -> Vec<interference::Candidate<id::TaskId>> {
        let slots = self.slots(now);
        let placed = self.task_table.on(worker).filter(|(task, entry)| {
            let is_placed = matches!(entry.state, task_table::State::Placed { .. });
            is_placed && self.wanted.get(*task).is_some_and(|spec| spec.is_batch())
        });
        let candidate = |(task, entry): (&id::TaskId, &task_table::Entry)| {
            let spec = self.wanted.get(task)?;
            let other_slots = slots.iter().filter(|slot| slot.worker != *worker);
            let mut room = other_slots.filter(|slot| entry.size.fits(&slot.free()));
            Some(interference::Candidate {
                task: task.clone(),
                harm: self.interference.harm(&service.owner, &task.owner),
                percent: self.cpu_percent(worker, task),
                lost_ms: self.lost_ms(task),
                movable: room
                    .any(|slot| self.predicted_miss(slot, spec, slot::FULL_SPEED_PERCENT) <= 0.0),
            })
        };
        placed.filter_map(candidate).collect()
    }

    /// Returns the share of its CPU that a task may use, in percent.
    pub(super) fn cpu_percent(&self, worker: &id::WorkerId, task: &id::TaskId) -> u8 {
        let throttles = self.views.get(worker).map(|view| &view.incarnation.throttles);
        throttles
            .and_then(|throttles| throttles.get(task))
            .copied()
            .unwrap_or(slot::FULL_SPEED_PERCENT)
    }

    /// Sets the share of its CPU that a task may use.
    pub(super) fn set_throttle(
        &mut self,
        now: time::Duration,
        worker: &id::WorkerId,
        task: id::TaskId,
        percent: u8,
    ) {
        if let Some(view) = self.views.get_mut(worker) {
            view.incarnation.throttles.insert(task.clone(), percent);
            view.update_pending = true;
            self.counters.throttled += 1;
            self.record_decision(now, task, holding::Action::Throttled { percent });
        }
    }

    /// Removes a throttle after a calm period.
    fn remove_throttle(
        &mut self,
        now: time::Duration,
        worker: &id::WorkerId,
        policy: &interference::ThrottlePolicy,
    ) {
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        let Some((task, _)) =
            view.incarnation.throttles.iter().find(|(_, p)| **p < slot::FULL_SPEED_PERCENT)
        else {
            return;
        };
        let task = task.clone();
        if view.incarnation.tracker.may_remove_throttle(policy) {
            self.set_throttle(now, worker, task, slot::FULL_SPEED_PERCENT);
        }
    }
}
