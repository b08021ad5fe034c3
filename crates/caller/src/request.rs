//! A caller's request, read and checked.

use std::time;

use bytes::Bytes;
use hyper::body;
use hyper::header;
use wharflane::id;
use wharflane_http::server;

/// The header that names a request across hosts and endpoints.
pub const REQUEST_ID: &str = "wharflane-request-id";
/// The header that says whether a request may run more than once.
pub const REPEATABLE: &str = "wharflane-repeatable";
/// The header that says how long the caller waits.
pub const TIMEOUT_MS: &str = "wharflane-timeout-ms";
/// The header that names the priority class of a request.
pub const CLASS: &str = "wharflane-class";
/// The header that asks for a long stream.
pub const WATCH: &str = "wharflane-watch";

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [header::HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::PROXY_AUTHORIZATION,
    header::PROXY_AUTHENTICATE,
    header::HeaderName::from_static("keep-alive"),
];

/// The longest request name, in bytes.
const MAX_ID_BYTES: usize = 128;
/// The longest time a caller may wait.
const MAX_TIMEOUT_MS: u64 = 86_400_000;

/// What a caller asks for.
#[derive(Debug)]
pub struct ParsedRequest {
    /// The service: the first part of the path.
    pub service: id::ServiceId,
    /// The name of the request, where the caller gave one.
    pub request_id: Option<String>,
    /// Whether it may run more than once, where the caller says so.
    pub repeatable: Option<bool>,
    /// How long the caller waits, where it says so.
    pub timeout: Option<time::Duration>,
    /// The priority class, where the caller names one.
    pub class: Option<id::ClassId>,
    /// Whether the answer is a long stream.
    pub watch: bool,
    /// The method.
    pub method: hyper::Method,
    /// The path and query behind the service.
    pub path: String,
    /// The headers that concern the endpoint.
    pub headers: header::HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Why a request was not taken; nothing of it ran.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadRequest {
    /// The path names no service.
    #[error("the path must start with a service")]
    NoService,
    /// A header can't be read.
    #[error("header {name} can't be read")]
    Header {
        /// The header.
        name: &'static str,
    },
    /// The body was not taken.
    #[error(transparent)]
    Body(#[from] server::ReadError),
}

/// The bounds of a request's body.
#[derive(Clone, Copy, Debug)]
pub struct BodyBounds {
    /// The largest size, in bytes.
    pub limit_bytes: usize,
    /// How long it may take to come.
    pub timeout: time::Duration,
}

/// Reads a request.
///
/// # Errors
/// Returns `BadRequest` for a request that can't be understood or is too large.
pub async fn read(
    request: hyper::Request<body::Incoming>,
    bounds: BodyBounds,
) -> Result<ParsedRequest, BadRequest> {
    let (head, body) = request.into_parts();
    let (service, path) = split_path(&head.uri)?;
    let timeout = number(&head.headers, TIMEOUT_MS)?;
    let class = text(&head.headers, CLASS)?.map(id::ClassId::from);
    let request_id = text(&head.headers, REQUEST_ID)?.map(str::to_owned);
    if request_id.as_ref().is_some_and(|id| id.len() > MAX_ID_BYTES) {
        return Err(BadRequest::Header { name: REQUEST_ID });
    }
    let repeatable = flag(&head.headers, REPEATABLE)?;
    let watch = flag(&head.headers, WATCH)?.unwrap_or(false);
    let mut headers = head.headers;
    strip_connection(&mut headers);
    let body = server::read_body(body, bounds.limit_bytes, bounds.timeout).await?;
    Ok(ParsedRequest {
        service,
        request_id,
        repeatable,
        timeout: timeout.map(time::Duration::from_millis),
        class,
        watch,
        method: head.method,
        path,
        headers,
        body,
    })
}

/// Removes the headers that concern one connection only.
pub fn strip_connection(headers: &mut header::HeaderMap) {
    let named = headers.get_all(header::CONNECTION).iter();
    let named: Vec<header::HeaderName> = named
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in CONNECTION_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Splits a path into the service and what follows.
fn split_path(uri: &hyper::Uri) -> Result<(id::ServiceId, String), BadRequest> {
    let rest = uri.path().strip_prefix('/').ok_or(BadRequest::NoService)?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err(BadRequest::NoService);
    }
    let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    Ok((service.into(), format!("/{path}{query}")))
}

/// Reads a header as text.
fn text<'a>(
    headers: &'a header::HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, BadRequest> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).or(Err(BadRequest::Header { name }))
}

/// Reads a header as a time in milliseconds.
fn number(headers: &header::HeaderMap, name: &'static str) -> Result<Option<u64>, BadRequest> {
    let Some(value) = text(headers, name)? else {
        return Ok(None);
    };
    let number = value.parse().ok().filter(|ms| (1..=MAX_TIMEOUT_MS).contains(ms));
    number.map(Some).ok_or(BadRequest::Header { name })
}

/// Reads a header as yes or no.
fn flag(headers: &header::HeaderMap, name: &'static str) -> Result<Option<bool>, BadRequest> {
    match text(headers, name)? {
        None => Ok(None),
        Some("yes") => Ok(Some(true)),
        Some("no") => Ok(Some(false)),
        Some(_) => Err(BadRequest::Header { name }),
    }
}
