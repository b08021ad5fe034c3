//! Why a worker does not take a task, and what is told of tasks that wait for long.

use std::collections;
use std::time;

use super::holding;
use super::spec;
use super::worker;
use crate::id;

/// How long a task waits until it is told what keeps it; most find a worker in a tenth of it.
const TOLD_AFTER: time::Duration = time::Duration::from_secs(2);
/// The time between two lines about one step; bounds their number by the steps that wait.
const TOLD_AGAIN: time::Duration = time::Duration::from_secs(10);

/// What keeps a task from a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Obstacle {
    /// The worker runs another service.
    Service,
    /// It lacks the label that the step asks for.
    Label,
    /// It does not answer, is about to leave, or rests.
    Unavailable,
    /// What is free there is too small.
    Room,
    /// It holds as many tasks of the step as may be together.
    Spread,
    /// A serving task there would miss its target, or processors are short.
    Harm,
}

/// A step of one round, whose tasks find workers together or wait together.
pub(super) type Group = (spec::JobId, u32, u32);

/// Returns the group of a task.
pub(super) fn group(task: spec::TaskId) -> Group {
    (task.job, task.round, task.step)
}

/// Returns what keeps a task from a worker before harm is weighed.
pub(super) fn plain(
    view: &worker::View,
    service: &id::ServiceId,
    task: spec::TaskId,
    step: &spec::Step,
    now: time::Duration,
) -> Option<Obstacle> {
    if view.member.service != *service {
        return Some(Obstacle::Service);
    }
    if !step.label.as_deref().is_none_or(|label| view.has_label(label)) {
        return Some(Obstacle::Label);
    }
    if !view.takes(now) {
        return Some(Obstacle::Unavailable);
    }
    if !step.reserved().fits(&view.free()) {
        return Some(Obstacle::Room);
    }
    (!spread(view, task, step)).then_some(Obstacle::Spread)
}

/// Returns whether a worker may hold one more task of the step.
fn spread(view: &worker::View, task: spec::TaskId, step: &spec::Step) -> bool {
    let Some(most) = step.max_per_worker else {
        return true;
    };
    let first = spec::TaskId { index: 0, ..task };
    let last = spec::TaskId { index: u32::MAX, ..task };
    view.tasks.range(first..=last).count() < most as usize
}

impl holding::Holding {
    /// Logs what keeps a task that has waited for long; once a while for each step.
    pub(super) fn tell_wait(
        &mut self,
        ready: &holding::Ready,
        step: &spec::Step,
        now: time::Duration,
    ) {
        let waited = now.saturating_sub(ready.since);
        let group = group(ready.task);
        let told = self.told.get(&group);
        let due = told.is_none_or(|at| now.saturating_sub(*at) >= TOLD_AGAIN);
        if waited < TOLD_AFTER || !due {
            return;
        }
        self.told.insert(group, now);
        let obstacles = self.obstacles(ready.task, step, now);
        let count = |obstacle| obstacles.get(&obstacle).copied().unwrap_or(0);
        tracing::info!(
            task = %ready.task,
            waited_ms = worker::millis(waited),
            workers = self.views.len(),
            other_service = count(Obstacle::Service),
            no_label = count(Obstacle::Label),
            label = step.label.as_deref().unwrap_or_default(),
            unavailable = count(Obstacle::Unavailable),
            no_room = count(Obstacle::Room),
            spread = count(Obstacle::Spread),
            harm = count(Obstacle::Harm),
            gang = step.gang,
            cpu_milli = step.size.cpu_milli,
            mem_mb = step.size.mem_mb,
            "no worker for a task"
        );
    }

    /// Counts the workers that don't take a task, by what keeps it from them.
    fn obstacles(
        &mut self,
        task: spec::TaskId,
        step: &spec::Step,
        now: time::Duration,
    ) -> collections::BTreeMap<Obstacle, usize> {
        let image = self.model.image(step.image.as_deref());
        let mut counts = collections::BTreeMap::new();
        let Some(entry) = self.jobs.get(&task.job) else {
            return counts;
        };
        let service = self.service(&entry.job);
        for view in self.views.values() {
            let harm = || {
                let none = super::place::cost(self, view, step, image, now).is_none();
                none.then_some(Obstacle::Harm)
            };
            if let Some(obstacle) = plain(view, service, task, step, now).or_else(harm) {
                *counts.entry(obstacle).or_default() += 1;
            }
        }
        counts
    }

    /// Forgets what was told of steps that don't wait any more.
    pub(super) fn forget_told(&mut self) {
        let waiting: collections::BTreeSet<Group> =
            self.ready.keys().map(|task| group(*task)).collect();
        self.told.retain(|group, _| waiting.contains(group));
    }
}
