//! Tells for how long the store has left this host without an answer.
//!
//! Time in which the host asks nothing doesn't count, so that a host that asks rarely does not take
//! the store for lost.

use std::sync::atomic;
use std::time;

/// Reading of `asked_ms` while no call waits for its answer.
const NOTHING_ASKED: u64 = u64::MAX;

/// The contact of a host with the store.
#[derive(Debug, Default)]
pub struct Contact {
    /// When the first call was sent that the store has not answered since its last answer, in
    /// milliseconds of the host's clock. At its start a host counts as having asked at zero.
    asked_ms: atomic::AtomicU64,
}

impl Contact {
    /// Records that a call is sent that the store must answer at once.
    pub fn note_call(&self, now: time::Duration) {
        let asked = (NOTHING_ASKED, millis(now));
        let relaxed = atomic::Ordering::Relaxed;
        // A call that is sent while others wait does not make the silence shorter.
        let _earlier = self.asked_ms.compare_exchange(asked.0, asked.1, relaxed, relaxed);
    }

    /// Records an answer of the store.
    pub fn note_answer(&self) {
        self.asked_ms.store(NOTHING_ASKED, atomic::Ordering::Relaxed);
    }

    /// Returns for how long the store has left calls unanswered.
    #[must_use]
    pub fn silence(&self, now: time::Duration) -> time::Duration {
        match self.asked_ms.load(atomic::Ordering::Relaxed) {
            NOTHING_ASKED => time::Duration::ZERO,
            asked_ms => now.saturating_sub(time::Duration::from_millis(asked_ms)),
        }
    }
}

/// Returns a reading of the clock in milliseconds.
fn millis(now: time::Duration) -> u64 {
    u64::try_from(now.as_millis()).unwrap_or(NOTHING_ASKED - 1)
}
