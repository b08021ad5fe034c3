//! Guards the warnings about a holder's lag: none for a short lag, and one per interval for a long
//! one.

use std::time;

use wharflane_daemon::jobs::lag;
use wharflane_stand_in::cases;

cases! {
    a_short_lag_is_not_logged => short_lag(),
    a_long_lag_is_logged_at_intervals_with_the_longest => long_lag(),
}

/// Returns a duration in milliseconds.
fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// Handles ticks 499 ms late, below the threshold.
fn short_lag() {
    let mut lag = lag::Lag::default();
    let warnings = (0..1_000).filter_map(|at| lag.record(millis(499), millis(at * 20 + 499)));
    assert_eq!(warnings.count(), 0);
}

/// Handles ticks with a growing delay for 21 s.
fn long_lag() {
    let mut lag = lag::Lag::default();
    let late = |at: u64| millis(at * 20 + 500 + at);
    let warnings: Vec<_> =
        (0..=1_000).filter_map(|at| lag.record(late(at) - millis(at * 20), late(at))).collect();
    // Ticks are handled 21 ms apart, so the intervals of 10 s and 20 s after the first warning end
    // with the 477th and the 954th tick.
    assert_eq!(warnings, [millis(500), millis(977), millis(1_454)]);
}
