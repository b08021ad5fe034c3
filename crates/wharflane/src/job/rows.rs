//! Rows in which the job service stores its state, and their keys.
//!
//! All rows that a holder writes share one partition of the store, so that each of its writes can
//! be conditional on the lease row. Accepted jobs are in partitions of their own, because the store
//! applies the writes of a partition one after the other: in one partition, callers' writes would
//! wait for the holder's and for each other. Every partition follows from the job's name alone.

use std::net;
use std::time;

use serde::{Deserialize, Serialize};

use super::load::admission;
use super::progress;
use super::queue;
use super::runs::order;
use super::spec;
use crate::id;
use crate::rows;
use crate::size;

/// The table of jobs as they were accepted.
pub const JOBS: &str = "jobs";
/// The table of jobs' progress.
pub const PROGRESS: &str = "progress";
/// The table of domains' leases.
pub const LEASES: &str = "leases";
/// The table of counts of waiting jobs.
pub const WAITING: &str = "waiting";
/// The table of data that holders have learned.
pub const LEARNED: &str = "learned";
/// The number of partitions for the accepted jobs of one domain, since the store applies the writes
/// of one partition one after the other.
const JOB_PARTITIONS: u64 = 8;
/// The distance between the epochs of two holders. The offset by which a holder raises the fence of
/// a single worker, once per abandoned start without an answer, stays below it.
const EPOCH_STEP: u64 = 1_000;
/// The name of the only row in a domain's partition of the lease and count tables.
const SINGLE_ROW: &str = "only";

/// Returns the partition of the rows that a domain's holder writes.
#[must_use]
pub fn part(domain: u32) -> String {
    format!("d{domain}")
}

/// Returns the partitions of a domain's accepted jobs.
pub fn job_parts(domain: u32) -> impl Iterator<Item = String> {
    (0..JOB_PARTITIONS).map(move |at| job_part(domain, at))
}

/// Returns one partition of a domain's accepted jobs.
fn job_part(domain: u32, at: u64) -> String {
    format!("d{domain}-jobs{at}")
}

/// Returns the domain that a job belongs to.
#[must_use]
pub fn domain_of(job: spec::JobId, domains: u32) -> u32 {
    u32::try_from(hash(job) % u64::from(domains.max(1))).unwrap_or(0)
}

/// Returns a hash that spreads jobs evenly.
fn hash(job: spec::JobId) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&job.0.to_le_bytes())
}

/// Returns the key of the row of an accepted job.
#[must_use]
pub fn job_key(domain: u32, job: spec::JobId) -> rows::Key {
    // Uses other bits than those that choose the domain.
    let at = (hash(job) >> 32) % JOB_PARTITIONS;
    rows::Key { table: JOBS, part: job_part(domain, at), name: job.to_string() }
}

/// Returns the key of the first row of a job's progress, which holds what callers may query.
#[must_use]
pub fn progress_key(domain: u32, job: spec::JobId) -> rows::Key {
    progress_row_key(domain, job, 0)
}

/// Returns the key of one row of a job's progress.
#[must_use]
pub fn progress_row_key(domain: u32, job: spec::JobId, row: u32) -> rows::Key {
    let name = if row == 0 { job.to_string() } else { format!("{job}.{row}") };
    rows::Key { table: PROGRESS, part: part(domain), name }
}

/// Parses the name of a progress row into the job and the number of the row.
pub(super) fn progress_row(name: &str) -> Option<(spec::JobId, u32)> {
    match name.split_once('.') {
        Some((job, row)) => {
            let row = row.parse().ok().filter(|row| *row < progress::MAX_PROGRESS_ROWS)?;
            Some((job.parse().ok()?, row))
        }
        None => Some((name.parse().ok()?, 0)),
    }
}

/// Returns the key of a domain's lease row.
#[must_use]
pub fn lease_key(domain: u32) -> rows::Key {
    rows::Key { table: LEASES, part: part(domain), name: SINGLE_ROW.to_owned() }
}

/// Returns the epoch of the holder that follows the holder of an epoch.
pub(super) fn next_epoch(epoch: u64) -> u64 {
    (epoch / EPOCH_STEP + 1) * EPOCH_STEP
}

/// Returns whether two fences belong to the same holder.
pub(super) fn same_holder(one: u64, other: u64) -> bool {
    one / EPOCH_STEP == other / EPOCH_STEP
}

/// Returns the key of a domain's counts of waiting jobs.
#[must_use]
pub fn waiting_key(domain: u32) -> rows::Key {
    rows::Key { table: WAITING, part: part(domain), name: SINGLE_ROW.to_owned() }
}

/// Returns the key of one row of data learned by the holders of a domain.
#[must_use]
pub fn learned_key(domain: u32, name: String) -> rows::Key {
    rows::Key { table: LEARNED, part: part(domain), name }
}

/// The row of an accepted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The job as it was submitted.
    pub job: spec::Job,
    /// Whether its caller has cancelled it.
    #[serde(default)]
    pub cancelled: bool,
    /// When it was accepted by the clock of the accepting host, in milliseconds since 1970; zero if
    /// unknown.
    #[serde(default)]
    pub accepted_ms: u64,
    /// The policy of its queue as the accepting host knew it; absent in a row of an older version,
    /// which doesn't tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<queue::PolicyVersion>,
}

/// The lease of a domain, which every write of its holder renews.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The holder; absent after the lease was released.
    pub holder: Option<id::HostId>,
    /// Increases with every change of the holder; workers reject a lower epoch than they have seen.
    pub epoch: u64,
    /// A number unique to the holder's process.
    pub nonce: u64,
    /// Increases with every write of the holder.
    pub seq: u64,
    /// The longest task lease that the holder requests from workers, in milliseconds.
    #[serde(default)]
    pub hold_ms: u64,
    /// How much longer task leases of all earlier holders may last, in milliseconds from when this
    /// write was first sent; absent in a row of an older version, which doesn't tell.
    #[serde(default)]
    pub earlier_left_ms: Option<u64>,
    /// The workers that restarted under their id, where leases may last longer than elsewhere.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub restarted: Vec<Restarted>,
    /// The version of the store up to which the workers have shown all recorded starts to be with
    /// the incarnations that they were meant for; absent in a row of an older version, which
    /// doesn't tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shown_upto: Option<u64>,
    /// The address on which the holder's process listens, so that other hosts can probe it.
    #[serde(default)]
    pub addr: Option<net::SocketAddr>,
    /// The time of the store's clock at which this was written, in milliseconds, as estimated by
    /// the holder; absent if it doesn't know that clock. It shows a reader early that the row
    /// stands still, but never that the lease has expired.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub written_ms: Option<u64>,
    /// The queues with more work than room.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub backlogs: Vec<admission::Backlog>,
}

/// A worker in the lease row that restarted under its id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Restarted {
    /// The incarnation of the worker.
    #[serde(rename = "id")]
    pub incarnation: id::Incarnation,
    /// How much longer a run may last there that was ordered from the incarnation before, in
    /// milliseconds from when the row was first sent.
    pub left_ms: u64,
}

impl Lease {
    /// Returns how long ago the row was written, by a reading of the store's clock; zero if that is
    /// unknown.
    pub(super) fn age(&self, store_ms: Option<u64>) -> time::Duration {
        let age_ms = store_ms.zip(self.written_ms).map(|(now, at)| now.saturating_sub(at));
        time::Duration::from_millis(age_ms.unwrap_or(0))
    }
}

/// The counts of waiting jobs in the queues of a domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waiting {
    /// The number of accepted jobs of which no task has begun, by queue.
    pub queues: std::collections::BTreeMap<String, u64>,
    /// The time of the store's clock up to which all accepted jobs are counted, in milliseconds;
    /// absent if the writer didn't record it, so that the age of the counts is unknown.
    #[serde(default)]
    pub as_of_ms: Option<u64>,
}

impl Waiting {
    /// Returns the age of the counts at a time of the store's clock, or nothing if it is unknown.
    #[must_use]
    pub fn age(&self, now_ms: u64) -> Option<time::Duration> {
        Some(time::Duration::from_millis(now_ms.checked_sub(self.as_of_ms?)?))
    }
}

/// A worker in the row of unlisted workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Unlisted {
    /// The incarnation of the worker.
    #[serde(rename = "id")]
    pub incarnation: id::Incarnation,
    /// The address on which it accepts orders.
    pub addr: net::SocketAddr,
    /// Whether it was leaving when the row was written.
    leaving: bool,
}

impl Unlisted {
    /// Returns what the row stores of a worker.
    pub fn of(member: &order::Member) -> Self {
        Self { incarnation: member.incarnation.clone(), addr: member.addr, leaving: member.leaving }
    }

    /// Returns a list entry with only what the row stores; nothing new is placed on the worker
    /// while it is unlisted.
    pub fn member(&self) -> order::Member {
        order::Member {
            incarnation: self.incarnation.clone(),
            addr: self.addr,
            hall: "".into(),
            service: "".into(),
            leaving: self.leaving,
            capacity: size::Size::default(),
            labels: Vec::new(),
            rack: None,
        }
    }
}
