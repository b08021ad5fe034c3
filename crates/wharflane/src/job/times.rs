//! How long tasks take: callers' guesses, corrected by what was seen of their queue.
//!
//! The logarithm of a run's time is fitted to that of its guess, queue by queue. Where guesses say
//! little, the fit leans on the mean of the queue; where they are good, on the guess.

use std::collections;
use std::time;

use serde::{Deserialize, Serialize};

/// How many runs the belief in callers' guesses weighs before any was seen.
const PRIOR_RUNS: f64 = 6.0;
/// The variance of the logarithm of guesses that the belief stands for: a factor of two.
const PRIOR_SPREAD: f64 = 0.5;
/// The guess for which operators are shown an expectation.
const SAMPLE_GUESS_MS: u64 = 1_000;
/// The most queues whose times are learned, and the longest name of one, in bytes; with 150 bytes of sums
/// each they fill 45 KB of a row.
const MAX_QUEUES: usize = 200;
/// See `MAX_QUEUES`.
const MAX_NAME_BYTES: usize = 70;
/// What a run is worth after another one; forgets over some thousand.
const MEMORY: f64 = 0.999;

/// Sums over the runs of one queue, of logarithms of milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct Sums {
    /// The runs, each worth a little less with every later one.
    runs: f64,
    /// Guesses.
    guess: f64,
    /// Times taken.
    taken: f64,
    /// Squares of guesses.
    guess_guess: f64,
    /// Products of guess and time taken.
    guess_taken: f64,
}

/// What is known of the times of tasks, by queue; kept with what else is learned.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Times {
    /// The sums of each queue.
    queues: collections::BTreeMap<String, Sums>,
}

impl Times {
    /// Learns from a run that worked at full speed from its beginning to its end.
    pub fn learn(&mut self, queue: &str, guess_ms: u64, taken: time::Duration) {
        if !self.queues.contains_key(queue) {
            if self.queues.len() >= MAX_QUEUES || queue.len() > MAX_NAME_BYTES {
                return;
            }
            self.queues.insert(queue.to_owned(), Sums::default());
        }
        let Some(sums) = self.queues.get_mut(queue) else {
            return;
        };
        let (guess, taken) = (log_ms(guess_ms as f64), log_ms(taken.as_secs_f64() * 1e3));
        let mut all = [
            (&mut sums.runs, 1.0),
            (&mut sums.guess, guess),
            (&mut sums.taken, taken),
            (&mut sums.guess_guess, guess * guess),
            (&mut sums.guess_taken, guess * taken),
        ];
        for (sum, more) in &mut all {
            **sum = **sum * MEMORY + *more;
        }
    }

    /// Returns how long a task is likely to take, in milliseconds.
    pub fn expect_ms(&self, queue: &str, guess_ms: u64) -> f64 {
        let guess = log_ms(guess_ms as f64);
        let Some(sums) = self.queues.get(queue).filter(|sums| sums.runs > 0.0) else {
            return guess.exp();
        };
        let (mean_guess, mean_taken) = (sums.guess / sums.runs, sums.taken / sums.runs);
        let spread = sums.guess_guess - sums.runs * mean_guess * mean_guess;
        let common = sums.guess_taken - sums.runs * mean_guess * mean_taken;
        let prior = PRIOR_RUNS * PRIOR_SPREAD;
        let slope = ((common + prior) / (spread + prior)).clamp(0.0, 1.0);
        // The mean of the queue is believed as far as runs were seen.
        let seen = sums.runs / (sums.runs + PRIOR_RUNS);
        let shift = (mean_taken - mean_guess) * seen;
        (mean_guess + shift + slope * (guess - mean_guess)).exp()
    }
}

impl Times {
    /// Returns how long a task is likely to take whose caller guesses one second, by queue.
    pub fn dump(&self) -> collections::BTreeMap<String, f64> {
        let queues = self.queues.keys();
        queues.map(|queue| (queue.clone(), self.expect_ms(queue, SAMPLE_GUESS_MS))).collect()
    }
}

/// Returns the logarithm of a number of milliseconds, one at least.
fn log_ms(ms: f64) -> f64 {
    ms.max(1.0).ln()
}
