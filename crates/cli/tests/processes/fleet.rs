//! Starts the separate processes on loopback and stops them at the end of a test.

use std::collections;
use std::fs;
use std::io;
use std::io::BufRead as _;
use std::net;
use std::path;
use std::process;
use std::sync;
use std::time;

use wharflane::members;
use wharflane_http::client;
use wharflane_operator as operator;
use wharflane_stand_in::{caller, history};

/// One service, which a test may put a job beside.
pub const SERVICE: &str = r#"
class = [{ name = "paid", priority = 10 }, { name = "spare", priority = 1 }]
team = [{ name = "ours" }]
hall = [{ name = "vake" }]
[[service]]
name = "lending"
team = "ours"
class = "paid"
halls = ["vake"]
count = 4
cpu_milli = 4000
mem_mb = 1000
latency_target_ms = 100
"#;

/// How long anything may take before the test gives up.
const PATIENCE: time::Duration = time::Duration::from_secs(60);
/// Held while a port is tried and while a process starts: a new process has, for a moment, all
/// sockets of this one open, and a port that is just being tried would stay taken.
static FORK: sync::Mutex<()> = sync::Mutex::new(());
/// The ports of one process of tests, which takes some 400 in all.
const PORTS: u16 = 1_000;
/// The ports that processes of tests share out, below those that the system gives to outgoing connections.
const ALL_PORTS: std::ops::Range<u16> = 10_000..32_000;
/// The ports of this process.
static OWN_PORTS: sync::LazyLock<OwnPorts> = sync::LazyLock::new(OwnPorts::claim);

/// Ports that no other process of tests takes while this one runs: between the try of a port and its use by a host,
/// another's host would open it, and answer in the place of ours.
struct OwnPorts {
    /// The first port, open until the process ends so that others pass the rest by.
    _claim: net::TcpListener,
    /// The next port to try.
    next: sync::atomic::AtomicU16,
}

impl OwnPorts {
    /// Claims the first ports whose claim is open to nobody else.
    fn claim() -> Self {
        let claim = |first| net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, first)).ok();
        let mut firsts = ALL_PORTS.step_by(usize::from(PORTS));
        let found = firsts.find_map(|first| Some((first, claim(first)?)));
        let (first, claim) = found.expect("ports that no other process of tests has");
        Self { _claim: claim, next: sync::atomic::AtomicU16::new(first + 1) }
    }
}
/// How long a call may take.
const CALL: time::Duration = time::Duration::from_secs(10);

/// A process that ends with the test.
#[derive(Debug)]
pub struct Process(process::Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Sends a signal by its number.
    pub fn signal(&self, signal: &str) {
        let pid = self.0.id().to_string();
        let sent = process::Command::new("kill").args([signal, &pid]).status();
        assert!(sent.is_ok_and(|status| status.success()), "signal {signal}");
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal("-KILL");
        self.wait();
    }

    /// Waits for the end and returns whether it was a success.
    pub fn wait(&mut self) -> bool {
        self.0.wait().is_ok_and(|status| status.success())
    }
}

/// An entry host.
#[derive(Debug)]
pub struct Host {
    /// The process.
    pub process: Process,
    /// Where callers connect.
    pub caller: net::SocketAddr,
    /// Where operators connect.
    pub operator: net::SocketAddr,
    /// Where peers connect.
    pub peer: net::SocketAddr,
}

impl Host {
    /// Returns a client of the operators' port.
    pub fn operator_client(&self) -> operator::Operator {
        operator::Operator::new(self.operator, CALL)
    }
}

/// All processes of a test.
#[derive(Debug)]
pub struct Fleet {
    /// The folder with settings.
    folder: tempfile::TempDir,
    /// Where the platform answers.
    pub platform: net::SocketAddr,
    /// The platform.
    _platform: Process,
    /// The workers by name, with their addresses.
    pub workers: collections::BTreeMap<String, (Process, net::SocketAddr)>,
    /// The entry hosts by name.
    pub hosts: collections::BTreeMap<String, Host>,
    /// The list that the platform shows.
    pub members: members::Members,
    /// A client for switches.
    client: client::Client,
}

impl Fleet {
    /// Starts a platform, entry hosts, and workers spread over halls.
    pub async fn start(hosts: usize, workers: usize, halls: &[&str]) -> Self {
        let platform = free_port();
        let addr = platform.to_string();
        let process = spawn("wharflane-stand-in", &["platform", "--addr", &addr]);
        let mut fleet = Self {
            folder: tempfile::tempdir().expect("a folder for settings"),
            platform,
            _platform: process,
            workers: collections::BTreeMap::new(),
            hosts: collections::BTreeMap::new(),
            members: members::Members::default(),
            client: client::Client::new(CALL),
        };
        for number in 0..workers {
            fleet.add_worker(&format!("worker-{number}"), halls[number % halls.len()]);
        }
        for number in 0..hosts {
            fleet.add_host(&format!("entry-{number}"), halls[0]);
        }
        until("the platform", async || fleet.list().await).await;
        fleet
    }

    /// Starts a worker.
    pub fn add_worker(&mut self, name: &str, hall: &str) {
        let addr = free_port();
        let text = addr.to_string();
        let args = ["worker", "--addr", &text, "--name", name, "--service-ms", "3"];
        self.workers.insert(name.to_owned(), (spawn("wharflane-stand-in", &args), addr));
        let rack = format!("rack-{}", self.workers.len() % 2);
        let presence = members::Presence::Live;
        let member = members::Worker { addr, hall: hall.into(), rack, presence };
        self.members.workers.insert(name.into(), member);
    }

    /// Starts an entry host that ends with this call, and returns its first lines of log.
    pub fn first_log_lines(&self, name: &str, log: &str, count: usize) -> Vec<String> {
        let [caller, operator, peer] = [free_port(), free_port(), free_port()];
        let text = format!(
            "host = \"{name}\"\nhall = \"gent\"\n[listen]\ncaller = \"{caller}\"\n\
             operator = \"{operator}\"\npeer = \"{peer}\"\n[platform]\naddr = \"{}\"\n\
             [log]\n{log}\n",
            self.platform
        );
        let path = self.folder.path().join(format!("{name}.toml"));
        fs::write(&path, text).expect("settings written");
        let mut command = process::Command::new(bin("wharflaned"));
        command.arg("--config").arg(&path).stdout(process::Stdio::piped());
        let mut child = start(&mut command);
        let stdout = child.stdout.take().expect("its log");
        let _process = Process(child);
        let lines = io::BufReader::new(stdout).lines().take(count);
        lines.map(|line| line.expect("a line")).collect()
    }

    /// Starts an entry host.
    pub fn add_host(&mut self, name: &str, hall: &str) {
        let [caller, operator, peer] = [free_port(), free_port(), free_port()];
        let seeds: Vec<String> =
            self.hosts.values().map(|host| format!("\"{}\"", host.peer)).collect();
        let text = format!(
            "host = \"{name}\"\nhall = \"{hall}\"\nseed_peers = [{}]\n[listen]\n\
             caller = \"{caller}\"\noperator = \"{operator}\"\npeer = \"{peer}\"\n\
             [platform]\naddr = \"{}\"\n[traffic]\nthreads = 2\nstop_notice_ms = 300\nstop_grace_ms = 3000\n\
             [control]\nlease_ms = 1500\nturn_ms = 300\npoll_ms = 200\ncommit_ms = 100\n\
             sync_ms = 200\nworker_lease_ms = 3000\nmargin_ms = 500\ngossip_ms = 200\n\
             authority_ms = 60000\ndrain_ms = 1500\n[log]\nlevel = \"warn\"\n",
            seeds.join(", "),
            self.platform
        );
        let path = self.folder.path().join(format!("{name}.toml"));
        fs::write(&path, text).expect("settings written");
        let path = path.to_string_lossy().into_owned();
        let process = spawn("wharflaned", &["--config", &path]);
        self.hosts.insert(name.to_owned(), Host { process, caller, operator, peer });
        let host = members::Host { peer_addr: peer, presence: members::Presence::Live };
        self.members.hosts.insert(name.into(), host);
    }

    /// Shows the list of machines to the hosts; returns whether the platform took it.
    pub async fn list(&self) -> bool {
        self.put(self.platform, "members", &self.members).await
    }

    /// Sets a switch of a fake; returns whether it was taken.
    pub async fn put<T: serde::Serialize + Sync>(
        &self,
        addr: net::SocketAddr,
        switch: &str,
        value: &T,
    ) -> bool {
        let body = serde_json::to_vec(value).expect("switch encoded");
        let url = format!("http://{addr}/stand-in/{switch}");
        self.client.send(hyper::Method::PUT, &url, body.into()).await.is_ok()
    }

    /// Returns the host of a name.
    pub fn host(&self, name: &str) -> &Host {
        &self.hosts[name]
    }

    /// Puts a desired state in force through a host and returns its revision.
    pub async fn apply(&self, host: &str, text: &str) -> u64 {
        let operator_client = self.host(host).operator_client();
        until("operators' port", async || operator_client.status().await.is_ok()).await;
        let path = self.folder.path().join("desired.toml");
        fs::write(&path, text).expect("desired state written");
        let operator = self.host(host).operator.to_string();
        let path = path.to_string_lossy().into_owned();
        let output = process::Command::new(bin("wharflane"))
            .args(["apply", &path, "--host", &operator, "--json"])
            .output()
            .expect("apply runs");
        match serde_json::from_slice(&output.stdout) {
            Ok(operator::Applied::Accepted { revision }) => revision,
            other => panic!("not accepted: {other:?}"),
        }
    }

    /// Waits until every host sends requests to so many endpoints of a service.
    pub async fn wait_for_endpoints(&self, service: &str, count: usize) {
        for host in self.hosts.values() {
            let operator_client = host.operator_client();
            until("endpoints", async || {
                let status = operator_client.status().await.unwrap_or_default();
                status.services.get(service).is_some_and(|s| s.endpoints >= count)
            })
            .await;
        }
    }

    /// Returns the metrics of a host.
    pub async fn metrics(&self, host: &str) -> String {
        let url = format!("http://{}/metrics", self.host(host).operator);
        let body = self.client.send(hyper::Method::GET, &url, bytes::Bytes::new()).await;
        String::from_utf8_lossy(&body.expect("metrics")).into_owned()
    }

    /// Returns what all workers saw.
    pub async fn events(&self) -> Vec<history::Event> {
        let mut all = Vec::new();
        for worker in self.workers.keys() {
            all.extend(self.events_of(worker).await);
        }
        all
    }

    /// Returns what one worker saw.
    pub async fn events_of(&self, worker: &str) -> Vec<history::Event> {
        let (_, addr) = &self.workers[worker];
        let url = format!("http://{addr}/stand-in/events");
        self.client.get(&url).await.unwrap_or_default()
    }

    /// Returns a load on all hosts.
    pub fn load(&self, name: &str, service: &str, rate: f64, seconds: u64) -> caller::Load {
        caller::Load {
            hosts: self.hosts.values().map(|host| host.caller).collect(),
            service: service.to_owned(),
            rate,
            duration: time::Duration::from_secs(seconds),
            repeatable: None,
            patience: time::Duration::from_secs(5),
            name: name.to_owned(),
        }
    }
}

/// Waits until something holds.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let end = tokio::time::Instant::now() + PATIENCE;
    while !holds().await {
        assert!(tokio::time::Instant::now() < end, "{what} in time");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// Runs a test on a runtime of its own.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(test);
}

/// Starts a program of this workspace.
pub fn spawn(name: &str, args: &[&str]) -> Process {
    let mut command = process::Command::new(bin(name));
    command.args(args).stdin(process::Stdio::null());
    Process(start(&mut command))
}

/// Starts a process while no port is being tried.
fn start(command: &mut process::Command) -> process::Child {
    let _fork = FORK.lock().unwrap_or_else(sync::PoisonError::into_inner);
    command.spawn().unwrap_or_else(|err| panic!("{command:?}: {err}"))
}

/// Runs a program of this workspace to its end beside the test.
pub async fn output(name: &str, args: &[&str]) -> process::Output {
    let mut command = process::Command::new(bin(name));
    command.args(args);
    let run = tokio::task::spawn_blocking(move || command.output());
    run.await.expect("a thread").expect("a program")
}

/// Returns the path of a program of this workspace.
pub fn bin(name: &str) -> path::PathBuf {
    let own = path::Path::new(env!("CARGO_BIN_EXE_wharflane"));
    own.with_file_name(name)
}

/// Finds a port that is free now and that no other test is given, of this process or another.
///
/// Ports below those that the system gives to outgoing connections are taken, so that none of
/// them is in the way when a process opens its port a little later.
pub fn free_port() -> net::SocketAddr {
    let _fork = FORK.lock().unwrap_or_else(sync::PoisonError::into_inner);
    loop {
        let port = OWN_PORTS.next.fetch_add(1, sync::atomic::Ordering::Relaxed);
        assert!(!port.is_multiple_of(PORTS), "no port of this process is left");
        let addr = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port));
        if net::TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}
