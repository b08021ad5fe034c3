//! The scheduling engine of one hall on one host.
//!
//! The engine observes the hall's lease and acquires it when it is free. While this host holds the
//! lease, the engine places the hall's tasks on workers. It performs no I/O and never blocks: the
//! host passes events in and executes the effects that come out.

mod cost;
mod dump;
mod holding;
mod log;
mod mitigation;
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

/// Intervals, leases and policies of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The lease of a hall and the additional wait of lower ranks.
    pub timing: lease::Timing,
    /// The interval between reads of a head row that another host holds.
    pub poll: time::Duration,
    /// The minimum time between two commits.
    pub commit: time::Duration,
    /// The interval between messages to a worker that has no pending update.
    pub sync: time::Duration,
    /// The lease of tasks on a worker.
    pub worker_lease: time::Duration,
    /// The tolerance for clock drift, added to every task lease before it counts as expired.
    pub margin: time::Duration,
    /// How long after its last successful commit a holder may still renew task leases.
    pub authority: time::Duration,
    /// How long the endpoints of a leaving worker keep running for requests in flight.
    pub drain: time::Duration,
    /// The number of commits between two snapshots.
    pub snapshot_every: u64,
    /// The thresholds for throttling batch tasks that interfere with a service.
    pub throttle_policy: interference::ThrottlePolicy,
    /// The weights of the placement cost.
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
    /// The revision number of the configuration.
    pub revision: u64,
    /// The desired state that the configuration declares.
    pub desired: desired::Desired,
}

/// The inputs of an engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The head row was read, with its version; `None` means that it is absent.
    Head(Option<(u64, lease::Head)>),
    /// The head row could not be read.
    HeadFailed,
    /// The snapshot and the log were read.
    Loaded {
        /// The text of the snapshot, if the head row refers to one.
        snapshot: Option<String>,
        /// The rows of the log.
        log: Vec<platform::Row>,
    },
    /// The snapshot or the log could not be read.
    LoadFailed,
    /// A transaction was answered; `None` means that the answer was lost.
    Txn(Option<platform::TxnAnswer>),
    /// A snapshot upload ended; a sequence number of zero means that it failed.
    Stored(lease::Snapshot),
    /// A worker answered a message, or the message timed out.
    Synced {
        /// The worker that the message was sent to.
        worker: id::WorkerId,
        /// The sequence number of the message.
        seq: u64,
        /// The worker's answer; `None` if there is none.
        answer: Option<work::Answer>,
    },
    /// A configuration took effect.
    Config(std_sync::Arc<Current>),
    /// The platform's list of members changed.
    Members(std_sync::Arc<members::Members>),
    /// A host reported its observations of the hall's endpoints.
    Digest(digest::Digest),
    /// Another holder published the hall's endpoints.
    Table(endpoints::Table),
    /// The interference model is set from an external source.
    Harms(interference::Model),
    /// This host is about to stop.
    Leave,
}

/// The outputs of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Read the head row.
    ReadHead,
    /// Read the snapshot, if there is one, and the log.
    Load(Option<lease::Snapshot>),
    /// Send a transaction.
    Txn(platform::Txn),
    /// Upload a snapshot with this text.
    Store(lease::Snapshot, String),
    /// Delete a snapshot that no head row refers to any more.
    Delete(lease::Snapshot),
    /// Send a message to the worker at this address.
    Sync(std::net::SocketAddr, work::Sync),
}

/// The role of this host for the hall.
#[derive(Debug)]
enum Role {
    /// Another host may hold the hall.
    Watching,
    /// The transaction that acquires the lease is in flight.
    Acquiring(commit::Committer),
    /// The lease is held; the state is being read.
    Loading(commit::Committer),
    /// This host holds the hall.
    Holding(Box<Holding>),
}

/// The engine of one hall on one host.
#[derive(Debug)]
pub struct Engine {
    /// The hall that the engine is for.
    hall: id::HallId,
    /// The id of this host.
    own_host: id::HostId,
    /// Intervals, leases and policies.
    settings: Settings,
    /// The role of this host for the hall.
    role: Role,
    /// The observations of the head row.
    observer: lease::Observer,
    /// The newest head row that was read, with its version.
    last_head: Option<(u64, lease::Head)>,
    /// When the head row or the state was last requested.
    last_poll: Option<time::Duration>,
    /// The configuration in force; `None` until one is known.
    current: Option<std_sync::Arc<Current>>,
    /// The platform's list of members.
    members: std_sync::Arc<members::Members>,
    /// The newest endpoint table that another holder published.
    published_table: Option<endpoints::Table>,
    /// Whether this host is about to stop.
    leaving: bool,
    /// A value that distinguishes this process in tokens.
    nonce: u64,
    /// The number of tokens created.
    token_count: u64,
}

impl Engine {
    /// Creates an engine that only watches; `nonce` must differ between any two processes.
    #[must_use]
    pub fn new(hall: id::HallId, own_host: id::HostId, settings: Settings, nonce: u64) -> Self {
        Self {
            hall,
            own_host,
            settings,
            role: Role::Watching,
            observer: lease::Observer::default(),
            last_head: None,
            last_poll: None,
            current: None,
            members: std_sync::Arc::default(),
            published_table: None,
            leaving: false,
            nonce,
            token_count: 0,
        }
    }

    /// Handles an event and returns the effects to execute.
    pub fn step(&mut self, now: time::Duration, event: Event) -> Vec<Effect> {
        match event {
            Event::Tick => return self.tick(now),
            Event::Head(row) => return self.handle_head(now, row),
            Event::HeadFailed => {}
            Event::Loaded { snapshot, log } => return self.handle_loaded(now, snapshot, &log),
            Event::LoadFailed => {}
            Event::Txn(answer) => return self.handle_txn_answer(now, answer.as_ref()),
            Event::Stored(snapshot) => {
                if let Some(holding) = self.holding_mut() {
                    holding.snapshot_stored(snapshot);
                }
            }
            Event::Synced { worker, seq, answer } => {
                return self.handle_synced(now, &worker, seq, answer);
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
                    holding.record_digest(&digest);
                }
            }
            Event::Table(table) => {
                if self.published_table.as_ref().is_none_or(|known| table.newer_than(known)) {
                    self.published_table = Some(table);
                }
            }
            Event::Harms(model) => {
                if let Role::Holding(holding) = &mut self.role {
                    holding.interference = model;
                }
            }
            Event::Leave => self.leaving = true,
        }
        Vec::new()
    }

    /// Returns the holder's state, if this host holds the hall.
    #[must_use]
    pub fn holding(&self) -> Option<&Holding> {
        match &self.role {
            Role::Holding(holding) => Some(holding),
            _ => None,
        }
    }

    /// Returns the newest head row that was read.
    #[must_use]
    pub fn last_head(&self) -> Option<&lease::Head> {
        self.last_head.as_ref().map(|(_, head)| head)
    }

    /// Returns whether this host neither holds nor is acquiring the hall's lease.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        matches!(self.role, Role::Watching)
    }

    /// Returns the endpoint table, if this host holds the hall and has published one.
    #[must_use]
    pub fn table(&self) -> Option<&endpoints::Table> {
        self.holding().and_then(Holding::table)
    }

    /// Returns the holder's state for changes, if this host holds the hall.
    fn holding_mut(&mut self) -> Option<&mut Holding> {
        match &mut self.role {
            Role::Holding(holding) => Some(holding),
            _ => None,
        }
    }

    /// Performs the work that is due in the current role.
    fn tick(&mut self, now: time::Duration) -> Vec<Effect> {
        let token = self.token();
        match &mut self.role {
            Role::Holding(holding) => holding.tick(now, token, self.leaving),
            Role::Loading(committer)
                if restart_if_due(&mut self.last_poll, self.settings.poll, now) =>
            {
                vec![Effect::Load(committer.head().snapshot.clone())]
            }
            Role::Watching | Role::Acquiring(_)
                if restart_if_due(&mut self.last_poll, self.settings.poll, now) =>
            {
                vec![Effect::ReadHead]
            }
            Role::Loading(_) | Role::Watching | Role::Acquiring(_) => Vec::new(),
        }
    }

    /// Handles the head row that was read.
    fn handle_head(&mut self, now: time::Duration, row: Option<(u64, lease::Head)>) -> Vec<Effect> {
        let version = row.as_ref().map_or(0, |(version, _)| *version);
        let step = match &mut self.role {
            Role::Watching => return self.acquire_if_free(now, version, row),
            Role::Acquiring(committer) => {
                committer.read_back(version, row.as_ref().map(|(_, head)| head))
            }
            Role::Loading(_) => return Vec::new(),
            Role::Holding(holding) => holding.read_back(version, row.as_ref().map(|(_, h)| h)),
        };
        self.apply_step(now, step)
    }

    /// Records an observation of the head row, and acquires the lease if this host may.
    fn acquire_if_free(
        &mut self,
        now: time::Duration,
        version: u64,
        row: Option<(u64, lease::Head)>,
    ) -> Vec<Effect> {
        let gap = self.settings.timing.lease / 2;
        self.observer.observe(version, gap, now);
        if self.last_head.as_ref().is_none_or(|(seen, _)| *seen <= version) {
            self.last_head = row;
        }
        let rank = self.rank();
        let head = self.last_head.as_ref().map(|(_, head)| head);
        if self.leaving || !self.observer.may_acquire(head, rank, &self.settings.timing, now) {
            return Vec::new();
        }
        self.start_acquire(version)
    }

    /// Starts the transaction that acquires the lease.
    fn start_acquire(&mut self, version: u64) -> Vec<Effect> {
        let previous = self.last_head.as_ref().map(|(_, head)| head.clone()).unwrap_or_default();
        let head = lease::Head {
            holder: Some(self.own_host.clone()),
            epoch: previous.epoch + 1,
            token: self.token(),
            ..previous.clone()
        };
        let key = head_key(&self.hall);
        let mut committer = commit::Committer::new(&key, version, previous);
        let Ok(txn) = committer.begin(head, Vec::new()) else {
            return Vec::new();
        };
        self.role = Role::Acquiring(committer);
        vec![Effect::Txn(txn)]
    }

    /// Handles the answer to a transaction.
    fn handle_txn_answer(
        &mut self,
        now: time::Duration,
        answer: Option<&platform::TxnAnswer>,
    ) -> Vec<Effect> {
        let step = match &mut self.role {
            Role::Acquiring(committer) => committer.answered(answer),
            Role::Holding(holding) => holding.answered(answer),
            Role::Watching | Role::Loading(_) => commit::Step::Idle,
        };
        self.apply_step(now, step)
    }

    /// Executes the next step of the writer.
    fn apply_step(&mut self, now: time::Duration, step: commit::Step) -> Vec<Effect> {
        match step {
            commit::Step::Idle => Vec::new(),
            commit::Step::Send(txn) => vec![Effect::Txn(txn)],
            commit::Step::ReadBack => {
                self.last_poll = Some(now);
                if let Some(holding) = self.holding_mut() {
                    holding.note_unknown_outcome(now);
                }
                vec![Effect::ReadHead]
            }
            commit::Step::Lost => self.step_down(now),
            commit::Step::Committed => self.handle_committed(now),
        }
    }

    /// Continues after a successful commit.
    fn handle_committed(&mut self, now: time::Duration) -> Vec<Effect> {
        if let Role::Holding(holding) = &mut self.role {
            let replaced = holding.commit_succeeded(now);
            self.last_head = Some((0, holding.head().clone()));
            if holding.head().holder.is_none() {
                return self.step_down(now);
            }
            return replaced.map(Effect::Delete).into_iter().collect();
        }
        if let Role::Acquiring(committer) = &self.role {
            let committer = committer.clone();
            let snapshot = committer.head().snapshot.clone();
            self.last_poll = Some(now);
            self.role = Role::Loading(committer);
            return vec![Effect::Load(snapshot)];
        }
        Vec::new()
    }

    /// Starts to hold the hall, if the state that was read is complete.
    fn handle_loaded(
        &mut self,
        now: time::Duration,
        snapshot: Option<String>,
        log: &[platform::Row],
    ) -> Vec<Effect> {
        let Role::Loading(committer) = &self.role else {
            return Vec::new();
        };
        let head = committer.head();
        // A stale read may lack rows; it is repeated until the log is complete.
        let Some(task_table) = log::replay(&self.hall, head, snapshot.as_deref(), log) else {
            return Vec::new();
        };
        let mut holding =
            Holding::new(self.hall.clone(), self.settings, committer.clone(), task_table, now);
        holding.set_members(&self.members, now);
        holding.set_inherited_endpoints(self.published_table.as_ref());
        if let Some(current) = &self.current {
            holding.set_current(current, now);
        }
        self.role = Role::Holding(Box::new(holding));
        self.tick(now)
    }

    /// Handles a worker's answer; steps down if the worker has seen a higher epoch.
    fn handle_synced(
        &mut self,
        now: time::Duration,
        worker: &id::WorkerId,
        seq: u64,
        answer: Option<work::Answer>,
    ) -> Vec<Effect> {
        let Some(holding) = self.holding_mut() else {
            return Vec::new();
        };
        let fenced = holding.handle_answer(now, worker, seq, answer);
        if fenced { self.step_down(now) } else { Vec::new() }
    }

    /// Returns to watching, with no observations.
    fn step_down(&mut self, now: time::Duration) -> Vec<Effect> {
        self.role = Role::Watching;
        self.observer = lease::Observer::default();
        self.last_head = None;
        self.last_poll = Some(now);
        Vec::new()
    }

    /// Returns how many live hosts rank before this one for the hall.
    fn rank(&self) -> usize {
        let live = self
            .members
            .hosts
            .iter()
            .filter(|(_, host)| host.presence == members::Presence::Live)
            .map(|(name, _)| name.as_str());
        rendezvous::rank(live, self.own_host.as_str(), self.hall.as_str())
    }

    /// Creates a token that no other transaction has.
    fn token(&mut self) -> String {
        self.token_count += 1;
        format!("{}-{:x}-{}", self.own_host, self.nonce, self.token_count)
    }
}

/// Returns whether an interval has passed since `last`, and restarts it if so.
fn restart_if_due(
    last: &mut Option<time::Duration>,
    every: time::Duration,
    now: time::Duration,
) -> bool {
    let is_due = last.is_none_or(|last| now.saturating_sub(last) >= every);
    if is_due {
        *last = Some(now);
    }
    is_due
}
