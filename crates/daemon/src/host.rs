//! Runs an entry host: opens its ports, carries traffic, and stops without cutting a request.

use std::io;
use std::net;
use std::sync;
use std::time;

use hyper::Method;
use hyper::StatusCode;
use hyper::body;
use ractor::Actor;
use tokio::runtime;
use wharflane::clock;
use wharflane_http::{reply, server};
use wharflane_operator as operator;
use wharflane_peer as peer;
use wharflane_platform as platform;
use wharflane_worker as worker;

use crate::control;
use crate::control::{config, msg, root};
use crate::jobs;
use crate::metrics;
use crate::settings;
use crate::traffic;

/// How long an answer to an operator may take.
const OPERATOR_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// How long the halls may take to be given up at a stop.
const LEAVE_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// How often waiting requests are looked at for places that time has made free.
const QUEUE_TICK: time::Duration = time::Duration::from_millis(20);
/// The least time between looks at a stop's progress.
const STOP_TICK: time::Duration = time::Duration::from_millis(50);

/// Why a host could not run.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// A port could not be opened.
    #[error("can't listen on {addr}")]
    Listen {
        /// The address.
        addr: net::SocketAddr,
        /// The reason.
        #[source]
        source: io::Error,
    },
    /// A thread could not be started.
    #[error("can't start a thread")]
    Thread(#[source] io::Error),
    /// Control could not be started.
    #[error("can't start control")]
    Control(#[from] ractor::SpawnErr),
    /// The metrics could not be made.
    #[error(transparent)]
    Metrics(#[from] metrics::MetricError),
}

/// Runs a host until `stop` ends; the calling thread carries control.
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
    let shared = share(&settings, platform_addr)?;
    let known = sync::Arc::<sync::Mutex<root::Known>>::default();
    let link = (shared.clone(), sync::Arc::clone(&known));
    let (root, _) = Actor::spawn(None, root::Root, link).await?;
    tokio::spawn(peer::serve(peers, peer::IDLE_TIMEOUT, answers(&root, &known)));
    let api =
        OperatorApi { shared: shared.clone(), root: root.clone(), drain: sync::Arc::default() };
    let drain = sync::Arc::clone(&api.drain);
    tokio::spawn(server::serve(
        operators,
        server::Bounds::default(),
        server::never(),
        move |request| api.clone().serve(request),
    ));
    let threads = start_traffic(&settings, &shared, callers)?;
    tracing::info!(host = %settings.host, callers = %settings.caller_addr, "host up");
    tokio::select! {
        () = stop => {}
        () = drain.notified() => {}
    }
    wind_down(&settings, &root, threads).await;
    tracing::info!(host = %settings.host, "host down");
    Ok(())
}

/// The traffic threads and how they are told to stop.
struct TrafficThreads {
    /// The threads.
    runtime: runtime::Runtime,
    /// Ends the acceptance of requests.
    stop: tokio::sync::oneshot::Sender<()>,
    /// Ends when every request has ended.
    done: tokio::sync::oneshot::Receiver<()>,
}

/// Starts the threads that carry requests.
fn start_traffic(
    settings: &settings::Settings,
    shared: &control::Shared,
    callers: tokio::net::TcpListener,
) -> Result<TrafficThreads, HostError> {
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(settings.count("traffic", "threads"))
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(HostError::Thread)?;
    let bounds = server::Bounds {
        connections: settings.count("traffic", "caller_connections"),
        head_bytes: settings.count("traffic", "head_limit_bytes"),
        head_timeout: settings.time("traffic", "head_timeout_ms"),
        stall: settings.time("traffic", "stall_timeout_ms"),
        ..server::Bounds::default()
    };
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let (ended, done) = tokio::sync::oneshot::channel();
    let traffic = sync::Arc::clone(&shared.traffic);
    let listen = callers.into_std().map_err(HostError::Thread)?;
    runtime.spawn(tick(sync::Arc::clone(&traffic)));
    runtime.spawn(async move {
        let Ok(callers) = tokio::net::TcpListener::from_std(listen) else {
            return;
        };
        let stopped = async move {
            // A dropped sender stops the server too.
            drop(stopped.await);
        };
        let handle = move |request| sync::Arc::clone(&traffic).serve(request);
        server::serve(callers, bounds, stopped, handle).await;
        let _ = ended.send(());
    });
    Ok(TrafficThreads { runtime, stop, done })
}

/// Wakes waiting requests from time to time.
async fn tick(traffic: sync::Arc<traffic::Traffic>) {
    let mut interval = tokio::time::interval(QUEUE_TICK);
    loop {
        interval.tick().await;
        traffic.tick();
    }
}

/// Stops: tells the balancer, gives up the halls, and waits for the requests under way.
async fn wind_down(
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
        tracing::warn!("requests cut at the end of the grace");
    }
    let gone = async {
        while !left(root).await {
            tokio::time::sleep(STOP_TICK).await;
        }
    };
    if tokio::time::timeout(LEAVE_TIMEOUT, gone).await.is_err() {
        tracing::warn!("halls not given up in time");
    }
    threads.runtime.shutdown_background();
}

/// Returns whether every hall has been given up.
async fn left(root: &ractor::ActorRef<msg::Msg>) -> bool {
    let asked = root.call(msg::Msg::Left, Some(OPERATOR_TIMEOUT)).await;
    matches!(asked, Ok(ractor::rpc::CallResult::Success(true)))
}

/// Opens a port.
pub(crate) async fn listen(addr: net::SocketAddr) -> Result<tokio::net::TcpListener, HostError> {
    let bound = tokio::net::TcpListener::bind(addr).await;
    bound.map_err(|source| HostError::Listen { addr, source })
}

/// Makes what all actors share.
fn share(
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

/// Makes the answers to peers.
fn answers(
    root: &ractor::ActorRef<msg::Msg>,
    known: &sync::Arc<sync::Mutex<root::Known>>,
) -> peer::Handlers {
    let root = root.clone();
    let heard = sync::Arc::clone(known);
    let asked = sync::Arc::clone(known);
    let gossip = move |gossip: peer::Gossip| {
        let _ = root.cast(msg::Msg::Gossip(gossip));
        let known = heard.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let revision = known.config.as_ref().map_or(0, |loaded| loaded.current.revision);
        peer::GossipReply { revision }
    };
    let handover = move || {
        let known = asked.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let config = known.config.as_ref().map(|loaded| (*loaded.stored).clone());
        peer::Handover { config, tables: known.tables.values().cloned().collect() }
    };
    peer::Handlers { gossip: sync::Arc::new(gossip), handover: sync::Arc::new(handover) }
}

/// Answers operators.
#[derive(Clone, Debug)]
struct OperatorApi {
    /// What all actors share.
    shared: control::Shared,
    /// The root actor.
    root: ractor::ActorRef<msg::Msg>,
    /// Told when an operator asks the host to stop.
    drain: sync::Arc<tokio::sync::Notify>,
}

impl OperatorApi {
    /// Answers one request.
    async fn serve(self, request: hyper::Request<body::Incoming>) -> reply::Reply {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/apply") => self.apply(request.into_body()).await,
            (&Method::GET, "/status") => match self.status().await {
                Some(status) => reply::json(StatusCode::OK, &status),
                None => busy(),
            },
            (&Method::GET, "/dump") => {
                let asked = self.root.call(msg::Msg::Dump, Some(OPERATOR_TIMEOUT)).await;
                match asked {
                    Ok(ractor::rpc::CallResult::Success(dump)) => {
                        reply::json(StatusCode::OK, &dump)
                    }
                    _ => busy(),
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

    /// Takes a submission.
    async fn apply(&self, body: body::Incoming) -> reply::Reply {
        // JSON may take six bytes for one of the text.
        let limit = wharflane::desired::MAX_TEXT_BYTES * 6;
        let body = match server::read_body(body, limit, OPERATOR_TIMEOUT).await {
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
            let _ = self.root.cast(msg::Msg::Nudged(*revision));
        }
        reply::json(StatusCode::OK, &applied)
    }

    /// Returns the summary.
    async fn status(&self) -> Option<operator::Status> {
        let asked = self.root.call(msg::Msg::Status, Some(OPERATOR_TIMEOUT)).await;
        match asked {
            Ok(ractor::rpc::CallResult::Success(status)) => Some(status),
            _ => None,
        }
    }

    /// Tells the balancer whether this host takes requests.
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

/// Returns the answer of a host whose control does not answer in time.
fn busy() -> reply::Reply {
    reply::problem(StatusCode::SERVICE_UNAVAILABLE, "busy", "control did not answer in time")
}
