//! Assigns tasks to workers and stages their starts, which are ordered only after their commit.

use std::time;

use crate::id;
use crate::job::dispatch::pace;
use crate::job::holding;
use crate::job::progress;
use crate::job::runs::work;
use crate::job::spec;

/// Assigns a task's next run to a worker and refreshes the worker's headroom.
pub(in crate::job) fn assign(
    holding: &mut holding::Holding,
    ready: &work::Ready,
    step: &spec::Step,
    worker: &id::Incarnation,
    now: time::Duration,
) {
    let run = last_run(holding, ready.task) + 1;
    stage_start(holding, ready, step, worker, run);
    holding.refresh_headroom_of(worker, now);
}

/// Returns the number of a task's last run; zero if it was never started.
pub(in crate::job) fn last_run(holding: &holding::Holding, task: spec::TaskId) -> u32 {
    let entry = holding.jobs.get(&task.job);
    entry.and_then(|entry| entry.progress.tasks.get(&task.into())).map_or(0, |task| task.run)
}

/// Assigns a run of a task to a worker and stages its start for the next commit.
pub(in crate::job) fn stage_start(
    holding: &mut holding::Holding,
    ready: &work::Ready,
    step: &spec::Step,
    worker: &id::Incarnation,
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
    state.unshown = true;
    let began = entry.progress.phase != progress::Phase::Running;
    entry.progress.phase = progress::Phase::Running;
    let image = holding.learned.interference.image(step.image.as_deref());
    let urgent = pace::is_urgent(ready.priority);
    if let Some(view) = holding.views.get_mut(worker) {
        view.add(task, step, image, urgent);
    }
    holding.isolate_start(task, worker);
    let staged = work::StartState::Staged;
    let placed = work::Placed::new(worker.clone(), run, ready.since, staged, holding.now);
    holding.placed.insert(task, placed);
    holding.staged.push(task);
    holding.mark_task(task);
    if began {
        holding.mark(task.job);
    }
}
