//! Shares of throttled best-effort tasks when the holder changes.

mod sim;

use std::time;

use wharflane::{job, rows};
use wharflane_stand_in::cases;

/// The processors that the best-effort task requests, in thousandths of a core.
const REQUESTED_MILLI: u64 = 4_000;

/// Returns the id of the first task of a job.
fn first_task(job: u64) -> job::TaskId {
    job::TaskId { job: job::JobId(job), round: 0, step: 0, index: 0 }
}

/// Returns the rows of submitted jobs.
fn accepted(sim: &mut sim::Sim, steps: Vec<(u64, job::Step)>) -> Vec<rows::Row> {
    let events = steps.into_iter().map(|(number, step)| sim.accepted(number, "first", step));
    let rows = events.map(|event| match event {
        job::Event::Jobs(rows) => rows,
        other => panic!("no rows: {other:?}"),
    });
    rows.flatten().collect()
}

/// Returns a simulation whose engine takes over a serving task and a best-effort task on one
/// worker.
fn taken_over() -> sim::Sim {
    let (serving, filling) = (sim::step("serving", 4_000), sim::step("filling", REQUESTED_MILLI));
    let mut before = sim::Sim::new(1, Vec::new());
    before.submit(1, "first", serving.clone());
    before.submit(2, "first", filling.clone());
    before.advance(500, false);
    let jobs = accepted(&mut before, vec![(1, serving), (2, filling)]);
    sim::Sim::taking_over(1, (jobs, before.table(job::PROGRESS)), Vec::new())
}

/// Returns the running tasks, with the processors that the best-effort task uses.
fn running(used_milli: u64) -> Vec<job::Running> {
    let row = |job, percent, load| job::Running { task: first_task(job), run: 1, percent, load };
    vec![row(1, 100, 13), row(2, 40, used_milli)]
}

/// Returns the ordered shares, in percent and in order.
fn shares(sim: &sim::Sim) -> Vec<u8> {
    let paces = sim.pending.iter().filter_map(|effect| match effect {
        job::Effect::SetShare(change) => Some(change.percent),
        _ => None,
    });
    paces.collect()
}

/// Returns the shares ordered for a best-effort task beside one of two serving tasks. That serving
/// task has the tail latency `tail_ms`, the other one is idle. If `waits` is set, another
/// best-effort task waits for a worker.
fn shares_beside(tail_ms: u64, waits: bool) -> Vec<u8> {
    let spread = job::Step { count: 2, max_per_worker: Some(1), ..sim::step("serving", 4_000) };
    let filling = sim::step("filling", REQUESTED_MILLI);
    let mut before = sim::Sim::new(2, Vec::new());
    before.submit(1, "first", spread.clone());
    before.submit(2, "first", filling.clone());
    before.advance(500, false);
    let at = before.worker_of(first_task(2));
    let beside =
        (0..2).find(|index| before.worker_of(job::TaskId { index: *index, ..first_task(1) }) == at);
    let beside = beside.expect("a serving task beside the best-effort task");
    let jobs = accepted(&mut before, vec![(1, spread), (2, filling)]);
    let mut sim = sim::Sim::taking_over(2, (jobs, before.table(job::PROGRESS)), Vec::new());
    let row = |task, percent, load| job::Running { task, run: 1, percent, load };
    let busy = (0..2).find(|worker| sim::member(*worker).incarnation == at).expect("a worker");
    if waits {
        sim.submit(3, "first", sim::step("filling", 1_000_000));
    }
    for tail_ms in [13, tail_ms] {
        let serving = |index| job::TaskId { index, ..first_task(1) };
        sim.report_running(1 - busy, vec![row(serving(1 - beside), 100, 13)]);
        let fills = row(first_task(2), 40, REQUESTED_MILLI);
        sim.report_running(busy, vec![row(serving(beside), 100, tail_ms), fills]);
        sim.now += time::Duration::from_millis(700);
        let wall_ms = u64::try_from(sim.now.as_millis()).expect("fits into u64");
        sim.handle(job::Event::Tick { wall_ms });
    }
    shares(&sim)
}

/// Returns whether any task was ordered to stop.
fn has_stop_order(sim: &sim::Sim) -> bool {
    sim.pending.iter().any(|effect| matches!(effect, job::Effect::Stop(_)))
}

cases! {
    a_new_holder_orders_the_share_that_it_observes => {
        let mut sim = taken_over();
        sim.report_running(0, running(REQUESTED_MILLI / 5));
        assert_eq!(shares(&sim), [20]);
    },
    a_task_that_was_not_throttled_keeps_full_speed => {
        let mut sim = taken_over();
        sim.report_running(0, running(REQUESTED_MILLI * 2 / 3));
        assert_eq!(shares(&sim), [100], "a task in a calm phase uses two thirds");
    },
    no_task_is_throttled_for_a_margin_while_work_waits => {
        assert_eq!(shares_beside(48, true), [100], "a tail of 48 ms keeps the target of 50");
        let held = shares_beside(56, true);
        assert!(held.len() == 2 && held[1] < 100, "{held:?}");
    },
    a_margin_below_the_target_is_kept_while_nothing_waits => {
        let held = shares_beside(48, false);
        assert!(held.len() == 2 && held[1] < 100, "{held:?}");
    },
    a_task_throttled_by_the_previous_holder_does_not_count_as_stalled => {
        let mut sim = taken_over();
        for _ in 0..60 {
            // The serving task only just keeps its target, so the share is not raised.
            let mut running = running(0);
            running[0].load = 49;
            sim.report_running(0, running);
            sim.now += time::Duration::from_millis(50);
        }
        assert_eq!(shares(&sim), [0]);
        assert!(!has_stop_order(&sim), "it makes no progress because of its share");
    },
}
