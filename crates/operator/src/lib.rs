//! The operators' API of a host: its messages, and a client for the command line.

use std::collections;
use std::net;
use std::time;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wharflane::toml_read;
use wharflane_http::client;

/// Path prefix of closed halls, followed by the hall's name.
pub const CLOSED_HALLS: &str = "/closed-halls/";

/// Path prefix of the claim to a lease, followed by the version of its row, a slash, and how much
/// longer than others the asking host waits for a lease, in milliseconds.
pub const LEASE_CLAIM: &str = "/lease-claim/";

/// What a host answers to another host that found its lease standing still.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "claim", rename_all = "kebab-case")]
pub enum LeaseClaim {
    /// It may still act under the lease.
    Claimed {
        /// How long it will not vacate the lease, in milliseconds.
        at_least_ms: u64,
    },
    /// It does not act under the lease, and will not again.
    Vacated,
}

/// A submission of a complete desired state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Apply {
    /// Identifies the submission, so that a retry gets the result of the first attempt.
    pub apply_id: String,
    /// Revision of the configuration that it was derived from.
    pub base_revision: u64,
    /// Desired state as TOML.
    pub text: String,
}

/// Result of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "apply", rename_all = "kebab-case")]
pub enum Applied {
    /// The state is in force.
    Accepted {
        /// Revision of the new configuration.
        revision: u64,
    },
    /// The state is invalid; no part of it is applied.
    Refused {
        /// All errors, ordered by line.
        faults: Vec<toml_read::Fault>,
    },
    /// Another submission changed the configuration since the base revision; no part of the state
    /// is applied.
    #[serde(rename = "moved")]
    Conflict {
        /// Revision in force.
        revision: u64,
    },
    /// The platform did not answer, so the result is unknown; the same submission may be retried.
    Unknown,
}

/// Summary of a host's state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Status {
    /// Name of the host.
    pub host: String,
    /// Version, sources and target of the host's program; empty if the host is too old to tell.
    #[serde(default)]
    pub build: String,
    /// Configuration revision in force at the host.
    pub revision: u64,
    /// Whether the latest call to the platform was answered.
    pub platform_up: bool,
    /// Whether the host is shutting down.
    pub stopping: bool,
    /// Summaries of services, by name.
    pub services: collections::BTreeMap<String, ServiceStatus>,
    /// Summaries of halls, by name.
    pub halls: collections::BTreeMap<String, HallStatus>,
    /// Closed halls, with the time at which the host learned of it, in seconds since 1970.
    #[serde(default)]
    pub closed_since_s: collections::BTreeMap<String, u64>,
}

/// Summary of a service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Number of tasks in the desired state.
    pub wanted: u32,
    /// Number of endpoints that answer requests.
    pub endpoints: usize,
    /// Number of draining endpoints, which get no new requests.
    pub leaving: usize,
}

/// Summary of a hall.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HallStatus {
    /// Host that holds the hall's lease; absent if none is known.
    pub holder: Option<String>,
    /// Epoch of the hall's lease.
    pub epoch: u64,
    /// Number of tasks by state; empty unless this host holds the hall.
    pub tasks: collections::BTreeMap<String, usize>,
}

/// A client of the operators' port of one host.
#[derive(Clone, Debug)]
pub struct Operator {
    /// HTTP client with the timeout of each call.
    client: client::Client,
    /// Base URL of the host.
    root: String,
}

impl Operator {
    /// Creates a client for the host at an address.
    #[must_use]
    pub fn new(addr: net::SocketAddr, timeout: time::Duration) -> Self {
        Self { client: client::Client::new(timeout), root: format!("http://{addr}") }
    }

    /// Submits a desired state.
    ///
    /// # Errors
    /// Returns `CallError` if the host did not answer; the state may be in force nevertheless.
    pub async fn apply(&self, apply: &Apply) -> Result<Applied, client::CallError> {
        self.client.post(&format!("{}/apply", self.root), apply).await
    }

    /// Reads the summary of the host's state.
    ///
    /// # Errors
    /// Returns `CallError` if the host did not answer.
    pub async fn status(&self) -> Result<Status, client::CallError> {
        self.client.get(&format!("{}/status", self.root)).await
    }

    /// Reads the host's complete state, for diagnosis.
    ///
    /// # Errors
    /// Returns `CallError` if the host did not answer.
    pub async fn dump(&self) -> Result<serde_json::Value, client::CallError> {
        self.client.get(&format!("{}/dump", self.root)).await
    }

    /// Closes a hall: no task is started there, and running tasks continue. Idempotent.
    ///
    /// # Errors
    /// Returns `CallError` if the host did not answer or could not reach its store. The hall may be
    /// closed nevertheless; the call may be retried.
    pub async fn close_hall(&self, hall: &str) -> Result<(), client::CallError> {
        self.send_for_hall(hyper::Method::PUT, hall).await
    }

    /// Reopens a hall. Idempotent.
    ///
    /// # Errors
    /// Returns `CallError` under the same conditions as `close_hall`.
    pub async fn open_hall(&self, hall: &str) -> Result<(), client::CallError> {
        self.send_for_hall(hyper::Method::DELETE, hall).await
    }

    /// Sends a request for the path of a closed hall.
    async fn send_for_hall(
        &self,
        method: hyper::Method,
        hall: &str,
    ) -> Result<(), client::CallError> {
        let url = format!("{}{CLOSED_HALLS}{hall}", self.root);
        self.client.send(method, &url, Bytes::new()).await?;
        Ok(())
    }

    /// Asks the holder of a lease whether it still acts under it; `version` is that of the row,
    /// which stands still, and `delay` how much longer than others the asking host waits for a
    /// lease.
    ///
    /// # Errors
    /// Returns `CallError` if the host did not answer; it may have vacated the lease nevertheless.
    pub async fn claim_lease(
        &self,
        version: u64,
        delay: time::Duration,
    ) -> Result<LeaseClaim, client::CallError> {
        let delay_ms = delay.as_millis();
        self.client.get(&format!("{}{LEASE_CLAIM}{version}/{delay_ms}", self.root)).await
    }

    /// Makes the host drain its requests and stop.
    ///
    /// # Errors
    /// Returns `CallError` if the host did not answer.
    pub async fn drain(&self) -> Result<(), client::CallError> {
        let url = format!("{}/drain", self.root);
        self.client.send(hyper::Method::POST, &url, Bytes::new()).await?;
        Ok(())
    }
}
