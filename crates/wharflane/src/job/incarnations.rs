//! Incarnations of workers that follow one another under the same id.
//!
//! The next incarnation knows nothing of the last one, and nothing that was known of the last one holds for it: each has a view of
//! its own. What it may share are orders. They name a worker by its id, so that one which was meant for the last incarnation may
//! be carried out by the next, at once or late. A task that was ordered there is therefore not started anew until the
//! next incarnation has answered a look with a fence above that order: it shows whether the run is there, and none comes later.

use std::collections;
use std::time;

use super::crash;
use super::holding;
use super::order;
use super::spec;
use super::work;
use super::worker;
use crate::id;

/// How long after it was sent an order without an answer may be carried out at the latest.
const LATEST_ORDER: time::Duration = time::Duration::from_secs(12);

impl holding::Holding {
    /// Begins the view of an incarnation; those of the same worker before it are over.
    pub(super) fn begin_incarnation(
        &mut self,
        member: order::Member,
        listed: bool,
        now: time::Duration,
    ) {
        let incarnation = member.incarnation.clone();
        let placed =
            self.placed.iter().filter(|(_, placed)| placed.worker.worker == incarnation.worker);
        let mut by_incarnation = collections::BTreeMap::<id::Incarnation, Vec<spec::TaskId>>::new();
        for (task, placed) in placed {
            by_incarnation.entry(placed.worker.clone()).or_default().push(*task);
        }
        let here = by_incarnation.remove(&incarnation).unwrap_or_default();
        for (past, _) in
            self.views.range(id::Incarnation::from(incarnation.worker.clone())..incarnation.clone())
        {
            by_incarnation.entry(past.clone()).or_default();
        }
        by_incarnation.retain(|past, _| past.is_before(&incarnation));
        let follows = !by_incarnation.is_empty();
        let mut orphans = Vec::new();
        for (past, tasks) in by_incarnation {
            orphans.extend(self.end_incarnation(&past, &incarnation, tasks));
        }
        let mut view = worker::View::new(member, self.inherited_by(&orphans, follows, now), now);
        view.listed = listed;
        view.closed = self.closed.contains(&view.member.hall);
        self.views.insert(incarnation.clone(), view);
        self.changed = true;
        for task in &orphans {
            self.hand_on(*task, &incarnation, now);
        }
        for task in here.iter().chain(&orphans) {
            self.set_aside_room(*task, &incarnation);
        }
        for task in orphans {
            self.give_up_if_lost(task, now);
        }
    }

    /// Takes note of a later incarnation that answered where one was meant.
    pub(super) fn next_incarnation_answered(
        &mut self,
        meant: &id::Incarnation,
        incarnation: id::Incarnation,
        now: time::Duration,
    ) {
        let Some(view) = self.views.get(meant) else {
            return;
        };
        // Its room and its kind may be others: nothing new goes there until the store lists it.
        let member = order::Member { incarnation, ..view.member.clone() };
        self.begin_incarnation(member, false, now);
    }

    /// Ends an incarnation that another one follows; returns the tasks of which an order may have reached the next incarnation.
    fn end_incarnation(
        &mut self,
        past: &id::Incarnation,
        next: &id::Incarnation,
        here: Vec<spec::TaskId>,
    ) -> Vec<spec::TaskId> {
        if let Some(view) = self.views.get_mut(past) {
            view.listed = false;
        }
        self.restarted += 1;
        tracing::warn!(worker = %past, %next, tasks = here.len(), "worker has started again");
        // A row of an older version does not tell which incarnation it means: it may be the one that lives.
        if past.born_ms.is_some() {
            self.note_end_of_incarnation(past, &here);
        }
        // Orders for the past incarnation bring the fence of today: the next incarnation is to see a higher one first.
        if self.is_own(self.fence(past) + 1) {
            *self.fence_offsets.entry(past.worker.clone()).or_insert(0) += 1;
        }
        self.views.remove(past);
        self.unsettled.remove(past);
        let (ordered, others): (Vec<_>, Vec<_>) =
            here.into_iter().partition(|task| self.may_reach_the_next_incarnation(*task));
        for task in others {
            self.free(task, "its worker has started again before its start was ordered");
        }
        ordered
    }

    /// Returns whether an order to start a task may be carried out by the incarnation that follows the one it was meant for.
    fn may_reach_the_next_incarnation(&self, task: spec::TaskId) -> bool {
        self.placed.get(&task).is_some_and(|placed| {
            placed.start_state == work::StartState::Orphaned || crash::was_ordered_there(placed)
        })
    }

    /// Returns what may run on an incarnation before it first answers.
    fn inherited_by(
        &self,
        orphans: &[spec::TaskId],
        follows: bool,
        now: time::Duration,
    ) -> worker::Inherited {
        if !follows {
            return worker::Inherited { lease: self.inherited, until: self.inherited_until() };
        }
        let open = orphans.iter().filter_map(|task| self.placed.get(task));
        let mut open = open.filter(|placed| {
            placed.doubt.unanswered > 0
                || !matches!(placed.start_state, work::StartState::Confirmed(_))
        });
        let late = if open.next().is_some() { LATEST_ORDER } else { time::Duration::ZERO };
        // Whatever an order for the past incarnation asked for by the clock of that incarnation, it is cut to this.
        let lease = self.settings.task_lease_max;
        worker::Inherited { lease, until: now + late + worker::longest(lease) }
    }

    /// Hands a task whose run was lost with the past incarnation of its worker to the next one, which may have been given the
    /// same order.
    fn hand_on(&mut self, task: spec::TaskId, incarnation: &id::Incarnation, now: time::Duration) {
        let Some(placed) = self.placed.get_mut(&task) else {
            return;
        };
        *placed = work::Placed::orphaned(incarnation.clone(), placed, now);
        self.strains.remove(&task);
        let entry = self.jobs.get_mut(&task.job);
        let state = entry.and_then(|entry| entry.progress.tasks.get_mut(&task.into()));
        if let Some(state) = state {
            state.worker = Some(incarnation.clone());
        }
        self.mark_task(task);
    }

    /// Sets the room of a placed task aside on its worker.
    fn set_aside_room(&mut self, task: spec::TaskId, incarnation: &id::Incarnation) {
        let entry = self.jobs.get(&task.job);
        let step = entry.and_then(|entry| entry.job.step(task.step));
        if let (Some(step), Some(view)) = (step, self.views.get_mut(incarnation)) {
            let image = self.learned.interference.image(step.image.as_deref());
            view.add(task, step, image);
        }
    }
}
