//! Judges the promises by what the fakes saw, and by nothing else.

use std::collections;

use wharflane::id;

use crate::ledger;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Broken {
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

/// What is known of one batch task while the facts are walked.
#[derive(Debug, Default)]
struct Story {
    /// Where it runs.
    on: Option<(id::WorkerId, u32)>,
    /// Whether it came to its end.
    completed: bool,
    /// The attempts that stopped.
    ended: collections::BTreeSet<u32>,
}

/// Returns every broken promise that the facts show.
#[must_use]
pub fn check(facts: &[ledger::Fact]) -> Vec<Broken> {
    let mut broken = Vec::new();
    let mut stories: collections::BTreeMap<id::TaskId, Story> = collections::BTreeMap::new();
    for fact in facts {
        match fact {
            ledger::Fact::Started { worker, task, attempt, batch, held, capacity, .. } => {
                if !held.fits(capacity) {
                    let (worker, task) = (worker.clone(), task.clone());
                    broken.push(Broken::Overfull { worker, task });
                }
                if *batch {
                    let story = stories.entry(task.clone()).or_default();
                    started(&mut broken, story, worker, task, *attempt);
                }
            }
            ledger::Fact::Stopped { worker, task, attempt, .. } => {
                if let Some(story) = stories.get_mut(task) {
                    story.ended.insert(*attempt);
                    story.on.take_if(|(on, at)| on == worker && at == attempt);
                }
            }
            ledger::Fact::Completed { worker, task, attempt } => {
                let story = stories.entry(task.clone()).or_default();
                if story.completed {
                    broken.push(Broken::CompletedTwice { task: task.clone() });
                }
                story.completed = true;
                story.on.take_if(|(on, at)| on == worker && at == attempt);
            }
            ledger::Fact::Ran { .. } => {}
        }
    }
    broken
}

/// Judges the start of a batch task.
fn started(
    broken: &mut Vec<Broken>,
    story: &mut Story,
    worker: &id::WorkerId,
    task: &id::TaskId,
    attempt: u32,
) {
    if let Some((first, _)) = &story.on {
        let (first, second) = (first.clone(), worker.clone());
        broken.push(Broken::TwoPlaces { task: task.clone(), first, second });
    }
    if story.completed {
        broken.push(Broken::StartedAfterEnd { task: task.clone() });
    }
    if story.ended.contains(&attempt) {
        broken.push(Broken::AttemptAgain { task: task.clone(), attempt });
    }
    story.on = Some((worker.clone(), attempt));
}

/// Returns the tasks that never came to their end.
#[must_use]
pub fn unfinished<'a>(
    facts: &[ledger::Fact],
    tasks: impl Iterator<Item = &'a id::TaskId>,
) -> Vec<Broken> {
    let done: collections::BTreeSet<&id::TaskId> = facts
        .iter()
        .filter_map(|fact| match fact {
            ledger::Fact::Completed { task, .. } => Some(task),
            _ => None,
        })
        .collect();
    let missing = tasks.filter(|task| !done.contains(task));
    missing.map(|task| Broken::NeverCompleted { task: task.clone() }).collect()
}

/// Returns how often each request ran.
#[must_use]
pub fn runs(facts: &[ledger::Fact]) -> collections::BTreeMap<&str, u32> {
    let mut runs = collections::BTreeMap::new();
    for fact in facts {
        if let ledger::Fact::Ran { request, .. } = fact {
            *runs.entry(request.as_str()).or_default() += 1;
        }
    }
    runs
}
