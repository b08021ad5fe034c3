//! Speaks to the operators: what their command line and a host's operators' port exchange.

use std::collections;
use std::net;
use std::time;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wharflane::toml_read;
use wharflane_http::client;

/// The start of the paths of closed halls, each followed by the hall's name.
pub const CLOSED_HALLS: &str = "/closed-halls/";

/// A whole desired state to be put in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Apply {
    /// Names this submission, so that a repeated one gets the first answer.
    pub apply_id: String,
    /// The revision that it was made from.
    pub base_revision: u64,
    /// The text.
    pub text: String,
}

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "apply", rename_all = "kebab-case")]
pub enum Applied {
    /// It is in force as a whole.
    Accepted {
        /// Its revision.
        revision: u64,
    },
    /// It is refused as a whole.
    Refused {
        /// All faults by line.
        faults: Vec<toml_read::Fault>,
    },
    /// Another one came first.
    Moved {
        /// The revision that is in force.
        revision: u64,
    },
    /// The platform gave no answer: nothing is known, and the same submission may be sent again.
    Unknown,
}

/// A summary of what a host knows.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Status {
    /// The host.
    pub host: String,
    /// The configuration revision in force here.
    pub revision: u64,
    /// Whether the platform answered last.
    pub platform_up: bool,
    /// Whether the host is stopping.
    pub stopping: bool,
    /// Services by name.
    pub services: collections::BTreeMap<String, ServiceStatus>,
    /// Halls by name.
    pub halls: collections::BTreeMap<String, HallStatus>,
    /// Halls that are closed, with when the host heard of it, in seconds since 1970.
    #[serde(default)]
    pub closed_since_s: collections::BTreeMap<String, u64>,
}

/// A summary of a service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Tasks wanted.
    pub wanted: u32,
    /// Endpoints that answer.
    pub endpoints: usize,
    /// Endpoints that get nothing new.
    pub leaving: usize,
}

/// A summary of a hall.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HallStatus {
    /// The host that holds it.
    pub holder: Option<String>,
    /// The epoch of its lease.
    pub epoch: u64,
    /// Tasks by state, where this host holds the hall.
    pub tasks: collections::BTreeMap<String, usize>,
}

/// A client of one host's operators' port.
#[derive(Clone, Debug)]
pub struct Operator {
    /// The HTTP client.
    client: client::Client,
    /// The root of all paths.
    root: String,
}

impl Operator {
    /// Makes a client for the host at an address.
    #[must_use]
    pub fn new(addr: net::SocketAddr, timeout: time::Duration) -> Self {
        Self { client: client::Client::new(timeout), root: format!("http://{addr}") }
    }

    /// Submits a desired state.
    ///
    /// # Errors
    /// Returns `CallError` where the host gave no answer: the state may be in force all the same.
    pub async fn apply(&self, apply: &Apply) -> Result<Applied, client::CallError> {
        self.client.post(&format!("{}/apply", self.root), apply).await
    }

    /// Reads the summary.
    ///
    /// # Errors
    /// Returns `CallError` where the host gave no answer.
    pub async fn status(&self) -> Result<Status, client::CallError> {
        self.client.get(&format!("{}/status", self.root)).await
    }

    /// Reads the whole state.
    ///
    /// # Errors
    /// Returns `CallError` where the host gave no answer.
    pub async fn dump(&self) -> Result<serde_json::Value, client::CallError> {
        self.client.get(&format!("{}/dump", self.root)).await
    }

    /// Closes a hall: nothing new is started there, and what runs there runs on. Closing a closed one changes nothing.
    ///
    /// # Errors
    /// Returns `CallError` where the host gave no answer, or could not reach its store: the hall may be closed all the
    /// same, and the call may be made again.
    pub async fn close_hall(&self, hall: &str) -> Result<(), client::CallError> {
        self.send_for(hyper::Method::PUT, hall).await
    }

    /// Opens a hall again; opening an open one changes nothing.
    ///
    /// # Errors
    /// Returns `CallError` as `close_hall` does.
    pub async fn open_hall(&self, hall: &str) -> Result<(), client::CallError> {
        self.send_for(hyper::Method::DELETE, hall).await
    }

    /// Makes a call about a closed hall.
    async fn send_for(&self, method: hyper::Method, hall: &str) -> Result<(), client::CallError> {
        let url = format!("{}{CLOSED_HALLS}{hall}", self.root);
        self.client.send(method, &url, Bytes::new()).await?;
        Ok(())
    }

    /// Asks the host to finish its requests and stop.
    ///
    /// # Errors
    /// Returns `CallError` where the host gave no answer.
    pub async fn drain(&self) -> Result<(), client::CallError> {
        let url = format!("{}/drain", self.root);
        self.client.send(hyper::Method::POST, &url, Bytes::new()).await?;
        Ok(())
    }
}
