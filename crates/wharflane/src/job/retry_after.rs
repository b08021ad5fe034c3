//! When a caller whose call could not be done may come back.
//!
//! A caller has a few seconds. Told too long a time, it loses what it came for; told the same time as all others, it
//! comes back with them. What a host knows of why it can't do a call:
//!
//! | why | answer | may it have been done | when to come back |
//! | --- | --- | --- | --- |
//! | no configuration yet | 503 | no, nothing was sent | 1 s: the host has just started and others have one; one more refusal costs the store nothing |
//! | the store is silent | 503 | no: nothing was sent, or only a read | 1 s at first, then up to a time that grows with the silence |
//! | the store turned the call away | 503 | no, it says so | 1 or 2 s at first, then as above |
//! | a write has no answer | 504 | yes, now or later | 1 s: the same call reads its row and tells |
//! | a row or a count is not known | 503 | nothing was to be done | 1 s: counts are written every 0.7 s |
//!
//! A stopping host refuses nothing for that: it answers calls until its ports close, and others are asked from then on.
//!
//! Whether a silent store is silent to all hosts can't be known here: this host's own network may be cut. At first 1 s is
//! best either way, as another host may do the call and short silences end by themselves. Whoever comes back during a
//! longer one has mostly been sent off before, maybe elsewhere, so that the store is more likely silent to all, and callers
//! gather: from then on they are spread. The time is told by the age of this outage alone, not by the length of earlier ones: these
//! would change only the first seconds, where a cut of this host alone is as likely.
//!
//! A store that turns calls away answers, so no network is cut. It does so under load, to calls that it let wait in turn
//! and that it ends together; so their callers are spread from the start.

use std::time;

/// The least that is told: the answer has whole seconds.
pub const LEAST: time::Duration = time::Duration::from_secs(1);
/// The most that is told: as long as callers commonly wait in all.
pub const MOST: time::Duration = time::Duration::from_secs(3);
/// How long an outage lasts for each further second that is told. A host's own connections that have gone silent are
/// replaced within 1.5 s, so what lasts longer is no matter of these.
const GROWS_EACH: time::Duration = time::Duration::from_secs(2);
/// The longest time that is told at first to callers of a store that turns calls away: the least that spreads them.
const BUSY_SECS: u64 = 2;

/// Why a call could not be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// This host has no configuration yet.
    NoConfiguration,
    /// The store does not answer this host.
    StoreSilent,
    /// The store answers, and turned the call away.
    StoreBusy,
    /// A write has no answer, and may have been done.
    InDoubt,
    /// What is asked for can't be told now, though the store answers.
    NotKnown,
}

impl Cause {
    /// Returns the name of the cause for logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::StoreSilent => "store-silent",
            Self::StoreBusy => "store-busy",
            Self::InDoubt => "in-doubt",
            Self::NotKnown => "not-known",
        }
    }

    /// Returns the longest time that is told once the store has not done anything for so long, in seconds.
    fn most_secs(self, lasted: time::Duration) -> u64 {
        let grown = LEAST.as_secs() + lasted.as_secs() / GROWS_EACH.as_secs();
        match self {
            Self::NoConfiguration | Self::InDoubt | Self::NotKnown => LEAST.as_secs(),
            Self::StoreSilent => grown.min(MOST.as_secs()),
            Self::StoreBusy => grown.clamp(BUSY_SECS, MOST.as_secs()),
        }
    }
}

/// Returns when a caller may come back, in whole seconds.
///
/// `lasted` is how long the store has not done anything for this host, `left` what the caller's time still is, and `draw`
/// a random number that spreads callers.
#[must_use]
pub fn of(cause: Cause, lasted: time::Duration, left: time::Duration, draw: u64) -> time::Duration {
    let least = LEAST.as_secs();
    let most = cause.most_secs(lasted).min(left.as_secs()).max(least);
    time::Duration::from_secs(least + draw % (most - least + 1))
}
