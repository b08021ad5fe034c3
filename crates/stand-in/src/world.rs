//! One hall in virtual time: engines on hosts, the store and workers, with failures switched on.

use std::collections;
use std::sync;
use std::time;

use rand::{RngExt as _, SeedableRng as _};
use wharflane::{desired, hall, id, lease, members, platform, size, work};

use crate::history;
use crate::machine;
use crate::store;

/// The hall of the world.
pub const HALL: &str = "hall";
/// How finely time passes.
const STEP: time::Duration = time::Duration::from_millis(20);
/// The longest way of a message, in milliseconds, unless workers are slow.
const WAY_MS: u64 = 15;
/// How long a killed host is away in a walk over all kill points.
const AWAY: time::Duration = time::Duration::from_secs(4);

/// When a host is killed, counted in writes of control state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KillAt {
    /// Before the write leaves the host.
    Before(usize),
    /// After the write has left the host and before its answer.
    After(usize),
}

/// A message on its way.
#[derive(Debug)]
enum Message {
    /// To the store or a worker, from an incarnation of a host.
    Out(usize, u64, hall::Effect),
    /// Back to an incarnation of a host.
    Back(usize, u64, Box<hall::Event>),
}

/// A host of the world.
#[derive(Debug)]
struct Host {
    /// Its name.
    name: id::HostId,
    /// The engine, while the host lives.
    engine: Option<hall::Engine>,
    /// Grows with every start.
    incarnation: u64,
    /// Whether it is frozen: it neither works nor hears.
    frozen: bool,
    /// What came while it was frozen.
    inbox: Vec<hall::Event>,
    /// When it starts again.
    restart: Option<time::Duration>,
}

/// The world.
#[derive(Debug)]
pub struct World {
    /// The time.
    pub now: time::Duration,
    /// The store.
    pub store: store::Store,
    /// The workers.
    pub machines: collections::BTreeMap<id::WorkerId, machine::Machine>,
    /// What the workers saw.
    pub history: history::History,
    /// The hosts.
    hosts: Vec<Host>,
    /// The times of the engines.
    settings: hall::Settings,
    /// The configuration in force.
    current: sync::Arc<hall::Current>,
    /// The list of machines.
    members: members::Members,
    /// Messages on their way.
    messages: collections::BTreeMap<(time::Duration, u64), Message>,
    /// The number of messages sent.
    sent: u64,
    /// Workers that no host reaches.
    pub cut: collections::BTreeSet<id::WorkerId>,
    /// Workers that one host does not reach.
    pub cut_from: collections::BTreeSet<(usize, id::WorkerId)>,
    /// Hosts that do not reach the store.
    pub no_store: collections::BTreeSet<usize>,
    /// Whether only the holder hears of new configurations.
    pub config_lags: bool,
    /// The longest way to a worker and back, in milliseconds.
    pub worker_way_ms: u64,
    /// Chance.
    rng: rand::rngs::SmallRng,
    /// When a host is killed.
    kill_at: Option<KillAt>,
    /// Writes of control state so far.
    writes: usize,
}

impl World {
    /// Makes a world without workers.
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
            cut: collections::BTreeSet::new(),
            cut_from: collections::BTreeSet::new(),
            no_store: collections::BTreeSet::new(),
            config_lags: false,
            worker_way_ms: WAY_MS,
            rng: rand::rngs::SmallRng::seed_from_u64(seed),
            kill_at: None,
            writes: 0,
        };
        for number in 0..hosts {
            world.add_host(number);
        }
        world
    }

    /// Kills a host at a write of control state.
    pub fn kill_at(&mut self, at: KillAt) {
        self.kill_at = Some(at);
    }

    /// Returns whether the write at which a host is killed has been reached.
    #[must_use]
    pub fn killed(&self) -> bool {
        self.kill_at.is_none()
    }

    /// Adds a worker.
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
        self.show_members();
    }

    /// Plans the stop of a worker.
    pub fn leave(&mut self, worker: &str) {
        if let Some(member) = self.members.workers.get_mut(&worker.into()) {
            member.presence = members::Presence::Leaving;
        }
        self.show_members();
    }

    /// Puts a desired state in force on every host.
    ///
    /// # Panics
    /// Panics on a text with faults.
    pub fn apply(&mut self, text: &str) {
        let mut desired = desired::parse(text).unwrap_or_else(|faults| panic!("{faults:?}"));
        let revision = self.current.revision + 1;
        desired::check_update(&self.current.desired, &mut desired, revision)
            .unwrap_or_else(|faults| panic!("{faults:?}"));
        self.current = sync::Arc::new(hall::Current { revision, desired });
        let holder = self.holder();
        for at in 0..self.hosts.len() {
            if !self.config_lags || holder == Some(at) {
                self.tell(at, hall::Event::Config(sync::Arc::clone(&self.current)));
            }
        }
    }

    /// Lets every host hear of the newest configuration.
    pub fn catch_up(&mut self) {
        self.config_lags = false;
        for at in 0..self.hosts.len() {
            self.tell(at, hall::Event::Config(sync::Arc::clone(&self.current)));
        }
    }

    /// Splits the network: one host and one worker here, everything else there.
    pub fn split(&mut self, host: usize, worker: &str) {
        self.no_store.insert(host);
        let alone = id::WorkerId::from(worker);
        for at in 0..self.hosts.len() {
            let apart = self.machines.keys().filter(|name| (at == host) != (**name == alone));
            self.cut_from.extend(apart.map(|name| (at, name.clone())));
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn current(&self) -> &hall::Current {
        &self.current
    }

    /// Returns the host that acts as the holder, the one with the highest epoch first.
    #[must_use]
    pub fn holder(&self) -> Option<usize> {
        let holders = self.hosts.iter().enumerate().filter_map(|(at, host)| {
            let holding = host.engine.as_ref()?.holding()?;
            Some((holding.head().epoch, at))
        });
        holders.max().map(|(_, at)| at)
    }

    /// Returns the holder's state.
    #[must_use]
    pub fn holding(&self) -> Option<&hall::Holding> {
        self.hosts[self.holder()?].engine.as_ref()?.holding()
    }

    /// Kills a host; it starts again only when told.
    pub fn kill(&mut self, at: usize) {
        self.hosts[at].engine = None;
        self.hosts[at].inbox.clear();
        self.hosts[at].incarnation += 1;
    }

    /// Starts every host that is dead.
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

    /// Lets every frozen host go on, with all that came meanwhile.
    pub fn thaw_all(&mut self) {
        for at in 0..self.hosts.len() {
            self.hosts[at].frozen = false;
            for event in std::mem::take(&mut self.hosts[at].inbox) {
                self.step_host(at, event);
            }
        }
    }

    /// Tells the holder something that its host would know.
    pub fn tell_holder(&mut self, event: hall::Event) {
        if let Some(at) = self.holder() {
            self.tell(at, event);
        }
    }

    /// Asks the holder to stop.
    pub fn ask_to_leave(&mut self, at: usize) {
        self.tell(at, hall::Event::Leave);
    }

    /// Lets time pass until a moment.
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

    /// Adds a host.
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
        self.show_members();
        self.start(number);
    }

    /// Starts a host.
    fn start(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        host.incarnation += 1;
        host.restart = None;
        let nonce = host.incarnation;
        let lags = self.config_lags;
        let engine = hall::Engine::new(HALL.into(), host.name.clone(), self.settings, nonce);
        host.engine = Some(engine);
        self.tell(at, hall::Event::Members(sync::Arc::new(self.members.clone())));
        if self.current.revision > 0 && !lags {
            self.tell(at, hall::Event::Config(sync::Arc::clone(&self.current)));
        }
    }

    /// Starts the hosts whose time has come.
    fn restart_due(&mut self) {
        for at in 0..self.hosts.len() {
            if self.hosts[at].restart.is_some_and(|due| due <= self.now) {
                self.start(at);
            }
        }
    }

    /// Shows the list of machines to every host.
    fn show_members(&mut self) {
        self.store.set_members(self.members.clone());
        if let Ok(members) = self.store.members() {
            self.members.version = members.version;
        }
        for at in 0..self.hosts.len() {
            self.tell(at, hall::Event::Members(sync::Arc::new(self.members.clone())));
        }
    }

    /// Tells a host something, or keeps it while the host is frozen.
    fn tell(&mut self, at: usize, event: hall::Event) {
        if self.hosts[at].frozen {
            self.hosts[at].inbox.push(event);
        } else {
            self.step_host(at, event);
        }
    }

    /// Lets a host take an event, and sends what it asks for.
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

    /// Sends what a host asks for; returns whether the host still lives.
    fn send(&mut self, at: usize, effect: hall::Effect) -> bool {
        let is_write = match &effect {
            hall::Effect::Txn(_) | hall::Effect::Store(..) | hall::Effect::Delete(_) => true,
            hall::Effect::Sync(_, sync) => !sync.commands.is_empty(),
            hall::Effect::ReadHead | hall::Effect::Load(_) => false,
        };
        self.writes += usize::from(is_write);
        let dies_before = is_write && self.kill_at == Some(KillAt::Before(self.writes));
        let dies_after = is_write && self.kill_at == Some(KillAt::After(self.writes));
        let incarnation = self.hosts[at].incarnation;
        if !dies_before {
            let way = self.way(&effect);
            self.post(way, Message::Out(at, incarnation, effect));
        }
        if dies_before || dies_after {
            self.kill_at = None;
            self.kill(at);
            self.hosts[at].restart = Some(self.now + AWAY);
            return false;
        }
        true
    }

    /// Returns how long a message takes.
    fn way(&mut self, effect: &hall::Effect) -> time::Duration {
        let longest_ms = match effect {
            hall::Effect::Sync(..) => self.worker_way_ms,
            _ => WAY_MS + self.store.faults.slow_ms,
        };
        time::Duration::from_millis(self.rng.random_range(1..=longest_ms))
    }

    /// Puts a message on its way.
    fn post(&mut self, way: time::Duration, message: Message) {
        self.sent += 1;
        self.messages.insert((self.now + way, self.sent), message);
    }

    /// Delivers every message whose time has come.
    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            match entry.remove() {
                Message::Out(at, incarnation, effect) => {
                    if let Some(event) = self.carry_out(at, &effect) {
                        let way = self.way(&effect);
                        self.post(way, Message::Back(at, incarnation, Box::new(event)));
                    }
                }
                Message::Back(at, incarnation, event) => {
                    if self.hosts[at].incarnation == incarnation {
                        self.tell(at, *event);
                    }
                }
            }
        }
    }

    /// Carries out what a host asked for, and returns the answer if one comes.
    fn carry_out(&mut self, at: usize, effect: &hall::Effect) -> Option<hall::Event> {
        let hall = id::HallId::from(HALL);
        if self.no_store.contains(&at) {
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
                let apart = self.cut_from.contains(&(at, sync.worker.clone()));
                if apart || self.cut.contains(&sync.worker) {
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

    /// Sends an old message of a worker's incarnation again, as a network might.
    pub fn replay(&mut self, sync: &work::Sync) -> Option<work::Answer> {
        let now = self.now;
        Some(self.machines.get_mut(&sync.worker)?.sync(now, sync))
    }
}

/// Reads a head row's version and value.
fn parse_head(row: &platform::Row) -> Option<(u64, lease::Head)> {
    Some((row.version, serde_json::from_str(&row.value).ok()?))
}
