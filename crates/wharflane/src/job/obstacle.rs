//! Why a worker does not take a task.

use super::group;
use super::spec;
use super::worker;
use crate::id;

/// What keeps a task from a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Obstacle {
    /// The worker runs another service.
    Service,
    /// It lacks the label that the step asks for.
    Label,
    /// Its hall is closed.
    Closed,
    /// It does not answer, is about to leave, or rests.
    Unavailable,
    /// What is free there is too small.
    Room,
    /// It holds as many tasks of the step as may be together.
    Spread,
    /// Its room is kept for a lasting task that comes back.
    Kept,
    /// There is no ticket for it.
    Ticket,
    /// A serving task there would miss its target, or processors are short.
    Harm,
}

/// Returns what keeps a task from a worker before harm is weighed; `takes` tells whether the worker takes new
/// tasks of this kind.
pub(super) fn plain(
    view: &worker::View,
    service: &id::ServiceId,
    task: spec::TaskId,
    step: &spec::Step,
    takes: bool,
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
    if !takes {
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
    view.tasks.range(group::kin(task)).count() < most as usize
}
