//! Hosts of the job service as separate processes on one stand-in platform, and its caller.

use std::fs;
use std::net;
use std::path;
use std::time;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use wharflane::{job, size};
use wharflane_caller::job as caller;
use wharflane_operator as operator;
use wharflane_stand_in::jobs::{server, worker};

use crate::fleet;

/// Limit of one call by a test's client.
pub(crate) const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Run time of a task.
pub(crate) const TASK_TIME: time::Duration = time::Duration::from_millis(300);
/// Time after which hosts take over a lease that has not been renewed.
pub(crate) const LEASE_MS: u64 = 1_500;

/// The settings of a host with few processors.
const WEAK: &str = "[limits]\ncpu_cores = 0.1\n";

/// What hosts log, and where to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Log {
    /// Warnings, to the output of the test.
    Warnings,
    /// Decisions as well, to one file for each host.
    Files,
}

/// What differs between the services of tests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    /// Number of workers.
    pub(crate) workers: usize,
    /// What hosts log, and where to.
    pub(crate) log: Log,
    /// Whether hosts have few processors: a weak host leaves a lease to its holder for longer.
    pub(crate) weak: bool,
    /// The longest lease that workers grant, as hosts and workers know it.
    pub(crate) longest_lease: time::Duration,
    /// Limits of the hosts' processes; `None` for those of the test.
    pub(crate) process_limits: Option<fleet::ProcessLimits>,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            workers: 3,
            log: Log::Warnings,
            weak: false,
            longest_lease: worker::MAX_LEASE,
            process_limits: None,
        }
    }
}

/// Hosts of the job service on one platform.
pub(crate) struct JobService {
    /// Stand-ins of the platform, with their workers.
    pub(crate) platform: server::Platform,
    /// Process and callers' port of each host.
    pub(crate) hosts: Vec<(fleet::Process, net::SocketAddr)>,
    /// Operators' port of each host.
    pub(crate) operators: Vec<net::SocketAddr>,
    /// Folder of settings, logs and job files, removed on drop.
    pub(crate) folder: tempfile::TempDir,
    /// What differs between the services of tests.
    setup: Setup,
}

impl JobService {
    /// Starts a platform with three workers, and hosts; waits until every host answers.
    pub(crate) async fn start(hosts: usize) -> Self {
        Self::start_with(hosts, Setup::default()).await
    }

    /// Starts a platform with workers, and hosts; waits until every host answers.
    pub(crate) async fn start_with(hosts: usize, setup: Setup) -> Self {
        let platform = server::Platform::start(setup.workers, TASK_TIME).await;
        let platform = platform.expect("can't start the platform");
        for worker in &mut platform.lock().workers {
            worker.longest_lease = setup.longest_lease;
        }
        let folder = tempfile::tempdir().expect("can't create a folder");
        let mut service =
            Self { platform, hosts: Vec::new(), operators: Vec::new(), folder, setup };
        (0..hosts).for_each(|_| service.add_host(LEASE_MS));
        for host in 0..hosts {
            service.wait_until_ready(host).await;
        }
        service
    }

    /// Waits until a host has a configuration and answers callers.
    pub(crate) async fn wait_until_ready(&self, host: usize) {
        let jobs = self.jobs(host);
        fleet::wait_until("the host to answer", async || {
            jobs.count_waiting(server::QUEUE).await.is_ok()
        })
        .await;
    }

    /// Waits until a host has put a revision of the configuration in force.
    pub(crate) async fn wait_for_revision(&self, host: usize, revision: u64) {
        let operator = operator::Operator::new(self.operators[host], TIMEOUT);
        fleet::wait_until("the host to read the configuration", async || {
            operator.status().await.is_ok_and(|status| status.revision >= revision)
        })
        .await;
    }

    /// Starts another host, which takes over a lease that was not renewed for `lease_ms`.
    pub(crate) fn add_host(&mut self, lease_ms: u64) {
        let [caller, operator, peer] = [fleet::free_port(), fleet::free_port(), fleet::free_port()];
        self.operators.push(operator);
        let name = format!("host-{}", self.hosts.len());
        let (store, advisor) = (self.platform.store, self.platform.advisor);
        let longest_lease_ms = self.setup.longest_lease.as_millis();
        let limits = if self.setup.weak { WEAK } else { "" };
        let log = match self.setup.log {
            Log::Warnings => "level = \"warn\"",
            Log::Files => "format = \"json\"\nlevel = \"info\"",
        };
        let text = format!(
            "host = \"{name}\"\nhall = \"hall\"\n[listen]\ncaller = \"{caller}\"\n\
             operator = \"{operator}\"\npeer = \"{peer}\"\n[jobs]\nstore = \"{store}\"\nadvisor = \"{advisor}\"\n\
             lease_ms = {lease_ms}\nhold_max_ms = {longest_lease_ms}\n{limits}[log]\n{log}\n"
        );
        let path = self.folder.path().join(format!("{name}.toml"));
        fs::write(&path, text).expect("can't write the settings");
        let process = self.spawn_host(self.hosts.len());
        self.hosts.push((process, caller));
    }

    /// Starts the process of a host whose settings are written.
    fn spawn_host(&self, host: usize) -> fleet::Process {
        let path = self.folder.path().join(format!("host-{host}.toml"));
        let path = path.display().to_string();
        let args = ["--config", path.as_str()];
        match self.setup.log {
            Log::Warnings => fleet::spawn_limited("wharflaned", &args, self.setup.process_limits),
            Log::Files => fleet::spawn_logged("wharflaned", &args, &self.log_path(host)),
        }
    }

    /// Returns the path of a host's log.
    pub(crate) fn log_path(&self, host: usize) -> path::PathBuf {
        self.folder.path().join(format!("host-{host}.log"))
    }

    /// Returns the sum of a host's metrics whose lines begin with a name.
    pub(crate) async fn metric(&self, host: usize, name: &str) -> u64 {
        fleet::sum_metrics(self.operators[host], name, "").await
    }

    /// Kills a host and starts it again with the same settings, without waiting until it answers.
    pub(crate) fn restart(&mut self, host: usize) {
        self.kill(host);
        self.hosts[host].0 = self.spawn_host(host);
    }

    /// Kills a host by its index.
    pub(crate) fn kill(&mut self, host: usize) {
        self.hosts[host].0.kill();
    }

    /// Returns a job client of a host.
    pub(crate) fn jobs(&self, host: usize) -> caller::Jobs {
        caller::Jobs::new(self.hosts[host].1, TIMEOUT)
    }

    /// Submits a job of two steps until it is accepted, and registers it with the checker.
    pub(crate) async fn submit(&self, host: usize, id: u64) -> job::JobId {
        let id = job::JobId(id);
        self.submit_job(host, id, &two_steps()).await;
        id
    }

    /// Submits a job until it is accepted, and registers it with the checker.
    pub(crate) async fn submit_job(
        &self,
        host: usize,
        id: job::JobId,
        submission: &caller::Submission,
    ) {
        self.register(id, submission.clone());
        // The outcome of a call with status 504 is unknown; the caller submits the job again.
        fleet::wait_until("the job to be accepted", async || {
            match self.jobs(host).submit(server::QUEUE, id, submission).await {
                Ok(reply) => reply == caller::JobReply::Accepted,
                Err(caller::JobError::Refused { status: 504, .. }) => false,
                Err(err) => panic!("{err}"),
            }
        })
        .await;
    }

    /// Removes the queue, kills all hosts and starts another; waits until it has started all tasks of
    /// job 1, and until the job completes once its queue is back. Returns how many calls for advice
    /// were made while it was away.
    pub(crate) async fn remove_queue_and_hosts(&mut self) -> u64 {
        self.platform.configure_without_queue(3);
        for (process, _) in &mut self.hosts {
            process.kill();
        }
        let advice_calls = self.platform.lock().advice_calls;
        self.add_host(LEASE_MS);
        fleet::wait_until("the tasks of both steps to start", async || {
            self.platform.lock().checker.starts == 5
        })
        .await;
        let advice_calls = self.platform.lock().advice_calls - advice_calls;
        self.platform.configure(4);
        let last = self.hosts.len() - 1;
        self.wait_for_phase(last, job::JobId(1), job::Phase::Completed).await;
        self.check_violations_and_starts(5);
        advice_calls
    }

    /// Registers a job with the checker, which checks its starts and ends.
    pub(crate) fn register(&self, id: job::JobId, submission: caller::Submission) {
        let job = job::Job {
            queue: server::QUEUE.to_owned(),
            service: "service".into(),
            spec: submission.spec,
            steps: submission.steps,
            repeats: submission.repeats,
        };
        self.platform.lock().checker.jobs.insert(id, job);
    }

    /// Waits until a host reports a phase of a job.
    pub(crate) async fn wait_for_phase(&self, host: usize, id: job::JobId, phase: job::Phase) {
        let jobs = self.jobs(host);
        fleet::wait_until("the phase of the job", async || {
            let reply = jobs.state(server::QUEUE, id).await;
            matches!(reply, Ok(caller::JobReply::State(found)) if found == phase)
        })
        .await;
    }

    /// Returns the lease of the domain, as stored.
    pub(crate) fn lease(&self) -> job::Lease {
        let row = self.platform.lock().rows.get(&job::lease_key(0)).and_then(|row| row.value);
        serde_json::from_str(&row.expect("no lease row")).expect("an unreadable lease row")
    }

    /// Checks that the checker found no violation and counted the given number of task starts.
    pub(crate) fn check_violations_and_starts(&self, starts: u64) {
        let state = self.platform.lock();
        assert_eq!(state.checker.violations, Vec::new());
        assert_eq!(state.checker.starts, starts);
    }
}

/// Returns the index of the host that holds a lease.
pub(crate) fn host_of(lease: &job::Lease) -> usize {
    let holder = lease.holder.as_ref().expect("nobody holds the domain");
    let number = holder.as_str().strip_prefix("host-").and_then(|number| number.parse().ok());
    number.expect("an unknown host")
}

/// Returns a job of two dependent steps, with three and two tasks.
pub(crate) fn two_steps() -> caller::Submission {
    let size = size::Size { cpu_milli: 300, mem_mb: 100, accelerators: 0 };
    let first = job::Step { count: 3, size, ..job::Step::default() };
    let second = job::Step { count: 2, size, after: vec![0], ..job::Step::default() };
    caller::Submission { spec: "spec".to_owned(), steps: vec![first, second], repeats: None }
}

/// Submits a job with a deadline and returns the status and the `retry-after` header in seconds.
pub(crate) async fn submit_with_deadline(
    host: net::SocketAddr,
    id: u64,
    deadline_ms: u64,
) -> (u16, u64) {
    let body = serde_json::to_string(&two_steps()).expect("can't encode the job");
    let request = format!(
        "POST /jobs/{}/{} HTTP/1.1\r\nhost: host\r\nconnection: close\r\n{}: {deadline_ms}\r\n\
         content-length: {}\r\n\r\n{body}",
        server::QUEUE,
        job::JobId(id),
        server::DEADLINE_HEADER,
        body.len()
    );
    let mut stream = tokio::net::TcpStream::connect(host).await.expect("can't connect");
    stream.write_all(request.as_bytes()).await.expect("can't send the request");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.expect("can't read the response");
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
    let after =
        text.lines().find_map(|line| line.strip_prefix("retry-after: ")?.trim().parse().ok());
    (status.expect("no status"), after.expect("no retry-after"))
}
