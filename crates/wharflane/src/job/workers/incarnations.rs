//! Handles consecutive incarnations of a worker, which share its id.
//!
//! A new incarnation has no state of the previous one, so the holder has a separate view of each.
//! Orders may reach either, though: an order names a worker by its id, so one meant for the
//! previous incarnation may be carried out by the next, even late. A task that was ordered there is
//! therefore not restarted until the next incarnation has answered a heartbeat with a fence above
//! that order, which shows whether the run is there and prevents a late one.

use std::collections;
use std::time;

use crate::id;
use crate::job::dispatch::pace;
use crate::job::holding;
use crate::job::lease::inherited;
use crate::job::loss::crash;
use crate::job::runs::order;
use crate::job::runs::work;
use crate::job::spec;
use crate::job::workers::unshown;
use crate::job::workers::worker;

impl holding::Holding {
    /// Begins the view of an incarnation and ends those of the worker's earlier ones.
    pub(in crate::job) fn begin_incarnation(
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
        let inherited = match follows {
            true => self.late_orders_to(&incarnation, &orphans, now),
            false => self.inherited.on(&incarnation),
        };
        let mut view = worker::View::new(member, inherited, now);
        view.listed = listed;
        view.closed = self.closed.contains(&view.member.hall);
        self.views.insert(incarnation.clone(), view);
        self.changed = true;
        for task in &orphans {
            self.move_to_incarnation(*task, &incarnation, now);
        }
        for task in here.iter().chain(&orphans) {
            self.reserve_capacity(*task, &incarnation);
        }
        for task in orphans {
            self.fail_job_after_losses(task, now);
        }
    }

    /// Handles an answer from a later incarnation than the one addressed.
    pub(in crate::job) fn handle_next_incarnation(
        &mut self,
        meant: &id::Incarnation,
        incarnation: id::Incarnation,
        now: time::Duration,
    ) {
        let Some(view) = self.views.get(meant) else {
            return;
        };
        // Its capacity and type may differ, so nothing new is placed there until the store lists
        // it.
        let member = order::Member { incarnation, ..view.member.clone() };
        self.begin_incarnation(member, false, now);
    }

    /// Ends an incarnation that another one follows; returns the tasks whose orders may have
    /// reached the next one.
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
        tracing::warn!(worker = %past, %next, tasks = here.len(), "worker restarted");
        // A row of an older version doesn't name the incarnation, which may be the one that still
        // runs.
        if past.born_ms.is_some() {
            self.handle_incarnation_end(past, &here);
        }
        // Orders to the past incarnation carry the current fence, so the next one must first see a
        // higher one.
        if self.is_own(self.fence(past) + 1) {
            *self.fence_offsets.entry(past.worker.clone()).or_insert(0) += 1;
        }
        here.iter().for_each(|task| self.note_last_ran(*task));
        self.views.remove(past);
        self.unsettled.remove(past);
        let (ordered, others): (Vec<_>, Vec<_>) =
            here.into_iter().partition(|task| self.may_reach_next_incarnation(*task));
        for task in others {
            self.free(task, "worker restarted before the start was ordered");
        }
        ordered
    }

    /// Returns whether an order to start a task may be carried out by the incarnation after the one
    /// addressed.
    pub(in crate::job) fn may_reach_next_incarnation(&self, task: spec::TaskId) -> bool {
        self.placed.get(&task).is_some_and(|placed| {
            placed.start_state == work::StartState::Orphaned
                || crash::may_have_received_order(placed)
        })
    }

    /// Returns the leases that orders for the incarnation before may cause on one that follows it,
    /// and records them for the next holder, who doesn't know of the restart.
    fn late_orders_to(
        &mut self,
        incarnation: &id::Incarnation,
        orphans: &[spec::TaskId],
        now: time::Duration,
    ) -> inherited::Leases {
        let is_late = |task: &spec::TaskId| {
            self.unshown.contains(*task)
                || self.placed.get(task).is_some_and(|placed| {
                    placed.start_orders.unanswered > 0
                        || !matches!(placed.start_state, work::StartState::Confirmed(_))
                })
        };
        let late = match orphans.iter().any(is_late) {
            true => unshown::MAX_CALL_DELAY,
            false => time::Duration::ZERO,
        };
        // The worker cuts the lease that an order for the past incarnation requested to this.
        let longest = self.settings.task_lease_max;
        let until = now + late + worker::longest_by_holder_clock(longest);
        if !orphans.is_empty() {
            self.inherited.note_restart(incarnation, until, now);
        }
        inherited::Leases { longest, older_until: time::Duration::ZERO, until }
    }

    /// Moves a task whose run was lost with the past incarnation of its worker to the next one,
    /// which may have received the same order.
    fn move_to_incarnation(
        &mut self,
        task: spec::TaskId,
        incarnation: &id::Incarnation,
        now: time::Duration,
    ) {
        let Some(placed) = self.placed.get_mut(&task) else {
            return;
        };
        if placed.start_state == work::StartState::Ordered {
            self.unshown.note_unanswered(task, now);
        }
        *placed = work::Placed::orphaned(incarnation.clone(), placed, now);
        self.strains.remove(&task);
        let entry = self.jobs.get_mut(&task.job);
        let state = entry.and_then(|entry| entry.progress.tasks.get_mut(&task.into()));
        if let Some(state) = state {
            state.worker = Some(incarnation.clone());
        }
        self.mark_task(task);
    }

    /// Reserves the capacity of a placed task on its worker.
    fn reserve_capacity(&mut self, task: spec::TaskId, incarnation: &id::Incarnation) {
        let entry = self.jobs.get(&task.job);
        let urgent = entry.is_some_and(|entry| pace::is_urgent(entry.policy.priority));
        let step = entry.and_then(|entry| entry.job.step(task.step));
        if let (Some(step), Some(view)) = (step, self.views.get_mut(incarnation)) {
            let image = self.learned.interference.image(step.image.as_deref());
            view.add(task, step, image, urgent);
        }
    }
}
