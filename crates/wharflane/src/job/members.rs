//! The workers that the store lists, as a holder follows them.

use std::collections;
use std::time;

use super::holding;
use super::order;
use super::spec;
use crate::id;

/// The workers that the store lists, each by its latest incarnation.
#[derive(Debug, Default)]
pub(super) struct Members(collections::BTreeMap<id::WorkerId, order::Member>);

impl Members {
    /// Takes in the whole list.
    pub fn list(&mut self, list: &[order::Member]) {
        let before = std::mem::take(&mut self.0);
        for member in list {
            let worker = &member.incarnation.worker;
            self.0.insert(worker.clone(), latest(before.get(worker), member).clone());
        }
    }

    /// Takes in the entry of one worker.
    pub fn set(&mut self, worker: &id::WorkerId, member: Option<order::Member>) {
        match member {
            Some(member) => {
                let latest = latest(self.0.get(worker), &member).clone();
                self.0.insert(worker.clone(), latest);
            }
            None => drop(self.0.remove(worker)),
        }
    }

    /// Returns what the store lists of a worker.
    pub fn get(&self, worker: &id::WorkerId) -> Option<&order::Member> {
        self.0.get(worker)
    }

    /// Returns all workers that are listed.
    pub fn all(&self) -> impl Iterator<Item = &order::Member> {
        self.0.values()
    }

    /// Returns how many workers are listed.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}

/// Returns the entry of the later incarnation. One that the incarnation before wrote may come late, and replaces nothing.
fn latest<'a>(known: Option<&'a order::Member>, entry: &'a order::Member) -> &'a order::Member {
    match known {
        Some(known) if entry.incarnation.is_before(&known.incarnation) => {
            tracing::info!(worker = %entry.incarnation, latest = %known.incarnation, "entry of a life that is over passed over");
            known
        }
        _ => entry,
    }
}

impl holding::Holding {
    /// Takes in the whole list of workers.
    pub(super) fn set_members(&mut self, members: &Members, now: time::Duration) {
        let known = self.views.keys().map(|incarnation| &incarnation.worker);
        let gone = known.filter(|worker| members.get(worker).is_none());
        let gone: Vec<id::WorkerId> = gone.cloned().collect();
        for worker in gone {
            self.unlist(&worker);
        }
        for member in members.all() {
            self.set_member(member.clone(), now);
        }
    }

    /// Notes that the store does not list a worker any more.
    pub(super) fn unlist(&mut self, worker: &id::WorkerId) {
        self.changed = true;
        let listed = self
            .views
            .iter()
            .filter(|(incarnation, view)| incarnation.worker == *worker && view.listed);
        let listed: Vec<id::Incarnation> =
            listed.map(|(incarnation, _)| incarnation.clone()).collect();
        for incarnation in listed {
            if let Some(view) = self.views.get_mut(&incarnation) {
                tracing::info!(worker = %incarnation, tasks = view.tasks.len(), "worker not listed any more");
                view.listed = false;
            }
            self.note_lapsed_loss(&incarnation);
        }
    }

    /// Takes in what the store lists of one worker.
    pub(super) fn set_member(&mut self, member: order::Member, now: time::Duration) {
        self.changed = true;
        let Some(view) = self.views.get_mut(&member.incarnation) else {
            let next = self.views.range(member.incarnation.clone()..).next();
            if next.is_some_and(|(known, _)| member.incarnation.is_before(known)) {
                return tracing::info!(worker = %member.incarnation, "entry of a life that is over passed over");
            }
            tracing::debug!(
                worker = %member.incarnation, addr = %member.addr, labels = ?member.labels, "worker listed first"
            );
            return self.begin_incarnation(member, true, now);
        };
        if view.member.leaving != member.leaving || !view.listed {
            tracing::info!(worker = %member.incarnation, leaving = member.leaving, "worker listed");
        }
        view.closed = self.closed.contains(&member.hall);
        view.member = member;
        view.listed = true;
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
