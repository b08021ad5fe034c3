//! Cancels a job: marks its row, or records the cancel of a job that is not stored.
//!
//! That a row is absent proves nothing: the write of a submission may be under way. So the caller is
//! told that there is no such job only once a record keeps such a write from taking effect.

use std::sync;
use std::time;

use wharflane::job::{early_cancel, retry_after, submission};
use wharflane::{job, rows};
use wharflane_adapter::store;

use super::Shared;

/// Delay before a call to the store is retried.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// What the caller of a cancel is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The job is cancelled.
    Cancelled,
    /// There is no such job, and no submission that was sent before will store one.
    NoJob,
    /// The call had no effect and will have none.
    NotTaken(retry_after::Cause),
    /// The job may be cancelled, now or later.
    Unknown,
}

/// What follows from one attempt.
enum Attempt {
    /// The caller is told this.
    Ended(End),
    /// Nothing was written, or another row stood there by then.
    Failed,
    /// A write had no answer and may take effect.
    InDoubt,
}

/// A cancel that is being carried out.
struct Cancel<'a> {
    /// State that the parts of the job service share.
    shared: &'a Shared,
    /// How many cancels of jobs that are not stored this host may still record.
    limit: &'a sync::Mutex<early_cancel::Limit>,
    /// The domain of the job.
    domain: u32,
    /// The job.
    id: job::JobId,
    /// Whether the limit has permitted this cancel to be recorded.
    has_permit: bool,
}

/// Cancels a job and returns what the caller is told, by `deadline` at the latest.
pub async fn cancel(
    shared: &Shared,
    limit: &sync::Mutex<early_cancel::Limit>,
    id: job::JobId,
    deadline: time::Duration,
) -> End {
    if shared.store_silence() >= submission::LOST_AFTER {
        return End::NotTaken(shared.store_failure_cause());
    }
    let domain = job::domain_of(id, shared.domains());
    let mut cancel = Cancel { shared, limit, domain, id, has_permit: false };
    let mut in_doubt = false;
    loop {
        match cancel.attempt().await {
            Attempt::Ended(End::NotTaken(_)) if in_doubt => return End::Unknown,
            Attempt::Ended(end) => return end,
            Attempt::Failed => {}
            Attempt::InDoubt => in_doubt = true,
        }
        tokio::time::sleep(RETRY_DELAY).await;
        if shared.clock.now() + RETRY_DELAY >= deadline {
            let not_taken = End::NotTaken(shared.store_failure_cause());
            return if in_doubt { End::Unknown } else { not_taken };
        }
    }
}

impl Cancel<'_> {
    /// Reads what is stored of the job, and marks its row or records that there is none.
    async fn attempt(&mut self) -> Attempt {
        let key = job::job_key(self.domain, self.id);
        let (first, end) = early_cancel::key_range(self.id);
        let read = self.shared.store.read_range(key.table, &key.part, (&first, &end));
        let Ok(page) = self.shared.timed_call("get", read).await else {
            return Attempt::Failed;
        };
        match early_cancel::find(&page.rows, self.id) {
            early_cancel::Found::Job(row) => self.mark(&key, row).await,
            early_cancel::Found::EarlyCancel(version) => self.end_as_recorded(version),
            early_cancel::Found::Nothing => self.record(page.now_ms).await,
        }
    }

    /// Ends a cancel that is recorded already.
    fn end_as_recorded(&self, version: u64) -> Attempt {
        tracing::info!(job = %self.id, version, "cancel of an unknown job is recorded already");
        self.count("repeated");
        Attempt::Ended(End::NoJob)
    }

    /// Marks the job as cancelled in its row.
    async fn mark(&self, key: &rows::Key, row: &rows::Row) -> Attempt {
        let Some(text) = row.value.as_deref() else {
            return Attempt::Failed;
        };
        let mut accepted: job::Accepted = match serde_json::from_str(text) {
            Ok(accepted) => accepted,
            Err(err) => {
                tracing::error!(job = %self.id, %err, "an accepted job can't be read");
                return Attempt::Ended(End::NotTaken(retry_after::Cause::NotKnown));
            }
        };
        if accepted.cancelled {
            return Attempt::Ended(End::Cancelled);
        }
        accepted.cancelled = true;
        let txn = rows::Txn {
            expects: vec![rows::Expect { key: key.clone(), version: row.version }],
            writes: vec![rows::Write {
                key: key.clone(),
                value: serde_json::to_string(&accepted).ok(),
            }],
        };
        match self.transact(&txn).await {
            Ok(rows::Answer::Done { .. }) => Attempt::Ended(End::Cancelled),
            Ok(rows::Answer::Conflict { .. }) => Attempt::Failed,
            Err(err) => failed_write(&err),
        }
    }

    /// Records the cancel of a job that is not stored, unless this host has recorded too many.
    async fn record(&mut self, store_ms: Option<u64>) -> Attempt {
        if !self.take_permit() {
            tracing::warn!(job = %self.id, "cancel not recorded: too many of unknown jobs");
            self.count("refused");
            return Attempt::Ended(End::NotTaken(retry_after::Cause::NotKnown));
        }
        let txn = match early_cancel::record(self.domain, self.id, store_ms) {
            Ok(txn) => txn,
            Err(err) => {
                tracing::error!(job = %self.id, %err, "an early cancel can't be encoded");
                return Attempt::Ended(End::NotTaken(retry_after::Cause::NotKnown));
            }
        };
        match self.transact(&txn).await {
            Ok(rows::Answer::Done { version }) => {
                tracing::info!(job = %self.id, version, store_ms, "cancel of an unknown job recorded");
                self.count("recorded");
                Attempt::Ended(End::NoJob)
            }
            // The job was stored or the cancel recorded since the read.
            Ok(rows::Answer::Conflict { .. }) => Attempt::Failed,
            Err(err) => failed_write(&err),
        }
    }

    /// Takes a permit to record this cancel, one for all of its attempts; returns whether it has one.
    fn take_permit(&mut self) -> bool {
        if !self.has_permit {
            let now = self.shared.clock.now();
            let mut limit = self.limit.lock().unwrap_or_else(sync::PoisonError::into_inner);
            self.has_permit = limit.try_take(now);
        }
        self.has_permit
    }

    /// Counts what became of a cancel of a job that is not stored.
    fn count(&self, outcome: &str) {
        self.shared.metrics.early_cancels.with_label_values(&[outcome]).inc();
    }

    /// Runs a transaction and counts the call.
    async fn transact(&self, txn: &rows::Txn) -> Result<rows::Answer, store::StoreError> {
        self.shared.timed_call("cancel", self.shared.store.transact(txn)).await
    }
}

/// Returns what follows from a write that failed.
fn failed_write(err: &store::StoreError) -> Attempt {
    match err {
        store::StoreError::TurnedAway { .. } | store::StoreError::Refused { .. } => Attempt::Failed,
        err if err.was_not_sent() => Attempt::Failed,
        store::StoreError::Silent(_) | store::StoreError::Unexpected { .. } => Attempt::InDoubt,
    }
}
