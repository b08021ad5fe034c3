//! Runs the job engine, event by event, against a simulated store and simulated workers that answer
//! at once. Time passes only where a test advances it.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod losses;
pub mod serving;

use std::collections;
use std::sync;
use std::time;

use wharflane::{id, job, rows, size};
use wharflane_stand_in::jobs::{rows as store, world};

/// The latency target of a serving task, in milliseconds.
const TARGET_MS: u64 = 50;
/// The tail latency of a serving task with no best-effort task beside it, in milliseconds.
const UNDISTURBED_TAIL_MS: u64 = 13;
/// The tail latency of a serving task beside a task that interferes with it, in milliseconds.
const DISTURBED_TAIL_MS: u64 = 40;
/// The tail latency of a serving task on a worker where nothing moves, in milliseconds.
const STALLED_TAIL_MS: u64 = 30_000;

/// The numbers of jobs whose tasks are serving tasks, in addition to job 1.
pub const SERVING_JOBS: std::ops::Range<u64> = 1_000..2_000;
/// The queue whose steps need a ticket from the advice service.
pub const ADVISED: &str = "advised";
/// How long a ticket is valid.
pub const TICKET: time::Duration = time::Duration::from_secs(3);

/// A job engine with a simulated store and simulated workers, and the effects that it requested.
pub struct Sim {
    /// The engine under test.
    pub engine: job::Engine,
    /// The current time of the simulation, which starts at one second.
    pub now: time::Duration,
    /// The version of the store; it grows with every effect of the engine and every submitted job.
    pub version: u64,
    /// The newest values in the store, by table and row name.
    pub rows: collections::BTreeMap<(&'static str, String), String>,
    /// Effects that the engine requested and the simulation has not answered; starts stay here
    /// after their worker accepted them.
    pub pending: Vec<job::Effect>,
    /// Runs that have ended, with the worker that reports each of them in its heartbeat answers.
    pub ended_runs: Vec<(id::Incarnation, job::Ended)>,
    /// The maximum number of ended runs in one heartbeat answer.
    pub max_listed_ends: usize,
    /// The tables of the rows that were removed, in order.
    pub removed: Vec<&'static str>,
    /// The workers that the advice service accepts.
    pub allowed_workers: Vec<id::Incarnation>,
    /// The requests for advice that the engine has made.
    pub advice_requests: Vec<job::AdviceRequest>,
    /// How many of the next requests for advice get no answer.
    pub unanswered_requests: usize,
    /// Starts that a worker refused or did not answer.
    pub not_taken: Vec<job::Start>,
    /// Whether the feed of accepted jobs reports its progress.
    pub feed_reports: bool,
    /// Returns whether the store refuses a transaction permanently.
    pub refuses_txn: fn(&rows::Txn) -> bool,
    /// How many transactions the store has refused permanently.
    pub refusals: usize,
    /// Answers to the next starts; once they are used up, every start is accepted.
    pub start_answers: collections::VecDeque<job::StartAnswer>,
    /// Stop orders given while time was advanced.
    pub stops: Vec<job::Order>,
    /// The times at which heartbeats were sent, with the worker.
    pub heartbeats_sent: Vec<(time::Duration, id::Incarnation)>,
    /// The number of the last ended run that each heartbeat acknowledged, with the worker.
    pub acknowledgements: Vec<(id::Incarnation, u64)>,
    /// The times at which transactions were committed.
    pub commit_times: Vec<time::Duration>,
    /// Orders to change a task's share that were given while time was advanced, with their times.
    pub share_orders: Vec<(time::Duration, job::SetShare)>,
    /// Returns the tail latency of a serving task in milliseconds by the processors, in thousandths
    /// of a core, that best-effort tasks use beside it. If absent, the `interferes` argument of
    /// `advance` determines it.
    pub tail_ms: Option<fn(u64) -> u64>,
    /// The tail latencies that heartbeat answers reported for serving tasks, in milliseconds, with
    /// the time and the worker.
    pub reported_tails: Vec<(time::Duration, id::Incarnation, u64)>,
    /// How far the wall clock lags behind `now`, in milliseconds.
    pub wall_clock_lag_ms: u64,
    /// Workers on which nothing moves, with the time at which they stopped: their batch tasks make
    /// no progress and their serving tasks answer nobody.
    pub stalled_workers: collections::BTreeMap<id::Incarnation, time::Duration>,
    /// Workers that answer no heartbeat.
    pub silent_workers: collections::BTreeSet<id::Incarnation>,
    /// Returns whether the store leaves a transaction unanswered; such a transaction stays in
    /// `pending`.
    pub leaves_txn_open: fn(&rows::Txn) -> bool,
}

impl Sim {
    /// Returns a simulation whose engine holds its domain, with `workers` workers.
    pub fn new(workers: usize, learned: Vec<rows::Row>) -> Self {
        Self::taking_over(workers, (Vec::new(), Vec::new()), learned)
    }

    /// Returns a simulation whose engine takes over jobs and their progress, with `workers`
    /// workers.
    pub fn taking_over(
        workers: usize,
        (jobs, progress): (Vec<rows::Row>, Vec<rows::Row>),
        learned: Vec<rows::Row>,
    ) -> Self {
        Self::with_settings(world::settings(), workers, (jobs, progress), learned)
    }

    /// Returns a simulation whose engine has other settings and takes over jobs and their progress,
    /// with `workers` workers.
    pub fn with_settings(
        settings: job::Settings,
        workers: usize,
        (jobs, progress): (Vec<rows::Row>, Vec<rows::Row>),
        learned: Vec<rows::Row>,
    ) -> Self {
        let engine = job::Engine::new("host".into(), settings, 1);
        let mut sim = Self {
            engine,
            now: time::Duration::from_secs(1),
            version: 0,
            rows: collections::BTreeMap::new(),
            pending: Vec::new(),
            ended_runs: Vec::new(),
            max_listed_ends: usize::MAX,
            removed: Vec::new(),
            allowed_workers: Vec::new(),
            advice_requests: Vec::new(),
            unanswered_requests: 0,
            not_taken: Vec::new(),
            feed_reports: true,
            refuses_txn: |txn| !store::is_within_limits(txn),
            refusals: 0,
            start_answers: collections::VecDeque::new(),
            stops: Vec::new(),
            heartbeats_sent: Vec::new(),
            acknowledgements: Vec::new(),
            commit_times: Vec::new(),
            share_orders: Vec::new(),
            tail_ms: None,
            reported_tails: Vec::new(),
            wall_clock_lag_ms: 0,
            stalled_workers: collections::BTreeMap::new(),
            silent_workers: collections::BTreeSet::new(),
            leaves_txn_open: |_| false,
        };
        sim.handle(job::Event::Queues(queues()));
        sim.handle(job::Event::Listed((0..workers).map(member).collect()));
        sim.handle(job::Event::LeaseRead { row: None, store_ms: None });
        sim.handle(job::Event::Closed(job::ClosedHalls::default()));
        sim.handle(job::Event::Loaded { jobs, progress, learned });
        sim
    }

    /// Passes an event to the engine and answers its transactions at once.
    pub fn handle(&mut self, event: job::Event) {
        let mut effects = self.engine.step(self.now, event);
        while !effects.is_empty() {
            let effect = effects.remove(0);
            self.version += 1;
            let (number, txn) = match effect {
                job::Effect::Txn(number, txn) if !(self.leaves_txn_open)(&txn) => (number, txn),
                job::Effect::Drop(job, txn) => {
                    self.removed.extend(txn.writes.into_iter().map(|write| write.key.table));
                    let event = job::Event::Dropped { job, done: true };
                    effects.extend(self.engine.step(self.now, event));
                    continue;
                }
                effect => {
                    self.pending.push(effect);
                    continue;
                }
            };
            if (self.refuses_txn)(&txn) {
                self.refusals += 1;
                let event = job::Event::Txn { number, outcome: rows::Outcome::Refused };
                effects.extend(self.engine.step(self.now, event));
                continue;
            }
            self.commit_times.push(self.now);
            for write in txn.writes {
                let at = (write.key.table, write.key.name);
                match write.value {
                    Some(value) => drop(self.rows.insert(at, value)),
                    None if self.rows.remove(&at).is_some() => self.removed.push(at.0),
                    None => {}
                }
            }
            let answer = rows::Answer::Done { version: self.version };
            let event = job::Event::Txn { number, outcome: rows::Outcome::Answered(answer) };
            effects.extend(self.engine.step(self.now, event));
        }
    }

    /// Commits and answers the transactions that the store left unanswered.
    pub fn store_answers(&mut self) {
        self.leaves_txn_open = |_| false;
        let pending = std::mem::take(&mut self.pending);
        let (open, pending): (Vec<_>, Vec<_>) =
            pending.into_iter().partition(|effect| matches!(effect, job::Effect::Txn(..)));
        self.pending = pending;
        for effect in open {
            let job::Effect::Txn(number, txn) = effect else {
                continue;
            };
            for write in txn.writes {
                let at = (write.key.table, write.key.name);
                match write.value {
                    Some(value) => drop(self.rows.insert(at, value)),
                    None => drop(self.rows.remove(&at)),
                }
            }
            self.version += 1;
            let answer = rows::Answer::Done { version: self.version };
            let outcome = rows::Outcome::Answered(answer);
            self.handle(job::Event::Txn { number, outcome });
        }
    }

    /// Advances the time in ticks of 20 ms. Workers answer heartbeats with their running and ended
    /// runs and accept the starts that they get.
    ///
    /// If `interferes` is set, a serving task beside a task of job 2 reports the higher tail
    /// latency.
    pub fn advance(&mut self, millis: u64, interferes: bool) {
        let mut started: Vec<job::Start> = Vec::new();
        let mut refused: Vec<job::Start> = Vec::new();
        let mut open = Vec::new();
        for _ in 0..millis / 20 {
            self.now += time::Duration::from_millis(20);
            let wall_ms = u64::try_from(self.now.as_millis()).expect("fits into u64");
            if self.feed_reports {
                self.handle(job::Event::JobsReadUpTo { up_to_ms: wall_ms });
            }
            self.handle(job::Event::Tick { wall_ms: wall_ms - self.wall_clock_lag_ms });
            for effect in std::mem::take(&mut self.pending) {
                match effect {
                    job::Effect::Start(start) => {
                        let order = start.order.clone();
                        let answer = self.start_answers.pop_front();
                        let answer = answer.unwrap_or(job::StartAnswer::Taken);
                        if answer == job::StartAnswer::Taken {
                            started.push(start);
                        } else {
                            refused.push(start);
                        }
                        self.handle(job::Event::Started { order, answer });
                    }
                    job::Effect::RequestAdvice(request) => {
                        let accepted =
                            request.workers.iter().filter(|w| self.allowed_workers.contains(w));
                        let accepted =
                            accepted.map(|worker| (worker.clone(), format!("for {worker}")));
                        let advice = job::Advice { accepted: accepted.collect(), valid: TICKET };
                        let answer = (self.unanswered_requests == 0).then_some(advice);
                        self.unanswered_requests = self.unanswered_requests.saturating_sub(1);
                        self.advice_requests.push(request.clone());
                        self.handle(job::Event::AdviceAnswered { request, answer });
                    }
                    job::Effect::SendHeartbeat(heartbeat)
                        if self.silent_workers.contains(&heartbeat.worker) =>
                    {
                        let (worker, epoch) = (heartbeat.worker, heartbeat.epoch);
                        let answer = job::HeartbeatAnswer::Silent;
                        self.handle(job::Event::HeartbeatAnswered { worker, epoch, answer });
                    }
                    job::Effect::SendHeartbeat(heartbeat) => {
                        self.heartbeats_sent.push((self.now, heartbeat.worker.clone()));
                        self.acknowledgements
                            .push((heartbeat.worker.clone(), heartbeat.acknowledged_end));
                        let clock_ms = u64::try_from(self.now.as_millis()).expect("fits into u64");
                        let here = |start: &&job::Start| {
                            start.order.worker == heartbeat.worker && !self.has_ended(&start.order)
                        };
                        let here: Vec<&job::Start> = started.iter().filter(here).collect();
                        let beside = here.iter().any(|start| start.order.task.job.0 == 2);
                        let row = |start: &&job::Start| row(start, interferes && beside);
                        let mut running: Vec<job::Running> = here.iter().map(row).collect();
                        self.apply_interference(&heartbeat.worker, &mut running);
                        self.apply_progress(&heartbeat.worker, &mut running);
                        let ended = self.unacknowledged_ends(&heartbeat);
                        let born_ms = heartbeat.worker.born_ms;
                        let more_ended = ended.len() >= self.max_listed_ends;
                        let lists = job::Lists { born_ms, clock_ms, running, ended, more_ended };
                        let answer = job::HeartbeatAnswer::Lists(lists);
                        let (worker, epoch) = (heartbeat.worker, heartbeat.epoch);
                        self.handle(job::Event::HeartbeatAnswered { worker, epoch, answer });
                    }
                    job::Effect::SetShare(order) => self.share_orders.push((self.now, order)),
                    job::Effect::Stop(order) => self.stops.push(order),
                    job::Effect::Txn(..) => open.push(effect),
                    _ => {}
                }
            }
        }
        self.not_taken.extend(refused);
        self.pending.extend(open);
        self.pending.extend(started.into_iter().map(job::Effect::Start));
    }

    /// Lets every batch run of a worker report progress, so that none counts as stalled, unless
    /// nothing moves there.
    fn apply_progress(&self, worker: &id::Incarnation, running: &mut [job::Running]) {
        let stalled = self.stalled_workers.get(worker);
        let moved_until = stalled.map_or(self.now, |since| self.now.min(*since));
        let percent = u64::try_from(moved_until.as_millis()).expect("fits into u64") / 100 % 100;
        for row in running {
            // Job 1 has batch tasks in some tests.
            if !SERVING_JOBS.contains(&row.task.job.0) {
                row.percent = percent;
            }
            if serves(row.task.job.0) && stalled.is_some() {
                row.load = STALLED_TAIL_MS;
            }
        }
    }

    /// Computes the tail latency of serving tasks from the best-effort load beside them, if
    /// `tail_ms` is set. Best-effort tasks run at the share that was ordered for them.
    fn apply_interference(&mut self, worker: &id::Incarnation, running: &mut [job::Running]) {
        let Some(tail_ms) = self.tail_ms else {
            return;
        };
        let serves = |row: &job::Running| serves(row.task.job.0);
        for row in running.iter_mut().filter(|row| !serves(row)) {
            let ordered =
                self.share_orders.iter().rev().find(|(_, change)| {
                    change.order.task == row.task && change.order.run == row.run
                });
            let percent = ordered.map_or(100, |(_, change)| u64::from(change.percent));
            row.load = row.load * percent / 100;
        }
        let filled = running.iter().filter(|row| !serves(row)).map(|row| row.load).sum();
        for row in running.iter_mut().filter(|row| serves(row)) {
            row.load = tail_ms(filled);
            self.reported_tails.push((self.now, worker.clone(), row.load));
        }
    }

    /// Ends the newest run of a task; heartbeat answers report it from then on.
    pub fn end_task(&mut self, task: job::TaskId, kind: job::EndKind) {
        let order = self.newest_order(task);
        self.end_run(&order, kind, String::new());
    }

    /// Ends the run of an order with a checkpoint; heartbeat answers report it from then on.
    pub fn end_run(&mut self, order: &job::Order, kind: job::EndKind, checkpoint: String) {
        let number =
            self.ended_runs.iter().filter(|(worker, _)| *worker == order.worker).count() + 1;
        let number = u64::try_from(number).expect("fits into u64");
        let ended = job::Ended { number, task: order.task, run: order.run, kind, checkpoint };
        self.ended_runs.push((order.worker.clone(), ended));
    }

    /// Restarts a worker under its id: the new incarnation reports nothing of the previous one and
    /// numbers its ended runs from one.
    pub fn restart(&mut self, at: usize) -> id::Incarnation {
        let mut member = member(at);
        member.incarnation.born_ms = u64::try_from(self.now.as_millis()).ok();
        let incarnation = member.incarnation.clone();
        self.handle(job::Event::Member(incarnation.worker.clone(), Some(member)));
        incarnation
    }

    /// Advances the time until the next heartbeat to an incarnation, answers it and returns it.
    pub fn answer_heartbeat(
        &mut self,
        incarnation: &id::Incarnation,
        answer: job::HeartbeatAnswer,
    ) -> job::Heartbeat {
        let is_it = |effect: &job::Effect| matches!(effect, job::Effect::SendHeartbeat(l) if l.worker == *incarnation);
        for _ in 0..500 {
            let at = self.pending.iter().position(is_it);
            if let Some(job::Effect::SendHeartbeat(heartbeat)) =
                at.map(|at| self.pending.remove(at))
            {
                let (worker, epoch) = (heartbeat.worker.clone(), heartbeat.epoch);
                self.handle(job::Event::HeartbeatAnswered { worker, epoch, answer });
                return heartbeat;
            }
            self.now += time::Duration::from_millis(20);
            let wall_ms = u64::try_from(self.now.as_millis()).expect("fits into u64");
            self.handle(job::Event::Tick { wall_ms });
        }
        panic!("no heartbeat to {incarnation}");
    }

    /// Returns the phase of a job from the engine's dump.
    pub fn phase(&self, job: u64) -> job::Phase {
        let dump = self.engine.holding().expect("a holder").dump();
        dump.jobs[&job::JobId(job).to_string()]
    }

    /// Returns the newest order to start a task in `pending`, or `None` if there is none.
    pub fn last_order(&self, task: job::TaskId) -> Option<job::Order> {
        self.has_started(task).then(|| self.newest_order(task))
    }

    /// Returns the newest order to start a task in `pending`. Panics if there is none.
    pub fn newest_order(&self, task: job::TaskId) -> job::Order {
        let starts = self.pending.iter().filter_map(|effect| match effect {
            job::Effect::Start(start) if start.order.task == task => Some(&start.order),
            _ => None,
        });
        starts.max_by_key(|order| order.run).expect("a started task").clone()
    }

    /// Returns the worker of the first start of a task in `pending`. Panics if there is none.
    pub fn worker_of(&self, task: job::TaskId) -> id::Incarnation {
        let started = self.pending.iter().find_map(|effect| match effect {
            job::Effect::Start(start) if start.order.task == task => Some(&start.order.worker),
            _ => None,
        });
        started.expect("a started task").clone()
    }

    /// Returns whether the run of an order, or a later run of its task, has ended.
    fn has_ended(&self, order: &job::Order) -> bool {
        self.ended_runs.iter().any(|(_, ended)| ended.task == order.task && ended.run >= order.run)
    }

    /// Returns the ended runs that the answer to a heartbeat lists: the first of those that it does
    /// not acknowledge yet.
    fn unacknowledged_ends(&self, heartbeat: &job::Heartbeat) -> Vec<job::Ended> {
        let here = self.ended_runs.iter().filter(|(worker, ended)| {
            *worker == heartbeat.worker && ended.number > heartbeat.acknowledged_end
        });
        here.map(|(_, ended)| ended.clone()).take(self.max_listed_ends).collect()
    }

    /// Returns whether an order to start a task is in `pending`.
    pub fn has_started(&self, task: job::TaskId) -> bool {
        self.pending
            .iter()
            .any(|effect| matches!(effect, job::Effect::Start(start) if start.order.task == task))
    }

    /// Returns the starts of a job as pairs of task index and run number.
    pub fn starts(&self, job: u64) -> Vec<(u32, u32)> {
        let starts = self.pending.iter().filter_map(|effect| match effect {
            job::Effect::Start(start) if start.order.task.job.0 == job => Some(start),
            _ => None,
        });
        starts.map(|start| (start.order.task.index, start.order.run)).collect()
    }

    /// Submits a job of one step.
    pub fn submit(&mut self, number: u64, queue: &str, step: job::Step) {
        let event = self.accepted(number, queue, step);
        self.handle(event);
    }

    /// Answers a heartbeat to a worker with a list of running tasks.
    pub fn report_running(&mut self, worker: usize, running: Vec<job::Running>) {
        let clock_ms = u64::try_from(self.now.as_millis()).expect("fits into u64");
        let lists = job::Lists { clock_ms, running, ..job::Lists::default() };
        let (worker, epoch) =
            (member(worker).incarnation, self.engine.holding().expect("a holder").dump().epoch);
        let answer = job::HeartbeatAnswer::Lists(lists);
        self.handle(job::Event::HeartbeatAnswered { worker, epoch, answer });
    }

    /// Answers a heartbeat to a worker at once with its ended runs.
    pub fn report_ended_runs(&mut self, worker: &id::Incarnation) {
        let clock_ms = u64::try_from(self.now.as_millis()).expect("fits into u64");
        let here = self.ended_runs.iter().filter(|(on, _)| on == worker);
        let ended = here.map(|(_, ended)| ended.clone()).collect();
        let lists = job::Lists { clock_ms, ended, ..job::Lists::default() };
        let epoch = self.engine.holding().expect("a holder").dump().epoch;
        let answer = job::HeartbeatAnswer::Lists(lists);
        self.handle(job::Event::HeartbeatAnswered { worker: worker.clone(), epoch, answer });
    }

    /// Submits a job of several steps.
    pub fn submit_steps(&mut self, number: u64, queue: &str, steps: Vec<job::Step>) {
        let event = self.accepted_steps(number, queue, steps);
        self.handle(event);
    }

    /// Returns the event by which the engine learns of an accepted job of one step.
    pub fn accepted(&mut self, number: u64, queue: &str, step: job::Step) -> job::Event {
        self.accepted_steps(number, queue, vec![step])
    }

    /// Returns the event by which the engine learns of an accepted job.
    fn accepted_steps(&mut self, number: u64, queue: &str, steps: Vec<job::Step>) -> job::Event {
        let job = job::Job {
            queue: queue.to_owned(),
            service: "service".into(),
            spec: String::new(),
            steps,
            repeats: None,
        };
        let value = serde_json::to_string(&job::Accepted { job, cancelled: false, accepted_ms: 0 });
        self.version += 1;
        job::Event::Jobs(vec![rows::Row {
            name: job::JobId(number).to_string(),
            part: job::job_key(0, job::JobId(number)).part,
            version: self.version,
            value: value.ok(),
            gone: false,
        }])
    }

    /// Returns the rows of a table as the store holds them.
    pub fn table(&self, table: &'static str) -> Vec<rows::Row> {
        let rows = self.rows.iter().filter(|((of, _), _)| *of == table);
        let row = |((_, name), value): (&(&str, String), &String)| rows::Row {
            name: name.clone(),
            part: job::part(0),
            version: self.version,
            value: Some(value.clone()),
            gone: false,
        };
        rows.map(row).collect()
    }

    /// Returns the counts of waiting jobs that were written last.
    pub fn waiting(&self) -> Option<job::Waiting> {
        let row = self.rows.iter().find(|((table, _), _)| *table == job::WAITING);
        row.map(|(_, value)| serde_json::from_str(value).expect("counts"))
    }

    /// Returns the interference that the engine has learned between the images `serving` and
    /// `filling`.
    pub fn harm(&self) -> Option<f64> {
        let dump = self.engine.holding().expect("a holder").dump();
        dump.harm.get("serving by filling").copied()
    }
}

/// Returns the queues of the simulation: `last` has a lower priority than the other two.
pub fn queues() -> sync::Arc<job::Queues> {
    let queue = |name: &str, priority| job::Queue {
        name: name.to_owned(),
        host: String::new(),
        prefix: String::new(),
        service: "service".into(),
        priority,
        max_attempts: 3,
        advice: (name == ADVISED).then(job::AdviceTiming::default),
        stretch_percent: 200,
        objective_ms: 1_000,
    };
    let queues = ["first", "last", ADVISED].into_iter().zip([0, 2, 0]);
    let queues = queues.map(|(name, priority)| (name.to_owned(), queue(name, priority)));
    let queues = job::Queues { revision: 1, queues: queues.collect() };
    sync::Arc::new(queues)
}

/// Returns a worker of 16 cores as the store lists it.
pub fn member(at: usize) -> job::Member {
    job::Member {
        incarnation: format!("worker-{at}").as_str().into(),
        addr: ([127, 0, 0, 1], 1).into(),
        hall: "hall".into(),
        service: "service".into(),
        leaving: false,
        capacity: size::Size { cpu_milli: 16_000, mem_mb: 64_000, accelerators: 0 },
        labels: Vec::new(),
        rack: None,
    }
}

/// Returns a step of one task: a long-running serving task for the image `serving`, a best-effort
/// task for `filling`, otherwise a plain batch task.
pub fn step(image: &str, cpu_milli: u64) -> job::Step {
    let serving = image == "serving";
    job::Step {
        count: 1,
        size: size::Size { cpu_milli, mem_mb: 1_000, accelerators: 0 },
        lasting: serving,
        target_ms: serving.then_some(TARGET_MS),
        fills: image == "filling",
        image: Some(image.to_owned()),
        ..job::Step::default()
    }
}

/// Returns whether the tasks of a job are serving tasks.
fn serves(job: u64) -> bool {
    job == 1 || SERVING_JOBS.contains(&job)
}

/// Returns the entry of a started task in a heartbeat answer, with the higher tail latency if it is
/// a serving task and `interferes` is set.
pub fn row(start: &job::Start, interferes: bool) -> job::Running {
    let job = start.order.task.job.0;
    let serving = serves(job);
    let tail = if interferes { DISTURBED_TAIL_MS } else { UNDISTURBED_TAIL_MS };
    let load = if serving { tail } else { 4_000 };
    job::Running { task: start.order.task, run: start.order.run, percent: 100, load }
}

/// Returns the numbers of the jobs whose tasks were started, in order of the starts.
pub fn started_jobs(sim: &Sim) -> Vec<u64> {
    let starts = sim.pending.iter().filter_map(|effect| match effect {
        job::Effect::Start(start) => Some(start.order.task.job.0),
        _ => None,
    });
    starts.collect()
}

/// Returns the rows of a job whose only task runs on worker 0, and of its progress.
pub fn started_rows() -> (Vec<rows::Row>, Vec<rows::Row>) {
    let mut before = Sim::new(1, Vec::new());
    before.submit(1, "first", step("plain", 1_000));
    before.advance(200, false);
    let job::Event::Jobs(jobs) = before.accepted(1, "first", step("plain", 1_000)) else {
        panic!("no rows");
    };
    (jobs, before.table(job::PROGRESS))
}
