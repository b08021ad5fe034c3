//! Tickets for steps that only some workers may run, and the messages to the advice service that
//! issues them.

use std::collections;
use std::time;

use serde::{Deserialize, Serialize};

use crate::duration_ms;
use crate::id;
use crate::job::place::group;
use crate::job::spec;

/// Accepted share that is assumed before the first answer.
const INITIAL_ACCEPTED_SHARE: f64 = 0.5;

/// The timing of the advice service for a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceTiming {
    /// Processing time of a request.
    #[serde(rename = "request_ms", with = "duration_ms")]
    pub decide: time::Duration,
    /// Additional processing time per named worker.
    #[serde(rename = "per_worker_ms", with = "duration_ms")]
    pub each: time::Duration,
    /// How long a ticket is valid.
    #[serde(rename = "ticket_ms", with = "duration_ms")]
    pub valid: time::Duration,
}

/// A request to the advice service: which of these workers may run the tasks of a step?
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The job to which the step belongs.
    pub job: spec::JobId,
    /// The round of the job.
    pub round: u32,
    /// The step, by its index in the job.
    pub step: u32,
    /// The named workers.
    pub workers: Vec<id::Incarnation>,
    /// How long to wait for the answer.
    pub timeout: time::Duration,
}

/// The answer of the advice service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advice {
    /// The accepted workers, each with its ticket.
    pub accepted: Vec<(id::Incarnation, String)>,
    /// How long the tickets are valid.
    pub valid: time::Duration,
}

/// A ticket for all tasks of a step on one worker.
#[derive(Clone, Debug)]
pub(in crate::job) struct Ticket {
    /// The text to present to the worker.
    pub text: String,
    /// When it is no longer used, which is shortly before it expires.
    pub until: time::Duration,
}

/// The known answers for one step.
#[derive(Clone, Debug, Default)]
pub(in crate::job) struct StepTickets {
    /// The accepted workers with their tickets.
    pub accepted: collections::BTreeMap<id::Incarnation, Ticket>,
    /// The denied workers; a denial is final.
    pub denied: collections::BTreeSet<id::Incarnation>,
    /// Whether a request is open.
    pub request_open: bool,
    /// When the next request may be sent.
    pub retry_at: time::Duration,
}

/// All tickets of a domain.
#[derive(Debug)]
pub(in crate::job) struct Tickets {
    /// The known answers, by step and round.
    pub steps: collections::BTreeMap<group::Group, StepTickets>,
    /// The number of open requests.
    pub open_requests: usize,
    /// Moving average of the accepted share of named workers.
    pub accepted_share: f64,
}

impl Default for Tickets {
    fn default() -> Self {
        Self {
            steps: collections::BTreeMap::new(),
            open_requests: 0,
            accepted_share: INITIAL_ACCEPTED_SHARE,
        }
    }
}

impl Tickets {
    /// Returns the ticket for a task on a worker while it is usable.
    pub fn get(
        &self,
        task: spec::TaskId,
        worker: &id::Incarnation,
        now: time::Duration,
    ) -> Option<&str> {
        let ticket = self.steps.get(&group::group(task))?.accepted.get(worker)?;
        (now < ticket.until).then_some(&ticket.text)
    }

    /// Drops a ticket that a worker refused.
    pub fn remove_refused(&mut self, task: spec::TaskId, worker: &id::Incarnation) {
        if let Some(step_tickets) = self.steps.get_mut(&group::group(task)) {
            step_tickets.accepted.remove(worker);
        }
    }

    /// Drops all tickets of an ended job.
    pub fn forget(&mut self, job: spec::JobId) {
        self.steps.retain(|(owner, ..), _| *owner != job);
    }
}
