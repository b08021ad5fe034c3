//! Finds the batch task that harms a service, and learns which pairs do harm.

use std::collections;
use std::time;

use serde::Serialize;

/// How much the newest observation of a pair counts.
const ALPHA: f64 = 0.2;
/// The harm assumed for a pair never seen, so that new pairs are tried with some care.
const PRIOR: f64 = 0.1;
/// The weight of the prior, in observations.
const PRIOR_WEIGHT: f64 = 2.0;
/// The greatest harm that is told apart.
const MAX_HARM: f64 = 4.0;

/// The load of a service while a pair was observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Load {
    /// Below half of its usual peak.
    Low,
    /// Above.
    High,
}

/// What was seen of one pair at one load.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Pair {
    /// The average harm.
    harm: f64,
    /// How often it was seen.
    seen: f64,
}

/// The learned harm of each pair of service and job.
#[derive(Clone, Debug, Default)]
pub struct Harms {
    /// The pairs by service, job and load.
    pairs: collections::BTreeMap<String, collections::BTreeMap<String, [Pair; 2]>>,
}

impl Harms {
    /// Notes by how much the target was missed beside a job: zero where it was kept.
    pub fn note(&mut self, service: &str, job: &str, load: Load, harm: f64) {
        let jobs = self.pairs.entry(service.to_owned()).or_default();
        let pair = &mut jobs.entry(job.to_owned()).or_default()[load as usize];
        let weight = ALPHA.max(1.0 / (pair.seen + 1.0));
        pair.harm += (harm.clamp(0.0, MAX_HARM) - pair.harm) * weight;
        pair.seen += 1.0;
    }

    /// Returns the harm to expect of a pair, drawn to the prior where little was seen.
    #[must_use]
    pub fn expected(&self, service: &str, job: &str, load: Load) -> f64 {
        let pairs = self.pairs.get(service).and_then(|jobs| jobs.get(job));
        let pair = pairs.map(|loads| loads[load as usize]).unwrap_or_default();
        (pair.harm * pair.seen + PRIOR * PRIOR_WEIGHT) / (pair.seen + PRIOR_WEIGHT)
    }

    /// Returns the learned pairs at high load, for the state dump.
    pub fn pairs(&self) -> impl Iterator<Item = (&str, &str, f64)> {
        self.pairs.iter().flat_map(|(service, jobs)| {
            let harm = |loads: &[Pair; 2]| loads[Load::High as usize].harm;
            jobs.iter().map(move |(job, loads)| (service.as_str(), job.as_str(), harm(loads)))
        })
    }
}

/// A batch task beside a disturbed service.
#[derive(Clone, Debug)]
pub struct Suspect<T> {
    /// The task.
    pub task: T,
    /// The harm expected of it.
    pub harm: f64,
    /// The share of its processors that it has now.
    pub percent: u8,
    /// The work that its eviction would lose, in milliseconds.
    pub lost_ms: u64,
}

/// What to do about a disturbed service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Remedy<T> {
    /// Leave a task only a share of its processors.
    Throttle(T, u8),
    /// Checkpoint a task and move it.
    Evict(T),
    /// Nothing yet: the last change has not had time to show.
    Wait,
}

/// How one worker's disturbance is followed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Case {
    /// Intervals in a row in which the target was missed.
    missed: u32,
    /// Intervals in a row in which it was kept.
    kept: u32,
    /// When the last change was made.
    changed: Option<time::Duration>,
}

/// How patient the loop is.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Intervals in a row that must miss the target.
    pub misses: u32,
    /// How long a change may take to show.
    pub settle: time::Duration,
    /// Intervals in a row that must keep the target before a throttle is loosened.
    pub calm: u32,
    /// The shares of processors that are tried before a task is moved, the greatest first.
    pub steps: &'static [u8],
}

impl Default for Patience {
    fn default() -> Self {
        Self { misses: 2, settle: time::Duration::from_secs(3), calm: 20, steps: &[50, 20] }
    }
}

impl Case {
    /// Notes one interval.
    pub fn note(&mut self, missed: bool) {
        if missed {
            self.missed += 1;
            self.kept = 0;
        } else {
            self.missed = 0;
            self.kept += 1;
        }
    }

    /// Returns the one change to make now, against the most harmful and cheapest suspect.
    pub fn remedy<T>(
        &mut self,
        suspects: Vec<Suspect<T>>,
        patience: &Patience,
        now: time::Duration,
    ) -> Remedy<T> {
        let settling = self.changed.is_some_and(|at| now.saturating_sub(at) < patience.settle);
        if self.missed < patience.misses || settling {
            return Remedy::Wait;
        }
        let worst = suspects.into_iter().max_by(|a, b| {
            let cheaper = b.lost_ms.cmp(&a.lost_ms);
            a.harm.total_cmp(&b.harm).then(cheaper)
        });
        let Some(suspect) = worst else {
            return Remedy::Wait;
        };
        self.changed = Some(now);
        match patience.steps.iter().find(|step| **step < suspect.percent) {
            Some(step) => Remedy::Throttle(suspect.task, *step),
            None => Remedy::Evict(suspect.task),
        }
    }

    /// Returns whether a throttle on the worker may be loosened now.
    pub fn may_loosen(&mut self, patience: &Patience) -> bool {
        let calm = self.kept >= patience.calm;
        if calm {
            self.kept = 0;
        }
        calm
    }
}
