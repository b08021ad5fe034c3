//! The traffic of a host: it reads control state only as a snapshot that is swapped whole.

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

/// The most endpoints that a host tells of in one interval, the slowest first.
const MAX_TOLD: usize = 48;

/// What traffic needs of the configuration and the halls.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The configuration revision.
    pub revision: u64,
    /// The services.
    pub services: collections::BTreeMap<id::ServiceId, desired::Service>,
    /// The priority of each class.
    pub classes: collections::BTreeMap<id::ClassId, u32>,
    /// The endpoints of each service, with their halls.
    pub endpoints: collections::BTreeMap<id::ServiceId, Vec<(id::HallId, endpoints::Endpoint)>>,
    /// The number of entry hosts that share the endpoints.
    pub hosts: usize,
}

/// The bounds of traffic, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests that an endpoint runs at once.
    pub slots: u64,
    /// Connections that an endpoint takes.
    pub connections: u64,
    /// Waiting requests of a service.
    pub queue: usize,
    /// Most tries of a request.
    pub tries: u32,
    /// Retries per 1,000 first tries.
    pub retry_share_milli: u64,
    /// Retries allowed after a calm time.
    pub retry_burst: u64,
    /// Most endpoints left at once.
    pub eject_share_percent: u32,
    /// How long an endpoint may stand still in an answer.
    pub stall: time::Duration,
    /// The largest body and how long it may take.
    pub body: wharflane_caller::request::BodyBounds,
}

/// The traffic of a host.
#[derive(Debug)]
pub struct Traffic {
    /// The clock.
    clock: sync::Arc<dyn clock::Clock>,
    /// The bounds.
    limits: Limits,
    /// The control state in force.
    snapshot: arc_swap::ArcSwap<Snapshot>,
    /// The balancers of the services.
    balancers:
        arc_swap::ArcSwap<collections::BTreeMap<id::ServiceId, sync::Arc<balancer::Balancer>>>,
    /// The connections to endpoints.
    pool: sync::Arc<endpoint::Pool>,
    /// The names of requests taken lately.
    duplicates: duplicates::Duplicates,
    /// The metrics.
    metrics: metrics::Metrics,
    /// The mark of this process in request names.
    nonce: u64,
    /// The number of requests named here.
    named: sync::atomic::AtomicU64,
}

impl Traffic {
    /// Makes the traffic of a host that knows no service yet.
    #[must_use]
    pub fn new(
        settings: &settings::Settings,
        clock: sync::Arc<dyn clock::Clock>,
        metrics: metrics::Metrics,
        nonce: u64,
    ) -> Self {
        let limits = limits(settings);
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
            duplicates: duplicates::Duplicates::new(
                settings.time("traffic", "duplicate_window_ms"),
            ),
            metrics,
            nonce,
            named: sync::atomic::AtomicU64::new(0),
        }
    }

    /// Swaps the control state in force.
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

    /// Returns what this host saw since the last call, by hall, brings gauges up to date and closes idle
    /// connections.
    pub fn take_digests(&self, host: &id::HostId) -> Vec<digest::Digest> {
        let mut halls: collections::BTreeMap<id::HallId, Vec<digest::EndpointStats>> =
            collections::BTreeMap::new();
        self.pool.prune();
        let now = self.clock.now();
        let balancers = self.balancers.load();
        let mut all: Vec<_> =
            balancers.values().flat_map(|balancer| balancer.take_seen(now)).collect();
        all.sort_by_key(|(_, seen)| std::cmp::Reverse(seen.p95_us));
        for (hall, seen) in all.into_iter().take(MAX_TOLD) {
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

    /// Returns the number of requests under way.
    #[must_use]
    pub fn in_flight(&self) -> i64 {
        self.metrics.in_flight.get()
    }

    /// Returns the most requests that this host may have under way at one endpoint.
    fn cap(&self, hosts: usize) -> u32 {
        let share = self.limits.connections / (hosts.max(1) as u64);
        u32::try_from(share.clamp(1, self.limits.slots)).unwrap_or(u32::MAX)
    }

    /// Makes a name for a request that has none.
    fn name(&self) -> String {
        let number = self.named.fetch_add(1, sync::atomic::Ordering::Relaxed);
        format!("{:x}-{number}", self.nonce)
    }
}

/// Returns the bounds of traffic.
fn limits(settings: &settings::Settings) -> Limits {
    let number = |key| settings.number("traffic", key);
    let small = |key| u32::try_from(number(key)).unwrap_or(u32::MAX);
    Limits {
        slots: number("endpoint_slots"),
        connections: number("endpoint_connections"),
        queue: settings.count("traffic", "queue_limit"),
        tries: small("tries"),
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
