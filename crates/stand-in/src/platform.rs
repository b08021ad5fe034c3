//! Serves the fake platform over HTTP: its protocol, and the routes that switch faults.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;
use tokio::net as tokio_net;
use wharflane::{members, platform};
use wharflane_http::{reply, request_body, server};
use wharflane_platform as protocol;

use crate::store;

/// The largest body that is read, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// How long a client may take to send a body.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// The platform, served over HTTP; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Server {
    /// The state of the platform.
    store: sync::Arc<sync::Mutex<store::Store>>,
}

impl Server {
    /// Serves the protocol on a listener until the process ends.
    pub async fn serve(self, listener: tokio_net::TcpListener) {
        let handle = move |request| self.clone().answer(request);
        server::serve(listener, server::Bounds::default(), server::never(), handle).await;
    }

    /// Locks the state, for tests in the same process.
    ///
    /// # Panics
    /// Never panics: a poisoned lock is acquired as well.
    pub fn lock(&self) -> sync::MutexGuard<'_, store::Store> {
        self.store.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Answers one request.
    async fn answer(self, request: server::Request) -> reply::Reply {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let read = request_body::read(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
        let Ok(body) = read else {
            return reply::problem(StatusCode::BAD_REQUEST, "body", "body not taken");
        };
        if path.starts_with("/stand-in/") {
            return self.control(&method, &path, &body);
        }
        let (down, slow_ms) = {
            let store = self.lock();
            (store.faults.down, store.faults.slow_ms)
        };
        tokio::time::sleep(time::Duration::from_millis(slow_ms)).await;
        if down {
            return CallError::Down(store::NoAnswer).reply();
        }
        self.protocol(&method, &path, &query, &body).unwrap_or_else(CallError::reply)
    }

    /// Answers a request of the protocol.
    fn protocol(
        &self,
        method: &Method,
        path: &str,
        query: &str,
        body: &Bytes,
    ) -> Result<reply::Reply, CallError> {
        let mut store = self.lock();
        if let Some(key) = path.strip_prefix("/objects/") {
            return object(&mut store, method, key, body);
        }
        match (method, path) {
            (&Method::POST, "/table/txn") => {
                let txn: platform::Txn = parse(body)?;
                Ok(reply::json(StatusCode::OK, &store.transact(&txn)?))
            }
            (&Method::POST, "/table/read") => {
                let query: protocol::ReadQuery = parse(body)?;
                Ok(reply::json(StatusCode::OK, &store.read(&query.keys)?))
            }
            (&Method::POST, "/table/scan") => {
                let query: protocol::ScanQuery = parse(body)?;
                Ok(reply::json(StatusCode::OK, &store.scan(&query.prefix)?))
            }
            (&Method::GET, "/members") => {
                let known = query.strip_prefix("known=").and_then(|known| known.parse().ok());
                let members = store.members()?;
                let newer = (Some(members.version) != known).then_some(members);
                Ok(reply::json(StatusCode::OK, &newer))
            }
            _ => Err(CallError::NoSuchPath),
        }
    }

    /// Answers a request that switches faults or reads counts.
    fn control(&self, method: &Method, path: &str, body: &Bytes) -> reply::Reply {
        let mut store = self.lock();
        match (method, path) {
            (&Method::PUT, "/stand-in/faults") => match parse::<store::Faults>(body) {
                Ok(faults) => store.set_faults(faults),
                Err(err) => return err.reply(),
            },
            (&Method::PUT, "/stand-in/members") => match parse::<members::Members>(body) {
                Ok(members) => store.set_members(members),
                Err(err) => return err.reply(),
            },
            (&Method::GET, "/stand-in/counts") => {
                return reply::json(StatusCode::OK, &store.counts);
            }
            _ => return reply::problem(StatusCode::NOT_FOUND, "no-such-path", "no such path"),
        }
        reply::json(StatusCode::OK, &true)
    }
}

/// Answers a request for an object.
fn object(
    store: &mut store::Store,
    method: &Method,
    key: &str,
    body: &Bytes,
) -> Result<reply::Reply, CallError> {
    if *method == Method::PUT {
        let Ok(text) = String::from_utf8(body.to_vec()) else {
            return Err(CallError::NotText);
        };
        store.put_object(key, text)?;
        return Ok(reply::json(StatusCode::OK, &true));
    }
    if *method == Method::DELETE {
        store.delete_object(key)?;
        return Ok(reply::json(StatusCode::OK, &true));
    }
    match store.get_object(key)? {
        Some(text) => Ok(reply::text(StatusCode::OK, text)),
        None => Err(CallError::NoObject),
    }
}

/// Parses a JSON body.
fn parse<T: serde::de::DeserializeOwned>(body: &Bytes) -> Result<T, CallError> {
    Ok(serde_json::from_slice(body)?)
}

/// Why a request is answered with an error.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// The platform is down, or the answer is lost.
    #[error("the platform is down")]
    Down(#[from] store::NoAnswer),
    /// The body is not the expected JSON.
    #[error("the body is not the JSON expected")]
    Json(#[from] serde_json::Error),
    /// The body is not UTF-8 text.
    #[error("the body is no text")]
    NotText,
    /// The object does not exist.
    #[error("no such object")]
    NoObject,
    /// The path does not exist.
    #[error("no such path")]
    NoSuchPath,
}

impl CallError {
    /// Returns the answer with the status and kind of the error.
    fn reply(self) -> reply::Reply {
        let (status, kind) = match self {
            Self::Down(_) => (StatusCode::SERVICE_UNAVAILABLE, "down"),
            Self::Json(_) | Self::NotText => (StatusCode::BAD_REQUEST, "body"),
            Self::NoObject => (StatusCode::NOT_FOUND, "no-object"),
            Self::NoSuchPath => (StatusCode::NOT_FOUND, "no-such-path"),
        };
        reply::problem(status, kind, &self.to_string())
    }
}

/// Serves the platform on a port.
///
/// # Errors
/// Returns an error if the port can't be opened.
pub async fn run(addr: net::SocketAddr) -> std::io::Result<()> {
    let listener = tokio_net::TcpListener::bind(addr).await?;
    Server::default().serve(listener).await;
    Ok(())
}
