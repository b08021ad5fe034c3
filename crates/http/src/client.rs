//! A JSON client over pooled connections that bounds every call in time and size.
//!
//! A call that times out retires all connections to its peer that were open at that time. This
//! needs the pool of this package: connections can't be removed from the one of hyper-util.

use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::header;
use hyper::http::uri;
use serde::de;

use crate::{connection, pool};

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Maximum time from the response head to the end of its body while data keeps arriving.
const MAX_BODY_TIME: time::Duration = time::Duration::from_secs(4);
/// A call that its caller drops counts as unanswered if it has waited for at least this fraction (a
/// divisor) of the client's timeout.
const ABANDONED_DIVISOR: u32 = 4;
/// Timeout for opening a connection. Within one network, opening takes a few milliseconds; a lost
/// SYN is retransmitted only after a second, longer than any call waits.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The request is invalid, for example because its URL can't be parsed; it was not sent.
    #[error("invalid request")]
    Build(#[from] hyper::http::Error),
    /// The URL has no authority, or its scheme is not `http`.
    #[error("the URL has no authority or is not plain HTTP")]
    NoPeer,
    /// Opening a connection failed; the request was not sent.
    #[error(transparent)]
    Connect(#[from] connection::OpenError),
    /// Opening a connection timed out; the request was not sent.
    #[error("opening a connection timed out")]
    ConnectTimedOut,
    /// The connection failed before a response head arrived; the peer may have run the request.
    #[error("connection failed before a response: {0}")]
    Transport(#[from] hyper::Error),
    /// The response body ended early or exceeded the size limit.
    #[error("response body is incomplete or too large")]
    Body,
    /// No response arrived in time, or its body stopped arriving.
    #[error("response timed out")]
    TimedOut,
    /// The status of the response is not a success.
    #[error("status {status}")]
    Status {
        /// HTTP status code.
        status: u16,
        /// Body of the response.
        body: Bytes,
    },
    /// A body could not be converted to or from the expected JSON.
    #[error("unexpected JSON")]
    Json(#[from] serde_json::Error),
}

impl CallError {
    /// Returns whether the call timed out, while it opened a connection or waited for the response.
    #[must_use]
    pub fn timed_out(&self) -> bool {
        matches!(self, Self::ConnectTimedOut | Self::TimedOut)
    }

    /// Returns whether the request was certainly not sent, so that the peer can't have run it.
    #[must_use]
    pub fn was_not_sent(&self) -> bool {
        matches!(self, Self::Build(_) | Self::NoPeer | Self::Connect(_) | Self::ConnectTimedOut)
    }
}

/// Limits of the connection pool, applied to each peer.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Maximum number of idle connections; zero disables reuse.
    pub max_idle: usize,
    /// How long an idle connection stays usable.
    pub idle_timeout: time::Duration,
    /// How long a call waits for a released connection when more than `max_idle` calls are in
    /// flight, before it opens another; zero opens one at once.
    pub acquire_wait: time::Duration,
}

impl Default for PoolLimits {
    /// At most eight calls to a store run concurrently (the reads of accepted jobs). The longest
    /// pause between calls to a peer in use is the 4 s between heartbeats to a worker that runs no
    /// task.
    fn default() -> Self {
        Self {
            max_idle: 8,
            idle_timeout: time::Duration::from_secs(10),
            acquire_wait: time::Duration::ZERO,
        }
    }
}

/// An HTTP client for JSON calls; clones share one connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    /// Connections to all peers.
    pool: sync::Arc<pool::Pool>,
    /// Timeout for the response head, and for each further piece of the body.
    timeout: time::Duration,
}

impl Client {
    /// Creates a client with the default pool limits and a timeout for each call.
    #[must_use]
    pub fn new(timeout: time::Duration) -> Self {
        Self::with_pool_limits(timeout, PoolLimits::default())
    }

    /// Creates a client with the given pool limits and a timeout for each call.
    #[must_use]
    pub fn with_pool_limits(timeout: time::Duration, limits: PoolLimits) -> Self {
        Self { pool: sync::Arc::new(pool::Pool::new(limits)), timeout }
    }

    /// Sends a value as JSON in a `POST` request and decodes the JSON response.
    ///
    /// # Errors
    /// Returns `CallError` if no successful response arrives in time.
    pub async fn post<Q: serde::Serialize + Sync, A: de::DeserializeOwned>(
        &self,
        url: &str,
        value: &Q,
    ) -> Result<A, CallError> {
        let body = Bytes::from(serde_json::to_vec(value)?);
        let response = self.send(hyper::Method::POST, url, body).await?;
        Ok(serde_json::from_slice(&response)?)
    }

    /// Sends a `GET` request and decodes the JSON response.
    ///
    /// # Errors
    /// Returns `CallError` if no successful response arrives in time.
    pub async fn get<A: de::DeserializeOwned>(&self, url: &str) -> Result<A, CallError> {
        let response = self.send(hyper::Method::GET, url, Bytes::new()).await?;
        Ok(serde_json::from_slice(&response)?)
    }

    /// Sends a request and returns the body of a successful response.
    ///
    /// # Errors
    /// Returns `CallError` if no successful response arrives in time.
    pub async fn send(
        &self,
        method: hyper::Method,
        url: &str,
        body: Bytes,
    ) -> Result<Bytes, CallError> {
        let request = hyper::Request::builder()
            .method(method)
            .uri(url)
            .header(header::CONTENT_TYPE, "application/json")
            .body(http_body_util::Full::new(body))?;
        let (status, body) = self.call(request, self.timeout).await?;
        if status.is_success() {
            return Ok(body);
        }
        Err(CallError::Status { status: status.as_u16(), body })
    }

    /// Sends a request that the caller built and returns status and body, also of unsuccessful
    /// responses.
    ///
    /// # Errors
    /// Returns `CallError` if no response head arrives within `timeout`, or its body stops
    /// arriving.
    pub async fn call(
        &self,
        mut request: hyper::Request<connection::Body>,
        timeout: time::Duration,
    ) -> Result<(hyper::StatusCode, Bytes), CallError> {
        let deadline = tokio::time::Instant::now() + timeout;
        let peer = take_authority(&mut request)?;
        let call = self.pool.begin(peer);
        let mut conn = match take_idle(&call, deadline).await {
            Some(conn) => conn,
            None => match wait_for_released(&call, deadline).await {
                Some(conn) => conn,
                None => connect(&call, deadline).await?,
            },
        };
        loop {
            let pending = call.watch_response(&conn, self.timeout / ABANDONED_DIVISOR);
            let sent = conn.sender.try_send_request(request);
            let response = tokio::time::timeout_at(deadline, sent).await;
            pending.complete();
            let mut err = match response {
                Err(_) => return Err(retire_timed_out(&call, &conn)),
                Ok(Ok(response)) => return read_body(&call, conn, response, self.timeout).await,
                Ok(Err(err)) => err,
            };
            // hyper returns the request only if no byte of it was written, so it may be sent again
            // over a new connection: a closed idle connection must not fail a call.
            request = match err.take_message() {
                Some(unsent) if conn.reused => unsent,
                _ => return Err(err.into_error().into()),
            };
            conn = connect(&call, deadline).await?;
        }
    }
}

/// Reads the body of a response and returns the connection to the pool.
///
/// On a slow link the body as a whole may take longer than the call's timeout, but the gap between
/// two pieces may not.
async fn read_body(
    call: &pool::Call<'_>,
    conn: pool::Conn,
    response: hyper::Response<hyper::body::Incoming>,
    gap: time::Duration,
) -> Result<(hyper::StatusCode, Bytes), CallError> {
    let end = tokio::time::Instant::now() + gap + MAX_BODY_TIME;
    let status = response.status();
    let mut body = http_body_util::Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    let mut read = bytes::BytesMut::new();
    loop {
        let next = end.min(tokio::time::Instant::now() + gap);
        match tokio::time::timeout_at(next, body.frame()).await {
            Err(_) => return Err(retire_timed_out(call, &conn)),
            Ok(None) => break,
            Ok(Some(Err(_))) => return Err(CallError::Body),
            Ok(Some(Ok(frame))) => {
                read.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()))
            }
        }
    }
    call.release(conn);
    Ok((status, read.freeze()))
}

/// Retires the peer's connections after a call over one of them timed out.
fn retire_timed_out(call: &pool::Call<'_>, conn: &pool::Conn) -> CallError {
    call.retire(conn);
    CallError::TimedOut
}

/// Takes an idle connection that is ready for a request.
async fn take_idle(call: &pool::Call<'_>, deadline: tokio::time::Instant) -> Option<pool::Conn> {
    connection::first_ready(deadline, || call.take_idle(), |conn| &mut conn.sender).await
}

/// Waits for a connection that another call releases, if more calls are in flight than the maximum
/// number of idle connections.
async fn wait_for_released(
    call: &pool::Call<'_>,
    deadline: tokio::time::Instant,
) -> Option<pool::Conn> {
    let (released, wait) = call.contended()?;
    let end = deadline.min(tokio::time::Instant::now() + wait);
    while tokio::time::timeout_at(end, released.notified()).await.is_ok() {
        if let Some(conn) = take_idle(call, deadline).await {
            return Some(conn);
        }
    }
    None
}

/// Opens a connection for a call. A timeout here retires no other connection: it does not show that
/// open ones have failed.
async fn connect(
    call: &pool::Call<'_>,
    deadline: tokio::time::Instant,
) -> Result<pool::Conn, CallError> {
    let end = deadline.min(tokio::time::Instant::now() + CONNECT_TIMEOUT);
    let opened = tokio::time::timeout_at(end, call.open()).await;
    opened.unwrap_or(Err(CallError::ConnectTimedOut))
}

/// Removes the authority from a request's URL, sets it as the `Host` header if there is none, and
/// returns it.
fn take_authority(
    request: &mut hyper::Request<connection::Body>,
) -> Result<uri::Authority, CallError> {
    let mut parts = request.uri().clone().into_parts();
    let plain = parts.scheme.take() == Some(uri::Scheme::HTTP);
    let peer = parts.authority.take().filter(|_| plain).ok_or(CallError::NoPeer)?;
    *request.uri_mut() = uri::Uri::from_parts(parts).map_err(hyper::http::Error::from)?;
    if !request.headers().contains_key(header::HOST) {
        let host = header::HeaderValue::from_str(peer.as_str());
        request.headers_mut().insert(header::HOST, host.map_err(hyper::http::Error::from)?);
    }
    Ok(peer)
}
