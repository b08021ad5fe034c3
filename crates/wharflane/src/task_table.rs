//! The task table of one hall, built by applying committed log records in order.
//!
//! A task is placed again only after a record that proves that its last attempt no longer runs, so
//! that two attempts never run at once.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::size;

/// A change of one task, as written to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "rec", rename_all = "kebab-case")]
pub enum Record {
    /// A waiting task is assigned to a worker.
    Place {
        /// The placed task.
        task: id::TaskId,
        /// The attempt number, one more than the last.
        attempt: u32,
        /// The worker that the task is assigned to.
        worker: id::WorkerId,
        /// The resources reserved for it.
        size: size::Size,
        /// The task's priority at the time of placement.
        priority: u32,
    },
    /// A placed task must leave its worker.
    Evict {
        /// The evicted task.
        task: id::TaskId,
        /// The attempt that must stop.
        attempt: u32,
        /// The reason for the eviction.
        cause: Cause,
    },
    /// A task no longer runs and may be placed again.
    Free {
        /// The task that no longer runs.
        task: id::TaskId,
        /// The attempt that no longer runs.
        attempt: u32,
        /// The checkpoint to resume from; `None` keeps the previous one.
        checkpoint: Option<u64>,
        /// The proof that the attempt no longer runs.
        proof: Proof,
    },
    /// A task finished successfully.
    Done {
        /// The finished task.
        task: id::TaskId,
        /// The attempt that finished.
        attempt: u32,
    },
    /// A task that is not on a worker was removed from the desired state.
    Forget {
        /// The removed task.
        task: id::TaskId,
    },
}

impl Record {
    /// Returns the task that the record changes.
    #[must_use]
    pub fn task(&self) -> &id::TaskId {
        match self {
            Self::Place { task, .. }
            | Self::Evict { task, .. }
            | Self::Free { task, .. }
            | Self::Done { task, .. }
            | Self::Forget { task } => task,
        }
    }
}

/// Why a task must leave its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// A task of higher priority needs the resources.
    Preempted,
    /// A shutdown of the worker is planned.
    Drain,
    /// The task was removed from the desired state.
    Cancelled,
    /// The task interferes with a service on the same worker.
    Harm,
}

impl Cause {
    /// Returns the label of the cause in metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Preempted => "preempted",
            Self::Drain => "drain",
            Self::Cancelled => "cancelled",
            Self::Harm => "harm",
        }
    }
}

/// The proof that an attempt no longer runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Proof {
    /// The worker reported that the task stopped.
    Stopped,
    /// The worker reported that the task failed.
    Failed,
    /// The worker has no record of the task and can no longer receive a command to start this
    /// attempt.
    Absent,
    /// The task's lease has expired by the worker's own clock.
    Lapsed,
}

/// The entry of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The latest attempt.
    pub attempt: u32,
    /// The scheduling state.
    pub state: State,
    /// The resources reserved for the task.
    pub size: size::Size,
    /// The task's priority at the time of placement.
    pub priority: u32,
    /// The checkpoint to resume from.
    pub checkpoint: Option<u64>,
    /// How many attempts have failed.
    pub failures: u32,
}

/// The scheduling state of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum State {
    /// The task is on no worker and may be placed.
    Waiting,
    /// The task is assigned to a worker.
    Placed {
        /// The worker that the task is assigned to.
        worker: id::WorkerId,
    },
    /// The task was evicted and may still be running.
    Leaving {
        /// The worker that the task must leave.
        worker: id::WorkerId,
        /// The reason for the eviction.
        cause: Cause,
    },
    /// The task finished successfully.
    Done,
}

impl State {
    /// Returns the worker on which the task may be running.
    #[must_use]
    pub fn worker(&self) -> Option<&id::WorkerId> {
        match self {
            Self::Placed { worker } | Self::Leaving { worker, .. } => Some(worker),
            Self::Waiting | Self::Done => None,
        }
    }
}

/// The error for a record that does not apply to the current state of its task.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("record does not apply to the state of task {task}")]
pub struct InvalidRecord {
    /// The task that the record names.
    pub task: id::TaskId,
}

/// All tasks of one hall that were placed at least once and not removed since.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskTable {
    /// The entries by task.
    entries: collections::BTreeMap<id::TaskId, Entry>,
    /// The tasks that may be running on each worker.
    #[serde(skip)]
    on: collections::BTreeMap<id::WorkerId, collections::BTreeSet<id::TaskId>>,
    /// The resources reserved on each worker.
    #[serde(skip)]
    used: collections::BTreeMap<id::WorkerId, size::Size>,
}

impl TaskTable {
    /// Restores a task table from a snapshot.
    ///
    /// # Errors
    /// Returns the parser's error for text that is not a snapshot.
    pub fn restore(text: &str) -> Result<Self, serde_json::Error> {
        let mut task_table: Self = serde_json::from_str(text)?;
        let pairs: Vec<_> = task_table
            .entries
            .iter()
            .filter_map(|(task, e)| Some((e.state.worker()?.clone(), task.clone(), e.size)))
            .collect();
        for (worker, task, size) in pairs {
            task_table.reserve(&worker, &task, &size);
        }
        Ok(task_table)
    }

    /// Applies a record.
    ///
    /// # Errors
    /// Returns `InvalidRecord` and changes nothing if the record does not apply to the current
    /// state.
    pub fn apply(&mut self, record: &Record) -> Result<(), InvalidRecord> {
        let invalid = || InvalidRecord { task: record.task().clone() };
        match record {
            Record::Place { task, attempt, worker, size, priority } => {
                self.place(task, *attempt, worker, size, *priority).ok_or_else(invalid)
            }
            Record::Evict { task, attempt, cause } => {
                let entry = self.current_entry(task, *attempt).ok_or_else(invalid)?;
                let State::Placed { worker } = &entry.state else {
                    return Err(invalid());
                };
                entry.state = State::Leaving { worker: worker.clone(), cause: *cause };
                Ok(())
            }
            Record::Free { task, attempt, checkpoint, proof } => {
                self.release(task, *attempt, State::Waiting).ok_or_else(invalid)?;
                let entry = self.entries.get_mut(task).ok_or_else(invalid)?;
                entry.checkpoint = checkpoint.or(entry.checkpoint);
                entry.failures += u32::from(*proof == Proof::Failed);
                Ok(())
            }
            Record::Done { task, attempt } => {
                self.release(task, *attempt, State::Done).ok_or_else(invalid)
            }
            Record::Forget { task } => {
                let is_unassigned =
                    self.entries.get(task).is_some_and(|e| e.state.worker().is_none());
                if !is_unassigned {
                    return Err(invalid());
                }
                self.entries.remove(task);
                Ok(())
            }
        }
    }

    /// Returns the entries of all tasks.
    #[must_use]
    pub fn entries(&self) -> &collections::BTreeMap<id::TaskId, Entry> {
        &self.entries
    }

    /// Returns the entry of one task.
    #[must_use]
    pub fn get(&self, task: &id::TaskId) -> Option<&Entry> {
        self.entries.get(task)
    }

    /// Returns the tasks that may be running on a worker.
    pub fn on<'a>(
        &'a self,
        worker: &id::WorkerId,
    ) -> impl Iterator<Item = (&'a id::TaskId, &'a Entry)> + use<'a> {
        let tasks = self.on.get(worker).into_iter().flatten();
        tasks.filter_map(|task| Some((task, self.entries.get(task)?)))
    }

    /// Returns the workers on which any task may be running.
    pub fn workers(&self) -> impl Iterator<Item = &id::WorkerId> {
        self.on.keys()
    }

    /// Returns the resources reserved on a worker.
    #[must_use]
    pub fn used(&self, worker: &id::WorkerId) -> size::Size {
        self.used.get(worker).copied().unwrap_or_default()
    }

    /// Returns the entry of a task if `attempt` is its latest attempt.
    fn current_entry(&mut self, task: &id::TaskId, attempt: u32) -> Option<&mut Entry> {
        self.entries.get_mut(task).filter(|entry| entry.attempt == attempt)
    }

    /// Assigns a waiting task to a worker; returns `None` if the task is not waiting or the attempt
    /// is not the next one.
    fn place(
        &mut self,
        task: &id::TaskId,
        attempt: u32,
        worker: &id::WorkerId,
        size: &size::Size,
        priority: u32,
    ) -> Option<()> {
        let previous = self.entries.get(task);
        let last = previous.map_or(0, |entry| entry.attempt);
        let is_waiting = previous.is_none_or(|entry| entry.state == State::Waiting);
        if !is_waiting || attempt != last + 1 {
            return None;
        }
        let entry = Entry {
            attempt,
            state: State::Placed { worker: worker.clone() },
            size: *size,
            priority,
            checkpoint: previous.and_then(|entry| entry.checkpoint),
            failures: previous.map_or(0, |entry| entry.failures),
        };
        self.entries.insert(task.clone(), entry);
        self.reserve(worker, task, size);
        Some(())
    }

    /// Removes a task from its worker and releases its resources.
    fn release(&mut self, task: &id::TaskId, attempt: u32, to: State) -> Option<()> {
        let entry = self.current_entry(task, attempt)?;
        let worker = entry.state.worker()?.clone();
        entry.state = to;
        let size = entry.size;
        let used = self.used.entry(worker.clone()).or_default();
        *used = used.minus(&size);
        if let Some(tasks) = self.on.get_mut(&worker) {
            tasks.remove(task);
            if tasks.is_empty() {
                self.on.remove(&worker);
                self.used.remove(&worker);
            }
        }
        Some(())
    }

    /// Records that a task may be running on a worker and reserves its resources.
    fn reserve(&mut self, worker: &id::WorkerId, task: &id::TaskId, size: &size::Size) {
        self.on.entry(worker.clone()).or_default().insert(task.clone());
        let used = self.used.entry(worker.clone()).or_default();
        *used = used.plus(size);
    }
}
