//! Guards against requests that hang on misbehaving endpoints.
//!
//! - An endpoint closes each connection at once. If each close was seen before the request was
//!   written, the request was retried on one new connection after another, without end and past its
//!   deadline.
//! - An endpoint answers before it has read the request. The connection was reused, and the next
//!   request waited past its own deadline for the remainder of the previous one to be written.

use std::io::{BufRead as _, Write as _};
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use http_body_util::BodyExt as _;
use wharflane::outcome;
use wharflane_endpoint as endpoint;
use wharflane_stand_in::{cases, runtime};

cases! {
    an_endpoint_that_closes_each_connection_gets_one_per_request =>
        runtime::on_many_threads(immediate_close()),
    a_connection_that_still_writes_its_request_is_not_reused =>
        runtime::on_many_threads(early_answer()),
}

/// Timeout that only a hanging request reaches.
const TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Number of requests to the endpoint that closes each connection.
const REQUESTS: usize = 400;
/// Size of a body that exceeds the buffers of both sockets, in bytes.
const LARGE_BYTES: usize = 32 << 20;

/// Returns an empty pool.
fn new_pool() -> sync::Arc<endpoint::Pool> {
    let bounds = endpoint::Bounds { idle: 4, idle_timeout: TIMEOUT, connect_timeout: TIMEOUT };
    sync::Arc::new(endpoint::Pool::new(bounds))
}

/// Passes each connection to a function, and returns the server's address and the count of
/// connections.
fn serve(
    each: impl Fn(net::TcpStream) + Send + 'static,
) -> (net::SocketAddr, sync::Arc<atomic::AtomicUsize>) {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let opened = sync::Arc::new(atomic::AtomicUsize::new(0));
    let counted = sync::Arc::clone(&opened);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            counted.fetch_add(1, atomic::Ordering::SeqCst);
            each(stream);
        }
    });
    (addr, opened)
}

/// Sends a non-repeatable request and reads its complete answer.
async fn send_request(
    pool: &sync::Arc<endpoint::Pool>,
    addr: net::SocketAddr,
    body_bytes: usize,
) -> Result<(), outcome::Failure> {
    let request = hyper::Request::post("/").header("host", addr.to_string());
    let request = request.body(http_body_util::Full::from(vec![0; body_bytes]));
    let exchange = pool.exchange(addr, request.expect("a request"), TIMEOUT);
    let answer = tokio::time::timeout(2 * TIMEOUT, exchange).await.expect("an end in time");
    let answer = answer.map_err(|err| err.failure)?;
    answer.response.into_body().collect().await.expect("a whole body");
    answer.lease.release();
    Ok(())
}

/// Sends requests to an endpoint that closes each connection at once.
async fn immediate_close() {
    let (addr, opened) = serve(drop);
    let pool = new_pool();
    for _ in 0..REQUESTS {
        let failure = send_request(&pool, addr, 0).await.expect_err("no answer");
        assert!(matches!(failure, outcome::Failure::Lost | outcome::Failure::NotSent));
    }
    let opened = opened.load(atomic::Ordering::SeqCst);
    assert!(opened <= REQUESTS, "{opened} connections for {REQUESTS} requests");
}

/// Sends a request that the endpoint answers before it has read it, then another request.
async fn early_answer() {
    let (addr, opened) = serve(|mut stream| {
        thread::spawn(move || {
            let mut head = std::io::BufReader::new(stream.try_clone().expect("a stream")).lines();
            while head.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(answer).expect("written");
            thread::sleep(4 * TIMEOUT);
        });
    });
    let pool = new_pool();
    send_request(&pool, addr, LARGE_BYTES).await.expect("an early answer");
    send_request(&pool, addr, 0).await.expect("an answer");
    assert_eq!(opened.load(atomic::Ordering::SeqCst), 2);
}
