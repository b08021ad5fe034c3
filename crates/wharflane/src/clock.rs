//! The clock as an interface, so that every decision can be tested in virtual time.
//!
//! Time goes on while a host is suspended, since others reckon with it: leases of workers and holders, ages of what was
//! read, callers' deadlines. The steady clock of the system stands still meanwhile, so it is not used here; a host that
//! wakes finds its leases over by its own clock, as the others do.

use std::fmt;
use std::sync;
use std::time;

use nix::time as nix_time;

/// A monotonic clock.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Returns the time since the clock's own origin.
    fn now(&self) -> time::Duration;
}

/// The clock of the operating system that counts suspended time too, from the moment it was made.
#[derive(Debug)]
pub struct SystemClock {
    /// What it showed then.
    origin: time::Duration,
}

impl SystemClock {
    /// Makes a clock whose origin is the present moment.
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

/// Returns the time since the system was booted, suspended or not.
fn boot_time() -> time::Duration {
    let shown = nix_time::clock_gettime(nix_time::ClockId::CLOCK_BOOTTIME);
    // The kernels that we run on have this clock since 2011; without it nothing that is reckoned here would hold.
    shown.expect("a system with CLOCK_BOOTTIME").into()
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
