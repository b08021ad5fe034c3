//! The specification of a job: steps with tasks and their dependencies, and its validation.

use std::fmt;
use std::marker;
use std::str;

use serde::{Deserialize, Serialize, de};

use crate::id;
use crate::size;

/// Maximum length of the text for tasks, in bytes; callers are promised this much.
pub const MAX_SPEC_BYTES: usize = 4_000;
/// Maximum number of steps of a job, which keeps its row within the store's limit.
pub const MAX_STEPS: usize = 64;
/// Maximum number of tasks of a job over all steps and rounds, which keeps its progress within one
/// transaction of the store.
pub const MAX_TASKS: u64 = 1_000;
/// Number of hexadecimal digits of a job id.
const ID_DIGITS: usize = 16;

/// The id of a job, chosen by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// The error for a text that is not a job id.
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

/// The id of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job to which the task belongs.
    pub job: JobId,
    /// The round, which is the index of one of the job's due times, from zero.
    pub round: u32,
    /// The step, by its index in the job.
    pub step: u32,
    /// The index of the task within the step.
    pub index: u32,
}

/// The error for a text that is not a task id.
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

/// A group of equal tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// The capacity that each task requests.
    pub size: size::Size,
    /// The caller's estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// The indices of the steps that must be done first.
    pub after: Vec<u32>,
    /// Whether tasks save checkpoints.
    pub checkpoint: bool,
    /// Whether the tasks form a gang, which works only as a whole.
    pub gang: bool,
    /// Whether tasks are slower across racks.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The rack that holds the data.
    pub rack: Option<String>,
    /// The maximum number of tasks of the step on one worker, per round.
    pub max_per_worker: Option<u32>,
    /// Whether a task may run twice at the same time; the first end counts.
    pub copies: bool,
    /// Whether tasks run until the job is cancelled and are restarted however they end.
    pub lasting: bool,
    /// The image that the tasks run; tasks of one image behave alike.
    pub image: Option<String>,
    /// The tail latency that a serving task must meet, in milliseconds.
    pub target_ms: Option<u64>,
    /// Whether the tasks are best-effort tasks, which use only the CPU that others leave.
    pub fills: bool,
    /// The maximum number of long-running tasks that the scheduler may interrupt at the same time.
    pub may_miss: Option<u32>,
}

impl Step {
    /// Returns the capacity that a task reserves on a worker; best-effort tasks reserve no CPU.
    #[must_use]
    pub fn reserved(&self) -> size::Size {
        let cpu_milli = if self.fills { 0 } else { self.size.cpu_milli };
        size::Size { cpu_milli, ..self.size }
    }
}

/// The schedule of a repeated job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeats {
    /// The number of rounds.
    pub times: u32,
    /// When the first round is due, in milliseconds since 1970.
    pub first_ms: u64,
    /// The interval between rounds, in milliseconds.
    pub every_ms: u64,
}

/// A job as submitted by its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The queue to which it was submitted.
    pub queue: String,
    /// The service whose workers run it, as configured when it was accepted.
    pub service: id::ServiceId,
    /// The opaque text that every task receives.
    pub spec: String,
    /// The steps; each depends only on earlier ones.
    pub steps: Vec<Step>,
    /// The schedule; `None` to run once and at once.
    pub repeats: Option<Repeats>,
}

/// Why a job is rejected; nothing of it is stored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The text for tasks is too long.
    #[error("the text for tasks is {bytes} bytes long, more than {MAX_SPEC_BYTES}")]
    SpecTooLong {
        /// The length of the text.
        bytes: usize,
    },
    /// The job is too long for a row of the store.
    #[error("the job takes {bytes} bytes to keep, more than {most}")]
    TooLong {
        /// Its length in stored form.
        bytes: usize,
        /// The maximum length that the store accepts.
        most: usize,
    },
    /// The store will never accept the job's row, for a reason of its own.
    #[error("the store does not take the job's row")]
    NotKept,
    /// The job has no steps.
    #[error("a job needs at least one step")]
    NoSteps,
    /// The job has too many steps.
    #[error("{steps} steps are more than {MAX_STEPS}")]
    TooManySteps {
        /// The number of its steps.
        steps: usize,
    },
    /// The job has too many tasks.
    #[error("{tasks} tasks are more than {MAX_TASKS}")]
    TooManyTasks {
        /// The number of its tasks over all rounds.
        tasks: u64,
    },
    /// A step has no tasks.
    #[error("step {step} has no tasks")]
    EmptyStep {
        /// The index of the step.
        step: usize,
    },
    /// A step depends on itself or on a later one.
    #[error("step {step} waits for step {after}, which is not an earlier one")]
    BadOrder {
        /// The index of the step.
        step: usize,
        /// The step on which it depends.
        after: u32,
    },
}

impl Job {
    /// Validates the job as a whole.
    ///
    /// # Errors
    /// Returns the first applicable `Refusal`.
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

    /// Returns the number of rounds, at least one.
    #[must_use]
    pub fn rounds(&self) -> u32 {
        self.repeats.map_or(1, |repeats| repeats.times.max(1))
    }

    /// Returns when a round is due, in milliseconds since 1970; zero means at once.
    #[must_use]
    pub fn due_ms(&self, round: u32) -> u64 {
        self.repeats.map_or(0, |repeats| {
            repeats.first_ms.saturating_add(repeats.every_ms.saturating_mul(u64::from(round)))
        })
    }

    /// Returns the index of a task among all tasks of the job, ordered by round, step and index.
    #[must_use]
    pub fn ordinal(&self, round: u32, step: u32, index: u32) -> u64 {
        let counts = self.steps.iter().map(|step| u64::from(step.count));
        let once: u64 = counts.clone().sum();
        let before: u64 = counts.take(step as usize).sum();
        once * u64::from(round) + before + u64::from(index)
    }

    /// Returns a step by its index.
    #[must_use]
    pub fn step(&self, step: u32) -> Option<&Step> {
        self.steps.get(step as usize)
    }
}

/// Reads the steps of a submission, as a `deserialize_with` of serde. It keeps one step more than a
/// job may have and skips the others, so that a long list of tiny steps takes little memory.
///
/// # Errors
/// Returns the error of a step that can't be read.
pub fn read_steps<'de, D, S>(deserializer: D) -> Result<Vec<S>, D::Error>
where
    D: serde::Deserializer<'de>,
    S: serde::Deserialize<'de>,
{
    deserializer.deserialize_seq(StepsVisitor(marker::PhantomData))
}

/// Reads a list of steps.
struct StepsVisitor<S>(marker::PhantomData<S>);

impl<'de, S: serde::Deserialize<'de>> de::Visitor<'de> for StepsVisitor<S> {
    type Value = Vec<S>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a list of steps")
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<S>, A::Error> {
        let mut steps = Vec::new();
        while steps.len() <= MAX_STEPS {
            match seq.next_element()? {
                Some(step) => steps.push(step),
                None => return Ok(steps),
            }
        }
        while seq.next_element::<de::IgnoredAny>()?.is_some() {}
        Ok(steps)
    }
}
