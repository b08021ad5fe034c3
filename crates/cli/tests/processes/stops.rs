//! Tests planned stops of entry hosts and workers under load: no request in flight is cut off.

use std::time;

use wharflane::members;
use wharflane_stand_in::{caller, cases, checker};

use crate::fleet;

cases! {
    a_stream_continues_through_a_stop_and_never_ends_as_complete => fleet::run(open_stream()),
    a_stopping_host_finishes_its_requests => fleet::run(host_stops()),
    a_leaving_worker_finishes_its_requests_and_gets_no_more => fleet::run(worker_leaves()),
}

/// Stops the host that serves all requests. The test acts as the load balancer: it sends no new
/// request to a host that is not ready.
async fn host_stops() {
    let mut fleet = fleet::Fleet::start(2, 4, &["vake"]).await;
    fleet.apply("entry-0", fleet::SERVICE).await;
    fleet.wait_for_endpoints("lending", 4).await;
    let slow = wharflane_stand_in::endpoint::Faults { service_ms: 900, ..Default::default() };
    for (_, addr) in fleet.workers.values() {
        assert!(fleet.set_switch(*addr, "endpoint-faults", &slow).await);
    }
    let mut load = fleet.load("stop", "lending", 20.0, 1);
    load.hosts = vec![fleet.host("entry-1").caller];
    let running = tokio::spawn(caller::run(load));
    tokio::time::sleep(time::Duration::from_millis(700)).await;
    // The stop notice keeps the port open until the balancer has read that the host is not ready.
    let mut host = fleet.hosts.remove("entry-1").expect("no such host");
    host.process.signal("-TERM");
    let report = running.await.expect("the load panicked");
    assert_eq!(report.count(caller::End::Answered), report.requests.len(), "requests were cut off");
    assert!(host.process.wait(), "the host did not exit with success");
}

/// Marks a worker as leaving under load: it finishes its requests and gets no new ones.
async fn worker_leaves() {
    let mut fleet = fleet::Fleet::start(2, 4, &["vake"]).await;
    fleet.apply("entry-0", fleet::SERVICE).await;
    fleet.wait_for_endpoints("lending", 4).await;
    let running = tokio::spawn(caller::run(fleet.load("leave", "lending", 100.0, 5)));
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let member = fleet.members.workers.get_mut(&"worker-2".into()).expect("no such worker");
    member.presence = members::Presence::Leaving;
    assert!(fleet.publish_members().await);
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    let ran = |events: &[wharflane_stand_in::history::Event]| checker::runs(events).len();
    let before = fleet.events_of("worker-2").await;
    let report = running.await.expect("the load panicked");
    let after = fleet.events_of("worker-2").await;
    assert_eq!(ran(&before), ran(&after), "requests reached the leaving worker after two seconds");
    assert_eq!(report.count(caller::End::Answered), report.requests.len(), "requests were cut off");
}

/// Keeps a stream open while its host stops, with other requests beside it.
///
/// The stream outlasts the stop grace and is cut. It must not end like a complete body, or the
/// client would accept a part as the whole.
async fn open_stream() {
    let mut fleet = fleet::Fleet::start(1, 2, &["vake"]).await;
    fleet.apply("entry-0", &fleet::SERVICE.replace("count = 4", "count = 2")).await;
    fleet.wait_for_endpoints("lending", 2).await;
    let host = fleet.hosts.remove("entry-0").expect("no such host");
    let watching = tokio::spawn(read_stream(host.caller));
    let mut load = fleet.load("beside", "lending", 50.0, 1);
    load.hosts = vec![host.caller];
    let running = tokio::spawn(caller::run(load));
    tokio::time::sleep(time::Duration::from_millis(900)).await;
    host.process.signal("-TERM");
    let report = running.await.expect("the load panicked");
    assert_eq!(report.count(caller::End::Answered), report.requests.len(), "requests were cut off");
    let (lines, complete) = watching.await.expect("the watcher panicked");
    let numbers: Vec<usize> = lines.lines().filter_map(|line| line.parse().ok()).collect();
    assert!(
        numbers.iter().enumerate().all(|(at, number)| at == *number),
        "the lines are out of order"
    );
    assert!(numbers.len() > 50, "only {} lines came through the stop", numbers.len());
    assert!(!complete, "a stream that was cut off ended like a complete body");
}

/// Reads a chunked stream until it ends; returns its lines, and whether it ended as a complete
/// body.
async fn read_stream(host: std::net::SocketAddr) -> (String, bool) {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let mut stream = tokio::net::TcpStream::connect(host).await.expect("can't connect");
    let request = "GET /lending/watch HTTP/1.1\r\nhost: x\r\nwharflane-watch: yes\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("can't send the request");
    let mut all = Vec::new();
    // An error ends the stream too; what was received before it counts.
    let _ = stream.read_to_end(&mut all).await;
    let text = String::from_utf8_lossy(&all).into_owned();
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    // A chunk of zero bytes ends a complete body.
    let complete = body.ends_with("0\r\n\r\n");
    let lines = body.split("\r\n").filter(|piece| piece.ends_with('\n'));
    (lines.collect(), complete)
}
