//! Judges the promises by what the fakes saw, and by nothing else.

use std::collections;

use wharflane::id;

use crate::history;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A worker was given more than it has.
    #[error("{worker} was given more than it has by {task}")]
    Overfull {
        /// The worker.
        worker: id::WorkerId,
        /// The task that was one too many.
        task: id::TaskId,
    },
    /// A batch task ran in two places at once.
    #[error("{task} ran on {first} and {second} at once")]
    TwoPlaces {
        /// The task.
        task: id::TaskId,
        /// Where it ran.
        first: id::WorkerId,
        /// Where it ran too.
        second: id::WorkerId,
    },
    /// A batch task came to its end more than once.
    #[error("{task} completed twice")]
    CompletedTwice {
        /// The task.
        task: id::TaskId,
    },
    /// A batch task ran again after its end.
    #[error("{task} started after it had completed")]
    StartedAfterEnd {
        /// The task.
        task: id::TaskId,
    },
    /// An attempt was started twice although it had ended by itself.
    #[error("{task} started attempt {attempt} again")]
    AttemptAgain {
        /// The task.
        task: id::TaskId,
        /// The attempt.
        attempt: u32,
    },
    /// A batch task never came to its end.
    #[error("{task} never completed")]
    NeverCompleted {
        /// The task.
        task: id::TaskId,
    },
}

/// What is known of one batch task while the events are walked.
#[derive(Debug, Default)]
struct TaskHistory {
    /// Where it runs.
    on: Option<(id::WorkerId, u32)>,
    /// Whether it came to its end.
    completed: bool,
    /// The attempts that stopped.
    ended: collections::BTreeSet<u32>,
}

/// Returns every broken promise that the events show.
#[must_use]
pub fn check(events: &[history::Event]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut tasks: collections::BTreeMap<id::TaskId, TaskHistory> = collections::BTreeMap::new();
    for event in events {
        match event {
            history::Event::Started { worker, task, attempt, batch, held, capacity, .. } => {
                if !held.fits(capacity) {
                    let (worker, task) = (worker.clone(), task.clone());
                    violations.push(Violation::Overfull { worker, task });
                }
                if *batch {
                    let task_history = tasks.entry(task.clone()).or_default();
                    started(&mut violations, task_history, worker, task, *attempt);
                }
            }
            history::Event::Stopped { worker, task, attempt, .. } => {
                if let Some(task_history) = tasks.get_mut(task) {
                    task_history.ended.insert(*attempt);
                    task_history.on.take_if(|(on, at)| on == worker && at == attempt);
                }
            }
            history::Event::Completed { worker, task, attempt } => {
                let task_history = tasks.entry(task.clone()).or_default();
                if task_history.completed {
                    violations.push(Violation::CompletedTwice { task: task.clone() });
                }
                task_history.completed = true;
                task_history.on.take_if(|(on, at)| on == worker && at == attempt);
            }
            history::Event::Ran { .. } => {}
        }
    }
    violations
}

/// Judges the start of a batch task.
fn started(
    violations: &mut Vec<Violation>,
    task_history: &mut TaskHistory,
    worker: &id::WorkerId,
    task: &id::TaskId,
    attempt: u32,
) {
    if let Some((first, _)) = &task_history.on {
        let (first, second) = (first.clone(), worker.clone());
        violations.push(Violation::TwoPlaces { task: task.clone(), first, second });
    }
    if task_history.completed {
        violations.push(Violation::StartedAfterEnd { task: task.clone() });
    }
    if task_history.ended.contains(&attempt) {
        violations.push(Violation::AttemptAgain { task: task.clone(), attempt });
    }
    task_history.on = Some((worker.clone(), attempt));
}

/// Returns the tasks that never came to their end.
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

/// Returns how often each request ran.
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
