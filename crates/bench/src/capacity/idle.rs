//! The cost of an idle hall, in which all tasks run and none start or end.

use std::time;

use crate::capacity::AllocatedBytes;
use crate::hall;

/// The bytes of HTTP headers and framing in one exchange between a host and a worker, in both
/// directions.
///
/// Counted from the lines that hyper writes: request line, host, content type and length (about
/// 110), status line, content type, length and date (about 125).
pub const HTTP_BYTES: u64 = 235;

/// The cost of an idle hall.
#[derive(Clone, Copy, Debug)]
pub struct HallCost {
    /// The number of workers.
    pub workers: usize,
    /// The number of running tasks.
    pub tasks: usize,
    /// Processor time of the holder per second, in microseconds.
    pub cpu_us: f64,
    /// Bytes between the holder and one worker per second.
    pub worker_bytes: f64,
    /// Transactions per second.
    pub txns: f64,
    /// Memory of the holder's engine after recovery, in bytes.
    pub memory: usize,
}

/// Measures an idle hall with all its tasks running.
///
/// # Panics
/// Panics if the hall does not fill within `hall::MAX_WAIT`.
#[must_use]
pub fn hall(workers: usize, allocated: AllocatedBytes) -> HallCost {
    const SECONDS: u64 = 10;
    let mut hall = hall::Hall::full(workers, 0);
    let tasks = hall.running();
    let idle = hall.measure(time::Duration::from_secs(SECONDS));
    hall.replace_host();
    let before = allocated();
    hall.run(time::Duration::from_secs(12));
    let memory = allocated().saturating_sub(before);
    let seconds = SECONDS as f64;
    let bytes = idle.sync_bytes + idle.report_bytes + idle.syncs * HTTP_BYTES;
    HallCost {
        workers,
        tasks,
        cpu_us: idle.cpu.as_micros() as f64 / seconds,
        worker_bytes: bytes as f64 / seconds / workers as f64,
        txns: idle.txns as f64 / seconds,
        memory,
    }
}
