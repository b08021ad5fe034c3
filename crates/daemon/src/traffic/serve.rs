//! Serves one request: waits for a place, makes tries within the budget, and tells the outcome.

use std::sync;
use std::time;

use http_body_util::BodyExt as _;
use hyper::body;
use hyper::header;
use wharflane::{id, outcome};
use wharflane_caller::{question, reply};
use wharflane_endpoint as endpoint;
use wharflane_http::reply as http_reply;
use wharflane_http::server;

use super::Traffic;
use super::forward;
use super::lane;

/// The shortest time after which a caller is told to come back.
const LEAST_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// The most refusals by full endpoints that a request bears.
const MAX_REFUSALS: u32 = 16;

/// A request that ended without an answer.
#[derive(Clone, Copy, Debug)]
struct End {
    /// Why.
    why: reply::GaveUp,
    /// What is known of it.
    outcome: outcome::Outcome,
    /// When it is worth to ask again.
    retry_after: time::Duration,
}

/// A request with all that its tries need.
#[derive(Debug)]
struct Job<'a> {
    /// What the caller asks for.
    question: &'a question::Question,
    /// The name of the request.
    request_id: &'a str,
    /// The lane of the service.
    lane: sync::Arc<lane::Lane>,
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
        let question = match question::read(request, self.limits.body).await {
            Ok(question) => question,
            Err(err) => return self.refuse("", "", not_run(why_bad(&err))),
        };
        let named = question.request_id.clone();
        let request_id = named.unwrap_or_else(|| self.name());
        let service = question.service.as_str();
        let job = match self.prepare(&question, &request_id, came) {
            Ok(job) => job,
            Err(end) => return self.refuse(service, &request_id, end),
        };
        match self.run(&job, under_way).await {
            Ok(answer) => answer,
            Err(end) => {
                if end.outcome == outcome::Outcome::NotRun {
                    self.duplicates.forget(&duplicate_key(&question.service, &request_id));
                }
                self.refuse(service, &request_id, end)
            }
        }
    }

    /// Finds the lane of a request and checks its name.
    fn prepare<'a>(
        &self,
        question: &'a question::Question,
        request_id: &'a str,
        came: time::Duration,
    ) -> Result<Job<'a>, End> {
        let lanes = self.lanes.load();
        let lane = lanes.get(&question.service).ok_or(not_run(reply::GaveUp::NoService))?;
        let service = lane.service().ok_or(not_run(reply::GaveUp::NoService))?;
        let repeatable = question.repeatable.unwrap_or(service.repeatable);
        if !repeatable && question.request_id.is_some() {
            let key = duplicate_key(&question.service, request_id);
            if !self.duplicates.note(&key, came) {
                let outcome = outcome::Outcome::Unknown;
                let why = reply::GaveUp::Duplicate;
                return Err(End { why, outcome, retry_after: LEAST_RETRY_AFTER });
            }
        }
        let patience = question.timeout.unwrap_or(time::Duration::from_millis(service.deadline_ms));
        Ok(Job {
            question,
            request_id,
            lane: sync::Arc::clone(lane),
            repeatable,
            priority: self.priority(question.class.as_ref()).unwrap_or(service.priority),
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
        job: &Job<'_>,
        under_way: forward::UnderWay,
    ) -> Result<http_reply::Reply, End> {
        let mut tries = outcome::Tries::default();
        let service = job.question.service.as_str();
        job.lane.first_try();
        loop {
            let turn = self.enter(job, &tries).await?;
            let failure = match self.attempt(job, &turn).await {
                Ok((answer, sent)) => {
                    return Ok(self.pass_on(job, answer, turn, sent, under_way));
                }
                Err(err) => {
                    if err.leaving {
                        job.lane.leaving(turn.addr);
                    }
                    err.failure
                }
            };
            self.metrics.failures.with_label_values(&[service, failure.label()]).inc();
            let now = self.clock.now();
            turn.failed(failure, now);
            tries.note(failure);
            if failure == outcome::Failure::Refused && tries.refused < MAX_REFUSALS {
                // A full endpoint ran nothing and was asked little; the queue bounds the wait.
                continue;
            }
            let allowed = tries.made() < self.limits.tries && now < job.deadline;
            if !allowed || !tries.may_repeat(job.repeatable) || !job.lane.may_retry() {
                return Err(given_up(failure, &tries));
            }
            self.metrics.retries.with_label_values(&[service]).inc();
        }
    }

    /// Waits for a place at an endpoint.
    async fn enter(&self, job: &Job<'_>, tries: &outcome::Tries) -> Result<lane::Turn, End> {
        let now = self.clock.now();
        let entered = job.lane.enter(job.priority, now, job.deadline, tries.made() == 0).await;
        entered.map_err(|none| {
            let (why, retry_after) = match none {
                lane::NoTurn::NoEndpoint => (reply::GaveUp::NoEndpoint, LEAST_RETRY_AFTER),
                lane::NoTurn::Overloaded(refused) => {
                    (reply::GaveUp::Overloaded, refused.retry_after)
                }
                lane::NoTurn::Expired => (reply::GaveUp::Expired, LEAST_RETRY_AFTER),
            };
            End { why, outcome: tries.outcome(), retry_after }
        })
    }

    /// Makes one try.
    async fn attempt(
        &self,
        job: &Job<'_>,
        turn: &lane::Turn,
    ) -> Result<(endpoint::Answer, time::Duration), endpoint::TryError> {
        let sent = self.clock.now();
        let request = to_endpoint(job, turn);
        let patience = job.deadline.saturating_sub(sent);
        let answer = self.pool.exchange(turn.addr, request, patience).await?;
        Ok((answer, sent))
    }

    /// Passes an answer on to the caller.
    fn pass_on(
        &self,
        job: &Job<'_>,
        answer: endpoint::Answer,
        turn: lane::Turn,
        sent: time::Duration,
        under_way: forward::UnderWay,
    ) -> http_reply::Reply {
        let service = job.question.service.to_string();
        let outcome = outcome::Outcome::Answered;
        self.metrics.requests.with_label_values(&[service.as_str(), outcome.label()]).inc();
        let (mut head, body) = answer.response.into_parts();
        question::strip_connection(&mut head.headers);
        head.version = hyper::Version::default();
        reply::mark(&mut head.headers, outcome, job.request_id);
        let now = self.clock.now();
        // A stream lasts as long as its caller likes, so it is counted apart from the slots.
        let turn = if job.question.watch {
            turn.answered(now.saturating_sub(sent), now);
            None
        } else {
            Some(turn)
        };
        let ending = forward::Ending {
            lease: answer.lease,
            turn,
            sent,
            came: job.came,
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
    fn refuse(&self, service: &str, request_id: &str, end: End) -> http_reply::Reply {
        // Only known services become labels, so that callers can't make metrics grow.
        let known = self.lanes.load().contains_key(&id::ServiceId::from(service));
        let service = if known { service } else { "" };
        self.metrics.requests.with_label_values(&[service, end.outcome.label()]).inc();
        self.metrics.gave_up.with_label_values(&[service, end.why.label()]).inc();
        reply::gave_up(end.why, end.outcome, request_id, end.retry_after)
    }

    /// Wakes waiting requests whose place became free by time alone.
    pub fn tick(&self) {
        let now = self.clock.now();
        for lane in self.lanes.load().values() {
            lane.tick(now);
        }
    }
}

/// Returns the key under which the name of a request is kept.
fn duplicate_key(service: &id::ServiceId, request_id: &str) -> String {
    format!("{service}/{request_id}")
}

/// Builds the request to an endpoint.
fn to_endpoint(
    job: &Job<'_>,
    turn: &lane::Turn,
) -> hyper::Request<http_body_util::Full<bytes::Bytes>> {
    let question = job.question;
    let body = http_body_util::Full::new(question.body.clone());
    let mut request = hyper::Request::new(body);
    *request.method_mut() = question.method.clone();
    *request.uri_mut() = question.path.parse().unwrap_or_default();
    *request.headers_mut() = question.headers.clone();
    let headers = request.headers_mut();
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    if let Ok(host) = header::HeaderValue::from_str(&turn.addr.to_string()) {
        headers.insert(header::HOST, host);
    }
    if let Ok(id) = header::HeaderValue::from_str(job.request_id) {
        headers.insert(question::REQUEST_ID, id);
    }
    let flag = |yes: bool| header::HeaderValue::from_static(if yes { "yes" } else { "no" });
    headers.insert(question::REPEATABLE, flag(job.repeatable));
    if question.watch {
        headers.insert(question::WATCH, flag(true));
    }
    request
}

/// Returns the end of a request after its last try.
fn given_up(failure: outcome::Failure, tries: &outcome::Tries) -> End {
    let why = match failure {
        outcome::Failure::TimedOut => reply::GaveUp::TimedOut,
        outcome::Failure::Refused => reply::GaveUp::Overloaded,
        outcome::Failure::NotSent | outcome::Failure::Lost => reply::GaveUp::Failed,
    };
    End { why, outcome: tries.outcome(), retry_after: LEAST_RETRY_AFTER }
}

/// Returns the end of a request of which nothing was sent.
fn not_run(why: reply::GaveUp) -> End {
    End { why, outcome: outcome::Outcome::NotRun, retry_after: LEAST_RETRY_AFTER }
}

/// Returns why a request was not taken.
fn why_bad(err: &question::BadQuestion) -> reply::GaveUp {
    match err {
        question::BadQuestion::Body(server::ReadError::TooLarge { .. }) => {
            reply::GaveUp::BodyTooLarge
        }
        question::BadQuestion::Body(_) => reply::GaveUp::BodyBroken,
        question::BadQuestion::NoService | question::BadQuestion::Header { .. } => {
            reply::GaveUp::BadRequest
        }
    }
}
