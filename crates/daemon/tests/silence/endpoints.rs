//! Endpoints whose connections go silent: while idle, within an answer, and on a stream.

use std::collections;
use std::net;
use std::sync;
use std::time;

use http_body_util::BodyExt as _;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use wharflane::{clock, desired, endpoints, id, outcome, size};
use wharflane_daemon::{metrics, settings, traffic};
use wharflane_endpoint as pool;
use wharflane_http::server;
use wharflane_stand_in::{endpoint, history, proxy};

/// Number of idle connections that go silent at once.
const IDLE: usize = 4;
/// Time limit of one attempt.
const ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Idle timeout longer than any test.
const NEVER: time::Duration = time::Duration::from_secs(600);
/// Idle timeout shorter than the pauses between requests.
const SHORT_IDLE: time::Duration = time::Duration::from_millis(20);

/// Several idle connections go silent; requests that are then sent one after the other lose one
/// attempt in total.
pub async fn idle_connections() {
    let proxy = proxy::Proxy::start(start_endpoint().await).await.expect("a proxy");
    let pool = sync::Arc::new(pool::Pool::new(bounds(NEVER)));
    let exchanges = (0..IDLE).map(|_| exchange(&pool, proxy.addr));
    let first_answers = futures::future::join_all(exchanges).await;
    assert!(first_answers.iter().all(Result::is_ok), "{first_answers:?}");
    assert_eq!(proxy.opened(), IDLE, "each request had a connection of its own");
    proxy.silence();
    let mut lost = 0;
    for _ in 0..IDLE * 2 {
        match exchange(&pool, proxy.addr).await {
            Ok(()) => {}
            Err(failure) => {
                assert_eq!(failure, outcome::Failure::TimedOut, "it may have run");
                lost += 1;
            }
        }
    }
    assert_eq!(lost, 1, "the first silent connection tells of the others");
    assert_eq!(proxy.opened(), IDLE + 1, "the others used one new connection");
}

/// A connection that was idle for longer than the timeout is not used again.
pub async fn idle_too_long() {
    let proxy = proxy::Proxy::start(start_endpoint().await).await.expect("a proxy");
    let pool = sync::Arc::new(pool::Pool::new(bounds(SHORT_IDLE)));
    for opened in 1..=IDLE {
        exchange(&pool, proxy.addr).await.expect("an answer");
        assert_eq!(proxy.opened(), opened, "each came too late for the connection before");
        tokio::time::sleep(SHORT_IDLE * 2).await;
    }
}

/// Returns the bounds of a pool.
fn bounds(idle_timeout: time::Duration) -> pool::Bounds {
    pool::Bounds { idle: IDLE * 2, idle_timeout, connect_timeout: ATTEMPT_TIMEOUT }
}

/// Makes one exchange and reads its answer to the end.
async fn exchange(
    pool: &sync::Arc<pool::Pool>,
    addr: net::SocketAddr,
) -> Result<(), outcome::Failure> {
    let answer =
        pool.exchange(addr, request(), ATTEMPT_TIMEOUT).await.map_err(|err| err.failure)?;
    let pool::Answer { response, lease } = answer;
    response.into_body().collect().await.map_err(|_broken| outcome::Failure::Lost)?;
    lease.release();
    Ok(())
}

/// Returns a request with an empty body.
fn request() -> hyper::Request<http_body_util::Full<bytes::Bytes>> {
    let request = hyper::Request::post("/a").header("host", "endpoint");
    request.body(http_body_util::Full::default()).expect("a request")
}

/// Starts an endpoint whose service time is long enough for requests to overlap.
async fn start_endpoint() -> net::SocketAddr {
    let task = id::TaskId { owner: "dispatch".into(), born: 1, index: 0 };
    let room = endpoint::Limits { slots: IDLE, connections: IDLE * 4 };
    let fake = endpoint::Endpoint::new(task, room, history::History::default());
    fake.set_faults(endpoint::Faults { service_ms: 30, ..endpoint::Faults::default() });
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(fake.serve(listener, std::future::pending()));
    addr
}

/// Longest time without progress within an answer in these tests, in milliseconds.
const STALL_MS: u64 = 300;

/// An endpoint goes silent within its answer: the answer is cut off and the permit is released.
pub async fn in_an_answer() {
    let host = start_host(start_stalling_endpoint().await).await;
    let answer = send_request(host).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("half"), "broken, not made up: {answer}");
    // The endpoint has one slot, so this request waits for the permit of the first.
    let answer = send_request(host).await;
    assert!(answer.ends_with("half"), "{answer}");
}

/// An endpoint sends nothing for a while on a stream, which lasts as long as its caller likes.
pub async fn quiet_stream() {
    let host = start_host(start_stalling_endpoint().await).await;
    let mut stream = tokio::net::TcpStream::connect(host).await.expect("connected");
    let head = "GET /dispatch/a HTTP/1.1\r\nhost: h\r\nwharflane-watch: yes\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("written");
    let mut bytes = Vec::new();
    let all = stream.read_to_end(&mut bytes);
    let quiet = time::Duration::from_millis(STALL_MS * 5);
    assert!(tokio::time::timeout(quiet, all).await.is_err(), "open for longer than an answer");
}

/// Sends a request to a host and returns everything it sends until it closes the connection.
async fn send_request(host: net::SocketAddr) -> String {
    let mut stream = tokio::net::TcpStream::connect(host).await.expect("connected");
    let head = "GET /dispatch/a HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("written");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("read");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Starts an endpoint that sends half an answer and then nothing, without closing the connection.
async fn start_stalling_endpoint() -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            // Bytes sent before a request arrives are no answer to it, and the host discards them.
            let mut request = [0; 4_096];
            assert!(stream.read(&mut request).await.is_ok_and(|bytes| bytes > 0));
            let half = "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nhalf";
            stream.write_all(half.as_bytes()).await.expect("written");
            open.push(stream);
        }
    });
    addr
}

/// Starts a host with one endpoint that has one slot.
async fn start_host(endpoint: net::SocketAddr) -> net::SocketAddr {
    let text = format!(
        "host = \"entry\"\nhall = \"hall\"\n[listen]\ncaller = \"127.0.0.1:0\"\n\
         operator = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\n[platform]\naddr = \"127.0.0.1:1\"\n\
         [traffic]\nendpoint_slots = 1\nstall_timeout_ms = {STALL_MS}\n"
    );
    let settings = settings::parse(&text).unwrap_or_else(|faults| panic!("{faults:?}"));
    let clock = sync::Arc::new(clock::SystemClock::new());
    let metrics = metrics::Metrics::new().expect("metrics");
    let traffic = sync::Arc::new(traffic::Traffic::new(&settings, clock, metrics, 7));
    let task = id::TaskId { owner: "dispatch".into(), born: 1, index: 0 };
    let entry = endpoints::Endpoint {
        task,
        service: "dispatch".into(),
        worker: "worker".into(),
        addr: endpoint,
        leaving: false,
    };
    traffic.publish(traffic::Snapshot {
        revision: 1,
        services: [("dispatch".into(), service())].into(),
        classes: collections::BTreeMap::new(),
        endpoints: [("dispatch".into(), vec![("hall".into(), entry)])].into(),
        hosts: 1,
    });
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let handle = move |request| sync::Arc::clone(&traffic).serve(request);
    tokio::spawn(server::serve(listener, server::Bounds::default(), server::never(), handle));
    addr
}

/// Returns the declaration of the service.
fn service() -> desired::Service {
    desired::Service {
        born: 1,
        team: "ours".into(),
        priority: 1,
        count: 1,
        size: size::Size::default(),
        latency_target_ms: 50,
        deadline_ms: 20_000,
        repeatable: false,
        halls: Vec::new(),
    }
}
