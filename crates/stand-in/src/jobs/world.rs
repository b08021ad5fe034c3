//! Hosts, a store and workers in virtual time, with faults drawn from a seed.

use std::collections;
use std::sync;
use std::time;

use rand::{RngExt as _, SeedableRng as _};
use wharflane::{id, job, rows as table, size};

use super::{judge, rows, worker};

/// How finely time passes.
const STEP: time::Duration = time::Duration::from_millis(10);
/// When faults and submissions end.
const CALM_FROM: time::Duration = time::Duration::from_secs(25);
/// When the world ends; everything must have come to its end by then.
const END: time::Duration = time::Duration::from_secs(75);
/// The attempts of a task.
const ATTEMPTS: u32 = 3;
/// The name of the only queue.
const QUEUE: &str = "queue";
/// The time that an order may be late after a cancel and still be no breach.
const CANCEL: time::Duration = time::Duration::from_secs(3);

/// How much goes wrong, as chances in thousandths or counts over the time of faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Starts without an answer that are carried out 2 to 12 s later.
    pub late_starts: u32,
    /// Looks and starts that are carried out and not answered.
    pub lost_answers: u32,
    /// Transactions that are made and not answered.
    pub lost_txns: u32,
    /// Transactions that are made 1 to 6 s later and not answered.
    pub late_txns: u32,
    /// Kills of the holder.
    pub kills: u32,
    /// Freezes of the holder for 4 s.
    pub freezes: u32,
    /// Outages of the store for 4 s.
    pub outages: u32,
    /// Workers that die in silence; a new life comes 4 s later.
    pub crashes: u32,
    /// Workers that can't be reached for 7 s and run on.
    pub cuts: u32,
    /// Workers that fail all that they start for 5 s.
    pub sick: u32,
}

/// A message on its way.
#[derive(Debug)]
enum Message {
    /// To the store, from a life of a host; answered unless the answer is lost.
    Txn(usize, u64, u64, table::Txn, bool),
    /// An order to start, answered unless the answer is lost.
    Start(usize, u64, job::Start, bool, time::Duration),
    /// An order to stop.
    Stop(job::Order),
    /// A look and when it must be answered at the latest.
    Look(usize, u64, job::Look, time::Duration, bool),
    /// A life of a host reads everything, and is told of every change from then on.
    Load(usize, u64),
    /// Back to a life of a host.
    Back(usize, u64, Box<job::Event>),
    /// A fault begins.
    Fault(Fault),
    /// A fault ends.
    Mend(Fault, usize),
    /// A caller hands in a job.
    Submit,
    /// A caller cancels a job.
    Cancel(job::JobId),
}

/// A kind of fault that strikes one thing for a time.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The holder is killed.
    Kill,
    /// The holder stands still.
    Freeze,
    /// The store is down.
    Outage,
    /// A worker dies.
    Crash,
    /// A worker can't be reached.
    Cut,
    /// A worker fails everything.
    Sick,
}

/// A host of the world.
#[derive(Debug)]
struct Host {
    /// The engine, while the host lives.
    engine: Option<job::Engine>,
    /// Grows with every start.
    life: u64,
    /// Whether it stands still.
    frozen: bool,
    /// What came meanwhile.
    inbox: Vec<job::Event>,
}

/// The world.
#[derive(Debug)]
pub struct World {
    /// The time.
    now: time::Duration,
    /// Chance.
    rng: rand::rngs::StdRng,
    /// How much goes wrong.
    faults: Faults,
    /// The hosts.
    hosts: Vec<Host>,
    /// The store.
    pub rows: rows::Rows,
    /// Whether the store is down.
    down: bool,
    /// The workers, dead lives among them.
    pub workers: Vec<worker::Worker>,
    /// What is on its way, by arrival.
    mail: collections::BTreeMap<(time::Duration, u64), Message>,
    /// The number of messages sent.
    sent: u64,
    /// When jobs were cancelled.
    cancelled: collections::BTreeMap<job::JobId, time::Duration>,
    /// The judge.
    pub judge: judge::Judge,
}

impl World {
    /// Makes a world; the same seed makes the same one.
    #[must_use]
    pub fn new(seed: u64, faults: Faults, hosts: usize, workers: usize, jobs: usize) -> Self {
        let mut world = Self {
            now: time::Duration::ZERO,
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            faults,
            hosts: Vec::new(),
            rows: rows::Rows::default(),
            down: false,
            workers: Vec::new(),
            mail: collections::BTreeMap::new(),
            sent: 0,
            cancelled: collections::BTreeMap::new(),
            judge: judge::Judge::default(),
        };
        (0..workers).for_each(|_| world.add_worker());
        for _ in 0..hosts {
            world.hosts.push(Host { engine: None, life: 0, frozen: false, inbox: Vec::new() });
        }
        (0..hosts).for_each(|host| world.boot(host));
        (0..jobs).for_each(|_| world.plan(Message::Submit));
        let kinds = [
            (faults.kills, Fault::Kill),
            (faults.freezes, Fault::Freeze),
            (faults.outages, Fault::Outage),
            (faults.crashes, Fault::Crash),
            (faults.cuts, Fault::Cut),
            (faults.sick, Fault::Sick),
        ];
        for (count, fault) in kinds {
            (0..count).for_each(|_| world.plan(Message::Fault(fault)));
        }
        world
    }

    /// Lets the world run to its end.
    pub fn run(&mut self) {
        while self.now < END {
            self.now += STEP;
            self.tick_workers();
            while let Some(entry) = self.mail.first_entry().filter(|e| e.key().0 <= self.now) {
                let message = entry.remove();
                self.deliver(message);
            }
            for host in 0..self.hosts.len() {
                let wall_ms = u64::try_from(self.now.as_millis()).unwrap_or(0);
                self.step(host, job::Event::Tick { wall_ms });
            }
        }
    }

    /// Returns the jobs that have not come to the end they should have come to.
    #[must_use]
    pub fn unfinished(&self) -> Vec<String> {
        let mut left = Vec::new();
        for (id, job) in &self.judge.jobs {
            let key = job::job_key(job::PROGRESS, 0, *id);
            let row = self.rows.get(&key).and_then(|row| row.value);
            let progress = row.and_then(|text| job::Progress::decode(&text).ok());
            let phase = progress.map_or(job::Phase::Queued, |progress| progress.phase);
            let running = self.running(*id);
            let lasting = job.steps.iter().any(|step| step.lasting);
            let well = match (self.cancelled.contains_key(id), lasting) {
                (true, _) => phase.ended() && running == 0,
                (false, true) => running as u64 == job.task_count(),
                (false, false) => phase.ended() && running == 0,
            };
            if !well {
                left.push(format!("{id}: {phase:?}, {running} run of {}", job.task_count()));
            }
        }
        left
    }

    /// Returns how many ends no holder has acknowledged.
    #[must_use]
    pub fn open_ends(&self) -> usize {
        let reached = self.workers.iter().filter(|worker| worker.alive);
        reached.map(worker::Worker::open_ends).sum()
    }

    /// Returns how many tasks of a job run.
    fn running(&self, id: job::JobId) -> usize {
        let alive = self.workers.iter().filter(|worker| worker.alive);
        alive.flat_map(worker::Worker::running).filter(|(task, _)| task.job == id).count()
    }

    /// Sends a message that arrives after a time.
    fn send(&mut self, after: time::Duration, message: Message) {
        self.sent += 1;
        self.mail.insert((self.now + after, self.sent), message);
    }

    /// Sends a message that arrives at some time while there are faults.
    fn plan(&mut self, message: Message) {
        let most = u64::try_from(CALM_FROM.as_millis()).unwrap_or(0);
        let at = time::Duration::from_millis(self.rng.random_range(1_000..most));
        self.send(at, message);
    }

    /// Returns a way of some milliseconds.
    fn way(&mut self) -> time::Duration {
        time::Duration::from_millis(self.rng.random_range(1..8))
    }

    /// Returns whether something of a chance in thousandths happens now.
    fn chance(&mut self, milli: u32) -> bool {
        self.now < CALM_FROM && self.rng.random_range(0..1_000) < milli
    }

    /// Adds a new life of a worker.
    fn add_worker(&mut self) {
        let id = id::WorkerId::from(format!("w{}", self.workers.len()).as_str());
        let capacity = size::Size { cpu_milli: 4_000, mem_mb: 4_000, accelerators: 0 };
        let clock_milli = self.rng.random_range(980..=1_000);
        self.workers.push(worker::Worker::new(id, capacity, clock_milli));
    }

    /// Starts a host.
    fn boot(&mut self, host: usize) {
        let own = id::HostId::from(format!("h{host}").as_str());
        let nonce = self.rng.random_range(1..u64::MAX);
        let mut engine = job::Engine::new(own, settings(), nonce);
        let queue = job::Queue {
            name: QUEUE.to_owned(),
            host: String::new(),
            path_prefix: String::new(),
            service: "service".into(),
            priority: 0,
            max_attempts: ATTEMPTS,
        };
        let queues = [(QUEUE.to_owned(), queue)].into();
        let queues = job::Queues { revision: 1, queues };
        engine.step(self.now, job::Event::Queues(sync::Arc::new(queues)));
        let host = &mut self.hosts[host];
        host.engine = Some(engine);
        host.life += 1;
        host.frozen = false;
        host.inbox.clear();
    }

    /// Lets a host take an event, and sends what it asks for.
    fn step(&mut self, host: usize, event: job::Event) {
        let now = self.now;
        let state = &mut self.hosts[host];
        let Some(engine) = &mut state.engine else {
            return;
        };
        if state.frozen {
            if !matches!(event, job::Event::Tick { .. }) {
                state.inbox.push(event);
            }
            return;
        }
        let life = state.life;
        for effect in engine.step(now, event) {
            self.carry_out(host, life, effect);
        }
    }

    /// Sends one effect on its way.
    fn carry_out(&mut self, host: usize, life: u64, effect: job::Effect) {
        let way = self.way();
        match effect {
            job::Effect::ReadLease => {
                let row = self.rows.get(&job::lease_key(0)).map(|row| {
                    let value = row.value.unwrap_or_default();
                    (row.version, serde_json::from_str(&value).unwrap_or_default())
                });
                let read =
                    if self.down { job::Event::LeaseUnread } else { job::Event::LeaseRead(row) };
                self.send(way, Message::Back(host, life, Box::new(read)));
            }
            job::Effect::Load => {
                self.send(way, Message::Load(host, life));
            }
            job::Effect::Txn(number, txn) => {
                if self.chance(self.faults.late_txns) {
                    let late = time::Duration::from_millis(self.rng.random_range(1_000..6_000));
                    self.send(late, Message::Txn(host, life, number, txn, true));
                    self.silent_txn(host, life, number);
                } else {
                    let lost = self.chance(self.faults.lost_txns);
                    self.send(way, Message::Txn(host, life, number, txn, lost));
                }
            }
            job::Effect::Start(start) => {
                let late = self.chance(self.faults.late_starts);
                let lost = late || self.chance(self.faults.lost_answers);
                let late_ms = self.rng.random_range(2_000..12_000);
                let way = if late { time::Duration::from_millis(late_ms) } else { way };
                let message = Message::Start(host, life, start.clone(), lost, self.now);
                self.send(way, message);
                if lost {
                    let answer = job::StartAnswer::Silent;
                    let event = job::Event::Started { order: start.order, answer };
                    let after = time::Duration::from_millis(600);
                    self.send(after, Message::Back(host, life, Box::new(event)));
                }
            }
            job::Effect::Stop(order) => self.send(way, Message::Stop(order)),
            job::Effect::Look(look) => {
                let lost = self.chance(self.faults.lost_answers);
                let latest = self.now + way + look.wait;
                self.send(way, Message::Look(host, life, look, latest, lost));
            }
            job::Effect::Pace(_) => {}
        }
    }

    /// Tells a host after a while that its transaction had no answer.
    fn silent_txn(&mut self, host: usize, life: u64, number: u64) {
        let event = Box::new(job::Event::Txn { number, answer: None });
        self.send(time::Duration::from_millis(800), Message::Back(host, life, event));
    }

    /// Returns the rows of the domain as a new holder reads them.
    fn loaded(&self) -> job::Event {
        let part = job::part(0);
        job::Event::Loaded {
            jobs: self.rows.all(job::JOBS, &part),
            progress: self.rows.all(job::PROGRESS, &part),
        }
    }

    /// Returns the list of workers.
    fn listed(&self) -> Vec<job::Member> {
        self.workers
            .iter()
            .filter(|worker| worker.listed)
            .map(|worker| member(&worker.id))
            .collect()
    }

    /// Lets a message arrive.
    fn deliver(&mut self, message: Message) {
        match message {
            Message::Back(host, life, event) => {
                if self.hosts[host].life == life {
                    self.step(host, *event);
                }
            }
            Message::Load(host, life) => {
                if self.hosts[host].life == life {
                    let event = if self.down { job::Event::LoadFailed } else { self.loaded() };
                    self.step(host, job::Event::Listed(self.listed()));
                    self.step(host, event);
                }
            }
            Message::Txn(host, life, number, txn, lost) => {
                if self.down {
                    return self.silent_txn(host, life, number);
                }
                let answer = self.rows.transact(&txn);
                if lost {
                    return self.silent_txn(host, life, number);
                }
                let event = Box::new(job::Event::Txn { number, answer: Some(answer) });
                let way = self.way();
                self.send(way, Message::Back(host, life, event));
            }
            Message::Start(host, life, start, lost, ordered) => {
                self.start(host, life, &start, lost, ordered);
            }
            Message::Stop(order) => {
                let now = self.now;
                if let Some(worker) = self.reach(&order.worker) {
                    worker.stop(&order, now);
                }
            }
            Message::Look(host, life, look, latest, lost) => {
                self.look(host, life, look, latest, lost);
            }
            Message::Fault(fault) => self.strike(fault),
            Message::Mend(fault, at) => self.mend(fault, at),
            Message::Submit => self.submit(),
            Message::Cancel(job) => self.cancel(job),
        }
    }

    /// Returns a worker that lives and can be reached.
    fn reach(&mut self, id: &id::WorkerId) -> Option<&mut worker::Worker> {
        self.workers.iter_mut().find(|worker| worker.id == *id && worker.alive && worker.reachable)
    }

    /// Lets an order to start arrive.
    fn start(
        &mut self,
        host: usize,
        life: u64,
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
                let answer = job::StartAnswer::Silent;
                let event = job::Event::Started { order: start.order.clone(), answer };
                let after = time::Duration::from_millis(600);
                self.send(after, Message::Back(host, life, Box::new(event)));
            }
            return;
        };
        if began {
            let cancelled = self.cancelled.get(&task.job);
            let late = cancelled.is_some_and(|at| ordered > *at + CANCEL);
            self.judge.started(task, ATTEMPTS, late, &self.workers);
        }
        if !lost {
            let way = self.way();
            let event = job::Event::Started { order: start.order.clone(), answer };
            self.send(way, Message::Back(host, life, Box::new(event)));
        }
    }

    /// Lets a look arrive; it waits for an end where it may.
    fn look(
        &mut self,
        host: usize,
        life: u64,
        look: job::Look,
        latest: time::Duration,
        lost: bool,
    ) {
        let now = self.now;
        let (worker, epoch) = (look.worker.clone(), look.epoch);
        let answer = match self.reach(&look.worker) {
            None => job::LookAnswer::Silent,
            Some(found) => {
                let ended = found.ended().to_vec();
                let answer = found.look(&look, now);
                let news = matches!(&answer, job::LookAnswer::Lists(l) if !l.ended.is_empty());
                let stale = found.stale;
                if matches!(answer, job::LookAnswer::Lists(_)) {
                    self.judge.acknowledged(&ended, look.seen, stale);
                }
                if !news && now < latest && matches!(answer, job::LookAnswer::Lists(_)) {
                    return self.send(STEP, Message::Look(host, life, look, latest, lost));
                }
                answer
            }
        };
        let silent = answer == job::LookAnswer::Silent || lost;
        let after = if silent { time::Duration::from_millis(600) } else { self.way() };
        let answer = if silent { job::LookAnswer::Silent } else { answer };
        let event = job::Event::Looked { worker, epoch, answer };
        self.send(after, Message::Back(host, life, Box::new(event)));
    }

    /// Returns how a task behaves, always the same way.
    fn behaviour(&self, task: job::TaskId) -> worker::Behaviour {
        let step = self.judge.jobs.get(&task.job).and_then(|job| job.step(task.step));
        let lasting = step.is_some_and(|step| step.lasting);
        let estimate = step.map_or(500, |step| step.estimate_ms);
        let work = (!lasting).then(|| time::Duration::from_millis(estimate));
        let size = step.map(|step| step.size).unwrap_or_default();
        // One job in eight is hopeless.
        worker::Behaviour { work, fails: task.job.0 % 8 == 7 && !lasting, size }
    }

    /// Lets workers end what is due, and tells the judge.
    fn tick_workers(&mut self) {
        for worker in self.workers.iter_mut().filter(|worker| worker.alive) {
            let before = worker.open_ends();
            worker.tick(self.now);
            if worker.open_ends() == before {
                continue;
            }
            worker.ended().iter().for_each(|ended| self.judge.ended(ended.task, ended.kind));
        }
    }

    /// Lets a fault begin.
    fn strike(&mut self, fault: Fault) {
        let holder = self
            .hosts
            .iter()
            .position(|host| host.engine.as_ref().is_some_and(|engine| engine.holding().is_some()));
        let worker = self.rng.random_range(0..self.workers.len());
        let (at, secs) = match fault {
            Fault::Kill | Fault::Freeze => {
                let Some(holder) = holder else {
                    return;
                };
                (holder, 4)
            }
            Fault::Outage => (0, 4),
            Fault::Crash => (worker, 4),
            Fault::Cut => (worker, 7),
            Fault::Sick => (worker, 5),
        };
        match fault {
            Fault::Kill => {
                self.hosts[at].engine = None;
                self.hosts[at].life += 1;
            }
            Fault::Freeze => self.hosts[at].frozen = true,
            Fault::Outage => self.down = true,
            Fault::Crash => {
                if !self.workers[at].alive {
                    return;
                }
                self.workers[at].alive = false;
            }
            Fault::Cut => self.workers[at].reachable = false,
            Fault::Sick => self.workers[at].fails_all = true,
        }
        self.send(time::Duration::from_secs(secs), Message::Mend(fault, at));
    }

    /// Lets a fault end.
    fn mend(&mut self, fault: Fault, at: usize) {
        match fault {
            Fault::Kill => {
                if self.hosts[at].engine.is_none() {
                    self.boot(at);
                }
            }
            Fault::Freeze => {
                self.hosts[at].frozen = false;
                let inbox = std::mem::take(&mut self.hosts[at].inbox);
                inbox.into_iter().for_each(|event| self.step(at, event));
            }
            Fault::Outage => self.down = false,
            Fault::Crash => {
                self.workers[at].listed = false;
                self.add_worker();
                self.tell_member(at);
                self.tell_member(self.workers.len() - 1);
            }
            Fault::Cut => self.workers[at].reachable = true,
            Fault::Sick => self.workers[at].fails_all = false,
        }
    }

    /// Tells all hosts how a worker is listed.
    fn tell_member(&mut self, at: usize) {
        let worker = &self.workers[at];
        let entry = worker.listed.then(|| member(&worker.id));
        let event = job::Event::Member(worker.id.clone(), entry);
        for host in 0..self.hosts.len() {
            let life = self.hosts[host].life;
            let way = self.way();
            self.send(way, Message::Back(host, life, Box::new(event.clone())));
        }
    }

    /// Lets a caller hand in a job; one that is turned away by an outage comes again.
    fn submit(&mut self) {
        if self.down {
            return self.send(time::Duration::from_secs(1), Message::Submit);
        }
        let id = job::JobId(self.rng.random_range(0..u64::MAX));
        let lasting = self.rng.random_range(0..6) == 0;
        let steps = if lasting { 1 } else { self.rng.random_range(1..4) };
        let steps: Vec<job::Step> = (0..steps).map(|at| self.draw_step(at, lasting)).collect();
        let job = job::Job {
            queue: QUEUE.to_owned(),
            service: "service".into(),
            spec: "spec".to_owned(),
            steps,
            repeats: None,
        };
        let accepted = job::Accepted { job: job.clone(), cancelled: false };
        self.judge.jobs.insert(id, job);
        self.write_job(id, &accepted);
        if self.rng.random_range(0..4) == 0 {
            let after = time::Duration::from_millis(self.rng.random_range(10..6_000));
            self.send(after, Message::Cancel(id));
        }
    }

    /// Draws a step.
    fn draw_step(&mut self, at: u32, lasting: bool) -> job::Step {
        job::Step {
            count: self.rng.random_range(1..4),
            size: size::Size { cpu_milli: 300, mem_mb: 100, accelerators: 0 },
            estimate_ms: self.rng.random_range(50..2_500),
            after: (0..at).collect(),
            lasting,
            ..job::Step::default()
        }
    }

    /// Lets a caller cancel a job.
    fn cancel(&mut self, id: job::JobId) {
        if self.down {
            return self.send(time::Duration::from_secs(1), Message::Cancel(id));
        }
        let Some(job) = self.judge.jobs.get(&id).cloned() else {
            return;
        };
        self.cancelled.insert(id, self.now);
        self.write_job(id, &job::Accepted { job, cancelled: true });
    }

    /// Writes the row of a job and lets those who follow the table know.
    fn write_job(&mut self, id: job::JobId, accepted: &job::Accepted) {
        let key = job::job_key(job::JOBS, 0, id);
        let value = serde_json::to_string(accepted).unwrap_or_default();
        let write = table::Write { key: key.clone(), value: Some(value) };
        self.rows.transact(&table::Txn { expects: Vec::new(), writes: vec![write] });
        let event = job::Event::Jobs(self.rows.get(&key).into_iter().collect());
        for host in 0..self.hosts.len() {
            let life = self.hosts[host].life;
            let way = self.way();
            self.send(way, Message::Back(host, life, Box::new(event.clone())));
        }
    }
}

/// Returns how a worker is listed.
fn member(id: &id::WorkerId) -> job::Member {
    job::Member {
        id: id.clone(),
        addr: ([127, 0, 0, 1], 1).into(),
        hall: "hall".into(),
        service: "service".into(),
        leaving: false,
        capacity: size::Size { cpu_milli: 4_000, mem_mb: 4_000, accelerators: 0 },
        labels: Vec::new(),
    }
}

/// Returns how the engines are timed; the values are those of the settings' defaults.
#[must_use]
pub fn settings() -> job::Settings {
    let millis = time::Duration::from_millis;
    job::Settings {
        domain: 0,
        lease: millis(2_200),
        margin: millis(400),
        poll: millis(300),
        commit: millis(20),
        renew: millis(700),
        hold: millis(4_000),
        hold_max: worker::HOLD_MAX,
        look: millis(1_000),
        look_idle: millis(4_000),
        keep: millis(120_000),
    }
}
