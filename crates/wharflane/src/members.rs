//! The platform's list of entry hosts and workers, which may be late.

use std::collections;
use std::net;

use serde::{Deserialize, Serialize};

use crate::id;

/// The whole list at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Grows with every change of the list.
    pub version: u64,
    /// The entry hosts by name.
    pub hosts: collections::BTreeMap<id::HostId, Host>,
    /// The workers by name.
    pub workers: collections::BTreeMap<id::WorkerId, Worker>,
}

/// An entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Where its peers reach it.
    pub peer_addr: net::SocketAddr,
    /// Whether it stays.
    pub presence: Presence,
}

/// A worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Where it takes commands.
    pub addr: net::SocketAddr,
    /// Its hall.
    pub hall: id::HallId,
    /// Its rack.
    pub rack: String,
    /// Whether it stays.
    pub presence: Presence,
}

/// Whether a machine stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Presence {
    /// It stays.
    Live,
    /// Its stop is planned: it takes nothing new.
    Leaving,
}
