//! Isolates the starts of tasks under which workers were lost.
//!
//! The next starts of such a task show whether it crashes its workers. An isolated culprit causes
//! no loss of work to neighbours and casts no suspicion on them. A sound task loses no further
//! workers when it starts on a steady worker while no workers are lost for other causes.

use std::time;

use crate::id;
use crate::job::holding;
use crate::job::place::obstacle;
use crate::job::place::starvation;
use crate::job::runs::work;
use crate::job::spec;
use crate::job::workers::worker;

/// From this many losses on, a start is isolated regardless of how long the task had run when its
/// workers were lost.
const ISOLATION_LOSSES: u32 = 2;
/// From this many losses on, the task's next worker must run nothing else: few starts are left, and
/// each has to give a clear result.
const FULL_ISOLATION_LOSSES: u32 = 3;
/// How long a worker stays reserved for a task in full isolation. Reserving it for as long as the
/// task is a suspect would cost too much capacity where many workers are lost.
const FULL_ISOLATION_TIME: time::Duration = time::Duration::from_secs(5);
/// At most one worker in this many is reserved for suspects; the others stay available to other
/// tasks.
const RESERVED_DIVISOR: usize = 4;
/// The same for a task with several losses, whose job the next ones would fail: clearing it of
/// suspicion has precedence.
const RESERVED_DIVISOR_REPEATED: usize = 2;
/// How long a suspect waits for isolation before it starts without it; users accept no wait of 3 s.
const ISOLATION_WAIT: time::Duration = time::Duration::from_millis(1_500);
/// How long after a loss without a suspect the cluster counts as calm again. Users allow a
/// long-running task 7 s from the end of a disturbance.
const CALM_AFTER: time::Duration = time::Duration::from_secs(5);
/// The longest time that a task waits for calm.
const CALM_WAIT: time::Duration = time::Duration::from_secs(20);
/// How long a start waits for the outcome of the previous one, if its worker may be lost: that loss
/// may be the last that the task is allowed, and a crashed worker stays listed for some seconds.
const LOSS_OUTCOME_WAIT: time::Duration = time::Duration::from_secs(5);
/// How long a worker must be known until its incarnation counts as steady; a suspect would be
/// blamed for the loss of a worker that keeps restarting.
const STEADY_AFTER: time::Duration = time::Duration::from_secs(10);

/// Why a start is deferred until it can be isolated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Deferral {
    /// Too many workers were lost under the task.
    Withheld,
    /// Enough workers are reserved for other suspects.
    ManyReserved,
    /// Workers are still lost for other causes.
    NotCalm,
    /// The worker of the task's last run may still turn out to be lost.
    LossUndecided,
    /// The losses fail the job unless one of them still turns out to be correlated.
    CauseUndecided,
    /// No worker that runs nothing else accepts the task.
    NoEmptyWorker,
}

/// The degree to which a start is isolated from other tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Isolation {
    /// No isolation.
    None,
    /// Nothing new is placed on its worker until the task has run for a while.
    Initial,
    /// Like `Initial` but for longer, on a worker that runs nothing else, after losses have
    /// stopped.
    Full,
}

impl holding::Holding {
    /// Returns the degree to which the next start of a task must be isolated.
    fn required_isolation(&self, task: spec::TaskId) -> Isolation {
        if !self.has_losses(task) {
            return Isolation::None;
        }
        let losses = self.losses(task);
        match losses.all() {
            FULL_ISOLATION_LOSSES.. => Isolation::Full,
            ISOLATION_LOSSES.. => Isolation::Initial,
            _ if losses.suspected > 0 => Isolation::Initial,
            _ => Isolation::None,
        }
    }

    /// Returns whether a task avoids other tasks under which a worker was lost, before placement
    /// cost is compared: if its start must be isolated, or if such tasks are few. With many of
    /// them, avoiding them would only worsen the placement of sound tasks.
    pub(in crate::job) fn avoids_suspects(&self, task: spec::TaskId) -> bool {
        let few = self.loss_record.len() * RESERVED_DIVISOR <= self.views.len();
        self.required_isolation(task) > Isolation::None || few && self.has_losses(task)
    }

    /// Reserves the worker of a task for it if its start must be isolated, as long as few workers
    /// are reserved.
    pub(in crate::job) fn isolate_start(&mut self, task: spec::TaskId, worker: &id::Incarnation) {
        if self.required_isolation(task) == Isolation::None {
            return;
        }
        self.loss_record.clear_deferred(task);
        self.note_start_of_withheld(task);
        self.release_reservations(|reserved| reserved == task);
        let kept = self.may_reserve_worker(task);
        let losses = self.losses(task).all();
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        tracing::info!(%task, %worker, losses, kept, tasks = view.tasks.len(), "isolated start");
        if kept {
            view.reserved_for = Some(task);
        }
    }

    /// Releases the reservations of workers whose tasks match a condition.
    pub(in crate::job) fn release_reservations(&mut self, matches: impl Fn(spec::TaskId) -> bool) {
        for view in self.views.values_mut() {
            self.changed |= view.reserved_for.take_if(|reserved| matches(*reserved)).is_some();
        }
    }

    /// Releases the reservation of a task's worker once the task has run there for long enough.
    pub(in crate::job) fn end_isolation(&mut self, task: spec::TaskId, at_work: time::Duration) {
        if self.required_isolation(task) == Isolation::Full && at_work < FULL_ISOLATION_TIME {
            return;
        }
        let worker = self.placed.get(&task).map(|placed| placed.worker.clone());
        if let Some(view) = worker.and_then(|worker| self.views.get_mut(&worker)) {
            self.changed |= view.reserved_for.take_if(|reserved| *reserved == task).is_some();
        }
    }

    /// Returns whether a start is deferred until it can be isolated as required; deferral is
    /// bounded, and ends before the job of a batch task starves.
    pub(in crate::job) fn defers_start(
        &mut self,
        ready: &work::Ready,
        step: &spec::Step,
        now: time::Duration,
    ) -> bool {
        let waited = now.saturating_sub(ready.since);
        let deferral = match self.required_isolation(ready.task) {
            _ if started_together(ready, step).any(|task| self.is_withheld(task, now)) => {
                Some(Deferral::Withheld)
            }
            _ if started_together(ready, step).any(|task| self.may_have_no_start(task)) => {
                Some(Deferral::LossUndecided)
            }
            _ if started_together(ready, step).any(|task| self.awaits_decision(task)) => {
                Some(Deferral::CauseUndecided)
            }
            _ if step.gang => self.defers_gang(ready, step, now).then_some(Deferral::NotCalm),
            Isolation::None => None,
            Isolation::Initial => (waited < ISOLATION_WAIT && !self.may_reserve_worker(ready.task))
                .then_some(Deferral::ManyReserved),
            Isolation::Full => self.defers_full_isolation(ready, step, now),
        };
        let deferral = deferral.filter(|reason| {
            self.waits_beyond_bound(ready, step, *reason)
                || !starvation::ends_deferral(self, ready, now)
        });
        if let Some(reason) = deferral
            && self.loss_record.mark_deferred(ready.task, now)
        {
            tracing::info!(
                task = %ready.task, losses = self.losses(ready.task).all(), ?reason,
                waited_ms = worker::millis(waited),
                calm_in_ms = worker::millis(self.calm_from().saturating_sub(now)),
                "start deferred until it can be isolated"
            );
        }
        deferral.is_some()
    }

    /// Returns whether a start is deferred even beyond the bound for starving jobs.
    ///
    /// So is the last one that its task or a member of its gang has, as far as is known: if its
    /// worker is lost by chance, a sound job fails for good. Where chance losses were told apart
    /// before, the next one will be too, and there is no need to wait for calm.
    fn waits_beyond_bound(&self, ready: &work::Ready, step: &spec::Step, reason: Deferral) -> bool {
        let is_last = |task| self.has_last_start(task) || self.may_have_no_start(task);
        match reason {
            // The decision takes less time than the bound, counted from the loss.
            Deferral::CauseUndecided | Deferral::Withheld => true,
            Deferral::NotCalm => started_together(ready, step)
                .any(|task| is_last(task) && !self.has_mostly_correlated_losses(task)),
            Deferral::ManyReserved | Deferral::LossUndecided | Deferral::NoEmptyWorker => {
                started_together(ready, step).any(is_last)
            }
        }
    }

    /// Returns whether a gang is deferred until losses stop, since one of its members requires full
    /// isolation. All members start together, so none waits for an empty worker.
    fn defers_gang(&self, ready: &work::Ready, step: &spec::Step, now: time::Duration) -> bool {
        let mut members = started_together(ready, step);
        let waits = now < self.calm_from().min(ready.since + CALM_WAIT);
        waits && members.any(|member| self.required_isolation(member) == Isolation::Full)
    }

    /// Returns why a start that requires full isolation is deferred, until losses stop and an empty
    /// worker can be reserved for it.
    fn defers_full_isolation(
        &mut self,
        ready: &work::Ready,
        step: &spec::Step,
        now: time::Duration,
    ) -> Option<Deferral> {
        if now < ready.since + LOSS_OUTCOME_WAIT && self.undecided_losses(ready.task) > 0 {
            return Some(Deferral::LossUndecided);
        }
        let deadline = ready.since + CALM_WAIT;
        if now < self.calm_from().min(deadline) {
            return Some(Deferral::NotCalm);
        }
        let quiet = self.no_losses_from().max(ready.since);
        if now >= (quiet + ISOLATION_WAIT).min(deadline) {
            return None;
        }
        if !self.may_reserve_worker(ready.task) {
            return Some(Deferral::ManyReserved);
        }
        if self.has_empty_worker(ready.task, step, now) {
            return None;
        }
        self.reserve_to_empty(ready.task, step, now);
        Some(Deferral::NoEmptyWorker)
    }

    /// Reserves the worker with the lowest isolation cost for a task, so that it empties as its
    /// other tasks end.
    fn reserve_to_empty(&mut self, task: spec::TaskId, step: &spec::Step, now: time::Duration) {
        let Some(entry) = self.jobs.get(&task.job) else {
            return;
        };
        let service = &entry.policy.service;
        let would_accept = |view: &worker::View| {
            let obstacle = obstacle::hard(view, service, task, step, now);
            obstacle.is_none_or(|obstacle| obstacle == obstacle::Obstacle::Room)
                && obstacle::preference(view, task, step, now).is_none()
        };
        let is_reserved = |view: &worker::View| view.reserved_for == Some(task);
        if self.views.values().any(is_reserved) {
            return;
        }
        let ends = |view: &&worker::View| step.reserved().fits(&view.free_in_time());
        let views = self.views.values().filter(|view| would_accept(view)).filter(ends);
        let least = views.min_by_key(|view| IsolationCost::of(self, task, view, now));
        let worker = least.map(|view| view.member.incarnation.clone());
        if let Some(view) = worker.and_then(|worker| self.views.get_mut(&worker)) {
            view.reserved_for = Some(task);
        }
    }

    /// Returns the time from which on no worker has been lost for `CALM_AFTER`, whatever the cause.
    fn no_losses_from(&self) -> time::Duration {
        self.loss_record.last_end().map_or(time::Duration::ZERO, |at| at + CALM_AFTER)
    }

    /// Returns the time from which on no worker has been lost for `CALM_AFTER` without a suspect.
    fn calm_from(&self) -> time::Duration {
        self.loss_record.last_without_suspect().map_or(time::Duration::ZERO, |at| at + CALM_AFTER)
    }

    /// Returns whether an empty worker accepts a task.
    fn has_empty_worker(&self, task: spec::TaskId, step: &spec::Step, now: time::Duration) -> bool {
        let Some(entry) = self.jobs.get(&task.job) else {
            return false;
        };
        let service = &entry.policy.service;
        let mut empty = self.views.values().filter(|view| view.tasks.is_empty());
        empty.any(|view| obstacle::plain(view, service, task, step, now).is_none())
    }

    /// Returns whether one more worker may be reserved for a suspect. Silent workers don't count,
    /// since other work can't use them.
    fn may_reserve_worker(&self, task: spec::TaskId) -> bool {
        let again = self.losses(task).all() >= FULL_ISOLATION_LOSSES;
        let max =
            self.views.len() / if again { RESERVED_DIVISOR_REPEATED } else { RESERVED_DIVISOR };
        let max = max.max(1);
        let others =
            |view: &&worker::View| view.reserved_for.is_some_and(|reserved| reserved != task);
        let reserved =
            self.views.values().filter(others).filter(|view| view.missed_heartbeats == 0);
        reserved.count() < max
    }
}

/// Returns the tasks that start together: the members of a gang, or the task by itself.
pub(in crate::job) fn started_together(
    ready: &work::Ready,
    step: &spec::Step,
) -> impl Iterator<Item = spec::TaskId> + use<> {
    let task = ready.task;
    let indices = if step.gang { 0..step.count } else { task.index..task.index + 1 };
    indices.map(move |index| spec::TaskId { index, ..task })
}

/// The cost of starting a suspect on a worker, compared in the order of the fields before other
/// placement criteria.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::job) struct IsolationCost {
    /// Full isolation is required and the worker runs something.
    occupied: bool,
    /// The worker was lost under this task in an earlier incarnation.
    lost_before: bool,
    /// The tasks there under which a worker was lost too; a further loss could not be attributed to
    /// one of them.
    suspects: usize,
    /// The number of its incarnations that ended recently; such a worker may fail for another
    /// reason.
    recent_ends: usize,
    /// Its incarnation is not steady yet, so it may fail for another reason.
    unsteady: bool,
    /// The number of tasks that would lose their work.
    tasks: usize,
}

impl IsolationCost {
    /// Returns the isolation cost of a worker for a task.
    pub fn of(
        holding: &holding::Holding,
        task: spec::TaskId,
        view: &worker::View,
        now: time::Duration,
    ) -> Self {
        let worker = &view.member.incarnation.worker;
        let unsteady = now.saturating_sub(view.known_since) < STEADY_AFTER;
        let suspects = view.tasks.iter().filter(|task| holding.has_losses(**task)).count();
        let isolation = holding.required_isolation(task);
        if isolation == Isolation::None {
            return Self { suspects: suspects.min(1), ..Self::default() };
        }
        Self {
            occupied: isolation == Isolation::Full && !view.tasks.is_empty(),
            lost_before: holding.loss_record.contains_worker(task, worker),
            recent_ends: holding.loss_record.recent_ends(worker, now),
            unsteady,
            suspects,
            tasks: view.tasks.len(),
        }
    }
}
