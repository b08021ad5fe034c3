//! Guards each client against losing more than one call when all its open connections die without a
//! reset while new connections work.

use std::net;
use std::time;

use futures::future;
use wharflane::{id, job, rows};
use wharflane_adapter::{advice, config, entry, store, workers};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::server;
use wharflane_stand_in::proxy;
use wharflane_stand_in::runtime;

cases! {
    dead_connections_fail_one_store_call => runtime::on_many_threads(store_calls()),
    dead_connections_fail_one_feed => runtime::on_many_threads(store_feeds()),
    dead_connections_fail_one_call_with_a_shorter_caller_timeout => runtime::on_many_threads(impatient_calls()),
    dead_connections_fail_one_heartbeat => runtime::on_many_threads(worker_heartbeats()),
    dead_connections_fail_one_order => runtime::on_many_threads(worker_orders()),
    dead_connections_fail_one_advice_request => runtime::on_many_threads(advice_requests()),
}

/// Timeout of a call: an answer over loopback takes a thousandth of it.
const TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// Delay of answers, so that concurrent calls need a connection each.
const DELAY: time::Duration = time::Duration::from_millis(100);
/// Number of concurrent calls, and so of idle connections afterwards.
const CONCURRENT_CALLS: usize = 6;

/// Starts a stand-in of the platform with a number of workers.
async fn start_platform(workers: usize) -> server::Platform {
    server::Platform::start(workers, time::Duration::ZERO).await.expect("a platform")
}

/// Starts a proxy in front of a peer.
async fn start_proxy(peer: net::SocketAddr) -> proxy::Proxy {
    proxy::Proxy::start(peer).await.expect("a proxy")
}

/// Makes sequential calls and returns whether each was answered, and how long it took.
async fn call_sequentially(call: impl AsyncFn() -> bool) -> Vec<(bool, time::Duration)> {
    let mut answered = Vec::new();
    for _ in 0..=CONCURRENT_CALLS {
        let began = time::Instant::now();
        answered.push((call().await, began.elapsed()));
    }
    answered
}

/// Checks that only the first call failed.
fn assert_only_first_fails(answered: &[(bool, time::Duration)]) {
    let failed: Vec<usize> = (0..answered.len()).filter(|at| !answered[*at].0).collect();
    assert_eq!(failed, [0], "failed calls, of {answered:?}");
}

/// Returns a client of the store that has several idle connections through a proxy.
async fn store_with_idle(proxy: &proxy::Proxy) -> store::Store {
    let store = store::Store::new(proxy.addr, TIMEOUT);
    let feeds = (0..CONCURRENT_CALLS).map(|_| store.changes(job::JOBS, u64::MAX, DELAY));
    for answer in future::join_all(feeds).await {
        answer.expect("an answer");
    }
    assert!(proxy.opened() >= CONCURRENT_CALLS, "{} connections", proxy.opened());
    store
}

/// Makes sequential store calls after idle connections went silent.
async fn store_calls() {
    let platform = start_platform(0).await;
    let proxy = start_proxy(platform.store).await;
    let store = store_with_idle(&proxy).await;
    proxy.silence();
    let key = rows::Key { table: job::JOBS, part: String::new(), name: "none".to_owned() };
    assert_only_first_fails(&call_sequentially(async || store.get(&key).await.is_ok()).await);
}

/// Makes sequential store calls that the caller drops before the client's timeout, after idle
/// connections went silent.
async fn impatient_calls() {
    let platform = start_platform(0).await;
    let proxy = start_proxy(platform.store).await;
    let store = store_with_idle(&proxy).await;
    proxy.silence();
    let key = rows::Key { table: job::JOBS, part: String::new(), name: "none".to_owned() };
    let call = async || {
        tokio::time::timeout(TIMEOUT / 2, store.get(&key)).await.is_ok_and(|answer| answer.is_ok())
    };
    assert_only_first_fails(&call_sequentially(call).await);
}

/// Makes sequential feed calls after idle connections went silent.
async fn store_feeds() {
    let platform = start_platform(0).await;
    let proxy = start_proxy(platform.store).await;
    let store = store_with_idle(&proxy).await;
    proxy.silence();
    let feed = async || store.changes(job::JOBS, u64::MAX, DELAY).await.is_ok();
    assert_only_first_fails(&call_sequentially(feed).await);
}

/// A worker behind a proxy, with several idle connections to it.
struct Worker {
    /// Platform of the worker, which runs until this is dropped.
    _platform: server::Platform,
    /// Proxy that can silence the connections.
    proxy: proxy::Proxy,
    /// Client under test.
    client: workers::Workers,
    /// Incarnation of the worker.
    incarnation: id::Incarnation,
}

impl Worker {
    /// Starts the only worker of a platform and sends it concurrent heartbeats.
    async fn start() -> Self {
        let platform = start_platform(1).await;
        let store = store::Store::new(platform.store, TIMEOUT);
        let listed =
            store.read_part(entry::WORKERS_TABLE, config::EXTERNAL_PART).await.expect("a list");
        let member = entry::member(&listed.rows[0]).expect("a worker");
        let member = member.expect("a listed worker");
        let (incarnation, proxy) = (member.incarnation, start_proxy(member.addr).await);
        let client = workers::Workers::new(TIMEOUT);
        let worker = Self { _platform: platform, proxy, client, incarnation };
        let heartbeats =
            future::join_all((0..CONCURRENT_CALLS).map(|_| worker.send_heartbeat(DELAY))).await;
        assert_eq!(heartbeats, [true; CONCURRENT_CALLS]);
        let opened = worker.proxy.opened();
        assert!(opened >= CONCURRENT_CALLS, "{opened} connections");
        worker
    }

    /// Sends a heartbeat to the worker and returns whether it answered.
    async fn send_heartbeat(&self, wait: time::Duration) -> bool {
        let heartbeat = job::Heartbeat {
            worker: self.incarnation.clone(),
            addr: self.proxy.addr,
            epoch: 1,
            acknowledged_end: 0,
            lease_until_ms: None,
            wait,
            urgent: false,
        };
        matches!(self.client.send_heartbeat(&heartbeat).await, job::HeartbeatAnswer::Lists(_))
    }

    /// Orders the start of a task and returns whether the worker answered.
    async fn start_task(&self) -> bool {
        let task = job::TaskId { job: job::JobId(1), round: 0, step: 0, index: 0 };
        let (worker, addr) = (self.incarnation.clone(), self.proxy.addr);
        let start = job::Start {
            order: job::Order { worker, addr, task, run: 1, epoch: 1 },
            spec: String::new(),
            lease_until_ms: u64::MAX,
            checkpoint: String::new(),
            ticket: String::new(),
            urgent: false,
        };
        self.client.start(&start).await != job::StartAnswer::Silent
    }
}

/// Sends sequential heartbeats after idle connections went silent.
async fn worker_heartbeats() {
    let worker = Worker::start().await;
    worker.proxy.silence();
    assert_only_first_fails(&call_sequentially(async || worker.send_heartbeat(DELAY).await).await);
}

/// Sends sequential orders to a worker after idle connections went silent.
async fn worker_orders() {
    let worker = Worker::start().await;
    worker.proxy.silence();
    assert_only_first_fails(&call_sequentially(async || worker.start_task().await).await);
}

/// Makes sequential advice requests after idle connections went silent.
async fn advice_requests() {
    let platform = start_platform(1).await;
    let proxy = start_proxy(platform.advisor).await;
    let advisor = advice::Advisor::new(Some(proxy.addr));
    let request = job::AdviceRequest {
        job: job::JobId(1),
        round: 0,
        step: 0,
        workers: vec!["w0".into()],
        timeout: TIMEOUT,
    };
    let ask = async || advisor.ask(&request).await.is_ok();
    let answers = future::join_all((0..CONCURRENT_CALLS).map(|_| ask())).await;
    assert_eq!(answers, [true; CONCURRENT_CALLS]);
    assert!(proxy.opened() >= CONCURRENT_CALLS, "{} connections", proxy.opened());
    proxy.silence();
    assert_only_first_fails(&call_sequentially(ask).await);
}
