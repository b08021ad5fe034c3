//! Simulates workers that are lost one by one.
//!
//! Guards against sound jobs that fail since one task of theirs happened to run on several workers
//! that were lost for reasons of their own.

use std::time;

use wharflane::{job, size};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::{plan, world};

/// The number of simulated worlds for each test; 50 and more by hand.
const SEEDS: u64 = 20;
/// The number of workers.
const WORKERS: usize = 48;
/// The time in which every long-running task must run again after the last crash.
const RETURN: time::Duration = secs(20);
/// When batch jobs are submitted for the first time and for the last.
const BATCH_SUBMITTED: (time::Duration, time::Duration) = (secs(1), secs(50));
/// The number of batch jobs.
const BATCH_JOBS: u32 = 120;

/// Returns a time in whole seconds.
const fn secs(secs: u64) -> time::Duration {
    time::Duration::from_secs(secs)
}

/// Crashes of one or two of the workers at a time.
const SINGLE_CRASHES: plan::Waves = plan::Waves {
    share_milli: 43,
    first: secs(3),
    every: time::Duration::from_millis(800),
    count: 64,
};

/// Returns a plan with crashes, which ends when every long-running task must run again.
fn with_crashes(crashes: plan::Waves) -> plan::Plan {
    plan::Plan {
        end: crashes.first + crashes.every * (crashes.count - 1) + RETURN,
        dead_workers_refuse: true,
        waves: Some(crashes),
        away_ms: Some(1_500..3_000),
        ..plan::Plan::default()
    }
}

/// Returns a step of equal tasks.
fn step(count: u32, cpu_milli: u64, estimate_ms: u64) -> job::Step {
    let size = size::Size { cpu_milli, mem_mb: 300, accelerators: 0 };
    job::Step { count, size, estimate_ms, ..job::Step::default() }
}

/// Builds a world with long-running jobs of six tasks each and batch jobs.
fn world(seed: u64, plan: plan::Plan, workers: usize, long_running: u32) -> world::World {
    let faults = world::Faults::default();
    let mut world = world::World::planned(seed, faults, plan, (3, workers, 0));
    for number in 0..long_running {
        let at = secs(1) + time::Duration::from_millis(100) * number;
        world.submit_step_at(at, job::Step { lasting: true, ..step(6, 1_000, 1_000) });
    }
    let (first, last) = BATCH_SUBMITTED;
    for number in 0..BATCH_JOBS {
        let at = first + (last - first) * number / BATCH_JOBS;
        let estimate_ms = 600 + u64::from(number) * 700 % 2_401;
        world.submit_step_at(at, step(1 + number % 3, 500, estimate_ms));
    }
    world
}

/// Returns the jobs that failed although each of their tasks can complete, with the number of their
/// failed runs; a job without any failed by lost workers.
fn failed_jobs(world: &world::World) -> Vec<String> {
    let describe = |id: job::JobId| {
        let step = &world.checker.jobs[&id].steps[0];
        let tasks = (0..step.count).map(|index| job::TaskId { job: id, round: 0, step: 0, index });
        let failed_runs: usize = tasks.map(|task| world.checker.failed_runs(task)).sum();
        format!("{id}, long-running {}, failed by {failed_runs} failed runs", step.lasting)
    };
    world.wrongly_failed().into_iter().map(describe).collect()
}

/// Runs a world for each seed and checks each of them.
fn check(build: impl Fn(u64) -> world::World) {
    let mut found = Vec::new();
    for seed in 0..SEEDS {
        let mut world = build(seed);
        world.run();
        assert!(world.checker.starts > 300, "seed {seed}: too few starts");
        let findings = world.findings().into_iter().chain(failed_jobs(&world));
        found.extend(findings.map(|finding| format!("seed {seed}: {finding}")));
    }
    assert!(found.is_empty(), "{} found: {found:#?}", found.len());
}

cases! {
    // Guards against a limit of losses that a sound task reaches by chance.
    sound_jobs_go_on_while_workers_crash_one_by_one =>
        check(|seed| world(seed, with_crashes(SINGLE_CRASHES), WORKERS, 12)),
}
