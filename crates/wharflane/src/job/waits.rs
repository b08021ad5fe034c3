//! Tells operators what keeps tasks that have waited for long.

use std::collections;
use std::time;

use super::choose;
use super::group;
use super::holding;
use super::obstacle;
use super::pass;
use super::spec;
use super::work;
use super::worker;

/// How long a task waits until it is told what keeps it; most find a worker in a tenth of it.
const TOLD_AFTER: time::Duration = time::Duration::from_secs(2);
/// The most lines in one pass; each looks at all workers anew.
const MOST_TOLD: usize = 2;
/// The time between two lines about one step; bounds their number by the steps that wait.
const TOLD_AGAIN: time::Duration = time::Duration::from_secs(10);

impl holding::Holding {
    /// Logs what keeps a task that has waited for long; once a while for each step.
    pub(super) fn tell_wait(
        &mut self,
        pass: &mut pass::Pass,
        ready: &work::Ready,
        step: &spec::Step,
        now: time::Duration,
    ) {
        let waited = now.saturating_sub(ready.since);
        let group = group::group(ready.task);
        let told = self.told.get(&group);
        let due = told.is_none_or(|at| now.saturating_sub(*at) >= TOLD_AGAIN);
        if waited < TOLD_AFTER || !due || pass.told >= MOST_TOLD {
            return;
        }
        pass.told += 1;
        self.told.insert(group, now);
        let obstacles = self.obstacles(ready.task, step, now);
        let count = |obstacle| obstacles.get(&obstacle).copied().unwrap_or(0);
        tracing::info!(
            task = %ready.task,
            waited_ms = worker::millis(waited),
            workers = self.views.len(),
            other_service = count(obstacle::Obstacle::Service),
            no_label = count(obstacle::Obstacle::Label),
            label = step.label.as_deref().unwrap_or_default(),
            closed_hall = count(obstacle::Obstacle::Closed),
            unavailable = count(obstacle::Obstacle::Unavailable),
            no_room = count(obstacle::Obstacle::Room),
            spread = count(obstacle::Obstacle::Spread),
            kept = count(obstacle::Obstacle::Kept),
            no_ticket = count(obstacle::Obstacle::Ticket),
            harm = count(obstacle::Obstacle::Harm),
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
    ) -> collections::BTreeMap<obstacle::Obstacle, usize> {
        let image = self.learned.interference.image(step.image.as_deref());
        let mut counts = collections::BTreeMap::new();
        let Some(entry) = self.jobs.get(&task.job) else {
            return counts;
        };
        let service = self.service(&entry.job);
        let harms = choose::harms(self, step, image);
        for view in self.views.values() {
            let harm = || {
                let none = choose::cost(self, view, step, image, &harms, now).is_none();
                none.then_some(obstacle::Obstacle::Harm)
            };
            let kept = || {
                let kept = self.kept_for.contains(&view.member.incarnation);
                kept.then_some(obstacle::Obstacle::Kept)
            };
            let ticket = || self.without_ticket(&entry.job, task, &view.member.incarnation, now);
            let plain = obstacle::plain(view, service, task, step, view.takes(task, now));
            if let Some(obstacle) = plain.or_else(kept).or_else(ticket).or_else(harm) {
                *counts.entry(obstacle).or_default() += 1;
            }
        }
        counts
    }

    /// Forgets what was told of steps that don't wait any more.
    pub(super) fn forget_told(&mut self) {
        let ready = &self.ready;
        self.told.retain(|(job, round, step), _| {
            let first = spec::TaskId { job: *job, round: *round, step: *step, index: 0 };
            ready.range(group::kin(first)).next().is_some()
        });
    }
}
