//! What the holder of a hall and its workers tell each other.

use std::net;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::size;

/// The holder's message to a worker: fences, lease and commands at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sync {
    /// The worker that is meant.
    pub worker: id::WorkerId,
    /// The boot of the worker that is meant; nothing at first contact, when no command is sent.
    pub boot: Option<u64>,
    /// The epoch of the holder; a worker refuses a lower one than it has seen.
    pub epoch: u64,
    /// Grows within an epoch; a worker refuses one that is not greater than the last.
    pub seq: u64,
    /// Until when tasks may run without another message, by the worker's own clock.
    pub lease_until_ms: u64,
    /// What to do, in order.
    pub commands: Vec<Command>,
}

/// One command to a worker; each may be repeated without effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum Command {
    /// Run a task.
    Start {
        /// The task.
        task: id::TaskId,
        /// The attempt, which fences earlier ones.
        attempt: u32,
        /// What it may use.
        size: size::Size,
        /// The progress to resume from.
        checkpoint: Option<u64>,
        /// What kind of task it is.
        kind: Kind,
    },
    /// Stop a task, after a checkpoint where it has one.
    Stop {
        /// The task.
        task: id::TaskId,
        /// The attempt.
        attempt: u32,
    },
    /// Run a batch task at a share of its processors.
    Throttle {
        /// The task.
        task: id::TaskId,
        /// The attempt.
        attempt: u32,
        /// The share left to it.
        percent: u8,
    },
    /// Drop the memory of a task that has ended.
    Forget {
        /// The task.
        task: id::TaskId,
        /// The attempt.
        attempt: u32,
    },
}

/// What a worker needs to know of a task besides its size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Kind {
    /// A task of a service.
    Service {
        /// The service.
        service: id::ServiceId,
    },
    /// A batch task.
    Batch {
        /// How long it is expected to run.
        run_time_ms: u64,
        /// Whether it can save its progress.
        checkpoint: bool,
    },
}

/// A worker's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case")]
pub enum Answer {
    /// The message was taken.
    Report(Report),
    /// The message was refused and nothing was done.
    Refused {
        /// Why.
        why: Refusal,
        /// The highest epoch seen.
        epoch: u64,
        /// The boot of this worker.
        boot: u64,
    },
}

/// Why a worker refuses a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// Another holder has a higher epoch.
    OldEpoch,
    /// A later message was taken before.
    OldSeq,
    /// The message was meant for an earlier boot.
    OtherBoot,
}

/// The state of a worker after it took a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Changes whenever the worker has lost its memory.
    pub boot: u64,
    /// The worker's own clock.
    pub clock_ms: u64,
    /// The message this answers.
    pub seq: u64,
    /// What the worker has.
    pub capacity: size::Size,
    /// All tasks it knows.
    pub tasks: Vec<TaskReport>,
}

/// The state of one task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub task: id::TaskId,
    /// The attempt.
    pub attempt: u32,
    /// What became of it.
    pub state: TaskState,
    /// Measured use of processors, which comes late, in thousandths of a core.
    pub used_cpu_milli: Option<u64>,
}

/// What became of a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum TaskState {
    /// It runs.
    Running {
        /// Where a service task answers.
        addr: Option<net::SocketAddr>,
        /// The progress saved last.
        checkpoint: Option<u64>,
    },
    /// It was stopped and will not run again in this attempt.
    Stopped {
        /// The progress saved last.
        checkpoint: Option<u64>,
    },
    /// It came to its end.
    Completed,
    /// It ended with a failure.
    Failed,
}
