//! What callers ask of the job service, and what they are told.

use std::time;

use super::progress;
use super::spec;

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Take a job; the same name again is the same job.
    Submit {
        /// Its name.
        id: spec::JobId,
        /// What it is.
        job: spec::Job,
    },
    /// Tell how far a job is.
    State {
        /// Its name.
        id: spec::JobId,
    },
    /// Stop a job for good.
    Cancel {
        /// Its name.
        id: spec::JobId,
    },
    /// Count the jobs of a queue of which no task has begun.
    Waiting {
        /// The name of the queue.
        queue: String,
    },
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job is kept and will run.
    Accepted,
    /// The job is refused for good, and nothing of it is kept.
    Refused(spec::Refusal),
    /// The body can't be read, and nothing is kept.
    BadBody,
    /// How far the job is.
    State(progress::Phase),
    /// The job is cancelled.
    Cancelled,
    /// So many jobs of the queue wait.
    Waiting(u64),
    /// There is no such queue.
    NoQueue,
    /// There is no such job.
    NoJob,
    /// Nothing was done and nothing will be; the caller may come back after a time.
    NotTaken {
        /// When to come back.
        retry_after: time::Duration,
    },
    /// It is not known whether it was done; the same call may be made again after a time.
    Unknown {
        /// When to come back.
        retry_after: time::Duration,
    },
}

impl Answer {
    /// Returns the name of the answer for logs and metrics.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused(_) => "refused",
            Self::BadBody => "bad-body",
            Self::State(_) => "state",
            Self::Cancelled => "cancelled",
            Self::Waiting(_) => "waiting",
            Self::NoQueue => "no-queue",
            Self::NoJob => "no-job",
            Self::NotTaken { .. } => "not-taken",
            Self::Unknown { .. } => "unknown",
        }
    }
}
