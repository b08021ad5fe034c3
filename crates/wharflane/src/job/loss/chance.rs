//! Tells whether workers fail so often for other causes that a task met its losses by chance.

use std::time;

use crate::job::holding;
use crate::job::loss::crash;
use crate::job::progress;
use crate::job::spec;
use crate::job::workers::worker;

/// How long a loss without a suspect counts as evidence that workers fail for other causes.
const OTHER_CAUSE_WINDOW: time::Duration = time::Duration::from_secs(10);
/// A loss within a task's first second may be chance if at least one in this many starts would meet
/// an unrelated loss.
const CHANCE_DIVISOR: usize = 100;
/// The time over which the rate of single losses is taken.
const RATE_WINDOW: time::Duration = time::Duration::from_secs(30);
/// The shortest time over which a new holder takes that rate.
const MIN_RATE_WINDOW: time::Duration = time::Duration::from_secs(5);
/// Chance explains the losses of a task if it is expected to bring as many to at least this number
/// of tasks.
const MIN_EXPECTED_TASKS: f64 = 0.02;

impl holding::Holding {
    /// Returns whether workers are lost without a suspect so often that a loss soon after a start
    /// may be chance. Only workers on which nothing has just started can be lost without one, and
    /// these are few where tasks keep starting.
    pub(in crate::job) fn may_losses_be_chance(&self) -> bool {
        let since = self.now.saturating_sub(OTHER_CAUSE_WINDOW);
        let lost = self.loss_record.without_suspect(since);
        let settled = self.views.values().filter(|view| !self.has_suspect(view)).count();
        let starts = settled * OTHER_CAUSE_WINDOW.as_secs() as usize;
        lost > 0 && lost * CHANCE_DIVISOR >= starts
    }

    /// Returns whether a task has just started on a worker.
    fn has_suspect(&self, view: &worker::View) -> bool {
        let placed = view.tasks.iter().filter_map(|task| Some((*task, self.placed.get(task)?)));
        let mut ordered = placed.filter(|(_, placed)| crash::may_have_received_order(placed));
        ordered.any(|(task, placed)| self.presence_of(task, placed).is_suspect())
    }

    /// Returns whether some task would meet as many losses as this one by chance, given how
    /// often other workers are lost and how long the task ran before its workers were.
    pub(in crate::job) fn does_chance_explain(
        &self,
        task: spec::TaskId,
        losses: progress::Losses,
    ) -> bool {
        let tasks = self.placed.len().max(1);
        let probability = at_least(losses.all(), self.expected_by_chance(task));
        probability * tasks as f64 >= MIN_EXPECTED_TASKS
    }

    /// Returns how many losses chance would have brought to a task in the time that it ran since
    /// its losses count.
    pub(in crate::job) fn expected_by_chance(&self, task: spec::TaskId) -> f64 {
        let worked = time::Duration::from_millis(self.starts(task).worked_ms);
        self.single_losses_per_s() * worked.as_secs_f64()
    }

    /// Returns how often a worker is lost by itself, each second, on which no task runs that
    /// lost a worker before: such tasks may crash theirs.
    fn single_losses_per_s(&self) -> f64 {
        let since = self.now.saturating_sub(RATE_WINDOW);
        let lost = self.correlated.single_losses(since, self.views.len());
        let has_losses =
            |view: &&worker::View| view.tasks.iter().any(|task| self.has_losses(*task));
        let others = self.views.values().filter(|view| !has_losses(view)).count();
        let held = self.now.saturating_sub(self.acquired);
        let window = held.clamp(MIN_RATE_WINDOW, RATE_WINDOW);
        lost as f64 / others.max(1) as f64 / window.as_secs_f64()
    }
}

/// Returns the probability that at least `count` events occur of which `expected` are expected
/// (Poisson).
fn at_least(count: u32, expected: f64) -> f64 {
    let mut term = (-expected).exp();
    let mut below = 0.0;
    for number in 0..count {
        below += term;
        term *= expected / f64::from(number + 1);
    }
    (1.0 - below).max(0.0)
}
