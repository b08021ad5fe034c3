//! A simulation of hosts, endpoints and callers in virtual time.
//!
//! The scheduler's own code makes all decisions on routing, queueing and retries; the simulation
//! supplies only arrivals, delays and faults.

mod endpoints;
mod hosts;
mod slots;

use std::collections;
use std::time;

use rand::{RngExt as _, SeedableRng as _};
use wharflane::outcome;

pub use crate::load::{Choice, Condition, Outcome, QueuePolicy, Setup, Sharing};

/// The network delay between a host and an endpoint, one way.
const NETWORK_DELAY: time::Duration = time::Duration::from_micros(500);
/// The time between two ticks, in which all hosts serve their queues.
const TICK: time::Duration = time::Duration::from_millis(20);

/// Runs a load in virtual time. The same setup and seed give the same outcome.
#[must_use]
pub fn run(setup: &Setup, seed: u64) -> Outcome {
    let mut sim = Sim::new(setup.clone(), seed);
    sim.schedule(time::Duration::ZERO, Event::RequestArrived);
    sim.schedule(TICK, Event::Tick);
    sim.assign_slots();
    while let Some(((now, _), event)) = sim.events.pop_first() {
        sim.now = now;
        sim.handle(event);
    }
    sim.outcome
}

/// The state of the simulation.
struct Sim {
    /// The load and the policies.
    setup: Setup,
    /// Virtual time since the start.
    now: time::Duration,
    /// Scheduled events by time, and by order of scheduling within the same time.
    events: collections::BTreeMap<(time::Duration, u64), Event>,
    /// The number of events scheduled so far.
    scheduled: u64,
    /// The hosts by index.
    hosts: Vec<hosts::Host>,
    /// The endpoints by index.
    endpoints: Vec<endpoints::Endpoint>,
    /// All requests by index, in order of arrival.
    requests: Vec<Request>,
    /// The source of all random choices.
    rng: rand::rngs::SmallRng,
    /// The outcome so far.
    outcome: Outcome,
}

/// A request and its progress.
#[derive(Clone, Debug)]
struct Request {
    /// The host that received it.
    host: usize,
    /// When it arrived at the host.
    arrived: time::Duration,
    /// Whether it paid for priority.
    paid: bool,
    /// The attempts made so far.
    attempts: outcome::Attempts,
}

/// An event of the simulation; indices are those of the request and the endpoint.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A new request arrives.
    RequestArrived,
    /// An attempt reaches its endpoint.
    AttemptArrived(usize, usize),
    /// An endpoint completes a request.
    AttemptCompleted(usize, usize),
    /// The result of an attempt reaches the host.
    AttemptReturned(usize, usize, AttemptResult),
    /// Hosts serve their queues and, once a second, slots are reassigned.
    Tick,
}

/// The result of an attempt, as its host sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptResult {
    /// The endpoint answered the request.
    Answer,
    /// The attempt failed at the endpoint.
    Failure,
    /// The endpoint was full and refused the request.
    Refusal,
    /// The caller's timeout passed without an answer.
    Timeout,
}

impl Sim {
    /// Creates the initial state.
    fn new(setup: Setup, seed: u64) -> Self {
        Self {
            now: time::Duration::ZERO,
            events: collections::BTreeMap::new(),
            scheduled: 0,
            hosts: (0..setup.hosts).map(|_| hosts::Host::new(&setup)).collect(),
            endpoints: setup.conditions.iter().map(endpoints::Endpoint::new).collect(),
            requests: Vec::new(),
            rng: rand::rngs::SmallRng::seed_from_u64(seed),
            outcome: Outcome::empty(),
            setup,
        }
    }

    /// Schedules an event.
    fn schedule(&mut self, at: time::Duration, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    /// Handles one event.
    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestArrived => self.arrive(),
            Event::AttemptArrived(request, endpoint) => self.handle_attempt(request, endpoint),
            Event::AttemptCompleted(request, endpoint) => self.complete_attempt(request, endpoint),
            Event::AttemptReturned(request, endpoint, result) => {
                self.handle_result(request, endpoint, result)
            }
            Event::Tick => self.tick(),
        }
    }

    /// Receives a request at a host and schedules the next arrival.
    fn arrive(&mut self) {
        let setup = &self.setup;
        if self.now >= setup.duration {
            return;
        }
        let to_first = setup.hosts == 1 || self.rng.random::<f64>() < setup.first_share;
        let host = if to_first { 0 } else { self.rng.random_range(1..setup.hosts) };
        let paid = self.rng.random::<f64>() < setup.paid_share;
        let interval_s = -self.rng.random::<f64>().max(1e-12).ln() / setup.rate;
        self.schedule(self.now + time::Duration::from_secs_f64(interval_s), Event::RequestArrived);
        let (arrived, attempts) = (self.now, outcome::Attempts::default());
        self.requests.push(Request { host, arrived, paid, attempts });
        self.outcome.offered += 1;
        self.outcome.paid += u64::from(paid);
        self.hosts[host].demand += 1;
        self.hosts[host].budget.record_first_attempt();
        self.dispatch(self.requests.len() - 1);
    }

    /// Serves all queues, and assigns slots once a second.
    fn tick(&mut self) {
        (0..self.hosts.len()).for_each(|host| self.serve_queue(host));
        let assigns_slots = self.now.as_millis().is_multiple_of(slots::ASSIGN_INTERVAL.as_millis());
        if assigns_slots {
            self.assign_slots();
        }
        let is_running = self.now < self.setup.duration || !self.events.is_empty();
        if is_running && self.now < self.setup.duration * 20 {
            self.schedule(self.now + TICK, Event::Tick);
        }
    }
}
