//! Chooses the `Retry-After` of calls that could not be carried out.
//!
//! A caller has only a few seconds. If the delay is too long, the call fails for good; if it is the
//! same for all callers, they all return at the same time. The delay depends on the cause, as far
//! as this host knows it:
//!
//! - No configuration yet (503): nothing was sent. The delay is 1 s, since this host has just
//!   started, others have a configuration, and one more refusal costs the store nothing.
//! - Store silent (503): nothing was sent, or only a read. The delay is 1 s at first, then up to a
//!   bound that grows with the outage.
//! - Store rejected the call (503): the call had no effect, as the store reports. The delay is 1 or
//!   2 s at first, then as above.
//! - Store too slow for the time that the caller has left (503): nothing was sent. The delay is 1 s,
//!   since the caller has hardly more.
//! - No memory for the body (503): the call was not read as a whole, so nothing was sent. The delay is
//!   1 s, since other hosts may have memory, and bodies end or are given up within seconds.
//! - This host closes its connections before the store would answer (503): nothing was sent. The
//!   delay is 1 s, since other hosts serve on.
//! - No answer to a write (504): it may take effect, now or later. The delay is 1 s, since the same
//!   call then reads its row and reports the result.
//! - Row or count unknown (503): nothing was to be changed. The delay is 1 s, since counts are
//!   written every 0.7 s.
//!
//! A stop is a cause only for calls that the host can't finish: it answers all others until its
//! ports close, and callers then use other hosts.
//!
//! A host can't know whether a silent store is silent to all hosts or whether its own network is
//! cut. At first 1 s is best in both cases, as another host may carry out the call and short
//! outages end by themselves. Callers that return during a longer outage have mostly been refused
//! before, perhaps by other hosts. That makes an outage for all hosts more likely, and callers
//! accumulate, so from then on their delays are spread. The bound depends only on the age of the
//! current outage. The length of earlier outages would change only the first seconds, when a
//! network cut of this host alone is just as likely.
//!
//! A store that rejects calls does answer, so the network is not cut. It rejects calls under load,
//! after queueing them, and many at the same time, so the delays of their callers are spread from
//! the start.

use std::time;

/// Shortest delay, since the header has whole seconds.
pub const MIN_DELAY: time::Duration = time::Duration::from_secs(1);
/// Longest delay: as long as callers commonly wait in total.
pub const MAX_DELAY: time::Duration = time::Duration::from_secs(3);
/// Duration of an outage for which the bound grows by one second. A host replaces its own silent
/// connections within 1.5 s, so a longer outage is not caused by these.
const GROWTH_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Initial bound, in seconds, for callers of a store that rejects calls: the smallest that spreads
/// their retries.
const MIN_BUSY_BOUND_SECS: u64 = 2;

/// Why a call could not be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// This host has no configuration yet.
    NoConfiguration,
    /// The store does not answer this host.
    StoreSilent,
    /// The store answered and rejected the call.
    StoreBusy,
    /// The store answers, but too slowly for the time that the caller has left.
    StoreSlow,
    /// This host is stopping and closes its connections before the store would answer.
    Stopping,
    /// This host has no memory for the call's body.
    NoRoom,
    /// A write got no answer and may have taken effect.
    InDoubt,
    /// The requested state is unknown at the moment, though the store answers.
    NotKnown,
}

impl Cause {
    /// Returns the name of the cause in logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::StoreSilent => "store-silent",
            Self::StoreBusy => "store-busy",
            Self::StoreSlow => "store-slow",
            Self::Stopping => "stopping",
            Self::NoRoom => "no-room",
            Self::InDoubt => "in-doubt",
            Self::NotKnown => "not-known",
        }
    }

    /// Returns the upper bound of the delay in seconds, for a store that has failed for `lasted`.
    fn max_secs(self, lasted: time::Duration) -> u64 {
        let grown = MIN_DELAY.as_secs() + lasted.as_secs() / GROWTH_INTERVAL.as_secs();
        match self {
            Self::NoConfiguration
            | Self::StoreSlow
            | Self::Stopping
            | Self::NoRoom
            | Self::InDoubt
            | Self::NotKnown => MIN_DELAY.as_secs(),
            Self::StoreSilent => grown.min(MAX_DELAY.as_secs()),
            Self::StoreBusy => grown.clamp(MIN_BUSY_BOUND_SECS, MAX_DELAY.as_secs()),
        }
    }
}

/// Returns the delay after which a caller may retry, in whole seconds.
///
/// `lasted` is how long the store has not carried out anything for this host, `left` is the
/// caller's remaining time, and `draw` is a random number that spreads the callers.
#[must_use]
pub fn of(cause: Cause, lasted: time::Duration, left: time::Duration, draw: u64) -> time::Duration {
    let shortest = MIN_DELAY.as_secs();
    let longest = cause.max_secs(lasted).min(left.as_secs()).max(shortest);
    time::Duration::from_secs(shortest + draw % (longest - shortest + 1))
}
