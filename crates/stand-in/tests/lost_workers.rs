//! Simulates workers that are lost one by one, and workers that only seem lost.
//!
//! Guards against sound jobs that fail since one task of theirs happened to run on several workers
//! that were lost for reasons of their own; and against losses of workers that live: the store is
//! down and their entries lapse, while the holder can't reach them or has just taken over.

use std::ops;
use std::time;

use wharflane::{job, size};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::{plan, world};

/// The number of simulated worlds for each test; 50 and more by hand.
const SEEDS: u64 = 20;
/// The time in which every long-running task must run again after the last crash.
const RETURN: time::Duration = secs(20);
/// The time from the crash of a worker until another incarnation answers at its address, in
/// milliseconds.
const AWAY_MS: ops::Range<u64> = 1_500..3_000;
/// When batch jobs are submitted for the first time and for the last.
const BATCH_SUBMITTED: (time::Duration, time::Duration) = (secs(1), secs(50));

/// What a world consists of.
#[derive(Clone, Copy)]
struct Scale {
    /// The number of workers.
    workers: usize,
    /// The number of long-running jobs of six tasks each.
    long_running: u32,
    /// The number of batch jobs.
    batch: u32,
}

/// The usual world, in which long-running tasks reserve three eighths of the CPU.
const USUAL: Scale = Scale { workers: 48, long_running: 12, batch: 120 };
/// A world with few workers.
const FEW_WORKERS: Scale = Scale { workers: 20, long_running: 8, batch: 120 };
/// A world with few batch jobs.
const FEW_BATCH_JOBS: Scale = Scale { workers: 48, long_running: 12, batch: 30 };

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

/// Outages of the store after which no worker is listed for a moment.
const OUTAGES: plan::Outages = plan::Outages {
    first: secs(5),
    every_ms: 5_000..8_000,
    count: 8,
    lasts_ms: 3_500..4_500,
    lapse_milli: 1_000,
    relisted_ms: 100..2_000,
};
/// The end of a world with outages; all of them have been over for more than 10 s.
const OUTAGES_END: time::Duration = secs(85);

/// All ways in which a holder ends.
const ALL_ENDS: &[plan::HolderEnd] =
    &[plan::HolderEnd::Stopped, plan::HolderEnd::Killed, plan::HolderEnd::Restarted];

/// Returns cuts of a share of the workers while there are outages, 5 s apart.
fn cuts(share_milli: u64, lasts: time::Duration) -> plan::Cuts {
    plan::Cuts { share_milli, first: secs(6), every: secs(5), count: 11, lasts }
}

/// Returns changes of the holder, two every 6 s.
fn changes(ends: &'static [plan::HolderEnd]) -> plan::Handovers {
    plan::Handovers {
        first: secs(6),
        every: secs(6),
        count: 8,
        changes: 2,
        gap_ms: 200..1_300,
        ends,
        cut_milli: 0,
        cut: time::Duration::ZERO,
    }
}

/// Returns a plan with outages of the store and workers that can't be reached meanwhile.
fn with_outages(cuts: plan::Cuts, handovers: Option<plan::Handovers>) -> plan::Plan {
    plan::Plan {
        end: OUTAGES_END,
        dead_workers_refuse: true,
        lease_claims: true,
        outages: Some(OUTAGES),
        cuts: Some(cuts),
        handovers,
        judges_losses: true,
        ..plan::Plan::default()
    }
}

/// Returns a plan with crashes, which ends when every long-running task must run again.
fn with_crashes(crashes: plan::Waves) -> plan::Plan {
    plan::Plan {
        end: crashes.first + crashes.every * (crashes.count - 1) + RETURN,
        dead_workers_refuse: true,
        waves: Some(crashes),
        away_ms: Some(AWAY_MS),
        judges_losses: true,
        ..plan::Plan::default()
    }
}

/// Adds single crashes to a plan.
fn with_crashes_too(plan: plan::Plan) -> plan::Plan {
    plan::Plan { waves: Some(SINGLE_CRASHES), away_ms: Some(AWAY_MS), ..plan }
}

/// Returns a step of equal tasks.
fn step(count: u32, cpu_milli: u64, estimate_ms: u64) -> job::Step {
    let size = size::Size { cpu_milli, mem_mb: 300, accelerators: 0 };
    job::Step { count, size, estimate_ms, ..job::Step::default() }
}

/// Builds a world without faults beyond its plan.
fn world(seed: u64, plan: plan::Plan, scale: Scale) -> world::World {
    world_with(world::Faults::default(), seed, plan, scale)
}

/// Builds a world in which one job in five has a task that crashes its worker at once.
fn with_crashing_tasks(seed: u64, plan: plan::Plan) -> world::World {
    let faults = world::Faults { crashing_tasks: 200, ..world::Faults::default() };
    world_with(faults, seed, plan, FEW_BATCH_JOBS)
}

/// Builds a world with long-running jobs and batch jobs.
fn world_with(faults: world::Faults, seed: u64, plan: plan::Plan, scale: Scale) -> world::World {
    let mut world = world::World::planned(seed, faults, plan, (3, scale.workers, 0));
    for number in 0..scale.long_running {
        let at = secs(1) + time::Duration::from_millis(100) * number;
        world.submit_step_at(at, job::Step { lasting: true, ..step(6, 1_000, 1_000) });
    }
    let (first, last) = BATCH_SUBMITTED;
    for number in 0..scale.batch {
        let at = first + (last - first) * number / scale.batch;
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

/// Checks the starts of tasks that crash their workers.
fn check_bounded_starts(plan: &plan::Plan) {
    let mut crashed = 0;
    let mut found = Vec::new();
    for seed in 0..SEEDS {
        let mut world = with_crashing_tasks(seed, plan.clone());
        world.run();
        let violations = world.checker.violations.iter();
        found.extend(violations.map(|violation| format!("seed {seed}: {violation}")));
        crashed += u64::from(world.checker.crashed_workers());
    }
    assert!(found.is_empty(), "{} found: {found:#?}", found.len());
    assert!(crashed > SEEDS * 10, "only {crashed} workers crashed under crashing tasks");
}

/// Runs a world for each seed and checks each of them.
fn check(build: impl Fn(u64) -> world::World) {
    let mut found = Vec::new();
    let (mut most, mut counted) = (0, 0);
    for seed in 0..SEEDS {
        let mut world = build(seed);
        let judges_losses = world.judges_losses();
        world.run();
        assert!(world.checker.starts > 200, "seed {seed}: too few starts");
        most = most.max(world.losses.most_false_losses);
        counted += world.losses.false_losses;
        let judged = world.losses.judged > 0 || !judges_losses;
        assert!(judged, "seed {seed}: no losses judged");
        let findings = world.findings().into_iter().chain(failed_jobs(&world));
        found.extend(findings.map(|finding| format!("seed {seed}: {finding}")));
    }
    println!("{counted} losses of workers that live were counted, at most {most} of one task");
    assert!(
        found.is_empty(),
        "{} found, {counted} losses counted of workers that live, at most {most} of one task: \
         {found:#?}",
        found.len()
    );
}

cases! {
    // Guards against a limit of losses that a sound task reaches by chance.
    sound_jobs_go_on_while_workers_crash_one_by_one =>
        check(|seed| world(seed, with_crashes(SINGLE_CRASHES), USUAL)),
    sound_jobs_go_on_while_one_of_few_workers_crashes_and_holders_change => check(|seed| {
        let plan = plan::Plan {
            lease_claims: true,
            handovers: Some(changes(ALL_ENDS)),
            ..with_crashes(plan::Waves { share_milli: 70, ..SINGLE_CRASHES })
        };
        world(seed, plan, FEW_WORKERS)
    }),
    no_loss_counts_while_the_store_is_down_and_a_fifth_of_the_workers_is_cut_off =>
        check(|seed| world(seed, with_outages(cuts(200, secs(3)), None), USUAL)),
    no_loss_counts_while_the_store_is_down_and_half_of_the_workers_is_cut_off =>
        check(|seed| world(seed, with_outages(cuts(500, secs(4)), None), USUAL)),
    no_loss_counts_while_the_store_is_down_and_holders_restart => check(|seed| {
        let changes = changes(&[plan::HolderEnd::Restarted]);
        world(seed, with_outages(cuts(500, secs(4)), Some(changes)), USUAL)
    }),
    no_loss_counts_while_the_store_is_down_and_holders_are_killed => check(|seed| {
        let changes = changes(&[plan::HolderEnd::Killed]);
        world(seed, with_outages(cuts(300, secs(5)), Some(changes)), USUAL)
    }),
    no_loss_counts_of_workers_that_live_beside_single_crashes => check(|seed| {
        let outages = with_outages(cuts(200, secs(3)), Some(changes(ALL_ENDS)));
        world(seed, with_crashes_too(outages), USUAL)
    }),
    no_loss_counts_of_workers_that_live_while_others_crash_and_the_holder_stays => check(|seed| {
        let outages = with_outages(cuts(200, secs(3)), None);
        world(seed, with_crashes_too(outages), USUAL)
    }),
    // Guards against long-running tasks that crash their workers and are started without end.
    starts_of_tasks_that_crash_at_once_are_bounded_beside_single_crashes =>
        check_bounded_starts(&with_crashes(SINGLE_CRASHES)),
    starts_of_tasks_that_crash_at_once_are_bounded_while_the_store_is_down =>
        check_bounded_starts(&with_outages(cuts(500, secs(4)), None)),
    starts_of_tasks_that_crash_at_once_are_bounded_while_holders_change =>
        check_bounded_starts(&with_outages(cuts(200, secs(3)), Some(changes(ALL_ENDS)))),
    sound_jobs_go_on_beside_tasks_that_crash_at_once_and_single_crashes =>
        check(|seed| with_crashing_tasks(seed, with_crashes(SINGLE_CRASHES))),
}
