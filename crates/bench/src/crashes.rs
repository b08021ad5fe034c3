//! Decision 11: tasks under which workers crash, counted over worlds in virtual time.

use std::time;

use wharflane_stand_in::jobs::world;

use crate::table;

/// The shares of jobs with a task that crashes workers, in thousandths.
const SHARES: [u32; 3] = [10, 50, 200];

/// What many worlds came to.
#[derive(Debug, Default)]
struct Sum {
    /// Workers that crashed because of what they had started.
    crashed: u32,
    /// The work of other tasks that was lost with them.
    lost_beside: time::Duration,
    /// Jobs that were given up though they could be done.
    wronged: usize,
    /// Rules that were broken.
    breaches: usize,
    /// Jobs that did not come to their end.
    unfinished: usize,
    /// Starts.
    starts: u64,
}

/// Plays worlds of many seeds.
fn play(faults: world::Faults, seeds: u64) -> Sum {
    let mut sum = Sum::default();
    for seed in 0..seeds {
        let mut world = world::World::new(seed, faults, 3, 24, 60);
        world.run();
        sum.crashed += world.checker.crashed_workers();
        sum.lost_beside += world.checker.collateral_loss;
        let wronged = world.wrongly_failed();
        if !wronged.is_empty() {
            eprintln!("seed {seed}, {} in 1,000: given up {wronged:?}", faults.crashing_tasks);
        }
        sum.wronged += wronged.len();
        sum.breaches += world.checker.violations.len();
        sum.unfinished += world.unfinished().len();
        sum.starts += world.checker.starts;
    }
    sum
}

/// Prints one line for each share of such jobs, without and with workers that are lost for other causes.
pub fn print(seeds: u64) {
    let mut table = table::Table::new(&[
        "jobs with one",
        "other losses",
        "crashed workers",
        "s lost beside each",
        "wronged jobs",
        "breaches",
        "unfinished",
        "starts",
    ]);
    for share in SHARES {
        for (name, crashes, cuts) in [("none", 0, 0), ("8 deaths, 4 cuts", 8, 4)] {
            let faults =
                world::Faults { crashing_tasks: share, crashes, cuts, ..world::Faults::default() };
            let sum = play(faults, seeds);
            let crashed = f64::from(sum.crashed.max(1));
            table.row(vec![
                table::percent(u64::from(share), 1_000),
                name.to_owned(),
                sum.crashed.to_string(),
                table::two(sum.lost_beside.as_secs_f64() / crashed),
                sum.wronged.to_string(),
                sum.breaches.to_string(),
                sum.unfinished.to_string(),
                sum.starts.to_string(),
            ]);
        }
    }
    table.print();
}
