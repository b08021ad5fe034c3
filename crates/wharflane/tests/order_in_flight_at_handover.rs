//! Orders of an earlier holder that are on their way while the next one asks the worker.
//!
//! Guards against tasks that run at two places at once. The addressed incarnation answers the next
//! holder without the run, then restarts, and its next incarnation takes the order in time. That the
//! addressed one, which has seen the new fence, can't begin the run any more says nothing about the
//! next one, which has seen none.

mod restarted_worker;
mod silent_worker;
mod sim;

use std::time;

use restarted_worker::{End, Entry, Script};
use wharflane_stand_in::cases;

/// When the holder ends, in milliseconds after the first order, which is on its way for 300 ms.
const ENDS: [&[(u64, End)]; 3] =
    [&[(20, End::Released)], &[(60, End::Released)], &[(120, End::Released)]];
/// When the worker says that it leaves, in milliseconds after the first order.
const LEAVES_MS: u64 = 20;

/// Checks that the task runs on one worker at a time if the worker is cut off this long after its
/// next incarnation took the order, or never.
fn check(cut_after_ms: u64) {
    let mut failures = Vec::new();
    for longest in [time::Duration::from_secs(6), silent_worker::LONGEST_LEASE] {
        for ends in ENDS {
            let script = Script {
                longest,
                answered: false,
                cut_after_ms,
                answers_only: false,
                cut_ends_ms: None,
                entry: Entry::Leaves(LEAVES_MS),
                ends,
            };
            let outcome = restarted_worker::play(script);
            if !outcome.twice.is_zero() {
                failures.push(format!("{outcome:?} after {script:?}"));
            }
        }
    }
    assert!(failures.is_empty(), "{} of 6 scripts: {}", failures.len(), failures.join("\n"));
}

cases! {
    an_order_in_flight_at_a_release_never_runs_twice_on_a_worker_that_is_cut_off => check(0),
    an_order_in_flight_at_a_release_never_runs_twice_on_a_worker_in_reach => check(60_000),
}
