//! Workers that grant leases by their own clocks, calls that are lost or delayed, and the engine that
//! holds their domain, one after the other.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections;
use std::time;

use wharflane::{id, job};
use wharflane_stand_in::jobs::{worker, world};

use crate::sim;

/// The time from the acknowledged cancel to the stop, as the platform allows it.
pub const CANCEL: time::Duration = world::CANCEL_GRACE;
/// How long a call to a worker waits for its answer.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// The step in which time advances.
const STEP: time::Duration = time::Duration::from_millis(10);

/// A simulation with workers that grant leases by their own clocks, and with calls that are lost or
/// delayed.
pub struct Cluster {
    /// The engine and its store.
    pub sim: sim::Sim,
    /// The simulated workers; a test may add one later.
    pub workers: Vec<worker::Worker>,
    /// Heartbeats that a worker holds back until a run ends, with the latest time of their answers.
    pub heartbeats: Vec<(time::Duration, job::Heartbeat)>,
    /// Events that reach the engine later, with their times.
    replies: Vec<(time::Duration, job::Event)>,
    /// The only step of each job that is submitted.
    pub step: job::Step,
    /// What happens to the next starts; once it is used up, every start is carried out and
    /// answered.
    pub start_faults: collections::VecDeque<StartFault>,
    /// Starts that are carried out late and without an answer, with the time at which they are.
    late_starts: Vec<(time::Duration, job::Start)>,
    /// Starts that are delayed in transit, with the time at which they arrive.
    slow_starts: Vec<(time::Duration, job::Start)>,
    /// How long the tasks work that workers start from now on; absent for long-running ones.
    pub work: Option<time::Duration>,
    /// How long heartbeats take to arrive that are sent from now on.
    pub heartbeat_delay: time::Duration,
    /// Heartbeats in transit, with the time at which they arrive.
    slow_heartbeats: Vec<(time::Duration, job::Heartbeat)>,
    /// How many of the next stops are lost.
    pub lost_stops: usize,
    /// Heartbeats to the first worker that are due in this interval get no answer.
    pub lost_heartbeats: (time::Duration, time::Duration),
    /// Whether these heartbeats are lost as requests, rather than as answers.
    pub requests_lost: bool,
    /// The starts that were ordered, with what was known about their workers at that time.
    pub ordered: Vec<OrderedStart>,
    /// The highest epoch of a heartbeat that each worker has answered; its fence is at least as
    /// high.
    pub answered_epochs: collections::BTreeMap<id::Incarnation, u64>,
    /// The times at which late starts began a run.
    pub late_run_times: Vec<time::Duration>,
    /// The largest number of workers that ran the task of job 1 at the same time.
    pub max_concurrent_runs: usize,
}

/// An ordered start.
pub struct OrderedStart {
    /// The order as the engine gave it.
    pub start: job::Start,
    /// The highest epochs that workers had answered when it was ordered.
    pub answered_epochs: collections::BTreeMap<id::Incarnation, u64>,
    /// The clock of the first worker when it was ordered, in milliseconds.
    pub clock_ms: u64,
}

/// What happens to a start.
#[derive(Clone, Copy, Debug)]
pub enum StartFault {
    /// No answer arrives, and the start is carried out after these milliseconds.
    Late(u64),
    /// No answer arrives, and the start is never carried out.
    Lost,
    /// This answer arrives, and the start is not carried out.
    Answered(job::StartAnswer),
    /// The start arrives after these milliseconds.
    Slow(u64),
}

impl Cluster {
    /// Returns a cluster of `workers` workers whose clocks run slow.
    pub fn new(workers: usize) -> Self {
        let member = |at| sim::member(at);
        let worker = |at| worker::Worker::new(member(at).incarnation, member(at).capacity, 980);
        Self {
            sim: sim::Sim::new(workers, Vec::new()),
            workers: (0..workers).map(worker).collect(),
            heartbeats: Vec::new(),
            replies: Vec::new(),
            step: sim::step("serving", 1_000),
            start_faults: collections::VecDeque::new(),
            late_starts: Vec::new(),
            work: None,
            heartbeat_delay: time::Duration::ZERO,
            slow_heartbeats: Vec::new(),
            lost_stops: 0,
            lost_heartbeats: Default::default(),
            requests_lost: false,
            ordered: Vec::new(),
            answered_epochs: collections::BTreeMap::new(),
            slow_starts: Vec::new(),
            late_run_times: Vec::new(),
            max_concurrent_runs: 0,
        }
    }

    /// Advances the time in steps of `STEP`.
    pub fn advance(&mut self, millis: u64) {
        let until = self.sim.now + time::Duration::from_millis(millis);
        while self.sim.now < until {
            self.tick();
        }
    }

    /// Advances the time by `STEP`: delivers what is due and carries out the effects of the engine.
    fn tick(&mut self) {
        self.sim.now += STEP;
        let now = self.sim.now;
        self.workers.iter_mut().for_each(|worker| worker.tick(now));
        self.execute_due_starts();
        self.receive_heartbeats();
        self.max_concurrent_runs = self.max_concurrent_runs.max(self.workers_running(1).len());
        self.answer_heartbeats();
        let (due, later) = std::mem::take(&mut self.replies).into_iter().partition(|b| b.0 <= now);
        self.replies = later;
        let due: Vec<(time::Duration, job::Event)> = due;
        due.into_iter().for_each(|(_, event)| self.sim.handle(event));
        let wall_ms = u64::try_from(now.as_millis()).expect("fits into u64");
        self.sim.handle(job::Event::Tick { wall_ms });
        for effect in std::mem::take(&mut self.sim.pending) {
            self.execute(effect);
        }
    }

    /// Carries out an effect that concerns a worker.
    fn execute(&mut self, effect: job::Effect) {
        let now = self.sim.now;
        match effect {
            job::Effect::Start(start) => self.deliver_start(start),
            job::Effect::Stop(order) if self.lost_stops > 0 => {
                self.lost_stops -= 1;
                self.replies.push((now + CALL_TIMEOUT, job::Event::StopNotTaken(order)));
            }
            job::Effect::Stop(order) => self.deliver_stop(order),
            job::Effect::SendHeartbeat(heartbeat) => {
                self.slow_heartbeats.push((now + self.heartbeat_delay, heartbeat));
                self.receive_heartbeats();
            }
            _ => {}
        }
    }

    /// Delivers a stop to its worker.
    fn deliver_stop(&mut self, order: job::Order) {
        let now = self.sim.now;
        if !self.worker(&order.worker).stop(&order, now) {
            self.replies.push((now, job::Event::StopNotTaken(order)));
        }
    }

    /// Delivers a start according to the next entry of `start_faults`.
    fn deliver_start(&mut self, start: job::Start) {
        let (now, order) = (self.sim.now, start.order.clone());
        let clock_ms = self.workers[0].clock_ms(now);
        let answered_epochs = self.answered_epochs.clone();
        self.ordered.push(OrderedStart { start: start.clone(), answered_epochs, clock_ms });
        let (after, answer) = match self.start_faults.pop_front() {
            None => (time::Duration::ZERO, self.handle_start(&start).0),
            Some(StartFault::Answered(answer)) => (time::Duration::ZERO, answer),
            Some(StartFault::Slow(millis)) => {
                return self.slow_starts.push((now + time::Duration::from_millis(millis), start));
            }
            Some(StartFault::Lost) => (CALL_TIMEOUT, job::StartAnswer::Silent),
            Some(StartFault::Late(millis)) => {
                self.late_starts.push((now + time::Duration::from_millis(millis), start));
                (CALL_TIMEOUT, job::StartAnswer::Silent)
            }
        };
        self.replies.push((now + after, job::Event::Started { order, answer }));
    }

    /// Lets a worker handle a start. The second value tells whether a run began.
    fn handle_start(&mut self, start: &job::Start) -> (job::StartAnswer, bool) {
        let (now, size) = (self.sim.now, self.step.size);
        let behaviour = worker::Behaviour { work: self.work, fails: false, size };
        self.worker(&start.order.worker).start(start, behaviour, now)
    }

    /// Carries out the late and delayed starts that are due.
    fn execute_due_starts(&mut self) {
        let now = self.sim.now;
        let (due, later) =
            std::mem::take(&mut self.late_starts).into_iter().partition(|l| l.0 <= now);
        self.late_starts = later;
        let due: Vec<(time::Duration, job::Start)> = due;
        for (_, start) in due {
            if self.handle_start(&start).1 {
                self.late_run_times.push(now);
            }
        }
        let (due, later) =
            std::mem::take(&mut self.slow_starts).into_iter().partition(|s| s.0 <= now);
        self.slow_starts = later;
        let due: Vec<(time::Duration, job::Start)> = due;
        for (_, start) in due {
            let (answer, order) = (self.handle_start(&start).0, start.order);
            self.replies.push((now, job::Event::Started { order, answer }));
        }
    }

    /// Delivers the heartbeats that are due to their workers.
    fn receive_heartbeats(&mut self) {
        let now = self.sim.now;
        let (due, later) =
            std::mem::take(&mut self.slow_heartbeats).into_iter().partition(|(at, _)| *at <= now);
        self.slow_heartbeats = later;
        let due: Vec<(time::Duration, job::Heartbeat)> = due;
        let due = due.into_iter().map(|(at, heartbeat)| (at + heartbeat.wait, heartbeat));
        self.heartbeats.extend(due);
    }

    /// Answers the heartbeats that are due or have an ended run to report.
    fn answer_heartbeats(&mut self) {
        let now = self.sim.now;
        for (latest, heartbeat) in std::mem::take(&mut self.heartbeats) {
            let lost = heartbeat.worker == sim::member(0).incarnation
                && (self.lost_heartbeats.0..self.lost_heartbeats.1).contains(&now);
            if lost && self.requests_lost {
                let (worker, epoch) = (heartbeat.worker, heartbeat.epoch);
                let answer = job::HeartbeatAnswer::Silent;
                let event = job::Event::HeartbeatAnswered { worker, epoch, answer };
                self.replies.push((now + CALL_TIMEOUT, event));
                continue;
            }
            let answer = self.worker(&heartbeat.worker).handle_heartbeat(&heartbeat, now);
            let has_ended_runs =
                matches!(&answer, job::HeartbeatAnswer::Lists(lists) if !lists.ended.is_empty());
            if !has_ended_runs && now < latest {
                self.heartbeats.push((latest, heartbeat));
                continue;
            }
            let (worker, epoch) = (heartbeat.worker, heartbeat.epoch);
            let (after, answer) = if lost {
                (CALL_TIMEOUT, job::HeartbeatAnswer::Silent)
            } else {
                self.answered_epochs.insert(worker.clone(), epoch);
                (time::Duration::ZERO, answer)
            };
            self.replies
                .push((now + after, job::Event::HeartbeatAnswered { worker, epoch, answer }));
        }
    }

    /// Returns the worker that a message reaches, which names its addressee by the id alone.
    fn worker(&mut self, id: &id::Incarnation) -> &mut worker::Worker {
        self.workers.iter_mut().find(|worker| worker.has_same_id(id)).expect("a worker")
    }

    /// Restarts a worker under its id: the next incarnation knows nothing of the previous one, and
    /// its clock begins far below. The store doesn't list it yet, and calls that the previous one
    /// had not answered break.
    pub fn restart(&mut self, at: usize) {
        let (now, past) = (self.sim.now, self.workers[at].incarnation.clone());
        let born_ms = u64::try_from(now.as_millis()).ok();
        let next = id::Incarnation { born_ms, ..past.clone() };
        let capacity = self.workers[at].capacity;
        self.workers[at] = worker::Worker::new(next, capacity, 980);
        self.workers[at].clock_from_ms = 0;
        let (broken, others) = std::mem::take(&mut self.heartbeats)
            .into_iter()
            .partition(|(_, heartbeat)| heartbeat.worker.worker == past.worker);
        self.heartbeats = others;
        let broken: Vec<(time::Duration, job::Heartbeat)> = broken;
        for (_, heartbeat) in broken {
            let (worker, epoch) = (heartbeat.worker, heartbeat.epoch);
            let answer = job::HeartbeatAnswer::Silent;
            self.replies.push((now, job::Event::HeartbeatAnswered { worker, epoch, answer }));
        }
    }

    /// Lists the current incarnation of a worker in the store.
    pub fn list(&mut self, at: usize) {
        let incarnation = self.workers[at].incarnation.clone();
        let worker = incarnation.worker.clone();
        let member = job::Member { incarnation, ..sim::member(at) };
        self.sim.handle(job::Event::Member(worker, Some(member)));
    }

    /// Returns the workers that run the only task of a job.
    pub fn workers_running(&self, job: u64) -> Vec<id::Incarnation> {
        let here =
            |worker: &&worker::Worker| worker.running().any(|(task, _)| task == first_task(job));
        self.workers.iter().filter(here).map(|worker| worker.incarnation.clone()).collect()
    }

    /// Returns the last two starts of job 1.
    pub fn last_two_starts(&self) -> (&OrderedStart, &OrderedStart) {
        let starts =
            self.ordered.iter().filter(|ordered| ordered.start.order.task == first_task(1));
        let starts: Vec<&OrderedStart> = starts.collect();
        let [.., before, again] = starts[..] else {
            panic!("{} starts", starts.len());
        };
        (before, again)
    }

    /// Submits a job, waits until its task runs and returns the worker.
    pub fn submit(&mut self, job: u64) -> id::Incarnation {
        self.sim.submit(job, "first", self.step.clone());
        self.advance(300);
        self.workers_running(job).first().expect("a started task").clone()
    }

    /// Removes a worker from the store's list; the worker keeps running.
    pub fn unlist(&mut self, worker: &id::Incarnation) {
        self.sim.handle(job::Event::Member(worker.worker.clone(), None));
    }

    /// Returns the row of a job, cancelled or not.
    fn row(&mut self, job: u64, cancelled: bool) -> Vec<wharflane::rows::Row> {
        let job::Event::Jobs(mut rows) = self.sim.accepted(job, "first", self.step.clone()) else {
            panic!("no rows");
        };
        for row in &mut rows {
            let accepted = serde_json::from_str(row.value.as_deref().expect("a value"));
            let accepted = job::Accepted { cancelled, ..accepted.expect("a job") };
            row.value = serde_json::to_string(&accepted).ok();
        }
        rows
    }

    /// Delivers the row of a cancelled job to the engine.
    pub fn cancel(&mut self, job: u64) {
        let rows = self.row(job, true);
        self.sim.handle(job::Event::Jobs(rows));
    }

    /// Removes the holder for good just after it has renewed the leases on a worker, and lets
    /// another host take over. The store lists only some workers to that host. Returns the time of
    /// the removal.
    pub fn replace_holder(
        &mut self,
        seen: &id::Incarnation,
        (job, cancelled): (u64, bool),
        listed: &[usize],
    ) -> time::Duration {
        while !self.heartbeats.iter().any(|(latest, heartbeat)| {
            heartbeat.worker == *seen
                && *latest >= self.sim.now + heartbeat.wait
                && !heartbeat.wait.is_zero()
        }) {
            self.tick();
        }
        self.answer_heartbeats();
        let removed = self.sim.now;
        self.heartbeats.clear();
        self.replies.clear();
        let jobs = self.row(job, cancelled);
        let lease = self.sim.rows[&(job::LEASES, job::lease_key(0).name)].clone();
        let lease: job::Lease = serde_json::from_str(&lease).expect("a lease");
        let row = Some((self.sim.version, lease));
        self.sim.engine = job::Engine::new("next".into(), world::settings(), 2);
        self.sim.pending.clear();
        self.sim.handle(job::Event::Queues(sim::queues()));
        let listed = listed.iter().map(|at| sim::member(*at)).collect();
        self.sim.handle(job::Event::Listed(listed));
        self.sim.handle(job::Event::LeaseRead { row: row.clone(), store_ms: None });
        while self.sim.now < removed + world::settings().probe {
            self.tick();
        }
        let version = row.map_or(0, |(version, _)| version);
        self.sim.handle(job::Event::Probed { version, result: job::ProbeResult::Refused });
        let progress = self.sim.table(job::PROGRESS);
        let learned = self.sim.table(job::LEARNED);
        self.sim.handle(job::Event::Closed(job::ClosedHalls::default()));
        self.sim.handle(job::Event::Loaded { jobs, progress, learned });
        assert!(self.sim.engine.holding().is_some(), "nobody holds the domain");
        removed
    }

    /// Returns how long the task of a job keeps running after `from`.
    pub fn running_time_after(&mut self, job: u64, from: time::Duration) -> time::Duration {
        while !self.workers_running(job).is_empty() {
            self.tick();
            assert!(self.sim.now < from + 10 * CANCEL, "the task keeps running");
        }
        self.sim.now - from
    }
}

/// Returns the id of the first task of a job.
fn first_task(job: u64) -> job::TaskId {
    job::TaskId { job: job::JobId(job), round: 0, step: 0, index: 0 }
}
