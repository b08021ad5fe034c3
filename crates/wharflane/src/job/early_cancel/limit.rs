//! Limits how many early cancels a host records: anyone may cancel jobs that never were, and each
//! record costs a write and stays for minutes.

use std::time;

/// The number of early cancels that a host records at once.
const BURST: u32 = 100;
/// The time in which a host may record one more.
const REFILL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Limits how many early cancels a host records.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// How many more it may record.
    left: u32,
    /// Clock reading up to which `left` was refilled.
    refilled_at: time::Duration,
}

impl Limit {
    /// Creates a limit that allows `BURST` records at once.
    #[must_use]
    pub fn new(now: time::Duration) -> Self {
        Self { left: BURST, refilled_at: now }
    }

    /// Returns whether one more record is allowed, and counts it.
    pub fn try_take(&mut self, now: time::Duration) -> bool {
        let since = now.saturating_sub(self.refilled_at).as_millis();
        let refill = since / REFILL_INTERVAL.as_millis();
        self.refilled_at += REFILL_INTERVAL * u32::try_from(refill).unwrap_or(u32::MAX);
        let refill = u32::try_from(refill).unwrap_or(u32::MAX);
        self.left = self.left.saturating_add(refill).min(BURST);
        let allowed = self.left > 0;
        self.left -= u32::from(allowed);
        allowed
    }
}
