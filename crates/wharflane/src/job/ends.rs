//! Orders to workers, looks at them, and what follows from their answers.

use std::collections;
use std::time;

use super::event;
use super::gang;
use super::holding;
use super::order;
use super::progress;
use super::spec;
use crate::id;

/// The wait before an order without an answer is given again.
const ORDER_AGAIN: time::Duration = time::Duration::from_millis(400);
/// What is added to the time of a stop before it is given again: the trips, and one look.
const STOP_SLACK: time::Duration = time::Duration::from_millis(300);
/// The wait after a look without an answer, and how often it may double.
const LOOK_AGAIN: (time::Duration, u32) = (time::Duration::from_millis(100), 3);
/// How long a worker that refuses for want of room, or is not well, gets nothing new.
const REFUSED_REST: time::Duration = time::Duration::from_millis(400);
/// How long a look waits where some tasks serve and others fill; tails are told this often.
const LOOK_MIXED: time::Duration = time::Duration::from_millis(500);
/// How long a task may show no progress until it counts as standing still. The slowest tasks of
/// the users, 5.4 s of work on a worker 7.4 times too slow, show one percent in 0.4 s.
const STALLED: time::Duration = time::Duration::from_millis(2_000);
/// The share from which a task that is held back must show progress, in percent.
const FULL_SHARE: u8 = 40;
/// The least time between two looks at a worker where something runs.
const LOOK_GAP: time::Duration = time::Duration::from_millis(50);

impl holding::Holding {
    /// Sends the starts whose commit stands.
    pub(super) fn release(&mut self, starts: &[spec::TaskId], now: time::Duration) {
        for task in starts {
            let wanted = self.jobs.get(&task.job).is_some_and(holding::Entry::active);
            let staged =
                self.placed.get(task).is_some_and(|placed| placed.link == holding::Link::Staged);
            if !staged {
                continue;
            }
            if wanted && self.may_order(now) && !self.leaving {
                self.send_start(*task, now);
            } else if wanted {
                // Not ordered, so it may be ordered later by whoever holds the domain then.
                self.set_link(*task, holding::Link::Doubtful(now));
            } else {
                self.free(*task, "ended before its start was ordered");
            }
        }
    }

    /// Orders the start of a placed task.
    fn send_start(&mut self, task: spec::TaskId, now: time::Duration) {
        let Some(placed) = self.placed.get_mut(&task) else {
            return;
        };
        let Some(view) = self.views.get_mut(&placed.worker) else {
            return;
        };
        let Some(lease_until_ms) = view.grant(now, self.settings.hold) else {
            placed.link = holding::Link::Doubtful(now + ORDER_AGAIN);
            return;
        };
        // A worker that was idle would be looked at much later.
        view.look_due = view.look_due.min(now + LOOK_GAP);
        placed.link = holding::Link::Ordered;
        placed.lease_until_ms = placed.lease_until_ms.max(lease_until_ms);
        let Some(entry) = self.jobs.get(&task.job) else {
            return;
        };
        let state = entry.progress.tasks.get(&task.into());
        let checkpoint = state.map_or_else(String::new, |state| state.checkpoint.clone());
        let order = holding::order_for(placed, view.member.addr, task, self.lease.epoch);
        tracing::info!(
            %task, run = placed.run, worker = %placed.worker, epoch = self.lease.epoch, lease_until_ms,
            "start ordered"
        );
        let spec = entry.job.spec.clone();
        let start = order::Start { order, spec, lease_until_ms, checkpoint };
        self.out.push(event::Effect::Start(start));
    }

    /// Orders a placed task to stop.
    pub(super) fn stop(&mut self, task: spec::TaskId, now: time::Duration) {
        let Some(placed) = self.placed.get_mut(&task) else {
            return;
        };
        match placed.link {
            holding::Link::Staged if !self.staged.contains(&task) => return,
            holding::Link::Staged => return self.free(task, "ended before its start was written"),
            // A stop that comes before its start has no effect: the start must be there first.
            holding::Link::Ordered | holding::Link::Doubtful(_) | holding::Link::Lapsing => return,
            holding::Link::There(_) | holding::Link::Inherited => {}
        }
        let again = self.settings.stop + STOP_SLACK;
        let due = placed.stopped.is_none_or(|at| now.saturating_sub(at) >= again);
        let Some(view) = self.views.get(&placed.worker).filter(|_| due) else {
            return;
        };
        placed.stopped = Some(now);
        let order = holding::order_for(placed, view.member.addr, task, self.lease.epoch);
        tracing::info!(%task, run = placed.run, worker = %placed.worker, "stop ordered");
        self.out.push(event::Effect::Stop(order));
    }

    /// Gives orders again that had no answer.
    pub(super) fn repeat_orders(&mut self, now: time::Duration) {
        let due = self.placed.iter().filter(|(_, placed)| match placed.link {
            holding::Link::Doubtful(at) => now >= at,
            holding::Link::Lapsing => true,
            _ => false,
        });
        let due: Vec<spec::TaskId> = due.map(|(task, _)| *task).collect();
        for task in due {
            let wanted = self.jobs.get(&task.job).is_some_and(holding::Entry::active);
            let Some(placed) = self.placed.get(&task) else {
                continue;
            };
            let Some(view) = self.views.get(&placed.worker) else {
                continue;
            };
            let resend = wanted && placed.link != holding::Link::Lapsing;
            if resend && view.misses == 0 {
                self.send_start(task, now);
            } else if !resend
                && view.clock_ms(now).is_some_and(|clock| clock > placed.lease_until_ms)
            {
                self.free(task, "its start can't be carried out any more");
            }
        }
    }

    /// Notes what is known of a start.
    fn set_link(&mut self, task: spec::TaskId, link: holding::Link) {
        if let Some(placed) = self.placed.get_mut(&task) {
            placed.link = link;
        }
    }

    /// Takes the answer to an order to start.
    pub(super) fn started(
        &mut self,
        order: &order::Order,
        answer: order::StartAnswer,
        now: time::Duration,
    ) {
        if order.epoch != self.lease.epoch {
            return;
        }
        let open = self.placed.get(&order.task).is_some_and(|placed| {
            placed.run == order.run
                && placed.worker == order.worker
                && placed.link == holding::Link::Ordered
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
        let wanted = self.jobs.get(&order.task.job).is_some_and(holding::Entry::active);
        match answer {
            order::StartAnswer::Taken | order::StartAnswer::Refused(order::StartRefusal::Old) => {
                // An old run is one that ended there: the next look tells how, or that it is gone.
                self.set_link(order.task, holding::Link::There(now));
                if let Some(placed) = self.placed.get_mut(&order.task) {
                    placed.began = placed.began.or(Some(now));
                }
                if !wanted {
                    self.stop(order.task, now);
                }
            }
            order::StartAnswer::Refused(order::StartRefusal::Fenced) => self.fenced = true,
            order::StartAnswer::Refused(_) | order::StartAnswer::Unwell => {
                if let Some(view) = self.views.get_mut(&order.worker) {
                    view.rests_until = view.rests_until.max(now + REFUSED_REST);
                }
                self.refused(order.task);
            }
            order::StartAnswer::Gone => self.worker_gone(&order.worker),
            order::StartAnswer::Silent => {
                self.set_link(order.task, holding::Link::Doubtful(now + ORDER_AGAIN));
                if let Some(placed) = self.placed.get_mut(&order.task) {
                    placed.unanswered = true;
                }
            }
        }
    }

    /// Frees a task whose start was refused, unless an earlier order may still be carried out.
    fn refused(&mut self, task: spec::TaskId) {
        let unanswered = self.placed.get(&task).is_some_and(|placed| placed.unanswered);
        if unanswered {
            tracing::info!(%task, "refused after an order without answer, waits for its lease");
            self.set_link(task, holding::Link::Lapsing);
        } else {
            self.free(task, "refused");
        }
    }

    /// Looks at the workers whose turn has come.
    pub(super) fn look(&mut self, now: time::Duration) {
        let mut looks = Vec::new();
        for (worker, view) in &mut self.views {
            // Ends that are not committed yet would only be told again.
            if view.look.is_some() || now < view.look_due || view.heard > view.seen {
                continue;
            }
            let busy = !view.tasks.is_empty();
            // A silent worker is granted nothing more, or its leases would never be over.
            let granted = busy && view.misses == 0;
            let lease_until_ms = if granted { view.grant(now, self.settings.hold) } else { None };
            let mixed = !view.serving.is_empty() && !view.filling.is_empty();
            let wait = match (view.fenced && busy, mixed) {
                (false, _) => time::Duration::ZERO,
                (true, true) => self.settings.look.min(LOOK_MIXED),
                (true, false) => self.settings.look,
            };
            view.look = Some(now);
            looks.push(order::Look {
                worker: worker.clone(),
                addr: view.member.addr,
                epoch: self.lease.epoch,
                seen: view.seen,
                lease_until_ms,
                wait,
            });
        }
        self.out.extend(looks.into_iter().map(event::Effect::Look));
    }

    /// Takes the answer to a look.
    pub(super) fn looked(
        &mut self,
        worker: &id::WorkerId,
        epoch: u64,
        answer: order::LookAnswer,
        now: time::Duration,
    ) {
        if epoch != self.lease.epoch {
            return;
        }
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        let sent = view.look.take();
        match answer {
            order::LookAnswer::Lists(lists) => {
                if view.misses > 0 {
                    tracing::info!(%worker, misses = view.misses, "worker answers again");
                }
                view.misses = 0;
                view.sample = Some((lists.clock_ms, now));
                let first = !view.fenced;
                if first {
                    // Earlier holders may have granted as much as the worker allows until now.
                    let inherited = lists.clock_ms + super::worker::millis(self.inherited);
                    view.granted_ms = view.granted_ms.max(inherited);
                }
                view.fenced = true;
                view.look_due = if view.tasks.is_empty() {
                    now + self.settings.look_idle
                } else {
                    now + LOOK_GAP
                };
                self.changed |= first;
                self.take_lists(worker, &lists, sent.unwrap_or(now), now);
            }
            order::LookAnswer::Fenced => self.fenced = true,
            order::LookAnswer::Gone => self.worker_gone(worker),
            order::LookAnswer::Silent => {
                if view.misses == 0 {
                    tracing::warn!(%worker, "worker does not answer");
                }
                view.misses += 1;
                let (first, doublings) = LOOK_AGAIN;
                view.look_due = now + first * 2u32.pow(view.misses.min(doublings));
            }
        }
    }

    /// Takes in both lists of a worker.
    fn take_lists(
        &mut self,
        worker: &id::WorkerId,
        lists: &order::Lists,
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
        for task in here {
            let Some(placed) = self.placed.get_mut(&task) else {
                continue;
            };
            let runs = running.get(&task) == Some(&placed.run);
            match placed.link {
                holding::Link::Inherited | holding::Link::Doubtful(_) | holding::Link::Lapsing
                    if runs =>
                {
                    placed.link = holding::Link::There(now);
                }
                // This epoch's look was answered, so no earlier holder's start can come any more.
                holding::Link::Inherited => self.free(task, "not there"),
                holding::Link::There(at) if !runs && at <= sent => self.free(task, "not there"),
                holding::Link::There(_)
                | holding::Link::Staged
                | holding::Link::Ordered
                | holding::Link::Doubtful(_)
                | holding::Link::Lapsing => {}
            }
        }
        for row in &lists.running {
            let known = self.placed.get(&row.task);
            let ours = known.is_some_and(|p| p.run == row.run && p.worker == *worker);
            if !ours {
                self.stop_stray(worker, row);
            } else if !self.jobs.get(&row.task.job).is_some_and(holding::Entry::active)
                || leaving && self.leaves(row.task, row.percent)
            {
                self.stop(row.task, now);
            }
        }
        self.weigh(worker, lists, now);
        self.stop_stalled(worker, lists, now);
    }

    /// Stops what stands still on a worker, so that it goes on elsewhere, and lets the worker rest.
    fn stop_stalled(&mut self, worker: &id::WorkerId, lists: &order::Lists, now: time::Duration) {
        let mut stalled = Vec::new();
        for row in &lists.running {
            let entry = self.jobs.get(&row.task.job);
            let step = entry.and_then(|entry| entry.job.step(row.task.step));
            let view = self.views.get(worker);
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
        view.rest(now);
        for task in stalled {
            self.stop(task, now);
        }
    }

    /// Stops a run that nobody knows of.
    fn stop_stray(&mut self, worker: &id::WorkerId, row: &order::Running) {
        let Some(view) = self.views.get(worker) else {
            return;
        };
        tracing::warn!(task = %row.task, run = row.run, %worker, "unknown run is stopped");
        self.out.push(event::Effect::Stop(order::Order {
            worker: worker.clone(),
            addr: view.member.addr,
            task: row.task,
            run: row.run,
            epoch: self.lease.epoch,
        }));
    }

    /// Takes in one end.
    fn ended(&mut self, worker: &id::WorkerId, ended: &order::Ended, now: time::Duration) {
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        if ended.number <= view.heard {
            return;
        }
        view.heard = ended.number;
        view.note_end(ended.kind, now);
        let placed = self.placed.get(&ended.task);
        let ours = placed.is_some_and(|p| p.run == ended.run && p.worker == *worker);
        tracing::info!(
            task = %ended.task, run = ended.run, %worker, number = ended.number,
            how = ended.kind.label(), known = ours, "end taken in"
        );
        if !ours {
            return;
        }
        if ended.kind == order::EndKind::Done {
            self.learn_time(ended.task, now);
        }
        let Some(entry) = self.jobs.get_mut(&ended.task.job) else {
            return;
        };
        let step = entry.job.step(ended.task.step);
        let lasting = step.is_some_and(|step| step.lasting);
        let gang = step.filter(|step| step.gang).map(|step| step.count);
        if let Some(state) = entry.progress.tasks.get_mut(&ended.task.into()) {
            if !ended.checkpoint.is_empty() {
                state.checkpoint.clone_from(&ended.checkpoint);
            }
            if ended.kind == order::EndKind::Failed {
                state.failed_on = Some(worker.clone());
            }
            if gang.is_none() && !lasting {
                state.done |= ended.kind == order::EndKind::Done;
                state.failures += u32::from(ended.kind == order::EndKind::Failed);
            }
        }
        if let Some(count) = gang.filter(|_| !lasting) {
            gang::note_end(&mut entry.progress, ended.task, count, ended.run, ended.kind);
        }
        self.give_back(ended.task);
        self.advance(ended.task, now);
    }

    /// Learns how long a task took that is done, where nothing held it up on the way.
    fn learn_time(&mut self, task: spec::TaskId, now: time::Duration) {
        let Some(placed) = self.placed.get(&task) else {
            return;
        };
        let view = self.views.get(&placed.worker);
        let paced = view.and_then(|view| view.filling.get(&task)).is_some_and(|f| f.paced);
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let resumed = placed.run > 1;
        let (Some(began), Some(step)) = (placed.began, entry.job.step(task.step)) else {
            return;
        };
        if paced || resumed {
            return;
        }
        let time = now.saturating_sub(began);
        self.learned.times.learn(&entry.job.queue, step.estimate_ms, time);
        let taken = entry.taken.entry(task.step).or_default();
        taken.runs += 1;
        taken.total += time;
    }

    /// Ends a job, or opens steps of it, after one of its tasks has ended.
    fn advance(&mut self, task: spec::TaskId, now: time::Duration) {
        let Some(entry) = self.jobs.get(&task.job).filter(|entry| entry.active()) else {
            return;
        };
        let Some(state) = entry.progress.tasks.get(&task.into()) else {
            return;
        };
        let (_, attempts) = self.terms(&entry.job);
        if !state.done && state.failures >= attempts {
            tracing::info!(%task, failures = state.failures, attempts, "job failed");
            return self.end_job(task.job, progress::Phase::Failed, now);
        }
        if !state.done || !entry.progress.step_done(&entry.job, task.round, task.step) {
            return;
        }
        if entry.progress.all_done(&entry.job) {
            tracing::info!(job = %task.job, "job completed");
            return self.end_job(task.job, progress::Phase::Completed, now);
        }
        let steps = (0u32..).zip(&entry.job.steps);
        let after = steps.filter(|(_, step)| step.after.contains(&task.step));
        let after: Vec<u32> = after.map(|(at, _)| at).collect();
        for step in after {
            self.open_step(task.job, task.round, step);
        }
    }

    /// Frees everything on a worker whose life is known to be over.
    pub(super) fn worker_gone(&mut self, worker: &id::WorkerId) {
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        tracing::warn!(%worker, tasks = view.tasks.len(), "worker's life is over");
        view.listed = false;
        let tasks: Vec<spec::TaskId> = view.tasks.iter().copied().collect();
        for task in tasks {
            self.free(task, "worker gone");
        }
        self.views.remove(worker);
    }

    /// Frees the tasks of silent workers once everything granted there has lapsed.
    pub(super) fn free_lapsed(&mut self, now: time::Duration) {
        let silent = self.views.iter().filter(|(_, view)| {
            (view.misses > 0 || !view.listed) && !view.tasks.is_empty() && view.lapsed(now)
        });
        let silent: Vec<id::WorkerId> = silent.map(|(worker, _)| worker.clone()).collect();
        for worker in silent {
            let Some(view) = self.views.get(&worker) else {
                continue;
            };
            let tasks: Vec<spec::TaskId> = view.tasks.iter().copied().collect();
            tracing::warn!(
                %worker, tasks = tasks.len(), granted_ms = view.granted_ms,
                clock_ms = view.clock_ms(now), "leases of a silent worker have lapsed"
            );
            for task in tasks {
                self.free(task, "lease lapsed");
            }
        }
        self.views
            .retain(|_, view| view.listed || !view.tasks.is_empty() || view.heard > view.seen);
        self.drop_inherited(now);
    }

    /// Frees tasks inherited on workers that nobody lists, once earlier grants are over.
    fn drop_inherited(&mut self, now: time::Duration) {
        if now < self.inherited_until() {
            return;
        }
        let lost = self.placed.iter().filter(|(_, placed)| {
            placed.link == holding::Link::Inherited && !self.views.contains_key(&placed.worker)
        });
        let lost: Vec<spec::TaskId> = lost.map(|(task, _)| *task).collect();
        for task in lost {
            self.free(task, "lease lapsed, worker unknown");
        }
    }

    /// Returns when everything that earlier holders granted is over.
    pub(super) fn inherited_until(&self) -> time::Duration {
        /// For a clock that is 2 % slow, and one more for rounding and trips.
        const SLOW_MILLI: u32 = 1_040;
        self.taken + self.inherited * SLOW_MILLI / 1_000
    }
}
