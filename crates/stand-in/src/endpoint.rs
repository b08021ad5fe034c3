//! An endpoint: one service task with slots and connections, that echoes what it was asked.

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
use wharflane_http::{reply, server};

use crate::history;

/// The header that refuses a request with the promise that it did not run.
pub const REFUSED: &str = "wharflane-refused";
/// The header by which an endpoint says that it is leaving.
pub const LEAVING: &str = "wharflane-leaving";
/// The header that names a request.
const REQUEST_ID: &str = "wharflane-request-id";
/// The time between two pieces of a stream.
const WATCH_TICK: time::Duration = time::Duration::from_millis(20);

/// What is wrong with an endpoint at the moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// The time that each request takes, in milliseconds.
    pub service_ms: u64,
    /// Requests are taken and never answered.
    pub hang: bool,
    /// Requests are answered at once with a failure.
    pub fail_fast: bool,
    /// Every request is refused with the promise.
    pub refuse_all: bool,
    /// The endpoint says that it is leaving and refuses what is new.
    pub leaving: bool,
    /// What is done to the connection instead of an answer.
    pub cut: Cut,
}

/// What is done to a connection instead of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cut {
    /// Nothing: it answers as it should.
    #[default]
    Never,
    /// It is closed as soon as it stands.
    AtOnce,
    /// It is closed after the request was read and run.
    AfterRequest,
    /// It is closed in the middle of the answer's body.
    InBody,
    /// It is closed in the middle of the answer's head.
    InHead,
    /// The answer has neither length nor chunks and ends with the connection.
    Unframed,
}

/// How an endpoint is made.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Requests at once.
    pub slots: usize,
    /// Connections at once.
    pub connections: usize,
}

impl Default for Room {
    fn default() -> Self {
        Self { slots: 8, connections: 64 }
    }
}

/// An endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// The task that it is.
    pub task: id::TaskId,
    /// The room for requests.
    slots: tokio::sync::Semaphore,
    /// The room for connections.
    connections: sync::Arc<tokio::sync::Semaphore>,
    /// What is wrong.
    faults: sync::Mutex<Faults>,
    /// How many percent longer requests take because of batch tasks on the worker.
    disturbed_percent: atomic::AtomicU64,
    /// Requests refused because every slot was taken.
    pub refused: atomic::AtomicU64,
    /// The most requests that ran at once.
    pub peak: atomic::AtomicU64,
    /// What it saw.
    history: history::History,
    /// The room as it was made.
    room: Room,
}

impl Endpoint {
    /// Makes an endpoint.
    #[must_use]
    pub fn new(task: id::TaskId, room: Room, history: history::History) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            task,
            slots: tokio::sync::Semaphore::new(room.slots),
            connections: sync::Arc::new(tokio::sync::Semaphore::new(room.connections)),
            faults: sync::Mutex::default(),
            disturbed_percent: atomic::AtomicU64::new(0),
            refused: atomic::AtomicU64::new(0),
            peak: atomic::AtomicU64::new(0),
            history,
            room,
        })
    }

    /// Sets what is wrong.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(sync::PoisonError::into_inner) = faults;
    }

    /// Sets how much batch tasks disturb it.
    pub fn disturb(&self, percent: u64) {
        self.disturbed_percent.store(percent, atomic::Ordering::Relaxed);
    }

    /// Opens a port of its own and serves on it until `stop` ends and all requests have ended.
    ///
    /// # Errors
    /// Returns the error of a port that can't be opened.
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
                let ended = endpoint.connection(stream).await;
                drop(permit);
                ended
            });
        }
        // Those under way end before the task does.
        let all = u32::try_from(self.room.slots).unwrap_or(u32::MAX);
        drop(self.slots.acquire_many(all).await);
    }

    /// Serves one connection.
    async fn connection(self: sync::Arc<Self>, stream: tokio_net::TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        match self.faults().cut {
            Cut::Never => {}
            Cut::AtOnce => return Ok(()),
            cut => return self.spoil(stream, cut).await,
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
        self.note_run(request.headers());
        if faults.hang {
            std::future::pending::<()>().await;
        }
        if watch {
            drop(permit);
            return watch_reply();
        }
        let taken = self.room.slots - self.slots.available_permits();
        self.peak.fetch_max(taken as u64, atomic::Ordering::Relaxed);
        let disturbed = self.disturbed_percent.load(atomic::Ordering::Relaxed);
        let took_us = faults.service_ms * 10 * (100 + disturbed);
        tokio::time::sleep(time::Duration::from_micros(took_us)).await;
        echo(request).await
    }

    /// Reads a request, runs it, and spoils the answer.
    async fn spoil(&self, mut stream: tokio_net::TcpStream, cut: Cut) -> io::Result<()> {
        let mut head = vec![0; 64 << 10];
        let read = tokio::io::AsyncReadExt::read(&mut stream, &mut head).await?;
        let text = String::from_utf8_lossy(&head[..read]).into_owned();
        let lower = text.to_ascii_lowercase();
        let id = lower.lines().find_map(|line| line.strip_prefix(&format!("{REQUEST_ID}: ")));
        self.ran(id.unwrap_or_default());
        let answer = match cut {
            Cut::InBody => "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nhalf",
            Cut::InHead => "HTTP/1.1 200 OK\r\ncontent-le",
            Cut::Unframed => "HTTP/1.1 200 OK\r\n\r\nmay be whole",
            Cut::Never | Cut::AtOnce | Cut::AfterRequest => "",
        };
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await
    }

    /// Notes that a request ran.
    fn note_run(&self, headers: &header::HeaderMap) {
        let id = headers.get(REQUEST_ID).and_then(|id| id.to_str().ok());
        self.ran(id.unwrap_or_default());
    }

    /// Notes that a request of a name ran.
    fn ran(&self, request: &str) {
        let (task, request) = (self.task.clone(), request.to_owned());
        self.history.add(history::Event::Ran { task, request });
    }

    /// Returns what is wrong.
    fn faults(&self) -> Faults {
        self.faults.lock().unwrap_or_else(sync::PoisonError::into_inner).clone()
    }
}

/// Returns a refusal with the promise that nothing ran.
fn refuse(leaving: bool) -> reply::Reply {
    let mut refusal = reply::text(hyper::StatusCode::SERVICE_UNAVAILABLE, String::new());
    let headers = refusal.headers_mut();
    headers.insert(REFUSED, header::HeaderValue::from_static("not-run"));
    if leaving {
        headers.insert(LEAVING, header::HeaderValue::from_static("yes"));
    }
    refusal
}

/// Returns the request's path and body, or so many bytes as the query asks for.
async fn echo(request: hyper::Request<body::Incoming>) -> reply::Reply {
    let uri = request.uri().clone();
    let wanted = uri.query().and_then(|query| query.strip_prefix("bytes="));
    let wanted = wanted.and_then(|bytes| bytes.parse().ok());
    let timeout = time::Duration::from_secs(10);
    let Ok(body) = server::read_body(request.into_body(), 16 << 20, timeout).await else {
        return reply::problem(hyper::StatusCode::BAD_REQUEST, "body", "body not taken");
    };
    match wanted {
        Some(bytes) => reply::text(hyper::StatusCode::OK, "x".repeat(bytes)),
        None => {
            let body = String::from_utf8_lossy(&body);
            reply::text(hyper::StatusCode::OK, format!("{} {body}", uri.path()))
        }
    }
}

/// Returns a stream of numbered lines without an end.
fn watch_reply() -> reply::Reply {
    let stream = futures::stream::unfold(0_u64, |number| async move {
        tokio::time::sleep(WATCH_TICK).await;
        let line = bytes::Bytes::from(format!("{number}\n"));
        Some((Ok::<_, reply::BodyError>(body::Frame::data(line)), number + 1))
    });
    let body = http_body_util::StreamBody::new(stream).boxed_unsync();
    hyper::Response::new(body)
}

/// Opens a port and serves an endpoint on it until the process ends.
///
/// # Errors
/// Returns the error of a port that can't be opened.
pub async fn run(addr: net::SocketAddr, faults: Faults) -> io::Result<()> {
    let listener = tokio_net::TcpListener::bind(addr).await?;
    let task = id::TaskId { owner: "alone".into(), born: 0, index: 0 };
    let endpoint = Endpoint::new(task, Room::default(), history::History::default());
    endpoint.set_faults(faults);
    endpoint.serve(listener, std::future::pending()).await;
    Ok(())
}
