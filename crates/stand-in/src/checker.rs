//! Checks the guarantees of the hall's scheduler against the recorded events, without access to its
//! state.

use std::collections;

use wharflane::id;

use crate::history;

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A task was started on a worker without enough free capacity.
    #[error("{task} overcommitted {worker}")]
    Overcommitted {
        /// The worker that was overcommitted.
        worker: id::WorkerId,
        /// The task whose start overcommitted it.
        task: id::TaskId,
    },
    /// A batch task ran on two workers, or twice on one, at the same time.
    #[error("{task} ran on {first} and {second} at once")]
    RanTwice {
        /// The task that ran twice.
        task: id::TaskId,
        /// The worker that already ran it.
        first: id::WorkerId,
        /// The worker that started it too.
        second: id::WorkerId,
    },
    /// A batch task completed more than once.
    #[error("{task} completed twice")]
    CompletedTwice {
        /// The task that completed twice.
        task: id::TaskId,
    },
    /// A batch task started after it had completed.
    #[error("{task} started after it had completed")]
    StartedAfterCompletion {
        /// The task that started again.
        task: id::TaskId,
    },
    /// An attempt started again after it had stopped.
    #[error("attempt {attempt} of {task} started again after it had stopped")]
    AttemptRestarted {
        /// The task whose attempt started again.
        task: id::TaskId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// A batch task never completed.
    #[error("{task} never completed")]
    NeverCompleted {
        /// The task that did not complete.
        task: id::TaskId,
    },
}

/// The state of one batch task after the events read so far.
#[derive(Debug, Default)]
struct TaskHistory {
    /// The worker that runs it and the number of the attempt; absent while it doesn't run.
    running_on: Option<(id::WorkerId, u32)>,
    /// Whether it has completed.
    completed: bool,
    /// The attempts that stopped.
    stopped: collections::BTreeSet<u32>,
}

/// Returns every violation that the events show.
#[must_use]
pub fn check(events: &[history::Event]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut tasks: collections::BTreeMap<id::TaskId, TaskHistory> = collections::BTreeMap::new();
    for event in events {
        match event {
            history::Event::Started { worker, task, attempt, batch, held, capacity, .. } => {
                if !held.fits(capacity) {
                    let (worker, task) = (worker.clone(), task.clone());
                    violations.push(Violation::Overcommitted { worker, task });
                }
                if *batch {
                    let task_history = tasks.entry(task.clone()).or_default();
                    check_start(&mut violations, task_history, worker, task, *attempt);
                }
            }
            history::Event::Stopped { worker, task, attempt, .. } => {
                if let Some(task_history) = tasks.get_mut(task) {
                    task_history.stopped.insert(*attempt);
                    task_history.running_on.take_if(|(on, at)| on == worker && at == attempt);
                }
            }
            history::Event::Completed { worker, task, attempt } => {
                let task_history = tasks.entry(task.clone()).or_default();
                if task_history.completed {
                    violations.push(Violation::CompletedTwice { task: task.clone() });
                }
                task_history.completed = true;
                task_history.running_on.take_if(|(on, at)| on == worker && at == attempt);
            }
            history::Event::Ran { .. } => {}
        }
    }
    violations
}

/// Checks the start of a batch task.
fn check_start(
    violations: &mut Vec<Violation>,
    task_history: &mut TaskHistory,
    worker: &id::WorkerId,
    task: &id::TaskId,
    attempt: u32,
) {
    if let Some((first, _)) = &task_history.running_on {
        let (first, second) = (first.clone(), worker.clone());
        violations.push(Violation::RanTwice { task: task.clone(), first, second });
    }
    if task_history.completed {
        violations.push(Violation::StartedAfterCompletion { task: task.clone() });
    }
    if task_history.stopped.contains(&attempt) {
        violations.push(Violation::AttemptRestarted { task: task.clone(), attempt });
    }
    task_history.running_on = Some((worker.clone(), attempt));
}

/// Returns a violation for each of the given tasks that never completed.
#[must_use]
pub fn unfinished<'a>(
    events: &[history::Event],
    tasks: impl Iterator<Item = &'a id::TaskId>,
) -> Vec<Violation> {
    let done: collections::BTreeSet<&id::TaskId> = events
        .iter()
        .filter_map(|event| match event {
            history::Event::Completed { task, .. } => Some(task),
            _ => None,
        })
        .collect();
    let missing = tasks.filter(|task| !done.contains(task));
    missing.map(|task| Violation::NeverCompleted { task: task.clone() }).collect()
}

/// Returns how often each request ran, by request id.
#[must_use]
pub fn runs(events: &[history::Event]) -> collections::BTreeMap<&str, u32> {
    let mut runs = collections::BTreeMap::new();
    for event in events {
        if let history::Event::Ran { request, .. } = event {
            *runs.entry(request.as_str()).or_default() += 1;
        }
    }
    runs
}
