//! Decides what follows from the losses of workers under a task.
//!
//! A lost worker is evidence about the tasks that were there, and it may be wrong: workers fail for
//! other causes. The end of a job is final. So a job fails only where its task is proved to crash
//! the workers that start it, or is a batch task that can't have another start. A long-running task
//! whose losses chance doesn't explain is kept from starting for a while instead: that bounds what
//! it may cost others, and needs no final word.

use std::time;

use crate::job::holding;
use crate::job::progress;
use crate::job::spec;
use crate::job::workers::worker;

/// The number of workers lost while a batch task was a suspect after which its job fails. Users
/// allow failing it after two and forbid a third start after three losses; this is one more than
/// two, since a loss may have had another cause.
pub(in crate::job) const MAX_SUSPECTED_LOSSES: u32 = 3;
/// The number of these losses with the task as the only suspect: neighbours of the culprit are lost
/// with its first worker, but not with those on which it is isolated.
const MIN_SOLE_SUSPECT_LOSSES: u32 = 2;
/// The number of workers lost under a task, regardless of what else they ran, after which it gets
/// no further start for now; users allow no more starts of a task that crashes workers.
const MAX_LOSSES: u32 = 5;
/// The number of these workers that must have been lost by themselves; those lost together with
/// many others say nothing of the task. Users allow failing it after two.
const MIN_SINGLE_LOSSES: u32 = 2;
/// How long a start is withheld. Each start may cost a worker some seconds, so one in this time
/// costs little.
const WITHHELD_FOR: time::Duration = time::Duration::from_secs(300);

/// What follows from the losses of workers under a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Verdict {
    /// The task starts again.
    Open,
    /// The task gets no start for a while.
    Withheld,
    /// The task is given up, and its job fails.
    Failed,
}

impl holding::Holding {
    /// Returns what follows from losses of workers under a task.
    fn verdict(&self, task: spec::TaskId, losses: progress::Losses) -> Verdict {
        let is_lasting = self.is_lasting(task);
        if losses.are_proof(is_lasting) && !self.may_losses_be_chance() {
            return Verdict::Failed;
        }
        // A long-running task may end at any time, and is started again however it ends.
        let others = if is_lasting { 0 } else { self.starts(task).others };
        if !losses.are_too_many(others) {
            return Verdict::Open;
        }
        match is_lasting {
            false => Verdict::Failed,
            true if self.does_chance_explain(task, losses) => Verdict::Open,
            true => Verdict::Withheld,
        }
    }

    /// Returns the losses of a task as if all open ones were correlated.
    fn decided_losses(&self, task: spec::TaskId) -> progress::Losses {
        let mut losses = self.losses(task);
        self.correlated.open_losses(task).for_each(|open| losses.discount(open));
        losses
    }

    /// Returns whether the open losses of a task decide whether it starts again.
    pub(in crate::job) fn awaits_decision(&self, task: spec::TaskId) -> bool {
        self.correlated.open_losses(task).next().is_some()
            && self.verdict(task, self.losses(task)) > Verdict::Open
    }

    /// Fails the job of a task under which too many workers were lost, or withholds its next start.
    pub(in crate::job) fn fail_job_after_losses(
        &mut self,
        task: spec::TaskId,
        now: time::Duration,
    ) {
        if !self.has_losses(task) || !self.should_run(task) {
            return;
        }
        let losses = self.losses(task);
        let decided = self.verdict(task, self.decided_losses(task));
        match self.verdict(task, losses).min(decided) {
            Verdict::Open => {}
            Verdict::Withheld => self.withhold(task, losses, now),
            Verdict::Failed => self.give_up(task, losses, now),
        }
    }

    /// Fails the job of a task that crashes its workers.
    fn give_up(&mut self, task: spec::TaskId, losses: progress::Losses, now: time::Duration) {
        self.given_up += 1;
        tracing::warn!(
            job = %task.job, %task, times_suspected = losses.suspected,
            times_alone = losses.sole_suspect, times_unexplained = losses.unexplained,
            times_correlated = losses.correlated, others = self.starts(task).others,
            "job failed: workers crashed under its task"
        );
        self.end_job(task.job, progress::Phase::Failed, now);
    }

    /// Withholds the next start of a task, unless that was done for these losses before.
    fn withhold(&mut self, task: spec::TaskId, losses: progress::Losses, now: time::Duration) {
        let until = now + WITHHELD_FOR;
        if self.placed.contains_key(&task) || !self.loss_record.withhold(task, losses.all(), until)
        {
            return;
        }
        tracing::warn!(
            %task, times_suspected = losses.suspected, times_alone = losses.sole_suspect,
            times_unexplained = losses.unexplained, times_correlated = losses.correlated,
            others = self.starts(task).others, worked_ms = self.starts(task).worked_ms,
            expected_by_chance = self.expected_by_chance(task),
            withheld_ms = worker::millis(WITHHELD_FOR),
            "start withheld: workers were lost under its task"
        );
        self.set_withheld(task, true);
    }

    /// Withholds the start of a task that an earlier holder withheld; since when isn't known.
    pub(in crate::job) fn inherit_withheld(&mut self, task: spec::TaskId, now: time::Duration) {
        let losses = self.losses(task).all();
        if self.starts(task).withheld && self.loss_record.withhold(task, losses, now + WITHHELD_FOR)
        {
            tracing::info!(%task, losses, "start withheld by an earlier holder");
        }
    }

    /// Returns whether the start of a task is withheld.
    pub(in crate::job) fn is_withheld(&self, task: spec::TaskId, now: time::Duration) -> bool {
        self.loss_record.withheld_until(task).is_some_and(|until| now < until)
    }

    /// Returns the number of tasks whose start is withheld.
    #[must_use]
    pub fn withheld(&self) -> u64 {
        self.loss_record.withheld(self.now) as u64
    }

    /// Notes that a task starts, so that its start is no longer withheld.
    pub(in crate::job) fn note_start_of_withheld(&mut self, task: spec::TaskId) {
        if self.starts(task).withheld {
            tracing::info!(%task, losses = self.losses(task).all(), "start no longer withheld");
            self.set_withheld(task, false);
        }
    }

    /// Stores whether the start of a task is withheld.
    fn set_withheld(&mut self, task: spec::TaskId, withheld: bool) {
        let entry = self.jobs.get_mut(&task.job);
        let state = entry.and_then(|entry| entry.progress.tasks.get_mut(&task.into()));
        if let Some(state) = state {
            state.starts.withheld = withheld;
            self.mark_task(task);
        }
    }

    /// Returns whether the next loss of a worker under a task would fail its job; a worker that may
    /// still turn out to be lost counts as lost. That of a long-running task only withholds its
    /// start.
    pub(in crate::job) fn has_last_start(&self, task: spec::TaskId) -> bool {
        let further = self.starts(task).others + self.undecided_losses(task) + 1;
        !self.is_lasting(task) && self.losses(task).are_too_many(further)
    }

    /// Returns whether a task has no start left if workers that may be lost turn out to be.
    pub(in crate::job) fn may_have_no_start(&self, task: spec::TaskId) -> bool {
        let undecided = self.undecided_losses(task);
        undecided > 0 && self.losses(task).are_too_many(self.starts(task).others + undecided)
    }

    /// Returns whether one more loss of a worker would fail the job of a task, or withhold its
    /// start.
    pub(in crate::job) fn has_one_loss_left(&self, task: spec::TaskId) -> bool {
        self.losses(task).are_too_many(self.starts(task).others + 1)
    }

    /// Returns whether too few workers were lost by themselves under a task to fail its job.
    pub(in crate::job) fn has_mostly_correlated_losses(&self, task: spec::TaskId) -> bool {
        let losses = self.losses(task);
        losses.correlated > 0 && losses.single() < MIN_SINGLE_LOSSES
    }
}

impl progress::Losses {
    /// Returns whether a task with these losses and further ones has no start left, however they
    /// came about.
    fn are_too_many(self, further: u32) -> bool {
        self.all() + further >= MAX_LOSSES && self.single() + further >= MIN_SINGLE_LOSSES
    }

    /// Returns whether these losses prove that the starts of the task crash workers, unless workers
    /// are lost for other causes as well. A long-running task must have lost all its starts so, as
    /// its callers can't hand it in again as cheaply.
    fn are_proof(self, is_lasting: bool) -> bool {
        let needed = if is_lasting { MAX_LOSSES } else { MAX_SUSPECTED_LOSSES };
        self.suspected >= needed && self.sole_suspect >= MIN_SOLE_SUSPECT_LOSSES
    }
}
