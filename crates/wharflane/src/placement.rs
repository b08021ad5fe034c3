//! Scores workers for the placement of a task, and selects preemption victims.

use crate::id;
use crate::size;

/// Weights of the terms of the placement cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of CPU and memory that stay unused on the worker.
    pub unused: f64,
    /// Weight of the interference expected between the task and its neighbours.
    pub harm: f64,
    /// Weight of each task of the same service in the same rack.
    pub spread: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { unused: 1.0, harm: 4.0, spread: 0.5 }
    }
}

/// A worker with enough free resources for a task.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The index of the worker in the caller's list.
    pub at: usize,
    /// The worker's total resources.
    pub capacity: size::Size,
    /// The resources that are reserved on the worker.
    pub used: size::Size,
    /// The interference that the task would cause or suffer there; zero means none.
    pub harm: f64,
    /// How many tasks of the same service are in the worker's rack.
    pub siblings: u32,
}

/// Returns the index of the cheapest candidate, or `None` if there is none. All candidates must
/// have room for `need`.
pub fn choose(
    candidates: impl Iterator<Item = Candidate>,
    need: &size::Size,
    weights: &Weights,
) -> Option<usize> {
    let costs = candidates.map(|candidate| (candidate.at, cost(&candidate, need, weights)));
    costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(at, _)| at)
}

/// Returns the placement cost: unused resources, interference and lack of spread.
fn cost(candidate: &Candidate, need: &size::Size, weights: &Weights) -> f64 {
    let left = candidate.capacity.minus(&candidate.used.plus(need));
    let unused = fraction(left.cpu_milli, candidate.capacity.cpu_milli)
        + fraction(left.mem_mb, candidate.capacity.mem_mb);
    // An accelerator that stays free for tasks that need one is worth more than a full worker.
    let idle_accelerators = if need.accelerators == 0 { left.accelerators as f64 } else { 0.0 };
    weights.unused * (unused + idle_accelerators)
        + weights.harm * candidate.harm
        + weights.spread * f64::from(candidate.siblings)
}

/// Returns `part` as a fraction of `whole`.
fn fraction(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// A batch task that may be evicted to make room.
#[derive(Clone, Debug)]
pub struct Victim<'a> {
    /// The task that would be evicted.
    pub task: &'a id::TaskId,
    /// The resources that it holds.
    pub size: size::Size,
    /// Its priority; victims of lower priority are chosen first.
    pub priority: u32,
    /// The work that its eviction would lose, in milliseconds.
    pub lost_ms: u64,
}

/// Returns victims that free enough resources, in order of priority and lost work, or `None` if
/// even all of them would not.
#[must_use]
pub fn victims<'a>(
    mut preemptible: Vec<Victim<'a>>,
    free: &size::Size,
    need: &size::Size,
) -> Option<Vec<Victim<'a>>> {
    preemptible.sort_by_key(|victim| (victim.priority, victim.lost_ms));
    let mut room = *free;
    let mut chosen = Vec::new();
    for victim in preemptible {
        if need.fits(&room) {
            break;
        }
        room = room.plus(&victim.size);
        chosen.push(victim);
    }
    if !need.fits(&room) {
        return None;
    }
    drop_unneeded(&mut chosen, &room, need);
    Some(chosen)
}

/// Removes each victim that is not needed to make room.
fn drop_unneeded(chosen: &mut Vec<Victim<'_>>, room: &size::Size, need: &size::Size) {
    let mut room = *room;
    chosen.retain(|victim| {
        let without = room.minus(&victim.size);
        if need.fits(&without) {
            room = without;
            return false;
        }
        true
    });
}

/// Returns the cost of an eviction: the number of victims first, then the work lost in
/// milliseconds.
#[must_use]
pub fn preemption_cost(victims: &[Victim<'_>]) -> (usize, u64) {
    (victims.len(), victims.iter().map(|victim| victim.lost_ms).sum())
}
