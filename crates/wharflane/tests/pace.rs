//! Shares of tasks that fill, over a change of the holder.

mod desk;

use std::time;

use wharflane::{job, rows};
use wharflane_stand_in::cases;

/// The processors that the filling task asks for, in thousandths of a core.
const ASKED_MILLI: u64 = 4_000;

/// Returns the name of the only task of a job.
fn first(job: u64) -> job::TaskId {
    job::TaskId { job: job::JobId(job), round: 0, step: 0, index: 0 }
}

/// Returns the rows of jobs that were handed in.
fn accepted(desk: &mut desk::Desk, steps: Vec<(u64, job::Step)>) -> Vec<rows::Row> {
    let events = steps.into_iter().map(|(number, step)| desk.accepted(number, "first", step));
    let rows = events.map(|event| match event {
        job::Event::Jobs(rows) => rows,
        other => panic!("no rows: {other:?}"),
    });
    rows.flatten().collect()
}

/// Returns a desk that takes over a serving task and one that fills, on one worker.
fn taken_over() -> desk::Desk {
    let (serving, filling) = (desk::step("serving", 4_000), desk::step("filling", ASKED_MILLI));
    let mut before = desk::Desk::new(1, Vec::new());
    before.submit(1, "first", serving.clone());
    before.submit(2, "first", filling.clone());
    before.pass(500, false);
    let jobs = accepted(&mut before, vec![(1, serving), (2, filling)]);
    desk::Desk::after(1, (jobs, before.table(job::PROGRESS)), Vec::new())
}

/// Returns what runs, with the processors that the filling task uses.
fn running(used_milli: u64) -> Vec<job::Running> {
    let row = |job, percent, load| job::Running { task: first(job), run: 1, percent, load };
    vec![row(1, 100, 13), row(2, 40, used_milli)]
}

/// Returns the shares that were ordered, in order.
fn shares(desk: &desk::Desk) -> Vec<u8> {
    let paces = desk.asked.iter().filter_map(|effect| match effect {
        job::Effect::Pace(pace) => Some(pace.percent),
        _ => None,
    });
    paces.collect()
}

/// Returns the shares that are ordered for a task that fills beside one of two serving tasks, where that one
/// has a tail and the other is at rest; one more task that fills may wait for a worker.
fn shares_beside(tail_ms: u64, waits: bool) -> Vec<u8> {
    let alone = job::Step { count: 2, max_per_worker: Some(1), ..desk::step("serving", 4_000) };
    let filling = desk::step("filling", ASKED_MILLI);
    let mut before = desk::Desk::new(2, Vec::new());
    before.submit(1, "first", alone.clone());
    before.submit(2, "first", filling.clone());
    before.pass(500, false);
    let at = before.worker_of(first(2));
    let beside =
        (0..2).find(|index| before.worker_of(job::TaskId { index: *index, ..first(1) }) == at);
    let beside = beside.expect("it runs beside one of them");
    let jobs = accepted(&mut before, vec![(1, alone), (2, filling)]);
    let mut desk = desk::Desk::after(2, (jobs, before.table(job::PROGRESS)), Vec::new());
    let row = |task, percent, load| job::Running { task, run: 1, percent, load };
    let busy = (0..2).find(|worker| desk::member(*worker).incarnation == at).expect("a worker");
    if waits {
        desk.submit(3, "first", desk::step("filling", 1_000_000));
    }
    for tail_ms in [13, tail_ms] {
        let serving = |index| job::TaskId { index, ..first(1) };
        desk.hear(1 - busy, vec![row(serving(1 - beside), 100, 13)]);
        let fills = row(first(2), 40, ASKED_MILLI);
        desk.hear(busy, vec![row(serving(beside), 100, tail_ms), fills]);
        desk.now += time::Duration::from_millis(700);
        let wall_ms = u64::try_from(desk.now.as_millis()).expect("a small number");
        desk.take(job::Event::Tick { wall_ms });
    }
    shares(&desk)
}

/// Returns whether a task was ordered to stop.
fn stopped(desk: &desk::Desk) -> bool {
    desk.asked.iter().any(|effect| matches!(effect, job::Effect::Stop(_)))
}

cases! {
    a_new_holder_orders_the_share_that_it_finds => {
        let mut desk = taken_over();
        desk.hear(0, running(ASKED_MILLI / 5));
        assert_eq!(shares(&desk), [20]);
    },
    a_task_that_was_not_held_back_goes_on_at_full_speed => {
        let mut desk = taken_over();
        desk.hear(0, running(ASKED_MILLI * 2 / 3));
        assert_eq!(shares(&desk), [100], "two thirds are the calm phase of a task");
    },
    nothing_is_held_back_for_a_margin_while_work_waits => {
        assert_eq!(shares_beside(48, true), [100], "48 ms of 50 is kept");
        let held = shares_beside(56, true);
        assert!(held.len() == 2 && held[1] < 100, "{held:?}");
    },
    a_margin_is_kept_where_nothing_waits => {
        let held = shares_beside(48, false);
        assert!(held.len() == 2 && held[1] < 100, "{held:?}");
    },
    a_task_held_back_by_the_last_holder_does_not_count_as_standing_still => {
        let mut desk = taken_over();
        for _ in 0..60 {
            // The serving task just keeps its target, so nothing is let go.
            let mut running = running(0);
            running[0].load = 49;
            desk.hear(0, running);
            desk.now += time::Duration::from_millis(50);
        }
        assert_eq!(shares(&desk), [0]);
        assert!(!stopped(&desk), "it stands still by order");
    },
}
