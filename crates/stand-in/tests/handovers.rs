//! Simulates series of changes of the holder among weak and strong hosts, while workers can't be
//! reached and run on.
//!
//! Guards against tasks that run twice because leases that a weak host granted are forgotten at a
//! later change of the holder: such workers run on for longer than the last holder's leases.

use std::time;

use wharflane::{job, size};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::{plan, world};

/// The number of simulated worlds for each test.
const SEEDS: u64 = 20;
/// The number of workers.
const WORKERS: usize = 24;
/// The number of hosts.
const HOSTS: usize = 5;
/// The number of weak ones among them.
const WEAK_HOSTS: usize = 3;
/// The number of series in each world.
const SERIES: u32 = 3;

/// Returns a time in whole seconds.
const fn secs(secs: u64) -> time::Duration {
    time::Duration::from_secs(secs)
}

/// Returns a plan with series of changes of the holder.
fn with_changes(changes: u32, ends: &'static [plan::HolderEnd]) -> plan::Plan {
    let handovers = plan::Handovers {
        first: secs(6),
        every: secs(16),
        count: SERIES,
        changes,
        gap_ms: 200..1_300,
        ends,
        cut_milli: 250,
        cut: secs(11),
    };
    plan::Plan {
        end: secs(90),
        lease_claims: true,
        longest_lease: secs(10),
        weak_hosts: WEAK_HOSTS,
        handovers: Some(handovers),
        ..plan::Plan::default()
    }
}

/// Builds a world with batch and long-running tasks that fill half of its workers.
fn world(seed: u64, faults: world::Faults, plan: plan::Plan) -> world::World {
    let mut world = world::World::planned(seed, faults, plan, (HOSTS, WORKERS, 20));
    let size = size::Size { cpu_milli: 1_000, mem_mb: 300, accelerators: 0 };
    let lasting =
        job::Step { count: 12, lasting: true, size, estimate_ms: 1_000, ..job::Step::default() };
    let batch = job::Step { count: 12, size, estimate_ms: 9_000, ..job::Step::default() };
    for number in 0..2 {
        world.submit_step_at(secs(1 + number), lasting.clone());
    }
    for number in 0..7 {
        world.submit_step_at(secs(2 + 7 * number), batch.clone());
    }
    world
}

/// Runs a world for each seed and checks each of them.
fn check(faults: world::Faults, changes: u32, ends: &'static [plan::HolderEnd]) {
    let mut found = Vec::new();
    for seed in 0..SEEDS {
        let mut world = world(seed, faults, with_changes(changes, ends));
        world.run();
        assert_eq!(world.changes, SERIES * changes, "seed {seed}: changes of the holder");
        assert!(world.checker.starts > 100, "seed {seed}: too few starts");
        found.extend(world.findings().iter().map(|finding| format!("seed {seed}: {finding}")));
    }
    assert!(found.is_empty(), "{} found: {found:#?}", found.len());
}

cases! {
    no_task_runs_twice_while_holders_are_stopped_in_turn =>
        check(world::Faults::default(), 3, &[plan::HolderEnd::Stopped]),
    no_task_runs_twice_while_holders_are_killed_in_turn =>
        check(world::Faults::default(), 3, &[plan::HolderEnd::Killed]),
    no_task_runs_twice_while_holders_are_restarted_in_turn =>
        check(world::Faults::default(), 3, &[plan::HolderEnd::Restarted]),
    no_task_runs_twice_while_holders_change_often => check(
        world::Faults::default(),
        8,
        &[plan::HolderEnd::Stopped, plan::HolderEnd::Killed, plan::HolderEnd::Restarted],
    ),
    no_task_runs_twice_while_holders_change_and_writes_and_orders_are_late => check(
        world::Faults {
            late_starts: 50,
            lost_answers: 50,
            lost_txns: 40,
            late_txns: 40,
            refused_probes: 200,
            restarts: 6,
            ..world::Faults::default()
        },
        4,
        &[plan::HolderEnd::Stopped, plan::HolderEnd::Killed, plan::HolderEnd::Restarted],
    ),
}
