//! Runs that a worker lists and that its holder didn't place there.
//!
//! Guards against tasks that run at two places at once. An order of the holder before was on its way
//! when the lease changed hands; the worker didn't list the run, restarted, and its next incarnation
//! carried the order out. The holder saw the run in the list and had it stopped, but it started the
//! task elsewhere meanwhile.

mod silent_worker;
mod sim;

use std::time;

use wharflane::{id, job};
use wharflane_stand_in::cases;

/// How long the worker is silent after it has listed the run, in milliseconds.
const SILENT_MS: u64 = 400;
/// How soon a task is started once its worker lists the run no longer.
const START: time::Duration = time::Duration::from_millis(500);

/// Sets whether the worker that stays idle at first is leaving.
fn set_leaving(domain: &mut silent_worker::Domain, leaving: bool) -> job::Member {
    let member = job::Member { leaving, ..silent_worker::old_member(1) };
    let id = member.incarnation.worker.clone();
    domain.sim.handle(job::Event::Member(id, Some(member.clone())));
    member
}

/// Returns a domain whose task has no worker, and the incarnation that lists a run of it by an order
/// of the holder before, with that order. Its worker is silent now, and another one is idle.
fn listed_by_the_next_incarnation() -> (silent_worker::Domain, id::Incarnation, job::Order) {
    let mut domain = silent_worker::Domain::new();
    let other = set_leaving(&mut domain, true);
    domain.submit();
    let order = domain.tick_until_ordered();
    domain.sim.pending.clear();
    domain.change_holder_among(vec![silent_worker::old_member(0), other]);
    domain.sim.advance(200, false);
    let again = domain.sim.newest_order(silent_worker::task());
    assert_eq!((again.run, &again.worker), (2, &order.worker), "it is ordered there again");
    domain.sim.pending.clear();
    let next = domain.sim.restart(0);
    let listed = silent_worker::running(&next, &order, domain.sim.now);
    domain.sim.answer_heartbeat(&next, listed);
    set_leaving(&mut domain, false);
    domain.ordered = domain.sim.now;
    domain.sim.silent_workers.insert(next.clone());
    (domain, next, order)
}

cases! {
    a_task_is_not_started_while_another_run_of_it_is_being_stopped => {
        let (mut domain, next, _) = listed_by_the_next_incarnation();
        domain.sim.advance(SILENT_MS, false);
        assert!(!domain.sim.stops.is_empty(), "the run is stopped");
        assert!(!domain.sim.has_started(silent_worker::task()), "it may still run");
        domain.sim.silent_workers.clear();
        let heard = domain.sim.now;
        while !domain.sim.has_started(silent_worker::task()) {
            domain.sim.advance(20, false);
        }
        let after = domain.sim.now - heard;
        assert!(after <= START, "{after:?} after {next} listed it no longer");
    },
    // An idle worker is asked every 4 s otherwise.
    a_task_waits_for_a_run_that_was_stopped_no_longer_than_needed => {
        let (mut domain, next, order) = listed_by_the_next_incarnation();
        domain.sim.silent_workers.clear();
        let listed = silent_worker::running(&next, &order, domain.sim.now);
        domain.sim.answer_heartbeat(&next, listed);
        while !domain.sim.has_started(silent_worker::task()) {
            domain.sim.advance(20, false);
        }
        let after = domain.sim.now - domain.ordered;
        assert!(after <= START, "started only after {after:?}");
    },
    // Otherwise a task would wait for ever for a worker that never answers again.
    a_run_that_was_not_placed_counts_until_its_lease_is_over => {
        let (mut domain, next, _) = listed_by_the_next_incarnation();
        let after = domain.moved_after(silent_worker::task(), &next);
        let longest = silent_worker::LONGEST_LEASE;
        assert!(after >= longest, "started after {after:?}");
        assert!(after <= longest + silent_worker::MAX_EXCESS, "started only after {after:?}");
    },
    // The list of an idle worker that has left the store's list is all that tells of the run.
    a_run_that_was_not_placed_counts_though_its_worker_has_left_the_list => {
        let (mut domain, next, _) = listed_by_the_next_incarnation();
        domain.sim.handle(job::Event::Member(next.worker.clone(), None));
        let after = domain.moved_after(silent_worker::task(), &next);
        let longest = silent_worker::LONGEST_LEASE;
        assert!(after >= longest, "started after {after:?}");
        assert!(after <= longest + silent_worker::MAX_EXCESS, "started only after {after:?}");
    },
}
