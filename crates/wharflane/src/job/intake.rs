//! The lifecycle of jobs in a domain: reads accepted jobs, opens their steps in order, ends and
//! expires them.

use std::collections;
use std::ops;
use std::sync;
use std::time;

use super::event;
use super::holding;
use super::learn::learned;
use super::progress;
use super::queue;
use super::rows as job_rows;
use super::runs::work;
use super::spec;
use super::workers::unshown;
use crate::rows;

impl holding::Holding {
    /// Restores what earlier holders learned; whatever is missing is learned anew.
    pub(super) fn restore_learned(&mut self, learned: &[rows::Row]) {
        self.learned = learned::Learned::read(learned);
    }

    /// Loads all jobs of the domain and their progress.
    pub(super) fn load(&mut self, jobs: &[rows::Row], progress: &[rows::Row], now: time::Duration) {
        let mut known = collections::BTreeMap::<spec::JobId, (progress::Progress, u32)>::new();
        let mut starts = Vec::new();
        for row in progress {
            let (Some((job, at)), Some(text)) = (job_rows::progress_row(&row.name), &row.value)
            else {
                tracing::warn!(key = %row.name, "skipped a progress row without a job ID");
                continue;
            };
            let (progress, rows) = known.entry(job).or_default();
            *rows = (*rows).max(at + 1);
            match progress::Progress::decode(text) {
                Ok(mut read) => {
                    starts.extend(self.inherited_starts(job, &mut read, row.version));
                    progress.add_row(at, read);
                }
                Err(err) => {
                    tracing::error!(%job, %err, "progress can't be decoded; the job is not run");
                    self.unreadable.insert(job);
                }
            }
        }
        known.retain(|job, _| !self.unreadable.contains(job));
        let mut read = Vec::new();
        for row in self.take_in_early_cancels(jobs.iter(), now) {
            let Some((job, accepted)) = read_job(row) else {
                // The progress rows stay in the store until the job's row can be read again.
                if let Some(job) = job_of(row) {
                    known.remove(&job);
                    self.unreadable.insert(job);
                }
                continue;
            };
            if self.unreadable.contains(&job) {
                continue;
            }
            // What holds for a job may be told by the row of another one.
            self.take_in_policy(&accepted);
            read.push((job, accepted, row.version));
        }
        for (job, accepted, version) in read {
            let (progress, _) = known.remove(&job).unwrap_or_default();
            self.add_job(job, accepted, version, progress, now);
        }
        for start in starts {
            if self.placed.contains_key(&start.task) {
                self.unshown.inherit(start);
                self.mark_unshown(start.task);
            }
        }
        // An earlier holder removed the rows of these jobs, but not yet their progress.
        self.expired.extend(known.into_iter().map(|(job, (_, rows))| (job, rows)));
    }

    /// Returns the starts in a row of progress that are not shown by what an earlier holder told.
    /// The others count as shown from now on, whatever the row says.
    fn inherited_starts(
        &self,
        job: spec::JobId,
        read: &mut progress::Progress,
        recorded: u64,
    ) -> Vec<unshown::InheritedStart> {
        let mut starts = Vec::new();
        for (position, task) in &mut read.tasks {
            let arrived_until = self.inherited.start_arrived_until(task.unshown, recorded);
            task.unshown &= arrived_until.is_some();
            if let (Some(_), Some(arrived_until)) = (&task.worker, arrived_until) {
                let task = position.of(job);
                starts.push(unshown::InheritedStart { task, recorded, arrived_until });
            }
        }
        starts
    }

    /// Applies rows of accepted or cancelled jobs.
    pub(super) fn apply_job_rows(&mut self, rows: &[rows::Row], now: time::Duration) {
        let parts: Vec<String> = job_rows::job_parts(self.settings.domain).collect();
        let rows = rows.iter().filter(|row| parts.contains(&row.part));
        for row in self.take_in_early_cancels(rows, now) {
            let read = read_job(row).filter(|(job, _)| !self.unreadable.contains(job));
            let Some((job, accepted)) = read else {
                continue;
            };
            let cancelled = accepted.cancelled;
            if let Some(entry) = self.jobs.get_mut(&job) {
                entry.version = entry.version.max(row.version);
            }
            if !self.jobs.contains_key(&job) {
                let queue = accepted.job.queue.clone();
                let is_first_of_queue = !self.policies.knows(&queue);
                self.take_in_policy(&accepted);
                self.add_job(job, accepted, row.version, progress::Progress::default(), now);
                if is_first_of_queue {
                    self.log_if_unconfigured(&queue);
                }
            } else if cancelled {
                self.cancel(job, now);
            }
        }
    }

    /// Adds a job: its tasks with a worker as inherited, those of due rounds as waiting.
    fn add_job(
        &mut self,
        job: spec::JobId,
        accepted: job_rows::Accepted,
        order: u64,
        progress: progress::Progress,
        now: time::Duration,
    ) {
        let job_rows::Accepted { job: spec, cancelled, accepted_ms, .. } = accepted;
        let policy = self.policies.newest(&spec.queue).cloned();
        let policy =
            policy.unwrap_or_else(|| sync::Arc::new(queue::Policy::assumed(&spec.service)));
        self.services.extend([spec.service.clone(), policy.service.clone()]);
        let accepted_ms = if accepted_ms == 0 { self.wall_ms } else { accepted_ms };
        for (position, task) in &progress.tasks {
            let Some(worker) = &task.worker else {
                continue;
            };
            let inherited = work::StartState::Inherited;
            let placed = work::Placed::new(worker.clone(), task.run, now, inherited, now);
            self.placed.insert(position.of(job), placed);
        }
        if !progress.phase.ended() {
            self.inherit_missing(job, &progress, now);
        }
        let lost =
            progress.tasks.iter().filter(|(_, task)| task.losses != progress::Losses::default());
        let lost: Vec<spec::TaskId> = lost.map(|(position, _)| position.of(job)).collect();
        lost.iter().for_each(|task| self.loss_record.inherit(*task, now));
        let ended = progress.phase.ended().then_some(now);
        let begun = progress.tasks.values().any(progress::Task::shows_work);
        let spec = sync::Arc::new(spec);
        let (phase, rounds) = (progress.phase, spec.rounds());
        let due: Vec<u64> = (0..rounds).map(|round| spec.due_ms(round)).collect();
        let entry = work::Entry {
            job: spec,
            policy,
            accepted_version: order,
            version: order,
            accepted_ms,
            cancelled: false,
            progress,
            dirty: collections::BTreeSet::new(),
            set_aside: None,
            begun,
            last_ran: now,
            ended,
            run_times: collections::BTreeMap::new(),
        };
        self.jobs.insert(job, entry);
        if phase.ended() {
            return;
        }
        lost.iter().for_each(|task| self.inherit_withheld(*task, now));
        for (round, due_ms) in (0..rounds).zip(due) {
            if due_ms > self.wall_ms && due_ms > 0 {
                self.future.insert((due_ms, job, round));
            } else {
                self.open_round(job, round);
            }
        }
        tracing::debug!(%job, order, "job added");
        let is_cancelled_early = self.early_cancels.contains(job);
        if is_cancelled_early && !cancelled {
            tracing::warn!(%job, order, "job stored after its cancel, by an earlier version");
        }
        if cancelled || is_cancelled_early {
            self.cancel(job, now);
        }
        self.fail_if_any_exhausted(job, now);
    }

    /// Opens all steps of a round that may start.
    pub(super) fn open_round(&mut self, job: spec::JobId, round: u32) {
        let Some(entry) = self.jobs.get(&job) else {
            return;
        };
        let steps = u32::try_from(entry.job.steps.len()).unwrap_or(0);
        for step in 0..steps {
            self.open_step(job, round, step);
        }
    }

    /// Queues the tasks of a step that are neither done nor placed and have attempts left, if all
    /// steps before it are done.
    pub(super) fn open_step(&mut self, job: spec::JobId, round: u32, step: u32) {
        self.open_tasks(job, round, step, 0..u32::MAX);
    }

    /// Queues a task like `open_step`, which looks at all tasks of its step.
    pub(super) fn open_task(&mut self, task: spec::TaskId) {
        self.open_tasks(task.job, task.round, task.step, task.index..task.index + 1);
    }

    /// Queues those tasks of a step whose indices are in a range.
    fn open_tasks(&mut self, job: spec::JobId, round: u32, step: u32, indices: ops::Range<u32>) {
        let Some(entry) = self.jobs.get(&job) else {
            return;
        };
        let Some(spec) = entry.job.step(step).filter(|_| entry.is_active()) else {
            return;
        };
        let due_ms = entry.job.due_ms(round);
        if due_ms > self.wall_ms && entry.job.repeats.is_some() {
            // The wall clock may have gone back since the round was first opened.
            self.future.insert((due_ms, job, round));
            return;
        }
        let open =
            spec.after.iter().all(|after| entry.progress.step_done(&entry.job, round, *after));
        if !open || self.policies.is_unknown(&entry.job.queue) {
            return;
        }
        let priority = entry.policy.priority;
        for index in indices.start..indices.end.min(spec.count) {
            let task = spec::TaskId { job, round, step, index };
            let state = entry.progress.tasks.get(&task.into());
            let ends = state.is_some_and(|state| state.done || entry.is_exhausted(state));
            let returns = spec.lasting && state.is_some_and(|state| state.run > 0);
            if !ends && !self.placed.contains_key(&task) {
                let (lasting, order, since) = (spec.lasting, entry.accepted_version, self.now);
                let ready = work::Ready {
                    task,
                    priority,
                    lasting,
                    has_run: returns,
                    accepted_version: order,
                    since,
                };
                self.ready.entry(task).or_insert(ready);
            }
        }
        self.changed = true;
    }

    /// Marks the progress row with the job's phase, which callers query, to be written.
    pub(super) fn mark(&mut self, job: spec::JobId) {
        self.mark_row(job, 0);
    }

    /// Marks the progress row that holds a task to be written.
    pub(super) fn mark_task(&mut self, task: spec::TaskId) {
        if let Some(entry) = self.jobs.get(&task.job) {
            let row = progress::Progress::row_of(&entry.job, task.into());
            self.mark_row(task.job, row);
        }
    }

    /// Marks a progress row of a job to be written.
    fn mark_row(&mut self, job: spec::JobId, row: u32) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        let was_clean = entry.dirty.is_empty();
        entry.dirty.insert(row);
        if was_clean && entry.set_aside.is_none() {
            self.dirty.push_back(job);
        }
    }

    /// Records that a task of a job has begun, so that the job no longer counts as waiting.
    pub(super) fn note_begun(&mut self, job: spec::JobId) {
        let Some(entry) = self.jobs.get_mut(&job).filter(|entry| !entry.begun) else {
            return;
        };
        entry.begun = true;
        tracing::debug!(%job, "first task of the job has begun");
    }

    /// Cancels a job and stops its running tasks.
    pub(super) fn cancel(&mut self, job: spec::JobId, now: time::Duration) {
        let Some(entry) = self.jobs.get_mut(&job).filter(|entry| entry.is_active()) else {
            return;
        };
        entry.cancelled = true;
        tracing::info!(%job, was = ?entry.progress.phase, "cancelled");
        self.end_job(job, progress::Phase::Cancelled, now);
    }

    /// Ends a job with a final phase and stops its running tasks.
    pub(super) fn end_job(
        &mut self,
        job: spec::JobId,
        phase: progress::Phase,
        now: time::Duration,
    ) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        entry.progress.phase = phase;
        let first = spec::TaskId { job, round: 0, step: 0, index: 0 };
        let waiting = self.ready.range(first..).take_while(|(task, _)| task.job == job);
        let waiting: Vec<spec::TaskId> = waiting.map(|(task, _)| *task).collect();
        for task in waiting {
            self.ready.remove(&task);
        }
        self.tickets.forget(job);
        self.loss_record.forget_job(job);
        self.release_reservations(|task| task.job == job);
        self.mark(job);
        let tasks = self.placed.range(first..).take_while(|(task, _)| task.job == job);
        let tasks: Vec<spec::TaskId> = tasks.map(|(task, _)| *task).collect();
        for task in tasks {
            self.stop(task, now);
        }
    }

    /// Notes which of these jobs, whose progress was just committed, have ended for good. An end
    /// that is decided but not stored is no reason to remove a job, as nobody can ask for it yet.
    pub(super) fn note_stored_ends(&mut self, jobs: &[spec::JobId], now: time::Duration) {
        for job in jobs {
            let entry = self.jobs.get_mut(job);
            let stored =
                entry.filter(|entry| entry.progress.phase.ended() && entry.dirty.is_empty());
            if let Some(entry) = stored {
                entry.ended.get_or_insert(now);
            }
        }
    }

    /// Removes the rows of jobs that ended long ago. The job's own row goes first, because a job
    /// row without progress would run again.
    pub(super) fn expire(&mut self, now: time::Duration) {
        let keep = self.settings.keep;
        // The steps of a job are needed to release the capacity of its running tasks.
        let has_placed_tasks = |job: spec::JobId| {
            let first = spec::TaskId { job, round: 0, step: 0, index: 0 };
            self.placed.range(first..).next().is_some_and(|(task, _)| task.job == job)
        };
        let expired_jobs = self.jobs.iter_mut().filter(|(job, entry)| {
            entry.ended.is_some_and(|ended| now.saturating_sub(ended) >= keep)
                && !has_placed_tasks(**job)
        });
        for (job, entry) in expired_jobs {
            // If the removal fails, it is retried after another `keep` period.
            entry.ended = Some(now);
            let key = job_rows::job_key(self.settings.domain, *job);
            let txn = rows::Txn {
                expects: vec![rows::Expect { key: key.clone(), version: entry.version }],
                writes: vec![rows::Write { key, value: None }],
            };
            self.out.push(event::Effect::Drop(*job, txn));
        }
    }

    /// Queues a job's progress rows for removal in the next commit, once its own row is gone.
    pub(super) fn handle_row_deleted(&mut self, job: spec::JobId, done: bool) {
        tracing::debug!(%job, done, "removal of an ended job's row answered");
        if let Some(entry) = self.jobs.get(&job).filter(|_| done) {
            self.expired.push((job, progress::Progress::rows(&entry.job)));
        }
    }
}

/// Decodes the row of an accepted job.
fn read_job(row: &rows::Row) -> Option<(spec::JobId, job_rows::Accepted)> {
    let job = job_of(row)?;
    let text = row.value.as_deref()?;
    match serde_json::from_str(text) {
        Ok(accepted) => Some((job, accepted)),
        Err(err) => {
            tracing::error!(%job, %err, "an accepted job can't be read");
            None
        }
    }
}

/// Parses the job's id from the key of its row.
fn job_of(row: &rows::Row) -> Option<spec::JobId> {
    let job = row.name.parse().ok();
    if job.is_none() {
        tracing::warn!(key = %row.name, "skipped a row without a job ID");
    }
    job
}
