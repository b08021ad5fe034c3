//! Tickets for steps that only some workers may run, and how they are asked for.

use std::collections;
use std::time;

use super::group;
use super::spec;
use crate::id;

/// The share of workers that is taken to be good before any answer came.
const GOOD_SHARE: f64 = 0.5;

/// How long the advice service takes for a queue, and how long its tickets hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdviceTiming {
    /// What it takes for a question.
    pub decide: time::Duration,
    /// What it takes beyond that for each worker named.
    pub each: time::Duration,
    /// How long a ticket holds.
    pub valid: time::Duration,
}

/// A question: which of these workers may run the tasks of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The job.
    pub job: spec::JobId,
    /// The round.
    pub round: u32,
    /// The step.
    pub step: u32,
    /// The workers.
    pub workers: Vec<id::Incarnation>,
    /// How long the answer may take.
    pub timeout: time::Duration,
}

/// An answer: the workers that may, each with the ticket to show there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advice {
    /// The workers and their tickets.
    pub good: Vec<(id::Incarnation, String)>,
    /// How long the tickets hold.
    pub valid: time::Duration,
}

/// A ticket for all tasks of a step on one worker.
#[derive(Clone, Debug)]
pub(super) struct Ticket {
    /// What to show.
    pub text: String,
    /// Until when it is used.
    pub until: time::Duration,
}

/// What is known of one step.
#[derive(Clone, Debug, Default)]
pub(super) struct Known {
    /// Workers that may run it.
    pub good: collections::BTreeMap<id::Incarnation, Ticket>,
    /// Workers that may not; that does not change.
    pub bad: collections::BTreeSet<id::Incarnation>,
    /// Whether a question is under way.
    pub asked: bool,
    /// When the next question may be asked.
    pub again: time::Duration,
}

/// All tickets of a domain.
#[derive(Debug)]
pub(super) struct Tickets {
    /// What is known, by step.
    pub steps: collections::BTreeMap<group::Group, Known>,
    /// Questions under way.
    pub open: usize,
    /// The share of workers named that are good.
    pub share: f64,
}

impl Default for Tickets {
    fn default() -> Self {
        Self { steps: collections::BTreeMap::new(), open: 0, share: GOOD_SHARE }
    }
}

impl Tickets {
    /// Returns the ticket for a task on a worker, as long as it can be used.
    pub fn get(
        &self,
        task: spec::TaskId,
        worker: &id::Incarnation,
        now: time::Duration,
    ) -> Option<&str> {
        let ticket = self.steps.get(&group::group(task))?.good.get(worker)?;
        (now < ticket.until).then_some(&ticket.text)
    }

    /// Forgets a ticket that a worker did not take.
    pub fn refused(&mut self, task: spec::TaskId, worker: &id::Incarnation) {
        if let Some(known) = self.steps.get_mut(&group::group(task)) {
            known.good.remove(worker);
        }
    }

    /// Forgets everything about a job that has ended.
    pub fn forget(&mut self, job: spec::JobId) {
        self.steps.retain(|(known, ..), _| *known != job);
    }
}
