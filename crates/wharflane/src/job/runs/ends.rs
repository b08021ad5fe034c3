//! Handles reported ends of runs: records them in the progress of their jobs, releases the tasks,
//! and opens the next steps or ends the job.

use std::time;

use crate::id;
use crate::job::holding;
use crate::job::place::gang;
use crate::job::place::outlook;
use crate::job::progress;
use crate::job::runs::order;
use crate::job::runs::work;
use crate::job::spec;

/// Longest expected run time that is learned from, in milliseconds; callers may guess anything.
const MAX_EXPECTED_MS: f64 = 1e9;

impl holding::Holding {
    /// Handles one reported end; ends up to the last handled number are repetitions.
    pub(in crate::job) fn handle_end(
        &mut self,
        worker: &id::Incarnation,
        ended: &order::Ended,
        now: time::Duration,
    ) {
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        if ended.number <= view.last_end_handled {
            tracing::debug!(
                task = %ended.task, run = ended.run, %worker, number = ended.number,
                heard = view.last_end_handled, how = ended.kind.label(), "repeated end ignored"
            );
            return;
        }
        view.last_end_handled = ended.number;
        view.note_end(ended.kind, now);
        let placed = self.placed.get(&ended.task);
        let ours = placed.is_some_and(|p| p.run == ended.run && p.worker == *worker);
        tracing::info!(
            task = %ended.task, run = ended.run, %worker, number = ended.number,
            how = ended.kind.label(), known = ours, "end taken in"
        );
        self.note_begun(ended.task.job);
        if ours && ended.kind == order::EndKind::Done {
            self.record_run_time(ended.task, now);
            self.note_false_alarm(ended);
        }
        let changed = self.note_end(worker, ended);
        if !ours && !changed {
            return;
        }
        self.note_unrecorded(ended.task.job, worker, ended.number);
        if ours {
            self.release(ended.task);
        }
        self.withdraw_later_runs(ended, now);
        self.advance_job(ended.task, now);
    }

    /// Records in the job's progress how a run ended; returns whether that changed anything.
    ///
    /// A run that counts as lost may have ended while its worker was silent, and its end is then
    /// reported late. An acknowledged end is never reported again, so it is recorded even if a
    /// later run has started.
    fn note_end(&mut self, worker: &id::Incarnation, ended: &order::Ended) -> bool {
        let task = ended.task;
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let Some(step) = entry.job.step(task.step) else {
            return false;
        };
        let (lasting, gang) = (step.lasting, step.gang.then_some(step.count));
        let state = entry.progress.tasks.entry(task.into()).or_default();
        let mut changed = state.save(ended.run, &ended.checkpoint);
        if ended.kind == order::EndKind::Failed {
            state.failed_on = Some(worker.clone());
        }
        if !lasting {
            changed |= match gang {
                Some(count) => {
                    gang::note_end(&mut entry.progress, task, count, ended.run, ended.kind)
                }
                None => state.note_end(ended.run, ended.kind),
            };
        }
        if changed {
            self.mark_task(task);
            for index in 0..gang.unwrap_or(0) {
                self.mark_task(spec::TaskId { index, ..task });
            }
        }
        changed
    }

    /// Withdraws the starts of tasks that an earlier run completed: those not yet ordered are
    /// dropped, the others stopped.
    fn withdraw_later_runs(&mut self, ended: &order::Ended, now: time::Duration) {
        if ended.kind != order::EndKind::Done {
            return;
        }
        let entry = self.jobs.get(&ended.task.job);
        let step = entry.and_then(|entry| entry.job.step(ended.task.step));
        let members = match step.filter(|step| step.gang) {
            Some(step) => 0..step.count,
            None => ended.task.index..ended.task.index + 1,
        };
        for index in members {
            let task = spec::TaskId { index, ..ended.task };
            if self.should_run(task) {
                continue;
            }
            self.ready.remove(&task);
            let later = self.placed.get(&task).filter(|placed| placed.run != ended.run);
            if let Some(run) = later.map(|placed| placed.run) {
                tracing::info!(
                    %task, run, done = ended.run,
                    "task completed by an earlier run; withdrawing the later one"
                );
                self.stop(task, now);
            }
        }
    }

    /// Records the run time of a completed task, unless it was throttled or resumed.
    fn record_run_time(&mut self, task: spec::TaskId, now: time::Duration) {
        let Some(placed) = self.placed.get(&task) else {
            return;
        };
        let view = self.views.get(&placed.worker);
        let was_throttled =
            view.and_then(|view| view.filling.get(&task)).is_some_and(|f| f.was_throttled);
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let resumed = placed.run > 1;
        let (Some(began), Some(step)) = (placed.began, entry.job.step(task.step)) else {
            return;
        };
        if was_throttled || resumed {
            return;
        }
        let time = now.saturating_sub(began);
        let expected_ms = outlook::expected_ms(entry, task.step, step, &self.learned.times);
        let expected = time::Duration::from_secs_f64(expected_ms.clamp(0.0, MAX_EXPECTED_MS) / 1e3);
        self.learned.run_times.learn(&entry.job.queue, expected, time);
        self.learned.run_times.store_for_next_holder(&entry.job.queue);
        self.learned.times.learn(&entry.job.queue, step.estimate_ms, time);
        let run_times = entry.run_times.entry(task.step).or_default();
        run_times.runs += 1;
        run_times.total += time;
    }

    /// Fails a job if one of its tasks has failed as often as the job's queue allows and is not at
    /// work: that may also become so by a change of the configuration.
    pub(in crate::job) fn fail_if_any_exhausted(&mut self, job: spec::JobId, now: time::Duration) {
        let Some(entry) = self.jobs.get(&job) else {
            return;
        };
        let is_at_work = |task: &spec::TaskId| {
            let placed = self.placed.get(task);
            placed.is_some_and(|placed| placed.start_state != work::StartState::Staged)
        };
        let exhausted = entry.progress.tasks.iter().filter(|(_, state)| entry.is_exhausted(state));
        let mut exhausted = exhausted.map(|(position, _)| position.of(job));
        if let Some(task) = exhausted.find(|task| !is_at_work(task)) {
            self.fail_if_exhausted(task, now);
        }
    }

    /// Fails a job if one of its tasks has failed as often as the job's queue allows.
    pub(in crate::job) fn fail_if_exhausted(&mut self, task: spec::TaskId, now: time::Duration) {
        let Some(entry) = self.jobs.get(&task.job).filter(|entry| entry.is_active()) else {
            return;
        };
        let state = entry.progress.tasks.get(&task.into());
        let Some(state) = state.filter(|state| entry.is_exhausted(state)) else {
            return;
        };
        let (failures, attempts) = (state.failures(), entry.policy.max_attempts);
        let runs = state.failed_runs.clone();
        let revision = self.policies.revision();
        let assumed = self.policies.is_assumed(&entry.job.queue);
        if revision == 0 || assumed {
            // The end of a job is final, and a configuration not read yet may allow more attempts.
            tracing::info!(
                %task, failures, attempts, assumed, "no attempts left; no configuration read yet"
            );
            return;
        }
        tracing::info!(%task, failures, ?runs, attempts, revision, "job failed");
        self.end_job(task.job, progress::Phase::Failed, now);
    }

    /// Completes or fails a job, or opens further steps, after one of its tasks has ended.
    fn advance_job(&mut self, task: spec::TaskId, now: time::Duration) {
        let Some(entry) = self.jobs.get(&task.job).filter(|entry| entry.is_active()) else {
            return;
        };
        let Some(state) = entry.progress.tasks.get(&task.into()) else {
            return;
        };
        if entry.is_exhausted(state) {
            return self.fail_if_exhausted(task, now);
        }
        if !state.done || !entry.progress.step_done(&entry.job, task.round, task.step) {
            return;
        }
        if entry.progress.all_done(&entry.job) {
            tracing::info!(job = %task.job, "job completed");
            return self.end_job(task.job, progress::Phase::Completed, now);
        }
        let steps = (0u32..).zip(&entry.job.steps);
        let after = steps.filter(|(_, step)| step.after.contains(&task.step));
        let after: Vec<u32> = after.map(|(at, _)| at).collect();
        for step in after {
            self.open_step(task.job, task.round, step);
        }
    }
}
