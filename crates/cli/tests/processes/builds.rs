//! Programs tell which build they are.
//!
//! Guards against an older program that answers callers unnoticed: nothing in its version, its log or
//! its metrics told it from a later one. Also fails where the programs are older than these tests.

use std::fs;

use wharflane_operator as operator;
use wharflane_stand_in::cases;

use crate::fleet;
use crate::job_service;

cases! {
    a_host_tells_its_build => fleet::run(check_host()),
    programs_tell_their_build => fleet::run(check_programs()),
}

/// Checks the log, the metrics and the status of a host.
async fn check_host() {
    let setup = job_service::Setup { log: job_service::Log::Files, ..Default::default() };
    let service = job_service::JobService::start_with(1, setup).await;
    let log = fs::read_to_string(service.log_path(0)).expect("no log");
    let first: serde_json::Value =
        serde_json::from_str(log.lines().next().expect("an empty log")).expect("no JSON");
    let expected = serde_json::json!({
        "message": "wharflaned starting",
        "version": wharflane_build::VERSION,
        "sources": wharflane_build::SOURCES,
        "target_triple": wharflane_build::TARGET_TRIPLE,
    });
    assert_eq!(first["fields"], expected);
    let metric = format!("wharflane_build_info{{sources=\"{}\"", wharflane_build::SOURCES);
    assert_eq!(service.metric(0, &metric).await, 1);
    let client = operator::Operator::new(service.operators[0], job_service::TIMEOUT);
    let status = client.status().await.expect("no status");
    assert_eq!(status.build, wharflane_build::DESCRIPTION);
}

/// Checks what the programs print as their version.
async fn check_programs() {
    for name in ["wharflaned", "wharflane"] {
        let output = fleet::output(name, &["--version"]).await;
        let printed = String::from_utf8_lossy(&output.stdout).into_owned();
        assert_eq!(printed, format!("{name} {}\n", wharflane_build::DESCRIPTION));
    }
}
