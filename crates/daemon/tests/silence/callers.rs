//! Callers whose connections go silent: a server with room for one connection must close a silent
//! one, so that the next caller is served.

use std::net;
use std::time;

use http_body_util::BodyExt as _;
use hyper_util::rt;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use wharflane_http::{reply, request_body, server};
use wharflane_stand_in::proxy;

/// Value of each time limit of the server under test.
const LIMIT: time::Duration = time::Duration::from_secs(1);
/// More bytes than the buffers of two loopback sockets hold.
const LONG_ANSWER_BYTES: usize = 64 << 20;
/// Bytes that the slow reader reads at a time.
const CHUNK_BYTES: usize = 4 << 20;
/// First part of the HTTP/2 client preface.
const HALF_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n";

/// A caller connects and sends nothing.
pub async fn before_a_head() {
    let proxy = start().await;
    let caller = connect(proxy.addr).await;
    tokio::time::sleep(LIMIT / 3).await;
    proxy.silence();
    assert!(is_served(proxy.addr).await, "the slot is not released");
    drop(caller);
}

/// A caller connects and sends part of the HTTP/2 preface.
pub async fn in_a_preface() {
    let proxy = start().await;
    let mut caller = connect(proxy.addr).await;
    caller.write_all(HALF_PREFACE).await.expect("written");
    tokio::time::sleep(LIMIT / 3).await;
    proxy.silence();
    assert!(is_served(proxy.addr).await, "the slot is not released");
    drop(caller);
}

/// A caller goes silent after a complete answer.
pub async fn between_requests() {
    let proxy = start().await;
    let mut caller = connect(proxy.addr).await;
    caller.write_all(b"GET /short HTTP/1.1\r\nhost: h\r\n\r\n").await.expect("written");
    let mut start = [0; 8];
    caller.read_exact(&mut start).await.expect("an answer");
    proxy.silence();
    assert!(is_served(proxy.addr).await, "the slot is not released");
    drop(caller);
}

/// A caller goes silent with half of its body sent.
pub async fn in_a_body() {
    let proxy = start().await;
    let mut caller = connect(proxy.addr).await;
    let half = b"POST /read HTTP/1.1\r\nhost: h\r\ncontent-length: 100\r\n\r\nhalf";
    caller.write_all(half).await.expect("written");
    tokio::time::sleep(LIMIT / 3).await;
    proxy.silence();
    assert!(is_served(proxy.addr).await, "the slot is not released");
    drop(caller);
}

/// A caller goes silent while a long answer is written to it.
pub async fn in_an_answer() {
    let proxy = start().await;
    let mut caller = connect(proxy.addr).await;
    caller.write_all(b"GET /long HTTP/1.1\r\nhost: h\r\n\r\n").await.expect("written");
    let mut start = [0; 8];
    caller.read_exact(&mut start).await.expect("an answer");
    proxy.silence();
    assert!(is_served(proxy.addr).await, "the slot is not released");
    drop(caller);
}

/// A caller reads a long answer with pauses that are each shorter than the limit, but longer in
/// total.
pub async fn slow_reader() {
    let proxy = start().await;
    let mut caller = connect(proxy.addr).await;
    let request = b"GET /long HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    caller.write_all(request).await.expect("written");
    let mut received = 0;
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        tokio::time::sleep(LIMIT / 4).await;
        let mut filled = 0;
        while filled < CHUNK_BYTES {
            let read = caller.read(&mut chunk[filled..]).await.expect("not broken");
            if read == 0 {
                assert!(
                    received + filled > LONG_ANSWER_BYTES,
                    "{} of the answer",
                    received + filled
                );
                return;
            }
            filled += read;
        }
        received += filled;
    }
}

/// An HTTP/2 caller goes silent after a complete answer.
pub async fn http_2() {
    let proxy = start().await;
    let mut caller = connect_http_2(proxy.addr).await;
    assert!(is_answered_http_2(&mut caller).await, "no answer before");
    proxy.silence();
    assert!(is_served(proxy.addr).await, "the slot is not released");
    drop(caller);
}

/// An HTTP/2 caller that sends no requests for longer than the limits, but answers pings, keeps its
/// connection.
pub async fn quiet_http_2() {
    let proxy = start().await;
    let mut caller = connect_http_2(proxy.addr).await;
    assert!(is_answered_http_2(&mut caller).await, "no answer before");
    tokio::time::sleep(LIMIT * 4).await;
    assert!(is_answered_http_2(&mut caller).await, "no answer after");
    assert_eq!(proxy.opened(), 1, "not over the same connection");
}

/// Starts a server with room for one connection, and a proxy in front of it.
async fn start() -> proxy::Proxy {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let bounds = server::Bounds {
        connections: 1,
        head_timeout: LIMIT,
        stall: LIMIT,
        ping_every: LIMIT,
        ping_timeout: LIMIT,
        ..server::Bounds::default()
    };
    tokio::spawn(server::serve(listener, bounds, server::never(), answer));
    proxy::Proxy::start(addr).await.expect("a proxy")
}

/// Answers a request by its path.
async fn answer(request: server::Request) -> reply::Reply {
    let text = match request.uri().path() {
        "/long" => "x".repeat(LONG_ANSWER_BYTES),
        "/read" => {
            let read = request_body::read(request.into_body(), LONG_ANSWER_BYTES, LIMIT).await;
            format!("{read:?}")
        }
        _ => "short".to_owned(),
    };
    reply::text(hyper::StatusCode::OK, text)
}

/// Opens a TCP connection to an address.
async fn connect(addr: net::SocketAddr) -> tokio::net::TcpStream {
    tokio::net::TcpStream::connect(addr).await.expect("connected")
}

/// Returns whether a new caller is answered within a multiple of the limit.
async fn is_served(addr: net::SocketAddr) -> bool {
    let mut stream = connect(addr).await;
    let request = b"GET /short HTTP/1.1\r\nhost: h\r\n\r\n";
    stream.write_all(request).await.expect("written");
    let mut start = [0; 8];
    let read = stream.read_exact(&mut start);
    matches!(tokio::time::timeout(LIMIT * 20, read).await, Ok(Ok(_)))
}

/// Sending side of an HTTP/2 connection.
type Sender = hyper::client::conn::http2::SendRequest<http_body_util::Empty<bytes::Bytes>>;

/// Opens an HTTP/2 connection to an address.
async fn connect_http_2(addr: net::SocketAddr) -> Sender {
    let io = rt::TokioIo::new(connect(addr).await);
    let connected = hyper::client::conn::http2::handshake(rt::TokioExecutor::new(), io).await;
    let (sender, conn) = connected.expect("a connection");
    tokio::spawn(async move { drop(conn.await) });
    sender
}

/// Returns whether a request over HTTP/2 is answered.
async fn is_answered_http_2(sender: &mut Sender) -> bool {
    let request = hyper::Request::get("http://h/short").body(http_body_util::Empty::new());
    let Ok(answer) = sender.send_request(request.expect("a request")).await else {
        return false;
    };
    answer.into_body().collect().await.is_ok()
}
