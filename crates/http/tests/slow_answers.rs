//! Guards against abandoning answers that keep arriving over a slow link.
//!
//! A host behind a slow link read a large state. It abandoned each answer at the timeout of a call
//! although data was still arriving, and requested it again, so the link carried only answers that
//! were discarded. The configuration was among them: the host rejected calls to new queues for
//! seconds after other hosts accepted them.

use std::net;
use std::time;

use bytes::Bytes;
use hyper::Method;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use wharflane_http::client;
use wharflane_stand_in::cases;
use wharflane_stand_in::runtime;

cases! {
    an_answer_that_keeps_arriving_is_read_to_its_end => runtime::on_many_threads(keeps_arriving()),
    an_answer_that_stops_arriving_times_out => runtime::on_many_threads(stops_arriving()),
    an_answer_that_never_ends_times_out => runtime::on_many_threads(never_ends()),
}

/// Timeout for the head of an answer, and for each further piece.
const TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Interval between two pieces.
const GAP: time::Duration = time::Duration::from_millis(100);
/// Number of pieces of an answer that takes three times the timeout.
const PIECES: usize = 9;

/// Starts a server that announces an answer of `length` bytes and sends `pieces` of one byte each.
async fn serve(length: usize, pieces: usize) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 1_024];
                let read = stream.read(&mut request).await.expect("a request");
                assert!(read > 0, "the client closed the connection");
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

/// Makes one call to the server.
async fn call(addr: net::SocketAddr) -> Result<Bytes, client::CallError> {
    let client = client::Client::new(TIMEOUT);
    client.send(Method::GET, &format!("http://{addr}/"), Bytes::new()).await
}

/// Reads an answer that takes longer than the timeout as a whole, but not between two pieces.
async fn keeps_arriving() {
    let answer = call(serve(PIECES, PIECES).await).await;
    assert_eq!(answer.expect("the whole answer").len(), PIECES);
}

/// Reads an answer of which only a part arrives.
async fn stops_arriving() {
    let answer = call(serve(PIECES, PIECES / 2).await).await;
    assert!(matches!(answer, Err(client::CallError::TimedOut)), "{answer:?}");
}

/// Reads an answer whose pieces never end.
async fn never_ends() {
    let answer = call(serve(usize::MAX >> 1, usize::MAX).await).await;
    assert!(matches!(answer, Err(client::CallError::TimedOut)), "{answer:?}");
}
