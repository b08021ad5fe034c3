//! The setup of a simulated load on hosts and endpoints, and its outcome.

use std::time;

use serde::Deserialize;

/// The largest latency that histograms record, in microseconds.
pub const MAX_LATENCY_US: u64 = 600_000_000;

/// How hosts share the slots of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// Slots are divided among hosts once.
    Fixed,
    /// Slots are divided each second in proportion to the demand that hosts report to each other.
    Demand,
    /// Every host uses every endpoint, and a full endpoint refuses requests.
    Optimistic,
    /// Like `Optimistic`, and each host adapts a window for each endpoint to its refusals.
    Window,
    /// Every endpoint belongs to one host.
    Owner,
}

/// How a host chooses among endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// A random endpoint with free capacity.
    Random,
    /// The endpoint with the fewest requests of this host in flight.
    LeastConnections,
    /// The better of two random endpoints by requests in flight and recent latency; failing ones
    /// are ejected.
    TwoChoices,
}

/// The condition of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Condition {
    /// Serves requests as usual.
    Well,
    /// Multiplies the service time of each request by this factor.
    Slow(f64),
    /// Fails requests at once.
    FailFast,
    /// Never answers.
    Hang,
}

/// How a host queues requests that find no free endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueuePolicy {
    /// The scheduler's own queue, bounded and ordered by priority.
    Bounded,
    /// An unbounded first-in, first-out queue.
    Endless,
}

/// A load, the hosts and endpoints that serve it, and their policies.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The number of hosts.
    pub hosts: usize,
    /// The number of endpoints.
    pub endpoints: usize,
    /// Requests that an endpoint runs at a time.
    pub slots: u32,
    /// Connections that an endpoint accepts.
    pub connections: u32,
    /// The mean service time of a request.
    pub service: time::Duration,
    /// Requests per second over all hosts.
    pub rate: f64,
    /// The share of requests that the first host receives; the others receive equal shares of the
    /// remainder.
    pub first_share: f64,
    /// The share of requests that paid for priority.
    pub paid_share: f64,
    /// The time during which requests arrive.
    pub duration: time::Duration,
    /// How long a caller waits for an answer.
    pub caller_timeout: time::Duration,
    /// How slots are shared among hosts.
    pub sharing: Sharing,
    /// How a host chooses an endpoint.
    pub choice: Choice,
    /// How a host queues requests that find no free endpoint.
    pub queue_policy: QueuePolicy,
    /// The condition of each endpoint and the time at which it ends.
    pub conditions: Vec<(Condition, time::Duration)>,
    /// The maximum number of attempts of a request, without refusals by full endpoints.
    pub max_attempts: u32,
    /// Whether a retry budget bounds retries.
    pub retry_budget: bool,
}

/// The contents of `data/endpoints.toml`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Endpoints {
    /// The number of endpoints.
    endpoints: usize,
    /// Requests that an endpoint runs at a time.
    slots: u32,
    /// Connections that an endpoint accepts.
    connections: u32,
    /// The mean service time of a request, in milliseconds.
    service_ms: u64,
    /// The share of requests that paid for priority.
    paid_share: f64,
    /// How long a caller waits for an answer, in milliseconds.
    patience_ms: u64,
}

impl Setup {
    /// Returns a setup with the endpoints of `data/endpoints.toml` and a load given as a share of
    /// their capacity.
    ///
    /// # Panics
    /// Panics if the data is invalid, which would be a bug in this crate.
    #[must_use]
    pub fn with_load(hosts: usize, load: f64) -> Self {
        let text = include_str!("../data/endpoints.toml");
        let data: Endpoints = toml::from_str(text).expect("built-in data is valid");
        let service = time::Duration::from_millis(data.service_ms);
        let busy_slots = load * data.endpoints as f64 * f64::from(data.slots);
        Self {
            hosts,
            endpoints: data.endpoints,
            slots: data.slots,
            connections: data.connections,
            service,
            rate: busy_slots / service.as_secs_f64(),
            first_share: 1.0 / hosts as f64,
            paid_share: data.paid_share,
            duration: time::Duration::from_secs(6),
            caller_timeout: time::Duration::from_millis(data.patience_ms),
            sharing: Sharing::Window,
            choice: Choice::TwoChoices,
            queue_policy: QueuePolicy::Bounded,
            conditions: vec![(Condition::Well, time::Duration::ZERO); data.endpoints],
            max_attempts: 3,
            retry_budget: true,
        }
    }
}

/// The outcome of a load.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Latency of answers in time, in microseconds.
    pub latency_us: hdrhistogram::Histogram<u64>,
    /// Requests that arrived.
    pub offered: u64,
    /// Requests answered in time.
    pub answered: u64,
    /// Requests answered in time that had paid for priority.
    pub paid_answered: u64,
    /// Requests that arrived and had paid for priority.
    pub paid: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// The time from arrival to refusal, in microseconds.
    pub refusal_us: hdrhistogram::Histogram<u64>,
    /// Requests that ended without an answer in time, other than by refusal.
    pub failed: u64,
    /// Attempts sent to endpoints, retries included.
    pub attempts: u64,
    /// Attempts refused because the endpoint was full.
    pub full_refusals: u64,
    /// Attempts sent to endpoints while they were faulty.
    pub faulty_attempts: u64,
    /// Control traffic that each host sends, in bytes per second.
    pub control_bytes_per_s: f64,
    /// When the last attempt reached a faulty endpoint, from the start of the run.
    pub last_faulty_attempt: time::Duration,
    /// How long after its recovery an endpoint was first used again; `None` if it never was.
    pub reused_after: Option<time::Duration>,
}

impl Outcome {
    /// Returns an outcome with all counters at zero.
    ///
    /// # Panics
    /// Panics if the bounds of the histograms are invalid; they are constants.
    #[must_use]
    pub fn empty() -> Self {
        let histogram = || hdrhistogram::Histogram::new_with_max(MAX_LATENCY_US, 3);
        Self {
            latency_us: histogram().expect("bounds are valid"),
            refusal_us: histogram().expect("bounds are valid"),
            offered: 0,
            answered: 0,
            paid_answered: 0,
            paid: 0,
            refused: 0,
            failed: 0,
            attempts: 0,
            full_refusals: 0,
            faulty_attempts: 0,
            control_bytes_per_s: 0.0,
            last_faulty_attempt: time::Duration::ZERO,
            reused_after: None,
        }
    }

    /// Returns a quantile of the latency in milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, share: f64) -> f64 {
        self.latency_us.value_at_quantile(share) as f64 / 1_000.0
    }
}
