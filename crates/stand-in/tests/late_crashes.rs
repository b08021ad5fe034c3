//! Simulates tasks that crash their worker sometimes at once and sometimes only after a while.
//!
//! Guards against two opposite faults. When a loss with several suspects was dropped as soon as one
//! of them had run for a second, a crashing task was started six times or more where five are
//! allowed, if it crashed one worker next to tasks that had just started, and the next workers only
//! after a while. When such losses were never dropped, sound jobs failed because they had run next
//! to a crashing task. Here every crashing task draws the moment of its crash at each start.

use std::time;

use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::{plan, world};

/// The number of simulated worlds for each combination of faults.
const SEEDS: u64 = 40;

/// Runs worlds in which one job in five has a crashing task, and checks each of them;
/// `late_crashes` is the share of their starts, in thousandths, that crash late.
fn check(late_crashes: u32, faults: world::Faults) {
    let mut found = Vec::new();
    for seed in 0..SEEDS {
        let faults = world::Faults { crashing_tasks: 200, late_crashes, ..faults };
        let mut world = world::World::new(seed, faults, 3, 24, 60);
        world.run();
        found.extend(world.findings().iter().map(|finding| format!("seed {seed}: {finding}")));
    }
    assert!(found.is_empty(), "{found:#?}");
}

/// Returns a world in which one job in five has a crashing task while 30 % of the workers are lost
/// every 3 s; `late_crashes` is as in `check`.
fn among_waves(seed: u64, late_crashes: u32) -> world::World {
    let faults = world::Faults { crashing_tasks: 200, late_crashes, ..world::Faults::default() };
    let secs = time::Duration::from_secs;
    let plan = plan::Plan {
        end: secs(110),
        dead_workers_refuse: true,
        waves: Some(plan::Waves { share_milli: 300, first: secs(6), every: secs(3), count: 12 }),
        away_ms: Some(800..1_500),
        ..plan::Plan::default()
    };
    world::World::planned(seed, faults, plan, (3, 24, 100))
}

/// Runs worlds with crashing tasks and waves of losses, and checks the given findings of each.
fn check_among_waves(late_crashes: u32, findings: impl Fn(&world::World) -> Vec<String>) {
    let mut found = Vec::new();
    for seed in 0..SEEDS {
        let mut world = among_waves(seed, late_crashes);
        world.run();
        found.extend(findings(&world).iter().map(|finding| format!("seed {seed}: {finding}")));
    }
    assert!(found.is_empty(), "{} found: {found:#?}", found.len());
}

/// Returns the violated guarantees, among them too many starts of a crashing task.
fn violations(world: &world::World) -> Vec<String> {
    world.checker.violations.iter().map(ToString::to_string).collect()
}

/// Returns the jobs that failed although each of their tasks can complete.
fn wrongly_failed(world: &world::World) -> Vec<String> {
    world.wrongly_failed().iter().map(ToString::to_string).collect()
}

cases! {
    // Guards against crashing tasks whose losses are taken for those of the waves.
    starts_of_tasks_that_crash_at_once_are_bounded_among_waves => check_among_waves(0, violations),
    starts_of_tasks_that_crash_late_are_bounded_among_waves =>
        check_among_waves(1_000, violations),
    starts_of_crashing_tasks_are_bounded_among_waves => check_among_waves(500, violations),
    // Guards against sound jobs that fail because they run beside crashing tasks and in waves.
    sound_jobs_complete_beside_crashing_tasks_among_waves =>
        check_among_waves(500, wrongly_failed),
    workers_sometimes_crash_late_under_tasks => check(300, world::Faults::default()),
    workers_mostly_crash_late_under_tasks => check(800, world::Faults::default()),
    workers_crash_late_and_for_other_causes => check(500, world::Faults {
        crashes: 8,
        cuts: 4,
        ..world::Faults::default()
    }),
    workers_crash_late_while_holders_change => check(500, world::Faults {
        kills: 4,
        freezes: 1,
        removals: 2,
        ..world::Faults::default()
    }),
}
