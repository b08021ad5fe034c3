//! Handles the lists of running and ended runs in the answers to heartbeats.
//!
//! A list of ends has a maximum length; later ends follow once the listed ones are acknowledged. A
//! run in neither list therefore counts as over without an end only if the list of ends is
//! complete. Until then it stays placed, so that it is not started again although it is done.

use std::collections;
use std::time;

use crate::id;
use crate::job::event;
use crate::job::holding;
use crate::job::runs::order;
use crate::job::runs::work;
use crate::job::spec;
use crate::size;

impl holding::Holding {
    /// Handles the lists of running and ended runs that answered a heartbeat with a fencing token.
    pub(in crate::job) fn apply_lists(
        &mut self,
        worker: &id::Incarnation,
        (fence, lists): (u64, &order::Lists),
        sent: time::Duration,
        now: time::Duration,
    ) {
        for ended in &lists.ended {
            self.handle_end(worker, ended, now);
        }
        let Some(leaving) = self.views.get(worker).map(|view| view.member.leaving) else {
            return;
        };
        let adopted = self.compare_placed(worker, (fence, lists), sent, now);
        for row in &lists.running {
            let known = self.placed.get(&row.task);
            let ours = known.is_some_and(|p| p.run == row.run && p.worker == *worker);
            self.note_begun(row.task.job);
            if ours && self.loss_record.contains(row.task) {
                self.clear_suspect(row.task);
            }
            if !ours {
                self.stop_unknown_run(worker, row);
            } else if !self.should_run(row.task)
                || leaving && self.should_evict(row.task, row.percent)
            {
                self.stop(row.task, now);
            }
        }
        for task in &adopted {
            self.isolate_start(*task, worker);
        }
        self.count_unknown_runs(worker, lists, now);
        self.adopt_shares(worker, lists, &adopted, now);
        self.detect_stall(worker, lists, now);
        self.update_shares(worker, lists, now);
        self.move_stalled(worker, lists, now);
    }

    /// Confirms the placed tasks that a worker runs, and frees those that are over there without an
    /// end. Returns the confirmed ones that this holder did not order from this incarnation.
    fn compare_placed(
        &mut self,
        worker: &id::Incarnation,
        (fence, lists): (u64, &order::Lists),
        sent: time::Duration,
        now: time::Duration,
    ) -> collections::BTreeSet<spec::TaskId> {
        let running: collections::BTreeMap<spec::TaskId, u32> =
            lists.running.iter().map(|row| (row.task, row.run)).collect();
        let placed_here = self.views.get(worker).map(|view| view.tasks.clone());
        let mut adopted = collections::BTreeSet::new();
        for task in placed_here.unwrap_or_default() {
            let Some(run) = self.placed.get(&task).map(|placed| placed.run) else {
                continue;
            };
            if running.get(&task) == Some(&run) {
                if self.confirm_run(task, sent, now) {
                    adopted.insert(task);
                }
            } else if let Some(why) = self.why_over(task, (fence, lists), sent) {
                self.free_unless_unlisted(task, lists, why);
            }
        }
        adopted
    }

    /// Confirms a placed task that its worker runs, by the answer to a heartbeat sent at `sent`;
    /// returns whether this holder did not order it from this incarnation.
    fn confirm_run(
        &mut self,
        task: spec::TaskId,
        sent: time::Duration,
        now: time::Duration,
    ) -> bool {
        let Some(placed) = self.placed.get_mut(&task) else {
            return false;
        };
        placed.end_unlisted = false;
        let state = placed.start_state;
        match state {
            work::StartState::Inherited
            | work::StartState::Orphaned
            | work::StartState::Unanswered(_)
            | work::StartState::Expiring => {
                placed.start_state = work::StartState::Confirmed(now);
            }
            work::StartState::Confirmed(_)
            | work::StartState::Staged
            | work::StartState::Ordered => {}
        }
        // An order in flight may still get no answer.
        if state != work::StartState::Ordered {
            self.note_shown(task, sent);
        }
        matches!(state, work::StartState::Inherited | work::StartState::Orphaned)
    }

    /// Returns why a placed task that its worker doesn't run is over there, or nothing if its start
    /// may still be carried out.
    fn why_over(
        &self,
        task: spec::TaskId,
        (fence, lists): (u64, &order::Lists),
        sent: time::Duration,
    ) -> Option<&'static str> {
        let placed = self.placed.get(&task)?;
        match placed.start_state {
            // The token of this heartbeat is above those of all orders to the previous incarnation.
            work::StartState::Orphaned if fence > placed.start_orders.fence => {
                Some("lost with the previous incarnation of its worker")
            }
            // The worker has seen this epoch, so a start by an earlier holder can't arrive any more.
            work::StartState::Inherited => Some("not running on its worker"),
            work::StartState::Confirmed(at) if at <= sent => Some("not running on its worker"),
            work::StartState::Unanswered(_) | work::StartState::Expiring
                if self.is_start_abandoned(task) && self.is_start_ruled_out(task, fence, lists) =>
            {
                Some("its start can no longer be carried out")
            }
            work::StartState::Confirmed(_)
            | work::StartState::Staged
            | work::StartState::Ordered
            | work::StartState::Orphaned
            | work::StartState::Unanswered(_)
            | work::StartState::Expiring => None,
        }
    }

    /// Frees a task that is over on its worker, unless its end may not be listed yet.
    fn free_unless_unlisted(
        &mut self,
        task: spec::TaskId,
        lists: &order::Lists,
        why: &'static str,
    ) {
        if !lists.more_ended {
            return self.free(task, why);
        }
        let Some(placed) = self.placed.get_mut(&task) else {
            return;
        };
        if !std::mem::replace(&mut placed.end_unlisted, true) {
            self.unlisted_ends += 1;
            tracing::info!(
                %task, run = placed.run, worker = %placed.worker,
                listed_upto = lists.ended.last().map(|ended| ended.number), why,
                "run kept since its end may not be listed yet"
            );
        }
    }

    /// Counts the capacity of runs that this holder didn't place; it is free only once their ends
    /// are reported, and so are their tasks. A run of unknown size counts as the worker's whole
    /// capacity.
    fn count_unknown_runs(
        &mut self,
        worker: &id::Incarnation,
        lists: &order::Lists,
        now: time::Duration,
    ) {
        let mut unknown = size::Size::default();
        let mut tasks = collections::BTreeSet::new();
        for row in &lists.running {
            let known = self.placed.get(&row.task);
            if known.is_some_and(|p| p.run == row.run && p.worker == *worker) {
                continue;
            }
            let entry = self.jobs.get(&row.task.job);
            let step = entry.and_then(|entry| entry.job.step(row.task.step));
            let capacity = self.views.get(worker).map(|view| view.member.capacity);
            let room = step.map(spec::Step::reserved).or(capacity).unwrap_or_default();
            unknown = unknown.plus(&room);
            tasks.insert(row.task);
        }
        let is_awaited = tasks.iter().any(|task| self.ready.contains_key(task));
        if let Some(view) = self.views.get_mut(worker) {
            self.changed |= view.unknown_capacity != unknown || view.unknown_runs != tasks;
            view.unknown_capacity = unknown;
            view.unknown_runs = tasks;
            if is_awaited {
                // An idle worker would be asked much later.
                view.heartbeat_due = view.heartbeat_due.min(now + self.settings.stop / 3);
            }
        }
    }

    /// Returns the tasks of runs that this holder didn't place and that may still be at work.
    pub(in crate::job) fn unknown_runs(
        &self,
        now: time::Duration,
    ) -> collections::BTreeSet<spec::TaskId> {
        let views = self.views.values().filter(|view| view.may_have_unknown_runs(now));
        views.flat_map(|view| view.unknown_runs.iter().copied()).collect()
    }

    /// Stops a run that this holder didn't place.
    fn stop_unknown_run(&mut self, worker: &id::Incarnation, row: &order::Running) {
        let Some(view) = self.views.get(worker) else {
            return;
        };
        tracing::warn!(task = %row.task, run = row.run, %worker, "stopping an unknown run");
        self.out.push(event::Effect::Stop(order::Order {
            worker: worker.clone(),
            addr: view.member.addr,
            task: row.task,
            run: row.run,
            epoch: self.fence(worker),
        }));
    }
}
