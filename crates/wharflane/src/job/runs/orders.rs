//! Sends orders to start and stop tasks to workers, and repeats them until their outcome is known.

use std::time;

use crate::job::dispatch::pace;
use crate::job::event;
use crate::job::holding;
use crate::job::runs::order;
use crate::job::runs::work;
use crate::job::spec;
use crate::job::workers::worker;

/// The delay before an order without an answer is sent again.
const START_RETRY_DELAY: time::Duration = time::Duration::from_millis(400);
/// The number of unanswered orders after which a start is abandoned and its task moves to another
/// worker; three take 3 s, by which time the outcome of one that was only late or lost is known.
const MAX_UNANSWERED: u32 = 3;
/// The delay before a failed stop is sent again. A call counts as unanswered after 0.6 s, so four
/// in a row may be lost within the 3 s that a cancellation may take.
const STOP_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
/// The slack beyond the longest time of a stop before it is sent again, for round trips and one
/// heartbeat.
const STOP_SLACK: time::Duration = time::Duration::from_millis(300);
/// How long a worker gets nothing new that lacks room, reports itself unhealthy or accepts no
/// connection.
const REFUSED_BACKOFF: time::Duration = time::Duration::from_millis(400);

impl holding::Holding {
    /// Sends the starts that are now committed.
    pub(in crate::job) fn send_committed_starts(
        &mut self,
        starts: &[spec::TaskId],
        now: time::Duration,
    ) {
        for task in self.release_barred(starts) {
            let should_run = self.should_run(task);
            let staged = self
                .placed
                .get(&task)
                .is_some_and(|placed| placed.start_state == work::StartState::Staged);
            if !staged {
                continue;
            }
            self.unshown.add(task, self.version);
            if should_run && !self.has_room(task) {
                self.free(task, "worker capacity shrank before the start was ordered");
            } else if should_run && self.may_order(now) && !self.leaving {
                self.send_start(task, now);
            } else if should_run {
                // Never sent by this host, so whoever holds the domain may send it later.
                self.set_start_state(task, work::StartState::Unanswered(now));
            } else {
                self.free(task, "ended before its start was ordered");
            }
        }
    }

    /// Returns whether the worker of a task still has room for everything reserved there. Members
    /// of a gang start together or not at all, so for them this check is left to the worker.
    fn has_room(&self, task: spec::TaskId) -> bool {
        let placed = self.placed.get(&task);
        let view = placed.and_then(|placed| self.views.get(&placed.worker));
        self.is_in_gang(task) || view.is_none_or(worker::View::fits)
    }

    /// Returns whether a task belongs to a step whose tasks run only all together.
    pub(in crate::job) fn is_in_gang(&self, task: spec::TaskId) -> bool {
        let entry = self.jobs.get(&task.job);
        entry.and_then(|entry| entry.job.step(task.step)).is_some_and(|step| step.gang)
    }

    /// Sends the order to start a placed task.
    fn send_start(&mut self, task: spec::TaskId, now: time::Duration) {
        let Some(placed) = self.placed.get(&task) else {
            return;
        };
        let fence = self.fence(&placed.worker);
        let Some(placed) = self.placed.get_mut(&task) else {
            return;
        };
        let Some(view) = self.views.get_mut(&placed.worker) else {
            return;
        };
        let Some(lease_until_ms) = view.grant(now, self.settings.task_lease) else {
            placed.start_state = work::StartState::Unanswered(now + START_RETRY_DELAY);
            return;
        };
        self.link.deduct_start();
        // An idle worker would get its next heartbeat much later.
        view.heartbeat_due = view.heartbeat_due.min(now + self.link.gap());
        placed.start_state = work::StartState::Ordered;
        placed.lease_until_ms = placed.lease_until_ms.max(lease_until_ms);
        placed.start_orders.fence = fence;
        let Some(entry) = self.jobs.get(&task.job) else {
            return;
        };
        let state = entry.progress.tasks.get(&task.into());
        let checkpoint = state.map_or_else(String::new, |state| state.checkpoint.clone());
        let order = work::order_for(placed, view.member.addr, task, fence);
        // A ticket that expired meanwhile is requested again, possibly for another worker.
        let Some(ticket) = self.ticket_for(&order, now) else {
            return self.handle_refused_start(task);
        };
        self.unshown.note_ordered(task);
        tracing::info!(
            %task, run = order.run, worker = %order.worker, epoch = order.epoch, lease_until_ms,
            "start ordered"
        );
        let spec = entry.job.spec.clone();
        let urgent = pace::is_urgent(entry.policy.priority);
        let start = order::Start { order, spec, lease_until_ms, checkpoint, ticket, urgent };
        self.out.push(event::Effect::Start(start));
    }

    /// Stops a placed task, unless its start is still in flight.
    pub(in crate::job) fn stop(&mut self, task: spec::TaskId, now: time::Duration) {
        let Some(placed) = self.placed.get_mut(&task) else {
            return;
        };
        match placed.start_state {
            work::StartState::Staged if !self.staged.contains(&task) => {}
            work::StartState::Staged => self.free(task, "ended before its start was committed"),
            // A stop that arrives before its start has no effect, so it waits until the start is
            // confirmed.
            work::StartState::Ordered
            | work::StartState::Unanswered(_)
            | work::StartState::Expiring => {}
            work::StartState::Confirmed(_)
            | work::StartState::Inherited
            | work::StartState::Orphaned => {
                self.order_stop(task, now);
            }
        }
    }

    /// Sends an order to stop, unless an earlier one may still take effect.
    fn order_stop(&mut self, task: spec::TaskId, now: time::Duration) {
        let Some(placed) = self.placed.get_mut(&task) else {
            return;
        };
        let retry_after = self.settings.stop + STOP_SLACK;
        let due = placed.stopped.is_none_or(|at| now.saturating_sub(at) >= retry_after);
        let Some(view) = self.views.get(&placed.worker).filter(|_| due) else {
            return;
        };
        placed.stopped = Some(now);
        let addr = view.member.addr;
        let placed = placed.clone();
        let order = work::order_for(&placed, addr, task, self.fence(&placed.worker));
        tracing::info!(%task, run = placed.run, worker = %placed.worker, "stop ordered");
        self.out.push(event::Effect::Stop(order));
    }

    /// Handles an order to stop that failed by scheduling another.
    pub(in crate::job) fn handle_failed_stop(&mut self, order: &order::Order, now: time::Duration) {
        let current = self.placed.get(&order.task).is_some_and(|placed| {
            placed.run == order.run && placed.worker == order.worker && self.is_own(order.epoch)
        });
        if current {
            tracing::info!(
                task = %order.task, run = order.run, worker = %order.worker, "order to stop failed"
            );
            self.stop_retries.insert(order.task, now + STOP_RETRY_DELAY);
        }
    }

    /// Stops all runs of jobs that ended under an earlier holder: its orders to stop may have been
    /// lost, and so may the heartbeats that would show these runs.
    pub(in crate::job) fn stop_unwanted(&mut self, now: time::Duration) {
        let unwanted = self.placed.keys().copied().filter(|task| !self.should_run(*task));
        let unwanted: Vec<spec::TaskId> = unwanted.collect();
        for task in unwanted {
            self.stop(task, now);
        }
    }

    /// Sends failed orders to stop again if they are due, unless the run has ended.
    pub(in crate::job) fn resend_stops(&mut self, now: time::Duration) {
        let due = self.stop_retries.iter().filter(|(_, at)| now >= **at);
        let due: Vec<spec::TaskId> = due.map(|(task, _)| *task).collect();
        for task in due {
            self.stop_retries.remove(&task);
            let Some(placed) = self.placed.get_mut(&task).filter(|p| p.stopped.is_some()) else {
                continue;
            };
            placed.stopped = None;
            // The stop is sent even if heartbeats go unanswered: it may arrive although its answer
            // is lost, as those of the heartbeats are.
            self.stop(task, now);
        }
    }

    /// Sends unanswered orders to start again if they are due.
    pub(in crate::job) fn resend_starts(&mut self, now: time::Duration) {
        let due = self.placed.iter().filter(|(_, placed)| match placed.start_state {
            work::StartState::Unanswered(at) => now >= at,
            work::StartState::Expiring => true,
            _ => false,
        });
        let due: Vec<spec::TaskId> = due.map(|(task, _)| *task).collect();
        for task in due {
            self.retry_start(task, now);
        }
    }

    /// Sends an order to start again, or abandons the start after too many attempts.
    fn retry_start(&mut self, task: spec::TaskId, now: time::Duration) {
        let Some(placed) = self.placed.get(&task) else {
            return;
        };
        let (worker, start_orders) = (placed.worker.clone(), placed.start_orders);
        if self.is_start_abandoned(task) {
            return self.resolve_start(task, now);
        }
        let has_room = self.has_room(task);
        let Some(view) = self.views.get_mut(&worker) else {
            return;
        };
        let barred = view.is_barred();
        if start_orders.unanswered >= MAX_UNANSWERED || !has_room || barred {
            tracing::warn!(
                %task, %worker, doubt.unanswered = start_orders.unanswered, has_room, barred,
                "start abandoned"
            );
            if !barred {
                view.quarantine(now);
            }
            self.set_start_state(task, work::StartState::Expiring);
            return self.resolve_start(task, now);
        }
        if view.missed_heartbeats == 0 {
            self.send_start(task, now);
        } else if start_orders.not_sent > 0 && start_orders.fence == 0 {
            self.free_unstarted(task, "its start was not sent");
        }
    }

    /// Requests a heartbeat at once, which decides whether an abandoned start was carried out.
    fn resolve_start(&mut self, task: spec::TaskId, now: time::Duration) {
        let Some(placed) = self.placed.get(&task) else {
            return;
        };
        if placed.start_orders.fence == 0 {
            return self.free(task, "its start was never ordered");
        }
        let worker = placed.worker.clone();
        if let Some(view) = self.views.get_mut(&worker).filter(|view| view.missed_heartbeats == 0) {
            view.heartbeat_due = view.heartbeat_due.min(now);
        }
        self.unsettled.insert(worker);
        // The run may be there although its answer and those to heartbeats are lost.
        if !self.should_run(task) {
            self.order_stop(task, now);
        }
    }

    /// Sets the state of a task's start, if the task is placed.
    fn set_start_state(&mut self, task: spec::TaskId, start_state: work::StartState) {
        if let Some(placed) = self.placed.get_mut(&task) {
            placed.start_state = start_state;
        }
    }

    /// Handles the answer to an order to start.
    pub(in crate::job) fn handle_start_answer(
        &mut self,
        order: &order::Order,
        answer: order::StartAnswer,
        now: time::Duration,
    ) {
        if !self.is_own(order.epoch) {
            return;
        }
        let current = self.placed.get(&order.task).is_some_and(|placed| {
            placed.run == order.run
                && placed.worker == order.worker
                && placed.start_state == work::StartState::Ordered
        });
        if !current {
            return;
        }
        if !matches!(answer, order::StartAnswer::Taken { .. }) {
            tracing::info!(
                task = %order.task, run = order.run, worker = %order.worker, ?answer,
                "start refused or unanswered"
            );
        }
        if let order::StartAnswer::Taken { clock_ms: Some(clock_ms) } = answer {
            self.note_taken(order, clock_ms, now);
        }
        let should_run = self.should_run(order.task);
        match answer {
            order::StartAnswer::Taken { .. }
            | order::StartAnswer::Refused(order::StartRefusal::Old) => {
                // An old run has already ended there; the next heartbeat answer reports its end or
                // its absence.
                self.set_start_state(order.task, work::StartState::Confirmed(now));
                self.note_begun(order.task.job);
                self.tickets.note_start(order.task, &order.worker);
                if let Some(placed) = self.placed.get_mut(&order.task) {
                    placed.began = placed.began.or(Some(now));
                }
                self.send_shares(&order.worker, now);
                if !should_run {
                    self.stop(order.task, now);
                }
            }
            order::StartAnswer::Refused(order::StartRefusal::Fenced)
                if order.epoch < self.fence(&order.worker) =>
            {
                // The fence was raised while the order was in flight.
                self.set_start_state(order.task, work::StartState::Unanswered(now));
            }
            order::StartAnswer::Refused(order::StartRefusal::Fenced) => self.fenced = true,
            order::StartAnswer::Refused(order::StartRefusal::Ticket) => {
                self.tickets.note_refusal(order.task, &order.worker, now);
                self.handle_refused_start(order.task);
            }
            order::StartAnswer::Refused(_) | order::StartAnswer::Unwell => {
                if let Some(view) = self.views.get_mut(&order.worker) {
                    view.backoff_until = view.backoff_until.max(now + REFUSED_BACKOFF);
                }
                self.handle_refused_start(order.task);
            }
            order::StartAnswer::Gone => {
                let unanswered =
                    self.placed.get(&order.task).map_or(0, |p| p.start_orders.unanswered);
                if unanswered == 0 {
                    // The addressed incarnation never received the order, so the task didn't cause
                    // its end.
                    self.free(order.task, "worker replaced before the order arrived");
                }
                self.remove_worker(&order.worker);
            }
            order::StartAnswer::NotSent => {
                self.handle_unsent_start(order.task, REFUSED_BACKOFF, now);
            }
            // The host was too slow, which shows nothing of the worker.
            order::StartAnswer::TooLate => {
                self.handle_unsent_start(order.task, time::Duration::ZERO, now);
            }
            order::StartAnswer::Silent => self.handle_unanswered_start(order.task, now),
        }
    }

    /// Handles a start whose order was not sent: it takes the task to another worker at once,
    /// unless an earlier order may still be carried out. A member of a gang stays for some
    /// attempts, since the others may run already and would wait for it in vain. The worker gets
    /// nothing new for `backoff`.
    fn handle_unsent_start(
        &mut self,
        task: spec::TaskId,
        backoff: time::Duration,
        now: time::Duration,
    ) {
        let is_in_gang = self.is_in_gang(task);
        let Some(placed) = self.placed.get_mut(&task) else {
            return;
        };
        if placed.start_orders.unanswered > 0 {
            return self.handle_unanswered_start(task, now);
        }
        placed.start_orders.fence = 0;
        placed.start_orders.not_sent += 1;
        let stays = is_in_gang && placed.start_orders.not_sent < MAX_UNANSWERED;
        if let Some(view) = self.views.get_mut(&placed.worker) {
            view.backoff_until = view.backoff_until.max(now + backoff);
            view.heartbeat_due = view.heartbeat_due.min(now);
        }
        if stays {
            placed.start_state = work::StartState::Unanswered(now + START_RETRY_DELAY);
        } else {
            self.free_unstarted(task, "its start was not sent");
        }
    }

    /// Schedules another order for a start whose order had no answer.
    fn handle_unanswered_start(&mut self, task: spec::TaskId, now: time::Duration) {
        if let Some(placed) = self.placed.get_mut(&task) {
            placed.start_state = work::StartState::Unanswered(now + START_RETRY_DELAY);
            placed.start_orders.unanswered += 1;
            self.unshown.note_unanswered(task, now);
        }
    }

    /// Frees a task whose start failed before the task ran, so that its wait goes on.
    fn free_unstarted(&mut self, task: spec::TaskId, why: &'static str) {
        let since = self.placed.get(&task).map(|placed| placed.ready_since);
        self.free(task, why);
        if let (Some(ready), Some(since)) = (self.ready.get_mut(&task), since) {
            ready.since = since;
        }
    }

    /// Frees a task whose start was refused, unless an earlier order may still be carried out.
    fn handle_refused_start(&mut self, task: spec::TaskId) {
        let unanswered = self.placed.get(&task).is_some_and(|p| p.start_orders.unanswered > 0);
        if unanswered {
            tracing::info!(
                %task, "start refused, but an earlier unanswered order may still be carried out"
            );
            self.set_start_state(task, work::StartState::Expiring);
        } else {
            self.free_unstarted(task, "refused");
        }
    }
}
