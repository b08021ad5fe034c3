//! Decision 11: tasks that crash their workers, counted over many simulated worlds in virtual time.

use std::time;

use wharflane_stand_in::jobs::world;

use crate::table;

/// Shares of jobs with a task that crashes its worker, in thousandths.
const CRASHING_PER_MILLE: [u32; 3] = [10, 50, 200];

/// Totals over the worlds of all seeds.
#[derive(Debug, Default)]
struct Totals {
    /// Workers crashed by a task that they started.
    crashed_workers: u32,
    /// Work of other tasks that was lost on crashed workers.
    collateral_loss: time::Duration,
    /// Jobs that failed although they could have completed.
    wrongly_failed: usize,
    /// Violations that the checker of the world found.
    violations: usize,
    /// Jobs that had not ended when their world stopped.
    unfinished: usize,
    /// Task starts.
    starts: u64,
}

/// Runs one world for each seed and adds up the results.
fn run_worlds(faults: world::Faults, seeds: u64) -> Totals {
    let mut totals = Totals::default();
    for seed in 0..seeds {
        let mut world = world::World::new(seed, faults, 3, 24, 60);
        world.run();
        totals.crashed_workers += world.checker.crashed_workers();
        totals.collateral_loss += world.checker.collateral_loss;
        let wrongly_failed = world.wrongly_failed();
        if !wrongly_failed.is_empty() {
            eprintln!(
                "seed {seed}, {} in 1,000 jobs crash workers: wrongly failed {wrongly_failed:?}",
                faults.crashing_tasks
            );
        }
        totals.wrongly_failed += wrongly_failed.len();
        totals.violations += world.checker.violations.len();
        totals.unfinished += world.unfinished().len();
        totals.starts += world.checker.starts;
    }
    totals
}

/// Prints a row for each share of crashing jobs, without and with workers lost for other causes.
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
    for crashing_per_mille in CRASHING_PER_MILLE {
        for (name, crashes, cuts) in [("none", 0, 0), ("8 deaths, 4 cuts", 8, 4)] {
            let faults = world::Faults {
                crashing_tasks: crashing_per_mille,
                crashes,
                cuts,
                ..world::Faults::default()
            };
            let totals = run_worlds(faults, seeds);
            let crashed = f64::from(totals.crashed_workers.max(1));
            table.row(vec![
                table::percent(u64::from(crashing_per_mille), 1_000),
                name.to_owned(),
                totals.crashed_workers.to_string(),
                table::two_decimals(totals.collateral_loss.as_secs_f64() / crashed),
                totals.wrongly_failed.to_string(),
                totals.violations.to_string(),
                totals.unfinished.to_string(),
                totals.starts.to_string(),
            ]);
        }
    }
    table.print();
}
