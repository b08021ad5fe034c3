//! The clock as a trait, so that tests can run every decision in virtual time.
//!
//! Time must advance while a host is suspended, because others keep counting: leases of workers and
//! holders, the age of data that was read, callers' deadlines. `CLOCK_MONOTONIC` stops during a
//! suspend, so it is not used here. A host that resumes finds its own leases expired, as the other
//! hosts do.

use std::fmt;
use std::sync;
use std::time;

use nix::time as nix_time;

/// A monotonic clock.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Returns the time since the clock's own origin.
    fn now(&self) -> time::Duration;
}

/// The operating system's clock that includes suspended time; its origin is the moment of its
/// creation.
#[derive(Debug)]
pub struct SystemClock {
    /// The time since boot at the origin.
    origin: time::Duration,
}

impl SystemClock {
    /// Creates a clock whose origin is now.
    #[must_use]
    pub fn new() -> Self {
        Self { origin: boot_time() }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> time::Duration {
        boot_time().saturating_sub(self.origin)
    }
}

/// Returns the time since boot, including suspended time.
fn boot_time() -> time::Duration {
    let since_boot = nix_time::clock_gettime(nix_time::ClockId::CLOCK_BOOTTIME);
    // Linux has had this clock since 2011. No lease or deadline would hold without it.
    since_boot.expect("CLOCK_BOOTTIME must be available").into()
}

/// A clock that advances only on request, for tests.
#[derive(Debug, Default)]
pub struct ManualClock {
    /// The time since the origin.
    now: sync::Mutex<time::Duration>,
}

impl ManualClock {
    /// Advances the clock.
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
