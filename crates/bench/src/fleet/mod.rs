//! The job engine alone in virtual time: what one decision costs as workers and what waits grow.
//!
//! No network, no store and no process: events go in, effects come out, and answers come after fixed times. The
//! mix is that of the largest deployment known: by the second 13 jobs of 1.6 steps of 9 tasks that take 0.8 s on
//! 5.3 cores, 14.9 of 2 steps of 39 that take 2.7 s on 1.8 cores that others leave, and lasting tasks, one for each
//! worker, at 890 workers; other sizes in proportion.

mod mix;

use std::collections;
use std::time;

use cpu_time::ThreadTime;
use wharflane::{id, job, rows};
use wharflane_stand_in::jobs::world;

/// Starts in a second of the deployment that the rates are those of.
const OWN_STARTS_PER_S: f64 = 1_350.0;
/// How long an order, a look that does not wait, or a transaction takes.
const TRIP: time::Duration = time::Duration::from_millis(4);
/// The time between two ticks of a holder.
const TICK: time::Duration = time::Duration::from_millis(20);
/// How long the fleet runs until it is measured: the longest job takes 6 s.
const WARM: time::Duration = time::Duration::from_secs(8);
/// What a serving task tells beside nothing.
const QUIET_MS: f64 = 13.0;

/// What a fleet is measured by.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// The number of workers.
    pub workers: usize,
    /// Tasks started in a second.
    pub starts_per_s: f64,
    /// Tasks that wait from the beginning on, more than there is ever room for.
    pub waiting: u32,
    /// How long it is measured.
    pub time: time::Duration,
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Processor time of the engine.
    pub cpu: time::Duration,
    /// Events that it took.
    pub events: u64,
    /// Starts that it ordered.
    pub starts: u64,
    /// Looks that it asked for.
    pub heartbeats: u64,
    /// Ends that it heard.
    pub ends: u64,
    /// Transactions.
    pub txns: u64,
    /// Bytes of their values.
    pub txn_bytes: u64,
    /// How often a worker was sought for a task.
    pub sought: u64,
}

/// What arrives at a time.
#[derive(Debug)]
enum Arrival {
    /// A tick of the engine.
    Tick,
    /// The answer to a transaction.
    Done(u64, u64),
    /// The answer to a start.
    Started(job::Start),
    /// The answer to a look, unless it was given before.
    Answer(usize, u64),
    /// A task comes to its end.
    End(usize, job::TaskId, u32),
    /// A job is handed in.
    Submit(mix::Kind, time::Duration),
}

/// A worker.
#[derive(Debug, Default)]
struct Worker {
    /// What runs: task, run, since when, how long it takes.
    running: Vec<(job::TaskId, u32, time::Duration, time::Duration)>,
    /// Ends that are not acknowledged.
    ended: Vec<job::Ended>,
    /// The number of ends.
    ends: u64,
    /// The look that waits for its answer, by number.
    heartbeat: Option<(u64, job::Heartbeat)>,
}

/// A fleet under one engine.
#[derive(Debug)]
struct Fleet {
    /// The engine.
    engine: job::Engine,
    /// The time.
    now: time::Duration,
    /// What arrives, in order.
    mail: collections::BTreeMap<(time::Duration, u64), Arrival>,
    /// Numbers what was sent, looks and versions of the store.
    number: u64,
    /// The workers.
    workers: Vec<Worker>,
    /// The numbers of workers.
    names: collections::HashMap<id::Incarnation, usize>,
    /// The tasks and the steps that they belong to.
    steps: collections::HashMap<job::JobId, Vec<job::Step>>,
    /// Jobs handed in.
    jobs: u64,
    /// What was counted.
    cost: Cost,
}

/// Runs a fleet and returns what its engine cost.
#[must_use]
pub fn measure(setup: Setup) -> Cost {
    let mut fleet = Fleet::new(setup.workers);
    let share = setup.starts_per_s / OWN_STARTS_PER_S;
    fleet.send(TICK, Arrival::Tick);
    let serving = (setup.workers as f64 / 24.0).ceil() as u64;
    (0..serving).for_each(|_| fleet.submit(mix::Kind::Serves));
    (0..setup.waiting / 39).for_each(|_| fleet.submit(mix::Kind::Large));
    let every = |rate: f64| time::Duration::from_secs_f64(1.0 / (rate * share));
    fleet.send(every(13.0), Arrival::Submit(mix::Kind::Short, every(13.0)));
    fleet.send(every(14.9), Arrival::Submit(mix::Kind::Fills, every(14.9)));
    fleet.run(WARM);
    let (before, sought) = (fleet.cost, fleet.sought());
    fleet.run(WARM + setup.time);
    let after = fleet.cost;
    Cost {
        cpu: after.cpu - before.cpu,
        events: after.events - before.events,
        starts: after.starts - before.starts,
        heartbeats: after.heartbeats - before.heartbeats,
        ends: after.ends - before.ends,
        txns: after.txns - before.txns,
        txn_bytes: after.txn_bytes - before.txn_bytes,
        sought: fleet.sought() - sought,
    }
}

impl Cost {
    /// Returns the processor time of one start, with all that belongs to it, in microseconds.
    #[must_use]
    pub fn start_us(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / self.starts.max(1) as f64
    }

    /// Returns a count for each start.
    #[must_use]
    pub fn per_start(&self, count: u64) -> f64 {
        count as f64 / self.starts.max(1) as f64
    }
}

impl Fleet {
    /// Makes a fleet whose engine holds its domain.
    fn new(workers: usize) -> Self {
        let engine = job::Engine::new("host".into(), world::settings(), 1);
        let members: Vec<job::Member> = (0..workers).map(mix::member).collect();
        let names = members.iter().enumerate().map(|(at, member)| (member.incarnation.clone(), at));
        let mut fleet = Self {
            engine,
            now: time::Duration::from_secs(1),
            mail: collections::BTreeMap::new(),
            number: 0,
            workers: (0..workers).map(|_| Worker::default()).collect(),
            names: names.collect(),
            steps: collections::HashMap::new(),
            jobs: 0,
            cost: Cost::default(),
        };
        fleet.take(job::Event::Queues(mix::queues()));
        fleet.take(job::Event::Listed(members));
        fleet.take(job::Event::LeaseRead(None));
        fleet.run(time::Duration::from_millis(1_100));
        let (jobs, progress, learned) = (Vec::new(), Vec::new(), Vec::new());
        fleet.take(job::Event::Closed(job::ClosedHalls::default()));
        fleet.take(job::Event::Loaded { jobs, progress, learned });
        fleet
    }

    /// Returns how often a worker was sought.
    fn sought(&self) -> u64 {
        self.engine.holding().map_or(0, |holding| holding.worker_searches())
    }

    /// Lets something arrive after a time.
    fn send(&mut self, after: time::Duration, arrival: Arrival) {
        self.number += 1;
        self.mail.insert((self.now + after, self.number), arrival);
    }

    /// Lets time pass up to a moment.
    fn run(&mut self, end: time::Duration) {
        while let Some(entry) = self.mail.first_entry().filter(|entry| entry.key().0 <= end) {
            self.now = entry.key().0;
            let arrival = entry.remove();
            self.arrive(arrival);
        }
        self.now = self.now.max(end);
    }

    /// Lets the engine take an event, and answers what it asks for.
    fn take(&mut self, event: job::Event) {
        let began = ThreadTime::now();
        let effects = self.engine.step(self.now, event);
        self.cost.cpu += began.elapsed();
        self.cost.events += 1;
        for effect in effects {
            self.carry_out(effect);
        }
    }

    /// Carries out one effect.
    fn carry_out(&mut self, effect: job::Effect) {
        match effect {
            job::Effect::Txn(number, txn) => {
                self.cost.txns += 1;
                let values = txn.writes.iter().filter_map(|write| write.value.as_ref());
                self.cost.txn_bytes += values.map(|value| value.len() as u64).sum::<u64>();
                self.number += 1;
                self.send(TRIP, Arrival::Done(number, self.number));
            }
            job::Effect::Start(start) => {
                self.cost.starts += 1;
                self.send(TRIP, Arrival::Started(start));
            }
            job::Effect::Stop(order) => {
                let at = self.names[&order.worker];
                self.send(TRIP, Arrival::End(at, order.task, order.run));
            }
            job::Effect::SendHeartbeat(heartbeat) => self.handle_heartbeat(heartbeat),
            _ => {}
        }
    }

    /// Lets a worker be looked at: at once where an end is there, else when one comes or the wait is over.
    fn handle_heartbeat(&mut self, heartbeat: job::Heartbeat) {
        self.cost.heartbeats += 1;
        let at = self.names[&heartbeat.worker];
        let worker = &mut self.workers[at];
        worker.ended.retain(|ended| ended.number > heartbeat.seen);
        let wait = if worker.ended.is_empty() { heartbeat.wait } else { time::Duration::ZERO };
        self.number += 1;
        let number = self.number;
        self.workers[at].heartbeat = Some((number, heartbeat));
        self.send(TRIP + wait, Arrival::Answer(at, number));
    }

    /// Lets something arrive.
    fn arrive(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Tick => {
                self.send(TICK, Arrival::Tick);
                let wall_ms = u64::try_from(self.now.as_millis()).unwrap_or(0);
                self.take(job::Event::Tick { wall_ms });
            }
            Arrival::Done(number, version) => {
                let outcome = rows::Outcome::Answered(rows::Answer::Done { version });
                self.take(job::Event::Txn { number, outcome });
            }
            Arrival::Started(start) => self.started(start),
            Arrival::Answer(at, number) => self.answer(at, number),
            Arrival::End(at, task, run) => self.end(at, task, run),
            Arrival::Submit(kind, every) => {
                self.submit(kind);
                self.send(every, Arrival::Submit(kind, every));
            }
        }
    }

    /// Lets a worker begin a task.
    fn started(&mut self, start: job::Start) {
        let order = start.order;
        let at = self.names[&order.worker];
        let step = &self.steps[&order.task.job][order.task.step as usize];
        let lasts = time::Duration::from_millis(step.estimate_ms);
        self.workers[at].running.push((order.task, order.run, self.now, lasts));
        if !step.lasting {
            self.send(lasts, Arrival::End(at, order.task, order.run));
        }
        self.take(job::Event::Started { order, answer: job::StartAnswer::Taken });
    }

    /// Ends a task, and answers the look that waits for it.
    fn end(&mut self, at: usize, task: job::TaskId, run: u32) {
        let worker = &mut self.workers[at];
        let Some(found) = worker.running.iter().position(|row| (row.0, row.1) == (task, run))
        else {
            return;
        };
        worker.running.swap_remove(found);
        worker.ends += 1;
        let (number, kind, checkpoint) = (worker.ends, job::EndKind::Done, String::new());
        worker.ended.push(job::Ended { number, task, run, kind, checkpoint });
        if let Some((number, _)) = worker.heartbeat {
            self.send(TRIP, Arrival::Answer(at, number));
        }
    }

    /// Answers a look with both lists.
    fn answer(&mut self, at: usize, number: u64) {
        let worker = &mut self.workers[at];
        let Some((_, heartbeat)) = worker.heartbeat.take_if(|heartbeat| heartbeat.0 == number)
        else {
            return;
        };
        let filled = worker.running.len() as f64;
        let rows = worker.running.iter().map(|(task, run, since, lasts)| {
            let serves = self.steps[&task.job][task.step as usize].target_ms.is_some();
            let passed = (self.now - *since).as_millis() * 100 / lasts.as_millis().max(1);
            let tail = QUIET_MS / (1.0 - (0.06 + 0.02 * filled).min(0.9));
            let load = if serves { tail as u64 } else { 1_200 };
            job::Running { task: *task, run: *run, percent: (passed as u64).min(99), load }
        });
        let running = rows.collect();
        let ended = worker.ended.clone();
        self.cost.ends += ended.len() as u64;
        let clock_ms = u64::try_from(self.now.as_millis()).unwrap_or(0);
        let answer =
            job::HeartbeatAnswer::Lists(job::Lists { born_ms: None, clock_ms, running, ended });
        self.take(job::Event::HeartbeatAnswered {
            worker: heartbeat.worker,
            epoch: heartbeat.epoch,
            answer,
        });
    }

    /// Hands in a job.
    fn submit(&mut self, kind: mix::Kind) {
        self.jobs += 1;
        // Names of jobs are spread as hashes are.
        let name = job::JobId(self.jobs.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let steps = mix::steps(kind, self.jobs);
        self.steps.insert(name, steps.clone());
        let queue = if matches!(kind, mix::Kind::Short) { "first" } else { "last" };
        let job = job::Job {
            queue: queue.to_owned(),
            service: "service".into(),
            spec: "0123456789abcdef".repeat(8),
            steps,
            repeats: None,
        };
        let accepted_ms = u64::try_from(self.now.as_millis()).unwrap_or(0);
        let value = serde_json::to_string(&job::Accepted { job, cancelled: false, accepted_ms });
        let part = job::job_key(0, name).part;
        let row = rows::Row {
            name: name.to_string(),
            part,
            version: self.number,
            value: value.ok(),
            gone: false,
        };
        self.take(job::Event::Jobs(vec![row]));
    }
}
