//! Asks the operator's advice service which workers may run a step, for queues that want it.
//! The service is slow and takes one question at a time, so only workers are
//! named that would be chosen otherwise, and about as many as are needed.

use std::time;

use super::event;
use super::group;
use super::holding;
use super::obstacle;
use super::order;
use super::spec;
use super::tickets;
use super::worker;
use crate::id;

/// The most workers named in one question; the service takes 100, callers allow one call per 30.
const MOST_NAMED: usize = 30;
/// The least workers named, since some are not good.
const LEAST_NAMED: usize = 4;
/// Questions under way at once; the service takes one at a time and turns away beyond 32.
const MOST_OPEN: usize = 4;
/// The wait after a question that had no answer.
const AGAIN: time::Duration = time::Duration::from_millis(500);
/// How long before its end a ticket is not used any more: commit and trip to the worker; a quarter of
/// its time at most.
const MARGIN: time::Duration = time::Duration::from_millis(400);
/// What an answer may take beyond the time that the service needs.
const SLACK: time::Duration = time::Duration::from_millis(1_000);
/// The least share of good workers that is reckoned with.
const LEAST_SHARE: f64 = 0.05;
/// What one answer weighs in the share of workers that are good.
const SHARE_WEIGHT: f64 = 0.2;

impl holding::Holding {
    /// Returns how a job's queue wants its workers to be asked for.
    pub(super) fn terms_of_advice(&self, job: &spec::Job) -> Option<tickets::AdviceTiming> {
        self.queues.queues.get(&job.queue)?.advice
    }

    /// Asks which workers may run a step, unless that is being asked.
    pub(super) fn ask(&mut self, task: spec::TaskId, wanted: usize, now: time::Duration) {
        let group = group::group(task);
        let open = self.tickets.open;
        let known = self.tickets.steps.entry(group).or_default();
        if known.asked || now < known.again || open >= MOST_OPEN {
            return;
        }
        let count = (wanted as f64 / self.tickets.share.max(LEAST_SHARE)).ceil() as usize;
        let workers = self.candidates(task, count.clamp(LEAST_NAMED, MOST_NAMED), now);
        let entry = self.jobs.get(&task.job);
        let Some(terms) = entry.and_then(|entry| self.terms_of_advice(&entry.job)) else {
            return;
        };
        if workers.is_empty() {
            return;
        }
        let each = u32::try_from(workers.len()).unwrap_or(u32::MAX);
        let before = u32::try_from(open + 1).unwrap_or(u32::MAX);
        let timeout = (terms.decide + terms.each * each) * before + SLACK;
        tracing::info!(
            job = %task.job, round = task.round, step = task.step, named = workers.len(), open,
            "workers of a step asked for"
        );
        self.tickets.open += 1;
        if let Some(known) = self.tickets.steps.get_mut(&group) {
            known.asked = true;
        }
        let (job, round, step) = group;
        let question = tickets::AdviceRequest { job, round, step, workers, timeout };
        self.out.push(event::Effect::Ask(question));
    }

    /// Returns workers to ask about: known good ones first, then the emptiest that may be.
    fn candidates(
        &self,
        task: spec::TaskId,
        most: usize,
        now: time::Duration,
    ) -> Vec<id::Incarnation> {
        let entry = self.jobs.get(&task.job);
        let step = entry.and_then(|entry| entry.job.step(task.step));
        let (Some(entry), Some(step)) = (entry, step) else {
            return Vec::new();
        };
        let service = self.service(&entry.job);
        let none = tickets::Known::default();
        let known = self.tickets.steps.get(&group::group(task)).unwrap_or(&none);
        let fits = |view: &&worker::View| {
            let plain = obstacle::plain(view, service, task, step, view.takes(task, now)).is_none();
            plain
                && !known.bad.contains(&view.member.incarnation)
                && self.tickets.get(task, &view.member.incarnation, now).is_none()
        };
        let mut views: Vec<&worker::View> = self.views.values().filter(fits).collect();
        views.sort_by_key(|view| {
            let rack = view.member.rack.as_deref();
            let near = step.rack.is_none() || rack == step.rack.as_deref();
            let good = known.good.contains_key(&view.member.incarnation);
            (!good, !near, std::cmp::Reverse(view.free().cpu_milli))
        });
        views.into_iter().take(most).map(|view| view.member.incarnation.clone()).collect()
    }

    /// Takes the answer to a question; nothing stands for one that did not come.
    pub(super) fn handle_advice(
        &mut self,
        question: &tickets::AdviceRequest,
        answer: Option<&tickets::Advice>,
        now: time::Duration,
    ) {
        self.tickets.open = self.tickets.open.saturating_sub(1);
        let group = (question.job, question.round, question.step);
        let Some(known) = self.tickets.steps.get_mut(&group) else {
            return;
        };
        known.asked = false;
        let Some(advice) = answer else {
            tracing::warn!(job = %question.job, step = question.step, "no advice came");
            known.again = now + AGAIN;
            return;
        };
        let until = now + advice.valid - MARGIN.min(advice.valid / 4);
        for (worker, text) in &advice.good {
            known.good.insert(worker.clone(), tickets::Ticket { text: text.clone(), until });
        }
        for worker in &question.workers {
            if !advice.good.iter().any(|(good, _)| good == worker) {
                known.bad.insert(worker.clone());
            }
        }
        let share = advice.good.len() as f64 / question.workers.len().max(1) as f64;
        self.tickets.share += (share - self.tickets.share) * SHARE_WEIGHT;
        self.changed = true;
        tracing::info!(
            job = %question.job, round = question.round, step = question.step,
            named = question.workers.len(), good = advice.good.len(),
            valid_ms = worker::millis(advice.valid),
            "workers of a step told"
        );
    }

    /// Returns what keeps a task from a worker for want of a ticket.
    pub(super) fn without_ticket(
        &self,
        job: &spec::Job,
        task: spec::TaskId,
        worker: &id::Incarnation,
        now: time::Duration,
    ) -> Option<obstacle::Obstacle> {
        self.terms_of_advice(job)?;
        let none = self.tickets.get(task, worker, now).is_none();
        none.then_some(obstacle::Obstacle::Ticket)
    }

    /// Returns the ticket that an order to start shows; nothing where there should be one.
    pub(super) fn ticket_for(&self, order: &order::Order, now: time::Duration) -> Option<String> {
        let entry = self.jobs.get(&order.task.job)?;
        match self.terms_of_advice(&entry.job) {
            None => Some(String::new()),
            Some(_) => self.tickets.get(order.task, &order.worker, now).map(str::to_owned),
        }
    }
}
