//! Estimates what a round of a job still needs, from its progress and the learned run times.

use crate::job::holding;
use crate::job::learn::run_times;
use crate::job::learn::times;
use crate::job::load::need;
use crate::job::progress;
use crate::job::queue;
use crate::job::runs::work;
use crate::job::spec;

/// Returns what a round needs at the current wall clock time.
pub(in crate::job) fn need(
    holding: &holding::Holding,
    entry: &work::Entry,
    round: u32,
) -> need::Need {
    let policy = &entry.policy;
    let path = path(entry, round, &holding.learned.times, &holding.learned.run_times);
    let since_ms = entry.job.due_ms(round).max(entry.accepted_ms);
    need::Need {
        waited_ms: holding.wall_ms.saturating_sub(since_ms) as f64,
        allowed_ms: (policy.objective_ms > 0).then(|| allowed_ms(policy, path.whole_ms)),
        left_ms: path.left_ms,
        left_core_ms: path.left_core_ms,
        begun: has_begun(entry, round),
    }
}

/// Returns the time that a queue allows for a critical path, both in milliseconds.
fn allowed_ms(policy: &queue::Policy, whole_ms: f64) -> f64 {
    whole_ms * policy.stretch_percent as f64 / 1e2 + policy.objective_ms as f64
}

/// Returns whether any task of a round was started.
fn has_begun(entry: &work::Entry, round: u32) -> bool {
    let first = progress::TaskPosition { round, step: 0, index: 0 };
    let next = entry.progress.tasks.range(first..).next();
    next.is_some_and(|(position, _)| position.round == round)
}

/// The critical path of a round.
#[derive(Clone, Copy, Debug, Default)]
struct Path {
    /// Its length, in milliseconds.
    whole_ms: f64,
    /// What remains of it, in milliseconds.
    left_ms: f64,
    /// CPU work of the tasks that are not done, in core-milliseconds.
    left_core_ms: f64,
}

/// Returns the critical path of a round.
fn path(
    entry: &work::Entry,
    round: u32,
    times: &times::Times,
    run_times: &run_times::RunTimes,
) -> Path {
    let spread = run_times.of(&entry.job.queue);
    let mut ends: Vec<(f64, f64)> = Vec::new();
    let mut path = Path::default();
    for (at, step) in (0u32..).zip(&entry.job.steps) {
        let before = step.after.iter().filter_map(|after| ends.get(*after as usize));
        let (whole, left) =
            before.fold((0.0_f64, 0.0_f64), |most, end| (most.0.max(end.0), most.1.max(end.1)));
        let run_ms = expected_ms(entry, at, step, times);
        let longest_ms = run_ms * longest_of(step.count, spread);
        let open = open_tasks(entry, round, at, step);
        ends.push((whole + longest_ms, if open == 0 { 0.0 } else { left + longest_ms }));
        path.left_core_ms += run_ms * f64::from(open) * step.size.cpu_milli as f64 / 1e3;
    }
    for (whole_ms, left_ms) in ends {
        path.whole_ms = path.whole_ms.max(whole_ms);
        path.left_ms = path.left_ms.max(left_ms);
    }
    path
}

/// Returns the number of a step's tasks that are not done.
fn open_tasks(entry: &work::Entry, round: u32, at: u32, step: &spec::Step) -> u32 {
    let position = |index| progress::TaskPosition { round, step: at, index };
    let started = entry.progress.tasks.range(position(0)..=position(u32::MAX));
    let done = started.filter(|(_, task)| task.done).count();
    step.count.saturating_sub(u32::try_from(done).unwrap_or(u32::MAX))
}

/// Returns how many times the expected run time the longest of a step's tasks takes, since the step
/// ends with it; one before enough runs of the queue have ended.
fn longest_of(count: u32, spread: Option<&run_times::Spread>) -> f64 {
    let count = f64::from(count);
    spread.map_or(1.0, |spread| spread.quantile(count / (count + 1.0)).max(1.0))
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
