//! A worker as a process: takes messages over HTTP and runs its service tasks as endpoints.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use hyper::Method;
use hyper::StatusCode;
use hyper::body;
use tokio::net as tokio_net;
use wharflane::{id, size, work};
use wharflane_http::{reply, server};

use crate::endpoint;
use crate::history;
use crate::machine;

/// How often time is let pass.
const TICK: time::Duration = time::Duration::from_millis(20);
/// The largest message that is read, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// How long a message may take to come.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// How a worker is made.
#[derive(Clone, Debug)]
pub struct Make {
    /// Its name.
    pub worker: id::WorkerId,
    /// What it has.
    pub capacity: size::Size,
    /// The room of its endpoints.
    pub room: endpoint::Room,
    /// How requests are served there at first.
    pub endpoint_faults: endpoint::Faults,
    /// By how many percent a worker full of batch tasks slows its endpoints.
    pub harm_percent: u64,
}

/// An endpoint that runs.
#[derive(Debug)]
struct Open {
    /// The endpoint.
    endpoint: sync::Arc<endpoint::Endpoint>,
    /// Ends it as it is dropped.
    #[expect(dead_code, reason = "ends the endpoint as it is dropped")]
    stop: tokio::sync::oneshot::Sender<()>,
}

/// A worker as a process.
#[derive(Clone, Debug)]
pub struct Server {
    /// How it was made.
    make: Make,
    /// The worker.
    machine: sync::Arc<sync::Mutex<machine::Machine>>,
    /// The endpoints that run.
    open: sync::Arc<sync::Mutex<collections::BTreeMap<id::TaskId, Open>>>,
    /// The moment that counts as zero.
    origin: time::Instant,
    /// What it saw.
    pub history: history::History,
}

impl Server {
    /// Makes a worker.
    #[must_use]
    pub fn new(make: Make, boot: u64, history: history::History) -> Self {
        let machine =
            machine::Machine::new(make.worker.clone(), make.capacity, boot, history.clone());
        Self {
            make,
            machine: sync::Arc::new(sync::Mutex::new(machine)),
            open: sync::Arc::default(),
            origin: time::Instant::now(),
            history,
        }
    }

    /// Serves messages on a listener until the process ends.
    pub async fn serve(self, listener: tokio_net::TcpListener) {
        tokio::spawn(self.clone().live());
        let handle = move |request| self.clone().answer(request);
        server::serve(listener, server::Bounds::default(), server::never(), handle).await;
    }

    /// Locks the worker, for tests in the same process.
    pub fn lock(&self) -> sync::MutexGuard<'_, machine::Machine> {
        self.machine.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Sets what is wrong with the endpoints that run and with those to come.
    pub fn set_endpoint_faults(&mut self, faults: &endpoint::Faults) {
        self.make.endpoint_faults = faults.clone();
        for open in self.endpoints().values() {
            open.endpoint.set_faults(faults.clone());
        }
    }

    /// Lets time pass, and opens and closes endpoints as tasks come and go.
    async fn live(self) {
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
            let percent = (self.make.harm_percent as f64 * load) as u64;
            for open in self.endpoints().values() {
                open.endpoint.disturb(percent);
            }
        }
    }

    /// Opens the endpoint of a task.
    async fn open(&self, task: &id::TaskId) -> io::Result<()> {
        let listener = tokio_net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let endpoint = endpoint::Endpoint::new(task.clone(), self.make.room, self.history.clone());
        endpoint.set_faults(self.make.endpoint_faults.clone());
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        let stopped = async move {
            let _ = stopped.await;
        };
        tokio::spawn(sync::Arc::clone(&endpoint).serve(listener, stopped));
        self.endpoints().insert(task.clone(), Open { endpoint, stop });
        self.lock().set_addr(task, addr);
        Ok(())
    }

    /// Answers one request.
    async fn answer(self, request: hyper::Request<body::Incoming>) -> reply::Reply {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let read = server::read_body(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
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

    /// Locks the endpoints that run.
    fn endpoints(&self) -> sync::MutexGuard<'_, collections::BTreeMap<id::TaskId, Open>> {
        self.open.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Opens a port and serves a worker on it until the process ends.
///
/// # Errors
/// Returns the error of a port that can't be opened.
pub async fn run(addr: net::SocketAddr, make: Make) -> io::Result<()> {
    let listener = tokio_net::TcpListener::bind(addr).await?;
    let boot = rand::random();
    Server::new(make, boot, history::History::default()).serve(listener).await;
    Ok(())
}
