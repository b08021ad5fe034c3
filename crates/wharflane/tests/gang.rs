//! Gangs in the engine: started together, done by one end, failed as one, in one rack.

mod desk;

use wharflane::job;
use wharflane_stand_in::cases;

/// The job of these tests.
const JOB: u64 = 1;

/// Returns a gang of two.
fn pair() -> job::Step {
    job::Step { count: 2, gang: true, ..desk::step("plain", 9_000) }
}

/// Returns the name of one task of the job.
fn member(index: u32) -> job::TaskId {
    job::TaskId { job: job::JobId(JOB), round: 0, step: 0, index }
}

/// Starts a gang of two on two workers and returns the desk.
fn started() -> desk::Desk {
    let mut desk = desk::Desk::new(2, Vec::new());
    desk.submit(JOB, "first", pair());
    desk.pass(200, false);
    assert_eq!(desk.starts(JOB), [(0, 1), (1, 1)]);
    desk
}

/// Returns what is told of the job.
fn phase(desk: &desk::Desk) -> job::Phase {
    let key = (job::PROGRESS, job::JobId(JOB).to_string());
    let row = desk.rows.get(&key).expect("a row of the job");
    job::Progress::decode(row).expect("a row that can be read").phase
}

cases! {
    nothing_starts_while_one_member_finds_no_room => {
        let mut desk = desk::Desk::new(1, Vec::new());
        desk.submit(JOB, "first", pair());
        desk.pass(500, false);
        assert_eq!(desk.starts(JOB), []);
        let written = desk.rows.contains_key(&(job::PROGRESS, job::JobId(JOB).to_string()));
        assert!(!written, "a try that failed leaves nothing behind");
        desk.take(job::Event::Member("worker-1".into(), Some(desk::member(1))));
        desk.pass(500, false);
        assert_eq!(desk.starts(JOB), [(0, 1), (1, 1)]);
    },
    one_end_as_done_stands_for_all => {
        let mut desk = started();
        desk.end(member(0), job::EndKind::Done);
        desk.pass(300, false);
        desk.end(member(1), job::EndKind::Lapsed);
        desk.pass(300, false);
        assert_eq!(phase(&desk), job::Phase::Completed);
        assert_eq!(desk.starts(JOB), [(0, 1), (1, 1)], "nothing starts again");
    },
    failures_count_for_the_gang_as_a_whole => {
        let mut desk = started();
        for (run, index) in [(2, 0), (3, 1)] {
            desk.end(member(index), job::EndKind::Failed);
            desk.end(member(1 - index), job::EndKind::Broken);
            // A worker on which two runs in a row fail rests for 4 s.
            desk.pass(5_000, false);
            assert!(desk.starts(JOB).ends_with(&[(0, run), (1, run)]), "{:?}", desk.starts(JOB));
        }
        desk.end(member(0), job::EndKind::Failed);
        desk.end(member(1), job::EndKind::Broken);
        desk.pass(5_000, false);
        assert_eq!(phase(&desk), job::Phase::Failed, "three attempts are allowed");
        assert_eq!(desk.starts(JOB).len(), 6);
    },
    two_failures_in_one_run_count_once => {
        let mut desk = started();
        desk.end(member(0), job::EndKind::Failed);
        desk.end(member(1), job::EndKind::Failed);
        desk.pass(5_000, false);
        desk.end(member(0), job::EndKind::Failed);
        desk.end(member(1), job::EndKind::Failed);
        desk.pass(9_000, false);
        assert_eq!(phase(&desk), job::Phase::Running);
    },
    a_gang_stays_in_one_rack_where_there_is_room => {
        let mut desk = desk::Desk::new(0, Vec::new());
        for (at, rack) in [(0, "r1"), (1, "r2"), (2, "r1"), (3, "r2")] {
            let member = job::Member { rack: Some(rack.to_owned()), ..desk::member(at) };
            desk.take(job::Event::Member(member.incarnation.worker.clone(), Some(member)));
        }
        // The worker that fits best stands in a rack without room for a second member.
        desk.submit(9, "first", desk::step("plain", 9_000));
        desk.pass(200, false);
        desk.submit(8, "first", desk::step("plain", 4_000));
        desk.pass(200, false);
        desk.submit(JOB, "first", job::Step { same_rack: true, ..pair() });
        desk.pass(200, false);
        let starts = desk.asked.iter().filter_map(|effect| match effect {
            job::Effect::Start(start) if start.order.task.job.0 == JOB => Some(&start.order.worker),
            _ => None,
        });
        let racks: Vec<bool> =
            starts.map(|worker| ["worker-1", "worker-3"].contains(&worker.worker.as_str())).collect();
        assert_eq!(racks, [true, true], "both in the rack that is free");
    },
}
