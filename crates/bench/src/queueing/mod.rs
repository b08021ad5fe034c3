//! Hosts, endpoints and callers in virtual time, around the product's own decisions.

mod deal;
mod endpoints;
mod hosts;

use std::collections;
use std::time;

use rand::{RngExt as _, SeedableRng as _};
use wharflane::outcome;

pub use crate::load::{Choice, Outcome, Setup, Sharing, Trouble, Waiting};

/// One way between a host and an endpoint.
const WAY: time::Duration = time::Duration::from_micros(500);
/// The time between two looks at the queues.
const TICK: time::Duration = time::Duration::from_millis(20);

/// Runs a load in virtual time; the same setup and seed give the same outcome.
#[must_use]
pub fn run(setup: &Setup, seed: u64) -> Outcome {
    let mut sim = Sim::new(setup.clone(), seed);
    sim.at(time::Duration::ZERO, Event::Arrive);
    sim.at(TICK, Event::Tick);
    sim.deal();
    while let Some(((now, _), event)) = sim.events.pop_first() {
        sim.now = now;
        sim.happen(event);
    }
    sim.outcome
}

/// Everything at a moment.
struct Sim {
    /// The load.
    setup: Setup,
    /// The time.
    now: time::Duration,
    /// What is to come.
    events: collections::BTreeMap<(time::Duration, u64), Event>,
    /// The number of events.
    number: u64,
    /// The hosts.
    hosts: Vec<hosts::Host>,
    /// The endpoints.
    endpoints: Vec<endpoints::Endpoint>,
    /// The requests.
    requests: Vec<Request>,
    /// Chance.
    rng: rand::rngs::SmallRng,
    /// What came of it.
    outcome: Outcome,
}

/// A request under way.
#[derive(Clone, Debug)]
struct Request {
    /// The host that it came to.
    host: usize,
    /// When it came.
    came: time::Duration,
    /// Whether it paid for priority.
    paid: bool,
    /// Its tries.
    tries: outcome::Attempts,
}

/// What happens at a moment.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request comes.
    Arrive,
    /// A try reaches its endpoint.
    Reach(usize, usize),
    /// An endpoint has run a request.
    Done(usize, usize),
    /// The answer of a try is back at its host: whether it is a failure or a refusal.
    Back(usize, usize, Back),
    /// A host looks at its queue, and slots are dealt out.
    Tick,
}

/// How a try came back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Back {
    /// With an answer.
    Answer,
    /// With a failure of the endpoint.
    Failure,
    /// With a refusal.
    Refusal,
    /// Not in time.
    Timeout,
}

impl Sim {
    /// Makes everything as it is at the start.
    fn new(setup: Setup, seed: u64) -> Self {
        Self {
            now: time::Duration::ZERO,
            events: collections::BTreeMap::new(),
            number: 0,
            hosts: (0..setup.hosts).map(|_| hosts::Host::new(&setup)).collect(),
            endpoints: setup.troubles.iter().map(endpoints::Endpoint::new).collect(),
            requests: Vec::new(),
            rng: rand::rngs::SmallRng::seed_from_u64(seed),
            outcome: Outcome::empty(),
            setup,
        }
    }

    /// Plans an event.
    fn at(&mut self, at: time::Duration, event: Event) {
        self.number += 1;
        self.events.insert((at, self.number), event);
    }

    /// Lets an event happen.
    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach(request, endpoint) => self.reach(request, endpoint),
            Event::Done(request, endpoint) => self.done(request, endpoint),
            Event::Back(request, endpoint, back) => self.back(request, endpoint, back),
            Event::Tick => self.tick(),
        }
    }

    /// Takes a request and plans the next.
    fn arrive(&mut self) {
        let setup = &self.setup;
        if self.now >= setup.duration {
            return;
        }
        let first = setup.hosts == 1 || self.rng.random::<f64>() < setup.first_share;
        let host = if first { 0 } else { self.rng.random_range(1..setup.hosts) };
        let paid = self.rng.random::<f64>() < setup.paid_share;
        let gap = -self.rng.random::<f64>().max(1e-12).ln() / setup.rate;
        self.at(self.now + time::Duration::from_secs_f64(gap), Event::Arrive);
        let (came, tries) = (self.now, outcome::Attempts::default());
        self.requests.push(Request { host, came, paid, tries });
        self.outcome.asked += 1;
        self.outcome.paid += u64::from(paid);
        self.hosts[host].demand += 1;
        self.hosts[host].budget.record_first_attempt();
        self.enter(self.requests.len() - 1);
    }

    /// Looks at all queues and deals out slots.
    fn tick(&mut self) {
        (0..self.hosts.len()).for_each(|host| self.serve_queue(host));
        let second = self.now.as_millis().is_multiple_of(deal::DEAL.as_millis());
        if second {
            self.deal();
        }
        let busy = self.now < self.setup.duration || !self.events.is_empty();
        if busy && self.now < self.setup.duration * 20 {
            self.at(self.now + TICK, Event::Tick);
        }
    }
}
