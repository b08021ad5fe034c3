//! Serves one request: waits for a place, makes tries within the budget, and tells the outcome.

use std::sync;
use std::time;

use http_body_util::BodyExt as _;
use hyper::body;
use hyper::header;
use wharflane::{id, outcome};
use wharflane_caller::{reply, request};
use wharflane_endpoint as endpoint;
use wharflane_http::reply as http_reply;
use wharflane_http::server;

use super::Traffic;
use super::balancer;
use super::forward;

/// The shortest time after which a caller is told to come back.
const LEAST_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// The most refusals by full endpoints that a request bears.
const MAX_REFUSALS: u32 = 16;

/// A request that ended without an answer.
#[derive(Clone, Copy, Debug)]
struct Rejection {
    /// Why.
    why: reply::GaveUp,
    /// What is known of it.
    outcome: outcome::Outcome,
    /// When it is worth to ask again.
    retry_after: time::Duration,
}

/// A request with all that its tries need.
#[derive(Debug)]
struct Call<'a> {
    /// What the caller asks for.
    parsed: &'a request::ParsedRequest,
    /// The name of the request.
    request_id: &'a str,
    /// The balancer of the service.
    balancer: sync::Arc<balancer::Balancer>,
    /// Whether it may run more than once.
    repeatable: bool,
    /// Its priority.
    priority: u32,
    /// When it came.
    came: time::Duration,
    /// When its caller stops waiting.
    deadline: time::Duration,
}

impl Traffic {
    /// Serves a request of a caller.
    pub async fn serve(
        self: sync::Arc<Self>,
        request: hyper::Request<body::Incoming>,
    ) -> http_reply::Reply {
        let came = self.clock.now();
        let under_way = forward::UnderWay::new(&self.metrics.in_flight);
        let parsed = match request::read(request, self.limits.body).await {
            Ok(parsed) => parsed,
            Err(err) => return self.refuse("", "", not_run(why_bad(&err))),
        };
        let named = parsed.request_id.clone();
        let request_id = named.unwrap_or_else(|| self.name());
        let service = parsed.service.as_str();
        let call = match self.prepare(&parsed, &request_id, came) {
            Ok(call) => call,
            Err(rejection) => return self.refuse(service, &request_id, rejection),
        };
        match self.run(&call, under_way).await {
            Ok(answer) => answer,
            Err(rejection) => {
                if rejection.outcome == outcome::Outcome::NotRun {
                    self.duplicates.forget(&duplicate_key(&parsed.service, &request_id));
                }
                self.refuse(service, &request_id, rejection)
            }
        }
    }

    /// Finds the balancer of a request and checks its name.
    fn prepare<'a>(
        &self,
        parsed: &'a request::ParsedRequest,
        request_id: &'a str,
        came: time::Duration,
    ) -> Result<Call<'a>, Rejection> {
        let balancers = self.balancers.load();
        let balancer = balancers.get(&parsed.service).ok_or(not_run(reply::GaveUp::NoService))?;
        let service = balancer.service().ok_or(not_run(reply::GaveUp::NoService))?;
        let repeatable = parsed.repeatable.unwrap_or(service.repeatable);
        if !repeatable && parsed.request_id.is_some() {
            let key = duplicate_key(&parsed.service, request_id);
            if !self.duplicates.note(&key, came) {
                let outcome = outcome::Outcome::Unknown;
                let why = reply::GaveUp::Duplicate;
                return Err(Rejection { why, outcome, retry_after: LEAST_RETRY_AFTER });
            }
        }
        let patience = parsed.timeout.unwrap_or(time::Duration::from_millis(service.deadline_ms));
        Ok(Call {
            parsed,
            request_id,
            balancer: sync::Arc::clone(balancer),
            repeatable,
            priority: self.priority(parsed.class.as_ref()).unwrap_or(service.priority),
            came,
            deadline: came + patience,
        })
    }

    /// Returns the priority of a class.
    fn priority(&self, class: Option<&id::ClassId>) -> Option<u32> {
        self.snapshot.load().classes.get(class?).copied()
    }

    /// Makes tries until there is an answer, or no more may be made.
    async fn run(
        &self,
        call: &Call<'_>,
        under_way: forward::UnderWay,
    ) -> Result<http_reply::Reply, Rejection> {
        let mut tries = outcome::Tries::default();
        let mut failed_at = None;
        let service = call.parsed.service.as_str();
        call.balancer.first_try();
        loop {
            let permit = self.enter(call, &tries, failed_at).await?;
            let addr = permit.addr;
            let failure = match self.attempt(call, &permit).await {
                Ok((answer, sent)) => {
                    return Ok(self.pass_on(call, answer, permit, sent, under_way));
                }
                Err(err) => {
                    if err.leaving {
                        call.balancer.leaving(permit.addr);
                    }
                    err.failure
                }
            };
            self.metrics.failures.with_label_values(&[service, failure.label()]).inc();
            let now = self.clock.now();
            permit.failed(failure, now);
            tries.note(failure);
            failed_at = Some(addr);
            if failure == outcome::Failure::Refused && tries.refused < MAX_REFUSALS {
                // A full endpoint ran nothing and was asked little; the queue bounds the wait.
                continue;
            }
            let allowed = tries.made() < self.limits.tries && now < call.deadline;
            if !allowed || !tries.may_repeat(call.repeatable) || !call.balancer.may_retry() {
                return Err(given_up(failure, &tries));
            }
            self.metrics.retries.with_label_values(&[service]).inc();
        }
    }

    /// Waits for a place at an endpoint.
    async fn enter(
        &self,
        call: &Call<'_>,
        tries: &outcome::Tries,
        failed_at: Option<std::net::SocketAddr>,
    ) -> Result<balancer::Permit, Rejection> {
        let now = self.clock.now();
        let first = *tries == outcome::Tries::default();
        let entered =
            call.balancer.enter(call.priority, now, call.deadline, first, failed_at).await;
        entered.map_err(|none| {
            let (why, retry_after) = match none {
                balancer::NoPermit::NoEndpoint => (reply::GaveUp::NoEndpoint, LEAST_RETRY_AFTER),
                balancer::NoPermit::Overloaded(refused) => {
                    (reply::GaveUp::Overloaded, refused.retry_after)
                }
                balancer::NoPermit::Expired => (reply::GaveUp::Expired, LEAST_RETRY_AFTER),
            };
            Rejection { why, outcome: tries.outcome(), retry_after }
        })
    }

    /// Makes one try.
    async fn attempt(
        &self,
        call: &Call<'_>,
        permit: &balancer::Permit,
    ) -> Result<(endpoint::Answer, time::Duration), endpoint::TryError> {
        let sent = self.clock.now();
        let request = to_endpoint(call, permit);
        let patience = call.deadline.saturating_sub(sent);
        let answer = self.pool.exchange(permit.addr, request, patience).await?;
        Ok((answer, sent))
    }

    /// Passes an answer on to the caller.
    fn pass_on(
        &self,
        call: &Call<'_>,
        answer: endpoint::Answer,
        permit: balancer::Permit,
        sent: time::Duration,
        under_way: forward::UnderWay,
    ) -> http_reply::Reply {
        let service = call.parsed.service.to_string();
        let outcome = outcome::Outcome::Answered;
        self.metrics.requests.with_label_values(&[service.as_str(), outcome.label()]).inc();
        let (mut head, body) = answer.response.into_parts();
        request::strip_connection(&mut head.headers);
        head.version = hyper::Version::default();
        reply::mark(&mut head.headers, outcome, call.request_id);
        let now = self.clock.now();
        // A stream lasts as long as its caller likes, so it is counted apart from the slots.
        let permit = if call.parsed.watch {
            permit.answered(now.saturating_sub(sent), now);
            None
        } else {
            Some(permit)
        };
        let ending = forward::Ending {
            lease: answer.lease,
            permit,
            sent,
            came: call.came,
            service,
            // An endpoint that fails fast must not look idle.
            well: !head.status.is_server_error(),
            under_way,
        };
        let clock = sync::Arc::clone(&self.clock);
        let body = forward::Forward::new(body, ending, clock, self.metrics.clone());
        hyper::Response::from_parts(head, body.boxed_unsync())
    }

    /// Returns the final answer to a request that is given up.
    fn refuse(&self, service: &str, request_id: &str, rejection: Rejection) -> http_reply::Reply {
        // Only known services become labels, so that callers can't make metrics grow.
        let known = self.balancers.load().contains_key(&id::ServiceId::from(service));
        let service = if known { service } else { "" };
        self.metrics.requests.with_label_values(&[service, rejection.outcome.label()]).inc();
        self.metrics.gave_up.with_label_values(&[service, rejection.why.label()]).inc();
        reply::gave_up(rejection.why, rejection.outcome, request_id, rejection.retry_after)
    }

    /// Wakes waiting requests whose place became free by time alone.
    pub fn tick(&self) {
        let now = self.clock.now();
        for balancer in self.balancers.load().values() {
            balancer.tick(now);
        }
    }
}

/// Returns the key under which the name of a request is kept.
fn duplicate_key(service: &id::ServiceId, request_id: &str) -> String {
    format!("{service}/{request_id}")
}

/// Builds the request to an endpoint.
fn to_endpoint(
    call: &Call<'_>,
    permit: &balancer::Permit,
) -> hyper::Request<http_body_util::Full<bytes::Bytes>> {
    let parsed = call.parsed;
    let body = http_body_util::Full::new(parsed.body.clone());
    let mut request = hyper::Request::new(body);
    *request.method_mut() = parsed.method.clone();
    *request.uri_mut() = parsed.path.parse().unwrap_or_default();
    *request.headers_mut() = parsed.headers.clone();
    let headers = request.headers_mut();
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    if let Ok(host) = header::HeaderValue::from_str(&permit.addr.to_string()) {
        headers.insert(header::HOST, host);
    }
    if let Ok(id) = header::HeaderValue::from_str(call.request_id) {
        headers.insert(request::REQUEST_ID, id);
    }
    let flag = |yes: bool| header::HeaderValue::from_static(if yes { "yes" } else { "no" });
    headers.insert(request::REPEATABLE, flag(call.repeatable));
    if parsed.watch {
        headers.insert(request::WATCH, flag(true));
    }
    request
}

/// Returns the end of a request after its last try.
fn given_up(failure: outcome::Failure, tries: &outcome::Tries) -> Rejection {
    let why = match failure {
        outcome::Failure::TimedOut => reply::GaveUp::TimedOut,
        outcome::Failure::Refused => reply::GaveUp::Overloaded,
        outcome::Failure::NotSent | outcome::Failure::Lost => reply::GaveUp::Failed,
    };
    Rejection { why, outcome: tries.outcome(), retry_after: LEAST_RETRY_AFTER }
}

/// Returns the end of a request of which nothing was sent.
fn not_run(why: reply::GaveUp) -> Rejection {
    Rejection { why, outcome: outcome::Outcome::NotRun, retry_after: LEAST_RETRY_AFTER }
}

/// Returns why a request was not taken.
fn why_bad(err: &request::BadRequest) -> reply::GaveUp {
    match err {
        request::BadRequest::Body(server::ReadError::TooLarge { .. }) => {
            reply::GaveUp::BodyTooLarge
        }
        request::BadRequest::Body(_) => reply::GaveUp::BodyBroken,
        request::BadRequest::NoService | request::BadRequest::Header { .. } => {
            reply::GaveUp::BadRequest
        }
    }
}
