//! Tasks of one step are placed by one weighing of all workers, and go where each would go by itself.
//!
//! At 890 workers and 1,350 starts a second, weighing all workers for each task took 42 us a start of the engine's
//! time, and 131 us behind 26,700 tasks that wait; by the step it takes 15 and 46 (`wharflane-bench decisions`).

mod desk;

use wharflane::{id, job, size};
use wharflane_stand_in::cases;

/// The first job that is placed.
const FIRST: u64 = 5_000;
/// The tasks that are placed.
const TASKS: u32 = 30;

/// Returns a desk whose workers differ in size and in what they hold.
fn uneven(workers: usize) -> desk::Desk {
    let mut desk = desk::Desk::new(0, Vec::new());
    for at in 0..workers {
        let cpu_milli = 8_000 + at as u64 * 3_001 % 9_000;
        let capacity = size::Size { cpu_milli, mem_mb: 64_000, accelerators: 0 };
        let rack = Some(format!("rack-{}", at % 3));
        let member = job::Member { capacity, rack, ..desk::member(at) };
        desk.take(job::Event::Member(member.incarnation.worker.clone(), Some(member)));
    }
    desk.pass(100, false);
    for job in 0..workers as u64 / 2 {
        desk.submit(
            desk::SERVING_JOBS.start + job,
            "first",
            desk::step("serving", 2_000 + job * 500),
        );
    }
    desk.pass(1_000, false);
    desk
}

/// Returns the workers on which jobs from the first on were started, in order.
fn workers(desk: &desk::Desk) -> Vec<id::Incarnation> {
    let starts = desk.asked.iter().filter_map(|effect| match effect {
        job::Effect::Start(start) if start.order.task.job.0 >= FIRST => Some(&start.order),
        _ => None,
    });
    let mut orders: Vec<&job::Order> = starts.collect();
    orders.sort_by_key(|order| order.task);
    orders.into_iter().map(|order| order.worker.clone()).collect()
}

/// Checks that the tasks of one step go where as many jobs of one task each go.
fn alike(step: &job::Step) {
    let mut together = uneven(12);
    together.submit(FIRST, "first", job::Step { count: TASKS, ..step.clone() });
    together.pass(500, false);
    let mut apart = uneven(12);
    let events: Vec<job::Event> = (0..u64::from(TASKS))
        .map(|job| apart.accepted(FIRST + job, "first", step.clone()))
        .collect();
    let rows = events.into_iter().flat_map(|event| match event {
        job::Event::Jobs(rows) => rows,
        _ => Vec::new(),
    });
    let rows = rows.collect();
    apart.take(job::Event::Jobs(rows));
    apart.pass(500, false);
    let (together, apart) = (workers(&together), workers(&apart));
    assert!(together.len() > 8, "only {} started", together.len());
    assert_eq!(together, apart);
}

cases! {
    plain_tasks_of_a_step_go_where_each_would_go => alike(&desk::step("plain", 1_700)),
    filling_tasks_of_a_step_go_where_each_would_go => alike(&desk::step("filling", 1_300)),
    serving_tasks_of_a_step_go_where_each_would_go => alike(&desk::step("serving", 1_100)),
    tasks_with_data_in_a_rack_go_where_each_would_go => {
        alike(&job::Step { rack: Some("rack-1".to_owned()), ..desk::step("plain", 2_300) });
    },
    a_step_weighs_all_workers_once => {
        let mut desk = uneven(12);
        let sought = |desk: &desk::Desk| desk.engine.holding().expect("a holder").worker_searches();
        let before = sought(&desk);
        desk.submit(FIRST, "first", job::Step { count: TASKS, ..desk::step("plain", 500) });
        desk.pass(40, false);
        assert_eq!(workers(&desk).len(), TASKS as usize);
        assert_eq!(sought(&desk) - before, 1);
    },
}
