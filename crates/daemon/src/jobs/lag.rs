//! Bounds the warnings about the lag of the actor of a domain: the age of the events that its engine
//! handles.

use std::time;

/// Lag from which a warning is logged: a quarter of the age that a count may have, and of the
/// lease.
pub const WARN_THRESHOLD: time::Duration = time::Duration::from_millis(500);
/// Minimum time between two warnings.
const WARN_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// The lag of an actor since its last warning.
#[derive(Clone, Debug, Default)]
pub struct Lag {
    /// Longest lag since the last warning.
    longest: time::Duration,
    /// Time of the last warning; `None` before the first.
    last_warning: Option<time::Duration>,
}

impl Lag {
    /// Records the lag at a tick; returns the longest one since the last warning if a new warning is
    /// due.
    pub fn record(&mut self, lag: time::Duration, now: time::Duration) -> Option<time::Duration> {
        self.longest = self.longest.max(lag);
        let warning_due = self
            .last_warning
            .is_none_or(|last_warning| now.saturating_sub(last_warning) >= WARN_INTERVAL);
        if self.longest < WARN_THRESHOLD || !warning_due {
            return None;
        }
        self.last_warning = Some(now);
        Some(std::mem::take(&mut self.longest))
    }
}
