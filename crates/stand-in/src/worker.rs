//! Runs a worker as a process: handles messages over HTTP and serves its service tasks as
//! endpoints.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use hyper::Method;
use hyper::StatusCode;
use tokio::net as tokio_net;
use wharflane::{id, size, work};
use wharflane_http::{reply, request_body, server};

use crate::endpoint;
use crate::history;
use crate::machine;

/// The interval at which the worker's clock advances and its endpoints are opened and closed.
const TICK: time::Duration = time::Duration::from_millis(20);
/// The largest message that is read, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// How long a client may take to send a message.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The configuration of a worker.
#[derive(Clone, Debug)]
pub struct Config {
    /// The id of the worker.
    pub worker: id::WorkerId,
    /// The capacity of the worker.
    pub capacity: size::Size,
    /// The limits of each endpoint.
    pub limits: endpoint::Limits,
    /// The faults that each endpoint starts with.
    pub endpoint_faults: endpoint::Faults,
    /// Increase of the service time of its endpoints by a full batch load, in percent.
    pub harm_percent: u64,
}

/// An endpoint that is served.
#[derive(Debug)]
struct ServedEndpoint {
    /// The endpoint, shared with the task that serves it.
    endpoint: sync::Arc<endpoint::Endpoint>,
    /// Ends the endpoint when it is dropped.
    #[expect(dead_code, reason = "ends the endpoint when it is dropped")]
    stop: tokio::sync::oneshot::Sender<()>,
}

/// A worker that is served over HTTP; clones share its state but not its configuration.
#[derive(Clone, Debug)]
pub struct Server {
    /// The configuration of the worker.
    config: Config,
    /// The state machine of the worker.
    machine: sync::Arc<sync::Mutex<machine::Machine>>,
    /// The endpoints that are served, by task.
    served: sync::Arc<sync::Mutex<collections::BTreeMap<id::TaskId, ServedEndpoint>>>,
    /// The zero point of the worker's clock.
    origin: time::Instant,
    /// Records what happens on the worker and its endpoints.
    pub history: history::History,
}

impl Server {
    /// Creates a worker.
    #[must_use]
    pub fn new(config: Config, boot: u64, history: history::History) -> Self {
        let machine =
            machine::Machine::new(config.worker.clone(), config.capacity, boot, history.clone());
        Self {
            config,
            machine: sync::Arc::new(sync::Mutex::new(machine)),
            served: sync::Arc::default(),
            origin: time::Instant::now(),
            history,
        }
    }

    /// Serves messages on a listener until the process ends.
    pub async fn serve(self, listener: tokio_net::TcpListener) {
        tokio::spawn(self.clone().run_endpoints());
        let handle = move |request| self.clone().answer(request);
        server::serve(listener, server::Bounds::default(), server::never(), handle).await;
    }

    /// Locks the worker, for tests in the same process.
    pub fn lock(&self) -> sync::MutexGuard<'_, machine::Machine> {
        self.machine.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Sets the faults of the current endpoints and of later ones.
    pub fn set_endpoint_faults(&mut self, faults: &endpoint::Faults) {
        self.config.endpoint_faults = faults.clone();
        for served in self.endpoints().values() {
            served.endpoint.set_faults(faults.clone());
        }
    }

    /// Advances the clock, and opens and closes endpoints as service tasks start and end.
    async fn run_endpoints(self) {
        let mut interval = tokio::time::interval(TICK);
        loop {
            interval.tick().await;
            let (services, load) = {
                let mut machine = self.lock();
                machine.tick(self.origin.elapsed());
                (machine.services(), machine.batch_load())
            };
            self.endpoints().retain(|task, _| services.contains(task));
            for task in services {
                if !self.endpoints().contains_key(&task) && self.open(&task).await.is_err() {
                    continue;
                }
            }
            let percent = (self.config.harm_percent as f64 * load) as u64;
            for served in self.endpoints().values() {
                served.endpoint.set_slowdown(percent);
            }
        }
    }

    /// Opens the endpoint of a service task on a free loopback port.
    async fn open(&self, task: &id::TaskId) -> io::Result<()> {
        let listener = tokio_net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let endpoint =
            endpoint::Endpoint::new(task.clone(), self.config.limits, self.history.clone());
        endpoint.set_faults(self.config.endpoint_faults.clone());
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        let stopped = async move {
            let _ = stopped.await;
        };
        tokio::spawn(sync::Arc::clone(&endpoint).serve(listener, stopped));
        self.endpoints().insert(task.clone(), ServedEndpoint { endpoint, stop });
        self.lock().set_addr(task, addr);
        Ok(())
    }

    /// Answers one request.
    async fn answer(self, request: server::Request) -> reply::Reply {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let read = request_body::read(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
        let Ok(body) = read else {
            return reply::problem(StatusCode::BAD_REQUEST, "body", "body not taken");
        };
        match (&method, path.as_str()) {
            (&Method::POST, wharflane_worker::SYNC_PATH) => {
                let Ok(sync) = serde_json::from_slice::<work::Sync>(&body) else {
                    return reply::problem(StatusCode::BAD_REQUEST, "json", "no message");
                };
                let now = self.origin.elapsed();
                let answer = self.lock().sync(now, &sync);
                reply::json(StatusCode::OK, &answer)
            }
            (&Method::GET, "/stand-in/events") => {
                reply::json(StatusCode::OK, &self.history.events())
            }
            (&Method::PUT, "/stand-in/faults") => match serde_json::from_slice(&body) {
                Ok(faults) => {
                    self.lock().faults = faults;
                    reply::json(StatusCode::OK, &true)
                }
                Err(err) => reply::problem(StatusCode::BAD_REQUEST, "json", &err.to_string()),
            },
            (&Method::PUT, "/stand-in/endpoint-faults") => match serde_json::from_slice(&body) {
                Ok(faults) => {
                    self.clone().set_endpoint_faults(&faults);
                    reply::json(StatusCode::OK, &true)
                }
                Err(err) => reply::problem(StatusCode::BAD_REQUEST, "json", &err.to_string()),
            },
            _ => reply::problem(StatusCode::NOT_FOUND, "no-such-path", "no such path"),
        }
    }

    /// Locks the endpoints that are served.
    fn endpoints(&self) -> sync::MutexGuard<'_, collections::BTreeMap<id::TaskId, ServedEndpoint>> {
        self.served.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Serves a worker on a port until the process ends.
///
/// # Errors
/// Returns an error if the port can't be opened.
pub async fn run(addr: net::SocketAddr, config: Config) -> io::Result<()> {
    let listener = tokio_net::TcpListener::bind(addr).await?;
    let boot = rand::random();
    Server::new(config, boot, history::History::default()).serve(listener).await;
    Ok(())
}
