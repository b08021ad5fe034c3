//! A host under a crowd: its limits, what it takes of them, and an ordinary call to it.

use std::fs;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use wharflane::job;
use wharflane_stand_in::jobs::server;

use crate::fleet;
use crate::job_service;

/// Memory of the smallest machine in use, in kilobytes.
const SMALLEST_MACHINE_KB: u64 = 160 << 10;
/// Memory of the tests' machine: half of the smallest, since their crowds are a part of those that
/// such a machine may meet.
const MACHINE_KB: u64 = SMALLEST_MACHINE_KB / 2;
/// Interval between looks at a process.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Time after which an ordinary caller gives up and tries again.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Limits of a host's process under a crowd.
pub fn limits(descriptors: u64) -> fleet::ProcessLimits {
    fleet::ProcessLimits { data_kb: MACHINE_KB, descriptors }
}

/// A host under a crowd.
pub enum Target {
    /// A host of the job service.
    Jobs(job_service::JobService),
    /// A host that forwards requests to services.
    Services(Box<fleet::Fleet>),
}

impl Target {
    /// Starts a host of the job service.
    pub async fn jobs(limits: fleet::ProcessLimits) -> Self {
        let setup =
            job_service::Setup { process_limits: Some(limits), ..job_service::Setup::default() };
        Self::Jobs(job_service::JobService::start_with(1, setup).await)
    }

    /// Starts a host that forwards requests to a service.
    pub async fn services(limits: fleet::ProcessLimits) -> Self {
        let mut fleet = fleet::Fleet::start(0, 2, &["vake"]).await;
        fleet.host_limits = Some(limits);
        fleet.add_host("entry-0", "vake");
        fleet::wait_until("the list of machines", async || fleet.publish_members().await).await;
        fleet.apply("entry-0", fleet::SERVICE).await;
        fleet.wait_for_endpoints("lending", 1).await;
        Self::Services(Box::new(fleet))
    }

    /// Returns the callers' port of the host.
    pub fn addr(&self) -> net::SocketAddr {
        match self {
            Self::Jobs(service) => service.hosts[0].1,
            Self::Services(fleet) => fleet.host("entry-0").caller,
        }
    }

    /// Waits until the host tells the load balancer, at the operators' port, that it is ready.
    pub async fn check_ready(&mut self) {
        let operators = match self {
            Self::Jobs(service) => service.operators[0],
            Self::Services(fleet) => fleet.host("entry-0").operator,
        };
        fleet::wait_until("the host to be ready", async || {
            self.check_lives();
            let question = b"GET /ready HTTP/1.1\r\nhost: host\r\n\r\n";
            let status = first_status(operators, question);
            tokio::time::timeout(CALL_TIMEOUT, status).await.ok().flatten() == Some(200)
        })
        .await;
    }

    /// Returns the path of a request that the host takes.
    pub fn path(&self) -> String {
        match self {
            Self::Jobs(_) => format!("/jobs/{}/00000000000000ff", server::QUEUE),
            Self::Services(_) => "/lending/crowd".to_owned(),
        }
    }

    /// Returns the id of the host's process.
    pub fn process_id(&self) -> u32 {
        match self {
            Self::Jobs(service) => service.hosts[0].0.0.id(),
            Self::Services(fleet) => fleet.host("entry-0").process.0.id(),
        }
    }

    /// Fails the test if the host's process has ended.
    pub fn check_lives(&mut self) {
        let process = match self {
            Self::Jobs(service) => &mut service.hosts[0].0,
            Self::Services(fleet) => {
                &mut fleet.hosts.get_mut("entry-0").expect("the host is there").process
            }
        };
        let ended = process.0.try_wait().expect("can't ask for the process");
        assert!(ended.is_none(), "the host's process has ended: {ended:?}");
    }

    /// Makes an ordinary call until it is answered with success: hands a small job in, or sends a
    /// small request to a service.
    pub async fn make_ordinary_call(&mut self, id: u64) {
        let body = match self {
            Self::Jobs(service) => {
                service.register(job::JobId(id), job_service::two_steps());
                serde_json::to_string(&job_service::two_steps()).expect("can't encode the job")
            }
            Self::Services(_) => "ordinary".to_owned(),
        };
        let path = match self {
            Self::Jobs(_) => format!("/jobs/{}/{}", server::QUEUE, job::JobId(id)),
            Self::Services(_) => "/lending/ordinary".to_owned(),
        };
        let host = self.addr();
        fleet::wait_until("an ordinary call to be answered", async || {
            self.check_lives();
            let call = post(host, &path, &body);
            tokio::time::timeout(CALL_TIMEOUT, call).await.ok().flatten() == Some(200)
        })
        .await;
    }
}

/// Sends a request over a new connection and returns the status of its answer, if there is one.
pub async fn post(host: net::SocketAddr, path: &str, body: &str) -> Option<u16> {
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: host\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = tokio::net::TcpStream::connect(host).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok()?;
    String::from_utf8_lossy(&answer).split(' ').nth(1)?.parse().ok()
}

/// Sends bytes over a new connection, which stays open, and returns the status of the answer.
pub async fn first_status(host: net::SocketAddr, bytes: &[u8]) -> Option<u16> {
    let mut stream = tokio::net::TcpStream::connect(host).await.ok()?;
    stream.write_all(bytes).await.ok()?;
    let mut status = [0; "HTTP/1.1 200".len()];
    stream.read_exact(&mut status).await.ok()?;
    String::from_utf8_lossy(&status).split(' ').nth(1)?.parse().ok()
}

/// Looks at a host's process from outside, until it is dropped.
pub struct Watcher {
    /// Id of the process.
    process_id: u32,
    /// Largest memory seen, with unread bytes of its callers' connections, in kilobytes.
    peak_kb: sync::Arc<atomic::AtomicU64>,
    /// Largest number of open descriptors seen.
    peak_descriptors: sync::Arc<atomic::AtomicU64>,
    /// Tells the thread to end.
    stop: sync::Arc<atomic::AtomicBool>,
}

impl Watcher {
    /// Starts to look at the host of a target.
    pub fn start(target: &Target) -> Self {
        let watcher = Self {
            process_id: target.process_id(),
            peak_kb: sync::Arc::default(),
            peak_descriptors: sync::Arc::default(),
            stop: sync::Arc::default(),
        };
        let (process_id, port) = (watcher.process_id, target.addr().port());
        let peak_kb = sync::Arc::clone(&watcher.peak_kb);
        let peak_descriptors = sync::Arc::clone(&watcher.peak_descriptors);
        let stop = sync::Arc::clone(&watcher.stop);
        thread::spawn(move || {
            while !stop.load(atomic::Ordering::Relaxed) {
                let resident_kb = status_kb(process_id, "VmRSS:") + unread_bytes(port) / 1_024;
                let highest_kb = resident_kb.max(status_kb(process_id, "VmHWM:"));
                peak_kb.fetch_max(highest_kb, atomic::Ordering::Relaxed);
                peak_descriptors.fetch_max(descriptors(process_id), atomic::Ordering::Relaxed);
                thread::sleep(LOOK_INTERVAL);
            }
        });
        watcher
    }

    /// Fails the test if the host has taken more memory than its machine has, or more descriptors
    /// than `bound`.
    pub fn check_bounds(&self, bound: u64) {
        let peak_kb = self.peak_kb.load(atomic::Ordering::Relaxed);
        let peak = self.peak_descriptors.load(atomic::Ordering::Relaxed);
        println!("peak: {peak_kb} kB, {peak} descriptors");
        assert!(peak_kb <= MACHINE_KB, "{peak_kb} kB taken, the machine has {MACHINE_KB} kB");
        assert!(peak <= bound, "{peak} descriptors open, {bound} are allowed");
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.stop.store(true, atomic::Ordering::Relaxed);
    }
}

/// Returns a figure of a process's memory, in kilobytes; zero once it has ended.
fn status_kb(process_id: u32, name: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

/// Returns the number of descriptors that a process has open; zero once it has ended.
fn descriptors(process_id: u32) -> u64 {
    fs::read_dir(format!("/proc/{process_id}/fd")).map_or(0, |all| all.count() as u64)
}

/// Returns the bytes that have arrived for a port's connections and are not read yet.
pub fn unread_bytes(port: u16) -> u64 {
    let local = format!(":{port:04X}");
    let text = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let mut connections = text.lines().skip(1).map(str::split_whitespace);
    let unread = |fields: &mut std::str::SplitWhitespace<'_>| {
        let is_local = fields.nth(1).is_some_and(|addr| addr.ends_with(&local));
        // A listener's figure counts connections.
        let is_connection = fields.nth(1).is_some_and(|state| state != "0A");
        let queues = fields.next().filter(|_| is_local && is_connection)?;
        u64::from_str_radix(queues.split_once(':')?.1, 16).ok()
    };
    connections.by_ref().filter_map(|mut fields| unread(&mut fields)).sum()
}
