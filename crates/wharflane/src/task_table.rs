//! The tasks of one hall as they are kept: a fold over committed records.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::size;

/// A change of one task, as it is written to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "rec", rename_all = "kebab-case")]
pub enum Record {
    /// A waiting task gets a worker.
    Place {
        /// The task.
        task: id::TaskId,
        /// The attempt, one more than the last.
        attempt: u32,
        /// The worker.
        worker: id::WorkerId,
        /// What is set aside for it.
        size: size::Size,
        /// The priority it was placed with.
        priority: u32,
    },
    /// A placed task is to leave its worker.
    Evict {
        /// The task.
        task: id::TaskId,
        /// The attempt.
        attempt: u32,
        /// Why.
        cause: Cause,
    },
    /// A task is known not to run any more and may be placed again.
    Free {
        /// The task.
        task: id::TaskId,
        /// The attempt.
        attempt: u32,
        /// The progress to resume from.
        checkpoint: Option<u64>,
        /// How it is known.
        proof: Proof,
    },
    /// A task came to its end.
    Done {
        /// The task.
        task: id::TaskId,
        /// The attempt.
        attempt: u32,
    },
    /// A task that runs nowhere is not wanted any more.
    Forget {
        /// The task.
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

/// Why a task leaves its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// A task of higher priority needs the room.
    Preempted,
    /// The worker's stop is planned.
    Drain,
    /// Its owner is gone from the desired state.
    Cancelled,
    /// It harms a service on the same worker.
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

/// How it is known that a task does not run any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Proof {
    /// The worker said that it stopped.
    Stopped,
    /// The worker said that it failed.
    Failed,
    /// The worker does not know it, and can't be told to start it any more.
    Absent,
    /// The lease has lapsed by the worker's own clock.
    Lapsed,
}

/// The state of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The last attempt.
    pub attempt: u32,
    /// Where it stands.
    pub state: State,
    /// What is set aside for it.
    pub size: size::Size,
    /// The priority it was placed with.
    pub priority: u32,
    /// The progress to resume from.
    pub checkpoint: Option<u64>,
    /// How often it failed.
    pub failures: u32,
}

/// Where a task stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum State {
    /// It waits for a worker.
    Waiting,
    /// It belongs on a worker.
    Placed {
        /// The worker.
        worker: id::WorkerId,
    },
    /// It may still run on a worker that it is to leave.
    Leaving {
        /// The worker.
        worker: id::WorkerId,
        /// Why.
        cause: Cause,
    },
    /// It came to its end.
    Done,
}

impl State {
    /// Returns the worker on which the task may run.
    #[must_use]
    pub fn worker(&self) -> Option<&id::WorkerId> {
        match self {
            Self::Placed { worker } | Self::Leaving { worker, .. } => Some(worker),
            Self::Waiting | Self::Done => None,
        }
    }
}

/// A record that does not follow from the state before it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("record does not fit the state of task {task}")]
pub struct InvalidRecord {
    /// The task.
    pub task: id::TaskId,
}

/// All tasks of one hall that were ever placed and are still wanted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskTable {
    /// The tasks.
    entries: collections::BTreeMap<id::TaskId, Entry>,
    /// The tasks that may run on each worker.
    #[serde(skip)]
    on: collections::BTreeMap<id::WorkerId, collections::BTreeSet<id::TaskId>>,
    /// What is set aside on each worker.
    #[serde(skip)]
    used: collections::BTreeMap<id::WorkerId, size::Size>,
}

impl TaskTable {
    /// Restores a task table from a snapshot.
    ///
    /// # Errors
    /// Returns the parser's error for a text that is no snapshot.
    pub fn restore(text: &str) -> Result<Self, serde_json::Error> {
        let mut task_table: Self = serde_json::from_str(text)?;
        let pairs: Vec<_> = task_table
            .entries
            .iter()
            .filter_map(|(task, e)| Some((e.state.worker()?.clone(), task.clone(), e.size)))
            .collect();
        for (worker, task, size) in pairs {
            task_table.hold(&worker, &task, &size);
        }
        Ok(task_table)
    }

    /// Applies a record.
    ///
    /// # Errors
    /// Returns `InvalidRecord` and changes nothing where the record does not follow from the state.
    pub fn apply(&mut self, record: &Record) -> Result<(), InvalidRecord> {
        let invalid = || InvalidRecord { task: record.task().clone() };
        match record {
            Record::Place { task, attempt, worker, size, priority } => {
                self.place(task, *attempt, worker, size, *priority).ok_or_else(invalid)
            }
            Record::Evict { task, attempt, cause } => {
                let entry = self.current(task, *attempt).ok_or_else(invalid)?;
                let State::Placed { worker } = &entry.state else {
                    return Err(invalid());
                };
                entry.state = State::Leaving { worker: worker.clone(), cause: *cause };
                Ok(())
            }
            Record::Free { task, attempt, checkpoint, proof } => {
                self.leave(task, *attempt, State::Waiting).ok_or_else(invalid)?;
                let entry = self.entries.get_mut(task).ok_or_else(invalid)?;
                entry.checkpoint = checkpoint.or(entry.checkpoint);
                entry.failures += u32::from(*proof == Proof::Failed);
                Ok(())
            }
            Record::Done { task, attempt } => {
                self.leave(task, *attempt, State::Done).ok_or_else(invalid)
            }
            Record::Forget { task } => {
                let idle = self.entries.get(task).is_some_and(|e| e.state.worker().is_none());
                if !idle {
                    return Err(invalid());
                }
                self.entries.remove(task);
                Ok(())
            }
        }
    }

    /// Returns all tasks.
    #[must_use]
    pub fn entries(&self) -> &collections::BTreeMap<id::TaskId, Entry> {
        &self.entries
    }

    /// Returns one task.
    #[must_use]
    pub fn get(&self, task: &id::TaskId) -> Option<&Entry> {
        self.entries.get(task)
    }

    /// Returns the tasks that may run on a worker.
    pub fn on<'a>(
        &'a self,
        worker: &id::WorkerId,
    ) -> impl Iterator<Item = (&'a id::TaskId, &'a Entry)> + use<'a> {
        let tasks = self.on.get(worker).into_iter().flatten();
        tasks.filter_map(|task| Some((task, self.entries.get(task)?)))
    }

    /// Returns the workers on which any task may run.
    pub fn workers(&self) -> impl Iterator<Item = &id::WorkerId> {
        self.on.keys()
    }

    /// Returns what is set aside on a worker.
    #[must_use]
    pub fn used(&self, worker: &id::WorkerId) -> size::Size {
        self.used.get(worker).copied().unwrap_or_default()
    }

    /// Returns the task if the attempt is its last.
    fn current(&mut self, task: &id::TaskId, attempt: u32) -> Option<&mut Entry> {
        self.entries.get_mut(task).filter(|entry| entry.attempt == attempt)
    }

    /// Gives a waiting task a worker.
    fn place(
        &mut self,
        task: &id::TaskId,
        attempt: u32,
        worker: &id::WorkerId,
        size: &size::Size,
        priority: u32,
    ) -> Option<()> {
        let before = self.entries.get(task);
        let last = before.map_or(0, |entry| entry.attempt);
        let waits = before.is_none_or(|entry| entry.state == State::Waiting);
        if !waits || attempt != last + 1 {
            return None;
        }
        let entry = Entry {
            attempt,
            state: State::Placed { worker: worker.clone() },
            size: *size,
            priority,
            checkpoint: before.and_then(|entry| entry.checkpoint),
            failures: before.map_or(0, |entry| entry.failures),
        };
        self.entries.insert(task.clone(), entry);
        self.hold(worker, task, size);
        Some(())
    }

    /// Takes a task off its worker.
    fn leave(&mut self, task: &id::TaskId, attempt: u32, to: State) -> Option<()> {
        let entry = self.current(task, attempt)?;
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

    /// Sets room aside on a worker.
    fn hold(&mut self, worker: &id::WorkerId, task: &id::TaskId, size: &size::Size) {
        self.on.entry(worker.clone()).or_default().insert(task.clone());
        let used = self.used.entry(worker.clone()).or_default();
        *used = used.plus(size);
    }
}
