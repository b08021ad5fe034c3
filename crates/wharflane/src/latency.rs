//! A latency estimate of fixed size: counts in buckets that grow by a quarter.

use std::time;

/// The number of buckets; the last holds everything above.
const BUCKETS: usize = 80;
/// The upper edge of the first bucket, in microseconds.
const FIRST_US: f64 = 50.0;
/// How much each bucket is wider than the one before.
const GROWTH: f64 = 1.25;

/// Histogram of one interval.
#[derive(Clone, Debug)]
pub struct Histogram {
    /// The count of each bucket.
    counts: [u32; BUCKETS],
    /// The count of all.
    total: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { counts: [0; BUCKETS], total: 0 }
    }
}

impl Histogram {
    /// Notes a latency.
    pub fn record(&mut self, latency: time::Duration) {
        let us = latency.as_micros() as f64;
        let at = (us / FIRST_US).max(1.0).log(GROWTH).ceil();
        self.counts[(at as usize).min(BUCKETS - 1)] += 1;
        self.total += 1;
    }

    /// Returns how many were noted.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Returns the upper edge of the bucket that holds a share of all, in microseconds.
    #[must_use]
    pub fn quantile_us(&self, share: f64) -> u64 {
        let wanted = (f64::from(self.total) * share).ceil().max(1.0);
        let mut seen = 0.0;
        for (at, count) in self.counts.iter().enumerate() {
            seen += f64::from(*count);
            if seen >= wanted {
                return (FIRST_US * GROWTH.powi(i32::try_from(at).unwrap_or(0))) as u64;
            }
        }
        0
    }

    /// Returns what was noted and starts anew.
    pub fn take(&mut self) -> Self {
        std::mem::take(self)
    }
}
