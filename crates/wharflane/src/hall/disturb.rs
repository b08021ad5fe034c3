//! What hosts saw of disturbed services, what is learned of it, and who is throttled or moved.

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

/// The fewest answers in an interval that say anything about latency.
const MIN_ANSWERS: u32 = 5;

impl holding::Holding {
    /// Returns the learned harm of each job to each service, for the state dump.
    pub(super) fn learned(&self) -> collections::BTreeMap<&str, collections::BTreeMap<&str, f64>> {
        let mut all: collections::BTreeMap<&str, collections::BTreeMap<&str, f64>> =
            collections::BTreeMap::new();
        for (service, job, harm) in self.harms.pairs() {
            all.entry(service).or_default().insert(job, harm);
        }
        all
    }

    /// Takes what a host saw: the worst of an interval counts.
    pub(super) fn note_digest(&mut self, digest: &digest::Digest) {
        for seen in &digest.endpoints {
            self.note_seen(seen);
        }
    }

    /// Notes by how much an endpoint missed its target.
    fn note_seen(&mut self, seen: &digest::EndpointStats) {
        let Some(target_ms) = self.wanted.get(&seen.task).and_then(|s| s.latency_target_ms) else {
            return;
        };
        let worker = self.task_table.get(&seen.task).and_then(|entry| entry.state.worker());
        let Some(worker) = worker.filter(|_| seen.answers >= MIN_ANSWERS) else {
            return;
        };
        let missed = seen.p95_us as f64 / (target_ms as f64 * 1_000.0) - 1.0;
        if let Some(view) = self.views.get_mut(worker) {
            let worst = view.incarnation.missed.as_ref().is_none_or(|(_, before)| missed > *before);
            if missed > 0.0 && worst {
                view.incarnation.missed = Some((seen.task.clone(), missed));
            }
        }
    }

    /// Looks at every worker once an interval: learns, and acts on the worst neighbour.
    pub(super) fn look_at_disturbances(&mut self, now: time::Duration) {
        if now.saturating_sub(self.looked) < self.settings.sync {
            return;
        }
        self.looked = now;
        let workers: Vec<id::WorkerId> = self.task_table.workers().cloned().collect();
        for worker in workers {
            self.look_at(now, &worker);
        }
    }

    /// Looks at one worker.
    fn look_at(&mut self, now: time::Duration, worker: &id::WorkerId) {
        let Some(missed) = self.views.get_mut(worker).map(|view| view.incarnation.missed.take())
        else {
            return;
        };
        self.forget_throttles(worker);
        let owners = self.owners(worker);
        let beside = cost::job_shares(&owners);
        let by = |service: &str| match &missed {
            Some((task, missed)) if *task.owner == *service => *missed,
            _ => 0.0,
        };
        for slot::Owner { spec, .. } in owners.iter().filter(|owner| !owner.spec.batch()) {
            self.harms.learn(&spec.owner, &beside, by(&spec.owner));
        }
        let candidates = match &missed {
            Some((task, _)) => self.candidates(now, worker, task),
            None => Vec::new(),
        };
        let patience = self.settings.throttle_policy;
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        view.incarnation.tracker.note(missed.is_some());
        match view.incarnation.tracker.next_action(candidates, &patience, now) {
            interference::Action::Wait => self.loosen(now, worker, &patience),
            interference::Action::Throttle(task, percent) => {
                self.throttle(now, worker, task, percent);
            }
            interference::Action::Evict(task) => {
                if let Some(entry) = self.task_table.get(&task) {
                    let record = plan::evict(&task, entry, task_table::Cause::Harm);
                    self.propose(now, record);
                }
            }
        }
    }

    /// Forgets the throttles of tasks that have left a worker.
    fn forget_throttles(&mut self, worker: &id::WorkerId) {
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        let task_table = &self.task_table;
        let here = |task: &id::TaskId| {
            task_table.get(task).is_some_and(|entry| entry.state.worker() == Some(worker))
        };
        view.incarnation.throttles.retain(|task, _| here(task));
    }

    /// Returns the batch tasks beside a disturbed service task.
    fn candidates(
        &self,
        now: time::Duration,
        worker: &id::WorkerId,
        service: &id::TaskId,
    ) -> Vec<interference::Candidate<id::TaskId>> {
        let slots = self.slots(now);
        let placed = self.task_table.on(worker).filter(|(task, entry)| {
            let here = matches!(entry.state, task_table::State::Placed { .. });
            here && self.wanted.get(*task).is_some_and(|spec| spec.batch())
        });
        let candidate = |(task, entry): (&id::TaskId, &task_table::Entry)| {
            let spec = self.wanted.get(task)?;
            let elsewhere = slots.iter().filter(|slot| slot.worker != *worker);
            let mut room = elsewhere.filter(|slot| entry.size.fits(&slot.free()));
            Some(interference::Candidate {
                task: task.clone(),
                harm: self.harms.harm(&service.owner, &task.owner),
                percent: self.percent(worker, task),
                lost_ms: self.lost_ms(task),
                movable: room.any(|slot| self.expected(slot, spec, slot::WHOLE_PERCENT) <= 0.0),
            })
        };
        placed.filter_map(candidate).collect()
    }

    /// Returns the share of its processors that a task has.
    pub(super) fn percent(&self, worker: &id::WorkerId, task: &id::TaskId) -> u8 {
        let throttles = self.views.get(worker).map(|view| &view.incarnation.throttles);
        throttles.and_then(|all| all.get(task)).copied().unwrap_or(slot::WHOLE_PERCENT)
    }

    /// Leaves a task only a share of its processors.
    pub(super) fn throttle(
        &mut self,
        now: time::Duration,
        worker: &id::WorkerId,
        task: id::TaskId,
        percent: u8,
    ) {
        if let Some(view) = self.views.get_mut(worker) {
            view.incarnation.throttles.insert(task.clone(), percent);
            view.news = true;
            self.counters.throttled += 1;
            self.decided(now, task, holding::Action::Throttled { percent });
        }
    }

    /// Gives a throttled task its processors back after a calm time.
    fn loosen(
        &mut self,
        now: time::Duration,
        worker: &id::WorkerId,
        patience: &interference::ThrottlePolicy,
    ) {
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        let Some((task, _)) =
            view.incarnation.throttles.iter().find(|(_, p)| **p < slot::WHOLE_PERCENT)
        else {
            return;
        };
        let task = task.clone();
        if view.incarnation.tracker.may_loosen(patience) {
            self.throttle(now, worker, task, slot::WHOLE_PERCENT);
        }
    }
}
