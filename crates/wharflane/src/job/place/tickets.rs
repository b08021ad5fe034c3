//! Tickets for steps that only some workers may run, and the messages to the advice service that
//! issues them.

use std::collections;
use std::time;

use serde::{Deserialize, Serialize};

use crate::duration_ms;
use crate::id;
use crate::job::place::group;
use crate::job::spec;

/// Pause before a worker is asked about again that turned a ticket away; it doubles while it turns
/// further ones away.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(400);
/// Longest such pause: a job may run nothing for 3 s at the most, in case the reason has passed.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(1_600);
/// Time for which a start that was turned away for the lack of a ticket shows that one is needed, if
/// none is to be had: the worker may have gone by an older configuration, and a job may run nothing
/// for 3 s at the most.
const DEMAND_TIME: time::Duration = time::Duration::from_secs(2);
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

/// A pause after a worker turned tickets away.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::job) struct Pause {
    /// Its length; zero if there was none since the last start that was accepted.
    length: time::Duration,
    /// When it ends.
    until: time::Duration,
}

impl Pause {
    /// Begins the next, longer pause. Starts that were under way together are turned away together,
    /// so that no pause begins before the last one has ended.
    fn begin(&mut self, now: time::Duration) {
        if self.is_over(now) {
            self.length = (self.length * 2).clamp(MIN_PAUSE, MAX_PAUSE);
            self.until = now + self.length;
        }
    }

    /// Returns whether it has ended.
    fn is_over(&self, now: time::Duration) -> bool {
        now >= self.until
    }
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
    /// The workers that turned a ticket away, until they are asked about again.
    refused: collections::BTreeMap<id::Incarnation, Pause>,
    /// Until when a start that a worker turned away shows that the queue demands tickets, whatever is
    /// known of its policy; zero if there was none.
    demanded_until: time::Duration,
}

impl StepTickets {
    /// Returns whether a worker turned a ticket away just now.
    pub fn was_refused_by(&self, worker: &id::Incarnation, now: time::Duration) -> bool {
        self.refused.get(worker).is_some_and(|pause| !pause.is_over(now))
    }
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

    /// Records that a worker turned a start away for its ticket, or for the lack of one.
    pub fn note_refusal(
        &mut self,
        task: spec::TaskId,
        worker: &id::Incarnation,
        now: time::Duration,
    ) {
        let step_tickets = self.steps.entry(group::group(task)).or_default();
        step_tickets.demanded_until = now + DEMAND_TIME;
        if step_tickets.accepted.remove(worker).is_some() {
            step_tickets.refused.entry(worker.clone()).or_default().begin(now);
        }
    }

    /// Records that a worker accepted a start, so that the next pause is short again.
    pub fn note_start(&mut self, task: spec::TaskId, worker: &id::Incarnation) {
        if let Some(step_tickets) = self.steps.get_mut(&group::group(task)) {
            step_tickets.refused.remove(worker);
        }
    }

    /// Returns whether workers demand a ticket for a task. Once some were issued for its step, that
    /// no longer ends by time.
    pub fn are_demanded(&self, task: spec::TaskId, now: time::Duration) -> bool {
        self.steps.get(&group::group(task)).is_some_and(|step_tickets| {
            let until = step_tickets.demanded_until;
            now < until || !until.is_zero() && !step_tickets.accepted.is_empty()
        })
    }

    /// Forgets what workers refused of a job, whose queue has another policy now.
    pub fn forget_refusals(&mut self, job: spec::JobId) {
        let first = (job, 0, 0);
        let steps = self.steps.range_mut(first..).take_while(|((owner, ..), _)| *owner == job);
        for (_, step_tickets) in steps {
            step_tickets.refused.clear();
            step_tickets.demanded_until = time::Duration::ZERO;
        }
    }

    /// Drops all tickets of an ended job.
    pub fn forget(&mut self, job: spec::JobId) {
        self.steps.retain(|(owner, ..), _| *owner != job);
    }
}
