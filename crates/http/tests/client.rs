//! Tests of the pooled HTTP client: which calls fail, and which connections are retired, when a
//! peer's connections die, stall or are closed.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use futures::future;
use hyper::{Method, StatusCode};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use wharflane_http::{client, reply, server};
use wharflane_stand_in::cases;
use wharflane_stand_in::proxy;
use wharflane_stand_in::runtime;

cases! {
    dead_connections_fail_one_of_several_sequential_calls => runtime::on_many_threads(sequential_calls()),
    a_timeout_retires_only_connections_to_the_same_peer => runtime::on_many_threads(two_peers()),
    a_single_timeout_costs_one_connection => runtime::on_many_threads(single_timeout()),
    calls_in_flight_survive_the_timeout_of_another => runtime::on_many_threads(timeout_beside_call()),
    idle_connections_are_limited => runtime::on_many_threads(idle_limit()),
    concurrent_calls_wait_for_released_connections => runtime::on_many_threads(wait_for_released()),
    a_call_that_got_no_released_connection_opens_one => runtime::on_many_threads(wait_elapsed()),
    connections_past_the_idle_timeout_are_not_reused => runtime::on_many_threads(idle_timeout()),
    a_connection_closed_by_its_peer_fails_no_call => runtime::on_many_threads(closed_by_peer()),
    a_call_fails_early_if_connecting_times_out => runtime::on_many_threads(connect_timeout()),
}

/// Timeout of a call: an answer over loopback takes a thousandth of it.
const TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// Path of a delayed answer, so that concurrent calls need a connection each.
const DELAYED_PATH: &str = "/wait/100";
/// Path of an answer that takes longer than the timeout of other calls.
const SLOW_PATH: &str = "/wait/1600";
/// Path that is never answered.
const UNANSWERED_PATH: &str = "/mute";
/// Maximum number of idle connections in tests that limit it.
const MAX_IDLE: usize = 3;

/// A peer behind a proxy.
struct Peer {
    /// Proxy that counts connections and can silence them.
    proxy: proxy::Proxy,
    /// Number of further calls that the peer leaves unanswered.
    unanswered: sync::Arc<atomic::AtomicUsize>,
}

impl Peer {
    /// Starts the peer and its proxy.
    async fn start() -> Self {
        let unanswered = sync::Arc::new(atomic::AtomicUsize::new(0));
        let proxy = proxy::Proxy::start(serve(sync::Arc::clone(&unanswered)).await);
        Self { proxy: proxy.await.expect("a proxy"), unanswered }
    }

    /// Makes a call and returns whether it succeeded.
    async fn call_succeeds(&self, client: &client::Client, path: &str) -> bool {
        let url = format!("http://{}{path}", self.proxy.addr);
        client.send(Method::GET, &url, Bytes::new()).await.is_ok()
    }

    /// Makes concurrent calls, which need a connection each, and checks that all succeed.
    async fn call_concurrently(&self, client: &client::Client, calls: usize) {
        let answered = (0..calls).map(|_| self.call_succeeds(client, DELAYED_PATH));
        assert!(future::join_all(answered).await.into_iter().all(|answered| answered));
    }
}

/// Starts a server that answers after the number of milliseconds in the path.
async fn serve(unanswered: sync::Arc<atomic::AtomicUsize>) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let handle = move |request: server::Request| {
        let unanswered = sync::Arc::clone(&unanswered);
        async move {
            let decrement = |left: usize| left.checked_sub(1);
            let skipped = unanswered.fetch_update(
                atomic::Ordering::SeqCst,
                atomic::Ordering::SeqCst,
                decrement,
            );
            if skipped.is_ok() || request.uri().path() == UNANSWERED_PATH {
                future::pending::<()>().await;
            }
            let wait = request.uri().path().strip_prefix("/wait/").and_then(|ms| ms.parse().ok());
            tokio::time::sleep(time::Duration::from_millis(wait.unwrap_or(0))).await;
            reply::text(StatusCode::OK, "here\n".to_owned())
        }
    };
    tokio::spawn(server::serve(listener, server::Bounds::default(), server::never(), handle));
    addr
}

/// Silences several idle connections, then makes sequential calls.
async fn sequential_calls() {
    let peer = Peer::start().await;
    let client = client::Client::new(TIMEOUT);
    peer.call_concurrently(&client, 6).await;
    peer.proxy.silence();
    let mut lost = 0;
    for _ in 0..7 {
        lost += usize::from(!peer.call_succeeds(&client, "/").await);
    }
    assert_eq!(lost, 1);
}

/// Silences the connections to one of two peers.
async fn two_peers() {
    let (silent, other) = (Peer::start().await, Peer::start().await);
    let client = client::Client::new(TIMEOUT);
    silent.call_concurrently(&client, 2).await;
    other.call_concurrently(&client, 2).await;
    let opened = other.proxy.opened();
    silent.proxy.silence();
    assert!(!silent.call_succeeds(&client, "/").await);
    other.call_concurrently(&client, 2).await;
    assert_eq!(other.proxy.opened(), opened, "the other peer needs no new connection");
    let opened = silent.proxy.opened();
    silent.call_concurrently(&client, 2).await;
    assert_eq!(silent.proxy.opened(), opened + 2, "the silent peer gets new connections");
}

/// Leaves one call unanswered, then makes further calls.
async fn single_timeout() {
    let peer = Peer::start().await;
    let client = client::Client::new(TIMEOUT);
    assert!(peer.call_succeeds(&client, "/").await);
    let opened = peer.proxy.opened();
    peer.unanswered.store(1, atomic::Ordering::SeqCst);
    assert!(!peer.call_succeeds(&client, "/").await);
    for _ in 0..6 {
        assert!(peer.call_succeeds(&client, "/").await);
    }
    assert_eq!(peer.proxy.opened(), opened + 1);
}

/// Leaves one call unanswered while another waits for its answer on an older connection.
async fn timeout_beside_call() {
    let peer = Peer::start().await;
    let patient = client::Client::new(TIMEOUT * 4);
    let request = hyper::Request::builder()
        .uri(format!("http://{}{UNANSWERED_PATH}", peer.proxy.addr))
        .body(http_body_util::Full::new(Bytes::new()));
    let request = request.expect("a request");
    let short = async { patient.call(request, TIMEOUT).await.is_ok() };
    let (long, short) = future::join(peer.call_succeeds(&patient, SLOW_PATH), short).await;
    assert!(long, "the call in flight is answered");
    assert!(!short, "the other call times out");
    let opened = peer.proxy.opened();
    assert!(peer.call_succeeds(&patient, "/").await);
    assert_eq!(peer.proxy.opened(), opened + 1, "neither connection is reused");
}

/// Makes more concurrent calls than the maximum number of idle connections.
async fn idle_limit() {
    let peer = Peer::start().await;
    let limits = client::PoolLimits { max_idle: MAX_IDLE, ..client::PoolLimits::default() };
    let client = client::Client::with_pool_limits(TIMEOUT * 4, limits);
    peer.call_concurrently(&client, 10).await;
    peer.call_concurrently(&client, 10).await;
    assert!(peer.proxy.opened() >= 20 - MAX_IDLE, "{} opened", peer.proxy.opened());
    // A smaller burst reuses the idle connections.
    let opened = peer.proxy.opened();
    peer.call_concurrently(&client, MAX_IDLE).await;
    assert_eq!(peer.proxy.opened(), opened);
}

/// Makes more concurrent calls than the maximum number of idle connections; calls wait for released
/// ones.
async fn wait_for_released() {
    let peer = Peer::start().await;
    let limits = client::PoolLimits {
        max_idle: MAX_IDLE,
        acquire_wait: TIMEOUT * 2,
        ..client::PoolLimits::default()
    };
    let client = client::Client::with_pool_limits(TIMEOUT * 4, limits);
    peer.call_concurrently(&client, 9).await;
    assert_eq!(peer.proxy.opened(), MAX_IDLE);
}

/// Makes a call while other calls use the maximum number of idle connections for longer than it
/// waits for a released one.
async fn wait_elapsed() {
    let peer = Peer::start().await;
    let limits = client::PoolLimits {
        max_idle: MAX_IDLE,
        acquire_wait: TIMEOUT / 40,
        ..client::PoolLimits::default()
    };
    let client = client::Client::with_pool_limits(TIMEOUT * 4, limits);
    let long = (0..MAX_IDLE).map(|_| peer.call_succeeds(&client, SLOW_PATH));
    let short = async {
        // By now all connections are in use.
        tokio::time::sleep(TIMEOUT / 8).await;
        assert!(peer.call_succeeds(&client, "/").await);
        assert_eq!(peer.proxy.opened(), MAX_IDLE + 1);
    };
    let (long, ()) = future::join(future::join_all(long), short).await;
    assert!(long.into_iter().all(|answered| answered));
}

/// Silences an idle connection and waits for the idle timeout.
async fn idle_timeout() {
    let peer = Peer::start().await;
    let limits = client::PoolLimits { idle_timeout: TIMEOUT / 8, ..client::PoolLimits::default() };
    let client = client::Client::with_pool_limits(TIMEOUT, limits);
    assert!(peer.call_succeeds(&client, "/").await);
    peer.proxy.silence();
    tokio::time::sleep(TIMEOUT / 4).await;
    assert!(peer.call_succeeds(&client, "/").await, "the call uses a new connection");
}

/// Closes the connection at the peer's side after each answer.
async fn closed_by_peer() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let url = format!("http://{}/", listener.local_addr().expect("an address"));
    let gone = sync::Arc::new(tokio::sync::Notify::new());
    let closed = sync::Arc::clone(&gone);
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            answer_and_close(stream).await;
            closed.notify_one();
        }
    });
    let client = client::Client::new(TIMEOUT);
    for _ in 0..3 {
        client.send(Method::GET, &url, Bytes::new()).await.expect("an answer");
        gone.notified().await;
    }
}

/// Answers one request without announcing that the connection closes after it.
async fn answer_and_close(mut stream: tokio::net::TcpStream) {
    let mut request = [0; 4_096];
    let read = stream.read(&mut request).await;
    assert!(read.is_ok_and(|bytes| bytes > 0));
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(answer).await.expect("written");
}

/// Calls a peer that accepts no connection.
async fn connect_timeout() {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let listener = socket.listen(1).expect("listening");
    let addr = listener.local_addr().expect("an address");
    // No process accepts connections: once the backlog is full, SYN packets get no answer.
    let mut held = Vec::new();
    let opening = async |held: &mut Vec<tokio::net::TcpStream>| {
        let opening = tokio::net::TcpStream::connect(addr);
        match tokio::time::timeout(TIMEOUT, opening).await {
            Ok(Ok(stream)) => held.push(stream),
            _ => return false,
        }
        true
    };
    while opening(&mut held).await {}
    let client = client::Client::new(TIMEOUT * 10);
    let result = client.send(Method::GET, &format!("http://{addr}/"), Bytes::new()).await;
    assert_eq!(format!("{:?}", result.expect_err("no answer")), "ConnectTimedOut");
}
