//! Records the events of the fakes: starts, stops and completions of tasks on workers, and the
//! requests that endpoints ran.

use std::sync;

use serde::{Deserialize, Serialize};
use wharflane::{id, size};

/// One event that a fake recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// A task started.
    Started {
        /// The worker that runs it.
        worker: id::WorkerId,
        /// The task that started.
        task: id::TaskId,
        /// The number of the attempt.
        attempt: u32,
        /// The progress that it resumed from, in milliseconds of work; zero for a fresh start.
        from_ms: u64,
        /// Whether it is a batch task; otherwise it is a service task.
        batch: bool,
        /// The declared size of all tasks that run on the worker, this one included.
        held: size::Size,
        /// The capacity of the worker.
        capacity: size::Size,
    },
    /// A task stopped before it completed.
    Stopped {
        /// The worker that ran it.
        worker: id::WorkerId,
        /// The task that stopped.
        task: id::TaskId,
        /// The number of the attempt.
        attempt: u32,
        /// The progress in its last checkpoint, in milliseconds of work.
        saved_ms: u64,
    },
    /// A batch task completed.
    Completed {
        /// The worker that ran it.
        worker: id::WorkerId,
        /// The task that completed.
        task: id::TaskId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// An endpoint ran a request.
    Ran {
        /// The service task of the endpoint.
        task: id::TaskId,
        /// The id of the request.
        request: String,
    },
}

/// A shared list of events, in the order in which they were recorded; clones share it.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The events so far.
    events: sync::Arc<sync::Mutex<Vec<Event>>>,
}

impl History {
    /// Records an event.
    pub fn add(&self, event: Event) {
        self.lock().push(event);
    }

    /// Returns all events.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        self.lock().clone()
    }

    /// Locks the events.
    fn lock(&self) -> sync::MutexGuard<'_, Vec<Event>> {
        self.events.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
