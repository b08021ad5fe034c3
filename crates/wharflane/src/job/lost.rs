//! Workers whose incarnation is over, or whose leases have lapsed, and the tasks that were on them.

use std::collections;
use std::time;

use super::holding;
use super::spec;
use super::work;
use super::worker;
use crate::id;

/// The fewest silent workers that speak of the holder's own trouble: fewer than a rack may fail together.
const MANY_SILENT: usize = 4;

impl holding::Holding {
    /// Frees everything on a worker whose incarnation is known to be over.
    pub(super) fn worker_gone(&mut self, worker: &id::Incarnation) {
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        let tasks: Vec<spec::TaskId> = view.tasks.iter().copied().collect();
        tracing::warn!(
            %worker, tasks = tasks.len(), listed = view.listed, leaving = view.member.leaving,
            silent_ms = view.silence(self.now).map(worker::millis), "worker's life is over"
        );
        view.listed = false;
        self.note_end_of_incarnation(worker, &tasks);
        self.free_each(&tasks, "worker gone");
        self.views.remove(worker);
    }

    /// Frees tasks whose worker is lost, tells how long they were at work there as far as that is known, and gives up
    /// those under which too many were lost.
    fn free_lost(&mut self, tasks: &[spec::TaskId], why: &'static str) {
        self.note_loss(tasks);
        self.free_each(tasks, why);
    }

    /// Frees tasks whose worker is lost, once the loss was noted.
    fn free_each(&mut self, tasks: &[spec::TaskId], why: &'static str) {
        for task in tasks {
            if let Some(placed) = self.placed.get(task) {
                tracing::info!(
                    %task, run = placed.run, worker = %placed.worker, why,
                    at_work_ms = self.at_work(placed).map(worker::millis),
                    unanswered = placed.doubt.unanswered, "task freed"
                );
            }
            self.give_back(*task);
            self.give_up_if_lost(*task, self.now);
        }
    }

    /// Frees the tasks of silent workers once everything granted there has lapsed.
    pub(super) fn free_lapsed(&mut self, now: time::Duration) {
        if self.are_many_silent() {
            self.mass_silence_at = Some(now);
        }
        let since = now.saturating_sub(self.doubt_of_own(now));
        let silent = self.views.iter().filter(|(_, view)| {
            (view.misses > 0 || !view.listed) && !view.tasks.is_empty() && view.lapsed(since)
        });
        let silent: Vec<id::Incarnation> = silent.map(|(worker, _)| worker.clone()).collect();
        for worker in silent {
            let Some(view) = self.views.get(&worker) else {
                continue;
            };
            let tasks: Vec<spec::TaskId> = view.tasks.iter().copied().collect();
            tracing::warn!(
                %worker, tasks = tasks.len(), granted_ms = view.granted_ms,
                clock_ms = view.clock_ms(now), "leases of a silent worker have lapsed"
            );
            self.remember_lapsed(&worker, &tasks);
            self.free_lost(&tasks, "lease lapsed");
        }
        self.views
            .retain(|_, view| view.listed || !view.tasks.is_empty() || !view.unrecorded.is_empty());
        self.drop_inherited(now);
    }

    /// Returns how much longer than their leases tasks of silent workers are kept, since the silence may be this host's.
    ///
    /// Where most workers are silent at once, their answers are rather late than they are gone, and the next ones tell
    /// which runs are done. Nothing is lost by waiting: tasks that were freed could only go to the few that answer.
    /// The doubt lasts for a lease after most were silent: they answer one after the other.
    fn doubt_of_own(&self, now: time::Duration) -> time::Duration {
        let hold = self.settings.task_lease;
        let doubted = self.mass_silence_at.is_some_and(|at| now.saturating_sub(at) < hold);
        if doubted { hold } else { time::Duration::ZERO }
    }

    /// Returns whether most of the workers on which something runs don't answer.
    fn are_many_silent(&self) -> bool {
        let busy = self.views.values().filter(|view| view.listed && !view.tasks.is_empty());
        let (silent, all) = busy
            .fold((0, 0), |(silent, all), view| (silent + usize::from(view.misses > 0), all + 1));
        silent >= MANY_SILENT && silent * 2 >= all
    }

    /// Frees tasks inherited on workers that nobody lists, once earlier grants are over.
    fn drop_inherited(&mut self, now: time::Duration) {
        if now < self.inherited_until() {
            return;
        }
        let lost = self.placed.iter().filter(|(_, placed)| {
            placed.start_state == work::StartState::Inherited
                && !self.views.contains_key(&placed.worker)
        });
        let mut by_worker = collections::BTreeMap::<_, Vec<spec::TaskId>>::new();
        for (task, placed) in lost {
            by_worker.entry(placed.worker.clone()).or_default().push(*task);
        }
        for tasks in by_worker.values() {
            self.free_lost(tasks, "lease lapsed, worker unknown");
        }
    }

    /// Returns when everything that earlier holders granted is over.
    pub(super) fn inherited_until(&self) -> time::Duration {
        self.taken + worker::longest(self.inherited)
    }
}
