//! How far a job has come: what its row says of each task.

use std::collections;

use serde::{Deserialize, Serialize};

use super::order;
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
pub struct TaskPosition {
    /// The round.
    pub round: u32,
    /// The step.
    pub step: u32,
    /// The index within the step.
    pub index: u32,
}

impl TaskPosition {
    /// Returns the name of the task that has this place in a job.
    #[must_use]
    pub fn of(self, job: spec::JobId) -> spec::TaskId {
        spec::TaskId { job, round: self.round, step: self.step, index: self.index }
    }
}

impl From<spec::TaskId> for TaskPosition {
    fn from(task: spec::TaskId) -> Self {
        Self { round: task.round, step: task.step, index: task.index }
    }
}

/// The workers that were lost under a task, since it was last at work for long.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Losses {
    /// Those that it may have crashed by its start, since it was not seen at work there for a while.
    pub suspected: u32,
    /// Those of them where nothing else there may have done it.
    pub alone: u32,
    /// Those where it was at work for a while, and so was everything else.
    pub unexplained: u32,
}

impl Losses {
    /// Returns whether none counts.
    fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

/// What is kept of a task's starts once a worker was lost under it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Starts {
    /// The number of the last one whose worker was lost.
    #[serde(rename = "l")]
    pub lost: u32,
    /// The number of the last one that was seen at work for a while.
    #[serde(rename = "w")]
    pub at_work: u32,
    /// How many since the third loss ended neither as done nor with their worker.
    #[serde(rename = "o")]
    pub others: u32,
}

impl Starts {
    /// Returns whether there is nothing to keep.
    fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

/// One task that was started at least once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Task {
    /// The number of its last start.
    pub run: u32,
    /// The runs that failed, each once, whichever holder heard of them in which order.
    pub failed_runs: collections::BTreeSet<u32>,
    /// Where it may run, by the worker's incarnation.
    pub worker: Option<id::Incarnation>,
    /// Whether it came to its end.
    pub done: bool,
    /// What it saved last; empty where it saved nothing.
    pub checkpoint: String,
    /// The run that saved it; zero where another holder heard of it.
    pub saved_run: u32,
    /// The workers that were lost under it.
    pub losses: Losses,
    /// Its starts since.
    pub starts: Starts,
    /// Where it failed last; lost with the holder.
    pub failed_on: Option<id::Incarnation>,
}

impl Task {
    /// Returns how often it failed.
    #[must_use]
    pub fn failures(&self) -> u32 {
        u32::try_from(self.failed_runs.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether what is kept of the task shows that it was at work; a start alone does not.
    pub(super) fn shows_work(&self) -> bool {
        self.done || !self.failed_runs.is_empty() || !self.checkpoint.is_empty()
    }

    /// Returns whether nothing is known of it but its last start.
    fn has_only_started(&self) -> bool {
        self.failed_runs.is_empty() && self.checkpoint.is_empty() && self.losses.is_none()
    }

    /// Notes what a run saved, unless a later run saved something; returns whether that is news. Nothing, and a
    /// text too long to be kept, leave it as it was.
    pub(super) fn save(&mut self, run: u32, checkpoint: &str) -> bool {
        if checkpoint.len() > MAX_CHECKPOINT_BYTES {
            tracing::warn!(
                bytes = checkpoint.len(),
                "checkpoint too long, work since the last is lost"
            );
            return false;
        }
        if checkpoint.is_empty() || run < self.saved_run {
            return false;
        }
        self.saved_run = run;
        let news = self.checkpoint != checkpoint;
        checkpoint.clone_into(&mut self.checkpoint);
        news
    }

    /// Notes how a run ended, whichever run is the last by now; returns whether that is news.
    pub(super) fn note_end(&mut self, run: u32, kind: order::EndKind) -> bool {
        match kind {
            order::EndKind::Done => !std::mem::replace(&mut self.done, true),
            order::EndKind::Failed => self.failed_runs.insert(run),
            _ => false,
        }
    }
}

/// How far a job has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// What is told of the job.
    pub phase: Phase,
    /// The tasks that were started at least once.
    pub tasks: collections::BTreeMap<TaskPosition, Task>,
}

/// The most tasks in one row of progress. A task takes 480 bytes at most, with the longest name of a
/// worker (200 bytes) and the longest checkpoint that is kept, and a row of the store 48 KiB.
const ROW_TASKS: u64 = 100;
/// The most rows of one job: as many as its tasks may fill.
pub(super) const MOST_ROWS: u32 = (spec::MAX_TASKS / ROW_TASKS) as u32;
/// The longest checkpoint that is kept, in bytes; workers' own are texts of 16.
const MAX_CHECKPOINT_BYTES: usize = 160;

/// One row of a job's progress. Rows are written at each start and end of their tasks, so most tasks take few bytes:
/// none beside their neighbours once they are done, 27 while they run. A job of 78 tasks was written some 30 times
/// with 46 bytes a task, 1.8 KB for each of its runs.
#[derive(Default, Serialize, Deserialize)]
struct Kept {
    /// What is told of the job; counts in the first row.
    phase: Phase,
    /// Tasks that are done and run nowhere: round, step, the first index and the last.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    done: Vec<(u32, u32, u32, u32)>,
    /// Tasks of which no more is known than their last start: round, step, index, run and worker.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    on: Vec<(u32, u32, u32, u32, id::Incarnation)>,
    /// The other tasks, the rarer fields left out where they are empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    tasks: Vec<KeptTask>,
}

/// One task in a row; the names are short because rows are written often.
#[derive(Serialize, Deserialize)]
struct KeptTask {
    /// Round, step and index.
    at: (u32, u32, u32),
    /// The number of the last start.
    run: u32,
    /// The runs that failed.
    #[serde(default, skip_serializing_if = "collections::BTreeSet::is_empty")]
    bad_runs: collections::BTreeSet<u32>,
    /// The worker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    on: Option<id::Incarnation>,
    /// Whether it is done.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    done: bool,
    /// The checkpoint.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    saved: String,
    /// The workers that were lost under it.
    #[serde(default, skip_serializing_if = "Losses::is_none")]
    lost: Losses,
    /// Its starts since.
    #[serde(default, rename = "st", skip_serializing_if = "Starts::is_none")]
    starts: Starts,
}

impl Kept {
    /// Adds a task in the shortest form that says all that counts of it.
    fn add(&mut self, place: TaskPosition, task: &Task) {
        let TaskPosition { round, step, index } = place;
        match (&task.worker, task.done) {
            // Nothing starts it again, so that neither its runs nor what it saved count any more.
            (None, true) => self.add_done(place),
            (Some(worker), false) if task.has_only_started() => {
                self.on.push((round, step, index, task.run, worker.clone()));
            }
            _ => self.tasks.push(KeptTask {
                at: (round, step, index),
                run: task.run,
                bad_runs: task.failed_runs.clone(),
                on: task.worker.clone(),
                done: task.done,
                saved: task.checkpoint.clone(),
                lost: task.losses,
                starts: task.starts,
            }),
        }
    }

    /// Adds a task that is done, to the range that ends before it if there is one.
    fn add_done(&mut self, TaskPosition { round, step, index }: TaskPosition) {
        match self.done.last_mut() {
            Some(last) if (last.0, last.1, last.3 + 1) == (round, step, index) => last.3 = index,
            _ => self.done.push((round, step, index, index)),
        }
    }

    /// Returns all tasks of the row.
    fn into_tasks(self) -> impl Iterator<Item = (TaskPosition, Task)> {
        let done = self.done.into_iter().flat_map(|(round, step, first, last)| {
            let indices = first..=last.min(first.saturating_add(ROW_TASKS as u32));
            indices.map(move |index| {
                (TaskPosition { round, step, index }, Task { done: true, ..Task::default() })
            })
        });
        let on = self.on.into_iter().map(|(round, step, index, run, worker)| {
            let task = Task { run, worker: Some(worker), ..Task::default() };
            (TaskPosition { round, step, index }, task)
        });
        let tasks = self.tasks.into_iter().map(|task| {
            let (round, step, index) = task.at;
            let state = Task {
                run: task.run,
                failed_runs: task.bad_runs,
                worker: task.on,
                done: task.done,
                checkpoint: task.saved,
                losses: task.lost,
                starts: task.starts,
                ..Task::default()
            };
            (TaskPosition { round, step, index }, state)
        });
        done.chain(on).chain(tasks)
    }
}

impl Progress {
    /// Returns the number of the row that holds a task.
    #[must_use]
    pub fn row_of(job: &spec::Job, place: TaskPosition) -> u32 {
        let ordinal = job.ordinal(place.round, place.step, place.index);
        u32::try_from(ordinal / ROW_TASKS).unwrap_or(u32::MAX)
    }

    /// Returns the number of rows that a job's progress takes.
    #[must_use]
    pub fn rows(job: &spec::Job) -> u32 {
        u32::try_from(job.task_count().div_ceil(ROW_TASKS)).unwrap_or(u32::MAX).max(1)
    }

    /// Writes one row, or nothing for one that has nothing to keep; tasks of an ended job are kept only
    /// while they may still run.
    ///
    /// # Errors
    /// Returns the encoder's error.
    pub fn encode(&self, job: &spec::Job, row: u32) -> Result<Option<String>, serde_json::Error> {
        let kept = |(place, task): &(&TaskPosition, &Task)| {
            let open = !self.phase.ended() || task.worker.is_some();
            open && Self::row_of(job, **place) == row
        };
        let mut row_kept = Kept { phase: self.phase, ..Kept::default() };
        let mut tasks = self.tasks.iter().filter(kept).peekable();
        if row > 0 && tasks.peek().is_none() {
            return Ok(None);
        }
        tasks.for_each(|(place, task)| row_kept.add(*place, task));
        serde_json::to_string(&row_kept).map(Some)
    }

    /// Adds what another row of the same job says of its tasks.
    pub fn add_row(&mut self, row: u32, other: Self) {
        if row == 0 {
            self.phase = other.phase;
        }
        self.tasks.extend(other.tasks);
    }

    /// Reads one row.
    ///
    /// # Errors
    /// Returns the parser's error for a text that is no such row.
    pub fn decode(text: &str) -> Result<Self, serde_json::Error> {
        let kept: Kept = serde_json::from_str(text)?;
        let phase = kept.phase;
        Ok(Self { phase, tasks: kept.into_tasks().collect() })
    }

    /// Returns whether all tasks of a step are done in a round.
    #[must_use]
    pub fn step_done(&self, job: &spec::Job, round: u32, step: u32) -> bool {
        let count = job.step(step).map_or(0, |step| step.count);
        (0..count).all(|index| {
            self.tasks.get(&TaskPosition { round, step, index }).is_some_and(|task| task.done)
        })
    }

    /// Returns whether all tasks are done.
    #[must_use]
    pub fn all_done(&self, job: &spec::Job) -> bool {
        let done = self.tasks.values().filter(|task| task.done).count();
        u64::try_from(done).is_ok_and(|done| done == job.task_count())
    }
}
