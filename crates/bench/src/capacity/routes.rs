//! The cost of endpoints for a host that routes requests to them.

use std::net;

use wharflane::{digest, endpoints, id};

use crate::capacity::AllocatedBytes;
use crate::host;

/// The cost of a routing table in a host.
#[derive(Clone, Copy, Debug)]
pub struct RoutesCost {
    /// The number of endpoints.
    pub endpoints: usize,
    /// Processor time of publishing a new table, in microseconds.
    pub cpu_us: f64,
    /// Memory of the published table, in bytes.
    pub memory: usize,
    /// The size of the table as JSON, as hosts send it to each other, in bytes.
    pub bytes: usize,
}

/// Measures a table of `count` endpoints in services of a hundred each.
///
/// # Panics
/// Panics if the built-in settings are invalid, which would be a bug in this crate.
#[must_use]
pub fn routes(count: usize, allocated: AllocatedBytes) -> RoutesCost {
    let traffic = host::traffic();
    let endpoints: Vec<endpoints::Endpoint> = (0..count).map(endpoint).collect();
    let bytes = serde_json::to_vec(&endpoints).map_or(0, |bytes| bytes.len());
    let before = allocated();
    let start = cpu_time::ThreadTime::now();
    traffic.publish(host::snapshot(&endpoints, 9));
    let cpu_us = start.elapsed().as_micros() as f64;
    let memory = allocated().saturating_sub(before);
    RoutesCost { endpoints: count, cpu_us, memory, bytes }
}

/// Returns the endpoint with the given number.
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

/// Returns the size of one endpoint's entry in a digest, in bytes.
#[must_use]
pub fn digest_bytes() -> usize {
    let stats = digest::EndpointStats {
        task: endpoint(1_234).task,
        in_flight: 3,
        answers: 120,
        failures: 0,
        p95_us: 123_456,
    };
    serde_json::to_vec(&stats).map_or(0, |bytes| bytes.len())
}
