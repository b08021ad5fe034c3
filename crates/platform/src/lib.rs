//! A client of the platform: its transactional table, its object store and its list of hosts and
//! workers.

use std::net;
use std::time;

use bytes::Bytes;
use hyper::Method;
use serde::{Deserialize, Serialize};
use wharflane::{members, platform};
use wharflane_http::client;

/// Query for rows by key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadQuery {
    /// Keys of the rows.
    pub keys: Vec<String>,
}

/// Query for all rows whose keys have a prefix.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanQuery {
    /// Prefix of the keys.
    pub prefix: String,
}

/// Why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The platform did not answer, or not with success.
    #[error("call to the platform failed: {0}")]
    Call(#[from] client::CallError),
    /// The object does not exist.
    #[error("no object `{key}`")]
    NoObject {
        /// Key of the object.
        key: String,
    },
}

/// A client of the platform at one address.
#[derive(Clone, Debug)]
pub struct Platform {
    /// HTTP client with the timeout of each call.
    client: client::Client,
    /// Base URL of the platform.
    root: String,
}

impl Platform {
    /// Creates a client for the platform at an address.
    #[must_use]
    pub fn new(addr: net::SocketAddr, timeout: time::Duration) -> Self {
        Self { client: client::Client::new(timeout), root: format!("http://{addr}") }
    }

    /// Executes a transaction on the table.
    ///
    /// # Errors
    /// Returns `PlatformError` if no answer arrived; the transaction may be committed nevertheless.
    pub async fn transact(
        &self,
        txn: &platform::Txn,
    ) -> Result<platform::TxnAnswer, PlatformError> {
        Ok(self.client.post(&self.url("table/txn"), txn).await?)
    }

    /// Reads rows by key; absent rows are omitted.
    ///
    /// # Errors
    /// Returns `PlatformError` if no answer arrived.
    pub async fn read(&self, keys: Vec<String>) -> Result<Vec<platform::Row>, PlatformError> {
        Ok(self.client.post(&self.url("table/read"), &ReadQuery { keys }).await?)
    }

    /// Reads all rows whose keys have a prefix.
    ///
    /// # Errors
    /// Returns `PlatformError` if no answer arrived.
    pub async fn scan(&self, prefix: &str) -> Result<Vec<platform::Row>, PlatformError> {
        let query = ScanQuery { prefix: prefix.to_owned() };
        Ok(self.client.post(&self.url("table/scan"), &query).await?)
    }

    /// Stores an object, replacing an earlier one.
    ///
    /// # Errors
    /// Returns `PlatformError` if no answer arrived; the object may be stored nevertheless.
    pub async fn put_object(&self, key: &str, value: String) -> Result<(), PlatformError> {
        let url = self.url(&format!("objects/{key}"));
        self.client.send(Method::PUT, &url, Bytes::from(value)).await?;
        Ok(())
    }

    /// Reads an object.
    ///
    /// # Errors
    /// Returns `PlatformError` if no answer arrived or the object does not exist.
    pub async fn get_object(&self, key: &str) -> Result<Bytes, PlatformError> {
        let url = self.url(&format!("objects/{key}"));
        match self.client.send(Method::GET, &url, Bytes::new()).await {
            Err(client::CallError::Status { status: 404, .. }) => {
                Err(PlatformError::NoObject { key: key.to_owned() })
            }
            other => Ok(other?),
        }
    }

    /// Deletes an object; succeeds if it does not exist.
    ///
    /// # Errors
    /// Returns `PlatformError` if no answer arrived.
    pub async fn delete_object(&self, key: &str) -> Result<(), PlatformError> {
        let url = self.url(&format!("objects/{key}"));
        self.client.send(Method::DELETE, &url, Bytes::new()).await?;
        Ok(())
    }

    /// Reads the list of hosts and workers, or `None` if its version is still `known`.
    ///
    /// # Errors
    /// Returns `PlatformError` if no answer arrived.
    pub async fn members(&self, known: u64) -> Result<Option<members::Members>, PlatformError> {
        Ok(self.client.get(&self.url(&format!("members?known={known}"))).await?)
    }

    /// Returns the URL of a path.
    fn url(&self, path: &str) -> String {
        format!("{}/{path}", self.root)
    }
}
