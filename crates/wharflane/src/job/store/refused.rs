//! Handles commits that the store refuses for good, so that one bad row doesn't stop the whole
//! domain.
//!
//! The same commit is never sent again. Optional rows are left out first. Then the number of jobs
//! is halved until a commit contains only the job at fault, and that job is set aside: none of its
//! tasks starts, its ends stay unacknowledged at their workers, and its progress is retried at
//! intervals.

use std::time;

use crate::job::holding;
use crate::job::rows as job_rows;
use crate::job::spec;
use crate::job::store::pending;
use crate::job::workers::worker;
use crate::rows;

/// How long optional rows are left out after a refusal.
const EXTRAS_RETRY: time::Duration = time::Duration::from_secs(30);
/// How long a job is set aside before its progress is tried again, as it may have become shorter.
const JOB_RETRY: time::Duration = time::Duration::from_secs(10);

impl holding::Holding {
    /// Reverts a commit that the store refused for good, and tightens the limits of the next one.
    pub(in crate::job) fn handle_refused_commit(
        &mut self,
        pending: pending::Pending,
        now: time::Duration,
    ) {
        let longest = pending.txn.writes.iter().max_by_key(|write| length(write));
        let longest_bytes = longest.map_or(0, length);
        tracing::error!(
            seq = pending.lease.seq,
            jobs = pending.jobs.len(),
            rows = pending.txn.writes.len(),
            longest = longest.map_or("", |write| &write.key.name),
            longest_bytes,
            extras = pending.extras,
            "the store refuses a commit for good"
        );
        let only_job = match pending.jobs.as_slice() {
            [job] if !pending.extras => Some(*job),
            _ => None,
        };
        if pending.extras {
            self.commit_limits.extras_from = now + EXTRAS_RETRY;
        } else if pending.jobs.is_empty() {
            self.commit_limits.counts_from = now + EXTRAS_RETRY;
        } else {
            self.commit_limits.jobs = (pending.jobs.len() / 2).max(1);
        }
        // Counts are only useful while fresh, so those of the refused commit are due again with the
        // next one.
        self.counted_at = time::Duration::ZERO;
        self.restore_changes(pending);
        if let Some(job) = only_job {
            self.set_aside(job, now);
        }
    }

    /// Makes all changes of a commit due again for the next one.
    fn restore_changes(&mut self, pending: pending::Pending) {
        for write in &pending.txn.writes {
            if let Some((job, row)) = job_rows::progress_row(&write.key.name)
                && let Some(entry) = self.jobs.get_mut(&job)
            {
                entry.dirty.insert(row);
            }
        }
        for job in pending.jobs.iter().rev() {
            if !self.dirty.contains(job) {
                self.dirty.push_front(*job);
            }
        }
        for (job, worker, number) in pending.ends {
            self.unrecorded.entry(job).or_default().push((worker, number));
        }
        self.staged.extend(pending.starts);
        self.expired.extend(pending.removed);
        self.unlisted.clear();
        self.restore_policies_due();
    }

    /// Sets a job aside whose progress the store refuses.
    fn set_aside(&mut self, job: spec::JobId, now: time::Duration) {
        tracing::error!(%job, "the store refuses the progress of a job; the job is set aside");
        if let Some(entry) = self.jobs.get_mut(&job) {
            entry.set_aside = Some(now);
        }
        self.dirty.retain(|dirty| *dirty != job);
        self.commit_limits.jobs = pending::MAX_COMMIT_JOBS;
        let staged: Vec<spec::TaskId> =
            self.staged.iter().copied().filter(|task| task.job == job).collect();
        for task in staged {
            self.free(task, "its start can't be stored");
        }
    }

    /// Resumes jobs that were set aside for `JOB_RETRY`.
    pub(in crate::job) fn retry_set_aside_jobs(&mut self, now: time::Duration) {
        let due = self.jobs.iter_mut().filter(|(_, entry)| {
            entry.set_aside.is_some_and(|since| now.saturating_sub(since) >= JOB_RETRY)
        });
        for (job, entry) in due {
            let aside_ms = entry.set_aside.map_or(0, |since| worker::millis(now - since));
            tracing::info!(%job, aside_ms, "job resumed after it was set aside");
            entry.set_aside = None;
            if !entry.dirty.is_empty() {
                self.dirty.push_back(*job);
            }
            self.changed = true;
        }
    }

    /// Returns whether a job is set aside, so that none of its tasks may start.
    pub(in crate::job) fn is_set_aside(&self, job: spec::JobId) -> bool {
        self.jobs.get(&job).is_some_and(|entry| entry.set_aside.is_some())
    }
}

/// Returns the length of the value that a write stores.
fn length(write: &rows::Write) -> usize {
    write.value.as_ref().map_or(0, String::len)
}
