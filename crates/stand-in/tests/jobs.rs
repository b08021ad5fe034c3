//! Simulates the job service under faults: no task runs twice, no job is lost, and every job ends.

use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::{plan, world};

/// The number of simulated worlds for each combination of faults.
const SEEDS: u64 = 40;

/// Runs worlds with 6 workers and 30 jobs, and checks each of them.
fn check(faults: world::Faults) {
    check_sized(faults, 6, 30);
}

/// Runs worlds with few workers (3) and many jobs (60), in which the workers are full.
fn check_full(faults: world::Faults) {
    check_sized(faults, 3, 60);
}

/// Runs worlds with the given numbers of workers and jobs, and checks each of them.
fn check_sized(faults: world::Faults, workers: usize, jobs: usize) {
    check_planned(faults, &plan::Plan::default(), workers, jobs);
}

/// Runs worlds with 6 workers and 30 jobs, in which the store states its time and holders answer
/// claims to their lease, and checks each of them.
fn check_claims(faults: world::Faults) {
    let plan = plan::Plan { lease_claims: true, ..plan::Plan::default() };
    check_planned(faults, &plan, 6, 30);
}

/// Runs worlds with a plan and the given numbers of workers and jobs, and checks each of them.
fn check_planned(faults: world::Faults, plan: &plan::Plan, workers: usize, jobs: usize) {
    for seed in 0..SEEDS {
        let mut world = world::World::planned(seed, faults, plan.clone(), (3, workers, jobs));
        world.run();
        let violations: Vec<String> =
            world.checker.violations.iter().map(ToString::to_string).collect();
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        let unfinished = world.unfinished();
        assert!(unfinished.is_empty(), "seed {seed}: {unfinished:?}");
        assert!(world.overcommitted().is_empty(), "seed {seed}: {:?}", world.overcommitted());
        assert_eq!(
            world.unacknowledged_ends(),
            0,
            "seed {seed}: ended runs that no holder acknowledged"
        );
        assert!(world.checker.checked_counts > 1_000, "seed {seed}: too few counts were checked");
        assert!(world.checker.starts > 30, "seed {seed}: too few starts");
    }
}

cases! {
    no_faults => check(world::Faults::default()),
    late_starts => check(world::Faults { late_starts: 100, ..world::Faults::default() }),
    lost_answers => check(world::Faults { lost_answers: 100, ..world::Faults::default() }),
    // As with saturated links of the hosts: most orders and heartbeats are carried out, but their
    // answers arrive too late.
    most_answers_lost => check(world::Faults { lost_answers: 700, ..world::Faults::default() }),
    most_answers_lost_while_holders_change => check(world::Faults {
        lost_answers: 700,
        late_starts: 100,
        lost_stops: 50,
        lost_txns: 40,
        kills: 3,
        removals: 2,
        ..world::Faults::default()
    }),
    lost_and_late_writes => check(world::Faults {
        lost_txns: 40,
        late_txns: 40,
        ..world::Faults::default()
    }),
    holders_killed => check(world::Faults { kills: 5, ..world::Faults::default() }),
    holders_frozen => check(world::Faults { freezes: 3, ..world::Faults::default() }),
    probes_refused_by_living_holders => check(world::Faults {
        refused_probes: 1_000,
        cuts: 3,
        lost_answers: 50,
        ..world::Faults::default()
    }),
    holders_suspended => check(world::Faults { suspends: 3, ..world::Faults::default() }),
    holders_suspended_while_workers_are_unreachable_and_starts_late => check(world::Faults {
        suspends: 3,
        cuts: 3,
        late_starts: 100,
        lost_answers: 50,
        ..world::Faults::default()
    }),
    // These workers accept every start, so only the holder prevents them from being overcommitted.
    capacity_shrinks => check_full(world::Faults { shrinks: 8, ..world::Faults::default() }),
    capacity_shrinks_while_holders_change_and_starts_are_late => check_full(world::Faults {
        shrinks: 8,
        kills: 3,
        freezes: 1,
        late_starts: 100,
        lost_answers: 100,
        cuts: 2,
        ..world::Faults::default()
    }),
    halls_closed => check(world::Faults { closings: 4, ..world::Faults::default() }),
    halls_closed_while_holders_change => check(world::Faults {
        closings: 5,
        kills: 4,
        removals: 2,
        freezes: 1,
        refused_probes: 200,
        ..world::Faults::default()
    }),
    halls_closed_while_starts_are_late_and_the_store_fails => check(world::Faults {
        closings: 5,
        late_starts: 100,
        lost_answers: 100,
        lost_txns: 40,
        late_txns: 40,
        outages: 2,
        suspends: 2,
        cuts: 2,
        ..world::Faults::default()
    }),
    store_down => check(world::Faults { outages: 2, ..world::Faults::default() }),
    // The holder's process goes on and reaches the workers, while other hosts reach the store.
    holders_cut_from_the_store => check_claims(world::Faults { store_cuts: 3, ..world::Faults::default() }),
    holders_cut_from_the_store_while_writes_are_late_and_workers_unreachable => check_claims(world::Faults {
        store_cuts: 4,
        late_txns: 40,
        lost_txns: 40,
        late_starts: 100,
        lost_answers: 50,
        cuts: 3,
        suspends: 1,
        ..world::Faults::default()
    }),
    holders_killed_and_cut_from_the_store => check_claims(world::Faults {
        kills: 4,
        store_cuts: 2,
        refused_probes: 200,
        lost_answers: 50,
        ..world::Faults::default()
    }),
    holders_suspended_and_cut_from_a_store_that_fails => check_claims(world::Faults {
        suspends: 2,
        store_cuts: 2,
        outages: 2,
        late_txns: 40,
        late_starts: 50,
        ..world::Faults::default()
    }),
    lost_stops => check(world::Faults { lost_stops: 200, ..world::Faults::default() }),
    holders_removed => check(world::Faults { removals: 3, ..world::Faults::default() }),
    holders_removed_while_starts_are_late => check(world::Faults {
        removals: 3,
        late_starts: 100,
        lost_stops: 50,
        ..world::Faults::default()
    }),
    workers_unlisted => check(world::Faults { unlisted: 4, ..world::Faults::default() }),
    workers_unlisted_and_holders_removed => check(world::Faults {
        unlisted: 5,
        removals: 4,
        late_starts: 50,
        ..world::Faults::default()
    }),
    workers_crashed => check(world::Faults { crashes: 4, ..world::Faults::default() }),
    workers_unreachable => check(world::Faults { cuts: 4, ..world::Faults::default() }),
    failing_workers => check(world::Faults { failing_workers: 2, ..world::Faults::default() }),
    everything_at_once => check(world::Faults {
        late_starts: 50,
        lost_answers: 50,
        lost_txns: 20,
        late_txns: 20,
        kills: 3,
        freezes: 1,
        refused_probes: 200,
        outages: 1,
        crashes: 2,
        cuts: 2,
        failing_workers: 1,
        lost_stops: 50,
        removals: 2,
        unlisted: 2,
        suspends: 0,
        store_cuts: 0,
        shrinks: 0,
        closings: 0,
        crashing_tasks: 0,
        late_crashes: 0,
        restarts: 0,
        restarts_then_cut: 0,
        restarts_then_cut_from_all: 0,
        restarts_behind_cuts: 0,
        kills_beside_cuts: 0,
        same_id: 0,
        slow_answers: 0,
    }),
}
