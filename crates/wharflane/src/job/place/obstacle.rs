//! Reasons why a worker can't take a task, or why another one is preferred.

use std::time;

use crate::id;
use crate::job::place::group;
use crate::job::spec;
use crate::job::workers::worker;

/// A reason that keeps a task from a worker, in the order of the checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::job) enum Obstacle {
    /// The worker runs another service.
    Service,
    /// The worker lacks the label that the step requires.
    Label,
    /// The worker's hall is closed.
    Closed,
    /// The worker is silent or leaving, or it refused a start just now.
    Unavailable,
    /// The worker's free capacity is too small.
    Room,
    /// The worker holds the maximum number of tasks of the step.
    Spread,
    /// No valid ticket for the worker is known.
    Ticket,
    /// The worker is reserved for the isolated start of a suspect.
    Isolation,
    /// The worker is in quarantine after runs failed or stalled there.
    Quarantine,
    /// The worker's capacity is reserved for a returning long-running task.
    Reserved,
    /// A serving task there would miss its target, or too little CPU is left for a best-effort
    /// task.
    Interference,
}

/// Returns the first obstacle other than reserved capacity, tickets and interference.
pub(in crate::job) fn plain(
    view: &worker::View,
    service: &id::ServiceId,
    task: spec::TaskId,
    step: &spec::Step,
    now: time::Duration,
) -> Option<Obstacle> {
    hard(view, service, task, step, now).or_else(|| preference(view, task, step, now))
}

/// Returns the first obstacle, other than a ticket, with which the worker can't run the task at
/// all.
pub(in crate::job) fn hard(
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
    if view.closed {
        return Some(Obstacle::Closed);
    }
    if !view.is_available(now) {
        return Some(Obstacle::Unavailable);
    }
    if !step.reserved().fits(&view.free()) {
        return Some(Obstacle::Room);
    }
    (!has_place_left(view, task, step)).then_some(Obstacle::Spread)
}

/// Returns why the state of a worker makes another one preferable for a task, though it could run
/// there.
pub(in crate::job) fn preference(
    view: &worker::View,
    task: spec::TaskId,
    step: &spec::Step,
    now: time::Duration,
) -> Option<Obstacle> {
    if view.reserved_for.is_some_and(|reserved| reserved != task) {
        return Some(Obstacle::Isolation);
    }
    (view.is_quarantined(now) || view.probes_without(step)).then_some(Obstacle::Quarantine)
}

/// Returns whether a worker may hold one more task of the step.
fn has_place_left(view: &worker::View, task: spec::TaskId, step: &spec::Step) -> bool {
    let Some(max) = step.max_per_worker else {
        return true;
    };
    view.tasks.range(group::siblings(task)).count() < max as usize
}
