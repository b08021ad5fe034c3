//! What a request costs whose idle connection was ended by its endpoint a moment before.
//!
//! An endpoint ends idle connections when it likes: after a time limit, at a restart, by a reset. The end lies in the
//! kernel at once, but the task of the connection sees it only when the runtime has asked for events and has run
//! that task. A request that came in between was written to the dead connection. Nobody read it, and its caller was told
//! that the outcome is not known; a request that may not be repeated was lost, though nothing had run. Where the
//! endpoint had said 408 before its close, as servers do that give up waiting, the caller was even given that as its answer.
//! What showed it: calls of one after another to a peer that closes after each answer failed in 6 of 400 runs beside 12
//! busy loops with `IncompleteMessage`, always right after a close. Here nothing rests on luck: the runtime has one
//! thread, which waits until the peer's end lies in the kernel, so that no task can have seen it.

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
    a_request_after_an_answer_unasked_has_its_own => runtime::on_one_thread(requests(1, End::GiveUp)),
    requests_after_the_close_of_many_connections_are_answered => runtime::on_one_thread(requests(8, End::Close)),
}

/// How often a batch of requests is sent and its connections are ended.
const ROUNDS: usize = 4;
/// Longer than any test takes: no limit of time plays a part here.
const PATIENCE: time::Duration = time::Duration::from_secs(60);

/// Sends batches of requests that may not be repeated; the endpoint ends all connections after each batch.
async fn requests(batch: usize, end: End) {
    let peer = ClosingPeer::start(batch, end).expect("a peer");
    let bounds =
        endpoint::Bounds { idle: batch, idle_timeout: PATIENCE, connect_timeout: PATIENCE };
    let pool = sync::Arc::new(endpoint::Pool::new(bounds));
    for round in 0..ROUNDS {
        let answers = (0..batch).map(|_| ask(&pool, peer.addr));
        for answer in future::join_all(answers).await {
            let answer = answer.unwrap_or_else(|err| panic!("round {round}: {err:?}"));
            assert_eq!(answer, StatusCode::OK, "round {round}");
        }
        peer.end();
    }
    assert_eq!(peer.requests(), ROUNDS * batch, "each request is read once");
}

/// Sends a request, reads its whole answer and gives the connection back.
async fn ask(
    pool: &sync::Arc<endpoint::Pool>,
    addr: net::SocketAddr,
) -> Result<StatusCode, endpoint::AttemptError> {
    let request = hyper::Request::post("/").header("host", addr.to_string());
    let request = request.body(http_body_util::Full::default()).expect("a request");
    let answer = pool.exchange(addr, request, PATIENCE).await?;
    let status = answer.response.status();
    answer.response.into_body().collect().await.expect("a whole body");
    answer.lease.release();
    Ok(status)
}
