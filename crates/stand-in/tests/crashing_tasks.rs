//! Simulates tasks that crash every worker that starts them.
//!
//! Guards against restarting such a task endlessly. Two tasks were started about 30 times each:
//! every worker that started one crashed 10 ms later, with all other tasks on it, and restarted as
//! another incarnation after 2 s. The holder freed the runs and queued the tasks again at once,
//! since only ends that a worker reports counted as attempts, and a crashing worker reports none.
//! The failure needs neither a change of holder nor lost or late orders.

use std::time;

use wharflane::job;
use wharflane::size;
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::{plan, world};

/// The number of simulated worlds for each combination of faults.
const SEEDS: u64 = 40;

/// Runs worlds in which one job in five has a crashing task, and checks each of them.
fn check(faults: world::Faults) {
    let mut crashed = 0;
    for seed in 0..SEEDS {
        let faults = world::Faults { crashing_tasks: 200, ..faults };
        let mut world = world::World::new(seed, faults, 3, 12, 30);
        world.run();
        let violations: Vec<String> =
            world.checker.violations.iter().map(ToString::to_string).collect();
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        let unfinished = world.unfinished();
        assert!(unfinished.is_empty(), "seed {seed}: {unfinished:?}");
        let wrongly_failed = world.wrongly_failed();
        assert!(
            wrongly_failed.is_empty(),
            "seed {seed}: failed although every task can complete: {wrongly_failed:?}"
        );
        crashed += world.checker.crashed_workers();
    }
    assert!(crashed > 200, "only {crashed} workers crashed");
}

/// Runs worlds in which all jobs arrive at once and have a crashing task each, so that many workers
/// crash at the same moment, and checks the starts of these tasks.
fn check_simultaneous_crashes() {
    let secs = time::Duration::from_secs;
    let faults = world::Faults { crashing_tasks: 1_000, ..world::Faults::default() };
    for seed in 0..SEEDS {
        let plan = plan::Plan { dead_workers_refuse: true, ..plan::Plan::default() };
        let mut world = world::World::planned(seed, faults, plan, (3, 24, 0));
        let size = size::Size { cpu_milli: 300, mem_mb: 100, accelerators: 0 };
        let step = job::Step { count: 2, size, estimate_ms: 2_500, ..job::Step::default() };
        for _ in 0..12 {
            world.submit_step_at(secs(5), step.clone());
        }
        world.run();
        let findings = world.findings();
        assert!(findings.is_empty(), "seed {seed}: {findings:?}");
        assert!(world.checker.crashed_workers() >= 12, "seed {seed}: too few crashes");
    }
}

cases! {
    // Guards against tasks that crash workers together and excuse each other.
    workers_crash_at_the_same_moment_under_tasks => check_simultaneous_crashes(),
    workers_crash_under_tasks => check(world::Faults::default()),
    workers_crash_under_tasks_and_for_other_causes => check(world::Faults {
        crashes: 6,
        cuts: 3,
        unlisted: 2,
        ..world::Faults::default()
    }),
    workers_crash_under_tasks_while_holders_change => check(world::Faults {
        kills: 4,
        freezes: 1,
        removals: 2,
        ..world::Faults::default()
    }),
    workers_crash_under_tasks_whose_starts_are_late => check(world::Faults {
        late_starts: 100,
        lost_answers: 100,
        ..world::Faults::default()
    }),
    workers_crash_under_tasks_while_the_store_is_down => check(world::Faults {
        outages: 3,
        lost_txns: 40,
        late_txns: 40,
        ..world::Faults::default()
    }),
    workers_crash_under_tasks_among_all_other_faults => check(world::Faults {
        late_starts: 50,
        lost_answers: 50,
        lost_txns: 20,
        late_txns: 20,
        lost_stops: 50,
        kills: 2,
        freezes: 1,
        removals: 1,
        outages: 1,
        crashes: 2,
        cuts: 2,
        unlisted: 1,
        ..world::Faults::default()
    }),
}
