//! What a holder keeps of jobs and of their tasks that wait or have a worker.

use std::collections;
use std::net;
use std::sync;
use std::time;

use super::order;
use super::progress;
use super::spec;
use crate::id;

/// A job and how far it has come.
#[derive(Debug)]
pub(super) struct Entry {
    /// What was handed in.
    pub job: sync::Arc<spec::Job>,
    /// The version of its row when it was accepted; earlier jobs have lower ones.
    pub accepted_version: u64,
    /// The version of its row as it was read last.
    pub version: u64,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Whether its caller has cancelled it.
    pub cancelled: bool,
    /// How far it has come, ahead of the store by what is not committed yet.
    pub progress: progress::Progress,
    /// The rows of its progress that are to be written.
    pub dirty: collections::BTreeSet<u32>,
    /// Since when it is set aside because the store refuses its progress for good.
    pub set_aside: Option<time::Duration>,
    /// Whether any of its tasks has begun, as far as this holder knows. Not kept: a start that was written
    /// may never have reached its worker, and only workers tell.
    pub begun: bool,
    /// Since when it has ended.
    pub ended: Option<time::Duration>,
    /// How long tasks took that this holder saw at work, by step.
    pub taken: collections::BTreeMap<u32, Taken>,
}

/// How long the tasks of a step took.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Taken {
    /// The runs that worked at full speed from their beginning to their end.
    pub runs: u32,
    /// The time of all of them.
    pub total: time::Duration,
}

impl Entry {
    /// Returns whether none of its tasks has begun; one that was only given a worker has not.
    pub fn waits(&self) -> bool {
        self.active() && !self.begun
    }

    /// Returns whether its tasks are to run.
    pub fn active(&self) -> bool {
        !self.cancelled && !self.progress.phase.ended()
    }
}

/// What is known of a task that has a worker.
#[derive(Clone, Debug)]
pub(super) struct Placed {
    /// The worker.
    pub worker: id::Incarnation,
    /// The number of the start.
    pub run: u32,
    /// What is known of the start.
    pub start_state: StartState,
    /// Until when an order for it may still be carried out, by the worker's clock.
    pub lease_until_ms: u64,
    /// What is in doubt about its start.
    pub doubt: Doubt,
    /// When the worker took the start; nothing where another holder ordered it.
    pub began: Option<time::Duration>,
    /// When a stop was last ordered.
    pub stopped: Option<time::Duration>,
    /// How far it was, in percent, and since when.
    pub progress: (u64, time::Duration),
}

impl Placed {
    /// Returns what is known of a task on an incarnation that may have been given an order for an incarnation before it.
    pub fn orphaned(incarnation: id::Incarnation, before: &Self, now: time::Duration) -> Self {
        Self {
            worker: incarnation,
            run: before.run,
            start_state: StartState::Orphaned,
            lease_until_ms: 0,
            doubt: Doubt { unanswered: 0, fence: before.doubt.fence },
            began: None,
            stopped: None,
            progress: (0, now),
        }
    }
}

/// What is in doubt about the start of a task.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Doubt {
    /// The orders that had no answer.
    pub unanswered: u32,
    /// The highest fence that an order brought; zero where none was given by this holder.
    pub fence: u64,
}

/// What is known of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartState {
    /// It is not committed yet.
    Staged,
    /// The order is under way.
    Ordered,
    /// The order had no answer and is given again at a time.
    Unanswered(time::Duration),
    /// One order had no answer and a later one was refused: the first may still be carried out, so the
    /// task waits until the lease that it brings is over.
    Expiring,
    /// The worker has it, as it said at a time.
    Confirmed(time::Duration),
    /// An earlier holder ordered it.
    Inherited,
    /// It was ordered from an incarnation of the worker that is over, and the order may have reached this one.
    Orphaned,
}

/// A task whose turn has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Ready {
    /// The task.
    pub task: spec::TaskId,
    /// The priority paid for.
    pub priority: u32,
    /// Whether it runs until its job is cancelled.
    pub lasting: bool,
    /// Whether it was at work before.
    pub has_run: bool,
    /// Earlier jobs have lower ones.
    pub accepted_version: u64,
    /// Since when it waits.
    pub since: time::Duration,
}

/// Makes the order for a placed task.
pub(super) fn order_for(
    placed: &Placed,
    addr: net::SocketAddr,
    task: spec::TaskId,
    epoch: u64,
) -> order::Order {
    order::Order { worker: placed.worker.clone(), addr, task, run: placed.run, epoch }
}
