//! What a host does with requests: it chooses an endpoint, lets them wait, tries again, refuses.

use std::time;

use rand::RngExt as _;
use wharflane::{outcome, queue, retry, route};

use crate::load;
use crate::queueing::{Back, Choice, Event, Request, Setup, Sharing, Sim, WAY, Waiting};

/// The most refusals by full endpoints that a request bears.
const MAX_REFUSALS: u32 = 16;
/// How many wait at most in the product's queue.
const QUEUE: usize = 256;

/// A host.
pub(super) struct Host {
    /// What it knows of each endpoint.
    pub(super) health: Vec<route::Health>,
    /// The most requests that it may have under way at each.
    pub(super) caps: Vec<u32>,
    /// Its queue.
    pub(super) queue: queue::Queue<usize>,
    /// Its retry budget.
    pub(super) budget: retry::Budget,
    /// Requests in the last second.
    pub(super) demand: u64,
}

impl Host {
    /// Makes a host that knows nothing yet.
    pub(super) fn new(setup: &Setup) -> Self {
        let queue = match setup.waiting {
            Waiting::Bounded => QUEUE,
            Waiting::Endless => usize::MAX,
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
    /// Sends a request to an endpoint, or lets it wait.
    pub(super) fn enter(&mut self, request: usize) {
        let Request { host, paid, came, tries } = self.requests[request];
        let first = tries.refused == 0;
        if self.hosts[host].queue.is_empty()
            && let Some(endpoint) = self.choose(host)
        {
            self.send(request, endpoint);
            return;
        }
        let priority = u32::from(paid);
        let start_by = match self.setup.waiting {
            Waiting::Bounded => came + self.setup.patience - self.setup.service * 2,
            Waiting::Endless => time::Duration::MAX,
        };
        let priority = if self.setup.waiting == Waiting::Bounded { priority } else { 0 };
        match self.hosts[host].queue.push(priority, start_by, self.now, first, request) {
            queue::Admission::Queued => {}
            queue::Admission::Refused(_) => self.refuse(request),
            queue::Admission::Displaced(other, _) => self.refuse(other),
        }
    }

    /// Chooses an endpoint for a host.
    fn choose(&mut self, host: usize) -> Option<usize> {
        let Host { health, caps, .. } = &self.hosts[host];
        let now = self.now;
        let open = |at: usize| health[at].in_flight < caps[at];
        let rng = &mut self.rng;
        match self.setup.choice {
            Choice::Random => {
                let cost = |at: usize| open(at).then_some(0.0);
                route::pick(health.len(), cost, |below| rng.random_range(0..below))
            }
            Choice::LeastConnections => {
                let start = rng.random_range(0..health.len());
                let turns = (0..health.len()).map(|at| (at + start) % health.len());
                turns.filter(|at| open(*at)).min_by_key(|at| health[*at].in_flight)
            }
            Choice::TwoChoices => {
                let windowed = self.setup.sharing == Sharing::Window;
                let cost = |at: usize| match route::request_cost(&health[at], caps[at], now) {
                    None if !windowed => open(at).then(|| health[at].cost()),
                    offer => offer,
                };
                route::pick(health.len(), cost, |below| rng.random_range(0..below))
            }
        }
    }

    /// Sends a request to an endpoint.
    fn send(&mut self, request: usize, endpoint: usize) {
        let host = self.requests[request].host;
        self.hosts[host].health[endpoint].in_flight += 1;
        self.outcome.tries += 1;
        self.at(self.now + WAY, Event::Reach(request, endpoint));
    }

    /// Takes back a try at its host.
    pub(super) fn back(&mut self, request: usize, endpoint: usize, back: Back) {
        let Request { host, came, paid, .. } = self.requests[request];
        let now = self.now;
        let latency = now - came;
        let may_eject = self.may_eject(host);
        let health = &mut self.hosts[host].health[endpoint];
        health.in_flight -= 1;
        match back {
            Back::Answer => {
                health.answered(latency);
                if latency <= self.setup.patience {
                    self.outcome.answered += 1;
                    self.outcome.paid_answered += u64::from(paid);
                    let us = u64::try_from(latency.as_micros()).unwrap_or(load::MAX_US);
                    self.outcome.latency_us.saturating_record(us);
                } else {
                    self.outcome.failed += 1;
                }
            }
            Back::Refusal => {
                self.outcome.full += 1;
                health.refused(now);
                self.requests[request].tries.note(outcome::Failure::Refused);
                if self.requests[request].tries.refused < MAX_REFUSALS {
                    self.enter(request);
                } else {
                    self.refuse(request);
                }
            }
            Back::Failure => {
                health.failed(now, may_eject);
                self.again(request, outcome::Failure::Lost);
            }
            Back::Timeout => {
                health.failed(now, may_eject);
                self.outcome.failed += 1;
            }
        }
        self.serve_queue(host);
    }

    /// Tries a request once more if it may.
    fn again(&mut self, request: usize, failure: outcome::Failure) {
        let host = self.requests[request].host;
        self.requests[request].tries.note(failure);
        let tries = self.requests[request].tries;
        let allowed = tries.made() < self.setup.tries;
        if allowed && (!self.setup.budget || self.hosts[host].budget.try_withdraw()) {
            self.enter(request);
        } else if tries.may_have_run == 0 {
            self.refuse(request);
        } else {
            self.outcome.failed += 1;
        }
    }

    /// Returns whether a host may leave one more endpoint.
    fn may_eject(&self, host: usize) -> bool {
        let health = &self.hosts[host].health;
        let left = health
            .iter()
            .filter(|h| h.availability(self.now) == route::Availability::Ejected)
            .count();
        route::may_eject(left, health.len(), 30)
    }

    /// Sends waiting requests while there are free endpoints.
    pub(super) fn serve_queue(&mut self, host: usize) {
        while !self.hosts[host].queue.is_empty() {
            let Some(endpoint) = self.choose(host) else {
                return;
            };
            let (late, next) = self.hosts[host].queue.pop(self.now);
            late.into_iter().for_each(|request| self.refuse(request));
            if let Some(request) = next {
                self.send(request, endpoint);
            }
        }
    }

    /// Ends a request that did not run.
    fn refuse(&mut self, request: usize) {
        self.outcome.refused += 1;
        let waited = self.now - self.requests[request].came;
        let us = u64::try_from(waited.as_micros()).unwrap_or(load::MAX_US);
        self.outcome.refusal_us.saturating_record(us);
    }
}
