//! What a host costs for a request, against a bare forwarder of a few lines.

use std::convert;
use std::fs;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::service;
use hyper_util::client::legacy;
use hyper_util::rt;
use hyper_util::server::conn::auto;
use wharflane::{desired, endpoints, id};
use wharflane_daemon::traffic;
use wharflane_http::server;
use wharflane_stand_in::{endpoint, history};

use crate::capacity;
use crate::table;

/// The number of endpoints, enough for all requests in flight.
const ENDPOINTS: usize = 64;
/// The threads of each of the two.
const THREADS: usize = 2;
/// The name of the host's threads.
const HOST: &str = "fw-host";
/// The name of the bare forwarder's threads.
const BARE: &str = "fw-bare";
/// Processor ticks in a second, as /proc counts them.
pub(crate) const TICKS: f64 = 100.0;

/// A client.
type Client = legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<Bytes>>;

/// What one side cost.
#[derive(Clone, Copy, Debug)]
struct Cost {
    /// Processor time a request, in microseconds.
    cpu_us: f64,
    /// The latency that 99 of 100 answers kept, in milliseconds.
    p99_ms: f64,
}

/// Measures both and prints the ratios.
pub fn print() {
    let runtime = runtime("fw-load", 4);
    let addrs = runtime.block_on(start_endpoints());
    let host = start_host(&addrs);
    let bare = start_bare(addrs);
    let mut table = table::Table::new(&[
        "answer",
        "in flight",
        "bare us",
        "host us",
        "ratio",
        "bare p99 ms",
        "host p99 ms",
        "ratio",
    ]);
    for (bytes, in_flight, requests) in
        [(20, 8, 20_000), (20, 512, 40_000), (1 << 20, 8, 400), (1 << 20, 512, 800)]
    {
        let mut costs = [(BARE, bare), (HOST, host)].map(|(threads, addr)| {
            let warm = load(addr, bytes, in_flight, requests / 10);
            runtime.block_on(warm);
            measure(&runtime, threads, addr, bytes, in_flight, requests)
        });
        costs[0].cpu_us = costs[0].cpu_us.max(0.01);
        let [bare, host] = costs;
        table.row(vec![
            if bytes == 20 { "20 B" } else { "1 MB" }.to_owned(),
            in_flight.to_string(),
            table::two(bare.cpu_us),
            table::two(host.cpu_us),
            table::two(host.cpu_us / bare.cpu_us),
            table::two(bare.p99_ms),
            table::two(host.p99_ms),
            table::two(host.p99_ms / bare.p99_ms),
        ]);
    }
    table.print();
    runtime.shutdown_background();
}

/// Measures one side.
fn measure(
    runtime: &tokio::runtime::Runtime,
    threads: &str,
    addr: net::SocketAddr,
    bytes: usize,
    in_flight: usize,
    requests: u64,
) -> Cost {
    let before = ticks(threads);
    let latency = runtime.block_on(load(addr, bytes, in_flight, requests));
    let used = ticks(threads) - before;
    Cost {
        cpu_us: used / TICKS * 1e6 / requests as f64,
        p99_ms: latency.value_at_quantile(0.99) as f64 / 1_000.0,
    }
}

/// Sends requests, so many at a time, and returns their latencies in microseconds.
async fn load(
    addr: net::SocketAddr,
    bytes: usize,
    in_flight: usize,
    requests: u64,
) -> hdrhistogram::Histogram<u64> {
    let client: Client = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
    let left = sync::Arc::new(atomic::AtomicU64::new(requests));
    let mut callers = Vec::new();
    for _ in 0..in_flight {
        let (client, left) = (client.clone(), sync::Arc::clone(&left));
        callers.push(tokio::spawn(async move {
            let mut latencies = Vec::new();
            while left
                .fetch_update(atomic::Ordering::Relaxed, atomic::Ordering::Relaxed, |left| {
                    left.checked_sub(1)
                })
                .is_ok()
            {
                let start = time::Instant::now();
                let uri = format!("http://{addr}/echo/x?bytes={bytes}").parse().expect("a URI");
                let Ok(answer) = client.get(uri).await else { continue };
                if answer.into_body().collect().await.is_ok() {
                    latencies.push(start.elapsed());
                }
            }
            latencies
        }));
    }
    let mut all = hdrhistogram::Histogram::new_with_max(60_000_000, 3).expect("bounds are fixed");
    for caller in callers {
        for latency in caller.await.unwrap_or_default() {
            all.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        }
    }
    all
}

/// Starts the endpoints on the threads of the load.
async fn start_endpoints() -> Vec<net::SocketAddr> {
    let mut addrs = Vec::new();
    for index in 0..ENDPOINTS {
        let task = id::TaskId { owner: "echo".into(), born: 1, index: index as u32 };
        let room = endpoint::Room { slots: 1_000, connections: 1_000 };
        let fake = endpoint::Endpoint::new(task, room, history::History::default());
        let listener = bind().await;
        addrs.push(listener.local_addr().expect("its address"));
        tokio::spawn(fake.serve(listener, std::future::pending()));
    }
    addrs
}

/// Starts the traffic of a host on threads of its own.
fn start_host(addrs: &[net::SocketAddr]) -> net::SocketAddr {
    let traffic = sync::Arc::new(capacity::host_traffic());
    traffic.publish(snapshot(addrs));
    serve_on(HOST, move |request| sync::Arc::clone(&traffic).serve(request))
}

/// Returns what the host's traffic reads.
fn snapshot(addrs: &[net::SocketAddr]) -> traffic::Snapshot {
    let text = crate::recovery::filled(1, 0).replace("\"service\"", "\"echo\"");
    let desired = desired::parse(&text).expect("the bench's own text");
    let entry = |(index, addr): (usize, &net::SocketAddr)| {
        let task = id::TaskId { owner: "echo".into(), born: 1, index: index as u32 };
        let worker = format!("worker-{index}").as_str().into();
        let (service, leaving) = ("echo".into(), false);
        let endpoint = endpoints::Endpoint { task, service, worker, addr: *addr, leaving };
        (id::HallId::from("hall"), endpoint)
    };
    traffic::Snapshot {
        revision: 1,
        services: desired.services,
        classes: std::collections::BTreeMap::new(),
        endpoints: [("echo".into(), addrs.iter().enumerate().map(entry).collect())].into(),
        hosts: 1,
    }
}

/// Serves on threads of a name.
fn serve_on<H, F>(name: &str, handle: H) -> net::SocketAddr
where
    H: Fn(hyper::Request<hyper::body::Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = wharflane_http::reply::Reply> + Send + 'static,
{
    let runtime = runtime(name, THREADS);
    let listener = runtime.block_on(bind());
    let addr = listener.local_addr().expect("its address");
    runtime.spawn(server::serve(listener, server::Bounds::default(), server::never(), handle));
    std::mem::forget(runtime);
    addr
}

/// Starts a forwarder of a few lines, with no choice, no limits and no retries.
fn start_bare(addrs: Vec<net::SocketAddr>) -> net::SocketAddr {
    let runtime = runtime(BARE, THREADS);
    let listener = runtime.block_on(bind());
    let addr = listener.local_addr().expect("its address");
    runtime.spawn(async move {
        let client: legacy::Client<_, hyper::body::Incoming> =
            legacy::Client::builder(rt::TokioExecutor::new()).build_http();
        let next = sync::Arc::new(atomic::AtomicUsize::new(0));
        let addrs = sync::Arc::new(addrs);
        while let Ok((stream, _)) = listener.accept().await {
            let (client, next, addrs) =
                (client.clone(), sync::Arc::clone(&next), sync::Arc::clone(&addrs));
            let forward =
                service::service_fn(move |mut request: hyper::Request<hyper::body::Incoming>| {
                    let at = next.fetch_add(1, atomic::Ordering::Relaxed) % addrs.len();
                    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
                    let uri = format!("http://{}{}", addrs[at], path.trim_start_matches("/echo"));
                    *request.uri_mut() = uri.parse().expect("a URI");
                    client.request(request)
                });
            tokio::spawn(async move {
                let io = rt::TokioIo::new(stream);
                let _ = auto::Builder::new(rt::TokioExecutor::new())
                    .serve_connection(io, forward)
                    .await;
            });
        }
        Ok::<_, convert::Infallible>(())
    });
    std::mem::forget(runtime);
    addr
}

/// Makes a runtime whose threads have a name.
pub(crate) fn runtime(name: &str, threads: usize) -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .expect("threads")
}

/// Opens a port.
pub(crate) async fn bind() -> tokio::net::TcpListener {
    tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await.expect("a port")
}

/// Returns the processor ticks that the threads of a name have used.
pub(crate) fn ticks(name: &str) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let stats = tasks.filter_map(|task| fs::read_to_string(task.ok()?.path().join("stat")).ok());
    stats.filter(|stat| stat.contains(&format!("({name})"))).map(|stat| used(&stat)).sum()
}

/// Returns the processor ticks in one line of /proc.
fn used(stat: &str) -> f64 {
    const USER: usize = 11;
    const SYSTEM: usize = 12;
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let number = |at: usize| fields.get(at).and_then(|field| field.parse::<f64>().ok());
    number(USER).unwrap_or(0.0) + number(SYSTEM).unwrap_or(0.0)
}
