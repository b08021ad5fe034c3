//! Hosts, endpoints and callers in virtual time, around the product's own decisions.

use std::collections;
use std::time;

use rand::{RngExt as _, SeedableRng as _};
use wharflane::{limit, outcome, retry, route};

pub use crate::load::{Choice, Outcome, Setup, Sharing, Trouble, Waiting};

/// One way between a host and an endpoint.
const WAY: time::Duration = time::Duration::from_micros(500);
/// The largest latency that is told apart, in microseconds.
const MAX_US: u64 = 600_000_000;

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
    tries: outcome::Tries,
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

/// A host.
struct Host {
    /// What it knows of each endpoint.
    health: Vec<route::Health>,
    /// The most requests that it may have under way at each.
    caps: Vec<u32>,
    /// Its queue.
    queue: limit::Queue<usize>,
    /// Its retry budget.
    budget: retry::Budget,
    /// Requests in the last second.
    demand: u64,
}

/// An endpoint.
struct Endpoint {
    /// Slots in use.
    used: u32,
    /// When trouble ends.
    until: time::Duration,
    /// What is wrong until then.
    trouble: Trouble,
}

/// The time between two looks at the queues.
const TICK: time::Duration = time::Duration::from_millis(20);
/// How often slots are dealt out by demand.
const DEAL: time::Duration = time::Duration::from_secs(1);
/// The bytes of a message that tells one host's demand to another.
const DEMAND_BYTES: f64 = 160.0;
/// The most refusals by full endpoints that a request bears.
const MAX_REFUSALS: u32 = 16;
/// How many wait at most in the product's queue.
const QUEUE: usize = 256;

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
    hosts: Vec<Host>,
    /// The endpoints.
    endpoints: Vec<Endpoint>,
    /// The requests.
    requests: Vec<Request>,
    /// Chance.
    rng: rand::rngs::SmallRng,
    /// What came of it.
    outcome: Outcome,
}

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

impl Sim {
    /// Makes everything as it is at the start.
    fn new(setup: Setup, seed: u64) -> Self {
        let queue = match setup.waiting {
            Waiting::Bounded => QUEUE,
            Waiting::Endless => usize::MAX,
        };
        let host = || Host {
            health: vec![route::Health::default(); setup.endpoints],
            caps: vec![0; setup.endpoints],
            queue: limit::Queue::new(queue),
            budget: retry::Budget::new(100, 20),
            demand: 0,
        };
        let endpoint = |(trouble, until): &(Trouble, time::Duration)| Endpoint {
            used: 0,
            until: *until,
            trouble: *trouble,
        };
        let histogram = || hdrhistogram::Histogram::new_with_max(MAX_US, 3);
        Self {
            now: time::Duration::ZERO,
            events: collections::BTreeMap::new(),
            number: 0,
            hosts: (0..setup.hosts).map(|_| host()).collect(),
            endpoints: setup.troubles.iter().map(endpoint).collect(),
            requests: Vec::new(),
            rng: rand::rngs::SmallRng::seed_from_u64(seed),
            outcome: Outcome {
                latency_us: histogram().expect("bounds are fixed"),
                refusal_us: histogram().expect("bounds are fixed"),
                asked: 0,
                answered: 0,
                paid_answered: 0,
                paid: 0,
                refused: 0,
                failed: 0,
                tries: 0,
                full: 0,
                at_trouble: 0,
                control_bytes: 0.0,
                left_after: time::Duration::ZERO,
                used_again: None,
            },
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
            Event::Done(request, endpoint) => {
                self.endpoints[endpoint].used -= 1;
                self.at(self.now + WAY, Event::Back(request, endpoint, Back::Answer));
            }
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
        let (came, tries) = (self.now, outcome::Tries::default());
        self.requests.push(Request { host, came, paid, tries });
        self.outcome.asked += 1;
        self.outcome.paid += u64::from(paid);
        self.hosts[host].demand += 1;
        self.hosts[host].budget.first();
        self.enter(self.requests.len() - 1);
    }

    /// Sends a request to an endpoint, or lets it wait.
    fn enter(&mut self, request: usize) {
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
            limit::Admission::Queued => {}
            limit::Admission::Refused(_) => self.refuse(request),
            limit::Admission::Displaced(other, _) => self.refuse(other),
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
                let cost = |at: usize| match route::offer(&health[at], caps[at], now) {
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

    /// Lets an endpoint take a try.
    fn reach(&mut self, request: usize, endpoint: usize) {
        let now = self.now;
        let slots = self.setup.slots;
        let place = &mut self.endpoints[endpoint];
        let troubled = place.trouble != Trouble::Well && now < place.until;
        if troubled {
            self.outcome.at_trouble += 1;
            self.outcome.left_after = now;
        } else if place.trouble != Trouble::Well && self.outcome.used_again.is_none() {
            self.outcome.used_again = Some(now - place.until);
        }
        let trouble = if troubled { place.trouble } else { Trouble::Well };
        if trouble == Trouble::FailFast {
            self.at(now + WAY, Event::Back(request, endpoint, Back::Failure));
            return;
        }
        if place.used >= slots {
            self.at(now + WAY, Event::Back(request, endpoint, Back::Refusal));
            return;
        }
        if trouble == Trouble::Hang {
            let deadline = self.requests[request].came + self.setup.patience;
            self.at(deadline.max(now), Event::Back(request, endpoint, Back::Timeout));
            return;
        }
        place.used += 1;
        let factor = if let Trouble::Slow(factor) = trouble { factor } else { 1.0 };
        let spread = -self.rng.random::<f64>().max(1e-12).ln() * 0.5 + 0.5;
        let took = self.setup.service.mul_f64(spread * factor);
        self.at(now + took, Event::Done(request, endpoint));
    }

    /// Takes back a try at its host.
    fn back(&mut self, request: usize, endpoint: usize, back: Back) {
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
                    let us = u64::try_from(latency.as_micros()).unwrap_or(MAX_US);
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
        if allowed && (!self.setup.budget || self.hosts[host].budget.take()) {
            self.enter(request);
        } else if tries.open == 0 {
            self.refuse(request);
        } else {
            self.outcome.failed += 1;
        }
    }

    /// Returns whether a host may leave one more endpoint.
    fn may_eject(&self, host: usize) -> bool {
        let health = &self.hosts[host].health;
        let left = health.iter().filter(|h| h.usable(self.now) == route::Use::Ejected).count();
        route::may_eject(left, health.len(), 30)
    }

    /// Sends waiting requests while there are free endpoints.
    fn serve_queue(&mut self, host: usize) {
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
        let us = u64::try_from(waited.as_micros()).unwrap_or(MAX_US);
        self.outcome.refusal_us.saturating_record(us);
    }

    /// Looks at all queues and deals out slots.
    fn tick(&mut self) {
        (0..self.hosts.len()).for_each(|host| self.serve_queue(host));
        let second = self.now.as_millis().is_multiple_of(DEAL.as_millis());
        if second {
            self.deal();
        }
        let busy = self.now < self.setup.duration || !self.events.is_empty();
        if busy && self.now < self.setup.duration * 20 {
            self.at(self.now + TICK, Event::Tick);
        }
    }

    /// Deals out the slots of every endpoint.
    fn deal(&mut self) {
        let hosts = self.setup.hosts;
        let even = vec![1.0 / hosts as f64; hosts];
        let shares = match self.setup.sharing {
            Sharing::Demand => {
                let others = (hosts - 1) as f64;
                self.outcome.control_bytes = others * DEMAND_BYTES / DEAL.as_secs_f64();
                demand_shares(&mut self.hosts).unwrap_or(even)
            }
            _ => even,
        };
        let Setup { endpoints, slots, connections, .. } = self.setup;
        for endpoint in 0..endpoints {
            let dealt = dealt(endpoint, slots, &shares);
            for (at, host) in self.hosts.iter_mut().enumerate() {
                host.caps[endpoint] = match self.setup.sharing {
                    Sharing::Fixed | Sharing::Demand => dealt[at],
                    Sharing::Optimistic | Sharing::Window => {
                        slots.min((connections / hosts as u32).max(1))
                    }
                    Sharing::Owner => u32::from(endpoint % hosts == at) * slots,
                };
            }
        }
    }
}

/// Returns each host's share of the demand in the last second.
fn demand_shares(hosts: &mut [Host]) -> Option<Vec<f64>> {
    let total: u64 = hosts.iter().map(|host| host.demand).sum();
    if total == 0 {
        return None;
    }
    let shares = hosts.iter().map(|host| (host.demand + 1) as f64 / (total + 1) as f64).collect();
    hosts.iter_mut().for_each(|host| host.demand = 0);
    Some(shares)
}

/// Deals the slots of one endpoint to hosts by their shares, each endpoint from another start.
fn dealt(endpoint: usize, slots: u32, shares: &[f64]) -> Vec<u32> {
    let total: f64 = shares.iter().sum();
    let mut dealt = vec![0; shares.len()];
    // Systematic sampling: over all endpoints every host gets its share, whole slots at each.
    let start = (endpoint as f64 * 0.618_033_988_75).fract();
    let step = total / f64::from(slots);
    for slot in 0..slots {
        let mut point = (f64::from(slot) + start) * step % total;
        for (host, share) in shares.iter().enumerate() {
            if point < *share || host + 1 == shares.len() {
                dealt[host] += 1;
                break;
            }
            point -= share;
        }
    }
    dealt
}
