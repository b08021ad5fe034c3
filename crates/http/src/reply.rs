//! Answers with JSON, text or a typed problem.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::combinators;
use hyper::header;

/// The error of a streamed body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// A body of any kind.
pub type Body = combinators::UnsyncBoxBody<Bytes, BodyError>;
/// An answer with a body of any kind.
pub type Reply = hyper::Response<Body>;

/// A problem after RFC 9457.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Problem {
    /// Names the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// A short text for people.
    pub title: String,
    /// The status.
    pub status: u16,
}

/// Returns a whole body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    let body = http_body_util::Full::new(bytes.into());
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Returns an answer with a content type.
pub fn with_type(status: hyper::StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Reply {
    let mut reply = hyper::Response::new(full(body));
    *reply.status_mut() = status;
    let kind = header::HeaderValue::from_static(kind);
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}

/// Returns a value as JSON.
pub fn json<T: serde::Serialize>(status: hyper::StatusCode, value: &T) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => with_type(status, "application/json", body),
        Err(_) => problem(hyper::StatusCode::INTERNAL_SERVER_ERROR, "encode", "can't be encoded"),
    }
}

/// Returns a text.
pub fn text(status: hyper::StatusCode, text: String) -> Reply {
    with_type(status, "text/plain; charset=utf-8", text)
}

/// Returns a typed problem.
pub fn problem(status: hyper::StatusCode, kind: &str, title: &str) -> Reply {
    let problem = Problem {
        kind: format!("urn:wharflane:{kind}"),
        title: title.to_owned(),
        status: status.as_u16(),
    };
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    with_type(status, "application/problem+json", body)
}
