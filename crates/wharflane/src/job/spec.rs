//! What a caller hands in: a graph of steps, each with tasks, and the checks on it.

use std::fmt;
use std::str;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::size;

/// The longest text that tasks are given, in bytes; callers are promised as much.
pub const MAX_SPEC_BYTES: usize = 4_000;
/// The most steps of a job; keeps the row of a job within what the store takes.
pub const MAX_STEPS: usize = 64;
/// The most tasks of a job, over all steps; keeps its progress within one transaction of the store.
pub const MAX_TASKS: u64 = 1_000;
/// The number of hexadecimal digits of a job's name.
const ID_DIGITS: usize = 16;

/// The name of a job, chosen by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A text that is no job name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a job's name is 16 lower-case hexadecimal digits")]
pub struct BadJobId;

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for JobId {
    type Err = BadJobId;

    fn from_str(text: &str) -> Result<Self, BadJobId> {
        let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != ID_DIGITS || !text.bytes().all(digit) {
            return Err(BadJobId);
        }
        u64::from_str_radix(text, 16).map(Self).or(Err(BadJobId))
    }
}

/// The name of one task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Which of the job's due times, from zero.
    pub round: u32,
    /// The step.
    pub step: u32,
    /// The index within the step.
    pub index: u32,
}

/// A text that is no task name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a task's name reads job.round.step.index")]
pub struct BadTaskId;

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.round, self.step, self.index)
    }
}

impl str::FromStr for TaskId {
    type Err = BadTaskId;

    fn from_str(text: &str) -> Result<Self, BadTaskId> {
        let mut parts = text.split('.');
        let job = parts.next().and_then(|part| part.parse().ok()).ok_or(BadTaskId)?;
        let mut number = || parts.next().and_then(|part| part.parse().ok()).ok_or(BadTaskId);
        let id = Self { job, round: number()?, step: number()?, index: number()? };
        if parts.next().is_some() { Err(BadTaskId) } else { Ok(id) }
    }
}

/// The tasks of a job that are alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// What a task asks for.
    pub size: size::Size,
    /// The caller's guess of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// The steps whose tasks must all be done first.
    pub after: Vec<u32>,
    /// Whether tasks save their progress.
    pub checkpoint: bool,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether tasks are slower across racks.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The rack that holds the data.
    pub rack: Option<String>,
    /// The most tasks of the step on one worker, per round.
    pub max_per_worker: Option<u32>,
    /// Whether a task may run twice at once, the first end counting.
    pub copies: bool,
    /// Whether tasks run until the job is cancelled, started again however they end.
    pub lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<String>,
    /// The tail of answer times that a serving task is to keep, in milliseconds.
    pub target_ms: Option<u64>,
    /// Whether tasks use only the processors that others leave.
    pub fills: bool,
    /// The most lasting tasks that may be away at once by our doing.
    pub may_miss: Option<u32>,
}

impl Step {
    /// Returns what a task takes of the room that is set aside on a worker.
    #[must_use]
    pub fn reserved(&self) -> size::Size {
        let cpu_milli = if self.fills { 0 } else { self.size.cpu_milli };
        size::Size { cpu_milli, ..self.size }
    }
}

/// The times at which the steps of a job run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeats {
    /// The number of rounds.
    pub times: u32,
    /// When the first round is due, in milliseconds since 1970.
    pub first_ms: u64,
    /// The time between two rounds, in milliseconds.
    pub every_ms: u64,
}

/// A job as its caller handed it in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The queue that it was handed in to.
    pub queue: String,
    /// The service whose workers run it, as the queue said when it was accepted.
    pub service: id::ServiceId,
    /// The text that every task is given.
    pub spec: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// When the steps run, where they don't run just once and at once.
    pub repeats: Option<Repeats>,
}

/// Why a job is refused; nothing of it is kept.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The text is too long.
    #[error("the text for tasks is {bytes} bytes long, more than {MAX_SPEC_BYTES}")]
    SpecTooLong {
        /// Its length.
        bytes: usize,
    },
    /// What would be kept of the job is too long for a row of the store.
    #[error("the job takes {bytes} bytes to keep, more than {most}")]
    TooLong {
        /// Its length as it would be kept.
        bytes: usize,
        /// The most that the store keeps in one row.
        most: usize,
    },
    /// The store never takes the job's row, whatever its reason.
    #[error("the store does not take the job's row")]
    NotKept,
    /// There is nothing to run.
    #[error("a job needs at least one step")]
    NoSteps,
    /// There are too many steps.
    #[error("{steps} steps are more than {MAX_STEPS}")]
    TooManySteps {
        /// How many there are.
        steps: usize,
    },
    /// There are too many tasks.
    #[error("{tasks} tasks are more than {MAX_TASKS}")]
    TooManyTasks {
        /// How many there are.
        tasks: u64,
    },
    /// A step has no tasks.
    #[error("step {step} has no tasks")]
    EmptyStep {
        /// The step.
        step: usize,
    },
    /// A step waits for itself or a later one.
    #[error("step {step} waits for step {after}, which is not an earlier one")]
    BadOrder {
        /// The step.
        step: usize,
        /// What it waits for.
        after: u32,
    },
}

impl Job {
    /// Checks a job as a whole.
    ///
    /// # Errors
    /// Returns the first `Refusal` that holds.
    pub fn check(&self) -> Result<(), Refusal> {
        if self.spec.len() > MAX_SPEC_BYTES {
            return Err(Refusal::SpecTooLong { bytes: self.spec.len() });
        }
        if self.steps.is_empty() {
            return Err(Refusal::NoSteps);
        }
        if self.steps.len() > MAX_STEPS {
            return Err(Refusal::TooManySteps { steps: self.steps.len() });
        }
        for (at, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(Refusal::EmptyStep { step: at });
            }
            let late = step.after.iter().find(|after| **after as usize >= at);
            if let Some(after) = late {
                return Err(Refusal::BadOrder { step: at, after: *after });
            }
        }
        let tasks = self.task_count();
        if tasks > MAX_TASKS { Err(Refusal::TooManyTasks { tasks }) } else { Ok(()) }
    }

    /// Returns the number of tasks over all steps and rounds.
    #[must_use]
    pub fn task_count(&self) -> u64 {
        let once: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        once.saturating_mul(u64::from(self.rounds()))
    }

    /// Returns how often the steps run.
    #[must_use]
    pub fn rounds(&self) -> u32 {
        self.repeats.map_or(1, |repeats| repeats.times.max(1))
    }

    /// Returns when a round is due, in milliseconds since 1970; zero for at once.
    #[must_use]
    pub fn due_ms(&self, round: u32) -> u64 {
        self.repeats.map_or(0, |repeats| {
            repeats.first_ms.saturating_add(repeats.every_ms.saturating_mul(u64::from(round)))
        })
    }

    /// Returns where a task stands among all tasks of the job, round by round and step by step.
    #[must_use]
    pub fn ordinal(&self, round: u32, step: u32, index: u32) -> u64 {
        let counts = self.steps.iter().map(|step| u64::from(step.count));
        let once: u64 = counts.clone().sum();
        let before: u64 = counts.take(step as usize).sum();
        once * u64::from(round) + before + u64::from(index)
    }

    /// Returns one of the steps.
    #[must_use]
    pub fn step(&self, step: u32) -> Option<&Step> {
        self.steps.get(step as usize)
    }
}
