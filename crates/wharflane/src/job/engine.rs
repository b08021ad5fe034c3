//! The state machine of one domain on one host: watches the domain's lease, acquires it, and
//! schedules the domain's jobs while it holds the lease. It does no I/O; events go in, effects come
//! out.

use std::sync;
use std::time;

use super::dispatch::pace;
use super::event;
use super::holding;
use super::lease::inherited;
use super::lease::store_clock;
use super::load::admission;
use super::queue;
use super::rows as job_rows;
use super::store::commit;
use super::workers::closed;
use super::workers::members;
use crate::id;
use crate::rows;

/// The role of this host for the domain.
#[derive(Debug)]
pub(super) enum Role {
    /// Another host may hold the lease.
    Watching,
    /// The transaction that acquires the lease is in flight.
    Acquiring(Box<Acquiring>),
    /// The lease is held and the domain's state is being loaded.
    Loading(Box<Loading>),
    /// This host holds the domain and schedules its jobs.
    Holding(Box<holding::Holding>),
}

/// A lease that is being acquired.
#[derive(Clone, Debug)]
pub(super) struct Acquiring {
    /// The number of the transaction.
    pub number: u64,
    /// The lease that it writes.
    pub lease: job_rows::Lease,
    /// When it was sent.
    pub sent: time::Duration,
    /// The task leases that earlier holders may have granted.
    pub inherited: inherited::Inherited,
}

/// A lease whose domain's state is being loaded.
#[derive(Clone, Debug)]
pub(super) struct Loading {
    /// The lease as it was last written.
    pub lease: job_rows::Lease,
    /// The version of the lease row.
    pub version: u64,
    /// When the transaction that acquired the lease was sent.
    pub acquired: time::Duration,
    /// The task leases that earlier holders may have granted.
    pub inherited: inherited::Inherited,
    /// When the last committed renewal of the lease was sent.
    pub renewed: time::Duration,
    /// The renewal in flight.
    pub renewal: Option<Renewal>,
}

/// A write that renews the lease while the state is being loaded.
#[derive(Clone, Debug)]
pub(super) struct Renewal {
    /// The number of the transaction; absent while one without an answer waits to be sent again.
    pub number: Option<u64>,
    /// The lease that it writes.
    pub lease: job_rows::Lease,
    /// When it was first sent; the renewed lease counts from here.
    pub sent: time::Duration,
}

/// A lease row as it was last read.
#[derive(Clone, Debug)]
pub(super) struct Seen {
    /// The version of the row; zero if the row is absent.
    pub version: u64,
    /// The lease in the row.
    pub lease: job_rows::Lease,
    /// Since when the row is unchanged, by this host's clock.
    pub since: time::Duration,
    /// When the row was written, by this host's clock, as far as the row tells; never after
    /// `since`.
    pub written: time::Duration,
    /// Whether the holder's process listened when it was probed at this version.
    pub listened: bool,
}

/// The state machine of one domain on one host.
#[derive(Debug)]
pub struct Engine {
    /// The id of this host.
    pub(super) own: id::HostId,
    /// A number unique to this process, which distinguishes its lease from that of an earlier
    /// process of the host.
    pub(super) nonce: u64,
    /// The domain and its timing.
    pub(super) settings: event::Settings,
    /// The role of this host for the domain.
    pub(super) role: Role,
    /// The lease row as last read while watching.
    pub(super) seen: Option<Seen>,
    /// When the lease row was last requested; absent before the first read.
    pub(super) polled: Option<time::Duration>,
    /// Whether the last read of the lease row succeeded and showed that its holder renews it.
    pub(super) renewed_when_read: bool,
    /// Since when every read of the lease row has succeeded; absent after a failed one.
    pub(super) read_since: Option<time::Duration>,
    /// Until when the holder that was probed last will not vacate its lease, so that asking again
    /// would only burden it.
    pub(super) claimed_until: time::Duration,
    /// The store's clock; absent before its first reading.
    pub(super) store_clock: Option<store_clock::StoreClock>,
    /// The queues of the configuration in force.
    pub(super) queues: sync::Arc<queue::Queues>,
    /// The workers that the store lists.
    pub(super) members: members::Members,
    /// The closed halls as last reported.
    pub(super) closed_halls: closed::ClosedHallsReading,
    /// The number of transactions sent so far, which numbers the next one.
    pub(super) numbers: u64,
    /// Whether this host is shutting down.
    pub(super) leaving: bool,
    /// When this host last gave the domain up for slowness.
    pub(super) yielded: Option<time::Duration>,
}

impl Engine {
    /// Creates an engine that watches the domain's lease; `nonce` must differ between any two
    /// processes.
    #[must_use]
    pub fn new(own: id::HostId, settings: event::Settings, nonce: u64) -> Self {
        Self {
            own,
            nonce,
            settings,
            role: Role::Watching,
            seen: None,
            polled: None,
            renewed_when_read: false,
            read_since: None,
            claimed_until: time::Duration::ZERO,
            store_clock: None,
            queues: sync::Arc::default(),
            members: members::Members::default(),
            closed_halls: closed::ClosedHallsReading::default(),
            numbers: 0,
            leaving: false,
            yielded: None,
        }
    }

    /// Handles an event and returns the effects to carry out.
    pub fn step(&mut self, now: time::Duration, event: event::Event) -> Vec<event::Effect> {
        if let Role::Holding(holding) = &mut self.role {
            holding.now = now;
        }
        match event {
            event::Event::Tick { wall_ms } => return self.tick(now, wall_ms),
            event::Event::LeaseRead { row, store_ms } => {
                return self.handle_lease_read(now, row, store_ms);
            }
            event::Event::LeaseUnread => {
                self.renewed_when_read = false;
                self.read_since = None;
            }
            event::Event::Probed { version, result } => {
                return self.handle_probe(now, version, result);
            }
            event::Event::Loaded { jobs, progress, learned } => {
                return self.finish_loading(now, &jobs, &progress, &learned);
            }
            event::Event::LoadFailed => {
                if matches!(self.role, Role::Loading(_)) {
                    return vec![event::Effect::Load];
                }
            }
            event::Event::Txn { number, outcome } => return self.handle_txn(now, number, &outcome),
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
                        "host too slow; giving up the domain"
                    );
                    self.yielded = Some(now);
                    holding.hand_over();
                }
            }
            event::Event::Listed(list) => {
                self.members.replace_all(&list);
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
                    holding.handle_row_deleted(job, done);
                }
            }
            event::Event::EarlyCancelRemoved { job, version } => {
                if let Role::Holding(holding) = &mut self.role {
                    holding.forget_early_cancel(job, version);
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
                    holding.apply_job_rows(&rows, now);
                }
            }
            event::Event::JobsReadUpTo { up_to_ms } => {
                let clock = &mut self.store_clock;
                *clock = store_clock::StoreClock::latest(*clock, Some(up_to_ms), now);
                if let Role::Holding(holding) = &mut self.role {
                    holding.jobs_read_up_to_ms = Some(up_to_ms);
                    holding.store_clock = self.store_clock;
                }
            }
            event::Event::Closed(closed) => self.apply_closed_halls(now, closed),
            event::Event::Started { order, answer } => {
                if let Role::Holding(holding) = &mut self.role {
                    holding.handle_start_answer(&order, answer, now);
                }
            }
            event::Event::StopNotTaken(order) => {
                if let Role::Holding(holding) = &mut self.role {
                    holding.handle_failed_stop(&order, now);
                }
            }
            event::Event::AdviceAnswered { request, answer } => {
                if let Role::Holding(holding) = &mut self.role {
                    holding.handle_advice(&request, answer.as_ref(), now);
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

    /// Tells the holder what it can take on at present.
    pub fn set_pace(&mut self, pace: pace::Pace) {
        if let Role::Holding(holding) = &mut self.role {
            holding.pace = pace;
        }
    }

    /// Returns the holder's state if this host holds the domain.
    #[must_use]
    pub fn holding(&self) -> Option<&holding::Holding> {
        match &self.role {
            Role::Holding(holding) => Some(holding),
            _ => None,
        }
    }

    /// Returns what the holder last told of its queues; nothing if that isn't known.
    #[must_use]
    pub fn backlogs(&self) -> admission::Backlogs {
        if let Role::Holding(holding) = &self.role {
            return admission::Backlogs {
                epoch: holding.lease.epoch,
                written: holding.backlogs_told_at,
                queues: holding.backlogs.clone(),
            };
        }
        let told = self.seen.as_ref().map(|seen| admission::Backlogs {
            epoch: seen.lease.epoch,
            written: seen.written,
            queues: seen.lease.backlogs.clone(),
        });
        told.unwrap_or_default()
    }

    /// Returns whether this host neither holds the domain nor is acquiring it, so that it may stop.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        matches!(self.role, Role::Watching)
    }

    /// Returns the number of the domain.
    #[must_use]
    pub fn domain(&self) -> u32 {
        self.settings.domain
    }

    /// Handles what is due by time: the holder's timers, the renewal while loading, or the next
    /// read of the lease.
    fn tick(&mut self, now: time::Duration, wall_ms: u64) -> Vec<event::Effect> {
        if let Role::Holding(holding) = &mut self.role {
            holding.tick(now, wall_ms);
            return self.collect_effects(now);
        }
        if matches!(self.role, Role::Loading(_)) {
            return self.continue_loading(now);
        }
        let due = self.polled.is_none_or(|at| now.saturating_sub(at) >= self.poll_interval(at));
        if !matches!(self.role, Role::Watching) || !due {
            return Vec::new();
        }
        self.polled = Some(now);
        vec![event::Effect::ReadLease]
    }

    /// Returns the time from a read of the lease row to the next. While the lease is renewed, it is
    /// drawn anew each time, with `poll` as its mean: the more evenly the reads of all hosts are
    /// spread, the earlier one of them sees that the lease stands still.
    fn poll_interval(&self, polled: time::Duration) -> time::Duration {
        let least = self.settings.poll_standstill;
        if !self.renewed_when_read {
            return least;
        }
        let read = polled.as_nanos().to_le_bytes();
        let drawn = xxhash_rust::xxh3::xxh3_64_with_seed(&read, self.nonce) % 1_000;
        let spread = self.settings.poll.saturating_sub(least) * 2;
        least + spread * u32::try_from(drawn).unwrap_or(0) / 1_000
    }

    /// Lets the holder act on the new state and collects its effects; steps down if a worker
    /// rejected its fence.
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
            self.step_down(now, "a worker has accepted a later holder");
        }
        effects
    }

    /// Handles the outcome of a transaction.
    fn handle_txn(
        &mut self,
        now: time::Duration,
        number: u64,
        outcome: &rows::Outcome,
    ) -> Vec<event::Effect> {
        match &mut self.role {
            Role::Acquiring(acquiring) if acquiring.number == number => {
                self.handle_acquire_outcome(now, outcome)
            }
            Role::Loading(_) => {
                self.handle_renewal_outcome(now, number, outcome);
                Vec::new()
            }
            Role::Holding(holding) => {
                match holding.handle_txn(number, outcome, now) {
                    commit::CommitOutcome::Pending | commit::CommitOutcome::Committed => {}
                    commit::CommitOutcome::LeaseLost => {
                        self.step_down(now, "another host has the lease");
                        return Vec::new();
                    }
                    commit::CommitOutcome::Released => {
                        self.step_down(now, "the lease was given up");
                        return Vec::new();
                    }
                }
                self.collect_effects(now)
            }
            _ => Vec::new(),
        }
    }

    /// Drops all state of the domain and returns to watching its lease.
    pub(super) fn step_down(&mut self, now: time::Duration, why: &'static str) {
        tracing::info!(domain = self.settings.domain, why, "not the holder");
        self.role = Role::Watching;
        self.seen = None;
        self.polled = Some(now);
        self.renewed_when_read = false;
    }
}
