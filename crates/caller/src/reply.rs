//! What a caller is told: the outcome in a header, and a typed problem where there is no answer.

use std::time;

use hyper::StatusCode;
use hyper::header;
use wharflane::outcome;
use wharflane_http::reply;

/// The header that says what became of a request.
pub const OUTCOME: &str = "wharflane-outcome";
/// The longest time that a caller is told to stay away.
const MAX_RETRY_AFTER_SECS: u64 = 60;

/// Why a request ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The request can't be understood.
    #[error("the request can't be understood")]
    BadRequest,
    /// The body is too large.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The body did not come in time or broke off.
    #[error("the body did not come whole and in time")]
    BodyBroken,
    /// No such service.
    #[error("no such service")]
    NoService,
    /// A request with the same name was taken before.
    #[error("a request with this id was taken before")]
    Duplicate,
    /// The service has no endpoint now.
    #[error("the service has no endpoint now")]
    NoEndpoint,
    /// The queue can't serve it in time.
    #[error("the service is over its capacity")]
    Overloaded,
    /// It waited until its deadline.
    #[error("the deadline passed in the queue")]
    Expired,
    /// The tries ended without an answer.
    #[error("no endpoint answered")]
    Failed,
    /// An endpoint took it and did not answer in time.
    #[error("no answer in time")]
    TimedOut,
    /// This host is stopping.
    #[error("this host is stopping")]
    Stopping,
}

impl RequestError {
    /// Returns the label of the reason in metrics and problem types.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyBroken => "body-broken",
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

    /// Returns the status of the reason.
    fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken => StatusCode::REQUEST_TIMEOUT,
            Self::NoService => StatusCode::NOT_FOUND,
            Self::Duplicate => StatusCode::CONFLICT,
            Self::NoEndpoint | Self::Overloaded | Self::Expired | Self::Stopping => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Failed => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Returns the final answer to a request that is given up.
#[must_use]
pub fn error_reply(
    why: RequestError,
    outcome: outcome::Outcome,
    request_id: &str,
    retry_after: time::Duration,
) -> reply::Reply {
    let mut answer = reply::problem(why.status(), why.label(), &why.to_string());
    let secs = retry_after.as_millis().div_ceil(1_000).clamp(1, MAX_RETRY_AFTER_SECS.into());
    let may_return = answer.status().is_server_error();
    let headers = answer.headers_mut();
    if may_return {
        headers.insert(header::RETRY_AFTER, header::HeaderValue::from(secs as u64));
    }
    set_outcome_headers(headers, outcome, request_id);
    answer
}

/// Writes the outcome and the name of the request into an answer.
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
