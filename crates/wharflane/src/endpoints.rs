//! The endpoint table of a hall, which its holder distributes to all hosts.

use std::net;

use serde::{Deserialize, Serialize};

use crate::id;

/// All endpoints of one hall.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The hall that the endpoints are in.
    pub hall: id::HallId,
    /// The epoch of the holder that built the table.
    pub epoch: u64,
    /// Increases with every change within an epoch.
    pub version: u64,
    /// The endpoints, ordered by worker and task.
    pub endpoints: Vec<Endpoint>,
}

impl Table {
    /// Returns whether this table supersedes another one of the same hall.
    #[must_use]
    pub fn newer_than(&self, other: &Self) -> bool {
        (self.epoch, self.version) > (other.epoch, other.version)
    }
}

/// One service task on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The service task.
    pub task: id::TaskId,
    /// The service that the task belongs to.
    pub service: id::ServiceId,
    /// The worker that runs the task.
    pub worker: id::WorkerId,
    /// The address for requests.
    pub addr: net::SocketAddr,
    /// Whether the endpoint is draining and gets no new requests.
    pub leaving: bool,
}
