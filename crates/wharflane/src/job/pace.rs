//! Holds back tasks that fill a worker while a lasting task there misses its target.

use std::time;

/// A tail above this share of the target counts as a miss; leaves room for a rough figure.
const MISS_PERCENT: u64 = 90;
/// A tail below this share of the target counts as calm.
const CALM_PERCENT: u64 = 60;
/// How long a change of pace takes to show: two figures of half a second each.
const SETTLE: time::Duration = time::Duration::from_millis(900);
/// How long a worker must be calm before work is let go faster again.
const CALM: time::Duration = time::Duration::from_millis(1_500);
/// The longest wait for calm after paces that were too fast.
const LONGEST_CALM: time::Duration = time::Duration::from_secs(12);
/// The shares, from full speed to a standstill.
const STEPS: [u8; 4] = [100, 50, 20, 0];

/// The share at which tasks that fill one worker work.
#[derive(Clone, Debug)]
pub(super) struct Pacing {
    /// The position in `STEPS`.
    level: usize,
    /// When the share was changed last.
    changed: time::Duration,
    /// Since when all targets are kept with ease.
    calm_since: Option<time::Duration>,
    /// How long calm must last before the next faster share.
    calm: time::Duration,
}

impl Default for Pacing {
    fn default() -> Self {
        Self { level: 0, changed: time::Duration::ZERO, calm_since: None, calm: CALM }
    }
}

impl Pacing {
    /// Returns the share in force, in percent.
    pub fn percent(&self) -> u8 {
        STEPS[self.level]
    }

    /// Takes the worst tail of a worker as percent of its target; returns whether the share changed.
    pub fn note(&mut self, worst_percent: u64, now: time::Duration) -> bool {
        let settled = now.saturating_sub(self.changed) >= SETTLE;
        if worst_percent > MISS_PERCENT {
            self.calm_since = None;
            if !settled || self.level + 1 == STEPS.len() {
                return false;
            }
            self.calm = (self.calm * 2).min(LONGEST_CALM);
            self.level += 1;
            self.changed = now;
            return true;
        }
        if worst_percent > CALM_PERCENT || self.level == 0 {
            self.calm_since = None;
            return false;
        }
        let since = *self.calm_since.get_or_insert(now);
        if !settled || now.saturating_sub(since) < self.calm {
            return false;
        }
        self.calm_since = None;
        self.level -= 1;
        self.changed = now;
        true
    }
}
