//! What the endpoints cost a host that routes to them.

use std::net;

use wharflane::{digest, endpoints, id};

use crate::capacity::Live;
use crate::host;

/// What the endpoints cost a host that routes to them.
#[derive(Clone, Copy, Debug)]
pub struct RoutesCost {
    /// The number of endpoints.
    pub endpoints: usize,
    /// Processor time to take a new table, in microseconds.
    pub cpu_us: f64,
    /// Memory.
    pub memory: usize,
    /// Bytes of the table between hosts.
    pub bytes: usize,
}

/// Measures a table of so many endpoints in services of a hundred each.
///
/// # Panics
/// Panics on settings with faults, which would be a fault of the bench.
#[must_use]
pub fn routes(count: usize, live: Live) -> RoutesCost {
    let traffic = host::traffic();
    let endpoints: Vec<endpoints::Endpoint> = (0..count).map(endpoint).collect();
    let bytes = serde_json::to_vec(&endpoints).map_or(0, |bytes| bytes.len());
    let before = live();
    let start = cpu_time::ThreadTime::now();
    traffic.publish(host::snapshot(&endpoints, 9));
    let cpu_us = start.elapsed().as_micros() as f64;
    let memory = live().saturating_sub(before);
    RoutesCost { endpoints: count, cpu_us, memory, bytes }
}

/// Returns an endpoint.
fn endpoint(number: usize) -> endpoints::Endpoint {
    let owner = format!("service-{}", number / 100);
    let index = u32::try_from(number).unwrap_or(u32::MAX);
    let port = 1_024 + u16::try_from(number % 60_000).unwrap_or(0);
    endpoints::Endpoint {
        task: id::TaskId { owner: owner.as_str().into(), born: 1_700, index },
        service: owner.as_str().into(),
        worker: format!("worker-{number}").as_str().into(),
        addr: net::SocketAddr::from(([10, 20, 30, 40], port)),
        leaving: false,
    }
}

/// Returns the bytes of one endpoint in a digest.
#[must_use]
pub fn digest_bytes() -> usize {
    let seen = digest::EndpointStats {
        task: endpoint(1_234).task,
        in_flight: 3,
        answers: 120,
        failures: 0,
        p95_us: 123_456,
    };
    serde_json::to_vec(&seen).map_or(0, |bytes| bytes.len())
}
