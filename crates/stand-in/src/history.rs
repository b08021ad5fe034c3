//! What the fakes saw: what ran where and when, and what each endpoint was given.

use std::sync;

use serde::{Deserialize, Serialize};
use wharflane::{id, size};

/// One thing that a fake saw.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// A task began to run.
    Started {
        /// The worker.
        worker: id::WorkerId,
        /// The task.
        task: id::TaskId,
        /// The attempt.
        attempt: u32,
        /// The progress that it resumed from, in milliseconds of work.
        from_ms: u64,
        /// Whether it is a batch task.
        batch: bool,
        /// What all tasks running there hold, this one included.
        held: size::Size,
        /// What the worker has.
        capacity: size::Size,
    },
    /// A task ended without completing.
    Stopped {
        /// The worker.
        worker: id::WorkerId,
        /// The task.
        task: id::TaskId,
        /// The attempt.
        attempt: u32,
        /// The progress it saved.
        saved_ms: u64,
    },
    /// A task came to its end.
    Completed {
        /// The worker.
        worker: id::WorkerId,
        /// The task.
        task: id::TaskId,
        /// The attempt.
        attempt: u32,
    },
    /// An endpoint ran a request.
    Ran {
        /// The task of the endpoint.
        task: id::TaskId,
        /// The name of the request.
        request: String,
    },
}

/// The list of events, in the order in which they were seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The events.
    events: sync::Arc<sync::Mutex<Vec<Event>>>,
}

impl History {
    /// Adds an event.
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
