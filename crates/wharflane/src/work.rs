//! Protocol between the holder of a hall and its workers.
//!
//! A `Sync` carries the holder's epoch, a sequence number and the lease of the worker's tasks, so
//! that a worker rejects messages that are stale or that come from a holder that was replaced.

use std::net;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::size;

/// A message from the holder to a worker: fencing fields, task lease and commands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sync {
    /// The worker that the message is addressed to.
    pub worker: id::WorkerId,
    /// The boot id that the message is addressed to; `None` at first contact, when no command is
    /// sent.
    pub boot: Option<u64>,
    /// The epoch of the holder; a worker refuses an epoch lower than the highest that it has seen.
    pub epoch: u64,
    /// Sequence number within the epoch; a worker refuses one that is not greater than the last.
    pub seq: u64,
    /// When the lease of the worker's tasks expires, by the worker's own clock.
    pub lease_until_ms: u64,
    /// Commands, in the order in which the worker executes them.
    pub commands: Vec<Command>,
}

/// A command to a worker; every command is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum Command {
    /// Starts a task.
    Start {
        /// The task to start.
        task: id::TaskId,
        /// The attempt number; a higher attempt fences lower ones.
        attempt: u32,
        /// The resources that the task may use.
        size: size::Size,
        /// The checkpoint to resume from, as the task's own progress counter.
        checkpoint: Option<u64>,
        /// Whether it is a service task or a batch task, with what the worker needs for either.
        kind: Kind,
    },
    /// Stops a task, after a checkpoint if it supports them.
    Stop {
        /// The task to stop.
        task: id::TaskId,
        /// The attempt to stop.
        attempt: u32,
    },
    /// Limits a batch task to a share of its CPU.
    Throttle {
        /// The task to throttle.
        task: id::TaskId,
        /// The attempt to throttle.
        attempt: u32,
        /// The share of CPU that the task keeps, in percent.
        percent: u8,
    },
    /// Drops the worker's record of a task that has ended.
    Forget {
        /// The task to forget.
        task: id::TaskId,
        /// The attempt to forget.
        attempt: u32,
    },
}

/// Properties of a task that a worker needs besides its size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Kind {
    /// A task of a latency-critical service.
    Service {
        /// The service that the task belongs to.
        service: id::ServiceId,
    },
    /// A batch task.
    Batch {
        /// The expected run time.
        run_time_ms: u64,
        /// Whether the task can save its progress.
        checkpoint: bool,
    },
}

/// A worker's reply to a `Sync`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case")]
pub enum Answer {
    /// The worker accepted the message.
    Report(Report),
    /// The worker refused the message and executed nothing.
    Refused {
        /// The reason for the refusal.
        why: Refusal,
        /// The highest epoch that the worker has seen.
        epoch: u64,
        /// The current boot id of the worker.
        boot: u64,
    },
}

/// Why a worker refuses a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The worker has seen a higher epoch, of another holder.
    OldEpoch,
    /// The worker has already accepted a message with this or a higher sequence number.
    OldSeq,
    /// The message is addressed to an earlier boot of the worker.
    OtherBoot,
}

/// The state of a worker after it executed a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Boot id; changes whenever the worker loses its in-memory state.
    pub boot: u64,
    /// The worker's own clock.
    pub clock_ms: u64,
    /// The sequence number of the message that this report answers.
    pub seq: u64,
    /// The worker's total resources.
    pub capacity: size::Size,
    /// Every task that the worker has a record of.
    pub tasks: Vec<TaskReport>,
}

/// The state of one task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The reported task.
    pub task: id::TaskId,
    /// The attempt that the state belongs to.
    pub attempt: u32,
    /// The state of that attempt.
    pub state: TaskState,
    /// Measured CPU use in thousandths of a core; `None` until a measurement is available.
    pub used_cpu_milli: Option<u64>,
}

/// The state of a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum TaskState {
    /// The task is running.
    Running {
        /// Where a service task accepts requests; `None` for a batch task.
        addr: Option<net::SocketAddr>,
        /// The checkpoint saved last.
        checkpoint: Option<u64>,
    },
    /// The task was stopped and does not run again in this attempt.
    Stopped {
        /// The checkpoint saved last.
        checkpoint: Option<u64>,
    },
    /// The task finished successfully.
    Completed,
    /// The task ended with a failure.
    Failed,
}
