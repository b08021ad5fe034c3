//! What a host tells a caller whose job it can't store at once, over a real connection.
//!
//! Guards against an unknown outcome where the store answers in the caller's time, or where nothing
//! was sent to it.

use std::net;
use std::time;

use wharflane::job;
use wharflane::job::{early_cancel, retry_after, submission};
use wharflane_daemon::jobs::storing;
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::server;

mod common;

/// Time that the caller waits: longer than any fault here.
const CALLER_TIME: time::Duration = time::Duration::from_secs(20);
/// Id of the submitted job.
const ID: job::JobId = job::JobId(7);

/// Submits a job to a store on loopback; returns what the caller is told.
async fn submit(store: net::SocketAddr) -> submission::End {
    let shared = common::shared(store);
    let accepted =
        job::Accepted { job: common::job(), cancelled: false, accepted_ms: 0, policy: None };
    let row = early_cancel::Submitted::new(0, ID, accepted).expect("a row");
    let answer_by = shared.clock.now() + CALLER_TIME;
    storing::store_job_row(&shared, row, answer_by).await
}

/// Submits a job to a store with faults; returns what the caller is told, and how many
/// transactions the store executed.
async fn submit_with(faults: server::Faults) -> (submission::End, u64) {
    let platform = server::Platform::start(1, time::Duration::ZERO).await.expect("a platform");
    platform.lock().faults = faults;
    let before = platform.lock().transactions;
    let end = submit(platform.store).await;
    let executed = platform.lock().transactions - before;
    (end, executed)
}

/// Runs a case on a runtime of its own.
fn run(case: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(case);
    runtime.shutdown_background();
}

cases! {
    // The turn is longer than the timeout of a call.
    a_write_that_waits_for_its_turn_is_waited_for => run(async {
        let faults = server::Faults { turn_ms: 1_200, ..server::Faults::default() };
        let (end, _) = submit_with(faults).await;
        assert_eq!(end, submission::End::Stored);
    }),
    a_write_whose_answer_is_lost_is_found_and_not_repeated => run(async {
        let faults = server::Faults { lose_every: 1, ..server::Faults::default() };
        assert_eq!(submit_with(faults).await, (submission::End::Stored, 1));
    }),
    a_rejected_write_is_known_to_be_without_effect => run(async {
        let faults = server::Faults { store_busy: true, ..server::Faults::default() };
        let busy = submission::End::NotTaken(retry_after::Cause::StoreBusy);
        assert_eq!(submit_with(faults).await, (busy, 0));
    }),
    a_write_that_finds_no_store_raises_no_doubt => run(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let closed = listener.local_addr().expect("an address");
        drop(listener);
        let silent = submission::End::NotTaken(retry_after::Cause::StoreSilent);
        assert_eq!(submit(closed).await, silent);
    }),
}
