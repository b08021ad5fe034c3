//! How the workers of the world take orders, answer looks and end what is due.

use std::time;

use wharflane::job;

use super::{mail, worker, world};

impl world::World {
    /// Lets an order to start arrive.
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
        let now = self.now;
        let done =
            self.reach(&start.order.worker).map(|worker| worker.start(start, behaviour, now));
        let Some((answer, began)) = done else {
            if !lost {
                let gone = self.is_replaced(&start.order.worker);
                let (answer, after) = match gone {
                    true => (job::StartAnswer::Gone, self.way()),
                    false => (job::StartAnswer::Silent, time::Duration::from_millis(600)),
                };
                let event = job::Event::Started { order: start.order.clone(), answer };
                self.send(after, mail::Message::Back(host, incarnation, Box::new(event)));
            }
            return;
        };
        if began {
            let cancelled = self.cancelled.get(&task.job);
            let late = cancelled.is_some_and(|at| ordered > *at + world::CANCEL);
            self.judge_closed(task, &start.order.worker, ordered);
            self.judge.started(task, world::ATTEMPTS, late, &self.workers);
            if self.is_culprit(task) {
                self.doom(&start.order.worker, task, start.order.run);
            }
        }
        if !lost {
            let way = self.way_back();
            let event = job::Event::Started { order: start.order.clone(), answer };
            self.send(way, mail::Message::Back(host, incarnation, Box::new(event)));
        }
    }

    /// Lets a look arrive; it waits for an end where it may.
    pub(super) fn handle_heartbeat(
        &mut self,
        host: usize,
        incarnation: u64,
        heartbeat: job::Heartbeat,
        latest: time::Duration,
        lost: bool,
    ) {
        let now = self.now;
        let (worker, epoch) = (heartbeat.worker.clone(), heartbeat.epoch);
        let gone = self.is_replaced(&heartbeat.worker);
        let answer = match self.reach(&heartbeat.worker) {
            None if gone => job::HeartbeatAnswer::Gone,
            None => job::HeartbeatAnswer::Silent,
            Some(found) => {
                let ended = found.ended().to_vec();
                let answer = found.handle_heartbeat(&heartbeat, now);
                let news = matches!(&answer, job::HeartbeatAnswer::Lists(l) if !l.ended.is_empty());
                let stale = found.stale;
                if matches!(answer, job::HeartbeatAnswer::Lists(_)) {
                    self.judge.acknowledged(&ended, heartbeat.seen, stale);
                }
                if !news && now < latest && matches!(answer, job::HeartbeatAnswer::Lists(_)) {
                    return self.send(
                        world::STEP,
                        mail::Message::Heartbeat(host, incarnation, heartbeat, latest, lost),
                    );
                }
                answer
            }
        };
        let silent = answer == job::HeartbeatAnswer::Silent || lost;
        let after = if silent { time::Duration::from_millis(600) } else { self.way_back() };
        let answer = if silent { job::HeartbeatAnswer::Silent } else { answer };
        let event = job::Event::HeartbeatAnswered { worker, epoch, answer };
        self.send(after, mail::Message::Back(host, incarnation, Box::new(event)));
    }

    /// Returns how a task behaves, always the same way.
    pub(super) fn behaviour(&self, task: job::TaskId) -> worker::Behaviour {
        let step = self.judge.jobs.get(&task.job).and_then(|job| job.step(task.step));
        let lasting = step.is_some_and(|step| step.lasting);
        let estimate = step.map_or(500, |step| step.estimate_ms);
        let work = (!lasting).then(|| time::Duration::from_millis(estimate));
        let size = step.map(|step| step.size).unwrap_or_default();
        // One job in eight is hopeless.
        worker::Behaviour { work, fails: task.job.0 % 8 == 7 && !lasting, size }
    }

    /// Judges what still runs of cancelled jobs.
    ///
    /// Time counts from the cancel, from a late start, and from when the store was up, no host stood still
    /// and the worker could be reached; that hosts are killed or removed meanwhile is no excuse.
    pub(super) fn judge_cancelled(&mut self) {
        if self.down || self.hosts.iter().any(|host| host.frozen) {
            self.disturbed = self.now;
        }
        for worker in self.workers.iter_mut().filter(|worker| worker.alive) {
            if !worker.reachable {
                worker.cut = self.now;
            }
            let excused = self.disturbed.max(worker.cut) + world::CONTACT;
            for (task, began) in worker.since() {
                let Some(cancelled) = self.cancelled.get(&task.job) else {
                    continue;
                };
                let due = (*cancelled + world::CANCEL).max(began + world::CONTACT).max(excused);
                if self.now > due + super::worker::STOP {
                    self.judge.runs_on(task);
                }
            }
        }
    }

    /// Lets workers end what is due, and tells the judge.
    pub(super) fn tick_workers(&mut self) {
        for worker in self.workers.iter_mut().filter(|worker| worker.alive) {
            let before = worker.open_ends();
            worker.tick(self.now);
            if worker.open_ends() == before {
                continue;
            }
            worker.ended().iter().for_each(|ended| self.judge.ended(ended.task, ended.kind));
        }
    }
}
