//! Halls that operators have closed: nothing starts there, what runs goes on, and room is used again once they are open.

mod desk;

use std::time;

use wharflane::{job, rows};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::world;

/// The processors of a task of these tests, in thousandths of a core: one worker has room for two.
const TASK_MILLI: u64 = 8_000;
/// The halls of these tests.
const HALLS: [&str; 2] = ["north", "south"];

/// Returns a worker in the hall of its turn.
fn in_hall(at: usize) -> job::Member {
    job::Member { hall: HALLS[at % HALLS.len()].into(), ..desk::member(at) }
}

/// Returns a worker in the rack of its hall.
fn in_rack(at: usize) -> job::Member {
    let hall = in_hall(at);
    job::Member { rack: Some(hall.hall.to_string()), ..hall }
}

/// Returns a desk with so many workers, dealt over the halls.
fn desk_of(workers: usize) -> desk::Desk {
    let mut desk = desk::Desk::new(0, Vec::new());
    desk.take(job::Event::Listed((0..workers).map(in_hall).collect()));
    desk.pass(100, false);
    desk
}

/// Tells which halls are closed.
fn close(desk: &mut desk::Desk, halls: &[&str]) {
    desk.version += 1;
    let halls = halls.iter().map(|hall| (*hall).into()).collect();
    desk.take(job::Event::Closed(job::ClosedHalls { version: desk.version, halls }));
}

/// Returns the first task of a job.
fn task(job: u64) -> job::TaskId {
    job::TaskId { job: job::JobId(job), round: 0, step: 0, index: 0 }
}

/// Returns the hall of the worker that a task was started on last.
fn hall_of(desk: &desk::Desk, task: job::TaskId) -> &'static str {
    let worker = desk.order_of(task).worker;
    let at = (0..8).find(|at| in_hall(*at).incarnation == worker).expect("a worker of these tests");
    HALLS[at % HALLS.len()]
}

/// Returns whether a transaction writes how far a job is.
fn writes_progress(txn: &rows::Txn) -> bool {
    txn.writes.iter().any(|write| write.key.table == job::PROGRESS)
}

/// Returns a step of so many tasks of these tests.
fn tasks(count: u32) -> job::Step {
    job::Step { count, ..desk::step("plain", TASK_MILLI) }
}

/// Lets a new holder take over, which has heard of no closed hall, and returns it.
fn taken_over(jobs: Vec<rows::Row>, progress: Vec<rows::Row>) -> desk::Desk {
    let mut desk = desk::Desk::new(0, Vec::new());
    desk.engine = job::Engine::new("host".into(), world::settings(), 2);
    desk.asked.clear();
    desk.take(job::Event::Queues(desk::queues()));
    desk.take(job::Event::Listed((0..2).map(in_hall).collect()));
    desk.take(job::Event::LeaseRead(None));
    desk.take(job::Event::Loaded { jobs, progress, learned: Vec::new() });
    assert!(desk.engine.holding().is_some(), "it holds the domain all the same");
    desk
}

cases! {
    nothing_starts_in_a_closed_hall => {
        let mut desk = desk_of(2);
        close(&mut desk, &["north"]);
        desk.submit(1, "first", tasks(4));
        desk.pass(3_000, false);
        assert_eq!(desk.starts(1).len(), 2, "only the open hall has room");
        for index in 0..2 {
            assert_eq!(hall_of(&desk, job::TaskId { index, ..task(1) }), "south");
        }
    },
    a_start_that_was_written_is_not_ordered_in_a_hall_closed_since => {
        let mut desk = desk_of(1);
        desk.leaves_open = writes_progress;
        desk.submit(1, "first", tasks(1));
        desk.pass(100, false);
        close(&mut desk, &["north"]);
        desk.store_answers();
        desk.pass(1_000, false);
        assert_eq!(desk.starts(1).len(), 0);
        close(&mut desk, &[]);
        desk.pass(200, false);
        assert_eq!(desk.starts(1).len(), 1, "it starts once the hall is open");
    },
    an_order_without_an_answer_is_not_given_again => {
        let mut desk = desk_of(1);
        desk.answers.push_back(job::StartAnswer::Silent);
        desk.submit(1, "first", tasks(1));
        desk.pass(100, false);
        assert_eq!(desk.not_taken.len(), 1, "one order without an answer");
        close(&mut desk, &["north"]);
        desk.pass(3_000, false);
        assert_eq!(desk.not_taken.len() + desk.starts(1).len(), 1);
    },
    an_order_without_an_answer_goes_to_another_hall => {
        let mut desk = desk_of(1);
        desk.answers.push_back(job::StartAnswer::Silent);
        desk.submit(1, "first", tasks(1));
        desk.pass(100, false);
        desk.take(job::Event::Member(in_hall(1).incarnation.worker, Some(in_hall(1))));
        close(&mut desk, &["north"]);
        desk.pass(1_000, false);
        assert_eq!(desk.starts(1).len(), 1);
        assert_eq!(hall_of(&desk, task(1)), "south");
    },
    a_gang_with_a_member_in_a_hall_closed_since_starts_elsewhere_or_not_at_all => {
        let mut desk = desk_of(2);
        desk.leaves_open = writes_progress;
        let gang = job::Step { gang: true, ..desk::step("plain", 12_000) };
        desk.submit(1, "first", job::Step { count: 2, ..gang });
        desk.pass(100, false);
        close(&mut desk, &["north"]);
        desk.store_answers();
        desk.pass(1_000, false);
        assert_eq!(desk.starts(1).len(), 0, "half of a gang would wait in vain");
        close(&mut desk, &[]);
        desk.pass(200, false);
        assert_eq!(desk.starts(1).len(), 2);
    },
    what_runs_goes_on_and_its_end_is_taken_in => {
        let mut desk = desk_of(1);
        desk.submit(1, "first", tasks(1));
        desk.pass(100, false);
        close(&mut desk, &["north"]);
        desk.heartbeats_sent.clear();
        desk.pass(4_000, false);
        assert_eq!(desk.stops.len(), 0);
        assert!(desk.heartbeats_sent.len() > 10, "its lease is renewed: {:?}", desk.heartbeats_sent);
        desk.end(task(1), job::EndKind::Done);
        desk.pass(1_200, false);
        let key = (job::PROGRESS, job::JobId(1).to_string());
        let progress = job::Progress::decode(&desk.rows[&key]).expect("a row");
        assert_eq!(progress.phase, job::Phase::Completed);
    },
    a_hall_that_is_open_again_is_used_at_once => {
        let mut desk = desk_of(2);
        close(&mut desk, &HALLS);
        desk.submit(1, "first", tasks(4));
        desk.pass(4_000, false);
        assert_eq!(desk.starts(1).len(), 0, "all halls are closed");
        close(&mut desk, &["north"]);
        desk.pass(200, false);
        assert_eq!(desk.starts(1).len(), 2);
        close(&mut desk, &[]);
        desk.pass(200, false);
        assert_eq!(desk.starts(1).len(), 4);
    },
    a_worker_that_joins_a_closed_hall_gets_nothing => {
        let mut desk = desk_of(0);
        close(&mut desk, &["north"]);
        desk.submit(1, "first", tasks(1));
        desk.take(job::Event::Member(in_hall(0).incarnation.worker, Some(in_hall(0))));
        desk.pass(1_000, false);
        assert_eq!(desk.starts(1).len(), 0);
    },
    an_older_reading_opens_nothing => {
        let mut desk = desk_of(1);
        let before = job::ClosedHalls { version: desk.version, ..job::ClosedHalls::default() };
        close(&mut desk, &["north"]);
        desk.take(job::Event::Closed(before));
        desk.submit(1, "first", tasks(1));
        desk.pass(1_000, false);
        assert_eq!(desk.starts(1).len(), 0);
    },
    a_hall_that_nobody_knows_closes_nothing_else => {
        let mut desk = desk_of(1);
        close(&mut desk, &["nowhere", ""]);
        desk.submit(1, "first", tasks(1));
        desk.pass(200, false);
        assert_eq!(desk.starts(1).len(), 1);
    },
    a_new_holder_starts_nothing_before_it_has_heard_which_halls_are_closed => {
        let mut desk = taken_over(Vec::new(), Vec::new());
        desk.submit(1, "first", tasks(1));
        desk.pass(1_000, false);
        assert_eq!(desk.starts(1).len(), 0);
        close(&mut desk, &["north"]);
        desk.pass(200, false);
        assert_eq!(hall_of(&desk, task(1)), "south");
    },
    a_new_holder_that_can_not_hear_it_goes_on_after_a_while => {
        let mut desk = taken_over(Vec::new(), Vec::new());
        desk.submit(1, "first", tasks(1));
        let wait = world::settings().closed_wait;
        desk.pass(u64::try_from(wait.as_millis()).expect("a small number") - 200, false);
        assert_eq!(desk.starts(1).len(), 0);
        desk.pass(600, false);
        assert_eq!(desk.starts(1).len(), 1, "by what it knows, rather than never");
    },
    a_start_that_a_holder_before_recorded_and_did_not_order_goes_elsewhere => {
        let mut before = desk_of(1);
        before.submit(1, "first", tasks(1));
        before.pass(100, false);
        assert_eq!(hall_of(&before, task(1)), "north");
        let job::Event::Jobs(jobs) = before.accepted(1, "first", tasks(1)) else {
            panic!("no rows");
        };
        let mut desk = taken_over(jobs, before.table(job::PROGRESS));
        close(&mut desk, &["north"]);
        desk.pass(400, false);
        assert_eq!(hall_of(&desk, task(1)), "south");
    },
    what_only_a_closed_hall_can_run_waits_and_the_rest_goes_on => {
        let mut desk = desk_of(2);
        let labelled = job::Member { labels: vec!["rare".to_owned()], ..in_hall(0) };
        desk.take(job::Event::Member(labelled.incarnation.worker.clone(), Some(labelled)));
        close(&mut desk, &["north"]);
        desk.submit(1, "first", job::Step { label: Some("rare".to_owned()), ..tasks(1) });
        desk.submit(2, "first", tasks(1));
        desk.pass(4_000, false);
        assert_eq!(desk.starts(1).len(), 0);
        assert_eq!(hall_of(&desk, task(2)), "south");
        close(&mut desk, &[]);
        desk.pass(200, false);
        assert_eq!(desk.starts(1).len(), 1);
    },
    what_has_its_data_in_a_closed_hall_goes_elsewhere => {
        let mut desk = desk_of(0);
        desk.take(job::Event::Listed((0..2).map(in_rack).collect()));
        desk.pass(100, false);
        close(&mut desk, &["north"]);
        desk.submit(1, "first", job::Step { rack: Some(HALLS[0].to_owned()), ..tasks(1) });
        desk.pass(400, false);
        assert_eq!(hall_of(&desk, task(1)), "south", "slower, and not never");
    },
    a_gang_of_one_rack_goes_to_a_rack_of_an_open_hall => {
        let mut desk = desk_of(0);
        desk.take(job::Event::Listed((0..4).map(in_rack).collect()));
        desk.pass(100, false);
        close(&mut desk, &["north"]);
        let gang = job::Step { gang: true, same_rack: true, ..desk::step("plain", 12_000) };
        desk.submit(1, "first", job::Step { count: 2, ..gang });
        desk.pass(400, false);
        for index in 0..2 {
            assert_eq!(hall_of(&desk, job::TaskId { index, ..task(1) }), "south");
        }
    },
    lasting_tasks_that_come_back_keep_no_room_in_a_closed_hall => {
        let mut desk = desk_of(2);
        desk.submit(1, "first", job::Step { lasting: true, ..tasks(1) });
        desk.pass(200, false);
        close(&mut desk, &HALLS);
        desk.end(task(1), job::EndKind::Failed);
        desk.pass(5_000, false);
        assert_eq!(desk.starts(1).len(), 1);
        close(&mut desk, &[]);
        desk.pass(200, false);
        assert_eq!(desk.starts(1).len(), 2);
    },
    each_closing_counts_for_itself => {
        let mut desk = desk_of(1);
        let from = desk.now;
        for turn in 1..=3 {
            close(&mut desk, &["north"]);
            desk.submit(turn, "first", tasks(1));
            desk.pass(1_000, false);
            assert_eq!(desk.starts(turn).len(), 0);
            close(&mut desk, &[]);
            desk.pass(200, false);
            assert_eq!(desk.starts(turn).len(), 1);
            desk.end(task(turn), job::EndKind::Done);
            desk.pass(1_200, false);
        }
        assert!(desk.now - from < time::Duration::from_secs(10));
    },
}
