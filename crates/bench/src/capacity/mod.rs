//! The slopes behind docs/CAPACITY.md: what each role costs at three sizes.

mod message;
mod quiet;
mod routes;
mod texts;

use std::time;

pub use message::message;
pub use quiet::{HTTP_BYTES, HallCost, hall};
pub use routes::{RoutesCost, digest_bytes, routes};
pub use texts::{ConfigCost, config, list, member_bytes};

use crate::fleet;
use crate::hall;
use crate::table;

/// Returns the bytes that are allocated now, where the program counts them.
pub type Live = fn() -> usize;

/// Prints all slopes.
pub fn print(live: Live) {
    print_decisions(None);
    print_halls(live);
    print_configs(live);
    print_routes(live);
    print_lists();
    print_messages();
}

/// Sizes of domains, in workers and starts a second: the smallest deployment, a grown one, the largest, and the size to
/// design for.
const DOMAINS: [(usize, f64); 4] = [(66, 145.0), (490, 900.0), (890, 1_350.0), (4_400, 1_500.0)];
/// Tasks that wait for each worker: more than ten times what it has room for.
const WAITING: usize = 30;

/// Prints what one start costs the holder of a domain, alone and behind many tasks that wait, at all sizes or at one.
pub fn print_decisions(only: Option<usize>) {
    let mut table = table::Table::new(&[
        "workers",
        "starts/s",
        "waiting",
        "us a start",
        "core",
        "looks a start",
        "sought a start",
        "txn/s",
        "B a start",
    ]);
    let domains = DOMAINS.into_iter().filter(|(workers, _)| only.is_none_or(|o| o == *workers));
    for (workers, starts_per_s) in domains {
        for waiting in [0, workers * WAITING] {
            let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
            let time = time::Duration::from_secs(6);
            let setup = fleet::Setup { workers, starts_per_s, waiting, time };
            let cost = fleet::measure(setup);
            let seconds = time.as_secs_f64();
            table.row(vec![
                workers.to_string(),
                format!("{:.0}", cost.starts as f64 / seconds),
                waiting.to_string(),
                format!("{:.0}", cost.start_us()),
                table::two(cost.cpu.as_secs_f64() / seconds),
                table::two(cost.per_start(cost.heartbeats)),
                table::two(cost.per_start(cost.sought)),
                format!("{:.0}", cost.txns as f64 / seconds),
                format!("{:.0}", cost.per_start(cost.txn_bytes)),
            ]);
        }
    }
    table.print();
}

/// Prints what halls cost at rest.
fn print_halls(live: Live) {
    let mut table = table::Table::new(&[
        "workers",
        "tasks",
        "holder us/s",
        "us/s a worker",
        "B/s a worker",
        "txn/s",
        "memory KB",
        "B a task",
    ]);
    for workers in hall::WORKERS {
        let cost = quiet::hall(workers, live);
        table.row(vec![
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
    table.print();
}

/// Prints what configurations cost.
fn print_configs(live: Live) {
    let mut table = table::Table::new(&["jobs", "text KB", "read ms", "memory KB", "B a job"]);
    for jobs in [1_000, 8_000, 24_000] {
        let cost = texts::config(jobs, live);
        table.row(vec![
            jobs.to_string(),
            (cost.bytes / 1_024).to_string(),
            table::two(cost.cpu_us / 1_000.0),
            (cost.memory / 1_024).to_string(),
            (cost.bytes / jobs).to_string(),
        ]);
    }
    table.print();
}

/// Prints what endpoints cost a host.
fn print_routes(live: Live) {
    let mut table =
        table::Table::new(&["endpoints", "publish ms", "memory KB", "B an endpoint", "table KB"]);
    for count in [1_000, 4_000, 11_000] {
        let cost = routes::routes(count, live);
        table.row(vec![
            count.to_string(),
            table::two(cost.cpu_us / 1_000.0),
            (cost.memory / 1_024).to_string(),
            (cost.memory / count).to_string(),
            (cost.bytes / 1_024).to_string(),
        ]);
    }
    table.print();
}

/// Prints what it costs to read lists of workers.
fn print_lists() {
    let mut table = table::Table::new(&["workers in the list", "read ms", "KB"]);
    for workers in [1_000, 2_200, 4_400] {
        let (cpu_us, bytes) = texts::list(workers);
        let kilobytes = (bytes / 1_024).to_string();
        table.row(vec![workers.to_string(), table::two(cpu_us / 1_000.0), kilobytes]);
    }
    table.print();
}

/// Prints what single messages and entries cost.
fn print_messages() {
    let (holder_us, worker_us) = message::message();
    println!("processor us of a message over HTTP: holder {holder_us:.0}, worker {worker_us:.0}");
    println!("bytes of a worker in the list: {}", texts::member_bytes());
    println!("bytes of an endpoint in a digest: {}", routes::digest_bytes());
}
