//! Frees the tasks of workers that ended, or whose leases have expired without an answer.

use std::collections;
use std::time;

use crate::id;
use crate::job::holding;
use crate::job::runs::work;
use crate::job::spec;
use crate::job::workers::worker;

/// Minimum number of silent workers that suggests a fault of this host; fewer may fail together
/// with their rack.
const MIN_MASS_SILENCE: usize = 4;

impl holding::Holding {
    /// Frees all tasks of a worker incarnation that is known to be over.
    pub(in crate::job) fn remove_worker(&mut self, worker: &id::Incarnation) {
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        let tasks: Vec<spec::TaskId> = view.tasks.iter().copied().collect();
        tracing::warn!(
            %worker, tasks = tasks.len(), listed = view.listed, leaving = view.member.leaving,
            silent_ms = view.silence(self.now).map(worker::millis), "worker incarnation ended"
        );
        view.listed = false;
        self.handle_incarnation_end(worker, &tasks);
        self.free_tasks(&tasks, "worker gone");
        self.views.remove(worker);
    }

    /// Frees tasks whose worker is lost, or may be.
    fn free_tasks(&mut self, tasks: &[spec::TaskId], why: &'static str) {
        for task in tasks {
            if let Some(placed) = self.placed.get(task) {
                tracing::info!(
                    %task, run = placed.run, worker = %placed.worker, why,
                    at_work_ms = self.at_work(placed).map(worker::millis),
                    unanswered = placed.start_orders.unanswered, "task freed"
                );
            }
            self.release(*task);
            self.fail_job_after_losses(*task, self.now);
        }
    }

    /// Frees the tasks of silent workers once all leases granted there have expired.
    pub(in crate::job) fn free_expired(&mut self, now: time::Duration) {
        if self.are_most_silent() {
            self.mass_silence_at = Some(now);
        }
        let since = now.saturating_sub(self.silence_allowance(now));
        let silent = self.views.iter().filter(|(_, view)| {
            (view.missed_heartbeats > 0 || !view.listed)
                && !view.tasks.is_empty()
                && view.leases_expired(since)
        });
        let silent: Vec<id::Incarnation> = silent.map(|(worker, _)| worker.clone()).collect();
        for worker in silent {
            let Some(view) = self.views.get(&worker) else {
                continue;
            };
            let (granted_ms, clock_ms) = (view.granted_until_ms, view.clock_ms(now));
            let tasks = view.tasks.iter().copied().collect();
            let tasks = self.keep_unshown(tasks, since);
            if tasks.is_empty() {
                continue;
            }
            tracing::warn!(
                %worker, tasks = tasks.len(), granted_ms, clock_ms,
                "leases of a silent worker have expired"
            );
            self.record_missing(&worker, &tasks, now);
            self.free_tasks(&tasks, "lease expired");
        }
        self.free_inherited(now);
        self.count_missing_workers(now);
        self.remove_unlisted(now);
    }

    /// Removes workers that are not listed any more and of which nothing is expected.
    fn remove_unlisted(&mut self, now: time::Duration) {
        let idle = |view: &worker::View| {
            !view.listed
                && !view.may_have_unknown_runs(now)
                && view.tasks.is_empty()
                && view.unrecorded.is_empty()
                && !self.missing_workers.contains(&view.member.incarnation)
        };
        let over = self.views.iter().filter(|(_, view)| idle(view));
        let over: Vec<id::Incarnation> = over.map(|(worker, _)| worker.clone()).collect();
        for worker in over {
            self.note_lost_worker(&worker, Vec::new(), Vec::new());
            self.views.remove(&worker);
        }
    }

    /// Returns how long after the expiry of their leases tasks of silent workers are freed, since
    /// the silence may be this host's fault.
    ///
    /// If most workers are silent at once, they are more likely slow to answer than gone, and their
    /// next answers report which runs are done. Waiting costs nothing, since freed tasks could only
    /// go to the few workers that answer. The extension applies for one lease time after most were
    /// silent, because they answer one after the other.
    fn silence_allowance(&self, now: time::Duration) -> time::Duration {
        let task_lease = self.settings.task_lease;
        let extended = self.mass_silence_at.is_some_and(|at| now.saturating_sub(at) < task_lease);
        if extended { task_lease } else { time::Duration::ZERO }
    }

    /// Returns whether at least half of the busy workers, and no fewer than `MIN_MASS_SILENCE`,
    /// don't answer.
    fn are_most_silent(&self) -> bool {
        let busy = self.views.values().filter(|view| view.listed && !view.tasks.is_empty());
        let (silent, all) = busy.fold((0, 0), |(silent, all), view| {
            (silent + usize::from(view.missed_heartbeats > 0), all + 1)
        });
        silent >= MIN_MASS_SILENCE && silent * 2 >= all
    }

    /// Frees inherited tasks on workers that are not listed, once the leases from earlier holders
    /// have expired.
    fn free_inherited(&mut self, now: time::Duration) {
        if now < self.inherited.leases.until {
            return;
        }
        let lost = self.placed.iter().filter(|(_, placed)| {
            placed.start_state == work::StartState::Inherited
                && !self.views.contains_key(&placed.worker)
                && now >= self.inherited.on(&placed.worker).until
        });
        let mut by_worker = collections::BTreeMap::<_, Vec<spec::TaskId>>::new();
        for (task, placed) in lost {
            by_worker.entry(placed.worker.clone()).or_default().push(*task);
        }
        for (worker, tasks) in by_worker {
            let tasks = self.keep_unshown(tasks, now);
            if tasks.is_empty() {
                continue;
            }
            self.record_missing(&worker, &tasks, now);
            self.free_tasks(&tasks, "lease expired; worker unknown");
        }
    }
}
