//! One hall on one host: watches its lease, and as its holder places and follows its tasks.
//!
//! The engine neither sends nor waits: events go in, effects come out.

mod cost;
mod disturb;
mod dump;
mod holding;
mod log;
mod plan;
mod slot;
mod spec;
mod sync;
mod table;
mod view;

use std::sync as std_sync;
use std::time;

use crate::commit;
use crate::desired;
use crate::digest;
use crate::endpoints;
use crate::id;
use crate::interference;
use crate::lease;
use crate::members;
use crate::placement;
use crate::platform;
use crate::rendezvous;
use crate::work;

pub use dump::{Dump, WorkerDump};
pub use holding::{Action, Counters, Decision, Holding};
pub use log::{head_key, log_key, log_prefix};
pub use slot::WaitReason;

/// How an engine is timed.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The lease of a hall and the wait of lower ranks.
    pub timing: lease::Timing,
    /// The time between two reads of a head row that another host holds.
    pub poll: time::Duration,
    /// The least time between two commits.
    pub commit: time::Duration,
    /// The time between two messages to a worker without news.
    pub sync: time::Duration,
    /// The lease of tasks on a worker.
    pub worker_lease: time::Duration,
    /// What is added to a lease for clocks that run apart.
    pub margin: time::Duration,
    /// How long a holder may renew tasks without a commit of its own.
    pub authority: time::Duration,
    /// How long an endpoint on a leaving worker is kept for requests under way.
    pub drain: time::Duration,
    /// The number of commits between two snapshots.
    pub snapshot_every: u64,
    /// How patient the holder is with a disturbance.
    pub throttle_policy: interference::ThrottlePolicy,
    /// How the concerns of placement weigh.
    pub weights: placement::Weights,
}

impl Default for Settings {
    fn default() -> Self {
        let secs = time::Duration::from_secs;
        let millis = time::Duration::from_millis;
        Self {
            timing: lease::Timing { lease: secs(4), turn: secs(1) },
            poll: secs(1),
            commit: millis(300),
            sync: secs(1),
            worker_lease: secs(20),
            margin: secs(2),
            authority: secs(1_800),
            drain: secs(5),
            snapshot_every: 200,
            throttle_policy: interference::ThrottlePolicy::default(),
            weights: placement::Weights::default(),
        }
    }
}

/// A configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Current {
    /// The revision.
    pub revision: u64,
    /// What it asks for.
    pub desired: desired::Desired,
}

/// What happens to an engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The head row was read: a version and a value, or nothing for an absent row.
    Head(Option<(u64, lease::Head)>),
    /// The head row could not be read.
    HeadFailed,
    /// The snapshot and the log were read.
    Loaded {
        /// The snapshot's text, where the head row names one.
        snapshot: Option<String>,
        /// The rows of the log.
        log: Vec<platform::Row>,
    },
    /// The snapshot or the log could not be read.
    LoadFailed,
    /// A transaction was answered, or its answer was lost.
    Txn(Option<platform::TxnAnswer>),
    /// A snapshot was stored.
    Stored(lease::Snapshot),
    /// A worker answered a message, or no answer came.
    Synced {
        /// The worker.
        worker: id::WorkerId,
        /// The message's number.
        seq: u64,
        /// The answer.
        answer: Option<work::Answer>,
    },
    /// A configuration came into force.
    Config(std_sync::Arc<Current>),
    /// The list of members changed.
    Members(std_sync::Arc<members::Members>),
    /// A host told what it saw of the hall's endpoints.
    Digest(digest::Digest),
    /// Another holder told the hall's endpoints.
    Table(endpoints::Table),
    /// The harm of pairs is known from elsewhere.
    Harms(interference::Model),
    /// This host is about to stop.
    Leave,
}

/// What an engine asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Read the head row.
    ReadHead,
    /// Read the snapshot and the log.
    Load(Option<lease::Snapshot>),
    /// Send a transaction.
    Txn(platform::Txn),
    /// Store a snapshot.
    Store(lease::Snapshot, String),
    /// Delete a snapshot that no head row names any more.
    Delete(lease::Snapshot),
    /// Send a message to a worker.
    Sync(std::net::SocketAddr, work::Sync),
}

/// What an engine is to its hall.
#[derive(Debug)]
enum Role {
    /// Another host may hold the hall.
    Watching,
    /// The lease is being taken.
    Acquiring(commit::Committer),
    /// The lease is taken and the state is being read.
    Loading(commit::Committer),
    /// The hall is held.
    Holding(Box<Holding>),
}

/// One hall on one host.
#[derive(Debug)]
pub struct Engine {
    /// The hall.
    hall: id::HallId,
    /// This host.
    own: id::HostId,
    /// The times.
    settings: Settings,
    /// What this host is to the hall.
    role: Role,
    /// What was seen of the head row.
    observer: lease::Observer,
    /// The head row seen last, with its version.
    seen: Option<(u64, lease::Head)>,
    /// When the head row was last asked for.
    polled: Option<time::Duration>,
    /// The configuration in force.
    current: Option<std_sync::Arc<Current>>,
    /// The members of the platform's list.
    members: std_sync::Arc<members::Members>,
    /// The endpoints that another holder told last.
    known: Option<endpoints::Table>,
    /// Whether this host is about to stop.
    leaving: bool,
    /// The mark of this process in tokens.
    nonce: u64,
    /// The number of tokens made.
    tokens: u64,
}

impl Engine {
    /// Makes an engine that watches; `nonce` differs between any two processes.
    #[must_use]
    pub fn new(hall: id::HallId, own: id::HostId, settings: Settings, nonce: u64) -> Self {
        Self {
            hall,
            own,
            settings,
            role: Role::Watching,
            observer: lease::Observer::default(),
            seen: None,
            polled: None,
            current: None,
            members: std_sync::Arc::default(),
            known: None,
            leaving: false,
            nonce,
            tokens: 0,
        }
    }

    /// Takes an event and returns what is to be done.
    pub fn step(&mut self, now: time::Duration, event: Event) -> Vec<Effect> {
        match event {
            Event::Tick => return self.tick(now),
            Event::Head(row) => return self.head_read(now, row),
            Event::HeadFailed => {}
            Event::Loaded { snapshot, log } => return self.loaded(now, snapshot, &log),
            Event::LoadFailed => {}
            Event::Txn(answer) => return self.txn_answered(now, answer.as_ref()),
            Event::Stored(snapshot) => {
                if let Some(holding) = self.holding_mut() {
                    holding.stored(snapshot);
                }
            }
            Event::Synced { worker, seq, answer } => {
                return self.synced(now, &worker, seq, answer);
            }
            Event::Config(current) => {
                if let Role::Holding(holding) = &mut self.role {
                    holding.set_current(&current, now);
                }
                self.current = Some(current);
            }
            Event::Members(members) => {
                if let Role::Holding(holding) = &mut self.role {
                    holding.set_members(&members, now);
                }
                self.members = members;
            }
            Event::Digest(digest) => {
                if let Role::Holding(holding) = &mut self.role {
                    holding.note_digest(&digest);
                }
            }
            Event::Table(table) => {
                if self.known.as_ref().is_none_or(|known| table.newer_than(known)) {
                    self.known = Some(table);
                }
            }
            Event::Harms(harms) => {
                if let Role::Holding(holding) = &mut self.role {
                    holding.harms = harms;
                }
            }
            Event::Leave => self.leaving = true,
        }
        Vec::new()
    }

    /// Returns what the holder keeps, if this host holds the hall.
    #[must_use]
    pub fn holding(&self) -> Option<&Holding> {
        match &self.role {
            Role::Holding(holding) => Some(holding),
            _ => None,
        }
    }

    /// Returns the head row seen last.
    #[must_use]
    pub fn seen(&self) -> Option<&lease::Head> {
        self.seen.as_ref().map(|(_, head)| head)
    }

    /// Returns whether this host has nothing of the hall left to give up.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        matches!(self.role, Role::Watching)
    }

    /// Returns the endpoints of the hall, if this host holds it.
    #[must_use]
    pub fn table(&self) -> Option<&endpoints::Table> {
        self.holding().and_then(Holding::table)
    }

    /// Returns the holder's state, if this host holds the hall.
    fn holding_mut(&mut self) -> Option<&mut Holding> {
        match &mut self.role {
            Role::Holding(holding) => Some(holding),
            _ => None,
        }
    }

    /// Does what is due.
    fn tick(&mut self, now: time::Duration) -> Vec<Effect> {
        let token = self.token();
        match &mut self.role {
            Role::Holding(holding) => holding.tick(now, token, self.leaving),
            Role::Loading(committer) if due(&mut self.polled, self.settings.poll, now) => {
                vec![Effect::Load(committer.head().snapshot.clone())]
            }
            Role::Watching | Role::Acquiring(_)
                if due(&mut self.polled, self.settings.poll, now) =>
            {
                vec![Effect::ReadHead]
            }
            Role::Loading(_) | Role::Watching | Role::Acquiring(_) => Vec::new(),
        }
    }

    /// Takes the head row as it was read.
    fn head_read(&mut self, now: time::Duration, row: Option<(u64, lease::Head)>) -> Vec<Effect> {
        let version = row.as_ref().map_or(0, |(version, _)| *version);
        let step = match &mut self.role {
            Role::Watching => return self.observed(now, version, row),
            Role::Acquiring(committer) => {
                committer.read_back(version, row.as_ref().map(|(_, head)| head))
            }
            Role::Loading(_) => return Vec::new(),
            Role::Holding(holding) => holding.read_back(version, row.as_ref().map(|(_, h)| h)),
        };
        self.follow(now, step)
    }

    /// Takes the lease if it is free and this host's turn has come.
    fn observed(
        &mut self,
        now: time::Duration,
        version: u64,
        row: Option<(u64, lease::Head)>,
    ) -> Vec<Effect> {
        let gap = self.settings.timing.lease / 2;
        self.observer.observe(version, gap, now);
        if self.seen.as_ref().is_none_or(|(seen, _)| *seen <= version) {
            self.seen = row;
        }
        let rank = self.rank();
        let head = self.seen.as_ref().map(|(_, head)| head);
        if self.leaving || !self.observer.may_take(head, rank, &self.settings.timing, now) {
            return Vec::new();
        }
        self.take(version)
    }

    /// Begins to take the lease.
    fn take(&mut self, version: u64) -> Vec<Effect> {
        let before = self.seen.as_ref().map(|(_, head)| head.clone()).unwrap_or_default();
        let head = lease::Head {
            holder: Some(self.own.clone()),
            epoch: before.epoch + 1,
            token: self.token(),
            ..before.clone()
        };
        let key = head_key(&self.hall);
        let mut committer = commit::Committer::new(&key, version, before);
        let Ok(txn) = committer.begin(head, Vec::new()) else {
            return Vec::new();
        };
        self.role = Role::Acquiring(committer);
        vec![Effect::Txn(txn)]
    }

    /// Takes the answer to a transaction.
    fn txn_answered(
        &mut self,
        now: time::Duration,
        answer: Option<&platform::TxnAnswer>,
    ) -> Vec<Effect> {
        let step = match &mut self.role {
            Role::Acquiring(committer) => committer.answered(answer),
            Role::Holding(holding) => holding.answered(answer),
            Role::Watching | Role::Loading(_) => commit::Step::Idle,
        };
        self.follow(now, step)
    }

    /// Does what the writer asks for.
    fn follow(&mut self, now: time::Duration, step: commit::Step) -> Vec<Effect> {
        match step {
            commit::Step::Idle => Vec::new(),
            commit::Step::Send(txn) => vec![Effect::Txn(txn)],
            commit::Step::ReadBack => {
                self.polled = Some(now);
                if let Some(holding) = self.holding_mut() {
                    holding.doubt(now);
                }
                vec![Effect::ReadHead]
            }
            commit::Step::Lost => self.step_down(now),
            commit::Step::Committed => self.committed(now),
        }
    }

    /// Goes on after a commit.
    fn committed(&mut self, now: time::Duration) -> Vec<Effect> {
        if let Role::Holding(holding) = &mut self.role {
            let old = holding.committed(now);
            self.seen = Some((0, holding.head().clone()));
            if holding.head().holder.is_none() {
                return self.step_down(now);
            }
            return old.map(Effect::Delete).into_iter().collect();
        }
        if let Role::Acquiring(committer) = &self.role {
            let committer = committer.clone();
            let snapshot = committer.head().snapshot.clone();
            self.polled = Some(now);
            self.role = Role::Loading(committer);
            return vec![Effect::Load(snapshot)];
        }
        Vec::new()
    }

    /// Takes the state that was read, if it is whole.
    fn loaded(
        &mut self,
        now: time::Duration,
        snapshot: Option<String>,
        log: &[platform::Row],
    ) -> Vec<Effect> {
        let Role::Loading(committer) = &self.role else {
            return Vec::new();
        };
        let head = committer.head();
        // A stale read may lack rows: it is asked again until the log is whole.
        let Some(task_table) = log::replay(&self.hall, head, snapshot.as_deref(), log) else {
            return Vec::new();
        };
        let mut holding =
            Holding::new(self.hall.clone(), self.settings, committer.clone(), task_table, now);
        holding.set_members(&self.members, now);
        holding.set_known(self.known.as_ref());
        if let Some(current) = &self.current {
            holding.set_current(current, now);
        }
        self.role = Role::Holding(Box::new(holding));
        self.tick(now)
    }

    /// Takes a worker's answer.
    fn synced(
        &mut self,
        now: time::Duration,
        worker: &id::WorkerId,
        seq: u64,
        answer: Option<work::Answer>,
    ) -> Vec<Effect> {
        let Some(holding) = self.holding_mut() else {
            return Vec::new();
        };
        let fenced = holding.synced(now, worker, seq, answer);
        if fenced { self.step_down(now) } else { Vec::new() }
    }

    /// Gives up everything but the watch.
    fn step_down(&mut self, now: time::Duration) -> Vec<Effect> {
        self.role = Role::Watching;
        self.observer = lease::Observer::default();
        self.seen = None;
        self.polled = Some(now);
        Vec::new()
    }

    /// Returns how many live hosts go before this one for the hall.
    fn rank(&self) -> usize {
        let live = self
            .members
            .hosts
            .iter()
            .filter(|(_, host)| host.presence == members::Presence::Live)
            .map(|(name, _)| name.as_str());
        rendezvous::rank(live, self.own.as_str(), self.hall.as_str())
    }

    /// Makes a token that no other transaction has.
    fn token(&mut self) -> String {
        self.tokens += 1;
        format!("{}-{:x}-{}", self.own, self.nonce, self.tokens)
    }
}

/// Returns whether an interval has passed, and starts the next.
fn due(last: &mut Option<time::Duration>, every: time::Duration, now: time::Duration) -> bool {
    let due = last.is_none_or(|last| now.saturating_sub(last) >= every);
    if due {
        *last = Some(now);
    }
    due
}
