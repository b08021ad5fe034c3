//! What the holder of a hall decides: who waits, who is placed, who makes room, who is moved.

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

/// How many intervals a worker may be silent and still get new tasks.
const FRESH_INTERVALS: u32 = 3;
/// Failures after which a batch task is not tried again until its owner changes.
const MAX_FAILURES: u32 = 8;
/// How many workers with room are compared for one task, so that large halls stay quick.
const COMPARED: usize = 48;

impl holding::Holding {
    /// Decides everything that is due.
    pub(super) fn plan(&mut self, now: time::Duration) {
        self.free_lapsed(now);
        self.drain(now);
        self.look_at_disturbances(now);
        self.place_waiting(now);
    }

    /// Finds the waiting tasks anew and cancels what is not wanted any more.
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

    /// Brings one task's place among the waiting up to date.
    pub(super) fn update_waiting(&mut self, now: time::Duration, task: &id::TaskId) {
        if !self.config_is_current() {
            // What an older revision does not know may be wanted all the same.
            return;
        }
        let state = self.task_table.get(task).map(|entry| entry.state.clone());
        let Some(spec) = self.wanted.get(task) else {
            self.cancel(now, task, state);
            return;
        };
        let key = (cmp::Reverse(spec.priority), task.clone());
        let failures = self.task_table.get(task).map_or(0, |entry| entry.failures);
        // A service is tried for as long as it is wanted.
        let given_up = spec.batch() && failures >= MAX_FAILURES;
        let waits = state.is_none_or(|state| state == task_table::State::Waiting);
        if waits && !given_up {
            self.waiting.insert(key);
        } else {
            self.waiting.remove(&key);
            self.promised.remove(task);
        }
    }

    /// Cancels a task that is not wanted any more.
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

    /// Moves tasks off workers whose stop is planned: batch at once, services after the drain.
    fn drain(&mut self, now: time::Duration) {
        let mut records = Vec::new();
        for (worker, view) in &self.views {
            let Some(since) = view.leaving_since else {
                continue;
            };
            let drained = now.saturating_sub(since) >= self.settings.drain;
            for (task, entry) in self.task_table.on(worker) {
                let batch = self.wanted.get(task).is_none_or(|spec| spec.batch());
                let placed = matches!(entry.state, task_table::State::Placed { .. });
                if placed && (batch || drained) {
                    records.push(evict(task, entry, task_table::Cause::Drain));
                }
            }
        }
        for record in records {
            self.propose(now, record);
        }
    }

    /// Gives waiting tasks a worker, by priority.
    fn place_waiting(&mut self, now: time::Duration) {
        self.blocked.clear();
        if self.waiting.is_empty() {
            return;
        }
        let mut held = self.held_by_teams();
        let mut slots = self.slots(now);
        let tasks: Vec<id::TaskId> = self.waiting.iter().map(|(_, task)| task.clone()).collect();
        for task in tasks {
            let Some(spec) = self.wanted.get(&task).cloned() else {
                continue;
            };
            let need = self.need(&spec);
            let shape = shape_of(&spec, &need);
            let known = self.blocked.get(&shape);
            // What did not fit for one task does not fit for the next of the same shape.
            if known.is_some() && !self.promised.contains_key(&task) {
                continue;
            }
            let team = held.entry(spec.team.clone()).or_default();
            let over = spec.batch() && !self.within_quota(&spec, &need, team);
            let placed = if over {
                Err(slot::WaitReason::Quota)
            } else {
                self.place_one(now, &task, &spec, &need, &mut slots)
            };
            match placed {
                Ok(()) if spec.batch() => *team = team.plus(&need),
                Ok(()) => {}
                // Each urgent task may make room of its own, so this one blocks no other.
                Err(slot::WaitReason::RoomBeingMade) => {}
                Err(why) => {
                    self.blocked.insert(shape, why);
                }
            }
        }
    }

    /// Places one task, or says why not.
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
            let percent = self.first_percent(&slots[at], spec);
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
            if percent < slot::WHOLE_PERCENT {
                self.throttle(now, &worker, task.clone(), percent);
            }
            return Ok(());
        }
        if self.room_is_coming(task) {
            return Err(slot::WaitReason::RoomBeingMade);
        }
        self.make_room(now, task, spec, need, slots)
    }

    /// Returns the best of the workers with room, or of some of them where there are many.
    fn choose(
        &self,
        task: &id::TaskId,
        spec: &spec::Spec,
        need: &size::Size,
        slots: &[slot::Slot],
    ) -> Option<usize> {
        let racks = self.siblings(spec);
        let compared = if spec.batch() { COMPARED } else { slots.len() };
        // Tasks start at different workers, so that a pass does not look at the same ones only.
        let start = task.index as usize * COMPARED;
        let turns = (0..slots.len()).map(|turn| (start + turn) % slots.len());
        let fitting = turns.filter(|at| need.fits(&slots[*at].free())).take(compared);
        let candidates = fitting.map(|at| placement::Candidate {
            at,
            capacity: slots[at].capacity,
            used: slots[at].used,
            harm: self.harm_there(&slots[at], spec),
            siblings: racks.get(&*slots[at].rack).copied().unwrap_or(0),
        });
        placement::choose(candidates, need, &self.settings.weights)
    }

    /// Returns what is set aside for a task: its declared size, or more where tasks of its owner
    /// were seen to use more, but never above what the largest worker has.
    fn need(&self, spec: &spec::Spec) -> size::Size {
        let Some(seen) = self.uses.get(&spec.owner) else {
            return spec.size;
        };
        let capacities = self.views.values().filter_map(|view| view.incarnation.capacity);
        let largest = capacities.map(|capacity| capacity.cpu_milli).max().unwrap_or(0);
        let seen = (*seen as u64).min(largest);
        size::Size { cpu_milli: spec.size.cpu_milli.max(seen), ..spec.size }
    }

    /// Returns whether tasks are still leaving to make room for this one.
    fn room_is_coming(&self, task: &id::TaskId) -> bool {
        let leaving =
            |entry: &task_table::Entry| matches!(entry.state, task_table::State::Leaving { .. });
        self.promised
            .get(task)
            .is_some_and(|worker| self.task_table.on(worker).any(|(_, entry)| leaving(entry)))
    }

    /// Evicts the cheapest batch tasks of lower priority that make room on one worker.
    fn make_room(
        &mut self,
        now: time::Duration,
        task: &id::TaskId,
        spec: &spec::Spec,
        need: &size::Size,
        slots: &[slot::Slot],
    ) -> Result<(), slot::WaitReason> {
        let offers = slots.iter().filter_map(|slot| {
            let movable = self.movable(&slot.worker, spec.priority);
            let chosen = placement::victims(movable, &slot.free(), need)?;
            Some((placement::price(&chosen), &slot.worker, chosen))
        });
        let Some((_, worker, chosen)) = offers.min_by_key(|(price, _, _)| *price) else {
            return Err(slot::WaitReason::NoRoom);
        };
        let worker = worker.clone();
        let records: Vec<task_table::Record> = chosen
            .iter()
            .filter_map(|victim| {
                let entry = self.task_table.get(victim.task)?;
                Some(evict(victim.task, entry, task_table::Cause::Preempted))
            })
            .collect();
        for record in records {
            self.propose(now, record);
        }
        self.promised.insert(task.clone(), worker);
        Err(slot::WaitReason::RoomBeingMade)
    }

    /// Returns the batch tasks of a worker that a priority may displace.
    fn movable(&self, worker: &id::WorkerId, priority: u32) -> Vec<placement::Victim<'_>> {
        let reserved = self.promised.values().any(|promised| promised == worker);
        if reserved {
            return Vec::new();
        }
        let on = self.task_table.on(worker);
        let lower = on.filter(|(task, entry)| {
            let batch = self.wanted.get(*task).is_none_or(|spec| spec.batch());
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

    /// Returns the work that evicting a task would lose: nothing where it can save its progress.
    pub(super) fn lost_ms(&self, task: &id::TaskId) -> u64 {
        match self.wanted.get(task).map(|spec| &spec.kind) {
            Some(work::Kind::Batch { run_time_ms, checkpoint: false }) => *run_time_ms,
            _ => 0,
        }
    }

    /// Returns the workers that may get a new task.
    pub(super) fn slots(&self, now: time::Duration) -> Vec<slot::Slot> {
        let fresh = self.settings.sync * FRESH_INTERVALS;
        let open = self.views.iter().filter(|(_, view)| view.takes_new(now, fresh));
        let slot = |(worker, view): (&id::WorkerId, &view::View)| {
            Some(slot::Slot {
                worker: worker.clone(),
                rack: sync::Arc::clone(&view.rack),
                capacity: view.incarnation.capacity?,
                used: self.task_table.used(worker),
                owners: cell::OnceCell::new(),
            })
        };
        open.filter_map(slot).collect()
    }

    /// Returns how many tasks of the same service stand in each rack; none for batch tasks.
    fn siblings(&self, spec: &spec::Spec) -> collections::BTreeMap<&str, u32> {
        let mut racks = collections::BTreeMap::new();
        if spec.batch() {
            return racks;
        }
        for (worker, view) in &self.views {
            let same = self.task_table.on(worker).filter(|(task, _)| *task.owner == *spec.owner);
            let count = u32::try_from(same.count()).unwrap_or(u32::MAX);
            *racks.entry(&*view.rack).or_default() += count;
        }
        racks
    }

    /// Returns what each team's batch tasks hold in this hall.
    fn held_by_teams(&self) -> collections::BTreeMap<id::TeamId, size::Size> {
        let mut held = collections::BTreeMap::new();
        for (task, entry) in self.task_table.entries() {
            let Some(spec) = self.wanted.get(task).filter(|spec| spec.batch()) else {
                continue;
            };
            if entry.state.worker().is_some() {
                let team: &mut size::Size = held.entry(spec.team.clone()).or_default();
                *team = team.plus(&entry.size);
            }
        }
        held
    }

    /// Returns whether one more task stays within the hall's share of its team's quota.
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
pub(super) fn evict(
    task: &id::TaskId,
    entry: &task_table::Entry,
    cause: task_table::Cause,
) -> task_table::Record {
    task_table::Record::Evict { task: task.clone(), attempt: entry.attempt, cause }
}

/// Returns the shape of a task.
fn shape_of(spec: &spec::Spec, need: &size::Size) -> slot::Shape {
    slot::Shape {
        size: *need,
        priority: spec.priority,
        team: spec.team.clone(),
        batch: spec.batch(),
    }
}
