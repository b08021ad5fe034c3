//! Speaks to the workers: fences, leases and commands out, reports back.

use std::net;
use std::time;

use wharflane::work;
use wharflane_http::client;

/// The path of the message on a worker.
pub const SYNC_PATH: &str = "/sync";

/// How many idle connections to a worker are kept: messages to one go one after another.
const IDLE: usize = 1;

/// A client of all workers.
#[derive(Clone, Debug)]
pub struct Workers {
    /// The HTTP client.
    client: client::Client,
}

impl Workers {
    /// Makes a client whose calls may take so long.
    #[must_use]
    pub fn new(timeout: time::Duration) -> Self {
        let keep = client::Keep { connections: IDLE, ..client::Keep::default() };
        Self { client: client::Client::keeping(timeout, keep) }
    }

    /// Sends a message to a worker.
    ///
    /// # Errors
    /// Returns `CallError` where no answer came: the message may have been taken all the same.
    pub async fn sync(
        &self,
        addr: net::SocketAddr,
        sync: &work::Sync,
    ) -> Result<work::Answer, client::CallError> {
        self.client.post(&format!("http://{addr}{SYNC_PATH}"), sync).await
    }
}
