//! The records of early cancels that a holder knows of: keeps their jobs from running, and removes
//! them once they are older than `Settings::keep`.

use std::collections;
use std::time;

use super::{EarlyCancel, job_of, key};
use crate::job::event;
use crate::job::holding;
use crate::job::spec;
use crate::job::workers::worker;
use crate::rows;

/// The records of early cancels.
#[derive(Clone, Debug, Default)]
pub(in crate::job) struct Records {
    /// The version of each record, and when it is to be removed.
    known: collections::BTreeMap<spec::JobId, (u64, time::Duration)>,
    /// When each of them is to be removed, in order.
    due: collections::BTreeSet<(time::Duration, spec::JobId)>,
}

impl Records {
    /// Returns whether a job was cancelled before it was stored.
    pub fn contains(&self, job: spec::JobId) -> bool {
        self.known.contains_key(&job)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Adds a record that is to be removed at `due`, in place of an earlier one of the job.
    fn insert(&mut self, job: spec::JobId, version: u64, due: time::Duration) {
        if let Some((_, earlier)) = self.known.insert(job, (version, due)) {
            self.due.remove(&(earlier, job));
        }
        self.due.insert((due, job));
    }

    /// Forgets a record whose row of a version up to `version` is gone.
    fn remove(&mut self, job: spec::JobId, version: u64) {
        let known = self.known.get(&job).filter(|(known, _)| *known <= version);
        if let Some((_, due)) = known.copied() {
            self.known.remove(&job);
            self.due.remove(&(due, job));
        }
    }

    /// Returns a record that is to be removed by `now`, with its version.
    fn first_due(&self, now: time::Duration) -> Option<(spec::JobId, u64)> {
        let (_, job) = self.due.first().filter(|(due, _)| *due <= now)?;
        Some((*job, self.known.get(job)?.0))
    }
}

impl holding::Holding {
    /// Takes in the early cancels among rows of the table of jobs; returns the other rows.
    pub(in crate::job) fn take_in_early_cancels<'a>(
        &mut self,
        rows: impl Iterator<Item = &'a rows::Row>,
        now: time::Duration,
    ) -> Vec<&'a rows::Row> {
        let mut others = Vec::new();
        for row in rows {
            match job_of(row) {
                Some(job) if row.gone => self.forget_early_cancel(job, row.version),
                Some(job) => self.take_in_early_cancel(job, row, now),
                None => others.push(row),
            }
        }
        others
    }

    /// Takes in the row of an early cancel.
    fn take_in_early_cancel(&mut self, job: spec::JobId, row: &rows::Row, now: time::Duration) {
        let text = row.value.as_deref().unwrap_or_default();
        // A record that can't be read still tells that its job is cancelled.
        let record = serde_json::from_str::<EarlyCancel>(text).unwrap_or_else(|err| {
            tracing::error!(%job, %err, "an early cancel can't be read; its age counts from now");
            EarlyCancel::default()
        });
        let store_ms = self.store_clock.map(|clock| clock.ms(now));
        let age_ms = store_ms.zip(record.recorded_ms).map(|(now, at)| now.saturating_sub(at));
        let age = time::Duration::from_millis(age_ms.unwrap_or(0));
        let left = self.settings.keep.saturating_sub(age);
        self.early_cancels.insert(job, row.version, now + left);
        let left_ms = worker::millis(left);
        tracing::debug!(%job, version = row.version, left_ms, "early cancel known");
    }

    /// Forgets an early cancel whose row of a version up to `version` is gone.
    pub(in crate::job) fn forget_early_cancel(&mut self, job: spec::JobId, version: u64) {
        self.early_cancels.remove(job, version);
    }

    /// Removes the rows of early cancels that are older than `Settings::keep`.
    pub(in crate::job) fn expire_early_cancels(&mut self, now: time::Duration) {
        while let Some((job, version)) = self.early_cancels.first_due(now) {
            // If the store doesn't answer, the removal is retried after another `keep` period.
            self.early_cancels.insert(job, version, now + self.settings.keep);
            let key = key(self.settings.domain, job);
            let txn = rows::Txn {
                expects: vec![rows::Expect { key: key.clone(), version }],
                writes: vec![rows::Write { key, value: None }],
            };
            tracing::info!(%job, version, "early cancel expired");
            self.out.push(event::Effect::RemoveEarlyCancel { job, version, txn });
        }
    }
}
