//! What the holder of a domain and its workers tell each other.

use std::net;
use std::time;

use super::spec;
use crate::id;
use crate::size;

/// A worker as the store lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The incarnation of the worker that the entry tells of.
    pub incarnation: id::Incarnation,
    /// Where it takes orders.
    pub addr: net::SocketAddr,
    /// The hall that it stands in.
    pub hall: id::HallId,
    /// The service that it belongs to.
    pub service: id::ServiceId,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// What it has.
    pub capacity: size::Size,
    /// Its kind, its rack and whatever else steps may ask for.
    pub labels: Vec<String>,
    /// The rack that it stands in, where it is known.
    pub rack: Option<String>,
}

/// To whom an order goes, and with what authority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The incarnation of the worker that is meant.
    pub worker: id::Incarnation,
    /// Where it takes orders.
    pub addr: net::SocketAddr,
    /// The task.
    pub task: spec::TaskId,
    /// The number of the start.
    pub run: u32,
    /// The epoch of the holder.
    pub epoch: u64,
}

/// An order to start a task; repeating it has no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// To whom.
    pub order: Order,
    /// The text that the task is given.
    pub spec: String,
    /// Until when what runs on the worker may run, by the worker's clock.
    pub lease_until_ms: u64,
    /// The progress to go on from; empty for none.
    pub checkpoint: String,
    /// What proves that the worker may run the step; empty where nothing has to.
    pub ticket: String,
}

/// An order to work at a share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pace {
    /// To whom.
    pub order: Order,
    /// The share, from 0 to 100.
    pub percent: u8,
}

/// What became of an order to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is there.
    Taken,
    /// It was refused.
    Refused(StartRefusal),
    /// Another incarnation answers at the address: the one that was meant is over.
    Gone,
    /// The worker is not well and has done nothing.
    Unwell,
    /// No answer came: it may have been done, or may be done later.
    Silent,
}

/// Why a worker refuses a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// It has seen a higher epoch.
    Fenced,
    /// A run that is not lower was stopped or ended there.
    Old,
    /// The time given is over.
    Late,
    /// There is no room.
    Room,
    /// The ticket is not valid there any more.
    Ticket,
    /// Anything else; nothing was done.
    Other,
}

/// A look at a worker: it renews the lease, acknowledges ends, and asks for both lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The incarnation of the worker that is meant.
    pub worker: id::Incarnation,
    /// Where it takes orders.
    pub addr: net::SocketAddr,
    /// The epoch of the holder.
    pub epoch: u64,
    /// Ends up to this number are kept and need not be told again.
    pub seen: u64,
    /// Until when what runs may run, by the worker's clock; nothing leaves the lease as it is.
    pub lease_until_ms: Option<u64>,
    /// How long the answer may wait for an end.
    pub wait: time::Duration,
}

/// What came of a look.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeartbeatAnswer {
    /// Both lists.
    Lists(Lists),
    /// The worker has seen a higher epoch.
    Fenced,
    /// Another incarnation answers at the address: the one that was meant is over.
    Gone,
    /// No useful answer came.
    Silent,
}

impl HeartbeatAnswer {
    /// Returns the incarnation of a worker that answered, where it tells and is not the one that was meant.
    #[must_use]
    pub fn other_incarnation(&self, meant: &id::Incarnation) -> Option<id::Incarnation> {
        let Self::Lists(Lists { born_ms: Some(born_ms), .. }) = self else {
            return None;
        };
        let other = meant.born_ms.is_some_and(|meant_ms| meant_ms != *born_ms);
        other.then(|| id::Incarnation { worker: meant.worker.clone(), born_ms: Some(*born_ms) })
    }
}

/// What runs on a worker and what has ended there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lists {
    /// When the incarnation began that answered, in milliseconds since 1970; nothing where it does not tell.
    pub born_ms: Option<u64>,
    /// The worker's clock when it answered.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<Running>,
    /// Ends that were not acknowledged before, in order.
    pub ended: Vec<Ended>,
}

/// A task that runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    /// The task.
    pub task: spec::TaskId,
    /// The number of the start.
    pub run: u32,
    /// How far it is, in percent; lasting tasks at work have 100.
    pub percent: u64,
    /// For a serving task the tail of its answer times, in milliseconds; else processors in use.
    pub load: u64,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Numbers the ends of one incarnation of the worker, from one.
    pub number: u64,
    /// The task.
    pub task: spec::TaskId,
    /// The number of the start.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// What it saved last; empty for nothing.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// Its work is done.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// The lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

impl EndKind {
    /// Returns the name for logs.
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
