//! The endpoints of a hall as its holder tells them to every host.

use std::net;

use serde::{Deserialize, Serialize};

use crate::id;

/// All endpoints of one hall.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The hall.
    pub hall: id::HallId,
    /// The epoch of the holder that made the table.
    pub epoch: u64,
    /// Grows with every change within an epoch.
    pub version: u64,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

impl Table {
    /// Returns whether this table goes before another of the same hall.
    #[must_use]
    pub fn newer_than(&self, other: &Self) -> bool {
        (self.epoch, self.version) > (other.epoch, other.version)
    }
}

/// One service task on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The task.
    pub task: id::TaskId,
    /// The service.
    pub service: id::ServiceId,
    /// The worker.
    pub worker: id::WorkerId,
    /// Where it answers.
    pub addr: net::SocketAddr,
    /// Whether it is to get nothing new.
    pub leaving: bool,
}
