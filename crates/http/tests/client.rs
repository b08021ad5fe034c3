//! The client that every other client rests on: what silence and slowness cost, and whose connections.

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

cases! {
    of_calls_one_by_one_silence_costs_one => run(one_by_one()),
    other_peers_keep_their_connections => run(other_peers()),
    a_peer_that_was_slow_once_costs_one_connection => run(slow_once()),
    calls_under_way_run_on_beside_one_without_answer => run(under_way()),
    few_connections_stay_idle => run(few_idle()),
    calls_of_one_moment_wait_for_the_connections_that_are_kept => run(shared()),
    a_call_that_waited_in_vain_opens_a_connection => run(in_vain()),
    a_connection_that_was_idle_for_long_is_not_used => run(long_idle()),
    a_connection_that_its_peer_closed_costs_no_call => run(closed()),
    a_connection_that_does_not_stand_ends_its_call_early => run(no_connection()),
}

/// How long a call may take: an answer on loopback takes a thousandth of it.
const LIMIT: time::Duration = time::Duration::from_millis(800);
/// How long an answer that waits takes, so that calls of one moment take a connection each.
const WAIT: &str = "/wait/100";
/// The answer of a call that lasts longer than the limit of others.
const LONG: &str = "/wait/1600";
/// The path of a call that is never answered.
const MUTE: &str = "/mute";
/// How many idle connections a client keeps.
const IDLE: usize = 3;

/// Runs a case.
fn run(case: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(case);
}

/// A peer behind a proxy.
struct Peer {
    /// The proxy.
    proxy: proxy::Proxy,
    /// How many calls it leaves without an answer from now on.
    mute: sync::Arc<atomic::AtomicUsize>,
}

impl Peer {
    /// Starts a peer.
    async fn start() -> Self {
        let mute = sync::Arc::new(atomic::AtomicUsize::new(0));
        let proxy = proxy::Proxy::start(serve(sync::Arc::clone(&mute)).await);
        Self { proxy: proxy.await.expect("a proxy"), mute }
    }

    /// Makes a call and returns whether it was answered.
    async fn answers(&self, client: &client::Client, path: &str) -> bool {
        let url = format!("http://{}{path}", self.proxy.addr);
        client.send(Method::GET, &url, Bytes::new()).await.is_ok()
    }

    /// Makes so many calls at once, each over a connection of its own.
    async fn at_once(&self, client: &client::Client, calls: usize) {
        let answered = (0..calls).map(|_| self.answers(client, WAIT));
        assert!(future::join_all(answered).await.into_iter().all(|answered| answered));
    }
}

/// Starts a server that answers after as many milliseconds as the path says.
async fn serve(mute: sync::Arc<atomic::AtomicUsize>) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let handle = move |request: hyper::Request<hyper::body::Incoming>| {
        let mute = sync::Arc::clone(&mute);
        async move {
            let less = |left: usize| left.checked_sub(1);
            let skipped =
                mute.fetch_update(atomic::Ordering::SeqCst, atomic::Ordering::SeqCst, less);
            if skipped.is_ok() || request.uri().path() == MUTE {
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

/// Silences several idle connections.
async fn one_by_one() {
    let peer = Peer::start().await;
    let client = client::Client::new(LIMIT);
    peer.at_once(&client, 6).await;
    peer.proxy.silence();
    let mut lost = 0;
    for _ in 0..7 {
        lost += usize::from(!peer.answers(&client, "/").await);
    }
    assert_eq!(lost, 1);
}

/// Silences one of two peers.
async fn other_peers() {
    let (silent, other) = (Peer::start().await, Peer::start().await);
    let client = client::Client::new(LIMIT);
    silent.at_once(&client, 2).await;
    other.at_once(&client, 2).await;
    let opened = other.proxy.opened();
    silent.proxy.silence();
    assert!(!silent.answers(&client, "/").await);
    other.at_once(&client, 2).await;
    assert_eq!(other.proxy.opened(), opened, "no new connection to the other");
    let opened = silent.proxy.opened();
    silent.at_once(&client, 2).await;
    assert_eq!(silent.proxy.opened(), opened + 2, "new ones only to the one that went silent");
}

/// Leaves one call without an answer.
async fn slow_once() {
    let peer = Peer::start().await;
    let client = client::Client::new(LIMIT);
    assert!(peer.answers(&client, "/").await);
    let opened = peer.proxy.opened();
    peer.mute.store(1, atomic::Ordering::SeqCst);
    assert!(!peer.answers(&client, "/").await);
    for _ in 0..6 {
        assert!(peer.answers(&client, "/").await);
    }
    assert_eq!(peer.proxy.opened(), opened + 1);
}

/// Leaves one call without an answer while another waits for its own on an older connection.
async fn under_way() {
    let peer = Peer::start().await;
    let patient = client::Client::new(LIMIT * 4);
    let request = hyper::Request::builder()
        .uri(format!("http://{}{MUTE}", peer.proxy.addr))
        .body(http_body_util::Full::new(Bytes::new()));
    let request = request.expect("a request");
    let short = async { patient.call(request, LIMIT).await.is_ok() };
    let (long, short) = future::join(peer.answers(&patient, LONG), short).await;
    assert!(long, "the call under way has its answer");
    assert!(!short, "the other has none");
    let opened = peer.proxy.opened();
    assert!(peer.answers(&patient, "/").await);
    assert_eq!(peer.proxy.opened(), opened + 1, "neither connection is used again");
}

/// Makes more calls at once than connections are kept.
async fn few_idle() {
    let peer = Peer::start().await;
    let keep = client::Keep { connections: IDLE, ..client::Keep::default() };
    let client = client::Client::keeping(LIMIT * 4, keep);
    peer.at_once(&client, 10).await;
    peer.at_once(&client, 10).await;
    assert!(peer.proxy.opened() >= 20 - IDLE, "{} opened", peer.proxy.opened());
    // Of one more burst, those that are idle are used again.
    let opened = peer.proxy.opened();
    peer.at_once(&client, IDLE).await;
    assert_eq!(peer.proxy.opened(), opened);
}

/// Makes more calls at once than connections are kept, which wait for one of them.
async fn shared() {
    let peer = Peer::start().await;
    let keep = client::Keep { connections: IDLE, wait: LIMIT * 2, ..client::Keep::default() };
    let client = client::Client::keeping(LIMIT * 4, keep);
    peer.at_once(&client, 9).await;
    assert_eq!(peer.proxy.opened(), IDLE);
}

/// Makes calls beside as many that last longer than is waited for a connection.
async fn in_vain() {
    let peer = Peer::start().await;
    let keep = client::Keep { connections: IDLE, wait: LIMIT / 40, ..client::Keep::default() };
    let client = client::Client::keeping(LIMIT * 4, keep);
    let long = (0..IDLE).map(|_| peer.answers(&client, LONG));
    let short = async {
        // All connections are in use by now.
        tokio::time::sleep(LIMIT / 8).await;
        assert!(peer.answers(&client, "/").await);
        assert_eq!(peer.proxy.opened(), IDLE + 1);
    };
    let (long, ()) = future::join(future::join_all(long), short).await;
    assert!(long.into_iter().all(|answered| answered));
}

/// Silences an idle connection and lets a while pass.
async fn long_idle() {
    let peer = Peer::start().await;
    let keep = client::Keep { time: LIMIT / 8, ..client::Keep::default() };
    let client = client::Client::keeping(LIMIT, keep);
    assert!(peer.answers(&client, "/").await);
    peer.proxy.silence();
    tokio::time::sleep(LIMIT / 4).await;
    assert!(peer.answers(&client, "/").await, "over a new connection");
}

/// Closes an idle connection at the peer's side.
async fn closed() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let url = format!("http://{}/", listener.local_addr().expect("an address"));
    let gone = sync::Arc::new(tokio::sync::Notify::new());
    let told = sync::Arc::clone(&gone);
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            answer_and_close(stream).await;
            told.notify_one();
        }
    });
    let client = client::Client::new(LIMIT);
    for _ in 0..3 {
        client.send(Method::GET, &url, Bytes::new()).await.expect("an answer");
        gone.notified().await;
    }
}

/// Answers one request without saying that the connection ends with it.
async fn answer_and_close(mut stream: tokio::net::TcpStream) {
    let mut request = [0; 4_096];
    let read = stream.read(&mut request).await;
    assert!(read.is_ok_and(|bytes| bytes > 0));
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(answer).await.expect("written");
}

/// Calls a peer that takes no connection.
async fn no_connection() {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let listener = socket.listen(1).expect("listening");
    let addr = listener.local_addr().expect("an address");
    // Nobody accepts: what the queue does not hold gets no answer to its first packet.
    let mut held = Vec::new();
    let opening = async |held: &mut Vec<tokio::net::TcpStream>| {
        let opening = tokio::net::TcpStream::connect(addr);
        match tokio::time::timeout(LIMIT, opening).await {
            Ok(Ok(stream)) => held.push(stream),
            _ => return false,
        }
        true
    };
    while opening(&mut held).await {}
    let client = client::Client::new(LIMIT * 10);
    let told = client.send(Method::GET, &format!("http://{addr}/"), Bytes::new()).await;
    assert_eq!(format!("{:?}", told.expect_err("no answer")), "ConnectTimedOut");
}
