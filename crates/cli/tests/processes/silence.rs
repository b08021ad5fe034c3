//! A host whose open connections to the store all go silent while new ones work.

use std::fs;
use std::net;
use std::time;

use bytes::Bytes;
use hyper::Method;
use wharflane::{job, size};
use wharflane_caller::job as caller;
use wharflane_http::client;
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::server;
use wharflane_stand_in::proxy;

use crate::fleet;

cases! {
    a_configuration_is_heard_after_silence_without_reading_anew => fleet::run(configured()),
    jobs_and_cancels_are_heard_after_silence_without_reading_anew => fleet::run(jobs()),
}

/// How long a call may take.
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// How long a task's work takes.
const WORK: time::Duration = time::Duration::from_millis(100);
/// The feeds of a host that holds the domain: configuration, workers, jobs.
const FEEDS: u64 = 3;

/// A host with a proxy between it and the store.
struct Host {
    /// The platform.
    platform: server::Platform,
    /// The proxy before the store.
    proxy: proxy::Proxy,
    /// The host.
    _process: fleet::Process,
    /// Where callers reach it.
    caller: net::SocketAddr,
    /// Where operators reach it.
    operator: net::SocketAddr,
    /// Where its settings lie.
    _folder: tempfile::TempDir,
}

impl Host {
    /// Starts a host and waits until it runs jobs.
    async fn start() -> Self {
        let platform = server::Platform::start(3, WORK).await.expect("a platform");
        let proxy = proxy::Proxy::start(platform.store).await.expect("a proxy");
        let [caller, operator, peer] = [fleet::free_port(), fleet::free_port(), fleet::free_port()];
        // A lease that outlasts the test, so that nothing is read anew because it was lost.
        let text = format!(
            "host = \"host\"\nhall = \"hall\"\n[listen]\ncaller = \"{caller}\"\n\
             operator = \"{operator}\"\npeer = \"{peer}\"\n[jobs]\nstore = \"{}\"\n\
             lease_ms = 60000\n[log]\nlevel = \"warn\"\n",
            proxy.addr
        );
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("host.toml");
        fs::write(&path, text).expect("settings written");
        let process = fleet::spawn("wharflaned", &["--config", &path.display().to_string()]);
        let host = Self { platform, proxy, _process: process, caller, operator, _folder: folder };
        fleet::until("an answer", async || host.jobs().waiting(server::QUEUE).await.is_ok()).await;
        host.hand_in(job::JobId(1), &submission(false)).await;
        host.until(job::JobId(1), job::Phase::Completed).await;
        host
    }

    /// Returns a client of the host.
    fn jobs(&self) -> caller::Jobs {
        caller::Jobs::new(self.caller, TIMEOUT)
    }

    /// Hands a job in, again where the host could not tell.
    async fn hand_in(&self, id: job::JobId, submission: &caller::Submission) {
        let job = job::Job {
            queue: server::QUEUE.to_owned(),
            service: "service".into(),
            spec: submission.spec.clone(),
            steps: submission.steps.clone(),
            repeats: None,
        };
        self.platform.lock().judge.jobs.insert(id, job);
        fleet::until("the job accepted", async || {
            let told = self.jobs().submit(server::QUEUE, id, submission).await;
            matches!(told, Ok(caller::JobReply::Accepted))
        })
        .await;
    }

    /// Waits until a job is told to have come to a phase.
    async fn until(&self, id: job::JobId, phase: job::Phase) {
        fleet::until("the phase", async || {
            let told = self.jobs().state(server::QUEUE, id).await;
            matches!(told, Ok(caller::JobReply::State(found)) if found == phase)
        })
        .await;
    }

    /// Returns the sum of the host's metrics whose lines have a start and hold a text.
    async fn metric(&self, start: &str, part: &str) -> u64 {
        let url = format!("http://{}/metrics", self.operator);
        let client = client::Client::new(TIMEOUT);
        let body = client.send(Method::GET, &url, Bytes::new()).await.expect("metrics");
        let text = String::from_utf8_lossy(&body).into_owned();
        let lines = text.lines().filter(|line| line.starts_with(start) && line.contains(part));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
        values.sum()
    }

    /// Returns how often the host called the store, and got no answer, for a kind of call.
    async fn calls(&self, call: &str) -> (u64, u64) {
        let start = format!("wharflane_platform_calls_total{{call=\"{call}\"");
        (self.metric(&start, "").await, self.metric(&start, "silent").await)
    }

    /// Returns how many tasks are at work.
    fn at_work(&self) -> usize {
        let state = self.platform.lock();
        state.workers.iter().map(|worker| worker.running().count()).sum()
    }

    /// Checks that each feed lost one call at most and that nothing was broken.
    async fn judge(&self) {
        let (_, lost) = self.calls("feed").await;
        assert!((1..=FEEDS).contains(&lost), "{lost} feeds without an answer");
        assert_eq!(self.platform.lock().judge.breaches, Vec::new());
    }
}

/// Returns a job of one step with three tasks.
fn submission(lasting: bool) -> caller::Submission {
    let size = size::Size { cpu_milli: 300, mem_mb: 100, accelerators: 0 };
    let step = job::Step { count: 3, size, lasting, ..job::Step::default() };
    caller::Submission { spec: "spec".to_owned(), steps: vec![step], repeats: None }
}

/// Changes the configuration right after all connections to the store went silent.
async fn configured() {
    let host = Host::start().await;
    let before = host.calls("config").await;
    host.proxy.silence();
    host.platform.configure(2);
    fleet::until("the configuration in force", async || {
        host.metric("wharflane_config_revision", "").await == 2
    })
    .await;
    assert_eq!(host.calls("config").await, before, "the feed went on, nothing was read anew");
    host.judge().await;
}

/// Cancels a job, and hands another in, right after all connections to the store went silent.
async fn jobs() {
    let host = Host::start().await;
    host.hand_in(job::JobId(2), &submission(true)).await;
    fleet::until("three at work", async || host.at_work() == 3).await;
    let before = host.calls("all").await;
    host.proxy.silence();
    fleet::until("the job cancelled", async || {
        let told = host.jobs().cancel(server::QUEUE, job::JobId(2)).await;
        matches!(told, Ok(caller::JobReply::Cancelled))
    })
    .await;
    host.hand_in(job::JobId(3), &submission(false)).await;
    fleet::until("none at work", async || host.at_work() == 0).await;
    host.until(job::JobId(2), job::Phase::Cancelled).await;
    host.until(job::JobId(3), job::Phase::Completed).await;
    assert_eq!(host.calls("all").await, before, "the feeds went on, nothing was read anew");
    host.judge().await;
}
