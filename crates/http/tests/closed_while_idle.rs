//! What a call costs whose idle connection was ended by its peer a moment before.
//!
//! A close lies in the kernel before the task of the idle connection has been run: the next call was written to the dead
//! connection and failed with `IncompleteMessage`, in 6 of 400 runs of the test
//! `a_connection_that_its_peer_closed_costs_no_call` beside 12 busy loops. Here the runtime has one thread, which waits until
//! the peer's end lies in the kernel, so that no task can have seen it and each run shows the same.

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
    a_call_after_an_answer_unasked_has_its_own => runtime::on_one_thread(calls(1, End::GiveUp)),
    calls_after_the_close_of_many_connections_are_answered => runtime::on_one_thread(calls(8, End::Close)),
}

/// How often a batch of calls is made and its connections are ended.
const ROUNDS: usize = 4;
/// Longer than any test takes: no limit of time plays a part here.
const PATIENCE: time::Duration = time::Duration::from_secs(60);

/// Makes batches of calls; the peer ends all connections after each batch.
async fn calls(batch: usize, end: End) {
    let peer = ClosingPeer::start(batch, end).expect("a peer");
    let url = format!("http://{}/", peer.addr);
    let client = client::Client::new(PATIENCE);
    for round in 0..ROUNDS {
        let answers = (0..batch).map(|_| client.send(Method::POST, &url, Bytes::new()));
        for answer in future::join_all(answers).await {
            answer.unwrap_or_else(|err| panic!("round {round}: {err:?}"));
        }
        peer.end();
    }
    assert_eq!(peer.requests(), ROUNDS * batch, "each request is read once");
}
