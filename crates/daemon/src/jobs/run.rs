//! Runs the job service on a host: opens its ports and routes calls of callers and operators.
//!
//! To stop, the host first releases its lease, so that another host can take over; calls in flight
//! get a grace period to complete.

use std::sync;
use std::sync::atomic;
use std::time;

use hyper::{Method, StatusCode, header};
use ractor::Actor;
use wharflane::{clock, job};
use wharflane_adapter::{advice, callers, store, workers};
use wharflane_caller::job as caller_job;
use wharflane_http::{excerpt, reply, request_body, server};
use wharflane_operator as operator;

use super::Shared;
use super::{halls, holder, service, watch};
use crate::caller_limits;
use crate::host;
use crate::metrics;
use crate::settings;

/// Largest body of a call; a job has at most 64 steps and a text of 4,000 bytes.
const MAX_BODY_BYTES: usize = 256 << 10;
/// Longest time that the body of a call may take to arrive.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Time to answer a call whose caller states no deadline.
const DEFAULT_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Part of the caller's time that is reserved for sending the answer back.
const RESPONSE_MARGIN: time::Duration = time::Duration::from_millis(50);
/// Longest time to wait at a stop until the lease is released.
const RELEASE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Interval between checks of whether the lease is released.
const RELEASE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Longest time that the holder may take to answer an operator's call.
const OPERATOR_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Runs the job service until `stop` completes.
///
/// # Errors
/// Returns `HostError` where a port can't be opened.
pub async fn run(
    settings: settings::Settings,
    addrs: (std::net::SocketAddr, Option<std::net::SocketAddr>),
    stop: impl Future<Output = ()>,
) -> Result<(), host::HostError> {
    let callers = host::listen(settings.caller_addr).await?;
    let operators = host::listen(settings.operator_addr).await?;
    let shared = build_shared(settings, addrs)?;
    let (holder, _) = Actor::spawn(None, holder::Holder, shared.clone()).await?;
    tokio::spawn(watch::follow_config(shared.clone(), holder.clone()));
    let (end, ended) = tokio::sync::oneshot::channel::<()>();
    let calls =
        CallHandler { shared: shared.clone(), service: service::Service::new(shared.clone()) };
    let limits = caller_limits::CallerLimits::new(&shared.settings, MAX_BODY_BYTES);
    let serving = tokio::spawn(server::serve_admitted(
        callers,
        limits.bounds,
        limits.admission(&shared.metrics),
        async move { drop(ended.await) },
        move |request| calls.clone().serve(request),
    ));
    let (api_shared, api_holder) = (shared.clone(), holder.clone());
    tokio::spawn(server::serve(
        operators,
        server::Bounds::default(),
        server::never(),
        move |request| answer_operator(api_shared.clone(), api_holder.clone(), request),
    ));
    let host = shared.settings.host.clone();
    tracing::info!(%host, callers = %shared.settings.caller_addr, nonce = shared.nonce, "host up");
    limits.log();
    stop.await;
    tracing::info!(%host, "host stopping");
    let notice = shared.settings.time("traffic", "stop_notice_ms");
    let grace = shared.settings.time("traffic", "stop_grace_ms");
    let closes_at = shared.clock.now() + notice + grace.saturating_sub(RESPONSE_MARGIN);
    shared.closes_at.get_or_init(|| closes_at);
    shared.stopping.store(true, atomic::Ordering::Relaxed);
    release_lease(&shared, &holder).await;
    tokio::time::sleep(notice).await;
    if end.send(()).is_err() {
        tracing::warn!("the callers' port was already closed");
    }
    if tokio::time::timeout(grace, serving).await.is_err() {
        tracing::warn!("calls cut at the end of the grace period");
    }
    tracing::info!(%host, "host down");
    Ok(())
}

/// Releases the lease, so that another host may acquire it at once.
async fn release_lease(shared: &Shared, holder: &ractor::ActorRef<holder::Msg>) {
    holder::send_event(shared, holder, job::Event::Leave);
    let released = async {
        loop {
            let response = holder.call(holder::Msg::IsReleased, Some(OPERATOR_TIMEOUT)).await;
            if matches!(response, Ok(ractor::rpc::CallResult::Success(true))) {
                return;
            }
            tokio::time::sleep(RELEASE_POLL_INTERVAL).await;
        }
    };
    if tokio::time::timeout(RELEASE_TIMEOUT, released).await.is_err() {
        tracing::warn!("the lease was not released in time");
    }
}

/// Builds the state that the parts of the job service share.
fn build_shared(
    settings: settings::Settings,
    (store, advisor): (std::net::SocketAddr, Option<std::net::SocketAddr>),
) -> Result<Shared, host::HostError> {
    let store_timeout = settings.time("jobs", "store_timeout_ms");
    let order_timeout = settings.time("jobs", "order_timeout_ms");
    Ok(Shared {
        settings: sync::Arc::new(settings),
        clock: sync::Arc::new(clock::SystemClock::new()),
        store: store::Store::new(store, store_timeout),
        workers: workers::Workers::new(order_timeout),
        advisor: advice::Advisor::new(advisor),
        queues: sync::Arc::default(),
        closed: sync::Arc::default(),
        backlogs: sync::Arc::default(),
        stopping: sync::Arc::default(),
        closes_at: sync::Arc::default(),
        contact: sync::Arc::default(),
        turned_away: sync::Arc::default(),
        metrics: metrics::Metrics::new()?,
        nonce: rand::random(),
    })
}

/// Serves the callers' port.
#[derive(Clone, Debug)]
struct CallHandler {
    /// State that the parts of the job service share.
    shared: Shared,
    /// Service that answers the parsed calls.
    service: service::Service,
}

impl CallHandler {
    /// Parses and answers one call, and logs and counts the answer.
    async fn serve(self, request: server::Request) -> reply::Reply {
        let received_at = self.shared.clock.now();
        let (head, body) = request.into_parts();
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let host = text(header::HOST.as_str()).unwrap_or_default();
        let timeout = text(callers::DEADLINE_HEADER).and_then(|text| text.parse().ok());
        let timeout = timeout.map_or(DEFAULT_TIMEOUT, time::Duration::from_millis);
        let deadline = received_at + timeout.saturating_sub(RESPONSE_MARGIN);
        let path = head.uri.path();
        let queues = self.shared.queues.load_full();
        // Paths of configured queues take precedence over the built-in ones.
        let built_in = path.starts_with(caller_job::PREFIX) && queues.route(host, path).is_none();
        let known_queue = if built_in {
            caller_job::names_queue(path, &queues)
        } else {
            queues.route(host, path).is_some()
        };
        let logged_path = excerpt::of(path);
        let read = if queues.revision > 0 && known_queue && head.method == Method::POST {
            request_body::read(body, MAX_BODY_BYTES, BODY_TIMEOUT).await
        } else {
            // The head alone decides.
            body.discard();
            Ok(bytes::Bytes::new())
        };
        let answer = match read {
            _ if queues.revision == 0 => self.service.without_configuration(logged_path, deadline),
            Err(request_body::ReadError::NoRoom(_)) => {
                self.service.without_room(logged_path, deadline)
            }
            Err(err) => {
                tracing::info!(path = logged_path, %err, "the body of a call can't be read");
                job::Answer::BadBody
            }
            Ok(body) => {
                let call = if built_in {
                    caller_job::read(&head.method, path, &body, &queues)
                } else {
                    callers::read(&head.method, host, path, &body, &queues)
                };
                match call {
                    // In a box of its own it takes no memory of requests whose body is incomplete.
                    Ok(call) => Box::pin(self.service.answer(call, &queues, deadline)).await,
                    Err(answer) => answer,
                }
            }
        };
        let took = self.shared.clock.now().saturating_sub(received_at);
        let outcome = answer.label();
        self.shared.metrics.requests.with_label_values(&["jobs", outcome]).inc();
        self.shared.metrics.latency.with_label_values(&["jobs"]).observe(took.as_secs_f64());
        let took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        tracing::info!(
            method = head.method.as_str(),
            path = logged_path,
            revision = queues.revision,
            took_ms,
            ?answer,
            "call answered"
        );
        if built_in { caller_job::write(&answer) } else { callers::write(&answer) }
    }
}

/// Returns the status that is shown to operators.
fn status(shared: &Shared) -> operator::Status {
    let closed = shared.closed.load();
    let closed = closed.iter().map(|(hall, since_s)| (hall.to_string(), *since_s));
    operator::Status {
        host: shared.settings.host.to_string(),
        build: wharflane_build::DESCRIPTION.to_owned(),
        revision: shared.queues.load().revision,
        platform_up: shared.metrics.platform_up.get() == 1,
        stopping: shared.stopping.load(atomic::Ordering::Relaxed),
        closed_since_s: closed.collect(),
        ..operator::Status::default()
    }
}

/// Answers a host that found the lease of this one standing still; `path` names its claim.
async fn answer_claim(holder: &ractor::ActorRef<holder::Msg>, path: &str) -> reply::Reply {
    let claim = path.split_once('/').and_then(|(version, delay_ms)| {
        let delay = time::Duration::from_millis(delay_ms.parse().ok()?);
        Some((version.parse().ok()?, delay))
    });
    let Some((version, delay)) = claim else {
        return reply::problem(StatusCode::BAD_REQUEST, "no-claim", "no version and delay named");
    };
    let ask = |port| holder::Msg::ClaimLease { version, delay, port };
    let answer = match holder.call(ask, Some(OPERATOR_TIMEOUT)).await {
        Ok(ractor::rpc::CallResult::Success(answer)) => answer,
        _ => return reply::problem(StatusCode::SERVICE_UNAVAILABLE, "busy", "no answer in time"),
    };
    let answer = match answer {
        job::LeaseClaim::Claimed { claimed_for } => operator::LeaseClaim::Claimed {
            at_least_ms: u64::try_from(claimed_for.as_millis()).unwrap_or(u64::MAX),
        },
        job::LeaseClaim::Vacated => operator::LeaseClaim::Vacated,
    };
    reply::json(StatusCode::OK, &answer)
}

/// Routes one request of an operator or the load balancer by method and path.
async fn answer_operator(
    shared: Shared,
    holder: ractor::ActorRef<holder::Msg>,
    request: server::Request,
) -> reply::Reply {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/ready") if shared.is_ready() => {
            reply::text(StatusCode::OK, "ready\n".to_owned())
        }
        (&Method::GET, "/ready") => reply::problem(
            StatusCode::SERVICE_UNAVAILABLE,
            "not-ready",
            "no configuration, no store, or stopping",
        ),
        (&Method::GET, "/live") => reply::text(StatusCode::OK, "live\n".to_owned()),
        (&Method::GET, "/metrics") => reply::text(StatusCode::OK, shared.metrics.text()),
        (&Method::GET, "/status") => reply::json(StatusCode::OK, &status(&shared)),
        (&Method::PUT | &Method::DELETE, path) if path.starts_with(operator::CLOSED_HALLS) => {
            let closes = request.method() == Method::PUT;
            halls::set_closed(&shared, &path[operator::CLOSED_HALLS.len()..], closes).await
        }
        (&Method::GET, path) if path.starts_with(operator::LEASE_CLAIM) => {
            answer_claim(&holder, &path[operator::LEASE_CLAIM.len()..]).await
        }
        (&Method::GET, "/dump") => {
            let response = holder.call(holder::Msg::Dump, Some(OPERATOR_TIMEOUT)).await;
            match response {
                Ok(ractor::rpc::CallResult::Success(dump)) => reply::json(StatusCode::OK, &dump),
                _ => reply::problem(StatusCode::SERVICE_UNAVAILABLE, "busy", "no answer in time"),
            }
        }
        _ => reply::problem(StatusCode::NOT_FOUND, "no-such-path", "no such path"),
    }
}
