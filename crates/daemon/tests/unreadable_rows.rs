//! What callers are told of a job whose rows the host can't read: never that there is no such job.
//!
//! Guards against a final answer about an accepted job that a host gives since it can't read a row,
//! which a later version may have written.

use std::time;

use wharflane::job;
use wharflane_daemon::jobs::service;
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::server;

mod common;

/// Time that the caller waits.
const CALLER_TIME: time::Duration = time::Duration::from_secs(2);
/// Id of the job.
const ID: job::JobId = job::JobId(7);

/// Asks a host about the job, of which the store holds a row that can't be read.
fn ask(call: job::Call) -> job::Answer {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let answer = runtime.block_on(async {
        let platform = server::Platform::start(1, time::Duration::ZERO).await.expect("a platform");
        let shared = common::shared(platform.store);
        let key = job::job_key(job::domain_of(ID, shared.domains()), ID);
        platform.write_row(key, Some("of a newer version".to_owned()));
        let deadline = shared.clock.now() + CALLER_TIME;
        service::Service::new(shared).answer(call, &job::Queues::default(), deadline).await
    });
    runtime.shutdown_background();
    answer
}

cases! {
    a_job_that_can_not_be_read_is_there => {
        let answer = ask(job::Call::State { id: ID });
        assert!(!matches!(answer, job::Answer::NoJob), "{answer:?}");
    },
    // A cancel got 410, as if the job weren't there, and the job may run on.
    a_cancel_of_a_job_that_can_not_be_read_is_not_answered_for_good => {
        let answer = ask(job::Call::Cancel { id: ID });
        assert!(!matches!(answer, job::Answer::NoJob | job::Answer::Cancelled), "{answer:?}");
    },
}
