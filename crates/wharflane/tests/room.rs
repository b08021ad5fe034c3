//! The capacity of workers shrinks and grows while they run: no start is ordered that does not fit.

mod sim;

use std::time;

use wharflane::{job, rows, size};
use wharflane_stand_in::cases;

/// The processors of a task of these tests, in thousandths of a core.
const TASK_MILLI: u64 = 6_000;

/// Lists a worker with a capacity of `cpu_milli` thousandths of a core.
fn set_capacity(sim: &mut sim::Sim, at: usize, cpu_milli: u64) {
    let capacity = size::Size { cpu_milli, ..sim::member(at).capacity };
    let member = job::Member { capacity, ..sim::member(at) };
    sim.handle(job::Event::Member(member.incarnation.worker.clone(), Some(member)));
}

/// Returns whether a transaction writes the progress of a job.
fn writes_progress(txn: &rows::Txn) -> bool {
    txn.writes.iter().any(|write| write.key.table == job::PROGRESS)
}

/// Returns the id of the first task of a job.
fn task(job: u64) -> job::TaskId {
    job::TaskId { job: job::JobId(job), round: 0, step: 0, index: 0 }
}

cases! {
    a_committed_start_is_not_ordered_if_the_capacity_has_shrunk => {
        let mut sim = sim::Sim::new(1, Vec::new());
        sim.advance(100, false);
        sim.leaves_txn_open = writes_progress;
        sim.submit(1, "first", sim::step("plain", TASK_MILLI));
        sim.advance(100, false);
        set_capacity(&mut sim, 0, TASK_MILLI - 1);
        sim.store_answers();
        sim.advance(400, false);
        assert_eq!(sim.starts(1).len(), 0);
        set_capacity(&mut sim, 0, TASK_MILLI);
        sim.advance(400, false);
        assert_eq!(sim.starts(1).len(), 1, "room that grew is used");
    },
    room_that_grew_is_used_within_a_second => {
        let mut sim = sim::Sim::new(1, Vec::new());
        set_capacity(&mut sim, 0, 1_000);
        sim.submit(1, "first", sim::step("plain", TASK_MILLI));
        sim.advance(2_000, false);
        assert_eq!(sim.starts(1).len(), 0);
        set_capacity(&mut sim, 0, 16_000);
        let changed = sim.now;
        while sim.starts(1).is_empty() && sim.now < changed + time::Duration::from_secs(2) {
            sim.advance(20, false);
        }
        assert!(sim.now <= changed + time::Duration::from_millis(200), "{:?}", sim.now - changed);
    },
    an_unanswered_start_is_given_up_if_the_capacity_has_shrunk => {
        let mut sim = sim::Sim::new(1, Vec::new());
        sim.start_answers.push_back(job::StartAnswer::Silent);
        sim.submit(1, "first", sim::step("plain", TASK_MILLI));
        sim.advance(100, false);
        assert_eq!(sim.not_taken.len(), 1, "one order without an answer");
        set_capacity(&mut sim, 0, 1_000);
        sim.advance(3_000, false);
        assert_eq!(sim.starts(1).len(), 0);
        assert_eq!(sim.not_taken.len(), 1, "the order is not repeated");
    },
    a_stopping_task_keeps_its_room_until_its_end_is_reported => {
        let mut sim = sim::Sim::new(1, Vec::new());
        sim.submit(1, "first", sim::step("plain", 12_000));
        sim.advance(100, false);
        let worker = sim.worker_of(task(1));
        sim.submit(2, "first", sim::step("plain", 12_000));
        let event = sim.accepted(1, "first", sim::step("plain", 12_000));
        let job::Event::Jobs(mut rows) = event else {
            panic!("no rows");
        };
        let text = rows[0].value.take().expect("a value");
        rows[0].value = Some(text.replace("\"cancelled\":false", "\"cancelled\":true"));
        sim.handle(job::Event::Jobs(rows));
        sim.advance(600, false);
        assert_eq!(sim.starts(2).len(), 0, "the first task has not stopped yet");
        sim.end_task(task(1), job::EndKind::Stopped);
        sim.report_ended_runs(&worker);
        sim.advance(200, false);
        assert_eq!(sim.starts(2).len(), 1);
    },
    an_unknown_run_blocks_its_worker_until_it_is_gone => {
        let mut sim = sim::Sim::new(1, Vec::new());
        sim.advance(100, false);
        let stray = job::Running { task: task(77), run: 3, percent: 40, load: 0 };
        sim.report_running(0, vec![stray]);
        sim.submit(1, "first", sim::step("plain", TASK_MILLI));
        sim.handle(job::Event::Tick { wall_ms: 1 });
        let ordered = |sim: &sim::Sim| {
            sim.pending.iter().any(|effect| matches!(effect, job::Effect::Start(_)))
        };
        for _ in 0..10 {
            sim.now += time::Duration::from_millis(20);
            sim.handle(job::Event::Tick { wall_ms: 1 });
        }
        assert!(!ordered(&sim), "the size of the unknown run is unknown");
        sim.report_running(0, Vec::new());
        sim.now += time::Duration::from_millis(40);
        sim.handle(job::Event::Tick { wall_ms: 1 });
        assert!(ordered(&sim), "the unknown run is gone");
    },
    an_unknown_run_of_known_size_takes_only_its_own_room => {
        let mut sim = sim::Sim::new(2, Vec::new());
        sim.submit(1, "first", sim::step("plain", TASK_MILLI));
        sim.advance(100, false);
        let on = sim.worker_of(task(1));
        let other = (0..2).find(|at| sim::member(*at).incarnation != on).expect("another worker");
        // The other worker still has an older run of the same task.
        let stray = job::Running { task: task(1), run: 0, percent: 40, load: 0 };
        sim.report_running(other, vec![stray]);
        let dump = sim.engine.holding().expect("a holder").dump();
        assert_eq!(dump.placed, 1);
        sim.submit(2, "first", sim::step("plain", 16_000 - TASK_MILLI));
        sim.now += time::Duration::from_millis(40);
        sim.handle(job::Event::Tick { wall_ms: 1 });
        assert_eq!(sim.starts(2).len(), 1);
    },
}
