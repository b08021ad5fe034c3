//! The learned distribution of run times, against drawn mixtures of usual and long runs.

use std::time;

use proptest::prelude::*;
use wharflane::job;
use wharflane_stand_in::cases;

/// The expected time of every run.
const EXPECTED: time::Duration = time::Duration::from_millis(1_000);
/// The queue of every run.
const QUEUE: &str = "queue";
/// The number of drawn runs.
const RUNS: u32 = 2_000;
/// Greatest error of a ratio that comes from the width of a bin: 9 %, and some for the samples.
const TOLERANCE: f64 = 0.12;

/// Returns a time of a number of milliseconds.
fn ms(ms: f64) -> time::Duration {
    time::Duration::from_secs_f64(ms / 1e3)
}

/// Returns what was learned of runs that take one second give or take `spread`, of which one in
/// `every` takes `tail` times as long.
fn mixture(every: u32, tail: f64, spread: f64) -> job::RunTimes {
    let mut run_times = job::RunTimes::default();
    for run in 0..RUNS {
        let jitter = 1.0 + spread * (f64::from(run * 37 % 101) / 50.0 - 1.0);
        let factor = if run % every == 0 { tail } else { 1.0 };
        run_times.learn(QUEUE, EXPECTED, ms(1e3 * jitter * factor));
    }
    run_times
}

/// Returns the distribution of the only queue.
fn spread(run_times: &job::RunTimes) -> &job::Spread {
    run_times.of(QUEUE).expect("enough runs")
}

/// Asserts that a value is within the tolerance of another.
fn assert_near(value: f64, expected: f64) {
    assert!((value / expected - 1.0).abs() <= TOLERANCE, "{value}, not {expected}");
}

proptest! {
    #[test]
    fn a_fresh_run_takes_the_mean_of_the_mixture(every in 20u32..60, tail in 3.0f64..12.0) {
        let share = 1.0 / f64::from(every);
        assert_near(spread(&mixture(every, tail, 0.1)).fresh(), 1.0 + share * (tail - 1.0));
    }

    #[test]
    fn a_run_past_the_usual_length_is_taken_for_a_long_one(
        every in 20u32..60,
        tail in 4.0f64..12.0,
    ) {
        let run_times = mixture(every, tail, 0.1);
        let learned = spread(&run_times);
        prop_assert!(!learned.fresh_ends_sooner(0.8, 0.05), "not before the usual length");
        prop_assert!(learned.fresh_ends_sooner(1.5, 0.05), "{}", learned.remaining(1.5));
        prop_assert!(!learned.fresh_ends_sooner(tail * 0.95, 0.05), "nearly over");
    }

    #[test]
    fn nothing_is_copied_where_run_times_have_no_tail(spread_of in 0.0f64..0.4) {
        let run_times = mixture(1, 1.0, spread_of);
        for tenths in 0..10 {
            let age = f64::from(tenths) / 10.0 * (1.0 + spread_of);
            prop_assert!(!spread(&run_times).fresh_ends_sooner(age, 0.05), "at {age}");
        }
    }

    #[test]
    fn every_value_is_finite_and_not_negative(
        taken in proptest::collection::vec(0u64..10_000_000, 50..200),
        age in 0.0f64..1e6,
        fraction in -1.0f64..2.0,
    ) {
        let mut run_times = job::RunTimes::default();
        for (at, taken_ms) in taken.iter().enumerate() {
            let taken = time::Duration::from_millis(*taken_ms);
            match at % 4 {
                3 => run_times.learn_unfinished(QUEUE, EXPECTED, taken),
                _ => run_times.learn(QUEUE, time::Duration::ZERO.max(EXPECTED), taken),
            }
        }
        run_times.store_for_next_holder(QUEUE);
        let text = run_times.encode().expect("encoded").expect("a row");
        prop_assert!(text.len() <= 700, "{} bytes", text.len());
        let restored = job::RunTimes::decode(&text).expect("decoded");
        for learned in [run_times.of(QUEUE), restored.of(QUEUE)].into_iter().flatten() {
            let values = [learned.fresh(), learned.remaining(age), learned.quantile(fraction)];
            prop_assert!(values.iter().all(|value| value.is_finite() && *value >= 0.0), "{values:?}");
        }
    }
}

cases! {
    quantiles_tell_the_usual_length_and_the_tail => {
        let run_times = mixture(33, 7.0, 0.0);
        let learned = spread(&run_times);
        assert_near(learned.quantile(0.5), 1.0);
        assert_near(learned.quantile(0.99), 7.0);
    },
    a_run_beyond_all_recorded_ones_is_expected_to_take_as_long_again => {
        let run_times = mixture(33, 7.0, 0.0);
        assert_near(spread(&run_times).remaining(20.0), 20.0);
    },
    runs_that_were_stopped_do_not_shorten_the_tail => {
        let mut stopped = mixture(33, 7.0, 0.0);
        for run in 0..RUNS {
            match run % 33 {
                0 => stopped.learn_unfinished(QUEUE, EXPECTED, ms(1_500.0)),
                _ => stopped.learn(QUEUE, EXPECTED, ms(1_000.0)),
            }
        }
        assert_near(spread(&stopped).fresh(), spread(&mixture(33, 7.0, 0.0)).fresh());
        assert!(spread(&stopped).fresh_ends_sooner(1.5, 0.05));
    },
    a_tail_that_ended_is_forgotten => {
        let mut run_times = mixture(10, 7.0, 0.1);
        (0..5_000).for_each(|_| run_times.learn(QUEUE, EXPECTED, EXPECTED));
        assert_near(spread(&run_times).fresh(), 1.0);
    },
    a_queue_with_few_runs_has_no_distribution => {
        let mut run_times = job::RunTimes::default();
        (0..49).for_each(|_| run_times.learn(QUEUE, EXPECTED, EXPECTED));
        assert!(run_times.of(QUEUE).is_none());
    },
    only_what_a_decision_needs_is_stored => {
        let mut run_times = mixture(33, 7.0, 0.1);
        assert_eq!(run_times.encode().expect("encoded"), None);
        run_times.store_for_next_holder(QUEUE);
        let text = run_times.encode().expect("encoded").expect("a row");
        let restored = job::RunTimes::decode(&text).expect("decoded");
        assert_near(spread(&restored).fresh(), spread(&run_times).fresh());
        assert!(restored.encode().expect("encoded").is_some(), "stored again by the next holder");
    },
    the_row_of_all_queues_is_bounded => {
        let mut run_times = job::RunTimes::default();
        for queue in 0..200 {
            let queue = format!("{queue:0>70}");
            for run in 0..BINS_AT_LEAST {
                let taken = ms(125.0 * 1.09_f64.powi(run));
                (0..10).for_each(|_| run_times.learn(&queue, EXPECTED, taken));
            }
            run_times.store_for_next_holder(&queue);
        }
        let bytes = run_times.encode().expect("encoded").expect("a row").len();
        assert!(bytes < 48 << 10, "{bytes} bytes");
    },
}

/// A number of runs, each 9 % longer than the one before, that fills nearly all bins.
const BINS_AT_LEAST: i32 = 65;
