//! The commit under way, and what commits leave out after one was refused.

use std::time;

use super::rows as kept;
use super::spec;
use crate::id;
use crate::rows;

/// The most jobs in one commit; the bound by rows and bytes is reached before.
pub(super) const MOST_JOBS: usize = 100;

/// A transaction whose fate is open.
#[derive(Debug)]
pub(super) struct Pending {
    /// Its number as it was sent last.
    pub number: u64,
    /// The transaction, sent again unchanged where it must be.
    pub txn: rows::Txn,
    /// The lease that it writes.
    pub lease: kept::Lease,
    /// When it was first sent, from which the lease counts.
    pub sent: time::Duration,
    /// When it is to be sent again.
    pub again: Option<time::Duration>,
    /// The jobs whose progress it writes.
    pub jobs: Vec<spec::JobId>,
    /// Whether it writes what may be left out, such as what was learned.
    pub extras: bool,
    /// The ends that it makes last, by job and worker.
    pub ends: Vec<(spec::JobId, id::Incarnation, u64)>,
    /// The starts that it makes last.
    pub starts: Vec<spec::TaskId>,
    /// The ended jobs whose rows it removes, with the number of their rows.
    pub removed: Vec<(spec::JobId, u32)>,
}

/// What commits leave out after one was refused.
#[derive(Debug)]
pub(super) struct CommitLimits {
    /// The most jobs in one commit.
    pub jobs: usize,
    /// From when on commits may hold what can be left out.
    pub extras_from: time::Duration,
    /// From when on commits may hold counts of what waits.
    pub counts_from: time::Duration,
}

impl Default for CommitLimits {
    fn default() -> Self {
        let (extras_from, counts_from) = (time::Duration::ZERO, time::Duration::ZERO);
        Self { jobs: MOST_JOBS, extras_from, counts_from }
    }
}

impl CommitLimits {
    /// Notes that a commit was taken.
    pub fn taken(&mut self) {
        self.jobs = (self.jobs * 2).min(MOST_JOBS);
    }
}
