//! Chooses a worker for a task, and the tasks that must make room for it.

use crate::id;
use crate::size;

/// How much each concern weighs in the choice of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Processors and memory that stay unused on a worker.
    pub unused: f64,
    /// The harm expected between the task and its neighbours.
    pub harm: f64,
    /// Tasks of the same service in the same rack.
    pub spread: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { unused: 1.0, harm: 4.0, spread: 0.5 }
    }
}

/// A worker that could take a task.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The position of the worker among those looked at.
    pub at: usize,
    /// What it has.
    pub capacity: size::Size,
    /// What is set aside on it.
    pub used: size::Size,
    /// The harm that the task would do there or suffer, from zero up.
    pub harm: f64,
    /// How many tasks of the same service share its rack.
    pub siblings: u32,
}

/// Returns the position of the best worker, or nothing; all candidates have room.
pub fn choose(
    candidates: impl Iterator<Item = Candidate>,
    need: &size::Size,
    weights: &Weights,
) -> Option<usize> {
    let costs = candidates.map(|candidate| (candidate.at, cost(&candidate, need, weights)));
    costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(at, _)| at)
}

/// Returns the cost of a worker: what stays unused, the harm, and the lack of spread.
fn cost(candidate: &Candidate, need: &size::Size, weights: &Weights) -> f64 {
    let left = candidate.capacity.minus(&candidate.used.plus(need));
    let unused = share(left.cpu_milli, candidate.capacity.cpu_milli)
        + share(left.mem_mb, candidate.capacity.mem_mb);
    // An accelerator kept free for the tasks that need one is worth more than a full worker.
    let idle_accelerators = if need.accelerators == 0 { left.accelerators as f64 } else { 0.0 };
    weights.unused * (unused + idle_accelerators)
        + weights.harm * candidate.harm
        + weights.spread * f64::from(candidate.siblings)
}

/// Returns a part as a share of a whole.
fn share(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// A batch task that could make room.
#[derive(Clone, Debug)]
pub struct Victim<'a> {
    /// The task.
    pub task: &'a id::TaskId,
    /// What it holds.
    pub size: size::Size,
    /// Its priority.
    pub priority: u32,
    /// The work that its eviction would lose, in milliseconds.
    pub lost_ms: u64,
}

/// Returns the fewest, lowest and cheapest victims that make room, or nothing.
#[must_use]
pub fn victims<'a>(
    mut movable: Vec<Victim<'a>>,
    free: &size::Size,
    need: &size::Size,
) -> Option<Vec<Victim<'a>>> {
    movable.sort_by_key(|victim| (victim.priority, victim.lost_ms));
    let mut room = *free;
    let mut chosen = Vec::new();
    for victim in movable {
        if need.fits(&room) {
            break;
        }
        room = room.plus(&victim.size);
        chosen.push(victim);
    }
    if !need.fits(&room) {
        return None;
    }
    drop_spare(&mut chosen, &room, need);
    Some(chosen)
}

/// Spares every victim whose room is not needed after all.
fn drop_spare(chosen: &mut Vec<Victim<'_>>, room: &size::Size, need: &size::Size) {
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

/// Returns what an eviction costs: the number of victims first, then the work lost.
#[must_use]
pub fn price(victims: &[Victim<'_>]) -> (usize, u64) {
    (victims.len(), victims.iter().map(|victim| victim.lost_ms).sum())
}
