//! Requests tickets from the operator's advice service, for queues that require them.
//!
//! The service decides which workers may run a step. It is slow and handles one request at a time,
//! so a request names only workers that placement would choose, and only about as many as the step
//! needs.

use std::time;

use crate::id;
use crate::job::event;
use crate::job::holding;
use crate::job::place::group;
use crate::job::place::obstacle;
use crate::job::place::tickets;
use crate::job::runs::order;
use crate::job::runs::work;
use crate::job::spec;
use crate::job::workers::worker;

/// Maximum number of workers in one request; the service accepts 100, and callers allow one call
/// per 30 workers.
const MAX_CANDIDATES: usize = 30;
/// Minimum number of workers in one request, since some of them are denied.
const MIN_CANDIDATES: usize = 4;
/// Maximum number of open requests; the service handles one at a time and rejects more than 32.
const MAX_OPEN_REQUESTS: usize = 4;
/// Delay before the next request for a step after one failed.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(500);
/// How long before its expiry a ticket is no longer used, which covers the commit and the trip to
/// the worker. At most a quarter of the ticket's validity.
const EXPIRY_MARGIN: time::Duration = time::Duration::from_millis(400);
/// Time allowed for an answer beyond the processing time of the service.
const TIMEOUT_SLACK: time::Duration = time::Duration::from_millis(1_000);
/// Lower bound of the accepted share in the estimate of how many workers to name.
const MIN_ACCEPTED_SHARE: f64 = 0.05;
/// Weight of the newest answer in the moving average of the accepted share.
const SHARE_SMOOTHING: f64 = 0.2;

/// Processing time of a request that is assumed for a queue whose configuration isn't known.
const ASSUMED_DECISION_TIME: time::Duration = time::Duration::from_secs(1);

impl holding::Holding {
    /// Returns the advice timing for a task, or `None` if it needs no ticket.
    ///
    /// A worker that turns a start away for the lack of a ticket shows that one is needed. What is
    /// known of the queue may be older than what the worker goes by.
    pub(in crate::job) fn advice_timing(
        &self,
        entry: &work::Entry,
        task: spec::TaskId,
    ) -> Option<tickets::AdviceTiming> {
        let assumed = || tickets::AdviceTiming {
            decide: ASSUMED_DECISION_TIME,
            ..tickets::AdviceTiming::default()
        };
        entry.policy.advice.or_else(|| self.tickets.are_demanded(task, self.now).then(assumed))
    }

    /// Returns whether a task needs a ticket.
    pub(in crate::job) fn needs_ticket(&self, task: spec::TaskId) -> bool {
        let entry = self.jobs.get(&task.job);
        entry.is_some_and(|entry| self.advice_timing(entry, task).is_some())
    }

    /// Requests tickets for a step unless a request for it is open or the retry delay is running.
    pub(in crate::job) fn request_tickets(
        &mut self,
        task: spec::TaskId,
        wanted: usize,
        now: time::Duration,
    ) {
        let group = group::group(task);
        let open = self.tickets.open_requests;
        let step_tickets = self.tickets.steps.entry(group).or_default();
        if step_tickets.request_open || now < step_tickets.retry_at || open >= MAX_OPEN_REQUESTS {
            return;
        }
        let count =
            (wanted as f64 / self.tickets.accepted_share.max(MIN_ACCEPTED_SHARE)).ceil() as usize;
        let workers = self.candidates(task, count.clamp(MIN_CANDIDATES, MAX_CANDIDATES), now);
        let entry = self.jobs.get(&task.job);
        let Some(timing) = entry.and_then(|entry| self.advice_timing(entry, task)) else {
            return;
        };
        if workers.is_empty() {
            return;
        }
        let named = u32::try_from(workers.len()).unwrap_or(u32::MAX);
        let position = u32::try_from(open + 1).unwrap_or(u32::MAX);
        let timeout = (timing.decide + timing.each * named) * position + TIMEOUT_SLACK;
        tracing::info!(
            job = %task.job, round = task.round, step = task.step, named = workers.len(), open,
            "requested tickets for a step"
        );
        self.tickets.open_requests += 1;
        if let Some(step_tickets) = self.tickets.steps.get_mut(&group) {
            step_tickets.request_open = true;
        }
        let (job, round, step) = group;
        let request = tickets::AdviceRequest { job, round, step, workers, timeout };
        self.out.push(event::Effect::RequestAdvice(request));
    }

    /// Returns workers to name in a request: those already granted first, then those in the
    /// preferred rack, then those with the most free CPU; workers that only a preference keeps it
    /// from come last.
    fn candidates(
        &self,
        task: spec::TaskId,
        max_count: usize,
        now: time::Duration,
    ) -> Vec<id::Incarnation> {
        let entry = self.jobs.get(&task.job);
        let step = entry.and_then(|entry| entry.job.step(task.step));
        let (Some(entry), Some(step)) = (entry, step) else {
            return Vec::new();
        };
        let service = &entry.policy.service;
        let none = tickets::StepTickets::default();
        let step_tickets = self.tickets.steps.get(&group::group(task)).unwrap_or(&none);
        let is_candidate = |view: &&worker::View| {
            let available = obstacle::hard(view, service, task, step, now).is_none();
            available
                && !step_tickets.denied.contains(&view.member.incarnation)
                && !step_tickets.was_refused_by(&view.member.incarnation, now)
                && self.tickets.get(task, &view.member.incarnation, now).is_none()
        };
        let mut views: Vec<&worker::View> = self.views.values().filter(is_candidate).collect();
        views.sort_by_key(|view| {
            let rack = view.member.rack.as_deref();
            let in_preferred_rack = step.rack.is_none() || rack == step.rack.as_deref();
            let accepted = step_tickets.accepted.contains_key(&view.member.incarnation);
            let avoided = obstacle::preference(view, task, step, now).is_some();
            (avoided, !accepted, !in_preferred_rack, std::cmp::Reverse(view.free().cpu_milli))
        });
        views.into_iter().take(max_count).map(|view| view.member.incarnation.clone()).collect()
    }

    /// Records the answer to a request, or schedules a retry if there was none.
    pub(in crate::job) fn handle_advice(
        &mut self,
        request: &tickets::AdviceRequest,
        answer: Option<&tickets::Advice>,
        now: time::Duration,
    ) {
        self.tickets.open_requests = self.tickets.open_requests.saturating_sub(1);
        let group = (request.job, request.round, request.step);
        let Some(step_tickets) = self.tickets.steps.get_mut(&group) else {
            return;
        };
        step_tickets.request_open = false;
        let Some(advice) = answer else {
            tracing::warn!(
                job = %request.job, step = request.step,
                "no answer from the advice service; retrying"
            );
            step_tickets.retry_at = now + RETRY_DELAY;
            return;
        };
        let until = now + advice.valid - EXPIRY_MARGIN.min(advice.valid / 4);
        for (worker, text) in &advice.accepted {
            step_tickets
                .accepted
                .insert(worker.clone(), tickets::Ticket { text: text.clone(), until });
        }
        for worker in &request.workers {
            if !advice.accepted.iter().any(|(accepted, _)| accepted == worker) {
                step_tickets.denied.insert(worker.clone());
            }
        }
        let share = advice.accepted.len() as f64 / request.workers.len().max(1) as f64;
        self.tickets.accepted_share += (share - self.tickets.accepted_share) * SHARE_SMOOTHING;
        self.changed = true;
        tracing::info!(
            job = %request.job, round = request.round, step = request.step,
            named = request.workers.len(), good = advice.accepted.len(),
            valid_ms = worker::millis(advice.valid),
            "received tickets for a step"
        );
    }

    /// Returns `Obstacle::Ticket` if the step needs tickets and none is valid for this worker.
    pub(in crate::job) fn ticket_obstacle(
        &self,
        entry: &work::Entry,
        task: spec::TaskId,
        worker: &id::Incarnation,
        now: time::Duration,
    ) -> Option<obstacle::Obstacle> {
        self.advice_timing(entry, task)?;
        let none = self.tickets.get(task, worker, now).is_none();
        none.then_some(obstacle::Obstacle::Ticket)
    }

    /// Returns the ticket for a start order: empty if the step needs none, `None` if one is
    /// missing.
    pub(in crate::job) fn ticket_for(
        &self,
        order: &order::Order,
        now: time::Duration,
    ) -> Option<String> {
        let entry = self.jobs.get(&order.task.job)?;
        match self.advice_timing(entry, order.task) {
            None => Some(String::new()),
            Some(_) => self.tickets.get(order.task, &order.worker, now).map(str::to_owned),
        }
    }
}
