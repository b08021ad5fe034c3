//! Where the job service keeps what must last.
//!
//! All rows that a holder writes share a part of the store, so that each of its writes can be
//! conditional on the lease row. Accepted jobs lie in parts of their own: the store makes the writes of
//! one part one after the other, and callers' writes would wait behind the holder's and each other's.
//! Every part follows from the job's name alone.

use std::net;
use std::time;

use serde::{Deserialize, Serialize};

use super::order;
use super::progress;
use super::spec;
use crate::id;
use crate::rows;
use crate::size;

/// The table of jobs as they were accepted.
pub const JOBS: &str = "jobs";
/// The table of how far jobs have come.
pub const PROGRESS: &str = "progress";
/// The table of leases.
pub const LEASES: &str = "leases";
/// The table of what waits in the queues.
pub const WAITING: &str = "waiting";
/// The table of what holders have learned.
pub const LEARNED: &str = "learned";
/// The parts that the accepted jobs of one domain are dealt over, since the store makes the writes of one part in
/// turn.
const JOB_PARTS: u64 = 8;
/// How far the epochs of two holders are apart: a holder raises the fence of a single worker by less, at each
/// start there without an answer that is to be given up.
const EPOCH_STEP: u64 = 1_000;
/// The only key of a lease or of counts within its part.
const ONLY: &str = "only";

/// Returns the part of a domain.
#[must_use]
pub fn part(domain: u32) -> String {
    format!("d{domain}")
}

/// Returns the parts that the accepted jobs of a domain lie in.
pub fn job_parts(domain: u32) -> impl Iterator<Item = String> {
    (0..JOB_PARTS).map(move |at| job_part(domain, at))
}

/// Returns one of those parts.
fn job_part(domain: u32, at: u64) -> String {
    format!("d{domain}-jobs{at}")
}

/// Returns the domain of a job.
#[must_use]
pub fn domain_of(job: spec::JobId, domains: u32) -> u32 {
    u32::try_from(hash(job) % u64::from(domains.max(1))).unwrap_or(0)
}

/// Returns a number that deals jobs evenly.
fn hash(job: spec::JobId) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&job.0.to_le_bytes())
}

/// Returns the key of an accepted job.
#[must_use]
pub fn job_key(domain: u32, job: spec::JobId) -> rows::Key {
    // Other digits than those that choose the domain.
    let at = (hash(job) >> 32) % JOB_PARTS;
    rows::Key { table: JOBS, part: job_part(domain, at), name: job.to_string() }
}

/// Returns the key of the first row of a job's progress, which tells what callers ask for.
#[must_use]
pub fn progress_key(domain: u32, job: spec::JobId) -> rows::Key {
    progress_row_key(domain, job, 0)
}

/// Returns the key of one of the rows of a job's progress.
#[must_use]
pub fn progress_row_key(domain: u32, job: spec::JobId, row: u32) -> rows::Key {
    let name = if row == 0 { job.to_string() } else { format!("{job}.{row}") };
    rows::Key { table: PROGRESS, part: part(domain), name }
}

/// Reads the job and the number of a row of progress from its name.
pub(super) fn progress_row(name: &str) -> Option<(spec::JobId, u32)> {
    match name.split_once('.') {
        Some((job, row)) => {
            let row = row.parse().ok().filter(|row| *row < progress::MOST_ROWS)?;
            Some((job.parse().ok()?, row))
        }
        None => Some((name.parse().ok()?, 0)),
    }
}

/// Returns the key of a domain's lease.
#[must_use]
pub fn lease_key(domain: u32) -> rows::Key {
    rows::Key { table: LEASES, part: part(domain), name: ONLY.to_owned() }
}

/// Returns the epoch of the holder after one.
pub(super) fn next_epoch(epoch: u64) -> u64 {
    (epoch / EPOCH_STEP + 1) * EPOCH_STEP
}

/// Returns whether two fences are of the same holder.
pub(super) fn same_holder(one: u64, other: u64) -> bool {
    one / EPOCH_STEP == other / EPOCH_STEP
}

/// Returns the key of a domain's counts of waiting jobs.
#[must_use]
pub fn waiting_key(domain: u32) -> rows::Key {
    rows::Key { table: WAITING, part: part(domain), name: ONLY.to_owned() }
}

/// Returns the key of one row of what the holders of a domain have learned.
#[must_use]
pub fn learned_key(domain: u32, name: String) -> rows::Key {
    rows::Key { table: LEARNED, part: part(domain), name }
}

/// The row of an accepted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// What was handed in.
    pub job: spec::Job,
    /// Whether its caller has cancelled it.
    #[serde(default)]
    pub cancelled: bool,
    /// When it was accepted, by the time of day of the host that took it, in milliseconds since 1970;
    /// zero where that is not known.
    #[serde(default)]
    pub accepted_ms: u64,
}

/// The lease of a domain; every write of its holder renews it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The holder, or nobody after a release.
    pub holder: Option<id::HostId>,
    /// Grows with every change of the holder; workers refuse a lower one.
    pub epoch: u64,
    /// The mark of the holder's process.
    pub nonce: u64,
    /// Grows with every write of the holder.
    pub seq: u64,
    /// The longest lease of tasks that the holder asks workers for, in milliseconds.
    #[serde(default)]
    pub hold_ms: u64,
    /// Where the holder's process listens, so that others can tell whether it is gone.
    #[serde(default)]
    pub addr: Option<net::SocketAddr>,
}

/// What waits in the queues of a domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waiting {
    /// Accepted jobs by queue of which no task has begun.
    pub queues: std::collections::BTreeMap<String, u64>,
    /// Up to which time of the store's clock all accepted jobs are counted, in milliseconds; nothing where
    /// the writer did not say, so that nobody knows how old the counts are.
    #[serde(default)]
    pub as_of_ms: Option<u64>,
}

impl Waiting {
    /// Returns how old the counts were when the store's clock showed a time; nothing where that can't be
    /// known.
    #[must_use]
    pub fn age(&self, now_ms: u64) -> Option<time::Duration> {
        Some(time::Duration::from_millis(now_ms.checked_sub(self.as_of_ms?)?))
    }
}

/// A worker in the row of those that are not listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Unlisted {
    /// Its incarnation.
    #[serde(rename = "id")]
    pub incarnation: id::Incarnation,
    /// Where it takes orders.
    pub addr: net::SocketAddr,
    /// Whether it is about to leave.
    leaving: bool,
}

impl Unlisted {
    /// Returns what is kept of a worker.
    pub fn of(member: &order::Member) -> Self {
        Self { incarnation: member.incarnation.clone(), addr: member.addr, leaving: member.leaving }
    }

    /// Returns a worker of which only this is known; nothing new goes there while nobody lists it.
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
