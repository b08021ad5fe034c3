//! `wharflane try`: a demo that runs a platform, a hall of workers, an entry host and load in one
//! process.
//!
//! It measures a service without batch work, then the same service beside a batch job that slows
//! the endpoints on its workers, and prints the latencies of both parts.

use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

use anyhow::Context as _;
use serde::Serialize;
use wharflane::{id, members, size};
use wharflane_daemon::{host, settings};
use wharflane_operator as operator;
use wharflane_stand_in::{caller, endpoint, history, platform, worker};

/// Number of workers, enough for one endpoint of the service on each.
const WORKERS: usize = 6;
/// Load on the service, in requests per second.
const REQUESTS_PER_S: f64 = 300.0;
/// Time that an endpoint takes for a request without interference, in milliseconds.
const SERVICE_MS: u64 = 4;
/// Slowdown of the endpoints on a worker that is full of batch tasks, in percent.
const SLOWDOWN_PERCENT: u64 = 900;
/// Limit for an accepted desired state, and for all endpoints of the service to start.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Limit of one call to the operators' port.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Result of one part of the demo.
#[derive(Debug, Serialize)]
struct Row {
    /// Label of the part: whether batch work ran beside the service.
    part: &'static str,
    /// Requests that were answered.
    answered: usize,
    /// Requests without an answer.
    unanswered: usize,
    /// Median latency, in milliseconds.
    p50_ms: f64,
    /// Latency that 99 of 100 answers did not exceed, in milliseconds.
    p99_ms: f64,
    /// Latency that 999 of 1,000 answers did not exceed, in milliseconds.
    p999_ms: f64,
    /// Batch tasks that completed.
    batch_done: u64,
    /// Evictions of batch tasks.
    evictions: u64,
    /// Times that a batch task was throttled.
    throttles: u64,
}

/// Counters of the batch work since the start of the demo.
#[derive(Clone, Copy, Debug, Default)]
struct BatchCounters {
    /// Tasks that completed.
    done: u64,
    /// Evictions, for any cause.
    evictions: u64,
    /// Times that a task was throttled.
    throttles: u64,
}

/// Runs the demo, prints its results and returns the exit code.
pub fn run(part: time::Duration, json: bool) -> anyhow::Result<u8> {
    let runtime = tokio::runtime::Runtime::new().context("can't start threads")?;
    let rows = runtime.block_on(demo(part))?;
    if json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
        return Ok(0);
    }
    println!(
        "{:<16} {:>8} {:>7} {:>8} {:>8} {:>9} {:>6} {:>10} {:>10}",
        "beside",
        "answered",
        "others",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "done",
        "evictions",
        "throttles"
    );
    for row in &rows {
        println!(
            "{:<16} {:>8} {:>7} {:>8.2} {:>8.2} {:>9.2} {:>6} {:>10} {:>10}",
            row.part,
            row.answered,
            row.unanswered,
            row.p50_ms,
            row.p99_ms,
            row.p999_ms,
            row.batch_done,
            row.evictions,
            row.throttles
        );
    }
    runtime.shutdown_background();
    Ok(0)
}

/// Starts all components and measures the service without batch work, then beside the noisy job.
async fn demo(part: time::Duration) -> anyhow::Result<Vec<Row>> {
    let ports = [free_port()?, free_port()?, free_port()?];
    progress("starting a platform, workers and an entry host");
    let platform_addr = start_machines(ports[2]).await?;
    start_host(ports, platform_addr)?;
    let operator_client = operator::Operator::new(ports[1], CALL_TIMEOUT);
    apply_desired(&operator_client, 0, "").await?;
    wait_for_service(&operator_client).await?;
    progress("the service alone");
    let quiet = measure("nothing", &operator_client, ports[0], part).await?;
    apply_desired(&operator_client, 1, NOISY).await?;
    progress("the service beside a noisy batch job");
    let noisy = measure("a noisy job", &operator_client, ports[0], part).await?;
    Ok(vec![quiet, noisy])
}

/// The desired state without batch work.
const SERVICE: &str = r#"
[[class]]
name = "paid"
priority = 100
[[class]]
name = "spare"
priority = 1
[[team]]
name = "demo"
[[hall]]
name = "hall"
[[service]]
name = "echo"
team = "demo"
class = "paid"
halls = ["hall"]
count = 6
cpu_milli = 2000
mem_mb = 1000
latency_target_ms = 25
repeatable = true
"#;

/// The batch job that interferes with the service.
const NOISY: &str = r#"
[[job]]
name = "noisy"
team = "demo"
class = "spare"
halls = ["hall"]
tasks = 60
cpu_milli = 4000
mem_mb = 1000
run_time_ms = 1500
checkpoint = true
"#;

/// Starts the platform and the workers, and returns the platform's address.
async fn start_machines(peer_addr: net::SocketAddr) -> anyhow::Result<net::SocketAddr> {
    let platform = platform::Server::default();
    let listener = bind_free_port().await?;
    let platform_addr = listener.local_addr()?;
    tokio::spawn(platform.clone().serve(listener));
    let mut list = members::Members::default();
    let presence = members::Presence::Live;
    list.hosts.insert("entry".into(), members::Host { peer_addr, presence });
    for number in 0..WORKERS {
        let name = format!("worker-{number}");
        let listener = bind_free_port().await?;
        let addr = listener.local_addr()?;
        let config = worker::Config {
            worker: id::WorkerId::from(name.as_str()),
            capacity: size::Size { cpu_milli: 16_000, mem_mb: 60_000, accelerators: 0 },
            limits: endpoint::Limits::default(),
            endpoint_faults: endpoint::Faults {
                service_ms: SERVICE_MS,
                ..endpoint::Faults::default()
            },
            harm_percent: SLOWDOWN_PERCENT,
        };
        tokio::spawn(worker::Server::new(config, 1, history::History::default()).serve(listener));
        let rack = format!("rack-{}", number % 2);
        let member = members::Worker { addr, hall: "hall".into(), rack, presence };
        list.workers.insert(name.as_str().into(), member);
    }
    platform.lock().set_members(list);
    Ok(platform_addr)
}

/// Starts the entry host on a separate thread.
fn start_host(ports: [net::SocketAddr; 3], platform_addr: net::SocketAddr) -> anyhow::Result<()> {
    let [caller, operator, peer] = ports;
    let text = format!(
        "host = \"entry\"\nhall = \"hall\"\n[listen]\ncaller = \"{caller}\"\n\
         operator = \"{operator}\"\npeer = \"{peer}\"\n[platform]\naddr = \"{platform_addr}\"\n\
         [control]\nlease_ms = 1000\nturn_ms = 200\npoll_ms = 200\ncommit_ms = 100\n\
         sync_ms = 250\ngossip_ms = 500\n"
    );
    let settings = settings::parse(&text).ok().context("settings of the demo have faults")?;
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        if let Ok(runtime) = runtime
            && let Err(err) = runtime.block_on(host::run(settings, std::future::pending()))
        {
            eprintln!("entry host: {err}");
        }
    })?;
    Ok(())
}

/// Applies the service and the given batch work, until accepted or timed out.
async fn apply_desired(
    operator_client: &operator::Operator,
    base: u64,
    extra: &str,
) -> anyhow::Result<()> {
    let text = format!("{SERVICE}{extra}");
    let apply = operator::Apply { apply_id: format!("demo-{base}"), base_revision: base, text };
    let end = tokio::time::Instant::now() + START_TIMEOUT;
    loop {
        let applied = operator_client.apply(&apply).await;
        if matches!(applied, Ok(operator::Applied::Accepted { .. })) {
            return Ok(());
        }
        anyhow::ensure!(
            tokio::time::Instant::now() < end,
            "desired state not accepted in time: {applied:?}"
        );
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// Waits until every endpoint of the service is in use.
async fn wait_for_service(operator_client: &operator::Operator) -> anyhow::Result<()> {
    let end = tokio::time::Instant::now() + START_TIMEOUT;
    loop {
        let status = operator_client.status().await.unwrap_or_default();
        if status.services.values().any(|s| s.endpoints == s.wanted as usize) {
            return Ok(());
        }
        anyhow::ensure!(tokio::time::Instant::now() < end, "the service did not start in time");
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
}

/// Runs the load for one part of the demo and returns its results.
async fn measure(
    part: &'static str,
    operator_client: &operator::Operator,
    host: net::SocketAddr,
    duration: time::Duration,
) -> anyhow::Result<Row> {
    let before = batch_counters(operator_client).await?;
    let load = caller::Load {
        hosts: vec![host],
        service: "echo".to_owned(),
        rate: REQUESTS_PER_S,
        duration,
        repeatable: None,
        timeout: time::Duration::from_secs(2),
        name: part.replace(' ', "-"),
    };
    let timer = tokio::spawn(show_elapsed(duration));
    let report = caller::run(load).await;
    timer.abort();
    let after = batch_counters(operator_client).await?;
    let answered = report.count(caller::End::Answered);
    Ok(Row {
        part,
        answered,
        unanswered: report.requests.len() - answered,
        p50_ms: report.quantile_ms(0.5),
        p99_ms: report.quantile_ms(0.99),
        p999_ms: report.quantile_ms(0.999),
        batch_done: after.done.saturating_sub(before.done),
        evictions: after.evictions.saturating_sub(before.evictions),
        throttles: after.throttles.saturating_sub(before.throttles),
    })
}

/// Reads the counters of the batch work from the host's state dump.
async fn batch_counters(operator_client: &operator::Operator) -> anyhow::Result<BatchCounters> {
    let dump = operator_client.dump().await?;
    let counters = &dump["halls"][0]["counters"];
    let number = |key: &str| counters[key].as_u64().unwrap_or(0);
    let evicted = counters["evicted"].as_object();
    let evictions = evicted.map_or(0, |by| by.values().filter_map(|n| n.as_u64()).sum());
    Ok(BatchCounters { done: number("done"), evictions, throttles: number("throttled") })
}

/// Prints the elapsed seconds on standard error until the duration is over.
async fn show_elapsed(duration: time::Duration) {
    for second in 1..=duration.as_secs() {
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        eprint!("\r  {second} of {} s", duration.as_secs());
        let _ = std::io::stderr().flush();
    }
    eprintln!();
}

/// Prints a progress message on standard error; the results go to standard output.
fn progress(line: &str) {
    eprintln!("{line}");
}

/// Binds a stand-in's listener to a free loopback port.
async fn bind_free_port() -> anyhow::Result<tokio::net::TcpListener> {
    Ok(tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?)
}

/// Returns a loopback port that is free now; another process may bind it before this one does.
fn free_port() -> anyhow::Result<net::SocketAddr> {
    Ok(net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?.local_addr()?)
}
