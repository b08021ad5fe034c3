//! Tests requests and batch jobs through all processes, HTTP/2 callers, and the JSON log of a host.

use std::collections;

use wharflane::id;
use wharflane_stand_in::{caller, cases, checker, history};

use crate::fleet;

/// Returns `examples/verbeeck.toml` with smaller numbers, so that it fits a few small workers.
fn small_verbeeck() -> String {
    let text = include_str!("../../../../examples/verbeeck.toml");
    let text = text.replace("count = 65", "count = 4").replace("tasks = 200", "tasks = 6");
    let text = text
        .replace("tasks = 80", "tasks = 4")
        .replace("run_time_ms = 600000", "run_time_ms = 900");
    text.replace("run_time_ms = 120000", "run_time_ms = 500")
}

cases! {
    http_2_callers_are_answered => fleet::run(http_2()),
    logs_are_json_when_configured => fleet::run(json_logs()),
    requests_are_answered_and_batch_jobs_complete => fleet::run(requests_and_jobs()),
}

/// Serves requests and completes two jobs, and checks the events that the stand-ins recorded.
async fn requests_and_jobs() {
    let halls = ["gent", "brugge", "antwerpen", "leuven"];
    let fleet = fleet::Fleet::start(2, 4, &halls).await;
    fleet.apply("entry-0", &small_verbeeck()).await;
    fleet.wait_for_endpoints("dispatch", 4).await;
    let report = caller::run(fleet.load("path", "dispatch", 100.0, 3)).await;
    assert_eq!(
        report.count(caller::End::Answered),
        report.requests.len(),
        "not all requests were answered"
    );
    fleet::wait_until("the jobs to end", async || completed(&fleet.events().await).len() == 10)
        .await;
    let events = fleet.events().await;
    assert_eq!(checker::check(&events), Vec::new());
    assert!(checker::runs(&events).values().all(|runs| *runs == 1), "a request ran more than once");
}

/// Returns the tasks that completed.
fn completed(events: &[history::Event]) -> collections::BTreeSet<id::TaskId> {
    let ended = events.iter().filter_map(|event| match event {
        history::Event::Completed { task, .. } => Some(task.clone()),
        _ => None,
    });
    ended.collect()
}

/// Sends concurrent requests over HTTP/2 without TLS.
async fn http_2() {
    use http_body_util::BodyExt as _;
    let fleet = fleet::Fleet::start(1, 4, &["gent", "brugge", "antwerpen", "leuven"]).await;
    fleet.apply("entry-0", &small_verbeeck()).await;
    fleet.wait_for_endpoints("dispatch", 4).await;
    let mut builder =
        hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new());
    let client = builder.http2_only(true).build_http();
    let host = fleet.host("entry-0").caller;
    let responses = (0..20).map(|number| {
        let body = http_body_util::Full::new(bytes::Bytes::from(number.to_string()));
        let uri = format!("http://{host}/dispatch/{number}");
        client.request(hyper::Request::post(uri).body(body).expect("can't build the request"))
    });
    for (number, answer) in futures::future::join_all(responses).await.into_iter().enumerate() {
        let answer = answer.expect("no answer");
        assert_eq!(answer.headers()["wharflane-outcome"], "answered");
        let body = answer.into_body().collect().await.expect("can't read the body").to_bytes();
        assert_eq!(body, format!("/{number} {number}"));
    }
}

/// The first lines of a host with `format = "json"` are JSON records with message and fields.
async fn json_logs() {
    let fleet = fleet::Fleet::start(0, 0, &["gent"]).await;
    let lines = fleet.first_log_lines("entry-log", "format = \"json\"\nlevel = \"info\"", 2);
    let lines = lines.iter().map(|line| serde_json::from_str(line).expect("the line is not JSON"));
    let lines: Vec<serde_json::Value> = lines.collect();
    assert_eq!(lines[0]["fields"]["message"], "wharflaned starting");
    assert_eq!(lines[1]["fields"]["message"], "host up");
    assert_eq!(lines[1]["fields"]["host"], "entry-log");
}
