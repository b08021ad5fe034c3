//! Speaks to the endpoints: one try of a request, and proof of what became of it.

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

/// The header by which an endpoint promises that it did not run a request.
pub const REFUSED: &str = "wharflane-refused";
/// The header by which an endpoint says that it is leaving.
pub const LEAVING: &str = "wharflane-leaving";

/// A try that ended without an answer.
#[derive(Debug, thiserror::Error)]
#[error("no answer from the endpoint: {}", failure.label())]
pub struct AttemptError {
    /// What is known of the request.
    pub failure: outcome::Failure,
    /// Whether the endpoint said that it is leaving.
    pub leaving: bool,
    /// How many idle connections to the endpoint were retired because the try had no answer in time.
    pub retired: usize,
    /// What the transport said.
    #[source]
    pub source: Option<io::Error>,
}

/// The start of an answer, with the connection it comes on.
#[derive(Debug)]
pub struct Answer {
    /// The head and the body.
    pub response: hyper::Response<body::Incoming>,
    /// The connection, given back when the body has ended.
    pub lease: ConnLease,
}

/// A connection that carries one exchange; it is used again only after a whole answer.
#[derive(Debug)]
pub struct ConnLease {
    /// The pool it came from.
    pool: sync::Arc<Pool>,
    /// The endpoint.
    addr: net::SocketAddr,
    /// The connection.
    sender: connection::Sender,
}

impl ConnLease {
    /// Returns the endpoint.
    #[must_use]
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Closes the idle connections to the endpoint, which stands still on this one, and returns how many.
    #[must_use]
    pub fn retire_idle(&self) -> usize {
        self.pool.retire(self.addr)
    }

    /// Gives the connection back after the whole answer was read.
    pub fn release(self) {
        let Self { pool, addr, sender } = self;
        pool.put(addr, sender);
    }
}

/// A connection that waits for its next exchange.
#[derive(Debug)]
struct Idle {
    /// The connection.
    sender: connection::Sender,
    /// When its last answer was whole.
    since: tokio::time::Instant,
}

/// Idle connections by endpoint, the one used last at the end.
type IdleByAddr = collections::HashMap<net::SocketAddr, Vec<Idle>>;

/// Idle connections by endpoint.
#[derive(Debug)]
pub struct Pool {
    /// The idle connections.
    idle: sync::Mutex<IdleByAddr>,
    /// The bounds.
    bounds: Bounds,
}

/// The bounds of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The most idle connections kept for an endpoint.
    pub idle: usize,
    /// How long an idle connection is kept.
    pub idle_timeout: time::Duration,
    /// How long a connection may take to stand.
    pub connect_timeout: time::Duration,
}

impl Pool {
    /// Makes an empty pool.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self { idle: sync::Mutex::default(), bounds }
    }

    /// Makes one try of a request at an endpoint and returns the start of its answer.
    ///
    /// # Errors
    /// Returns `AttemptError` with what is known of the request.
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
                        ..failed(outcome::Failure::TimedOut, None)
                    });
                }
                Ok(Ok(response)) => return self.check(addr, sender, response),
                Ok(Err(err)) => err,
            };
            // hyper gives the request back only if no byte of it was written.
            let unsent = err.take_message();
            let source = Some(io::Error::other(err.into_error()));
            request = match unsent {
                None => return Err(failed(outcome::Failure::Lost, source)),
                // An endpoint that ends new connections at once would be given one after the other.
                Some(_) if !reused => return Err(failed(outcome::Failure::NotSent, source)),
                Some(unsent) => unsent,
            };
            sender = self.connect(addr).await?;
            reused = false;
        }
    }

    /// Closes the idle connections to all endpoints but those that are kept.
    pub fn retain(&self, keep: impl Fn(&net::SocketAddr) -> bool) {
        self.lock().retain(|addr, _| keep(addr));
    }

    /// Closes the idle connections to an endpoint that left a request without an answer, and returns how many.
    ///
    /// Connections go silent together and without a reset, so one that has no answer speaks against
    /// all that were open beside it. One that is in use is kept if its answer still comes.
    pub fn retire(&self, addr: net::SocketAddr) -> usize {
        self.lock().remove(&addr).map_or(0, |idle| idle.len())
    }

    /// Closes what has been idle for too long.
    pub fn prune(&self) {
        let timeout = self.bounds.idle_timeout;
        self.lock().retain(|_, idle| {
            idle.retain(|conn| conn.since.elapsed() < timeout);
            !idle.is_empty()
        });
    }

    /// Turns a refusal into a failure, and passes an answer on only if its end can be told.
    fn check(
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
            return Err(AttemptError { leaving, ..failed(outcome::Failure::Refused, None) });
        }
        if !framed(&response) {
            // The end of such a body can't be told from a break, so it is never taken as whole.
            return Err(failed(outcome::Failure::Lost, None));
        }
        Ok(Answer { response, lease })
    }

    /// Takes the connection that was used last, unless it was idle for too long.
    fn take_idle(&self, addr: net::SocketAddr) -> Option<connection::Sender> {
        let idle = self.lock().get_mut(&addr)?.pop()?;
        (idle.since.elapsed() < self.bounds.idle_timeout).then_some(idle.sender)
    }

    /// Makes a connection; nothing of a request has been sent if that fails.
    async fn connect(&self, addr: net::SocketAddr) -> Result<connection::Sender, AttemptError> {
        let not_sent = |source| failed(outcome::Failure::NotSent, Some(source));
        let opening = connection::open(addr);
        let opened = tokio::time::timeout(self.bounds.connect_timeout, opening).await;
        opened
            .map_err(|_elapsed| not_sent(io::ErrorKind::TimedOut.into()))?
            .map_err(|err| not_sent(io::Error::other(err)))
    }

    /// Keeps a connection for later.
    fn put(&self, addr: net::SocketAddr, sender: connection::Sender) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        let kept = idle.entry(addr).or_default();
        if kept.len() < self.bounds.idle {
            kept.push(Idle { sender, since: tokio::time::Instant::now() });
        }
    }

    /// Locks the idle connections.
    fn lock(&self) -> sync::MutexGuard<'_, IdleByAddr> {
        self.idle.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Returns whether the end of an answer's body can be told from a break.
fn framed(response: &hyper::Response<body::Incoming>) -> bool {
    let headers = response.headers();
    let chunked = headers.contains_key(header::TRANSFER_ENCODING);
    let sized = headers.contains_key(header::CONTENT_LENGTH);
    let status = response.status();
    let empty = status == hyper::StatusCode::NO_CONTENT
        || status == hyper::StatusCode::NOT_MODIFIED
        || response.body().is_end_stream();
    chunked || sized || empty
}

/// Returns a failure.
fn failed(failure: outcome::Failure, source: Option<io::Error>) -> AttemptError {
    AttemptError { failure, leaving: false, retired: 0, source }
}
