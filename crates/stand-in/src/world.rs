//! Simulates one hall in virtual time: engines on hosts, the store and workers, with faults that a
//! test switches on.

use std::collections;
use std::sync;
use std::time;

use rand::{RngExt as _, SeedableRng as _};
use wharflane::{desired, hall, id, lease, members, platform, size, work};

use crate::history;
use crate::machine;
use crate::store;

/// The only hall of the simulation.
pub const HALL: &str = "hall";
/// The virtual time of one step.
const STEP: time::Duration = time::Duration::from_millis(20);
/// The greatest delay of a message in one direction, in milliseconds, without faults.
const MAX_DELAY_MS: u64 = 15;
/// How long a host that is killed at a kill point stays down.
const KILLED_HOST_DOWNTIME: time::Duration = time::Duration::from_secs(4);

/// A kill point: the write of control state at which the writing host is killed, counted from one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KillPoint {
    /// Before the write is sent; the write is lost.
    Before(usize),
    /// After the write is sent and before its answer arrives.
    After(usize),
}

/// A message in flight.
#[derive(Debug)]
enum Message {
    /// An effect for the store or a worker, from an incarnation of a host.
    Out(usize, u64, hall::Effect),
    /// An event for an incarnation of a host; dropped if the host has restarted since.
    Back(usize, u64, Box<hall::Event>),
}

/// A host of the simulation.
#[derive(Debug)]
struct Host {
    /// The id of the host.
    name: id::HostId,
    /// The engine; absent while the host is down.
    engine: Option<hall::Engine>,
    /// Increases with every start and kill of the host.
    incarnation: u64,
    /// Whether the host is frozen: it handles no event until it is thawed.
    frozen: bool,
    /// The events that arrived while the host was frozen.
    inbox: Vec<hall::Event>,
    /// When the host starts again; absent if no start is scheduled.
    restart: Option<time::Duration>,
}

/// The state of a simulation.
#[derive(Debug)]
pub struct World {
    /// The current virtual time.
    pub now: time::Duration,
    /// The store and the list of machines.
    pub store: store::Store,
    /// The workers by id.
    pub machines: collections::BTreeMap<id::WorkerId, machine::Machine>,
    /// The events that the workers recorded, for the checker.
    pub history: history::History,
    /// The hosts by index.
    hosts: Vec<Host>,
    /// The settings of all engines.
    settings: hall::Settings,
    /// The newest configuration.
    current: sync::Arc<hall::Current>,
    /// The list of machines, as last published.
    members: members::Members,
    /// The messages in flight, by time of arrival and number.
    messages: collections::BTreeMap<(time::Duration, u64), Message>,
    /// The number of messages sent so far.
    sent: u64,
    /// The workers that no host can reach.
    pub unreachable: collections::BTreeSet<id::WorkerId>,
    /// The workers that one host can't reach, with the index of that host.
    pub unreachable_from: collections::BTreeSet<(usize, id::WorkerId)>,
    /// The hosts that can't reach the store.
    pub without_store: collections::BTreeSet<usize>,
    /// Whether new configurations are withheld from all hosts but the holder.
    pub withhold_config: bool,
    /// The greatest delay of a message to or from a worker, in milliseconds.
    pub max_worker_delay_ms: u64,
    /// The random numbers of all draws, from the seed.
    rng: rand::rngs::SmallRng,
    /// The kill point that has not been reached yet.
    kill_point: Option<KillPoint>,
    /// The number of writes of control state so far.
    writes: usize,
}

impl World {
    /// Creates a simulation with hosts and without workers.
    #[must_use]
    pub fn new(hosts: usize, settings: hall::Settings, seed: u64) -> Self {
        let mut world = Self {
            now: time::Duration::ZERO,
            store: store::Store::default(),
            machines: collections::BTreeMap::new(),
            history: history::History::default(),
            hosts: Vec::new(),
            settings,
            current: sync::Arc::default(),
            members: members::Members::default(),
            messages: collections::BTreeMap::new(),
            sent: 0,
            unreachable: collections::BTreeSet::new(),
            unreachable_from: collections::BTreeSet::new(),
            without_store: collections::BTreeSet::new(),
            withhold_config: false,
            max_worker_delay_ms: MAX_DELAY_MS,
            rng: rand::rngs::SmallRng::seed_from_u64(seed),
            kill_point: None,
            writes: 0,
        };
        for number in 0..hosts {
            world.add_host(number);
        }
        world
    }

    /// Sets the kill point.
    pub fn set_kill_point(&mut self, at: KillPoint) {
        self.kill_point = Some(at);
    }

    /// Returns whether no kill point is left to reach.
    #[must_use]
    pub fn killed(&self) -> bool {
        self.kill_point.is_none()
    }

    /// Adds a worker to the list of machines.
    pub fn add_worker(&mut self, name: &str, capacity: size::Size) {
        let worker = id::WorkerId::from(name);
        let machine = machine::Machine::new(worker.clone(), capacity, 1, self.history.clone());
        let number = self.machines.len();
        let port = 1_000 + u16::try_from(number).unwrap_or(0);
        let addr = std::net::SocketAddr::from(([127, 0, 0, 1], port));
        let rack = format!("rack-{}", number / 8);
        let presence = members::Presence::Live;
        let member = members::Worker { addr, hall: HALL.into(), rack, presence };
        self.members.workers.insert(worker.clone(), member);
        self.machines.insert(worker, machine);
        self.publish_members();
    }

    /// Lists a worker as leaving: its stop is planned.
    pub fn leave(&mut self, worker: &str) {
        if let Some(member) = self.members.workers.get_mut(&worker.into()) {
            member.presence = members::Presence::Leaving;
        }
        self.publish_members();
    }

    /// Puts a desired state in force on every host.
    ///
    /// # Panics
    /// Panics if the text is not a valid desired state.
    pub fn apply(&mut self, text: &str) {
        let mut desired = desired::parse(text).unwrap_or_else(|faults| panic!("{faults:?}"));
        let revision = self.current.revision + 1;
        desired::check_update(&self.current.desired, &mut desired, revision)
            .unwrap_or_else(|faults| panic!("{faults:?}"));
        self.current = sync::Arc::new(hall::Current { revision, desired });
        let holder = self.holder();
        for at in 0..self.hosts.len() {
            if !self.withhold_config || holder == Some(at) {
                self.notify(at, hall::Event::Config(sync::Arc::clone(&self.current)));
            }
        }
    }

    /// Sends the newest configuration to every host, and no longer withholds configurations.
    pub fn publish_config(&mut self) {
        self.withhold_config = false;
        for at in 0..self.hosts.len() {
            self.notify(at, hall::Event::Config(sync::Arc::clone(&self.current)));
        }
    }

    /// Partitions the network: one host and one worker on one side; the store, the other hosts and
    /// the other workers on the other.
    pub fn partition(&mut self, host: usize, worker: &str) {
        self.without_store.insert(host);
        let isolated = id::WorkerId::from(worker);
        for at in 0..self.hosts.len() {
            let unreachable =
                self.machines.keys().filter(|name| (at == host) != (**name == isolated));
            self.unreachable_from.extend(unreachable.map(|name| (at, name.clone())));
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn current(&self) -> &hall::Current {
        &self.current
    }

    /// Returns the host that acts as the holder; if several do, the one with the highest epoch.
    #[must_use]
    pub fn holder(&self) -> Option<usize> {
        let holders = self.hosts.iter().enumerate().filter_map(|(at, host)| {
            let holding = host.engine.as_ref()?.holding()?;
            Some((holding.head().epoch, at))
        });
        holders.max().map(|(_, at)| at)
    }

    /// Returns the state of the holder.
    #[must_use]
    pub fn holding(&self) -> Option<&hall::Holding> {
        self.hosts[self.holder()?].engine.as_ref()?.holding()
    }

    /// Kills a host; it starts again only on demand.
    pub fn kill(&mut self, at: usize) {
        self.hosts[at].engine = None;
        self.hosts[at].inbox.clear();
        self.hosts[at].incarnation += 1;
    }

    /// Starts every host that is down.
    pub fn restart_all(&mut self) {
        for at in 0..self.hosts.len() {
            if self.hosts[at].engine.is_none() {
                self.start(at);
            }
        }
    }

    /// Freezes a host.
    pub fn freeze(&mut self, at: usize) {
        self.hosts[at].frozen = true;
    }

    /// Thaws every frozen host, which then handles the events that arrived meanwhile.
    pub fn thaw_all(&mut self) {
        for at in 0..self.hosts.len() {
            self.hosts[at].frozen = false;
            for event in std::mem::take(&mut self.hosts[at].inbox) {
                self.step_host(at, event);
            }
        }
    }

    /// Passes an event to the holder.
    pub fn send_to_holder(&mut self, event: hall::Event) {
        if let Some(at) = self.holder() {
            self.notify(at, event);
        }
    }

    /// Asks a host to stop.
    pub fn request_leave(&mut self, at: usize) {
        self.notify(at, hall::Event::Leave);
    }

    /// Advances virtual time to `end`.
    pub fn run_until(&mut self, end: time::Duration) {
        while self.now < end {
            self.now += STEP;
            for machine in self.machines.values_mut() {
                machine.tick(self.now);
            }
            self.restart_due();
            self.deliver();
            for at in 0..self.hosts.len() {
                if !self.hosts[at].frozen {
                    self.step_host(at, hall::Event::Tick);
                }
            }
        }
    }

    /// Adds a host and starts it.
    fn add_host(&mut self, number: usize) {
        let name = id::HostId::from(format!("entry-{number}").as_str());
        let peer_addr = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let presence = members::Presence::Live;
        self.members.hosts.insert(name.clone(), members::Host { peer_addr, presence });
        self.hosts.push(Host {
            name,
            engine: None,
            incarnation: 0,
            frozen: false,
            inbox: Vec::new(),
            restart: None,
        });
        self.publish_members();
        self.start(number);
    }

    /// Starts a host with a new engine.
    fn start(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        host.incarnation += 1;
        host.restart = None;
        let nonce = host.incarnation;
        let withheld = self.withhold_config;
        let engine = hall::Engine::new(HALL.into(), host.name.clone(), self.settings, nonce);
        host.engine = Some(engine);
        self.notify(at, hall::Event::Members(sync::Arc::new(self.members.clone())));
        if self.current.revision > 0 && !withheld {
            self.notify(at, hall::Event::Config(sync::Arc::clone(&self.current)));
        }
    }

    /// Starts the hosts whose scheduled start is due.
    fn restart_due(&mut self) {
        for at in 0..self.hosts.len() {
            if self.hosts[at].restart.is_some_and(|due| due <= self.now) {
                self.start(at);
            }
        }
    }

    /// Publishes the list of machines in the store and to every host.
    fn publish_members(&mut self) {
        self.store.set_members(self.members.clone());
        if let Ok(members) = self.store.members() {
            self.members.version = members.version;
        }
        for at in 0..self.hosts.len() {
            self.notify(at, hall::Event::Members(sync::Arc::new(self.members.clone())));
        }
    }

    /// Passes an event to a host, or queues it while the host is frozen.
    fn notify(&mut self, at: usize, event: hall::Event) {
        if self.hosts[at].frozen {
            self.hosts[at].inbox.push(event);
        } else {
            self.step_host(at, event);
        }
    }

    /// Passes an event to the engine of a host, and sends the effects that it returns.
    fn step_host(&mut self, at: usize, event: hall::Event) {
        let now = self.now;
        let Some(engine) = &mut self.hosts[at].engine else {
            return;
        };
        for effect in engine.step(now, event) {
            if !self.send(at, effect) {
                return;
            }
        }
    }

    /// Sends one effect of a host; returns false if the kill point is reached and the host is now
    /// down.
    fn send(&mut self, at: usize, effect: hall::Effect) -> bool {
        let is_write = match &effect {
            hall::Effect::Txn(_) | hall::Effect::Store(..) | hall::Effect::Delete(_) => true,
            hall::Effect::Sync(_, sync) => !sync.commands.is_empty(),
            hall::Effect::ReadHead | hall::Effect::Load(_) => false,
        };
        self.writes += usize::from(is_write);
        let dies_before = is_write && self.kill_point == Some(KillPoint::Before(self.writes));
        let dies_after = is_write && self.kill_point == Some(KillPoint::After(self.writes));
        let incarnation = self.hosts[at].incarnation;
        if !dies_before {
            let delay = self.draw_delay(&effect);
            self.enqueue(delay, Message::Out(at, incarnation, effect));
        }
        if dies_before || dies_after {
            self.kill_point = None;
            self.kill(at);
            self.hosts[at].restart = Some(self.now + KILLED_HOST_DOWNTIME);
            return false;
        }
        true
    }

    /// Draws the delay of a message in one direction.
    fn draw_delay(&mut self, effect: &hall::Effect) -> time::Duration {
        let max_ms = match effect {
            hall::Effect::Sync(..) => self.max_worker_delay_ms,
            _ => MAX_DELAY_MS + self.store.faults.slow_ms,
        };
        time::Duration::from_millis(self.rng.random_range(1..=max_ms))
    }

    /// Sends a message that arrives after a delay.
    fn enqueue(&mut self, delay: time::Duration, message: Message) {
        self.sent += 1;
        self.messages.insert((self.now + delay, self.sent), message);
    }

    /// Delivers the messages that are due.
    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            match entry.remove() {
                Message::Out(at, incarnation, effect) => {
                    if let Some(event) = self.perform(at, &effect) {
                        let delay = self.draw_delay(&effect);
                        self.enqueue(delay, Message::Back(at, incarnation, Box::new(event)));
                    }
                }
                Message::Back(at, incarnation, event) => {
                    if self.hosts[at].incarnation == incarnation {
                        self.notify(at, *event);
                    }
                }
            }
        }
    }

    /// Performs an effect at the store or a worker, and returns the answer, if any.
    fn perform(&mut self, at: usize, effect: &hall::Effect) -> Option<hall::Event> {
        let hall = id::HallId::from(HALL);
        if self.without_store.contains(&at) {
            match effect {
                hall::Effect::ReadHead => return Some(hall::Event::HeadFailed),
                hall::Effect::Load(_) => return Some(hall::Event::LoadFailed),
                hall::Effect::Txn(_) => return Some(hall::Event::Txn(None)),
                hall::Effect::Store(..) | hall::Effect::Delete(_) | hall::Effect::Sync(..) => {}
            }
        }
        Some(match effect {
            hall::Effect::ReadHead => match self.store.read(&[hall::head_key(&hall)]) {
                Ok(rows) => hall::Event::Head(rows.first().and_then(parse_head)),
                Err(_) => hall::Event::HeadFailed,
            },
            hall::Effect::Load(snapshot) => self.load(&hall, snapshot.as_ref()),
            hall::Effect::Txn(txn) => hall::Event::Txn(self.store.transact(txn).ok()),
            hall::Effect::Store(snapshot, text) => {
                let put = self.store.put_object(&snapshot.key, text.clone());
                let seq = if put.is_ok() { snapshot.seq } else { 0 };
                hall::Event::Stored(lease::Snapshot { seq, ..snapshot.clone() })
            }
            hall::Effect::Delete(snapshot) => {
                let _ = self.store.delete_object(&snapshot.key);
                return None;
            }
            hall::Effect::Sync(_, sync) => {
                let unreachable = self.unreachable_from.contains(&(at, sync.worker.clone()));
                if unreachable || self.unreachable.contains(&sync.worker) {
                    return None;
                }
                let now = self.now;
                let machine = self.machines.get_mut(&sync.worker)?;
                let answer = Some(machine.sync(now, sync));
                hall::Event::Synced { worker: sync.worker.clone(), seq: sync.seq, answer }
            }
        })
    }

    /// Reads the snapshot and the log.
    fn load(&mut self, hall: &id::HallId, snapshot: Option<&lease::Snapshot>) -> hall::Event {
        let text = match snapshot.map(|snapshot| self.store.get_object(&snapshot.key)) {
            None => None,
            Some(Ok(text)) => text,
            Some(Err(_)) => return hall::Event::LoadFailed,
        };
        match self.store.scan(&hall::log_prefix(hall)) {
            Ok(log) => hall::Event::Loaded { snapshot: text, log },
            Err(_) => hall::Event::LoadFailed,
        }
    }

    /// Delivers a message to a worker again, as a network might duplicate it.
    pub fn replay_sync(&mut self, sync: &work::Sync) -> Option<work::Answer> {
        let now = self.now;
        Some(self.machines.get_mut(&sync.worker)?.sync(now, sync))
    }
}

/// Parses a head row into its version and value.
fn parse_head(row: &platform::Row) -> Option<(u64, lease::Head)> {
    Some((row.version, serde_json::from_str(&row.value).ok()?))
}
