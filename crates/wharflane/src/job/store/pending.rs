//! The commit in flight, and the limits on later commits after the store refused one.

use std::time;

use crate::id;
use crate::job::rows as job_rows;
use crate::job::spec;
use crate::rows;

/// Maximum number of jobs in one commit; the limits on rows and bytes are reached earlier.
pub(in crate::job) const MAX_COMMIT_JOBS: usize = 100;

/// A transaction whose outcome is unknown.
#[derive(Debug)]
pub(in crate::job) struct Pending {
    /// The number of its last transmission.
    pub number: u64,
    /// The transaction; it may only be sent again unchanged.
    pub txn: rows::Txn,
    /// The lease that it writes.
    pub lease: job_rows::Lease,
    /// When it was first sent, which is when the renewed lease begins.
    pub sent: time::Duration,
    /// When to send it again; `None` while an answer is awaited.
    pub resend_at: Option<time::Duration>,
    /// The jobs whose progress it writes.
    pub jobs: Vec<spec::JobId>,
    /// Whether it contains optional writes, such as the learned state.
    pub extras: bool,
    /// The ends that become final with it, by job and worker.
    pub ends: Vec<(spec::JobId, id::Incarnation, u64)>,
    /// The starts that become final with it.
    pub starts: Vec<spec::TaskId>,
    /// The ended jobs whose progress rows it removes, with the number of these rows.
    pub removed: Vec<(spec::JobId, u32)>,
}

/// Limits on commits, tightened after one was refused.
#[derive(Debug)]
pub(in crate::job) struct CommitLimits {
    /// Maximum number of jobs in one commit.
    pub jobs: usize,
    /// When commits may contain optional writes again.
    pub extras_from: time::Duration,
    /// When commits may contain counts of waiting jobs again.
    pub counts_from: time::Duration,
}

impl Default for CommitLimits {
    fn default() -> Self {
        let (extras_from, counts_from) = (time::Duration::ZERO, time::Duration::ZERO);
        Self { jobs: MAX_COMMIT_JOBS, extras_from, counts_from }
    }
}

impl CommitLimits {
    /// Relaxes the limit on jobs after a successful commit.
    pub fn relax(&mut self) {
        self.jobs = (self.jobs * 2).min(MAX_COMMIT_JOBS);
    }
}
