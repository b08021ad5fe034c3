//! What placement looks at: a worker's room, tasks that wait, and why.

use std::cell;
use std::cmp;
use std::sync;

use serde::Serialize;

use super::spec;
use crate::id;
use crate::size;

/// The share of processors that is no throttle.
pub(super) const WHOLE_PERCENT: u8 = 100;

/// The turn of a waiting task: higher priority first.
pub(super) type QueueKey = (cmp::Reverse<u32>, id::TaskId);

/// Tasks that fit or don't fit alike.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) struct Shape {
    /// The size.
    pub size: size::Size,
    /// The priority.
    pub priority: u32,
    /// The team, whose quota may be used up.
    pub team: id::TeamId,
    /// Whether they are batch tasks.
    pub batch: bool,
}

/// Why a task waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitReason {
    /// No worker of the hall is large enough even when empty.
    FitsNowhere,
    /// Every worker that is large enough is full.
    NoRoom,
    /// Others are leaving to make room.
    RoomBeingMade,
    /// The team's quota is used up.
    Quota,
}

/// Why the tasks of a shape wait, for the state dump.
#[derive(Debug, Serialize)]
pub struct WaitingShape {
    /// The shape.
    pub(super) shape: Shape,
    /// Why.
    pub(super) why: WaitReason,
}

/// A worker with what a pass needs of it.
pub(super) struct Slot {
    /// The worker.
    pub worker: id::WorkerId,
    /// Its rack.
    pub rack: sync::Arc<str>,
    /// What it has.
    pub capacity: size::Size,
    /// What is set aside on it, the placements of the pass included.
    pub used: size::Size,
    /// The owners of its tasks with their number, once they were asked for.
    pub owners: cell::OnceCell<Vec<Owner>>,
}

impl Slot {
    /// Returns what is free.
    pub(super) fn free(&self) -> size::Size {
        self.capacity.minus(&self.used)
    }
}

/// The tasks of one owner on a worker.
pub(super) struct Owner {
    /// What they have in common.
    pub spec: sync::Arc<spec::Spec>,
    /// Their number, each counted by its share of speed.
    pub share: f64,
}
