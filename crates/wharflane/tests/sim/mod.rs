//! Runs the job engine, event by event, against a simulated store and simulated workers that answer
//! at once. Time passes only where a test advances it.
#![allow(dead_code, unused_imports, reason = "each test file uses a part of it")]

mod fixtures;
pub mod losses;
mod runs;
pub mod serving;
mod submissions;

use std::collections;
use std::sync;
use std::time;

use wharflane::{id, job, rows};
use wharflane_stand_in::jobs::{rows as store, world};

pub use fixtures::{
    ADVISED, SERVING_JOBS, member, queues, queues_with, queues_without, row, serves, started_jobs,
    started_rows, step,
};

/// The tail latency of a serving task on a worker where nothing moves, in milliseconds.
const STALLED_TAIL_MS: u64 = 30_000;

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
    /// The configuration by which hosts accept jobs.
    pub accepting_hosts_queues: sync::Arc<job::Queues>,
    /// The newest values in the store, by table and row name.
    pub rows: collections::BTreeMap<(&'static str, String), String>,
    /// The versions of these values.
    pub row_versions: collections::BTreeMap<(&'static str, String), u64>,
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
        let mut sim = Self::watching(settings);
        sim.handle(job::Event::Queues(queues()));
        sim.take_over(workers, (jobs, progress), learned);
        sim
    }

    /// Returns a simulation whose engine watches the lease of its domain and has read no
    /// configuration.
    pub fn watching(settings: job::Settings) -> Self {
        Self {
            engine: job::Engine::new("host".into(), settings, 1),
            now: time::Duration::from_secs(1),
            version: 0,
            accepting_hosts_queues: queues(),
            rows: collections::BTreeMap::new(),
            row_versions: collections::BTreeMap::new(),
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
        }
    }

    /// Lets the engine acquire the free lease and load the domain.
    pub fn take_over(
        &mut self,
        workers: usize,
        (jobs, progress): (Vec<rows::Row>, Vec<rows::Row>),
        learned: Vec<rows::Row>,
    ) {
        self.handle(job::Event::Listed((0..workers).map(member).collect()));
        self.handle(job::Event::LeaseRead { row: None, store_ms: None });
        self.handle(job::Event::Closed(job::ClosedHalls::default()));
        self.handle(job::Event::Loaded { jobs, progress, learned });
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
            self.apply(txn);
            let answer = rows::Answer::Done { version: self.version };
            let event = job::Event::Txn { number, outcome: rows::Outcome::Answered(answer) };
            effects.extend(self.engine.step(self.now, event));
        }
    }

    /// Applies the writes of a transaction to the store.
    fn apply(&mut self, txn: rows::Txn) {
        for write in txn.writes {
            let at = (write.key.table, write.key.name);
            self.row_versions.insert(at.clone(), self.version);
            match write.value {
                Some(value) => drop(self.rows.insert(at, value)),
                None if self.rows.remove(&at).is_some() => self.removed.push(at.0),
                None => {}
            }
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
            self.version += 1;
            self.apply(txn);
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
            let wall_ms = self.now_ms();
            if self.feed_reports {
                self.handle(job::Event::JobsReadUpTo { up_to_ms: wall_ms });
            }
            self.handle(job::Event::Tick { wall_ms: wall_ms - self.wall_clock_lag_ms });
            for effect in std::mem::take(&mut self.pending) {
                match effect {
                    job::Effect::Start(start) => {
                        let answer = self.start_answers.pop_front();
                        let clock_ms = Some(self.now_ms());
                        let answer = answer.unwrap_or(job::StartAnswer::Taken { clock_ms });
                        let taken = matches!(answer, job::StartAnswer::Taken { .. });
                        if taken { &mut started } else { &mut refused }.push(start.clone());
                        self.handle(job::Event::Started { order: start.order, answer });
                    }
                    job::Effect::RequestAdvice(request) => self.answer_advice(request),
                    job::Effect::SendHeartbeat(heartbeat) => {
                        self.answer_sent_heartbeat(&heartbeat, &started, interferes);
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

    /// Returns the current time in milliseconds.
    fn now_ms(&self) -> u64 {
        u64::try_from(self.now.as_millis()).expect("fits into u64")
    }

    /// Answers a request for advice.
    fn answer_advice(&mut self, request: job::AdviceRequest) {
        let accepted = request.workers.iter().filter(|w| self.allowed_workers.contains(w));
        let accepted = accepted.map(|worker| (worker.clone(), format!("for {worker}")));
        let advice = job::Advice { accepted: accepted.collect(), valid: TICKET };
        let answer = (self.unanswered_requests == 0).then_some(advice);
        self.unanswered_requests = self.unanswered_requests.saturating_sub(1);
        self.advice_requests.push(request.clone());
        self.handle(job::Event::AdviceAnswered { request, answer });
    }

    /// Answers a heartbeat for its worker, unless that is silent: with its ended runs, and with
    /// those of the started ones that run there.
    fn answer_sent_heartbeat(
        &mut self,
        heartbeat: &job::Heartbeat,
        started: &[job::Start],
        interferes: bool,
    ) {
        let worker = heartbeat.worker.clone();
        let answer = if self.silent_workers.contains(&worker) {
            job::HeartbeatAnswer::Silent
        } else {
            self.heartbeats_sent.push((self.now, worker.clone()));
            self.acknowledgements.push((worker.clone(), heartbeat.acknowledged_end));
            job::HeartbeatAnswer::Lists(self.lists(heartbeat, started, interferes))
        };
        self.handle(job::Event::HeartbeatAnswered { worker, epoch: heartbeat.epoch, answer });
    }

    /// Returns the lists with which a worker answers a heartbeat.
    fn lists(
        &mut self,
        heartbeat: &job::Heartbeat,
        started: &[job::Start],
        interferes: bool,
    ) -> job::Lists {
        let here = |start: &&job::Start| {
            start.order.worker == heartbeat.worker && !self.has_ended(&start.order)
        };
        let here: Vec<&job::Start> = started.iter().filter(here).collect();
        let beside = here.iter().any(|start| start.order.task.job.0 == 2);
        let mut running: Vec<job::Running> =
            here.iter().map(|start| row(start, interferes && beside)).collect();
        self.apply_interference(&heartbeat.worker, &mut running);
        self.apply_progress(&heartbeat.worker, &mut running);
        let ended = self.unacknowledged_ends(heartbeat);
        let more_ended = ended.len() >= self.max_listed_ends;
        let (born_ms, clock_ms) = (heartbeat.worker.born_ms, self.now_ms());
        job::Lists { born_ms, clock_ms, running, ended, more_ended }
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

    /// Returns the rows of a table as the store holds them.
    pub fn table(&self, table: &'static str) -> Vec<rows::Row> {
        let rows = self.rows.iter().filter(|((of, _), _)| *of == table);
        let row = |(at, value): (&(&'static str, String), &String)| rows::Row {
            name: at.1.clone(),
            part: job::part(0),
            version: self.row_versions.get(at).copied().unwrap_or(self.version),
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
