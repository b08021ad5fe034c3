//! Workers that start again under the id that they had, in virtual time.
//!
//! Seen: 17 of 48 workers restarted within half a second. From then on tasks that had come to their end were started
//! again and again, on one worker after the other. A new incarnation numbers its ends from one, and its first ends bear numbers
//! that the holder had heard from the incarnation before: they were dropped. All that is known of a worker is kept under its incarnation since.

use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::world;

/// How many worlds are drawn for each kind of trouble.
const SEEDS: u64 = 40;

/// Runs worlds of many seeds and judges each.
fn judge(faults: world::Faults) {
    judge_sized(faults, 6, 30);
}

/// Runs worlds with so many workers and jobs and judges each.
fn judge_sized(faults: world::Faults, workers: usize, jobs: usize) {
    let mut found = Vec::new();
    for seed in 0..SEEDS {
        let mut world = world::World::new(seed, faults, 3, workers, jobs);
        world.run();
        found.extend(world.findings().iter().map(|finding| format!("seed {seed}: {finding}")));
        if world.open_ends() > 0 {
            found.push(format!("seed {seed}: ends that nobody acknowledged"));
        }
        assert!(world.judge.starts > 30, "seed {seed}: too little happened");
    }
    assert!(found.is_empty(), "{} found: {found:#?}", found.len());
}

cases! {
    workers_restart_under_their_id => judge(world::Faults { restarts: 6, ..world::Faults::default() }),
    workers_restart_in_a_storm_under_their_id => judge_sized(
        world::Faults { restarts: 60, ..world::Faults::default() },
        24,
        60,
    ),
    workers_restart_while_holders_change => judge(world::Faults {
        restarts: 8,
        kills: 4,
        removals: 2,
        freezes: 1,
        suspends: 1,
        refused_probes: 200,
        ..world::Faults::default()
    }),
    workers_restart_while_orders_are_late => judge(world::Faults {
        restarts: 8,
        late_starts: 100,
        lost_stops: 50,
        ..world::Faults::default()
    }),
    workers_restart_while_answers_are_lost_or_slow => judge(world::Faults {
        restarts: 8,
        lost_answers: 100,
        slow_answers: 300,
        ..world::Faults::default()
    }),
    workers_restart_while_the_store_is_away => judge(world::Faults {
        restarts: 12,
        outages: 3,
        lost_txns: 40,
        late_txns: 40,
        ..world::Faults::default()
    }),
    workers_restart_after_each_kind_of_loss => judge(world::Faults {
        restarts: 3,
        same_id: 700,
        crashes: 4,
        unlisted: 3,
        cuts: 3,
        sick: 1,
        ..world::Faults::default()
    }),
    workers_restart_beside_everything => judge(world::Faults {
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
        sick: 1,
        unlisted: 2,
        ..world::Faults::default()
    }),
    tasks_crash_workers_that_restart_under_their_id => judge_sized(
        world::Faults { culprits: 200, same_id: 1_000, ..world::Faults::default() },
        24,
        60,
    ),
}
