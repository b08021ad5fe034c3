//! Simulates one hall in virtual time: an engine, its workers, and a store that answers at once.
//! Counts the processor time of the engine, messages, bytes and transactions.

use std::collections;
use std::net;
use std::sync;
use std::time;

use wharflane::{desired, hall, id, members, platform, size, work};
use wharflane_stand_in::{history, machine, store};

/// The name of the hall.
const HALL: &str = "hall";
/// The virtual time between two ticks of the engine.
const STEP: time::Duration = time::Duration::from_millis(100);
/// The maximum wait for a condition. Halls need seconds, so a longer wait is a fault.
pub const MAX_WAIT: time::Duration = time::Duration::from_secs(600);
/// The time that a full hall runs before it is measured, so that its last commits complete.
const SETTLE: time::Duration = time::Duration::from_secs(5);
/// Batch tasks on each worker of a full hall.
const BATCH_PER_WORKER: u32 = 12;
/// Service tasks on each worker of a full hall.
const SERVICES_PER_WORKER: u32 = 3;
/// Tasks on each worker of a full hall.
pub const TASKS_PER_WORKER: u32 = BATCH_PER_WORKER + SERVICES_PER_WORKER;
/// Sizes of the measured halls, in workers: as a site in use, four times as large, and far larger.
pub const HALL_SIZES: [usize; 3] = [65, 260, 1_000];
/// The run time of a batch task in milliseconds, longer than any measurement.
pub const RUN_TIME_MS: u64 = 3_600_000;

/// Counters of the work of the engine and the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Processor time of the engine.
    pub cpu: time::Duration,
    /// Sync messages sent to workers.
    pub syncs: u64,
    /// Size of the sync messages as JSON, in bytes.
    pub sync_bytes: u64,
    /// Size of the workers' answers as JSON, in bytes.
    pub report_bytes: u64,
    /// Transactions sent to the store.
    pub txns: u64,
    /// Size of the values written by transactions, in bytes.
    pub txn_bytes: u64,
    /// Reads of the head from the store.
    pub reads: u64,
}

impl Counters {
    /// Returns the difference to an earlier state of the counters.
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

/// A hall with one engine whose effects are answered at once.
#[derive(Debug)]
pub struct Hall {
    /// The engine under measurement.
    pub engine: hall::Engine,
    /// The store of the head, the log and the snapshots.
    store: store::Store,
    /// The simulated workers by id.
    machines: collections::BTreeMap<id::WorkerId, machine::Machine>,
    /// The membership list given to every engine.
    members: sync::Arc<members::Members>,
    /// The configuration in force.
    current: sync::Arc<hall::Current>,
    /// Virtual time since the start.
    pub now: time::Duration,
    /// Counters since the start.
    pub counters: Counters,
}

impl Hall {
    /// Creates a hall with the given number of workers and no tasks.
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
            let machine = machine::Machine::new(worker.clone(), capacity, 1, history.clone());
            machines.insert(worker, machine);
        }
        let mut hall = Self {
            engine: engine(1),
            store: store::Store::default(),
            machines,
            members: sync::Arc::new(members),
            current: sync::Arc::default(),
            now: time::Duration::ZERO,
            counters: Counters::default(),
        };
        hall.step(hall::Event::Members(sync::Arc::clone(&hall.members)));
        hall
    }

    /// Creates a hall that runs all tasks of `full_config` and has settled.
    ///
    /// # Panics
    /// Panics if the hall does not fill within `MAX_WAIT`.
    #[must_use]
    pub fn full(workers: usize, extra_tasks: u32) -> Self {
        let mut hall = Self::new(workers);
        hall.apply(&full_config(workers, extra_tasks));
        let tasks = workers * TASKS_PER_WORKER as usize + extra_tasks as usize;
        hall.run_until(MAX_WAIT, |hall| hall.running() == tasks).expect("the hall fills");
        hall.run(SETTLE);
        hall
    }

    /// Puts a desired state in force as the next revision.
    ///
    /// # Panics
    /// Panics if the text is invalid, which would be a bug in this crate.
    pub fn apply(&mut self, text: &str) {
        let mut desired = desired::parse(text).expect("built-in desired state is valid");
        let revision = self.current.revision + 1;
        desired::check_update(&self.current.desired, &mut desired, revision)
            .expect("built-in desired state is valid");
        self.current = sync::Arc::new(hall::Current { revision, desired });
        self.step(hall::Event::Config(sync::Arc::clone(&self.current)));
    }

    /// Advances virtual time by a duration.
    pub fn run(&mut self, duration: time::Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.step(hall::Event::Tick);
        }
    }

    /// Advances virtual time by a duration and returns the counters of that time.
    pub fn measure(&mut self, duration: time::Duration) -> Counters {
        let before = self.counters;
        self.run(duration);
        self.counters.since(&before)
    }

    /// Advances virtual time until a condition holds and returns the time it took, or `None` after
    /// the timeout.
    pub fn run_until(
        &mut self,
        timeout: time::Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<time::Duration> {
        let start = self.now;
        while self.now - start < timeout {
            self.run(STEP);
            if condition(self) {
                return Some(self.now - start);
            }
        }
        None
    }

    /// Replaces the holder by a new engine that has no state and must recover from the store.
    pub fn replace_host(&mut self) {
        self.engine = engine(2);
        self.step(hall::Event::Members(sync::Arc::clone(&self.members)));
        self.step(hall::Event::Config(sync::Arc::clone(&self.current)));
    }

    /// Returns the number of tasks that run on all workers.
    #[must_use]
    pub fn running(&self) -> usize {
        self.machines.values().map(machine::Machine::running_count).sum()
    }

    /// Returns the number of tasks of one owner that run on all workers.
    #[must_use]
    pub fn running_of(&self, owner: &str) -> usize {
        let tasks = self.machines.values().flat_map(machine::Machine::shares);
        tasks.filter(|(task, _)| *task.owner == *owner).count()
    }

    /// Passes an event to the engine, and performs its effects until it returns no further ones.
    fn step(&mut self, event: hall::Event) {
        let mut events = collections::VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let start = cpu_time::ThreadTime::now();
            let effects = self.engine.step(self.now, event);
            self.counters.cpu += start.elapsed();
            for effect in effects {
                events.extend(self.carry_out(effect));
            }
        }
    }

    /// Performs an effect and returns the event that answers it, if any.
    fn carry_out(&mut self, effect: hall::Effect) -> Option<hall::Event> {
        Some(match effect {
            hall::Effect::ReadHead => {
                self.counters.reads += 1;
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
                self.counters.txns += 1;
                self.counters.txn_bytes += written_bytes(&txn);
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
                self.counters.syncs += 1;
                self.counters.sync_bytes += json_bytes(&sync);
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
                self.counters.report_bytes += json_bytes(&answer);
                hall::Event::Synced { worker: sync.worker, seq: sync.seq, answer: Some(answer) }
            }
        })
    }
}

/// Creates an engine of the host; the nonce distinguishes engines.
fn engine(nonce: u64) -> hall::Engine {
    hall::Engine::new(HALL.into(), "entry-0".into(), hall::Settings::default(), nonce)
}

/// Returns the size of the values that a transaction writes, in bytes.
fn written_bytes(txn: &platform::Txn) -> u64 {
    let value_len = |write: &platform::Write| write.value.as_ref().map_or(0, String::len) as u64;
    txn.writes.iter().map(value_len).sum()
}

/// Returns the size of a value as JSON, in bytes.
fn json_bytes<T: serde::Serialize>(value: &T) -> u64 {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len() as u64)
}

/// Returns a desired state with the usual tasks of each worker, and a number of extra batch tasks.
#[must_use]
pub fn full_config(workers: usize, extra_tasks: u32) -> String {
    let workers = u32::try_from(workers).unwrap_or(u32::MAX);
    let (services, batch) = (workers * SERVICES_PER_WORKER, workers * BATCH_PER_WORKER);
    let mut text = String::from(
        "[[class]]\nname = \"p100\"\npriority = 100\n[[class]]\nname = \"p1\"\npriority = 1\n\
         [[team]]\nname = \"ours\"\n[[hall]]\nname = \"hall\"\n",
    );
    text.push_str(&format!(
        "[[service]]\nname = \"service\"\nteam = \"ours\"\nclass = \"p100\"\nhalls = [\"hall\"]\n\
         count = {services}\ncpu_milli = 2000\nmem_mb = 4000\nlatency_target_ms = 50\n"
    ));
    for (name, tasks) in [("batch", batch), ("more", extra_tasks)] {
        if tasks > 0 {
            text.push_str(&format!(
                "[[job]]\nname = \"{name}\"\nteam = \"ours\"\nclass = \"p1\"\nhalls = [\"hall\"]\n\
                 tasks = {tasks}\ncpu_milli = 2000\nmem_mb = 4000\nrun_time_ms = {RUN_TIME_MS}\n\
                 checkpoint = true\n"
            ));
        }
    }
    text
}
