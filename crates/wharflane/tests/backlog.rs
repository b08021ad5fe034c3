//! The cost of placement does not grow with the number of waiting tasks.

mod sim;

use wharflane::job;
use wharflane_stand_in::cases;

/// Returns how many worker searches the engine makes in one second while `jobs` jobs wait behind
/// two full workers.
fn searches_behind_full_workers(jobs: u64, step: impl Fn(u64) -> job::Step) -> u64 {
    let mut sim = sim::Sim::new(2, Vec::new());
    for job in 1..=2 {
        sim.submit(job, "first", sim::step("plain", 16_000));
    }
    sim.advance(500, false);
    for job in 0..jobs {
        sim.submit(5_000 + job, "first", step(job));
    }
    sim.advance(500, false);
    let searches = |sim: &sim::Sim| sim.engine.holding().expect("a holder").dump().sought;
    let before = searches(&sim);
    sim.advance(1_000, false);
    searches(&sim) - before
}

/// Checks that a backlog ten times as large at most doubles the number of worker searches.
fn check_searches_do_not_grow(step: impl Fn(u64) -> job::Step + Copy) {
    let (few, many) =
        (searches_behind_full_workers(60, step), searches_behind_full_workers(600, step));
    assert!(few > 0);
    assert!(many <= 2 * few, "{few} searches behind 60 jobs, {many} behind 600");
}

/// Returns how many worker searches the engine makes in one second while `jobs` starving jobs wait
/// in a service that is mostly idle.
fn searches_for_starving_jobs(jobs: u64) -> u64 {
    let mut sim = sim::Sim::new(4, Vec::new());
    let spread = job::Step { count: 4, max_per_worker: Some(1), ..sim::step("serving", 7_000) };
    sim.submit(1, "first", spread);
    sim.advance(500, false);
    // Less than half of the service is in use, and still no worker has room for these jobs.
    for job in 0..jobs {
        sim.submit(5_000 + job, "first", sim::step("plain", 10_000 + job));
    }
    sim.advance(5_000, false);
    let searches = |sim: &sim::Sim| sim.engine.holding().expect("a holder").dump().sought;
    let before = searches(&sim);
    sim.advance(1_000, false);
    searches(&sim) - before
}

cases! {
    starved_tasks_are_tried_a_few_times_a_pass => {
        let (few, many) = (searches_for_starving_jobs(60), searches_for_starving_jobs(600));
        assert!(few > 0);
        assert!(many <= 2 * few, "{few} searches with 60 starving jobs, {many} with 600");
    },
    waiting_tasks_of_one_size_are_tried_once_a_pass => check_searches_do_not_grow(|_| sim::step("plain", 4_000)),
    waiting_tasks_of_many_sizes_are_tried_a_few_times_a_pass => {
        // The sizes rise and fall, as they do over the jobs of a real queue.
        check_searches_do_not_grow(|job| sim::step("plain", 1_000 + job * 7_919 % 5_000));
    },
    a_smaller_task_behind_larger_ones_is_still_tried => {
        let mut sim = sim::Sim::new(1, Vec::new());
        sim.submit(1, "first", sim::step("plain", 10_000));
        for job in 2..20 {
            sim.submit(job, "first", sim::step("plain", 9_000));
        }
        sim.submit(20, "first", sim::step("plain", 6_000));
        sim.advance(300, false);
        assert_eq!(sim::started_jobs(&sim), [1, 20]);
    },
    a_task_held_back_by_its_own_limit_does_not_block_others => {
        let mut sim = sim::Sim::new(1, Vec::new());
        let spread = job::Step { count: 2, max_per_worker: Some(1), ..sim::step("plain", 1_000) };
        sim.submit(1, "first", spread);
        sim.submit(2, "first", sim::step("plain", 1_000));
        sim.advance(300, false);
        assert_eq!(sim::started_jobs(&sim), [1, 2], "only the second task of job 1 waits");
    },
}
