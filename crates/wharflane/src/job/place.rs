//! Chooses workers for tasks whose turn has come.

use std::collections;
use std::time;

use super::harm;
use super::holding;
use super::obstacle;
use super::progress;
use super::spec;
use super::worker;
use crate::id;

/// The time between two tries while nothing has changed, since rests and paces end by time.
const RETRY: time::Duration = time::Duration::from_millis(100);
/// The share of a lasting task's processors that it is taken to use; measured by no one yet.
const SERVING_USE_PERCENT: u64 = 50;
/// The least part of its processors that a task that fills should find.
const FILL_LEAST: f64 = 0.8;
/// The part of a worker's processors that most tasks that end find enough; both users' are below.
const USEFUL_ROOM: f64 = 0.15;
/// What a room left too small weighs against one more image on a worker.
const SCRAP_WEIGHT: f64 = 1.5;
/// The strain that one more neighbour may always cause; a tail hardly shows it.
const HARMLESS: f64 = 0.015;
/// What a worker's idle processors weigh against the strain on its serving tasks.
const IDLE_WEIGHT: f64 = 0.1;

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
            place_gang(holding, &task, &step, now)
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
    let Some(worker) = choose(holding, ready.task, step, now) else {
        return false;
    };
    let run = last_run(holding, ready.task) + 1;
    assign(holding, ready, step, &worker, run);
    true
}

/// Places all tasks of a gang, or none; returns whether they found workers.
fn place_gang(
    holding: &mut holding::Holding,
    ready: &holding::Ready,
    step: &spec::Step,
    now: time::Duration,
) -> bool {
    let task = |index| spec::TaskId { index, ..ready.task };
    // Members that are still there, or whose fate is open, must be over first.
    if (0..step.count).any(|index| holding.placed.contains_key(&task(index))) {
        return false;
    }
    let run = (0..step.count).map(|index| last_run(holding, task(index))).max().unwrap_or(0) + 1;
    let checkpoint = common_checkpoint(holding, ready.task, step.count);
    let mut taken = Vec::new();
    for index in 0..step.count {
        let member = holding::Ready { task: task(index), ..*ready };
        let Some(worker) = choose(holding, member.task, step, now) else {
            taken.iter().for_each(|ready| withdraw(holding, ready, step));
            return false;
        };
        assign(holding, &member, step, &worker, run);
        if let Some(entry) = holding.jobs.get_mut(&member.task.job)
            && let Some(state) = entry.progress.tasks.get_mut(&member.task.into())
        {
            state.checkpoint.clone_from(&checkpoint);
        }
        taken.push(member);
    }
    true
}

/// Returns the checkpoint that all members of a gang go on from.
fn common_checkpoint(holding: &holding::Holding, task: spec::TaskId, count: u32) -> String {
    let tasks = (0..count).filter_map(|index| {
        let place = progress::Place::from(spec::TaskId { index, ..task });
        holding.jobs.get(&task.job)?.progress.tasks.get(&place)
    });
    // Checkpoints of one gang grow as texts, so the greatest has the most work in it.
    tasks.map(|task| task.checkpoint.clone()).max().unwrap_or_default()
}

/// Takes a staged start back.
fn withdraw(holding: &mut holding::Holding, ready: &holding::Ready, step: &spec::Step) {
    if let Some(placed) = holding.placed.remove(&ready.task)
        && let Some(view) = holding.views.get_mut(&placed.worker)
    {
        view.remove(ready.task, step);
    }
    if let Some(entry) = holding.jobs.get_mut(&ready.task.job)
        && let Some(state) = entry.progress.tasks.get_mut(&ready.task.into())
    {
        state.worker = None;
    }
    holding.staged.retain(|staged| *staged != ready.task);
    holding.ready.insert(ready.task, *ready);
}

/// Returns the number of a task's last start.
fn last_run(holding: &holding::Holding, task: spec::TaskId) -> u32 {
    let entry = holding.jobs.get(&task.job);
    entry.and_then(|entry| entry.progress.tasks.get(&task.into())).map_or(0, |task| task.run)
}

/// Gives a task a worker; the start waits for its commit.
fn assign(
    holding: &mut holding::Holding,
    ready: &holding::Ready,
    step: &spec::Step,
    worker: &id::WorkerId,
    run: u32,
) {
    let task = ready.task;
    holding.ready.remove(&ready.task);
    let Some(entry) = holding.jobs.get_mut(&task.job) else {
        return;
    };
    let state = entry.progress.tasks.entry(task.into()).or_default();
    state.run = run;
    state.worker = Some(worker.clone());
    entry.progress.phase = progress::Phase::Running;
    let image = holding.model.image(step.image.as_deref());
    if let Some(view) = holding.views.get_mut(worker) {
        view.add(task, step, image);
    }
    let link = holding::Link::Staged;
    let placed = holding::Placed {
        worker: worker.clone(),
        run,
        link,
        lease_until_ms: 0,
        stopped: None,
        progress: (0, holding.now),
    };
    holding.placed.insert(task, placed);
    holding.staged.push(task);
    holding.mark(task.job);
}

/// Returns the best worker for a task, or nothing.
fn choose(
    holding: &mut holding::Holding,
    task: spec::TaskId,
    step: &spec::Step,
    now: time::Duration,
) -> Option<id::WorkerId> {
    let image = holding.model.image(step.image.as_deref());
    let holding = &*holding;
    let entry = holding.jobs.get(&task.job)?;
    let service = holding.service(&entry.job);
    let failed_on = entry.progress.tasks.get(&task.into()).filter(|state| state.failures > 0);
    let avoided = failed_on.and_then(|state| state.failed_on.as_ref());
    let mut best: Option<(Cost, &worker::View)> = None;
    for view in holding.views.values() {
        if obstacle::plain(view, service, task, step, now).is_some() {
            continue;
        }
        let away = step.rack.as_deref().is_some_and(|rack| !view.has_label(rack));
        let again = avoided == Some(&view.member.id);
        let Some(order) = cost(holding, view, step, image, now) else {
            continue;
        };
        let cost = Cost { again, away, order };
        if best.as_ref().is_none_or(|(least, _)| cost.before(least)) {
            best = Some((cost, view));
        }
    }
    best.map(|(_, view)| view.member.id.clone())
}

/// What speaks against a worker, the graver first.
#[derive(Clone, Copy, Debug)]
struct Cost {
    /// The task failed there last.
    again: bool,
    /// Its data lies on another rack.
    away: bool,
    /// The rest, by kind of task.
    order: f64,
}

impl Cost {
    /// Returns whether this cost is lower than another.
    fn before(&self, other: &Self) -> bool {
        let graver = (self.again, self.away).cmp(&(other.again, other.away));
        graver.then(self.order.total_cmp(&other.order)).is_lt()
    }
}

/// Returns the cost of a worker by kind of task, or nothing where the task would do harm.
pub(super) fn cost(
    holding: &holding::Holding,
    view: &worker::View,
    step: &spec::Step,
    image: harm::Image,
    now: time::Duration,
) -> Option<f64> {
    if step.fills {
        return fill_cost(holding, view, step, image, now);
    }
    let left = view.free().cpu_milli as f64 / view.member.capacity.cpu_milli.max(1) as f64;
    if step.target_ms.is_none() {
        return Some(left);
    }
    // Serving tasks of one image together leave other workers to what would harm them.
    let others = view.serving.values().filter(|serving| serving.image != image).count();
    let empty = if view.serving.is_empty() { 0.5 } else { 0.0 };
    Some(others as f64 + empty + left + scrap(view, step))
}

/// Returns what speaks against a room that would be left too small for most tasks that end.
fn scrap(view: &worker::View, step: &spec::Step) -> f64 {
    let capacity = view.member.capacity.cpu_milli.max(1) as f64;
    let left = view.free().minus(&step.reserved()).cpu_milli as f64 / capacity;
    if left < USEFUL_ROOM { left / USEFUL_ROOM * SCRAP_WEIGHT } else { 0.0 }
}

/// Returns the harm of a task that fills, with a little for processors that are short.
fn fill_cost(
    holding: &holding::Holding,
    view: &worker::View,
    step: &spec::Step,
    image: harm::Image,
    now: time::Duration,
) -> Option<f64> {
    let capacity = view.member.capacity.cpu_milli.max(1) as f64;
    let left = left_for_filling(view) as f64;
    let want = step.size.cpu_milli as f64;
    if left < want * FILL_LEAST || holding.misses(view).next().is_some() {
        return None;
    }
    let part = want / capacity;
    let mut worst = 0.0_f64;
    for (serving, room) in holding.headroom(&view.member.id, now) {
        let strain = holding.model.harm(serving, image) * part;
        if strain > room.max(HARMLESS) {
            return None;
        }
        worst = worst.max(strain);
    }
    Some(worst - left / capacity * IDLE_WEIGHT)
}

/// Returns the processors that a worker is thought to leave to tasks that fill.
fn left_for_filling(view: &worker::View) -> u64 {
    let idle = view.serving_milli * (100 - SERVING_USE_PERCENT) / 100;
    (view.free().cpu_milli + idle).saturating_sub(view.filling_milli)
}
