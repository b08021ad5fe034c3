//! The request path of a host.
//!
//! Traffic runs on threads of its own and reads control state only as a snapshot that is swapped as
//! a whole, so requests continue while control is slow.

mod balancer;
mod duplicates;
mod forward;
mod serve;

use std::collections;
use std::sync;
use std::time;

use wharflane::{clock, desired, digest, endpoints, id};
use wharflane_endpoint as endpoint;

use crate::metrics;
use crate::settings;

pub use balancer::BalancerDump;

/// Largest number of endpoints in the digests of one interval; the slowest come first.
const MAX_REPORTED: usize = 48;

/// Control state that traffic needs.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Revision of the configuration.
    pub revision: u64,
    /// Declared services.
    pub services: collections::BTreeMap<id::ServiceId, desired::Service>,
    /// Priority of each class of requests.
    pub classes: collections::BTreeMap<id::ClassId, u32>,
    /// Endpoints of each service, with their halls.
    pub endpoints: collections::BTreeMap<id::ServiceId, Vec<(id::HallId, endpoints::Endpoint)>>,
    /// Number of hosts that share the endpoints.
    pub hosts: usize,
}

/// Limits of traffic, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests that an endpoint runs concurrently.
    pub slots: u64,
    /// Connections that an endpoint accepts.
    pub connections: u64,
    /// Largest number of queued requests of a service.
    pub queue: usize,
    /// Largest number of attempts of a request.
    pub max_attempts: u32,
    /// Retries per 1,000 first attempts.
    pub retry_share_milli: u64,
    /// Retries that the budget allows after a time without any.
    pub retry_burst: u64,
    /// Largest share of endpoints that may be ejected at once.
    pub eject_share_percent: u32,
    /// Longest time without progress within an answer.
    pub stall: time::Duration,
    /// Largest body of a request, and the longest time that it may take to arrive.
    pub body: wharflane_caller::request::BodyBounds,
}

/// The request path of a host.
#[derive(Debug)]
pub struct Traffic {
    /// Clock for latencies and deadlines.
    clock: sync::Arc<dyn clock::Clock>,
    /// Limits from the settings.
    limits: Limits,
    /// Control state in force.
    snapshot: arc_swap::ArcSwap<Snapshot>,
    /// Balancer of each service.
    balancers:
        arc_swap::ArcSwap<collections::BTreeMap<id::ServiceId, sync::Arc<balancer::Balancer>>>,
    /// Idle connections to endpoints.
    pool: sync::Arc<endpoint::Pool>,
    /// Ids of recent requests that are not repeatable.
    duplicates: duplicates::RecentRequests,
    /// Metrics of this host.
    metrics: metrics::Metrics,
    /// Random number of this process, part of the request ids that it assigns.
    nonce: u64,
    /// Number of the next request id that this process assigns.
    next_number: sync::atomic::AtomicU64,
}

impl Traffic {
    /// Creates a request path without services.
    #[must_use]
    pub fn new(
        settings: &settings::Settings,
        clock: sync::Arc<dyn clock::Clock>,
        metrics: metrics::Metrics,
        nonce: u64,
    ) -> Self {
        let limits = traffic_limits(settings);
        let bounds = endpoint::Bounds {
            idle: usize::try_from(limits.connections).unwrap_or(usize::MAX),
            idle_timeout: settings.time("traffic", "idle_timeout_ms"),
            connect_timeout: settings.time("traffic", "connect_timeout_ms"),
        };
        Self {
            clock,
            limits,
            snapshot: arc_swap::ArcSwap::default(),
            balancers: arc_swap::ArcSwap::default(),
            pool: sync::Arc::new(endpoint::Pool::new(bounds)),
            duplicates: duplicates::RecentRequests::new(
                settings.time("traffic", "duplicate_window_ms"),
            ),
            metrics,
            nonce,
            next_number: sync::atomic::AtomicU64::new(0),
        }
    }

    /// Replaces the control state in force.
    pub fn publish(&self, snapshot: Snapshot) {
        let mut balancers = collections::BTreeMap::new();
        let before = self.balancers.load();
        let none = Vec::new();
        let now = self.clock.now();
        let cap = self.cap(snapshot.hosts);
        for (name, service) in &snapshot.services {
            let balancer = before.get(name).cloned().unwrap_or_else(|| {
                let balancer =
                    balancer::Balancer::new(name.clone(), self.limits, self.metrics.clone());
                sync::Arc::new(balancer)
            });
            let endpoints = snapshot.endpoints.get(name).unwrap_or(&none);
            balancer.update(service, endpoints, cap, now);
            balancers.insert(name.clone(), balancer);
        }
        let addrs: collections::BTreeSet<std::net::SocketAddr> =
            snapshot.endpoints.values().flatten().map(|(_, endpoint)| endpoint.addr).collect();
        self.pool.retain(|addr| addrs.contains(addr));
        self.balancers.store(sync::Arc::new(balancers));
        self.snapshot.store(sync::Arc::new(snapshot));
    }

    /// Returns the statistics since the last call by hall; also updates gauges and closes
    /// connections that were idle for too long.
    pub fn take_digests(&self, host: &id::HostId) -> Vec<digest::Digest> {
        let mut halls: collections::BTreeMap<id::HallId, Vec<digest::EndpointStats>> =
            collections::BTreeMap::new();
        self.pool.prune();
        let now = self.clock.now();
        let balancers = self.balancers.load();
        let mut all: Vec<_> =
            balancers.values().flat_map(|balancer| balancer.take_stats(now)).collect();
        all.sort_by_key(|(_, seen)| std::cmp::Reverse(seen.p95_us));
        for (hall, seen) in all.into_iter().take(MAX_REPORTED) {
            halls.entry(hall).or_default().push(seen);
        }
        let digest = |(hall, endpoints)| digest::Digest { host: host.clone(), hall, endpoints };
        halls.into_iter().map(digest).collect()
    }

    /// Returns the state of all balancers for the state dump.
    #[must_use]
    pub fn dump(&self) -> Vec<BalancerDump> {
        let now = self.clock.now();
        self.balancers.load().values().map(|balancer| balancer.dump(now)).collect()
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> i64 {
        self.metrics.in_flight.get()
    }

    /// Returns the largest number of requests that this host may have in flight at one endpoint.
    fn cap(&self, hosts: usize) -> u32 {
        let share = self.limits.connections / (hosts.max(1) as u64);
        u32::try_from(share.clamp(1, self.limits.slots)).unwrap_or(u32::MAX)
    }

    /// Assigns an id to a request that has none.
    fn next_request_id(&self) -> String {
        let number = self.next_number.fetch_add(1, sync::atomic::Ordering::Relaxed);
        format!("{:x}-{number}", self.nonce)
    }
}

/// Reads the limits of traffic from the settings.
fn traffic_limits(settings: &settings::Settings) -> Limits {
    let number = |key| settings.number("traffic", key);
    let small = |key| u32::try_from(number(key)).unwrap_or(u32::MAX);
    Limits {
        slots: number("endpoint_slots"),
        connections: number("endpoint_connections"),
        queue: settings.count("traffic", "queue_limit"),
        max_attempts: small("tries"),
        retry_share_milli: number("retry_share_milli"),
        retry_burst: number("retry_burst"),
        eject_share_percent: small("eject_share_percent"),
        stall: settings.time("traffic", "stall_timeout_ms"),
        body: wharflane_caller::request::BodyBounds {
            limit_bytes: settings.count("traffic", "body_limit_bytes"),
            timeout: time::Duration::from_millis(number("body_timeout_ms")),
        },
    }
}
