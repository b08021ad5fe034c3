//! Simulates waves of losses among a few hundred workers that run long-running jobs.
//!
//! Guards against sound jobs that fail by losses of workers which have a common cause, where that
//! cause is not seen: the losses of a wave become known one after the other, and the tasks of a
//! wave start again together, so that they pass for tasks that crash their workers together.

use std::time;

use wharflane::{job, size};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::{plan, world};

/// The number of simulated worlds for each test.
const SEEDS: u64 = 4;
/// The number of workers.
const WORKERS: usize = 240;

/// Returns a time in whole seconds.
const fn secs(secs: u64) -> time::Duration {
    time::Duration::from_secs(secs)
}

/// Waves that each take few of the workers, and come often.
const SMALL_WAVES: plan::Waves = plan::Waves {
    share_milli: 70,
    first: secs(6),
    every: time::Duration::from_millis(1_500),
    count: 34,
};

/// Returns a plan with waves, in which the loss of a worker is known 2 to 3.2 s after its crash.
fn with_waves(waves: plan::Waves) -> plan::Plan {
    plan::Plan {
        end: waves.first + waves.every * waves.count + secs(20),
        dead_workers_refuse: true,
        waves: Some(waves),
        away_ms: Some(2_000..3_200),
        ..plan::Plan::default()
    }
}

/// Builds a world in which waves crash workers beside long-running jobs of many tasks.
fn long_running_jobs(seed: u64, waves: plan::Waves) -> world::World {
    let faults = world::Faults::default();
    let mut world = world::World::planned(seed, faults, with_waves(waves), (3, WORKERS, 0));
    let size = size::Size { cpu_milli: 1_200, mem_mb: 300, accelerators: 0 };
    let step =
        job::Step { count: 14, lasting: true, size, estimate_ms: 1_000, ..job::Step::default() };
    for number in 0..24 {
        let at = secs(1) + time::Duration::from_millis(100) * number;
        world.submit_step_at(at, step.clone());
    }
    world
}

/// Runs a world for each seed and checks that no job of a kind fails though its tasks are sound.
fn check(waves: plan::Waves) {
    let mut found = Vec::new();
    for seed in 0..SEEDS {
        let mut world = long_running_jobs(seed, waves);
        world.run();
        assert!(world.checker.starts > 300, "seed {seed}: too few starts");
        found.extend(world.findings().iter().map(|finding| format!("seed {seed}: {finding}")));
    }
    assert!(found.is_empty(), "{} found: {found:#?}", found.len());
}

/// Runs worlds with small waves in which one job in five has a task that crashes its workers late,
/// and checks the starts of these tasks.
fn check_bounded_starts() {
    let faults =
        world::Faults { crashing_tasks: 200, late_crashes: 1_000, ..world::Faults::default() };
    let mut found = Vec::new();
    for seed in 0..SEEDS {
        let plan = with_waves(SMALL_WAVES);
        let mut world = world::World::planned(seed, faults, plan, (3, WORKERS, 200));
        world.run();
        assert!(world.checker.crashed_workers() > 10, "seed {seed}: too few crashes");
        let violations = &world.checker.violations;
        found.extend(violations.iter().map(|violation| format!("seed {seed}: {violation}")));
    }
    assert!(found.is_empty(), "{} found: {found:#?}", found.len());
}

cases! {
    long_running_jobs_go_on_while_a_quarter_of_the_workers_is_lost_every_5_s =>
        check(plan::Waves { share_milli: 280, first: secs(6), every: secs(5), count: 11 }),
    long_running_jobs_go_on_while_a_seventh_of_the_workers_is_lost_every_3_s =>
        check(plan::Waves { share_milli: 140, first: secs(6), every: secs(3), count: 17 }),
    long_running_jobs_go_on_while_few_workers_are_lost_often => check(SMALL_WAVES),
    // Guards against tasks that crash their workers late, whose losses pass for those of waves.
    starts_of_tasks_that_crash_late_are_bounded_among_small_waves => check_bounded_starts(),
}
