//! A hall that operators close and open again, with hosts as separate processes.

use std::time;

use wharflane::job;
use wharflane_caller::job as caller;
use wharflane_operator as operator;
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::server;

use crate::fleet;
use crate::jobs;

cases! {
    nothing_starts_in_a_hall_from_its_closing_to_its_opening => fleet::run(closed_and_opened()),
    a_hall_stays_closed_when_its_holder_is_killed => fleet::run(holder_killed()),
}

/// The hall of the workers.
const HALL: &str = "hall";
/// How long a call may take.
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// How long it is watched that nothing starts; a start takes some 50 ms.
const WATCHED: time::Duration = time::Duration::from_millis(1_500);

/// Lets the command line close the hall or open it, and waits until all hosts know.
async fn order(service: &jobs::Service, closes: bool) {
    let host = service.operators[0].to_string();
    let mut args = vec!["evacuate", HALL, "--host", &host];
    if !closes {
        args.push("--undo");
    }
    let output = fleet::output("wharflane", &args).await;
    let told = String::from_utf8_lossy(&output.stdout).trim().to_owned();
    assert_eq!(told, if closes { "hall closed" } else { "hall open" });
    for addr in &service.operators {
        let host = operator::Operator::new(*addr, TIMEOUT);
        fleet::until("the order heard", async || {
            let status = host.status().await;
            status.is_ok_and(|status| status.closed_since_s.contains_key(HALL) == closes)
        })
        .await;
    }
}

/// Returns how many tasks were started.
fn starts(service: &jobs::Service) -> u64 {
    service.platform.lock().judge.starts
}

/// Closes the hall, hands a job in, and opens the hall again.
async fn closed_and_opened() {
    let service = jobs::Service::start(2).await;
    order(&service, true).await;
    let id = service.submit(1, 1).await;
    tokio::time::sleep(WATCHED).await;
    assert_eq!(starts(&service), 0);
    let told = service.jobs(1).waiting(server::QUEUE).await.expect("a count");
    assert_eq!(told, caller::JobReply::Waiting(1));
    order(&service, false).await;
    service.until(0, id, job::Phase::Completed).await;
    order(&service, false).await;
}

/// Kills the host that holds the domain while the hall is closed.
async fn holder_killed() {
    let mut service = jobs::Service::start(2).await;
    order(&service, true).await;
    service.kill(0);
    let id = service.submit(1, 1).await;
    tokio::time::sleep(WATCHED * 3).await;
    assert_eq!(starts(&service), 0);
    let host = operator::Operator::new(service.operators[1], TIMEOUT);
    host.open_hall(HALL).await.expect("an answer");
    service.until(1, id, job::Phase::Completed).await;
}
