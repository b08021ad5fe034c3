//! The host side of the simulation: choice of endpoints, queueing, retries and refusals.

use std::time;

use rand::RngExt as _;
use wharflane::{outcome, queue, retry, route};

use crate::load;
use crate::queueing::{
    AttemptResult, Choice, Event, NETWORK_DELAY, QueuePolicy, Request, Setup, Sharing, Sim,
};

/// The number of refusals by full endpoints after which a request is refused.
const MAX_REFUSALS: u32 = 16;
/// The capacity of the bounded queue.
const QUEUE_CAPACITY: usize = 256;

/// The state of a host.
pub(super) struct Host {
    /// Health and requests in flight of each endpoint, as recorded by this host.
    pub(super) health: Vec<route::Health>,
    /// The maximum number of requests that this host may have in flight at each endpoint.
    pub(super) caps: Vec<u32>,
    /// Requests that wait for an endpoint with free capacity.
    pub(super) queue: queue::Queue<usize>,
    /// The budget that bounds retries.
    pub(super) budget: retry::Budget,
    /// Requests received since slots were last assigned.
    pub(super) demand: u64,
}

impl Host {
    /// Creates a host without knowledge of the endpoints and without slots.
    pub(super) fn new(setup: &Setup) -> Self {
        let queue = match setup.queue_policy {
            QueuePolicy::Bounded => QUEUE_CAPACITY,
            QueuePolicy::Endless => usize::MAX,
        };
        Self {
            health: vec![route::Health::default(); setup.endpoints],
            caps: vec![0; setup.endpoints],
            queue: queue::Queue::new(queue),
            budget: retry::Budget::new(100, 20),
            demand: 0,
        }
    }
}

impl Sim {
    /// Sends a request to an endpoint if one has free capacity and no other request waits;
    /// otherwise queues it.
    pub(super) fn dispatch(&mut self, request: usize) {
        let Request { host, paid, arrived, attempts } = self.requests[request];
        let is_first_attempt = attempts.refused == 0;
        if self.hosts[host].queue.is_empty()
            && let Some(endpoint) = self.choose(host)
        {
            self.send(request, endpoint);
            return;
        }
        let priority = u32::from(paid);
        let start_by = match self.setup.queue_policy {
            QueuePolicy::Bounded => arrived + self.setup.caller_timeout - self.setup.service * 2,
            QueuePolicy::Endless => time::Duration::MAX,
        };
        let priority = if self.setup.queue_policy == QueuePolicy::Bounded { priority } else { 0 };
        match self.hosts[host].queue.push(priority, start_by, self.now, is_first_attempt, request) {
            queue::Admission::Queued => {}
            queue::Admission::Refused(_) => self.refuse(request),
            queue::Admission::Displaced(other, _) => self.refuse(other),
        }
    }

    /// Chooses an endpoint with free capacity for a host.
    fn choose(&mut self, host: usize) -> Option<usize> {
        let Host { health, caps, .. } = &self.hosts[host];
        let now = self.now;
        let has_capacity = |at: usize| health[at].in_flight < caps[at];
        let rng = &mut self.rng;
        match self.setup.choice {
            Choice::Random => {
                let cost = |at: usize| has_capacity(at).then_some(0.0);
                route::pick(health.len(), cost, |below| rng.random_range(0..below))
            }
            Choice::LeastConnections => {
                let start = rng.random_range(0..health.len());
                let rotated = (0..health.len()).map(|at| (at + start) % health.len());
                rotated.filter(|at| has_capacity(*at)).min_by_key(|at| health[*at].in_flight)
            }
            Choice::TwoChoices => {
                let windowed = self.setup.sharing == Sharing::Window;
                let cost = |at: usize| match route::request_cost(&health[at], caps[at], now) {
                    None if !windowed => has_capacity(at).then(|| health[at].cost()),
                    request_cost => request_cost,
                };
                route::pick(health.len(), cost, |below| rng.random_range(0..below))
            }
        }
    }

    /// Sends an attempt of a request to an endpoint.
    fn send(&mut self, request: usize, endpoint: usize) {
        let host = self.requests[request].host;
        self.hosts[host].health[endpoint].in_flight += 1;
        self.outcome.attempts += 1;
        self.schedule(self.now + NETWORK_DELAY, Event::AttemptArrived(request, endpoint));
    }

    /// Handles the result of an attempt at its host.
    pub(super) fn handle_result(&mut self, request: usize, endpoint: usize, result: AttemptResult) {
        let Request { host, arrived, paid, .. } = self.requests[request];
        let now = self.now;
        let latency = now - arrived;
        let may_eject = self.may_eject(host);
        let health = &mut self.hosts[host].health[endpoint];
        health.in_flight -= 1;
        match result {
            AttemptResult::Answer => {
                health.answered(latency);
                if latency <= self.setup.caller_timeout {
                    self.outcome.answered += 1;
                    self.outcome.paid_answered += u64::from(paid);
                    let us = u64::try_from(latency.as_micros()).unwrap_or(load::MAX_LATENCY_US);
                    self.outcome.latency_us.saturating_record(us);
                } else {
                    self.outcome.failed += 1;
                }
            }
            AttemptResult::Refusal => {
                self.outcome.full_refusals += 1;
                health.refused(now);
                self.requests[request].attempts.note(outcome::Failure::Refused);
                if self.requests[request].attempts.refused < MAX_REFUSALS {
                    self.dispatch(request);
                } else {
                    self.refuse(request);
                }
            }
            AttemptResult::Failure => {
                health.failed(now, may_eject);
                self.retry(request, outcome::Failure::Lost);
            }
            AttemptResult::Timeout => {
                health.failed(now, may_eject);
                self.outcome.failed += 1;
            }
        }
        self.serve_queue(host);
    }

    /// Retries a failed request if its attempts and the retry budget allow it.
    fn retry(&mut self, request: usize, failure: outcome::Failure) {
        let host = self.requests[request].host;
        self.requests[request].attempts.note(failure);
        let attempts = self.requests[request].attempts;
        let allowed = attempts.made() < self.setup.max_attempts;
        if allowed && (!self.setup.retry_budget || self.hosts[host].budget.try_withdraw()) {
            self.dispatch(request);
        } else if attempts.may_have_run == 0 {
            self.refuse(request);
        } else {
            self.outcome.failed += 1;
        }
    }

    /// Returns whether a host may eject one more endpoint.
    fn may_eject(&self, host: usize) -> bool {
        let health = &self.hosts[host].health;
        let ejected = health
            .iter()
            .filter(|h| h.availability(self.now) == route::Availability::Ejected)
            .count();
        route::may_eject(ejected, health.len(), 30)
    }

    /// Sends queued requests while an endpoint has free capacity.
    pub(super) fn serve_queue(&mut self, host: usize) {
        while !self.hosts[host].queue.is_empty() {
            let Some(endpoint) = self.choose(host) else {
                return;
            };
            let (expired, next) = self.hosts[host].queue.pop(self.now);
            expired.into_iter().for_each(|request| self.refuse(request));
            if let Some(request) = next {
                self.send(request, endpoint);
            }
        }
    }

    /// Counts a request as refused before it ran.
    fn refuse(&mut self, request: usize) {
        self.outcome.refused += 1;
        let waited = self.now - self.requests[request].arrived;
        let us = u64::try_from(waited.as_micros()).unwrap_or(load::MAX_LATENCY_US);
        self.outcome.refusal_us.saturating_record(us);
    }
}
