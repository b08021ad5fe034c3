//! One domain on one host: watches its lease, and as its holder runs its jobs.

use std::collections;
use std::sync;
use std::time;

use super::event;
use super::holding;
use super::order;
use super::queue;
use super::rows as kept;
use crate::id;
use crate::rows;

/// For how many leases the state may be read, each renewed in time. Over a link of 10 Mbit/s the state of 490 workers,
/// 3.5 MB, takes 2.8 s, a lease and a third; a host that needs longer than two keeps stronger ones out.
const LOAD_LEASES: u32 = 2;
/// For how many leases a host that gave its domain up because it was slow leaves it to others: slow times were
/// seen to last some 7 s.
const YIELD_LEASES: u32 = 4;

/// What an engine is to its domain.
#[derive(Debug)]
enum Role {
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
struct Renewal {
    /// The number of the transaction; nothing while one without an answer is to be sent again.
    number: Option<u64>,
    /// What it writes.
    lease: kept::Lease,
    /// When it was first sent, from which the lease counts.
    sent: time::Duration,
}

/// A lease as another host wrote it.
#[derive(Clone, Debug)]
struct Seen {
    /// The version of the row; zero where it is absent.
    version: u64,
    /// What it says.
    lease: kept::Lease,
    /// Since when the row stands unchanged, by this host's clock.
    since: time::Duration,
}

/// One domain on one host.
#[derive(Debug)]
pub struct Engine {
    /// This host.
    own: id::HostId,
    /// The mark of this process.
    nonce: u64,
    /// The times.
    settings: event::Settings,
    /// What this host is to the domain.
    role: Role,
    /// The lease seen last.
    seen: Option<Seen>,
    /// When the lease row was last asked for.
    polled: Option<time::Duration>,
    /// The queues in force.
    queues: sync::Arc<queue::Queues>,
    /// The workers that the store lists.
    members: collections::BTreeMap<id::WorkerId, order::Member>,
    /// The number of transactions sent.
    numbers: u64,
    /// Whether this host is about to stop.
    leaving: bool,
    /// When this host last gave the domain up because it was slow.
    yielded: Option<time::Duration>,
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
            members: collections::BTreeMap::new(),
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
                self.members = list.iter().map(|m| (m.id.clone(), m.clone())).collect();
                if let Role::Holding(holding) = &mut self.role {
                    holding.set_members(&self.members, now);
                }
            }
            event::Event::Member(worker, member) => {
                match member.clone() {
                    Some(member) => self.members.insert(worker.clone(), member),
                    None => self.members.remove(&worker),
                };
                if let Role::Holding(holding) = &mut self.role {
                    holding.set_member(&worker, member, now);
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
                    holding.queues = queues;
                }
            }
            event::Event::Jobs(rows) => {
                if let Role::Holding(holding) = &mut self.role {
                    holding.jobs_read(&rows, now);
                }
            }
            event::Event::Heard { up_to_ms } => {
                if let Role::Holding(holding) = &mut self.role {
                    holding.heard_ms = Some(up_to_ms);
                }
            }
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
                    holding.advised(&question, answer.as_ref(), now);
                }
            }
            event::Event::Looked { worker, epoch, answer } => {
                if let Role::Holding(holding) = &mut self.role {
                    holding.looked(&worker, epoch, answer, now);
                }
            }
        }
        self.pump(now)
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
            return self.pump(now);
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

    /// Renews the lease while the state is being read, as long as that may take.
    fn go_on_loading(&mut self, now: time::Duration) -> Vec<event::Effect> {
        let Role::Loading { lease, version, taken, renewed, renewal, .. } = &mut self.role else {
            return Vec::new();
        };
        let lasts = self.settings.lease.saturating_sub(self.settings.margin);
        let most = lasts * LOAD_LEASES;
        if now.saturating_sub(*renewed) >= lasts || now.saturating_sub(*taken) >= most {
            self.step_down(now, "the state was not read within the lease");
            return Vec::new();
        }
        let due = match renewal {
            Some(renewal) => renewal.number.is_none(),
            None => self.leaving || now.saturating_sub(*renewed) >= self.settings.renew,
        };
        if !due {
            return Vec::new();
        }
        // A host that stops gives the lease up rather than to renew it.
        let holder = lease.holder.clone().filter(|_| !self.leaving);
        let first = || Renewal {
            number: None,
            lease: kept::Lease { seq: lease.seq + 1, holder, ..lease.clone() },
            sent: now,
        };
        let renewal = renewal.get_or_insert_with(first);
        let txn = match super::commit::lease_txn(self.settings.domain, *version, &renewal.lease) {
            Ok(txn) => txn,
            Err(err) => {
                tracing::error!(%err, "the lease can't be encoded, it is not renewed");
                return Vec::new();
            }
        };
        self.numbers += 1;
        renewal.number = Some(self.numbers);
        vec![event::Effect::Txn(self.numbers, txn)]
    }

    /// Takes the answer to a renewal made while the state is being read.
    fn renewed(&mut self, now: time::Duration, number: u64, outcome: &rows::Outcome) {
        let Role::Loading { lease, version, renewed, renewal, .. } = &mut self.role else {
            return;
        };
        let Some(mut made) = renewal.take_if(|renewal| renewal.number == Some(number)) else {
            return;
        };
        match (super::commit::settled(outcome, &made.lease), outcome) {
            (Some(_), _) if made.lease.holder.is_none() => {
                self.step_down(now, "the lease was given up");
            }
            (Some(written), _) => {
                *version = written;
                *renewed = made.sent;
                *lease = made.lease;
            }
            (None, rows::Outcome::Unknown) => {
                // It may have been made, so only the same write can follow.
                made.number = None;
                *renewal = Some(made);
            }
            (None, rows::Outcome::Answered(_) | rows::Outcome::Refused) => {
                self.step_down(now, "another host has the lease");
            }
        }
    }

    /// Returns how much longer than others this host waits before it takes a lease.
    fn handicap(&self, now: time::Duration) -> time::Duration {
        let rest = self.settings.lease * YIELD_LEASES;
        let slow = self.yielded.is_some_and(|at| now.saturating_sub(at) < rest);
        let own = if slow { self.settings.lease } else { time::Duration::ZERO };
        self.settings.handicap + own
    }

    /// Lets the holder act on what has happened.
    fn pump(&mut self, now: time::Duration) -> Vec<event::Effect> {
        let Role::Holding(holding) = &mut self.role else {
            return Vec::new();
        };
        let mut effects = holding.pump(now, self.numbers + 1);
        if effects.iter().any(|effect| matches!(effect, event::Effect::Txn(..))) {
            self.numbers += 1;
        }
        if holding.fenced {
            effects.clear();
            self.step_down(now, "a worker has seen a later holder");
        }
        effects
    }

    /// Takes the lease if it is free, or its holder has let it lapse.
    fn lease_read(
        &mut self,
        now: time::Duration,
        row: Option<(u64, kept::Lease)>,
    ) -> Vec<event::Effect> {
        if !matches!(self.role, Role::Watching) {
            return Vec::new();
        }
        let (version, lease) = row.unwrap_or_default();
        let known = self.seen.as_ref().is_some_and(|seen| seen.version == version);
        if !known {
            self.seen = Some(Seen { version, lease: lease.clone(), since: now });
        }
        let since = self.seen.as_ref().map_or(now, |seen| seen.since);
        let stands = now.saturating_sub(since);
        // An earlier process of this host is gone for sure, since this one runs in its place.
        let own = lease.holder.as_ref() == Some(&self.own) && lease.nonce != self.nonce;
        let free = lease.holder.is_none() || own;
        let wait = if free { time::Duration::ZERO } else { self.settings.lease };
        if self.leaving {
            return Vec::new();
        }
        if stands < wait + self.handicap(now) {
            let addr = lease.addr.filter(|_| !free && stands >= self.settings.probe);
            return addr.map(|addr| event::Effect::Probe { version, addr }).into_iter().collect();
        }
        self.take(now, version, &lease, time::Duration::ZERO)
    }

    /// Takes the lease of a holder whose process is gone, or whose host is silent.
    ///
    /// Nothing rests on that: a path that refuses connections or loses them may lie, and the holder then acts
    /// on until its next commit or until its lease is over. So the leases of tasks that it may grant are taken
    /// to last longer by its own.
    fn probed(
        &mut self,
        now: time::Duration,
        version: u64,
        sign: event::Sign,
    ) -> Vec<event::Effect> {
        let wait = match sign {
            event::Sign::Listens => return Vec::new(),
            event::Sign::Refused => self.settings.probe,
            event::Sign::Silent => self.settings.silence,
        };
        let seen = self.seen.clone().filter(|seen| seen.version == version);
        let Some(seen) = seen.filter(|_| matches!(self.role, Role::Watching) && !self.leaving)
        else {
            return Vec::new();
        };
        let stands = now.saturating_sub(seen.since);
        if stands < wait + self.handicap(now) {
            return Vec::new();
        }
        let unchanged_ms = super::worker::millis(stands);
        let domain = self.settings.domain;
        tracing::info!(domain, version, ?sign, unchanged_ms, "the holder seems to be gone");
        self.take(now, version, &seen.lease, self.settings.lease)
    }

    /// Takes a lease; `beyond` is how much longer than by the row its holder may have acted.
    fn take(
        &mut self,
        now: time::Duration,
        version: u64,
        lease: &kept::Lease,
        beyond: time::Duration,
    ) -> Vec<event::Effect> {
        let stands = self.seen.as_ref().map_or(now, |seen| now.saturating_sub(seen.since));
        let before = lease.holder.clone();
        let next = kept::Lease {
            holder: Some(self.own.clone()),
            epoch: kept::next_epoch(lease.epoch),
            nonce: self.nonce,
            seq: 0,
            hold_ms: super::worker::millis(self.settings.hold),
            addr: self.settings.addr,
        };
        let inherited = match lease.hold_ms {
            0 => self.settings.hold_max,
            hold_ms => time::Duration::from_millis(hold_ms),
        } + beyond;
        tracing::info!(
            domain = self.settings.domain,
            version,
            before = before.as_ref().map_or("", id::HostId::as_str),
            unchanged_ms = super::worker::millis(stands),
            epoch = next.epoch,
            "taking the lease"
        );
        self.numbers += 1;
        let Ok(txn) = super::commit::lease_txn(self.settings.domain, version, &next) else {
            return Vec::new();
        };
        self.role = Role::Acquiring { number: self.numbers, lease: next, sent: now, inherited };
        vec![event::Effect::Txn(self.numbers, txn)]
    }

    /// Takes the answer to a transaction.
    fn answered(
        &mut self,
        now: time::Duration,
        number: u64,
        outcome: &rows::Outcome,
    ) -> Vec<event::Effect> {
        match &mut self.role {
            Role::Acquiring { number: sent_number, lease, sent, inherited }
                if *sent_number == number =>
            {
                let version = super::commit::settled(outcome, lease);
                let Some(version) = version else {
                    // Nothing is lost by watching on: a write that comes late makes this process
                    // the holder, which it then reads as its own and takes again.
                    self.step_down(now, "the lease was not taken");
                    return Vec::new();
                };
                let (lease, taken, inherited) = (lease.clone(), *sent, *inherited);
                self.role = Role::Loading {
                    lease,
                    version,
                    taken,
                    inherited,
                    renewed: taken,
                    renewal: None,
                };
                vec![event::Effect::Load]
            }
            Role::Loading { .. } => {
                self.renewed(now, number, outcome);
                Vec::new()
            }
            Role::Holding(holding) => {
                match holding.answered(number, outcome, now) {
                    super::commit::Fate::Open | super::commit::Fate::Done => {}
                    super::commit::Fate::Lost => {
                        self.step_down(now, "another host has the lease");
                        return Vec::new();
                    }
                    super::commit::Fate::Released => {
                        self.step_down(now, "the lease was given up");
                        return Vec::new();
                    }
                }
                self.pump(now)
            }
            _ => Vec::new(),
        }
    }

    /// Begins to hold the domain with the state that was read.
    fn loaded(
        &mut self,
        now: time::Duration,
        jobs: &[rows::Row],
        progress: &[rows::Row],
        learned: &[rows::Row],
    ) -> Vec<event::Effect> {
        let Role::Loading { lease, version, taken, inherited, renewed, renewal } = &self.role
        else {
            return Vec::new();
        };
        let mut holding = holding::Holding::new(
            self.settings,
            lease.clone(),
            *version,
            (*taken, *inherited),
            sync::Arc::clone(&self.queues),
        );
        holding.renewed = *renewed;
        if let Some(renewal) = renewal
            && let Err(err) = holding.take_on(renewal.number, &renewal.lease, renewal.sent)
        {
            tracing::error!(%err, "the lease can't be encoded");
        }
        holding.restore_learned(learned);
        holding.load(jobs, progress, now);
        holding.set_members(&self.members, now);
        holding.restore_unlisted(learned, now);
        if self.leaving {
            holding.leave();
        }
        tracing::info!(
            domain = self.settings.domain,
            epoch = lease.epoch,
            jobs = jobs.len(),
            workers = self.members.len(),
            took_ms = super::worker::millis(now.saturating_sub(*taken)),
            "holding the domain"
        );
        self.role = Role::Holding(Box::new(holding));
        self.pump(now)
    }

    /// Gives up everything but the watch.
    fn step_down(&mut self, now: time::Duration, why: &'static str) {
        tracing::info!(domain = self.settings.domain, why, "not the holder");
        self.role = Role::Watching;
        self.seen = None;
        self.polled = Some(now);
    }
}
