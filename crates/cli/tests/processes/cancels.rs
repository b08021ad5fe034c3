//! Cancels of jobs that are not stored, with hosts as separate processes.
//!
//! Guards against a job that runs after its cancel was answered: the write of its submission was
//! held up on its way to the store, the cancel found no row and left no trace.

use wharflane::job;
use wharflane_caller::job as caller;
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::server;

use crate::fleet;
use crate::job_service;

cases! {
    a_job_cancelled_while_its_write_is_late_never_runs => fleet::run(cancelled_in_doubt(false)),
    a_job_cancelled_while_its_write_is_late_never_runs_though_its_host_is_killed =>
        fleet::run(cancelled_in_doubt(true)),
    a_job_submitted_after_its_cancel_never_runs => fleet::run(submitted_after_cancel()),
}

/// The job of these tests.
const ID: job::JobId = job::JobId(11);
/// How late the write of the submission takes effect, in milliseconds.
const LATE_MS: u64 = 1_500;
/// How long the caller of the submission waits, in milliseconds.
const DEADLINE_MS: u64 = 600;
/// For how many task times a test looks for starts.
const TASK_TIMES: u32 = 5;

/// Cancels a job at one host while the write of another is on its way to the store.
async fn cancelled_in_doubt(kills_host: bool) {
    let mut service = job_service::JobService::start(2).await;
    service.register(ID, job_service::two_steps());
    service.platform.lock().faults.late_jobs_ms = LATE_MS;
    let (status, _) =
        job_service::submit_with_deadline(service.hosts[0].1, ID.0, DEADLINE_MS).await;
    assert_eq!(status, 504);
    service.platform.lock().faults.late_jobs_ms = 0;
    if kills_host {
        service.kill(0);
    }
    check_no_job(service.jobs(1).cancel(server::QUEUE, ID).await);
    fleet::wait_until("the late write", async || service.platform.lock().late_transactions == 1)
        .await;
    if kills_host {
        service.add_host(job_service::LEASE_MS);
        service.wait_until_ready(2).await;
    }
    check_nothing_runs(&service).await;
    check_no_job(service.jobs(1).state(server::QUEUE, ID).await);
}

/// Cancels a job that nobody has submitted, and submits it afterwards.
async fn submitted_after_cancel() {
    let service = job_service::JobService::start(2).await;
    check_no_job(service.jobs(1).cancel(server::QUEUE, ID).await);
    check_no_job(service.jobs(0).state(server::QUEUE, ID).await);
    service.submit(0, ID.0).await;
    service.wait_for_phase(1, ID, job::Phase::Cancelled).await;
    check_nothing_runs(&service).await;
    let waiting = service.jobs(0).count_waiting(server::QUEUE).await.expect("no answer");
    assert_eq!(waiting, caller::JobReply::Waiting(0));
}

/// Checks that a host has answered that there is no such job.
fn check_no_job(reply: Result<caller::JobReply, caller::JobError>) {
    let unknown = matches!(reply, Err(caller::JobError::Refused { status: 410, .. }));
    assert!(unknown, "{reply:?}");
}

/// Checks that no task starts.
async fn check_nothing_runs(service: &job_service::JobService) {
    tokio::time::sleep(job_service::TASK_TIME * TASK_TIMES).await;
    service.check_violations_and_starts(0);
}
