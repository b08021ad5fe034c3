//! Decision 5: placement and recovery of one hall, in virtual time.

use std::time;

use crate::hall;
use crate::table;

/// The number of burst tasks for each worker.
const BURST_TASKS_PER_WORKER: u32 = 4;
/// Hall sizes for the urgent tasks, in workers: small, as a site in use, and four times that.
const URGENT_WORKERS: [usize; 3] = [16, 65, 260];

/// Measures and prints both tables.
pub fn print() {
    print_bursts();
    print_urgent();
}

/// Prints the cost of a burst of tasks, and the time until the next holder starts a task.
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
    for workers in hall::HALL_SIZES {
        let row = measure(workers);
        let starts = f64::from(row.placed);
        let us = row.burst.cpu.as_micros() as f64 / starts;
        table.row(vec![
            workers.to_string(),
            row.placed.to_string(),
            table::two_decimals(row.burst_duration.as_secs_f64()),
            table::two_decimals(us),
            format!("{:.0}", 1e6 / us),
            table::two_decimals(row.burst.txns as f64 * 1_000.0 / starts),
            format!("{:.0}", row.burst.txn_bytes as f64 / starts),
            table::two_decimals(row.recovery_time.as_secs_f64()),
        ]);
    }
    table.print();
}

/// Prints the time until urgent tasks have started in full halls.
fn print_urgent() {
    let mut table = table::Table::new(&["workers", "urgent tasks", "all started after s"]);
    for workers in URGENT_WORKERS {
        let start_time = table::two_decimals(urgent_start_time(workers).as_secs_f64());
        table.row(vec![workers.to_string(), workers.to_string(), start_time]);
    }
    table.print();
}

/// The cost of a burst and of a change of holder in one hall.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// The number of workers.
    pub workers: usize,
    /// The number of tasks placed in the burst.
    pub placed: u32,
    /// Counters of the engine and the store during the burst.
    pub burst: hall::Counters,
    /// How long the burst took, in virtual time.
    pub burst_duration: time::Duration,
    /// Counters of the engine and the store in ten idle seconds.
    pub idle: hall::Counters,
    /// The time from the loss of the holder to the first start by the next holder.
    pub recovery_time: time::Duration,
}

/// Measures a hall with the given number of workers.
///
/// # Panics
/// Panics if the hall does not fill or recover within `hall::MAX_WAIT`.
#[must_use]
pub fn measure(workers: usize) -> Row {
    let count = u32::try_from(workers).unwrap_or(u32::MAX);
    let mut hall = hall::Hall::full(workers, 0);
    let full = hall.running();
    let idle = hall.measure(time::Duration::from_secs(10));
    let placed = count * BURST_TASKS_PER_WORKER;
    let before = hall.counters;
    hall.apply(&hall::full_config(workers, placed));
    let all_running = full + placed as usize;
    let burst_duration = hall
        .run_until(hall::MAX_WAIT, |hall| hall.running() == all_running)
        .expect("the burst runs");
    let burst = hall.counters.since(&before);
    hall.replace_host();
    hall.apply(&hall::full_config(workers, placed + 1));
    let recovery_time = hall
        .run_until(hall::MAX_WAIT, |hall| hall.running() > all_running)
        .expect("the hall recovers");
    Row { workers, placed, burst, burst_duration, idle, recovery_time }
}

/// Returns the time until urgent tasks have started in a full hall, in virtual time. Evictions must
/// first free capacity; checkpoints take no time here.
///
/// # Panics
/// Panics if the hall does not fill, the tasks do not start within `hall::MAX_WAIT`, or more tasks
/// are evicted than needed.
#[must_use]
pub fn urgent_start_time(workers: usize) -> time::Duration {
    // Number of tasks that fill the remaining processors of a worker beside its initial tasks.
    const FILLERS_PER_WORKER: u32 = 17;
    let count = u32::try_from(workers).unwrap_or(u32::MAX);
    let mut hall = hall::Hall::full(workers, count * FILLERS_PER_WORKER);
    let full = hall.running();
    let text = hall::full_config(workers, count * FILLERS_PER_WORKER);
    hall.apply(&format!(
        "{text}[[job]]\nname = \"urgent\"\nteam = \"ours\"\nclass = \"p100\"\nhalls = [\"hall\"]\n\
         tasks = {count}\ncpu_milli = 4000\nmem_mb = 4000\nrun_time_ms = {}\n",
        hall::RUN_TIME_MS
    ));
    // An urgent task is twice as large as the others, so two of them are evicted for each.
    let remaining = full - workers;
    let started = |hall: &hall::Hall| hall.running_of("urgent") == workers;
    let start_time = hall.run_until(hall::MAX_WAIT, started).expect("urgent tasks start");
    assert!(hall.running() <= remaining + workers, "more tasks were evicted than needed");
    start_time
}
