//! A load on hosts and endpoints, and what comes of it.

use std::time;

use serde::Deserialize;

/// The largest latency that is told apart, in microseconds.
pub const MAX_US: u64 = 600_000_000;

/// How hosts share the slots of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// Slots are dealt out to hosts once.
    Fixed,
    /// Slots are dealt out anew each second by the hosts' demand, which they tell each other.
    Demand,
    /// Every host uses every endpoint, and a full one refuses.
    Optimistic,
    /// As before, and each host learns from refusals how much room it has at each endpoint.
    Window,
    /// Every endpoint belongs to one host.
    Owner,
}

/// How a host chooses among endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Any.
    Random,
    /// The one with the fewest requests of this host.
    LeastConnections,
    /// The better of two by requests in flight and recent latency, leaving bad ones.
    TwoChoices,
}

/// What is wrong with an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Nothing.
    Well,
    /// Requests take so many times longer.
    Slow(f64),
    /// Requests fail at once.
    FailFast,
    /// Requests are never answered.
    Hang,
}

/// What is done with requests that find no free endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiting {
    /// The product's queue.
    Bounded,
    /// First come, first served, without an end.
    Endless,
}

/// A load and what serves it.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The number of hosts.
    pub hosts: usize,
    /// The number of endpoints.
    pub endpoints: usize,
    /// The slots of each endpoint.
    pub slots: u32,
    /// The connections that each endpoint takes.
    pub connections: u32,
    /// The mean time of a request.
    pub service: time::Duration,
    /// Requests a second.
    pub rate: f64,
    /// The share of requests that the first host takes; the others take the rest evenly.
    pub first_share: f64,
    /// The share of requests that paid for priority.
    pub paid_share: f64,
    /// How long the load lasts.
    pub duration: time::Duration,
    /// How long a caller waits.
    pub patience: time::Duration,
    /// How slots are shared.
    pub sharing: Sharing,
    /// How endpoints are chosen.
    pub choice: Choice,
    /// What is done with requests that must wait.
    pub waiting: Waiting,
    /// What is wrong with each endpoint and until when.
    pub troubles: Vec<(Trouble, time::Duration)>,
    /// Most tries of a request.
    pub tries: u32,
    /// Whether retries are bounded by the budget.
    pub budget: bool,
}

/// The endpoints of `data/endpoints.toml`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Endpoints {
    /// Their number.
    endpoints: usize,
    /// The slots of each.
    slots: u32,
    /// The connections that each takes.
    connections: u32,
    /// The mean time of a request, in milliseconds.
    service_ms: u64,
    /// The share of requests that paid for priority.
    paid_share: f64,
    /// How long a caller waits, in milliseconds.
    patience_ms: u64,
}

impl Setup {
    /// Returns the endpoints of `data/endpoints.toml` under a share of their capacity.
    ///
    /// # Panics
    /// Panics on data with faults, which would be a fault of the bench.
    #[must_use]
    pub fn shared(hosts: usize, load: f64) -> Self {
        let text = include_str!("../data/endpoints.toml");
        let shape: Endpoints = toml::from_str(text).expect("the bench's own data");
        let service = time::Duration::from_millis(shape.service_ms);
        let asked_slots = load * shape.endpoints as f64 * f64::from(shape.slots);
        Self {
            hosts,
            endpoints: shape.endpoints,
            slots: shape.slots,
            connections: shape.connections,
            service,
            rate: asked_slots / service.as_secs_f64(),
            first_share: 1.0 / hosts as f64,
            paid_share: shape.paid_share,
            duration: time::Duration::from_secs(6),
            patience: time::Duration::from_millis(shape.patience_ms),
            sharing: Sharing::Window,
            choice: Choice::TwoChoices,
            waiting: Waiting::Bounded,
            troubles: vec![(Trouble::Well, time::Duration::ZERO); shape.endpoints],
            tries: 3,
            budget: true,
        }
    }
}

/// What came of a load.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Latency of answers in time, in microseconds.
    pub latency_us: hdrhistogram::Histogram<u64>,
    /// Requests.
    pub asked: u64,
    /// Answers in time.
    pub answered: u64,
    /// Answers in time to requests that paid for priority.
    pub paid_answered: u64,
    /// Requests that paid for priority.
    pub paid: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// The time that refused requests waited for their final answer, in microseconds.
    pub refusal_us: hdrhistogram::Histogram<u64>,
    /// Requests that ended otherwise without an answer in time.
    pub failed: u64,
    /// Tries.
    pub tries: u64,
    /// Tries refused by a full endpoint.
    pub full: u64,
    /// Tries at endpoints in trouble.
    pub at_trouble: u64,
    /// Bytes of control that each host sends a second.
    pub control_bytes: f64,
    /// When a try was last made at an endpoint in trouble, from its start on.
    pub left_after: time::Duration,
    /// When an endpoint that is well again was first used after its trouble.
    pub used_again: Option<time::Duration>,
}

impl Outcome {
    /// Returns the outcome of a load that has not begun.
    ///
    /// # Panics
    /// Panics on bounds of latency that are no bounds, which are fixed here.
    #[must_use]
    pub fn empty() -> Self {
        let histogram = || hdrhistogram::Histogram::new_with_max(MAX_US, 3);
        Self {
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
        }
    }

    /// Returns a latency quantile in milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, share: f64) -> f64 {
        self.latency_us.value_at_quantile(share) as f64 / 1_000.0
    }
}
