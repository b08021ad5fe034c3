//! Judges the losses of workers that are counted against tasks, from the stored progress of jobs.
//!
//! A worker that lives was never lost. It may look so while the store is down or hosts can't reach
//! it, but once both are over for some time, no more losses may count against a task than workers
//! crashed that it was assigned to.

use std::collections;
use std::time;

use wharflane::{id, job};

use super::world;

/// The interval between two looks at the stored progress.
const INTERVAL: time::Duration = time::Duration::from_millis(100);
/// How long the store must have been back and all workers reachable until losses are judged.
const CALM_AFTER: time::Duration = time::Duration::from_secs(10);

/// Losses that count against a task although fewer of its workers crashed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("at {at:?}, {losses:?} count against {task}, of whose workers {crashes} crashed")]
pub struct FalseLosses {
    /// When they were found.
    pub at: time::Duration,
    /// The task.
    pub task: job::TaskId,
    /// The losses.
    pub losses: job::Losses,
    /// How many workers crashed that it was assigned to.
    pub crashes: usize,
}

/// The state of the judge.
#[derive(Debug, Default)]
pub struct Judge {
    /// The false losses that counted when all was calm; one for each task at most.
    pub broken: Vec<FalseLosses>,
    /// How often a loss was counted against a task none of whose workers had crashed.
    pub false_losses: u32,
    /// The highest number of losses that counted against such a task.
    pub most_false_losses: u32,
    /// How many times a task was judged when all was calm, for tests of the judge itself.
    pub judged: u64,
    /// The time of the last look.
    looked: time::Duration,
    /// When the store was last down, or a worker that lives unreachable or not listed.
    disturbed: time::Duration,
    /// The workers of each task that can't be reached since the task was assigned to them. One that
    /// crashes before it can be reached again may have done so under the task.
    unreachable: collections::BTreeMap<job::TaskId, collections::BTreeSet<id::Incarnation>>,
    /// The workers of each task that were found to have crashed.
    crashed: collections::BTreeMap<job::TaskId, collections::BTreeSet<id::Incarnation>>,
    /// The number of losses of each task at the last look.
    counted: collections::BTreeMap<job::TaskId, u32>,
}

impl Judge {
    /// Returns a line on the false losses if there are any.
    pub(super) fn finding(&self) -> Option<String> {
        let first = self.broken.first()?;
        Some(format!(
            "losses of workers that live count against {} tasks: {first}",
            self.broken.len()
        ))
    }

    /// Follows the workers of tasks that can't be reached, given the workers that live and, of these,
    /// the ones that can be reached.
    fn follow_unreachable(
        &mut self,
        alive: &collections::BTreeSet<&id::Incarnation>,
        reachable: &collections::BTreeSet<&id::Incarnation>,
    ) {
        for (task, workers) in &mut self.unreachable {
            workers.retain(|worker| !reachable.contains(worker));
            let crashed = workers.iter().filter(|worker| !alive.contains(worker));
            self.crashed.entry(*task).or_default().extend(crashed.cloned());
        }
        self.unreachable.retain(|_, workers| !workers.is_empty());
        self.crashed.retain(|_, workers| !workers.is_empty());
    }

    /// Looks at the stored state of a task, given the worker that it is assigned to if that has
    /// crashed.
    fn look_at(
        &mut self,
        task: job::TaskId,
        losses: job::Losses,
        crashed: Option<id::Incarnation>,
        now: time::Duration,
    ) {
        if let Some(worker) = crashed {
            self.crashed.entry(task).or_default().insert(worker);
        }
        let crashes = self.crashed.get(&task).map_or(0, collections::BTreeSet::len);
        let count = losses.suspected + losses.unexplained;
        let before = self.counted.insert(task, count).unwrap_or(0);
        if crashes == 0 {
            self.false_losses += count.saturating_sub(before);
            self.most_false_losses = self.most_false_losses.max(count);
        }
        if now < self.disturbed + CALM_AFTER {
            return;
        }
        self.judged += 1;
        let known = self.broken.iter().any(|broken| broken.task == task);
        if !known && count as usize > crashes {
            self.broken.push(FalseLosses { at: now, task, losses, crashes });
        }
    }
}

impl world::World {
    /// Returns whether counted losses are judged.
    #[must_use]
    pub fn judges_losses(&self) -> bool {
        self.plan.judges_losses
    }

    /// Judges the counted losses if the plan says so.
    pub(super) fn judge_losses(&mut self) {
        let now = self.now;
        if !self.plan.judges_losses || now < self.losses.looked + INTERVAL {
            return;
        }
        self.losses.looked = now;
        let mut alive = self.workers.iter().filter(|worker| worker.alive);
        if self.down || alive.any(|worker| !worker.reachable || worker.lapsed) {
            self.losses.disturbed = now;
        }
        let alive = self.workers.iter().filter(|worker| worker.alive);
        let alive: collections::BTreeSet<&id::Incarnation> =
            alive.map(|worker| &worker.incarnation).collect();
        let reachable = self.workers.iter().filter(|worker| worker.alive && worker.reachable);
        let reachable = reachable.map(|worker| &worker.incarnation).collect();
        self.losses.follow_unreachable(&alive, &reachable);
        for job in self.checker.jobs.keys() {
            let row = self.rows.get(&job::progress_key(0, *job)).and_then(|row| row.value);
            let progress = row.and_then(|text| job::Progress::decode(&text).ok());
            for (position, state) in progress.unwrap_or_default().tasks {
                let job::TaskPosition { round, step, index } = position;
                let task = job::TaskId { job: *job, round, step, index };
                let unreachable = state.worker.as_ref().filter(|w| !reachable.contains(w));
                if let Some(worker) = unreachable {
                    self.losses.unreachable.entry(task).or_default().insert(worker.clone());
                }
                let crashed = state.worker.filter(|worker| !alive.contains(worker));
                self.losses.look_at(task, state.losses, crashed, now);
            }
        }
    }
}
