//! Simulates configurations that lose, change and regain queues with jobs under way, beside changes of
//! the holder and starts of all hosts at once.
//!
//! Guards against jobs that are run by other rules than those of their queue while no configuration
//! has it: that fail before their attempts are up, get more of them, or start without a ticket.

use std::ops;
use std::time;

use wharflane::{job, size};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::{plan, world};

/// The number of simulated worlds for each test.
const SEEDS: u64 = 15;
/// The numbers of hosts, workers and further jobs.
const SIZES: (usize, usize, usize) = (3, 10, 0);
/// The number of changes of the configuration.
const CHANGES: u32 = 8;

/// Returns a time in whole seconds.
const fn secs(secs: u64) -> time::Duration {
    time::Duration::from_secs(secs)
}

/// Returns a plan whose configuration changes; `further` is by how much the attempts that a queue
/// gives may rise above the least.
fn plan(further: u32, cold_starts_milli: u32, first_read_ms: ops::Range<u64>) -> plan::Plan {
    let queue = |name, least, advised| plan::PlannedQueue {
        name,
        attempts: least..least + further + 1,
        advised,
    };
    let changes = plan::ConfigurationChanges {
        queues: vec![
            queue("patient", 5, false),
            queue("strict", 2, false),
            queue("advised", 4, true),
        ],
        first: secs(4),
        every: secs(5),
        count: CHANGES,
        cold_starts_milli,
        first_read_ms,
    };
    let (configuration, end) = (Some(changes), secs(90));
    plan::Plan { end, lease_claims: true, configuration, ..plan::Plan::default() }
}

/// Builds a world with jobs of two steps and a long-running one in each queue; one job of each is
/// cancelled under way.
fn world(seed: u64, faults: world::Faults, plan: plan::Plan) -> world::World {
    let mut world = world::World::planned(seed, faults, plan, SIZES);
    let size = size::Size { cpu_milli: 300, mem_mb: 100, accelerators: 0 };
    let first = job::Step { count: 2, size, estimate_ms: 1_500, ..job::Step::default() };
    let second = job::Step { after: vec![0], estimate_ms: 700, ..first.clone() };
    let lasting = job::Step { lasting: true, ..first.clone() };
    for queue in ["patient", "strict", "advised"] {
        world.submit_steps_at(secs(1), queue, vec![lasting.clone()]);
        let cancelled = world.submit_steps_at(secs(3), queue, vec![lasting.clone()]);
        world.cancel_at(secs(30), cancelled);
    }
    for number in 0..10 {
        for queue in ["patient", "strict", "advised"] {
            let steps = vec![first.clone(), second.clone()];
            world.submit_steps_at(secs(2 + 4 * number), queue, steps);
        }
    }
    world
}

/// Runs a world for each seed and checks each of them.
fn check(faults: world::Faults, plan: &plan::Plan) {
    let mut found = Vec::new();
    for seed in 0..SEEDS {
        let mut world = world(seed, faults, plan.clone());
        world.run();
        assert!(world.checker.starts > 100, "seed {seed}: too few starts");
        found.extend(world.findings().iter().map(|finding| format!("seed {seed}: {finding}")));
    }
    assert!(found.is_empty(), "{} found: {found:#?}", found.len());
}

cases! {
    jobs_keep_to_their_queues_while_these_come_and_go => check(
        world::Faults::default(),
        &plan::Plan { judged_from: Some(secs(3)), ..plan(0, 0, 1..50) },
    ),
    jobs_keep_to_their_queues_while_attempts_rise_and_fall =>
        check(world::Faults::default(), &plan(2, 0, 1..50)),
    jobs_keep_to_their_queues_while_all_hosts_start_anew =>
        check(world::Faults::default(), &plan(0, 600, 1..50)),
    jobs_keep_to_their_queues_while_hosts_start_and_read_late =>
        check(world::Faults::default(), &plan(2, 600, 500..8_000)),
    jobs_keep_to_their_queues_while_holders_change_and_writes_are_lost => check(
        world::Faults {
            kills: 4,
            freezes: 2,
            store_cuts: 2,
            lost_txns: 30,
            late_txns: 30,
            lost_answers: 30,
            ..world::Faults::default()
        },
        &plan(2, 200, 1..3_000),
    ),
}
