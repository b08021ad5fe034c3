//! Stores the row of a submitted job: carries out what `job::submission` decides.

use std::pin;
use std::time;

use futures::FutureExt as _;
use futures::future;
use wharflane::job::{early_cancel, submission};
use wharflane::rows;
use wharflane_adapter::store;

use super::Shared;

/// Stores the row of a job and returns what the caller is told, by `answer_by` at the latest. A job
/// that was cancelled before is stored as cancelled.
pub async fn store_job_row(
    shared: &Shared,
    mut row: early_cancel::Submitted,
    answer_by: time::Duration,
) -> submission::End {
    let key = row.key();
    let began_at = shared.clock.now();
    let call_timeout = shared.time("store_timeout_ms");
    let mut submission = submission::Submission::new(began_at, answer_by, call_timeout);
    let mut write = pin::pin!(future::Fuse::terminated());
    let mut read = pin::pin!(future::Fuse::terminated());
    loop {
        let now = shared.clock.now();
        match submission.next(&shared.submission_view(), now) {
            submission::Step::Write => {
                submission.write_sent(now);
                write.set(write_row(shared, row.txn(), answer_by.saturating_sub(now)).fuse());
            }
            submission::Step::Read => {
                submission.read_sent();
                read.set(read_row(shared, &key).fuse());
            }
            submission::Step::Wait { until } => {
                tokio::select! {
                    result = &mut write => {
                        let end = write_end(shared, &mut row, result);
                        submission.write_ended(end, shared.clock.now());
                    }
                    found = &mut read => submission.read_ended(found, shared.clock.now()),
                    () = tokio::time::sleep(until.saturating_sub(now)) => {}
                }
            }
            submission::Step::End(end) => return end,
        }
    }
}

/// Writes the row and counts the call.
async fn write_row(
    shared: &Shared,
    txn: rows::Txn,
    timeout: time::Duration,
) -> Result<rows::Answer, store::StoreError> {
    shared.timed_call("submit", shared.store.transact_within(&txn, timeout)).await
}

/// Returns how a write ended; after a conflict, `row` is as it is to be stored next.
fn write_end(
    shared: &Shared,
    row: &mut early_cancel::Submitted,
    result: Result<rows::Answer, store::StoreError>,
) -> submission::WriteEnd {
    match result {
        Ok(rows::Answer::Done { version }) => {
            log_if_cancelled(shared, row, version);
            submission::WriteEnd::Stored
        }
        Ok(rows::Answer::Conflict { rows }) => conflict_end(row, &rows),
        Err(store::StoreError::Refused { .. }) => submission::WriteEnd::Refused,
        Err(store::StoreError::TurnedAway { .. }) => submission::WriteEnd::TurnedAway,
        Err(err) if err.was_not_sent() => submission::WriteEnd::NotSent,
        Err(_) => submission::WriteEnd::NoAnswer,
    }
}

/// Logs and counts that a job was stored as cancelled.
fn log_if_cancelled(shared: &Shared, row: &early_cancel::Submitted, version: u64) {
    if let Some(cancel_version) = row.early_cancel() {
        shared.metrics.early_cancels.with_label_values(&["stored"]).inc();
        tracing::info!(job = %row.id(), version, cancel_version, "job stored as cancelled");
    }
}

/// Returns how a write ended that had a conflict with stored rows.
fn conflict_end(row: &mut early_cancel::Submitted, stored: &[rows::Row]) -> submission::WriteEnd {
    match row.take_in_conflict(stored) {
        // Either the same job was submitted before, or an earlier write took effect.
        Ok(early_cancel::Conflict::Stored) => submission::WriteEnd::Stored,
        Ok(early_cancel::Conflict::Cancelled) => submission::WriteEnd::Cancelled,
        Ok(early_cancel::Conflict::Unclear) => {
            tracing::warn!(job = %row.id(), rows = stored.len(), "conflict without its cause");
            submission::WriteEnd::NoAnswer
        }
        Err(err) => {
            tracing::error!(job = %row.id(), %err, "a cancelled job can't be encoded");
            submission::WriteEnd::Refused
        }
    }
}

/// Reads the row and returns whether it is there; a failed read shows nothing.
async fn read_row(shared: &Shared, key: &rows::Key) -> bool {
    matches!(shared.timed_call("get", shared.store.get(key)).await, Ok(Some(_)))
}
