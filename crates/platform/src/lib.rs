//! Speaks to the platform: its table service, its object store and its list of machines.

use std::net;
use std::time;

use bytes::Bytes;
use hyper::Method;
use serde::{Deserialize, Serialize};
use wharflane::{members, platform};
use wharflane_http::client;

/// Reads rows by their keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadQuery {
    /// The keys.
    pub keys: Vec<String>,
}

/// Reads all rows below a prefix.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanQuery {
    /// The prefix.
    pub prefix: String,
}

/// Why the platform gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The call failed.
    #[error("platform gave no answer: {0}")]
    Call(#[from] client::CallError),
    /// The object does not exist.
    #[error("no object `{key}`")]
    NoObject {
        /// The key.
        key: String,
    },
}

/// A client of the platform.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The HTTP client.
    client: client::Client,
    /// The root of all paths.
    root: String,
}

impl Platform {
    /// Makes a client for the platform at an address.
    #[must_use]
    pub fn new(addr: net::SocketAddr, timeout: time::Duration) -> Self {
        Self { client: client::Client::new(timeout), root: format!("http://{addr}") }
    }

    /// Makes a transaction.
    ///
    /// # Errors
    /// Returns `PlatformError` where no answer came: the transaction may stand all the same.
    pub async fn transact(
        &self,
        txn: &platform::Txn,
    ) -> Result<platform::TxnAnswer, PlatformError> {
        Ok(self.client.post(&self.url("table/txn"), txn).await?)
    }

    /// Reads rows; absent ones are left out.
    ///
    /// # Errors
    /// Returns `PlatformError` where no answer came.
    pub async fn read(&self, keys: Vec<String>) -> Result<Vec<platform::Row>, PlatformError> {
        Ok(self.client.post(&self.url("table/read"), &ReadQuery { keys }).await?)
    }

    /// Reads all rows below a prefix.
    ///
    /// # Errors
    /// Returns `PlatformError` where no answer came.
    pub async fn scan(&self, prefix: &str) -> Result<Vec<platform::Row>, PlatformError> {
        let query = ScanQuery { prefix: prefix.to_owned() };
        Ok(self.client.post(&self.url("table/scan"), &query).await?)
    }

    /// Stores an object.
    ///
    /// # Errors
    /// Returns `PlatformError` where no answer came: the object may be stored all the same.
    pub async fn put_object(&self, key: &str, value: String) -> Result<(), PlatformError> {
        let url = self.url(&format!("objects/{key}"));
        self.client.send(Method::PUT, &url, Bytes::from(value)).await?;
        Ok(())
    }

    /// Reads an object.
    ///
    /// # Errors
    /// Returns `PlatformError` where no answer came or there is no such object.
    pub async fn get_object(&self, key: &str) -> Result<Bytes, PlatformError> {
        let url = self.url(&format!("objects/{key}"));
        match self.client.send(Method::GET, &url, Bytes::new()).await {
            Err(client::CallError::Status { status: 404, .. }) => {
                Err(PlatformError::NoObject { key: key.to_owned() })
            }
            other => Ok(other?),
        }
    }

    /// Deletes an object; one that is not there is no failure.
    ///
    /// # Errors
    /// Returns `PlatformError` where no answer came.
    pub async fn delete_object(&self, key: &str) -> Result<(), PlatformError> {
        let url = self.url(&format!("objects/{key}"));
        self.client.send(Method::DELETE, &url, Bytes::new()).await?;
        Ok(())
    }

    /// Reads the list of hosts and workers, or nothing while it has the version that is known.
    ///
    /// # Errors
    /// Returns `PlatformError` where no answer came.
    pub async fn members(&self, known: u64) -> Result<Option<members::Members>, PlatformError> {
        Ok(self.client.get(&self.url(&format!("members?known={known}"))).await?)
    }

    /// Returns the address of a path.
    fn url(&self, path: &str) -> String {
        format!("{}/{path}", self.root)
    }
}
