//! Estimates the store's clock between two of its answers.
//!
//! The estimate is exact but for the time that an answer took to arrive. It only tells how old a
//! row is; no lease is granted or ended by it.

use std::time;

use crate::job::workers::worker;

/// The store's clock, as of its latest answer with the time.
#[derive(Clone, Copy, Debug)]
pub(in crate::job) struct StoreClock {
    /// The time that the store stated, in milliseconds.
    stated_ms: u64,
    /// When the answer arrived.
    at: time::Duration,
}

impl StoreClock {
    /// Returns the later of an estimate and an answer that has just arrived. Answers arrive late, so
    /// each of them states a time that the clock has passed.
    pub fn latest(
        before: Option<Self>,
        stated_ms: Option<u64>,
        now: time::Duration,
    ) -> Option<Self> {
        let stated = stated_ms.map(|stated_ms| Self { stated_ms, at: now });
        before.into_iter().chain(stated).max_by_key(|clock| clock.ms(now))
    }

    /// Returns the time of the store's clock, in milliseconds.
    pub fn ms(self, now: time::Duration) -> u64 {
        self.stated_ms.saturating_add(worker::millis(now.saturating_sub(self.at)))
    }
}
