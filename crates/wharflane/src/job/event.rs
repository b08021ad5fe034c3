//! Events and effects of an engine, and the settings that time it.

use std::net;
use std::sync;
use std::time;

use super::place::tickets;
use super::queue;
use super::rows as job_rows;
use super::runs::order;
use super::spec;
use super::workers::closed;
use crate::id;
use crate::rows;

/// Domain and timing of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The number of the domain.
    pub domain: u32,
    /// How long a lease row must be unchanged before another host may acquire the lease.
    pub lease: time::Duration,
    /// How long before its lease expires a holder stops acting, to allow for clock drift.
    pub margin: time::Duration,
    /// The address on which this process listens for as long as it runs; absent if it can't be
    /// probed.
    pub addr: Option<net::SocketAddr>,
    /// How long a lease row must be unchanged before its holder's process is probed.
    pub probe: time::Duration,
    /// How long a lease row must be unchanged before it is taken from a holder whose host is
    /// silent.
    pub silence: time::Duration,
    /// How long the store must leave a holder without answers before it vacates its lease for a
    /// host that asks.
    pub vacate: time::Duration,
    /// How much longer than other hosts this host waits before it acquires a lease, so that
    /// stronger hosts get the domain first.
    pub takeover_delay: time::Duration,
    /// The time between two reads of a lease that another host renews.
    pub poll: time::Duration,
    /// The same while the lease is free, stands still or can't be read.
    pub poll_standstill: time::Duration,
    /// The minimum time between two commits.
    pub commit: time::Duration,
    /// The maximum time between two commits, each of which renews the lease.
    pub renew: time::Duration,
    /// The duration of a task's lease on a worker.
    pub task_lease: time::Duration,
    /// The longest task lease that a worker grants; earlier holders may have requested it.
    pub task_lease_max: time::Duration,
    /// The longest time that stopping a task takes.
    pub stop: time::Duration,
    /// How long a worker delays its answer to a heartbeat while no run ends.
    pub heartbeat_wait: time::Duration,
    /// The time between two heartbeats to an idle worker.
    pub idle_heartbeat_gap: time::Duration,
    /// How long the state of an ended job remains available.
    pub keep: time::Duration,
    /// How long a new holder starts nothing while it can't read which halls are closed.
    pub closed_wait: time::Duration,
    /// How many long-running tasks of one step may be on their way from stalled workers at once.
    pub stalled_moves: u32,
    /// The bandwidth of this host's link in bytes per second; absent if unknown.
    pub link_bytes_per_s: Option<u64>,
}

/// The result of probing a holder's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The process listens, or its host accepts connections for it.
    Listens {
        /// How long it will not vacate the lease; absent if it did not answer in time.
        claimed_for: Option<time::Duration>,
    },
    /// The process has stopped acting under the lease and will not act under it again.
    Vacated,
    /// The connection was refused: no process listens there.
    Refused,
    /// No answer: the host is down or unreachable.
    Silent,
}

/// An event that an engine handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; sent at regular intervals.
    Tick {
        /// The time of day, in milliseconds since 1970.
        wall_ms: u64,
    },
    /// The lease row was read.
    LeaseRead {
        /// The version and value of the row, or nothing if the row is absent.
        row: Option<(u64, job_rows::Lease)>,
        /// The time of the store's clock at the read, in milliseconds; absent if the store omits
        /// it.
        store_ms: Option<u64>,
    },
    /// Reading the lease row failed.
    LeaseUnread,
    /// A holder's process was probed.
    Probed {
        /// The version of the lease row that named the holder.
        version: u64,
        /// The result of the probe.
        result: ProbeResult,
    },
    /// All rows of the domain were read.
    Loaded {
        /// The rows of accepted jobs and of early cancels.
        jobs: Vec<rows::Row>,
        /// The rows of their progress.
        progress: Vec<rows::Row>,
        /// The rows of data that earlier holders learned.
        learned: Vec<rows::Row>,
    },
    /// Reading the rows of the domain failed.
    LoadFailed,
    /// A transaction was answered or refused for good, or its answer was lost.
    Txn {
        /// The number of the transaction.
        number: u64,
        /// What is known of its outcome.
        outcome: rows::Outcome,
    },
    /// Deleting the row of an ended job succeeded or failed.
    Dropped {
        /// The job whose row was to be deleted.
        job: spec::JobId,
        /// Whether the row is deleted.
        done: bool,
    },
    /// The record of an early cancel is removed.
    EarlyCancelRemoved {
        /// The job that it is of.
        job: spec::JobId,
        /// Its version.
        version: u64,
    },
    /// Rows of accepted jobs or of their early cancels were written, removed or read again.
    Jobs(Vec<rows::Row>),
    /// All jobs accepted up to this time of the store's clock have been delivered.
    JobsReadUpTo {
        /// The time of the store's clock, in milliseconds.
        up_to_ms: u64,
    },
    /// The store's whole list of workers was read.
    Listed(Vec<order::Member>),
    /// One worker's list entry changed, or was removed.
    Member(id::WorkerId, Option<order::Member>),
    /// The configured queues changed.
    Queues(sync::Arc<queue::Queues>),
    /// The closed halls were reported, whether changed or not.
    Closed(closed::ClosedHalls),
    /// A worker answered an order to start a task, or the order failed.
    Started {
        /// The order that was sent.
        order: order::Order,
        /// The worker's answer, or why there is none.
        answer: order::StartAnswer,
    },
    /// A worker did not accept an order to stop, or did not answer it.
    StopNotTaken(order::Order),
    /// A worker answered a heartbeat, or the heartbeat failed.
    HeartbeatAnswered {
        /// The worker incarnation that the heartbeat addressed.
        worker: id::Incarnation,
        /// The fence that the heartbeat carried.
        epoch: u64,
        /// The worker's answer, or why there is none.
        answer: order::HeartbeatAnswer,
    },
    /// The advice service answered a request about a step's workers, or the request failed.
    AdviceAnswered {
        /// The request that was sent.
        request: tickets::AdviceRequest,
        /// The advice; absent if the request failed.
        answer: Option<tickets::Advice>,
    },
    /// This host is shutting down.
    Leave,
    /// This host has become too slow to hold a domain.
    Yield,
}

/// What a process answers to another host that finds its lease standing still.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseClaim {
    /// It may still act under the lease.
    Claimed {
        /// How long it will not vacate the lease.
        claimed_for: time::Duration,
    },
    /// It does not act under the lease, and will not again.
    Vacated,
}

/// An effect that an engine requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Read the lease row of the domain.
    ReadLease,
    /// Probe the process of a holder.
    Probe {
        /// The version of the lease row that names the holder.
        version: u64,
        /// The address on which it listened.
        addr: net::SocketAddr,
        /// How much longer than other hosts this host waits before it acquires a lease.
        delay: time::Duration,
    },
    /// Read all rows of the domain.
    Load,
    /// Send a transaction with this number.
    Txn(u64, rows::Txn),
    /// Delete the row of a job that ended longer ago than `Settings::keep`.
    Drop(spec::JobId, rows::Txn),
    /// Remove the record of a cancel that came before its job was stored.
    RemoveEarlyCancel {
        /// The job that it is of.
        job: spec::JobId,
        /// Its version.
        version: u64,
        /// The transaction that removes it.
        txn: rows::Txn,
    },
    /// Order a worker to start a task.
    Start(order::Start),
    /// Order a worker to stop a task.
    Stop(order::Order),
    /// Send a heartbeat to a worker: renew its leases and read its running and ended runs.
    SendHeartbeat(order::Heartbeat),
    /// Request advice on which workers may run a step.
    RequestAdvice(tickets::AdviceRequest),
    /// Order a worker to change the CPU share of a running task.
    SetShare(order::SetShare),
}

impl Effect {
    /// Returns whether it goes before calls to workers that are not urgent: it starts or looks after
    /// a batch task of the first priority, or stops a task.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        match self {
            Self::Start(start) => start.urgent,
            Self::SendHeartbeat(heartbeat) => heartbeat.urgent,
            Self::Stop(_) => true,
            _ => false,
        }
    }
}
