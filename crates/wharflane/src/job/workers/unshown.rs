//! Starts that the addressed incarnation of a worker has not shown to have taken.
//!
//! An order names its worker by the id alone, so one for an incarnation that is over may be carried
//! out by the next one. The clock of that one has begun again: the lease in the order ends far
//! beyond its reading, and it cuts it to the longest that it grants, from when the order arrives. A
//! holder that learns of the next incarnation counts with that (see `incarnations`). Before, it
//! must count with it for every run that the addressed incarnation has not shown, by listing it or
//! by its clock in the answer to the start. A run that it has shown ends with it.
//!
//! What bounds such a run is its lease alone. A worker that is out of the store's list may live: it
//! is cut off from the store as well. So a missing entry never ends the wait for a call that may
//! have arrived in time. It ends the wait for calls that are carried out seconds late, which would
//! keep each task of a worker that is lost for good, unless there is a sign of them: the worker
//! answered heartbeats while an order had no answer, or another incarnation took the start.
//!
//! The next holder has heard none of the answers. Rows of progress name the tasks whose starts are
//! not shown, and the lease row tells up to which version of the store all starts are, so that a
//! start needs no further write once it is shown.

use std::collections;
use std::time;

use crate::id;
use crate::job::holding;
use crate::job::progress;
use crate::job::runs::order;
use crate::job::runs::work;
use crate::job::spec;
use crate::job::workers::worker;

/// How long after it was sent a call without an answer may still be carried out.
pub(in crate::job) const MAX_CALL_DELAY: time::Duration = time::Duration::from_secs(12);
/// How much older than its arrival an answer may be: a heartbeat waits up to 1 s for a run to end,
/// and a call may take 0.6 s.
const MAX_ANSWER_AGE: time::Duration = time::Duration::from_millis(2_000);

/// How long after the decision to make it a call arrives at its worker unless it is carried out late:
/// it is sent within 0.2 s and given up 0.6 s later.
pub(in crate::job) const MAX_CALL_TIME: time::Duration = time::Duration::from_millis(800);
/// How long a worker must be out of the store's list until no call is expected to be carried out
/// late there: after an outage of the store, entries of workers that live are back within 2 s.
const GONE_AFTER: time::Duration = time::Duration::from_secs(3);

/// A start that is not shown.
#[derive(Clone, Copy, Debug)]
struct Unshown {
    /// The version of the store at which it was recorded, or a later one of its row.
    recorded: u64,
    /// The number of its orders that were sent or may have been; `u32::MAX` if an earlier holder
    /// sent them.
    orders: u32,
    /// Until when an order for it that had no answer may have arrived in time; zero if each was
    /// answered.
    arrived_until: time::Duration,
    /// Whether the addressed incarnation has it since all orders that are not late have arrived, so
    /// that only a late one may still reach the next incarnation.
    only_late: bool,
    /// Whether the worker answered other calls while an order for it had no answer, so that the order
    /// may be one that is carried out late.
    may_be_late: bool,
    /// Whether another incarnation than the addressed one took an order for it.
    taken_by_next: bool,
    /// Whether it was logged that its task is kept beyond the leases of the addressed incarnation.
    kept: bool,
}

impl Unshown {
    /// Returns the record of a start whose orders, if any, were sent by earlier holders and may
    /// arrive in time until `arrived_until`.
    fn new(recorded: u64, orders: u32, arrived_until: time::Duration) -> Self {
        Self {
            recorded,
            orders,
            arrived_until,
            only_late: false,
            may_be_late: false,
            taken_by_next: false,
            kept: false,
        }
    }

    /// Returns until when an order for it that had no answer may still be carried out; zero if each
    /// was answered.
    fn late_until(&self) -> time::Duration {
        match self.arrived_until {
            time::Duration::ZERO => time::Duration::ZERO,
            until => until + MAX_CALL_DELAY,
        }
    }
}

/// The recorded starts that are not shown, by task.
#[derive(Debug, Default)]
pub(in crate::job) struct UnshownStarts(collections::BTreeMap<spec::TaskId, Unshown>);

/// A start of an earlier holder that is not shown.
#[derive(Clone, Copy, Debug)]
pub(in crate::job) struct InheritedStart {
    /// The task.
    pub task: spec::TaskId,
    /// The version of its row of progress.
    pub recorded: u64,
    /// Until when an order for it may arrive in time.
    pub arrived_until: time::Duration,
}

impl UnshownStarts {
    /// Adds a start that was recorded at a version of the store and is not ordered yet.
    pub fn add(&mut self, task: spec::TaskId, recorded: u64) {
        self.0.insert(task, Unshown::new(recorded, 0, time::Duration::ZERO));
    }

    /// Adds a start of an earlier holder.
    pub fn inherit(&mut self, start: InheritedStart) {
        let InheritedStart { task, recorded, arrived_until } = start;
        self.0.insert(task, Unshown::new(recorded, u32::MAX, arrived_until));
    }

    /// Notes that an order to start a task is sent.
    pub fn note_ordered(&mut self, task: spec::TaskId) {
        if let Some(unshown) = self.0.get_mut(&task) {
            unshown.orders = unshown.orders.saturating_add(1);
            unshown.only_late = false;
        }
    }

    /// Notes that an order to start a task has had no answer until now.
    pub fn note_unanswered(&mut self, task: spec::TaskId, now: time::Duration) {
        if let Some(unshown) = self.0.get_mut(&task) {
            unshown.arrived_until = now;
        }
    }

    /// Notes that the worker of a task answers, and when it last left a heartbeat unanswered. An order
    /// of this holder that has had no answer since then may be carried out late.
    fn note_answers(&mut self, task: spec::TaskId, last_silent: Option<time::Duration>) {
        let Some(unshown) = self.0.get_mut(&task).filter(|unshown| unshown.orders < u32::MAX)
        else {
            return;
        };
        let answers_since = last_silent.map_or(time::Duration::ZERO, |at| at + MAX_CALL_TIME);
        unshown.may_be_late |= unshown.arrived_until > answers_since;
    }

    /// Notes that another incarnation than the addressed one has taken an order to start a task.
    fn note_taken_by_next(&mut self, task: spec::TaskId) {
        if let Some(unshown) = self.0.get_mut(&task) {
            unshown.taken_by_next = true;
        }
    }

    /// Notes that the addressed incarnation has taken the last order to start a task, or listed its
    /// run in answer to a heartbeat sent at `sent`; returns whether the start is shown by that. An
    /// order other than the one that was carried out may still reach the next incarnation.
    /// `confirmed` is when the last order was answered.
    fn note_shown(
        &mut self,
        task: spec::TaskId,
        sent: time::Duration,
        confirmed: Option<time::Duration>,
    ) -> bool {
        let Some(unshown) = self.0.get_mut(&task) else {
            return false;
        };
        let shown = unshown.orders == 1 || unshown.late_until() <= sent;
        let arrived_until = confirmed.unwrap_or_default().max(unshown.arrived_until);
        unshown.only_late |= arrived_until <= sent;
        shown && self.0.remove(&task).is_some()
    }

    /// Removes a task that is no longer placed.
    pub fn remove(&mut self, task: spec::TaskId) {
        self.0.remove(&task);
    }

    /// Returns whether a task's start is not shown.
    pub fn contains(&self, task: spec::TaskId) -> bool {
        self.0.contains_key(&task)
    }

    /// Returns the version up to which all recorded starts are shown, `current` being that of the
    /// last commit.
    pub fn shown_upto(&self, current: u64) -> u64 {
        let first = self.0.values().map(|unshown| unshown.recorded).min();
        first.map_or(current, |first| current.min(first.saturating_sub(1)))
    }
}

/// Which incarnation took a start, by the clock in its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Taker {
    /// The addressed one.
    Addressed,
    /// A later one.
    Next,
    /// It can't be told.
    Unknown,
}

/// Returns which incarnation took a start that was ordered from the one of a view.
///
/// All clocks of a worker begin with the same reading. A later incarnation began after the last
/// answer of the addressed one, so its clock has advanced no more than the time since then; that of
/// the addressed one has advanced by the time for which it was known before, in addition. Both are
/// told apart once that time exceeds what answers and slow clocks may be off.
fn taker(view: &worker::View, clock_ms: u64, now: time::Duration) -> Taker {
    let (Some((last_ms, answered)), Some(earliest_ms)) = (view.last_answer, view.clock_ms(now))
    else {
        return Taker::Unknown;
    };
    // Answers on different connections may pass each other.
    let latest_ms = clock_ms.saturating_add(worker::millis(MAX_ANSWER_AGE));
    if latest_ms < last_ms {
        return Taker::Next;
    }
    let age = answered.saturating_sub(view.known_since);
    let slow = worker::slowness(now.saturating_sub(answered));
    if latest_ms >= earliest_ms && age > MAX_ANSWER_AGE * 3 + slow {
        Taker::Addressed
    } else {
        Taker::Unknown
    }
}

impl holding::Holding {
    /// Notes which incarnation took a start. If it is not the addressed one, a heartbeat asks at
    /// once which one answers.
    pub(in crate::job) fn note_taken(
        &mut self,
        order: &order::Order,
        clock_ms: u64,
        now: time::Duration,
    ) {
        let Some(view) = self.views.get_mut(&order.worker) else {
            return;
        };
        match taker(view, clock_ms, now) {
            Taker::Addressed => self.note_shown(order.task, now.saturating_sub(MAX_ANSWER_AGE)),
            Taker::Unknown => {}
            Taker::Next => {
                view.heartbeat_due = view.heartbeat_due.min(now);
                let last_ms = view.last_answer.map(|(last_ms, _)| last_ms);
                self.taken_by_others += 1;
                self.unshown.note_taken_by_next(order.task);
                tracing::warn!(
                    task = %order.task, run = order.run, worker = %order.worker, clock_ms, last_ms,
                    "start taken by another incarnation than the addressed one"
                );
            }
        }
    }

    /// Notes that a worker answers heartbeats, for its starts whose orders had no answer.
    pub(in crate::job) fn note_answers(&mut self, worker: &id::Incarnation) {
        if let Some(view) = self.views.get(worker) {
            let tasks = view.tasks.iter();
            tasks.for_each(|task| self.unshown.note_answers(*task, view.last_silent));
        }
    }

    /// Notes that the addressed incarnation has taken a start, or listed its run in answer to a
    /// heartbeat sent at `sent`.
    pub(in crate::job) fn note_shown(&mut self, task: spec::TaskId, sent: time::Duration) {
        let confirmed = self.placed.get(&task).and_then(work::Placed::confirmed_at);
        if self.unshown.note_shown(task, sent, confirmed)
            && let Some(state) = self.state_mut(task)
        {
            state.unshown = false;
        }
    }

    /// Notes that the start of an earlier holder is not shown. A row of an older version doesn't
    /// tell that, so it is written again.
    pub(in crate::job) fn mark_unshown(&mut self, task: spec::TaskId) {
        if let Some(state) = self.state_mut(task).filter(|state| !state.unshown) {
            state.unshown = true;
            self.mark_task(task);
        }
    }

    /// Returns the progress of a task.
    fn state_mut(&mut self, task: spec::TaskId) -> Option<&mut progress::Task> {
        self.jobs.get_mut(&task.job)?.progress.tasks.get_mut(&task.into())
    }

    /// Returns until when a task is assumed to run on an incarnation of its worker that nobody has
    /// heard of, or nothing if it can't.
    pub(in crate::job) fn next_lease_until(&self, task: spec::TaskId) -> Option<time::Duration> {
        let unshown = self.unshown.0.get(&task)?;
        let placed = self.placed.get(&task)?;
        // A worker without a start time never comes back under its id.
        if placed.worker.born_ms.is_none() || !self.may_reach_next_incarnation(task) {
            return None;
        }
        let granted = self.views.get(&placed.worker).and_then(|view| view.granted_at);
        let granted_until = |delay| granted.map_or(time::Duration::ZERO, |at| at + delay);
        let longest = worker::longest_by_holder_clock(self.settings.task_lease_max);
        let arrived_until = match unshown.only_late {
            true => time::Duration::ZERO,
            false => unshown.arrived_until.max(granted_until(MAX_CALL_TIME)) + longest,
        };
        let late_until = unshown.late_until().max(granted_until(MAX_CALL_DELAY)) + longest;
        let Some(unlisted_since) = self.unlisted_since(&placed.worker) else {
            return Some(late_until);
        };
        let least = match (unshown.taken_by_next, unshown.may_be_late) {
            (true, _) => late_until,
            (false, true) => arrived_until.max(unshown.late_until() + longest),
            (false, false) => arrived_until,
        };
        Some(late_until.min(unlisted_since + GONE_AFTER).max(least))
    }

    /// Returns since when the store has not listed a worker, as far as this holder knows, or
    /// nothing if it does.
    fn unlisted_since(&self, worker: &id::Incarnation) -> Option<time::Duration> {
        match self.views.get(worker) {
            Some(view) => view.unlisted_since,
            None => Some(self.acquired),
        }
    }

    /// Removes the tasks that may still run on an unknown incarnation of their worker from those
    /// that are to be freed, and logs each of them once.
    pub(in crate::job) fn keep_unshown(
        &mut self,
        tasks: Vec<spec::TaskId>,
        now: time::Duration,
    ) -> Vec<spec::TaskId> {
        let (kept, freed): (Vec<_>, Vec<_>) = tasks
            .into_iter()
            .partition(|task| self.next_lease_until(*task).is_some_and(|until| now < until));
        for task in kept {
            self.log_kept(task, now);
        }
        for task in &freed {
            self.log_given_up(*task, now);
        }
        freed
    }

    /// Logs and counts that a task is kept, unless that was done.
    fn log_kept(&mut self, task: spec::TaskId, now: time::Duration) {
        let until = self.next_lease_until(task).unwrap_or(now);
        let Some(unshown) = self.unshown.0.get_mut(&task).filter(|unshown| !unshown.kept) else {
            return;
        };
        unshown.kept = true;
        self.kept_for_next += 1;
        if let Some(placed) = self.placed.get(&task) {
            tracing::info!(
                %task, run = placed.run, worker = %placed.worker, state = ?placed.start_state,
                left_ms = worker::millis(until.saturating_sub(now)),
                "run kept since the next incarnation of its worker may have it"
            );
        }
    }

    /// Logs and counts that a task is given up whose start is not shown, with what bounded its wait.
    fn log_given_up(&mut self, task: spec::TaskId, now: time::Duration) {
        let Some(placed) = self.placed.get(&task).filter(|_| self.unshown.contains(task)) else {
            return;
        };
        self.unshown_given_up += 1;
        let granted = self.views.get(&placed.worker).and_then(|view| view.granted_at);
        let ms_since = |at: time::Duration| worker::millis(now.saturating_sub(at));
        tracing::info!(
            %task, run = placed.run, worker = %placed.worker, state = ?placed.start_state,
            since_call_ms = ms_since(granted.unwrap_or(self.acquired)),
            unlisted_ms = self.unlisted_since(&placed.worker).map(ms_since),
            longest_lease_ms = worker::millis(self.settings.task_lease_max),
            "run given up whose start was not shown"
        );
    }
}
