//! The balancer of one service: its endpoints, its queue of waiting requests and its retry budget.
//!
//! This host has at most `cap` requests in flight at one endpoint; further ones wait in the queue,
//! and are rejected once they can no longer be answered before their deadline. A retry avoids the
//! endpoint that failed it.

use std::collections;
use std::net;
use std::sync;
use std::time;

use rand::RngExt as _;
use tokio::sync::oneshot;
use wharflane::{desired, digest, endpoints, id, latency, outcome, queue, retry, route};

use super::Limits;
use crate::metrics;

/// An endpoint with what this host knows about it.
#[derive(Debug)]
struct EndpointState {
    /// Hall of the endpoint's worker.
    hall: id::HallId,
    /// Entry of the endpoint table.
    endpoint: endpoints::Endpoint,
    /// Moving averages, failures in a row and requests in flight.
    health: route::Health,
    /// Latencies since the last digest.
    latencies: latency::Histogram,
    /// Number of failures since the last digest.
    failures: u32,
}

/// State of a balancer under its lock.
#[derive(Debug)]
struct State {
    /// Declaration of the service; `None` before the first update.
    service: Option<desired::Service>,
    /// Endpoints of the service.
    endpoints: Vec<EndpointState>,
    /// Index into `endpoints` by address.
    index: collections::HashMap<net::SocketAddr, usize>,
    /// Largest number of this host's requests in flight at one endpoint.
    cap: u32,
    /// Requests that wait for an endpoint.
    queue: queue::Queue<Waiter>,
    /// Budget that bounds retries to a share of first attempts.
    budget: retry::Budget,
}

/// A request that waits for an endpoint.
#[derive(Debug)]
struct Waiter {
    /// Endpoint that the request avoids.
    avoid: Avoid,
    /// Channel on which the request receives its permit or rejection.
    sender: oneshot::Sender<Grant>,
}

/// The endpoint that a request avoids after earlier attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Avoid {
    /// None: this is its first attempt.
    Nothing,
    /// An endpoint that was full; used again if no other has room at once.
    Full(net::SocketAddr),
    /// An endpoint that failed the request; avoided as long as any other is in use. An endpoint
    /// that fails fast always has room and would otherwise take all attempts of waiting requests.
    Failed(net::SocketAddr),
}

/// Number of average service times that must be left before a request's deadline.
const SERVICE_TIME_MARGIN: u32 = 2;

impl State {
    /// Returns how long before its deadline a request must be sent.
    ///
    /// Only answers count. The latency penalty of an endpoint that fails fast would soon exceed any
    /// deadline, and every request that has to wait would be rejected although the other endpoints
    /// are healthy.
    fn service_time(&self) -> time::Duration {
        let answers = self.endpoints.iter().map(|entry| entry.health.answer_us());
        let mean_us = answers.sum::<f64>() / self.endpoints.len().max(1) as f64;
        time::Duration::from_micros(mean_us as u64) * SERVICE_TIME_MARGIN
    }
}

/// The result of waiting in the queue.
#[derive(Debug)]
pub enum Grant {
    /// The request may be sent to an endpoint.
    Granted(Permit),
    /// The request is rejected.
    Refused(queue::Refused),
}

/// Why a request gets no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPermit {
    /// Every endpoint is leaving, or there is none.
    NoEndpoint,
    /// The queue can't serve the request before its deadline.
    Overloaded(queue::Refused),
    /// The request waited until its deadline.
    Expired,
}

/// The balancer of one service.
#[derive(Debug)]
pub struct Balancer {
    /// Service that is balanced.
    name: id::ServiceId,
    /// Limits from the settings.
    limits: Limits,
    /// Metrics of this host.
    metrics: metrics::Metrics,
    /// Endpoints, queue and budget.
    state: sync::Mutex<State>,
}

/// The right to run one request at an endpoint; dropping it releases the capacity.
#[derive(Debug)]
pub struct Permit {
    /// Balancer to which the capacity is returned.
    balancer: sync::Arc<Balancer>,
    /// Address of the endpoint.
    pub addr: net::SocketAddr,
    /// How the request ended, as far as it is known.
    completion: Completion,
    /// Clock reading at the end of the request; that of the grant if the result is not known.
    ended_at: time::Duration,
}

/// How a permit was used.
#[derive(Clone, Copy, Debug)]
enum Completion {
    /// The caller disconnected, or the result is not known.
    Open,
    /// The endpoint answered with this latency.
    Answered(time::Duration),
    /// The endpoint failed.
    Failed,
    /// The endpoint rejected the request because it was full.
    Refused,
}

impl Permit {
    /// Releases the permit after an answer.
    pub fn answered(mut self, latency: time::Duration, now: time::Duration) {
        self.completion = Completion::Answered(latency);
        self.ended_at = now;
    }

    /// Releases the permit after a failure.
    pub fn failed(mut self, failure: outcome::Failure, now: time::Duration) {
        self.completion = match failure {
            outcome::Failure::Refused => Completion::Refused,
            _ => Completion::Failed,
        };
        self.ended_at = now;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.balancer.release(self.addr, self.completion, self.ended_at);
    }
}

impl Balancer {
    /// Creates a balancer without endpoints.
    pub fn new(name: id::ServiceId, limits: Limits, metrics: metrics::Metrics) -> Self {
        let state = State {
            service: None,
            endpoints: Vec::new(),
            index: collections::HashMap::new(),
            cap: 1,
            queue: queue::Queue::new(limits.queue),
            budget: retry::Budget::new(limits.retry_share_milli, limits.retry_burst),
        };
        Self { name, limits, metrics, state: sync::Mutex::new(state) }
    }

    /// Replaces the endpoints; those that stay keep their health and statistics.
    pub fn update(
        self: &sync::Arc<Self>,
        service: &desired::Service,
        endpoints: &[(id::HallId, endpoints::Endpoint)],
        cap: u32,
        now: time::Duration,
    ) {
        let grants = {
            let mut state = self.lock();
            let mut before: collections::HashMap<net::SocketAddr, EndpointState> =
                state.endpoints.drain(..).map(|entry| (entry.endpoint.addr, entry)).collect();
            for (hall, endpoint) in endpoints {
                let known = before.remove(&endpoint.addr);
                let same = known.filter(|entry| entry.endpoint.task == endpoint.task);
                let mut entry = same.unwrap_or_else(|| EndpointState::new(hall, endpoint));
                entry.endpoint.leaving = endpoint.leaving;
                state.endpoints.push(entry);
            }
            let index =
                state.endpoints.iter().enumerate().map(|(at, entry)| (entry.endpoint.addr, at));
            state.index = index.collect();
            state.service = Some(service.clone());
            state.cap = cap;
            self.grant_waiting(&mut state, now)
        };
        notify(grants);
    }

    /// Returns the declaration of the service.
    pub fn service(&self) -> Option<desired::Service> {
        self.lock().service.clone()
    }

    /// Waits for a permit at an endpoint, other than the one that the request avoids if possible.
    ///
    /// # Errors
    /// Returns `NoPermit` as soon as it is clear that the request can't be served in time.
    pub async fn acquire(
        self: &sync::Arc<Self>,
        priority: u32,
        now: time::Duration,
        deadline: time::Duration,
        first: bool,
        avoid: Avoid,
    ) -> Result<Permit, NoPermit> {
        let waiting = {
            let mut state = self.lock();
            if state.queue.is_empty()
                && let Some(addr) = reserve_avoiding(&mut state, now, avoid)
            {
                return Ok(self.permit(addr, now));
            }
            if !state.endpoints.iter().any(|entry| !entry.endpoint.leaving) {
                return Err(NoPermit::NoEndpoint);
            }
            let (sender, receiver) = oneshot::channel();
            let start_by = deadline.saturating_sub(state.service_time());
            let waiter = Waiter { avoid, sender };
            match state.queue.push(priority, start_by, now, first, waiter) {
                queue::Admission::Queued => {}
                queue::Admission::Refused(refused) => return Err(NoPermit::Overloaded(refused)),
                queue::Admission::Displaced(other, refused) => {
                    let _ = other.sender.send(Grant::Refused(refused));
                }
            }
            receiver
        };
        let timeout = deadline.saturating_sub(now);
        match tokio::time::timeout(timeout, waiting).await {
            Ok(Ok(Grant::Granted(permit))) => Ok(permit),
            Ok(Ok(Grant::Refused(refused))) => Err(NoPermit::Overloaded(refused)),
            Ok(Err(_)) | Err(_) => Err(NoPermit::Expired),
        }
    }

    /// Credits the retry budget with a first attempt.
    pub fn record_first_attempt(&self) {
        self.lock().budget.record_first_attempt();
    }

    /// Takes one retry out of the budget; returns whether there was one.
    pub fn take_retry(&self) -> bool {
        self.lock().budget.try_withdraw()
    }

    /// Marks an endpoint that announced that it is leaving.
    pub fn mark_leaving(&self, addr: net::SocketAddr) {
        let mut state = self.lock();
        if let Some(at) = state.index.get(&addr).copied() {
            state.endpoints[at].endpoint.leaving = true;
        }
    }

    /// Returns the statistics since the last call and updates the gauges.
    pub fn take_stats(&self, now: time::Duration) -> Vec<(id::HallId, digest::EndpointStats)> {
        let mut state = self.lock();
        self.update_gauges(&state, now);
        let target_ms = state.service.as_ref().map_or(u64::MAX, |s| s.latency_target_ms);
        let mut all = Vec::new();
        for entry in &mut state.endpoints {
            let latencies = entry.latencies.take();
            let failures = std::mem::take(&mut entry.failures);
            let p95_us = latencies.quantile_us(0.95);
            // Only endpoints that miss the latency target or fail are reported.
            if p95_us <= target_ms.saturating_mul(1_000) && failures == 0 {
                continue;
            }
            let seen = digest::EndpointStats {
                task: entry.endpoint.task.clone(),
                in_flight: entry.health.in_flight,
                answers: latencies.total(),
                failures,
                p95_us,
            };
            all.push((entry.hall.clone(), seen));
        }
        all
    }

    /// Returns the balancer's part of the state dump.
    pub fn dump(&self, now: time::Duration) -> BalancerDump {
        let state = self.lock();
        let endpoint = |entry: &EndpointState| EndpointDump {
            task: entry.endpoint.task.clone(),
            addr: entry.endpoint.addr,
            leaving: entry.endpoint.leaving,
            used: format!("{:?}", entry.health.availability(now)).to_lowercase(),
            in_flight: entry.health.in_flight,
            latency_us: entry.health.latency_us(),
        };
        BalancerDump {
            service: self.name.clone(),
            cap: state.cap,
            queued: state.queue.len(),
            retries_left: state.budget.left(),
            endpoints: state.endpoints.iter().map(endpoint).collect(),
        }
    }

    /// Returns a permit's capacity and grants it to the next waiting request.
    fn release(
        self: &sync::Arc<Self>,
        addr: net::SocketAddr,
        completion: Completion,
        now: time::Duration,
    ) {
        let grants = {
            let mut state = self.lock();
            self.record_completion(&mut state, addr, completion, now);
            self.grant_waiting(&mut state, now)
        };
        notify(grants);
    }

    /// Records how a permit was used.
    fn record_completion(
        &self,
        state: &mut State,
        addr: net::SocketAddr,
        completion: Completion,
        now: time::Duration,
    ) {
        let is_ejected =
            |entry: &EndpointState| entry.health.availability(now) == route::Availability::Ejected;
        let ejected = state.endpoints.iter().filter(|entry| is_ejected(entry)).count();
        let share = self.limits.eject_share_percent;
        let may_eject = route::may_eject(ejected, state.endpoints.len(), share);
        let Some(at) = state.index.get(&addr).copied() else {
            return;
        };
        let entry = &mut state.endpoints[at];
        entry.health.in_flight = entry.health.in_flight.saturating_sub(1);
        match completion {
            Completion::Open => {}
            Completion::Answered(latency) => {
                entry.health.answered(latency);
                entry.latencies.record(latency);
            }
            Completion::Failed => {
                entry.health.failed(now, may_eject);
                entry.failures += 1;
            }
            Completion::Refused => entry.health.refused(now),
        }
    }

    /// Grants free capacity to waiting requests; returns the grants to be sent.
    fn grant_waiting(
        self: &sync::Arc<Self>,
        state: &mut State,
        now: time::Duration,
    ) -> Vec<(oneshot::Sender<Grant>, Grant)> {
        let mut grants = Vec::new();
        while !state.queue.is_empty() {
            let Some(addr) = reserve(state, now, None) else {
                break;
            };
            let mut found = self.grant(state, addr, now, &mut grants);
            if !found && let Some(other) = reserve(state, now, Some(addr)) {
                // All waiting requests avoid the first endpoint, so the next of them gets any
                // other.
                found = self.grant(state, other, now, &mut grants);
            }
            if !found {
                break;
            }
        }
        grants
    }

    /// Grants a reservation to the next request that does not avoid the endpoint, or releases it;
    /// returns whether there was such a request.
    fn grant(
        self: &sync::Arc<Self>,
        state: &mut State,
        addr: net::SocketAddr,
        now: time::Duration,
        grants: &mut Vec<(oneshot::Sender<Grant>, Grant)>,
    ) -> bool {
        let only_choice = !others_in_use(state, addr, now);
        let fits = |waiter: &Waiter| only_choice || waiter.avoid != Avoid::Failed(addr);
        let (expired, next) = state.queue.pop_for(now, fits);
        let refused = queue::Refused { retry_after: state.queue.retry_after() };
        grants.extend(expired.into_iter().map(|expired| (expired.sender, Grant::Refused(refused))));
        let found = next.is_some();
        match next {
            Some(next) => grants.push((next.sender, Grant::Granted(self.permit(addr, now)))),
            None => cancel_reservation(state, addr),
        }
        found
    }

    /// Creates the permit for a reservation.
    fn permit(self: &sync::Arc<Self>, addr: net::SocketAddr, now: time::Duration) -> Permit {
        Permit {
            balancer: sync::Arc::clone(self),
            addr,
            completion: Completion::Open,
            ended_at: now,
        }
    }

    /// Grants capacity that became free as time passed, such as at the end of an ejection.
    pub fn tick(self: &sync::Arc<Self>, now: time::Duration) {
        let grants = {
            let mut state = self.lock();
            self.grant_waiting(&mut state, now)
        };
        notify(grants);
    }

    /// Updates the gauges of the service.
    fn update_gauges(&self, state: &State, now: time::Duration) {
        let service = self.name.as_str();
        let count = |test: &dyn Fn(&EndpointState) -> bool| {
            let count = state.endpoints.iter().filter(|entry| test(entry)).count();
            i64::try_from(count).unwrap_or(i64::MAX)
        };
        let ejected =
            |entry: &EndpointState| entry.health.availability(now) == route::Availability::Ejected;
        let gauge = |state: &str, value: i64| {
            self.metrics.endpoints.with_label_values(&[service, state]).set(value);
        };
        gauge("open", count(&|entry| !entry.endpoint.leaving && !ejected(entry)));
        gauge("leaving", count(&|entry| entry.endpoint.leaving));
        gauge("ejected", count(&ejected));
        let queued = i64::try_from(state.queue.len()).unwrap_or(i64::MAX);
        self.metrics.queued.with_label_values(&[service]).set(queued);
        let left = i64::try_from(state.budget.left()).unwrap_or(i64::MAX);
        self.metrics.retry_budget.with_label_values(&[service]).set(left);
    }

    /// Locks the endpoints, queue and budget.
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl EndpointState {
    /// Creates the state of an endpoint that was not used before.
    fn new(hall: &id::HallId, endpoint: &endpoints::Endpoint) -> Self {
        Self {
            hall: hall.clone(),
            endpoint: endpoint.clone(),
            health: route::Health::default(),
            latencies: latency::Histogram::default(),
            failures: 0,
        }
    }
}

/// Reserves capacity at another endpoint than the avoided one, or there if the request may still
/// use it.
fn reserve_avoiding(
    state: &mut State,
    now: time::Duration,
    avoid: Avoid,
) -> Option<net::SocketAddr> {
    let (addr, may_use_avoided) = match avoid {
        Avoid::Nothing => return reserve(state, now, None),
        Avoid::Full(addr) => (addr, true),
        Avoid::Failed(addr) => (addr, !others_in_use(state, addr, now)),
    };
    let other = reserve(state, now, Some(addr));
    if may_use_avoided { other.or_else(|| reserve(state, now, None)) } else { other }
}

/// Returns whether any other endpoint is in use, that is neither leaving nor ejected.
fn others_in_use(state: &State, addr: net::SocketAddr, now: time::Duration) -> bool {
    let in_use = |entry: &EndpointState| {
        !entry.endpoint.leaving && entry.health.availability(now) == route::Availability::Open
    };
    state.endpoints.iter().any(|entry| entry.endpoint.addr != addr && in_use(entry))
}

/// Reserves capacity at the better of two randomly chosen endpoints, leaving out one if given.
fn reserve(
    state: &mut State,
    now: time::Duration,
    excluded: Option<net::SocketAddr>,
) -> Option<net::SocketAddr> {
    let cap = state.cap;
    let endpoints = &state.endpoints;
    let cost = |at: usize| {
        let entry: &EndpointState = &endpoints[at];
        let unavailable = entry.endpoint.leaving || Some(entry.endpoint.addr) == excluded;
        if unavailable { None } else { route::request_cost(&entry.health, cap, now) }
    };
    let mut rng = rand::rng();
    let at = route::pick(endpoints.len(), cost, |below| rng.random_range(0..below))?;
    let entry = &mut state.endpoints[at];
    entry.health.in_flight += 1;
    Some(entry.endpoint.addr)
}

/// Releases a reservation for which no request waits.
fn cancel_reservation(state: &mut State, addr: net::SocketAddr) {
    if let Some(at) = state.index.get(&addr).copied() {
        let health = &mut state.endpoints[at].health;
        health.in_flight = health.in_flight.saturating_sub(1);
    }
}

/// Sends grants to waiting requests, outside the balancer's lock.
fn notify(grants: Vec<(oneshot::Sender<Grant>, Grant)>) {
    for (sender, grant) in grants {
        // If the request is gone, dropping the grant releases the permit.
        let _ = sender.send(grant);
    }
}

/// A balancer in the state dump.
#[derive(Debug, serde::Serialize)]
pub struct BalancerDump {
    /// Service that is balanced.
    service: id::ServiceId,
    /// Largest number of this host's requests in flight at one endpoint.
    cap: u32,
    /// Number of waiting requests.
    queued: usize,
    /// Retries left in the budget.
    retries_left: u64,
    /// Endpoints of the service.
    endpoints: Vec<EndpointDump>,
}

/// An endpoint in the state dump.
#[derive(Debug, serde::Serialize)]
struct EndpointDump {
    /// Task that serves the endpoint.
    task: id::TaskId,
    /// Address of the endpoint.
    addr: net::SocketAddr,
    /// Whether the endpoint gets no new requests.
    leaving: bool,
    /// Whether it is open or ejected, as lower-case text.
    used: String,
    /// Number of this host's requests in flight at the endpoint.
    in_flight: u32,
    /// Moving average of the latency, in microseconds.
    latency_us: f64,
}
