//! When the lag of a holder is told.

use std::time;

use wharflane_daemon::jobs::lag;
use wharflane_stand_in::cases;

cases! {
    a_short_lag_is_not_told => short(),
    a_long_lag_is_told_once_in_a_while_with_the_longest => long(),
}

/// Returns a time in milliseconds.
fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// Takes ticks a little late.
fn short() {
    let mut lag = lag::Lag::default();
    let told = (0..1_000).filter_map(|at| lag.note(millis(at * 20), millis(at * 20 + 499)));
    assert_eq!(told.count(), 0);
}

/// Takes ticks ever later for 21 s.
fn long() {
    let mut lag = lag::Lag::default();
    let late = |at: u64| millis(at * 20 + 500 + at);
    let told: Vec<_> = (0..=1_000).filter_map(|at| lag.note(millis(at * 20), late(at))).collect();
    // They are taken 21 ms apart: 10 s and 20 s after the first line the 477th and the 954th come.
    assert_eq!(told, [millis(500), millis(977), millis(1_454)]);
}
