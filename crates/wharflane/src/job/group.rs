//! The tasks of a step that find workers together or wait together.

use std::ops;

use super::spec;

/// A step of one round, whose tasks find workers together or wait together.
pub(super) type Group = (spec::JobId, u32, u32);

/// Returns the group of a task.
pub(super) fn group(task: spec::TaskId) -> Group {
    (task.job, task.round, task.step)
}

/// Returns the names of all tasks of a task's group.
pub(super) fn kin(task: spec::TaskId) -> ops::RangeInclusive<spec::TaskId> {
    spec::TaskId { index: 0, ..task }..=spec::TaskId { index: u32::MAX, ..task }
}
