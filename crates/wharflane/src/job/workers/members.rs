//! Follows the store's list of workers and applies its changes to the holder's views.

use std::collections;
use std::time;

use crate::id;
use crate::job::holding;
use crate::job::runs::order;
use crate::job::spec;

/// The workers that the store lists, each with the entry of its latest incarnation.
#[derive(Debug, Default)]
pub(in crate::job) struct Members(collections::BTreeMap<id::WorkerId, order::Member>);

impl Members {
    /// Replaces all entries with a complete list, except for entries of later incarnations.
    pub fn replace_all(&mut self, list: &[order::Member]) {
        let before = std::mem::take(&mut self.0);
        for member in list {
            let worker = &member.incarnation.worker;
            self.0.insert(worker.clone(), latest(before.get(worker), member).clone());
        }
    }

    /// Sets or removes the entry of one worker; an entry of an earlier incarnation has no effect.
    pub fn set(&mut self, worker: &id::WorkerId, member: Option<order::Member>) {
        match member {
            Some(member) => {
                let latest = latest(self.0.get(worker), &member).clone();
                self.0.insert(worker.clone(), latest);
            }
            None => drop(self.0.remove(worker)),
        }
    }

    /// Returns the entry of a worker, if it is listed.
    pub fn get(&self, worker: &id::WorkerId) -> Option<&order::Member> {
        self.0.get(worker)
    }

    /// Returns the entries of all listed workers.
    pub fn all(&self) -> impl Iterator<Item = &order::Member> {
        self.0.values()
    }

    /// Returns the number of listed workers.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}

/// Returns the entry of the later incarnation: one written by an earlier incarnation may arrive
/// late and must not replace it.
fn latest<'a>(known: Option<&'a order::Member>, entry: &'a order::Member) -> &'a order::Member {
    match known {
        Some(known) if entry.incarnation.is_before(&known.incarnation) => {
            tracing::info!(
                worker = %entry.incarnation, latest = %known.incarnation,
                "list entry of an earlier incarnation ignored"
            );
            known
        }
        _ => entry,
    }
}

impl holding::Holding {
    /// Applies the whole list of workers to the views.
    pub(in crate::job) fn set_members(&mut self, members: &Members, now: time::Duration) {
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

    /// Marks a worker that the store no longer lists; its loss counts with the next tick if its
    /// leases have expired.
    pub(in crate::job) fn unlist(&mut self, worker: &id::WorkerId) {
        self.changed = true;
        let listed = self
            .views
            .iter()
            .filter(|(incarnation, view)| incarnation.worker == *worker && view.listed);
        let listed: Vec<id::Incarnation> =
            listed.map(|(incarnation, _)| incarnation.clone()).collect();
        for incarnation in listed {
            if let Some(view) = self.views.get_mut(&incarnation) {
                tracing::info!(
                    worker = %incarnation, tasks = view.tasks.len(),
                    "worker no longer listed"
                );
                view.listed = false;
                view.unlisted_since = Some(self.now);
            }
            self.note_unlisted(&incarnation, self.now);
        }
    }

    /// Applies the list entry of one worker to its view, or begins one.
    pub(in crate::job) fn set_member(&mut self, member: order::Member, now: time::Duration) {
        self.changed = true;
        self.note_listed(&member.incarnation);
        let Some(view) = self.views.get_mut(&member.incarnation) else {
            let next = self.views.range(member.incarnation.clone()..).next();
            if next.is_some_and(|(known, _)| member.incarnation.is_before(known)) {
                return tracing::info!(
                    worker = %member.incarnation, "list entry of an earlier incarnation ignored"
                );
            }
            tracing::debug!(
                worker = %member.incarnation, addr = %member.addr, labels = ?member.labels,
                "worker listed for the first time"
            );
            self.correlated.take_back(&member.incarnation);
            self.note_relisted(&member.incarnation, now);
            return self.begin_incarnation(member, true, now);
        };
        if view.member.leaving != member.leaving || !view.listed {
            tracing::info!(worker = %member.incarnation, leaving = member.leaving, "worker listed");
        }
        view.closed = self.closed.contains(&member.hall);
        view.unlisted_since = None;
        let was_listed = std::mem::replace(&mut view.listed, true);
        let incarnation = member.incarnation.clone();
        view.member = member;
        if !was_listed {
            self.note_relisted(&incarnation, now);
        }
    }

    /// Returns whether a task is evicted from a leaving worker.
    ///
    /// A long-running task, or one with checkpoints that is not nearly done, loses less by moving
    /// at once.
    pub(in crate::job) fn should_evict(&self, task: spec::TaskId, percent: u64) -> bool {
        /// The completed part, in percent, from which a task is left to finish.
        const NEARLY_DONE: u64 = 80;
        let entry = self.jobs.get(&task.job);
        let step = entry.and_then(|entry| entry.job.step(task.step));
        step.is_some_and(|step| step.lasting || step.checkpoint && percent < NEARLY_DONE)
    }
}
