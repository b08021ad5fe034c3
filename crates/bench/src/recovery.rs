//! Decision 5: placement and recovery of one hall, in virtual time.

use std::time;

use crate::hall;
use crate::table;

/// The tasks of the burst for each worker.
const MORE: u32 = 4;
/// Sizes of the halls in which urgent tasks need room: small, as a site in use, four times that.
const URGENT_WORKERS: [usize; 3] = [16, 65, 260];

/// Prints the result.
pub fn print() {
    print_bursts();
    print_urgent();
}

/// Prints what a burst of tasks costs, and how soon the next holder starts one.
fn print_bursts() {
    let mut table = table::Table::new(&[
        "workers",
        "tasks started",
        "took s (virtual)",
        "processor us a start",
        "decisions/s a core",
        "transactions per 1,000 starts",
        "bytes a start",
        "death to first start s (virtual)",
    ]);
    for workers in hall::WORKERS {
        let row = measure(workers);
        let starts = f64::from(row.placed);
        let us = row.burst.cpu.as_micros() as f64 / starts;
        table.row(vec![
            workers.to_string(),
            row.placed.to_string(),
            table::two(row.burst_took.as_secs_f64()),
            table::two(us),
            format!("{:.0}", 1e6 / us),
            table::two(row.burst.txns as f64 * 1_000.0 / starts),
            format!("{:.0}", row.burst.txn_bytes as f64 / starts),
            table::two(row.recovered.as_secs_f64()),
        ]);
    }
    table.print();
}

/// Prints how soon urgent tasks start in full halls.
fn print_urgent() {
    let mut table = table::Table::new(&["workers", "urgent tasks", "all started after s"]);
    for workers in URGENT_WORKERS {
        let took = table::two(urgent(workers).as_secs_f64());
        table.row(vec![workers.to_string(), workers.to_string(), took]);
    }
    table.print();
}

/// What one hall needs.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// The number of workers.
    pub workers: usize,
    /// Tasks placed in the burst.
    pub placed: u32,
    /// What the burst cost.
    pub burst: hall::Counted,
    /// How long the burst took, in virtual time.
    pub burst_took: time::Duration,
    /// What ten quiet seconds cost.
    pub quiet: hall::Counted,
    /// From a host's death to the first new start by the next one.
    pub recovered: time::Duration,
}

/// Measures a hall of so many workers.
///
/// # Panics
/// Panics if the hall does not fill or recover within minutes, which its bounds exclude.
#[must_use]
pub fn measure(workers: usize) -> Row {
    let count = u32::try_from(workers).unwrap_or(u32::MAX);
    let mut hall = hall::Hall::full(workers, 0);
    let full = hall.running();
    let quiet = hall.count(time::Duration::from_secs(10));
    let placed = count * MORE;
    let before = hall.counted;
    hall.apply(&hall::filled(workers, placed));
    let all = full + placed as usize;
    let burst_took =
        hall.run_until(hall::MOST, |hall| hall.running() == all).expect("the burst runs");
    let burst = hall.counted.since(&before);
    hall.replace_host();
    hall.apply(&hall::filled(workers, placed + 1));
    let recovered =
        hall.run_until(hall::MOST, |hall| hall.running() > all).expect("the hall recovers");
    Row { workers, placed, burst, burst_took, quiet, recovered }
}

/// Returns how long urgent tasks take to start in a full hall, in virtual time: room must be made
/// by evictions first. Checkpoints take no time here.
///
/// # Panics
/// Panics if the hall does not fill or the tasks do not start within minutes.
#[must_use]
pub fn urgent(workers: usize) -> time::Duration {
    // What fills a worker's processors besides its first tasks.
    const REST: u32 = 17;
    let count = u32::try_from(workers).unwrap_or(u32::MAX);
    let mut hall = hall::Hall::full(workers, count * REST);
    let full = hall.running();
    let text = hall::filled(workers, count * REST);
    hall.apply(&format!(
        "{text}[[job]]\nname = \"urgent\"\nteam = \"ours\"\nclass = \"p100\"\nhalls = [\"hall\"]\n\
         tasks = {count}\ncpu_milli = 4000\nmem_mb = 4000\nrun_time_ms = {}\n",
        hall::LONG_MS
    ));
    // Two tasks leave for each urgent one.
    let after = full - workers;
    let started = |hall: &hall::Hall| hall.running_of("urgent") == workers;
    let took = hall.run_until(hall::MOST, started).expect("urgent tasks start");
    assert!(hall.running() <= after + workers, "no more was evicted than was needed");
    took
}
