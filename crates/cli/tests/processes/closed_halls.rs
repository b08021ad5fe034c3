//! Tests that no task starts in a closed hall; hosts are separate processes.

use std::time;

use wharflane::job;
use wharflane_caller::job as caller;
use wharflane_operator as operator;
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::server;

use crate::fleet;
use crate::job_service;

cases! {
    nothing_starts_in_a_closed_hall_until_it_is_reopened => fleet::run(closed_and_reopened()),
    a_hall_stays_closed_when_its_holder_is_killed => fleet::run(holder_killed()),
}

/// The only hall, with all workers.
const HALL: &str = "hall";
/// Limit of one operator call.
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// The time during which the tests check that no task starts; a start takes about 50 ms.
const OBSERVATION_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Closes or reopens the hall with the command line, and waits until all hosts show it.
async fn set_hall_closed(service: &job_service::JobService, closed: bool) {
    let host = service.operators[0].to_string();
    let mut args = vec!["evacuate", HALL, "--host", &host];
    if !closed {
        args.push("--undo");
    }
    let output = fleet::output("wharflane", &args).await;
    let printed = String::from_utf8_lossy(&output.stdout).trim().to_owned();
    assert_eq!(printed, if closed { "hall closed" } else { "hall open" });
    for addr in &service.operators {
        let host = operator::Operator::new(*addr, TIMEOUT);
        fleet::wait_until("the host to show whether the hall is closed", async || {
            let status = host.status().await;
            status.is_ok_and(|status| status.closed_since_s.contains_key(HALL) == closed)
        })
        .await;
    }
}

/// Returns how many tasks have been started so far.
fn starts(service: &job_service::JobService) -> u64 {
    service.platform.lock().checker.starts
}

/// A job submitted to a closed hall waits and starts no task; it runs once the hall is reopened.
async fn closed_and_reopened() {
    let service = job_service::JobService::start(2).await;
    set_hall_closed(&service, true).await;
    let id = service.submit(1, 1).await;
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert_eq!(starts(&service), 0);
    let reply = service.jobs(1).count_waiting(server::QUEUE).await.expect("no count");
    assert_eq!(reply, caller::JobReply::Waiting(1));
    set_hall_closed(&service, false).await;
    service.wait_for_phase(0, id, job::Phase::Completed).await;
    set_hall_closed(&service, false).await;
}

/// Kills the holder while the hall is closed: the next holder starts no task until it is reopened.
async fn holder_killed() {
    let mut service = job_service::JobService::start(2).await;
    set_hall_closed(&service, true).await;
    service.kill(0);
    let id = service.submit(1, 1).await;
    tokio::time::sleep(OBSERVATION_TIME * 3).await;
    assert_eq!(starts(&service), 0);
    let host = operator::Operator::new(service.operators[1], TIMEOUT);
    host.open_hall(HALL).await.expect("no answer");
    service.wait_for_phase(1, id, job::Phase::Completed).await;
}
