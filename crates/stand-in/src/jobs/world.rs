//! Hosts, a store and workers in virtual time, with faults drawn from a seed.

use std::collections;
use std::sync;
use std::time;

use rand::{RngExt as _, SeedableRng as _};
use wharflane::{id, job};

use super::mail::Message;
use super::{closing, fault, judge, mail, rows, strike, worker};

pub use super::fault::Faults;

/// How finely time passes.
pub(super) const STEP: time::Duration = time::Duration::from_millis(10);
/// When faults and submissions end.
pub(super) const CALM_FROM: time::Duration = time::Duration::from_secs(25);
/// When the world ends; everything must have come to its end by then.
const END: time::Duration = time::Duration::from_secs(75);
/// The attempts of a task.
pub(super) const ATTEMPTS: u32 = 3;
/// The name of the only queue.
pub(super) const QUEUE: &str = "queue";
/// When incarnations that are there from the beginning were born, in milliseconds since 1970.
const FIRST_BORN_MS: u64 = 1_700_000_000_000;
/// The port of the first host.
pub(super) const FIRST_PORT: u16 = 7_000;
/// How old counts of what waits may be that a caller is told.
const COUNT_AGE: time::Duration = time::Duration::from_secs(2);
/// The time that an order may be late after a cancel and still be no breach.
pub const CANCEL: time::Duration = time::Duration::from_secs(3);
/// The time that a start carried out late may go unnoticed.
pub const CONTACT: time::Duration = time::Duration::from_secs(3);

/// A host of the world.
#[derive(Debug, Default)]
pub(super) struct Host {
    /// The engine, while the host lives.
    pub(super) engine: Option<job::Engine>,
    /// Grows with every start.
    pub(super) incarnation: u64,
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
    /// The workers, dead incarnations among them.
    pub workers: Vec<worker::Worker>,
    /// What is on its way, by arrival.
    pub(super) mail: collections::BTreeMap<(time::Duration, u64), Message>,
    /// The number of messages sent.
    pub(super) sent: u64,
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
        world.send(mail::FEED, Message::Feed);
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
            (faults.restarts, fault::Fault::Restart),
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

    /// Returns a line for each rule that was broken, each job that did not end as it should and each that was wronged.
    #[must_use]
    pub fn findings(&self) -> Vec<String> {
        let mut found: Vec<String> = self.judge.breaches.iter().map(ToString::to_string).collect();
        found.extend(self.unfinished());
        found.extend(self.wronged().iter().map(|job| format!("sound and given up: {job}")));
        found
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

    /// Returns whether something of a chance in thousandths happens now.
    pub(super) fn chance(&mut self, milli: u32) -> bool {
        self.now < CALM_FROM && self.rng.random_range(0..1_000) < milli
    }

    /// Adds a worker under a new id.
    pub(super) fn add_worker(&mut self) {
        self.add_incarnation(format!("w{}", self.workers.len()).as_str().into());
    }

    /// Adds an incarnation of a worker, which knows nothing of any before.
    pub(super) fn add_incarnation(&mut self, id: id::WorkerId) {
        let clock_milli = self.rng.random_range(980..=1_000);
        let born_ms = Some(FIRST_BORN_MS + millis(self.now));
        let incarnation = id::Incarnation { worker: id, born_ms };
        let mut worker = worker::Worker::new(incarnation, strike::ROOM, clock_milli);
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
        host.incarnation += 1;
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
        let incarnation = state.incarnation;
        for effect in engine.step(now, event) {
            self.carry_out(host, incarnation, effect);
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

    /// Returns the worker that an order reaches: whichever incarnation has the id, if it can be reached.
    pub(super) fn reach(&mut self, incarnation: &id::Incarnation) -> Option<&mut worker::Worker> {
        let mut alive = self.workers.iter_mut().filter(|worker| worker.alive && worker.reachable);
        alive.find(|worker| worker.is_meant(incarnation))
    }
}

/// Returns a time in milliseconds.
pub(super) fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns how a worker is listed.
pub(super) fn member(worker: &worker::Worker) -> job::Member {
    job::Member {
        incarnation: worker.incarnation.clone(),
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
        takeover_delay: millis(0),
        poll: millis(300),
        commit: millis(20),
        renew: millis(700),
        task_lease: millis(4_000),
        task_lease_max: worker::HOLD_MAX,
        stop: millis(900),
        heartbeat_wait: millis(1_000),
        idle_heartbeat_gap: millis(4_000),
        keep: millis(120_000),
        closed_wait: millis(5_000),
        link_bytes_per_s: None,
    }
}
