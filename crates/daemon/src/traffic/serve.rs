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

/// The part of the time left after which a try without an answer counts as silent: a second try then has as
/// long as the first had.
const QUIET_PART: u32 = 2;

/// The start of an answer and when its request was sent, or why there is none.
type Tried = Result<(endpoint::Answer, time::Duration), endpoint::AttemptError>;

/// An answer on its way.
#[derive(Debug)]
struct Answered {
    /// Its start.
    answer: endpoint::Answer,
    /// The place at the endpoint.
    permit: balancer::Permit,
    /// When the request was sent to the endpoint.
    sent: time::Duration,
}

/// A try without an answer.
#[derive(Clone, Copy, Debug)]
struct Failed {
    /// What is known of it.
    failure: outcome::Failure,
    /// The endpoint.
    addr: std::net::SocketAddr,
}

/// What two tries beside each other came to.
#[derive(Debug)]
enum Beside {
    /// The end of the first.
    First(Tried),
    /// The second was answered before.
    Second(Answered),
}

/// A request that ended without an answer.
#[derive(Clone, Copy, Debug)]
struct Rejection {
    /// Why.
    why: reply::RequestError,
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
        let balancer =
            balancers.get(&parsed.service).ok_or(not_run(reply::RequestError::NoService))?;
        let service = balancer.service().ok_or(not_run(reply::RequestError::NoService))?;
        let repeatable = parsed.repeatable.unwrap_or(service.repeatable);
        if !repeatable && parsed.request_id.is_some() {
            let key = duplicate_key(&parsed.service, request_id);
            if !self.duplicates.note(&key, came) {
                let outcome = outcome::Outcome::Unknown;
                let why = reply::RequestError::Duplicate;
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
        let mut tries = outcome::Attempts::default();
        let mut avoid = balancer::Avoid::Nothing;
        call.balancer.first_try();
        loop {
            let permit = self.enter(call, &tries, avoid).await?;
            let failure = match self.attempt_with_help(call, permit, &mut tries).await {
                Ok(answered) => return Ok(self.pass_on(call, answered, under_way)),
                Err(failed) => {
                    avoid = avoid_after(&failed);
                    failed.failure
                }
            };
            if failure == outcome::Failure::Refused && tries.refused < MAX_REFUSALS {
                // A full endpoint ran nothing and was asked little; the queue bounds the wait.
                continue;
            }
            if !self.try_left(call, &tries) || !call.balancer.may_retry() {
                return Err(given_up(failure, &tries));
            }
            self.count_retry(call);
        }
    }

    /// Returns whether one more try may be made, but for the retry budget.
    fn try_left(&self, call: &Call<'_>, tries: &outcome::Attempts) -> bool {
        let allowed = tries.made() < self.limits.tries && self.clock.now() < call.deadline;
        allowed && tries.may_repeat(call.repeatable)
    }

    /// Counts a retry.
    fn count_retry(&self, call: &Call<'_>) {
        self.metrics.retries.with_label_values(&[call.parsed.service.as_str()]).inc();
    }

    /// Makes one try, and a second beside it where the first has no answer after its share of the time.
    async fn attempt_with_help(
        &self,
        call: &Call<'_>,
        permit: balancer::Permit,
        tries: &mut outcome::Attempts,
    ) -> Result<Answered, Failed> {
        let addr = permit.addr;
        let patience = call.deadline.saturating_sub(self.clock.now()) / QUIET_PART;
        let mut first = std::pin::pin!(self.attempt(call, permit.addr));
        let quick = tokio::time::timeout(patience, first.as_mut()).await;
        let ended = match quick {
            Ok(ended) => ended,
            Err(_elapsed) => {
                self.suspect(call, addr, patience);
                match self.beside(call, first.as_mut(), addr, tries).await {
                    Beside::First(ended) => ended,
                    Beside::Second(answered) => {
                        self.note(call, permit, outcome::Failure::TimedOut, tries);
                        return Ok(answered);
                    }
                }
            }
        };
        match ended {
            Ok((answer, sent)) => Ok(Answered { answer, permit, sent }),
            Err(err) => Err(self.failed(call, permit, &err, tries)),
        }
    }

    /// Makes a second try beside one that may be silent, and returns the first answer of both.
    async fn beside(
        &self,
        call: &Call<'_>,
        mut first: std::pin::Pin<&mut impl Future<Output = Tried>>,
        addr: std::net::SocketAddr,
        tries: &mut outcome::Attempts,
    ) -> Beside {
        // The first may have run, and may yet answer: it counts as open for the second.
        let mut open = *tries;
        open.note(outcome::Failure::TimedOut);
        if !self.try_left(call, &open) || !call.balancer.may_retry() {
            return Beside::First(first.await);
        }
        self.count_retry(call);
        let mut second = std::pin::pin!(self.second(call, addr, open));
        tokio::select! {
            ended = first.as_mut() => match ended {
                Ok(answered) => Beside::First(Ok(answered)),
                Err(err) => match second.await {
                    Ok(answered) => Beside::Second(answered),
                    Err(more) => {
                        more.into_iter().for_each(|failure| tries.note(failure));
                        Beside::First(Err(err))
                    }
                },
            },
            ended = second.as_mut() => match ended {
                Ok(answered) => Beside::Second(answered),
                Err(more) => {
                    more.into_iter().for_each(|failure| tries.note(failure));
                    Beside::First(first.await)
                }
            },
        }
    }

    /// Makes the second of two tries, at another endpoint where one has room; returns its failure if it was made.
    async fn second(
        &self,
        call: &Call<'_>,
        failed_at: std::net::SocketAddr,
        mut tries: outcome::Attempts,
    ) -> Result<Answered, Option<outcome::Failure>> {
        let entered = self.enter(call, &tries, balancer::Avoid::Failed(failed_at)).await;
        let permit = entered.map_err(|_rejection| None)?;
        match self.attempt(call, permit.addr).await {
            Ok((answer, sent)) => Ok(Answered { answer, permit, sent }),
            Err(err) => Err(Some(self.failed(call, permit, &err, &mut tries).failure)),
        }
    }

    /// Closes the idle connections of an endpoint that may be silent.
    fn suspect(&self, call: &Call<'_>, addr: std::net::SocketAddr, quiet: time::Duration) {
        let retired = self.pool.retire(addr);
        if retired > 0 {
            let (service, request) = (call.parsed.service.as_str(), call.request_id);
            tracing::info!(service, request, %addr, ?quiet, retired, "no answer for half of the time");
        }
    }

    /// Notes the end of a try without an answer.
    fn failed(
        &self,
        call: &Call<'_>,
        permit: balancer::Permit,
        err: &endpoint::AttemptError,
        tries: &mut outcome::Attempts,
    ) -> Failed {
        let addr = permit.addr;
        if err.leaving {
            call.balancer.leaving(addr);
        }
        if err.retired > 0 {
            let (service, request) = (call.parsed.service.as_str(), call.request_id);
            tracing::info!(service, request, %addr, retired = err.retired, "no answer in time");
        }
        self.note(call, permit, err.failure, tries);
        Failed { failure: err.failure, addr }
    }

    /// Notes a failure at an endpoint.
    fn note(
        &self,
        call: &Call<'_>,
        permit: balancer::Permit,
        failure: outcome::Failure,
        tries: &mut outcome::Attempts,
    ) {
        let service = call.parsed.service.as_str();
        self.metrics.failures.with_label_values(&[service, failure.label()]).inc();
        permit.failed(failure, self.clock.now());
        tries.note(failure);
    }

    /// Waits for a place at an endpoint.
    async fn enter(
        &self,
        call: &Call<'_>,
        tries: &outcome::Attempts,
        avoid: balancer::Avoid,
    ) -> Result<balancer::Permit, Rejection> {
        let now = self.clock.now();
        let first = *tries == outcome::Attempts::default();
        let entered = call.balancer.enter(call.priority, now, call.deadline, first, avoid).await;
        entered.map_err(|none| {
            let (why, retry_after) = match none {
                balancer::NoPermit::NoEndpoint => {
                    (reply::RequestError::NoEndpoint, LEAST_RETRY_AFTER)
                }
                balancer::NoPermit::Overloaded(refused) => {
                    (reply::RequestError::Overloaded, refused.retry_after)
                }
                balancer::NoPermit::Expired => (reply::RequestError::Expired, LEAST_RETRY_AFTER),
            };
            Rejection { why, outcome: tries.outcome(), retry_after }
        })
    }

    /// Makes one try.
    async fn attempt(&self, call: &Call<'_>, addr: std::net::SocketAddr) -> Tried {
        let sent = self.clock.now();
        let request = to_endpoint(call, addr);
        let patience = call.deadline.saturating_sub(sent);
        let answer = self.pool.exchange(addr, request, patience).await?;
        Ok((answer, sent))
    }

    /// Passes an answer on to the caller.
    fn pass_on(
        &self,
        call: &Call<'_>,
        answered: Answered,
        under_way: forward::UnderWay,
    ) -> http_reply::Reply {
        let Answered { answer, permit, sent } = answered;
        let service = call.parsed.service.to_string();
        let outcome = outcome::Outcome::Answered;
        self.metrics.requests.with_label_values(&[service.as_str(), outcome.label()]).inc();
        let (mut head, body) = answer.response.into_parts();
        request::strip_connection(&mut head.headers);
        head.version = hyper::Version::default();
        reply::set_outcome_headers(&mut head.headers, outcome, call.request_id);
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
        // A caller that waits for longer than the limit is not cut off sooner than it asked for.
        let left = call.deadline.saturating_sub(self.clock.now());
        let stall = (!call.parsed.watch).then_some(self.limits.stall.max(left));
        let body = forward::Forward::new(body, stall, ending, clock, self.metrics.clone());
        hyper::Response::from_parts(head, body.boxed_unsync())
    }

    /// Returns the final answer to a request that is given up.
    fn refuse(&self, service: &str, request_id: &str, rejection: Rejection) -> http_reply::Reply {
        // Only known services become labels, so that callers can't make metrics grow.
        let known = self.balancers.load().contains_key(&id::ServiceId::from(service));
        let service = if known { service } else { "" };
        self.metrics.requests.with_label_values(&[service, rejection.outcome.label()]).inc();
        self.metrics.gave_up.with_label_values(&[service, rejection.why.label()]).inc();
        reply::error_reply(rejection.why, rejection.outcome, request_id, rejection.retry_after)
    }

    /// Wakes waiting requests whose place became free by time alone.
    pub fn tick(&self) {
        let now = self.clock.now();
        for balancer in self.balancers.load().values() {
            balancer.tick(now);
        }
    }
}

/// Returns what a request avoids after a try.
fn avoid_after(failed: &Failed) -> balancer::Avoid {
    match failed.failure {
        outcome::Failure::Refused => balancer::Avoid::Full(failed.addr),
        _ => balancer::Avoid::Failed(failed.addr),
    }
}

/// Returns the key under which the name of a request is kept.
fn duplicate_key(service: &id::ServiceId, request_id: &str) -> String {
    format!("{service}/{request_id}")
}

/// Builds the request to an endpoint.
fn to_endpoint(
    call: &Call<'_>,
    addr: std::net::SocketAddr,
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
    if let Ok(host) = header::HeaderValue::from_str(&addr.to_string()) {
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
fn given_up(failure: outcome::Failure, tries: &outcome::Attempts) -> Rejection {
    let why = match failure {
        outcome::Failure::TimedOut => reply::RequestError::TimedOut,
        outcome::Failure::Refused => reply::RequestError::Overloaded,
        outcome::Failure::NotSent | outcome::Failure::Lost => reply::RequestError::Failed,
    };
    Rejection { why, outcome: tries.outcome(), retry_after: LEAST_RETRY_AFTER }
}

/// Returns the end of a request of which nothing was sent.
fn not_run(why: reply::RequestError) -> Rejection {
    Rejection { why, outcome: outcome::Outcome::NotRun, retry_after: LEAST_RETRY_AFTER }
}

/// Returns why a request was not taken.
fn why_bad(err: &request::BadRequest) -> reply::RequestError {
    match err {
        request::BadRequest::Body(server::ReadError::TooLarge { .. }) => {
            reply::RequestError::BodyTooLarge
        }
        request::BadRequest::Body(_) => reply::RequestError::BodyBroken,
        request::BadRequest::NoService | request::BadRequest::Header { .. } => {
            reply::RequestError::BadRequest
        }
    }
}
