//! Tasks that crash each worker that starts them, in virtual time.
//!
//! Seen: two tasks were started some 30 times each; every worker that started one was down 10 ms later, with all that
//! ran there, and came back as another incarnation after 2 s. The holder freed what had been there and put it up
//! again at once, since only ends that a worker tells counted as attempts, and a worker that crashes tells
//! none. That was proved by these worlds: without any change of the holder, without lost or late orders, tasks are
//! started without end.

use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::world;

/// How many worlds are drawn for each kind of trouble.
const SEEDS: u64 = 40;

/// Runs worlds in which one job in five has such a task, and judges each.
fn judge(faults: world::Faults) {
    let mut crashed = 0;
    for seed in 0..SEEDS {
        let faults = world::Faults { culprits: 200, ..faults };
        let mut world = world::World::new(seed, faults, 3, 12, 30);
        world.run();
        let breaches: Vec<String> = world.judge.breaches.iter().map(ToString::to_string).collect();
        assert!(breaches.is_empty(), "seed {seed}: {breaches:?}");
        let left = world.unfinished();
        assert!(left.is_empty(), "seed {seed}: {left:?}");
        let wronged = world.wronged();
        assert!(wronged.is_empty(), "seed {seed}: given up though they can be done: {wronged:?}");
        crashed += world.judge.crashed_workers();
    }
    assert!(crashed > 200, "only {crashed} workers crashed");
}

cases! {
    workers_crash_under_tasks => judge(world::Faults::default()),
    workers_crash_under_tasks_and_for_other_causes => judge(world::Faults {
        crashes: 6,
        cuts: 3,
        unlisted: 2,
        ..world::Faults::default()
    }),
    workers_crash_under_tasks_while_holders_change => judge(world::Faults {
        kills: 4,
        freezes: 1,
        removals: 2,
        ..world::Faults::default()
    }),
    workers_crash_under_tasks_whose_starts_are_late => judge(world::Faults {
        late_starts: 100,
        lost_answers: 100,
        ..world::Faults::default()
    }),
    workers_crash_under_tasks_while_the_store_is_away => judge(world::Faults {
        outages: 3,
        lost_txns: 40,
        late_txns: 40,
        ..world::Faults::default()
    }),
    workers_crash_under_tasks_beside_everything => judge(world::Faults {
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
