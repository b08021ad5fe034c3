//! Records the tasks under which workers were lost, and the recent losses without a suspect among
//! the worker's tasks.

use std::collections;
use std::time;

use crate::id;
use crate::job::place::waits;
use crate::job::spec;

/// Maximum number of losses without a suspect that are recorded; more would not change any
/// decision.
const MAX_RECORDED: usize = 1_000;
/// How long after a loss a worker counts as unsteady, in whichever incarnation.
const UNSTEADY_FOR: time::Duration = time::Duration::from_secs(60);

/// The possible cause of a worker's loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::job) enum Cause {
    /// No task had just started there, so no start caused the loss.
    NoSuspect,
    /// A task had just started there and may have crashed it.
    Suspect,
}

/// The tasks against which losses of workers still count, and the recent losses of workers.
#[derive(Debug, Default)]
pub(in crate::job) struct LossRecord {
    /// The tasks, each with the workers that this holder saw being lost under it.
    tasks: collections::BTreeMap<spec::TaskId, collections::BTreeSet<id::WorkerId>>,
    /// The tasks whose next start is deferred, each with the time at which that was last logged.
    deferred: collections::BTreeMap<spec::TaskId, time::Duration>,
    /// The tasks whose start is withheld, or was.
    withheld: collections::BTreeMap<spec::TaskId, Withheld>,
    /// When workers were lost without a suspect, latest last.
    without_suspect: collections::VecDeque<time::Duration>,
    /// When a worker was last lost without a suspect, or may have been.
    last_without_suspect: Option<time::Duration>,
    /// When any worker was last lost, whatever the cause.
    last_end: Option<time::Duration>,
    /// When incarnations of each worker recently ended, latest last.
    ends: collections::BTreeMap<id::WorkerId, collections::VecDeque<time::Duration>>,
}

/// A start that is withheld, or was.
#[derive(Clone, Copy, Debug)]
struct Withheld {
    /// The number of losses for which it is withheld.
    losses: u32,
    /// When that ends.
    until: time::Duration,
}

impl LossRecord {
    /// Adds a task with a loss recorded by an earlier holder. Whether other workers were lost at
    /// that time is unknown, so the last loss without a suspect is assumed to be now.
    pub fn inherit(&mut self, task: spec::TaskId, now: time::Duration) {
        self.tasks.entry(task).or_default();
        self.last_without_suspect = Some(now);
    }

    /// Adds a task with the worker that was lost under it.
    pub fn add(&mut self, task: spec::TaskId, worker: &id::WorkerId) {
        self.tasks.entry(task).or_default().insert(worker.clone());
    }

    /// Returns whether a loss of a worker counts against a task.
    pub fn contains(&self, task: spec::TaskId) -> bool {
        self.tasks.contains_key(&task)
    }

    /// Returns whether this worker was lost under a task, in whichever incarnation.
    pub fn contains_worker(&self, task: spec::TaskId, worker: &id::WorkerId) -> bool {
        self.tasks.get(&task).is_some_and(|workers| workers.contains(worker))
    }

    /// Returns the number of tasks against which losses count.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Marks the next start of a task as deferred; returns whether that is due to be logged.
    pub fn mark_deferred(&mut self, task: spec::TaskId, now: time::Duration) -> bool {
        let logged = self.deferred.get(&task);
        let due = logged.is_none_or(|at| now.saturating_sub(*at) >= waits::LOG_INTERVAL);
        if due {
            self.deferred.insert(task, now);
        }
        due
    }

    /// Clears the mark of a deferred start once the task is started.
    pub fn clear_deferred(&mut self, task: spec::TaskId) {
        self.deferred.remove(&task);
    }

    /// Withholds the start of a task for its losses; returns false if that was done for as many
    /// before.
    pub fn withhold(&mut self, task: spec::TaskId, losses: u32, until: time::Duration) -> bool {
        if self.withheld.get(&task).is_some_and(|before| before.losses >= losses) {
            return false;
        }
        self.withheld.insert(task, Withheld { losses, until });
        true
    }

    /// Returns until when the start of a task is withheld, if it is or was.
    pub fn withheld_until(&self, task: spec::TaskId) -> Option<time::Duration> {
        self.withheld.get(&task).map(|withheld| withheld.until)
    }

    /// Returns the number of tasks whose start is withheld.
    pub fn withheld(&self, now: time::Duration) -> usize {
        self.withheld.values().filter(|withheld| now < withheld.until).count()
    }

    /// Removes a task whose losses no longer count.
    pub fn forget(&mut self, task: spec::TaskId) {
        self.withheld.remove(&task);
        self.tasks.remove(&task);
        self.deferred.remove(&task);
    }

    /// Removes all tasks of an ended job.
    pub fn forget_job(&mut self, job: spec::JobId) {
        self.tasks.retain(|task, _| task.job != job);
        self.deferred.retain(|task, _| task.job != job);
        self.withheld.retain(|task, _| task.job != job);
    }

    /// Records the unplanned end of a worker's incarnation, which is known now, with the time since
    /// which the worker may have been lost.
    pub fn note_end(
        &mut self,
        worker: &id::WorkerId,
        cause: Cause,
        lost_at: time::Duration,
        now: time::Duration,
    ) {
        self.last_end = self.last_end.max(Some(lost_at));
        if cause == Cause::NoSuspect {
            if self.without_suspect.len() >= MAX_RECORDED {
                self.without_suspect.pop_front();
            }
            self.without_suspect.push_back(now);
            self.last_without_suspect = self.last_without_suspect.max(Some(lost_at));
        }
        let since = now.saturating_sub(UNSTEADY_FOR);
        self.ends.retain(|_, ends| ends.back().is_some_and(|last| *last >= since));
        let ends = self.ends.entry(worker.clone()).or_default();
        ends.retain(|end| *end >= since);
        ends.push_back(now);
    }

    /// Returns how many incarnations of a worker have ended within `UNSTEADY_FOR`.
    pub fn recent_ends(&self, worker: &id::WorkerId, now: time::Duration) -> usize {
        let since = now.saturating_sub(UNSTEADY_FOR);
        let ends = self.ends.get(worker);
        ends.map_or(0, |ends| ends.iter().rev().take_while(|end| **end >= since).count())
    }

    /// Returns when any worker was last lost unplanned.
    pub fn last_end(&self) -> Option<time::Duration> {
        self.last_end
    }

    /// Returns how many workers were lost without a suspect since a time.
    pub fn without_suspect(&self, since: time::Duration) -> usize {
        self.without_suspect.iter().rev().take_while(|at| **at >= since).count()
    }

    /// Returns when a worker was last lost without a suspect, or may have been.
    pub fn last_without_suspect(&self) -> Option<time::Duration> {
        self.last_without_suspect
    }
}
