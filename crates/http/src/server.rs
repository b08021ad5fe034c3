//! An HTTP/1.1 and HTTP/2 server that limits connections, head and body sizes, and slow clients.

use std::convert;
use std::future;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use hyper::service;
use hyper_util::rt;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful;
use tokio::net;

use crate::{guard, reply};

/// Maximum time without progress of a response: half of the default of nginx, so that a slow reader
/// has time to drain enough of the socket buffers for the next byte to be accepted.
const STALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Idle time of an HTTP/2 connection before it is pinged, equal to the idle timeout of an HTTP/1.1
/// connection.
const PING_INTERVAL: time::Duration = time::Duration::from_secs(10);
/// Timeout for the answer to a ping: covers many round trips over a slow link and a pause of the
/// client's process.
const PING_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Timeout for receiving a request head; over HTTP/1.1 it includes the idle time before the
    /// request.
    pub head_timeout: time::Duration,
    /// Maximum time for which a client accepts no byte of a response, before its connection is
    /// closed.
    pub stall: time::Duration,
    /// Idle time of an HTTP/2 connection before it is pinged.
    pub ping_every: time::Duration,
    /// Timeout for the answer to a ping.
    pub ping_timeout: time::Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            connections: 4_096,
            head_bytes: 32 << 10,
            head_timeout: time::Duration::from_secs(10),
            stall: STALL_TIMEOUT,
            ping_every: PING_INTERVAL,
            ping_timeout: PING_TIMEOUT,
        }
    }
}

/// Serves connections until `stop` completes, then waits for the requests in flight.
pub async fn serve<H, F>(
    listener: net::TcpListener,
    bounds: Bounds,
    stop: impl Future<Output = ()>,
    handle: H,
) where
    H: Fn(hyper::Request<body::Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = reply::Reply> + Send + 'static,
{
    let graceful = graceful::GracefulShutdown::new();
    let permits = sync::Arc::new(tokio::sync::Semaphore::new(bounds.connections));
    let mut stop = std::pin::pin!(stop);
    loop {
        let Ok(permit) = sync::Arc::clone(&permits).acquire_owned().await else {
            break;
        };
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => continue,
            },
            () = &mut stop => break,
        };
        serve_connection(stream, bounds, &graceful, handle.clone(), permit);
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Serves one connection in a separate task, which holds the permit until the connection ends.
fn serve_connection<H, F>(
    stream: net::TcpStream,
    bounds: Bounds,
    graceful: &graceful::GracefulShutdown,
    handle: H,
    permit: tokio::sync::OwnedSemaphorePermit,
) where
    H: Fn(hyper::Request<body::Incoming>) -> F + Send + 'static,
    F: Future<Output = reply::Reply> + Send + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(bounds.head_timeout)
        .max_buf_size(bounds.head_bytes);
    let max_head = u32::try_from(bounds.head_bytes).unwrap_or(u32::MAX);
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .keep_alive_interval(bounds.ping_every)
        .keep_alive_timeout(bounds.ping_timeout)
        .max_header_list_size(max_head);
    let service = service::service_fn(move |request| {
        let response = handle(request);
        async move { Ok::<_, convert::Infallible>(response.await) }
    });
    let stream = guard::GuardedStream::new(stream, bounds.head_timeout, bounds.stall);
    let conn = builder.serve_connection(rt::TokioIo::new(stream), service).into_owned();
    let watched = graceful.watch(conn);
    tokio::spawn(async move {
        // Errors of a connection are not reported here; the handler counts the outcome of each
        // request.
        drop(watched.await);
        drop(permit);
    });
}

/// Why a request body was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The body exceeds the size limit.
    #[error("body is larger than {limit_bytes} bytes")]
    TooLarge {
        /// Maximum size of the body, in bytes.
        limit_bytes: usize,
    },
    /// The connection failed before the body was complete.
    #[error("body broke off")]
    Broken,
    /// The body did not arrive in time.
    #[error("body did not come in time")]
    TimedOut,
}

/// Reads a complete body within a size limit and a timeout.
///
/// # Errors
/// Returns `ReadError` if the body is too large, too slow or incomplete.
pub async fn read_body(
    body: body::Incoming,
    limit_bytes: usize,
    timeout: time::Duration,
) -> Result<Bytes, ReadError> {
    let limited = http_body_util::Limited::new(body, limit_bytes);
    match tokio::time::timeout(timeout, limited.collect()).await {
        Err(_) => Err(ReadError::TimedOut),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => {
            Err(ReadError::TooLarge { limit_bytes })
        }
        Ok(Err(_)) => Err(ReadError::Broken),
    }
}

/// Returns a future that never completes, for servers that run until their process exits.
pub fn never() -> future::Pending<()> {
    future::pending()
}
