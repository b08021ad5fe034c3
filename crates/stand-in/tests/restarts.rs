//! Simulates workers that restart under the same id.
//!
//! Guards against dropping the ended runs of a restarted worker. 17 of 48 workers restarted within
//! half a second, and from then on tasks that had ended were started repeatedly, on one worker
//! after the other. A new incarnation numbers its ended runs from one, so its first ended runs had
//! numbers that the holder had already read from the previous incarnation, and were dropped. The
//! holder therefore keeps all state of a worker per incarnation.

use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::world;

/// The number of simulated worlds for each combination of faults.
const SEEDS: u64 = 40;

/// Runs worlds with 6 workers and 30 jobs, and checks each of them.
fn check(faults: world::Faults) {
    check_sized(faults, 6, 30);
}

/// Runs worlds with the given numbers of workers and jobs, and checks each of them.
fn check_sized(faults: world::Faults, workers: usize, jobs: usize) {
    let mut found = Vec::new();
    for seed in 0..SEEDS {
        let mut world = world::World::new(seed, faults, 3, workers, jobs);
        world.run();
        found.extend(world.findings().iter().map(|finding| format!("seed {seed}: {finding}")));
        if world.unacknowledged_ends() > 0 {
            found.push(format!("seed {seed}: ended runs that no holder acknowledged"));
        }
        assert!(world.checker.starts > 30, "seed {seed}: too few starts");
    }
    assert!(found.is_empty(), "{} found: {found:#?}", found.len());
}

cases! {
    workers_restart_under_their_id =>
        check(world::Faults { restarts: 6, ..world::Faults::default() }),
    many_workers_restart_at_once_under_their_id => check_sized(
        world::Faults { restarts: 60, ..world::Faults::default() },
        24,
        60,
    ),
    workers_restart_while_holders_change => check(world::Faults {
        restarts: 8,
        kills: 4,
        removals: 2,
        freezes: 1,
        suspends: 1,
        refused_probes: 200,
        ..world::Faults::default()
    }),
    workers_restart_while_orders_are_late => check(world::Faults {
        restarts: 8,
        late_starts: 100,
        lost_stops: 50,
        ..world::Faults::default()
    }),
    workers_restart_while_answers_are_lost_or_slow => check(world::Faults {
        restarts: 8,
        lost_answers: 100,
        slow_answers: 300,
        ..world::Faults::default()
    }),
    workers_restart_while_the_store_is_down => check(world::Faults {
        restarts: 12,
        outages: 3,
        lost_txns: 40,
        late_txns: 40,
        ..world::Faults::default()
    }),
    workers_restart_after_each_kind_of_loss => check(world::Faults {
        restarts: 3,
        same_id: 700,
        crashes: 4,
        unlisted: 3,
        cuts: 3,
        failing_workers: 1,
        ..world::Faults::default()
    }),
    workers_restart_among_all_other_faults => check(world::Faults {
        restarts: 6,
        same_id: 500,
        late_starts: 50,
        lost_answers: 50,
        slow_answers: 100,
        lost_stops: 50,
        lost_txns: 20,
        late_txns: 20,
        kills: 3,
        freezes: 1,
        removals: 2,
        refused_probes: 200,
        outages: 1,
        crashes: 2,
        cuts: 2,
        failing_workers: 1,
        unlisted: 2,
        ..world::Faults::default()
    }),
    tasks_crash_workers_that_restart_under_their_id => check_sized(
        world::Faults { crashing_tasks: 200, same_id: 1_000, ..world::Faults::default() },
        24,
        60,
    ),
}
