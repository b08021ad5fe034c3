//! Logs why tasks that have waited for long get no worker, for operators.

use std::collections;
use std::time;

use crate::job::holding;
use crate::job::place::choose;
use crate::job::place::group;
use crate::job::place::obstacle;
use crate::job::place::pass;
use crate::job::place::starvation;
use crate::job::runs::work;
use crate::job::spec;
use crate::job::workers::worker;

/// How long a task waits before the reason is logged; most find a worker in a tenth of this.
const LOG_AFTER: time::Duration = time::Duration::from_secs(2);
/// Maximum number of lines per pass, since each evaluates all workers.
const MAX_LINES_PER_PASS: usize = 2;
/// Interval between lines about one group, which bounds their number by the number of waiting
/// groups.
pub(in crate::job) const LOG_INTERVAL: time::Duration = time::Duration::from_secs(10);

impl holding::Holding {
    /// Logs why a task that has waited for long gets no worker, at a limited rate per group.
    pub(in crate::job) fn log_wait(
        &mut self,
        pass: &mut pass::Pass,
        ready: &work::Ready,
        step: &spec::Step,
        now: time::Duration,
    ) {
        let waited = now.saturating_sub(ready.since);
        let group = group::group(ready.task);
        let logged_at = self.wait_logged_at.get(&group);
        let due = logged_at.is_none_or(|at| now.saturating_sub(*at) >= LOG_INTERVAL);
        if waited < LOG_AFTER || !due || pass.lines_logged >= MAX_LINES_PER_PASS {
            return;
        }
        pass.lines_logged += 1;
        self.wait_logged_at.insert(group, now);
        let obstacles = self.obstacles(ready.task, step, now);
        let count = |obstacle| obstacles.get(&obstacle).copied().unwrap_or(0);
        tracing::info!(
            task = %ready.task,
            waited_ms = worker::millis(waited),
            starving = starvation::is_starving(self, ready, now),
            in_use_percent = self.in_use_percent(ready.task),
            workers = self.views.len(),
            other_service = count(obstacle::Obstacle::Service),
            no_label = count(obstacle::Obstacle::Label),
            label = step.label.as_deref().unwrap_or_default(),
            closed_hall = count(obstacle::Obstacle::Closed),
            unavailable = count(obstacle::Obstacle::Unavailable),
            no_room = count(obstacle::Obstacle::Room),
            spread = count(obstacle::Obstacle::Spread),
            isolated = count(obstacle::Obstacle::Isolation),
            quarantined = count(obstacle::Obstacle::Quarantine),
            kept = count(obstacle::Obstacle::Reserved),
            no_ticket = count(obstacle::Obstacle::Ticket),
            harm = count(obstacle::Obstacle::Interference),
            gang = step.gang,
            cpu_milli = step.size.cpu_milli,
            mem_mb = step.size.mem_mb,
            "no worker for a task"
        );
    }

    /// Counts the workers that can't take a task, by obstacle.
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
        let service = &entry.policy.service;
        let strains = choose::best_effort_strains(self, step, image);
        for view in self.views.values() {
            let interference = || {
                let none = choose::cost(self, view, step, image, &strains, now).is_none();
                none.then_some(obstacle::Obstacle::Interference)
            };
            let reserved = || {
                let reserved = self.reserved_workers.contains(&view.member.incarnation);
                reserved.then_some(obstacle::Obstacle::Reserved)
            };
            let ticket = || self.ticket_obstacle(entry, task, &view.member.incarnation, now);
            let preference = || obstacle::preference(view, task, step, now).or_else(reserved);
            let hard = obstacle::hard(view, service, task, step, now).or_else(ticket);
            if let Some(obstacle) = hard.or_else(preference).or_else(interference) {
                *counts.entry(obstacle).or_default() += 1;
            }
        }
        counts
    }

    /// Forgets when the reasons were logged for groups that no longer wait.
    pub(in crate::job) fn forget_logged_waits(&mut self) {
        let ready = &self.ready;
        self.wait_logged_at.retain(|(job, round, step), _| {
            let first = spec::TaskId { job: *job, round: *round, step: *step, index: 0 };
            ready.range(group::siblings(first)).next().is_some()
        });
    }
}
