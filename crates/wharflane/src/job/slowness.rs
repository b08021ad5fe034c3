//! Tells a host that has become slow from one that has much to do.
//!
//! Both let events wait. A busy host handles as many events a second as ever; a slow one handles fewer than it did
//! while none waited. Only the slow one gives its domain up: the next host of a busy domain would be as busy.

use std::time;

/// How long events are counted at a time.
const WINDOW: time::Duration = time::Duration::from_millis(500);
/// The wait of a tick from which on a host lags: each task of the process waits as long, and a commit passes several.
const LAGS: time::Duration = time::Duration::from_millis(100);
/// The wait of a tick up to which a window shows what the host handles with ease.
const CALM: time::Duration = time::Duration::from_millis(60);
/// Below which part of its usual rate a host that lags is slow, in percent. Hosts are slowed fivefold and more.
const SLOW_PERCENT: u64 = 50;
/// How many windows in a row must be slow: shorter troubles end before another host has read the state.
const SLOW_WINDOWS: u32 = 2;
/// How many calm windows must have been seen before a rate counts as usual.
const CALM_WINDOWS: u32 = 6;
/// The weight of the newest calm window in the usual rate, in percent.
const NEWEST_PERCENT: u64 = 20;

/// The rate at which a host handles the events of its domain.
#[derive(Clone, Debug, Default)]
pub struct SlownessDetector {
    /// When the window under way began.
    began: Option<time::Duration>,
    /// The events handled in it.
    handled: u64,
    /// The longest wait of a tick in it.
    most_lag: time::Duration,
    /// The ticks in it.
    ticks: u32,
    /// Those that lagged.
    lagging: u32,
    /// The usual rate, in events in 1,000 seconds.
    usual_milli: u64,
    /// The calm windows seen so far.
    calm: u32,
    /// The slow windows in a row.
    slow: u32,
}

impl SlownessDetector {
    /// Counts an event.
    pub fn event(&mut self) {
        self.handled += 1;
    }

    /// Takes how long a tick has waited, and returns whether the host has become slow.
    pub fn tick(&mut self, now: time::Duration, waited: time::Duration) -> bool {
        self.handled += 1;
        self.most_lag = self.most_lag.max(waited);
        self.ticks += 1;
        self.lagging += u32::from(waited >= LAGS);
        let began = *self.began.get_or_insert(now);
        let lasted = now.saturating_sub(began);
        if lasted < WINDOW {
            return false;
        }
        let lasted_ms = u64::try_from(lasted.as_millis()).unwrap_or(u64::MAX).max(1);
        self.close(self.handled.saturating_mul(1_000_000) / lasted_ms);
        self.began = Some(now);
        self.handled = 0;
        self.most_lag = time::Duration::ZERO;
        (self.ticks, self.lagging) = (0, 0);
        self.slow >= SLOW_WINDOWS
    }

    /// Judges a window by its rate.
    fn close(&mut self, rate_milli: u64) {
        // Where events wait all the time the rate is what the host can do; behind a short pause it is what there was to do.
        let lags = self.lagging * 2 > self.ticks;
        let known = self.calm >= CALM_WINDOWS;
        let slow = lags && known && rate_milli < self.usual_milli * SLOW_PERCENT / 100;
        self.slow = if slow { self.slow + 1 } else { 0 };
        if self.most_lag > CALM {
            return;
        }
        self.usual_milli = if self.calm == 0 {
            rate_milli
        } else {
            (self.usual_milli * (100 - NEWEST_PERCENT) + rate_milli * NEWEST_PERCENT) / 100
        };
        self.calm += 1;
    }
}
