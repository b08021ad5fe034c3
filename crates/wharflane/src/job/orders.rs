//! Orders to workers: starts and stops, given again until they are known.

use std::time;

use super::event;
use super::holding;
use super::order;
use super::spec;
use super::work;
use super::worker;

/// The wait before an order without an answer is given again.
const ORDER_AGAIN: time::Duration = time::Duration::from_millis(400);
/// The orders without an answer after which a task goes to another worker; three take 3 s, and one that was
/// only late or lost is known by then.
const MOST_UNANSWERED: u32 = 3;
/// The wait before a stop that was not taken is given again. With 0.6 s until a call counts as unanswered, four in a
/// row may be lost within the 3 s that a cancel may take.
const STOP_AGAIN: time::Duration = time::Duration::from_millis(100);
/// What is added to the time of a stop before it is given again: the trips, and one look.
const STOP_SLACK: time::Duration = time::Duration::from_millis(300);
/// How long a worker that refuses for want of room, or is not well, gets nothing new.
const REFUSED_REST: time::Duration = time::Duration::from_millis(400);

impl holding::Holding {
    /// Sends the starts whose commit stands.
    pub(super) fn release(&mut self, starts: &[spec::TaskId], now: time::Duration) {
        for task in self.release_barred(starts) {
            let wanted = self.should_run(task);
            let staged = self
                .placed
                .get(&task)
                .is_some_and(|placed| placed.start_state == work::StartState::Staged);
            if !staged {
                continue;
            }
            if wanted && !self.has_room(task) {
                self.free(task, "its worker's room shrank before its start was ordered");
            } else if wanted && self.may_order(now) && !self.leaving {
                self.send_start(task, now);
            } else if wanted {
                // Not ordered, so it may be ordered later by whoever holds the domain then.
                self.set_start_state(task, work::StartState::Unanswered(now));
            } else {
                self.free(task, "ended before its start was ordered");
            }
        }
    }

    /// Returns whether the worker of a task still has room for all that is set aside there. A gang's members start
    /// together or not at all, so that they are left to the worker's own guard.
    fn has_room(&self, task: spec::TaskId) -> bool {
        let placed = self.placed.get(&task);
        let view = placed.and_then(|placed| self.views.get(&placed.worker));
        self.is_in_gang(task) || view.is_none_or(worker::View::fits)
    }

    /// Returns whether a task works only together with the others of its step.
    pub(super) fn is_in_gang(&self, task: spec::TaskId) -> bool {
        let entry = self.jobs.get(&task.job);
        entry.and_then(|entry| entry.job.step(task.step)).is_some_and(|step| step.gang)
    }

    /// Orders the start of a placed task.
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
            placed.start_state = work::StartState::Unanswered(now + ORDER_AGAIN);
            return;
        };
        self.link.sent();
        // A worker that was idle would be looked at much later.
        view.heartbeat_due = view.heartbeat_due.min(now + self.link.gap());
        placed.start_state = work::StartState::Ordered;
        placed.lease_until_ms = placed.lease_until_ms.max(lease_until_ms);
        placed.doubt.fence = fence;
        let Some(entry) = self.jobs.get(&task.job) else {
            return;
        };
        let state = entry.progress.tasks.get(&task.into());
        let checkpoint = state.map_or_else(String::new, |state| state.checkpoint.clone());
        let order = work::order_for(placed, view.member.addr, task, fence);
        // A ticket that ran out on the way to here is asked for anew, maybe for another worker.
        let Some(ticket) = self.ticket_for(&order, now) else {
            return self.start_refused(task);
        };
        tracing::info!(
            %task, run = order.run, worker = %order.worker, epoch = order.epoch, lease_until_ms,
            "start ordered"
        );
        let spec = entry.job.spec.clone();
        let start = order::Start { order, spec, lease_until_ms, checkpoint, ticket };
        self.out.push(event::Effect::Start(start));
    }

    /// Orders a placed task to stop.
    pub(super) fn stop(&mut self, task: spec::TaskId, now: time::Duration) {
        let Some(placed) = self.placed.get_mut(&task) else {
            return;
        };
        match placed.start_state {
            work::StartState::Staged if !self.staged.contains(&task) => {}
            work::StartState::Staged => self.free(task, "ended before its start was written"),
            // A stop that comes before its start has no effect: the start must be there first.
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

    /// Sends an order to stop, unless one was sent whose effect may still show.
    fn order_stop(&mut self, task: spec::TaskId, now: time::Duration) {
        let Some(placed) = self.placed.get_mut(&task) else {
            return;
        };
        let again = self.settings.stop + STOP_SLACK;
        let due = placed.stopped.is_none_or(|at| now.saturating_sub(at) >= again);
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

    /// Notes that an order to stop was not taken, so that it is given again soon.
    pub(super) fn stop_not_taken(&mut self, order: &order::Order, now: time::Duration) {
        let open = self.placed.get(&order.task).is_some_and(|placed| {
            placed.run == order.run && placed.worker == order.worker && self.is_own(order.epoch)
        });
        if open {
            tracing::info!(task = %order.task, run = order.run, worker = %order.worker, "stop not taken");
            self.stop_retries.insert(order.task, now + STOP_AGAIN);
        }
    }

    /// Orders everything to stop that runs on from jobs that ended under an earlier holder: its stops may have been
    /// lost, and the looks that would show what runs there may be lost as well.
    pub(super) fn stop_unwanted(&mut self, now: time::Duration) {
        let unwanted = self.placed.keys().copied().filter(|task| !self.should_run(*task));
        let unwanted: Vec<spec::TaskId> = unwanted.collect();
        for task in unwanted {
            self.stop(task, now);
        }
    }

    /// Gives stops again that were not taken, unless the run has ended.
    pub(super) fn repeat_stops(&mut self, now: time::Duration) {
        let due = self.stop_retries.iter().filter(|(_, at)| now >= **at);
        let due: Vec<spec::TaskId> = due.map(|(task, _)| *task).collect();
        for task in due {
            self.stop_retries.remove(&task);
            let Some(placed) = self.placed.get_mut(&task).filter(|p| p.stopped.is_some()) else {
                continue;
            };
            placed.stopped = None;
            // Also where looks have no answer: a stop may be carried out whose answer is lost like theirs.
            self.stop(task, now);
        }
    }

    /// Gives orders again that had no answer.
    pub(super) fn repeat_orders(&mut self, now: time::Duration) {
        let due = self.placed.iter().filter(|(_, placed)| match placed.start_state {
            work::StartState::Unanswered(at) => now >= at,
            work::StartState::Expiring => true,
            _ => false,
        });
        let due: Vec<spec::TaskId> = due.map(|(task, _)| *task).collect();
        for task in due {
            self.repeat_start(task, now);
        }
    }

    /// Gives an order to start again, or sees to it that it can be given up.
    fn repeat_start(&mut self, task: spec::TaskId, now: time::Duration) {
        let Some(placed) = self.placed.get(&task) else {
            return;
        };
        let (worker, doubt) = (placed.worker.clone(), placed.doubt);
        if self.gives_up(task) {
            return self.settle(task, now);
        }
        let has_room = self.has_room(task);
        let Some(view) = self.views.get_mut(&worker) else {
            return;
        };
        let barred = view.is_barred();
        if doubt.unanswered >= MOST_UNANSWERED || !has_room || barred {
            tracing::warn!(
                %task, %worker, doubt.unanswered, has_room, barred, "starts without an answer, given up"
            );
            if !barred {
                view.quarantine(now);
            }
            self.set_start_state(task, work::StartState::Expiring);
            return self.settle(task, now);
        }
        if view.misses == 0 {
            self.send_start(task, now);
        }
    }

    /// Lets a look find out at once what became of a start that is to be given up.
    fn settle(&mut self, task: spec::TaskId, now: time::Duration) {
        let Some(placed) = self.placed.get(&task) else {
            return;
        };
        if placed.doubt.fence == 0 {
            return self.free(task, "its start was never ordered");
        }
        let worker = placed.worker.clone();
        if let Some(view) = self.views.get_mut(&worker).filter(|view| view.misses == 0) {
            view.heartbeat_due = view.heartbeat_due.min(now);
        }
        self.unsettled.insert(worker);
        // The run may be there with its answer lost, and looks may be lost like it.
        if !self.should_run(task) {
            self.order_stop(task, now);
        }
    }

    /// Notes what is known of a start.
    fn set_start_state(&mut self, task: spec::TaskId, start_state: work::StartState) {
        if let Some(placed) = self.placed.get_mut(&task) {
            placed.start_state = start_state;
        }
    }

    /// Takes the answer to an order to start.
    pub(super) fn started(
        &mut self,
        order: &order::Order,
        answer: order::StartAnswer,
        now: time::Duration,
    ) {
        if !self.is_own(order.epoch) {
            return;
        }
        let open = self.placed.get(&order.task).is_some_and(|placed| {
            placed.run == order.run
                && placed.worker == order.worker
                && placed.start_state == work::StartState::Ordered
        });
        if !open {
            return;
        }
        if answer != order::StartAnswer::Taken {
            tracing::info!(
                task = %order.task, run = order.run, worker = %order.worker, ?answer,
                "start not taken"
            );
        }
        let wanted = self.should_run(order.task);
        match answer {
            order::StartAnswer::Taken | order::StartAnswer::Refused(order::StartRefusal::Old) => {
                // An old run is one that ended there: the next look tells how, or that it is gone.
                self.set_start_state(order.task, work::StartState::Confirmed(now));
                self.note_begun(order.task.job);
                if let Some(placed) = self.placed.get_mut(&order.task) {
                    placed.began = placed.began.or(Some(now));
                }
                self.send_shares(&order.worker, now);
                if !wanted {
                    self.stop(order.task, now);
                }
            }
            order::StartAnswer::Refused(order::StartRefusal::Fenced)
                if order.epoch < self.fence(&order.worker) =>
            {
                // The fence was raised while the order was on its way.
                self.set_start_state(order.task, work::StartState::Unanswered(now));
            }
            order::StartAnswer::Refused(order::StartRefusal::Fenced) => self.fenced = true,
            order::StartAnswer::Refused(order::StartRefusal::Ticket) => {
                self.tickets.refused(order.task, &order.worker);
                self.start_refused(order.task);
            }
            order::StartAnswer::Refused(_) | order::StartAnswer::Unwell => {
                if let Some(view) = self.views.get_mut(&order.worker) {
                    view.rests_until = view.rests_until.max(now + REFUSED_REST);
                }
                self.start_refused(order.task);
            }
            order::StartAnswer::Gone => {
                let unanswered = self.placed.get(&order.task).map_or(0, |p| p.doubt.unanswered);
                if unanswered == 0 {
                    // The incarnation that was meant never had the order, so its end is not this task's doing.
                    self.free(order.task, "its worker is another by now");
                }
                self.worker_gone(&order.worker);
            }
            order::StartAnswer::Silent => {
                self.set_start_state(order.task, work::StartState::Unanswered(now + ORDER_AGAIN));
                if let Some(placed) = self.placed.get_mut(&order.task) {
                    placed.doubt.unanswered += 1;
                }
            }
        }
    }

    /// Frees a task whose start was refused, unless an earlier order may still be carried out.
    fn start_refused(&mut self, task: spec::TaskId) {
        let unanswered = self.placed.get(&task).is_some_and(|p| p.doubt.unanswered > 0);
        if unanswered {
            tracing::info!(%task, "refused after an order without answer, which may still come");
            self.set_start_state(task, work::StartState::Expiring);
        } else {
            self.free(task, "refused");
        }
    }
}
