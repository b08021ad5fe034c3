//! The fence of each worker: the holder's epoch, raised for a worker alone where a start had no answer.
//!
//! Such a start may be carried out seconds later, unless the worker has seen a higher fence by then. So a
//! look brings one wherever a start is to be given up: its answer tells whether the run is there, and if it
//! is not, that it never will be. Without it, that is known only once the time is over that the start
//! itself brings, by the clock of an answer.

use super::holding;
use super::order;
use super::rows;
use super::spec;
use super::work;
use crate::id;

impl holding::Holding {
    /// Returns the fence that orders to a worker bring.
    pub(super) fn fence(&self, worker: &id::Incarnation) -> u64 {
        self.lease.epoch + self.fence_offsets.get(&worker.worker).copied().unwrap_or(0)
    }

    /// Returns whether a fence is one of this holder's.
    pub(super) fn is_own(&self, fence: u64) -> bool {
        rows::same_holder(fence, self.lease.epoch)
    }

    /// Raises the fence of a worker above all orders to start a task there that is to be given up.
    pub(super) fn raise_fence(&mut self, worker: &id::Incarnation) {
        let fence = self.fence(worker);
        let Some(view) = self.views.get(worker) else {
            return;
        };
        let below = view.tasks.iter().any(|task| {
            self.gives_up(*task) && self.placed.get(task).is_some_and(|p| p.doubt.fence >= fence)
        });
        if below && self.is_own(fence + 1) {
            tracing::info!(%worker, fence = fence + 1, "fence raised, so that no late start comes");
            *self.fence_offsets.entry(worker.worker.clone()).or_insert(0) += 1;
        }
    }

    /// Returns whether the start of a task had no answer and is not wanted there any more.
    pub(super) fn gives_up(&self, task: spec::TaskId) -> bool {
        self.placed.get(&task).is_some_and(|placed| match placed.start_state {
            work::StartState::Expiring => true,
            work::StartState::Unanswered(_) => !self.should_run(task),
            _ => false,
        })
    }

    /// Returns whether a task is to run: its job is, and no run of it is done.
    pub(super) fn should_run(&self, task: spec::TaskId) -> bool {
        self.jobs.get(&task.job).filter(|entry| entry.active()).is_some_and(|entry| {
            entry.progress.tasks.get(&task.into()).is_none_or(|state| !state.done)
        })
    }

    /// Returns whether the answer to a look proves that no start of a task which it does not show can come
    /// any more.
    pub(super) fn is_over(&self, task: spec::TaskId, fence: u64, lists: &order::Lists) -> bool {
        self.placed.get(&task).is_some_and(|placed| {
            fence > placed.doubt.fence || lists.clock_ms > placed.lease_until_ms
        })
    }
}
