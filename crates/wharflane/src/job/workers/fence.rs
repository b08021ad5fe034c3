//! The fencing token of each worker: the holder's epoch, plus an offset that rises where a start
//! had no answer.
//!
//! Such a start may still be carried out seconds later, unless the worker has seen a higher token
//! by then. So before a start is abandoned, a heartbeat carries a higher token: its answer shows
//! whether the run is there, and if not, that it can't begin any more. Without a heartbeat the
//! start is ruled out only once the lease that it carries has expired by the worker's clock.

use crate::id;
use crate::job::holding;
use crate::job::rows;
use crate::job::runs::order;
use crate::job::runs::work;
use crate::job::spec;

impl holding::Holding {
    /// Returns the fencing token that orders to a worker carry.
    pub(in crate::job) fn fence(&self, worker: &id::Incarnation) -> u64 {
        self.lease.epoch + self.fence_offsets.get(&worker.worker).copied().unwrap_or(0)
    }

    /// Returns whether a fencing token was issued by this holder.
    pub(in crate::job) fn is_own(&self, fence: u64) -> bool {
        rows::same_holder(fence, self.lease.epoch)
    }

    /// Raises the token of a worker above those of all orders to start a task there that are being
    /// abandoned.
    pub(in crate::job) fn raise_fence(&mut self, worker: &id::Incarnation) {
        let fence = self.fence(worker);
        let Some(view) = self.views.get(worker) else {
            return;
        };
        let outstanding = view.tasks.iter().any(|task| {
            self.is_start_abandoned(*task)
                && self.placed.get(task).is_some_and(|p| p.start_orders.fence >= fence)
        });
        if outstanding && self.is_own(fence + 1) {
            tracing::info!(%worker, fence = fence + 1, "fence raised to rule out a late start");
            *self.fence_offsets.entry(worker.worker.clone()).or_insert(0) += 1;
        }
    }

    /// Returns whether the start of a task had no answer and is being abandoned.
    pub(in crate::job) fn is_start_abandoned(&self, task: spec::TaskId) -> bool {
        self.placed.get(&task).is_some_and(|placed| match placed.start_state {
            work::StartState::Expiring => true,
            work::StartState::Unanswered(_) => !self.should_run(task),
            _ => false,
        })
    }

    /// Returns whether a task should run: its job is active and no run of it is done.
    pub(in crate::job) fn should_run(&self, task: spec::TaskId) -> bool {
        self.jobs.get(&task.job).filter(|entry| entry.is_active()).is_some_and(|entry| {
            entry.progress.tasks.get(&task.into()).is_none_or(|state| !state.done)
        })
    }

    /// Returns whether the answer to a heartbeat proves that a start of a task missing from it
    /// can't be carried out any more.
    pub(in crate::job) fn is_start_ruled_out(
        &self,
        task: spec::TaskId,
        fence: u64,
        lists: &order::Lists,
    ) -> bool {
        self.placed.get(&task).is_some_and(|placed| {
            fence > placed.start_orders.fence || lists.clock_ms > placed.lease_until_ms
        })
    }
}
