//! Rules that are judged by what workers saw.

use std::collections::HashMap;

use crate::record::Event;

/// Returns the breaks of TWICE: two runs of one task at once, and starts that follow a run that
/// ended `done` where that end is taken note of, unless the worker's lease ran out in between.
/// Every worker of these cases is up all the while, and no step has `speculative`.
pub fn twice(events: &[(u64, Event)]) -> Vec<String> {
    let mut breaks = Vec::new();
    let mut open: HashMap<&str, Vec<(&str, u64, u64)>> = HashMap::new();
    for (at, event) in events {
        match event {
            Event::Start { worker, task, run } => {
                let runs = open.entry(task).or_default();
                for (other, earlier, since) in runs.iter() {
                    breaks.push(format!(
                        "TWICE: {worker} begins {task} run {run} at {at} ms, while {other} has \
                         worked on run {earlier} since {since} ms"
                    ));
                }
                runs.push((worker, *run, *at));
                if let Some(done) = done_before(events, task, *at) {
                    breaks.push(format!(
                        "TWICE: {worker} begins {task} run {run} at {at} ms, though {done}"
                    ));
                }
            }
            Event::End { worker, task, run, .. } => {
                let runs = open.entry(task).or_default();
                runs.retain(|(other, number, _)| other != worker || number != run);
            }
            _ => {}
        }
    }
    breaks
}

/// Returns what tells that a task was done before a time, with an end that is taken note of.
fn done_before(events: &[(u64, Event)], task: &str, before: u64) -> Option<String> {
    events.iter().find_map(|(at, event)| {
        let Event::End { worker, task: ended, run, how: "done", number } = event else {
            return None;
        };
        if ended != task || *at >= before {
            return None;
        }
        let seen = events.iter().find_map(|(seen_at, event)| match event {
            Event::Seen { worker: of, upto } if of == worker && upto >= number => Some(*seen_at),
            _ => None,
        })?;
        let lapsed = events.iter().any(|(lapsed_at, event)| {
            matches!(event, Event::Lapse { worker: of } if of == worker)
                && (*at..=seen).contains(lapsed_at)
        });
        (!lapsed).then(|| {
            format!("run {run} was done on {worker} at {at} ms, taken note of at {seen} ms")
        })
    })
}

/// Returns how many runs of a job ended in a way.
pub fn ends(events: &[(u64, Event)], job: &str, kind: &str) -> u64 {
    let ends = events.iter().filter(|(_, event)| {
        matches!(event, Event::End { task, how, .. } if task.starts_with(job) && *how == kind)
    });
    ends.count() as u64
}

/// Returns the longest time, of 3 s at least, for which a job ran nothing between two of its runs
/// or after its last one, and when that began; `tasks` is the number of its tasks.
pub fn longest_idle(events: &[(u64, Event)], job: &str, tasks: u64) -> Option<(u64, u64)> {
    let (mut running, mut done) = (0, 0);
    let mut idle_since = None;
    let mut idle = Vec::new();
    for (at, event) in events {
        match event {
            Event::Start { task, .. } if task.starts_with(job) => {
                running += 1;
                idle.extend(idle_since.take().map(|since| (since, at - since)));
            }
            Event::End { task, how, .. } if task.starts_with(job) => {
                running -= 1;
                done += u64::from(*how == "done");
                idle_since = (running == 0 && done < tasks).then_some(*at);
            }
            _ => {}
        }
    }
    let end = events.last().map_or(0, |(at, _)| *at);
    idle.extend(idle_since.map(|since| (since, end.saturating_sub(since))));
    idle.into_iter().filter(|(_, idle_ms)| *idle_ms >= 3_000).max_by_key(|(_, idle_ms)| *idle_ms)
}

/// Returns how many starts of a job were turned away for a reason.
pub fn refusals(events: &[(u64, Event)], job: &str, why: &str) -> usize {
    let refusals = events.iter().filter(|(_, event)| {
        matches!(event, Event::Refused { task, reason, .. } if task.starts_with(job) && *reason == why)
    });
    refusals.count()
}
