//! The progress of a job and its stored form, which is split into rows of bounded size.

use std::collections;

use serde::{Deserialize, Serialize};

use super::runs::order;
use super::spec;
use crate::id;

/// The phase of a job, as reported to callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// No task has begun.
    #[default]
    Queued,
    /// A task has begun.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl Phase {
    /// Returns whether the phase is final.
    #[must_use]
    pub fn ended(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// The position of a task within its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskPosition {
    /// The round, counted from zero.
    pub round: u32,
    /// The step, by its index in the job.
    pub step: u32,
    /// The index of the task within the step.
    pub index: u32,
}

impl TaskPosition {
    /// Returns the id of the task at this position in a job.
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

/// The numbers of workers that were lost under a task since a run of it last lasted for
/// `crash::FORGIVEN_AFTER`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Losses {
    /// Workers that the start of the task may have crashed, since the task was not reported running
    /// there for long enough.
    pub suspected: u32,
    /// Those of `suspected` where the task was the only suspect and nothing else can have caused
    /// the crash.
    #[serde(rename = "alone")]
    pub sole_suspect: u32,
    /// Workers on which the task had been running for long enough, so that its start didn't cause
    /// the crash.
    pub unexplained: u32,
    /// Those of `suspected` and `unexplained` that were lost together with many others.
    #[serde(default, rename = "shared", skip_serializing_if = "is_zero")]
    pub correlated: u32,
}

/// Returns whether a count is zero.
#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(count: &u32) -> bool {
    *count == 0
}

impl Losses {
    /// Returns whether all counts are zero.
    fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

/// Statistics of a task's starts, recorded after the first loss of a worker under it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Starts {
    /// The last run whose worker was lost.
    #[serde(rename = "l")]
    pub lost: u32,
    /// The last run that was reported running for long enough to be cleared of suspicion.
    #[serde(rename = "w")]
    pub at_work: u32,
    /// The number of runs since the third loss that neither completed nor ended with their worker.
    #[serde(rename = "o")]
    pub others: u32,
    /// How long the lost runs had worked in all, in milliseconds, since the losses count.
    #[serde(default, rename = "t", skip_serializing_if = "is_zero_ms")]
    pub worked_ms: u64,
    /// Whether the next start is withheld.
    #[serde(default, rename = "h", skip_serializing_if = "std::ops::Not::not")]
    pub withheld: bool,
}

/// Returns whether a time is zero.
#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero_ms(time_ms: &u64) -> bool {
    *time_ms == 0
}

impl Starts {
    /// Returns whether there is nothing to store.
    fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

/// The state of a task that was started at least once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Task {
    /// The number of the last run.
    pub run: u32,
    /// The runs that failed. A set counts each of them once, in whichever order holders learn of
    /// them.
    pub failed_runs: collections::BTreeSet<u32>,
    /// The worker incarnation on which it may run.
    pub worker: Option<id::Incarnation>,
    /// Whether that incarnation has not shown that it took the last start.
    pub unshown: bool,
    /// Whether the task completed.
    pub done: bool,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: String,
    /// The run that saved the checkpoint; zero if another holder received it.
    pub saved_run: u32,
    /// The workers that were lost under the task.
    pub losses: Losses,
    /// The workers under it that are missing, by a hash of their incarnation: they may be lost.
    pub missing: collections::BTreeSet<u32>,
    /// Statistics of its starts since the first loss.
    pub starts: Starts,
    /// The worker where it last failed; not stored, so the next holder does not know it.
    pub failed_on: Option<id::Incarnation>,
}

impl Task {
    /// Returns the number of failed runs.
    #[must_use]
    pub fn failures(&self) -> u32 {
        u32::try_from(self.failed_runs.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether the stored state shows that the task worked; a start alone does not.
    pub(super) fn shows_work(&self) -> bool {
        self.done || !self.failed_runs.is_empty() || !self.checkpoint.is_empty()
    }

    /// Returns whether the last start is all that is known of the task.
    fn has_only_started(&self) -> bool {
        self.failed_runs.is_empty()
            && self.checkpoint.is_empty()
            && self.losses.is_none()
            && self.missing.is_empty()
    }

    /// Stores the checkpoint of a run unless it is empty, too long, or a later run saved one;
    /// returns whether the checkpoint changed.
    pub(super) fn save(&mut self, run: u32, checkpoint: &str) -> bool {
        if checkpoint.len() > MAX_CHECKPOINT_BYTES {
            tracing::warn!(
                bytes = checkpoint.len(),
                "checkpoint is too long; keeping the previous one"
            );
            return false;
        }
        if checkpoint.is_empty() || run < self.saved_run {
            return false;
        }
        self.saved_run = run;
        let changed = self.checkpoint != checkpoint;
        checkpoint.clone_into(&mut self.checkpoint);
        changed
    }

    /// Records the end of a run, which need not be the last one; returns whether anything changed.
    pub(super) fn note_end(&mut self, run: u32, kind: order::EndKind) -> bool {
        match kind {
            order::EndKind::Done => !std::mem::replace(&mut self.done, true),
            order::EndKind::Failed => self.failed_runs.insert(run),
            _ => false,
        }
    }
}

/// The progress of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The phase of the job.
    pub phase: Phase,
    /// The tasks that were started at least once.
    pub tasks: collections::BTreeMap<TaskPosition, Task>,
}

/// Maximum number of tasks in one row of progress. A task takes up to 480 bytes, with the longest
/// worker name (200 bytes) and the longest checkpoint, and a row of the store holds 48 KiB.
const TASKS_PER_ROW: u64 = 100;
/// Maximum number of progress rows of one job, from the maximum number of tasks.
pub(super) const MAX_PROGRESS_ROWS: u32 = (spec::MAX_TASKS / TASKS_PER_ROW) as u32;
/// Maximum length of a checkpoint, in bytes; those of the platform's workers have 16.
const MAX_CHECKPOINT_BYTES: usize = 160;

/// The stored form of a progress row. A row is written at each start and end of one of its tasks,
/// so the format is compact: 27 bytes for a running task, and none for a done one beside a done
/// neighbour. At 46 bytes per task, a job of 78 tasks was written some 30 times, which came to 1.8
/// KB for each of its runs.
#[derive(Default, Serialize, Deserialize)]
struct StoredRow {
    /// The phase of the job; only the one in the first row counts.
    phase: Phase,
    /// Done tasks without a worker, as ranges: round, step, first index, last index.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    done: Vec<(u32, u32, u32, u32)>,
    /// Tasks of which only the last start is known: round, step, index, run and worker.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    on: Vec<(u32, u32, u32, u32, id::Incarnation)>,
    /// All other tasks; their empty fields are omitted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    tasks: Vec<StoredTask>,
    /// The tasks whose workers have not shown to have taken the last start: round, step and index.
    #[serde(default, rename = "un", skip_serializing_if = "Vec::is_empty")]
    unshown: Vec<(u32, u32, u32)>,
}

/// The stored form of one task, with short field names because rows are written often.
#[derive(Serialize, Deserialize)]
struct StoredTask {
    /// Round, step and index.
    at: (u32, u32, u32),
    /// The number of the last run.
    run: u32,
    /// The runs that failed.
    #[serde(default, skip_serializing_if = "collections::BTreeSet::is_empty")]
    bad_runs: collections::BTreeSet<u32>,
    /// The worker incarnation on which it may run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    on: Option<id::Incarnation>,
    /// Whether the task is done.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    done: bool,
    /// The last checkpoint; empty if there is none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    saved: String,
    /// The workers that were lost under the task.
    #[serde(default, skip_serializing_if = "Losses::is_none")]
    lost: Losses,
    /// The workers under the task that are missing.
    #[serde(default, rename = "ms", skip_serializing_if = "collections::BTreeSet::is_empty")]
    missing: collections::BTreeSet<u32>,
    /// Statistics of its starts since the first loss.
    #[serde(default, rename = "st", skip_serializing_if = "Starts::is_none")]
    starts: Starts,
}

impl StoredRow {
    /// Adds a task in the shortest form that contains all relevant state.
    fn add(&mut self, position: TaskPosition, task: &Task) {
        let TaskPosition { round, step, index } = position;
        if task.unshown && task.worker.is_some() {
            self.unshown.push((round, step, index));
        }
        match (&task.worker, task.done) {
            // A done task never starts again, so its runs and its checkpoint no longer matter.
            (None, true) => self.add_done(position),
            (Some(worker), false) if task.has_only_started() => {
                self.on.push((round, step, index, task.run, worker.clone()));
            }
            _ => self.tasks.push(StoredTask {
                at: (round, step, index),
                run: task.run,
                bad_runs: task.failed_runs.clone(),
                on: task.worker.clone(),
                done: task.done,
                saved: task.checkpoint.clone(),
                lost: task.losses,
                missing: task.missing.clone(),
                starts: task.starts,
            }),
        }
    }

    /// Adds a done task, and extends the last range if it ends just before the task.
    fn add_done(&mut self, TaskPosition { round, step, index }: TaskPosition) {
        match self.done.last_mut() {
            Some(last) if (last.0, last.1, last.3 + 1) == (round, step, index) => last.3 = index,
            _ => self.done.push((round, step, index, index)),
        }
    }

    /// Returns all tasks of the row.
    fn into_tasks(self) -> impl Iterator<Item = (TaskPosition, Task)> {
        let done = self.done.into_iter().flat_map(|(round, step, first, last)| {
            let indices = first..=last.min(first.saturating_add(TASKS_PER_ROW as u32));
            indices.map(move |index| {
                (TaskPosition { round, step, index }, Task { done: true, ..Task::default() })
            })
        });
        let started = self.on.into_iter().map(|(round, step, index, run, worker)| {
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
                missing: task.missing,
                starts: task.starts,
                ..Task::default()
            };
            (TaskPosition { round, step, index }, state)
        });
        done.chain(started).chain(tasks)
    }
}

impl Progress {
    /// Returns the number of the row that contains a task.
    #[must_use]
    pub fn row_of(job: &spec::Job, position: TaskPosition) -> u32 {
        let ordinal = job.ordinal(position.round, position.step, position.index);
        u32::try_from(ordinal / TASKS_PER_ROW).unwrap_or(u32::MAX)
    }

    /// Returns the number of rows of a job's progress.
    #[must_use]
    pub fn rows(job: &spec::Job) -> u32 {
        u32::try_from(job.task_count().div_ceil(TASKS_PER_ROW)).unwrap_or(u32::MAX).max(1)
    }

    /// Encodes one row, or returns `None` if it has nothing to store. Tasks of an ended job are
    /// stored only while they may still run.
    ///
    /// # Errors
    /// Returns the error of the encoder.
    pub fn encode(&self, job: &spec::Job, row: u32) -> Result<Option<String>, serde_json::Error> {
        let is_stored = |(position, task): &(&TaskPosition, &Task)| {
            let open = !self.phase.ended() || task.worker.is_some();
            open && Self::row_of(job, **position) == row
        };
        let mut stored = StoredRow { phase: self.phase, ..StoredRow::default() };
        let mut tasks = self.tasks.iter().filter(is_stored).peekable();
        if row > 0 && tasks.peek().is_none() {
            return Ok(None);
        }
        tasks.for_each(|(position, task)| stored.add(*position, task));
        serde_json::to_string(&stored).map(Some)
    }

    /// Adds the tasks of another row of the same job; row zero also sets the phase.
    pub fn add_row(&mut self, row: u32, other: Self) {
        if row == 0 {
            self.phase = other.phase;
        }
        self.tasks.extend(other.tasks);
    }

    /// Decodes one row.
    ///
    /// # Errors
    /// Returns the error of the parser if the text is not such a row.
    pub fn decode(text: &str) -> Result<Self, serde_json::Error> {
        let stored: StoredRow = serde_json::from_str(text)?;
        let phase = stored.phase;
        let unshown = stored.unshown.clone();
        let mut tasks: collections::BTreeMap<_, _> = stored.into_tasks().collect();
        for (round, step, index) in unshown {
            if let Some(task) = tasks.get_mut(&TaskPosition { round, step, index }) {
                task.unshown = true;
            }
        }
        Ok(Self { phase, tasks })
    }

    /// Returns whether all tasks of a step are done in a round.
    #[must_use]
    pub fn step_done(&self, job: &spec::Job, round: u32, step: u32) -> bool {
        let count = job.step(step).map_or(0, |step| step.count);
        (0..count).all(|index| {
            self.tasks.get(&TaskPosition { round, step, index }).is_some_and(|task| task.done)
        })
    }

    /// Returns whether all tasks of the job are done.
    #[must_use]
    pub fn all_done(&self, job: &spec::Job) -> bool {
        let done = self.tasks.values().filter(|task| task.done).count();
        u64::try_from(done).is_ok_and(|done| done == job.task_count())
    }
}
