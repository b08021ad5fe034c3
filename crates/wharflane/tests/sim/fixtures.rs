//! Queues, workers, steps and rows that tests have in common.

use std::sync;

use wharflane::{job, rows, size};

use super::Sim;

/// The latency target of a serving task, in milliseconds.
const TARGET_MS: u64 = 50;
/// The tail latency of a serving task with no best-effort task beside it, in milliseconds.
const UNDISTURBED_TAIL_MS: u64 = 13;
/// The tail latency of a serving task beside a task that interferes with it, in milliseconds.
const DISTURBED_TAIL_MS: u64 = 40;
/// The numbers of jobs whose tasks are serving tasks, in addition to job 1.
pub const SERVING_JOBS: std::ops::Range<u64> = 1_000..2_000;
/// The queue whose steps need a ticket from the advice service.
pub const ADVISED: &str = "advised";

/// Returns the queues of the simulation: `last` has a lower priority than the other two.
pub fn queues() -> sync::Arc<job::Queues> {
    let queue = |name: &str, priority| job::Queue {
        name: name.to_owned(),
        host: String::new(),
        prefix: String::new(),
        policy: job::Policy {
            service: "service".into(),
            priority,
            max_attempts: 3,
            advice: (name == ADVISED).then(job::AdviceTiming::default),
            stretch_percent: 200,
            objective_ms: 1_000,
        },
    };
    let queues = ["first", "last", ADVISED].into_iter().zip([0, 2, 0]);
    let queues = queues.map(|(name, priority)| (name.to_owned(), queue(name, priority)));
    let queues = job::Queues { revision: 1, queues: queues.collect() };
    sync::Arc::new(queues)
}

/// Returns a revision of the configuration in which `queue` is changed.
pub fn queues_with(
    revision: u64,
    queue: &str,
    change: impl Fn(&mut job::Policy),
) -> sync::Arc<job::Queues> {
    let mut queues = queues().as_ref().clone();
    queues.revision = revision;
    change(&mut queues.queues.get_mut(queue).expect("a queue").policy);
    sync::Arc::new(queues)
}

/// Returns a revision of the configuration that lacks `queue`.
pub fn queues_without(revision: u64, queue: &str) -> sync::Arc<job::Queues> {
    let mut queues = queues().as_ref().clone();
    queues.revision = revision;
    queues.queues.remove(queue);
    sync::Arc::new(queues)
}

/// Returns a worker of 16 cores as the store lists it.
pub fn member(at: usize) -> job::Member {
    job::Member {
        incarnation: format!("worker-{at}").as_str().into(),
        addr: ([127, 0, 0, 1], 1).into(),
        hall: "hall".into(),
        service: "service".into(),
        leaving: false,
        capacity: size::Size { cpu_milli: 16_000, mem_mb: 64_000, accelerators: 0 },
        labels: Vec::new(),
        rack: None,
    }
}

/// Returns a step of one task: a long-running serving task for the image `serving`, a best-effort
/// task for `filling`, otherwise a plain batch task.
pub fn step(image: &str, cpu_milli: u64) -> job::Step {
    let serving = image == "serving";
    job::Step {
        count: 1,
        size: size::Size { cpu_milli, mem_mb: 1_000, accelerators: 0 },
        lasting: serving,
        target_ms: serving.then_some(TARGET_MS),
        fills: image == "filling",
        image: Some(image.to_owned()),
        ..job::Step::default()
    }
}

/// Returns whether the tasks of a job are serving tasks.
pub fn serves(job: u64) -> bool {
    job == 1 || SERVING_JOBS.contains(&job)
}

/// Returns the entry of a started task in a heartbeat answer, with the higher tail latency if it is
/// a serving task and `interferes` is set.
pub fn row(start: &job::Start, interferes: bool) -> job::Running {
    let job = start.order.task.job.0;
    let serving = serves(job);
    let tail = if interferes { DISTURBED_TAIL_MS } else { UNDISTURBED_TAIL_MS };
    let load = if serving { tail } else { 4_000 };
    job::Running { task: start.order.task, run: start.order.run, percent: 100, load }
}

/// Returns the numbers of the jobs whose tasks were started, in order of the starts.
pub fn started_jobs(sim: &Sim) -> Vec<u64> {
    let starts = sim.pending.iter().filter_map(|effect| match effect {
        job::Effect::Start(start) => Some(start.order.task.job.0),
        _ => None,
    });
    starts.collect()
}

/// Returns the rows of a job whose only task runs on worker 0, and of its progress.
pub fn started_rows() -> (Vec<rows::Row>, Vec<rows::Row>) {
    let mut before = Sim::new(1, Vec::new());
    before.submit(1, "first", step("plain", 1_000));
    before.advance(200, false);
    let job::Event::Jobs(jobs) = before.accepted(1, "first", step("plain", 1_000)) else {
        panic!("no rows");
    };
    (jobs, before.table(job::PROGRESS))
}
