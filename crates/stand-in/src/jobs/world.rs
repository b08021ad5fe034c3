//! Hosts, a store and workers in virtual time, with faults drawn from a seed.

use std::collections;
use std::sync;
use std::time;

use rand::{RngExt as _, SeedableRng as _};
use wharflane::{id, job, rows as table};

use super::{closing, fault, judge, rows, strike, worker};

pub use super::fault::Faults;

/// How finely time passes.
pub(super) const STEP: time::Duration = time::Duration::from_millis(10);
/// When faults and submissions end.
const CALM_FROM: time::Duration = time::Duration::from_secs(25);
/// When the world ends; everything must have come to its end by then.
const END: time::Duration = time::Duration::from_secs(75);
/// The attempts of a task.
pub(super) const ATTEMPTS: u32 = 3;
/// The name of the only queue.
pub(super) const QUEUE: &str = "queue";
/// The port of the first host.
const FIRST_PORT: u16 = 7_000;
/// The time between two answers of the feed of accepted jobs where nothing changes.
const FEED: time::Duration = time::Duration::from_millis(700);
/// The longest way of a message; what was accepted so long ago has been told.
const LONGEST_WAY: time::Duration = time::Duration::from_millis(8);
/// How old counts of what waits may be that a caller is told.
const COUNT_AGE: time::Duration = time::Duration::from_secs(2);
/// The time that an order may be late after a cancel and still be no breach.
pub const CANCEL: time::Duration = time::Duration::from_secs(3);
/// The time that a start carried out late may go unnoticed.
pub const CONTACT: time::Duration = time::Duration::from_secs(3);

/// A message on its way.
#[derive(Debug)]
pub(super) enum Message {
    /// To the store, from a life of a host; answered unless the answer is lost.
    Txn(usize, u64, u64, table::Txn, bool),
    /// An order to start, answered unless the answer is lost.
    Start(usize, u64, job::Start, bool, time::Duration),
    /// An order to stop, from a life of a host, and whether the answer is lost.
    Stop(usize, u64, job::Order, bool),
    /// A look and when it must be answered at the latest.
    Look(usize, u64, job::Look, time::Duration, bool),
    /// A life of a host reads everything, and is told of every change from then on.
    Load(usize, u64),
    /// Back to a life of a host.
    Back(usize, u64, Box<job::Event>),
    /// A fault begins.
    Fault(fault::Fault),
    /// A fault ends.
    Mend(fault::Fault, usize),
    /// A worker crashes under a task that it has just started.
    Crash(usize),
    /// Another life of a crashed worker takes its place.
    Replace(usize),
    /// A worker tells of its room.
    Beat(usize),
    /// The feed of accepted jobs answers the hosts that follow it.
    Feed,
    /// A caller hands in a job.
    Submit,
    /// A caller cancels a job.
    Cancel(job::JobId),
}

/// A host of the world.
#[derive(Debug, Default)]
pub(super) struct Host {
    /// The engine, while the host lives.
    pub(super) engine: Option<job::Engine>,
    /// Grows with every start.
    pub(super) life: u64,
    /// Whether it stands still.
    pub(super) frozen: bool,
    /// What came meanwhile.
    pub(super) inbox: Vec<job::Event>,
}

/// The world.
#[derive(Debug)]
pub struct World {
    /// The time.
    pub(super) now: time::Duration,
    /// Chance.
    pub(super) rng: rand::rngs::StdRng,
    /// How much goes wrong.
    pub(super) faults: Faults,
    /// The hosts.
    pub(super) hosts: Vec<Host>,
    /// The store.
    pub rows: rows::Rows,
    /// Whether the store is down.
    pub(super) down: bool,
    /// The workers, dead lives among them.
    pub workers: Vec<worker::Worker>,
    /// What is on its way, by arrival.
    mail: collections::BTreeMap<(time::Duration, u64), Message>,
    /// The number of messages sent.
    sent: u64,
    /// When the store was down last, or a host stood still.
    pub(super) disturbed: time::Duration,
    /// The halls that are closed.
    pub(super) closed: closing::Closed,
    /// When jobs were cancelled.
    pub(super) cancelled: collections::BTreeMap<job::JobId, time::Duration>,
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
            disturbed: time::Duration::ZERO,
            closed: closing::Closed::new(),
            cancelled: collections::BTreeMap::new(),
            judge: judge::Judge::default(),
        };
        (0..workers).for_each(|_| world.add_worker());
        for _ in 0..hosts {
            world.hosts.push(Host::default());
        }
        (0..hosts).for_each(|host| world.boot(host));
        (0..jobs).for_each(|_| world.plan(Message::Submit));
        world.send(FEED, Message::Feed);
        let kinds = [
            (faults.kills, fault::Fault::Kill),
            (faults.freezes, fault::Fault::Freeze),
            (faults.suspends, fault::Fault::Suspend),
            (faults.removals, fault::Fault::Remove),
            (faults.unlisted, fault::Fault::Unlist),
            (faults.outages, fault::Fault::Outage),
            (faults.closings, fault::Fault::Close),
            (faults.shrinks, fault::Fault::Shrink),
            (faults.crashes, fault::Fault::Crash),
            (faults.cuts, fault::Fault::Cut),
            (faults.sick, fault::Fault::Sick),
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
            self.judge_cancelled();
            while let Some(entry) = self.mail.first_entry().filter(|e| e.key().0 <= self.now) {
                let message = entry.remove();
                self.deliver(message);
            }
            for host in 0..self.hosts.len() {
                let wall_ms = u64::try_from(self.now.as_millis()).unwrap_or(0);
                self.step(host, job::Event::Tick { wall_ms });
            }
            self.judge_counts();
        }
    }

    /// Returns the jobs that have not come to the end they should have come to.
    #[must_use]
    pub fn unfinished(&self) -> Vec<String> {
        let mut left = Vec::new();
        for (id, job) in &self.judge.jobs {
            let phase = self.phase(*id);
            let running = self.running(*id);
            let lasting = job.steps.iter().any(|step| step.lasting);
            let culprit = self.has_culprit(*id);
            let well = match (self.cancelled.contains_key(id), lasting && !culprit) {
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

    /// Returns what a caller would be told of a job.
    pub(super) fn phase(&self, id: job::JobId) -> job::Phase {
        let row = self.rows.get(&job::progress_key(0, id)).and_then(|row| row.value);
        let progress = row.and_then(|text| job::Progress::decode(&text).ok());
        progress.map_or(job::Phase::Queued, |progress| progress.phase)
    }

    /// Returns the starts that brought a worker over its room.
    #[must_use]
    pub fn overfilled(&self) -> Vec<job::TaskId> {
        self.workers.iter().flat_map(|worker| worker.overfilled.clone()).collect()
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
    pub(super) fn send(&mut self, after: time::Duration, message: Message) {
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
    pub(super) fn way(&mut self) -> time::Duration {
        time::Duration::from_millis(self.rng.random_range(1..LONGEST_WAY.as_millis() as u64))
    }

    /// Returns whether something of a chance in thousandths happens now.
    pub(super) fn chance(&mut self, milli: u32) -> bool {
        self.now < CALM_FROM && self.rng.random_range(0..1_000) < milli
    }

    /// Adds a new life of a worker.
    pub(super) fn add_worker(&mut self) {
        let id = id::WorkerId::from(format!("w{}", self.workers.len()).as_str());
        let clock_milli = self.rng.random_range(980..=1_000);
        let mut worker = worker::Worker::new(id, strike::ROOM, clock_milli);
        worker.guards = self.faults.shrinks == 0;
        worker.hall = closing::hall_of(self.workers.len());
        self.workers.push(worker);
    }

    /// Starts a host.
    pub(super) fn boot(&mut self, host: usize) {
        let own = id::HostId::from(format!("h{host}").as_str());
        let nonce = self.rng.random_range(1..u64::MAX);
        let port = FIRST_PORT + u16::try_from(host).unwrap_or(0);
        let settings = job::Settings { addr: Some(([127, 0, 0, 1], port).into()), ..settings() };
        let mut engine = job::Engine::new(own, settings, nonce);
        let queue = job::Queue {
            name: QUEUE.to_owned(),
            host: String::new(),
            prefix: String::new(),
            service: "service".into(),
            priority: 0,
            max_attempts: ATTEMPTS,
            advice: None,
            stretch_percent: 200,
            objective_ms: 1_000,
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
    pub(super) fn step(&mut self, host: usize, event: job::Event) {
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
            job::Effect::Probe { version, addr } => {
                let at = usize::from(addr.port() - FIRST_PORT);
                let lie = self.chance(self.faults.refused_probes);
                let sign = match (self.hosts[at].engine.is_none() || lie, self.chance(500)) {
                    (false, _) => job::Sign::Listens,
                    (true, false) => job::Sign::Refused,
                    (true, true) => job::Sign::Silent,
                };
                let event = Box::new(job::Event::Probed { version, sign });
                self.send(way, Message::Back(host, life, event));
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
            job::Effect::Stop(order) => {
                let lost = self.chance(self.faults.lost_stops);
                let late_ms = self.rng.random_range(2_000..12_000);
                let late = lost && self.rng.random_range(0..2) == 0;
                if late {
                    let after = time::Duration::from_millis(late_ms);
                    self.send(after, Message::Stop(host, life, order.clone(), true));
                }
                if lost {
                    return self.stop_not_taken(host, life, order);
                }
                self.send(way, Message::Stop(host, life, order, false));
            }
            job::Effect::Look(look) => {
                let lost = self.chance(self.faults.lost_answers);
                let latest = self.now + way + look.wait;
                self.send(way, Message::Look(host, life, look, latest, lost));
            }
            job::Effect::Pace(_) | job::Effect::Ask(_) | job::Effect::Drop(..) => {}
        }
    }

    /// Tells a host after a while that a stop had no answer.
    fn stop_not_taken(&mut self, host: usize, life: u64, order: job::Order) {
        let event = Box::new(job::Event::StopNotTaken(order));
        self.send(time::Duration::from_millis(600), Message::Back(host, life, event));
    }

    /// Tells a host after a while that its transaction had no answer.
    fn silent_txn(&mut self, host: usize, life: u64, number: u64) {
        let event = Box::new(job::Event::Txn { number, outcome: table::Outcome::Unknown });
        self.send(time::Duration::from_millis(800), Message::Back(host, life, event));
    }

    /// Returns the rows of the domain as a new holder reads them.
    fn loaded(&self) -> job::Event {
        let part = job::part(0);
        job::Event::Loaded {
            jobs: job::job_parts(0).flat_map(|part| self.rows.all(job::JOBS, &part)).collect(),
            progress: self.rows.all(job::PROGRESS, &part),
            learned: self.rows.all(job::LEARNED, &part),
        }
    }

    /// Returns the list of workers.
    fn listed(&self) -> Vec<job::Member> {
        self.workers.iter().filter(|worker| worker.listed).map(member).collect()
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
                    self.load_closed(host);
                    self.step(host, event);
                }
            }
            Message::Txn(host, life, number, txn, lost) => {
                if self.down {
                    return self.silent_txn(host, life, number);
                }
                let answer = self.rows.send(&txn);
                if lost {
                    return self.silent_txn(host, life, number);
                }
                let event = Box::new(job::Event::Txn { number, outcome: answer });
                let way = self.way();
                self.send(way, Message::Back(host, life, event));
            }
            Message::Start(host, life, start, lost, ordered) => {
                self.start(host, life, &start, lost, ordered);
            }
            Message::Stop(host, life, order, lost) => {
                let now = self.now;
                let taken = self.reach(&order.worker).map(|worker| worker.stop(&order, now));
                if taken != Some(true) && !lost {
                    self.stop_not_taken(host, life, order);
                }
            }
            Message::Look(host, life, look, latest, lost) => {
                self.look(host, life, look, latest, lost);
            }
            Message::Fault(fault) => self.strike(fault),
            Message::Mend(fault, at) => self.mend(fault, at),
            Message::Crash(at) => self.crash(at),
            Message::Replace(at) => self.replace(at),
            Message::Beat(at) => self.tell_member(at),
            Message::Feed => self.feed(),
            Message::Submit => self.submit(),
            Message::Cancel(job) => self.cancel(job),
        }
    }

    /// Lets the feed of accepted jobs tell all hosts up to when they have heard all of them.
    fn feed(&mut self) {
        self.send(FEED, Message::Feed);
        if self.down {
            return;
        }
        if self.faults.closings > 0 {
            self.tell_closed();
        }
        let up_to = self.now.saturating_sub(LONGEST_WAY);
        let event = job::Event::Heard { up_to_ms: millis(up_to) };
        for host in 0..self.hosts.len() {
            let life = self.hosts[host].life;
            self.send(LONGEST_WAY, Message::Back(host, life, Box::new(event.clone())));
        }
    }

    /// Judges the counts that a caller would be told now.
    fn judge_counts(&mut self) {
        let row = self.rows.get(&job::waiting_key(0)).and_then(|row| row.value);
        let Some(counts) = row.and_then(|text| serde_json::from_str::<job::Waiting>(&text).ok())
        else {
            return;
        };
        let Some(as_of_ms) = counts.as_of_ms else {
            return;
        };
        if counts.age(millis(self.now)).is_some_and(|age| age <= COUNT_AGE) {
            let told = counts.queues.get(QUEUE).copied().unwrap_or(0);
            let cancelled = &self.cancelled;
            self.judge.counted(told, as_of_ms, |job| cancelled.contains_key(&job));
        }
    }

    /// Returns a worker that lives and can be reached.
    pub(super) fn reach(&mut self, id: &id::WorkerId) -> Option<&mut worker::Worker> {
        self.workers.iter_mut().find(|worker| worker.id == *id && worker.alive && worker.reachable)
    }
}

/// Returns a time in milliseconds.
pub(super) fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns how a worker is listed.
pub(super) fn member(worker: &worker::Worker) -> job::Member {
    job::Member {
        id: worker.id.clone(),
        addr: ([127, 0, 0, 1], 1).into(),
        hall: worker.hall.clone(),
        service: "service".into(),
        leaving: false,
        capacity: worker.capacity,
        labels: Vec::new(),
        rack: None,
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
        addr: None,
        probe: millis(500),
        silence: millis(1_200),
        handicap: millis(0),
        poll: millis(300),
        commit: millis(20),
        renew: millis(700),
        hold: millis(4_000),
        hold_max: worker::HOLD_MAX,
        stop: millis(900),
        look: millis(1_000),
        look_idle: millis(4_000),
        keep: millis(120_000),
        closed_wait: millis(5_000),
        link_bytes_per_s: None,
    }
}
