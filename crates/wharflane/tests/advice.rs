//! Steps that only some workers may run: which workers a request for advice names, which ticket a
//! start carries, and when advice is requested again.

mod sim;

use wharflane::{id, job};
use wharflane_stand_in::cases;

/// The job of these tests.
const JOB: u64 = 1;

/// Returns the id of a worker.
fn worker(at: usize) -> id::Incarnation {
    sim::member(at).incarnation
}

/// Returns a simulation with `workers` workers, of which the advice service accepts only the last.
fn sim(workers: usize) -> sim::Sim {
    let mut sim = sim::Sim::new(workers, Vec::new());
    sim.allowed_workers = vec![worker(workers - 1)];
    // Every worker has answered its first heartbeat.
    sim.advance(300, false);
    sim
}

/// Returns the worker and the ticket of each start.
fn started_with(sim: &sim::Sim) -> Vec<(id::Incarnation, String)> {
    let starts = sim.pending.iter().filter_map(|effect| match effect {
        job::Effect::Start(start) => Some((start.order.worker.clone(), start.ticket.clone())),
        _ => None,
    });
    starts.collect()
}

cases! {
    a_start_goes_only_to_an_allowed_worker_and_carries_its_ticket => {
        let mut sim = sim(3);
        sim.submit(JOB, sim::ADVISED, sim::step("plain", 1_000));
        sim.advance(300, false);
        assert_eq!(started_with(&sim), [(worker(2), "for worker-2".to_owned())]);
        assert_eq!(sim.advice_requests.len(), 1);
    },
    queues_without_advice_send_no_request => {
        let mut sim = sim(3);
        sim.submit(JOB, "first", sim::step("plain", 1_000));
        sim.advance(300, false);
        assert_eq!(sim.advice_requests, []);
        assert_eq!(started_with(&sim).len(), 1);
    },
    advice_is_requested_only_for_workers_with_room => {
        let mut sim = sim(2);
        sim.submit(9, "first", sim::step("plain", 12_000));
        sim.advance(300, false);
        sim.submit(JOB, sim::ADVISED, sim::step("plain", 9_000));
        sim.advance(300, false);
        let named: Vec<usize> = sim.advice_requests.iter().map(|asked| asked.workers.len()).collect();
        assert_eq!(named, [1]);
    },
    an_unanswered_request_for_advice_is_retried => {
        let mut sim = sim(2);
        sim.unanswered_requests = 2;
        sim.submit(JOB, sim::ADVISED, sim::step("plain", 1_000));
        sim.advance(300, false);
        assert_eq!(sim.advice_requests.len(), 1, "not retried at once");
        sim.advance(1_200, false);
        assert_eq!(sim.advice_requests.len(), 3);
        assert_eq!(started_with(&sim).len(), 1);
    },
    a_worker_that_is_not_allowed_is_asked_about_once => {
        let mut sim = sim(3);
        sim.allowed_workers.clear();
        sim.submit(JOB, sim::ADVISED, sim::step("plain", 1_000));
        sim.advance(3_000, false);
        assert_eq!(sim.advice_requests.len(), 1);
        assert_eq!(started_with(&sim), []);
    },
    an_expired_ticket_is_requested_again => {
        let mut sim = sim(2);
        sim.submit(JOB, sim::ADVISED, sim::step("plain", 1_000));
        sim.advance(300, false);
        sim.advance(4_000, false);
        let task = job::TaskId { job: job::JobId(JOB), round: 0, step: 0, index: 0 };
        sim.end_task(task, job::EndKind::Failed);
        sim.advance(500, false);
        assert_eq!(sim.starts(JOB), [(0, 1), (0, 2)]);
        let again = sim.advice_requests.last().expect("a request");
        assert_eq!((sim.advice_requests.len(), &again.workers), (2, &vec![worker(1)]));
    },
    a_ticket_that_a_worker_refuses_is_requested_again => {
        let mut sim = sim(2);
        sim.start_answers = [job::StartAnswer::Refused(job::StartRefusal::Ticket)].into();
        sim.submit(JOB, sim::ADVISED, sim::step("plain", 1_000));
        sim.advance(1_000, false);
        assert_eq!(sim.advice_requests.len(), 2);
        assert_eq!(sim.starts(JOB), [(0, 2)]);
    },
    // Starts that lack the ticket were placed again at once, some 50 times a second and task.
    starts_that_are_turned_away_for_the_lack_of_a_ticket_are_rarely_repeated => {
        let mut sim = sim(3);
        sim.allowed_workers.clear();
        sim.start_answers = vec![job::StartAnswer::Refused(job::StartRefusal::Ticket); 1_000].into();
        let step = job::Step { count: 2, ..sim::step("plain", 1_000) };
        sim.submit(JOB, "first", step);
        sim.advance(10_000, false);
        assert!((8..=10).contains(&sim.not_taken.len()), "{}", sim.not_taken.len());
    },
    // A worker that goes by an older configuration than the holder demands a ticket that nobody issues.
    a_task_starts_without_a_ticket_again_if_none_is_to_be_had => {
        let mut sim = sim(3);
        sim.allowed_workers.clear();
        sim.start_answers = [job::StartAnswer::Refused(job::StartRefusal::Ticket)].into();
        sim.submit(JOB, "first", sim::step("plain", 1_000));
        sim.advance(1_500, false);
        assert_eq!(started_with(&sim), []);
        sim.advance(1_000, false);
        assert_eq!(started_with(&sim).len(), 1, "a job may run nothing for 3 s at the most");
    },
    // The job stood still, since no ticket was asked for.
    a_start_that_is_turned_away_for_the_lack_of_a_ticket_gets_one => {
        let mut sim = sim(3);
        sim.start_answers = [job::StartAnswer::Refused(job::StartRefusal::Ticket)].into();
        sim.submit(JOB, "first", sim::step("plain", 1_000));
        sim.advance(400, false);
        assert_eq!(started_with(&sim), [(worker(2), "for worker-2".to_owned())]);
        assert_eq!(sim.advice_requests.len(), 1);
    },
    // Each ticket that a worker turns away was asked for again at once.
    tickets_that_a_worker_turns_away_pause => {
        let mut sim = sim(2);
        sim.start_answers = vec![job::StartAnswer::Refused(job::StartRefusal::Ticket); 1_000].into();
        sim.submit(JOB, sim::ADVISED, sim::step("plain", 1_000));
        sim.advance(10_000, false);
        assert!((6..=8).contains(&sim.not_taken.len()), "{}", sim.not_taken.len());
        assert!(sim.advice_requests.len() <= 8, "{}", sim.advice_requests.len());
    },
    a_worker_that_turns_its_ticket_away_keeps_no_other_from_starting => {
        let mut sim = sim(3);
        sim.allowed_workers = vec![worker(1), worker(2)];
        sim.start_answers = [job::StartAnswer::Refused(job::StartRefusal::Ticket)].into();
        sim.submit(JOB, sim::ADVISED, sim::step("plain", 1_000));
        sim.advance(300, false);
        assert_eq!(started_with(&sim).len(), 1);
    },
    a_new_policy_forgets_that_tickets_were_demanded => {
        let mut sim = sim(3);
        sim.allowed_workers.clear();
        sim.start_answers = [job::StartAnswer::Refused(job::StartRefusal::Ticket)].into();
        sim.submit(JOB, "first", sim::step("plain", 1_000));
        sim.advance(1_000, false);
        assert_eq!(started_with(&sim), []);
        let queues = sim::queues_with(2, "first", |policy| policy.max_attempts = 7);
        sim.handle(job::Event::Queues(queues));
        sim.advance(200, false);
        assert_eq!(started_with(&sim).len(), 1);
    },
    a_gang_starts_once_all_its_members_have_tickets => {
        let mut sim = sim(4);
        sim.allowed_workers = vec![worker(1), worker(3)];
        let pair = job::Step { count: 2, gang: true, ..sim::step("plain", 9_000) };
        sim.submit(JOB, sim::ADVISED, pair);
        sim.advance(500, false);
        assert_eq!(started_with(&sim).len(), 2, "{:?}", sim.advice_requests);
    },
}
