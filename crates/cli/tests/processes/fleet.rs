//! Starts a platform, workers and entry hosts as separate processes on loopback, and stops them at
//! the end of a test.

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

/// A desired state with one service; tests may add a job that runs beside it.
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

/// Maximum time of a wait; a longer wait fails the test.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Held while a port is probed and while a process is spawned. A new process shares all open
/// sockets of this one for a moment, so a port probed at that time would stay in use.
static SPAWN_LOCK: sync::Mutex<()> = sync::Mutex::new(());
/// Number of ports that one test process reserves; its tests use about 400 in all.
const PORTS_PER_PROCESS: u16 = 1_000;
/// Ports that test processes divide among them, below those that the system uses for outgoing
/// connections.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;
/// The ports reserved for this test process.
static PORT_BLOCK: sync::LazyLock<PortBlock> = sync::LazyLock::new(PortBlock::reserve);

/// A block of ports reserved for one test process while it runs. Without it, a host of another test
/// process could bind a port between its probe and its use here, and answer in our host's place.
struct PortBlock {
    /// Listener on the first port, open until the process ends; it marks the block as reserved.
    _listener: net::TcpListener,
    /// The next port to probe.
    next: sync::atomic::AtomicU16,
}

impl PortBlock {
    /// Reserves the first block whose first port can be bound.
    fn reserve() -> Self {
        let bind = |first| net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, first)).ok();
        let mut first_ports = PORT_RANGE.step_by(usize::from(PORTS_PER_PROCESS));
        let found = first_ports.find_map(|first| Some((first, bind(first)?)));
        let (first, listener) =
            found.expect("other test processes have reserved all blocks of ports");
        Self { _listener: listener, next: sync::atomic::AtomicU16::new(first + 1) }
    }
}
/// Limit of one call to a process.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// A child process that is killed on drop.
#[derive(Debug)]
pub struct Process(pub process::Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Sends a signal, given as an option of `kill` such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        let pid = self.0.id().to_string();
        let sent = process::Command::new("kill").args([signal, &pid]).status();
        assert!(sent.is_ok_and(|status| status.success()), "can't send signal {signal}");
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        self.signal("-KILL");
        self.wait();
    }

    /// Waits until the process has exited and returns whether it did so with success.
    pub fn wait(&mut self) -> bool {
        self.0.wait().is_ok_and(|status| status.success())
    }
}

/// An entry host in a separate process.
#[derive(Debug)]
pub struct Host {
    /// The daemon's process.
    pub process: Process,
    /// Address of the callers' port.
    pub caller: net::SocketAddr,
    /// Address of the operators' port.
    pub operator: net::SocketAddr,
    /// Address of the port for gossip with other hosts.
    pub peer: net::SocketAddr,
}

impl Host {
    /// Returns a client for the operators' port.
    pub fn operator_client(&self) -> operator::Operator {
        operator::Operator::new(self.operator, CALL_TIMEOUT)
    }
}

/// Limits that the operating system sets on a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    /// Maximum memory for its data, in kilobytes; an allocation beyond it fails.
    pub data_kb: u64,
    /// Maximum number of open descriptors.
    pub descriptors: u64,
}

/// All processes of one test.
#[derive(Debug)]
pub struct Fleet {
    /// Folder of settings and desired states, removed on drop.
    folder: tempfile::TempDir,
    /// Address of the platform.
    pub platform: net::SocketAddr,
    /// The platform's process, killed on drop.
    _platform: Process,
    /// Process and address of each worker, by name.
    pub workers: collections::BTreeMap<String, (Process, net::SocketAddr)>,
    /// The entry hosts, by name.
    pub hosts: collections::BTreeMap<String, Host>,
    /// The list of machines, which hosts get from the platform once it is published.
    pub members: members::Members,
    /// Limits of hosts that are added from now on; `None` for those of this process.
    pub host_limits: Option<ProcessLimits>,
    /// HTTP client for the stand-ins and for metrics.
    client: client::Client,
}

impl Fleet {
    /// Starts a platform, workers spread evenly over the halls, and entry hosts in the first hall.
    pub async fn start(hosts: usize, workers: usize, halls: &[&str]) -> Self {
        let platform = free_port();
        let addr = platform.to_string();
        let process = spawn("wharflane-stand-in", &["platform", "--addr", &addr]);
        let mut fleet = Self {
            folder: tempfile::tempdir().expect("can't create a folder for settings"),
            platform,
            _platform: process,
            workers: collections::BTreeMap::new(),
            hosts: collections::BTreeMap::new(),
            members: members::Members::default(),
            host_limits: None,
            client: client::Client::new(CALL_TIMEOUT),
        };
        for number in 0..workers {
            fleet.add_worker(&format!("worker-{number}"), halls[number % halls.len()]);
        }
        for number in 0..hosts {
            fleet.add_host(&format!("entry-{number}"), halls[0]);
        }
        wait_until("the platform to accept the list of machines", async || {
            fleet.publish_members().await
        })
        .await;
        fleet
    }

    /// Starts a worker and adds it to the list of machines, without publishing the list.
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

    /// Runs an entry host for the length of this call, and returns the first lines of its log.
    pub fn first_log_lines(&self, name: &str, log: &str, count: usize) -> Vec<String> {
        let [caller, operator, peer] = [free_port(), free_port(), free_port()];
        let text = format!(
            "host = \"{name}\"\nhall = \"gent\"\n[listen]\ncaller = \"{caller}\"\n\
             operator = \"{operator}\"\npeer = \"{peer}\"\n[platform]\naddr = \"{}\"\n\
             [log]\n{log}\n",
            self.platform
        );
        let path = self.folder.path().join(format!("{name}.toml"));
        fs::write(&path, text).expect("can't write the settings");
        let mut command = process::Command::new(program_path("wharflaned"));
        command.arg("--config").arg(&path).stdout(process::Stdio::piped());
        let mut child = start(&mut command);
        let stdout = child.stdout.take().expect("the log is not piped");
        let _process = Process(child);
        let lines = io::BufReader::new(stdout).lines().take(count);
        lines.map(|line| line.expect("can't read a log line")).collect()
    }

    /// Starts an entry host and adds it to the list of machines, without publishing the list.
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
        fs::write(&path, text).expect("can't write the settings");
        let path = path.to_string_lossy().into_owned();
        let process = spawn_limited("wharflaned", &["--config", &path], self.host_limits);
        self.hosts.insert(name.to_owned(), Host { process, caller, operator, peer });
        let host = members::Host { peer_addr: peer, presence: members::Presence::Live };
        self.members.hosts.insert(name.into(), host);
    }

    /// Publishes the list of machines through the platform; returns whether the platform accepted
    /// it.
    pub async fn publish_members(&self) -> bool {
        self.set_switch(self.platform, "members", &self.members).await
    }

    /// Sets a switch of a stand-in; returns whether the stand-in accepted it.
    pub async fn set_switch<T: serde::Serialize + Sync>(
        &self,
        addr: net::SocketAddr,
        switch: &str,
        value: &T,
    ) -> bool {
        let body = serde_json::to_vec(value).expect("can't encode the switch");
        let url = format!("http://{addr}/stand-in/{switch}");
        self.client.send(hyper::Method::PUT, &url, body.into()).await.is_ok()
    }

    /// Returns the host with the given name.
    pub fn host(&self, name: &str) -> &Host {
        &self.hosts[name]
    }

    /// Applies a desired state through a host with the command line, and returns its revision.
    pub async fn apply(&self, host: &str, text: &str) -> u64 {
        let operator_client = self.host(host).operator_client();
        wait_until("the host to answer operators", async || operator_client.status().await.is_ok())
            .await;
        let path = self.folder.path().join("desired.toml");
        fs::write(&path, text).expect("can't write the desired state");
        let operator = self.host(host).operator.to_string();
        let path = path.to_string_lossy().into_owned();
        let output = process::Command::new(program_path("wharflane"))
            .args(["apply", &path, "--host", &operator, "--json"])
            .output()
            .expect("can't run `wharflane apply`");
        match serde_json::from_slice(&output.stdout) {
            Ok(operator::Applied::Accepted { revision }) => revision,
            other => panic!("the desired state was not accepted: {other:?}"),
        }
    }

    /// Waits until every host uses at least `count` endpoints of a service.
    pub async fn wait_for_endpoints(&self, service: &str, count: usize) {
        for host in self.hosts.values() {
            let operator_client = host.operator_client();
            wait_until("the endpoints to be in use", async || {
                let status = operator_client.status().await.unwrap_or_default();
                status.services.get(service).is_some_and(|s| s.endpoints >= count)
            })
            .await;
        }
    }

    /// Returns the text of a host's metrics page.
    pub async fn metrics(&self, host: &str) -> String {
        let url = format!("http://{}/metrics", self.host(host).operator);
        let body = self.client.send(hyper::Method::GET, &url, bytes::Bytes::new()).await;
        String::from_utf8_lossy(&body.expect("no metrics")).into_owned()
    }

    /// Returns the events that all workers recorded, worker by worker.
    pub async fn events(&self) -> Vec<history::Event> {
        let mut all = Vec::new();
        for worker in self.workers.keys() {
            all.extend(self.events_of(worker).await);
        }
        all
    }

    /// Returns the events that a worker recorded, or none if it does not answer.
    pub async fn events_of(&self, worker: &str) -> Vec<history::Event> {
        let (_, addr) = &self.workers[worker];
        let url = format!("http://{addr}/stand-in/events");
        self.client.get(&url).await.unwrap_or_default()
    }

    /// Returns a load of `rate` requests per second, spread over all hosts.
    pub fn load(&self, name: &str, service: &str, rate: f64, seconds: u64) -> caller::Load {
        caller::Load {
            hosts: self.hosts.values().map(|host| host.caller).collect(),
            service: service.to_owned(),
            rate,
            duration: time::Duration::from_secs(seconds),
            repeatable: None,
            timeout: time::Duration::from_secs(5),
            name: name.to_owned(),
        }
    }
}

/// Returns the sum of a host's metrics whose lines begin with `start` and contain `part`.
pub async fn sum_metrics(operator: net::SocketAddr, start: &str, part: &str) -> u64 {
    let url = format!("http://{operator}/metrics");
    let client = client::Client::new(CALL_TIMEOUT);
    let body = client.send(hyper::Method::GET, &url, bytes::Bytes::new()).await;
    let text = String::from_utf8_lossy(&body.expect("no metrics")).into_owned();
    let lines = text.lines().filter(|line| line.starts_with(start) && line.contains(part));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    values.sum()
}

/// Waits until a condition holds; panics with `what` if it takes too long.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let end = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(tokio::time::Instant::now() < end, "timed out waiting for {what}");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// Runs a test on its own runtime with two threads.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("can't build a runtime");
    runtime.block_on(test);
}

/// Starts a program of this workspace in the background.
pub fn spawn(name: &str, args: &[&str]) -> Process {
    let mut command = process::Command::new(program_path(name));
    command.args(args).stdin(process::Stdio::null());
    Process(start(&mut command))
}

/// Starts a program of this workspace in the background, with limits of its own if any are given.
pub fn spawn_limited(name: &str, args: &[&str], limits: Option<ProcessLimits>) -> Process {
    let Some(limits) = limits else {
        return spawn(name, args);
    };
    let mut command = process::Command::new("sh");
    command
        .args(["-c", "ulimit -d \"$1\" && ulimit -n \"$2\" && shift 2 && exec \"$@\"", "sh"])
        .args([limits.data_kb.to_string(), limits.descriptors.to_string()])
        .arg(program_path(name))
        .args(args)
        .stdin(process::Stdio::null());
    Process(start(&mut command))
}

/// Starts a program of this workspace in the background, with its output appended to a file.
pub fn spawn_logged(name: &str, args: &[&str], log: &path::Path) -> Process {
    let log = fs::OpenOptions::new().create(true).append(true).open(log);
    let log = log.expect("can't open the log");
    let mut command = process::Command::new(program_path(name));
    command.args(args).stdin(process::Stdio::null()).stdout(log);
    Process(start(&mut command))
}

/// Spawns a process while no port is being probed.
fn start(command: &mut process::Command) -> process::Child {
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(sync::PoisonError::into_inner);
    command.spawn().unwrap_or_else(|err| panic!("{command:?}: {err}"))
}

/// Runs a program of this workspace until it exits, on a blocking thread.
pub async fn output(name: &str, args: &[&str]) -> process::Output {
    let mut command = process::Command::new(program_path(name));
    command.args(args);
    let run = tokio::task::spawn_blocking(move || command.output());
    run.await.expect("the thread panicked").expect("can't run the program")
}

/// Returns the path of a program of this workspace, in the folder of the command line's binary.
pub fn program_path(name: &str) -> path::PathBuf {
    let cli = path::Path::new(env!("CARGO_BIN_EXE_wharflane"));
    cli.with_file_name(name)
}

/// Returns a port that is free now and that no other test gets, in this process or another.
///
/// The ports are below those that the system uses for outgoing connections, so that no outgoing
/// connection occupies the port before a process binds it a little later.
pub fn free_port() -> net::SocketAddr {
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(sync::PoisonError::into_inner);
    loop {
        let port = PORT_BLOCK.next.fetch_add(1, sync::atomic::Ordering::Relaxed);
        assert!(
            !port.is_multiple_of(PORTS_PER_PROCESS),
            "this process has used all its reserved ports"
        );
        let addr = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port));
        if net::TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}
