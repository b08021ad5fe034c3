//! Moves runs away from workers on which nothing moves, and gives those workers a probe before
//! anything else.

mod sim;

use std::collections;
use std::time;

use wharflane::{id, job, rows};
use wharflane_stand_in::cases;

/// The job with serving tasks.
const SERVING: u64 = sim::SERVING_JOBS.start;
/// The first job with a batch task.
const BATCH: u64 = 10;

/// Returns a task of the serving job.
fn serving_task(index: u32) -> job::TaskId {
    job::TaskId { index, ..sim::losses::task(SERVING) }
}

/// Returns the step of the serving job, with this many tasks on each of two workers.
fn serving_step(on_each: u32, may_miss: u32) -> job::Step {
    job::Step {
        count: 2 * on_each,
        max_per_worker: Some(on_each),
        may_miss: Some(may_miss),
        ..sim::step("serving", 1_000)
    }
}

/// Returns a simulation in which the serving job runs on two workers, and a third one is empty.
fn serving(on_each: u32, may_miss: u32) -> sim::Sim {
    let mut sim = sim::Sim::new(2, Vec::new());
    sim.submit(SERVING, "first", serving_step(on_each, may_miss));
    sim.advance(1_500, false);
    add_worker(&mut sim, 2);
    sim
}

/// Lists one more worker and lets it answer.
fn add_worker(sim: &mut sim::Sim, at: usize) {
    let member = sim::member(at);
    sim.handle(job::Event::Member(member.incarnation.worker.clone(), Some(member)));
    sim.advance(1_500, false);
}

/// Lets a worker stand still from now on.
fn stall(sim: &mut sim::Sim, worker: &id::Incarnation) {
    sim.stalled_workers.insert(worker.clone(), sim.now);
}

/// Returns the same simulation after one of the two workers has stood still for some time.
fn stalled_serving(on_each: u32, may_miss: u32, stood_ms: u64) -> sim::Sim {
    let mut sim = serving(on_each, may_miss);
    let worker = sim.worker_of(serving_task(0));
    stall(&mut sim, &worker);
    sim.advance(stood_ms, false);
    sim
}

/// Returns the tasks that were ordered to stop.
fn stopped(sim: &sim::Sim) -> collections::BTreeSet<job::TaskId> {
    sim.stops.iter().map(|order| order.task).collect()
}

/// Ends the runs of all stop orders that were not answered yet.
fn carry_out_stops(sim: &mut sim::Sim, checkpoint: &str) {
    for order in std::mem::take(&mut sim.stops) {
        let is_it = |ended: &job::Ended| ended.task == order.task && ended.run == order.run;
        if !sim.ended_runs.iter().any(|(_, ended)| is_it(ended)) {
            sim.end_run(&order, job::EndKind::Stopped, checkpoint.to_owned());
        }
    }
}

/// Returns the newest start of a task.
fn newest_start(sim: &sim::Sim, task: job::TaskId) -> job::Start {
    let starts = sim.pending.iter().filter_map(|effect| match effect {
        job::Effect::Start(start) if start.order.task == task => Some(start),
        _ => None,
    });
    starts.max_by_key(|start| start.order.run).expect("a start").clone()
}

/// Returns the number of tasks that were started on a worker.
fn starts_on(sim: &sim::Sim, worker: &id::Incarnation) -> usize {
    let starts = sim.pending.iter().filter(
        |effect| matches!(effect, job::Effect::Start(start) if start.order.worker == *worker),
    );
    starts.count()
}

cases! {
    // A worker that stood still kept its batch tasks for 2 s, and got new ones 4 s later.
    a_batch_task_of_a_stalled_worker_goes_on_elsewhere_from_its_checkpoint => {
        let mut sim = serving(2, 0);
        let task = sim::losses::task(BATCH);
        let step = job::Step { checkpoint: true, ..sim::step("plain", 4_000) };
        sim.submit(BATCH, "first", step);
        sim.advance(1_000, false);
        let worker = sim.worker_of(task);
        // The stalled worker must have runs that show it beside the batch task.
        let second = job::Step { checkpoint: true, ..sim::step("plain", 4_000) };
        sim.submit(BATCH + 1, "first", second);
        sim.advance(1_000, false);
        assert_eq!(sim.worker_of(sim::losses::task(BATCH + 1)), worker, "both on one worker");
        stall(&mut sim, &worker);
        sim.advance(1_000, false);
        assert!(stopped(&sim).contains(&task), "within one second");
        carry_out_stops(&mut sim, "saved");
        sim.advance(500, false);
        let next = newest_start(&sim, task);
        assert_eq!((next.order.run, next.checkpoint.as_str()), (2, "saved"));
        assert_ne!(next.order.worker, worker);
    },
    a_run_that_stands_alone_is_stopped_after_two_seconds => {
        let mut sim = sim::Sim::new(2, Vec::new());
        let task = sim::losses::task(BATCH);
        sim.submit(BATCH, "first", job::Step { checkpoint: true, ..sim::step("plain", 4_000) });
        sim.advance(1_000, false);
        let worker = sim.worker_of(task);
        stall(&mut sim, &worker);
        sim.advance(1_500, false);
        assert_eq!(stopped(&sim).len(), 0, "it may be at fault itself");
        sim.advance(1_000, false);
        assert!(stopped(&sim).contains(&task));
        assert_eq!(sim.engine.holding().expect("a holder").stalls().workers, 1);
    },
    lasting_tasks_leave_a_stalled_worker_one_at_a_time => {
        let mut sim = stalled_serving(3, 2, 1_500);
        assert_eq!(stopped(&sim).len(), 1, "the next one waits for it to be back");
        carry_out_stops(&mut sim, "");
        sim.advance(1_000, false);
        assert_eq!(stopped(&sim).len(), 1, "one more");
        carry_out_stops(&mut sim, "");
        sim.advance(3_000, false);
        assert_eq!(stopped(&sim).len(), 0, "the last one shows whether the worker moves");
        assert_eq!(sim.starts(SERVING).len(), 6 + 2);
    },
    no_lasting_task_is_moved_beyond_what_its_step_may_miss => {
        let sim = stalled_serving(3, 0, 6_000);
        assert_eq!(stopped(&sim).len(), 0);
    },
    tasks_that_stood_for_long_count_as_away => {
        let mut sim = stalled_serving(3, 1, 1_500);
        assert_eq!(stopped(&sim).len(), 1);
        sim.advance(2_000, false);
        carry_out_stops(&mut sim, "");
        sim.advance(4_000, false);
        assert_eq!(stopped(&sim).len(), 0, "two others are away already");
    },
    no_lasting_task_is_moved_while_other_tasks_wait_for_room => {
        let mut sim = serving(3, 2);
        sim.submit(BATCH, "first", sim::step("plain", 1_000_000));
        let worker = sim.worker_of(serving_task(0));
        stall(&mut sim, &worker);
        sim.advance(3_000, false);
        assert_eq!(stopped(&sim).len(), 0);
    },
    // The next holder doesn't know what its predecessor stopped.
    a_holder_that_takes_over_halfway_keeps_to_what_the_step_may_miss => {
        let mut before = serving(3, 1);
        let worker = before.worker_of(serving_task(0));
        stall(&mut before, &worker);
        before.advance(1_500, false);
        assert_eq!(stopped(&before).len(), 1);
        let job::Event::Jobs(jobs) = before.accepted(SERVING, "first", serving_step(3, 1)) else {
            panic!("no rows");
        };
        carry_out_stops(&mut before, "");
        let progress: Vec<rows::Row> = before.table(job::PROGRESS);
        let mut sim = sim::Sim::taking_over(3, (jobs, progress), Vec::new());
        sim.pending.extend(before.pending.drain(..).filter(|effect| matches!(effect, job::Effect::Start(_))));
        sim.ended_runs = std::mem::take(&mut before.ended_runs);
        sim.stalled_workers.insert(worker, time::Duration::ZERO);
        for _ in 0..50 {
            sim.advance(100, false);
            let running = sim.starts(SERVING).len() - sim.ended_runs.len();
            let away = stopped(&sim).len() + 6_usize.saturating_sub(running);
            assert!(away <= 1, "{away} tasks away");
        }
    },
    a_stalled_worker_gets_one_probe_before_anything_else => {
        let mut sim = sim::Sim::new(2, Vec::new());
        sim.submit(BATCH, "first", sim::step("plain", 4_000));
        sim.advance(1_000, false);
        let worker = sim.worker_of(sim::losses::task(BATCH));
        stall(&mut sim, &worker);
        sim.advance(2_500, false);
        carry_out_stops(&mut sim, "");
        sim.advance(6_000, false);
        sim.stalled_workers.clear();
        let before = starts_on(&sim, &worker);
        for job in 1..5 {
            sim.submit(BATCH + job, "first", sim::step("plain", 7_000));
        }
        sim.advance(40, false);
        assert_eq!(starts_on(&sim, &worker) - before, 1, "the probe");
        sim.advance(1_000, false);
        assert_eq!(starts_on(&sim, &worker) - before, 2, "the rest once the probe has moved");
    },
    the_only_worker_still_runs_what_starves => {
        let mut sim = sim::Sim::new(1, Vec::new());
        sim.submit(BATCH, "first", sim::step("plain", 4_000));
        sim.advance(1_000, false);
        let worker = sim.worker_of(sim::losses::task(BATCH));
        stall(&mut sim, &worker);
        sim.advance(2_500, false);
        carry_out_stops(&mut sim, "");
        sim.advance(3_000, false);
        assert_eq!(starts_on(&sim, &worker), 2, "preferences give way to a starving task");
    },
}
