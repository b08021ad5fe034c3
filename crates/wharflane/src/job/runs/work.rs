//! The holder's records of jobs, of tasks that wait for a worker, and of tasks placed on one.

use std::collections;
use std::net;
use std::sync;
use std::time;

use crate::id;
use crate::job::progress;
use crate::job::queue;
use crate::job::runs::order;
use crate::job::spec;

/// How long a long-running task may be without a worker until it is overdue. The requirement allows
/// 6 s from its last run; the loss of its worker is known up to 2 s late, and a start takes 50 ms.
const MAX_ABSENCE: time::Duration = time::Duration::from_millis(3_000);

/// A job with its progress.
#[derive(Debug)]
pub(in crate::job) struct Entry {
    /// The job as it was submitted.
    pub job: sync::Arc<spec::Job>,
    /// What holds for it by the newest known policy of its queue.
    pub policy: sync::Arc<queue::Policy>,
    /// The version of the job's row at its acceptance; lower for earlier jobs.
    pub accepted_version: u64,
    /// The version of the job's row when it was last read.
    pub version: u64,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Whether its caller has cancelled it.
    pub cancelled: bool,
    /// Its progress, including changes that are not committed yet.
    pub progress: progress::Progress,
    /// The rows of its progress with uncommitted changes.
    pub dirty: collections::BTreeSet<u32>,
    /// Since when it is set aside because the store refuses its progress for good.
    pub set_aside: Option<time::Duration>,
    /// Whether any of its tasks has begun, as far as this holder knows. Not stored: a committed
    /// start may never have reached its worker, and only workers report what began.
    pub begun: bool,
    /// When a worker last answered that it runs one of its tasks, or, before that, when this holder
    /// learned of it.
    pub last_ran: time::Duration,
    /// When this holder first saw its end in the store.
    pub ended: Option<time::Duration>,
    /// The measured run times of its tasks, by step.
    pub run_times: collections::BTreeMap<u32, RunTimes>,
}

/// The measured run times of a step's tasks.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::job) struct RunTimes {
    /// The number of runs at full speed from start to end.
    pub runs: u32,
    /// The sum of the durations of these runs.
    pub total: time::Duration,
}

impl Entry {
    /// Returns whether none of its tasks has begun; a task that only has a worker has not.
    pub fn is_waiting(&self) -> bool {
        self.is_active() && !self.begun
    }

    /// Returns whether a task has failed, and as often as its queue allows.
    pub fn is_exhausted(&self, task: &progress::Task) -> bool {
        !task.done && task.failures() >= self.policy.max_attempts.max(1)
    }

    /// Returns whether its tasks should run.
    pub fn is_active(&self) -> bool {
        !self.cancelled && !self.progress.phase.ended()
    }
}

/// A task that is placed on a worker.
#[derive(Clone, Debug)]
pub(in crate::job) struct Placed {
    /// The worker incarnation that it is placed on.
    pub worker: id::Incarnation,
    /// The number of its run.
    pub run: u32,
    /// Since when it was ready before it was placed.
    pub ready_since: time::Duration,
    /// What is known of the start of the run.
    pub start_state: StartState,
    /// Until when an order for it may still be carried out, by the worker's clock, in milliseconds.
    pub lease_until_ms: u64,
    /// The orders sent for the start.
    pub start_orders: StartOrders,
    /// When the worker confirmed the start; absent if another holder ordered it.
    pub began: Option<time::Duration>,
    /// When a stop was last ordered.
    pub stopped: Option<time::Duration>,
    /// Whether it is stopped because its worker stands still.
    pub moved: bool,
    /// Whether its worker runs it no longer and has not listed its end yet.
    pub end_unlisted: bool,
    /// Its reported progress in percent, and since when it is unchanged.
    pub progress: (u64, time::Duration),
}

impl Placed {
    /// Returns the record of a run of which nothing is ordered by this holder yet.
    pub fn new(
        worker: id::Incarnation,
        run: u32,
        ready_since: time::Duration,
        start_state: StartState,
        now: time::Duration,
    ) -> Self {
        Self {
            worker,
            run,
            ready_since,
            start_state,
            lease_until_ms: 0,
            start_orders: StartOrders::default(),
            began: None,
            stopped: None,
            moved: false,
            end_unlisted: false,
            progress: (0, now),
        }
    }

    /// Returns when the run was first confirmed, or nothing if it is not confirmed.
    pub fn confirmed_at(&self) -> Option<time::Duration> {
        match self.start_state {
            StartState::Confirmed(at) => Some(at),
            _ => None,
        }
    }

    /// Returns the record of a task on an incarnation that may have received an order for an
    /// earlier one.
    pub fn orphaned(incarnation: id::Incarnation, before: &Self, now: time::Duration) -> Self {
        let fence = before.start_orders.fence;
        Self {
            start_orders: StartOrders { fence, ..StartOrders::default() },
            ..Self::new(incarnation, before.run, before.ready_since, StartState::Orphaned, now)
        }
    }
}

/// The orders that this holder sent for one start.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::job) struct StartOrders {
    /// The number of these orders that had no answer.
    pub unanswered: u32,
    /// The number of orders that were not sent although they were due.
    pub not_sent: u32,
    /// The highest fence that one of them carried; zero if this holder sent none.
    pub fence: u64,
}

/// What the holder knows of the start of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::job) enum StartState {
    /// It is not committed yet.
    Staged,
    /// The order is in flight.
    Ordered,
    /// The order had no answer and is sent again at this time.
    Unanswered(time::Duration),
    /// The start is being abandoned: an order without an answer may still be carried out, so the
    /// task waits until a heartbeat rules that out or the lease in the order expires.
    Expiring,
    /// The worker confirmed the run; the time is that of its first confirmation.
    Confirmed(time::Duration),
    /// An earlier holder ordered it, and the worker has not answered this one yet.
    Inherited,
    /// It was ordered from an earlier incarnation of the worker, and this one may have received the
    /// order.
    Orphaned,
}

/// A task that is ready to be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::job) struct Ready {
    /// The task to place.
    pub task: spec::TaskId,
    /// The priority of the job's queue; a lower number goes first.
    pub priority: u32,
    /// Whether it is long-running: it runs until its job is cancelled.
    pub lasting: bool,
    /// Whether it is long-running and has run before.
    pub has_run: bool,
    /// The version of the job's row at its acceptance; lower for earlier jobs.
    pub accepted_version: u64,
    /// Since when it is ready.
    pub since: time::Duration,
}

impl Ready {
    /// Returns whether it is a long-running task that has been without a worker for so long that it
    /// takes precedence, and that preferences give way to it however full its service is.
    pub fn is_overdue(&self, now: time::Duration) -> bool {
        self.has_run && now.saturating_sub(self.since) >= MAX_ABSENCE
    }
}

/// Returns the order that addresses a placed task.
pub(in crate::job) fn order_for(
    placed: &Placed,
    addr: net::SocketAddr,
    task: spec::TaskId,
    epoch: u64,
) -> order::Order {
    order::Order { worker: placed.worker.clone(), addr, task, run: placed.run, epoch }
}
