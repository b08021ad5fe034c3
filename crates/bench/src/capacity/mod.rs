//! Measurements for `docs/CAPACITY.md`: the cost of each role at several sizes, from which the
//! slopes are derived.

mod idle;
mod message;
mod parsing;
mod routes;

use std::time;

pub use idle::{HTTP_BYTES, HallCost, hall};
pub use message::message;
pub use parsing::{ConfigCost, config, member_bytes, worker_list};
pub use routes::{RoutesCost, digest_bytes, routes};

use crate::hall;
use crate::job_engine;
use crate::table;

/// Returns the number of bytes that are allocated at present; 0 in programs that don't count them.
pub type AllocatedBytes = fn() -> usize;

/// Measures and prints all tables.
pub fn print(allocated: AllocatedBytes) {
    print_decisions(None);
    print_halls(allocated);
    print_configs(allocated);
    print_routes(allocated);
    print_lists();
    print_messages();
}

/// Sizes of domains, in workers and starts per second: the smallest deployment, a grown one, the
/// largest, and the size to design for.
const DOMAINS: [(usize, f64); 6] = [
    (66, 145.0),
    (490, 900.0),
    (890, 1_350.0),
    (4_400, 1_500.0),
    (6_002, 1_360.0),
    (12_004, 2_720.0),
];
/// Waiting tasks per worker, more than ten times the tasks that fit on a worker.
const WAITING_PER_WORKER: usize = 30;

/// Prints the cost of one start for the holder of a domain, with and without many waiting tasks.
/// Measures all sizes, or only the one with the given number of workers.
pub fn print_decisions(only_workers: Option<usize>) {
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
    let domains =
        DOMAINS.into_iter().filter(|(workers, _)| only_workers.is_none_or(|only| only == *workers));
    for (workers, starts_per_s) in domains {
        for waiting_tasks in [0, workers * WAITING_PER_WORKER] {
            let waiting_tasks = u32::try_from(waiting_tasks).unwrap_or(u32::MAX);
            let duration = time::Duration::from_secs(6);
            let setup = job_engine::Setup { workers, starts_per_s, waiting_tasks, duration };
            let cost = job_engine::measure(setup);
            let seconds = duration.as_secs_f64();
            table.row(vec![
                workers.to_string(),
                format!("{:.0}", cost.starts as f64 / seconds),
                waiting_tasks.to_string(),
                format!("{:.0}", cost.start_us()),
                table::two_decimals(cost.cpu.as_secs_f64() / seconds),
                table::two_decimals(cost.per_start(cost.heartbeats)),
                table::two_decimals(cost.per_start(cost.worker_searches)),
                format!("{:.0}", cost.txns as f64 / seconds),
                format!("{:.0}", cost.per_start(cost.txn_bytes)),
            ]);
        }
    }
    table.print();
}

/// Prints the cost of idle halls.
fn print_halls(allocated: AllocatedBytes) {
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
    for workers in hall::HALL_SIZES {
        let cost = idle::hall(workers, allocated);
        table.row(vec![
            workers.to_string(),
            cost.tasks.to_string(),
            format!("{:.0}", cost.cpu_us),
            table::two_decimals(cost.cpu_us / workers as f64),
            format!("{:.0}", cost.worker_bytes),
            table::two_decimals(cost.txns),
            format!("{}", cost.memory / 1_024),
            format!("{}", cost.memory / cost.tasks),
        ]);
    }
    table.print();
}

/// Prints the cost of parsing configurations.
fn print_configs(allocated: AllocatedBytes) {
    let mut table = table::Table::new(&["jobs", "text KB", "read ms", "memory KB", "B a job"]);
    for jobs in [1_000, 8_000, 24_000] {
        let cost = parsing::config(jobs, allocated);
        table.row(vec![
            jobs.to_string(),
            (cost.bytes / 1_024).to_string(),
            table::two_decimals(cost.cpu_us / 1_000.0),
            (cost.memory / 1_024).to_string(),
            (cost.bytes / jobs).to_string(),
        ]);
    }
    table.print();
}

/// Prints the cost of endpoints for a host.
fn print_routes(allocated: AllocatedBytes) {
    let mut table =
        table::Table::new(&["endpoints", "publish ms", "memory KB", "B an endpoint", "table KB"]);
    for count in [1_000, 4_000, 11_000] {
        let cost = routes::routes(count, allocated);
        table.row(vec![
            count.to_string(),
            table::two_decimals(cost.cpu_us / 1_000.0),
            (cost.memory / 1_024).to_string(),
            (cost.memory / count).to_string(),
            (cost.bytes / 1_024).to_string(),
        ]);
    }
    table.print();
}

/// Prints the cost of parsing worker lists.
fn print_lists() {
    let mut table = table::Table::new(&["workers in the list", "read ms", "KB"]);
    for workers in [1_000, 2_200, 4_400] {
        let (cpu_us, bytes) = parsing::worker_list(workers);
        let kilobytes = (bytes / 1_024).to_string();
        table.row(vec![workers.to_string(), table::two_decimals(cpu_us / 1_000.0), kilobytes]);
    }
    table.print();
}

/// Prints the cost of single messages and entries.
fn print_messages() {
    let (holder_us, worker_us) = message::message();
    println!("processor us of a message over HTTP: holder {holder_us:.0}, worker {worker_us:.0}");
    println!("bytes of a worker in the list: {}", parsing::member_bytes());
    println!("bytes of an endpoint in a digest: {}", routes::digest_bytes());
}
