//! How far a job has come: what its row says of each task.

use std::collections;

use serde::{Deserialize, Serialize};

use super::spec;
use crate::id;

/// What is told of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// None of its tasks has begun.
    #[default]
    Queued,
    /// A task has begun.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

impl Phase {
    /// Returns whether nothing can change it any more.
    #[must_use]
    pub fn ended(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// The place of a task within its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The round.
    pub round: u32,
    /// The step.
    pub step: u32,
    /// The index within the step.
    pub index: u32,
}

impl Place {
    /// Returns the name of the task that has this place in a job.
    #[must_use]
    pub fn of(self, job: spec::JobId) -> spec::TaskId {
        spec::TaskId { job, round: self.round, step: self.step, index: self.index }
    }
}

impl From<spec::TaskId> for Place {
    fn from(task: spec::TaskId) -> Self {
        Self { round: task.round, step: task.step, index: task.index }
    }
}

/// One task that was started at least once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Task {
    /// The number of its last start.
    pub run: u32,
    /// How often it failed.
    pub failures: u32,
    /// Where it may run, by the worker's life.
    pub worker: Option<id::WorkerId>,
    /// Whether it came to its end.
    pub done: bool,
    /// What it saved last; empty where it saved nothing.
    pub checkpoint: String,
    /// The run in which its gang failed last; zero for none.
    pub failed_run: u32,
    /// Where it failed last; lost with the holder.
    pub failed_on: Option<id::WorkerId>,
}

/// How far a job has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// What is told of the job.
    pub phase: Phase,
    /// The tasks that were started at least once.
    pub tasks: collections::BTreeMap<Place, Task>,
}

/// The row of a job's progress.
#[derive(Serialize, Deserialize)]
struct Kept {
    /// What is told of the job.
    phase: Phase,
    /// The tasks, the rarer fields left out where they are empty.
    tasks: Vec<KeptTask>,
}

/// One task in a row; the names are short because rows are written often.
#[derive(Serialize, Deserialize)]
struct KeptTask {
    /// Round, step and index.
    at: (u32, u32, u32),
    /// The number of the last start.
    run: u32,
    /// Failures.
    #[serde(default, skip_serializing_if = "is_zero")]
    bad: u32,
    /// The run in which the gang failed last.
    #[serde(default, skip_serializing_if = "is_zero")]
    bad_run: u32,
    /// The worker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    on: Option<id::WorkerId>,
    /// Whether it is done.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    done: bool,
    /// The checkpoint.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    saved: String,
}

/// Returns whether a number is left out of a row.
fn is_zero(number: &u32) -> bool {
    *number == 0
}

impl Progress {
    /// Writes the row; tasks of an ended job are kept only while they may still run.
    ///
    /// # Errors
    /// Returns the encoder's error.
    pub fn encode(&self) -> Result<String, serde_json::Error> {
        let kept = |task: &Task| !self.phase.ended() || task.worker.is_some();
        let tasks =
            self.tasks.iter().filter(|(_, task)| kept(task)).map(|(place, task)| KeptTask {
                at: (place.round, place.step, place.index),
                run: task.run,
                bad: task.failures,
                bad_run: task.failed_run,
                on: task.worker.clone(),
                done: task.done,
                saved: task.checkpoint.clone(),
            });
        serde_json::to_string(&Kept { phase: self.phase, tasks: tasks.collect() })
    }

    /// Reads the row.
    ///
    /// # Errors
    /// Returns the parser's error for a text that is no such row.
    pub fn decode(text: &str) -> Result<Self, serde_json::Error> {
        let kept: Kept = serde_json::from_str(text)?;
        let tasks = kept.tasks.into_iter().map(|task| {
            let (round, step, index) = task.at;
            let state = Task {
                run: task.run,
                failures: task.bad,
                failed_run: task.bad_run,
                worker: task.on,
                done: task.done,
                checkpoint: task.saved,
                failed_on: None,
            };
            (Place { round, step, index }, state)
        });
        Ok(Self { phase: kept.phase, tasks: tasks.collect() })
    }

    /// Returns whether all tasks of a step are done in a round.
    #[must_use]
    pub fn step_done(&self, job: &spec::Job, round: u32, step: u32) -> bool {
        let count = job.step(step).map_or(0, |step| step.count);
        (0..count).all(|index| {
            self.tasks.get(&Place { round, step, index }).is_some_and(|task| task.done)
        })
    }

    /// Returns whether all tasks are done.
    #[must_use]
    pub fn all_done(&self, job: &spec::Job) -> bool {
        let done = self.tasks.values().filter(|task| task.done).count();
        u64::try_from(done).is_ok_and(|done| done == job.task_count())
    }
}
