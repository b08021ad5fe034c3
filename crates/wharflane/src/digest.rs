//! The report of a host to the holder of a hall about the hall's endpoints, a few bytes per
//! endpoint.

use serde::{Deserialize, Serialize};

use crate::id;

/// The observations of one host in one hall during one interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The reporting host.
    pub host: id::HostId,
    /// The hall that the endpoints are in.
    pub hall: id::HallId,
    /// The endpoints that missed their latency target or failed, slowest first.
    pub endpoints: Vec<EndpointStats>,
}

/// The observations of one host at one endpoint during one interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStats {
    /// The service task behind the endpoint.
    pub task: id::TaskId,
    /// Requests in flight at the end of the interval.
    pub in_flight: u32,
    /// Responses received in the interval.
    pub answers: u32,
    /// Failed requests in the interval.
    pub failures: u32,
    /// The latency that 95 of 100 responses stay below, in microseconds.
    pub p95_us: u64,
}
