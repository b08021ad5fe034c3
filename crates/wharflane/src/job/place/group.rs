//! Groups: the tasks of one step in one round, which are placed or wait together.

use std::ops;

use crate::job::spec;

/// Identifies a group by job, round and step.
pub(in crate::job) type Group = (spec::JobId, u32, u32);

/// Returns the group of a task.
pub(in crate::job) fn group(task: spec::TaskId) -> Group {
    (task.job, task.round, task.step)
}

/// Returns the range of all task ids in a task's group.
pub(in crate::job) fn siblings(task: spec::TaskId) -> ops::RangeInclusive<spec::TaskId> {
    spec::TaskId { index: 0, ..task }..=spec::TaskId { index: u32::MAX, ..task }
}
