//! Ends that a worker has not listed yet, since a list of ends has a maximum length.
//!
//! Guards against this failure: several hundred tasks of one worker ended at about the same time,
//! the holder took those that were in neither list for lost and started them again, though they
//! were done. So a run in neither list is kept until a list of ends was complete, and until then
//! it takes its room, stays a member of its gang, and is no suspect if its worker is lost.

mod sim;

use wharflane::{id, job};
use wharflane_stand_in::cases;

/// The job of these tests.
const JOB: u64 = 10;
/// A job that is submitted while ends are unlisted.
const NEXT_JOB: u64 = 11;
/// How many ends a worker lists at once.
const MAX_LISTED: usize = 3;
/// How long a worker must be silent until its runs count as lost, in milliseconds.
const SILENCE_MS: u64 = 6_500;

/// Returns the id of a task of the job.
fn task(index: u32) -> job::TaskId {
    job::TaskId { job: job::JobId(JOB), round: 0, step: 0, index }
}

/// Returns a step of small tasks, all of which fit on one worker.
fn small_tasks(count: u32) -> job::Step {
    job::Step { count, ..sim::step("plain", 100) }
}

/// Returns a simulation with one worker that runs the tasks of a step and lists few ends at once.
fn running(step: job::Step) -> sim::Sim {
    let mut sim = sim::Sim::new(1, Vec::new());
    sim.max_listed_ends = MAX_LISTED;
    let count = step.count as usize;
    sim.submit(JOB, "first", step);
    sim.advance(400, false);
    assert_eq!(sim.starts(JOB).len(), count, "all tasks run");
    sim
}

/// Ends tasks of the job, in order.
fn end_tasks(sim: &mut sim::Sim, tasks: std::ops::Range<u32>, kind: job::EndKind) {
    for index in tasks {
        sim.end_task(task(index), kind);
    }
}

/// Returns a holder that takes over the rows of a job whose tasks have all ended before.
fn taking_over_ended(count: u32) -> sim::Sim {
    let mut before = running(small_tasks(count));
    let job::Event::Jobs(jobs) = before.accepted(JOB, "first", small_tasks(count)) else {
        panic!("no rows");
    };
    end_tasks(&mut before, 0..count, job::EndKind::Done);
    let mut sim = sim::Sim::taking_over(1, (jobs, before.table(job::PROGRESS)), Vec::new());
    sim.now = before.now;
    sim.ended_runs = before.ended_runs;
    sim.max_listed_ends = MAX_LISTED;
    sim
}

/// Returns a heartbeat answer that lists the ends of the first `MAX_LISTED` tasks and no runs.
fn full_list(sim: &sim::Sim, incarnation: &id::Incarnation) -> job::HeartbeatAnswer {
    let ended = (1u64..).zip(0u32..).take(MAX_LISTED).map(|(number, index)| job::Ended {
        number,
        task: task(index),
        run: 1,
        kind: job::EndKind::Done,
        checkpoint: String::new(),
    });
    job::HeartbeatAnswer::Lists(job::Lists {
        born_ms: incarnation.born_ms,
        clock_ms: u64::try_from(sim.now.as_millis()).expect("fits into u64"),
        ended: ended.collect(),
        more_ended: true,
        ..job::Lists::default()
    })
}

/// Returns the number of tasks that are placed on a worker.
fn placed(sim: &sim::Sim) -> usize {
    sim.engine.holding().expect("a holder").dump().placed
}

cases! {
    ends_beyond_the_list_are_awaited_after_a_takeover => {
        let mut sim = taking_over_ended(10);
        sim.advance(3_000, false);
        assert_eq!(sim.phase(JOB), job::Phase::Completed);
        assert_eq!(sim.starts(JOB), [], "a task that is done is started again");
    },
    ends_beyond_the_list_are_awaited_in_a_burst => {
        let mut sim = running(small_tasks(10));
        end_tasks(&mut sim, 0..10, job::EndKind::Done);
        sim.advance(3_000, false);
        assert_eq!(sim.phase(JOB), job::Phase::Completed);
        assert!(sim.starts(JOB).iter().all(|(_, run)| *run == 1), "{:?}", sim.starts(JOB));
    },
    a_list_of_just_the_maximum_length_delays_lost_runs_by_one_heartbeat => {
        let mut sim = running(small_tasks(4));
        end_tasks(&mut sim, 0..3, job::EndKind::Done);
        // The worker forgets the last run without an end.
        let forgotten = |effect: &job::Effect| {
            matches!(effect, job::Effect::Start(start) if start.order.task == task(3))
        };
        sim.pending.retain(|effect| !forgotten(effect));
        sim.advance(3_000, false);
        assert_eq!(sim.last_order(task(3)).map(|order| order.run), Some(2));
    },
    an_unanswered_start_whose_end_is_unlisted_is_kept => {
        let mut sim = sim::Sim::new(1, Vec::new());
        sim.max_listed_ends = MAX_LISTED;
        sim.submit(JOB, "first", small_tasks(4));
        let taken = [job::StartAnswer::Taken { clock_ms: None }; 3];
        sim.start_answers.extend(taken);
        // The worker carries out the order for the last task, though its answers are lost.
        sim.start_answers.extend(vec![job::StartAnswer::Silent; 3]);
        sim.advance(200, false);
        end_tasks(&mut sim, 0..3, job::EndKind::Done);
        let order = sim.not_taken.first().expect("an unanswered start").order.clone();
        sim.end_run(&order, job::EndKind::Done, String::new());
        // The first ends can't be acknowledged before the start is abandoned.
        sim.leaves_txn_open = |_| true;
        sim.advance(2_000, false);
        sim.leaves_txn_open = |_| false;
        sim.store_answers();
        assert_eq!(sim.starts(JOB).iter().find(|(_, run)| *run == 2), None, "started again");
        sim.advance(2_000, false);
        assert_eq!(sim.phase(JOB), job::Phase::Completed);
        assert_eq!(sim.starts(JOB).iter().find(|(_, run)| *run == 2), None, "started again");
    },
    an_orphaned_start_whose_end_is_unlisted_is_kept => {
        let mut sim = running(small_tasks(4));
        let next = sim.restart(0);
        sim.answer_heartbeat(&next, full_list(&sim, &next));
        sim.advance(20, false);
        assert!(sim.starts(JOB).iter().all(|(_, run)| *run == 1), "{:?}", sim.starts(JOB));
    },
    runs_with_unlisted_ends_keep_their_room => {
        let mut sim = running(job::Step { count: 4, ..sim::step("plain", 4_000) });
        let worker = sim.worker_of(task(0));
        sim.advance(100, false);
        sim.leaves_txn_open = |_| true;
        sim.answer_heartbeat(&worker, full_list(&sim, &worker));
        sim.leaves_txn_open = |_| false;
        sim.store_answers();
        sim.submit(NEXT_JOB, "first", sim::step("plain", 16_000));
        sim.advance(20, false);
        assert_eq!((placed(&sim), sim.starts(NEXT_JOB)), (1, Vec::new()), "its room isn't free yet");
        assert!(sim.starts(JOB).iter().all(|(_, run)| *run == 1), "{:?}", sim.starts(JOB));
        end_tasks(&mut sim, 0..4, job::EndKind::Done);
        sim.advance(3_000, false);
        assert_eq!(sim.starts(NEXT_JOB), [(0, 1)]);
    },
    a_gang_is_not_started_again_while_the_end_of_a_member_is_unlisted => {
        let gang = job::Step { gang: true, ..small_tasks(4) };
        let mut sim = running(gang);
        end_tasks(&mut sim, 0..4, job::EndKind::Done);
        sim.advance(3_000, false);
        assert_eq!(sim.phase(JOB), job::Phase::Completed);
        assert!(sim.starts(JOB).iter().all(|(_, run)| *run == 1), "{:?}", sim.starts(JOB));
        assert_eq!(placed(&sim), 0);
    },
    checkpoints_in_unlisted_ends_are_kept_for_the_next_run => {
        let mut sim = running(job::Step { checkpoint: true, ..small_tasks(4) });
        for index in 0..4 {
            let order = sim.newest_order(task(index));
            sim.end_run(&order, job::EndKind::Lapsed, format!("saved by {index}"));
        }
        sim.advance(3_000, false);
        let start = sim.pending.iter().find_map(|effect| match effect {
            job::Effect::Start(start) if (start.order.task, start.order.run) == (task(3), 2) => Some(start),
            _ => None,
        });
        assert_eq!(start.map(|start| start.checkpoint.as_str()), Some("saved by 3"));
    },
    a_lost_worker_frees_runs_with_unlisted_ends_without_suspicion => {
        let mut sim = running(small_tasks(4));
        let worker = sim.worker_of(task(3));
        sim.leaves_txn_open = |_| true;
        sim.answer_heartbeat(&worker, full_list(&sim, &worker));
        sim.handle(job::Event::Member(worker.worker.clone(), None));
        sim.silent_workers.insert(worker);
        sim.leaves_txn_open = |_| false;
        sim.store_answers();
        sim.handle(job::Event::Member("worker-1".into(), Some(sim::member(1))));
        sim.advance(SILENCE_MS, false);
        let last = sim.last_order(task(3)).expect("a start");
        assert_eq!((last.run, last.worker.worker.as_str()), (2, "worker-1"));
        let key = job::progress_key(0, job::JobId(JOB));
        let row = sim.rows.get(&(job::PROGRESS, key.name)).expect("a row");
        let progress = job::Progress::decode(row).expect("progress");
        let losses = progress.tasks[&task(3).into()].losses;
        assert_eq!(losses, job::Losses::default(), "the run had ended before its worker was lost");
    },
}
