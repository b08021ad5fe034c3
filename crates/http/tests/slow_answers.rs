//! Answers that come piece by piece over a slow link.
//!
//! Seen: a host behind a slow link answered that queues are unknown seconds after the configuration that names them was
//! in force elsewhere. It read a large state in the same moments; each answer was given up after the limit of a call
//! although pieces of it kept coming, and asked for anew. The link carried answers that were thrown away, and the
//! configuration was one of them. A run with logs showed calls that end by their limit on that host alone.

use std::net;
use std::time;

use bytes::Bytes;
use hyper::Method;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use wharflane_http::client;
use wharflane_stand_in::cases;

cases! {
    an_answer_that_keeps_coming_is_read_to_its_end => run(keeps_coming()),
    an_answer_that_stops_on_its_way_is_given_up => run(stops()),
    an_answer_that_never_ends_is_given_up => run(never_ends()),
}

/// How long a call may wait for an answer to begin, or to go on.
const LIMIT: time::Duration = time::Duration::from_millis(300);
/// The time between two pieces.
const GAP: time::Duration = time::Duration::from_millis(100);
/// The pieces of an answer that takes three times the limit.
const PIECES: usize = 9;

/// Runs a case.
fn run(case: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(case);
}

/// Starts a server that sends so many pieces of one byte of an answer that is said to be so long.
async fn serve(length: usize, pieces: usize) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 1_024];
                let read = stream.read(&mut request).await.expect("a request");
                assert!(read > 0, "the caller went away");
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
                stream.write_all(head.as_bytes()).await.expect("a head");
                for _ in 0..pieces {
                    tokio::time::sleep(GAP).await;
                    if stream.write_all(b"x").await.is_err() {
                        return;
                    }
                }
                std::future::pending::<()>().await;
            });
        }
    });
    addr
}

/// Makes one call.
async fn call(addr: net::SocketAddr) -> Result<Bytes, client::CallError> {
    let client = client::Client::new(LIMIT);
    client.send(Method::GET, &format!("http://{addr}/"), Bytes::new()).await
}

/// Reads an answer that takes longer than the limit in all, and nowhere between two pieces.
async fn keeps_coming() {
    let answer = call(serve(PIECES, PIECES).await).await;
    assert_eq!(answer.expect("the whole answer").len(), PIECES);
}

/// Reads an answer of which only a part comes.
async fn stops() {
    let answer = call(serve(PIECES, PIECES / 2).await).await;
    assert!(matches!(answer, Err(client::CallError::TimedOut)), "{answer:?}");
}

/// Reads an answer of which one more piece always comes.
async fn never_ends() {
    let answer = call(serve(usize::MAX >> 1, usize::MAX).await).await;
    assert!(matches!(answer, Err(client::CallError::TimedOut)), "{answer:?}");
}
