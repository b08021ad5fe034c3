//! Finds workers on which nothing moves from the answers alone.

use std::time;

use proptest::prelude::*;
use wharflane::job;
use wharflane_stand_in::cases;

/// The time between two answers.
const GAP_MS: u64 = 50;
/// The target of serving runs, in milliseconds.
const TARGET_MS: u64 = 50;
/// The time within which a standstill that all runs show must be found.
const FOUND_WITHIN_MS: u64 = 1_000;

/// What one run of a drawn worker shows.
#[derive(Clone, Copy, Debug)]
enum Run {
    /// A batch run with its time for one percent, in milliseconds.
    Batch(u64),
    /// A serving run with its tail latency while it is well, in milliseconds.
    Serving(u64),
}

/// Returns an observation of a run.
fn observation(index: usize, sign: job::Sign) -> job::Observation {
    let index = u32::try_from(index).expect("few runs");
    let task = job::TaskId { job: job::JobId(1), round: 0, step: 0, index };
    job::Observation { task, run: 1, sign }
}

/// Returns what a run shows at a time, if it moved until `until_ms`.
fn sign(run: Run, now_ms: u64, until_ms: u64) -> job::Sign {
    match run {
        Run::Batch(percent_ms) => job::Sign::Progress {
            percent: now_ms.min(until_ms) / percent_ms,
            expected: time::Duration::from_millis(percent_ms),
        },
        Run::Serving(tail_ms) => job::Sign::Tail {
            tail_ms: if now_ms > until_ms { 20_000 + now_ms } else { tail_ms },
            target_ms: TARGET_MS,
            others_serve: true,
        },
    }
}

/// Passes answers to a detector from `from_ms` to `to_ms`; returns when it first found a
/// standstill.
fn found_at(
    detector: &mut job::StallDetector,
    runs: &[Run],
    (from_ms, to_ms): (u64, u64),
    until_ms: u64,
) -> Option<u64> {
    let mut at = (from_ms..to_ms).step_by(usize::try_from(GAP_MS).expect("small"));
    at.find(|now_ms| {
        let shown = runs.iter().map(|run| sign(*run, *now_ms, until_ms)).enumerate();
        let shown: Vec<job::Observation> =
            shown.map(|(index, sign)| observation(index, sign)).collect();
        detector.observe(&shown, time::Duration::from_millis(*now_ms));
        detector.is_stalled()
    })
}

/// Draws the runs of a worker.
fn runs(count: std::ops::Range<usize>) -> impl Strategy<Value = Vec<Run>> {
    let run = prop_oneof![(5_u64..100).prop_map(Run::Batch), (1_u64..900).prop_map(Run::Serving)];
    prop::collection::vec(run, count)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// A worker whose runs move is never found to stand still, however slow they are for what was
    /// expected, and however late its serving runs answer.
    #[test]
    fn runs_that_move_raise_no_alarm(
        runs in runs(1..8),
        slower in 1_u64..4,
        from_ms in 0_u64..10_000,
    ) {
        let mut detector = job::StallDetector::default();
        let slow: Vec<Run> = runs
            .iter()
            .map(|run| match run {
                Run::Batch(percent_ms) => Run::Batch(percent_ms * slower),
                serving => *serving,
            })
            .collect();
        let found = found_at(&mut detector, &slow, (from_ms, from_ms + 10_000), u64::MAX);
        prop_assert_eq!(found, None);
    }

    /// A worker on which one run still moves is not found to stand still, whatever the others show.
    #[test]
    fn one_run_that_moves_is_enough(standing in runs(1..8), percent_ms in 5_u64..100) {
        let mut detector = job::StallDetector::default();
        for now_ms in (0..10_000).step_by(50) {
            let mut shown: Vec<job::Sign> =
                standing.iter().map(|run| sign(*run, now_ms, 2_000)).collect();
            shown.push(sign(Run::Batch(percent_ms), now_ms, u64::MAX));
            let shown = shown.into_iter().enumerate();
            let shown: Vec<job::Observation> =
                shown.map(|(index, sign)| observation(index, sign)).collect();
            detector.observe(&shown, time::Duration::from_millis(now_ms));
            prop_assert!(!detector.is_stalled(), "at {} ms", now_ms);
        }
    }

    /// A worker of which all runs stand is found in time, and again well once they move.
    #[test]
    fn a_standstill_of_all_runs_is_found_in_time(runs in runs(2..8)) {
        let mut detector = job::StallDetector::default();
        prop_assert_eq!(found_at(&mut detector, &runs, (0, 2_000), u64::MAX), None);
        let found = found_at(&mut detector, &runs, (2_000, 2_000 + FOUND_WITHIN_MS), 2_000);
        prop_assert!(found.is_some());
        found_at(&mut detector, &runs, (9_000, 9_100), u64::MAX);
        prop_assert_eq!(found_at(&mut detector, &runs, (9_100, 20_000), u64::MAX), None);
        prop_assert_eq!(detector.state(), job::StallState::Well);
    }
}

/// Returns whether a detector finds a standstill in what two runs show for 3 s.
fn finds(shown: [job::Sign; 2]) -> bool {
    let mut detector = job::StallDetector::default();
    let moving = [sign(Run::Batch(10), 0, 0), sign(Run::Batch(10), 100, 100)];
    for (now_ms, moving) in [0, 100].into_iter().zip(moving) {
        let now = time::Duration::from_millis(now_ms);
        detector.observe(&[observation(0, moving), observation(1, moving)], now);
    }
    for now_ms in (200..3_200).step_by(50) {
        let shown = [observation(0, shown[0]), observation(1, shown[1])];
        detector.observe(&shown, time::Duration::from_millis(now_ms));
    }
    detector.is_stalled()
}

/// Returns a batch run that shows the same percentage in every answer.
fn stands() -> job::Sign {
    sign(Run::Batch(10), 100, 100)
}

cases! {
    two_batch_runs_that_stand_are_found => assert!(finds([stands(), stands()])),
    one_run_alone_is_not_enough => assert!(!finds([stands(), job::Sign::Unknown])),
    a_job_that_answers_nobody_anywhere_shows_nothing => {
        let late = job::Sign::Tail { tail_ms: 30_000, target_ms: TARGET_MS, others_serve: false };
        assert!(!finds([late, late]), "its own load may be the cause");
    },
    a_run_without_progress_beside_one_that_moves_says_nothing_of_the_worker => {
        let mut detector = job::StallDetector::default();
        let moving = [Run::Batch(10), Run::Batch(10)];
        assert_eq!(found_at(&mut detector, &moving, (0, 3_000), u64::MAX), None);
        let now = time::Duration::from_millis(3_000);
        assert!(!detector.note_stalled(time::Duration::ZERO, now));
        assert!(!detector.is_stalled());
    },
    a_run_that_has_not_moved_yet_shows_nothing => {
        let mut detector = job::StallDetector::default();
        let run = Run::Batch(10);
        assert_eq!(found_at(&mut detector, &[run, run], (0, 1_500), 0), None, "it may be restoring");
    },
    a_stalled_worker_without_runs_gets_a_probe_whose_end_clears_it => {
        let mut detector = job::StallDetector::default();
        let runs = [Run::Serving(10), Run::Serving(10)];
        found_at(&mut detector, &runs, (0, 2_000), 1_000).expect("a standstill");
        for now_ms in (2_000..8_000).step_by(50) {
            detector.observe(&[], time::Duration::from_millis(now_ms));
        }
        assert_eq!(detector.state(), job::StallState::Probing);
        let done = time::Duration::from_millis(8_000);
        detector.note_done(done);
        assert_eq!(detector.state(), job::StallState::Recovering { since: done });
    },
}
