//! The retry delays of callers whose calls could not be served.

use std::time;

use rand::{RngExt as _, SeedableRng as _};
use wharflane::job::retry_after;
use wharflane_stand_in::cases;

/// How many callers are refused in each case.
const CALLERS: u64 = 1_000;
/// The time left of a caller with no close deadline.
const LONG_DEADLINE: time::Duration = time::Duration::from_secs(60);
/// The causes that affect all callers at once.
const SHARED: [retry_after::Cause; 2] =
    [retry_after::Cause::StoreSilent, retry_after::Cause::StoreBusy];
/// The causes that affect one host or one call.
const INDIVIDUAL: [retry_after::Cause; 3] = [
    retry_after::Cause::NoConfiguration,
    retry_after::Cause::InDoubt,
    retry_after::Cause::NotKnown,
];

/// Returns how many callers get a retry delay of one second, two seconds and so on, if an outage
/// has lasted for `lasted_ms`.
fn retry_counts(cause: retry_after::Cause, lasted_ms: u64, left: time::Duration) -> Vec<u64> {
    let lasted = time::Duration::from_millis(lasted_ms);
    let mut random = rand::rngs::StdRng::seed_from_u64(lasted_ms);
    let mut counts = Vec::new();
    for _ in 0..CALLERS {
        let after = retry_after::of(cause, lasted, left, random.random());
        assert_eq!(after.subsec_nanos(), 0, "whole seconds");
        assert!((retry_after::MIN_DELAY..=retry_after::MAX_DELAY).contains(&after), "{after:?}");
        let at = usize::try_from(after.as_secs() - 1).expect("fits into usize");
        counts.resize(counts.len().max(at + 1), 0);
        counts[at] += 1;
    }
    counts
}

/// Checks that callers are spread over `secs` seconds, and that the part on each second differs
/// from an equal part by at most a tenth of all callers.
fn check_spread(cause: retry_after::Cause, lasted_ms: u64, secs: u64) {
    let counts = retry_counts(cause, lasted_ms, LONG_DEADLINE);
    assert_eq!(counts.len() as u64, secs, "{cause:?} after {lasted_ms} ms: {counts:?}");
    let share = CALLERS / secs;
    let even = counts.iter().all(|count| count.abs_diff(share) <= CALLERS / 10);
    assert!(even, "{cause:?} after {lasted_ms} ms: {counts:?}");
}

cases! {
    callers_of_a_silent_store_are_spread_as_the_outage_grows => {
        for (lasted_ms, secs) in [(1_200, 1), (1_999, 1), (2_000, 2), (3_999, 2), (4_000, 3), (3_600_000, 3)] {
            check_spread(retry_after::Cause::StoreSilent, lasted_ms, secs);
        }
    },
    callers_of_a_busy_store_are_spread_from_the_start => {
        for (lasted_ms, secs) in [(0, 2), (3_999, 2), (4_000, 3), (3_600_000, 3)] {
            check_spread(retry_after::Cause::StoreBusy, lasted_ms, secs);
        }
    },
    the_retry_time_never_shrinks_while_an_outage_lasts => {
        for cause in SHARED {
            let longest = |lasted_ms| retry_counts(cause, lasted_ms, LONG_DEADLINE).len();
            let longest: Vec<usize> = (0..100).map(|at| longest(at * 100)).collect();
            assert!(longest.is_sorted(), "{longest:?}");
        }
    },
    causes_of_one_host_or_one_call_get_the_shortest_retry_time => {
        for cause in INDIVIDUAL {
            for lasted_ms in [0, 1_200, 10_000, u64::MAX] {
                assert_eq!(retry_counts(cause, lasted_ms, LONG_DEADLINE), [CALLERS]);
            }
        }
    },
    no_retry_time_exceeds_the_time_left_except_the_shortest => {
        for cause in SHARED {
            for (left_ms, secs) in [(0, 1), (999, 1), (1_999, 1), (2_950, 2), (3_000, 3), (9_000, 3)] {
                let left = time::Duration::from_millis(left_ms);
                assert_eq!(retry_counts(cause, 60_000, left).len(), secs, "{cause:?} with {left_ms} ms left");
            }
        }
    },
    any_outage_and_any_random_number_stay_within_the_bounds => {
        for cause in SHARED.into_iter().chain(INDIVIDUAL) {
            for draw in [0, 1, u64::MAX - 1, u64::MAX] {
                let after = retry_after::of(cause, time::Duration::MAX, time::Duration::MAX, draw);
                assert!((retry_after::MIN_DELAY..=retry_after::MAX_DELAY).contains(&after), "{after:?}");
            }
        }
    },
}
