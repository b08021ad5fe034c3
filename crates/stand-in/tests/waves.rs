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

/// Builds a world in which waves crash workers beside long-running jobs of many tasks, and where
/// the loss of a worker is known 2 to 3.2 s after its crash.
fn long_running_jobs(seed: u64, waves: plan::Waves) -> world::World {
    let plan = plan::Plan {
        end: waves.first + waves.every * waves.count + secs(20),
        dead_workers_refuse: true,
        waves: Some(waves),
        away_ms: Some(2_000..3_200),
        ..plan::Plan::default()
    };
    let mut world = world::World::planned(seed, world::Faults::default(), plan, (3, WORKERS, 0));
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

cases! {
    long_running_jobs_go_on_while_a_quarter_of_the_workers_is_lost_every_5_s =>
        check(plan::Waves { share_milli: 280, first: secs(6), every: secs(5), count: 11 }),
    long_running_jobs_go_on_while_a_seventh_of_the_workers_is_lost_every_3_s =>
        check(plan::Waves { share_milli: 140, first: secs(6), every: secs(3), count: 17 }),
    long_running_jobs_go_on_while_few_workers_are_lost_often => check(plan::Waves {
        share_milli: 70,
        first: secs(6),
        every: time::Duration::from_millis(1_500),
        count: 34,
    }),
}
