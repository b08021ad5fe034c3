//! Starts whose order was not sent, since no connection to the worker could be opened.
//!
//! Such a start can't have crashed its worker, and nothing of it can be carried out later.

mod sim;

use wharflane::{id, job};
use wharflane_stand_in::cases;

use sim::losses::{AWAY_MS, losses, replace_worker, task};

/// The job whose start is not sent.
const JOB: u64 = 10;
/// How long a task waits that goes to another worker at once, in milliseconds; this includes the
/// commit of its next start.
const AT_ONCE_MS: u64 = 100;
/// How long an answer is awaited before an order is sent again, with a heartbeat, in milliseconds.
const RETRY_MS: u64 = 500;

/// Returns a simulation in which a task is submitted and its first orders get these answers.
fn submitted(workers: usize, step: job::Step, answers: &[job::StartAnswer]) -> sim::Sim {
    let mut sim = sim::Sim::new(workers, Vec::new());
    sim.advance(40, false);
    sim.start_answers.extend(answers);
    sim.submit(JOB, "first", step);
    sim
}

/// Returns a step of one batch task.
fn batch() -> job::Step {
    sim::step("plain", 1_000)
}

/// Returns a gang of two tasks, each of which takes more than half of a worker.
fn gang() -> job::Step {
    job::Step { count: 2, gang: true, ..sim::step("plain", 9_000) }
}

/// Returns the worker that the last order was meant for that no worker took.
fn last_not_taken(sim: &sim::Sim) -> id::Incarnation {
    sim.not_taken.last().expect("an order that was not taken").order.worker.clone()
}

/// Loses a worker that answers nothing any more.
fn lose(sim: &mut sim::Sim, worker: &id::Incarnation) {
    sim.silent_workers.insert(worker.clone());
    sim.advance(AWAY_MS, false);
    replace_worker(sim, worker);
    sim.advance(100, false);
}

cases! {
    // A start was ordered from workers that had just crashed, and each of their losses counted
    // against its task.
    an_order_that_was_not_sent_is_no_loss_of_its_task => {
        for step in [batch(), job::Step { lasting: true, ..batch() }, gang()] {
            let mut sim = submitted(4, step, &[job::StartAnswer::NotSent]);
            sim.advance(60, false);
            let worker = last_not_taken(&sim);
            lose(&mut sim, &worker);
            assert_eq!(losses(&sim, JOB), job::Losses::default());
        }
    },
    // The task waited until the entry of its worker went, some 1.5 s.
    a_task_whose_order_was_not_sent_goes_to_another_worker_at_once => {
        let mut sim = submitted(4, batch(), &[job::StartAnswer::NotSent]);
        sim.advance(60, false);
        let worker = last_not_taken(&sim);
        sim.advance(AT_ONCE_MS, false);
        assert_eq!(sim.starts(JOB), [(0, 2)]);
        assert_ne!(sim.newest_order(task(JOB)).worker, worker);
    },
    a_worker_that_accepted_no_connection_is_tried_again_soon => {
        let mut sim = submitted(1, batch(), &[job::StartAnswer::NotSent]);
        sim.advance(60 + AT_ONCE_MS, false);
        assert_eq!(sim.starts(JOB), [], "the only worker just accepted no connection");
        sim.advance(RETRY_MS, false);
        assert_eq!(sim.starts(JOB), [(0, 2)]);
    },
    a_worker_whose_start_was_decided_on_too_long_ago_is_tried_again_at_once => {
        let mut sim = submitted(1, batch(), &[job::StartAnswer::TooLate]);
        sim.advance(60 + AT_ONCE_MS, false);
        assert_eq!(sim.starts(JOB), [(0, 2)], "the host was slow, not the worker");
    },
    a_task_with_an_earlier_unanswered_order_stays_although_the_next_one_was_not_sent => {
        let answers = [job::StartAnswer::Silent, job::StartAnswer::NotSent];
        let mut sim = submitted(4, batch(), &answers);
        sim.advance(60, false);
        let worker = last_not_taken(&sim);
        while sim.not_taken.len() < answers.len() {
            sim.advance(20, false);
        }
        assert_eq!(last_not_taken(&sim), worker);
        sim.advance(AT_ONCE_MS, false);
        assert_eq!(sim.starts(JOB), [], "the earlier order may be carried out");
        lose(&mut sim, &worker);
        assert_eq!(losses(&sim, JOB).suspected, 1);
    },
    a_job_whose_only_order_was_not_sent_has_not_begun => {
        let mut sim = submitted(1, batch(), &[job::StartAnswer::NotSent; 40]);
        sim.advance(4_000, false);
        assert_eq!(sim.waiting().map(|waiting| waiting.queues.values().sum()), Some(1_u64));
        assert_eq!(sim.phase(JOB), job::Phase::Running, "it is not given up");
    },
    // The other members of a gang end soon if one is missing.
    a_member_of_a_gang_whose_order_was_not_sent_is_ordered_from_its_worker_again => {
        let mut sim = submitted(2, gang(), &[job::StartAnswer::NotSent]);
        sim.advance(60, false);
        let worker = last_not_taken(&sim);
        sim.advance(RETRY_MS, false);
        assert_eq!(sim.starts(JOB).len(), 2);
        let member = sim.not_taken[0].order.task;
        assert_eq!(sim.newest_order(member).run, 1);
        assert_eq!(sim.newest_order(member).worker, worker);
    },
    a_member_of_a_gang_leaves_a_worker_that_is_silent_too => {
        let mut sim = submitted(3, gang(), &[job::StartAnswer::NotSent]);
        sim.advance(40, false);
        let worker = last_not_taken(&sim);
        let unsent = sim.not_taken[0].order.task;
        sim.silent_workers.insert(worker);
        sim.advance(RETRY_MS, false);
        let partner = job::TaskId { index: 1 - unsent.index, ..unsent };
        sim.end_task(partner, job::EndKind::Alone);
        sim.advance(300, false);
        assert_eq!(sim.newest_order(unsent).run, 2);
        assert_eq!(sim.newest_order(partner).run, 2);
    },
}
