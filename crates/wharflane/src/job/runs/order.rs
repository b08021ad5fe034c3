//! Messages between the holder of a domain and its workers, independent of the wire format.

use std::net;
use std::time;

use crate::id;
use crate::job::spec;
use crate::size;

/// A worker as listed in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The incarnation of the worker that wrote the entry.
    pub incarnation: id::Incarnation,
    /// The address at which it accepts orders.
    pub addr: net::SocketAddr,
    /// The hall in which it runs.
    pub hall: id::HallId,
    /// The service to which it belongs.
    pub service: id::ServiceId,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Its total capacity.
    pub capacity: size::Size,
    /// Its kind, its rack and any other labels that steps may require.
    pub labels: Vec<String>,
    /// The rack in which it runs, if known.
    pub rack: Option<String>,
}

/// The addressee and the authority of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The incarnation of the worker that is addressed; another one must not carry the order out.
    pub worker: id::Incarnation,
    /// The address at which it accepts orders.
    pub addr: net::SocketAddr,
    /// The task that the order concerns.
    pub task: spec::TaskId,
    /// The run of the task that the order concerns.
    pub run: u32,
    /// The fencing token: the holder's epoch, raised where needed.
    pub epoch: u64,
}

/// An order to start a task; idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The addressee and the authority.
    pub order: Order,
    /// The opaque text from the caller that every task of the job receives.
    pub spec: String,
    /// End of the lease of all runs on the worker, by the worker's clock.
    pub lease_until_ms: u64,
    /// The checkpoint from which to resume; empty for none.
    pub checkpoint: String,
    /// The ticket that permits the step on this worker; empty if none is required.
    pub ticket: String,
    /// Whether it is sent before calls that are not urgent; workers are not told.
    pub urgent: bool,
}

/// An order to change the CPU share of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SetShare {
    /// The addressee and the authority.
    pub order: Order,
    /// The CPU share of the task, from 0 to 100 percent.
    pub percent: u8,
}

/// The answer to an order to start a task, or why there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run exists on the worker.
    Taken {
        /// The clock of the incarnation that answered, in milliseconds; absent if the answer
        /// lacks it.
        clock_ms: Option<u64>,
    },
    /// The worker refused the start.
    Refused(StartRefusal),
    /// Another incarnation answers at the address, so the addressed one is gone.
    Gone,
    /// The worker reports itself unhealthy and did nothing.
    Unwell,
    /// The order was not sent, so it is not carried out: no connection to the worker could be
    /// opened.
    NotSent,
    /// The order was not sent, so it is not carried out: the decision was too old by then.
    TooLate,
    /// No answer came: the order may have been carried out, or may be later.
    Silent,
}

/// Why a worker refuses a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// The same run or a later one has already been stopped or has ended there.
    Old,
    /// The lease in the order has already expired.
    Late,
    /// The worker's free capacity is too small.
    Room,
    /// The ticket is no longer valid there.
    Ticket,
    /// Any other reason; nothing was done.
    Other,
}

/// A heartbeat to a worker: renews the lease of its runs, acknowledges ends, and requests its
/// running and ended runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The incarnation of the worker that is addressed.
    pub worker: id::Incarnation,
    /// The address at which it accepts orders.
    pub addr: net::SocketAddr,
    /// The fencing token: the holder's epoch, raised where needed.
    pub epoch: u64,
    /// The last end that the worker may drop: the results of all ends up to it are committed.
    pub acknowledged_end: u64,
    /// New end of the lease of its runs, by the worker's clock; `None` leaves the lease unchanged.
    pub lease_until_ms: Option<u64>,
    /// How long the worker may hold the answer back until a run ends.
    pub wait: time::Duration,
    /// Whether it is sent before calls that are not urgent; workers are not told.
    pub urgent: bool,
}

/// The result of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeartbeatAnswer {
    /// The worker's running and ended runs.
    Lists(Lists),
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another incarnation answers at the address, so the addressed one is gone.
    Gone,
    /// No usable answer came.
    Silent,
    /// This host was too slow to send the heartbeat, which shows nothing of the worker.
    NotSent,
}

impl HeartbeatAnswer {
    /// Returns the incarnation that answered, if it is known and differs from the addressed one.
    #[must_use]
    pub fn other_incarnation(&self, meant: &id::Incarnation) -> Option<id::Incarnation> {
        let Self::Lists(Lists { born_ms: Some(born_ms), .. }) = self else {
            return None;
        };
        let other = meant.born_ms.is_some_and(|meant_ms| meant_ms != *born_ms);
        other.then(|| id::Incarnation { worker: meant.worker.clone(), born_ms: Some(*born_ms) })
    }
}

/// The runs on a worker and the ends that it has not had acknowledged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lists {
    /// When the answering incarnation started, in milliseconds since 1970; `None` if the worker
    /// does not report it.
    pub born_ms: Option<u64>,
    /// The worker's clock when it answered, in milliseconds.
    pub clock_ms: u64,
    /// The current runs.
    pub running: Vec<Running>,
    /// Ends that are not acknowledged yet, in order.
    pub ended: Vec<Ended>,
    /// Whether the list of ends has its maximum length, so that later ends may be missing from it;
    /// a run in neither list may then have ended.
    pub more_ended: bool,
}

/// A current run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    /// The task that runs.
    pub task: spec::TaskId,
    /// The number of the run.
    pub run: u32,
    /// Progress in percent; long-running tasks report 100 while they work.
    pub percent: u64,
    /// The tail latency of a serving task, in milliseconds; for any other task the CPU in use, in
    /// thousandths of a core.
    pub load: u64,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Sequence number of the end, counted from one by each incarnation of the worker.
    pub number: u64,
    /// The task that ended.
    pub task: spec::TaskId,
    /// The number of the run.
    pub run: u32,
    /// How the run ended.
    pub kind: EndKind,
    /// The last checkpoint that it saved; empty if there is none.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// It completed its work.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// It was ended because another member of its gang ended.
    Broken,
    /// It was ended because the other members of its gang did not start.
    Alone,
}

impl EndKind {
    /// Returns the name used in logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
        }
    }
}
