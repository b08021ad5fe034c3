//! The clock as an interface, so that every decision can be tested in virtual time.

use std::fmt;
use std::sync;
use std::time;

/// A monotonic clock.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Returns the time since the clock's own origin.
    fn now(&self) -> time::Duration;
}

/// The clock of the operating system, counted from the moment it was made.
#[derive(Debug)]
pub struct SystemClock {
    /// The moment that counts as zero.
    origin: time::Instant,
}

impl SystemClock {
    /// Makes a clock whose origin is the present moment.
    #[must_use]
    pub fn new() -> Self {
        Self { origin: time::Instant::now() }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> time::Duration {
        self.origin.elapsed()
    }
}

/// A clock that moves only when it is told to.
#[derive(Debug, Default)]
pub struct ManualClock {
    /// The time since the origin.
    now: sync::Mutex<time::Duration>,
}

impl ManualClock {
    /// Moves the clock forward.
    pub fn advance(&self, by: time::Duration) {
        let mut now = self.now.lock().unwrap_or_else(sync::PoisonError::into_inner);
        *now += by;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> time::Duration {
        *self.now.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
