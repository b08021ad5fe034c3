//! A client of the workers' `sync` call, which carries the fencing epoch, the lease and commands to
//! a worker and returns its report.

use std::net;
use std::time;

use wharflane::work;
use wharflane_http::client;

/// Path of the call on a worker.
pub const SYNC_PATH: &str = "/sync";

/// Maximum number of idle connections to a worker: messages to one worker are sent in sequence.
const MAX_IDLE: usize = 1;

/// A client of all workers.
#[derive(Clone, Debug)]
pub struct Workers {
    /// HTTP client, with a connection pool for each worker.
    client: client::Client,
}

impl Workers {
    /// Creates a client with a timeout for each call.
    #[must_use]
    pub fn new(timeout: time::Duration) -> Self {
        let limits = client::PoolLimits { max_idle: MAX_IDLE, ..client::PoolLimits::default() };
        Self { client: client::Client::with_pool_limits(timeout, limits) }
    }

    /// Sends a message to the worker at an address and returns its answer.
    ///
    /// # Errors
    /// Returns `CallError` if the worker did not answer; it may have processed the message
    /// nevertheless.
    pub async fn sync(
        &self,
        addr: net::SocketAddr,
        sync: &work::Sync,
    ) -> Result<work::Answer, client::CallError> {
        self.client.post(&format!("http://{addr}{SYNC_PATH}"), sync).await
    }
}
