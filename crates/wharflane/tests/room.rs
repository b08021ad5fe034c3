//! The room of workers that shrinks and grows while they run: nothing is ordered that does not fit.

mod desk;

use std::time;

use wharflane::{job, rows, size};
use wharflane_stand_in::cases;

/// The processors of a task of these tests, in thousandths of a core.
const TASK_MILLI: u64 = 6_000;

/// Lets a worker tell that it has so many processors, in thousandths of a core.
fn tell_room(desk: &mut desk::Desk, at: usize, cpu_milli: u64) {
    let capacity = size::Size { cpu_milli, ..desk::member(at).capacity };
    let member = job::Member { capacity, ..desk::member(at) };
    desk.take(job::Event::Member(member.incarnation.worker.clone(), Some(member)));
}

/// Returns whether a transaction writes how far a job is.
fn writes_progress(txn: &rows::Txn) -> bool {
    txn.writes.iter().any(|write| write.key.table == job::PROGRESS)
}

/// Returns the first task of a job.
fn task(job: u64) -> job::TaskId {
    job::TaskId { job: job::JobId(job), round: 0, step: 0, index: 0 }
}

cases! {
    a_start_that_was_written_is_not_ordered_where_room_has_shrunk => {
        let mut desk = desk::Desk::new(1, Vec::new());
        desk.pass(100, false);
        desk.leaves_open = writes_progress;
        desk.submit(1, "first", desk::step("plain", TASK_MILLI));
        desk.pass(100, false);
        tell_room(&mut desk, 0, TASK_MILLI - 1);
        desk.store_answers();
        desk.pass(400, false);
        assert_eq!(desk.starts(1).len(), 0);
        tell_room(&mut desk, 0, TASK_MILLI);
        desk.pass(400, false);
        assert_eq!(desk.starts(1).len(), 1, "room that grew is used");
    },
    room_that_grew_is_used_within_a_second => {
        let mut desk = desk::Desk::new(1, Vec::new());
        tell_room(&mut desk, 0, 1_000);
        desk.submit(1, "first", desk::step("plain", TASK_MILLI));
        desk.pass(2_000, false);
        assert_eq!(desk.starts(1).len(), 0);
        tell_room(&mut desk, 0, 16_000);
        let told = desk.now;
        while desk.starts(1).is_empty() && desk.now < told + time::Duration::from_secs(2) {
            desk.pass(20, false);
        }
        assert!(desk.now <= told + time::Duration::from_millis(200), "{:?}", desk.now - told);
    },
    a_start_in_doubt_is_given_up_where_room_has_shrunk => {
        let mut desk = desk::Desk::new(1, Vec::new());
        desk.answers.push_back(job::StartAnswer::Silent);
        desk.submit(1, "first", desk::step("plain", TASK_MILLI));
        desk.pass(100, false);
        assert_eq!(desk.not_taken.len(), 1, "one order without an answer");
        tell_room(&mut desk, 0, 1_000);
        desk.pass(3_000, false);
        assert_eq!(desk.starts(1).len(), 0);
        assert_eq!(desk.not_taken.len(), 1, "not given again");
    },
    what_stops_has_its_room_until_its_end_is_listed => {
        let mut desk = desk::Desk::new(1, Vec::new());
        desk.submit(1, "first", desk::step("plain", 12_000));
        desk.pass(100, false);
        let worker = desk.worker_of(task(1));
        desk.submit(2, "first", desk::step("plain", 12_000));
        let event = desk.accepted(1, "first", desk::step("plain", 12_000));
        let job::Event::Jobs(mut rows) = event else {
            panic!("no rows");
        };
        let text = rows[0].value.take().expect("a value");
        rows[0].value = Some(text.replace("\"cancelled\":false", "\"cancelled\":true"));
        desk.take(job::Event::Jobs(rows));
        desk.pass(600, false);
        assert_eq!(desk.starts(2).len(), 0, "the first is being stopped");
        desk.end(task(1), job::EndKind::Stopped);
        desk.hear_ends(&worker);
        desk.pass(200, false);
        assert_eq!(desk.starts(2).len(), 1);
    },
    a_run_that_nobody_knows_of_has_its_room_until_it_is_gone => {
        let mut desk = desk::Desk::new(1, Vec::new());
        desk.pass(100, false);
        let stray = job::Running { task: task(77), run: 3, percent: 40, load: 0 };
        desk.hear(0, vec![stray]);
        desk.submit(1, "first", desk::step("plain", TASK_MILLI));
        desk.take(job::Event::Tick { wall_ms: 1 });
        let ordered = |desk: &desk::Desk| {
            desk.asked.iter().any(|effect| matches!(effect, job::Effect::Start(_)))
        };
        for _ in 0..10 {
            desk.now += time::Duration::from_millis(20);
            desk.take(job::Event::Tick { wall_ms: 1 });
        }
        assert!(!ordered(&desk), "its size is not known");
        desk.hear(0, Vec::new());
        desk.now += time::Duration::from_millis(40);
        desk.take(job::Event::Tick { wall_ms: 1 });
        assert!(ordered(&desk), "it is gone");
    },
    a_stray_run_of_known_size_leaves_the_rest => {
        let mut desk = desk::Desk::new(2, Vec::new());
        desk.submit(1, "first", desk::step("plain", TASK_MILLI));
        desk.pass(100, false);
        let on = desk.worker_of(task(1));
        let other = (0..2).find(|at| desk::member(*at).incarnation != on).expect("another worker");
        // The other worker still has an older run of the same task.
        let stray = job::Running { task: task(1), run: 0, percent: 40, load: 0 };
        desk.hear(other, vec![stray]);
        let dump = desk.engine.holding().expect("a holder").dump();
        assert_eq!(dump.placed, 1);
        desk.submit(2, "first", desk::step("plain", 16_000 - TASK_MILLI));
        desk.now += time::Duration::from_millis(40);
        desk.take(job::Event::Tick { wall_ms: 1 });
        assert_eq!(desk.starts(2).len(), 1);
    },
}
