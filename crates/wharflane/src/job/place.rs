//! Seeks workers for the tasks whose turn has come, the first in line first.

use std::collections;
use std::time;

use super::assign;
use super::choose;
use super::gang;
use super::holding;
use super::obstacle;
use super::spec;

/// The time between two tries while nothing has changed, since rests and paces end by time.
const RETRY: time::Duration = time::Duration::from_millis(100);

impl holding::Holding {
    /// Seeks workers for the tasks whose turn has come.
    pub(super) fn place_ready(&mut self, now: time::Duration) {
        let again = now.saturating_sub(self.placed_at) >= RETRY;
        if self.pending.is_some() || self.ready.is_empty() || !(self.changed || again) {
            return;
        }
        if now.saturating_sub(self.committed) < self.settings.commit {
            return;
        }
        self.changed = false;
        self.placed_at = now;
        run(self, now);
    }
}

/// Stages a start for each task that finds a worker.
fn run(holding: &mut holding::Holding, now: time::Duration) {
    let mut blocked = collections::BTreeSet::<obstacle::Group>::new();
    let mut ready: Vec<holding::Ready> = holding.ready.values().copied().collect();
    // Somebody waits for the end of a task that ends; a lasting task serves on through its kin.
    ready.sort_by_key(|ready| (ready.priority, ready.lasting, ready.order, ready.task));
    for task in ready {
        let group = obstacle::group(task.task);
        if blocked.contains(&group) {
            continue;
        }
        let Some(step) = step_of(holding, task.task) else {
            holding.ready.remove(&task.task);
            continue;
        };
        let placed = if step.gang {
            blocked.insert(group);
            gang::place(holding, &task, &step, now)
        } else {
            place_one(holding, &task, &step, now)
        };
        if !placed {
            blocked.insert(group);
            holding.tell_wait(&task, &step, now);
        }
    }
    holding.forget_told();
}

/// Returns the step of a task that is still wanted.
fn step_of(holding: &holding::Holding, task: spec::TaskId) -> Option<spec::Step> {
    let entry = holding.jobs.get(&task.job).filter(|entry| entry.active())?;
    entry.job.step(task.step).cloned()
}

/// Places one task; returns whether it found a worker.
fn place_one(
    holding: &mut holding::Holding,
    ready: &holding::Ready,
    step: &spec::Step,
    now: time::Duration,
) -> bool {
    let Some(worker) = choose::choose(holding, ready.task, step, None, now) else {
        return false;
    };
    let run = assign::last_run(holding, ready.task) + 1;
    assign::assign(holding, ready, step, &worker, run);
    true
}
