//! A pooled client of endpoints, which makes one attempt of a request and classifies its failure.
//!
//! An attempt counts as not sent, or as not run, only if that is certain; a request that may have
//! run must not be repeated unless its caller allows it.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use hyper::body;
use hyper::body::Body as _;
use hyper::header;
use wharflane::outcome;
use wharflane_http::connection;

/// Response header by which an endpoint confirms that it did not run a request.
pub const REFUSED: &str = "wharflane-refused";
/// Response header by which an endpoint announces that it is draining.
pub const LEAVING: &str = "wharflane-leaving";

/// An attempt that ended without an answer.
#[derive(Debug, thiserror::Error)]
#[error("no answer from the endpoint: {}", failure.label())]
pub struct AttemptError {
    /// Whether the request was sent and whether it may have run.
    pub failure: outcome::Failure,
    /// Whether the endpoint announced that it is draining.
    pub leaving: bool,
    /// Number of idle connections to the endpoint that were retired because the attempt timed out.
    pub retired: usize,
    /// Error that the transport reported, if any.
    #[source]
    pub source: Option<io::Error>,
}

/// The head of an answer, with the connection that carries its body.
#[derive(Debug)]
pub struct Answer {
    /// Head and unread body.
    pub response: hyper::Response<body::Incoming>,
    /// Connection, to be released once the body is complete.
    pub lease: ConnLease,
}

/// A connection taken out of the pool for one exchange; dropping it without `release` closes it.
#[derive(Debug)]
pub struct ConnLease {
    /// Pool that the connection returns to.
    pool: sync::Arc<Pool>,
    /// Address of the endpoint.
    addr: net::SocketAddr,
    /// Sends requests on the connection.
    sender: connection::Sender,
}

impl ConnLease {
    /// Returns the address of the endpoint.
    #[must_use]
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Closes all idle connections to the endpoint after an answer on this one stalled, and returns
    /// how many.
    #[must_use]
    pub fn retire_idle(&self) -> usize {
        self.pool.retire(self.addr)
    }

    /// Returns the connection to the pool; the answer must have been read completely.
    pub fn release(self) {
        let Self { pool, addr, sender } = self;
        pool.put(addr, sender);
    }
}

/// An idle connection.
#[derive(Debug)]
struct IdleConn {
    /// Sends requests on the connection.
    sender: connection::Sender,
    /// When its last answer was complete.
    since: tokio::time::Instant,
}

/// Idle connections by endpoint, each list with the most recently used at the end.
type IdleByAddr = collections::HashMap<net::SocketAddr, Vec<IdleConn>>;

/// A pool of connections to endpoints.
#[derive(Debug)]
pub struct Pool {
    /// Idle connections, shared by concurrent requests.
    idle: sync::Mutex<IdleByAddr>,
    /// Limits on connections.
    bounds: Bounds,
}

/// Limits of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum number of idle connections to an endpoint.
    pub idle: usize,
    /// How long an idle connection stays usable.
    pub idle_timeout: time::Duration,
    /// Timeout for opening a connection.
    pub connect_timeout: time::Duration,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self { idle: sync::Mutex::default(), bounds }
    }

    /// Makes one attempt of a request at an endpoint and returns the head of its answer.
    ///
    /// # Errors
    /// Returns `AttemptError`, which states whether the request may have run.
    pub async fn exchange(
        self: &sync::Arc<Self>,
        addr: net::SocketAddr,
        request: hyper::Request<connection::Body>,
        timeout: time::Duration,
    ) -> Result<Answer, AttemptError> {
        let deadline = tokio::time::Instant::now() + timeout;
        let idle =
            connection::first_ready(deadline, || self.take_idle(addr), |sender| sender).await;
        let mut reused = idle.is_some();
        let mut sender = match idle {
            Some(sender) => sender,
            None => self.connect(addr).await?,
        };
        let mut request = request;
        loop {
            let sent = tokio::time::timeout_at(deadline, sender.try_send_request(request)).await;
            let mut err = match sent {
                Err(_) => {
                    let retired = self.retire(addr);
                    return Err(AttemptError {
                        retired,
                        ..attempt_error(outcome::Failure::TimedOut, None)
                    });
                }
                Ok(Ok(response)) => return self.check_answer(addr, sender, response),
                Ok(Err(err)) => err,
            };
            // hyper returns the request only if no byte of it was written.
            let unsent = err.take_message();
            let source = Some(io::Error::other(err.into_error()));
            request = match unsent {
                None => return Err(attempt_error(outcome::Failure::Lost, source)),
                // Otherwise an endpoint that closes every new connection at once would cause an
                // endless loop.
                Some(_) if !reused => return Err(attempt_error(outcome::Failure::NotSent, source)),
                Some(unsent) => unsent,
            };
            sender = self.connect(addr).await?;
            reused = false;
        }
    }

    /// Closes the idle connections to all endpoints for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&net::SocketAddr) -> bool) {
        self.lock().retain(|addr, _| keep(addr));
    }

    /// Closes all idle connections to an endpoint after a request timed out, and returns how many.
    ///
    /// Connections to an endpoint fail together and without a reset, so one timeout is evidence
    /// against all connections that were open at that time. A connection in use is kept if its
    /// answer still arrives.
    pub fn retire(&self, addr: net::SocketAddr) -> usize {
        self.lock().remove(&addr).map_or(0, |idle| idle.len())
    }

    /// Closes connections past the idle timeout.
    pub fn prune(&self) {
        let timeout = self.bounds.idle_timeout;
        self.lock().retain(|_, idle| {
            idle.retain(|conn| conn.since.elapsed() < timeout);
            !idle.is_empty()
        });
    }

    /// Converts a refusal into an error, and accepts an answer only if the end of its body can be
    /// detected.
    fn check_answer(
        self: &sync::Arc<Self>,
        addr: net::SocketAddr,
        sender: connection::Sender,
        response: hyper::Response<body::Incoming>,
    ) -> Result<Answer, AttemptError> {
        let lease = ConnLease { pool: sync::Arc::clone(self), addr, sender };
        let refused = response.headers().get(REFUSED).is_some_and(|value| value == "not-run");
        if refused {
            let leaving = response.headers().contains_key(LEAVING);
            let ended = response.body().is_end_stream();
            if ended {
                lease.release();
            }
            return Err(AttemptError { leaving, ..attempt_error(outcome::Failure::Refused, None) });
        }
        if !has_framed_body(&response) {
            // Such a body ends with the connection, so a truncated one would look complete.
            return Err(attempt_error(outcome::Failure::Lost, None));
        }
        Ok(Answer { response, lease })
    }

    /// Takes the most recently used idle connection, unless it is past the idle timeout.
    fn take_idle(&self, addr: net::SocketAddr) -> Option<connection::Sender> {
        let idle = self.lock().get_mut(&addr)?.pop()?;
        (idle.since.elapsed() < self.bounds.idle_timeout).then_some(idle.sender)
    }

    /// Opens a connection; if that fails, no byte of a request has been sent.
    async fn connect(&self, addr: net::SocketAddr) -> Result<connection::Sender, AttemptError> {
        let not_sent = |source| attempt_error(outcome::Failure::NotSent, Some(source));
        let opening = connection::open(addr);
        let opened = tokio::time::timeout(self.bounds.connect_timeout, opening).await;
        opened
            .map_err(|_elapsed| not_sent(io::ErrorKind::TimedOut.into()))?
            .map_err(|err| not_sent(io::Error::other(err)))
    }

    /// Adds an open connection to the idle ones, unless the endpoint has the maximum number.
    fn put(&self, addr: net::SocketAddr, sender: connection::Sender) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        let idle_conns = idle.entry(addr).or_default();
        if idle_conns.len() < self.bounds.idle {
            idle_conns.push(IdleConn { sender, since: tokio::time::Instant::now() });
        }
    }

    /// Locks the idle connections; a panic elsewhere leaves them usable.
    fn lock(&self) -> sync::MutexGuard<'_, IdleByAddr> {
        self.idle.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Returns whether the end of an answer's body can be distinguished from a closed connection.
fn has_framed_body(response: &hyper::Response<body::Incoming>) -> bool {
    let headers = response.headers();
    let chunked = headers.contains_key(header::TRANSFER_ENCODING);
    let sized = headers.contains_key(header::CONTENT_LENGTH);
    let status = response.status();
    let empty = status == hyper::StatusCode::NO_CONTENT
        || status == hyper::StatusCode::NOT_MODIFIED
        || response.body().is_end_stream();
    chunked || sized || empty
}

/// Creates an error without further details.
fn attempt_error(failure: outcome::Failure, source: Option<io::Error>) -> AttemptError {
    AttemptError { failure, leaving: false, retired: 0, source }
}
