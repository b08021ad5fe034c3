//! Stores the row of a submitted job: carries out what `job::submission` decides.

use std::pin;
use std::time;

use futures::FutureExt as _;
use futures::future;
use wharflane::job::submission;
use wharflane::rows;
use wharflane_adapter::store;

use super::Shared;

/// Stores the row of a job and returns what the caller is told, by `answer_by` at the latest.
pub async fn store_job_row(
    shared: &Shared,
    key: &rows::Key,
    txn: &rows::Txn,
    answer_by: time::Duration,
) -> submission::End {
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
                write.set(write_row(shared, txn, answer_by.saturating_sub(now)).fuse());
            }
            submission::Step::Read => {
                submission.read_sent();
                read.set(read_row(shared, key).fuse());
            }
            submission::Step::Wait { until } => {
                tokio::select! {
                    end = &mut write => submission.write_ended(end, shared.clock.now()),
                    found = &mut read => submission.read_ended(found, shared.clock.now()),
                    () = tokio::time::sleep(until.saturating_sub(now)) => {}
                }
            }
            submission::Step::End(end) => return end,
        }
    }
}

/// Writes the row and returns how the write ended.
async fn write_row(
    shared: &Shared,
    txn: &rows::Txn,
    timeout: time::Duration,
) -> submission::WriteEnd {
    let write = shared.store.transact_within(txn, timeout);
    match shared.timed_call("submit", write).await {
        // After a conflict, either the same job was submitted before or an earlier write of this
        // submission took effect.
        Ok(_) => submission::WriteEnd::Stored,
        Err(store::StoreError::Refused { .. }) => submission::WriteEnd::Refused,
        Err(store::StoreError::TurnedAway { .. }) => submission::WriteEnd::TurnedAway,
        Err(err) if err.was_not_sent() => submission::WriteEnd::NotSent,
        Err(_) => submission::WriteEnd::NoAnswer,
    }
}

/// Reads the row and returns whether it is there; a failed read shows nothing.
async fn read_row(shared: &Shared, key: &rows::Key) -> bool {
    matches!(shared.timed_call("get", shared.store.get(key)).await, Ok(Some(_)))
}
