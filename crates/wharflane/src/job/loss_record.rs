//! The tasks under which workers were lost, and the losses that none of them explains.

use std::collections;
use std::time;

use super::spec;
use crate::id;

/// The most losses without a cause among the tasks that are remembered: more say nothing more.
const MOST_REMEMBERED: usize = 1_000;
/// How long a worker that was lost is taken for one that may be lost again, in whichever incarnation.
const UNSTEADY: time::Duration = time::Duration::from_secs(60);

/// What may have caused the loss of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Cause {
    /// Nothing had just started there.
    Elsewhere,
    /// A task that had just started.
    Start,
}

/// The tasks under which a worker was lost, as far as that still counts, and how workers were lost lately.
#[derive(Debug, Default)]
pub(super) struct LossRecord {
    /// The tasks, with the workers that this holder saw being lost under them.
    tasks: collections::BTreeMap<spec::TaskId, collections::BTreeSet<id::WorkerId>>,
    /// The tasks whose next start is held back.
    held: collections::BTreeSet<spec::TaskId>,
    /// When workers were lost where nothing had just started, the latest last.
    elsewhere: collections::VecDeque<time::Duration>,
    /// When a worker was last lost, as far as is known, where nothing had just started.
    last_elsewhere: Option<time::Duration>,
    /// When incarnations of a worker ended lately, the latest last.
    ends: collections::BTreeMap<id::WorkerId, collections::VecDeque<time::Duration>>,
}

impl LossRecord {
    /// Adds a task under which an earlier holder saw a worker being lost. What else was lost then is not known, so it is
    /// taken for a trouble that lasted until now.
    pub fn inherit(&mut self, task: spec::TaskId, now: time::Duration) {
        self.tasks.entry(task).or_default();
        self.last_elsewhere = Some(now);
    }

    /// Adds a task with the worker that was lost under it.
    pub fn add(&mut self, task: spec::TaskId, worker: &id::WorkerId) {
        self.tasks.entry(task).or_default().insert(worker.clone());
    }

    /// Returns whether a worker was lost under a task, and that still counts.
    pub fn contains(&self, task: spec::TaskId) -> bool {
        self.tasks.contains_key(&task)
    }

    /// Returns whether this worker was lost under a task, in whichever incarnation.
    pub fn contains_worker(&self, task: spec::TaskId, worker: &id::WorkerId) -> bool {
        self.tasks.get(&task).is_some_and(|workers| workers.contains(worker))
    }

    /// Returns how many tasks there are.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Notes that the next start of a task is held back; returns whether that is news.
    pub fn begin_hold(&mut self, task: spec::TaskId) -> bool {
        self.held.insert(task)
    }

    /// Notes that a task is started.
    pub fn end_hold(&mut self, task: spec::TaskId) {
        self.held.remove(&task);
    }

    /// Forgets a task whose losses count no more.
    pub fn forget(&mut self, task: spec::TaskId) {
        self.tasks.remove(&task);
        self.held.remove(&task);
    }

    /// Forgets the tasks of a job.
    pub fn forget_job(&mut self, job: spec::JobId) {
        self.tasks.retain(|task, _| task.job != job);
        self.held.retain(|task| task.job != job);
    }

    /// Notes the end of a worker's incarnation that was not planned.
    pub fn note_end(&mut self, worker: &id::WorkerId, cause: Cause, now: time::Duration) {
        if cause == Cause::Elsewhere {
            if self.elsewhere.len() >= MOST_REMEMBERED {
                self.elsewhere.pop_front();
            }
            self.elsewhere.push_back(now);
            self.last_elsewhere = Some(now);
        }
        let since = now.saturating_sub(UNSTEADY);
        self.ends.retain(|_, ends| ends.back().is_some_and(|last| *last >= since));
        let ends = self.ends.entry(worker.clone()).or_default();
        ends.retain(|end| *end >= since);
        ends.push_back(now);
    }

    /// Returns how many incarnations of a worker have ended lately.
    pub fn ends(&self, worker: &id::WorkerId, now: time::Duration) -> usize {
        let since = now.saturating_sub(UNSTEADY);
        let ends = self.ends.get(worker);
        ends.map_or(0, |ends| ends.iter().rev().take_while(|end| **end >= since).count())
    }

    /// Returns when an incarnation last ended that was not planned.
    pub fn last_end(&self) -> Option<time::Duration> {
        self.ends.values().filter_map(|ends| ends.back().copied()).max()
    }

    /// Returns how many workers were lost since a time where nothing had just started.
    pub fn elsewhere(&self, since: time::Duration) -> usize {
        self.elsewhere.iter().rev().take_while(|at| **at >= since).count()
    }

    /// Returns when a worker was last lost, as far as is known, where nothing had just started.
    pub fn last_elsewhere(&self) -> Option<time::Duration> {
        self.last_elsewhere
    }
}
