//! An HTTP/1.1 and HTTP/2 server with bounds on heads, bodies, connections and slow senders.

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

/// The longest standstill of an answer: half of what nginx allows by default, so that a slow reader has time
/// to empty the part of a socket's buffers that lets the next byte in.
const STALL: time::Duration = time::Duration::from_secs(30);
/// How long a connection of HTTP/2 may be quiet before it is pinged: as long as a quiet one of HTTP/1.1 lasts.
const PING_EVERY: time::Duration = time::Duration::from_secs(10);
/// How long the answer to a ping may take: many round trips of a slow link, and a pause of the caller's process.
const PING_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The bounds of a server.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The most connections at once.
    pub connections: usize,
    /// The largest head, in bytes.
    pub head_bytes: usize,
    /// How long a caller may take to send a head, with the time that it is quiet before over HTTP/1.1.
    pub head_timeout: time::Duration,
    /// How long an answer may stand still, with no byte of it taken, before its caller counts as gone.
    pub stall: time::Duration,
    /// How long a connection of HTTP/2 may be quiet before it is pinged.
    pub ping_every: time::Duration,
    /// How long the answer to a ping may take.
    pub ping_timeout: time::Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            connections: 4_096,
            head_bytes: 32 << 10,
            head_timeout: time::Duration::from_secs(10),
            stall: STALL,
            ping_every: PING_EVERY,
            ping_timeout: PING_TIMEOUT,
        }
    }
}

/// Serves connections until `stop` ends, then lets each finish the requests under way.
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
    let room = sync::Arc::new(tokio::sync::Semaphore::new(bounds.connections));
    let mut stop = std::pin::pin!(stop);
    loop {
        let Ok(permit) = sync::Arc::clone(&room).acquire_owned().await else {
            break;
        };
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => continue,
            },
            () = &mut stop => break,
        };
        connect(stream, bounds, &graceful, handle.clone(), permit);
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Serves one connection.
fn connect<H, F>(
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
        let answer = handle(request);
        async move { Ok::<_, convert::Infallible>(answer.await) }
    });
    let stream = guard::Guarded::new(stream, bounds.head_timeout, bounds.stall);
    let conn = builder.serve_connection(rt::TokioIo::new(stream), service).into_owned();
    let watched = graceful.watch(conn);
    tokio::spawn(async move {
        // A connection that breaks is its caller's loss; requests are counted where they end.
        drop(watched.await);
        drop(permit);
    });
}

/// Why a body was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// It is larger than allowed.
    #[error("body is larger than {limit_bytes} bytes")]
    TooLarge {
        /// The largest size allowed.
        limit_bytes: usize,
    },
    /// It broke off.
    #[error("body broke off")]
    Broken,
    /// It did not come in time.
    #[error("body did not come in time")]
    TimedOut,
}

/// Reads a whole body within a size and a time.
///
/// # Errors
/// Returns `ReadError` where the body is too large, too slow, or broken off.
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

/// A future that never ends, for servers that are stopped with their process.
pub fn never() -> future::Pending<()> {
    future::pending()
}
