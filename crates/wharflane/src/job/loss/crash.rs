//! Counts losses of workers against the tasks that were there.
//!
//! Nothing reports why a worker was lost: a task may have crashed it, or it failed for another
//! reason. So a loss counts against every task that was placed there, and the next starts of these
//! tasks are isolated, more strictly with each loss (see `isolation`). A culprit then crashes its
//! next workers while it runs by itself, and its former neighbours run on other workers. What
//! follows from the counts is decided in `verdict`.

use std::time;

use crate::id;
use crate::job::holding;
use crate::job::loss::evidence;
use crate::job::loss::loss_record;
use crate::job::loss::verdict;
use crate::job::progress;
use crate::job::runs::work;
use crate::job::spec;
use crate::job::workers::worker;

/// How long a task must have run, by its worker's own answers, until its start is ruled out as the
/// cause of a loss; the answer to a heartbeat may be delayed as long.
pub(in crate::job) const CLEARED_AFTER: time::Duration = time::Duration::from_millis(1_000);
/// How long a task must have run until earlier losses no longer count against it.
pub(in crate::job) const FORGIVEN_AFTER: time::Duration = time::Duration::from_secs(30);
/// How long after its last answer most losses of a worker are known; the store's list may drop it
/// later. Workers that run nothing answer less often.
pub(in crate::job) const MAX_DETECTION: time::Duration = time::Duration::from_millis(2_000);

impl holding::Holding {
    /// Handles the end of a worker's incarnation.
    pub(in crate::job) fn handle_incarnation_end(
        &mut self,
        worker: &id::Incarnation,
        tasks: &[spec::TaskId],
    ) {
        let view = self.views.get(worker);
        let planned = view.is_some_and(|view| view.member.leaving);
        let last_answer = view.and_then(|view| view.last_answer).map(|(_, at)| at);
        let earliest = self.now.saturating_sub(MAX_DETECTION);
        let lost_at = last_answer.map_or(self.now, |at| at.max(earliest));
        let expired = self.count_missing(worker, evidence::Evidence::Replaced);
        let cause = expired.max(self.count_replaced(tasks));
        if !planned {
            self.note_lost_worker(worker, Vec::new(), Vec::new());
            self.loss_record.note_end(&worker.worker, cause, lost_at, self.now);
        }
    }

    /// Counts the loss of a worker that was replaced against each task that is still placed there,
    /// and returns its possible cause.
    fn count_replaced(&mut self, tasks: &[spec::TaskId]) -> loss_record::Cause {
        let worker = tasks.first().and_then(|task| self.placed.get(task));
        let Some(worker) = worker.map(|placed| placed.worker.clone()) else {
            return loss_record::Cause::NoSuspect;
        };
        let present = tasks.iter().filter_map(|task| self.presence(*task));
        let present: Vec<Presence> = present.collect();
        let known = (LossKnown::WhilePlaced, evidence::Evidence::Replaced);
        self.count_losses(&worker, &present, known)
    }

    /// Returns how tasks are present that may have been ordered, whatever became of their worker.
    pub(in crate::job) fn ordered_presences(&self, tasks: &[spec::TaskId]) -> Vec<Presence> {
        let placed = tasks.iter().filter_map(|task| Some((*task, self.placed.get(task)?)));
        let ordered =
            placed.filter(|(_, placed)| may_have_received_order(placed) && !placed.end_unlisted);
        let present = ordered.filter(|(task, placed)| !self.is_counted(*task, placed));
        present.map(|(task, placed)| self.presence_of(task, placed)).collect()
    }

    /// Counts the loss of a worker that was missing before its end was known, and returns its
    /// possible cause.
    pub(in crate::job) fn count_missing(
        &mut self,
        worker: &id::Incarnation,
        evidence: evidence::Evidence,
    ) -> loss_record::Cause {
        let present = self.take_missing(worker);
        if self.views.get(worker).is_some_and(|view| view.member.leaving) {
            return loss_record::Cause::NoSuspect;
        }
        self.count_expired(worker, &present, evidence)
    }

    /// Counts the loss of a worker against tasks that are no longer placed there, and returns its
    /// possible cause.
    pub(in crate::job) fn count_expired(
        &mut self,
        worker: &id::Incarnation,
        present: &[Presence],
        evidence: evidence::Evidence,
    ) -> loss_record::Cause {
        let cause = self.count_losses(worker, present, (LossKnown::AfterExpiry, evidence));
        for presence in present {
            self.fail_job_after_losses(presence.task, self.now);
        }
        cause
    }

    /// Counts one loss against each task that was there and returns its possible cause.
    fn count_losses(
        &mut self,
        worker: &id::Incarnation,
        present: &[Presence],
        (known, evidence): (LossKnown, evidence::Evidence),
    ) -> loss_record::Cause {
        if present.is_empty() {
            return loss_record::Cause::NoSuspect;
        }
        let repeated = present.iter().filter(|presence| self.has_losses(presence.task));
        let repeated = repeated.map(|presence| presence.began).collect();
        let suspects = present.iter().filter(|presence| presence.is_suspect()).count();
        let mut losses = Vec::new();
        for presence in present {
            losses.extend(self.count_loss(worker, *presence, suspects, (known, evidence)));
        }
        self.counted_losses.add(worker, evidence, &losses, self.now);
        self.note_lost_worker(worker, repeated, losses);
        if suspects > 0 { loss_record::Cause::Suspect } else { loss_record::Cause::NoSuspect }
    }

    /// Returns how a task was present when its worker was lost, or nothing if the task can't have
    /// caused the loss.
    fn presence(&self, task: spec::TaskId) -> Option<Presence> {
        let placed = self.placed.get(&task).filter(|placed| self.may_have_caused_loss(placed))?;
        (!self.is_counted(task, placed)).then(|| self.presence_of(task, placed))
    }

    /// Returns whether an earlier holder counted the loss of a run's worker and moved the run to
    /// the worker's next incarnation: a loss counts once.
    fn is_counted(&self, task: spec::TaskId, placed: &work::Placed) -> bool {
        placed.start_state == work::StartState::Inherited && self.starts(task).lost == placed.run
    }

    /// Returns how a placed task is present on its worker.
    pub(in crate::job) fn presence_of(
        &self,
        task: spec::TaskId,
        placed: &work::Placed,
    ) -> Presence {
        let seen_before = self.starts(task).at_work == placed.run;
        let at_work = self.at_work(placed).max(seen_before.then_some(CLEARED_AFTER));
        Presence { task, run: placed.run, at_work, began: placed.confirmed_at() }
    }

    /// Counts a loss against one task that should still run, and returns what was counted;
    /// `suspects` is the number of suspects there.
    fn count_loss(
        &mut self,
        worker: &id::Incarnation,
        presence: Presence,
        suspects: usize,
        (known, evidence): (LossKnown, evidence::Evidence),
    ) -> Option<CountedLoss> {
        let Presence { task, run, at_work, began } = presence;
        let view = self.views.get(worker);
        let listed = view.map(|view| view.listed);
        let silent_ms = view.and_then(|view| view.silent_since);
        let silent_ms = silent_ms.map(|since| worker::millis(self.now.saturating_sub(since)));
        let suspected = presence.is_suspect();
        let steady = self.loss_record.recent_ends(&worker.worker, self.now) == 0;
        let should_run = self.should_run(task);
        let entry = self.jobs.get_mut(&task.job).filter(|_| should_run)?;
        let state = entry.progress.tasks.entry(task.into()).or_default();
        state.starts.lost = state.starts.lost.max(run);
        state.starts.worked_ms += at_work.map_or(0, worker::millis);
        let losses = &mut state.losses;
        losses.suspected += u32::from(suspected);
        losses.unexplained += u32::from(!suspected);
        // A start without an answer may never have arrived, since its worker may have failed
        // before. A worker that was silent beyond its leases may have failed at any time since, and
        // an unsteady one for a reason of its own.
        let at_its_start = at_work.is_some() && known == LossKnown::WhilePlaced;
        let sole_suspect = suspected && suspects == 1 && at_its_start && steady;
        losses.sole_suspect += u32::from(sole_suspect);
        tracing::warn!(
            %task, run, %worker, suspected, suspects, at_work_ms = at_work.map(worker::millis),
            times_suspected = losses.suspected, times_alone = losses.sole_suspect,
            times_unexplained = losses.unexplained, silent_ms, listed, ?known, ?evidence,
            "worker lost under a task"
        );
        self.loss_record.add(task, &worker.worker);
        self.mark_task(task);
        Some(CountedLoss { task, began, suspected, sole_suspect })
    }

    /// Returns whether the task may have caused the loss of its worker: the worker was not leaving,
    /// is no longer listed, and may have received an order for the task, whose run had not ended.
    fn may_have_caused_loss(&self, placed: &work::Placed) -> bool {
        let view = self.views.get(&placed.worker);
        let other_cause = view.is_some_and(|view| view.member.leaving || view.listed);
        may_have_received_order(placed) && !placed.end_unlisted && !other_cause
    }

    /// Returns how long a task had run when its worker last answered, or nothing if no answer
    /// confirmed it.
    pub(in crate::job) fn at_work(&self, placed: &work::Placed) -> Option<time::Duration> {
        let since = placed.confirmed_at()?;
        let (_, answered) = self.views.get(&placed.worker)?.last_answer?;
        Some(answered.saturating_sub(since))
    }

    /// Notes when a task that leaves its worker last ran there, by the worker's own answers.
    pub(in crate::job) fn note_last_ran(&mut self, task: spec::TaskId) {
        let Some(placed) = self.placed.get(&task) else {
            return;
        };
        let Some(since) = placed.confirmed_at() else {
            return;
        };
        let answered = self.views.get(&placed.worker).and_then(|view| view.last_answer);
        let last_ran = answered.map_or(since, |(_, answered)| answered.max(since));
        if let Some(entry) = self.jobs.get_mut(&task.job) {
            entry.last_ran = entry.last_ran.max(last_ran);
        }
    }

    /// Returns the number of missing workers under a task, which may still turn out to be lost.
    pub(in crate::job) fn undecided_losses(&self, task: spec::TaskId) -> u32 {
        let missing = self.state(task).map_or(0, |state| state.missing.len());
        u32::try_from(missing).unwrap_or(u32::MAX)
    }

    /// Counts the end of a run without a loss if three workers were lost under its task before,
    /// since the task then has few starts left, however they end.
    pub(in crate::job) fn note_other_end(&mut self, task: spec::TaskId, placed: &work::Placed) {
        let view = self.views.get(&placed.worker);
        let planned = placed.stopped.is_some() || view.is_some_and(|view| view.member.leaving);
        let undecided = self.missing_workers.contains_run(&placed.worker, task, placed.run);
        let began = matches!(placed.start_state, work::StartState::Confirmed(_));
        if planned || undecided || !began || self.losses(task).all() < verdict::MAX_SUSPECTED_LOSSES
        {
            return;
        }
        let entry = self.jobs.get_mut(&task.job);
        let state = entry.and_then(|entry| entry.progress.tasks.get_mut(&task.into()));
        let Some(state) = state.filter(|state| !state.done && state.starts.lost != placed.run)
        else {
            return;
        };
        state.starts.others += 1;
        tracing::info!(
            %task, run = placed.run, others = state.starts.others,
            "counted the end of a start without a loss of its worker"
        );
    }

    /// Clears a running task of the suspicion that its start crashes workers, and releases its
    /// worker once isolation may end.
    pub(in crate::job) fn clear_suspect(&mut self, task: spec::TaskId) {
        let Some(placed) = self.placed.get(&task) else {
            return;
        };
        let run = placed.run;
        let Some(at_work) = self.at_work(placed).filter(|at_work| *at_work >= CLEARED_AFTER) else {
            return;
        };
        let (before, starts) = (self.losses(task), self.starts(task));
        // A loss that the start didn't cause may still come from the task's work, so it counts
        // until the task has run for `FORGIVEN_AFTER`.
        let (after, kept) = if at_work >= FORGIVEN_AFTER {
            self.loss_record.forget(task);
            self.correlated.forget(task);
            self.counted_losses.forget(task);
            (
                progress::Losses::default(),
                progress::Starts { lost: starts.lost, ..progress::Starts::default() },
            )
        } else {
            (
                progress::Losses {
                    suspected: 0,
                    sole_suspect: 0,
                    unexplained: before.all(),
                    correlated: before.correlated,
                },
                starts,
            )
        };
        let changed = after != before || starts.at_work != run;
        let entry = self.jobs.get_mut(&task.job).filter(|_| changed);
        if let Some(state) = entry.and_then(|entry| entry.progress.tasks.get_mut(&task.into())) {
            state.losses = after;
            state.starts = progress::Starts { at_work: run, ..kept };
            tracing::info!(
                %task, times_unexplained = after.unexplained, "task is no longer a suspect"
            );
            self.mark_task(task);
        }
        self.end_isolation(task, at_work);
    }

    /// Returns whether a worker was lost under a task and that loss still counts.
    pub(in crate::job) fn has_losses(&self, task: spec::TaskId) -> bool {
        self.loss_record.contains(task)
    }

    /// Returns the losses of workers that count against a task.
    pub(in crate::job) fn losses(&self, task: spec::TaskId) -> progress::Losses {
        self.state(task).map(|state| state.losses).unwrap_or_default()
    }

    /// Returns the record of a task's starts since a worker was lost under it.
    pub(in crate::job) fn starts(&self, task: spec::TaskId) -> progress::Starts {
        self.state(task).map(|state| state.starts).unwrap_or_default()
    }

    /// Returns the progress of a task, or nothing if none is recorded.
    fn state(&self, task: spec::TaskId) -> Option<&progress::Task> {
        self.jobs.get(&task.job)?.progress.tasks.get(&task.into())
    }
}

/// Returns whether the incarnation that a task is placed on may have received an order for it.
pub(in crate::job) fn may_have_received_order(placed: &work::Placed) -> bool {
    match placed.start_state {
        // A loss counts once: for an orphaned start it counted when the previous incarnation ended.
        work::StartState::Staged | work::StartState::Orphaned => false,
        work::StartState::Ordered
        | work::StartState::Confirmed(_)
        | work::StartState::Inherited => true,
        work::StartState::Unanswered(_) | work::StartState::Expiring => {
            placed.start_orders.fence > 0
        }
    }
}

/// When the loss of a worker became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LossKnown {
    /// While its tasks were still placed there.
    WhilePlaced,
    /// After its leases had expired and its tasks were released from it.
    AfterExpiry,
}

/// A task as it was present on a lost worker.
#[derive(Clone, Copy, Debug)]
pub(in crate::job) struct Presence {
    /// The task that was placed there.
    pub task: spec::TaskId,
    /// The number of its run there.
    run: u32,
    /// How long it had run by the worker's last answer; absent if no answer confirmed it.
    at_work: Option<time::Duration>,
    /// When its run was first confirmed; absent if it never was.
    began: Option<time::Duration>,
}

impl Presence {
    /// Returns the presence of a task on a worker that an earlier holder found missing.
    pub(in crate::job) fn inherited(task: spec::TaskId) -> Self {
        Self { task, run: 0, at_work: None, began: None }
    }

    /// Returns whether this is a run of a task.
    pub(in crate::job) fn is_run(&self, task: spec::TaskId, run: u32) -> bool {
        (self.task, self.run) == (task, run)
    }

    /// Returns whether the start of the task may have crashed the worker.
    pub(in crate::job) fn is_suspect(self) -> bool {
        self.at_work.is_none_or(|at_work| at_work < CLEARED_AFTER)
    }
}

/// A loss of a worker as it was counted against a task.
#[derive(Clone, Copy, Debug)]
pub(in crate::job) struct CountedLoss {
    /// The task.
    pub task: spec::TaskId,
    /// When its run there was first confirmed; absent if it never was.
    pub began: Option<time::Duration>,
    /// Whether the start of the task may have caused it.
    pub suspected: bool,
    /// Whether it counted as that of the only suspect.
    pub sole_suspect: bool,
}

impl progress::Losses {
    /// Returns the number of workers lost under the task.
    pub(in crate::job) fn all(self) -> u32 {
        self.suspected + self.unexplained
    }

    /// Returns the number of workers lost under the task by themselves, or not known to be lost
    /// with many others.
    pub(in crate::job) fn single(self) -> u32 {
        self.all().saturating_sub(self.correlated)
    }

    /// Discounts a loss that turned out to be correlated.
    pub(in crate::job) fn discount(&mut self, loss: &CountedLoss) {
        self.correlated = (self.correlated + 1).min(self.all());
        self.sole_suspect -= u32::from(loss.sole_suspect).min(self.sole_suspect);
    }

    /// Takes back a loss of a worker that turned out to live.
    pub(in crate::job) fn take_back(&mut self, loss: &CountedLoss) {
        let was_suspected = loss.suspected && self.suspected > 0;
        let count = if was_suspected { &mut self.suspected } else { &mut self.unexplained };
        *count = count.saturating_sub(1);
        self.sole_suspect -= u32::from(loss.sole_suspect).min(self.sole_suspect);
        self.correlated = self.correlated.min(self.all());
    }
}
