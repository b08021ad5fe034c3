//! Looks at workers: leases, what runs there, what stands still.

use std::collections;
use std::time;

use super::event;
use super::holding;
use super::order;
use super::spec;
use super::work;
use super::worker;
use crate::id;
use crate::size;

/// The wait after a look without an answer, and how often it may double.
const LOOK_AGAIN: (time::Duration, u32) = (time::Duration::from_millis(100), 3);
/// How long a look is held back for ends whose commit is open; leases of tasks are renewed at this pace then.
const HELD_BACK: time::Duration = time::Duration::from_millis(1_000);
/// How long a look waits where some tasks serve and others fill; tails are told this often.
const LOOK_MIXED: time::Duration = time::Duration::from_millis(500);
/// How long a task may show no progress until it counts as standing still.
const STALLED: time::Duration = time::Duration::from_millis(2_000);
/// The share from which a task that is held back must show progress, in percent.
const FULL_SHARE: u8 = 40;

impl holding::Holding {
    /// Looks at the workers whose turn has come.
    pub(super) fn send_due_heartbeats(&mut self, now: time::Duration) {
        let due = self.views.iter().filter(|(_, view)| {
            // Ends that are not committed yet would only be told again, but what runs is renewed.
            let held_back = !view.unrecorded.is_empty() && now < view.heartbeat_due + HELD_BACK;
            // The entry of a service that no queue names may be anybody's.
            let ours = !view.tasks.is_empty() || self.services.contains(&view.member.service);
            ours && view.heartbeat_sent.is_none() && now >= view.heartbeat_due && !held_back
        });
        let due: Vec<id::Incarnation> = due.map(|(worker, _)| worker.clone()).collect();
        for worker in due {
            self.send_heartbeat(&worker, now);
        }
    }

    /// Looks at a worker; where a start is to be given up, the answer is wanted at once.
    fn send_heartbeat(&mut self, worker: &id::Incarnation, now: time::Duration) {
        let unsettled = self.unsettled.remove(worker);
        if unsettled {
            self.raise_fence(worker);
        }
        let epoch = self.fence(worker);
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        let busy = !view.tasks.is_empty();
        // A silent worker is granted nothing more, or its leases would never be over.
        let granted = busy && view.misses == 0;
        let lease_until_ms = if granted { view.grant(now, self.settings.task_lease) } else { None };
        let mixed = !view.serving.is_empty() && !view.filling.is_empty();
        let wait = match (view.fenced && busy && !unsettled, mixed) {
            (false, _) => time::Duration::ZERO,
            (true, true) => self.settings.heartbeat_wait.min(LOOK_MIXED),
            (true, false) => self.settings.heartbeat_wait,
        };
        view.heartbeat_sent = Some(now);
        self.out.push(event::Effect::SendHeartbeat(order::Heartbeat {
            worker: worker.clone(),
            addr: view.member.addr,
            epoch,
            seen: view.seen(),
            lease_until_ms,
            wait,
        }));
    }

    /// Takes the answer to a look.
    pub(super) fn handle_heartbeat_answer(
        &mut self,
        worker: &id::Incarnation,
        epoch: u64,
        mut answer: order::HeartbeatAnswer,
        now: time::Duration,
    ) {
        if !self.is_own(epoch) {
            return;
        }
        // A look that the holder's own later order overtook was not answered.
        let overtaken = answer == order::HeartbeatAnswer::Fenced && epoch < self.fence(worker);
        match answer.other_incarnation(worker) {
            Some(next) if worker.is_before(&next) => {
                return self.next_incarnation_answered(worker, next, now);
            }
            Some(past) => {
                tracing::warn!(%worker, %past, "a life that is over answers");
                answer = order::HeartbeatAnswer::Silent;
            }
            None => {}
        }
        if overtaken {
            answer = order::HeartbeatAnswer::Silent;
        }
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        let sent = view.heartbeat_sent.take();
        match answer {
            order::HeartbeatAnswer::Lists(lists) => {
                if view.misses > 0 {
                    tracing::info!(%worker, misses = view.misses, "worker answers again");
                }
                view.misses = 0;
                view.lapsed.clear();
                view.told = lists.ended.last().map_or(0, |ended| ended.number);
                view.sample = Some((lists.clock_ms, now));
                let first = !view.fenced;
                if first {
                    // Earlier holders may have granted as much as the worker allows until now.
                    let inherited = lists.clock_ms + worker::millis(view.inherited.lease);
                    view.granted_ms = view.granted_ms.max(inherited);
                }
                view.fenced = true;
                view.heartbeat_due = if view.tasks.is_empty() {
                    now + self.settings.idle_heartbeat_gap
                } else {
                    now + self.link.gap()
                };
                self.changed |= first;
                self.take_lists(worker, (epoch, &lists), sent.unwrap_or(now), now);
            }
            order::HeartbeatAnswer::Fenced => self.fenced = true,
            order::HeartbeatAnswer::Gone => self.worker_gone(worker),
            order::HeartbeatAnswer::Silent => {
                if view.misses == 0 {
                    tracing::warn!(%worker, "worker does not answer");
                }
                view.misses += 1;
                let (first, doublings) = LOOK_AGAIN;
                view.heartbeat_due = now + first * 2u32.pow(view.misses.min(doublings));
            }
        }
    }

    /// Takes in both lists of a worker, in answer to a look with a fence.
    fn take_lists(
        &mut self,
        worker: &id::Incarnation,
        (fence, lists): (u64, &order::Lists),
        sent: time::Duration,
        now: time::Duration,
    ) {
        for ended in &lists.ended {
            self.ended(worker, ended, now);
        }
        let running: collections::BTreeMap<spec::TaskId, u32> =
            lists.running.iter().map(|row| (row.task, row.run)).collect();
        let Some(view) = self.views.get(worker) else {
            return;
        };
        let leaving = view.member.leaving;
        let here: Vec<spec::TaskId> = view.tasks.iter().copied().collect();
        let mut adopted = collections::BTreeSet::new();
        for task in here {
            let over = self.gives_up(task) && self.is_over(task, fence, lists);
            let Some(placed) = self.placed.get_mut(&task) else {
                continue;
            };
            let runs = running.get(&task) == Some(&placed.run);
            match placed.start_state {
                work::StartState::Inherited
                | work::StartState::Orphaned
                | work::StartState::Unanswered(_)
                | work::StartState::Expiring
                    if runs =>
                {
                    if matches!(
                        placed.start_state,
                        work::StartState::Inherited | work::StartState::Orphaned
                    ) {
                        adopted.insert(task);
                    }
                    placed.start_state = work::StartState::Confirmed(now);
                }
                // The fence of this look is above all orders for the incarnation before.
                work::StartState::Orphaned if fence > placed.doubt.fence => {
                    self.free(task, "lost with the last life of its worker");
                }
                // This epoch's look was answered, so no earlier holder's start can come any more.
                work::StartState::Inherited => self.free(task, "not there"),
                work::StartState::Unanswered(_) | work::StartState::Expiring if over => {
                    self.free(task, "its start can't be carried out any more");
                }
                work::StartState::Confirmed(at) if !runs && at <= sent => {
                    self.free(task, "not there")
                }
                work::StartState::Confirmed(_)
                | work::StartState::Staged
                | work::StartState::Ordered
                | work::StartState::Orphaned
                | work::StartState::Unanswered(_)
                | work::StartState::Expiring => {}
            }
        }
        for row in &lists.running {
            let known = self.placed.get(&row.task);
            let ours = known.is_some_and(|p| p.run == row.run && p.worker == *worker);
            self.note_begun(row.task.job);
            if ours && self.loss_record.contains(row.task) {
                self.clear_suspect(row.task);
            }
            if !ours {
                self.stop_stray(worker, row);
            } else if !self.should_run(row.task) || leaving && self.leaves(row.task, row.percent) {
                self.stop(row.task, now);
            }
        }
        for task in &adopted {
            self.isolate_start(*task, worker);
        }
        self.note_strays(worker, lists);
        self.adopt_shares(worker, lists, &adopted, now);
        self.update_shares(worker, lists, now);
        self.stop_stalled(worker, lists, now);
    }

    /// Stops what stands still on a worker, so that it goes on elsewhere, and lets the worker rest.
    fn stop_stalled(
        &mut self,
        worker: &id::Incarnation,
        lists: &order::Lists,
        now: time::Duration,
    ) {
        let mut stalled = Vec::new();
        let view = self.views.get(worker);
        for row in &lists.running {
            let entry = self.jobs.get(&row.task.job);
            let step = entry.and_then(|entry| entry.job.step(row.task.step));
            let share = view.and_then(|view| view.filling.get(&row.task)).map(|f| f.percent);
            let Some(placed) = self.placed.get_mut(&row.task) else {
                continue;
            };
            let moves = placed.progress.0 != row.percent || share.is_some_and(|s| s < FULL_SHARE);
            if moves || step.is_none_or(|step| step.lasting || step.gang) {
                placed.progress = (row.percent, now);
            } else if now.saturating_sub(placed.progress.1) >= STALLED {
                stalled.push(row.task);
            }
        }
        let Some(view) = self.views.get_mut(worker).filter(|_| !stalled.is_empty()) else {
            return;
        };
        tracing::warn!(%worker, tasks = stalled.len(), "tasks stand still, the worker rests");
        view.quarantine(now);
        for task in stalled {
            self.stop(task, now);
        }
    }

    /// Counts the room of runs that are none of this holder's: it is free only once their ends are listed. A run of
    /// which the size is not known may have all of it.
    fn note_strays(&mut self, worker: &id::Incarnation, lists: &order::Lists) {
        let mut taken = size::Size::default();
        for row in &lists.running {
            let known = self.placed.get(&row.task);
            if known.is_some_and(|p| p.run == row.run && p.worker == *worker) {
                continue;
            }
            let entry = self.jobs.get(&row.task.job);
            let step = entry.and_then(|entry| entry.job.step(row.task.step));
            let capacity = self.views.get(worker).map(|view| view.member.capacity);
            let room = step.map(spec::Step::reserved).or(capacity).unwrap_or_default();
            taken = taken.plus(&room);
        }
        if let Some(view) = self.views.get_mut(worker) {
            self.changed |= view.strays != taken;
            view.strays = taken;
        }
    }

    /// Stops a run that nobody knows of.
    fn stop_stray(&mut self, worker: &id::Incarnation, row: &order::Running) {
        let Some(view) = self.views.get(worker) else {
            return;
        };
        tracing::warn!(task = %row.task, run = row.run, %worker, "unknown run is stopped");
        self.out.push(event::Effect::Stop(order::Order {
            worker: worker.clone(),
            addr: view.member.addr,
            task: row.task,
            run: row.run,
            epoch: self.fence(worker),
        }));
    }
}
