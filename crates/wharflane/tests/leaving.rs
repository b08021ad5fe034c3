//! Workers that have said that they leave: no start is ordered there any more, for the first time or again.

mod desk;

use wharflane::{id, job, rows};
use wharflane_stand_in::cases;

/// The job of these tests.
const JOB: u64 = 1;

/// Returns a step of one task.
fn step() -> job::Step {
    desk::step("plain", 1_000)
}

/// Lets a worker say that it leaves.
fn leaves(desk: &mut desk::Desk, at: usize) -> id::Incarnation {
    let member = job::Member { leaving: true, ..desk::member(at) };
    let incarnation = member.incarnation.clone();
    desk.take(job::Event::Member(incarnation.worker.clone(), Some(member)));
    incarnation
}

/// Returns whether a transaction writes how far a job is.
fn writes_progress(txn: &rows::Txn) -> bool {
    txn.writes.iter().any(|write| write.key.table == job::PROGRESS)
}

cases! {
    // An order without an answer was given again for seconds to a worker that had said meanwhile that it leaves.
    an_order_without_an_answer_is_not_given_again_to_a_worker_that_leaves => {
        let mut desk = desk::Desk::new(1, Vec::new());
        desk.answers.push_back(job::StartAnswer::Silent);
        desk.submit(JOB, "first", step());
        desk.pass(100, false);
        assert_eq!(desk.not_taken.len(), 1, "one order without an answer");
        leaves(&mut desk, 0);
        desk.pass(3_000, false);
        assert_eq!(desk.not_taken.len() + desk.starts(JOB).len(), 1);
        let next = desk::member(1);
        desk.take(job::Event::Member(next.incarnation.worker.clone(), Some(next.clone())));
        desk.pass(1_000, false);
        assert_eq!(desk.worker_of(desk::losses::task(JOB)), next.incarnation, "it goes elsewhere");
    },
    // A start whose commit took long went out to a worker that had said meanwhile that it leaves.
    a_start_recorded_before_its_worker_leaves_is_ordered_elsewhere => {
        let mut desk = desk::Desk::new(1, Vec::new());
        desk.leaves_open = writes_progress;
        desk.submit(JOB, "first", step());
        desk.pass(100, false);
        leaves(&mut desk, 0);
        let next = desk::member(1);
        desk.take(job::Event::Member(next.incarnation.worker.clone(), Some(next.clone())));
        desk.store_answers();
        desk.pass(1_000, false);
        assert_eq!(desk.starts(JOB).len(), 1);
        assert_eq!(desk.worker_of(desk::losses::task(JOB)), next.incarnation);
    },
}
