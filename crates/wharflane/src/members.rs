//! The platform's list of hosts and workers, which may be outdated.

use std::collections;
use std::net;

use serde::{Deserialize, Serialize};

use crate::id;

/// The complete list at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Increases with every change of the list.
    pub version: u64,
    /// Hosts by id.
    pub hosts: collections::BTreeMap<id::HostId, Host>,
    /// Workers by id.
    pub workers: collections::BTreeMap<id::WorkerId, Worker>,
}

/// A host, an instance of the gateway daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The address for messages from other hosts.
    pub peer_addr: net::SocketAddr,
    /// Whether the host is live or about to leave.
    pub presence: Presence,
}

/// A worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// The address for commands.
    pub addr: net::SocketAddr,
    /// The hall that the worker is in.
    pub hall: id::HallId,
    /// The failure domain within the hall.
    pub rack: String,
    /// Whether the worker is live or about to leave.
    pub presence: Presence,
}

/// Whether a machine is expected to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Presence {
    /// The machine stays.
    Live,
    /// A shutdown is planned: the machine gets no new tasks or requests.
    Leaving,
}
