//! Task leases that earlier holders granted, and how long they may last.
//!
//! A holder knows only what the lease row tells of holders before it, so each row tells two things:
//! the longest lease that its own holder requests, and how much longer leases of all holders before
//! that one may last. Hosts don't compare clocks: a reader counts that rest from when it first read
//! the row, which is after the row was written. So a change of the holder never shortens the rest,
//! and prolongs it only by the time that the row took to be read.

use std::collections;
use std::time;

use crate::id;
use crate::job::engine;
use crate::job::rows as job_rows;
use crate::job::workers::unshown;
use crate::job::workers::worker;

/// The most restarted workers in a lease row; with names of 200 bytes, the store's limit, they take
/// 16 KB.
const MAX_RESTARTED: usize = 64;

/// Leases on a worker that were granted before its holder, or before the holder knew it.
#[derive(Clone, Copy, Debug)]
pub(in crate::job) struct Leases {
    /// The longest of those that may have been granted until now.
    pub longest: time::Duration,
    /// When all others, which are older, have expired at the latest, by this host's clock.
    pub older_until: time::Duration,
    /// When all of them have expired at the latest, by this host's clock.
    pub until: time::Duration,
}

impl Leases {
    /// Returns the longest time that one may still last, by the clock of a worker that answers a
    /// heartbeat sent at `sent`: from then on it accepts nothing of earlier holders.
    pub fn longest_left(&self, sent: time::Duration) -> time::Duration {
        self.longest.max(self.older_until.saturating_sub(sent))
    }
}

/// The leases that a holder inherits from earlier ones.
#[derive(Clone, Debug)]
pub(in crate::job) struct Inherited {
    /// Those that any worker may have.
    pub leases: Leases,
    /// When the leases on a worker that restarted under its id have expired. It may carry out an
    /// order for the incarnation before until it answers, and keeps that run's lease from then on.
    restarted: collections::BTreeMap<id::Incarnation, time::Duration>,
    /// The version up to which all recorded starts are shown; absent if that is unknown.
    shown_upto: Option<u64>,
    /// Until when an order of an earlier holder may arrive in time.
    orders_arrived_until: time::Duration,
}

impl Inherited {
    /// Returns what a host inherits that takes a lease row at `now`.
    ///
    /// The holder in the row may have granted leases until `extra` after now. What the row doesn't
    /// tell counts as `longest`, the longest lease that workers grant.
    pub fn from_seen(
        seen: &engine::Seen,
        now: time::Duration,
        extra: time::Duration,
        longest: time::Duration,
    ) -> Self {
        let (requested, older_left) = match (seen.lease.hold_ms, seen.lease.earlier_left_ms) {
            // No older lease can outlast this one.
            (0, _) => (longest, time::Duration::ZERO),
            (hold_ms, None) => {
                (time::Duration::from_millis(hold_ms), worker::longest_by_holder_clock(longest))
            }
            (hold_ms, Some(left_ms)) => {
                (time::Duration::from_millis(hold_ms), time::Duration::from_millis(left_ms))
            }
        };
        let granted = requested + extra;
        let older_until = seen.since + older_left;
        let until = older_until.max(now + worker::longest_by_holder_clock(granted));
        let leases = Leases { longest: granted, older_until, until };
        let restarted = seen.lease.restarted.iter().map(|restarted| {
            let left = time::Duration::from_millis(restarted.left_ms);
            (restarted.incarnation.clone(), seen.since + left)
        });
        Self {
            leases,
            restarted: restarted.collect(),
            shown_upto: seen.lease.shown_upto,
            orders_arrived_until: now + extra + unshown::MAX_CALL_TIME,
        }
    }

    /// Returns until when an order for a start may arrive in time that an earlier holder recorded in
    /// a row of the given version, or nothing if its worker is known to have taken it. `unshown` is
    /// what the row tells of the start.
    pub fn start_arrived_until(&self, unshown: bool, version: u64) -> Option<time::Duration> {
        let open = self.shown_upto.is_none_or(|upto| unshown && version > upto);
        open.then_some(self.orders_arrived_until)
    }

    /// Returns the leases that a worker may have.
    pub fn on(&self, worker: &id::Incarnation) -> Leases {
        let restarted = self.restarted.get(worker).filter(|until| **until > self.leases.until);
        restarted.map_or(self.leases, |until| Leases {
            older_until: *until,
            until: *until,
            ..self.leases
        })
    }

    /// Records until when orders for the incarnation before may keep a run on a worker.
    pub fn note_restart(
        &mut self,
        worker: &id::Incarnation,
        until: time::Duration,
        now: time::Duration,
    ) {
        self.restarted.retain(|_, until| *until > now);
        self.restarted.insert(worker.clone(), until);
    }

    /// Records that a worker has answered this holder, so that it accepts no earlier order any more.
    /// What runs there has leases until `until` at the latest.
    pub fn note_answer(&mut self, worker: &id::Incarnation, runs: bool, until: time::Duration) {
        match self.restarted.get_mut(worker) {
            Some(recorded) if runs => *recorded = until.min(*recorded),
            _ => drop(self.restarted.remove(worker)),
        }
    }

    /// Writes into a lease row how much longer the leases may last.
    pub fn hand_on(&self, row: &mut job_rows::Lease, now: time::Duration) {
        let later = self.restarted.iter().filter(|(_, until)| **until > self.leases.until);
        let mut later = later.filter(|(_, until)| **until > now);
        row.restarted = later
            .by_ref()
            .take(MAX_RESTARTED)
            .map(|(worker, until)| job_rows::Restarted {
                incarnation: worker.clone(),
                left_ms: left_ms(*until, now),
            })
            .collect();
        // Those beyond the limit make all leases count as longer.
        let until = later.map(|(_, until)| *until).max().unwrap_or_default();
        row.earlier_left_ms = Some(left_ms(until.max(self.leases.until), now));
    }

    /// Returns how much longer the leases that any worker may have last, in milliseconds.
    pub fn left_ms(&self, now: time::Duration) -> u64 {
        left_ms(self.leases.until, now)
    }
}

/// Returns the time left until a moment, in milliseconds, rounded up.
fn left_ms(until: time::Duration, now: time::Duration) -> u64 {
    let left = until.saturating_sub(now).as_nanos().div_ceil(1_000_000);
    u64::try_from(left).unwrap_or(u64::MAX)
}
