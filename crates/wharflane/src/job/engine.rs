//! One domain on one host: watches its lease, and as its holder runs its jobs.

use std::sync;
use std::time;

use super::closed;
use super::commit;
use super::event;
use super::holding;
use super::members;
use super::queue;
use super::rows as kept;
use crate::id;
use crate::rows;

/// What an engine is to its domain.
#[derive(Debug)]
pub(super) enum Role {
    /// Another host may hold the domain.
    Watching,
    /// The lease is being taken.
    Acquiring {
        /// The number of the transaction.
        number: u64,
        /// What it writes.
        lease: kept::Lease,
        /// When it was sent.
        sent: time::Duration,
        /// The longest lease of tasks that the holder before asked for.
        inherited: time::Duration,
    },
    /// The lease is taken and the state is being read.
    Loading {
        /// The lease and its version.
        lease: kept::Lease,
        /// The version of the lease row.
        version: u64,
        /// When the lease was taken.
        taken: time::Duration,
        /// The longest lease of tasks that the holder before asked for.
        inherited: time::Duration,
        /// When the write that last renewed the lease was sent.
        renewed: time::Duration,
        /// The renewal under way.
        renewal: Option<Renewal>,
    },
    /// The domain is held.
    Holding(Box<holding::Holding>),
}

/// A write that renews a lease while the state is being read.
#[derive(Clone, Debug)]
pub(super) struct Renewal {
    /// The number of the transaction; nothing while one without an answer is to be sent again.
    pub number: Option<u64>,
    /// What it writes.
    pub lease: kept::Lease,
    /// When it was first sent, from which the lease counts.
    pub sent: time::Duration,
}

/// A lease as another host wrote it.
#[derive(Clone, Debug)]
pub(super) struct Seen {
    /// The version of the row; zero where it is absent.
    pub version: u64,
    /// What it says.
    pub lease: kept::Lease,
    /// Since when the row stands unchanged, by this host's clock.
    pub since: time::Duration,
}

/// One domain on one host.
#[derive(Debug)]
pub struct Engine {
    /// This host.
    pub(super) own: id::HostId,
    /// The mark of this process.
    pub(super) nonce: u64,
    /// The times.
    pub(super) settings: event::Settings,
    /// What this host is to the domain.
    pub(super) role: Role,
    /// The lease seen last.
    pub(super) seen: Option<Seen>,
    /// When the lease row was last asked for.
    pub(super) polled: Option<time::Duration>,
    /// The queues in force.
    pub(super) queues: sync::Arc<queue::Queues>,
    /// The workers that the store lists.
    pub(super) members: members::Members,
    /// What it heard of closed halls.
    pub(super) closed_halls: closed::ClosedHallsReading,
    /// The number of transactions sent.
    pub(super) numbers: u64,
    /// Whether this host is about to stop.
    pub(super) leaving: bool,
    /// When this host last gave the domain up because it was slow.
    pub(super) yielded: Option<time::Duration>,
}

impl Engine {
    /// Makes an engine that watches; `nonce` differs between any two processes.
    #[must_use]
    pub fn new(own: id::HostId, settings: event::Settings, nonce: u64) -> Self {
        Self {
            own,
            nonce,
            settings,
            role: Role::Watching,
            seen: None,
            polled: None,
            queues: sync::Arc::default(),
            members: members::Members::default(),
            closed_halls: closed::ClosedHallsReading::default(),
            numbers: 0,
            leaving: false,
            yielded: None,
        }
    }

    /// Takes an event and returns what is to be done.
    pub fn step(&mut self, now: time::Duration, event: event::Event) -> Vec<event::Effect> {
        if let Role::Holding(holding) = &mut self.role {
            holding.now = now;
        }
        match event {
            event::Event::Tick { wall_ms } => return self.tick(now, wall_ms),
            event::Event::LeaseRead(row) => return self.lease_read(now, row),
            event::Event::LeaseUnread => {}
            event::Event::Probed { version, sign } => return self.probed(now, version, sign),
            event::Event::Loaded { jobs, progress, learned } => {
                return self.loaded(now, &jobs, &progress, &learned);
            }
            event::Event::LoadFailed => {
                if matches!(self.role, Role::Loading { .. }) {
                    return vec![event::Effect::Load];
                }
            }
            event::Event::Txn { number, outcome } => return self.answered(now, number, &outcome),
            event::Event::Leave => {
                self.leaving = true;
                if let Role::Holding(holding) = &mut self.role {
                    holding.leave();
                }
            }
            event::Event::Yield => {
                if let Role::Holding(holding) = &mut self.role {
                    tracing::warn!(
                        domain = self.settings.domain,
                        "too slow, the domain is given up"
                    );
                    self.yielded = Some(now);
                    holding.hand_over();
                }
            }
            event::Event::Listed(list) => {
                self.members.list(&list);
                if let Role::Holding(holding) = &mut self.role {
                    holding.set_members(&self.members, now);
                }
            }
            event::Event::Member(worker, member) => {
                self.members.set(&worker, member);
                if let Role::Holding(holding) = &mut self.role {
                    match self.members.get(&worker) {
                        Some(member) => holding.set_member(member.clone(), now),
                        None => holding.unlist(&worker),
                    }
                }
            }
            event::Event::Dropped { job, done } => {
                if let Role::Holding(holding) = &mut self.role {
                    holding.dropped(job, done);
                }
            }
            event::Event::Queues(queues) => {
                self.queues = sync::Arc::clone(&queues);
                if let Role::Holding(holding) = &mut self.role {
                    holding.set_queues(queues);
                }
            }
            event::Event::Jobs(rows) => {
                if let Role::Holding(holding) = &mut self.role {
                    holding.jobs_read(&rows, now);
                }
            }
            event::Event::JobsReadUpTo { up_to_ms } => {
                if let Role::Holding(holding) = &mut self.role {
                    holding.jobs_read_up_to_ms = Some(up_to_ms);
                }
            }
            event::Event::Closed(closed) => self.apply_closed_halls(now, closed),
            event::Event::Started { order, answer } => {
                if let Role::Holding(holding) = &mut self.role {
                    holding.started(&order, answer, now);
                }
            }
            event::Event::StopNotTaken(order) => {
                if let Role::Holding(holding) = &mut self.role {
                    holding.stop_not_taken(&order, now);
                }
            }
            event::Event::Advised { question, answer } => {
                if let Role::Holding(holding) = &mut self.role {
                    holding.handle_advice(&question, answer.as_ref(), now);
                }
            }
            event::Event::HeartbeatAnswered { worker, epoch, answer } => {
                if let Role::Holding(holding) = &mut self.role {
                    holding.handle_heartbeat_answer(&worker, epoch, answer, now);
                }
            }
        }
        self.collect_effects(now)
    }

    /// Returns what the holder keeps, if this host holds the domain.
    #[must_use]
    pub fn holding(&self) -> Option<&holding::Holding> {
        match &self.role {
            Role::Holding(holding) => Some(holding),
            _ => None,
        }
    }

    /// Returns whether this host has nothing of the domain left to give up.
    #[must_use]
    pub fn left(&self) -> bool {
        matches!(self.role, Role::Watching)
    }

    /// Returns the part of the store that belongs to the domain.
    #[must_use]
    pub fn domain(&self) -> u32 {
        self.settings.domain
    }

    /// Does what is due.
    fn tick(&mut self, now: time::Duration, wall_ms: u64) -> Vec<event::Effect> {
        if let Role::Holding(holding) = &mut self.role {
            holding.tick(now, wall_ms);
            return self.collect_effects(now);
        }
        if matches!(self.role, Role::Loading { .. }) {
            return self.go_on_loading(now);
        }
        let due = self.polled.is_none_or(|at| now.saturating_sub(at) >= self.settings.poll);
        if !matches!(self.role, Role::Watching) || !due {
            return Vec::new();
        }
        self.polled = Some(now);
        vec![event::Effect::ReadLease]
    }

    /// Lets the holder act on what has happened.
    pub(super) fn collect_effects(&mut self, now: time::Duration) -> Vec<event::Effect> {
        let Role::Holding(holding) = &mut self.role else {
            return Vec::new();
        };
        let mut effects = holding.collect_effects(now, self.numbers + 1);
        if effects.iter().any(|effect| matches!(effect, event::Effect::Txn(..))) {
            self.numbers += 1;
        }
        if holding.fenced {
            effects.clear();
            self.step_down(now, "a worker has seen a later holder");
        }
        effects
    }

    /// Takes the answer to a transaction.
    fn answered(
        &mut self,
        now: time::Duration,
        number: u64,
        outcome: &rows::Outcome,
    ) -> Vec<event::Effect> {
        match &mut self.role {
            Role::Acquiring { number: sent_number, .. } if *sent_number == number => {
                self.acquired(now, outcome)
            }
            Role::Loading { .. } => {
                self.renewed(now, number, outcome);
                Vec::new()
            }
            Role::Holding(holding) => {
                match holding.answered(number, outcome, now) {
                    commit::Fate::Open | commit::Fate::Done => {}
                    commit::Fate::Lost => {
                        self.step_down(now, "another host has the lease");
                        return Vec::new();
                    }
                    commit::Fate::Released => {
                        self.step_down(now, "the lease was given up");
                        return Vec::new();
                    }
                }
                self.collect_effects(now)
            }
            _ => Vec::new(),
        }
    }

    /// Gives up everything but the watch.
    pub(super) fn step_down(&mut self, now: time::Duration, why: &'static str) {
        tracing::info!(domain = self.settings.domain, why, "not the holder");
        self.role = Role::Watching;
        self.seen = None;
        self.polled = Some(now);
    }
}
