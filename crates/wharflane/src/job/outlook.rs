//! Whether a job can still come to its end in time.

use super::holding;
use super::spec;
use super::times;
use super::work;

/// Up to how many times the time allowed an end still counts as late rather than as missed.
const LATE_TIMES: f64 = 3.0;

/// How a round of a job stands against the time that its queue allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Outlook {
    /// It can end in time.
    InTime,
    /// It can end late.
    Late,
    /// It has waited so long that nobody counts on it any more.
    Missed,
}

/// Returns how a round of a job stands, by the time of day.
pub(super) fn outlook(holding: &holding::Holding, entry: &work::Entry, round: u32) -> Outlook {
    let Some(queue) = holding.queues.queues.get(&entry.job.queue) else {
        return Outlook::Missed;
    };
    if queue.objective_ms == 0 {
        return Outlook::InTime;
    }
    let (whole_ms, left_ms) = chain(entry, round, &holding.learned.times);
    let allowed_ms = whole_ms * queue.stretch_percent as f64 / 1e2 + queue.objective_ms as f64;
    let since_ms = entry.job.due_ms(round).max(entry.accepted_ms);
    let needed_ms = holding.wall_ms.saturating_sub(since_ms) as f64 + left_ms;
    if needed_ms <= allowed_ms {
        Outlook::InTime
    } else if needed_ms <= allowed_ms * LATE_TIMES {
        Outlook::Late
    } else {
        Outlook::Missed
    }
}

/// Returns the longest chain of work of a round and what is left of it, in milliseconds.
fn chain(entry: &work::Entry, round: u32, times: &times::Times) -> (f64, f64) {
    let mut ends: Vec<(f64, f64)> = Vec::new();
    for (at, step) in (0u32..).zip(&entry.job.steps) {
        let before = step.after.iter().filter_map(|after| ends.get(*after as usize));
        let (whole, left) =
            before.fold((0.0_f64, 0.0_f64), |most, end| (most.0.max(end.0), most.1.max(end.1)));
        let own = step_ms(entry, at, step, times);
        let done = entry.progress.step_done(&entry.job, round, at);
        ends.push((whole + own, if done { 0.0 } else { left + own }));
    }
    ends.into_iter().fold((0.0, 0.0), |most, end| (most.0.max(end.0), most.1.max(end.1)))
}

/// Returns how long a task of a step takes: as its kin did, or as is known of its queue.
fn step_ms(entry: &work::Entry, at: u32, step: &spec::Step, times: &times::Times) -> f64 {
    match entry.taken.get(&at) {
        Some(taken) if taken.runs > 0 => taken.total.as_secs_f64() * 1e3 / f64::from(taken.runs),
        _ => times.expect_ms(&entry.job.queue, step.estimate_ms),
    }
}
