//! How many best-effort tasks start beside serving tasks whose callers come in waves.
//!
//! The load: more best-effort tasks wait than find room, while the serving tasks of a worker are at
//! the crest or in the trough of their own load.

mod sim;

use std::time;

use wharflane::job;
use wharflane_stand_in::cases;

use sim::serving;

/// The processors of a worker, all of which its serving task reserves, in thousandths of a core.
const RESERVED_MILLI: u64 = 16_000;
/// The processors of a best-effort task, in thousandths of a core.
const FILLING_MILLI: u64 = 4_000;
/// The first job of best-effort tasks.
const WAITING: u64 = 10;

/// Returns the tail latency of a serving task that uses 7 % of its processors, in milliseconds.
fn trough_tail_ms(_filled_milli: u64) -> u64 {
    14
}

/// Returns the tail latency of a serving task that uses 66 % of its processors, in milliseconds.
fn crest_tail_ms(_filled_milli: u64) -> u64 {
    38
}

/// Returns the tail latency that a serving task without requests reports.
fn no_tail_ms(_filled_milli: u64) -> u64 {
    0
}

/// Returns how many of eight best-effort tasks start beside a serving task of a given tail latency
/// that they don't interfere with.
fn started_beside(tail_ms: fn(u64) -> u64) -> usize {
    let mut sim = serving::loaded_workers(1, 0.0, RESERVED_MILLI, tail_ms);
    let filling = job::Step { count: 8, ..sim::step("filling", FILLING_MILLI) };
    sim.submit(WAITING, "first", filling);
    sim.advance(1_000, false);
    sim.starts(WAITING).len()
}

cases! {
    a_serving_task_in_the_trough_of_its_load_leaves_more_to_best_effort_tasks => {
        assert_eq!(started_beside(trough_tail_ms), 3, "14.9 of 16 cores are idle");
    },
    a_serving_task_at_the_crest_of_its_load_leaves_less_to_best_effort_tasks => {
        assert_eq!(started_beside(crest_tail_ms), 1, "5.5 of 16 cores are idle");
    },
    half_of_a_reservation_counts_as_used_while_its_load_is_unknown => {
        assert_eq!(started_beside(no_tail_ms), 2, "8 of 16 cores count as idle");
    },
    best_effort_tasks_that_wait_at_the_crest_start_once_the_load_has_fallen => {
        let mut sim = serving::loaded_workers(1, 0.0, RESERVED_MILLI, crest_tail_ms);
        let filling = job::Step { count: 8, ..sim::step("filling", FILLING_MILLI) };
        sim.submit(WAITING, "first", filling);
        sim.advance(1_000, false);
        assert_eq!(sim.starts(WAITING).len(), 1);
        sim.tail_ms = Some(trough_tail_ms);
        let fallen = sim.now;
        sim.advance(1_500, false);
        assert_eq!(sim.starts(WAITING).len(), 3);
        assert!(sim.now - fallen < time::Duration::from_secs(2), "within the bound of starvation");
    },
}
