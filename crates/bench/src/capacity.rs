//! The slopes behind docs/CAPACITY.md: what each role costs at three sizes.

use std::collections;
use std::time;

use wharflane::{desired, digest, endpoints, id, members, size, work};
use wharflane_stand_in::{endpoint, history, worker};

use crate::host;
use crate::recovery;
use crate::table;
use crate::threads;

/// Returns the bytes that are allocated now, where the program counts them.
pub type Live = fn() -> usize;

/// The bytes of head and framing of one HTTP exchange between a host and a worker, both ways.
///
/// Counted from the lines that hyper writes: request line, host, content type and length (about
/// 110), status line, content type, length and date (about 125).
pub const HTTP_BYTES: u64 = 235;

/// What a hall costs at rest.
#[derive(Clone, Copy, Debug)]
pub struct HallCost {
    /// The number of workers.
    pub workers: usize,
    /// The number of tasks.
    pub tasks: usize,
    /// Processor time of the holder in a second, in microseconds.
    pub cpu_us: f64,
    /// Bytes between the holder and one worker in a second.
    pub worker_bytes: f64,
    /// Transactions in a second.
    pub txns: f64,
    /// Memory of the holder's engine.
    pub memory: usize,
}

/// Measures a hall at rest with all its tasks running.
///
/// # Panics
/// Panics if the hall does not fill within minutes, which its bounds exclude.
#[must_use]
pub fn hall(workers: usize, live: Live) -> HallCost {
    const SECONDS: u64 = 10;
    let most = time::Duration::from_secs(600);
    let tasks = workers * 15;
    let mut hall = recovery::Hall::new(workers);
    hall.apply(&recovery::filled(workers, 0));
    hall.run_until(most, |hall| hall.running() == tasks).expect("the hall fills");
    hall.run(time::Duration::from_secs(5));
    let before = hall.counted;
    hall.run(time::Duration::from_secs(SECONDS));
    let quiet = hall.counted.since(&before);
    hall.replace_host();
    let empty = live();
    hall.run(time::Duration::from_secs(12));
    let memory = live().saturating_sub(empty);
    let seconds = SECONDS as f64;
    let bytes = quiet.sync_bytes + quiet.report_bytes + quiet.syncs * HTTP_BYTES;
    HallCost {
        workers,
        tasks,
        cpu_us: quiet.cpu.as_micros() as f64 / seconds,
        worker_bytes: bytes as f64 / seconds / workers as f64,
        txns: quiet.txns as f64 / seconds,
        memory,
    }
}

/// What a configuration costs.
#[derive(Clone, Copy, Debug)]
pub struct ConfigCost {
    /// The number of jobs.
    pub jobs: usize,
    /// The bytes of its text.
    pub bytes: usize,
    /// Processor time to read it, in microseconds.
    pub cpu_us: f64,
    /// Memory of what was read.
    pub memory: usize,
}

/// Measures a configuration of so many jobs.
///
/// # Panics
/// Panics on a text with faults, which would be a fault of the bench.
#[must_use]
pub fn config(jobs: usize, live: Live) -> ConfigCost {
    let mut text = recovery::filled(10, 0);
    for number in 0..jobs {
        text.push_str(&format!(
            "[[job]]\nname = \"job-{number}\"\nteam = \"ours\"\nclass = \"p1\"\n\
             halls = [\"hall\"]\ntasks = 2\ncpu_milli = 2000\nmem_mb = 4000\n\
             run_time_ms = 600000\ncheckpoint = true\n"
        ));
    }
    let before = live();
    let start = cpu_time::ThreadTime::now();
    let desired = desired::parse(&text).expect("the bench's own text");
    let cpu_us = start.elapsed().as_micros() as f64;
    let memory = live().saturating_sub(before);
    drop(desired);
    ConfigCost { jobs, bytes: text.len(), cpu_us, memory }
}

/// What the endpoints cost a host that routes to them.
#[derive(Clone, Copy, Debug)]
pub struct RoutesCost {
    /// The number of endpoints.
    pub endpoints: usize,
    /// Processor time to take a new table, in microseconds.
    pub cpu_us: f64,
    /// Memory.
    pub memory: usize,
    /// Bytes of the table between hosts.
    pub bytes: usize,
}

/// Measures a table of so many endpoints in services of a hundred each.
///
/// # Panics
/// Panics on settings with faults, which would be a fault of the bench.
#[must_use]
pub fn routes(count: usize, live: Live) -> RoutesCost {
    let traffic = host::traffic();
    let endpoints: Vec<endpoints::Endpoint> = (0..count).map(endpoint).collect();
    let bytes = serde_json::to_vec(&endpoints).map_or(0, |bytes| bytes.len());
    let before = live();
    let start = cpu_time::ThreadTime::now();
    traffic.publish(host::snapshot(&endpoints, 9));
    let cpu_us = start.elapsed().as_micros() as f64;
    let memory = live().saturating_sub(before);
    RoutesCost { endpoints: count, cpu_us, memory, bytes }
}

/// Returns an endpoint.
fn endpoint(number: usize) -> endpoints::Endpoint {
    let owner = format!("service-{}", number / 100);
    let index = u32::try_from(number).unwrap_or(u32::MAX);
    let port = 1_024 + u16::try_from(number % 60_000).unwrap_or(0);
    endpoints::Endpoint {
        task: id::TaskId { owner: owner.as_str().into(), born: 1_700, index },
        service: owner.as_str().into(),
        worker: format!("worker-{number}").as_str().into(),
        addr: std::net::SocketAddr::from(([10, 20, 30, 40], port)),
        leaving: false,
    }
}

/// Returns the processor time to read a list of so many workers, in microseconds, and its bytes.
///
/// # Panics
/// Panics if the list can't be encoded, which its types exclude.
#[must_use]
pub fn list(workers: usize) -> (f64, usize) {
    let member = |number: usize| {
        let worker = members::Worker {
            addr: std::net::SocketAddr::from(([10, 20, 30, 40], 8_080)),
            hall: "north-one".into(),
            rack: format!("rack-{}", number / 8),
            presence: members::Presence::Live,
        };
        (id::WorkerId::from(format!("worker-{number}").as_str()), worker)
    };
    let list =
        members::Members { workers: (0..workers).map(member).collect(), ..Default::default() };
    let text = serde_json::to_string(&list).expect("a list");
    let start = cpu_time::ThreadTime::now();
    let read: members::Members = serde_json::from_str(&text).expect("the same list");
    let cpu_us = start.elapsed().as_micros() as f64;
    assert_eq!(read.workers.len(), workers, "read whole");
    (cpu_us, text.len())
}

/// Returns the bytes of one worker in the platform's list.
#[must_use]
pub fn member_bytes() -> usize {
    let member = members::Worker {
        addr: std::net::SocketAddr::from(([10, 20, 30, 40], 8_080)),
        hall: "north-one".into(),
        rack: "rack-12".to_owned(),
        presence: members::Presence::Live,
    };
    let list = collections::BTreeMap::from([(id::WorkerId::from("worker-1234"), member)]);
    serde_json::to_vec(&list).map_or(0, |bytes| bytes.len())
}

/// Returns the bytes of one endpoint in a digest.
#[must_use]
pub fn digest_bytes() -> usize {
    let seen = digest::Seen {
        task: endpoint(1_234).task,
        in_flight: 3,
        answers: 120,
        failures: 0,
        p95_us: 123_456,
    };
    serde_json::to_vec(&seen).map_or(0, |bytes| bytes.len())
}

/// Returns the processor time of one message to a worker over HTTP, in microseconds: the
/// holder's side and the fake worker's side.
///
/// # Panics
/// Panics if a port can't be opened.
#[must_use]
pub fn message() -> (f64, f64) {
    const MESSAGES: u64 = 10_000;
    let worker = threads::runtime("msg-worker", 1);
    let holder = threads::runtime("msg-holder", 1);
    let listener = worker.block_on(threads::bind());
    let addr = listener.local_addr().expect("its address");
    let make = worker::Make {
        worker: "worker-1".into(),
        capacity: size::Size { cpu_milli: 64_000, mem_mb: 250_000, accelerators: 0 },
        room: endpoint::Room::default(),
        endpoint_faults: endpoint::Faults::default(),
        harm_percent: 0,
    };
    let fake = worker::Server::new(make, 1, history::History::default());
    worker.spawn(fake.serve(listener));
    let client = wharflane_worker::Workers::new(time::Duration::from_secs(5));
    let send = async move {
        for seq in 1..=MESSAGES {
            let _ = client.sync(addr, &full_message(seq)).await;
        }
    };
    let before = ["msg-holder", "msg-worker"].map(threads::ticks);
    holder.block_on(async { tokio::spawn(send).await }).expect("messages sent");
    let after = ["msg-holder", "msg-worker"].map(threads::ticks);
    let us = |at: usize| (after[at] - before[at]) / threads::TICKS * 1e6 / MESSAGES as f64;
    holder.shutdown_background();
    worker.shutdown_background();
    (us(0), us(1))
}

/// Returns a message that starts fifteen tasks, of which a worker then reports.
fn full_message(seq: u64) -> work::Sync {
    let start = |index| work::Command::Start {
        task: id::TaskId { owner: "night-report".into(), born: 1_700, index },
        attempt: 1,
        size: size::Size { cpu_milli: 2_000, mem_mb: 4_000, accelerators: 0 },
        checkpoint: None,
        kind: work::Kind::Batch { run_time_ms: 3_600_000, checkpoint: true },
    };
    let commands = if seq <= 2 { (0..15).map(start).collect() } else { Vec::new() };
    let lease_until_ms = 600_000;
    work::Sync { worker: "worker-1".into(), boot: Some(1), epoch: 1, seq, lease_until_ms, commands }
}

/// Prints all slopes.
pub fn print(live: Live) {
    let mut halls = table::Table::new(&[
        "workers",
        "tasks",
        "holder us/s",
        "us/s a worker",
        "B/s a worker",
        "txn/s",
        "memory KB",
        "B a task",
    ]);
    for workers in [65, 260, 1_000] {
        let cost = hall(workers, live);
        halls.row(vec![
            workers.to_string(),
            cost.tasks.to_string(),
            format!("{:.0}", cost.cpu_us),
            table::two(cost.cpu_us / workers as f64),
            format!("{:.0}", cost.worker_bytes),
            table::two(cost.txns),
            format!("{}", cost.memory / 1_024),
            format!("{}", cost.memory / cost.tasks),
        ]);
    }
    halls.print();
    let mut configs = table::Table::new(&["jobs", "text KB", "read ms", "memory KB", "B a job"]);
    for jobs in [1_000, 8_000, 24_000] {
        let cost = config(jobs, live);
        configs.row(vec![
            jobs.to_string(),
            (cost.bytes / 1_024).to_string(),
            table::two(cost.cpu_us / 1_000.0),
            (cost.memory / 1_024).to_string(),
            (cost.bytes / jobs).to_string(),
        ]);
    }
    configs.print();
    let mut routes_table =
        table::Table::new(&["endpoints", "publish ms", "memory KB", "B an endpoint", "table KB"]);
    for count in [1_000, 4_000, 11_000] {
        let cost = routes(count, live);
        routes_table.row(vec![
            count.to_string(),
            table::two(cost.cpu_us / 1_000.0),
            (cost.memory / 1_024).to_string(),
            (cost.memory / count).to_string(),
            (cost.bytes / 1_024).to_string(),
        ]);
    }
    routes_table.print();
    let mut lists = table::Table::new(&["workers in the list", "read ms", "KB"]);
    for workers in [1_000, 2_200, 4_400] {
        let (cpu_us, bytes) = list(workers);
        let kilobytes = (bytes / 1_024).to_string();
        lists.row(vec![workers.to_string(), table::two(cpu_us / 1_000.0), kilobytes]);
    }
    lists.print();
    let (holder_us, worker_us) = message();
    println!("processor us of a message over HTTP: holder {holder_us:.0}, worker {worker_us:.0}");
    println!("bytes of a worker in the list: {}", member_bytes());
    println!("bytes of an endpoint in a digest: {}", digest_bytes());
}
