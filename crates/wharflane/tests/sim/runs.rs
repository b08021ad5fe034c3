//! The runs that the engine ordered in the simulation, and their ends.

use wharflane::{id, job};

use super::Sim;

impl Sim {
    /// Ends the newest run of a task; heartbeat answers report it from then on.
    pub fn end_task(&mut self, task: job::TaskId, kind: job::EndKind) {
        let order = self.newest_order(task);
        self.end_run(&order, kind, String::new());
    }

    /// Ends the run of an order with a checkpoint; heartbeat answers report it from then on.
    pub fn end_run(&mut self, order: &job::Order, kind: job::EndKind, checkpoint: String) {
        let number =
            self.ended_runs.iter().filter(|(worker, _)| *worker == order.worker).count() + 1;
        let number = u64::try_from(number).expect("fits into u64");
        let ended = job::Ended { number, task: order.task, run: order.run, kind, checkpoint };
        self.ended_runs.push((order.worker.clone(), ended));
    }

    /// Returns the newest order to start a task in `pending`, or `None` if there is none.
    pub fn last_order(&self, task: job::TaskId) -> Option<job::Order> {
        self.has_started(task).then(|| self.newest_order(task))
    }

    /// Returns the newest order to start a task in `pending`. Panics if there is none.
    pub fn newest_order(&self, task: job::TaskId) -> job::Order {
        let starts = self.pending.iter().filter_map(|effect| match effect {
            job::Effect::Start(start) if start.order.task == task => Some(&start.order),
            _ => None,
        });
        starts.max_by_key(|order| order.run).expect("a started task").clone()
    }

    /// Returns the worker of the first start of a task in `pending`. Panics if there is none.
    pub fn worker_of(&self, task: job::TaskId) -> id::Incarnation {
        let started = self.pending.iter().find_map(|effect| match effect {
            job::Effect::Start(start) if start.order.task == task => Some(&start.order.worker),
            _ => None,
        });
        started.expect("a started task").clone()
    }

    /// Returns whether the run of an order, or a later run of its task, has ended.
    pub(super) fn has_ended(&self, order: &job::Order) -> bool {
        self.ended_runs.iter().any(|(_, ended)| ended.task == order.task && ended.run >= order.run)
    }

    /// Returns the ended runs that the answer to a heartbeat lists: the first of those that it does
    /// not acknowledge yet.
    pub(super) fn unacknowledged_ends(&self, heartbeat: &job::Heartbeat) -> Vec<job::Ended> {
        let here = self.ended_runs.iter().filter(|(worker, ended)| {
            *worker == heartbeat.worker && ended.number > heartbeat.acknowledged_end
        });
        here.map(|(_, ended)| ended.clone()).take(self.max_listed_ends).collect()
    }

    /// Returns whether an order to start a task is in `pending`.
    pub fn has_started(&self, task: job::TaskId) -> bool {
        self.pending
            .iter()
            .any(|effect| matches!(effect, job::Effect::Start(start) if start.order.task == task))
    }

    /// Returns the starts of a job as pairs of task index and run number.
    pub fn starts(&self, job: u64) -> Vec<(u32, u32)> {
        let starts = self.pending.iter().filter_map(|effect| match effect {
            job::Effect::Start(start) if start.order.task.job.0 == job => Some(start),
            _ => None,
        });
        starts.map(|start| (start.order.task.index, start.order.run)).collect()
    }
}
