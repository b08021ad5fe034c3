//! Planned stops of entry hosts and workers under load: no request in flight is cut.

use std::time;

use wharflane::members;
use wharflane_stand_in::{caller, cases, checker};

use crate::fleet;

cases! {
    a_watcher_goes_on_through_a_stop_and_is_never_ended_as_whole => fleet::run(watcher()),
    a_stopping_host_ends_its_requests => fleet::run(host_stops()),
    a_leaving_worker_ends_its_requests_and_gets_no_more => fleet::run(worker_leaves()),
}

/// Stops the host that takes all requests; the balancer's part is played by the test, which
/// sends nothing new to a host that is not ready.
async fn host_stops() {
    let mut fleet = fleet::Fleet::start(2, 4, &["vake"]).await;
    fleet.apply("entry-0", fleet::SERVICE).await;
    fleet.wait_for_endpoints("lending", 4).await;
    let slow = wharflane_stand_in::endpoint::Faults { service_ms: 900, ..Default::default() };
    for (_, addr) in fleet.workers.values() {
        assert!(fleet.put(*addr, "endpoint-faults", &slow).await);
    }
    let mut load = fleet.load("stop", "lending", 20.0, 1);
    load.hosts = vec![fleet.host("entry-1").caller];
    let running = tokio::spawn(caller::run(load));
    tokio::time::sleep(time::Duration::from_millis(700)).await;
    // The stop notice keeps the port open until the balancer has seen that it is not ready.
    let mut host = fleet.hosts.remove("entry-1").expect("a host");
    host.process.signal("-TERM");
    let report = running.await.expect("callers");
    assert_eq!(report.count(caller::End::Answered), report.seen.len(), "none was cut");
    assert!(host.process.wait(), "the host ends by itself");
}

/// Plans the stop of a worker under load.
async fn worker_leaves() {
    let mut fleet = fleet::Fleet::start(2, 4, &["vake"]).await;
    fleet.apply("entry-0", fleet::SERVICE).await;
    fleet.wait_for_endpoints("lending", 4).await;
    let running = tokio::spawn(caller::run(fleet.load("leave", "lending", 100.0, 5)));
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let member = fleet.members.workers.get_mut(&"worker-2".into()).expect("a worker");
    member.presence = members::Presence::Leaving;
    assert!(fleet.list().await);
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    let ran = |events: &[wharflane_stand_in::history::Event]| checker::runs(events).len();
    let one = fleet.events_of("worker-2").await;
    let report = running.await.expect("callers");
    let later = fleet.events_of("worker-2").await;
    assert_eq!(ran(&one), ran(&later), "nothing new after two seconds");
    assert_eq!(report.count(caller::End::Answered), report.seen.len(), "none was cut");
}

/// Holds a stream open while its host stops, with requests beside it.
async fn watcher() {
    let mut fleet = fleet::Fleet::start(1, 2, &["vake"]).await;
    fleet.apply("entry-0", &fleet::SERVICE.replace("count = 4", "count = 2")).await;
    fleet.wait_for_endpoints("lending", 2).await;
    let host = fleet.hosts.remove("entry-0").expect("a host");
    let watching = tokio::spawn(watch(host.caller));
    let mut load = fleet.load("beside", "lending", 50.0, 1);
    load.hosts = vec![host.caller];
    let running = tokio::spawn(caller::run(load));
    tokio::time::sleep(time::Duration::from_millis(900)).await;
    host.process.signal("-TERM");
    let report = running.await.expect("callers");
    assert_eq!(report.count(caller::End::Answered), report.seen.len(), "none was cut");
    let (lines, whole) = watching.await.expect("a watcher");
    let numbers: Vec<usize> = lines.lines().filter_map(|line| line.parse().ok()).collect();
    assert!(numbers.iter().enumerate().all(|(at, number)| at == *number), "in order");
    assert!(numbers.len() > 50, "{} lines went on through the stop", numbers.len());
    assert!(!whole, "a stream that was cut is not told as whole");
}

/// Reads a stream until it ends; returns what came and whether it ended as whole.
async fn watch(host: std::net::SocketAddr) -> (String, bool) {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let mut stream = tokio::net::TcpStream::connect(host).await.expect("a connection");
    let ask = "GET /lending/watch HTTP/1.1\r\nhost: x\r\nwharflane-watch: yes\r\n\r\n";
    stream.write_all(ask.as_bytes()).await.expect("asked");
    let mut all = Vec::new();
    // An error is a break too: what came before it counts.
    let _ = stream.read_to_end(&mut all).await;
    let text = String::from_utf8_lossy(&all).into_owned();
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    // A chunk of no bytes ends a stream as whole.
    let whole = body.ends_with("0\r\n\r\n");
    let lines = body.split("\r\n").filter(|piece| piece.ends_with('\n'));
    (lines.collect(), whole)
}
