//! A small deployment: the store, workers and entry hosts, with a configuration.

use std::env;
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process;
use std::sync::Arc;
use std::time::Duration;

use crate::host::Host;
use crate::http::{self, Client};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Sent, Worker};

/// The host name of all queues.
const DOMAIN: &str = "queues.example";
/// How long clients wait for an answer.
const PATIENCE: Duration = Duration::from_secs(3);
/// The configuration: a queue of the first priority and one of a later one.
const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"ride","host":"queues.example","path_prefix":"/ride/","service":"dispatch","kind":"non_idempotent",
"timeout_ms":3000,"priority":0,"max_attempts":3,"stretch":1.5,"objective_ms":250},
{"name":"fare","host":"queues.example","path_prefix":"/fare/","service":"dispatch","kind":"non_idempotent",
"timeout_ms":3000,"priority":2,"max_attempts":4,"stretch":2.0,"objective_ms":1000}],
"services":[{"name":"dispatch","enforces_capacity":true}],"limits":{}}"#;

/// Where a case is played.
#[derive(Debug)]
pub struct Place {
    /// The folder of the case.
    pub folder: PathBuf,
    /// The root of the repository.
    pub root: PathBuf,
}

/// A small deployment.
#[derive(Debug)]
pub struct World {
    /// The record.
    pub record: Arc<Record>,
    /// The store.
    store: Arc<Store>,
    /// The jobs that clients sent.
    pub sent: Arc<Sent>,
    /// The workers.
    workers: Vec<Arc<Worker>>,
    /// The entry hosts.
    hosts: Vec<Host>,
    /// The root of the repository.
    root: PathBuf,
    /// The number of lives of workers after their first.
    lives: u32,
    /// The folder of the hosts' files.
    temporary: PathBuf,
}

impl World {
    /// Starts a deployment and waits until all hosts are ready.
    pub fn start(place: &Place, workers: usize, hosts: usize) -> io::Result<Self> {
        let record = Arc::new(Record::begin(&place.folder)?);
        let store = Store::new();
        let served = Arc::clone(&store);
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store_addr = http::serve(listener, move |request| served.answer(request))?.addr;
        store.write("op", "config", &CONFIG.replace('\n', ""));
        let sent = Arc::new(Sent::default());
        let workers = (0..workers).map(|at| {
            Worker::start(&format!("worker-{at}"), None, Duration::ZERO, (&store, &sent, &record))
        });
        let workers = workers.collect::<io::Result<Vec<_>>>()?;
        let temporary = env::temp_dir().join(format!("review-three-{}", process::id()));
        fs::create_dir_all(&temporary)?;
        let hosts = (0..hosts).map(|at| start_host(place, &temporary, at, store_addr));
        let hosts = hosts.collect::<io::Result<Vec<_>>>()?;
        let root = place.root.clone();
        let world = Self { record, store, sent, workers, hosts, root, lives: 0, temporary };
        world.record.note("all hosts are ready");
        Ok(world)
    }

    /// Crashes a worker.
    pub fn crash_worker(&self, at: usize) {
        self.workers[at].crash(&self.store);
    }

    /// Starts the next life of a worker that has crashed, with a new id at the same address.
    pub fn restart_worker(&mut self, at: usize) -> io::Result<()> {
        self.lives += 1;
        let id = format!("worker-{at}-{}", self.lives);
        self.start_worker(at, &id, Duration::ZERO)
    }

    /// Starts the next life of a worker that has crashed, under the id that it had; its first
    /// heartbeat reaches the store after a while.
    pub fn return_worker(&mut self, at: usize, listed_after: Duration) -> io::Result<()> {
        let id = self.workers[at].id.clone();
        self.start_worker(at, &id, listed_after)
    }

    /// Starts a life of a worker at the address that it had.
    fn start_worker(&mut self, at: usize, id: &str, listed_after: Duration) -> io::Result<()> {
        self.record.note(&format!("start of {id}"));
        let addr = self.workers[at].addr();
        let shared = (&self.store, &self.sent, &self.record);
        self.workers[at] = Worker::start(id, addr, listed_after, shared)?;
        Ok(())
    }

    /// Returns a worker.
    pub fn worker(&self, at: usize) -> &Arc<Worker> {
        &self.workers[at]
    }

    /// Returns the number of workers on which a task runs.
    pub fn count_runs(&self, task: &str) -> usize {
        self.workers.iter().filter(|worker| worker.runs(task)).count()
    }

    /// Returns the worker on which a task runs.
    pub fn worker_of(&self, task: &str) -> Option<usize> {
        self.workers.iter().position(|worker| worker.runs(task))
    }

    /// Returns the memory that the process of a host takes, in megabytes.
    pub fn memory_mb(&self, at: usize) -> u64 {
        self.hosts[at].memory_mb()
    }

    /// Returns whether the process of a host has ended by itself.
    pub fn has_host_ended(&mut self, at: usize) -> bool {
        self.hosts[at].has_ended()
    }

    /// Kills the process of a host.
    pub fn kill_host(&mut self, at: usize) {
        self.hosts[at].kill();
    }

    /// Starts the process of a host again.
    pub fn restart_host(&mut self, at: usize) -> io::Result<()> {
        self.record.note(&format!("start of entry-{at}"));
        let root = self.root.clone();
        self.hosts[at].restart(&root)
    }

    /// Returns a client of each host.
    pub fn clients(&self) -> Vec<JobClient> {
        let clients = self.hosts.iter().map(|host| JobClient {
            client: Client::new(host.front, PATIENCE),
            record: Arc::clone(&self.record),
        });
        clients.collect()
    }
}

/// Starts a host and waits until it is ready; again, if another process took one of its ports.
fn start_host(place: &Place, folder: &Path, at: usize, store: SocketAddr) -> io::Result<Host> {
    for _ in 0..3 {
        let mut host = Host::start(&place.root, folder, &format!("entry-{at}"), store)?;
        if host.wait_until_ready(Duration::from_secs(5)) {
            return Ok(host);
        }
    }
    Err(io::Error::other("a host is not ready"))
}

/// A client of one host.
#[derive(Debug)]
pub struct JobClient {
    /// Makes its calls.
    client: Client,
    /// Where they are recorded.
    record: Arc<Record>,
}

impl JobClient {
    /// Submits a job and returns the status of the answer, if there was one.
    pub fn submit(&mut self, queue: &str, id: &str, body: &str) -> Option<u16> {
        let answer = self.client.call("POST", DOMAIN, &format!("/{queue}/{id}"), body);
        let status = answer.map(|(status, _)| status);
        self.record.note(&format!("POST /{queue}/{id}: {status:?}"));
        status
    }

    /// Asks for the state of a job.
    pub fn state(&mut self, queue: &str, id: &str) -> Option<(u16, String)> {
        let answer = self.client.call("GET", DOMAIN, &format!("/{queue}/{id}"), "");
        self.record.note(&format!("GET /{queue}/{id}: {answer:?}"));
        answer
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.hosts.clear();
        if env::var("KEEP_LOGS").as_deref() == Ok("1") {
            return println!("logs in {}", self.temporary.display());
        }
        let _ = fs::remove_dir_all(&self.temporary);
    }
}
