//! The cost of placement does not grow with what waits.

mod desk;

use wharflane::job;
use wharflane_stand_in::cases;

/// Returns how often a worker was sought within a second while so many jobs wait behind two full workers.
fn sought_behind(jobs: u64, step: impl Fn(u64) -> job::Step) -> u64 {
    let mut desk = desk::Desk::new(2, Vec::new());
    for job in 1..=2 {
        desk.submit(job, "first", desk::step("plain", 16_000));
    }
    desk.pass(500, false);
    for job in 0..jobs {
        desk.submit(5_000 + job, "first", step(job));
    }
    desk.pass(500, false);
    let sought = |desk: &desk::Desk| desk.engine.holding().expect("a holder").dump().sought;
    let before = sought(&desk);
    desk.pass(1_000, false);
    sought(&desk) - before
}

/// Checks that ten times the backlog costs no more than a little more.
fn flat(step: impl Fn(u64) -> job::Step + Copy) {
    let (few, many) = (sought_behind(60, step), sought_behind(600, step));
    assert!(few > 0);
    assert!(many <= 2 * few, "{few} times behind 60 jobs, {many} behind 600");
}

/// Returns how often a worker was sought within a second while so many jobs are in need in an idle service.
fn sought_in_need(jobs: u64) -> u64 {
    let mut desk = desk::Desk::new(4, Vec::new());
    let alone = job::Step { count: 4, max_per_worker: Some(1), ..desk::step("serving", 7_000) };
    desk.submit(1, "first", alone);
    desk.pass(500, false);
    // Less than half is in use, and no worker has room.
    for job in 0..jobs {
        desk.submit(5_000 + job, "first", desk::step("plain", 10_000 + job));
    }
    desk.pass(5_000, false);
    let sought = |desk: &desk::Desk| desk.engine.holding().expect("a holder").dump().sought;
    let before = sought(&desk);
    desk.pass(1_000, false);
    sought(&desk) - before
}

cases! {
    tasks_in_need_are_tried_a_few_times_a_pass => {
        let (few, many) = (sought_in_need(60), sought_in_need(600));
        assert!(few > 0);
        assert!(many <= 2 * few, "{few} times with 60 jobs in need, {many} with 600");
    },
    waiting_tasks_of_one_size_are_tried_once_a_pass => flat(|_| desk::step("plain", 4_000)),
    waiting_tasks_of_many_sizes_are_tried_a_few_times_a_pass => {
        // Sizes that fall and rise again, as those of jobs do.
        flat(|job| desk::step("plain", 1_000 + job * 7_919 % 5_000));
    },
    a_smaller_task_behind_larger_ones_is_not_passed_over => {
        let mut desk = desk::Desk::new(1, Vec::new());
        desk.submit(1, "first", desk::step("plain", 10_000));
        for job in 2..20 {
            desk.submit(job, "first", desk::step("plain", 9_000));
        }
        desk.submit(20, "first", desk::step("plain", 6_000));
        desk.pass(300, false);
        assert_eq!(desk::order(&desk), [1, 20]);
    },
    a_task_with_a_bound_of_its_own_says_nothing_about_others => {
        let mut desk = desk::Desk::new(1, Vec::new());
        let alone = job::Step { count: 2, max_per_worker: Some(1), ..desk::step("plain", 1_000) };
        desk.submit(1, "first", alone);
        desk.submit(2, "first", desk::step("plain", 1_000));
        desk.pass(300, false);
        assert_eq!(desk::order(&desk), [1, 2], "the second task of the first job waits alone");
    },
}
