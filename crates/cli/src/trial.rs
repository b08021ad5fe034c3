//! The demo: a platform, a hall of workers, an entry host and load in one process.

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

/// The number of workers.
const WORKERS: usize = 6;
/// Requests a second.
const RATE: f64 = 300.0;
/// How long a request takes at an endpoint, in milliseconds.
const SERVICE_MS: u64 = 4;
/// By how many percent a worker full of batch tasks slows its endpoints.
const HARM_PERCENT: u64 = 900;
/// How long the demo waits for the service to stand.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// How long an operator's call may take.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// One row of the result.
#[derive(Debug, Serialize)]
struct Row {
    /// What ran beside the service.
    part: &'static str,
    /// Answers.
    answered: usize,
    /// Requests without an answer.
    unanswered: usize,
    /// The median latency.
    p50_ms: f64,
    /// The latency that 99 of 100 answers kept.
    p99_ms: f64,
    /// The latency that 999 of 1,000 answers kept.
    p999_ms: f64,
    /// Batch tasks that came to their end.
    batch_done: u64,
    /// Evictions.
    evictions: u64,
    /// Throttles.
    throttles: u64,
}

/// What the batch work had done at a moment.
#[derive(Clone, Copy, Debug, Default)]
struct Batch {
    /// Tasks that came to their end.
    done: u64,
    /// Evictions.
    evictions: u64,
    /// Throttles.
    throttles: u64,
}

/// Runs the demo and prints its table.
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

/// Starts everything and measures both parts.
async fn demo(part: time::Duration) -> anyhow::Result<Vec<Row>> {
    let ports = [free_port()?, free_port()?, free_port()?];
    progress("starting a platform, workers and an entry host");
    let platform_addr = start_machines(ports[2]).await?;
    start_host(ports, platform_addr)?;
    let operator_client = operator::Operator::new(ports[1], CALL_TIMEOUT);
    apply(&operator_client, 0, "").await?;
    wait_for_service(&operator_client).await?;
    progress("the service alone");
    let quiet = measure("nothing", &operator_client, ports[0], part).await?;
    apply(&operator_client, 1, NOISY).await?;
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

/// The batch job that disturbs it.
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

/// Starts the platform and the workers in this process.
async fn start_machines(peer_addr: net::SocketAddr) -> anyhow::Result<net::SocketAddr> {
    let platform = platform::Server::default();
    let listener = bind().await?;
    let platform_addr = listener.local_addr()?;
    tokio::spawn(platform.clone().serve(listener));
    let mut list = members::Members::default();
    let presence = members::Presence::Live;
    list.hosts.insert("entry".into(), members::Host { peer_addr, presence });
    for number in 0..WORKERS {
        let name = format!("worker-{number}");
        let listener = bind().await?;
        let addr = listener.local_addr()?;
        let make = worker::Make {
            worker: id::WorkerId::from(name.as_str()),
            capacity: size::Size { cpu_milli: 16_000, mem_mb: 60_000, accelerators: 0 },
            room: endpoint::Room::default(),
            endpoint_faults: endpoint::Faults {
                service_ms: SERVICE_MS,
                ..endpoint::Faults::default()
            },
            harm_percent: HARM_PERCENT,
        };
        tokio::spawn(worker::Server::new(make, 1, history::History::default()).serve(listener));
        let rack = format!("rack-{}", number % 2);
        let member = members::Worker { addr, hall: "hall".into(), rack, presence };
        list.workers.insert(name.as_str().into(), member);
    }
    platform.lock().set_members(list);
    Ok(platform_addr)
}

/// Starts the entry host on a thread of its own.
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

/// Puts the service and what runs beside it in force.
async fn apply(
    operator_client: &operator::Operator,
    base: u64,
    beside: &str,
) -> anyhow::Result<()> {
    let text = format!("{SERVICE}{beside}");
    let apply = operator::Apply { apply_id: format!("demo-{base}"), base_revision: base, text };
    let end = tokio::time::Instant::now() + START_TIMEOUT;
    loop {
        let applied = operator_client.apply(&apply).await;
        if matches!(applied, Ok(operator::Applied::Accepted { .. })) {
            return Ok(());
        }
        anyhow::ensure!(tokio::time::Instant::now() < end, "not accepted: {applied:?}");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// Waits until every endpoint answers.
async fn wait_for_service(operator_client: &operator::Operator) -> anyhow::Result<()> {
    let end = tokio::time::Instant::now() + START_TIMEOUT;
    loop {
        let status = operator_client.status().await.unwrap_or_default();
        if status.services.values().any(|s| s.endpoints == s.wanted as usize) {
            return Ok(());
        }
        anyhow::ensure!(tokio::time::Instant::now() < end, "the service does not stand");
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
}

/// Measures one part.
async fn measure(
    part: &'static str,
    operator_client: &operator::Operator,
    host: net::SocketAddr,
    duration: time::Duration,
) -> anyhow::Result<Row> {
    let before = batch(operator_client).await?;
    let load = caller::Load {
        hosts: vec![host],
        service: "echo".to_owned(),
        rate: RATE,
        duration,
        repeatable: None,
        patience: time::Duration::from_secs(2),
        name: part.replace(' ', "-"),
    };
    let ticking = tokio::spawn(tick(duration));
    let report = caller::run(load).await;
    ticking.abort();
    let after = batch(operator_client).await?;
    let answered = report.count(caller::End::Answered);
    Ok(Row {
        part,
        answered,
        unanswered: report.seen.len() - answered,
        p50_ms: report.quantile_ms(0.5),
        p99_ms: report.quantile_ms(0.99),
        p999_ms: report.quantile_ms(0.999),
        batch_done: after.done.saturating_sub(before.done),
        evictions: after.evictions.saturating_sub(before.evictions),
        throttles: after.throttles.saturating_sub(before.throttles),
    })
}

/// Reads from the state dump what the batch work has done.
async fn batch(operator_client: &operator::Operator) -> anyhow::Result<Batch> {
    let dump = operator_client.dump().await?;
    let counters = &dump["halls"][0]["counters"];
    let number = |key: &str| counters[key].as_u64().unwrap_or(0);
    let evicted = counters["evicted"].as_object();
    let evictions = evicted.map_or(0, |by| by.values().filter_map(|n| n.as_u64()).sum());
    Ok(Batch { done: number("done"), evictions, throttles: number("throttled") })
}

/// Shows that time passes.
async fn tick(duration: time::Duration) {
    for second in 1..=duration.as_secs() {
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        eprint!("\r  {second} of {} s", duration.as_secs());
        let _ = std::io::stderr().flush();
    }
    eprintln!();
}

/// Prints a line of progress.
fn progress(line: &str) {
    eprintln!("{line}");
}

/// Opens a port for a fake.
async fn bind() -> anyhow::Result<tokio::net::TcpListener> {
    Ok(tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?)
}

/// Finds a port that is free now.
fn free_port() -> anyhow::Result<net::SocketAddr> {
    Ok(net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?.local_addr()?)
}
