//! Seeks workers for the tasks whose turn has come, the first in line first.

use std::collections;
use std::time;

use super::assign;
use super::choose;
use super::gang;
use super::holding;
use super::obstacle;
use super::outlook;
use super::spec;

/// How long a lasting task that was at work may be away until it goes first; the users allow 6 s, a
/// start takes 50 ms.
const LONG_AWAY: time::Duration = time::Duration::from_millis(3_000);
/// One worker in so many may be kept for lasting tasks that come back; shorter work has the others.
const KEPT_PART: usize = 12;
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

/// The order among tasks of one priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Turn {
    /// A lasting task that was at work and has been away for some time.
    Returning,
    /// A task that ends: somebody waits for its end, and its room is soon free again.
    Ending(outlook::Outlook),
    /// A lasting task that is new, or was away for a moment only.
    Lasting,
}

/// Stages a start for each task that finds a worker.
fn run(holding: &mut holding::Holding, now: time::Duration) {
    let mut blocked = collections::BTreeSet::<obstacle::Group>::new();
    holding.kept_for.clear();
    for task in in_turn(holding, now) {
        let group = obstacle::group(task.task);
        if blocked.contains(&group) || holding.is_aside(task.task.job) {
            continue;
        }
        let Some(step) = step_of(holding, task.task) else {
            holding.ready.remove(&task.task);
            continue;
        };
        // What is kept for one lasting task that comes back is there for all of them.
        let own = returns(&task, now);
        let kept = if own { std::mem::take(&mut holding.kept_for) } else { Default::default() };
        let placed = if step.gang {
            blocked.insert(group);
            gang::place(holding, &task, &step, now)
        } else {
            place_one(holding, &task, &step, now)
        };
        holding.kept_for.extend(kept);
        if placed {
            continue;
        }
        holding.tell_wait(&task, &step, now);
        ask_workers(holding, task.task, now);
        if own {
            keep_room(holding, task.task, &step, now);
        } else {
            blocked.insert(group);
        }
    }
    holding.forget_told();
}

/// Returns the tasks whose turn has come, the first in line first.
fn in_turn(holding: &holding::Holding, now: time::Duration) -> Vec<holding::Ready> {
    let mut ready: Vec<holding::Ready> = holding.ready.values().copied().collect();
    let outlooks = outlooks(holding, &ready);
    let turn = |ready: &holding::Ready| {
        let outlook = outlooks.get(&(ready.task.job, ready.task.round)).copied();
        match outlook.filter(|_| !ready.lasting) {
            Some(outlook) => Turn::Ending(outlook),
            None if returns(ready, now) => Turn::Returning,
            None => Turn::Lasting,
        }
    };
    ready.sort_by_cached_key(|ready| (ready.priority, turn(ready), ready.order, ready.task));
    ready
}

/// Returns whether a lasting task has been away for so long that it goes first.
fn returns(ready: &holding::Ready, now: time::Duration) -> bool {
    ready.returns && now.saturating_sub(ready.since) >= LONG_AWAY
}

/// Asks for workers of a step whose queue wants advice, for all of its tasks that wait.
fn ask_workers(holding: &mut holding::Holding, task: spec::TaskId, now: time::Duration) {
    let entry = holding.jobs.get(&task.job);
    if entry.is_some_and(|entry| holding.terms_of_advice(&entry.job).is_some()) {
        let wanted = holding.ready.range(obstacle::kin(task)).count();
        holding.ask(task, wanted, now);
    }
}

/// Keeps what is free on one worker for a lasting task, or shorter work would take every piece of it.
fn keep_room(
    holding: &mut holding::Holding,
    task: spec::TaskId,
    step: &spec::Step,
    now: time::Duration,
) {
    let most = (holding.views.len() / KEPT_PART).max(1);
    let entry = holding.jobs.get(&task.job).filter(|_| holding.kept_for.len() < most);
    let Some(entry) = entry else {
        return;
    };
    let service = holding.service(&entry.job);
    let best = holding
        .views
        .values()
        .filter(|view| !holding.kept_for.contains(&view.member.id))
        .filter(|view| {
            obstacle::plain(view, service, task, step, now) == Some(obstacle::Obstacle::Room)
        })
        .max_by_key(|view| view.free().cpu_milli);
    if let Some(worker) = best.map(|view| view.member.id.clone()) {
        holding.kept_for.insert(worker);
    }
}

/// Returns how the rounds of jobs stand that have tasks to place.
fn outlooks(
    holding: &holding::Holding,
    ready: &[holding::Ready],
) -> collections::BTreeMap<(spec::JobId, u32), outlook::Outlook> {
    let mut outlooks = collections::BTreeMap::new();
    for task in ready.iter().filter(|ready| !ready.lasting).map(|ready| ready.task) {
        if let Some(entry) = holding.jobs.get(&task.job) {
            outlooks
                .entry((task.job, task.round))
                .or_insert_with(|| outlook::outlook(holding, entry, task.round));
        }
    }
    outlooks
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
