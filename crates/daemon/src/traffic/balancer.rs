//! The balancer of one service: its endpoints, its queue and its retry budget.

use std::collections;
use std::net;
use std::sync;
use std::time;

use rand::RngExt as _;
use tokio::sync::oneshot;
use wharflane::{desired, digest, endpoints, id, latency, outcome, queue, retry, route};

use super::Limits;
use crate::metrics;

/// An endpoint as this host uses it.
#[derive(Debug)]
struct Slot {
    /// The hall.
    hall: id::HallId,
    /// The endpoint.
    endpoint: endpoints::Endpoint,
    /// What is known of it.
    health: route::Health,
    /// The latencies since the last digest.
    latencies: latency::Histogram,
    /// The failures since the last digest.
    failures: u32,
}

/// What a balancer holds under its lock.
#[derive(Debug)]
struct State {
    /// What the configuration says.
    service: Option<desired::Service>,
    /// The endpoints.
    slots: Vec<Slot>,
    /// The position of each endpoint.
    at: collections::HashMap<net::SocketAddr, usize>,
    /// The most requests of this host under way at one endpoint.
    cap: u32,
    /// The requests that wait.
    queue: queue::Queue<Waiter>,
    /// The retry budget.
    budget: retry::Budget,
}

/// A request that waits for a place.
#[derive(Debug)]
struct Waiter {
    /// The endpoint that it avoids.
    avoid: Avoid,
    /// Where it is told.
    sender: oneshot::Sender<Grant>,
}

/// What a request avoids that has been tried before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Avoid {
    /// Nothing: this is its first try.
    Nothing,
    /// An endpoint that was full, unless no other has room at once.
    Full(net::SocketAddr),
    /// An endpoint that failed it, as long as any other is in use: one that fails fast has room at once and would
    /// take all tries of requests that wait.
    Failed(net::SocketAddr),
}

/// How many average service times are kept free before a deadline.
const SERVICE_TIMES_KEPT: u32 = 2;

impl State {
    /// Returns how long before its deadline a request must be taken.
    ///
    /// Only answers count: the penalty of one endpoint that fails fast would soon be longer than any deadline, and
    /// every request that has to wait would be refused though the others are well.
    fn service_time(&self) -> time::Duration {
        let answers = self.slots.iter().map(|slot| slot.health.answer_us());
        let mean_us = answers.sum::<f64>() / self.slots.len().max(1) as f64;
        time::Duration::from_micros(mean_us as u64) * SERVICE_TIMES_KEPT
    }
}

/// What a waiting request is told.
#[derive(Debug)]
pub enum Grant {
    /// It may go to an endpoint.
    Go(Permit),
    /// It is refused.
    Refused(queue::Refused),
}

/// Why a request gets no endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPermit {
    /// There is no endpoint.
    NoEndpoint,
    /// The queue can't serve it in time.
    Overloaded(queue::Refused),
    /// It waited until its deadline.
    Expired,
}

/// The balancer of one service.
#[derive(Debug)]
pub struct Balancer {
    /// The service.
    name: id::ServiceId,
    /// The bounds.
    limits: Limits,
    /// The metrics.
    metrics: metrics::Metrics,
    /// What changes.
    state: sync::Mutex<State>,
}

/// A request's place at an endpoint; the place is free again when this is dropped.
#[derive(Debug)]
pub struct Permit {
    /// The balancer.
    balancer: sync::Arc<Balancer>,
    /// The endpoint.
    pub addr: net::SocketAddr,
    /// How it ended.
    end: Completion,
    /// The clock's reading when it ended.
    now: time::Duration,
}

/// How a place at an endpoint was used.
#[derive(Clone, Copy, Debug)]
enum Completion {
    /// The caller went away, or nothing is known.
    Open,
    /// The endpoint answered.
    Answered(time::Duration),
    /// The endpoint failed.
    Failed,
    /// The endpoint refused it because it was full.
    Refused,
}

impl Permit {
    /// Ends the place with an answer.
    pub fn answered(mut self, latency: time::Duration, now: time::Duration) {
        self.end = Completion::Answered(latency);
        self.now = now;
    }

    /// Ends the place with a failure.
    pub fn failed(mut self, failure: outcome::Failure, now: time::Duration) {
        self.end = match failure {
            outcome::Failure::Refused => Completion::Refused,
            _ => Completion::Failed,
        };
        self.now = now;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.balancer.release(self.addr, self.end, self.now);
    }
}

impl Balancer {
    /// Makes a balancer without endpoints.
    pub fn new(name: id::ServiceId, limits: Limits, metrics: metrics::Metrics) -> Self {
        let state = State {
            service: None,
            slots: Vec::new(),
            at: collections::HashMap::new(),
            cap: 1,
            queue: queue::Queue::new(limits.queue),
            budget: retry::Budget::new(limits.retry_share_milli, limits.retry_burst),
        };
        Self { name, limits, metrics, state: sync::Mutex::new(state) }
    }

    /// Takes the endpoints in force; what is known of those that stay is kept.
    pub fn update(
        self: &sync::Arc<Self>,
        service: &desired::Service,
        endpoints: &[(id::HallId, endpoints::Endpoint)],
        cap: u32,
        now: time::Duration,
    ) {
        let woken = {
            let mut state = self.lock();
            let mut before: collections::HashMap<net::SocketAddr, Slot> =
                state.slots.drain(..).map(|slot| (slot.endpoint.addr, slot)).collect();
            for (hall, endpoint) in endpoints {
                let known = before.remove(&endpoint.addr);
                let same = known.filter(|slot| slot.endpoint.task == endpoint.task);
                let mut slot = same.unwrap_or_else(|| Slot::new(hall, endpoint));
                slot.endpoint.leaving = endpoint.leaving;
                state.slots.push(slot);
            }
            let at = state.slots.iter().enumerate().map(|(at, slot)| (slot.endpoint.addr, at));
            state.at = at.collect();
            state.service = Some(service.clone());
            state.cap = cap;
            self.grant_all(&mut state, now)
        };
        wake(woken);
    }

    /// Returns the configuration of the service.
    pub fn service(&self) -> Option<desired::Service> {
        self.lock().service.clone()
    }

    /// Waits for a place at an endpoint, and not at one that the request avoids.
    ///
    /// # Errors
    /// Returns `NoPermit` as soon as it is clear that the request can't be served in time.
    pub async fn enter(
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
                && let Some(addr) = reserve_beside(&mut state, now, avoid)
            {
                return Ok(self.permit(addr, now));
            }
            if !state.slots.iter().any(|slot| !slot.endpoint.leaving) {
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
        let patience = deadline.saturating_sub(now);
        match tokio::time::timeout(patience, waiting).await {
            Ok(Ok(Grant::Go(permit))) => Ok(permit),
            Ok(Ok(Grant::Refused(refused))) => Err(NoPermit::Overloaded(refused)),
            Ok(Err(_)) | Err(_) => Err(NoPermit::Expired),
        }
    }

    /// Notes a first try in the retry budget.
    pub fn first_try(&self) {
        self.lock().budget.record_first_attempt();
    }

    /// Takes a retry out of the budget.
    pub fn may_retry(&self) -> bool {
        self.lock().budget.try_withdraw()
    }

    /// Marks an endpoint that said it is leaving.
    pub fn leaving(&self, addr: net::SocketAddr) {
        let mut state = self.lock();
        if let Some(at) = state.at.get(&addr).copied() {
            state.slots[at].endpoint.leaving = true;
        }
    }

    /// Returns what was seen since the last call.
    pub fn take_seen(&self, now: time::Duration) -> Vec<(id::HallId, digest::EndpointStats)> {
        let mut state = self.lock();
        self.gauges(&state, now);
        let target_ms = state.service.as_ref().map_or(u64::MAX, |s| s.latency_target_ms);
        let mut all = Vec::new();
        for slot in &mut state.slots {
            let latencies = slot.latencies.take();
            let failures = std::mem::take(&mut slot.failures);
            let p95_us = latencies.quantile_us(0.95);
            // No news is good news: only what misses its target is told.
            if p95_us <= target_ms.saturating_mul(1_000) && failures == 0 {
                continue;
            }
            let seen = digest::EndpointStats {
                task: slot.endpoint.task.clone(),
                in_flight: slot.health.in_flight,
                answers: latencies.total(),
                failures,
                p95_us,
            };
            all.push((slot.hall.clone(), seen));
        }
        all
    }

    /// Returns the state of the balancer for the state dump.
    pub fn dump(&self, now: time::Duration) -> BalancerDump {
        let state = self.lock();
        let endpoint = |slot: &Slot| EndpointDump {
            task: slot.endpoint.task.clone(),
            addr: slot.endpoint.addr,
            leaving: slot.endpoint.leaving,
            used: format!("{:?}", slot.health.availability(now)).to_lowercase(),
            in_flight: slot.health.in_flight,
            latency_us: slot.health.latency_us(),
        };
        BalancerDump {
            service: self.name.clone(),
            cap: state.cap,
            queued: state.queue.len(),
            retries_left: state.budget.left(),
            endpoints: state.slots.iter().map(endpoint).collect(),
        }
    }

    /// Frees a place and gives it to the next request that waits.
    fn release(
        self: &sync::Arc<Self>,
        addr: net::SocketAddr,
        end: Completion,
        now: time::Duration,
    ) {
        let woken = {
            let mut state = self.lock();
            self.settle(&mut state, addr, end, now);
            self.grant_all(&mut state, now)
        };
        wake(woken);
    }

    /// Notes how a place was used.
    fn settle(
        &self,
        state: &mut State,
        addr: net::SocketAddr,
        end: Completion,
        now: time::Duration,
    ) {
        let left = |slot: &Slot| slot.health.availability(now) == route::Availability::Ejected;
        let ejected = state.slots.iter().filter(|slot| left(slot)).count();
        let share = self.limits.eject_share_percent;
        let may_eject = route::may_eject(ejected, state.slots.len(), share);
        let Some(at) = state.at.get(&addr).copied() else {
            return;
        };
        let slot = &mut state.slots[at];
        slot.health.in_flight = slot.health.in_flight.saturating_sub(1);
        match end {
            Completion::Open => {}
            Completion::Answered(latency) => {
                slot.health.answered(latency);
                slot.latencies.record(latency);
            }
            Completion::Failed => {
                slot.health.failed(now, may_eject);
                slot.failures += 1;
            }
            Completion::Refused => slot.health.refused(now),
        }
    }

    /// Gives free places to waiting requests.
    fn grant_all(
        self: &sync::Arc<Self>,
        state: &mut State,
        now: time::Duration,
    ) -> Vec<(oneshot::Sender<Grant>, Grant)> {
        let mut woken = Vec::new();
        while !state.queue.is_empty() {
            let Some(addr) = reserve(state, now, None) else {
                break;
            };
            let mut found = self.grant(state, addr, now, &mut woken);
            if !found && let Some(other) = reserve(state, now, Some(addr)) {
                // All that wait avoid the first place, so the next of them takes any other.
                found = self.grant(state, other, now, &mut woken);
            }
            if !found {
                break;
            }
        }
        woken
    }

    /// Gives a reserved place to the next request that does not avoid it, or gives it back; returns whether
    /// there was one.
    fn grant(
        self: &sync::Arc<Self>,
        state: &mut State,
        addr: net::SocketAddr,
        now: time::Duration,
        woken: &mut Vec<(oneshot::Sender<Grant>, Grant)>,
    ) -> bool {
        let only = !others_in_use(state, addr, now);
        let fits = |waiter: &Waiter| only || waiter.avoid != Avoid::Failed(addr);
        let (late, next) = state.queue.pop_for(now, fits);
        let refused = queue::Refused { retry_after: state.queue.retry_after() };
        woken.extend(late.into_iter().map(|late| (late.sender, Grant::Refused(refused))));
        let found = next.is_some();
        match next {
            Some(next) => woken.push((next.sender, Grant::Go(self.permit(addr, now)))),
            None => unreserve(state, addr),
        }
        found
    }

    /// Makes the place at an endpoint that was reserved.
    fn permit(self: &sync::Arc<Self>, addr: net::SocketAddr, now: time::Duration) -> Permit {
        Permit { balancer: sync::Arc::clone(self), addr, end: Completion::Open, now }
    }

    /// Looks whether time alone has made a place free, as at the end of an ejection.
    pub fn tick(self: &sync::Arc<Self>, now: time::Duration) {
        let woken = {
            let mut state = self.lock();
            self.grant_all(&mut state, now)
        };
        wake(woken);
    }

    /// Brings the gauges up to date.
    fn gauges(&self, state: &State, now: time::Duration) {
        let service = self.name.as_str();
        let count = |test: &dyn Fn(&Slot) -> bool| {
            let count = state.slots.iter().filter(|slot| test(slot)).count();
            i64::try_from(count).unwrap_or(i64::MAX)
        };
        let ejected = |slot: &Slot| slot.health.availability(now) == route::Availability::Ejected;
        let gauge = |state: &str, value: i64| {
            self.metrics.endpoints.with_label_values(&[service, state]).set(value);
        };
        gauge("open", count(&|slot| !slot.endpoint.leaving && !ejected(slot)));
        gauge("leaving", count(&|slot| slot.endpoint.leaving));
        gauge("ejected", count(&ejected));
        let queued = i64::try_from(state.queue.len()).unwrap_or(i64::MAX);
        self.metrics.queued.with_label_values(&[service]).set(queued);
        let left = i64::try_from(state.budget.left()).unwrap_or(i64::MAX);
        self.metrics.retry_budget.with_label_values(&[service]).set(left);
    }

    /// Locks what changes.
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Slot {
    /// Makes a slot of an endpoint not used before.
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

/// Takes a place at another endpoint than one that is avoided, or there where the request may go there too.
fn reserve_beside(state: &mut State, now: time::Duration, avoid: Avoid) -> Option<net::SocketAddr> {
    let (addr, may_go_there) = match avoid {
        Avoid::Nothing => return reserve(state, now, None),
        Avoid::Full(addr) => (addr, true),
        Avoid::Failed(addr) => (addr, !others_in_use(state, addr, now)),
    };
    let other = reserve(state, now, Some(addr));
    if may_go_there { other.or_else(|| reserve(state, now, None)) } else { other }
}

/// Returns whether any endpoint but one is in use: neither leaving nor left.
fn others_in_use(state: &State, addr: net::SocketAddr, now: time::Duration) -> bool {
    let in_use = |slot: &Slot| {
        !slot.endpoint.leaving && slot.health.availability(now) == route::Availability::Open
    };
    state.slots.iter().any(|slot| slot.endpoint.addr != addr && in_use(slot))
}

/// Takes a place at the better of two endpoints, of which one may be left out.
fn reserve(
    state: &mut State,
    now: time::Duration,
    without: Option<net::SocketAddr>,
) -> Option<net::SocketAddr> {
    let cap = state.cap;
    let slots = &state.slots;
    let cost = |at: usize| {
        let slot: &Slot = &slots[at];
        let out = slot.endpoint.leaving || Some(slot.endpoint.addr) == without;
        if out { None } else { route::request_cost(&slot.health, cap, now) }
    };
    let mut rng = rand::rng();
    let at = route::pick(slots.len(), cost, |below| rng.random_range(0..below))?;
    let slot = &mut state.slots[at];
    slot.health.in_flight += 1;
    Some(slot.endpoint.addr)
}

/// Gives back a place that nobody waits for.
fn unreserve(state: &mut State, addr: net::SocketAddr) {
    if let Some(at) = state.at.get(&addr).copied() {
        let health = &mut state.slots[at].health;
        health.in_flight = health.in_flight.saturating_sub(1);
    }
}

/// Tells waiting requests of their places, outside the balancer's lock.
fn wake(woken: Vec<(oneshot::Sender<Grant>, Grant)>) {
    for (sender, grant) in woken {
        // The place of a request that has gone away is freed as the grant is dropped.
        let _ = sender.send(grant);
    }
}

/// A balancer in the state dump.
#[derive(Debug, serde::Serialize)]
pub struct BalancerDump {
    /// The service.
    service: id::ServiceId,
    /// The most requests of this host under way at one endpoint.
    cap: u32,
    /// Waiting requests.
    queued: usize,
    /// Retries left in the budget.
    retries_left: u64,
    /// The endpoints.
    endpoints: Vec<EndpointDump>,
}

/// An endpoint in the state dump.
#[derive(Debug, serde::Serialize)]
struct EndpointDump {
    /// The task.
    task: id::TaskId,
    /// Where it answers.
    addr: net::SocketAddr,
    /// Whether it gets nothing new.
    leaving: bool,
    /// How it is used.
    used: String,
    /// Requests of this host under way there.
    in_flight: u32,
    /// The moving average of latency.
    latency_us: f64,
}
