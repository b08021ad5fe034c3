//! Rate limits that keep a holder within the bandwidth of its network link: how many starts it
//! sends, and how often it sends heartbeats and commits.
//!
//! An overloaded link delays every answer: each order without an answer in time is sent again over
//! a new connection, and leases of running tasks expire, which loses their work. So starts are held
//! back, which costs nothing before they are sent, and heartbeats to busy workers are spread out. A
//! host whose bandwidth is unknown is not limited.

use std::time;

use crate::job::workers::worker;

/// The bytes on the wire of a heartbeat and its answer.
const HEARTBEAT_BYTES: f64 = 1_000.0;
/// The bytes on the wire of a start and its answer.
const START_BYTES: f64 = 700.0;
/// The share of the link for heartbeats; the rest is left for bursts, ended runs and lists.
const HEARTBEATS_SHARE: f64 = 0.4;
/// The share of the link for starts.
const STARTS_SHARE: f64 = 0.4;
/// How much of the starts' share may be sent at once after a pause; that is transferred well before
/// an order counts as unanswered.
const BURST: time::Duration = time::Duration::from_millis(600);
/// The share of the link for commits. Each writes whole rows, so fewer commits with more starts in
/// each add little.
const COMMITS_SHARE: f64 = 0.2;
/// The factor by which base64 lengthens a value on the wire.
const BASE64_FACTOR: f64 = 4.0 / 3.0;
/// The longest pause between two commits, which renew a lease of 2.2 s.
const MAX_COMMIT_GAP: time::Duration = time::Duration::from_millis(500);
/// The longest pause between two heartbeats to a busy worker is the task lease divided by this,
/// since the answer also waits up to a second for a run to end, and one may be lost.
const MAX_GAP_DIVISOR: u32 = 4;

/// The send budget of a holder's network link.
#[derive(Debug)]
pub(in crate::job) struct Link {
    /// The bandwidth in bytes per second; absent if unknown, which lifts all limits.
    bandwidth: Option<f64>,
    /// The starts that may be sent at once; negative after more were sent.
    start_budget: f64,
    /// When the budget of starts was last replenished.
    replenished: time::Duration,
    /// The pause between two heartbeats to a worker that runs something.
    gap: time::Duration,
    /// The pause after the last commit.
    commit_gap: time::Duration,
}

impl Link {
    /// Creates the budget of a link with a bandwidth in bytes per second.
    pub fn new(bytes_per_s: Option<u64>, now: time::Duration) -> Self {
        let bandwidth = bytes_per_s.map(|bytes| bytes as f64);
        let starts = bandwidth.map_or(0.0, max_burst);
        Self {
            bandwidth,
            start_budget: starts,
            replenished: now,
            gap: worker::HEARTBEAT_GAP,
            commit_gap: time::Duration::ZERO,
        }
    }

    /// Replenishes the budget of starts, and spreads heartbeats to `busy` workers whose task leases
    /// last for `task_lease`.
    pub fn replenish(&mut self, busy: usize, task_lease: time::Duration, now: time::Duration) {
        let Some(bandwidth) = self.bandwidth else {
            return;
        };
        let passed = now.saturating_sub(self.replenished).as_secs_f64();
        self.replenished = now;
        let added = passed * bandwidth * STARTS_SHARE / START_BYTES;
        self.start_budget = (self.start_budget + added).min(max_burst(bandwidth));
        let gap = busy as f64 * HEARTBEAT_BYTES / (bandwidth * HEARTBEATS_SHARE);
        let gap = time::Duration::from_secs_f64(gap).min(task_lease / MAX_GAP_DIVISOR);
        self.gap = gap.max(worker::HEARTBEAT_GAP);
    }

    /// Returns how many starts may be sent now in addition to the staged ones.
    pub fn starts(&self, staged: usize) -> usize {
        match self.bandwidth {
            None => usize::MAX,
            Some(_) => (self.start_budget.max(0.0) as usize).saturating_sub(staged),
        }
    }

    /// Deducts a start from the budget.
    pub fn deduct_start(&mut self) {
        self.start_budget -= 1.0;
    }

    /// Sets the pause after a commit with this many bytes of values.
    pub fn record_commit(&mut self, bytes: usize) {
        let Some(bandwidth) = self.bandwidth else {
            return;
        };
        let gap = bytes as f64 * BASE64_FACTOR / (bandwidth * COMMITS_SHARE);
        self.commit_gap = time::Duration::from_secs_f64(gap).min(MAX_COMMIT_GAP);
    }

    /// Returns the pause after the last commit until the next is collected.
    pub fn commit_gap(&self) -> time::Duration {
        self.commit_gap
    }

    /// Returns the pause between two heartbeats to a worker that runs something.
    pub fn gap(&self) -> time::Duration {
        self.gap
    }
}

/// Returns the most starts that may be sent at once.
fn max_burst(bandwidth: f64) -> f64 {
    (bandwidth * STARTS_SHARE * BURST.as_secs_f64() / START_BYTES).max(1.0)
}
