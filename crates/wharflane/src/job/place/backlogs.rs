//! Tells how long new jobs wait for the work before them, for the hosts that accept jobs.

use std::collections;
use std::time;

use crate::job::holding;
use crate::job::load::admission;
use crate::job::load::picture;
use crate::job::runs::work;

/// Longest wait that is told, in milliseconds; little of a queue may be at work for a moment.
const MAX_WAIT_MS: u64 = 60_000;
/// Maximum number of queues that are told, which bounds the row of the lease.
const MAX_QUEUES: usize = 60;
/// Maximum length of the name of a queue that is told, in bytes.
const MAX_NAME_BYTES: usize = 70;
/// Unit of the told waits, in milliseconds, so that the word changes only with the load.
const WAIT_UNIT_MS: u64 = 100;
/// Estimate for which the run time of a queue's tasks is told, in milliseconds.
const SAMPLE_ESTIMATE_MS: u64 = 1_000;

/// Time between two counts of what is at work.
const INTERVAL: time::Duration = time::Duration::from_millis(200);

impl holding::Holding {
    /// Updates the backlogs that the next write of the lease tells; a queue that is no longer
    /// overloaded is left out at once.
    pub(in crate::job) fn tell_backlogs(
        &mut self,
        picture: &picture::Picture,
        now: time::Duration,
    ) {
        let overloaded = picture.queues().any(|(_, load)| load.is_overloaded());
        if overloaded && now.saturating_sub(self.backlogs_told_at) < INTERVAL {
            return;
        }
        self.backlogs_told_at = now;
        self.backlogs = if overloaded { backlogs(self, picture) } else { Vec::new() };
    }
}

/// Returns the backlogs of the queues with more work than room.
fn backlogs(holding: &holding::Holding, picture: &picture::Picture) -> Vec<admission::Backlog> {
    let overloaded = picture.queues().filter(|(_, load)| load.is_overloaded());
    let at_work = at_work_milli(holding);
    let backlog = |(queue, load): (&str, &picture::QueueLoad)| {
        let wait_ms = load.wait_ms(at_work.get(queue).copied().unwrap_or(0))?;
        let wait_ms = wait_ms.min(MAX_WAIT_MS) / WAIT_UNIT_MS * WAIT_UNIT_MS;
        if wait_ms == 0 || queue.len() > MAX_NAME_BYTES {
            return None;
        }
        let run_ms = holding.learned.times.expect_ms(queue, SAMPLE_ESTIMATE_MS);
        let run_percent = (run_ms / SAMPLE_ESTIMATE_MS as f64 * 1e2) as u64;
        Some(admission::Backlog { queue: queue.to_owned(), wait_ms, run_percent })
    };
    overloaded.filter_map(backlog).take(MAX_QUEUES).collect()
}

/// Returns the CPU that batch tasks use at their shares, in thousandths of a core, by queue.
fn at_work_milli(holding: &holding::Holding) -> collections::BTreeMap<&str, u64> {
    let mut at_work = collections::BTreeMap::new();
    for (task, placed) in &holding.placed {
        let entry = holding.jobs.get(&task.job);
        let step = entry.and_then(|entry| Some((entry, entry.job.step(task.step)?)));
        let Some((entry, step)) = step.filter(|(_, step)| !step.lasting) else {
            continue;
        };
        if !matches!(placed.start_state, work::StartState::Confirmed(_)) {
            continue;
        }
        let view = holding.views.get(&placed.worker);
        let share = view.and_then(|view| view.filling.get(task)).map_or(100, |f| f.percent);
        let milli = step.size.cpu_milli * u64::from(share) / 100;
        *at_work.entry(entry.job.queue.as_str()).or_default() += milli;
    }
    at_work
}
