//! Speaks to the endpoints: one try of a request, and proof of what became of it.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use hyper::body;
use hyper::body::Body as _;
use hyper::client::conn::http1;
use hyper::header;
use hyper_util::rt;
use wharflane::outcome;

/// The header by which an endpoint promises that it did not run a request.
pub const REFUSED: &str = "wharflane-refused";
/// The header by which an endpoint says that it is leaving.
pub const LEAVING: &str = "wharflane-leaving";

/// The body of a request, whole so that it can be sent again.
type ReqBody = http_body_util::Full<Bytes>;
/// A connection to an endpoint.
type Sender = http1::SendRequest<ReqBody>;

/// A try that ended without an answer.
#[derive(Debug, thiserror::Error)]
#[error("no answer from the endpoint: {}", failure.label())]
pub struct TryError {
    /// What is known of the request.
    pub failure: outcome::Failure,
    /// Whether the endpoint said that it is leaving.
    pub leaving: bool,
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
    sender: Sender,
}

impl ConnLease {
    /// Gives the connection back after the whole answer was read.
    pub fn whole(self) {
        let Self { pool, addr, sender } = self;
        pool.put(addr, sender);
    }
}

/// Idle connections by endpoint.
#[derive(Debug)]
pub struct Pool {
    /// The idle connections.
    idle: sync::Mutex<collections::HashMap<net::SocketAddr, Vec<Sender>>>,
    /// The most idle connections kept for an endpoint.
    idle_limit: usize,
    /// How long a connection may take to stand.
    connect_timeout: time::Duration,
}

impl Pool {
    /// Makes an empty pool.
    #[must_use]
    pub fn new(idle_limit: usize, connect_timeout: time::Duration) -> Self {
        Self { idle: sync::Mutex::default(), idle_limit, connect_timeout }
    }

    /// Makes one try of a request at an endpoint and returns the start of its answer.
    ///
    /// # Errors
    /// Returns `TryError` with what is known of the request.
    pub async fn exchange(
        self: &sync::Arc<Self>,
        addr: net::SocketAddr,
        request: hyper::Request<ReqBody>,
        timeout: time::Duration,
    ) -> Result<Answer, TryError> {
        let deadline = tokio::time::Instant::now() + timeout;
        let mut request = request;
        let mut sender = self.take(addr).await?;
        loop {
            let sent = tokio::time::timeout_at(deadline, sender.try_send_request(request)).await;
            let err = match sent {
                Err(_) => return Err(failed(outcome::Failure::TimedOut, None)),
                Ok(Ok(response)) => return self.check(addr, sender, response),
                Ok(Err(err)) => err,
            };
            let mut err = err;
            // hyper gives the request back only if no byte of it was written.
            let Some(unsent) = err.take_message() else {
                let source = io::Error::other(err.into_error());
                return Err(failed(outcome::Failure::Lost, Some(source)));
            };
            request = unsent;
            sender = self.connect(addr).await?;
        }
    }

    /// Closes the idle connections to all endpoints but those that are kept.
    pub fn retain(&self, keep: impl Fn(&net::SocketAddr) -> bool) {
        self.lock().retain(|addr, _| keep(addr));
    }

    /// Turns a refusal into a failure, and passes an answer on only if its end can be told.
    fn check(
        self: &sync::Arc<Self>,
        addr: net::SocketAddr,
        sender: Sender,
        response: hyper::Response<body::Incoming>,
    ) -> Result<Answer, TryError> {
        let lease = ConnLease { pool: sync::Arc::clone(self), addr, sender };
        let refused = response.headers().get(REFUSED).is_some_and(|value| value == "not-run");
        if refused {
            let leaving = response.headers().contains_key(LEAVING);
            let ended = response.body().is_end_stream();
            if ended {
                lease.whole();
            }
            return Err(TryError { failure: outcome::Failure::Refused, leaving, source: None });
        }
        if !framed(&response) {
            // The end of such a body can't be told from a break, so it is never taken as whole.
            return Err(failed(outcome::Failure::Lost, None));
        }
        Ok(Answer { response, lease })
    }

    /// Takes an idle connection, or makes one.
    async fn take(&self, addr: net::SocketAddr) -> Result<Sender, TryError> {
        loop {
            let idle = self.lock().get_mut(&addr).and_then(Vec::pop);
            let Some(mut sender) = idle else {
                return self.connect(addr).await;
            };
            // A connection that was closed while idle is passed over.
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
    }

    /// Makes a connection; nothing of a request has been sent if that fails.
    async fn connect(&self, addr: net::SocketAddr) -> Result<Sender, TryError> {
        let dial = async {
            let stream = tokio::net::TcpStream::connect(addr).await?;
            stream.set_nodelay(true)?;
            let shaken = http1::handshake(rt::TokioIo::new(stream)).await;
            shaken.map_err(io::Error::other)
        };
        let not_sent = |source| failed(outcome::Failure::NotSent, Some(source));
        let dialed = tokio::time::timeout(self.connect_timeout, dial).await;
        let (sender, conn) = dialed
            .map_err(|_elapsed| not_sent(io::ErrorKind::TimedOut.into()))?
            .map_err(not_sent)?;
        tokio::spawn(async move {
            // What ends a connection is told to the exchange that runs on it.
            drop(conn.await);
        });
        Ok(sender)
    }

    /// Keeps a connection for later.
    fn put(&self, addr: net::SocketAddr, sender: Sender) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        let kept = idle.entry(addr).or_default();
        if kept.len() < self.idle_limit {
            kept.push(sender);
        }
    }

    /// Locks the idle connections.
    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<net::SocketAddr, Vec<Sender>>> {
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
fn failed(failure: outcome::Failure, source: Option<io::Error>) -> TryError {
    TryError { failure, leaving: false, source }
}
