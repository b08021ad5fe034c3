//! What a server lets its clients hold: memory of bodies, connections, and answers to those that are
//! refused.

use std::future;
use std::net;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use wharflane_http::{admission, excerpt, reply, request_body, server};
use wharflane_stand_in::cases;
use wharflane_stand_in::runtime;

cases! {
    a_body_in_small_chunks_costs_its_size => runtime::on_many_threads(small_chunks()),
    the_memory_of_a_body_is_given_back => runtime::on_many_threads(given_back()),
    a_body_without_room_is_refused_with_an_answer => runtime::on_many_threads(refused()),
    an_open_body_gives_way_to_a_newer_one => runtime::on_many_threads(gives_way()),
    small_bodies_are_read_while_large_ones_take_their_part =>
        runtime::on_many_threads(small_beside_large()),
    an_open_connection_gives_way_to_a_newer_one => runtime::on_many_threads(connections()),
    an_answer_is_not_given_up_for_a_newer_connection => runtime::on_many_threads(kept_answer()),
    an_answer_that_needs_no_body_reaches_its_client => runtime::on_many_threads(early_answer()),
    an_excerpt_ends_between_characters => {
        assert_eq!(excerpt::of("short"), "short");
        let text = "é".repeat(200);
        assert!(text.starts_with(excerpt::of(&text)));
        assert!(excerpt::of(&text).len() <= 200);
    },
}

/// Largest body of a request, in bytes.
const LIMIT_BYTES: usize = 200_000;
/// Memory that one body of that size needs beside its first part, in bytes.
const LARGE_BYTES: usize = LIMIT_BYTES - admission::SMALL_BYTES;
/// Part of a body that is sent after the answer, in bytes.
const REST_BYTES: usize = 1_000;
/// More calls than the open body of a client needs to arrive.
const MAX_TRIES: u32 = 1_000;
/// Longest time that a body may take.
const TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Sizes that no client of these tests meets.
const AMPLE: admission::Sizes =
    admission::Sizes { connections: 100, small_bytes: 1 << 20, large_bytes: 1 << 20 };

/// A server that reads bodies and answers with their size.
struct Server {
    /// Its address.
    addr: net::SocketAddr,
    /// Number of times that clients met a limit.
    limits_met: sync::Arc<atomic::AtomicUsize>,
    /// Lets answers to `/held` go out.
    release: sync::Arc<tokio::sync::Notify>,
    /// Number of requests to `/held` that wait.
    held: sync::Arc<atomic::AtomicUsize>,
    /// Number of requests whose bodies the server has begun to read.
    begun: sync::Arc<atomic::AtomicUsize>,
}

/// Starts a server.
async fn start(sizes: admission::Sizes) -> Server {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let limits_met = sync::Arc::<atomic::AtomicUsize>::default();
    let (release, held) =
        (sync::Arc::<tokio::sync::Notify>::default(), sync::Arc::<atomic::AtomicUsize>::default());
    let begun = sync::Arc::<atomic::AtomicUsize>::default();
    let met = sync::Arc::clone(&limits_met);
    let admission = admission::Admission::new(sizes, move |_| {
        met.fetch_add(1, atomic::Ordering::SeqCst);
    });
    let (released, waiting) = (sync::Arc::clone(&release), sync::Arc::clone(&held));
    let reading = sync::Arc::clone(&begun);
    let handle = move |request: server::Request| {
        let (released, waiting) = (sync::Arc::clone(&released), sync::Arc::clone(&waiting));
        let reading = sync::Arc::clone(&reading);
        async move {
            let path = request.uri().path().to_owned();
            if path == "/head" {
                request.into_body().discard();
                return reply::text(hyper::StatusCode::NOT_FOUND, String::new());
            }
            let read = request_body::read(request.into_body(), LIMIT_BYTES, TIMEOUT);
            let body = counted_once_begun(read, &reading).await;
            if path == "/held" {
                waiting.fetch_add(1, atomic::Ordering::SeqCst);
                released.notified().await;
            }
            match body {
                Ok(body) => reply::text(hyper::StatusCode::OK, body.len().to_string()),
                Err(err) => {
                    reply::problem(hyper::StatusCode::SERVICE_UNAVAILABLE, "body", &err.to_string())
                }
            }
        }
    };
    let bounds = server::Bounds::default();
    tokio::spawn(server::serve_admitted(listener, bounds, admission, server::never(), handle));
    Server { addr, limits_met, release, held, begun }
}

/// Counts a future once it has begun, and returns its output.
async fn counted_once_begun<T>(begins: impl Future<Output = T>, count: &atomic::AtomicUsize) -> T {
    let mut begins = pin::pin!(begins);
    let begun = future::poll_fn(|cx| task::Poll::Ready(begins.as_mut().poll(cx))).await;
    count.fetch_add(1, atomic::Ordering::SeqCst);
    match begun {
        task::Poll::Ready(output) => output,
        task::Poll::Pending => begins.await,
    }
}

impl Server {
    /// Opens a connection and sends a request, or a part of one.
    async fn send(&self, request: &[u8]) -> tokio::net::TcpStream {
        let mut stream = tokio::net::TcpStream::connect(self.addr).await.expect("a connection");
        stream.write_all(request).await.expect("sent");
        stream
    }

    /// Sends a whole request and returns the answer.
    async fn call(&self, request: &[u8]) -> String {
        answer(self.send(request).await).await
    }

    /// Waits until clients have met limits a number of times.
    async fn wait_for_limits(&self, times: usize) {
        while self.limits_met.load(atomic::Ordering::SeqCst) < times {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    }
}

/// Returns what arrives until the connection ends.
async fn answer(mut stream: tokio::net::TcpStream) -> String {
    let mut bytes = Vec::new();
    if let Err(err) = stream.read_to_end(&mut bytes).await {
        return format!("{err} after {}", String::from_utf8_lossy(&bytes));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns a request with a body of `bytes`, of which the last `missing` are left out.
fn request(path: &str, bytes: usize, missing: usize) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: {bytes}\r\n\r\n"
    );
    let mut request = head.into_bytes();
    request.extend(vec![b'x'; bytes - missing]);
    request
}

/// A body of one-byte chunks fits where its bytes fit.
async fn small_chunks() {
    let sizes = admission::Sizes { small_bytes: 24 << 10, large_bytes: 16 << 10, ..AMPLE };
    let server = start(sizes).await;
    let mut request =
        b"POST / HTTP/1.1\r\nhost: h\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n"
            .to_vec();
    request.extend(b"1\r\nx\r\n".repeat(20_000));
    request.extend(b"0\r\n\r\n");
    let answer = server.call(&request).await;
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("20000"), "{answer}");
}

/// Many bodies are read one after the other where only one fits at a time.
async fn given_back() {
    let server = start(admission::Sizes { large_bytes: LARGE_BYTES, ..AMPLE }).await;
    for _ in 0..20 {
        let answer = server.call(&request("/", LIMIT_BYTES, 0)).await;
        assert!(answer.ends_with(&LIMIT_BYTES.to_string()), "{answer}");
    }
    assert_eq!(server.limits_met.load(atomic::Ordering::SeqCst), 0);
}

/// A body for which there is no room, beside a complete one, is refused; its client sends on after the
/// answer without a reset, which could take the answer from it.
async fn refused() {
    let server = start(admission::Sizes { large_bytes: LARGE_BYTES, ..AMPLE }).await;
    let complete = server.send(&request("/held", LIMIT_BYTES, 0)).await;
    while server.held.load(atomic::Ordering::SeqCst) == 0 {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    let mut refused = server.send(&request("/", LIMIT_BYTES, REST_BYTES)).await;
    let mut status = [0; 12];
    refused.read_exact(&mut status).await.expect("an answer");
    assert_eq!(&status, b"HTTP/1.1 503");
    for part in [0; REST_BYTES].chunks(REST_BYTES / 10) {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
        refused.write_all(part).await.expect("sent");
    }
    let rest = answer(refused).await;
    assert!(rest.contains("no memory for the body"), "{rest}");
    server.release.notify_one();
    let answered = answer(complete).await;
    assert!(answered.ends_with(&LIMIT_BYTES.to_string()), "{answered}");
}

/// A body that stays open is refused for a newer one, and each newer one is read. The age of a body
/// counts from when the server begins to read it, which may be later than that of one sent after it.
async fn gives_way() {
    let server = start(admission::Sizes { large_bytes: LARGE_BYTES, ..AMPLE }).await;
    let mut open = server.send(&request("/", LIMIT_BYTES, 1)).await;
    while server.begun.load(atomic::Ordering::SeqCst) == 0 {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    let mut tries = 0;
    // The open body may not have arrived whole yet; then there is room for both in turn.
    while server.limits_met.load(atomic::Ordering::SeqCst) == 0 {
        let newer = server.call(&request("/", LIMIT_BYTES, 0)).await;
        assert!(newer.ends_with(&LIMIT_BYTES.to_string()), "{newer}");
        tries += 1;
        assert!(tries < MAX_TRIES, "the open body has not given way");
    }
    let mut refused = [0; 12];
    open.read_exact(&mut refused).await.expect("an answer");
    assert_eq!(&refused, b"HTTP/1.1 503");
}

/// A small body is read while complete large ones take all of their part.
async fn small_beside_large() {
    let sizes = admission::Sizes { small_bytes: 64 << 10, large_bytes: LARGE_BYTES, ..AMPLE };
    let server = start(sizes).await;
    let complete = server.send(&request("/held", LIMIT_BYTES, 0)).await;
    while server.held.load(atomic::Ordering::SeqCst) == 0 {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    let answered = server.call(&request("/", 1_000, 0)).await;
    assert!(answered.ends_with("1000"), "{answered}");
    server.release.notify_one();
    let answered = answer(complete).await;
    assert!(answered.ends_with(&LIMIT_BYTES.to_string()), "{answered}");
}

/// Connections that send nothing, or an incomplete request, are closed for newer ones.
async fn connections() {
    let server = start(admission::Sizes { connections: 2, ..AMPLE }).await;
    let silent = server.send(b"").await;
    let incomplete = server.send(&request("/", 1_000, 1)).await;
    let answered = server.call(&request("/", 1_000, 0)).await;
    assert!(answered.ends_with("1000"), "{answered}");
    let _ended = answer(silent).await;
    let answered = server.call(&request("/", 1_000, 0)).await;
    assert!(answered.ends_with("1000"), "{answered}");
    drop(incomplete);
}

/// A connection whose request is being answered stays; a newer one is closed instead.
async fn kept_answer() {
    let server = start(admission::Sizes { connections: 1, ..AMPLE }).await;
    let asked = server.send(&request("/held", 1_000, 0)).await;
    while server.held.load(atomic::Ordering::SeqCst) == 0 {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    let _newer = tokio::net::TcpStream::connect(server.addr).await.expect("a connection");
    server.wait_for_limits(1).await;
    server.release.notify_one();
    let answered = answer(asked).await;
    assert!(answered.ends_with("1000"), "{answered}");
}

/// An answer given before the body is read reaches a client that sends the whole body first.
async fn early_answer() {
    let server = start(AMPLE).await;
    let answered = server.call(&request("/head", LIMIT_BYTES, 0)).await;
    assert!(answered.starts_with("HTTP/1.1 404"), "{answered}");
}
