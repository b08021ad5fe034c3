//! Runtimes with named threads, the processor time of these threads, and listening sockets.

use std::fs;
use std::net;

/// Clock ticks per second in `/proc/*/stat` (`USER_HZ`).
pub const TICKS_PER_SECOND: f64 = 100.0;

/// Creates a runtime whose threads have the given name.
///
/// # Panics
/// Panics if the threads can't be started.
#[must_use]
pub fn runtime(name: &str, threads: usize) -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .expect("threads are started")
}

/// Opens a listener on a free loopback port.
///
/// # Panics
/// Panics if no port can be opened.
pub async fn bind() -> tokio::net::TcpListener {
    tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a loopback port is free")
}

/// Returns the clock ticks used by all threads with the given name; 0 where `/proc` can't be read.
#[must_use]
pub fn cpu_ticks(name: &str) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let stats = tasks.filter_map(|task| fs::read_to_string(task.ok()?.path().join("stat")).ok());
    stats
        .filter(|stat| stat.contains(&format!("({name})")))
        .map(|stat| cpu_ticks_in_stat(&stat))
        .sum()
}

/// Returns the user and system ticks in the contents of a `stat` file.
fn cpu_ticks_in_stat(stat: &str) -> f64 {
    const USER: usize = 11;
    const SYSTEM: usize = 12;
    let after_name = stat.rsplit_once(')').map_or("", |(_, after_name)| after_name);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let number = |at: usize| fields.get(at).and_then(|field| field.parse::<f64>().ok());
    number(USER).unwrap_or(0.0) + number(SYSTEM).unwrap_or(0.0)
}
