//! Requests to endpoints that take connections and then don't do what is expected.
//!
//! One that ends each connection at once: a request that was given back unwritten went over the next new connection, and
//! so on without end, past its deadline, if the end of each was seen before the request was written.
//! One that answers before it has read the request: its connection was kept, and the next request waited for the rest of
//! the one before to be written, past its own deadline.

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
    an_endpoint_that_ends_each_connection_at_once_gets_one_for_each_request => runtime::on_many_threads(at_once()),
    a_connection_whose_request_is_still_being_written_is_not_waited_for => runtime::on_many_threads(early_answer()),
}

/// Far longer than any exchange takes: only what hangs reaches it.
const PATIENCE: time::Duration = time::Duration::from_secs(20);
/// How many requests are made to an endpoint that ends connections.
const REQUESTS: usize = 400;
/// More than the buffers of two sockets hold, in bytes.
const LARGE_BYTES: usize = 32 << 20;

/// Returns a pool.
fn pool() -> sync::Arc<endpoint::Pool> {
    let bounds = endpoint::Bounds { idle: 4, idle_timeout: PATIENCE, connect_timeout: PATIENCE };
    sync::Arc::new(endpoint::Pool::new(bounds))
}

/// Serves each connection in a way of its own, and returns where and how many there were.
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

/// Sends a request that may not be repeated and reads its whole answer.
async fn ask(
    pool: &sync::Arc<endpoint::Pool>,
    addr: net::SocketAddr,
    body_bytes: usize,
) -> Result<(), outcome::Failure> {
    let request = hyper::Request::post("/").header("host", addr.to_string());
    let request = request.body(http_body_util::Full::from(vec![0; body_bytes]));
    let exchange = pool.exchange(addr, request.expect("a request"), PATIENCE);
    let answer = tokio::time::timeout(2 * PATIENCE, exchange).await.expect("an end in time");
    let answer = answer.map_err(|err| err.failure)?;
    answer.response.into_body().collect().await.expect("a whole body");
    answer.lease.release();
    Ok(())
}

/// Sends requests to an endpoint that ends each connection at once.
async fn at_once() {
    let (addr, opened) = serve(drop);
    let pool = pool();
    for _ in 0..REQUESTS {
        let failure = ask(&pool, addr, 0).await.expect_err("no answer");
        assert!(matches!(failure, outcome::Failure::Lost | outcome::Failure::NotSent));
    }
    let opened = opened.load(atomic::Ordering::SeqCst);
    assert!(opened <= REQUESTS, "{opened} connections for {REQUESTS} requests");
}

/// Sends a request after one that was answered before it was read.
async fn early_answer() {
    let (addr, opened) = serve(|mut stream| {
        thread::spawn(move || {
            let mut head = std::io::BufReader::new(stream.try_clone().expect("a stream")).lines();
            while head.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(answer).expect("written");
            thread::sleep(4 * PATIENCE);
        });
    });
    let pool = pool();
    ask(&pool, addr, LARGE_BYTES).await.expect("an early answer");
    ask(&pool, addr, 0).await.expect("an answer");
    assert_eq!(opened.load(atomic::Ordering::SeqCst), 2);
}
