//! Calls of the job service and their answers, independent of their encoding.

use std::time;

use super::progress;
use super::spec;

/// A call to the job service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Accepts a job; repeating the call with the same name is idempotent.
    Submit {
        /// The name that the caller gave the job.
        id: spec::JobId,
        /// The job's queue and steps.
        job: spec::Job,
    },
    /// Returns how far a job has come.
    State {
        /// The name of the job.
        id: spec::JobId,
    },
    /// Cancels a job for good.
    Cancel {
        /// The name of the job.
        id: spec::JobId,
    },
    /// Counts the jobs of a queue of which no task has begun.
    Waiting {
        /// The name of the queue.
        queue: String,
    },
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job is stored durably and will run.
    Accepted,
    /// The job is rejected for good and was not stored.
    Refused(spec::Refusal),
    /// The body can't be decoded, and nothing was stored.
    BadBody,
    /// The phase of the job.
    State(progress::Phase),
    /// The job is cancelled.
    Cancelled,
    /// The number of waiting jobs in the queue.
    Waiting(u64),
    /// The queue is not configured.
    NoQueue,
    /// The job is unknown.
    NoJob,
    /// The call had no effect and will have none; the caller may retry it later.
    NotTaken {
        /// The time after which to retry.
        retry_after: time::Duration,
    },
    /// The job was not accepted and never runs: it would wait for so long that its end would be of
    /// no use. The caller may submit it again later.
    Overloaded {
        /// The time after which its turn would come.
        retry_after: time::Duration,
    },
    /// Whether the call took effect is unknown; the caller may repeat it later.
    Unknown {
        /// The time after which to repeat the call.
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
            Self::Overloaded { .. } => "overloaded",
            Self::Unknown { .. } => "unknown",
        }
    }
}
