//! The workers that the store lists, as a holder follows them.

use std::collections;
use std::time;

use super::holding;
use super::order;
use super::spec;
use super::work;
use super::worker;
use crate::id;

impl holding::Holding {
    /// Takes in the whole list of workers.
    pub(super) fn set_members(
        &mut self,
        members: &collections::BTreeMap<id::WorkerId, order::Member>,
        now: time::Duration,
    ) {
        let gone: Vec<id::WorkerId> =
            self.views.keys().filter(|worker| !members.contains_key(worker)).cloned().collect();
        for worker in gone {
            self.set_member(&worker, None, now);
        }
        for (worker, member) in members {
            self.set_member(worker, Some(member.clone()), now);
        }
    }

    /// Takes in what the store lists of one worker.
    pub(super) fn set_member(
        &mut self,
        worker: &id::WorkerId,
        member: Option<order::Member>,
        now: time::Duration,
    ) {
        self.changed = true;
        let Some(member) = member else {
            if let Some(view) = self.views.get_mut(worker).filter(|view| view.listed) {
                tracing::info!(%worker, tasks = view.tasks.len(), "worker not listed any more");
                view.listed = false;
            }
            return;
        };
        if let Some(view) = self.views.get_mut(worker) {
            if view.member.leaving != member.leaving || !view.listed {
                tracing::info!(%worker, leaving = member.leaving, "worker listed");
            }
            view.closed = self.closed.contains(&member.hall);
            view.member = member;
            view.listed = true;
            return;
        }
        tracing::debug!(%worker, addr = %member.addr, labels = ?member.labels, "worker listed first");
        let mut view = worker::View::new(member, self.inherited_until(), now);
        view.closed = self.closed.contains(&view.member.hall);
        for (task, placed) in self.placed.iter().filter(|(_, placed)| placed.worker == *worker) {
            let entry = self.jobs.get(&task.job);
            if let Some(step) = entry.and_then(|entry| entry.job.step(task.step)) {
                debug_assert_eq!(placed.link, work::Link::Inherited, "known before it is listed");
                let image = self.learned.harm.image(step.image.as_deref());
                view.add(*task, step, image);
            }
        }
        self.views.insert(worker.clone(), view);
    }

    /// Returns whether a task is to be taken off a worker that is about to leave.
    ///
    /// A task that lasts, or saves its progress and is not nearly done, loses less by going now.
    pub(super) fn leaves(&self, task: spec::TaskId, percent: u64) -> bool {
        /// From here on a task is left to its end, in percent of its work.
        const NEARLY_DONE: u64 = 80;
        let entry = self.jobs.get(&task.job);
        let step = entry.and_then(|entry| entry.job.step(task.step));
        step.is_some_and(|step| step.lasting || step.checkpoint && percent < NEARLY_DONE)
    }
}
