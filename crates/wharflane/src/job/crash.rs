//! Tasks under which workers end: which losses count against a task, and when one is given up.
//!
//! A worker that crashes tells nothing, and neither does one that goes for another reason. So a loss is not ascribed to
//! anything: it counts under every task that was there, and the next starts of each find out, more and more apart from
//! others (`isolation`). Whoever crashed the worker crashes the next ones alone; what stood beside it works on elsewhere.

use std::time;

use super::holding;
use super::loss_record;
use super::progress;
use super::spec;
use super::work;
use super::worker;
use crate::id;

/// How long a task must be at work, by its worker's own answers, until its start is not what ends the worker; a look may
/// wait as long.
pub(super) const CLEARED: time::Duration = time::Duration::from_millis(1_000);
/// How long a task must be at work until no loss of a worker before counts against it.
pub(super) const SETTLED: time::Duration = time::Duration::from_secs(30);
/// The workers lost while a task was a suspect after which it is given up. The users allow it after two, and forbid the
/// third start after three: one more than two, since a loss may have had another cause.
const MOST_SUSPECTED: u32 = 3;
/// How many of these must have been lost while it was the only suspect: what stood beside the task that
/// crashed them is lost with the first, and not with those on which it is alone.
const LEAST_ALONE: u32 = 2;
/// The workers lost under a task, whatever else was there, after which it is given up: the most starts that the users
/// allow.
const MOST_LOST: u32 = 5;
/// How long a worker that was lost without a cause among its tasks speaks of another one.
const OTHER_CAUSE: time::Duration = time::Duration::from_secs(10);
/// A loss within a task's first second is taken for chance where one start in so many meets one by workers that are lost
/// without a cause among their tasks.
const CHANCE_PART: usize = 100;

impl holding::Holding {
    /// Notes that the incarnation of a worker is over.
    pub(super) fn note_end_of_incarnation(
        &mut self,
        worker: &id::Incarnation,
        tasks: &[spec::TaskId],
    ) {
        let planned = self.views.get(worker).is_some_and(|view| view.member.leaving);
        let cause = self.note_lapsed_loss(worker).max(self.note_loss(tasks));
        if !planned {
            self.loss_record.note_end(&worker.worker, cause, self.now);
        }
    }

    /// Notes that a worker is lost, under each task that was there; returns what may have caused it. The tasks must have
    /// their worker still.
    pub(super) fn note_loss(&mut self, tasks: &[spec::TaskId]) -> loss_record::Cause {
        let worker = tasks.first().and_then(|task| self.placed.get(task));
        let Some(worker) = worker.map(|placed| placed.worker.clone()) else {
            return loss_record::Cause::Elsewhere;
        };
        let present = tasks.iter().filter_map(|task| self.presence(*task));
        let present: Vec<Presence> = present.collect();
        self.count_losses(&worker, &present, Known::AtOnce)
    }

    /// Remembers what was on a listed worker whose leases have lapsed. It may live on out of reach, and its entry may only be
    /// old: should its incarnation turn out to be over, the loss counts then.
    pub(super) fn remember_lapsed(&mut self, worker: &id::Incarnation, tasks: &[spec::TaskId]) {
        let placed = tasks.iter().filter_map(|task| Some((*task, self.placed.get(task)?)));
        let ordered = placed.filter(|(_, placed)| was_ordered_there(placed));
        let present = ordered.map(|(task, placed)| self.presence_of(task, placed));
        let present: Vec<Presence> = present.collect();
        if let Some(view) = self.views.get_mut(worker).filter(|view| view.listed) {
            view.lapsed.extend(present);
        }
    }

    /// Counts the loss of a worker whose leases have lapsed before its incarnation was known to be over; returns what may have
    /// caused it.
    pub(super) fn note_lapsed_loss(&mut self, worker: &id::Incarnation) -> loss_record::Cause {
        let view = self.views.get_mut(worker).filter(|view| !view.member.leaving);
        let present = view.map(|view| std::mem::take(&mut view.lapsed)).unwrap_or_default();
        let cause = self.count_losses(worker, &present, Known::AfterLapse);
        for presence in present {
            self.give_up_if_lost(presence.task, self.now);
        }
        cause
    }

    /// Counts one loss under each task that was there; returns what may have caused it.
    fn count_losses(
        &mut self,
        worker: &id::Incarnation,
        present: &[Presence],
        known: Known,
    ) -> loss_record::Cause {
        let suspects = present.iter().filter(|presence| presence.is_suspect()).count();
        for presence in present {
            self.count_loss(worker, *presence, suspects, known);
        }
        if suspects > 0 { loss_record::Cause::Start } else { loss_record::Cause::Elsewhere }
    }

    /// Returns whether workers are lost so often where nothing had just started that losses soon after a start may be chance.
    fn are_lost_by_chance(&self) -> bool {
        let since = self.now.saturating_sub(OTHER_CAUSE);
        let lost = self.loss_record.elsewhere(since);
        let starts = self.views.len() * OTHER_CAUSE.as_secs() as usize;
        lost * CHANCE_PART >= starts
    }

    /// Returns how a task was there when its worker was lost, unless the loss can't be its doing.
    fn presence(&self, task: spec::TaskId) -> Option<Presence> {
        let placed = self.placed.get(&task).filter(|placed| self.may_have_crashed(placed))?;
        // A loss counts once, also where an earlier holder noted it and handed the run on to the worker's next incarnation.
        let counted = placed.start_state == work::StartState::Inherited
            && self.starts(task).lost == placed.run;
        (!counted).then(|| self.presence_of(task, placed))
    }

    /// Returns how a placed task is on its worker.
    fn presence_of(&self, task: spec::TaskId, placed: &work::Placed) -> Presence {
        let seen_before = self.starts(task).at_work == placed.run;
        let at_work = self.at_work(placed).max(seen_before.then_some(CLEARED));
        Presence { task, run: placed.run, at_work }
    }

    /// Counts a loss under one task that is still wanted, beside so many suspects.
    fn count_loss(
        &mut self,
        worker: &id::Incarnation,
        presence: Presence,
        suspects: usize,
        known: Known,
    ) {
        let Presence { task, run, at_work } = presence;
        let suspected = presence.is_suspect();
        let steady = self.loss_record.ends(&worker.worker, self.now) == 0;
        let wanted = self.should_run(task);
        let Some(entry) = self.jobs.get_mut(&task.job).filter(|_| wanted) else {
            return;
        };
        let state = entry.progress.tasks.entry(task.into()).or_default();
        state.starts.lost = state.starts.lost.max(run);
        let losses = &mut state.losses;
        losses.suspected += u32::from(suspected);
        losses.unexplained += u32::from(!suspected);
        // A start without an answer may never have come: its worker may have been down before. One that was silent for
        // longer than its leases may have gone at any time since, and one that went before for a reason of its own.
        let at_its_start = at_work.is_some() && known == Known::AtOnce;
        losses.alone += u32::from(suspected && suspects == 1 && at_its_start && steady);
        tracing::warn!(
            %task, run, %worker, suspected, suspects, at_work_ms = at_work.map(worker::millis),
            times_suspected = losses.suspected, times_alone = losses.alone,
            times_unexplained = losses.unexplained, "worker lost under a task"
        );
        self.loss_record.add(task, &worker.worker);
        self.mark_task(task);
    }

    /// Returns whether a loss of the worker may be the task's doing: the worker was not about to leave, is not listed
    /// as one that lives on out of reach, and an order for the task may have reached it.
    fn may_have_crashed(&self, placed: &work::Placed) -> bool {
        let view = self.views.get(&placed.worker);
        let other_cause = view.is_some_and(|view| view.member.leaving || view.listed);
        was_ordered_there(placed) && !other_cause
    }

    /// Returns how long a task was at work when its worker answered last; nothing where no answer told of it.
    pub(super) fn at_work(&self, placed: &work::Placed) -> Option<time::Duration> {
        let work::StartState::Confirmed(since) = placed.start_state else {
            return None;
        };
        let (_, answered) = self.views.get(&placed.worker)?.sample?;
        Some(answered.saturating_sub(since))
    }

    /// Ends the job of a task under which too many workers were lost.
    pub(super) fn give_up_if_lost(&mut self, task: spec::TaskId, now: time::Duration) {
        let losses = self.losses(task);
        let others = self.starts(task).others;
        if !self.should_run(task) || !losses.are_too_many(others, self.are_lost_by_chance()) {
            return;
        }
        self.given_up += 1;
        tracing::warn!(
            job = %task.job, %task, times_suspected = losses.suspected,
            times_alone = losses.alone, times_unexplained = losses.unexplained, others,
            "job failed: workers crashed under its task"
        );
        self.end_job(task.job, progress::Phase::Failed, now);
    }

    /// Notes that a run has ended under which no worker was lost. After three losses such a start counts as well: the task
    /// has few left, however they end.
    pub(super) fn note_other_end(&mut self, task: spec::TaskId, placed: &work::Placed) {
        let view = self.views.get(&placed.worker);
        let planned = placed.stopped.is_some() || view.is_some_and(|view| view.member.leaving);
        // Whether its worker is lost is not known yet where leases have lapsed.
        let open = view.is_some_and(|view| {
            view.lapsed.iter().any(|lapsed| (lapsed.task, lapsed.run) == (task, placed.run))
        });
        let began = matches!(placed.start_state, work::StartState::Confirmed(_));
        if planned || open || !began || self.losses(task).all() < MOST_SUSPECTED {
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
            "start counted that ended without a loss"
        );
    }

    /// Clears a task that is seen at work of what its start may have done, and frees its worker for others where it need
    /// not be apart for longer.
    pub(super) fn clear_suspect(&mut self, task: spec::TaskId) {
        let Some(placed) = self.placed.get(&task) else {
            return;
        };
        let run = placed.run;
        let Some(at_work) = self.at_work(placed).filter(|at_work| *at_work >= CLEARED) else {
            return;
        };
        let (before, starts) = (self.losses(task), self.starts(task));
        // A loss that is not its start's doing may be its work's: it counts on until the task settles.
        let (after, others) = if at_work >= SETTLED {
            self.loss_record.forget(task);
            (progress::Losses::default(), 0)
        } else {
            (progress::Losses { suspected: 0, alone: 0, unexplained: before.all() }, starts.others)
        };
        let news = after != before || starts.at_work != run;
        let entry = self.jobs.get_mut(&task.job).filter(|_| news);
        if let Some(state) = entry.and_then(|entry| entry.progress.tasks.get_mut(&task.into())) {
            state.losses = after;
            state.starts = progress::Starts { at_work: run, others, ..starts };
            tracing::info!(%task, times_unexplained = after.unexplained, "no suspect any more");
            self.mark_task(task);
        }
        self.end_apart(task, at_work);
    }

    /// Returns whether a worker was lost under a task, and that still counts.
    pub(super) fn was_lost_with(&self, task: spec::TaskId) -> bool {
        self.loss_record.contains(task)
    }

    /// Returns the workers that were lost under a task.
    pub(super) fn losses(&self, task: spec::TaskId) -> progress::Losses {
        self.state(task).map(|state| state.losses).unwrap_or_default()
    }

    /// Returns what is kept of a task's starts since a worker was lost under it.
    fn starts(&self, task: spec::TaskId) -> progress::Starts {
        self.state(task).map(|state| state.starts).unwrap_or_default()
    }

    /// Returns how far a task has come.
    fn state(&self, task: spec::TaskId) -> Option<&progress::Task> {
        self.jobs.get(&task.job)?.progress.tasks.get(&task.into())
    }
}

/// Returns whether an order for a task may have reached its worker in the incarnation that is known there.
pub(super) fn was_ordered_there(placed: &work::Placed) -> bool {
    match placed.start_state {
        // A loss counts once: that of an orphan did when the incarnation before was lost.
        work::StartState::Staged | work::StartState::Orphaned => false,
        work::StartState::Ordered
        | work::StartState::Confirmed(_)
        | work::StartState::Inherited => true,
        work::StartState::Unanswered(_) | work::StartState::Expiring => placed.doubt.fence > 0,
    }
}

/// When it was known that a worker is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Known {
    /// While its tasks were taken to be there.
    AtOnce,
    /// After its leases had lapsed, so that its tasks were elsewhere.
    AfterLapse,
}

/// How a task was on a worker when that was lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Presence {
    /// The task.
    task: spec::TaskId,
    /// The number of its start there.
    run: u32,
    /// How long it was at work by the worker's last answer; nothing where no answer told of it.
    at_work: Option<time::Duration>,
}

impl Presence {
    /// Returns whether it is this task's.
    pub(super) fn is_of(self, task: spec::TaskId) -> bool {
        self.task == task
    }

    /// Returns whether its start may have crashed the worker.
    fn is_suspect(self) -> bool {
        self.at_work.is_none_or(|at_work| at_work < CLEARED)
    }
}

impl progress::Losses {
    /// Returns all workers that were lost under the task.
    pub(super) fn all(self) -> u32 {
        self.suspected + self.unexplained
    }

    /// Returns whether a task under which workers were lost so often is to be given up. Where workers are lost for other
    /// causes as well, it has all the starts that it may have.
    fn are_too_many(self, others: u32, by_chance: bool) -> bool {
        let alone = self.suspected >= MOST_SUSPECTED && self.alone >= LEAST_ALONE;
        alone && !by_chance || self.all() + others >= MOST_LOST
    }
}
