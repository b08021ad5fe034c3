//! Tests entry hosts that are killed, frozen and replaced under load, and that get malformed input.
//!
//! The outcome reported to a caller must be correct: a request runs at most once, its answer
//! belongs to it, and a request that is reported as not run never runs.

use std::collections;
use std::time;

use wharflane_stand_in::{caller, cases, checker, history};

use crate::fleet;

cases! {
    outcomes_given_to_callers_hold_when_hosts_die => fleet::run(kills()),
    a_rolling_replacement_of_hosts_cuts_no_request => fleet::run(rolling_replacement()),
    peers_get_gossip_for_changes_only => fleet::run(gossip()),
    malformed_input_on_every_port_affects_no_other_caller => fleet::run(malformed_input()),
}

/// A batch job that runs beside the service.
const JOB: &str = r#"
[[job]]
name = "rebuild"
team = "ours"
class = "spare"
halls = ["vake"]
tasks = 12
cpu_milli = 2000
mem_mb = 1000
run_time_ms = 1500
checkpoint = true
on_loss = "hold"
"#;

/// Returns a desired state with the service on three workers, and the batch job.
fn desired() -> String {
    format!("{}{JOB}", fleet::SERVICE.replace("count = 4", "count = 3"))
}

/// Checks the outcomes that callers got against the requests that the endpoints ran.
fn check_outcomes(report: &caller::Report, events: &[history::Event]) {
    let runs = checker::runs(events);
    for result in &report.requests {
        let ran = runs.get(result.request.as_str()).copied().unwrap_or(0);
        assert!(ran <= 1, "request {} ran {ran} times", result.request);
        assert_ne!(result.end, caller::End::Wrong, "{}", result.request);
        assert!(
            result.end != caller::End::NotRun || ran == 0,
            "request {} ran, and its caller got the answer that it did not",
            result.request
        );
    }
}

/// Kills one host and freezes another for 3 s under load; the batch job still completes.
async fn kills() {
    let mut fleet = fleet::Fleet::start(3, 3, &["vake"]).await;
    fleet.apply("entry-0", &desired()).await;
    fleet.wait_for_endpoints("lending", 3).await;
    let running = tokio::spawn(caller::run(fleet.load("kill", "lending", 150.0, 6)));
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    fleet.host("entry-1").process.signal("-STOP");
    fleet.host("entry-0").process.signal("-KILL");
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    fleet.host("entry-1").process.signal("-CONT");
    let report = running.await.expect("the load panicked");
    drop(fleet.hosts.remove("entry-0"));
    fleet::wait_until("the job to end", async || {
        let ended = |event: &&history::Event| matches!(event, history::Event::Completed { .. });
        fleet.events().await.iter().filter(ended).count() == 12
    })
    .await;
    let events = fleet.events().await;
    assert_eq!(checker::check(&events), Vec::new());
    check_outcomes(&report, &events);
    let answered = report.count(caller::End::Answered);
    assert!(
        answered * 3 >= report.requests.len(),
        "only {answered} of {} requests were answered",
        report.requests.len()
    );
}

/// Replaces every host in turn, as a rolling update does; callers use only hosts that are ready.
async fn rolling_replacement() {
    let mut fleet = fleet::Fleet::start(2, 3, &["vake"]).await;
    fleet.apply("entry-0", &desired()).await;
    fleet.wait_for_endpoints("lending", 3).await;
    let mut reports = Vec::new();
    for old in ["entry-0", "entry-1"] {
        let new = format!("next-{old}");
        fleet.add_host(&new, "vake");
        assert!(fleet.publish_members().await);
        fleet.wait_for_endpoints("lending", 3).await;
        let running = tokio::spawn(caller::run(fleet.load(old, "lending", 100.0, 2)));
        let mut host = fleet.hosts.remove(old).expect("no such host");
        fleet.members.hosts.remove(&old.into());
        tokio::time::sleep(time::Duration::from_millis(1_900)).await;
        host.process.signal("-TERM");
        let report = running.await.expect("the load panicked");
        assert!(host.process.wait(), "{old} did not exit with success");
        assert!(fleet.publish_members().await);
        reports.push(report);
    }
    let events = fleet.events().await;
    for report in &reports {
        check_outcomes(report, &events);
        let answered = report.count(caller::End::Answered);
        assert_eq!(answered, report.requests.len(), "requests were cut off");
    }
    let halls = fleet.hosts["next-entry-0"].operator_client();
    fleet::wait_until("a new host to hold a hall", async || {
        let status = halls.status().await.unwrap_or_default();
        let holders: collections::BTreeSet<_> =
            status.halls.values().filter_map(|hall| hall.holder.clone()).collect();
        holders.iter().any(|holder| holder.starts_with("next-"))
    })
    .await;
}

/// Sends malformed and oversized input to every port of a host while callers are served.
async fn malformed_input() {
    use tokio::io::AsyncWriteExt as _;
    let fleet = fleet::Fleet::start(1, 3, &["vake"]).await;
    fleet.apply("entry-0", &desired()).await;
    fleet.wait_for_endpoints("lending", 3).await;
    let running = tokio::spawn(caller::run(fleet.load("calm", "lending", 100.0, 3)));
    let host = fleet.host("entry-0");
    let mut open = Vec::new();
    for port in [host.caller, host.operator, host.peer] {
        let long_head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(1 << 20));
        let long_body =
            format!("POST /lending/x HTTP/1.1\r\ncontent-length: {}\r\n\r\n", 1_u64 << 40);
        let frames = "\u{0}\u{0}\u{ff}".repeat(1 << 16);
        for bytes in [long_head, long_body, frames, "GET / HT".to_owned()] {
            let mut stream = tokio::net::TcpStream::connect(port).await.expect("can't connect");
            // The host may close the connection before it has read everything.
            let _ = stream.write_all(bytes.as_bytes()).await;
            open.push(stream);
        }
    }
    let deep = format!("x = {}", "[".repeat(200_000));
    let apply =
        wharflane_operator::Apply { apply_id: "deep".to_owned(), base_revision: 1, text: deep };
    let answer = host.operator_client().apply(&apply).await.expect("no answer");
    assert!(matches!(answer, wharflane_operator::Applied::Refused { .. }));
    let large = wharflane_operator::Apply { text: "# x\n".repeat(3_000_000), ..apply };
    let answer = host.operator_client().apply(&large).await.expect("no answer");
    assert!(matches!(answer, wharflane_operator::Applied::Refused { .. }));
    let report = running.await.expect("the load panicked");
    assert_eq!(
        report.count(caller::End::Answered),
        report.requests.len(),
        "requests of other callers failed"
    );
}

/// Returns how many gossip messages a host has sent to its peers for a cause.
async fn gossip_messages(fleet: &fleet::Fleet, host: &str, cause: &str) -> u64 {
    let text = fleet.metrics(host).await;
    let name = format!("wharflane_gossip_messages_total{{cause=\"{cause}\"}} ");
    let value = text.lines().find_map(|line| line.strip_prefix(&name));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Runs many short tasks, which change no endpoint: hosts must not send gossip for them in addition
/// to the periodic rounds.
async fn gossip() {
    let fleet = fleet::Fleet::start(2, 2, &["vake"]).await;
    let service = desired().replace("count = 3", "count = 2").replace("tasks = 12", "tasks = 1");
    fleet.apply("entry-0", &service).await;
    fleet.wait_for_endpoints("lending", 2).await;
    fleet::wait_until("the task to end", async || completed_tasks(&fleet.events().await) == 1)
        .await;
    let mut before = 0;
    for host in ["entry-0", "entry-1"] {
        before += gossip_messages(&fleet, host, "news").await;
    }
    let many = service.replace("tasks = 1\n", "tasks = 60\n").replace("1500", "200");
    fleet.apply("entry-0", &many).await;
    fleet::wait_until("the tasks to end", async || completed_tasks(&fleet.events().await) == 60)
        .await;
    let mut after = 0;
    for host in ["entry-0", "entry-1"] {
        after += gossip_messages(&fleet, host, "news").await;
    }
    assert!(after - before <= 4, "one revision caused {} gossip messages", after - before);
}

/// Returns how many tasks completed.
fn completed_tasks(events: &[history::Event]) -> usize {
    events.iter().filter(|event| matches!(event, history::Event::Completed { .. })).count()
}
