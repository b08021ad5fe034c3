//! The lease of a hall: who writes for it, and when another may take it.

use std::time;

use serde::{Deserialize, Serialize};

use crate::id;

/// The head row of a hall: its lease and the end of its log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The holder, or nobody after a release.
    pub holder: Option<id::HostId>,
    /// Grows with every change of the holder.
    pub epoch: u64,
    /// The last commit in the log.
    pub seq: u64,
    /// The mark of the transaction that wrote this row.
    pub token: String,
    /// The configuration revision that the holder acted on last.
    pub config_revision: u64,
    /// The snapshot that the log starts from.
    pub snapshot: Option<Snapshot>,
}

/// A snapshot in the object store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The object's key.
    pub key: String,
    /// The last commit that it holds.
    pub seq: u64,
}

/// What one host has seen of a hall's head row, by its own clock alone.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    /// The newest version seen.
    version: u64,
    /// Since when that version was seen without a gap.
    since: Option<time::Duration>,
    /// When the row was last seen.
    last: Option<time::Duration>,
}

impl Observer {
    /// Notes a version of the row; an older one than seen before is ignored.
    ///
    /// A row that could not be read for longer than `gap` counts as seen anew: its holder could
    /// not write to it either while the store was down.
    pub fn observe(&mut self, version: u64, gap: time::Duration, now: time::Duration) {
        let gone = self.last.is_none_or(|last| now.saturating_sub(last) > gap);
        if gone || version > self.version {
            self.version = self.version.max(version);
            self.since = Some(now);
        }
        self.last = Some(now);
    }

    /// Returns whether the host of a rank among the live ones may try to take the lease.
    #[must_use]
    pub fn may_take(
        &self,
        head: Option<&Head>,
        rank: usize,
        timing: &Timing,
        now: time::Duration,
    ) -> bool {
        let Some(since) = self.since else {
            return false;
        };
        let free = head.is_none_or(|head| head.holder.is_none());
        let lease = if free { time::Duration::ZERO } else { timing.lease };
        let turns = u32::try_from(rank).unwrap_or(u32::MAX);
        now.saturating_sub(since) >= lease + timing.turn.saturating_mul(turns)
    }
}

/// The times of a lease.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long a row must stand unchanged before another host may take it.
    pub lease: time::Duration,
    /// How long a host waits for each one that goes before it.
    pub turn: time::Duration,
}
