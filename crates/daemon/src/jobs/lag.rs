//! How far the actor of a domain lags behind its time: how much later than due it takes a tick.
//!
//! Ticks stand in the same queue as all other events, so a lag is the age of what the engine takes in.

use std::time;

/// From here on a lag is told: a quarter of the age that a count may have, and of the lease.
pub const MOST: time::Duration = time::Duration::from_millis(500);
/// The time between two lines of a lag that comes and goes, or stays.
const TOLD_AGAIN: time::Duration = time::Duration::from_secs(10);

/// The lag of an actor.
#[derive(Clone, Debug, Default)]
pub struct Lag {
    /// The longest since it was last told.
    longest: time::Duration,
    /// When it was last told.
    told: Option<time::Duration>,
}

impl Lag {
    /// Notes that a tick was taken; returns the longest lag since the last line where a line is due.
    pub fn note(&mut self, due: time::Duration, now: time::Duration) -> Option<time::Duration> {
        self.longest = self.longest.max(now.saturating_sub(due));
        let again = self.told.is_none_or(|told| now.saturating_sub(told) >= TOLD_AGAIN);
        if self.longest < MOST || !again {
            return None;
        }
        self.told = Some(now);
        Some(std::mem::take(&mut self.longest))
    }
}
