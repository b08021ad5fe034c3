//! A small deployment: the store, workers and entry hosts as separate processes on loopback.

use std::env;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Seen};
use crate::json::{self, Value};
use crate::log::{self, Log};
use crate::proxy::Link;

/// Name of the callers' host in the configuration.
const QUEUE_HOST: &str = "queue.example";
/// How long the parts of a deployment may take to be up.
const UP_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a client waits for an answer.
const PATIENCE: Duration = Duration::from_millis(3_000);
/// Pause between two heartbeats of a worker, as the site file says.
const BEAT_MS: u64 = 1_500;

/// Why a case could not run.
#[derive(Debug)]
pub struct CouldNotRun(pub String);

/// A queue of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Queue {
    /// Its name, which is its path prefix too.
    pub name: &'static str,
    /// Its priority.
    pub priority: u32,
    /// How many failures of a task its jobs may have.
    pub max_attempts: u32,
}

/// A worker's process.
#[derive(Debug)]
pub struct WorkerProcess {
    /// The address at which it takes orders.
    pub addr: SocketAddr,
    /// Its id.
    pub id: String,
    /// Its process; absent while it is down.
    child: Option<Child>,
}

/// An entry host.
#[derive(Debug)]
pub struct Host {
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address for the balancer's and operators' calls.
    operator: SocketAddr,
    /// Its link to the store.
    link: Link,
    /// Its process.
    child: Child,
}

/// A deployment. All its processes end when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The record of the case.
    pub log: Log,
    /// Start of the case, in milliseconds since 1970.
    start_ms: u64,
    /// The record's path.
    record: PathBuf,
    /// Folder for settings and logs of hosts.
    folder: PathBuf,
    /// The address of the store.
    pub store: SocketAddr,
    /// The store's process.
    store_child: Child,
    /// The workers.
    pub workers: Vec<WorkerProcess>,
    /// The hosts.
    pub hosts: Vec<Host>,
    /// How many workers were started.
    started: usize,
}

impl Fleet {
    /// Starts a deployment and waits until all of it is up.
    pub fn start(
        workers: usize,
        hosts: usize,
        queues: &[Queue],
        record: &Path,
    ) -> Result<Self, CouldNotRun> {
        let start_ms = log::wall_ms();
        let log = Log::open(record, start_ms);
        let folder = env::temp_dir().join(format!("review-2-{}-{start_ms}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|err| CouldNotRun(format!("no folder: {err}")))?;
        let ports = free_ports(1 + workers + hosts * 3)?;
        let (store, rest) = ports.split_first().expect("a port for the store");
        let (worker_ports, host_ports) = rest.split_at(workers);
        let store_child = spawn_self(&["store", &store.to_string()], record, start_ms)?;
        let mut fleet = Self {
            log,
            start_ms,
            record: record.to_owned(),
            folder,
            store: *store,
            store_child,
            workers: Vec::new(),
            hosts: Vec::new(),
            started: 0,
        };
        fleet.wait_until("the store is up", || http_up(*store, "/rows-get?table=x&part=x"))?;
        fleet.configure(1, queues);
        for addr in worker_ports {
            let id = fleet.next_id();
            let child = fleet.spawn_worker(*addr, &id)?;
            fleet.workers.push(WorkerProcess { addr: *addr, id, child: Some(child) });
        }
        for (at, ports) in host_ports.chunks(3).enumerate() {
            let host = fleet.spawn_host(at + 1, ports)?;
            fleet.hosts.push(host);
        }
        let operators: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.operator).collect();
        fleet.wait_until("the hosts are ready", || {
            operators.iter().all(|addr| {
                let ready = http::call(*addr, ("GET", "/ready"), &[], "", PATIENCE);
                ready.status == Some(200)
            })
        })?;
        // A new holder waits for the longest lease that one before it could have granted.
        thread::sleep(Duration::from_secs(2));
        fleet.log.line(&format!("{hosts} hosts and {workers} workers are up"));
        Ok(fleet)
    }

    /// Waits until a condition holds.
    pub fn wait_until(
        &self,
        what: &str,
        mut holds: impl FnMut() -> bool,
    ) -> Result<(), CouldNotRun> {
        let end = Instant::now() + UP_TIMEOUT;
        while !holds() {
            if Instant::now() >= end {
                return Err(CouldNotRun(format!("waited in vain until {what}")));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Writes a configuration with these queues to the store.
    pub fn configure(&self, version: u64, queues: &[Queue]) {
        let routes = queues.iter().map(|queue| {
            let Queue { name, priority, max_attempts } = queue;
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{QUEUE_HOST}\",\"path_prefix\":\"/{name}/\",\
                 \"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"objective_ms\":1000,\
                 \"priority\":{priority},\"service\":\"lending\",\
                 \"max_attempts\":{max_attempts},\"stretch\":2.0}}"
            )
        });
        let routes: Vec<String> = routes.collect();
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"lending\",\
             \"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"enforces_capacity\":true,\"spare\":false}}],\"limits\":{{}}}}",
            routes.join(",")
        );
        let value = json::quoted(&text);
        let body = format!("{{\"table\":\"op\",\"name\":\"config\",\"value\":{value}}}");
        http::call(self.store, ("POST", "/x-put"), &[], &body, PATIENCE);
        self.log.line(&format!("operator: configuration {version} acknowledged"));
    }

    /// Makes a client's call to a host, and leaves it after `patience`.
    pub fn client(
        &self,
        host: usize,
        (method, path): (&str, &str),
        body: &str,
        patience: Duration,
    ) -> Seen {
        let headers = [("Host", QUEUE_HOST), ("X-Deadline-Ms", "3000")];
        self.log.line(&format!("client: {method} {path} to host {host} {body}"));
        let caller = self.hosts[host].caller;
        let seen = http::call(caller, (method, path), &headers, body, patience);
        let answer = seen.status.map_or("left without an answer".to_owned(), |status| {
            format!("{status} {}", seen.body.trim())
        });
        let took_ms = seen.took.as_millis();
        self.log.line(&format!("client: {method} {path} at host {host}: {answer} ({took_ms} ms)"));
        seen
    }

    /// Asks a host for a job's state; empty if it doesn't tell.
    pub fn state(&self, host: usize, path: &str) -> String {
        let seen = self.client(host, ("GET", path), "", PATIENCE);
        let state = json::parse(&seen.body).map(|body| body.get("state").text().to_owned());
        state.filter(|_| seen.status == Some(200)).unwrap_or_default()
    }

    /// Submits a job, and again at the next host until it is accepted.
    pub fn submit(&self, path: &str, body: &str) -> Result<(), CouldNotRun> {
        for attempt in 0..5 {
            let host = attempt % self.hosts.len();
            let seen = self.client(host, ("POST", path), body, PATIENCE);
            if seen.status.is_some_and(|status| (200..300).contains(&status)) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(500));
        }
        Err(CouldNotRun("no host accepts the job".to_owned()))
    }

    /// Cuts a host from the store, or heals the cut.
    pub fn cut_from_store(&self, host: usize, cut: bool) {
        self.hosts[host].link.set_cut(cut);
        let what = if cut { "cut from the store" } else { "reaches the store again" };
        self.log.line(&format!("fault: host {host} {what}"));
    }

    /// Returns a host that does not hold the lease.
    pub fn host_without_lease(&self) -> Result<usize, CouldNotRun> {
        let holds = |host: &Host| {
            let dump = http::call(host.operator, ("GET", "/dump"), &[], "", PATIENCE);
            dump.body.contains("\"epoch\"")
        };
        let found = (0..self.hosts.len()).find(|at| !holds(&self.hosts[*at]));
        found.ok_or_else(|| CouldNotRun("all hosts hold the lease".to_owned()))
    }

    /// Returns the tasks that run on a worker; none if it is down.
    pub fn tasks_on(&self, worker: usize) -> Vec<String> {
        if self.workers[worker].child.is_none() {
            return Vec::new();
        }
        let addr = self.workers[worker].addr;
        let seen = http::call(addr, ("GET", "/x-running"), &[], "", PATIENCE);
        let tasks = json::parse(&seen.body).unwrap_or(Value::Null);
        tasks.items().iter().map(|task| task.text().to_owned()).collect()
    }

    /// Returns the worker on which a job runs something.
    pub fn worker_of(&self, job: &str) -> Option<usize> {
        (0..self.workers.len())
            .find(|worker| self.tasks_on(*worker).iter().any(|task| task.starts_with(job)))
    }

    /// Kills a worker's process.
    pub fn crash(&mut self, worker: usize) {
        if let Some(mut child) = self.workers[worker].child.take() {
            let ended = child.kill().and_then(|()| child.wait());
            let id = &self.workers[worker].id;
            self.log.line(&format!("fault: worker {id} crashed (SIGKILL) {}", ended.is_ok()));
        }
    }

    /// Starts a worker again at its address, with a new id.
    pub fn restart(&mut self, worker: usize) -> Result<(), CouldNotRun> {
        let id = self.next_id();
        let addr = self.workers[worker].addr;
        let child = self.spawn_worker(addr, &id)?;
        self.log.line(&format!("worker {id} started at {addr}"));
        self.workers[worker] = WorkerProcess { addr, id, child: Some(child) };
        Ok(())
    }

    /// Copies the lines of the hosts' logs that contain one of some texts into the record.
    pub fn quote_host_logs(&self, texts: &[&str]) {
        for at in 1..=self.hosts.len() {
            let text = fs::read_to_string(self.folder.join(format!("host-{at}.log")));
            for line in text.unwrap_or_default().lines() {
                if texts.iter().any(|text| line.contains(text)) {
                    self.log.line(&format!("log of host {at}: {line}"));
                }
            }
        }
    }

    /// Returns a new worker's id.
    fn next_id(&mut self) -> String {
        self.started += 1;
        format!("i-{:010x}", 0x7f_3a91_c200_u64 + self.started as u64)
    }

    /// Starts the process of a worker.
    fn spawn_worker(&self, addr: SocketAddr, id: &str) -> Result<Child, CouldNotRun> {
        let (addr, store) = (addr.to_string(), self.store.to_string());
        spawn_self(&["worker", &addr, id, &store], &self.record, self.start_ms)
    }

    /// Starts an entry host by the command of the deploy file, with settings by its template.
    fn spawn_host(&self, number: usize, ports: &[SocketAddr]) -> Result<Host, CouldNotRun> {
        let [caller, operator, peer] = ports else {
            return Err(CouldNotRun("too few ports".to_owned()));
        };
        let failed = |what: &str, err: std::io::Error| CouldNotRun(format!("{what}: {err}"));
        let link = Link::open(self.store).map_err(|err| failed("link", err))?;
        let store = link.addr;
        let settings = format!(
            "host = \"edge-tb-vake-{number}\"\nhall = \"tb-vake\"\n\n\
             [listen]\ncaller = \"{caller}\"\noperator = \"{operator}\"\npeer = \"{peer}\"\n\n\
             [jobs]\nstore = \"{store}\"\nhold_max_ms = 10000\nconfig_ms = 2000\nstop_ms = 900\n\
             keep_s = 120\nrow_bytes = 65536\n\n\
             [limits]\ncpu_cores = 0.25\nlink_mbps = 1000.0\n\n\
             [traffic]\nstop_notice_ms = 2200\nstop_grace_ms = 2000\n\n\
             [log]\nformat = \"json\"\nlevel = \"info\"\n"
        );
        let path = self.folder.join(format!("host-{number}.toml"));
        let log = self.folder.join(format!("host-{number}.log"));
        fs::write(&path, settings).map_err(|err| failed("settings", err))?;
        let log = File::create(log).map_err(|err| failed("log", err))?;
        let errors = log.try_clone().map_err(|err| failed("log", err))?;
        let child = Command::new("target/release/wharflaned")
            .arg("--config")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|err| failed("wharflaned", err))?;
        Ok(Host { caller: *caller, operator: *operator, link, child })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let workers = self.workers.iter_mut().filter_map(|worker| worker.child.as_mut());
        let hosts = self.hosts.iter_mut().map(|host| &mut host.child);
        for child in hosts.chain(workers).chain([&mut self.store_child]) {
            drop(child.kill());
            drop(child.wait());
        }
        drop(fs::remove_dir_all(&self.folder));
    }
}

/// Returns whether something answers at an address.
fn http_up(addr: SocketAddr, path: &str) -> bool {
    http::call(addr, ("GET", path), &[], "", PATIENCE).status == Some(200)
}

/// Returns free ports of the loopback address.
fn free_ports(count: usize) -> Result<Vec<SocketAddr>, CouldNotRun> {
    let open = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let listeners: Result<Vec<TcpListener>, _> = (0..count).map(|_| open()).collect();
    let ports =
        listeners.and_then(|listeners| listeners.iter().map(TcpListener::local_addr).collect());
    ports.map_err(|err: std::io::Error| CouldNotRun(format!("no free ports: {err}")))
}

/// Starts another role of this program.
fn spawn_self(args: &[&str], record: &Path, start_ms: u64) -> Result<Child, CouldNotRun> {
    let failed = |err: std::io::Error| CouldNotRun(format!("a stand-in doesn't start: {err}"));
    let program = env::current_exe().map_err(failed)?;
    Command::new(program)
        .args(args)
        .args([&BEAT_MS.to_string(), &start_ms.to_string()])
        .arg(record)
        .stdin(Stdio::null())
        .spawn()
        .map_err(failed)
}
