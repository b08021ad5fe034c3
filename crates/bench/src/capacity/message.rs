//! The processor time of a message to a worker over HTTP.

use std::time;

use wharflane::{id, size, work};
use wharflane_stand_in::{endpoint, history, worker};

use crate::threads;

/// Returns the processor time of one message to a worker over HTTP, in microseconds: first that of
/// the holder, then that of the stand-in worker.
///
/// # Panics
/// Panics if a port can't be opened.
#[must_use]
pub fn message() -> (f64, f64) {
    const MESSAGES: u64 = 10_000;
    let worker = threads::runtime("msg-worker", 1);
    let holder = threads::runtime("msg-holder", 1);
    let listener = worker.block_on(threads::bind());
    let addr = listener.local_addr().expect("the listener has an address");
    let setup = worker::Config {
        worker: "worker-1".into(),
        capacity: size::Size { cpu_milli: 64_000, mem_mb: 250_000, accelerators: 0 },
        limits: endpoint::Limits::default(),
        endpoint_faults: endpoint::Faults::default(),
        harm_percent: 0,
    };
    let server = worker::Server::new(setup, 1, history::History::default());
    worker.spawn(server.serve(listener));
    let client = wharflane_worker::Workers::new(time::Duration::from_secs(5));
    let send = async move {
        for seq in 1..=MESSAGES {
            let _ = client.sync(addr, &full_message(seq)).await;
        }
    };
    let before = ["msg-holder", "msg-worker"].map(threads::cpu_ticks);
    holder.block_on(async { tokio::spawn(send).await }).expect("all messages are sent");
    let after = ["msg-holder", "msg-worker"].map(threads::cpu_ticks);
    let us =
        |at: usize| (after[at] - before[at]) / threads::TICKS_PER_SECOND * 1e6 / MESSAGES as f64;
    holder.shutdown_background();
    worker.shutdown_background();
    (us(0), us(1))
}

/// Returns a sync message. The first two start fifteen tasks, so that all answers report them.
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
