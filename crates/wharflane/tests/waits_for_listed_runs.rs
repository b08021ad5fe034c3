//! Waits for tasks whose worker listed the run and crashed for good.
//!
//! Guards against tasks that wait for the longest lease though their worker had listed them after
//! all their orders were over, and is out of the list: no call that is in time can have reached a
//! next incarnation.

mod silent_worker;
mod sim;

use std::time;

use wharflane::job;
use wharflane_stand_in::cases;

/// How long after the crash the entry of the worker goes, in milliseconds.
const ENTRY_GONE_MS: u64 = 2_200;

/// Returns how long after its worker crashed for good a task is started elsewhere, which the worker
/// has listed for this long. Its first order has no answer, while the worker answers heartbeats; the
/// second one is taken.
fn started_after_crash(listed_ms: u64, first: job::StartAnswer) -> time::Duration {
    let mut domain = silent_worker::Domain::new();
    domain.sim.start_answers.push_back(first);
    domain.submit();
    domain.sim.advance(listed_ms, false);
    let worker = domain.sim.worker_of(silent_worker::task());
    domain.ordered = domain.sim.now;
    domain.sim.silent_workers.insert(worker.clone());
    domain.sim.advance(ENTRY_GONE_MS, false);
    domain.sim.handle(job::Event::Member(worker.worker.clone(), None));
    domain.started_again_after(&worker)
}

/// Checks that a listed run waits for the list's bound alone, whatever its first order's answer was.
fn check(listed_ms: u64) {
    let after = started_after_crash(listed_ms, job::StartAnswer::Silent);
    let gone = time::Duration::from_millis(ENTRY_GONE_MS) + time::Duration::from_secs(3);
    let most = gone + silent_worker::MAX_EXCESS;
    assert!(after <= most, "started again only after {after:?}");
}

cases! {
    a_run_listed_for_4_s_after_a_lost_answer_waits_for_the_list_alone => check(4_000),
    a_run_listed_for_8_s_after_a_lost_answer_waits_for_the_list_alone => check(8_000),
}
