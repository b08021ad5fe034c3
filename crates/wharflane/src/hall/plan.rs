//! The scheduling decisions of a hall's holder: which tasks wait, where they are placed, and which
//! tasks are evicted.

use std::cell;
use std::cmp;
use std::collections;
use std::sync;
use std::time;

use super::holding;
use super::slot;
use super::spec;
use super::view;
use crate::id;
use crate::placement;
use crate::size;
use crate::task_table;
use crate::work;

/// How many sync intervals a worker may be silent and still get new tasks.
const MAX_SILENT_SYNCS: u32 = 3;
/// The number of failures after which a batch task is not placed again until it is removed from the
/// configuration and added anew.
const MAX_BATCH_FAILURES: u32 = 8;
/// How many workers with room are compared for a batch task, which bounds the cost of a pass in a
/// large hall.
const MAX_COMPARED: usize = 48;

impl holding::Holding {
    /// Makes the scheduling decisions that are due.
    pub(super) fn plan(&mut self, now: time::Duration) {
        self.free_expired(now);
        self.evict_from_leaving(now);
        self.check_interference(now);
        self.place_waiting(now);
    }

    /// Recomputes the waiting tasks and cancels the tasks that are no longer wanted.
    pub(super) fn rebuild_waiting(&mut self, now: time::Duration) {
        self.waiting.clear();
        let unwanted: Vec<id::TaskId> = self
            .task_table
            .entries()
            .keys()
            .filter(|task| !self.wanted.contains_key(*task))
            .cloned()
            .collect();
        let wanted: Vec<id::TaskId> = self.wanted.keys().cloned().collect();
        for task in wanted.iter().chain(&unwanted) {
            self.update_waiting(now, task);
        }
    }

    /// Adds a task to the waiting tasks or removes it, according to its state.
    pub(super) fn update_waiting(&mut self, now: time::Duration, task: &id::TaskId) {
        if !self.config_is_current() {
            // A task that an older revision does not declare may be wanted by the current one.
            return;
        }
        let state = self.task_table.get(task).map(|entry| entry.state.clone());
        let Some(spec) = self.wanted.get(task) else {
            self.cancel(now, task, state);
            return;
        };
        let key = (cmp::Reverse(spec.priority), task.clone());
        let failures = self.task_table.get(task).map_or(0, |entry| entry.failures);
        // A service is retried for as long as it is wanted.
        let given_up = spec.is_batch() && failures >= MAX_BATCH_FAILURES;
        let is_waiting = state.is_none_or(|state| state == task_table::State::Waiting);
        if is_waiting && !given_up {
            self.waiting.insert(key);
        } else {
            self.waiting.remove(&key);
            self.preempting.remove(task);
        }
    }

    /// Cancels a task that is no longer wanted.
    fn cancel(&mut self, now: time::Duration, task: &id::TaskId, state: Option<task_table::State>) {
        let Some(entry) = self.task_table.get(task) else {
            return;
        };
        let attempt = entry.attempt;
        let task = task.clone();
        match state {
            Some(task_table::State::Placed { .. }) => {
                let cause = task_table::Cause::Cancelled;
                self.propose(now, task_table::Record::Evict { task, attempt, cause });
            }
            Some(task_table::State::Waiting | task_table::State::Done) => {
                self.propose(now, task_table::Record::Forget { task });
            }
            Some(task_table::State::Leaving { .. }) | None => {}
        }
    }

    /// Evicts tasks from workers that are about to leave: batch tasks at once, service tasks after
    /// the drain period.
    fn evict_from_leaving(&mut self, now: time::Duration) {
        let mut records = Vec::new();
        for (worker, view) in &self.views {
            let Some(since) = view.leaving_since else {
                continue;
            };
            let drained = now.saturating_sub(since) >= self.settings.drain;
            for (task, entry) in self.task_table.on(worker) {
                let batch = self.wanted.get(task).is_none_or(|spec| spec.is_batch());
                let placed = matches!(entry.state, task_table::State::Placed { .. });
                if placed && (batch || drained) {
                    records.push(evict_record(task, entry, task_table::Cause::Drain));
                }
            }
        }
        for record in records {
            self.propose(now, record);
        }
    }

    /// Places the waiting tasks, in order of priority.
    fn place_waiting(&mut self, now: time::Duration) {
        self.blocked.clear();
        if self.waiting.is_empty() {
            return;
        }
        let mut held = self.reserved_by_team();
        let mut slots = self.slots(now);
        let tasks: Vec<id::TaskId> = self.waiting.iter().map(|(_, task)| task.clone()).collect();
        for task in tasks {
            let Some(spec) = self.wanted.get(&task).cloned() else {
                continue;
            };
            let need = self.reserved_size(&spec);
            let shape = task_shape(&spec, &need);
            let known_reason = self.blocked.get(&shape);
            // If one task found no room, no other task of the same shape finds any in this pass.
            if known_reason.is_some() && !self.preempting.contains_key(&task) {
                continue;
            }
            let team = held.entry(spec.team.clone()).or_default();
            let over_quota = spec.is_batch() && !self.within_quota(&spec, &need, team);
            let placed = if over_quota {
                Err(slot::WaitReason::Quota)
            } else {
                self.place_one(now, &task, &spec, &need, &mut slots)
            };
            match placed {
                Ok(()) if spec.is_batch() => *team = team.plus(&need),
                Ok(()) => {}
                // Each task may preempt for itself, so a pending preemption does not block others
                // of its shape.
                Err(slot::WaitReason::RoomBeingMade) => {}
                Err(why) => {
                    self.blocked.insert(shape, why);
                }
            }
        }
    }

    /// Places one task, or returns why it must wait.
    fn place_one(
        &mut self,
        now: time::Duration,
        task: &id::TaskId,
        spec: &spec::Spec,
        need: &size::Size,
        slots: &mut [slot::Slot],
    ) -> Result<(), slot::WaitReason> {
        let mut capacities = self.views.values().filter_map(|view| view.incarnation.capacity);
        if !capacities.any(|capacity| spec.size.fits(&capacity)) {
            return Err(if slots.is_empty() {
                slot::WaitReason::NoRoom
            } else {
                slot::WaitReason::FitsNowhere
            });
        }
        if let Some(at) = self.choose(task, spec, need, slots) {
            let percent = self.initial_percent(&slots[at], spec);
            let slot = &mut slots[at];
            slot.used = slot.used.plus(need);
            slot.owners = cell::OnceCell::new();
            let attempt = self.task_table.get(task).map_or(0, |entry| entry.attempt) + 1;
            let record = task_table::Record::Place {
                task: task.clone(),
                attempt,
                worker: slot.worker.clone(),
                size: *need,
                priority: spec.priority,
            };
            let worker = slot.worker.clone();
            self.propose(now, record);
            if percent < slot::FULL_SPEED_PERCENT {
                self.set_throttle(now, &worker, task.clone(), percent);
            }
            return Ok(());
        }
        if self.is_preemption_pending(task) {
            return Err(slot::WaitReason::RoomBeingMade);
        }
        self.make_room(now, task, spec, need, slots)
    }

    /// Returns the index of the best worker with room; for a batch task, among a bounded number.
    fn choose(
        &self,
        task: &id::TaskId,
        spec: &spec::Spec,
        need: &size::Size,
        slots: &[slot::Slot],
    ) -> Option<usize> {
        let racks = self.siblings_by_rack(spec);
        let max_candidates = if spec.is_batch() { MAX_COMPARED } else { slots.len() };
        // Each task starts its search at a different worker, so that a pass does not always compare
        // the same ones.
        let start = task.index as usize * MAX_COMPARED;
        let indices = (0..slots.len()).map(|offset| (start + offset) % slots.len());
        let fitting = indices.filter(|at| need.fits(&slots[*at].free())).take(max_candidates);
        let candidates = fitting.map(|at| placement::Candidate {
            at,
            capacity: slots[at].capacity,
            used: slots[at].used,
            harm: self.interference_cost(&slots[at], spec),
            siblings: racks.get(&*slots[at].rack).copied().unwrap_or(0),
        });
        placement::choose(candidates, need, &self.settings.weights)
    }

    /// Returns the resources to reserve for a task: its declared size, with more CPU if tasks of
    /// its owner were measured to use more, but at most that of the largest worker.
    fn reserved_size(&self, spec: &spec::Spec) -> size::Size {
        let Some(measured) = self.cpu_use.get(&spec.owner) else {
            return spec.size;
        };
        let capacities = self.views.values().filter_map(|view| view.incarnation.capacity);
        let largest = capacities.map(|capacity| capacity.cpu_milli).max().unwrap_or(0);
        let measured = (*measured as u64).min(largest);
        size::Size { cpu_milli: spec.size.cpu_milli.max(measured), ..spec.size }
    }

    /// Returns whether a preemption for this task is still in progress.
    fn is_preemption_pending(&self, task: &id::TaskId) -> bool {
        let leaving =
            |entry: &task_table::Entry| matches!(entry.state, task_table::State::Leaving { .. });
        self.preempting
            .get(task)
            .is_some_and(|worker| self.task_table.on(worker).any(|(_, entry)| leaving(entry)))
    }

    /// Evicts the cheapest batch tasks of lower priority that make enough room on one worker.
    fn make_room(
        &mut self,
        now: time::Duration,
        task: &id::TaskId,
        spec: &spec::Spec,
        need: &size::Size,
        slots: &[slot::Slot],
    ) -> Result<(), slot::WaitReason> {
        let offers = slots.iter().filter_map(|slot| {
            let preemptible = self.preemptible_tasks(&slot.worker, spec.priority);
            let chosen = placement::victims(preemptible, &slot.free(), need)?;
            Some((placement::preemption_cost(&chosen), &slot.worker, chosen))
        });
        let Some((_, worker, chosen)) = offers.min_by_key(|(price, _, _)| *price) else {
            return Err(slot::WaitReason::NoRoom);
        };
        let worker = worker.clone();
        let records: Vec<task_table::Record> = chosen
            .iter()
            .filter_map(|victim| {
                let entry = self.task_table.get(victim.task)?;
                Some(evict_record(victim.task, entry, task_table::Cause::Preempted))
            })
            .collect();
        for record in records {
            self.propose(now, record);
        }
        self.preempting.insert(task.clone(), worker);
        Err(slot::WaitReason::RoomBeingMade)
    }

    /// Returns the batch tasks on a worker that may be preempted at a priority.
    fn preemptible_tasks(
        &self,
        worker: &id::WorkerId,
        priority: u32,
    ) -> Vec<placement::Victim<'_>> {
        let is_preempting = self.preempting.values().any(|preempting| preempting == worker);
        if is_preempting {
            return Vec::new();
        }
        let on = self.task_table.on(worker);
        let lower = on.filter(|(task, entry)| {
            let batch = self.wanted.get(*task).is_none_or(|spec| spec.is_batch());
            let placed = matches!(entry.state, task_table::State::Placed { .. });
            batch && placed && entry.priority < priority
        });
        lower
            .map(|(task, entry)| placement::Victim {
                task,
                size: entry.size,
                priority: entry.priority,
                lost_ms: self.lost_ms(task),
            })
            .collect()
    }

    /// Returns the work that evicting a task would lose, in milliseconds; zero if it can save its
    /// progress.
    pub(super) fn lost_ms(&self, task: &id::TaskId) -> u64 {
        match self.wanted.get(task).map(|spec| &spec.kind) {
            Some(work::Kind::Batch { run_time_ms, checkpoint: false }) => *run_time_ms,
            _ => 0,
        }
    }

    /// Returns the workers that may get new tasks.
    pub(super) fn slots(&self, now: time::Duration) -> Vec<slot::Slot> {
        let max_report_age = self.settings.sync * MAX_SILENT_SYNCS;
        let accepting =
            self.views.iter().filter(|(_, view)| view.accepts_tasks(now, max_report_age));
        let slot = |(worker, view): (&id::WorkerId, &view::WorkerView)| {
            Some(slot::Slot {
                worker: worker.clone(),
                rack: sync::Arc::clone(&view.rack),
                capacity: view.incarnation.capacity?,
                used: self.task_table.used(worker),
                owners: cell::OnceCell::new(),
            })
        };
        accepting.filter_map(slot).collect()
    }

    /// Returns how many tasks of the same service are in each rack; empty for batch tasks.
    fn siblings_by_rack(&self, spec: &spec::Spec) -> collections::BTreeMap<&str, u32> {
        let mut racks = collections::BTreeMap::new();
        if spec.is_batch() {
            return racks;
        }
        for (worker, view) in &self.views {
            let same = self.task_table.on(worker).filter(|(task, _)| *task.owner == *spec.owner);
            let count = u32::try_from(same.count()).unwrap_or(u32::MAX);
            *racks.entry(&*view.rack).or_default() += count;
        }
        racks
    }

    /// Returns the resources that each team's batch tasks hold in this hall.
    fn reserved_by_team(&self) -> collections::BTreeMap<id::TeamId, size::Size> {
        let mut held = collections::BTreeMap::new();
        for (task, entry) in self.task_table.entries() {
            let Some(spec) = self.wanted.get(task).filter(|spec| spec.is_batch()) else {
                continue;
            };
            if entry.state.worker().is_some() {
                let team: &mut size::Size = held.entry(spec.team.clone()).or_default();
                *team = team.plus(&entry.size);
            }
        }
        held
    }

    /// Returns whether one more task fits into this hall's share of its team's quota.
    fn within_quota(&self, spec: &spec::Spec, need: &size::Size, held: &size::Size) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        let Some(team) = current.desired.teams.get(&spec.team) else {
            return false;
        };
        let share = spec::quota_share(&team.quota, current.desired.halls.len());
        held.plus(need).fits(&share)
    }

    /// Returns why tasks wait, for the state dump.
    pub(super) fn wait_reasons(&self) -> Vec<slot::WaitingShape> {
        let entry = |(shape, why): (&slot::Shape, &slot::WaitReason)| slot::WaitingShape {
            shape: shape.clone(),
            why: *why,
        };
        self.blocked.iter().map(entry).collect()
    }
}

/// Returns the record that evicts a task.
pub(super) fn evict_record(
    task: &id::TaskId,
    entry: &task_table::Entry,
    cause: task_table::Cause,
) -> task_table::Record {
    task_table::Record::Evict { task: task.clone(), attempt: entry.attempt, cause }
}

/// Returns the shape of a task.
fn task_shape(spec: &spec::Spec, need: &size::Size) -> slot::Shape {
    slot::Shape {
        size: *need,
        priority: spec.priority,
        team: spec.team.clone(),
        batch: spec.is_batch(),
    }
}
