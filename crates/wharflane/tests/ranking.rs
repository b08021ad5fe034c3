//! The tasks of one step are placed by one ranking of all workers, and each goes where it would go
//! on its own.
//!
//! At 890 workers and 1,350 starts a second, ranking all workers for each task took 42 us of the
//! engine's time a start, and 131 us behind 26,700 waiting tasks; with one ranking a step it takes
//! 15 and 46 us (`wharflane-bench decisions`).

mod sim;

use wharflane::{id, job, size};
use wharflane_stand_in::cases;

/// The number of the first job whose placement is compared.
const FIRST: u64 = 5_000;
/// The number of tasks that are placed.
const TASKS: u32 = 30;

/// Returns a simulation whose workers differ in capacity and in the tasks they run.
fn uneven_workers(workers: usize) -> sim::Sim {
    let mut sim = sim::Sim::new(0, Vec::new());
    for at in 0..workers {
        let cpu_milli = 8_000 + at as u64 * 3_001 % 9_000;
        let capacity = size::Size { cpu_milli, mem_mb: 64_000, accelerators: 0 };
        let rack = Some(format!("rack-{}", at % 3));
        let member = job::Member { capacity, rack, ..sim::member(at) };
        sim.handle(job::Event::Member(member.incarnation.worker.clone(), Some(member)));
    }
    sim.advance(100, false);
    for job in 0..workers as u64 / 2 {
        sim.submit(sim::SERVING_JOBS.start + job, "first", sim::step("serving", 2_000 + job * 500));
    }
    sim.advance(1_000, false);
    sim
}

/// Returns the workers on which the tasks of job `FIRST` and later jobs were started, in order of
/// the tasks.
fn workers(sim: &sim::Sim) -> Vec<id::Incarnation> {
    let starts = sim.pending.iter().filter_map(|effect| match effect {
        job::Effect::Start(start) if start.order.task.job.0 >= FIRST => Some(&start.order),
        _ => None,
    });
    let mut orders: Vec<&job::Order> = starts.collect();
    orders.sort_by_key(|order| order.task);
    orders.into_iter().map(|order| order.worker.clone()).collect()
}

/// Checks that the tasks of one step go where as many jobs of one task each go.
fn check_same_placement(step: &job::Step) {
    let mut together = uneven_workers(12);
    together.submit(FIRST, "first", job::Step { count: TASKS, ..step.clone() });
    together.advance(500, false);
    let mut separate = uneven_workers(12);
    let events: Vec<job::Event> = (0..u64::from(TASKS))
        .map(|job| separate.accepted(FIRST + job, "first", step.clone()))
        .collect();
    let rows = events.into_iter().flat_map(|event| match event {
        job::Event::Jobs(rows) => rows,
        _ => Vec::new(),
    });
    let rows = rows.collect();
    separate.handle(job::Event::Jobs(rows));
    separate.advance(500, false);
    let (together, separate) = (workers(&together), workers(&separate));
    assert!(together.len() > 8, "only {} started", together.len());
    assert_eq!(together, separate);
}

cases! {
    plain_tasks_of_a_step_go_where_each_would_go_on_its_own => check_same_placement(&sim::step("plain", 1_700)),
    best_effort_tasks_of_a_step_go_where_each_would_go_on_its_own => check_same_placement(&sim::step("filling", 1_300)),
    serving_tasks_of_a_step_go_where_each_would_go_on_its_own => check_same_placement(&sim::step("serving", 1_100)),
    tasks_with_data_in_a_rack_go_where_each_would_go_on_its_own => {
        check_same_placement(&job::Step { rack: Some("rack-1".to_owned()), ..sim::step("plain", 2_300) });
    },
    a_step_ranks_all_workers_once => {
        let mut sim = uneven_workers(12);
        let searches = |sim: &sim::Sim| sim.engine.holding().expect("a holder").worker_searches();
        let before = searches(&sim);
        sim.submit(FIRST, "first", job::Step { count: TASKS, ..sim::step("plain", 500) });
        sim.advance(40, false);
        assert_eq!(workers(&sim).len(), TASKS as usize);
        assert_eq!(searches(&sim) - before, 1);
    },
}
