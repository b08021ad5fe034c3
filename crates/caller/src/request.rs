//! Parsing and validation of callers' requests.

use std::time;

use bytes::Bytes;
use hyper::header;
use wharflane::id;
use wharflane_http::{request_body, server};

/// Header with the id of a request, the same at all hosts and endpoints.
pub const REQUEST_ID: &str = "wharflane-request-id";
/// Request header that states whether the request may run more than once: `yes` or `no`.
pub const REPEATABLE: &str = "wharflane-repeatable";
/// Request header with the time that the caller waits for the answer, in milliseconds.
pub const TIMEOUT_MS: &str = "wharflane-timeout-ms";
/// Request header with the priority class.
pub const CLASS: &str = "wharflane-class";
/// Request header that marks a request for a long-lived stream.
pub const WATCH: &str = "wharflane-watch";

/// Hop-by-hop headers, which must not be forwarded.
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

/// Maximum length of a request id, in bytes.
const MAX_ID_BYTES: usize = 128;
/// Maximum timeout of a request: one day.
const MAX_TIMEOUT_MS: u64 = 86_400_000;

/// A validated request.
#[derive(Debug)]
pub struct ParsedRequest {
    /// Service, from the first segment of the path.
    pub service: id::ServiceId,
    /// Id of the request; absent if the caller set none.
    pub request_id: Option<String>,
    /// Whether the request may run more than once; absent if the caller does not declare it.
    pub repeatable: Option<bool>,
    /// How long the caller waits for the answer; absent if it does not declare it.
    pub timeout: Option<time::Duration>,
    /// Priority class; absent if the caller names none.
    pub class: Option<id::ClassId>,
    /// Whether the caller requests a long-lived stream.
    pub watch: bool,
    /// HTTP method.
    pub method: hyper::Method,
    /// Path and query after the service segment.
    pub path: String,
    /// Headers to forward to the endpoint.
    pub headers: header::HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Why a request was rejected; it did not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadRequest {
    /// The path names no service.
    #[error("the path must start with a service")]
    NoService,
    /// A header has an invalid value.
    #[error("header {name} can't be read")]
    Header {
        /// Name of the header.
        name: &'static str,
    },
    /// The body was too large, too slow or incomplete.
    #[error(transparent)]
    Body(#[from] request_body::ReadError),
}

/// Limits on a request's body.
#[derive(Clone, Copy, Debug)]
pub struct BodyBounds {
    /// Maximum size, in bytes.
    pub limit_bytes: usize,
    /// Timeout for receiving the body.
    pub timeout: time::Duration,
}

/// Returns the service that a request names.
///
/// # Errors
/// Returns `BadRequest::NoService` if the path names none.
pub fn service(uri: &hyper::Uri) -> Result<id::ServiceId, BadRequest> {
    split_path(uri).map(|(service, _)| service)
}

/// Parses a request and reads its body.
///
/// # Errors
/// Returns `BadRequest` if the request is malformed, too large or not received in time.
pub async fn read(
    request: server::Request,
    bounds: BodyBounds,
) -> Result<ParsedRequest, BadRequest> {
    let (head, body) = request.into_parts();
    let (service, path) = split_path(&head.uri)?;
    let timeout = timeout_ms(&head.headers, TIMEOUT_MS)?;
    let class = text(&head.headers, CLASS)?.map(id::ClassId::from);
    let request_id = text(&head.headers, REQUEST_ID)?.map(str::to_owned);
    if request_id.as_ref().is_some_and(|id| id.len() > MAX_ID_BYTES) {
        return Err(BadRequest::Header { name: REQUEST_ID });
    }
    let repeatable = flag(&head.headers, REPEATABLE)?;
    let watch = flag(&head.headers, WATCH)?.unwrap_or(false);
    let mut headers = head.headers;
    strip_connection(&mut headers);
    let body = request_body::read(body, bounds.limit_bytes, bounds.timeout).await?;
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

/// Removes hop-by-hop headers, including those that `Connection` names.
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

/// Splits a URL into the service and the remaining path with the query.
fn split_path(uri: &hyper::Uri) -> Result<(id::ServiceId, String), BadRequest> {
    let rest = uri.path().strip_prefix('/').ok_or(BadRequest::NoService)?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err(BadRequest::NoService);
    }
    let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    Ok((service.into(), format!("/{path}{query}")))
}

/// Returns the text of a header, or `None` if it is absent.
fn text<'a>(
    headers: &'a header::HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, BadRequest> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).or(Err(BadRequest::Header { name }))
}

/// Parses a header as a timeout in milliseconds, or `None` if it is absent.
fn timeout_ms(headers: &header::HeaderMap, name: &'static str) -> Result<Option<u64>, BadRequest> {
    let Some(value) = text(headers, name)? else {
        return Ok(None);
    };
    let number = value.parse().ok().filter(|ms| (1..=MAX_TIMEOUT_MS).contains(ms));
    number.map(Some).ok_or(BadRequest::Header { name })
}

/// Parses a header with the value `yes` or `no`, or returns `None` if it is absent.
fn flag(headers: &header::HeaderMap, name: &'static str) -> Result<Option<bool>, BadRequest> {
    match text(headers, name)? {
        None => Ok(None),
        Some("yes") => Ok(Some(true)),
        Some("no") => Ok(Some(false)),
        Some(_) => Err(BadRequest::Header { name }),
    }
}
