//! Cancels that come before their job is stored.
//!
//! The write of a submission may take effect after its host has given up, and after another host
//! has found no row of the job and told its caller that there is no such job. A cancel that finds
//! no row therefore records itself in a row of its own before it is answered. A submission expects
//! that row to be absent, so one that was sent before can't take effect any more. One that is sent
//! afterwards stores its job as cancelled in place of the record, so that the order of the two calls
//! makes no difference.
//!
//! The row lies beside that of the job, under another name: a host of an earlier version skips it.
//! Such a host doesn't expect it either when it stores a job, so a holder that knows of the record
//! cancels the job. The holder removes the row `Settings::keep` after it was written, by the store's
//! clock, so that a change of the holder doesn't delay it.

mod limit;
pub(super) mod records;
mod submitted;

use serde::{Deserialize, Serialize};

pub use self::limit::Limit;
pub use self::submitted::{Conflict, Submitted};
use super::rows as job_rows;
use super::spec;
use crate::rows;

/// The end of the name of the row, after the job's id.
const NAME_SUFFIX: &str = ".cancel";

/// The row of a cancel that came before its job was stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct EarlyCancel {
    /// The time of the store's clock at which there was no job, in milliseconds; absent if the
    /// store didn't report it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    recorded_ms: Option<u64>,
}

/// Returns the key of the row of a cancel that came before its job was stored.
#[must_use]
pub fn key(domain: u32, job: spec::JobId) -> rows::Key {
    let key = job_rows::job_key(domain, job);
    rows::Key { name: format!("{}{NAME_SUFFIX}", key.name), ..key }
}

/// Returns the transaction that records a cancel of a job that is not stored; `store_ms` is the time
/// of the store's clock at which that was read.
///
/// # Errors
/// Returns an error if the row can't be encoded.
pub fn record(
    domain: u32,
    job: spec::JobId,
    store_ms: Option<u64>,
) -> Result<rows::Txn, serde_json::Error> {
    let key = key(domain, job);
    let value = serde_json::to_string(&EarlyCancel { recorded_ms: store_ms })?;
    let absent = |key| rows::Expect { key, version: 0 };
    Ok(rows::Txn {
        expects: vec![absent(job_rows::job_key(domain, job)), absent(key.clone())],
        writes: vec![rows::Write { key, value: Some(value) }],
    })
}

/// Returns the first key and the exclusive end of the range that holds the row of a job and that of
/// its early cancel.
#[must_use]
pub fn key_range(job: spec::JobId) -> (String, String) {
    // The sign after the dot of `NAME_SUFFIX`.
    (job.to_string(), format!("{job}/"))
}

/// What the store holds of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found<'a> {
    /// The row of the job.
    Job(&'a rows::Row),
    /// The record of its early cancel, with this version.
    EarlyCancel(u64),
    /// Neither.
    Nothing,
}

/// Returns what rows that were read, or those of a conflict, tell of a job.
#[must_use]
pub fn find(rows: &[rows::Row], job: spec::JobId) -> Found<'_> {
    let name = job.to_string();
    if let Some(row) = rows.iter().find(|row| row.name == name && exists(row)) {
        return Found::Job(row);
    }
    let cancel = rows.iter().find(|row| job_of(row) == Some(job) && exists(row));
    cancel.map_or(Found::Nothing, |row| Found::EarlyCancel(row.version))
}

/// Returns the job whose early cancel a row holds; `None` for any other row.
fn job_of(row: &rows::Row) -> Option<spec::JobId> {
    row.name.strip_suffix(NAME_SUFFIX)?.parse().ok()
}

/// Returns whether a row of a conflict is stored; the store may also list absent ones.
fn exists(row: &rows::Row) -> bool {
    !row.gone && row.version > 0
}
