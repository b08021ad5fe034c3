//! What happens to an engine, what it asks for, and how it is timed.

use std::net;
use std::sync;
use std::time;

use super::closed;
use super::order;
use super::queue;
use super::rows as kept;
use super::spec;
use super::tickets;
use crate::id;
use crate::rows;

/// How an engine is timed.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The domain.
    pub domain: u32,
    /// How long a lease row must stand unchanged before another host may take it.
    pub lease: time::Duration,
    /// How much earlier a holder stops by itself, for clocks that run apart.
    pub margin: time::Duration,
    /// Where this process listens, for as long as it runs.
    pub addr: Option<net::SocketAddr>,
    /// How long a lease row must stand unchanged before its holder's process is looked for.
    pub probe: time::Duration,
    /// How long it must stand unchanged before it is taken from a holder whose host is silent.
    pub silence: time::Duration,
    /// How much longer than others this host waits before it takes a lease: hosts too weak to hold a domain
    /// with ease leave it to stronger ones.
    pub takeover_delay: time::Duration,
    /// The time between two reads of a lease that another host holds.
    pub poll: time::Duration,
    /// The least time between two commits.
    pub commit: time::Duration,
    /// The longest time between two commits.
    pub renew: time::Duration,
    /// The lease of tasks on a worker.
    pub task_lease: time::Duration,
    /// The longest lease that a worker grants, which earlier holders may have asked for.
    pub task_lease_max: time::Duration,
    /// The longest time that a stop of a task takes.
    pub stop: time::Duration,
    /// How long a look waits for an end.
    pub heartbeat_wait: time::Duration,
    /// The time between two looks at a worker where nothing runs.
    pub idle_heartbeat_gap: time::Duration,
    /// How long an ended job can be asked for.
    pub keep: time::Duration,
    /// How long a new holder that can't hear which halls are closed starts nothing.
    pub closed_wait: time::Duration,
    /// What this host's link carries in a second, in bytes; nothing where it is not known.
    pub link_bytes_per_s: Option<u64>,
}

/// What the host of a holder answers to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The process listens, or its host takes connections for it.
    Listens,
    /// Nothing listens there.
    Refused,
    /// No answer came: the host has no power, or can't be reached.
    Silent,
}

/// What happens to an engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick {
        /// The time of day, in milliseconds since 1970.
        wall_ms: u64,
    },
    /// The lease row was read: a version and a value, or nothing for an absent row.
    LeaseRead(Option<(u64, kept::Lease)>),
    /// The lease row could not be read.
    LeaseUnread,
    /// The process of a holder was looked for.
    Probed {
        /// The version of the lease row that named it.
        version: u64,
        /// What its host answered.
        sign: ProbeResult,
    },
    /// All rows of the domain were read.
    Loaded {
        /// The accepted jobs.
        jobs: Vec<rows::Row>,
        /// How far they have come.
        progress: Vec<rows::Row>,
        /// What holders before have learned.
        learned: Vec<rows::Row>,
    },
    /// The rows of the domain could not be read.
    LoadFailed,
    /// A transaction was answered, refused for good, or its answer was lost.
    Txn {
        /// Which one.
        number: u64,
        /// What is known of it.
        outcome: rows::Outcome,
    },
    /// The row of an old job was removed, or not.
    Dropped {
        /// The job.
        job: spec::JobId,
        /// Whether it is gone.
        done: bool,
    },
    /// Rows of accepted jobs were written or read anew.
    Jobs(Vec<rows::Row>),
    /// All jobs that were accepted up to a time of the store's clock were told before this.
    JobsReadUpTo {
        /// The time, in milliseconds.
        up_to_ms: u64,
    },
    /// The store's list of workers was read as a whole.
    Listed(Vec<order::Member>),
    /// One worker was listed, or is not any more.
    Member(id::WorkerId, Option<order::Member>),
    /// The queues changed.
    Queues(sync::Arc<queue::Queues>),
    /// It was heard which halls are closed, changed or not.
    Closed(closed::ClosedHalls),
    /// A worker answered an order to start, or did not.
    Started {
        /// The order.
        order: order::Order,
        /// The answer.
        answer: order::StartAnswer,
    },
    /// A worker did not take an order to stop, or left it without an answer.
    StopNotTaken(order::Order),
    /// A worker answered a look, or did not.
    HeartbeatAnswered {
        /// The incarnation of the worker that was meant.
        worker: id::Incarnation,
        /// The epoch of the look.
        epoch: u64,
        /// The answer.
        answer: order::HeartbeatAnswer,
    },
    /// A question about the workers of a step was answered, or was not.
    Advised {
        /// The question.
        question: tickets::AdviceRequest,
        /// The answer.
        answer: Option<tickets::Advice>,
    },
    /// This host is about to stop.
    Leave,
    /// This host has become too slow to hold a domain.
    Yield,
}

/// What an engine asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Read the lease row.
    ReadLease,
    /// Look for the process of a holder.
    Probe {
        /// The version of the lease row that names it.
        version: u64,
        /// Where it listened.
        addr: net::SocketAddr,
    },
    /// Read all rows of the domain.
    Load,
    /// Send a transaction.
    Txn(u64, rows::Txn),
    /// Remove the row of a job that ended long ago.
    Drop(spec::JobId, rows::Txn),
    /// Start a task.
    Start(order::Start),
    /// Stop a task.
    Stop(order::Order),
    /// Look at a worker.
    SendHeartbeat(order::Heartbeat),
    /// Ask which workers may run a step.
    Ask(tickets::AdviceRequest),
    /// Change the share at which a task works.
    Pace(order::Pace),
}
