//! JSON calls over pooled connections, each bounded in time and size.

use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper_util::client::legacy;
use hyper_util::rt;
use serde::de;

/// The largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The request could not be built.
    #[error("request can't be built")]
    Build(#[from] hyper::http::Error),
    /// No connection, or it broke.
    #[error("no answer")]
    Transport(#[from] legacy::Error),
    /// The answer broke off or was too large.
    #[error("answer could not be read")]
    Body,
    /// No answer came in time.
    #[error("no answer in time")]
    TimedOut,
    /// The answer has another status than success.
    #[error("status {status}")]
    Status {
        /// The status.
        status: u16,
        /// The body.
        body: Bytes,
    },
    /// The body is not the JSON that was expected.
    #[error("JSON does not fit")]
    Json(#[from] serde_json::Error),
}

/// A client for JSON calls.
#[derive(Clone, Debug)]
pub struct Client {
    /// The pooled client.
    inner: legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<Bytes>>,
    /// How long a call may take.
    timeout: time::Duration,
}

impl Client {
    /// Makes a client whose calls may take so long.
    #[must_use]
    pub fn new(timeout: time::Duration) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        let inner = legacy::Client::builder(rt::TokioExecutor::new()).build(connector);
        Self { inner, timeout }
    }

    /// Posts a value and reads the answer.
    ///
    /// # Errors
    /// Returns `CallError` where no successful answer came in time.
    pub async fn post<Q: serde::Serialize + Sync, A: de::DeserializeOwned>(
        &self,
        url: &str,
        value: &Q,
    ) -> Result<A, CallError> {
        let body = Bytes::from(serde_json::to_vec(value)?);
        let answer = self.send(hyper::Method::POST, url, body).await?;
        Ok(serde_json::from_slice(&answer)?)
    }

    /// Reads a value.
    ///
    /// # Errors
    /// Returns `CallError` where no successful answer came in time.
    pub async fn get<A: de::DeserializeOwned>(&self, url: &str) -> Result<A, CallError> {
        let answer = self.send(hyper::Method::GET, url, Bytes::new()).await?;
        Ok(serde_json::from_slice(&answer)?)
    }

    /// Sends a request and returns the body of a successful answer.
    ///
    /// # Errors
    /// Returns `CallError` where no successful answer came in time.
    pub async fn send(
        &self,
        method: hyper::Method,
        url: &str,
        body: Bytes,
    ) -> Result<Bytes, CallError> {
        let request = hyper::Request::builder()
            .method(method)
            .uri(url)
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(http_body_util::Full::new(body))?;
        let call = self.exchange(request);
        tokio::time::timeout(self.timeout, call).await.unwrap_or(Err(CallError::TimedOut))
    }

    /// Sends a request with headers of its own and returns status and body, whatever they are.
    ///
    /// # Errors
    /// Returns `CallError` where no whole answer came within `timeout`.
    pub async fn call(
        &self,
        request: hyper::Request<http_body_util::Full<Bytes>>,
        timeout: time::Duration,
    ) -> Result<(hyper::StatusCode, Bytes), CallError> {
        let call = self.any_status(request);
        tokio::time::timeout(timeout, call).await.unwrap_or(Err(CallError::TimedOut))
    }

    /// Makes one exchange without a bound on time.
    async fn exchange(
        &self,
        request: hyper::Request<http_body_util::Full<Bytes>>,
    ) -> Result<Bytes, CallError> {
        let (status, body) = self.any_status(request).await?;
        if status.is_success() {
            return Ok(body);
        }
        Err(CallError::Status { status: status.as_u16(), body })
    }

    /// Makes one exchange and returns status and body.
    async fn any_status(
        &self,
        request: hyper::Request<http_body_util::Full<Bytes>>,
    ) -> Result<(hyper::StatusCode, Bytes), CallError> {
        let answer = self.inner.request(request).await?;
        let status = answer.status();
        let body = http_body_util::Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await.or(Err(CallError::Body))?.to_bytes();
        Ok((status, body))
    }
}
