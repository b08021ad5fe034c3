//! Builders for responses that carry JSON, text or problem details (RFC 9457).

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::combinators;
use hyper::header;

/// Error of a streamed body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Response body, buffered or streamed.
pub type Body = combinators::UnsyncBoxBody<Bytes, BodyError>;
/// Response with a buffered or streamed body.
pub type Reply = hyper::Response<Body>;

/// Problem details as defined by RFC 9457.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Problem {
    /// URI that identifies the type of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short summary for people.
    pub title: String,
    /// HTTP status code, the same as that of the response.
    pub status: u16,
}

/// Returns a body that holds all its bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    let body = http_body_util::Full::new(bytes.into());
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Returns a response with a content type.
pub fn with_type(status: hyper::StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Reply {
    let mut reply = hyper::Response::new(full(body));
    *reply.status_mut() = status;
    let kind = header::HeaderValue::from_static(kind);
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}

/// Returns a response with a value as JSON, or a problem with status 500 if it can't be encoded.
pub fn json<T: serde::Serialize>(status: hyper::StatusCode, value: &T) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => with_type(status, "application/json", body),
        Err(_) => problem(hyper::StatusCode::INTERNAL_SERVER_ERROR, "encode", "can't be encoded"),
    }
}

/// Returns a response with plain text.
pub fn text(status: hyper::StatusCode, text: String) -> Reply {
    with_type(status, "text/plain; charset=utf-8", text)
}

/// Returns a response with problem details; `kind` is the last part of the type URI.
pub fn problem(status: hyper::StatusCode, kind: &str, title: &str) -> Reply {
    let problem = Problem {
        kind: format!("urn:wharflane:{kind}"),
        title: title.to_owned(),
        status: status.as_u16(),
    };
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    with_type(status, "application/problem+json", body)
}
