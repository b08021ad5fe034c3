//! The cost of one start for the job engine in virtual time, as workers and waiting tasks grow.
//!
//! There is no network, store or process: events are answered after fixed delays. The workload is
//! that of the largest known deployment, which has 890 workers. Each second brings 13 jobs of 1.6
//! steps with 9 tasks that take 0.8 s on 5.3 cores, and 14.9 jobs of 2 steps with 39 best-effort
//! tasks that take 2.7 s on 1.8 cores. There is also one long-running task per worker. Other sizes
//! scale these rates in proportion.

mod host;
mod served;
mod workload;

use std::collections;
use std::time;

use cpu_time::ThreadTime;
use wharflane::{id, job, rows};
use wharflane_stand_in::jobs::world;

pub use served::{Served, SlowSetup, serve};

/// Starts per second of the deployment from which the rates are taken.
const BASE_STARTS_PER_S: f64 = 1_350.0;
/// The delay of a start, of a heartbeat that need not wait, and of a transaction.
const ROUND_TRIP: time::Duration = time::Duration::from_millis(4);
/// The time between two ticks of the engine.
const TICK: time::Duration = time::Duration::from_millis(20);
/// The warm-up before the measurement; the longest job takes 6 s.
const WARM_UP: time::Duration = time::Duration::from_secs(8);
/// The latency that a serving task reports without interference, in milliseconds.
const BASE_LATENCY_MS: f64 = 13.0;

/// The size and load of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// The number of workers.
    pub workers: usize,
    /// Tasks started per second.
    pub starts_per_s: f64,
    /// Tasks that wait from the beginning and fit on no worker.
    pub waiting_tasks: u32,
    /// The duration of the measurement, in virtual time.
    pub duration: time::Duration,
}

/// Counters of the engine's work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Processor time of the engine.
    pub cpu: time::Duration,
    /// Events passed to the engine.
    pub events: u64,
    /// Starts that the engine ordered.
    pub starts: u64,
    /// Heartbeats that the engine sent.
    pub heartbeats: u64,
    /// Ended runs reported to the engine, repeated reports included.
    pub ends: u64,
    /// Transactions that the engine sent.
    pub txns: u64,
    /// Size of the values written by transactions, in bytes.
    pub txn_bytes: u64,
    /// Searches for a worker among all workers.
    pub worker_searches: u64,
}

/// An event in the queue of the simulation.
#[derive(Debug)]
enum Arrival {
    /// A tick of the engine is due.
    Tick,
    /// The answer to a transaction, with the transaction's number and the new version.
    TxnDone(u64, u64),
    /// The worker's answer to a start.
    Started(job::Start),
    /// The answer to the heartbeat with this number, unless it was answered earlier.
    HeartbeatAnswer(usize, u64),
    /// A run of a task on this worker ends.
    End(usize, job::TaskId, u32),
    /// A job is submitted, and the next one is scheduled after this interval.
    Submit(workload::Kind, time::Duration),
    /// The host's processor has done its work, which led to these effects.
    WorkDone(Vec<job::Effect>),
}

/// The state of a simulated worker.
#[derive(Debug, Default)]
struct Worker {
    /// Running tasks with run number, start time and run time.
    running: Vec<(job::TaskId, u32, time::Duration, time::Duration)>,
    /// Ended runs that the holder has not acknowledged.
    ended: Vec<job::Ended>,
    /// The number of runs that have ended; numbers the entries of `ended`.
    end_count: u64,
    /// The heartbeat that waits for its answer, with its number.
    heartbeat: Option<(u64, job::Heartbeat)>,
}

/// A simulation of one engine and its workers.
#[derive(Debug)]
struct Simulation {
    /// The engine under measurement.
    engine: job::Engine,
    /// Virtual time since the start.
    now: time::Duration,
    /// Pending arrivals by time, and by order of scheduling within the same time.
    pending: collections::BTreeMap<(time::Duration, u64), Arrival>,
    /// The last number given to an arrival, a heartbeat or a version of the store.
    sequence: u64,
    /// The workers by index.
    workers: Vec<Worker>,
    /// The index of each worker.
    worker_indices: collections::HashMap<id::Incarnation, usize>,
    /// The steps of each submitted job.
    steps: collections::HashMap<job::JobId, Vec<job::Step>>,
    /// The number of jobs submitted so far.
    submitted_jobs: u64,
    /// Counters since the start.
    cost: Cost,
    /// Whether the event that arrives answers an urgent call.
    urgent_answer: bool,
    /// The host of the engine; absent for one that takes no time for anything.
    host: Option<host::Host>,
    /// When the jobs were submitted that end by themselves, and when their last end was handled.
    served: served::Record,
}

/// Runs a simulation and returns the cost of its engine after the warm-up.
#[must_use]
pub fn measure(setup: Setup) -> Cost {
    let mut simulation = Simulation::new(setup.workers);
    simulation.submit_all(setup.workers, setup.starts_per_s, setup.waiting_tasks);
    simulation.run(WARM_UP);
    let (before, worker_searches) = (simulation.cost, simulation.worker_searches());
    simulation.run(WARM_UP + setup.duration);
    let after = simulation.cost;
    Cost {
        cpu: after.cpu - before.cpu,
        events: after.events - before.events,
        starts: after.starts - before.starts,
        heartbeats: after.heartbeats - before.heartbeats,
        ends: after.ends - before.ends,
        txns: after.txns - before.txns,
        txn_bytes: after.txn_bytes - before.txn_bytes,
        worker_searches: simulation.worker_searches() - worker_searches,
    }
}

impl Cost {
    /// Returns the engine's processor time per start, with all other work included, in
    /// microseconds.
    #[must_use]
    pub fn start_us(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / self.starts.max(1) as f64
    }

    /// Returns a count per start.
    #[must_use]
    pub fn per_start(&self, count: u64) -> f64 {
        count as f64 / self.starts.max(1) as f64
    }
}

impl Simulation {
    /// Creates a simulation whose engine holds its domain.
    fn new(workers: usize) -> Self {
        let engine = job::Engine::new("host".into(), world::settings(), 1);
        let members: Vec<job::Member> = (0..workers).map(workload::worker_member).collect();
        let worker_indices =
            members.iter().enumerate().map(|(at, member)| (member.incarnation.clone(), at));
        let mut simulation = Self {
            engine,
            now: time::Duration::from_secs(1),
            pending: collections::BTreeMap::new(),
            sequence: 0,
            workers: (0..workers).map(|_| Worker::default()).collect(),
            worker_indices: worker_indices.collect(),
            steps: collections::HashMap::new(),
            submitted_jobs: 0,
            cost: Cost::default(),
            urgent_answer: false,
            host: None,
            served: served::Record::default(),
        };
        simulation.step(job::Event::Queues(workload::queues()));
        simulation.step(job::Event::Listed(members));
        simulation.step(job::Event::LeaseRead { row: None, store_ms: None });
        simulation.run(time::Duration::from_millis(1_100));
        let (jobs, progress, learned) = (Vec::new(), Vec::new(), Vec::new());
        simulation.step(job::Event::Closed(job::ClosedHalls::default()));
        simulation.step(job::Event::Loaded { jobs, progress, learned });
        simulation
    }

    /// Begins the ticks and the submission of jobs: a long-running task for each worker, tasks that
    /// wait from the beginning, and as many others as start `starts_per_s` tasks a second.
    fn submit_all(&mut self, workers: usize, starts_per_s: f64, waiting_tasks: u32) {
        let scale = starts_per_s / BASE_STARTS_PER_S;
        self.schedule(TICK, Arrival::Tick);
        let serving = (workers as f64 / 24.0).ceil() as u64;
        (0..serving).for_each(|_| self.submit(workload::Kind::Serving));
        (0..waiting_tasks / 39).for_each(|_| self.submit(workload::Kind::Oversized));
        let interval = |rate: f64| time::Duration::from_secs_f64(1.0 / (rate * scale));
        self.schedule(interval(13.0), Arrival::Submit(workload::Kind::Short, interval(13.0)));
        self.schedule(interval(14.9), Arrival::Submit(workload::Kind::BestEffort, interval(14.9)));
    }

    /// Returns how often the engine has searched for a worker.
    fn worker_searches(&self) -> u64 {
        self.engine.holding().map_or(0, |holding| holding.worker_searches())
    }

    /// Schedules an arrival after a delay.
    fn schedule(&mut self, after: time::Duration, arrival: Arrival) {
        self.sequence += 1;
        self.pending.insert((self.now + after, self.sequence), arrival);
    }

    /// Advances virtual time to `end` and handles all arrivals until then.
    fn run(&mut self, end: time::Duration) {
        while let Some(entry) = self.pending.first_entry().filter(|entry| entry.key().0 <= end) {
            self.now = entry.key().0;
            let arrival = entry.remove();
            self.handle_arrival(arrival);
        }
        self.now = self.now.max(end);
    }

    /// Passes an event to the engine and carries out the effects, at once or as the host gets to it.
    fn step(&mut self, event: job::Event) {
        match &mut self.host {
            Some(host) => {
                let urgent = self.urgent_answer;
                host.push_event(event, urgent, self.now);
                self.work();
            }
            None => {
                for effect in self.handle(event) {
                    self.carry_out(effect);
                }
            }
        }
    }

    /// Passes an event to the engine; returns the effects.
    fn handle(&mut self, event: job::Event) -> Vec<job::Effect> {
        let start = ThreadTime::now();
        let effects = self.engine.step(self.now, event);
        self.cost.cpu += start.elapsed();
        self.cost.events += 1;
        effects
    }

    /// Lets an idle host begin its next work.
    fn work(&mut self) {
        let Some(host) = self.host.as_mut().filter(|host| !host.busy) else {
            return;
        };
        let Some(work) = host.pop(self.now) else {
            return;
        };
        host.busy = true;
        let (effects, took) = match work {
            host::Work::Handle(event) => self.handle_timed(event),
            host::Work::Send(effect) => {
                let took = host.send_time();
                self.carry_out(effect);
                (Vec::new(), took)
            }
        };
        self.schedule(took, Arrival::WorkDone(effects));
    }

    /// Passes an event to the engine; returns the effects and the time that the host takes.
    fn handle_timed(&mut self, event: job::Event) -> (Vec<job::Effect>, time::Duration) {
        let counts = |engine: &job::Engine| {
            engine.holding().map_or((0, 0), |holding| (holding.passes(), holding.staged()))
        };
        let kind = host::Kind::of(&event);
        if let job::Event::HeartbeatAnswered {
            worker,
            answer: job::HeartbeatAnswer::Lists(lists),
            ..
        } = &event
        {
            self.served.note_ends(worker, &lists.ended, self.now);
        }
        if let Some(host) = &self.host {
            self.engine.set_pace(host.pace(self.now));
        }
        let before = counts(&self.engine);
        let effects = self.handle(event);
        let after = counts(&self.engine);
        let (passes, staged) = (after.0 - before.0, after.1.saturating_sub(before.1));
        let Some(host) = &mut self.host else {
            return (effects, time::Duration::ZERO);
        };
        let took = host.handling_time(kind, passes, staged);
        if passes > 0 {
            host.note_pass(took);
        }
        (effects, took)
    }

    /// Ends the work of the host, whose calls now wait to be sent, and begins the next.
    fn finish_work(&mut self, effects: Vec<job::Effect>) {
        if let Some(host) = &mut self.host {
            host.busy = false;
            effects.into_iter().for_each(|effect| host.push_call(effect, self.now));
        }
        self.work();
    }

    /// Carries out one effect, if it needs an answer here.
    fn carry_out(&mut self, effect: job::Effect) {
        match effect {
            job::Effect::Txn(number, txn) => {
                self.cost.txns += 1;
                let values = txn.writes.iter().filter_map(|write| write.value.as_ref());
                self.cost.txn_bytes += values.map(|value| value.len() as u64).sum::<u64>();
                self.sequence += 1;
                self.schedule(ROUND_TRIP, Arrival::TxnDone(number, self.sequence));
            }
            job::Effect::Start(start) => {
                self.cost.starts += 1;
                self.schedule(ROUND_TRIP, Arrival::Started(start));
            }
            job::Effect::Stop(order) => {
                let at = self.worker_indices[&order.worker];
                self.schedule(ROUND_TRIP, Arrival::End(at, order.task, order.run));
            }
            job::Effect::SendHeartbeat(heartbeat) => self.handle_heartbeat(heartbeat),
            _ => {}
        }
    }

    /// Handles a heartbeat. It is answered at once if a run has ended, otherwise at the next end of
    /// a run or after its wait.
    fn handle_heartbeat(&mut self, heartbeat: job::Heartbeat) {
        self.cost.heartbeats += 1;
        let at = self.worker_indices[&heartbeat.worker];
        let worker = &mut self.workers[at];
        worker.ended.retain(|ended| ended.number > heartbeat.acknowledged_end);
        let wait = if worker.ended.is_empty() { heartbeat.wait } else { time::Duration::ZERO };
        self.sequence += 1;
        let number = self.sequence;
        self.workers[at].heartbeat = Some((number, heartbeat));
        self.schedule(ROUND_TRIP + wait, Arrival::HeartbeatAnswer(at, number));
    }

    /// Handles one arrival.
    fn handle_arrival(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Tick => {
                self.schedule(TICK, Arrival::Tick);
                let wall_ms = u64::try_from(self.now.as_millis()).unwrap_or(0);
                self.step(job::Event::Tick { wall_ms });
            }
            Arrival::TxnDone(number, version) => {
                let outcome = rows::Outcome::Answered(rows::Answer::Done { version });
                self.step(job::Event::Txn { number, outcome });
            }
            Arrival::Started(start) => self.start_task(start),
            Arrival::HeartbeatAnswer(at, number) => self.answer_heartbeat(at, number),
            Arrival::End(at, task, run) => self.end_task(at, task, run),
            Arrival::WorkDone(effects) => self.finish_work(effects),
            Arrival::Submit(kind, interval) => {
                self.submit(kind);
                self.schedule(interval, Arrival::Submit(kind, interval));
            }
        }
    }

    /// Starts a task on a worker and acknowledges the start.
    fn start_task(&mut self, start: job::Start) {
        let order = start.order;
        let at = self.worker_indices[&order.worker];
        let step = &self.steps[&order.task.job][order.task.step as usize];
        let run_time = time::Duration::from_millis(step.estimate_ms);
        self.workers[at].running.push((order.task, order.run, self.now, run_time));
        if !step.lasting {
            self.schedule(run_time, Arrival::End(at, order.task, order.run));
        }
        self.step(job::Event::Started {
            order,
            answer: job::StartAnswer::Taken { clock_ms: None },
        });
    }

    /// Ends a run and answers the worker's waiting heartbeat.
    fn end_task(&mut self, at: usize, task: job::TaskId, run: u32) {
        let worker = &mut self.workers[at];
        let Some(found) = worker.running.iter().position(|row| (row.0, row.1) == (task, run))
        else {
            return;
        };
        worker.running.swap_remove(found);
        worker.end_count += 1;
        let (number, kind, checkpoint) = (worker.end_count, job::EndKind::Done, String::new());
        worker.ended.push(job::Ended { number, task, run, kind, checkpoint });
        if let Some((number, _)) = worker.heartbeat {
            self.schedule(ROUND_TRIP, Arrival::HeartbeatAnswer(at, number));
        }
    }

    /// Answers a heartbeat with the running tasks and the ended runs.
    fn answer_heartbeat(&mut self, at: usize, number: u64) {
        let worker = &mut self.workers[at];
        let Some((_, heartbeat)) = worker.heartbeat.take_if(|heartbeat| heartbeat.0 == number)
        else {
            return;
        };
        let running_count = worker.running.len() as f64;
        let rows = worker.running.iter().map(|(task, run, since, run_time)| {
            let serves = self.steps[&task.job][task.step as usize].target_ms.is_some();
            let percent = (self.now - *since).as_millis() * 100 / run_time.as_millis().max(1);
            let latency_ms = BASE_LATENCY_MS / (1.0 - (0.06 + 0.02 * running_count).min(0.9));
            let load = if serves { latency_ms as u64 } else { 1_200 };
            job::Running { task: *task, run: *run, percent: (percent as u64).min(99), load }
        });
        let running = rows.collect();
        let ended = worker.ended.clone();
        self.cost.ends += ended.len() as u64;
        let clock_ms = u64::try_from(self.now.as_millis()).unwrap_or(0);
        let lists = job::Lists { clock_ms, running, ended, ..job::Lists::default() };
        let answer = job::HeartbeatAnswer::Lists(lists);
        self.urgent_answer = heartbeat.urgent;
        self.step(job::Event::HeartbeatAnswered {
            worker: heartbeat.worker,
            epoch: heartbeat.epoch,
            answer,
        });
    }

    /// Submits a job of a kind.
    fn submit(&mut self, kind: workload::Kind) {
        self.submitted_jobs += 1;
        // The multiplication spreads job ids like a hash.
        let job_id = job::JobId(self.submitted_jobs.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let steps = workload::steps(kind, self.submitted_jobs);
        self.served.note_submission(job_id, kind, &steps, self.now);
        self.steps.insert(job_id, steps.clone());
        let queue = if matches!(kind, workload::Kind::Short) { "first" } else { "last" };
        let job = job::Job {
            queue: queue.to_owned(),
            service: "service".into(),
            spec: "0123456789abcdef".repeat(8),
            steps,
            repeats: None,
        };
        let accepted_ms = u64::try_from(self.now.as_millis()).unwrap_or(0);
        let policy = workload::queues().policy(queue);
        let accepted = job::Accepted { job, cancelled: false, accepted_ms, policy };
        let value = serde_json::to_string(&accepted);
        let part = job::job_key(0, job_id).part;
        let row = rows::Row {
            name: job_id.to_string(),
            part,
            version: self.sequence,
            value: value.ok(),
            gone: false,
        };
        self.step(job::Event::Jobs(vec![row]));
    }
}
