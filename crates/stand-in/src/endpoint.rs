//! An endpoint: one service task with a limited number of slots and connections, which echoes
//! requests.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use http_body_util::BodyExt as _;
use hyper::body;
use hyper::header;
use serde::{Deserialize, Serialize};
use tokio::io::AsyncWriteExt as _;
use tokio::net as tokio_net;
use wharflane::id;
use wharflane_http::reply;

use crate::history;

/// The header of a refusal, which guarantees that the request did not run.
pub const REFUSED: &str = "wharflane-refused";
/// The header by which an endpoint announces that it is leaving.
pub const LEAVING: &str = "wharflane-leaving";
/// The header that carries the id of a request.
const REQUEST_ID: &str = "wharflane-request-id";
/// The time between two lines of a watch stream.
const WATCH_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// The faults that are switched on at an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// The service time of each request, in milliseconds.
    pub service_ms: u64,
    /// Requests are accepted and never answered.
    pub hang: bool,
    /// Requests fail at once with status 500.
    pub fail_fast: bool,
    /// Every request is refused with the guarantee that it did not run.
    pub refuse_all: bool,
    /// The endpoint announces that it is leaving and refuses new requests.
    pub leaving: bool,
    /// The point at which connections are cut.
    pub cut: Cut,
}

/// The point at which the endpoint cuts a connection, as a fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cut {
    /// Connections are not cut, and requests are answered.
    #[default]
    Never,
    /// The connection is closed as soon as it is accepted.
    AtOnce,
    /// The connection is closed after the request was read and run.
    AfterRequest,
    /// The connection is closed in the middle of the answer's body.
    InBody,
    /// The connection is closed in the middle of the answer's head.
    InHead,
    /// The answer has neither a length nor chunks and ends with the connection.
    Unframed,
}

/// The limits of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How many requests run at a time; further ones are refused.
    pub slots: usize,
    /// How many connections are open at a time; further ones are closed.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { slots: 8, connections: 64 }
    }
}

/// An endpoint of a service.
#[derive(Debug)]
pub struct Endpoint {
    /// The service task that it belongs to.
    pub task: id::TaskId,
    /// One permit for each request that may run.
    slots: tokio::sync::Semaphore,
    /// One permit for each connection that may be open.
    connections: sync::Arc<tokio::sync::Semaphore>,
    /// The faults that are switched on.
    faults: sync::Mutex<Faults>,
    /// Increase of the service time by batch tasks on the worker, in percent.
    slowdown_percent: atomic::AtomicU64,
    /// The number of refused requests.
    pub refused: atomic::AtomicU64,
    /// The most requests that ran at the same time.
    pub peak: atomic::AtomicU64,
    /// Records the requests that ran.
    history: history::History,
    /// The limits that it was created with.
    limits: Limits,
}

impl Endpoint {
    /// Creates an endpoint.
    #[must_use]
    pub fn new(task: id::TaskId, limits: Limits, history: history::History) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            task,
            slots: tokio::sync::Semaphore::new(limits.slots),
            connections: sync::Arc::new(tokio::sync::Semaphore::new(limits.connections)),
            faults: sync::Mutex::default(),
            slowdown_percent: atomic::AtomicU64::new(0),
            refused: atomic::AtomicU64::new(0),
            peak: atomic::AtomicU64::new(0),
            history,
            limits,
        })
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(sync::PoisonError::into_inner) = faults;
    }

    /// Sets the increase of the service time by batch tasks, in percent.
    pub fn set_slowdown(&self, percent: u64) {
        self.slowdown_percent.store(percent, atomic::Ordering::Relaxed);
    }

    /// Serves the connections of a listener until `stop` completes and all requests in flight have
    /// ended.
    pub async fn serve(
        self: sync::Arc<Self>,
        listener: tokio_net::TcpListener,
        stop: impl Future<Output = ()>,
    ) {
        let mut stop = std::pin::pin!(stop);
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = &mut stop => break,
            };
            let Ok((stream, _)) = accepted else {
                continue;
            };
            let Ok(permit) = sync::Arc::clone(&self.connections).try_acquire_owned() else {
                continue;
            };
            let endpoint = sync::Arc::clone(&self);
            tokio::spawn(async move {
                let ended = endpoint.handle_connection(stream).await;
                drop(permit);
                ended
            });
        }
        // Waits for all requests in flight before the endpoint ends.
        let all = u32::try_from(self.limits.slots).unwrap_or(u32::MAX);
        drop(self.slots.acquire_many(all).await);
    }

    /// Serves one connection.
    async fn handle_connection(
        self: sync::Arc<Self>,
        stream: tokio_net::TcpStream,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        match self.faults().cut {
            Cut::Never => {}
            Cut::AtOnce => return Ok(()),
            cut => return self.serve_cut(stream, cut).await,
        }
        let endpoint = sync::Arc::clone(&self);
        let service = hyper::service::service_fn(move |request| {
            let endpoint = sync::Arc::clone(&endpoint);
            async move { Ok::<_, std::convert::Infallible>(endpoint.answer(request).await) }
        });
        let io = hyper_util::rt::TokioIo::new(stream);
        let served = hyper::server::conn::http1::Builder::new().serve_connection(io, service);
        served.await.map_err(io::Error::other)
    }

    /// Answers one request.
    async fn answer(&self, request: hyper::Request<body::Incoming>) -> reply::Reply {
        let faults = self.faults();
        let watch = request.headers().contains_key("wharflane-watch");
        let permit = self.slots.try_acquire();
        let full = permit.is_err() && !watch;
        if faults.refuse_all || faults.leaving || full {
            self.refused.fetch_add(1, atomic::Ordering::Relaxed);
            return refuse(faults.leaving);
        }
        if faults.fail_fast {
            return reply::problem(hyper::StatusCode::INTERNAL_SERVER_ERROR, "fault", "fault");
        }
        self.record_request(request.headers());
        if faults.hang {
            std::future::pending::<()>().await;
        }
        if watch {
            drop(permit);
            return watch_reply();
        }
        let in_use = self.limits.slots - self.slots.available_permits();
        self.peak.fetch_max(in_use as u64, atomic::Ordering::Relaxed);
        let slowdown = self.slowdown_percent.load(atomic::Ordering::Relaxed);
        let service_us = faults.service_ms * 10 * (100 + slowdown);
        tokio::time::sleep(time::Duration::from_micros(service_us)).await;
        echo(request).await
    }

    /// Reads and runs a request, and cuts the connection where the fault requires it.
    async fn serve_cut(&self, mut stream: tokio_net::TcpStream, cut: Cut) -> io::Result<()> {
        let mut head = vec![0; 64 << 10];
        let read = tokio::io::AsyncReadExt::read(&mut stream, &mut head).await?;
        let text = String::from_utf8_lossy(&head[..read]).into_owned();
        let lower = text.to_ascii_lowercase();
        let id = lower.lines().find_map(|line| line.strip_prefix(&format!("{REQUEST_ID}: ")));
        self.record_run(id.unwrap_or_default());
        let answer = match cut {
            Cut::InBody => "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nhalf",
            Cut::InHead => "HTTP/1.1 200 OK\r\ncontent-le",
            Cut::Unframed => "HTTP/1.1 200 OK\r\n\r\nmay be whole",
            Cut::Never | Cut::AtOnce | Cut::AfterRequest => "",
        };
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await
    }

    /// Records that a request ran, by the id in its headers.
    fn record_request(&self, headers: &header::HeaderMap) {
        let id = headers.get(REQUEST_ID).and_then(|id| id.to_str().ok());
        self.record_run(id.unwrap_or_default());
    }

    /// Records that a request with this id ran.
    fn record_run(&self, request: &str) {
        let (task, request) = (self.task.clone(), request.to_owned());
        self.history.add(history::Event::Ran { task, request });
    }

    /// Returns the faults that are switched on.
    fn faults(&self) -> Faults {
        self.faults.lock().unwrap_or_else(sync::PoisonError::into_inner).clone()
    }
}

/// Returns a refusal with the guarantee that the request did not run.
fn refuse(leaving: bool) -> reply::Reply {
    let mut refusal = reply::text(hyper::StatusCode::SERVICE_UNAVAILABLE, String::new());
    let headers = refusal.headers_mut();
    headers.insert(REFUSED, header::HeaderValue::from_static("not-run"));
    if leaving {
        headers.insert(LEAVING, header::HeaderValue::from_static("yes"));
    }
    refusal
}

/// Returns the path and body of the request, or the number of bytes that its query requests.
async fn echo(request: hyper::Request<body::Incoming>) -> reply::Reply {
    let uri = request.uri().clone();
    let bytes_wanted = uri.query().and_then(|query| query.strip_prefix("bytes="));
    let bytes_wanted = bytes_wanted.and_then(|bytes| bytes.parse().ok());
    let timeout = time::Duration::from_secs(10);
    let body = http_body_util::Limited::new(request.into_body(), 16 << 20).collect();
    let Ok(Ok(body)) = tokio::time::timeout(timeout, body).await else {
        return reply::problem(hyper::StatusCode::BAD_REQUEST, "body", "body not taken");
    };
    match bytes_wanted {
        Some(bytes) => reply::text(hyper::StatusCode::OK, "x".repeat(bytes)),
        None => {
            let body = body.to_bytes();
            let body = String::from_utf8_lossy(&body);
            reply::text(hyper::StatusCode::OK, format!("{} {body}", uri.path()))
        }
    }
}

/// Returns an endless stream of numbered lines.
fn watch_reply() -> reply::Reply {
    let stream = futures::stream::unfold(0_u64, |number| async move {
        tokio::time::sleep(WATCH_INTERVAL).await;
        let line = bytes::Bytes::from(format!("{number}\n"));
        Some((Ok::<_, reply::BodyError>(body::Frame::data(line)), number + 1))
    });
    let body = http_body_util::StreamBody::new(stream).boxed_unsync();
    hyper::Response::new(body)
}

/// Serves an endpoint on a port until the process ends.
///
/// # Errors
/// Returns an error if the port can't be opened.
pub async fn run(addr: net::SocketAddr, faults: Faults) -> io::Result<()> {
    let listener = tokio_net::TcpListener::bind(addr).await?;
    let task = id::TaskId { owner: "alone".into(), born: 0, index: 0 };
    let endpoint = Endpoint::new(task, Limits::default(), history::History::default());
    endpoint.set_faults(faults);
    endpoint.serve(listener, std::future::pending()).await;
    Ok(())
}
