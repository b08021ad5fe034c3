//! One hall in virtual time: an engine, a store that answers at once, and what both cost.

use std::collections;
use std::net;
use std::sync;
use std::time;

use wharflane::{desired, hall, id, members, platform, size, work};
use wharflane_stand_in::{history, machine, store};

/// The hall.
const HALL: &str = "hall";
/// The time between two steps.
const STEP: time::Duration = time::Duration::from_millis(100);
/// The longest that a hall may take for what is waited for: far beyond the seconds that it takes.
pub const MOST: time::Duration = time::Duration::from_secs(600);
/// How long a full hall is left alone before it is measured, so that its last commits are made.
const SETTLE: time::Duration = time::Duration::from_secs(5);
/// Batch tasks on each worker.
const BATCH: u32 = 12;
/// Service tasks on each worker.
const SERVICES: u32 = 3;
/// Tasks on each worker of a filled hall.
pub const TASKS: u32 = BATCH + SERVICES;
/// Sizes of the halls that are printed: as a site in use, four times as large, and far beyond.
pub const WORKERS: [usize; 3] = [65, 260, 1_000];
/// How long a task runs, in milliseconds.
pub const LONG_MS: u64 = 3_600_000;

/// What was counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counted {
    /// Processor time of the engine.
    pub cpu: time::Duration,
    /// Messages to workers.
    pub syncs: u64,
    /// Bytes of these messages, as JSON.
    pub sync_bytes: u64,
    /// Bytes of the answers, as JSON.
    pub report_bytes: u64,
    /// Transactions.
    pub txns: u64,
    /// Bytes of their writes.
    pub txn_bytes: u64,
    /// Reads.
    pub reads: u64,
}

impl Counted {
    /// Returns what was counted since an earlier moment.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(before.cpu),
            syncs: self.syncs - before.syncs,
            sync_bytes: self.sync_bytes - before.sync_bytes,
            report_bytes: self.report_bytes - before.report_bytes,
            txns: self.txns - before.txns,
            txn_bytes: self.txn_bytes - before.txn_bytes,
            reads: self.reads - before.reads,
        }
    }
}

/// A hall with one engine, and answers that come at once.
#[derive(Debug)]
pub struct Hall {
    /// The engine.
    pub engine: hall::Engine,
    /// The store.
    store: store::Store,
    /// The workers.
    machines: collections::BTreeMap<id::WorkerId, machine::Machine>,
    /// The list of machines.
    members: sync::Arc<members::Members>,
    /// The configuration in force.
    current: sync::Arc<hall::Current>,
    /// The time.
    pub now: time::Duration,
    /// What was counted.
    pub counted: Counted,
}

impl Hall {
    /// Makes a hall of so many workers.
    #[must_use]
    pub fn new(workers: usize) -> Self {
        let history = history::History::default();
        let mut members = members::Members { version: 1, ..members::Members::default() };
        let presence = members::Presence::Live;
        let addr = net::SocketAddr::from(([127, 0, 0, 1], 1));
        members.hosts.insert("entry-0".into(), members::Host { peer_addr: addr, presence });
        let mut machines = collections::BTreeMap::new();
        let capacity = size::Size { cpu_milli: 64_000, mem_mb: 250_000, accelerators: 0 };
        for number in 0..workers {
            let worker = id::WorkerId::from(format!("worker-{number}").as_str());
            let rack = format!("rack-{}", number / 8);
            let member = members::Worker { addr, hall: HALL.into(), rack, presence };
            members.workers.insert(worker.clone(), member);
            let made = machine::Machine::new(worker.clone(), capacity, 1, history.clone());
            machines.insert(worker, made);
        }
        let mut hall = Self {
            engine: engine(1),
            store: store::Store::default(),
            machines,
            members: sync::Arc::new(members),
            current: sync::Arc::default(),
            now: time::Duration::ZERO,
            counted: Counted::default(),
        };
        hall.step(hall::Event::Members(sync::Arc::clone(&hall.members)));
        hall
    }

    /// Makes a hall in which all that `filled` asks for runs and has settled.
    ///
    /// # Panics
    /// Panics if the hall does not fill within minutes, which its bounds exclude.
    #[must_use]
    pub fn full(workers: usize, more: u32) -> Self {
        let mut hall = Self::new(workers);
        hall.apply(&filled(workers, more));
        let tasks = workers * TASKS as usize + more as usize;
        hall.run_until(MOST, |hall| hall.running() == tasks).expect("the hall fills");
        hall.run(SETTLE);
        hall
    }

    /// Puts a desired state in force.
    ///
    /// # Panics
    /// Panics on a text with faults, which would be a fault of the bench.
    pub fn apply(&mut self, text: &str) {
        let mut desired = desired::parse(text).expect("the bench's own text");
        let revision = self.current.revision + 1;
        desired::check_update(&self.current.desired, &mut desired, revision)
            .expect("the bench's own text");
        self.current = sync::Arc::new(hall::Current { revision, desired });
        self.step(hall::Event::Config(sync::Arc::clone(&self.current)));
    }

    /// Lets time pass.
    pub fn run(&mut self, duration: time::Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.step(hall::Event::Tick);
        }
    }

    /// Lets time pass, and returns what was counted in it.
    pub fn count(&mut self, duration: time::Duration) -> Counted {
        let before = self.counted;
        self.run(duration);
        self.counted.since(&before)
    }

    /// Lets time pass until something holds, and returns how long it took.
    pub fn run_until(
        &mut self,
        most: time::Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<time::Duration> {
        let start = self.now;
        while self.now - start < most {
            self.run(STEP);
            if holds(self) {
                return Some(self.now - start);
            }
        }
        None
    }

    /// Replaces the host by another that knows nothing.
    pub fn replace_host(&mut self) {
        self.engine = engine(2);
        self.step(hall::Event::Members(sync::Arc::clone(&self.members)));
        self.step(hall::Event::Config(sync::Arc::clone(&self.current)));
    }

    /// Returns how many tasks run on all workers.
    #[must_use]
    pub fn running(&self) -> usize {
        self.machines.values().map(machine::Machine::running_count).sum()
    }

    /// Returns how many tasks of an owner run on all workers.
    #[must_use]
    pub fn running_of(&self, owner: &str) -> usize {
        let tasks = self.machines.values().flat_map(machine::Machine::shares);
        tasks.filter(|(task, _)| *task.owner == *owner).count()
    }

    /// Lets the engine take an event, and answers all that it asks for at once.
    fn step(&mut self, event: hall::Event) {
        let mut events = collections::VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let start = cpu_time::ThreadTime::now();
            let effects = self.engine.step(self.now, event);
            self.counted.cpu += start.elapsed();
            for effect in effects {
                events.extend(self.answer(effect));
            }
        }
    }

    /// Answers what the engine asks for.
    fn answer(&mut self, effect: hall::Effect) -> Option<hall::Event> {
        Some(match effect {
            hall::Effect::ReadHead => {
                self.counted.reads += 1;
                let rows = self.store.read(&[hall::head_key(&HALL.into())]).ok()?;
                let head = rows
                    .first()
                    .and_then(|row| Some((row.version, serde_json::from_str(&row.value).ok()?)));
                hall::Event::Head(head)
            }
            hall::Effect::Load(snapshot) => {
                let text = snapshot.and_then(|s| self.store.get_object(&s.key).ok()?);
                let log = self.store.scan(&hall::log_prefix(&HALL.into())).ok()?;
                hall::Event::Loaded { snapshot: text, log }
            }
            hall::Effect::Txn(txn) => {
                self.counted.txns += 1;
                self.counted.txn_bytes += txn_bytes(&txn);
                hall::Event::Txn(self.store.transact(&txn).ok())
            }
            hall::Effect::Store(snapshot, text) => {
                self.store.put_object(&snapshot.key, text).ok()?;
                hall::Event::Stored(snapshot)
            }
            hall::Effect::Delete(snapshot) => {
                self.store.delete_object(&snapshot.key).ok()?;
                return None;
            }
            hall::Effect::Sync(_, sync) => {
                self.counted.syncs += 1;
                self.counted.sync_bytes += json_bytes(&sync);
                let machine = self.machines.get_mut(&sync.worker)?;
                let answer = machine.sync(self.now, &sync);
                if let work::Answer::Report(report) = &answer {
                    for task in &report.tasks {
                        let addr = net::SocketAddr::from(([127, 0, 0, 1], 9_000));
                        if task.task.owner.starts_with("service") {
                            machine.set_addr(&task.task, addr);
                        }
                    }
                }
                self.counted.report_bytes += json_bytes(&answer);
                hall::Event::Synced { worker: sync.worker, seq: sync.seq, answer: Some(answer) }
            }
        })
    }
}

/// Returns an engine of a host.
fn engine(nonce: u64) -> hall::Engine {
    hall::Engine::new(HALL.into(), "entry-0".into(), hall::Settings::default(), nonce)
}

/// Returns the bytes of a transaction's writes.
fn txn_bytes(txn: &platform::Txn) -> u64 {
    let written = |write: &platform::Write| write.value.as_ref().map_or(0, String::len) as u64;
    txn.writes.iter().map(written).sum()
}

/// Returns the bytes of a value as JSON.
fn json_bytes<T: serde::Serialize>(value: &T) -> u64 {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len() as u64)
}

/// Returns a desired state that fills so many workers, and so many tasks more.
#[must_use]
pub fn filled(workers: usize, more: u32) -> String {
    let workers = u32::try_from(workers).unwrap_or(u32::MAX);
    let (services, batch) = (workers * SERVICES, workers * BATCH);
    let mut text = String::from(
        "[[class]]\nname = \"p100\"\npriority = 100\n[[class]]\nname = \"p1\"\npriority = 1\n\
         [[team]]\nname = \"ours\"\n[[hall]]\nname = \"hall\"\n",
    );
    text.push_str(&format!(
        "[[service]]\nname = \"service\"\nteam = \"ours\"\nclass = \"p100\"\nhalls = [\"hall\"]\n\
         count = {services}\ncpu_milli = 2000\nmem_mb = 4000\nlatency_target_ms = 50\n"
    ));
    for (name, tasks) in [("batch", batch), ("more", more)] {
        if tasks > 0 {
            text.push_str(&format!(
                "[[job]]\nname = \"{name}\"\nteam = \"ours\"\nclass = \"p1\"\nhalls = [\"hall\"]\n\
                 tasks = {tasks}\ncpu_milli = 2000\nmem_mb = 4000\nrun_time_ms = {LONG_MS}\n\
                 checkpoint = true\n"
            ));
        }
    }
    text
}
