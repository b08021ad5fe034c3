//! Steps that only some workers may run: who is asked about, what a start shows, what is asked again.

mod desk;

use wharflane::{id, job};
use wharflane_stand_in::cases;

/// The job of these tests.
const JOB: u64 = 1;

/// Returns the name of a worker.
fn worker(at: usize) -> id::Incarnation {
    desk::member(at).incarnation
}

/// Returns an engine with so many workers of which the last may run what advice is wanted for.
fn desk(workers: usize) -> desk::Desk {
    let mut desk = desk::Desk::new(workers, Vec::new());
    desk.good = vec![worker(workers - 1)];
    // All workers have answered a first look.
    desk.pass(300, false);
    desk
}

/// Returns worker and ticket of each start.
fn shown(desk: &desk::Desk) -> Vec<(id::Incarnation, String)> {
    let starts = desk.asked.iter().filter_map(|effect| match effect {
        job::Effect::Start(start) => Some((start.order.worker.clone(), start.ticket.clone())),
        _ => None,
    });
    starts.collect()
}

cases! {
    a_start_goes_only_where_it_may_and_shows_the_ticket => {
        let mut desk = desk(3);
        desk.submit(JOB, desk::ADVISED, desk::step("plain", 1_000));
        desk.pass(300, false);
        assert_eq!(shown(&desk), [(worker(2), "for worker-2".to_owned())]);
        assert_eq!(desk.questions.len(), 1);
    },
    queues_that_want_no_advice_ask_nothing => {
        let mut desk = desk(3);
        desk.submit(JOB, "first", desk::step("plain", 1_000));
        desk.pass(300, false);
        assert_eq!(desk.questions, []);
        assert_eq!(shown(&desk).len(), 1);
    },
    workers_without_room_are_not_asked_about => {
        let mut desk = desk(2);
        desk.submit(9, "first", desk::step("plain", 12_000));
        desk.pass(300, false);
        desk.submit(JOB, desk::ADVISED, desk::step("plain", 9_000));
        desk.pass(300, false);
        let named: Vec<usize> = desk.questions.iter().map(|asked| asked.workers.len()).collect();
        assert_eq!(named, [1]);
    },
    a_question_without_answer_is_asked_again => {
        let mut desk = desk(2);
        desk.unanswered = 2;
        desk.submit(JOB, desk::ADVISED, desk::step("plain", 1_000));
        desk.pass(300, false);
        assert_eq!(desk.questions.len(), 1, "not at once");
        desk.pass(1_200, false);
        assert_eq!(desk.questions.len(), 3);
        assert_eq!(shown(&desk).len(), 1);
    },
    a_worker_that_may_not_is_asked_about_once => {
        let mut desk = desk(3);
        desk.good.clear();
        desk.submit(JOB, desk::ADVISED, desk::step("plain", 1_000));
        desk.pass(3_000, false);
        assert_eq!(desk.questions.len(), 1);
        assert_eq!(shown(&desk), []);
    },
    a_ticket_that_is_over_is_asked_for_anew => {
        let mut desk = desk(2);
        desk.submit(JOB, desk::ADVISED, desk::step("plain", 1_000));
        desk.pass(300, false);
        desk.pass(4_000, false);
        let task = job::TaskId { job: job::JobId(JOB), round: 0, step: 0, index: 0 };
        desk.end(task, job::EndKind::Failed);
        desk.pass(500, false);
        assert_eq!(desk.starts(JOB), [(0, 1), (0, 2)]);
        let again = desk.questions.last().expect("a question");
        assert_eq!((desk.questions.len(), &again.workers), (2, &vec![worker(1)]));
    },
    a_ticket_that_a_worker_refuses_is_asked_for_anew => {
        let mut desk = desk(2);
        desk.answers = [job::StartAnswer::Refused(job::StartRefusal::Ticket)].into();
        desk.submit(JOB, desk::ADVISED, desk::step("plain", 1_000));
        desk.pass(1_000, false);
        assert_eq!(desk.questions.len(), 2);
        assert_eq!(desk.starts(JOB), [(0, 2)]);
    },
    a_gang_starts_once_all_its_members_have_tickets => {
        let mut desk = desk(4);
        desk.good = vec![worker(1), worker(3)];
        let pair = job::Step { count: 2, gang: true, ..desk::step("plain", 9_000) };
        desk.submit(JOB, desk::ADVISED, pair);
        desk.pass(500, false);
        assert_eq!(shown(&desk).len(), 2, "{:?}", desk.questions);
    },
}
