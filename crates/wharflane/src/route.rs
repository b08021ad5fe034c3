//! Chooses an endpoint by requests in flight and recent latency, and leaves bad ones for a while.

use std::time;

/// How much the newest latency counts in the average.
const ALPHA: f64 = 0.2;
/// Failures in a row after which an endpoint is left.
const FAILURES_TO_EJECT: u32 = 5;
/// How long an endpoint is left the first time.
const FIRST_EJECTION: time::Duration = time::Duration::from_secs(1);
/// The most times that the ejection is doubled.
const MAX_DOUBLINGS: u32 = 5;
/// A failure counts as an answer this many times slower than the average.
const FAILURE_PENALTY: f64 = 4.0;
/// The latency assumed for an endpoint before its first answer, in microseconds.
const FIRST_GUESS_US: f64 = 1_000.0;
/// What is left of the window after a full endpoint refused.
const WINDOW_DECREASE: f64 = 0.75;
/// What one answer adds to the window.
const WINDOW_INCREASE: f64 = 0.06;
/// The window of an endpoint not used before; the cap is what bounds it.
const FIRST_WINDOW: f64 = 1_000.0;
/// How long a full endpoint is let rest, as a share of its latency.
const REST_SHARE: f64 = 0.125;
/// The latency above which the average does not grow, in microseconds.
const MAX_US: f64 = 10_000_000.0;

/// What one host knows of one endpoint.
#[derive(Clone, Debug)]
pub struct Health {
    /// Requests of this host under way there.
    pub in_flight: u32,
    /// The moving average of latency with a penalty for each failure, in microseconds.
    latency_us: f64,
    /// The moving average of what answers took, in microseconds.
    answer_us: f64,
    /// Failures since the last answer.
    failures: u32,
    /// Ejections since the last answer.
    ejections: u32,
    /// Until when the endpoint is left.
    ejected_until: Option<time::Duration>,
    /// Until when the endpoint is taken to be full of other hosts' requests.
    full_until: time::Duration,
    /// The requests of this host that the endpoint has lately had room for.
    window: f64,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            in_flight: 0,
            latency_us: FIRST_GUESS_US,
            answer_us: FIRST_GUESS_US,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            full_until: time::Duration::ZERO,
            window: FIRST_WINDOW,
        }
    }
}

/// How an endpoint may be used at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// As usual.
    Open,
    /// With one request at a time, to see whether it is well again.
    Probe,
    /// Not at all.
    Ejected,
}

impl Health {
    /// Notes an answer.
    pub fn answered(&mut self, latency: time::Duration) {
        let us = latency.as_micros() as f64;
        self.latency_us = (self.latency_us * (1.0 - ALPHA) + us * ALPHA).min(MAX_US);
        self.answer_us = (self.answer_us * (1.0 - ALPHA) + us * ALPHA).min(MAX_US);
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
        self.window = (self.window + WINDOW_INCREASE).min(FIRST_WINDOW);
    }

    /// Notes a failure; `may_eject` says whether enough other endpoints are in use.
    pub fn failed(&mut self, now: time::Duration, may_eject: bool) {
        let penalty = self.latency_us.max(FIRST_GUESS_US) * FAILURE_PENALTY;
        self.latency_us = (self.latency_us * (1.0 - ALPHA) + penalty * ALPHA).min(MAX_US);
        self.failures += 1;
        let probe_failed = self.ejected_until.is_some_and(|until| now >= until);
        if may_eject && (self.failures >= FAILURES_TO_EJECT || probe_failed) {
            let doublings = self.ejections.min(MAX_DOUBLINGS);
            self.ejected_until = Some(now + FIRST_EJECTION * 2_u32.pow(doublings));
            self.ejections += 1;
            self.failures = 0;
        }
    }

    /// Notes that the endpoint was full, with what this host has under way there now.
    ///
    /// Hosts that share an endpoint find their shares by this alone: each takes a little more
    /// with every answer and a quarter less with every refusal.
    pub fn refused(&mut self, now: time::Duration) {
        let reached = self.window.min(f64::from(self.in_flight + 1));
        self.window = (reached * WINDOW_DECREASE).max(1.0);
        let rest = time::Duration::from_micros((self.latency_us * REST_SHARE) as u64);
        self.full_until = now + rest;
    }

    /// Returns how the endpoint may be used now.
    #[must_use]
    pub fn availability(&self, now: time::Duration) -> Availability {
        match self.ejected_until {
            None => Availability::Open,
            Some(until) if now < until => Availability::Ejected,
            Some(_) => Availability::Probe,
        }
    }

    /// Returns the cost of sending one more request there.
    #[must_use]
    pub fn cost(&self) -> f64 {
        f64::from(self.in_flight + 1) * self.latency_us
    }

    /// Returns the moving average of latency with a penalty for each failure, in microseconds.
    #[must_use]
    pub fn latency_us(&self) -> f64 {
        self.latency_us
    }

    /// Returns the moving average of what answers took, in microseconds.
    #[must_use]
    pub fn answer_us(&self) -> f64 {
        self.answer_us
    }
}

/// How often two endpoints are drawn before all are looked at.
const DRAWS: usize = 3;

/// Returns the index of the endpoint to use among those that may take one more request.
///
/// `cost` returns the cost of one more request at an endpoint, or nothing where it may take none.
/// `random` returns a number below its argument.
pub fn pick(
    endpoints: usize,
    cost: impl Fn(usize) -> Option<f64>,
    mut random: impl FnMut(usize) -> usize,
) -> Option<usize> {
    if endpoints == 0 {
        return None;
    }
    for _ in 0..DRAWS {
        let pair = [random(endpoints), random(endpoints)];
        if let Some(at) = cheapest(pair.into_iter(), &cost) {
            return Some(at);
        }
    }
    cheapest(0..endpoints, &cost)
}

/// Returns the cheapest of those that have a cost.
fn cheapest(
    endpoints: impl Iterator<Item = usize>,
    cost: impl Fn(usize) -> Option<f64>,
) -> Option<usize> {
    let costs = endpoints.filter_map(|at| Some((at, cost(at)?)));
    costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(at, _)| at)
}

/// Returns the cost of one more request at an endpoint, or nothing where it may take none.
#[must_use]
pub fn request_cost(health: &Health, cap: u32, now: time::Duration) -> Option<f64> {
    match health.availability(now) {
        Availability::Open => {
            let window = f64::from(cap).min(health.window) as u32;
            let room = health.in_flight < window && now >= health.full_until;
            room.then(|| health.cost())
        }
        // A probe costs one request and ends an ejection that has lasted long enough.
        Availability::Probe => (health.in_flight == 0).then_some(0.0),
        Availability::Ejected => None,
    }
}

/// Returns whether one more of so many endpoints may be left.
#[must_use]
pub fn may_eject(ejected: usize, all: usize, max_share_percent: u32) -> bool {
    (ejected + 1) * 100 <= all * max_share_percent as usize
}
