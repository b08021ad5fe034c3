//! What each client of a peer loses when all its open connections go silent while new ones work.

use std::net;
use std::time;

use futures::future;
use wharflane::{id, job, rows};
use wharflane_adapter::{advice, config, entry, store, workers};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::server;
use wharflane_stand_in::proxy;

cases! {
    of_calls_of_the_store_silence_costs_one => run(store_calls()),
    of_feeds_silence_costs_one => run(store_feeds()),
    of_calls_whose_callers_wait_less_silence_costs_one => run(impatient_calls()),
    of_looks_at_a_worker_silence_costs_one => run(worker_heartbeats()),
    of_orders_to_a_worker_silence_costs_one => run(worker_orders()),
    of_questions_for_advice_silence_costs_one => run(questions()),
}

/// How long a call may take: an answer on loopback takes a thousandth of it.
const LIMIT: time::Duration = time::Duration::from_millis(800);
/// How long answers are made to wait, so that calls of one moment take a connection each.
const WAIT: time::Duration = time::Duration::from_millis(100);
/// How many calls are made at once, and so how many connections lie idle.
const AT_ONCE: usize = 6;

/// Runs a case.
fn run(case: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(case);
}

/// Starts the fakes of the platform with so many workers.
async fn platform(workers: usize) -> server::Platform {
    server::Platform::start(workers, time::Duration::ZERO).await.expect("a platform")
}

/// Starts a proxy before a peer.
async fn before(peer: net::SocketAddr) -> proxy::Proxy {
    proxy::Proxy::start(peer).await.expect("a proxy")
}

/// Makes calls one after another and returns which of them were answered, and how long each took.
async fn one_by_one(call: impl AsyncFn() -> bool) -> Vec<(bool, time::Duration)> {
    let mut answered = Vec::new();
    for _ in 0..=AT_ONCE {
        let began = time::Instant::now();
        answered.push((call().await, began.elapsed()));
    }
    answered
}

/// Checks that the first call alone was lost.
fn only_the_first_is_lost(answered: &[(bool, time::Duration)]) {
    let lost: Vec<usize> = (0..answered.len()).filter(|at| !answered[*at].0).collect();
    assert_eq!(lost, [0], "the calls that were lost, of {answered:?}");
}

/// Returns a client of the store behind a proxy, with several idle connections.
async fn store_with_idle(proxy: &proxy::Proxy) -> store::Store {
    let store = store::Store::new(proxy.addr, LIMIT);
    let feeds = (0..AT_ONCE).map(|_| store.changes(job::JOBS, u64::MAX, WAIT));
    for answer in future::join_all(feeds).await {
        answer.expect("an answer");
    }
    assert!(proxy.opened() >= AT_ONCE, "{} connections", proxy.opened());
    store
}

/// Calls of the store, one after another, over connections that went silent while idle.
async fn store_calls() {
    let platform = platform(0).await;
    let proxy = before(platform.store).await;
    let store = store_with_idle(&proxy).await;
    proxy.silence();
    let key = rows::Key { table: job::JOBS, part: String::new(), name: "none".to_owned() };
    only_the_first_is_lost(&one_by_one(async || store.get(&key).await.is_ok()).await);
}

/// Calls of the store whose callers give up before the client does, over connections that went silent while idle.
async fn impatient_calls() {
    let platform = platform(0).await;
    let proxy = before(platform.store).await;
    let store = store_with_idle(&proxy).await;
    proxy.silence();
    let key = rows::Key { table: job::JOBS, part: String::new(), name: "none".to_owned() };
    let call = async || {
        tokio::time::timeout(LIMIT / 2, store.get(&key)).await.is_ok_and(|answer| answer.is_ok())
    };
    only_the_first_is_lost(&one_by_one(call).await);
}

/// Feeds, one after another, over connections that went silent while idle.
async fn store_feeds() {
    let platform = platform(0).await;
    let proxy = before(platform.store).await;
    let store = store_with_idle(&proxy).await;
    proxy.silence();
    let feed = async || store.changes(job::JOBS, u64::MAX, WAIT).await.is_ok();
    only_the_first_is_lost(&one_by_one(feed).await);
}

/// A worker behind a proxy, to which several connections lie idle.
struct Worker {
    /// The platform that it belongs to.
    _platform: server::Platform,
    /// The proxy.
    proxy: proxy::Proxy,
    /// The client.
    client: workers::Workers,
    /// The worker.
    incarnation: id::Incarnation,
}

impl Worker {
    /// Starts the only worker of a platform and looks at it several times at once.
    async fn start() -> Self {
        let platform = platform(1).await;
        let store = store::Store::new(platform.store, LIMIT);
        let listed =
            store.read_part(entry::WORKERS_TABLE, config::EXTERNAL_PART).await.expect("a list");
        let member = entry::member(&listed.rows[0]).expect("a worker");
        let member = member.expect("one that is listed");
        let (incarnation, proxy) = (member.incarnation, before(member.addr).await);
        let client = workers::Workers::new(LIMIT);
        let worker = Self { _platform: platform, proxy, client, incarnation };
        let heartbeats = future::join_all((0..AT_ONCE).map(|_| worker.send_heartbeat(WAIT))).await;
        assert_eq!(heartbeats, [true; AT_ONCE]);
        let opened = worker.proxy.opened();
        assert!(opened >= AT_ONCE, "{opened} connections");
        worker
    }

    /// Looks at the worker and returns whether it answered.
    async fn send_heartbeat(&self, wait: time::Duration) -> bool {
        let heartbeat = job::Heartbeat {
            worker: self.incarnation.clone(),
            addr: self.proxy.addr,
            epoch: 1,
            seen: 0,
            lease_until_ms: None,
            wait,
        };
        matches!(self.client.send_heartbeat(&heartbeat).await, job::HeartbeatAnswer::Lists(_))
    }

    /// Orders the start of a task and returns whether it was taken.
    async fn start_task(&self) -> bool {
        let task = job::TaskId { job: job::JobId(1), round: 0, step: 0, index: 0 };
        let (worker, addr) = (self.incarnation.clone(), self.proxy.addr);
        let start = job::Start {
            order: job::Order { worker, addr, task, run: 1, epoch: 1 },
            spec: String::new(),
            lease_until_ms: u64::MAX,
            checkpoint: String::new(),
            ticket: String::new(),
        };
        self.client.start(&start).await != job::StartAnswer::Silent
    }
}

/// Looks at a worker, one after another, over connections that went silent while idle.
async fn worker_heartbeats() {
    let worker = Worker::start().await;
    worker.proxy.silence();
    only_the_first_is_lost(&one_by_one(async || worker.send_heartbeat(WAIT).await).await);
}

/// Orders to a worker, one after another, over connections that went silent while idle.
async fn worker_orders() {
    let worker = Worker::start().await;
    worker.proxy.silence();
    only_the_first_is_lost(&one_by_one(async || worker.start_task().await).await);
}

/// Questions for advice, one after another, over connections that went silent while idle.
async fn questions() {
    let platform = platform(1).await;
    let proxy = before(platform.advisor).await;
    let advisor = advice::Advisor::new(Some(proxy.addr));
    let question = job::AdviceRequest {
        job: job::JobId(1),
        round: 0,
        step: 0,
        workers: vec!["w0".into()],
        timeout: LIMIT,
    };
    let ask = async || advisor.ask(&question).await.is_ok();
    let asked = future::join_all((0..AT_ONCE).map(|_| ask())).await;
    assert_eq!(asked, [true; AT_ONCE]);
    assert!(proxy.opened() >= AT_ONCE, "{} connections", proxy.opened());
    proxy.silence();
    only_the_first_is_lost(&one_by_one(ask).await);
}
