//! The inputs of placement: workers with free resources, shapes of waiting tasks, and the reasons
//! why tasks wait.

use std::cell;
use std::cmp;
use std::sync;

use serde::Serialize;

use super::spec;
use crate::id;
use crate::size;

/// The CPU share of a task that is not throttled, in percent.
pub(super) const FULL_SPEED_PERCENT: u8 = 100;

/// The sort key of waiting tasks: higher priority first.
pub(super) type WaitingKey = (cmp::Reverse<u32>, id::TaskId);

/// The properties that determine whether a task fits; all tasks of one shape fit on the same
/// workers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) struct Shape {
    /// The resources to reserve.
    pub size: size::Size,
    /// The priority, which decides what the task may preempt.
    pub priority: u32,
    /// The team whose quota applies.
    pub team: id::TeamId,
    /// Whether the task is a batch task.
    pub batch: bool,
}

/// Why a task waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitReason {
    /// No worker of the hall is large enough, even without tasks.
    FitsNowhere,
    /// No worker has enough free resources, and preemption can't free them.
    NoRoom,
    /// Tasks of lower priority are being evicted to make room.
    RoomBeingMade,
    /// The team's quota is exhausted.
    Quota,
}

/// Why the tasks of a shape wait, for the state dump.
#[derive(Debug, Serialize)]
pub struct WaitingShape {
    /// The shape of the waiting tasks.
    pub(super) shape: Shape,
    /// The reason from the last placement pass.
    pub(super) why: WaitReason,
}

/// A worker in a placement pass.
pub(super) struct Slot {
    /// The worker's id.
    pub worker: id::WorkerId,
    /// The rack that the worker is in.
    pub rack: sync::Arc<str>,
    /// The worker's total resources.
    pub capacity: size::Size,
    /// The resources reserved on it, including placements of this pass.
    pub used: size::Size,
    /// The owners of its tasks, computed when they are first needed.
    pub owners: cell::OnceCell<Vec<Owner>>,
}

impl Slot {
    /// Returns the free resources.
    pub(super) fn free(&self) -> size::Size {
        self.capacity.minus(&self.used)
    }
}

/// The tasks of one owner on a worker.
pub(super) struct Owner {
    /// The properties that the tasks have in common.
    pub spec: sync::Arc<spec::Spec>,
    /// The number of tasks, each weighted by its share of full speed.
    pub share: f64,
}
