//! Predicts run times of tasks: callers' estimates, corrected by the observed runs of their queue.
//!
//! Per queue, the logarithm of the run time is fitted to the logarithm of the estimate. The less
//! estimates correlate with run times, the closer the prediction is to the mean of the queue.

use std::collections;
use std::time;

use serde::{Deserialize, Serialize};

/// Weight of the prior, which follows the callers' estimates, in runs.
const PRIOR_RUNS: f64 = 6.0;
/// Variance of the logarithm of estimates that the prior assumes: a factor of two.
const PRIOR_VARIANCE: f64 = 0.5;
/// Estimate for which the dump shows a prediction.
const SAMPLE_ESTIMATE_MS: u64 = 1_000;
/// Maximum number of queues with learned run times. With 150 bytes of sums and a name of at most
/// `MAX_NAME_BYTES` each, they take up to 45 KB of a row.
const MAX_QUEUES: usize = 200;
/// Maximum length of the name of a queue with learned run times, in bytes.
const MAX_NAME_BYTES: usize = 70;
/// Weight of a run relative to the next one; older runs lose their weight over some thousand newer
/// ones.
const FORGETTING_FACTOR: f64 = 0.999;

/// Weighted sums over the runs of one queue, of logarithms of milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct Sums {
    /// The weights of the runs; each decreases with every later run.
    runs: f64,
    /// The estimates.
    guess: f64,
    /// The run times.
    taken: f64,
    /// The squares of the estimates.
    guess_guess: f64,
    /// The products of estimate and run time.
    guess_taken: f64,
}

/// The learned run times by queue, stored with the other learned state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(in crate::job) struct Times {
    /// The sums of each queue.
    queues: collections::BTreeMap<String, Sums>,
}

impl Times {
    /// Learns from a run that worked at its full share from start to end.
    pub fn learn(&mut self, queue: &str, estimate_ms: u64, taken: time::Duration) {
        if !self.queues.contains_key(queue) {
            if self.queues.len() >= MAX_QUEUES || queue.len() > MAX_NAME_BYTES {
                return;
            }
            self.queues.insert(queue.to_owned(), Sums::default());
        }
        let Some(sums) = self.queues.get_mut(queue) else {
            return;
        };
        let (guess, taken) = (log_ms(estimate_ms as f64), log_ms(taken.as_secs_f64() * 1e3));
        let mut all = [
            (&mut sums.runs, 1.0),
            (&mut sums.guess, guess),
            (&mut sums.taken, taken),
            (&mut sums.guess_guess, guess * guess),
            (&mut sums.guess_taken, guess * taken),
        ];
        for (sum, more) in &mut all {
            **sum = **sum * FORGETTING_FACTOR + *more;
        }
    }

    /// Returns the expected run time of a task, in milliseconds.
    pub fn expect_ms(&self, queue: &str, estimate_ms: u64) -> f64 {
        let guess = log_ms(estimate_ms as f64);
        let Some(sums) = self.queues.get(queue).filter(|sums| sums.runs > 0.0) else {
            return guess.exp();
        };
        let (mean_guess, mean_taken) = (sums.guess / sums.runs, sums.taken / sums.runs);
        let variance = sums.guess_guess - sums.runs * mean_guess * mean_guess;
        let covariance = sums.guess_taken - sums.runs * mean_guess * mean_taken;
        let prior = PRIOR_RUNS * PRIOR_VARIANCE;
        let slope = ((covariance + prior) / (variance + prior)).clamp(0.0, 1.0);
        // The mean of the queue counts in proportion to the observed runs.
        let confidence = sums.runs / (sums.runs + PRIOR_RUNS);
        let shift = (mean_taken - mean_guess) * confidence;
        (mean_guess + shift + slope * (guess - mean_guess)).exp()
    }
}

impl Times {
    /// Returns the expected run time of a task with an estimate of one second, in milliseconds, by
    /// queue.
    pub fn dump(&self) -> collections::BTreeMap<String, f64> {
        let queues = self.queues.keys();
        queues.map(|queue| (queue.clone(), self.expect_ms(queue, SAMPLE_ESTIMATE_MS))).collect()
    }
}

/// Returns the logarithm of a number of milliseconds, raised to at least one.
fn log_ms(ms: f64) -> f64 {
    ms.max(1.0).ln()
}
