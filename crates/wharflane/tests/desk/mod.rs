//! An engine with a store and workers that answer at once, event by event.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod losses;

use std::collections;
use std::sync;
use std::time;

use wharflane::{id, job, rows, size};
use wharflane_stand_in::jobs::{rows as store, world};

/// The target of the serving task, in milliseconds.
const TARGET_MS: u64 = 50;
/// The tail of the serving task where nothing fills.
const QUIET_MS: u64 = 13;
/// Its tail beside a task that harms it.
const HARMED_MS: u64 = 40;

/// The numbers of jobs whose tasks serve, beside the first.
pub const SERVING_JOBS: std::ops::Range<u64> = 1_000..2_000;
/// The queue that wants advice.
pub const ADVISED: &str = "advised";
/// How long a ticket holds.
pub const TICKET: time::Duration = time::Duration::from_secs(3);

/// An engine with a store that answers at once, and everything it asked for.
pub struct Desk {
    /// The engine.
    pub engine: job::Engine,
    /// The time.
    pub now: time::Duration,
    /// The version of the store.
    pub version: u64,
    /// The rows that were written last.
    pub rows: collections::BTreeMap<(&'static str, String), String>,
    /// Orders and looks that were asked for and not answered yet.
    pub asked: Vec<job::Effect>,
    /// Runs that have ended, by worker.
    pub over: Vec<(id::Incarnation, job::Ended)>,
    /// Tables of rows that were removed, in order.
    pub removed: Vec<&'static str>,
    /// Workers that may run steps that advice is wanted for.
    pub good: Vec<id::Incarnation>,
    /// Questions that were asked.
    pub questions: Vec<job::AdviceRequest>,
    /// How many questions more are not answered.
    pub unanswered: usize,
    /// Starts that were not taken.
    pub not_taken: Vec<job::Start>,
    /// Whether the feed of accepted jobs answers.
    pub feed: bool,
    /// Returns whether the store refuses a transaction for good.
    pub refuses: fn(&rows::Txn) -> bool,
    /// How many transactions were refused for good.
    pub refusals: usize,
    /// What the next starts are answered, before all others are taken.
    pub answers: collections::VecDeque<job::StartAnswer>,
    /// Stops that were ordered while time passed.
    pub stops: Vec<job::Order>,
    /// When looks were asked for, by worker.
    pub heartbeats_sent: Vec<(time::Duration, id::Incarnation)>,
    /// The last end that each look acknowledged, by worker.
    pub seen: Vec<(id::Incarnation, u64)>,
    /// When commits were made.
    pub commits: Vec<time::Duration>,
    /// Shares that were ordered while time passed, with the time of the order.
    pub paces: Vec<(time::Duration, job::Pace)>,
    /// Returns the tail of a serving task, by the processors that are filled beside it, in thousandths.
    pub tail_ms: Option<fn(u64) -> u64>,
    /// The tails of serving tasks as looks told them, with the time and the worker.
    pub tails: Vec<(time::Duration, id::Incarnation, u64)>,
    /// How far the time of day is behind the time, in milliseconds.
    pub behind_ms: u64,
    /// Workers whose answers to looks don't come.
    pub silent: collections::BTreeSet<id::Incarnation>,
    /// Returns whether the store leaves a transaction open; it stays among what was asked for.
    pub leaves_open: fn(&rows::Txn) -> bool,
}

impl Desk {
    /// Makes an engine that holds its domain, with so many workers.
    pub fn new(workers: usize, learned: Vec<rows::Row>) -> Self {
        Self::after(workers, (Vec::new(), Vec::new()), learned)
    }

    /// Makes an engine that takes over jobs and their progress, with so many workers.
    pub fn after(
        workers: usize,
        (jobs, progress): (Vec<rows::Row>, Vec<rows::Row>),
        learned: Vec<rows::Row>,
    ) -> Self {
        Self::with(world::settings(), workers, (jobs, progress), learned)
    }

    /// Makes an engine that is timed so and takes over jobs and their progress, with so many workers.
    pub fn with(
        settings: job::Settings,
        workers: usize,
        (jobs, progress): (Vec<rows::Row>, Vec<rows::Row>),
        learned: Vec<rows::Row>,
    ) -> Self {
        let engine = job::Engine::new("host".into(), settings, 1);
        let mut desk = Self {
            engine,
            now: time::Duration::from_secs(1),
            version: 0,
            rows: collections::BTreeMap::new(),
            asked: Vec::new(),
            over: Vec::new(),
            removed: Vec::new(),
            good: Vec::new(),
            questions: Vec::new(),
            unanswered: 0,
            not_taken: Vec::new(),
            feed: true,
            refuses: |txn| !store::takes(txn),
            refusals: 0,
            answers: collections::VecDeque::new(),
            stops: Vec::new(),
            heartbeats_sent: Vec::new(),
            seen: Vec::new(),
            commits: Vec::new(),
            paces: Vec::new(),
            tail_ms: None,
            tails: Vec::new(),
            behind_ms: 0,
            silent: collections::BTreeSet::new(),
            leaves_open: |_| false,
        };
        desk.take(job::Event::Queues(queues()));
        desk.take(job::Event::Listed((0..workers).map(member).collect()));
        desk.take(job::Event::LeaseRead(None));
        desk.take(job::Event::Closed(job::ClosedHalls::default()));
        desk.take(job::Event::Loaded { jobs, progress, learned });
        desk
    }

    /// Lets the engine take an event; transactions are answered at once.
    pub fn take(&mut self, event: job::Event) {
        let mut effects = self.engine.step(self.now, event);
        while !effects.is_empty() {
            let effect = effects.remove(0);
            self.version += 1;
            let (number, txn) = match effect {
                job::Effect::Txn(number, txn) if !(self.leaves_open)(&txn) => (number, txn),
                job::Effect::Drop(job, txn) => {
                    self.removed.extend(txn.writes.into_iter().map(|write| write.key.table));
                    let event = job::Event::Dropped { job, done: true };
                    effects.extend(self.engine.step(self.now, event));
                    continue;
                }
                effect => {
                    self.asked.push(effect);
                    continue;
                }
            };
            if (self.refuses)(&txn) {
                self.refusals += 1;
                let event = job::Event::Txn { number, outcome: rows::Outcome::Refused };
                effects.extend(self.engine.step(self.now, event));
                continue;
            }
            self.commits.push(self.now);
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

    /// Lets the store answer what it left open.
    pub fn store_answers(&mut self) {
        self.leaves_open = |_| false;
        let asked = std::mem::take(&mut self.asked);
        let (open, asked): (Vec<_>, Vec<_>) =
            asked.into_iter().partition(|effect| matches!(effect, job::Effect::Txn(..)));
        self.asked = asked;
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
            self.take(job::Event::Txn { number, outcome });
        }
    }

    /// Lets time pass; looks are answered with what runs, starts are taken.
    ///
    /// A serving task beside one that fills has the higher tail where `harmed` says so.
    pub fn pass(&mut self, millis: u64, harmed: bool) {
        let mut started: Vec<job::Start> = Vec::new();
        let mut refused: Vec<job::Start> = Vec::new();
        let mut open = Vec::new();
        for _ in 0..millis / 20 {
            self.now += time::Duration::from_millis(20);
            let wall_ms = u64::try_from(self.now.as_millis()).expect("a small number");
            if self.feed {
                self.take(job::Event::JobsReadUpTo { up_to_ms: wall_ms });
            }
            self.take(job::Event::Tick { wall_ms: wall_ms - self.behind_ms });
            for effect in std::mem::take(&mut self.asked) {
                match effect {
                    job::Effect::Start(start) => {
                        let order = start.order.clone();
                        let answer = self.answers.pop_front();
                        let answer = answer.unwrap_or(job::StartAnswer::Taken);
                        if answer == job::StartAnswer::Taken {
                            started.push(start);
                        } else {
                            refused.push(start);
                        }
                        self.take(job::Event::Started { order, answer });
                    }
                    job::Effect::Ask(question) => {
                        let good = question.workers.iter().filter(|w| self.good.contains(w));
                        let good = good.map(|worker| (worker.clone(), format!("for {worker}")));
                        let advice = job::Advice { good: good.collect(), valid: TICKET };
                        let answer = (self.unanswered == 0).then_some(advice);
                        self.unanswered = self.unanswered.saturating_sub(1);
                        self.questions.push(question.clone());
                        self.take(job::Event::Advised { question, answer });
                    }
                    job::Effect::SendHeartbeat(heartbeat)
                        if self.silent.contains(&heartbeat.worker) =>
                    {
                        let (worker, epoch) = (heartbeat.worker, heartbeat.epoch);
                        let answer = job::HeartbeatAnswer::Silent;
                        self.take(job::Event::HeartbeatAnswered { worker, epoch, answer });
                    }
                    job::Effect::SendHeartbeat(heartbeat) => {
                        self.heartbeats_sent.push((self.now, heartbeat.worker.clone()));
                        self.seen.push((heartbeat.worker.clone(), heartbeat.seen));
                        let clock_ms = u64::try_from(self.now.as_millis()).expect("a small number");
                        let here = |start: &&job::Start| {
                            start.order.worker == heartbeat.worker && !self.is_over(&start.order)
                        };
                        let here: Vec<&job::Start> = started.iter().filter(here).collect();
                        let beside = here.iter().any(|start| start.order.task.job.0 == 2);
                        let row = |start: &&job::Start| row(start, harmed && beside);
                        let mut running: Vec<job::Running> = here.iter().map(row).collect();
                        self.feel(&heartbeat.worker, &mut running);
                        // Work goes on, so that nothing counts as standing still.
                        running.iter_mut().for_each(|row| row.percent = clock_ms / 100 % 100);
                        let ended = self.ends_of(&heartbeat);
                        let born_ms = heartbeat.worker.born_ms;
                        let lists = job::Lists { born_ms, clock_ms, running, ended };
                        let answer = job::HeartbeatAnswer::Lists(lists);
                        let (worker, epoch) = (heartbeat.worker, heartbeat.epoch);
                        self.take(job::Event::HeartbeatAnswered { worker, epoch, answer });
                    }
                    job::Effect::Pace(pace) => self.paces.push((self.now, pace)),
                    job::Effect::Stop(order) => self.stops.push(order),
                    job::Effect::Txn(..) => open.push(effect),
                    _ => {}
                }
            }
        }
        self.not_taken.extend(refused);
        self.asked.extend(open);
        self.asked.extend(started.into_iter().map(job::Effect::Start));
    }

    /// Lets serving tasks feel what fills beside them, where the desk says how; what fills keeps to its share.
    fn feel(&mut self, worker: &id::Incarnation, running: &mut [job::Running]) {
        let Some(tail_ms) = self.tail_ms else {
            return;
        };
        let serves = |row: &job::Running| serves(row.task.job.0);
        for row in running.iter_mut().filter(|row| !serves(row)) {
            let ordered = self
                .paces
                .iter()
                .rev()
                .find(|(_, pace)| pace.order.task == row.task && pace.order.run == row.run);
            let percent = ordered.map_or(100, |(_, pace)| u64::from(pace.percent));
            row.load = row.load * percent / 100;
        }
        let filled = running.iter().filter(|row| !serves(row)).map(|row| row.load).sum();
        for row in running.iter_mut().filter(|row| serves(row)) {
            row.load = tail_ms(filled);
            self.tails.push((self.now, worker.clone(), row.load));
        }
    }

    /// Ends the newest run of a task; looks tell it from then on.
    pub fn end(&mut self, task: job::TaskId, kind: job::EndKind) {
        let order = self.order_of(task);
        self.end_run(&order, kind, String::new());
    }

    /// Ends the run of an order that saved something; looks tell it from then on.
    pub fn end_run(&mut self, order: &job::Order, kind: job::EndKind, checkpoint: String) {
        let number = self.over.iter().filter(|(worker, _)| *worker == order.worker).count() + 1;
        let number = u64::try_from(number).expect("a small number");
        let ended = job::Ended { number, task: order.task, run: order.run, kind, checkpoint };
        self.over.push((order.worker.clone(), ended));
    }

    /// Lets a worker restart under its id: it tells nothing of before, and its ends are numbered from one.
    pub fn restart(&mut self, at: usize) -> id::Incarnation {
        let mut member = member(at);
        member.incarnation.born_ms = u64::try_from(self.now.as_millis()).ok();
        let incarnation = member.incarnation.clone();
        self.take(job::Event::Member(incarnation.worker.clone(), Some(member)));
        incarnation
    }

    /// Lets a little time pass and answers the look at an incarnation that is asked for then; returns the look.
    pub fn answer_heartbeat(
        &mut self,
        incarnation: &id::Incarnation,
        answer: job::HeartbeatAnswer,
    ) -> job::Heartbeat {
        let is_it = |effect: &job::Effect| matches!(effect, job::Effect::SendHeartbeat(l) if l.worker == *incarnation);
        for _ in 0..500 {
            let at = self.asked.iter().position(is_it);
            if let Some(job::Effect::SendHeartbeat(heartbeat)) = at.map(|at| self.asked.remove(at))
            {
                let (worker, epoch) = (heartbeat.worker.clone(), heartbeat.epoch);
                self.take(job::Event::HeartbeatAnswered { worker, epoch, answer });
                return heartbeat;
            }
            self.now += time::Duration::from_millis(20);
            let wall_ms = u64::try_from(self.now.as_millis()).expect("a small number");
            self.take(job::Event::Tick { wall_ms });
        }
        panic!("no look at {incarnation}");
    }

    /// Returns what a job is said to be.
    pub fn phase(&self, job: u64) -> job::Phase {
        let dump = self.engine.holding().expect("a holder").dump();
        dump.jobs[&job::JobId(job).to_string()]
    }

    /// Returns the newest order to start a task that its worker has, if any.
    pub fn last_order(&self, task: job::TaskId) -> Option<job::Order> {
        self.has_started(task).then(|| self.order_of(task))
    }

    /// Returns the newest order to start a task.
    pub fn order_of(&self, task: job::TaskId) -> job::Order {
        let starts = self.asked.iter().filter_map(|effect| match effect {
            job::Effect::Start(start) if start.order.task == task => Some(&start.order),
            _ => None,
        });
        starts.max_by_key(|order| order.run).expect("a started task").clone()
    }

    /// Returns the worker that a task was started on first.
    pub fn worker_of(&self, task: job::TaskId) -> id::Incarnation {
        let started = self.asked.iter().find_map(|effect| match effect {
            job::Effect::Start(start) if start.order.task == task => Some(&start.order.worker),
            _ => None,
        });
        started.expect("a started task").clone()
    }

    /// Returns whether the run of an order has ended.
    fn is_over(&self, order: &job::Order) -> bool {
        self.over.iter().any(|(_, ended)| ended.task == order.task && ended.run >= order.run)
    }

    /// Returns the ends that a look is told.
    fn ends_of(&self, heartbeat: &job::Heartbeat) -> Vec<job::Ended> {
        let here = self
            .over
            .iter()
            .filter(|(worker, ended)| *worker == heartbeat.worker && ended.number > heartbeat.seen);
        here.map(|(_, ended)| ended.clone()).collect()
    }

    /// Returns whether the start of a task was ordered.
    pub fn has_started(&self, task: job::TaskId) -> bool {
        self.asked
            .iter()
            .any(|effect| matches!(effect, job::Effect::Start(start) if start.order.task == task))
    }

    /// Returns the starts that were ordered, as index of the task and number of the run.
    pub fn starts(&self, job: u64) -> Vec<(u32, u32)> {
        let starts = self.asked.iter().filter_map(|effect| match effect {
            job::Effect::Start(start) if start.order.task.job.0 == job => Some(start),
            _ => None,
        });
        starts.map(|start| (start.order.task.index, start.order.run)).collect()
    }

    /// Hands in a job of one step.
    pub fn submit(&mut self, number: u64, queue: &str, step: job::Step) {
        let event = self.accepted(number, queue, step);
        self.take(event);
    }

    /// Lets the engine hear what runs on a worker, in answer to a look.
    pub fn hear(&mut self, worker: usize, running: Vec<job::Running>) {
        let clock_ms = u64::try_from(self.now.as_millis()).expect("a small number");
        let lists = job::Lists { clock_ms, running, ..job::Lists::default() };
        let (worker, epoch) =
            (member(worker).incarnation, self.engine.holding().expect("a holder").dump().epoch);
        let answer = job::HeartbeatAnswer::Lists(lists);
        self.take(job::Event::HeartbeatAnswered { worker, epoch, answer });
    }

    /// Lets the engine hear at once how runs on a worker ended.
    pub fn hear_ends(&mut self, worker: &id::Incarnation) {
        let clock_ms = u64::try_from(self.now.as_millis()).expect("a small number");
        let here = self.over.iter().filter(|(on, _)| on == worker);
        let ended = here.map(|(_, ended)| ended.clone()).collect();
        let lists = job::Lists { clock_ms, ended, ..job::Lists::default() };
        let epoch = self.engine.holding().expect("a holder").dump().epoch;
        let answer = job::HeartbeatAnswer::Lists(lists);
        self.take(job::Event::HeartbeatAnswered { worker: worker.clone(), epoch, answer });
    }

    /// Hands in a job of several steps.
    pub fn submit_steps(&mut self, number: u64, queue: &str, steps: Vec<job::Step>) {
        let event = self.accepted_steps(number, queue, steps);
        self.take(event);
    }

    /// Returns the event of a job of one step that was accepted.
    pub fn accepted(&mut self, number: u64, queue: &str, step: job::Step) -> job::Event {
        self.accepted_steps(number, queue, vec![step])
    }

    /// Returns the event of a job that was accepted.
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

    /// Returns the rows of a table.
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

    /// Returns the counts of what waits that were written last.
    pub fn waiting(&self) -> Option<job::Waiting> {
        let row = self.rows.iter().find(|((table, _), _)| *table == job::WAITING);
        row.map(|(_, value)| serde_json::from_str(value).expect("counts"))
    }

    /// Returns the harm that is learned between the two images of these tests.
    pub fn harm(&self) -> Option<f64> {
        let dump = self.engine.holding().expect("a holder").dump();
        dump.harm.get("serving by filling").copied()
    }
}

/// Returns the queues of these tests.
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

/// Returns a worker as the store lists it.
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

/// Returns a task that serves, or one that fills.
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

/// Returns whether the tasks of a job serve.
fn serves(job: u64) -> bool {
    job == 1 || SERVING_JOBS.contains(&job)
}

/// Returns how a started task is told to run beside others that do or don't harm it.
pub fn row(start: &job::Start, harmed: bool) -> job::Running {
    let job = start.order.task.job.0;
    let serving = serves(job);
    let tail = if harmed { HARMED_MS } else { QUIET_MS };
    let load = if serving { tail } else { 4_000 };
    job::Running { task: start.order.task, run: start.order.run, percent: 100, load }
}

/// Returns the names of the jobs whose tasks were started, in order.
pub fn order(desk: &Desk) -> Vec<u64> {
    let starts = desk.asked.iter().filter_map(|effect| match effect {
        job::Effect::Start(start) => Some(start.order.task.job.0),
        _ => None,
    });
    starts.collect()
}

/// Returns the rows of a job whose only task runs on the worker with number 0, and of its progress.
pub fn started_rows() -> (Vec<rows::Row>, Vec<rows::Row>) {
    let mut before = Desk::new(1, Vec::new());
    before.submit(1, "first", step("plain", 1_000));
    before.pass(200, false);
    let job::Event::Jobs(jobs) = before.accepted(1, "first", step("plain", 1_000)) else {
        panic!("no rows");
    };
    (jobs, before.table(job::PROGRESS))
}
