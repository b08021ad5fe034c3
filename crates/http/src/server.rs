//! An HTTP/1.1 and HTTP/2 server that limits connections, head and body sizes, and slow clients.

use std::convert;
use std::future;
use std::pin;
use std::sync;
use std::task;
use std::time;

use bytes::Bytes;
use hyper::body;
use hyper::service;
use hyper_util::rt;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful;
use tokio::net;

use crate::{admission, exchange, guard, reply, request_body};

/// Maximum time without progress of a response: half of the default of nginx, so that a slow reader
/// has time to drain enough of the socket buffers for the next byte to be accepted.
const STALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Idle time of an HTTP/2 connection before it is pinged, equal to the idle timeout of an HTTP/1.1
/// connection.
const PING_INTERVAL: time::Duration = time::Duration::from_secs(10);
/// Timeout for the answer to a ping: covers many round trips over a slow link and a pause of the
/// client's process.
const PING_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Pause after a connection could not be accepted, for example for lack of descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Bytes of a connection that the system may receive before they are read. Unread bytes are memory of
/// the process on machines that count them; with the longest round trips between a caller and its
/// host this lets several megabytes a second through.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// Maximum number of open streams of an HTTP/2 connection.
const HTTP_2_STREAMS: u32 = 32;
/// Bytes of an HTTP/2 connection, and of each of its streams, that may arrive before they are read:
/// the least that the protocol allows for a connection.
const HTTP_2_WINDOW_BYTES: u32 = 65_535;
/// Bytes of an answer on an HTTP/2 stream that may wait to be sent.
const HTTP_2_SEND_BYTES: usize = 64 << 10;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum number of open connections, unless `serve_admitted` is given another.
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

/// A request with its unread body.
pub type Request = hyper::Request<request_body::RequestBody>;

/// Serves connections until `stop` completes, then waits for the requests in flight.
pub async fn serve<H, F>(
    listener: net::TcpListener,
    bounds: Bounds,
    stop: impl Future<Output = ()>,
    handle: H,
) where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = reply::Reply> + Send + 'static,
{
    let admission = admission::Admission::of_connections(bounds.connections);
    serve_within(listener, bounds, admission, stop, handle).await;
}

/// Serves connections of clients that may misbehave: within the budgets of their port, and with small
/// receive buffers.
pub async fn serve_admitted<H, F>(
    listener: net::TcpListener,
    bounds: Bounds,
    admission: admission::Admission,
    stop: impl Future<Output = ()>,
    handle: H,
) where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = reply::Reply> + Send + 'static,
{
    let received = socket2::SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    if let Err(err) = received {
        tracing::warn!(%err, "the size of receive buffers can't be set");
    }
    serve_within(listener, bounds, admission, stop, handle).await;
}

/// Serves connections that have a place among those of the port.
async fn serve_within<H, F>(
    listener: net::TcpListener,
    bounds: Bounds,
    admission: admission::Admission,
    stop: impl Future<Output = ()>,
    handle: H,
) where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = reply::Reply> + Send + 'static,
{
    let graceful = graceful::GracefulShutdown::new();
    let mut stop = std::pin::pin!(stop);
    loop {
        let (stream, connection) = tokio::select! {
            accepted = accept(&listener, &admission) => accepted,
            () = &mut stop => break,
        };
        serve_connection(stream, bounds, &graceful, handle.clone(), connection);
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Accepts the next connection that has a place among those of the port.
async fn accept(
    listener: &net::TcpListener,
    admission: &admission::Admission,
) -> (net::TcpStream, exchange::Connection) {
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                tracing::warn!(%err, "a connection can't be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let mut place = admission.connections.hold();
        match place.grow(1).await {
            Ok(()) => {
                let connection = exchange::Connection::new(peer, admission.clone(), place);
                return (stream, connection);
            }
            Err(_refusal) => admission.note(admission::Limit::NewConnection, peer),
        }
    }
}

/// Serves one connection in a separate task, which holds the connection's place until it ends.
fn serve_connection<H, F>(
    stream: net::TcpStream,
    bounds: Bounds,
    graceful: &graceful::GracefulShutdown,
    handle: H,
    connection: exchange::Connection,
) where
    H: Fn(Request) -> F + Send + 'static,
    F: Future<Output = reply::Reply> + Send + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let connection = sync::Arc::new(connection);
    let requests = sync::Arc::clone(&connection);
    let service = service::service_fn(move |request| {
        let exchange = sync::Arc::new(exchange::Exchange::new(sync::Arc::clone(&requests)));
        // In a box of its own the memory of the answer's computation is free between requests.
        let response = Box::pin(handle(with_body(request, &exchange)));
        async move {
            let response = response.await;
            Ok::<_, convert::Infallible>(
                response.map(|body| ResponseBody { body, _exchange: exchange }),
            )
        }
    });
    let stream = guard::GuardedStream::new(stream, bounds.head_timeout, bounds.stall);
    let conn = builder(bounds).serve_connection(rt::TokioIo::new(stream), service).into_owned();
    let watched = graceful.watch(conn);
    tokio::spawn(async move {
        let revoked = connection.revocation();
        tokio::select! {
            // Errors of a connection are not reported here; the handler counts the outcome of each
            // request.
            ended = watched => drop(ended),
            () = revoked.notified() => {
                connection.admission.note(admission::Limit::OldConnection, connection.peer);
            }
        }
    });
}

/// Builds the protocol implementation of a connection.
fn builder(bounds: Bounds) -> auto::Builder<rt::TokioExecutor> {
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
        .max_header_list_size(max_head)
        .max_concurrent_streams(HTTP_2_STREAMS)
        .initial_stream_window_size(HTTP_2_WINDOW_BYTES)
        .initial_connection_window_size(HTTP_2_WINDOW_BYTES)
        .max_send_buf_size(HTTP_2_SEND_BYTES);
    builder
}

/// Ties the body of a request to its exchange.
fn with_body(
    request: hyper::Request<body::Incoming>,
    exchange: &sync::Arc<exchange::Exchange>,
) -> Request {
    let (head, incoming) = request.into_parts();
    let headers = head.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    let head_bytes = head.uri.path().len() + headers.sum::<usize>();
    let body = request_body::RequestBody::new(incoming, head_bytes, sync::Arc::clone(exchange));
    hyper::Request::from_parts(head, body)
}

/// The body of a response, which ends the exchange when it is dropped.
struct ResponseBody {
    /// The handler's body.
    body: reply::Body,
    /// The request that is answered.
    _exchange: sync::Arc<exchange::Exchange>,
}

impl body::Body for ResponseBody {
    type Data = Bytes;
    type Error = reply::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, reply::BodyError>>> {
        pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}

/// Returns a future that never completes, for servers that run until their process exits.
pub fn never() -> future::Pending<()> {
    future::pending()
}
