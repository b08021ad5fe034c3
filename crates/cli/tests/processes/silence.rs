//! Tests a host whose open connections to the store all go silent, while new ones work.
//!
//! The host's feeds must then resume where they stopped, without another read of the stored state.

use std::fs;
use std::net;
use std::time;

use wharflane::{job, size};
use wharflane_caller::job as caller;
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::server;
use wharflane_stand_in::proxy;

use crate::fleet;

cases! {
    a_configuration_change_arrives_after_silence_without_a_new_read => fleet::run(new_config()),
    jobs_and_cancels_arrive_after_silence_without_a_new_read => fleet::run(submission_and_cancel()),
}

/// Limit of one call to the host.
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Run time of a task.
const TASK_TIME: time::Duration = time::Duration::from_millis(100);
/// Number of feeds of a host that holds the domain: configuration, workers, jobs.
const FEEDS: u64 = 3;

/// A host of the job service with a proxy between it and the store.
struct Host {
    /// Stand-ins of the platform, with the workers.
    platform: server::Platform,
    /// Forwards the host's connections to the store, and can silence them.
    proxy: proxy::Proxy,
    /// The host's process, killed on drop.
    _process: fleet::Process,
    /// Address of the callers' port.
    caller: net::SocketAddr,
    /// Address of the operators' port.
    operator: net::SocketAddr,
    /// Folder of the settings file, removed on drop.
    _folder: tempfile::TempDir,
}

impl Host {
    /// Starts a host and waits until it has completed a job.
    async fn start() -> Self {
        let platform =
            server::Platform::start(3, TASK_TIME).await.expect("can't start the platform");
        let proxy = proxy::Proxy::start(platform.store).await.expect("can't start the proxy");
        let [caller, operator, peer] = [fleet::free_port(), fleet::free_port(), fleet::free_port()];
        // The lease outlasts the test, so that losing it causes no read of the stored state.
        let text = format!(
            "host = \"host\"\nhall = \"hall\"\n[listen]\ncaller = \"{caller}\"\n\
             operator = \"{operator}\"\npeer = \"{peer}\"\n[jobs]\nstore = \"{}\"\n\
             lease_ms = 60000\n[log]\nlevel = \"warn\"\n",
            proxy.addr
        );
        let folder = tempfile::tempdir().expect("can't create a folder");
        let path = folder.path().join("host.toml");
        fs::write(&path, text).expect("can't write the settings");
        let process = fleet::spawn("wharflaned", &["--config", &path.display().to_string()]);
        let host = Self { platform, proxy, _process: process, caller, operator, _folder: folder };
        fleet::wait_until("the host to answer", async || {
            host.jobs().count_waiting(server::QUEUE).await.is_ok()
        })
        .await;
        host.submit(job::JobId(1), &submission(false)).await;
        host.wait_for_phase(job::JobId(1), job::Phase::Completed).await;
        host
    }

    /// Returns a job client of the host.
    fn jobs(&self) -> caller::Jobs {
        caller::Jobs::new(self.caller, TIMEOUT)
    }

    /// Submits a job, repeatedly until the host accepts it.
    async fn submit(&self, id: job::JobId, submission: &caller::Submission) {
        let job = job::Job {
            queue: server::QUEUE.to_owned(),
            service: "service".into(),
            spec: submission.spec.clone(),
            steps: submission.steps.clone(),
            repeats: None,
        };
        self.platform.lock().checker.jobs.insert(id, job);
        fleet::wait_until("the job to be accepted", async || {
            let reply = self.jobs().submit(server::QUEUE, id, submission).await;
            matches!(reply, Ok(caller::JobReply::Accepted))
        })
        .await;
    }

    /// Waits until the host reports a phase of a job.
    async fn wait_for_phase(&self, id: job::JobId, phase: job::Phase) {
        fleet::wait_until("the phase of the job", async || {
            let reply = self.jobs().state(server::QUEUE, id).await;
            matches!(reply, Ok(caller::JobReply::State(found)) if found == phase)
        })
        .await;
    }

    /// Returns the sum of the host's metrics whose lines begin with `start` and contain `part`.
    async fn metric(&self, start: &str, part: &str) -> u64 {
        fleet::sum_metrics(self.operator, start, part).await
    }

    /// Returns, for a kind of store call, how many the host made and how many got no answer.
    async fn calls(&self, call: &str) -> (u64, u64) {
        let start = format!("wharflane_platform_calls_total{{call=\"{call}\"");
        (self.metric(&start, "").await, self.metric(&start, "silent").await)
    }

    /// Returns how many tasks run on all workers.
    fn running_tasks(&self) -> usize {
        let state = self.platform.lock();
        state.workers.iter().map(|worker| worker.running().count()).sum()
    }

    /// Checks that each feed lost at most one call, and that the checker found no violation.
    async fn check_feeds_and_violations(&self) {
        let (_, lost) = self.calls("feed").await;
        assert!((1..=FEEDS).contains(&lost), "{lost} feed calls got no answer");
        assert_eq!(self.platform.lock().checker.violations, Vec::new());
    }
}

/// Returns a job of one step with three tasks, which run until cancelled if `lasting` is set.
fn submission(lasting: bool) -> caller::Submission {
    let size = size::Size { cpu_milli: 300, mem_mb: 100, accelerators: 0 };
    let step = job::Step { count: 3, size, lasting, ..job::Step::default() };
    caller::Submission { spec: "spec".to_owned(), steps: vec![step], repeats: None }
}

/// A configuration changed right after the connections went silent reaches the host.
async fn new_config() {
    let host = Host::start().await;
    let before = host.calls("config").await;
    host.proxy.silence();
    host.platform.configure(2);
    fleet::wait_until("the configuration to be in force", async || {
        host.metric("wharflane_config_revision", "").await == 2
    })
    .await;
    assert_eq!(host.calls("config").await, before, "the configuration was read again");
    host.check_feeds_and_violations().await;
}

/// A cancel and a submission right after the connections went silent reach the holder.
async fn submission_and_cancel() {
    let host = Host::start().await;
    host.submit(job::JobId(2), &submission(true)).await;
    fleet::wait_until("three running tasks", async || host.running_tasks() == 3).await;
    let before = host.calls("all").await;
    host.proxy.silence();
    fleet::wait_until("the job to be cancelled", async || {
        let reply = host.jobs().cancel(server::QUEUE, job::JobId(2)).await;
        matches!(reply, Ok(caller::JobReply::Cancelled))
    })
    .await;
    host.submit(job::JobId(3), &submission(false)).await;
    fleet::wait_until("no running task", async || host.running_tasks() == 0).await;
    host.wait_for_phase(job::JobId(2), job::Phase::Cancelled).await;
    host.wait_for_phase(job::JobId(3), job::Phase::Completed).await;
    assert_eq!(host.calls("all").await, before, "the stored state was read again");
    host.check_feeds_and_violations().await;
}
