//! Workers that have announced that they leave: no start is ordered there any more, neither a first
//! order nor a retry.

mod sim;

use wharflane::{id, job, rows};
use wharflane_stand_in::cases;

/// The job of these tests.
const JOB: u64 = 1;

/// Returns a step of one task.
fn step() -> job::Step {
    sim::step("plain", 1_000)
}

/// Lists a worker as leaving and returns its incarnation.
fn announce_leaving(sim: &mut sim::Sim, at: usize) -> id::Incarnation {
    let member = job::Member { leaving: true, ..sim::member(at) };
    let incarnation = member.incarnation.clone();
    sim.handle(job::Event::Member(incarnation.worker.clone(), Some(member)));
    incarnation
}

/// Returns whether a transaction writes the progress of a job.
fn writes_progress(txn: &rows::Txn) -> bool {
    txn.writes.iter().any(|write| write.key.table == job::PROGRESS)
}

cases! {
    // An unanswered order was repeated for seconds to a worker that had announced in the meantime
    // that it leaves.
    an_unanswered_order_is_not_repeated_to_a_worker_that_leaves => {
        let mut sim = sim::Sim::new(1, Vec::new());
        sim.start_answers.push_back(job::StartAnswer::Silent);
        sim.submit(JOB, "first", step());
        sim.advance(100, false);
        assert_eq!(sim.not_taken.len(), 1, "one order without an answer");
        announce_leaving(&mut sim, 0);
        sim.advance(3_000, false);
        assert_eq!(sim.not_taken.len() + sim.starts(JOB).len(), 1);
        let next = sim::member(1);
        sim.handle(job::Event::Member(next.incarnation.worker.clone(), Some(next.clone())));
        sim.advance(1_000, false);
        assert_eq!(sim.worker_of(sim::losses::task(JOB)), next.incarnation, "the task goes to another worker");
    },
    // A start whose commit took long was ordered on a worker that had announced in the meantime
    // that it leaves.
    a_start_recorded_before_its_worker_leaves_is_ordered_on_another_worker => {
        let mut sim = sim::Sim::new(1, Vec::new());
        sim.leaves_txn_open = writes_progress;
        sim.submit(JOB, "first", step());
        sim.advance(100, false);
        announce_leaving(&mut sim, 0);
        let next = sim::member(1);
        sim.handle(job::Event::Member(next.incarnation.worker.clone(), Some(next.clone())));
        sim.store_answers();
        sim.advance(1_000, false);
        assert_eq!(sim.starts(JOB).len(), 1);
        assert_eq!(sim.worker_of(sim::losses::task(JOB)), next.incarnation);
    },
}
