//! Task leases that earlier holders granted, and how long they may last.
//!
//! A holder knows only what the lease row tells of holders before it, so each row tells two things:
//! the longest lease that its own holder requests, and how much longer leases of all holders before
//! that one may last. Hosts don't compare clocks: a reader counts that rest from when it first read
//! the row, which is after the row was written. So a change of the holder never shortens the rest,
//! and prolongs it only by the time that the row took to be read.

use std::time;

use crate::job::engine;
use crate::job::workers::worker;

/// The leases that may have been granted before a holder, or before it knew a worker.
#[derive(Clone, Copy, Debug)]
pub(in crate::job) struct Inherited {
    /// The longest of them.
    pub lease: time::Duration,
    /// When all of them have expired at the latest, by this host's clock.
    pub until: time::Duration,
}

impl Inherited {
    /// Returns what a host inherits that takes a lease row at `now`.
    ///
    /// The holder in the row may have granted leases until `extra` after now. Where the row doesn't
    /// tell how long leases are, they count as `longest`.
    pub fn from_seen(
        seen: &engine::Seen,
        now: time::Duration,
        extra: time::Duration,
        longest: time::Duration,
    ) -> Self {
        let requested = match seen.lease.hold_ms {
            0 => longest,
            hold_ms => time::Duration::from_millis(hold_ms),
        };
        let granted = requested + extra;
        let earlier = match seen.lease.earlier_left_ms {
            None => worker::longest_by_holder_clock(longest),
            Some(left_ms) => time::Duration::from_millis(left_ms),
        };
        let earlier_left = (seen.since + earlier).saturating_sub(now);
        Self {
            lease: granted.max(earlier_left),
            until: now + worker::longest_by_holder_clock(granted).max(earlier_left),
        }
    }

    /// Returns the longest time that a lease may still last, by the clock of a worker that answers
    /// a heartbeat sent at `sent`: from then on it accepts nothing of earlier holders.
    pub fn longest_left(&self, sent: time::Duration) -> time::Duration {
        self.lease.min(self.until.saturating_sub(sent))
    }

    /// Returns how much longer the leases may last, in milliseconds, rounded up.
    pub fn left_ms(&self, now: time::Duration) -> u64 {
        let left = self.until.saturating_sub(now).as_nanos().div_ceil(1_000_000);
        u64::try_from(left).unwrap_or(u64::MAX)
    }
}
