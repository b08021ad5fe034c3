//! What each client of a peer loses when all its open connections go silent while new ones work.

use std::net;
use std::time;

use futures::future;
use wharflane::{job, rows};
use wharflane_adapter::store;
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::server;
use wharflane_stand_in::proxy;

cases! {
    of_calls_of_the_store_silence_costs_one => run(store_calls()),
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

/// Makes calls one after another and returns which of them were answered.
async fn one_by_one(call: impl AsyncFn() -> bool) -> Vec<bool> {
    let mut answered = Vec::new();
    for _ in 0..=AT_ONCE {
        answered.push(call().await);
    }
    answered
}

/// Checks that the first call alone was lost.
fn only_the_first_is_lost(answered: &[bool]) {
    let lost: Vec<usize> = (0..answered.len()).filter(|at| !answered[*at]).collect();
    assert_eq!(lost, [0], "the calls that were lost, of {}", answered.len());
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
