//! Simulates submissions whose write takes effect late, while their callers repeat and cancel them at
//! any host, beside changes of the holder and outages of the store.
//!
//! Guards against jobs that run after their cancel was answered: a cancel that found no row left no
//! trace, and the late write of the submission took effect after it.

use std::time;

use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::{plan, world};

/// The number of simulated worlds for each test.
const SEEDS: u64 = 20;
/// The numbers of hosts, workers and further jobs.
const SIZES: (usize, usize, usize) = (3, 6, 10);
/// The number of doubtful submissions in a world.
const SUBMISSIONS: u32 = 40;

/// Returns a plan in which writes are as late as those of a host that is cut from the store.
fn plan() -> plan::Plan {
    let doubtful = plan::DoubtfulSubmissions {
        first: time::Duration::from_secs(2),
        every: time::Duration::from_millis(500),
        count: SUBMISSIONS,
        late_ms: 1..7_000,
        cancelled_ms: 1..6_000,
        repeated_ms: 1..9_000,
    };
    plan::Plan { doubtful: Some(doubtful), ..plan::Plan::default() }
}

/// Runs a world for each seed and checks each of them.
fn check(faults: world::Faults) {
    let mut found = Vec::new();
    let (mut late_writes, mut early_cancels) = (0, 0);
    for seed in 0..SEEDS {
        let mut world = world::World::planned(seed, faults, plan(), SIZES);
        world.run();
        late_writes += world.late_writes;
        early_cancels += world.early_cancels;
        found.extend(world.findings().iter().map(|finding| format!("seed {seed}: {finding}")));
    }
    assert!(late_writes > SUBMISSIONS && early_cancels > SUBMISSIONS, "too little was in doubt");
    assert!(found.is_empty(), "{} found: {found:#?}", found.len());
}

cases! {
    cancelled_jobs_stay_cancelled_while_writes_are_late => check(world::Faults::default()),
    cancelled_jobs_stay_cancelled_while_holders_change => check(world::Faults {
        kills: 5,
        freezes: 2,
        removals: 1,
        ..world::Faults::default()
    }),
    cancelled_jobs_stay_cancelled_while_the_store_is_away => check(world::Faults {
        outages: 2,
        store_cuts: 3,
        lost_txns: 30,
        late_txns: 30,
        ..world::Faults::default()
    }),
}
