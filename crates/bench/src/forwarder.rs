//! The processor time and latency that a host adds to a request, compared with a minimal forwarder.

use std::convert;
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
use wharflane::{endpoints, id};
use wharflane_http::server;
use wharflane_stand_in::{endpoint, history};

use crate::host;
use crate::table;
use crate::threads;

/// The number of endpoints, enough for all requests in flight.
const ENDPOINTS: usize = 64;
/// The service that all endpoints belong to.
const SERVICE: &str = "echo";
/// Threads of the host, and of the forwarder.
const THREADS_PER_SIDE: usize = 2;
/// The thread name of the host.
const HOST_THREAD: &str = "fw-host";
/// The thread name of the minimal forwarder.
const BARE_THREAD: &str = "fw-bare";

/// An HTTP client that sends requests with complete bodies.
type Client = legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<Bytes>>;

/// The cost of one side, host or forwarder.
#[derive(Clone, Copy, Debug)]
struct Cost {
    /// Processor time per request, in microseconds.
    cpu_us: f64,
    /// The latency that 99 of 100 answers do not exceed, in milliseconds.
    p99_ms: f64,
}

/// Measures both sides and prints the ratios.
pub fn print() {
    let runtime = threads::runtime("fw-load", 4);
    let addrs = runtime.block_on(start_endpoints());
    let host = start_host(&addrs);
    let bare = start_bare_forwarder(addrs);
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
        let mut costs = [(BARE_THREAD, bare), (HOST_THREAD, host)].map(|(name, addr)| {
            let warm_up = run_load(addr, bytes, in_flight, requests / 10);
            runtime.block_on(warm_up);
            measure(&runtime, name, addr, bytes, in_flight, requests)
        });
        costs[0].cpu_us = costs[0].cpu_us.max(0.01);
        let [bare, host] = costs;
        table.row(vec![
            if bytes == 20 { "20 B" } else { "1 MB" }.to_owned(),
            in_flight.to_string(),
            table::two_decimals(bare.cpu_us),
            table::two_decimals(host.cpu_us),
            table::two_decimals(host.cpu_us / bare.cpu_us),
            table::two_decimals(bare.p99_ms),
            table::two_decimals(host.p99_ms),
            table::two_decimals(host.p99_ms / bare.p99_ms),
        ]);
    }
    table.print();
    runtime.shutdown_background();
}

/// Measures one side after it has been warmed up.
fn measure(
    runtime: &tokio::runtime::Runtime,
    name: &str,
    addr: net::SocketAddr,
    bytes: usize,
    in_flight: usize,
    requests: u64,
) -> Cost {
    let before = threads::cpu_ticks(name);
    let latency = runtime.block_on(run_load(addr, bytes, in_flight, requests));
    let used = threads::cpu_ticks(name) - before;
    Cost {
        cpu_us: used / threads::TICKS_PER_SECOND * 1e6 / requests as f64,
        p99_ms: latency.value_at_quantile(0.99) as f64 / 1_000.0,
    }
}

/// Sends requests with a fixed number in flight and returns their latencies in microseconds.
async fn run_load(
    addr: net::SocketAddr,
    bytes: usize,
    in_flight: usize,
    requests: u64,
) -> hdrhistogram::Histogram<u64> {
    let client: Client = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
    let remaining = sync::Arc::new(atomic::AtomicU64::new(requests));
    let mut callers = Vec::new();
    for _ in 0..in_flight {
        let (client, remaining) = (client.clone(), sync::Arc::clone(&remaining));
        callers.push(tokio::spawn(async move {
            let mut latencies = Vec::new();
            while remaining
                .fetch_update(atomic::Ordering::Relaxed, atomic::Ordering::Relaxed, |remaining| {
                    remaining.checked_sub(1)
                })
                .is_ok()
            {
                let start = time::Instant::now();
                let uri = format!("http://{addr}/{SERVICE}/x?bytes={bytes}")
                    .parse()
                    .expect("the URI is valid");
                let Ok(answer) = client.get(uri).await else { continue };
                if answer.into_body().collect().await.is_ok() {
                    latencies.push(start.elapsed());
                }
            }
            latencies
        }));
    }
    let mut all = hdrhistogram::Histogram::new_with_max(60_000_000, 3).expect("bounds are valid");
    for caller in callers {
        for latency in caller.await.unwrap_or_default() {
            all.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        }
    }
    all
}

/// Starts the endpoints on the threads of the load generator.
async fn start_endpoints() -> Vec<net::SocketAddr> {
    let mut addrs = Vec::new();
    for index in 0..ENDPOINTS {
        let room = endpoint::Limits { slots: 1_000, connections: 1_000 };
        let server = endpoint::Endpoint::new(task(index), room, history::History::default());
        let listener = threads::bind().await;
        addrs.push(listener.local_addr().expect("the listener has an address"));
        tokio::spawn(server.serve(listener, std::future::pending()));
    }
    addrs
}

/// Starts the request path of a host on its own threads.
fn start_host(addrs: &[net::SocketAddr]) -> net::SocketAddr {
    let traffic = sync::Arc::new(host::traffic());
    let endpoints: Vec<_> = addrs.iter().enumerate().map(endpoint).collect();
    traffic.publish(host::snapshot(&endpoints, 1));
    serve_on(HOST_THREAD, move |request| sync::Arc::clone(&traffic).serve(request))
}

/// Returns the routing entry of an endpoint.
fn endpoint((index, addr): (usize, &net::SocketAddr)) -> endpoints::Endpoint {
    endpoints::Endpoint {
        task: task(index),
        service: SERVICE.into(),
        worker: format!("worker-{index}").as_str().into(),
        addr: *addr,
        leaving: false,
    }
}

/// Returns the task that the endpoint with the given index runs.
fn task(index: usize) -> id::TaskId {
    id::TaskId { owner: SERVICE.into(), born: 1, index: index as u32 }
}

/// Serves requests on threads with the given name.
fn serve_on<H, F>(name: &str, handle: H) -> net::SocketAddr
where
    H: Fn(server::Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = wharflane_http::reply::Reply> + Send + 'static,
{
    let runtime = threads::runtime(name, THREADS_PER_SIDE);
    let listener = runtime.block_on(threads::bind());
    let addr = listener.local_addr().expect("the listener has an address");
    runtime.spawn(server::serve(listener, server::Bounds::default(), server::never(), handle));
    std::mem::forget(runtime);
    addr
}

/// Starts a minimal round-robin forwarder without health checks, limits and retries.
fn start_bare_forwarder(addrs: Vec<net::SocketAddr>) -> net::SocketAddr {
    let runtime = threads::runtime(BARE_THREAD, THREADS_PER_SIDE);
    let listener = runtime.block_on(threads::bind());
    let addr = listener.local_addr().expect("the listener has an address");
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
                    *request.uri_mut() = uri.parse().expect("the URI is valid");
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
