//! Guards against requests that are lost because the endpoint has just closed their idle
//! connection.
//!
//! An endpoint may close idle connections at any time: after a timeout, at a restart, by a reset.
//! The kernel receives the close at once, but the task of the connection sees it only after the
//! runtime has polled for events. A request in between was written to the closed connection, and
//! its outcome was reported as unknown although it had not run, so a request that may not be
//! repeated was lost. If the endpoint had sent a 408 before the close, the caller got that as its
//! answer. Sequential calls to a peer that closes after each answer failed with `IncompleteMessage`
//! in 6 of 400 runs with 12 busy loops. Here the runtime has one thread, which waits until the
//! kernel has received the close, so that no task can have seen it and every run is the same.

use std::net;
use std::sync;
use std::time;

use futures::future;
use http_body_util::BodyExt as _;
use hyper::StatusCode;
use wharflane_endpoint as endpoint;
use wharflane_stand_in::cases;
use wharflane_stand_in::closing_peer::{ClosingPeer, End};
use wharflane_stand_in::runtime;

cases! {
    a_request_after_a_close_is_answered => runtime::on_one_thread(requests(1, End::Close)),
    a_request_after_a_reset_is_answered => runtime::on_one_thread(requests(1, End::Reset)),
    a_request_after_an_unsolicited_answer_gets_its_own =>
        runtime::on_one_thread(requests(1, End::RequestTimeout)),
    requests_after_many_connections_close_are_answered =>
        runtime::on_one_thread(requests(8, End::Close)),
}

/// Number of batches; the endpoint ends the connections after each.
const ROUNDS: usize = 4;
/// Timeout that no request reaches.
const TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Sends batches of concurrent, non-repeatable requests; the endpoint ends all connections after
/// each batch.
async fn requests(batch: usize, end: End) {
    let peer = ClosingPeer::start(batch, end).expect("a peer");
    let bounds = endpoint::Bounds { idle: batch, idle_timeout: TIMEOUT, connect_timeout: TIMEOUT };
    let pool = sync::Arc::new(endpoint::Pool::new(bounds));
    for round in 0..ROUNDS {
        let answers = (0..batch).map(|_| send_request(&pool, peer.addr));
        for answer in future::join_all(answers).await {
            let answer = answer.unwrap_or_else(|err| panic!("round {round}: {err:?}"));
            assert_eq!(answer, StatusCode::OK, "round {round}");
        }
        peer.end();
    }
    assert_eq!(peer.requests(), ROUNDS * batch, "each request is read once");
}

/// Sends a request, reads its complete answer and releases the connection.
async fn send_request(
    pool: &sync::Arc<endpoint::Pool>,
    addr: net::SocketAddr,
) -> Result<StatusCode, endpoint::AttemptError> {
    let request = hyper::Request::post("/").header("host", addr.to_string());
    let request = request.body(http_body_util::Full::default()).expect("a request");
    let answer = pool.exchange(addr, request, TIMEOUT).await?;
    let status = answer.response.status();
    answer.response.into_body().collect().await.expect("a whole body");
    answer.lease.release();
    Ok(status)
}
