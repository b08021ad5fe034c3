//! Attributes losses of workers to tasks and fails jobs whose tasks crash workers.
//!
//! Nothing reports why a worker was lost: a task may have crashed it, or it failed for another
//! reason. So a loss counts against every task that was placed there, and the next starts of these
//! tasks are isolated, more strictly with each loss (see `isolation`). A culprit then crashes its
//! next workers while it runs by itself, and its former neighbours run on other workers.

use std::time;

use crate::id;
use crate::job::holding;
use crate::job::loss::evidence;
use crate::job::loss::loss_record;
use crate::job::progress;
use crate::job::runs::work;
use crate::job::spec;
use crate::job::workers::worker;

/// How long a task must have run, by its worker's own answers, until its start is ruled out as the
/// cause of a loss; the answer to a heartbeat may be delayed as long.
pub(in crate::job) const CLEARED_AFTER: time::Duration = time::Duration::from_millis(1_000);
/// How long a task must have run until earlier losses no longer count against it.
pub(in crate::job) const FORGIVEN_AFTER: time::Duration = time::Duration::from_secs(30);
/// The number of workers lost while a task was a suspect after which its job fails. Users allow
/// failing it after two and forbid a third start after three losses; this is one more than two,
/// since a loss may have had another cause.
const MAX_SUSPECTED_LOSSES: u32 = 3;
/// The number of these losses with the task as the only suspect: neighbours of the culprit are lost
/// with its first worker, but not with those on which it is isolated.
const MIN_SOLE_SUSPECT_LOSSES: u32 = 2;
/// The number of workers lost under a task, regardless of what else they ran, after which its job
/// fails; users allow no more starts than this.
const MAX_LOSSES: u32 = 5;
/// The number of these workers that must have been lost by themselves; those lost together with
/// many others say nothing of the task. Users allow failing it after two.
const MIN_SINGLE_LOSSES: u32 = 2;
/// How long a loss without a suspect counts as evidence that workers fail for other causes.
const OTHER_CAUSE_WINDOW: time::Duration = time::Duration::from_secs(10);
/// How long after its last answer most losses of a worker are known; the store's list may drop it
/// later. Workers that run nothing answer less often.
pub(in crate::job) const MAX_DETECTION: time::Duration = time::Duration::from_millis(2_000);
/// A loss within a task's first second may be chance if at least one in this many starts would meet
/// an unrelated loss.
const CHANCE_DIVISOR: usize = 100;

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
        let replaced = evidence::Evidence::Replaced;
        let expired = self.count_loss_after_expiry(worker, replaced);
        let cause = expired.max(self.count_worker_loss(tasks, replaced));
        if !planned {
            self.note_lost_worker(worker, Vec::new(), Vec::new());
            self.loss_record.note_end(&worker.worker, cause, lost_at, self.now);
        }
    }

    /// Counts the loss of a worker against each task that was there and returns its possible cause.
    /// The tasks must still be placed.
    pub(in crate::job) fn count_worker_loss(
        &mut self,
        tasks: &[spec::TaskId],
        evidence: evidence::Evidence,
    ) -> loss_record::Cause {
        let worker = tasks.first().and_then(|task| self.placed.get(task));
        let Some(worker) = worker.map(|placed| placed.worker.clone()) else {
            return loss_record::Cause::NoSuspect;
        };
        let present = tasks.iter().filter_map(|task| self.presence(*task));
        let present: Vec<Presence> = present.collect();
        self.count_losses(&worker, &present, (LossKnown::WhilePlaced, evidence))
    }

    /// Records the tasks of a listed worker whose leases have expired. The worker may only be
    /// unreachable, or its list entry may be stale; the loss counts once its incarnation is known
    /// to be over.
    pub(in crate::job) fn record_expired_tasks(
        &mut self,
        worker: &id::Incarnation,
        tasks: &[spec::TaskId],
    ) {
        let placed = tasks.iter().filter_map(|task| Some((*task, self.placed.get(task)?)));
        let ordered =
            placed.filter(|(_, placed)| may_have_received_order(placed) && !placed.end_unlisted);
        let present = ordered.map(|(task, placed)| self.presence_of(task, placed));
        let present: Vec<Presence> = present.collect();
        if let Some(view) = self.views.get_mut(worker).filter(|view| view.listed) {
            view.expired_tasks.extend(present);
        }
    }

    /// Counts the loss of a worker whose leases expired before its end was known, and returns its
    /// possible cause.
    pub(in crate::job) fn count_loss_after_expiry(
        &mut self,
        worker: &id::Incarnation,
        evidence: evidence::Evidence,
    ) -> loss_record::Cause {
        let view = self.views.get_mut(worker).filter(|view| !view.member.leaving);
        let present = view.map(|view| std::mem::take(&mut view.expired_tasks)).unwrap_or_default();
        let cause = self.count_losses(worker, &present, (LossKnown::AfterExpiry, evidence));
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

    /// Returns whether workers are lost without a suspect so often that a loss soon after a start
    /// may be chance. Only workers on which nothing has just started can be lost without one, and
    /// these are few where tasks keep starting.
    fn may_losses_be_chance(&self) -> bool {
        let since = self.now.saturating_sub(OTHER_CAUSE_WINDOW);
        let lost = self.loss_record.without_suspect(since);
        let settled = self.views.values().filter(|view| !self.has_suspect(view)).count();
        let starts = settled * OTHER_CAUSE_WINDOW.as_secs() as usize;
        lost > 0 && lost * CHANCE_DIVISOR >= starts
    }

    /// Returns whether a task has just started on a worker.
    fn has_suspect(&self, view: &worker::View) -> bool {
        let placed = view.tasks.iter().filter_map(|task| Some((*task, self.placed.get(task)?)));
        let mut ordered = placed.filter(|(_, placed)| may_have_received_order(placed));
        ordered.any(|(task, placed)| self.presence_of(task, placed).is_suspect())
    }

    /// Returns how a task was present when its worker was lost, or nothing if the task can't have
    /// caused the loss.
    fn presence(&self, task: spec::TaskId) -> Option<Presence> {
        let placed = self.placed.get(&task).filter(|placed| self.may_have_caused_loss(placed))?;
        // A loss counts once, also if an earlier holder counted it and moved the run to the
        // worker's next incarnation.
        let counted = placed.start_state == work::StartState::Inherited
            && self.starts(task).lost == placed.run;
        (!counted).then(|| self.presence_of(task, placed))
    }

    /// Returns how a placed task is present on its worker.
    fn presence_of(&self, task: spec::TaskId, placed: &work::Placed) -> Presence {
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
            renewed_ms = worker::millis(self.now.saturating_sub(self.renewed)),
            "worker lost under a task"
        );
        self.loss_record.add(task, &worker.worker);
        self.mark_task(task);
        Some(CountedLoss { task, began, sole_suspect })
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

    /// Returns whether the next loss of a worker under a task would fail its job; a worker that may
    /// still turn out to be lost counts as lost.
    pub(in crate::job) fn has_last_start(&self, task: spec::TaskId) -> bool {
        let further = self.starts(task).others + self.undecided_losses(task) + 1;
        self.losses(task).are_too_many(further)
    }

    /// Returns whether one more loss of a worker would fail the job of a task.
    pub(in crate::job) fn has_one_loss_left(&self, task: spec::TaskId) -> bool {
        self.losses(task).are_too_many(self.starts(task).others + 1)
    }

    /// Returns whether losses of workers fail the job of a task, given how many of them count.
    fn must_fail(&self, task: spec::TaskId, losses: progress::Losses) -> bool {
        let others = self.starts(task).others;
        losses.are_proof() && !self.may_losses_be_chance() || losses.are_too_many(others)
    }

    /// Returns the losses of a task as if all open ones were correlated.
    fn decided_losses(&self, task: spec::TaskId) -> progress::Losses {
        let mut losses = self.losses(task);
        self.correlated.open_losses(task).for_each(|open| losses.discount(open));
        losses
    }

    /// Returns whether open losses of a task fail its job unless they turn out to be correlated.
    pub(in crate::job) fn awaits_decision(&self, task: spec::TaskId) -> bool {
        self.must_fail(task, self.losses(task))
            && self.correlated.open_losses(task).next().is_some()
    }

    /// Returns whether too few workers were lost by themselves under a task to fail its job.
    pub(in crate::job) fn has_mostly_correlated_losses(&self, task: spec::TaskId) -> bool {
        let losses = self.losses(task);
        losses.correlated > 0 && losses.single() < MIN_SINGLE_LOSSES
    }

    /// Returns the number of workers on which leases of a task have expired and that may still turn
    /// out to be lost.
    pub(in crate::job) fn undecided_losses(&self, task: spec::TaskId) -> u32 {
        let presences = self.views.values().flat_map(|view| &view.expired_tasks);
        let undecided = presences.filter(|presence| presence.task == task).count();
        u32::try_from(undecided).unwrap_or(u32::MAX)
    }

    /// Fails the job of a task under which too many workers were lost.
    pub(in crate::job) fn fail_job_after_losses(
        &mut self,
        task: spec::TaskId,
        now: time::Duration,
    ) {
        let losses = self.losses(task);
        let others = self.starts(task).others;
        let fails = self.must_fail(task, losses) && self.must_fail(task, self.decided_losses(task));
        if !self.should_run(task) || !fails {
            return;
        }
        self.given_up += 1;
        tracing::warn!(
            job = %task.job, %task, times_suspected = losses.suspected,
            times_alone = losses.sole_suspect, times_unexplained = losses.unexplained,
            times_correlated = losses.correlated, others,
            "job failed: workers crashed under its task"
        );
        self.end_job(task.job, progress::Phase::Failed, now);
    }

    /// Counts the end of a run without a loss if three workers were lost under its task before,
    /// since the task then has few starts left, however they end.
    pub(in crate::job) fn note_other_end(&mut self, task: spec::TaskId, placed: &work::Placed) {
        let view = self.views.get(&placed.worker);
        let planned = placed.stopped.is_some() || view.is_some_and(|view| view.member.leaving);
        // Whether the worker is lost is still unknown where leases have expired.
        let undecided = view.is_some_and(|view| {
            view.expired_tasks
                .iter()
                .any(|presence| (presence.task, presence.run) == (task, placed.run))
        });
        let began = matches!(placed.start_state, work::StartState::Confirmed(_));
        if planned || undecided || !began || self.losses(task).all() < MAX_SUSPECTED_LOSSES {
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
        let (after, others) = if at_work >= FORGIVEN_AFTER {
            self.loss_record.forget(task);
            self.correlated.forget(task);
            (progress::Losses::default(), 0)
        } else {
            (
                progress::Losses {
                    suspected: 0,
                    sole_suspect: 0,
                    unexplained: before.all(),
                    correlated: before.correlated,
                },
                starts.others,
            )
        };
        let changed = after != before || starts.at_work != run;
        let entry = self.jobs.get_mut(&task.job).filter(|_| changed);
        if let Some(state) = entry.and_then(|entry| entry.progress.tasks.get_mut(&task.into())) {
            state.losses = after;
            state.starts = progress::Starts { at_work: run, others, ..starts };
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
    fn starts(&self, task: spec::TaskId) -> progress::Starts {
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
    task: spec::TaskId,
    /// The number of its run there.
    run: u32,
    /// How long it had run by the worker's last answer; absent if no answer confirmed it.
    at_work: Option<time::Duration>,
    /// When its run was first confirmed; absent if it never was.
    began: Option<time::Duration>,
}

impl Presence {
    /// Returns whether the start of the task may have crashed the worker.
    fn is_suspect(self) -> bool {
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

    /// Returns whether a task with these losses and further ones must fail, however they came
    /// about.
    fn are_too_many(self, further: u32) -> bool {
        self.all() + further >= MAX_LOSSES && self.single() + further >= MIN_SINGLE_LOSSES
    }

    /// Discounts a loss that turned out to be correlated.
    pub(in crate::job) fn discount(&mut self, loss: &CountedLoss) {
        self.correlated = (self.correlated + 1).min(self.all());
        self.sole_suspect -= u32::from(loss.sole_suspect).min(self.sole_suspect);
    }

    /// Returns whether these losses prove that the starts of the task crash workers, unless workers
    /// are lost for other causes as well.
    fn are_proof(self) -> bool {
        self.suspected >= MAX_SUSPECTED_LOSSES && self.sole_suspect >= MIN_SOLE_SUSPECT_LOSSES
    }
}
