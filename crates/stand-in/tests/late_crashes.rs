//! Simulates tasks that crash their worker sometimes at once and sometimes only after a while.
//!
//! Guards against two opposite faults. When a loss with several suspects was dropped as soon as one
//! of them had run for a second, a crashing task was started six times or more where five are
//! allowed, if it crashed one worker next to tasks that had just started, and the next workers only
//! after a while. When such losses were never dropped, sound jobs failed because they had run next
//! to a crashing task. Here every crashing task draws the moment of its crash at each start.

use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::world;

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

cases! {
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
