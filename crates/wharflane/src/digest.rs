//! What a host tells the holder of a hall about its endpoints, in a few bytes each.

use serde::{Deserialize, Serialize};

use crate::id;

/// What one host saw in a hall during one interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The host.
    pub host: id::HostId,
    /// The hall.
    pub hall: id::HallId,
    /// The endpoints that missed their target or failed, the slowest first.
    pub endpoints: Vec<EndpointStats>,
}

/// What one host saw of one endpoint during one interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStats {
    /// The task.
    pub task: id::TaskId,
    /// Requests under way now.
    pub in_flight: u32,
    /// Answers in the interval.
    pub answers: u32,
    /// Failures in the interval.
    pub failures: u32,
    /// The latency that 95 of 100 answers kept, in microseconds.
    pub p95_us: u64,
}
