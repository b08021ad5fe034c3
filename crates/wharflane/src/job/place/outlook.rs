//! Estimates whether a round of a job can still end within the time that its queue promises.

use crate::job::holding;
use crate::job::learn::times;
use crate::job::runs::work;
use crate::job::spec;

/// Factor of the allowed time within which a round counts as late; a slower one counts as missed.
const MAX_LATE_FACTOR: f64 = 3.0;

/// How the expected end of a round compares with the time that its queue allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::job) enum Outlook {
    /// The round can end in time.
    InTime,
    /// The round can end late, within `MAX_LATE_FACTOR` times its allowed time.
    Late,
    /// The round would end so late that it no longer has precedence.
    Missed,
}

/// Returns the outlook of a round at the current wall clock time.
pub(in crate::job) fn outlook(
    holding: &holding::Holding,
    entry: &work::Entry,
    round: u32,
) -> Outlook {
    let Some(queue) = holding.queues.queues.get(&entry.job.queue) else {
        return Outlook::Missed;
    };
    if queue.objective_ms == 0 {
        return Outlook::InTime;
    }
    let (whole_ms, left_ms) = critical_path(entry, round, &holding.learned.times);
    let allowed_ms = whole_ms * queue.stretch_percent as f64 / 1e2 + queue.objective_ms as f64;
    let since_ms = entry.job.due_ms(round).max(entry.accepted_ms);
    let needed_ms = holding.wall_ms.saturating_sub(since_ms) as f64 + left_ms;
    if needed_ms <= allowed_ms {
        Outlook::InTime
    } else if needed_ms <= allowed_ms * MAX_LATE_FACTOR {
        Outlook::Late
    } else {
        Outlook::Missed
    }
}

/// Returns the length of a round's critical path and what remains of it, in milliseconds.
fn critical_path(entry: &work::Entry, round: u32, times: &times::Times) -> (f64, f64) {
    let mut ends: Vec<(f64, f64)> = Vec::new();
    for (at, step) in (0u32..).zip(&entry.job.steps) {
        let before = step.after.iter().filter_map(|after| ends.get(*after as usize));
        let (whole, left) =
            before.fold((0.0_f64, 0.0_f64), |most, end| (most.0.max(end.0), most.1.max(end.1)));
        let own = expected_ms(entry, at, step, times);
        let done = entry.progress.step_done(&entry.job, round, at);
        ends.push((whole + own, if done { 0.0 } else { left + own }));
    }
    ends.into_iter().fold((0.0, 0.0), |most, end| (most.0.max(end.0), most.1.max(end.1)))
}

/// Returns the expected run time of a step's tasks, in milliseconds: the average of its finished
/// runs, or else what is learned of its queue.
pub(in crate::job) fn expected_ms(
    entry: &work::Entry,
    at: u32,
    step: &spec::Step,
    times: &times::Times,
) -> f64 {
    match entry.run_times.get(&at) {
        Some(taken) if taken.runs > 0 => taken.total.as_secs_f64() * 1e3 / f64::from(taken.runs),
        _ => times.expect_ms(&entry.job.queue, step.estimate_ms),
    }
}
