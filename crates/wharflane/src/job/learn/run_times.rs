//! The learned distribution of run times by queue, where `times` predicts their mean.
//!
//! A run is recorded by its ratio: its run time over the time that was expected of it. A queue's
//! ratios form a histogram with logarithmic bins in which older runs lose their weight, so that a
//! few runs of several times the usual length remain visible beside many of the usual one.

use std::collections;
use std::time;

use serde::{Deserialize, Serialize};

/// Number of bins for each doubling of the ratio; a bin is 9 % wide.
const BINS_PER_DOUBLING: f64 = 8.0;
/// Number of bins. The first begins at a ratio of 1/8 and the last ends at 32; ratios beyond count
/// in these two.
const BINS: usize = 64;
/// Bin that begins at a ratio of one.
const UNIT_BIN: f64 = 24.0;
/// Weight of a run relative to the next one; older runs lose their weight over some thousand newer
/// ones.
const FORGETTING_FACTOR: f64 = 0.999;
/// Weight below which a bin is empty.
const MIN_WEIGHT: f64 = 0.01;
/// Number of runs from which a queue's distribution is used. Of a part of 3 in 100, four fifths of
/// such samples contain at least one run.
const MIN_RUNS: f64 = 50.0;
/// Weight, in runs, of the assumption that a run of twice an age is as likely as a fourth of the
/// runs that reach this age: a run beyond all recorded ones is then expected to take as long again.
const PRIOR_RUNS: f64 = 1.0;
/// Maximum number of queues with a distribution. With 64 bins of 12 bytes and a name of at most
/// `MAX_NAME_BYTES` each, they take up to 42 KB of a row.
const MAX_QUEUES: usize = 50;
/// Maximum length of the name of a queue with a distribution, in bytes.
const MAX_NAME_BYTES: usize = 70;

/// The learned distributions, by queue.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    /// The distribution of each queue.
    queues: collections::BTreeMap<String, Spread>,
    /// The queues whose distribution the next holder needs.
    stored: collections::BTreeSet<String>,
}

impl RunTimes {
    /// Learns from a run that worked at its full share from start to end.
    pub fn learn(&mut self, queue: &str, expected: time::Duration, taken: time::Duration) {
        if let Some(spread) = self.entry(queue) {
            spread.add(ratio(taken, expected));
        }
    }

    /// Learns from a run that was stopped at an age, of which only is known that it would have
    /// taken longer.
    pub fn learn_unfinished(&mut self, queue: &str, expected: time::Duration, age: time::Duration) {
        if let Some(spread) = self.entry(queue) {
            spread.add_unfinished(ratio(age, expected));
        }
    }

    /// Returns the distribution of a queue, or `None` before enough of its runs have ended.
    #[must_use]
    pub fn of(&self, queue: &str) -> Option<&Spread> {
        self.queues.get(queue).filter(|spread| spread.runs() >= MIN_RUNS)
    }

    /// Marks a queue whose distribution decides something, so that it is stored for the next
    /// holder.
    pub fn store_for_next_holder(&mut self, queue: &str) {
        if !self.stored.contains(queue) && self.queues.contains_key(queue) {
            self.stored.insert(queue.to_owned());
        }
    }

    /// Encodes the distributions to store; `None` if there are none.
    ///
    /// # Errors
    /// Returns the error of the encoder.
    pub fn encode(&self) -> Result<Option<String>, serde_json::Error> {
        let stored = self.queues.iter().filter(|(queue, _)| self.stored.contains(*queue));
        let stored: collections::BTreeMap<&String, StoredSpread> =
            stored.map(|(queue, spread)| (queue, spread.into())).collect();
        if stored.is_empty() {
            return Ok(None);
        }
        serde_json::to_string(&stored).map(Some)
    }

    /// Decodes stored distributions.
    ///
    /// # Errors
    /// Returns the error of the parser if the text is not such a row.
    pub fn decode(text: &str) -> Result<Self, serde_json::Error> {
        let stored: collections::BTreeMap<String, StoredSpread> = serde_json::from_str(text)?;
        let bounded = stored.into_iter().take(MAX_QUEUES);
        let queues: collections::BTreeMap<String, Spread> =
            bounded.map(|(queue, spread)| (queue, spread.into())).collect();
        Ok(Self { stored: queues.keys().cloned().collect(), queues })
    }

    /// Returns the distribution of a queue to add to, or `None` if there are too many queues.
    fn entry(&mut self, queue: &str) -> Option<&mut Spread> {
        if !self.queues.contains_key(queue) {
            if self.queues.len() >= MAX_QUEUES || queue.len() > MAX_NAME_BYTES {
                return None;
            }
            self.queues.insert(queue.to_owned(), Spread::default());
        }
        self.queues.get_mut(queue)
    }
}

/// The distribution of the ratios of one queue's runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Spread {
    /// The weight of the runs in each bin.
    weights: [f64; BINS],
}

impl Default for Spread {
    fn default() -> Self {
        Self { weights: [0.0; BINS] }
    }
}

impl Spread {
    /// Returns the weight of all runs.
    #[must_use]
    pub fn runs(&self) -> f64 {
        self.weights.iter().sum()
    }

    /// Returns the expected ratio of a fresh run; one if no run is recorded.
    #[must_use]
    pub fn fresh(&self) -> f64 {
        let runs = self.runs();
        if runs <= 0.0 {
            return 1.0;
        }
        self.bins().map(|(at, weight)| middle(at) * weight).sum::<f64>() / runs
    }

    /// Returns the ratio below which a fraction of the runs ended; one if no run is recorded.
    #[must_use]
    pub fn quantile(&self, fraction: f64) -> f64 {
        let mut left = self.runs() * fraction.clamp(0.0, 1.0);
        let mut last = 1.0;
        for (at, weight) in self.bins().filter(|(_, weight)| *weight > 0.0) {
            if left <= weight {
                return lower_edge(at as f64 + left / weight);
            }
            left -= weight;
            last = lower_edge(at as f64 + 1.0);
        }
        last
    }

    /// Returns the expected remaining time of a run of an age, both as ratios to its expected time.
    #[must_use]
    pub fn remaining(&self, age: f64) -> f64 {
        let age = age.max(0.0);
        let prior = PRIOR_RUNS / age.max(1.0).powi(2);
        let (mut runs, mut total) = (prior, prior * age.max(1.0));
        for (at, weight) in self.bins() {
            let (from, to) = (lower_edge(at as f64), lower_edge(at as f64 + 1.0));
            if to <= age {
                continue;
            }
            // Of the bin that holds the age, the part above it counts.
            let part = if from >= age { 1.0 } else { (to / age).log2() * BINS_PER_DOUBLING };
            runs += weight * part;
            total += weight * part * ((from.max(age) * to).sqrt() - age);
        }
        total / runs
    }

    /// Returns whether a fresh run, which begins after a delay, is expected to end sooner than one
    /// of an age; both are ratios to the expected time.
    #[must_use]
    pub fn fresh_ends_sooner(&self, age: f64, delay: f64) -> bool {
        self.remaining(age) > self.fresh() + delay
    }

    /// Records the ratio of a run that ended.
    fn add(&mut self, ratio: f64) {
        self.forget();
        self.weights[bin(ratio)] += 1.0;
    }

    /// Records a run that was stopped at an age: its weight is dealt to the bins above the age in
    /// proportion to theirs, or to the age's own bin if these are empty.
    fn add_unfinished(&mut self, age: f64) {
        self.forget();
        let first = bin(age);
        let above: f64 = self.weights[first + 1..].iter().sum();
        if above < MIN_WEIGHT {
            self.weights[first] += 1.0;
            return;
        }
        for weight in &mut self.weights[first + 1..] {
            *weight += *weight / above;
        }
    }

    /// Lowers the weight of all recorded runs.
    fn forget(&mut self) {
        self.weights.iter_mut().for_each(|weight| *weight *= FORGETTING_FACTOR);
    }

    /// Returns the bins with their weights.
    fn bins(&self) -> impl Iterator<Item = (usize, f64)> {
        self.weights.iter().copied().enumerate()
    }
}

/// A distribution in its stored form: the bins that are not empty, with their weights in hundredths
/// of a run.
#[derive(Serialize, Deserialize)]
struct StoredSpread(Vec<(usize, u32)>);

impl From<&Spread> for StoredSpread {
    fn from(spread: &Spread) -> Self {
        let filled = spread.bins().filter(|(_, weight)| *weight >= MIN_WEIGHT);
        Self(filled.map(|(at, weight)| (at, (weight * 1e2).round() as u32)).collect())
    }
}

impl From<StoredSpread> for Spread {
    fn from(stored: StoredSpread) -> Self {
        let mut spread = Self::default();
        for (at, hundredths) in stored.0 {
            if let Some(weight) = spread.weights.get_mut(at) {
                *weight = f64::from(hundredths) / 1e2;
            }
        }
        spread
    }
}

/// Returns a time as a ratio to the expected one.
#[must_use]
pub fn ratio(time: time::Duration, expected: time::Duration) -> f64 {
    time.as_secs_f64() / expected.as_secs_f64().max(1e-3)
}

/// Returns the bin of a ratio.
fn bin(ratio: f64) -> usize {
    let at = ratio.max(1e-3).log2() * BINS_PER_DOUBLING + UNIT_BIN;
    at.clamp(0.0, (BINS - 1) as f64) as usize
}

/// Returns the ratio at which a bin begins; fractions lie within the bin.
fn lower_edge(at: f64) -> f64 {
    ((at - UNIT_BIN) / BINS_PER_DOUBLING).exp2()
}

/// Returns the ratio in the middle of a bin.
fn middle(at: usize) -> f64 {
    lower_edge(at as f64 + 0.5)
}
