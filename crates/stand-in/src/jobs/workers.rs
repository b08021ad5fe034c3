//! How the workers of the simulation handle orders and heartbeats, and end runs that are due.

use std::time;

use wharflane::job;

use super::{message, worker, world};

impl world::World {
    /// Handles an order to start that arrives at a worker, and sends the answer unless it is lost.
    pub(super) fn start(
        &mut self,
        host: usize,
        incarnation: u64,
        start: &job::Start,
        lost: bool,
        ordered: time::Duration,
    ) {
        let task = start.order.task;
        let behaviour = self.behaviour(task);
        let role = self.role(task);
        let now = self.now;
        if lost {
            self.waits.note_disturbance(now);
        }
        if self.lacks_ticket(start) {
            self.checker.record_start_without_ticket(task);
            let answer = job::StartAnswer::Refused(job::StartRefusal::Ticket);
            let event = job::Event::Started { order: start.order.clone(), answer };
            let delay = self.draw_answer_delay();
            return self.send(delay, message::Message::Back(host, incarnation, Box::new(event)));
        }
        let sent_before_cut = lost.then_some(ordered);
        let reached = self.reach_sent(&start.order.worker, sent_before_cut);
        let answered = reached.map(|worker| worker.start(start, behaviour, now));
        let Some((answer, began)) = answered else {
            if !lost {
                let gone = self.is_address_reused(&start.order.worker);
                let (answer, after) = match gone {
                    true => (job::StartAnswer::Gone, self.draw_delay()),
                    false if self.refuses_connections(&start.order.worker) => {
                        (job::StartAnswer::NotSent, self.draw_delay())
                    }
                    false => (job::StartAnswer::Silent, time::Duration::from_millis(600)),
                };
                let event = job::Event::Started { order: start.order.clone(), answer };
                self.send(after, message::Message::Back(host, incarnation, Box::new(event)));
            }
            return;
        };
        if began {
            if let Some(worker) = self.reach_sent(&start.order.worker, sent_before_cut) {
                worker.set_role(task, role);
            }
            let cancelled = self.cancelled.get(&task.job);
            let ordered_late = cancelled.is_some_and(|at| ordered > *at + world::CANCEL_GRACE);
            self.check_closed_hall(task, &start.order.worker, ordered);
            let attempts = self.most_attempts(task.job);
            self.checker.check_start(task, attempts, ordered_late, &self.workers);
            if self.is_crashing_task(task) {
                self.schedule_crash(&start.order.worker, task, start.order.run);
            }
        }
        if !lost {
            let (answer, delay) = match self.loses_answers(&start.order.worker) {
                true => (job::StartAnswer::Silent, time::Duration::from_millis(600)),
                false => (answer, self.draw_answer_delay()),
            };
            let event = job::Event::Started { order: start.order.clone(), answer };
            self.send(delay, message::Message::Back(host, incarnation, Box::new(event)));
        }
    }

    /// Handles a heartbeat that arrives at a worker; the answer is delayed until a run ends or the
    /// deadline passes.
    pub(super) fn handle_heartbeat(
        &mut self,
        host: usize,
        incarnation: u64,
        heartbeat: job::Heartbeat,
        deadline: time::Duration,
        lost: bool,
    ) {
        let now = self.now;
        let (worker, epoch) = (heartbeat.worker.clone(), heartbeat.epoch);
        let gone = self.is_address_reused(&heartbeat.worker);
        let answer = match self.reach(&heartbeat.worker) {
            None if gone => job::HeartbeatAnswer::Gone,
            None => job::HeartbeatAnswer::Silent,
            Some(found) => {
                let ended = found.ended().to_vec();
                let answer = found.handle_heartbeat(&heartbeat, now);
                let has_ended_runs =
                    matches!(&answer, job::HeartbeatAnswer::Lists(l) if !l.ended.is_empty());
                let stale = found.stale_upto;
                if matches!(answer, job::HeartbeatAnswer::Lists(_)) {
                    self.checker.record_acknowledged(&ended, heartbeat.acknowledged_end, stale);
                }
                if !has_ended_runs
                    && now < deadline
                    && matches!(answer, job::HeartbeatAnswer::Lists(_))
                {
                    let waiting = job::Heartbeat { lease_until_ms: None, ..heartbeat };
                    return self.send(
                        world::STEP,
                        message::Message::Heartbeat(host, incarnation, waiting, deadline, lost),
                    );
                }
                answer
            }
        };
        let lost = lost || self.loses_answers(&worker);
        let silent = answer == job::HeartbeatAnswer::Silent || lost;
        let fails_at_once = !lost && silent && self.refuses_connections(&worker);
        let after = if silent && !fails_at_once {
            time::Duration::from_millis(600)
        } else {
            self.draw_answer_delay()
        };
        let answer = if silent { job::HeartbeatAnswer::Silent } else { answer };
        let event = job::Event::HeartbeatAnswered { worker, epoch, answer };
        self.send(after, message::Message::Back(host, incarnation, Box::new(event)));
    }

    /// Returns how a task behaves, which is the same on every start.
    pub(super) fn behaviour(&self, task: job::TaskId) -> worker::Behaviour {
        let step = self.checker.jobs.get(&task.job).and_then(|job| job.step(task.step));
        let lasting = step.is_some_and(|step| step.lasting);
        let estimate = step.map_or(500, |step| step.estimate_ms);
        let work = (!lasting).then(|| time::Duration::from_millis(estimate));
        let mut size = step.map(|step| step.size).unwrap_or_default();
        if step.is_some_and(|step| step.fills) {
            size.cpu_milli = 0;
        }
        // In one job of eight, every task fails unless it is a long-running one.
        let fails = match self.plan.configuration {
            Some(_) => self.fails_next(task),
            None => task.job.0 % 8 == 7,
        };
        worker::Behaviour { work, fails: fails && !lasting, size }
    }

    /// Checks that runs of cancelled jobs stop in time.
    ///
    /// The time allowed to a run counts from the cancel, from the start if that was carried out
    /// late, and from the last moment at which the store was down, a host was frozen or the worker
    /// was unreachable. Hosts that are killed or removed meanwhile don't extend it.
    pub(super) fn check_cancelled_jobs(&mut self) {
        if self.down || self.hosts.iter().any(world::Host::is_disturbed) {
            self.last_disturbed = self.now;
        }
        for worker in self.workers.iter_mut().filter(|worker| worker.alive) {
            if !worker.reachable {
                worker.last_unreachable = self.now;
            }
            let exempt_until =
                self.last_disturbed.max(worker.last_unreachable) + world::LATE_START_GRACE;
            for (task, began) in worker.run_starts() {
                let Some(cancelled) = self.cancelled.get(&task.job) else {
                    continue;
                };
                let due = (*cancelled + world::CANCEL_GRACE)
                    .max(began + world::LATE_START_GRACE)
                    .max(exempt_until);
                if self.now > due + super::worker::STOP_DELAY {
                    self.checker.record_run_after_cancel(task);
                }
            }
        }
    }

    /// Ends the runs of all workers that are due, and reports them to the checker.
    pub(super) fn tick_workers(&mut self) {
        for worker in self.workers.iter_mut().filter(|worker| worker.alive) {
            let before = worker.unacknowledged_ends();
            worker.tick(self.now);
            if worker.unacknowledged_ends() == before {
                continue;
            }
            worker.ended().iter().for_each(|ended| self.checker.record_end(ended));
        }
    }
}
