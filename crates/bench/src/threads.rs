//! Threads that are told apart by name, the processor time that they use, and ports of theirs.

use std::fs;
use std::net;

/// Processor ticks in a second, as /proc counts them.
pub const TICKS: f64 = 100.0;

/// Makes a runtime whose threads have a name.
///
/// # Panics
/// Panics if threads can't be started.
#[must_use]
pub fn runtime(name: &str, threads: usize) -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .expect("threads")
}

/// Opens a port.
///
/// # Panics
/// Panics if none can be opened.
pub async fn bind() -> tokio::net::TcpListener {
    tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await.expect("a port")
}

/// Returns the processor ticks that the threads of a name have used.
#[must_use]
pub fn ticks(name: &str) -> f64 {
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
