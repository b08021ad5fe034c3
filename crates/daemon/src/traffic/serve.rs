//! Serves one request: acquires a permit, makes attempts within the retry budget and reports the
//! outcome to the caller.
//!
//! A request that is not repeatable is sent again only if no earlier attempt can have run.

use std::sync;
use std::time;

use http_body_util::BodyExt as _;
use hyper::header;
use wharflane::{id, outcome};
use wharflane_caller::{reply, request};
use wharflane_endpoint as endpoint;
use wharflane_http::reply as http_reply;
use wharflane_http::{request_body, server};

use super::Traffic;
use super::balancer;
use super::forward;

/// Shortest retry delay that a caller is given.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Largest number of rejections by full endpoints that a request may meet.
const MAX_REFUSALS: u32 = 16;

/// Divisor of the time left that gives the delay of a hedged attempt; with half of the time, the
/// second attempt has as long as the first had.
const HEDGE_TIME_DIVISOR: u32 = 2;

/// The start of an answer with the clock reading when its request was sent, or why there is none.
type AttemptResult = Result<(endpoint::Answer, time::Duration), endpoint::AttemptError>;

/// An answer that is ready to be forwarded.
#[derive(Debug)]
struct AnsweredAttempt {
    /// Head and body of the answer.
    answer: endpoint::Answer,
    /// Permit at the endpoint.
    permit: balancer::Permit,
    /// Clock reading when the request was sent to the endpoint.
    sent: time::Duration,
}

/// An attempt without an answer.
#[derive(Clone, Copy, Debug)]
struct FailedAttempt {
    /// What is known about the failed attempt.
    failure: outcome::Failure,
    /// Address of the endpoint.
    addr: std::net::SocketAddr,
}

/// The result of an attempt with a hedged one in parallel.
#[derive(Debug)]
enum HedgedResult {
    /// The first attempt ended.
    First(AttemptResult),
    /// The hedged attempt was answered first.
    Second(AnsweredAttempt),
}

/// A request that ended without an answer.
#[derive(Clone, Copy, Debug)]
struct Rejection {
    /// Reason that is reported to the caller.
    why: reply::RequestError,
    /// Whether the request may have run.
    outcome: outcome::Outcome,
    /// Delay after which the caller may retry.
    retry_after: time::Duration,
}

/// A request with everything that its attempts need.
#[derive(Debug)]
struct Call<'a> {
    /// Request as parsed from the caller.
    parsed: &'a request::ParsedRequest,
    /// Id of the request, from the caller or assigned here.
    request_id: &'a str,
    /// Balancer of the service.
    balancer: sync::Arc<balancer::Balancer>,
    /// Whether the request may run more than once.
    repeatable: bool,
    /// Priority in the queue.
    priority: u32,
    /// Clock reading when the request arrived.
    received_at: time::Duration,
    /// Clock reading when the caller stops waiting.
    deadline: time::Duration,
}

impl Traffic {
    /// Serves a request of a caller.
    pub async fn serve(self: sync::Arc<Self>, request: server::Request) -> http_reply::Reply {
        let received_at = self.clock.now();
        let in_flight = forward::InFlightGuard::new(&self.metrics.in_flight);
        if let Some(rejection) = self.reject_by_head(&request) {
            request.into_body().discard();
            return self.reject("", "", rejection);
        }
        let parsed = match request::read(request, self.limits.body).await {
            Ok(parsed) => parsed,
            Err(err) => return self.reject("", "", not_run(bad_request_reason(&err))),
        };
        let named = parsed.request_id.clone();
        let request_id = named.unwrap_or_else(|| self.next_request_id());
        let service = parsed.service.as_str();
        let call = match self.prepare_call(&parsed, &request_id, received_at) {
            Ok(call) => call,
            Err(rejection) => return self.reject(service, &request_id, rejection),
        };
        // In a box of its own it takes no memory of requests whose body is incomplete.
        match Box::pin(self.run_attempts(&call, in_flight)).await {
            Ok(answer) => answer,
            Err(rejection) => {
                if rejection.outcome == outcome::Outcome::NotRun {
                    self.duplicates.forget(&duplicate_key(&parsed.service, &request_id));
                }
                self.reject(service, &request_id, rejection)
            }
        }
    }

    /// Returns the rejection of a request that its head alone decides, so that its body isn't kept.
    fn reject_by_head(&self, request: &server::Request) -> Option<Rejection> {
        let service = match request::service(request.uri()) {
            Ok(service) => service,
            Err(err) => return Some(not_run(bad_request_reason(&err))),
        };
        let known = self.balancers.load().contains_key(&service);
        (!known).then_some(not_run(reply::RequestError::NoService))
    }

    /// Finds the balancer of a request and rejects a repeated id.
    fn prepare_call<'a>(
        &self,
        parsed: &'a request::ParsedRequest,
        request_id: &'a str,
        received_at: time::Duration,
    ) -> Result<Call<'a>, Rejection> {
        let balancers = self.balancers.load();
        let balancer =
            balancers.get(&parsed.service).ok_or(not_run(reply::RequestError::NoService))?;
        let service = balancer.service().ok_or(not_run(reply::RequestError::NoService))?;
        let repeatable = parsed.repeatable.unwrap_or(service.repeatable);
        if !repeatable && parsed.request_id.is_some() {
            let key = duplicate_key(&parsed.service, request_id);
            if !self.duplicates.insert(&key, received_at) {
                let outcome = outcome::Outcome::Unknown;
                let why = reply::RequestError::Duplicate;
                return Err(Rejection { why, outcome, retry_after: MIN_RETRY_AFTER });
            }
        }
        let timeout = parsed.timeout.unwrap_or(time::Duration::from_millis(service.deadline_ms));
        Ok(Call {
            parsed,
            request_id,
            balancer: sync::Arc::clone(balancer),
            repeatable,
            priority: self.priority(parsed.class.as_ref()).unwrap_or(service.priority),
            received_at,
            deadline: received_at + timeout,
        })
    }

    /// Returns the priority of a class; `None` if the class is unknown.
    fn priority(&self, class: Option<&id::ClassId>) -> Option<u32> {
        self.snapshot.load().classes.get(class?).copied()
    }

    /// Makes attempts until one is answered or no further one is allowed.
    async fn run_attempts(
        &self,
        call: &Call<'_>,
        in_flight: forward::InFlightGuard,
    ) -> Result<http_reply::Reply, Rejection> {
        let mut attempts = outcome::Attempts::default();
        let mut avoid = balancer::Avoid::Nothing;
        call.balancer.record_first_attempt();
        loop {
            let permit = self.acquire_permit(call, &attempts, avoid).await?;
            let failure = match self.attempt_with_hedge(call, permit, &mut attempts).await {
                Ok(answered) => return Ok(self.forward_answer(call, answered, in_flight)),
                Err(failed) => {
                    avoid = avoid_after_failure(&failed);
                    failed.failure
                }
            };
            if failure == outcome::Failure::Refused && attempts.refused < MAX_REFUSALS {
                // A full endpoint ran nothing and a rejection costs it little; the queue bounds the
                // wait.
                continue;
            }
            if !self.may_attempt_again(call, &attempts) || !call.balancer.take_retry() {
                return Err(attempts_exhausted(failure, &attempts));
            }
            self.count_retry(call);
        }
    }

    /// Returns whether a further attempt is allowed, regardless of the retry budget.
    fn may_attempt_again(&self, call: &Call<'_>, attempts: &outcome::Attempts) -> bool {
        let allowed =
            attempts.made() < self.limits.max_attempts && self.clock.now() < call.deadline;
        allowed && attempts.may_repeat(call.repeatable)
    }

    /// Counts a retry.
    fn count_retry(&self, call: &Call<'_>) {
        self.metrics.retries.with_label_values(&[call.parsed.service.as_str()]).inc();
    }

    /// Makes one attempt, and a hedged one in parallel if the first has no answer after half of the
    /// time left.
    async fn attempt_with_hedge(
        &self,
        call: &Call<'_>,
        permit: balancer::Permit,
        attempts: &mut outcome::Attempts,
    ) -> Result<AnsweredAttempt, FailedAttempt> {
        let addr = permit.addr;
        let timeout = call.deadline.saturating_sub(self.clock.now()) / HEDGE_TIME_DIVISOR;
        let mut first = std::pin::pin!(self.attempt(call, permit.addr));
        let in_time = tokio::time::timeout(timeout, first.as_mut()).await;
        let ended = match in_time {
            Ok(ended) => ended,
            Err(_elapsed) => {
                self.retire_idle(call, addr, timeout);
                match self.hedge(call, first.as_mut(), addr, attempts).await {
                    HedgedResult::First(ended) => ended,
                    HedgedResult::Second(answered) => {
                        self.record_failure(call, permit, outcome::Failure::TimedOut, attempts);
                        return Ok(answered);
                    }
                }
            }
        };
        match ended {
            Ok((answer, sent)) => Ok(AnsweredAttempt { answer, permit, sent }),
            Err(err) => Err(self.record_failed_attempt(call, permit, &err, attempts)),
        }
    }

    /// Makes a hedged attempt in parallel to one that may be lost, and returns the first answer.
    async fn hedge(
        &self,
        call: &Call<'_>,
        mut first: std::pin::Pin<&mut impl Future<Output = AttemptResult>>,
        addr: std::net::SocketAddr,
        attempts: &mut outcome::Attempts,
    ) -> HedgedResult {
        // The first attempt may have run and may still be answered, so it counts as timed out for
        // the second.
        let mut open = *attempts;
        open.note(outcome::Failure::TimedOut);
        if !self.may_attempt_again(call, &open) || !call.balancer.take_retry() {
            return HedgedResult::First(first.await);
        }
        self.count_retry(call);
        let mut second = std::pin::pin!(self.second_attempt(call, addr, open));
        tokio::select! {
            ended = first.as_mut() => match ended {
                Ok(answered) => HedgedResult::First(Ok(answered)),
                Err(err) => match second.await {
                    Ok(answered) => HedgedResult::Second(answered),
                    Err(second_failure) => {
                        second_failure.into_iter().for_each(|failure| attempts.note(failure));
                        HedgedResult::First(Err(err))
                    }
                },
            },
            ended = second.as_mut() => match ended {
                Ok(answered) => HedgedResult::Second(answered),
                Err(second_failure) => {
                    second_failure.into_iter().for_each(|failure| attempts.note(failure));
                    HedgedResult::First(first.await)
                }
            },
        }
    }

    /// Makes the hedged attempt, at another endpoint if one has room; returns its failure if it was
    /// sent.
    async fn second_attempt(
        &self,
        call: &Call<'_>,
        failed_at: std::net::SocketAddr,
        mut attempts: outcome::Attempts,
    ) -> Result<AnsweredAttempt, Option<outcome::Failure>> {
        let acquired =
            self.acquire_permit(call, &attempts, balancer::Avoid::Failed(failed_at)).await;
        let permit = acquired.map_err(|_rejection| None)?;
        match self.attempt(call, permit.addr).await {
            Ok((answer, sent)) => Ok(AnsweredAttempt { answer, permit, sent }),
            Err(err) => {
                Err(Some(self.record_failed_attempt(call, permit, &err, &mut attempts).failure))
            }
        }
    }

    /// Closes the idle connections to an endpoint that may have gone silent.
    fn retire_idle(&self, call: &Call<'_>, addr: std::net::SocketAddr, quiet: time::Duration) {
        let retired = self.pool.retire(addr);
        if retired > 0 {
            let (service, request) = (call.parsed.service.as_str(), call.request_id);
            tracing::info!(
                service, request, %addr, ?quiet, retired,
                "no answer for half of the time"
            );
        }
    }

    /// Records the end of an attempt without an answer.
    fn record_failed_attempt(
        &self,
        call: &Call<'_>,
        permit: balancer::Permit,
        err: &endpoint::AttemptError,
        attempts: &mut outcome::Attempts,
    ) -> FailedAttempt {
        let addr = permit.addr;
        if err.leaving {
            call.balancer.mark_leaving(addr);
        }
        if err.retired > 0 {
            let (service, request) = (call.parsed.service.as_str(), call.request_id);
            tracing::info!(service, request, %addr, retired = err.retired, "no answer in time");
        }
        self.record_failure(call, permit, err.failure, attempts);
        FailedAttempt { failure: err.failure, addr }
    }

    /// Counts a failure and releases the permit with it.
    fn record_failure(
        &self,
        call: &Call<'_>,
        permit: balancer::Permit,
        failure: outcome::Failure,
        attempts: &mut outcome::Attempts,
    ) {
        let service = call.parsed.service.as_str();
        self.metrics.failures.with_label_values(&[service, failure.label()]).inc();
        permit.failed(failure, self.clock.now());
        attempts.note(failure);
    }

    /// Waits for a permit at an endpoint.
    async fn acquire_permit(
        &self,
        call: &Call<'_>,
        attempts: &outcome::Attempts,
        avoid: balancer::Avoid,
    ) -> Result<balancer::Permit, Rejection> {
        let now = self.clock.now();
        let first = *attempts == outcome::Attempts::default();
        let acquired = call.balancer.acquire(call.priority, now, call.deadline, first, avoid).await;
        acquired.map_err(|none| {
            let (why, retry_after) = match none {
                balancer::NoPermit::NoEndpoint => {
                    (reply::RequestError::NoEndpoint, MIN_RETRY_AFTER)
                }
                balancer::NoPermit::Overloaded(refused) => {
                    (reply::RequestError::Overloaded, refused.retry_after)
                }
                balancer::NoPermit::Expired => (reply::RequestError::Expired, MIN_RETRY_AFTER),
            };
            Rejection { why, outcome: attempts.outcome(), retry_after }
        })
    }

    /// Sends the request to an endpoint once.
    async fn attempt(&self, call: &Call<'_>, addr: std::net::SocketAddr) -> AttemptResult {
        let sent = self.clock.now();
        let request = endpoint_request(call, addr);
        let timeout = call.deadline.saturating_sub(sent);
        let answer = self.pool.exchange(addr, request, timeout).await?;
        Ok((answer, sent))
    }

    /// Forwards an answer to the caller.
    fn forward_answer(
        &self,
        call: &Call<'_>,
        answered: AnsweredAttempt,
        in_flight: forward::InFlightGuard,
    ) -> http_reply::Reply {
        let AnsweredAttempt { answer, permit, sent } = answered;
        let service = call.parsed.service.to_string();
        let outcome = outcome::Outcome::Answered;
        self.metrics.requests.with_label_values(&[service.as_str(), outcome.label()]).inc();
        let (mut head, body) = answer.response.into_parts();
        request::strip_connection(&mut head.headers);
        head.version = hyper::Version::default();
        reply::set_outcome_headers(&mut head.headers, outcome, call.request_id);
        let now = self.clock.now();
        // A stream lasts as long as its caller likes, so it holds no permit.
        let permit = if call.parsed.watch {
            permit.answered(now.saturating_sub(sent), now);
            None
        } else {
            Some(permit)
        };
        let context = forward::AnswerContext {
            lease: answer.lease,
            permit,
            sent,
            received_at: call.received_at,
            service,
            // An endpoint that fails fast must not appear idle.
            healthy: !head.status.is_server_error(),
            in_flight,
        };
        let clock = sync::Arc::clone(&self.clock);
        // A caller with a longer deadline than the limit is not cut off before that deadline.
        let left = call.deadline.saturating_sub(self.clock.now());
        let stall = (!call.parsed.watch).then_some(self.limits.stall.max(left));
        let body = forward::Forward::new(body, stall, context, clock, self.metrics.clone());
        hyper::Response::from_parts(head, body.boxed_unsync())
    }

    /// Returns the final answer to a request that is given up.
    fn reject(&self, service: &str, request_id: &str, rejection: Rejection) -> http_reply::Reply {
        // Only known services become labels, so that callers can't add metrics at will.
        let known = self.balancers.load().contains_key(&id::ServiceId::from(service));
        let service = if known { service } else { "" };
        self.metrics.requests.with_label_values(&[service, rejection.outcome.label()]).inc();
        self.metrics.gave_up.with_label_values(&[service, rejection.why.label()]).inc();
        reply::error_reply(rejection.why, rejection.outcome, request_id, rejection.retry_after)
    }

    /// Grants queued requests whose endpoint became free as time passed.
    pub fn tick(&self) {
        let now = self.clock.now();
        for balancer in self.balancers.load().values() {
            balancer.tick(now);
        }
    }
}

/// Returns which endpoint a request avoids after a failed attempt.
fn avoid_after_failure(failed: &FailedAttempt) -> balancer::Avoid {
    match failed.failure {
        outcome::Failure::Refused => balancer::Avoid::Full(failed.addr),
        _ => balancer::Avoid::Failed(failed.addr),
    }
}

/// Returns the key under which the id of a request is remembered.
fn duplicate_key(service: &id::ServiceId, request_id: &str) -> String {
    format!("{service}/{request_id}")
}

/// Builds the request to an endpoint.
fn endpoint_request(
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

/// Returns the rejection of a request after its last attempt.
fn attempts_exhausted(failure: outcome::Failure, attempts: &outcome::Attempts) -> Rejection {
    let why = match failure {
        outcome::Failure::TimedOut => reply::RequestError::TimedOut,
        outcome::Failure::Refused => reply::RequestError::Overloaded,
        outcome::Failure::NotSent | outcome::Failure::Lost => reply::RequestError::Failed,
    };
    Rejection { why, outcome: attempts.outcome(), retry_after: MIN_RETRY_AFTER }
}

/// Returns the rejection of a request of which nothing was sent.
fn not_run(why: reply::RequestError) -> Rejection {
    Rejection { why, outcome: outcome::Outcome::NotRun, retry_after: MIN_RETRY_AFTER }
}

/// Returns the reason to report for a malformed request.
fn bad_request_reason(err: &request::BadRequest) -> reply::RequestError {
    match err {
        request::BadRequest::Body(request_body::ReadError::TooLarge { .. }) => {
            reply::RequestError::BodyTooLarge
        }
        request::BadRequest::Body(request_body::ReadError::NoRoom(_)) => {
            reply::RequestError::NoRoom
        }
        request::BadRequest::Body(_) => reply::RequestError::BodyBroken,
        request::BadRequest::NoService | request::BadRequest::Header { .. } => {
            reply::RequestError::BadRequest
        }
    }
}
