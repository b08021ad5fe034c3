//! The lease of a hall: which host may write for the hall, and when another host may take over.
//!
//! Hosts don't compare clocks. A host acquires the lease only after it has observed the head row
//! unchanged for a full lease by its own clock.

use std::time;

use serde::{Deserialize, Serialize};

use crate::id;

/// The head row of a hall: its lease and the end of its log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The holder of the lease; `None` after a release.
    pub holder: Option<id::HostId>,
    /// Increases with every change of the holder.
    pub epoch: u64,
    /// The sequence number of the last commit in the log.
    pub seq: u64,
    /// A unique token of the transaction that wrote this row.
    pub token: String,
    /// The latest configuration revision that a holder acted on.
    pub config_revision: u64,
    /// The snapshot that the log continues from.
    pub snapshot: Option<Snapshot>,
}

/// A snapshot in the object store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The key of the object.
    pub key: String,
    /// The sequence number of the last commit that the snapshot includes.
    pub seq: u64,
}

/// One host's observations of a hall's head row, timed by that host's clock only.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    /// The highest version observed.
    newest_version: u64,
    /// Since when that version has been observed without a gap.
    unchanged_since: Option<time::Duration>,
    /// When the row was last read.
    last_read: Option<time::Duration>,
}

impl Observer {
    /// Records a version of the row; versions older than the highest are ignored.
    ///
    /// If the row could not be read for longer than `gap`, the observation starts over: while the
    /// store was down, the holder could not renew the row either.
    pub fn observe(&mut self, version: u64, gap: time::Duration, now: time::Duration) {
        let gap_exceeded = self.last_read.is_none_or(|last| now.saturating_sub(last) > gap);
        if gap_exceeded || version > self.newest_version {
            self.newest_version = self.newest_version.max(version);
            self.unchanged_since = Some(now);
        }
        self.last_read = Some(now);
    }

    /// Returns whether the host with this rank among the live hosts may try to acquire the lease.
    #[must_use]
    pub fn may_acquire(
        &self,
        head: Option<&Head>,
        rank: usize,
        timing: &Timing,
        now: time::Duration,
    ) -> bool {
        let Some(unchanged_since) = self.unchanged_since else {
            return false;
        };
        let free = head.is_none_or(|head| head.holder.is_none());
        let lease = if free { time::Duration::ZERO } else { timing.lease };
        let hosts_ahead = u32::try_from(rank).unwrap_or(u32::MAX);
        now.saturating_sub(unchanged_since) >= lease + timing.turn.saturating_mul(hosts_ahead)
    }
}

/// The durations that govern a lease.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long a row must stay unchanged before another host may acquire the lease.
    pub lease: time::Duration,
    /// The additional wait for each host of higher rank.
    pub turn: time::Duration,
}
