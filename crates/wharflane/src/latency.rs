//! A latency histogram of fixed size, with bucket widths that grow by a quarter.

use std::time;

/// The number of buckets; the last one also counts everything above it.
const BUCKETS: usize = 80;
/// The upper edge of the first bucket, in microseconds.
const FIRST_US: f64 = 50.0;
/// The ratio between the upper edges of adjacent buckets.
const GROWTH: f64 = 1.25;

/// The latencies of one reporting interval.
#[derive(Clone, Debug)]
pub struct Histogram {
    /// The number of samples in each bucket.
    counts: [u32; BUCKETS],
    /// The number of samples in all buckets.
    total: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { counts: [0; BUCKETS], total: 0 }
    }
}

impl Histogram {
    /// Records a sample.
    pub fn record(&mut self, latency: time::Duration) {
        let us = latency.as_micros() as f64;
        let bucket = (us / FIRST_US).max(1.0).log(GROWTH).ceil();
        self.counts[(bucket as usize).min(BUCKETS - 1)] += 1;
        self.total += 1;
    }

    /// Returns the number of samples.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Returns the upper edge of the bucket that contains the quantile `share`, in microseconds, or
    /// zero without samples.
    #[must_use]
    pub fn quantile_us(&self, share: f64) -> u64 {
        let rank = (f64::from(self.total) * share).ceil().max(1.0);
        let mut seen = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += f64::from(*count);
            if seen >= rank {
                return (FIRST_US * GROWTH.powi(i32::try_from(bucket).unwrap_or(0))) as u64;
            }
        }
        0
    }

    /// Returns the samples recorded so far and clears the histogram.
    pub fn take(&mut self) -> Self {
        std::mem::take(self)
    }
}
