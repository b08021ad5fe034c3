//! Next incarnations that are cut off from the store as well as from the hosts.
//!
//! Guards against tasks that run at two places at once. A worker restarted under its id and took a
//! start, and both its way to the hosts and its way to the store were cut, so that its entry went or
//! never came. The holder took the missing entry for the end of the worker and started the task
//! elsewhere before the lease that the next incarnation had granted was over.

mod silent_worker;
mod sim;

use std::time;

use wharflane::{id, job};
use wharflane_stand_in::cases;

/// How long after its decision a call may arrive that is not late.
const CALL_TIME: time::Duration = time::Duration::from_millis(800);
/// How long a run may last beyond its longest lease since the clock of its worker is slow, in
/// thousandths.
const SLOW_CLOCK_MILLI: u32 = 20;
/// The times from an order until the entry of its worker goes, in milliseconds. An entry outlasts
/// three heartbeats of 1.1 s, the last of which may be older than the order.
const ENTRY_GONE_MS: [u64; 4] = [100, 1_000, 2_200, 3_300];

/// Returns the longest leases that workers of the tests grant.
fn longest_leases() -> [time::Duration; 2] {
    [time::Duration::from_secs(6), silent_worker::LONGEST_LEASE]
}

/// What becomes of the holder after the order.
#[derive(Clone, Copy, Debug)]
enum Holder {
    /// It stays.
    Stays,
    /// It is killed before the entry goes; the next one's list lacks the worker from the first.
    DiesBefore,
    /// It is killed just after the entry has gone.
    DiesAfter,
}

/// Checks that a task whose start may be with a next incarnation isn't started elsewhere while a run
/// there may last.
fn check(answer: job::StartAnswer, holder: Holder) {
    let mut early = Vec::new();
    for longest in longest_leases() {
        for gone_ms in ENTRY_GONE_MS {
            let mut domain = silent_worker::Domain::with_longest_lease(longest);
            let worker = domain.start(answer);
            domain.sim.advance(gone_ms, false);
            if !matches!(holder, Holder::DiesBefore) {
                domain.sim.handle(job::Event::Member(worker.worker.clone(), None));
                domain.sim.advance(100, false);
            }
            if !matches!(holder, Holder::Stays) {
                domain.change_holder_among(others_of(&worker));
            }
            let after = domain.started_again_after(&worker);
            let may_last = CALL_TIME + longest + longest * SLOW_CLOCK_MILLI / 1_000;
            if after <= may_last {
                early.push(format!(
                    "lease {longest:?}, entry gone after {gone_ms} ms: again after {after:?}"
                ));
            }
        }
    }
    assert!(early.is_empty(), "{} started too early: {early:#?}", early.len());
}

/// Returns the entries of all workers but one.
fn others_of(worker: &id::Incarnation) -> Vec<job::Member> {
    vec![silent_worker::old_member(1 - silent_worker::number_of(worker))]
}

/// The answer of an incarnation that has just begun.
const TAKEN_BY_THE_NEXT: job::StartAnswer =
    job::StartAnswer::Taken { clock_ms: Some(silent_worker::YOUNG_CLOCK_MS) };

cases! {
    a_start_without_an_answer_outlasts_the_entry_of_its_worker => {
        check(job::StartAnswer::Silent, Holder::Stays);
    },
    a_start_that_the_next_incarnation_took_outlasts_the_entry_of_its_worker => {
        check(TAKEN_BY_THE_NEXT, Holder::Stays);
    },
    a_start_without_an_answer_outlasts_a_holder_and_the_entry_of_its_worker => {
        check(job::StartAnswer::Silent, Holder::DiesBefore);
    },
    a_start_that_the_next_incarnation_took_outlasts_a_holder_and_the_entry_of_its_worker => {
        check(TAKEN_BY_THE_NEXT, Holder::DiesBefore);
    },
    a_start_without_an_answer_outlasts_the_entry_of_its_worker_and_a_holder => {
        check(job::StartAnswer::Silent, Holder::DiesAfter);
    },
    a_start_that_the_next_incarnation_took_outlasts_the_entry_of_its_worker_and_a_holder => {
        check(TAKEN_BY_THE_NEXT, Holder::DiesAfter);
    },
}
