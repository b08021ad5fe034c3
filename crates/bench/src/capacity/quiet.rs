//! What a hall costs at rest.

use std::time;

use crate::capacity::Live;
use crate::hall;

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
    let mut hall = hall::Hall::full(workers, 0);
    let tasks = hall.running();
    let quiet = hall.count(time::Duration::from_secs(SECONDS));
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
