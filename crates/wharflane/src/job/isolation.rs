//! Starts of tasks under which workers were lost: apart from others, on workers that last, and in calm.
//!
//! The next starts of such a task are to tell whether it is what ends its workers. A culprit that is apart takes no
//! neighbours with it and blames none; a sound task loses no more workers where none are lost for other causes.

use std::time;

use super::holding;
use super::obstacle;
use super::spec;
use super::work;
use super::worker;
use crate::id;

/// The losses from which on a start is apart whatever the task was at when its workers were lost.
const APART: u32 = 2;
/// The losses from which on the task's next worker is to have nothing else: the starts that are left are few, and each is
/// to tell for certain.
const ALL_ALONE: u32 = 3;
/// How long a task that is to be alone keeps its worker for itself: for as long as it is a suspect it would take too much
/// from others where many workers are lost.
const ALONE_FOR: time::Duration = time::Duration::from_secs(5);
/// One worker in so many may be kept for a suspect alone; other work has the rest.
const ALONE_PART: usize = 4;
/// The same for a suspect of more than one loss, which the next ones may end: its innocence is to be found out first.
const ALONE_PART_AGAIN: usize = 2;
/// How long a suspect waits until it is started without being alone; the users allow no wait of 3 s.
const ALONE_WAIT: time::Duration = time::Duration::from_millis(1_500);
/// How long after a loss where nothing had just started workers are taken to be lost no more. The users allow a lasting
/// task 7 s from the end of a trouble.
const CALM_AFTER: time::Duration = time::Duration::from_secs(5);
/// How long a task waits for calm at the most.
const CALM_WAIT: time::Duration = time::Duration::from_secs(20);
/// How long a start waits until it is known whether the worker of the last one is lost: that loss may be the last that the
/// task has, and a worker that crashed stays listed for some seconds.
const FATE_WAIT: time::Duration = time::Duration::from_secs(5);
/// How long a worker is known until its incarnation counts as steady; a suspect that is lost with one that goes down and up
/// by turns would be blamed for it.
const STEADY: time::Duration = time::Duration::from_secs(10);

/// How far a start is kept from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Apart {
    /// Not at all.
    Not,
    /// Nothing new comes to its worker until it was at work for a while.
    AtFirst,
    /// The same for longer, on a worker that has nothing else, once workers are lost no more.
    Alone,
}

impl holding::Holding {
    /// Returns how far the next start of a task is kept from others.
    fn apart(&self, task: spec::TaskId) -> Apart {
        if !self.was_lost_with(task) {
            return Apart::Not;
        }
        let losses = self.losses(task);
        match losses.all() {
            ALL_ALONE.. => Apart::Alone,
            APART.. => Apart::AtFirst,
            _ if losses.suspected > 0 => Apart::AtFirst,
            _ => Apart::Not,
        }
    }

    /// Returns whether a task is kept off others under which a worker was lost, before its place's cost is weighed: where its
    /// start is to be apart, or where such tasks are few. Among many it would only cost the sound ones good places.
    pub(super) fn avoids_suspects(&self, task: spec::TaskId) -> bool {
        let few = self.loss_record.len() * ALONE_PART <= self.views.len();
        self.apart(task) > Apart::Not || few && self.was_lost_with(task)
    }

    /// Keeps others off the worker of a task where its start is to be apart, as long as few workers are kept so.
    pub(super) fn isolate_start(&mut self, task: spec::TaskId, worker: &id::Incarnation) {
        if self.apart(task) == Apart::Not {
            return;
        }
        self.loss_record.end_hold(task);
        self.keep_for_none(|kept| kept == task);
        let kept = self.may_keep_alone(task);
        let losses = self.losses(task).all();
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        tracing::info!(%task, %worker, losses, kept, tasks = view.tasks.len(), "start apart from others");
        if kept {
            view.alone = Some(task);
        }
    }

    /// Frees the workers for others that are kept for tasks for which a condition holds.
    pub(super) fn keep_for_none(&mut self, gone: impl Fn(spec::TaskId) -> bool) {
        for view in self.views.values_mut() {
            self.changed |= view.alone.take_if(|alone| gone(*alone)).is_some();
        }
    }

    /// Frees the worker of a task for others that was at work there for long enough.
    pub(super) fn end_apart(&mut self, task: spec::TaskId, at_work: time::Duration) {
        if self.apart(task) == Apart::Alone && at_work < ALONE_FOR {
            return;
        }
        let worker = self.placed.get(&task).map(|placed| placed.worker.clone());
        if let Some(view) = worker.and_then(|worker| self.views.get_mut(&worker)) {
            self.changed |= view.alone.take_if(|alone| *alone == task).is_some();
        }
    }

    /// Returns whether a start is held back until it can be as far apart as it is to be; never for long.
    pub(super) fn defers_start(
        &mut self,
        ready: &work::Ready,
        step: &spec::Step,
        now: time::Duration,
    ) -> bool {
        let waited = now.saturating_sub(ready.since);
        let held = match self.apart(ready.task) {
            _ if step.gang => self.holds_back_gang(ready, step, now),
            Apart::Not => false,
            Apart::AtFirst => waited < ALONE_WAIT && !self.may_keep_alone(ready.task),
            Apart::Alone => self.holds_back_to_be_alone(ready, step, now),
        };
        if held && self.loss_record.begin_hold(ready.task) {
            tracing::info!(
                task = %ready.task, losses = self.losses(ready.task).all(),
                calm_in_ms = worker::millis(self.calm_from().saturating_sub(now)),
                "start held back to be apart from others"
            );
        }
        held
    }

    /// Returns whether a gang is held back until workers are lost no more, since one of its members is to be alone. All of
    /// them start together, so that none waits for a worker of its own.
    fn holds_back_gang(&self, ready: &work::Ready, step: &spec::Step, now: time::Duration) -> bool {
        let mut members = (0..step.count).map(|index| spec::TaskId { index, ..ready.task });
        let waits = now < self.calm_from().min(ready.since + CALM_WAIT);
        waits && members.any(|member| self.apart(member) == Apart::Alone)
    }

    /// Returns whether a start that is to be alone is held back, until workers are lost no more and one that has nothing
    /// else can be kept for it.
    fn holds_back_to_be_alone(
        &mut self,
        ready: &work::Ready,
        step: &spec::Step,
        now: time::Duration,
    ) -> bool {
        if now < ready.since + FATE_WAIT && self.is_fate_open(ready.task) {
            return true;
        }
        let at_the_most = ready.since + CALM_WAIT;
        if now < self.calm_from().min(at_the_most) {
            return true;
        }
        let quiet = self.quiet_from().max(ready.since);
        if now >= (quiet + ALONE_WAIT).min(at_the_most) {
            return false;
        }
        if !self.may_keep_alone(ready.task) {
            return true;
        }
        let none_empty = !self.finds_empty(ready.task, step, now);
        if none_empty {
            self.empty_one(ready.task, step, now);
        }
        none_empty
    }

    /// Returns whether leases of a task have lapsed on a worker of which it is not known yet whether it is lost.
    fn is_fate_open(&self, task: spec::TaskId) -> bool {
        self.views.values().any(|view| view.lapsed.iter().any(|lapsed| lapsed.is_of(task)))
    }

    /// Keeps a worker for a task until nothing else is there any more: the one where least is at stake.
    fn empty_one(&mut self, task: spec::TaskId, step: &spec::Step, now: time::Duration) {
        let Some(entry) = self.jobs.get(&task.job) else {
            return;
        };
        let service = self.service(&entry.job);
        let would_take = |view: &worker::View| {
            let obstacle = obstacle::plain(view, service, task, step, view.takes(task, now));
            obstacle.is_none_or(|obstacle| obstacle == obstacle::Obstacle::Room)
        };
        let kept = |view: &worker::View| view.alone == Some(task);
        if self.views.values().any(kept) {
            return;
        }
        let ends = |view: &&worker::View| step.reserved().fits(&view.free_in_time());
        let views = self.views.values().filter(|view| would_take(view)).filter(ends);
        let least = views.min_by_key(|view| IsolationCost::of(self, task, view, now));
        let worker = least.map(|view| view.member.incarnation.clone());
        if let Some(view) = worker.and_then(|worker| self.views.get_mut(&worker)) {
            view.alone = Some(task);
        }
    }

    /// Returns from when on no worker was lost.
    fn quiet_from(&self) -> time::Duration {
        self.loss_record.last_end().map_or(time::Duration::ZERO, |at| at + CALM_AFTER)
    }

    /// Returns from when on workers are taken to be lost no more for reasons of their own.
    fn calm_from(&self) -> time::Duration {
        self.loss_record.last_elsewhere().map_or(time::Duration::ZERO, |at| at + CALM_AFTER)
    }

    /// Returns whether a worker with nothing on it takes a task.
    fn finds_empty(&self, task: spec::TaskId, step: &spec::Step, now: time::Duration) -> bool {
        let Some(entry) = self.jobs.get(&task.job) else {
            return false;
        };
        let service = self.service(&entry.job);
        let mut empty = self.views.values().filter(|view| view.tasks.is_empty());
        empty
            .any(|view| obstacle::plain(view, service, task, step, view.takes(task, now)).is_none())
    }

    /// Returns whether one more worker may be kept for a suspect alone; one that fell silent is no loss for others.
    fn may_keep_alone(&self, task: spec::TaskId) -> bool {
        let again = self.losses(task).all() >= ALL_ALONE;
        let most = self.views.len() / if again { ALONE_PART_AGAIN } else { ALONE_PART };
        let most = most.max(1);
        let others = |view: &&worker::View| view.alone.is_some_and(|alone| alone != task);
        let alone = self.views.values().filter(others).filter(|view| view.misses == 0);
        alone.count() < most
    }
}

/// What speaks against a worker for a task under which one was lost, before all else.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct IsolationCost {
    /// The task is to be alone, and something is there.
    occupied: bool,
    /// The worker was lost under this task, in whichever incarnation.
    same: bool,
    /// The tasks there under which a worker was lost too: together none of them could be told from the others.
    loss_record: usize,
    /// How many of its incarnations have ended lately, so that it may go for another reason.
    ends: usize,
    /// Its incarnation is young, so that it may go for another reason.
    young: bool,
    /// The tasks whose work would be lost.
    tasks: usize,
}

impl IsolationCost {
    /// Returns what is at stake on a worker.
    pub fn of(
        holding: &holding::Holding,
        task: spec::TaskId,
        view: &worker::View,
        now: time::Duration,
    ) -> Self {
        let worker = &view.member.incarnation.worker;
        let young = now.saturating_sub(view.known_since) < STEADY;
        let loss_record = view.tasks.iter().filter(|task| holding.was_lost_with(**task)).count();
        let apart = holding.apart(task);
        if apart == Apart::Not {
            return Self { loss_record: loss_record.min(1), ..Self::default() };
        }
        Self {
            occupied: apart == Apart::Alone && !view.tasks.is_empty(),
            same: holding.loss_record.contains_worker(task, worker),
            ends: holding.loss_record.ends(worker, now),
            young,
            loss_record,
            tasks: view.tasks.len(),
        }
    }
}
