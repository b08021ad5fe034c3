//! Simulates workers that restart under the same id and are cut off before any host learns of it.
//!
//! Guards against tasks that run twice at once. An order names a worker by its id, so the next
//! incarnation takes what was meant for the previous one. Its clock begins again at zero, so the
//! end of the lease, by the clock of the previous incarnation, lies far ahead, and it grants the
//! longest lease from when the order came. A holder that never hears of the restart expects the
//! shorter lease that it requested, and starts the task elsewhere while the first run goes on.
//!
//! A worker that is cut off from the store as well writes no entry. The entry of the previous
//! incarnation lapses, and that of the next one comes after the cut. A holder that takes a worker
//! without an entry for one that is gone starts its tasks elsewhere while they run.

use std::time;

use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::{plan, world};

/// The number of simulated worlds for each combination of faults.
const SEEDS: u64 = 40;
/// The size of a world: its hosts, workers and jobs.
const SIZE: (usize, usize, usize) = (3, 10, 40);
/// How long batch tasks work, in milliseconds: long enough that a run outlasts a lease.
const WORK_MS: std::ops::Range<u64> = 4_000..9_000;
/// The end of a world; its faults have been over for more than a minute.
const END: time::Duration = time::Duration::from_secs(110);

/// Returns the plan of worlds whose workers grant leases of this many seconds at most.
fn plan(longest_lease_s: u64) -> plan::Plan {
    plan::Plan {
        end: END,
        longest_lease: time::Duration::from_secs(longest_lease_s),
        clocks_begin_at_birth: true,
        work_ms: Some(WORK_MS),
        ..plan::Plan::default()
    }
}

/// Runs worlds whose workers grant leases of this many seconds at most, and checks each of them.
fn check(longest_lease_s: u64, faults: world::Faults) {
    run(&plan(longest_lease_s), faults);
}

/// Checks worlds as `check` does, and that entries of workers that live have lapsed in them.
fn check_with_lapses(longest_lease_s: u64, faults: world::Faults) {
    let lapsed = run(&plan(longest_lease_s), faults);
    assert!(lapsed > SEEDS, "too few entries of workers that live have lapsed: {lapsed}");
}

/// Checks worlds as `check_with_lapses` does; late starts are also carried out behind a cut.
fn check_with_starts_behind_cuts(longest_lease_s: u64, faults: world::Faults) {
    let plan = plan::Plan { late_starts_pass_cuts: true, ..plan(longest_lease_s) };
    let lapsed = run(&plan, faults);
    assert!(lapsed > SEEDS, "too few entries of workers that live have lapsed: {lapsed}");
}

/// Runs the worlds of a plan, checks each of them, and returns how many entries of workers that live
/// have lapsed in all.
fn run(plan: &plan::Plan, faults: world::Faults) -> u64 {
    let (mut found, mut lapsed) = (Vec::new(), 0);
    for seed in 0..SEEDS {
        let mut world = world::World::planned(seed, faults, plan.clone(), SIZE);
        world.run();
        lapsed += u64::from(world.living_unlisted);
        found.extend(world.findings().iter().map(|finding| format!("seed {seed}: {finding}")));
        if world.unacknowledged_ends() > 0 {
            found.push(format!("seed {seed}: ended runs that no holder acknowledged"));
        }
        assert!(world.checker.starts > 30, "seed {seed}: too few starts");
    }
    assert!(found.is_empty(), "{} found: {found:#?}", found.len());
    lapsed
}

/// Returns faults with workers that restart and are cut off.
fn with_cuts(faults: world::Faults) -> world::Faults {
    world::Faults { restarts_then_cut: 12, ..faults }
}

/// Returns the faults of a world in which the holder is often killed beside such a cut.
fn with_kills() -> world::Faults {
    with_cuts(kills())
}

/// Returns faults with workers that restart and are cut off from the hosts and the store.
fn with_cuts_from_all(faults: world::Faults) -> world::Faults {
    world::Faults { restarts_then_cut_from_all: 12, ..faults }
}

/// Returns faults with workers that restart while they are cut off from the hosts and the store.
fn with_restarts_behind_cuts(faults: world::Faults) -> world::Faults {
    world::Faults { restarts_behind_cuts: 12, ..faults }
}

/// Returns faults that often kill the holder beside a cut.
fn kills() -> world::Faults {
    world::Faults { kills_beside_cuts: 500, ..world::Faults::default() }
}

/// Returns faults that carry starts out late.
fn late_starts() -> world::Faults {
    world::Faults { late_starts: 100, ..world::Faults::default() }
}

/// Returns every kind of fault, except that no start is carried out late, with both kinds of cuts
/// from the hosts and the store.
fn all_but_late_starts_with_cuts_from_all() -> world::Faults {
    world::Faults {
        restarts_then_cut: 0,
        // Hosts may be told that the entry is gone while a later incarnation has one.
        unlisted: 0,
        restarts_then_cut_from_all: 6,
        restarts_behind_cuts: 6,
        kills_beside_cuts: 250,
        ..with_all_but_late_starts()
    }
}

/// Returns the faults of a world in which starts are carried out late.
fn with_late_starts() -> world::Faults {
    with_cuts(late_starts())
}

/// Returns the faults of a world with every kind of fault.
fn with_all_faults() -> world::Faults {
    world::Faults { late_starts: 50, ..with_all_but_late_starts() }
}

/// Returns the faults of a world with every kind of fault, except that no start is carried out late.
fn with_all_but_late_starts() -> world::Faults {
    with_cuts(world::Faults {
        restarts: 6,
        same_id: 500,
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
    })
}

cases! {
    restarted_workers_are_cut_off_under_leases_of_6_s =>
        check(6, with_cuts(world::Faults::default())),
    restarted_workers_are_cut_off_under_leases_of_10_s =>
        check(10, with_cuts(world::Faults::default())),
    restarted_workers_are_cut_off_while_holders_are_killed_under_leases_of_6_s =>
        check(6, with_kills()),
    restarted_workers_are_cut_off_while_holders_are_killed_under_leases_of_10_s =>
        check(10, with_kills()),
    restarted_workers_are_cut_off_while_starts_are_late_under_leases_of_6_s =>
        check(6, with_late_starts()),
    restarted_workers_are_cut_off_while_starts_are_late_under_leases_of_10_s =>
        check(10, with_late_starts()),
    restarted_workers_are_cut_off_among_all_faults_but_late_starts_under_leases_of_6_s =>
        check(6, with_all_but_late_starts()),
    restarted_workers_are_cut_off_among_all_faults_but_late_starts_under_leases_of_10_s =>
        check(10, with_all_but_late_starts()),
    restarted_workers_are_cut_off_among_all_other_faults_under_leases_of_6_s =>
        check(6, with_all_faults()),
    restarted_workers_are_cut_off_among_all_other_faults_under_leases_of_10_s =>
        check(10, with_all_faults()),
    workers_are_cut_off_from_all_after_a_restart_under_leases_of_6_s =>
        check_with_lapses(6, with_cuts_from_all(world::Faults::default())),
    workers_are_cut_off_from_all_after_a_restart_under_leases_of_10_s =>
        check_with_lapses(10, with_cuts_from_all(world::Faults::default())),
    workers_are_cut_off_from_all_after_a_restart_while_holders_are_killed_under_leases_of_6_s =>
        check_with_lapses(6, with_cuts_from_all(kills())),
    workers_are_cut_off_from_all_after_a_restart_while_holders_are_killed_under_leases_of_10_s =>
        check_with_lapses(10, with_cuts_from_all(kills())),
    workers_are_cut_off_from_all_after_a_restart_while_starts_are_late_under_leases_of_6_s =>
        check_with_starts_behind_cuts(6, with_cuts_from_all(late_starts())),
    workers_are_cut_off_from_all_after_a_restart_while_starts_are_late_under_leases_of_10_s =>
        check_with_starts_behind_cuts(10, with_cuts_from_all(late_starts())),
    workers_restart_behind_a_cut_from_all_under_leases_of_6_s =>
        check_with_lapses(6, with_restarts_behind_cuts(world::Faults::default())),
    workers_restart_behind_a_cut_from_all_under_leases_of_10_s =>
        check_with_lapses(10, with_restarts_behind_cuts(world::Faults::default())),
    workers_restart_behind_a_cut_from_all_while_holders_are_killed_under_leases_of_6_s =>
        check_with_lapses(6, with_restarts_behind_cuts(kills())),
    workers_restart_behind_a_cut_from_all_while_holders_are_killed_under_leases_of_10_s =>
        check_with_lapses(10, with_restarts_behind_cuts(kills())),
    workers_restart_behind_a_cut_from_all_while_starts_are_late_under_leases_of_6_s =>
        check_with_starts_behind_cuts(6, with_restarts_behind_cuts(late_starts())),
    workers_restart_behind_a_cut_from_all_while_starts_are_late_under_leases_of_10_s =>
        check_with_starts_behind_cuts(10, with_restarts_behind_cuts(late_starts())),
    workers_are_cut_off_from_all_among_all_faults_but_late_starts_under_leases_of_6_s =>
        check_with_lapses(6, all_but_late_starts_with_cuts_from_all()),
    workers_are_cut_off_from_all_among_all_faults_but_late_starts_under_leases_of_10_s =>
        check_with_lapses(10, all_but_late_starts_with_cuts_from_all()),
}
