//! The workload of the simulated job engine: its workers, queues and kinds of jobs.

use std::sync;

use wharflane::{job, size};

/// The latency target of serving tasks, in milliseconds.
const TARGET_MS: u64 = 50;

/// A kind of job.
#[derive(Clone, Copy, Debug)]
pub(super) enum Kind {
    /// Short tasks with reserved processors.
    Short,
    /// Longer best-effort tasks that run on unused processors.
    BestEffort,
    /// Long-running tasks that serve requests under a latency target.
    Serving,
    /// Tasks that are too large for any worker and wait forever.
    Oversized,
}

/// Returns the steps of a job. Best-effort and serving jobs share six images of each kind.
pub(super) fn steps(kind: Kind, number: u64) -> Vec<job::Step> {
    let step = |count, cpu_milli, estimate_ms| job::Step {
        count,
        size: size::Size { cpu_milli, mem_mb: 2_000, accelerators: 0 },
        estimate_ms,
        ..job::Step::default()
    };
    let image = |name: &str| Some(format!("{name}-{}", number % 6));
    let best_effort = job::Step { fills: true, image: image("filling"), ..step(39, 1_800, 2_700) };
    let next_step = |first: &job::Step| job::Step { after: vec![0], ..first.clone() };
    match kind {
        Kind::Short if number % 5 < 3 => vec![step(9, 5_300, 800), next_step(&step(9, 5_300, 800))],
        Kind::Short => vec![step(9, 5_300, 800)],
        Kind::BestEffort => vec![best_effort.clone(), next_step(&best_effort)],
        Kind::Serving => vec![job::Step {
            lasting: true,
            target_ms: Some(TARGET_MS),
            image: image("serving"),
            ..step(24, 3_000, 1_000)
        }],
        Kind::Oversized => vec![step(39, 16_500 + number % 400, 2_700)],
    }
}

/// Returns the two queues, `first` with the higher priority.
pub(super) fn queues() -> sync::Arc<job::Queues> {
    let queue = |name: &str, priority| job::Queue {
        name: name.to_owned(),
        host: String::new(),
        prefix: String::new(),
        policy: job::Policy {
            service: "service".into(),
            priority,
            max_attempts: 3,
            advice: None,
            stretch_percent: 200,
            objective_ms: 1_000,
        },
    };
    let queues = [("first", 0), ("last", 1)].map(|(name, at)| (name.to_owned(), queue(name, at)));
    sync::Arc::new(job::Queues { revision: 1, queues: queues.into_iter().collect() })
}

/// Returns the membership entry of a worker, with 20 workers to a rack.
pub(super) fn worker_member(at: usize) -> job::Member {
    job::Member {
        incarnation: format!(
            "i-{:010x}",
            (at as u64).wrapping_mul(0x9e37_79b9_7f4a) & 0xff_ffff_ffff
        )
        .as_str()
        .into(),
        addr: ([127, 0, 0, 1], 1).into(),
        hall: "hall".into(),
        service: "service".into(),
        leaving: false,
        capacity: size::Size { cpu_milli: 16_000, mem_mb: 62_500, accelerators: 0 },
        labels: vec!["kind".to_owned()],
        rack: Some(format!("rack-{}", at / 20)),
    }
}
