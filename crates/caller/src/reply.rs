//! Replies to callers' requests: every reply carries the outcome in a header, and a request without
//! an answer from an endpoint gets problem details.

use std::time;

use hyper::StatusCode;
use hyper::header;
use wharflane::outcome;
use wharflane_http::reply;

/// Response header with the outcome of the request.
pub const OUTCOME: &str = "wharflane-outcome";
/// Maximum `Retry-After` sent to a caller.
const MAX_RETRY_AFTER_SECS: u64 = 60;

/// Why a request ended without an answer from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The request is malformed.
    #[error("the request can't be understood")]
    BadRequest,
    /// The body exceeds the size limit.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The body was incomplete or did not arrive in time.
    #[error("the body did not come whole and in time")]
    BodyBroken,
    /// This host has no memory for the body.
    #[error("no memory for the body now")]
    NoRoom,
    /// The path names no configured service.
    #[error("no such service")]
    NoService,
    /// A request with the same id was accepted before.
    #[error("a request with this id was taken before")]
    Duplicate,
    /// The service has no usable endpoint at present.
    #[error("the service has no endpoint now")]
    NoEndpoint,
    /// The queue can't serve the request before its deadline, or endpoints refused it.
    #[error("the service is over its capacity")]
    Overloaded,
    /// The deadline passed while the request was queued.
    #[error("the deadline passed in the queue")]
    Expired,
    /// All attempts failed without an answer.
    #[error("no endpoint answered")]
    Failed,
    /// An endpoint accepted the request and did not answer in time.
    #[error("no answer in time")]
    TimedOut,
    /// This host is shutting down.
    #[error("this host is stopping")]
    Stopping,
}

impl RequestError {
    /// Returns the label of the error in metrics and problem types.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyBroken => "body-broken",
            Self::NoRoom => "no-room",
            Self::NoService => "no-service",
            Self::Duplicate => "duplicate",
            Self::NoEndpoint => "no-endpoint",
            Self::Overloaded => "overloaded",
            Self::Expired => "expired",
            Self::Failed => "failed",
            Self::TimedOut => "timed-out",
            Self::Stopping => "stopping",
        }
    }

    /// Returns the HTTP status for the error.
    fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken => StatusCode::REQUEST_TIMEOUT,
            Self::NoService => StatusCode::NOT_FOUND,
            Self::Duplicate => StatusCode::CONFLICT,
            Self::NoRoom | Self::NoEndpoint | Self::Overloaded | Self::Expired | Self::Stopping => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Failed => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Returns a delay as `Retry-After` states it: whole seconds, rounded up.
pub(crate) fn retry_after_secs(delay: time::Duration) -> u64 {
    let secs = delay.as_millis().div_ceil(1_000);
    u64::try_from(secs).unwrap_or(u64::MAX).clamp(1, MAX_RETRY_AFTER_SECS)
}

/// Builds the reply to a request that ended with an error.
#[must_use]
pub fn error_reply(
    why: RequestError,
    outcome: outcome::Outcome,
    request_id: &str,
    retry_after: time::Duration,
) -> reply::Reply {
    let mut answer = reply::problem(why.status(), why.label(), &why.to_string());
    let may_retry = answer.status().is_server_error();
    let headers = answer.headers_mut();
    if may_retry {
        headers
            .insert(header::RETRY_AFTER, header::HeaderValue::from(retry_after_secs(retry_after)));
    }
    set_outcome_headers(headers, outcome, request_id);
    answer
}

/// Sets the headers with the outcome and the id of the request.
pub fn set_outcome_headers(
    headers: &mut header::HeaderMap,
    outcome: outcome::Outcome,
    request_id: &str,
) {
    headers.insert(OUTCOME, header::HeaderValue::from_static(outcome.label()));
    if let Ok(value) = header::HeaderValue::from_str(request_id) {
        headers.insert(crate::request::REQUEST_ID, value);
    }
}
