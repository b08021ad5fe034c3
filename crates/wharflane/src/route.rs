//! Chooses an endpoint by its requests in flight and recent latency, and ejects failing endpoints
//! for a while.

use std::time;

/// The weight of a new sample in the moving averages.
const ALPHA: f64 = 0.2;
/// Consecutive failures after which an endpoint is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// The duration of the first ejection.
const BASE_EJECTION: time::Duration = time::Duration::from_secs(1);
/// The maximum number of times that the ejection is doubled.
const MAX_DOUBLINGS: u32 = 5;
/// A failure counts as a response this many times slower than the average.
const FAILURE_PENALTY: f64 = 4.0;
/// The latency assumed for an endpoint before its first response, in microseconds.
const INITIAL_LATENCY_US: f64 = 1_000.0;
/// The factor by which a refusal shrinks the window.
const WINDOW_DECREASE: f64 = 0.75;
/// The amount that a response adds to the window.
const WINDOW_INCREASE: f64 = 0.06;
/// The initial window, above any cap: the cap bounds an endpoint that was not used before.
const INITIAL_WINDOW: f64 = 1_000.0;
/// How long an endpoint that refused a request gets none, as a share of its latency.
const FULL_BACKOFF_SHARE: f64 = 0.125;
/// The upper bound of the moving averages, in microseconds.
const MAX_LATENCY_US: f64 = 10_000_000.0;

/// What one host knows about one endpoint.
#[derive(Clone, Debug)]
pub struct Health {
    /// Requests of this host in flight at the endpoint.
    pub in_flight: u32,
    /// The moving average of latency, including a penalty for each failure, in microseconds.
    latency_us: f64,
    /// The moving average of response time without penalties, in microseconds.
    answer_us: f64,
    /// Failures since the last response or ejection.
    failures: u32,
    /// Ejections since the last response.
    ejections: u32,
    /// When the current ejection ends; `None` if the endpoint is not ejected.
    ejected_until: Option<time::Duration>,
    /// Until when the endpoint is assumed to be full of requests from other hosts.
    full_until: time::Duration,
    /// The concurrency window: how many requests of this host the endpoint has recently had room
    /// for.
    window: f64,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            in_flight: 0,
            latency_us: INITIAL_LATENCY_US,
            answer_us: INITIAL_LATENCY_US,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            full_until: time::Duration::ZERO,
            window: INITIAL_WINDOW,
        }
    }
}

/// Whether an endpoint may get requests now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The endpoint gets requests.
    Open,
    /// The ejection has expired: the endpoint gets one request at a time until one succeeds.
    Probe,
    /// The endpoint gets no requests.
    Ejected,
}

impl Health {
    /// Records a response.
    pub fn answered(&mut self, latency: time::Duration) {
        let us = latency.as_micros() as f64;
        self.latency_us = (self.latency_us * (1.0 - ALPHA) + us * ALPHA).min(MAX_LATENCY_US);
        self.answer_us = (self.answer_us * (1.0 - ALPHA) + us * ALPHA).min(MAX_LATENCY_US);
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
        self.window = (self.window + WINDOW_INCREASE).min(INITIAL_WINDOW);
    }

    /// Records a failure; `may_eject` tells whether enough other endpoints remain in use.
    pub fn failed(&mut self, now: time::Duration, may_eject: bool) {
        let penalty = self.latency_us.max(INITIAL_LATENCY_US) * FAILURE_PENALTY;
        self.latency_us = (self.latency_us * (1.0 - ALPHA) + penalty * ALPHA).min(MAX_LATENCY_US);
        self.failures += 1;
        let probe_failed = self.ejected_until.is_some_and(|until| now >= until);
        if may_eject && (self.failures >= FAILURES_TO_EJECT || probe_failed) {
            let doublings = self.ejections.min(MAX_DOUBLINGS);
            self.ejected_until = Some(now + BASE_EJECTION * 2_u32.pow(doublings));
            self.ejections += 1;
            self.failures = 0;
        }
    }

    /// Records that the endpoint refused a request because it was full.
    ///
    /// Hosts that share an endpoint converge on fair shares without communication: a window grows
    /// slightly with every response and shrinks by a quarter with every refusal.
    pub fn refused(&mut self, now: time::Duration) {
        let window_in_use = self.window.min(f64::from(self.in_flight + 1));
        self.window = (window_in_use * WINDOW_DECREASE).max(1.0);
        let backoff = time::Duration::from_micros((self.latency_us * FULL_BACKOFF_SHARE) as u64);
        self.full_until = now + backoff;
    }

    /// Returns whether the endpoint may get requests now.
    #[must_use]
    pub fn availability(&self, now: time::Duration) -> Availability {
        match self.ejected_until {
            None => Availability::Open,
            Some(until) if now < until => Availability::Ejected,
            Some(_) => Availability::Probe,
        }
    }

    /// Returns the cost of one more request at the endpoint.
    #[must_use]
    pub fn cost(&self) -> f64 {
        f64::from(self.in_flight + 1) * self.latency_us
    }

    /// Returns the moving average of latency, including a penalty for each failure, in
    /// microseconds.
    #[must_use]
    pub fn latency_us(&self) -> f64 {
        self.latency_us
    }

    /// Returns the moving average of response time without penalties, in microseconds.
    #[must_use]
    pub fn answer_us(&self) -> f64 {
        self.answer_us
    }
}

/// How many random pairs of endpoints are tried before all endpoints are scanned.
const MAX_PAIR_DRAWS: usize = 3;

/// Returns the index of the endpoint that should get the next request, by the power of two choices.
///
/// `cost` returns the cost of one more request at an endpoint, or `None` if the endpoint accepts
/// none. `random` returns a number below its argument.
pub fn pick(
    endpoints: usize,
    cost: impl Fn(usize) -> Option<f64>,
    mut random: impl FnMut(usize) -> usize,
) -> Option<usize> {
    if endpoints == 0 {
        return None;
    }
    for _ in 0..MAX_PAIR_DRAWS {
        let pair = [random(endpoints), random(endpoints)];
        if let Some(index) = cheapest(pair.into_iter(), &cost) {
            return Some(index);
        }
    }
    cheapest(0..endpoints, &cost)
}

/// Returns the endpoint with the lowest cost, ignoring those without one.
fn cheapest(
    endpoints: impl Iterator<Item = usize>,
    cost: impl Fn(usize) -> Option<f64>,
) -> Option<usize> {
    let costs = endpoints.filter_map(|index| Some((index, cost(index)?)));
    costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(index, _)| index)
}

/// Returns the cost of one more request at an endpoint, or `None` if the endpoint accepts none.
#[must_use]
pub fn request_cost(health: &Health, cap: u32, now: time::Duration) -> Option<f64> {
    match health.availability(now) {
        Availability::Open => {
            let window = f64::from(cap).min(health.window) as u32;
            let has_room = health.in_flight < window && now >= health.full_until;
            has_room.then(|| health.cost())
        }
        // A probe has no cost, so that an expired ejection is resolved with the next request.
        Availability::Probe => (health.in_flight == 0).then_some(0.0),
        Availability::Ejected => None,
    }
}

/// Returns whether one more of `all` endpoints may be ejected.
#[must_use]
pub fn may_eject(ejected: usize, all: usize, max_share_percent: u32) -> bool {
    (ejected + 1) * 100 <= all * max_share_percent as usize
}
