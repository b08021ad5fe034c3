//! Guards against calls that fail because the peer has just closed their idle connection.
//!
//! The kernel receives a close before the task of the idle connection has run. A call in between
//! was written to the closed connection and failed with `IncompleteMessage`, in 6 of 400 runs of
//! the test `a_connection_closed_by_its_peer_fails_no_call` with 12 busy loops. Here the runtime
//! has one thread, which waits until the kernel has received the close, so that no task can have
//! seen it and every run is the same.

use std::time;

use bytes::Bytes;
use futures::future;
use hyper::Method;
use wharflane_http::client;
use wharflane_stand_in::cases;
use wharflane_stand_in::closing_peer::{ClosingPeer, End};
use wharflane_stand_in::runtime;

cases! {
    a_call_after_a_close_is_answered => runtime::on_one_thread(calls(1, End::Close)),
    a_call_after_a_reset_is_answered => runtime::on_one_thread(calls(1, End::Reset)),
    a_call_after_an_unsolicited_answer_gets_its_own =>
        runtime::on_one_thread(calls(1, End::RequestTimeout)),
    calls_after_many_connections_close_are_answered => runtime::on_one_thread(calls(8, End::Close)),
}

/// Number of batches; the peer ends the connections after each.
const ROUNDS: usize = 4;
/// Timeout that no call reaches.
const TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Makes batches of concurrent calls; the peer ends all connections after each batch.
async fn calls(batch: usize, end: End) {
    let peer = ClosingPeer::start(batch, end).expect("a peer");
    let url = format!("http://{}/", peer.addr);
    let client = client::Client::new(TIMEOUT);
    for round in 0..ROUNDS {
        let answers = (0..batch).map(|_| client.send(Method::POST, &url, Bytes::new()));
        for answer in future::join_all(answers).await {
            answer.unwrap_or_else(|err| panic!("round {round}: {err:?}"));
        }
        peer.end();
    }
    assert_eq!(peer.requests(), ROUNDS * batch, "each request is read once");
}
