//! Distinguishes a host that has become slow from one that is merely busy.
//!
//! On both, events queue up. A busy host handles as many events per second as usual, a slow one
//! fewer than it did while no events queued up. Only a slow host gives up its domain, since the
//! next holder of a busy domain would be just as busy.

use std::time;

/// Duration of one measurement window.
const WINDOW: time::Duration = time::Duration::from_millis(500);
/// Delay of a tick from which on a host lags. Every task of the process is delayed as much, and a
/// commit passes through several.
const LAG_THRESHOLD: time::Duration = time::Duration::from_millis(100);
/// Delay of a tick up to which a window counts as calm and its rate as the usual one.
const CALM_THRESHOLD: time::Duration = time::Duration::from_millis(60);
/// A lagging host is slow below this fraction of its usual rate, in percent. Real slowdowns are
/// fivefold or more.
const SLOW_PERCENT: u64 = 50;
/// How many windows in a row must be slow; shorter slowdowns end before another host has loaded the
/// state.
const SLOW_WINDOWS: u32 = 2;
/// How many calm windows it takes until the usual rate is considered known.
const CALM_WINDOWS: u32 = 6;
/// Weight of the newest calm window in the usual rate, in percent.
const NEWEST_WEIGHT_PERCENT: u64 = 20;

/// Detects a slowdown from the rate at which a host handles the events of its domain.
#[derive(Clone, Debug, Default)]
pub struct SlownessDetector {
    /// When the current window began; `None` before the first tick.
    began: Option<time::Duration>,
    /// The number of events handled in the window.
    handled: u64,
    /// The longest delay of a tick in the window.
    max_lag: time::Duration,
    /// The number of ticks in the window.
    ticks: u32,
    /// The number of these ticks that lagged.
    lagging: u32,
    /// The usual rate, in events per 1,000 seconds.
    usual_milli: u64,
    /// The number of calm windows so far.
    calm: u32,
    /// The number of slow windows in a row.
    slow: u32,
}

impl SlownessDetector {
    /// Counts a handled event.
    pub fn event(&mut self) {
        self.handled += 1;
    }

    /// Records the delay of a tick; returns whether the host has become slow.
    pub fn tick(&mut self, now: time::Duration, waited: time::Duration) -> bool {
        self.handled += 1;
        self.max_lag = self.max_lag.max(waited);
        self.ticks += 1;
        self.lagging += u32::from(waited >= LAG_THRESHOLD);
        let began = *self.began.get_or_insert(now);
        let lasted = now.saturating_sub(began);
        if lasted < WINDOW {
            return false;
        }
        let lasted_ms = u64::try_from(lasted.as_millis()).unwrap_or(u64::MAX).max(1);
        self.close_window(self.handled.saturating_mul(1_000_000) / lasted_ms);
        self.began = Some(now);
        self.handled = 0;
        self.max_lag = time::Duration::ZERO;
        (self.ticks, self.lagging) = (0, 0);
        self.slow >= SLOW_WINDOWS
    }

    /// Evaluates a finished window by its rate.
    fn close_window(&mut self, rate_milli: u64) {
        // While ticks keep lagging, the rate shows what the host can handle. After a short pause it
        // only shows how much there was to handle.
        let lags = self.lagging * 2 > self.ticks;
        let known = self.calm >= CALM_WINDOWS;
        let slow = lags && known && rate_milli < self.usual_milli * SLOW_PERCENT / 100;
        self.slow = if slow { self.slow + 1 } else { 0 };
        if self.max_lag > CALM_THRESHOLD {
            return;
        }
        self.usual_milli = if self.calm == 0 {
            rate_milli
        } else {
            (self.usual_milli * (100 - NEWEST_WEIGHT_PERCENT) + rate_milli * NEWEST_WEIGHT_PERCENT)
                / 100
        };
        self.calm += 1;
    }
}
