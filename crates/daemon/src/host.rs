//! Runs a host: opens its ports, starts control and traffic, and shuts down without cutting
//! requests.
//!
//! To stop, the host first reports itself as not ready and releases its halls; requests in flight
//! get a grace period to complete.

use std::io;
use std::net;
use std::sync;
use std::time;

use hyper::Method;
use hyper::StatusCode;
use ractor::Actor;
use tokio::runtime;
use wharflane::clock;
use wharflane_http::{reply, request_body, server};
use wharflane_operator as operator;
use wharflane_peer as peer;
use wharflane_platform as platform;
use wharflane_worker as worker;

use crate::caller_limits;
use crate::control;
use crate::control::{config, msg, root};
use crate::jobs;
use crate::metrics;
use crate::settings;
use crate::traffic;

/// Longest time that the root actor may take to answer an operator's call.
const OPERATOR_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Longest time to wait at a stop until all halls are released.
const RELEASE_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Interval at which queued requests are checked for endpoints that became free as time passed,
/// without an event.
const QUEUE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Interval between checks of whether all halls are released at a stop.
const STOP_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Why a host can't run.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// A port can't be opened.
    #[error("can't listen on {addr}")]
    Listen {
        /// The address that was to be bound.
        addr: net::SocketAddr,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The runtime of a thread can't be set up.
    #[error("can't start a thread")]
    Thread(#[source] io::Error),
    /// The root actor or one that it starts failed to start.
    #[error("can't start control")]
    Control(#[from] ractor::SpawnErr),
    /// The metrics can't be registered.
    #[error(transparent)]
    Metrics(#[from] metrics::MetricError),
}

/// Runs a host until `stop` completes; control runs on the calling thread.
///
/// # Errors
/// Returns `HostError` where a port can't be opened or a thread can't be started.
pub async fn run(
    settings: settings::Settings,
    stop: impl Future<Output = ()>,
) -> Result<(), HostError> {
    let platform_addr = match settings.mode {
        settings::Mode::Jobs { store, advisor } => {
            return jobs::run::run(settings, (store, advisor), stop).await;
        }
        settings::Mode::Declared { platform } => platform,
    };
    let callers = listen(settings.caller_addr).await?;
    let operators = listen(settings.operator_addr).await?;
    let peers = listen(settings.peer_addr).await?;
    let settings = sync::Arc::new(settings);
    let shared = build_shared(&settings, platform_addr)?;
    let view = sync::Arc::<sync::Mutex<root::PeerView>>::default();
    let args = (shared.clone(), sync::Arc::clone(&view));
    let (root, _) = Actor::spawn(None, root::Root, args).await?;
    tokio::spawn(peer::serve(peers, peer::IDLE_TIMEOUT, peer_answers(&root, &view)));
    let api =
        OperatorApi { shared: shared.clone(), root: root.clone(), drain: sync::Arc::default() };
    let drain = sync::Arc::clone(&api.drain);
    tokio::spawn(server::serve(
        operators,
        server::Bounds::default(),
        server::never(),
        move |request| api.clone().serve(request),
    ));
    let largest_body_bytes = settings.count("traffic", "body_limit_bytes");
    let limits = caller_limits::CallerLimits::new(&settings, largest_body_bytes);
    let threads = start_traffic(&settings, &shared, limits, callers)?;
    tracing::info!(host = %settings.host, callers = %settings.caller_addr, "host up");
    limits.log();
    tokio::select! {
        () = stop => {}
        () = drain.notified() => {}
    }
    shut_down(&settings, &root, threads).await;
    tracing::info!(host = %settings.host, "host down");
    Ok(())
}

/// The traffic threads and the channels that shut them down.
struct TrafficThreads {
    /// The runtime that serves requests.
    runtime: runtime::Runtime,
    /// Makes the server stop accepting requests.
    stop: tokio::sync::oneshot::Sender<()>,
    /// Completes once every request has ended.
    done: tokio::sync::oneshot::Receiver<()>,
}

/// Starts the threads that serve requests.
fn start_traffic(
    settings: &settings::Settings,
    shared: &control::Shared,
    limits: caller_limits::CallerLimits,
    callers: tokio::net::TcpListener,
) -> Result<TrafficThreads, HostError> {
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(settings.count("traffic", "threads"))
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(HostError::Thread)?;
    let admission = limits.admission(&shared.metrics);
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let (ended, done) = tokio::sync::oneshot::channel();
    let traffic = sync::Arc::clone(&shared.traffic);
    let listen = callers.into_std().map_err(HostError::Thread)?;
    runtime.spawn(tick_queues(sync::Arc::clone(&traffic)));
    runtime.spawn(async move {
        let Ok(callers) = tokio::net::TcpListener::from_std(listen) else {
            return;
        };
        let stopped = async move {
            // A dropped sender stops the server as well.
            drop(stopped.await);
        };
        let handle = move |request| sync::Arc::clone(&traffic).serve(request);
        server::serve_admitted(callers, limits.bounds, admission, stopped, handle).await;
        let _ = ended.send(());
    });
    Ok(TrafficThreads { runtime, stop, done })
}

/// Grants queued requests at an interval.
async fn tick_queues(traffic: sync::Arc<traffic::Traffic>) {
    let mut interval = tokio::time::interval(QUEUE_POLL_INTERVAL);
    loop {
        interval.tick().await;
        traffic.tick();
    }
}

/// Shuts down: reports not ready, releases the halls and waits for requests in flight.
async fn shut_down(
    settings: &settings::Settings,
    root: &ractor::ActorRef<msg::Msg>,
    threads: TrafficThreads,
) {
    let _ = root.cast(msg::Msg::Leave);
    tracing::info!("host stopping");
    tokio::time::sleep(settings.time("traffic", "stop_notice_ms")).await;
    let _ = threads.stop.send(());
    let grace = settings.time("traffic", "stop_grace_ms");
    if tokio::time::timeout(grace, threads.done).await.is_err() {
        tracing::warn!("requests cut at the end of the grace period");
    }
    let released = async {
        while !all_halls_released(root).await {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    };
    if tokio::time::timeout(RELEASE_TIMEOUT, released).await.is_err() {
        tracing::warn!("halls not released in time");
    }
    threads.runtime.shutdown_background();
}

/// Returns whether every hall is released.
async fn all_halls_released(root: &ractor::ActorRef<msg::Msg>) -> bool {
    let response = root.call(msg::Msg::IsReleased, Some(OPERATOR_TIMEOUT)).await;
    matches!(response, Ok(ractor::rpc::CallResult::Success(true)))
}

/// Binds a TCP listener.
pub(crate) async fn listen(addr: net::SocketAddr) -> Result<tokio::net::TcpListener, HostError> {
    let bound = tokio::net::TcpListener::bind(addr).await;
    bound.map_err(|source| HostError::Listen { addr, source })
}

/// Builds the state that all actors share.
fn build_shared(
    settings: &sync::Arc<settings::Settings>,
    platform_addr: net::SocketAddr,
) -> Result<control::Shared, HostError> {
    let clock: sync::Arc<dyn clock::Clock> = sync::Arc::new(clock::SystemClock::new());
    let metrics = metrics::Metrics::new()?;
    let nonce = rand::random();
    let traffic = traffic::Traffic::new(settings, sync::Arc::clone(&clock), metrics.clone(), nonce);
    Ok(control::Shared {
        settings: sync::Arc::clone(settings),
        clock,
        platform: platform::Platform::new(platform_addr, settings.time("platform", "timeout_ms")),
        workers: worker::Workers::new(settings.time("control", "sync_ms")),
        traffic: sync::Arc::new(traffic),
        metrics,
        nonce,
    })
}

/// Builds the handlers for calls from peers.
fn peer_answers(
    root: &ractor::ActorRef<msg::Msg>,
    view: &sync::Arc<sync::Mutex<root::PeerView>>,
) -> peer::Handlers {
    let root = root.clone();
    let gossip_view = sync::Arc::clone(view);
    let handover_view = sync::Arc::clone(view);
    let gossip = move |gossip: peer::Gossip| {
        let _ = root.cast(msg::Msg::Gossip(gossip));
        let view = gossip_view.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let revision = view.config.as_ref().map_or(0, |loaded| loaded.current.revision);
        peer::GossipReply { revision }
    };
    let handover = move || {
        let view = handover_view.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let config = view.config.as_ref().map(|loaded| (*loaded.stored).clone());
        peer::Handover { config, tables: view.tables.values().cloned().collect() }
    };
    peer::Handlers { gossip: sync::Arc::new(gossip), handover: sync::Arc::new(handover) }
}

/// Serves the operators' HTTP interface.
#[derive(Clone, Debug)]
struct OperatorApi {
    /// State that all actors share.
    shared: control::Shared,
    /// The root actor, which answers status and dump calls.
    root: ractor::ActorRef<msg::Msg>,
    /// Notified when an operator asks the host to stop.
    drain: sync::Arc<tokio::sync::Notify>,
}

impl OperatorApi {
    /// Routes one request by method and path.
    async fn serve(self, request: server::Request) -> reply::Reply {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/apply") => self.apply(request.into_body()).await,
            (&Method::GET, "/status") => match self.status().await {
                Some(status) => reply::json(StatusCode::OK, &status),
                None => control_timed_out(),
            },
            (&Method::GET, "/dump") => {
                let response = self.root.call(msg::Msg::Dump, Some(OPERATOR_TIMEOUT)).await;
                match response {
                    Ok(ractor::rpc::CallResult::Success(dump)) => {
                        reply::json(StatusCode::OK, &dump)
                    }
                    _ => control_timed_out(),
                }
            }
            (&Method::GET, "/metrics") => reply::text(StatusCode::OK, self.shared.metrics.text()),
            (&Method::GET, "/live") => reply::text(StatusCode::OK, "live\n".to_owned()),
            (&Method::GET, "/ready") => self.ready().await,
            (&Method::POST, "/drain") => {
                self.drain.notify_one();
                reply::text(StatusCode::ACCEPTED, "stopping\n".to_owned())
            }
            _ => reply::problem(StatusCode::NOT_FOUND, "no-such-path", "no such path"),
        }
    }

    /// Applies a configuration submitted by an operator.
    async fn apply(&self, body: request_body::RequestBody) -> reply::Reply {
        // JSON may escape one byte of the text as six.
        let limit = wharflane::desired::MAX_TEXT_BYTES * 6;
        let body = match request_body::read(body, limit, OPERATOR_TIMEOUT).await {
            Ok(body) => body,
            Err(err) => {
                let status = StatusCode::PAYLOAD_TOO_LARGE;
                return reply::problem(status, "body", &err.to_string());
            }
        };
        let Ok(apply) = serde_json::from_slice::<operator::Apply>(&body) else {
            let status = StatusCode::BAD_REQUEST;
            return reply::problem(status, "bad-request", "the body is no submission");
        };
        let applied = config::apply(&self.shared, &apply).await;
        if let operator::Applied::Accepted { revision } = &applied {
            let _ = self.root.cast(msg::Msg::RevisionAnnounced(*revision));
        }
        reply::json(StatusCode::OK, &applied)
    }

    /// Requests the status from the root actor; `None` if it does not answer in time.
    async fn status(&self) -> Option<operator::Status> {
        let response = self.root.call(msg::Msg::Status, Some(OPERATOR_TIMEOUT)).await;
        match response {
            Ok(ractor::rpc::CallResult::Success(status)) => Some(status),
            _ => None,
        }
    }

    /// Reports to the load balancer whether this host accepts requests.
    async fn ready(&self) -> reply::Reply {
        let status = self.status().await;
        let ready = status.is_some_and(|status| status.revision > 0 && !status.stopping);
        if ready {
            return reply::text(StatusCode::OK, "ready\n".to_owned());
        }
        let status = StatusCode::SERVICE_UNAVAILABLE;
        reply::problem(status, "not-ready", "no configuration, or stopping")
    }
}

/// Returns the response for a root actor that did not answer in time.
fn control_timed_out() -> reply::Reply {
    reply::problem(StatusCode::SERVICE_UNAVAILABLE, "busy", "control did not answer in time")
}
