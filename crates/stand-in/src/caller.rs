//! Callers with an open-loop load: requests are sent on schedule, so that slow answers don't hide
//! latency by delaying later requests.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper_util::client::legacy;
use hyper_util::rt;

/// The largest latency that the histogram records, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// A load of requests to one service.
#[derive(Clone, Debug)]
pub struct Load {
    /// The hosts, which requests use in turn.
    pub hosts: Vec<net::SocketAddr>,
    /// The service to call.
    pub service: String,
    /// Requests per second.
    pub rate: f64,
    /// The time during which requests are sent.
    pub duration: time::Duration,
    /// Whether requests declare that they may be repeated; absent to send no declaration.
    pub repeatable: Option<bool>,
    /// How long a caller waits for an answer; sent as the request's timeout.
    pub timeout: time::Duration,
    /// The prefix of every request's id.
    pub name: String,
}

/// The outcome of one request as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A complete answer, which belongs to this request.
    Answered,
    /// A complete answer that reports a failure of the endpoint.
    Faulted,
    /// A complete answer, which belongs to another request.
    Wrong,
    /// An answer that states that the request did not run.
    NotRun,
    /// An answer that states that the request may have run.
    Unknown,
    /// The connection failed or the answer was cut off, so the outcome is unknown.
    Broken,
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// The id of the request.
    pub request: String,
    /// The outcome as the caller saw it.
    pub end: End,
}

/// The results of a load, as the callers saw them.
#[derive(Clone, Debug)]
pub struct Report {
    /// All requests, in the order in which they were sent.
    pub requests: Vec<RequestResult>,
    /// The latency of answered requests from the scheduled time, in microseconds.
    pub latency_us: hdrhistogram::Histogram<u64>,
}

impl Report {
    /// Returns how many requests had this outcome.
    #[must_use]
    pub fn count(&self, end: End) -> usize {
        self.requests.iter().filter(|result| result.end == end).count()
    }

    /// Returns a latency quantile in milliseconds; `share` is from 0 to 1.
    #[must_use]
    pub fn quantile_ms(&self, share: f64) -> f64 {
        self.latency_us.value_at_quantile(share) as f64 / 1_000.0
    }
}

/// The HTTP client that all callers of a load share.
type Client = legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<Bytes>>;

/// Runs a load and returns its results.
///
/// # Panics
/// Panics if the histogram can't be created, which its fixed bounds exclude.
pub async fn run(load: Load) -> Report {
    let mut connector = legacy::connect::HttpConnector::new();
    connector.set_nodelay(true);
    let client: Client = legacy::Client::builder(rt::TokioExecutor::new()).build(connector);
    let load = sync::Arc::new(load);
    let count = (load.rate * load.duration.as_secs_f64()) as u32;
    let start = tokio::time::Instant::now();
    let mut calls = Vec::new();
    for number in 0..count {
        let at = start + time::Duration::from_secs_f64(f64::from(number) / load.rate);
        tokio::time::sleep_until(at).await;
        calls.push(tokio::spawn(call(client.clone(), sync::Arc::clone(&load), number, at)));
    }
    let mut report = Report {
        requests: Vec::new(),
        latency_us: hdrhistogram::Histogram::new_with_max(MAX_LATENCY_US, 3)
            .expect("bounds are fixed"),
    };
    for call in calls {
        let Ok((result, took)) = call.await else {
            continue;
        };
        if result.end == End::Answered {
            let us = u64::try_from(took.as_micros()).unwrap_or(MAX_LATENCY_US);
            report.latency_us.saturating_record(us);
        }
        report.requests.push(result);
    }
    report
}

/// Sends one request and classifies its outcome.
async fn call(
    client: Client,
    load: sync::Arc<Load>,
    number: u32,
    at: tokio::time::Instant,
) -> (RequestResult, time::Duration) {
    let request = format!("{}-{number}", load.name);
    let host = load.hosts[number as usize % load.hosts.len()];
    let end = match build(&load, host, &request) {
        Some(message) => {
            let expected = format!("/{request} {request}");
            let exchange = exchange(client, message, &expected);
            tokio::time::timeout(load.timeout * 2, exchange).await.unwrap_or(End::Broken)
        }
        None => End::Broken,
    };
    (RequestResult { request, end }, at.elapsed())
}

/// Builds a request.
fn build(
    load: &Load,
    host: net::SocketAddr,
    request: &str,
) -> Option<hyper::Request<http_body_util::Full<Bytes>>> {
    let mut builder = hyper::Request::post(format!("http://{host}/{}/{request}", load.service))
        .header("wharflane-request-id", request)
        .header("wharflane-timeout-ms", load.timeout.as_millis().to_string());
    if let Some(repeatable) = load.repeatable {
        let flag = if repeatable { "yes" } else { "no" };
        builder = builder.header("wharflane-repeatable", flag);
    }
    builder.body(http_body_util::Full::new(Bytes::from(request.to_owned()))).ok()
}

/// Sends a request, waits for its complete answer and classifies it.
async fn exchange(
    client: Client,
    request: hyper::Request<http_body_util::Full<Bytes>>,
    expected: &str,
) -> End {
    let Ok(answer) = client.request(request).await else {
        return End::Broken;
    };
    let is_fault = answer.status() == hyper::StatusCode::INTERNAL_SERVER_ERROR;
    let outcome = answer.headers().get("wharflane-outcome").cloned();
    let Ok(body) = answer.into_body().collect().await else {
        return End::Broken;
    };
    match outcome.as_ref().and_then(|outcome| outcome.to_str().ok()) {
        Some("answered") if body.to_bytes() == expected => End::Answered,
        Some("answered") if is_fault => End::Faulted,
        Some("answered") => End::Wrong,
        Some("not-run") => End::NotRun,
        Some("unknown") => End::Unknown,
        _ => End::Broken,
    }
}
