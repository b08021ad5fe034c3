//! Attempts: a job fails once a task, or a gang, of it has failed in as many different runs as its
//! queue allows, and by nothing else.
//!
//! Guards against a job that is shown as failed although no task of it has failed often enough: by
//! ends that are no failures, by a failure that is told more than once, by failures of different
//! tasks taken together, or by a number that isn't the queue's.

mod sim;

use std::sync;

use wharflane::{job, rows};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::world;

/// The job of these tests.
const JOB: u64 = 11;
/// Its queue.
const QUEUE: &str = "first";
/// The number of workers.
const WORKERS: usize = 10;
/// How long a task may wait for its next start, in milliseconds: a worker on which two runs in a
/// row fail is quarantined for 4 s.
const NEXT_START_MS: u64 = 6_000;
/// How long a worker must be silent until its runs count as lost, in milliseconds.
const SILENCE_MS: u64 = 6_500;
/// The ends that are no attempts.
const OTHER_ENDS: [job::EndKind; 4] =
    [job::EndKind::Lapsed, job::EndKind::Broken, job::EndKind::Alone, job::EndKind::Stopped];

/// Returns the id of a task of the job.
fn task(index: u32) -> job::TaskId {
    job::TaskId { job: job::JobId(JOB), round: 0, step: 0, index }
}

/// Returns a gang of `count` tasks.
fn gang(count: u32) -> job::Step {
    job::Step { count, gang: true, ..sim::step("plain", 100) }
}

/// Returns a revision of the configuration that gives the tasks of the queue `attempts`.
fn allowing(revision: u64, attempts: u32) -> sync::Arc<job::Queues> {
    sim::queues_with(revision, QUEUE, |policy| policy.max_attempts = attempts)
}

/// Puts a configuration in force at the holder.
fn configure(sim: &mut sim::Sim, queues: &sync::Arc<job::Queues>) {
    sim.handle(job::Event::Queues(sync::Arc::clone(queues)));
}

/// Returns a simulation that has started a job whose tasks have `attempts`, and the job's rows.
fn started(attempts: u32, step: job::Step) -> (sim::Sim, Vec<rows::Row>) {
    let queues = allowing(2, attempts);
    let mut sim = sim::Sim::new(WORKERS, Vec::new());
    configure(&mut sim, &queues);
    sim.accepting_hosts_queues = queues;
    let event = sim.accepted(JOB, QUEUE, step);
    sim.handle(event.clone());
    sim.advance(400, false);
    let job::Event::Jobs(rows) = event else {
        panic!("no rows");
    };
    (sim, rows)
}

/// Returns a holder of a fresh process that goes by `queues` and takes over what the store keeps.
/// Workers list again all ends that they still keep.
fn next_holder(before: &sim::Sim, jobs: &[rows::Row], queues: &sync::Arc<job::Queues>) -> sim::Sim {
    let mut sim = sim::Sim::watching(world::settings());
    sim.now = before.now;
    sim.version = before.version;
    sim.rows = before.rows.clone();
    configure(&mut sim, queues);
    let progress = before.table(job::PROGRESS);
    sim.take_over(WORKERS, (jobs.to_vec(), progress), before.table(job::LEARNED));
    sim
}

/// Ends the newest run of a task and gives the engine time for the next.
fn end(sim: &mut sim::Sim, task: job::TaskId, kind: job::EndKind) {
    sim.end_task(task, kind);
    sim.advance(NEXT_START_MS, false);
}

/// Checks that the second and each further run of the only task starts, and that the job fails by
/// the last of them.
fn assert_fails_by_run(sim: &mut sim::Sim, last: u32) {
    for run in 2..=last {
        assert_eq!(sim.phase(JOB), job::Phase::Running);
        assert_eq!(sim.newest_order(task(0)).run, run);
        end(sim, task(0), job::EndKind::Failed);
    }
    assert_eq!(sim.phase(JOB), job::Phase::Failed);
}

/// Returns the failed runs of a task that the job's rows record.
fn failed_runs(sim: &sim::Sim, task: job::TaskId) -> Vec<u32> {
    let rows = sim.table(job::PROGRESS);
    let texts = rows.iter().filter_map(|row| row.value.as_deref());
    let mut progress = texts.map(|text| job::Progress::decode(text).expect("progress"));
    let state = progress.find_map(|progress| progress.tasks.get(&task.into()).cloned());
    state.map(|state| state.failed_runs.into_iter().collect()).unwrap_or_default()
}

/// Lets all members of a gang fail in each run, until the job has failed; returns the runs.
fn failed_runs_of_gang(attempts: u32, count: u32) -> u32 {
    let (mut sim, _) = started(attempts, gang(count));
    for run in 1..=attempts + 1 {
        assert_eq!(sim.newest_order(task(count - 1)).run, run);
        (0..count).for_each(|index| sim.end_task(task(index), job::EndKind::Failed));
        sim.advance(2 * NEXT_START_MS, false);
        if sim.phase(JOB) == job::Phase::Failed {
            return run;
        }
    }
    panic!("the job has not failed");
}

/// Ends eight runs in ways that are no attempts, where a task has two.
fn end_otherwise(step: job::Step, kind: job::EndKind) {
    let (mut sim, _) = started(2, step.clone());
    for run in 1..=8 {
        assert_eq!(sim.newest_order(task(0)).run, run, "{kind:?}");
        (0..step.count).for_each(|index| sim.end_task(task(index), kind));
        sim.advance(NEXT_START_MS, false);
    }
    assert_eq!(sim.phase(JOB), job::Phase::Running, "{kind:?}");
    assert_eq!(failed_runs(&sim, task(0)), [] as [u32; 0], "{kind:?}");
}

cases! {
    // A run that was cut short counted as one that failed.
    ends_that_are_no_failures_never_count => {
        OTHER_ENDS.into_iter().for_each(|kind| end_otherwise(sim::step("plain", 1_000), kind));
    },
    // A gang whose members waited in vain, or were broken off, counted as failed.
    ends_of_a_gang_that_are_no_failures_never_count => {
        OTHER_ENDS.into_iter().for_each(|kind| end_otherwise(gang(3), kind));
    },
    // A job of a long-running task used up attempts, which such tasks don't have.
    a_long_running_task_may_fail_any_number_of_times => {
        let (mut sim, _) = started(2, job::Step { lasting: true, ..sim::step("plain", 1_000) });
        for run in 1..=12 {
            assert_eq!(sim.newest_order(task(0)).run, run);
            end(&mut sim, task(0), job::EndKind::Failed);
        }
        assert_eq!(sim.phase(JOB), job::Phase::Running);
    },
    // A job of long-running tasks failed by a queue that gives its tasks no attempts.
    a_long_running_task_needs_no_attempts => {
        let (mut sim, _) = started(0, job::Step { lasting: true, ..sim::step("plain", 1_000) });
        end(&mut sim, task(0), job::EndKind::Failed);
        configure(&mut sim, &allowing(3, 0));
        assert_eq!(sim.phase(JOB), job::Phase::Running);
        assert_eq!(sim.newest_order(task(0)).run, 2);
    },
    // A task counted as failed before any run of it had.
    a_task_that_never_failed_fails_no_job => {
        let (mut sim, _) = started(0, sim::step("plain", 1_000));
        end(&mut sim, task(0), job::EndKind::Lapsed);
        assert_eq!(sim.phase(JOB), job::Phase::Running);
    },
    // Failures of several tasks were added up.
    failures_of_different_tasks_count_each_for_its_own => {
        let (mut sim, _) = started(2, job::Step { count: 6, ..sim::step("plain", 1_000) });
        (0..6).for_each(|index| sim.end_task(task(index), job::EndKind::Failed));
        sim.advance(2 * NEXT_START_MS, false);
        assert_eq!(sim.phase(JOB), job::Phase::Running);
        (0..6).for_each(|index| assert_eq!(sim.newest_order(task(index)).run, 2));
    },
    // Each member of a gang counted the failure of one run.
    a_gang_of_any_size_fails_by_as_many_runs_as_allowed => {
        for count in [1, 2, 7, 40] {
            assert_eq!(failed_runs_of_gang(3, count), 3, "{count} members");
        }
    },
    // Members of a gang whose progress takes two rows counted apart.
    a_gang_whose_progress_takes_two_rows_fails_by_as_many_runs_as_allowed => {
        assert_eq!(failed_runs_of_gang(2, 130), 2);
    },
    // A failure counted again since its acknowledgement was lost and the worker listed it again.
    a_failure_listed_again_counts_once => {
        let (mut sim, _) = started(2, sim::step("plain", 1_000));
        let first = sim.newest_order(task(0));
        sim.end_task(task(0), job::EndKind::Failed);
        for _ in 0..5 {
            sim.report_ended_runs(&first.worker);
            sim.advance(100, false);
        }
        sim.advance(NEXT_START_MS, false);
        assert_eq!((sim.phase(JOB), sim.newest_order(task(0)).run), (job::Phase::Running, 2));
        assert_eq!(failed_runs(&sim, task(0)), [1]);
    },
    // A failure counted again under another number.
    a_failure_listed_under_two_numbers_counts_once => {
        let (mut sim, _) = started(2, sim::step("plain", 1_000));
        let first = sim.newest_order(task(0));
        (0..3).for_each(|_| sim.end_run(&first, job::EndKind::Failed, String::new()));
        sim.advance(NEXT_START_MS, false);
        assert_eq!((sim.phase(JOB), sim.newest_order(task(0)).run), (job::Phase::Running, 2));
    },
    // A failure counted again at each new holder, which learns of it from the worker once more.
    a_failure_told_to_four_holders_counts_once => {
        let (mut sim, rows) = started(2, sim::step("plain", 1_000));
        sim.end_task(task(0), job::EndKind::Failed);
        sim.advance(100, false);
        for _ in 0..3 {
            let ended_runs = sim.ended_runs.clone();
            sim = next_holder(&sim, &rows, &allowing(2, 2));
            sim.ended_runs = ended_runs;
            sim.advance(NEXT_START_MS, false);
            assert_eq!(sim.phase(JOB), job::Phase::Running);
            assert_eq!(failed_runs(&sim, task(0)), [1]);
        }
    },
    // A failure counted again since the holder's write of it was lost with the holder.
    a_failure_whose_write_was_lost_counts_once => {
        let (mut sim, rows) = started(2, sim::step("plain", 1_000));
        sim.leaves_txn_open = |_| true;
        sim.end_task(task(0), job::EndKind::Failed);
        sim.advance(100, false);
        let ended_runs = sim.ended_runs.clone();
        let mut sim = next_holder(&sim, &rows, &allowing(2, 2));
        sim.ended_runs = ended_runs;
        sim.advance(NEXT_START_MS, false);
        assert_eq!(sim.phase(JOB), job::Phase::Running);
        assert_eq!(failed_runs(&sim, task(0)), [1]);
    },
    // The failure of a gang's run, told by one member to each of two holders, counted twice.
    a_failure_of_a_gang_told_to_two_holders_counts_once => {
        let (mut sim, rows) = started(2, gang(4));
        let first: Vec<job::Order> = (0..4).map(|index| sim.newest_order(task(index))).collect();
        sim.end_run(&first[0], job::EndKind::Failed, String::new());
        sim.advance(60, false);
        for order in &first[1..] {
            sim.end_run(order, job::EndKind::Failed, String::new());
        }
        let ended_runs = sim.ended_runs.clone();
        let mut sim = next_holder(&sim, &rows, &allowing(2, 2));
        sim.ended_runs = ended_runs;
        sim.advance(2 * NEXT_START_MS, false);
        assert_eq!(sim.phase(JOB), job::Phase::Running);
        (0..4).for_each(|index| assert_eq!(failed_runs(&sim, task(index)), [1]));
    },
    // A failure of a gang's lost run, which its members report late, counted for each of them.
    a_failure_of_a_gang_reported_late_counts_once => {
        let (mut sim, _) = started(3, gang(3));
        let first: Vec<job::Order> = (0..3).map(|index| sim.newest_order(task(index))).collect();
        sim.silent_workers.extend(first.iter().map(|order| order.worker.clone()));
        sim.advance(SILENCE_MS + NEXT_START_MS, false);
        assert_eq!(sim.newest_order(task(0)).run, 2);
        for order in &first {
            sim.end_run(order, job::EndKind::Failed, String::new());
        }
        sim.silent_workers.clear();
        sim.advance(1_000, false);
        assert_eq!(sim.phase(JOB), job::Phase::Running);
        assert_eq!(failed_runs(&sim, task(0)), [1]);
    },
    // A worker that restarts under its id numbers its ends from one, and a failure of its first
    // life counted again in its second.
    failures_of_two_lives_of_a_worker_count_once_each => {
        let (mut sim, _) = started(3, sim::step("plain", 1_000));
        let first = sim.newest_order(task(0));
        let at = (0..WORKERS).find(|at| sim::member(*at).incarnation == first.worker);
        end(&mut sim, task(0), job::EndKind::Failed);
        let second = sim.newest_order(task(0));
        assert_eq!(second.run, 2);
        let next_life = sim.restart(at.expect("a worker"));
        // The next life tells the end of the first run as if it were its own.
        let told = job::Order { worker: next_life, ..first };
        sim.end_run(&told, job::EndKind::Failed, String::new());
        sim.advance(1_000, false);
        assert_eq!(failed_runs(&sim, task(0)), [1]);
        assert_eq!((sim.phase(JOB), sim.newest_order(task(0)).run), (job::Phase::Running, 2));
    },
    // The rounds of a repeated job shared their attempts.
    each_round_has_attempts_of_its_own => {
        let (mut sim, rows) = started(2, sim::step("plain", 1_000));
        let text = rows[0].value.clone().expect("a row");
        let mut accepted: job::Accepted = serde_json::from_str(&text).expect("a job");
        accepted.job.repeats = Some(job::Repeats { times: 3, first_ms: 0, every_ms: 1 });
        let number = JOB + 1;
        let row = rows::Row {
            name: job::JobId(number).to_string(),
            part: job::job_key(0, job::JobId(number)).part,
            value: serde_json::to_string(&accepted).ok(),
            ..rows[0].clone()
        };
        sim.handle(job::Event::Jobs(vec![row]));
        sim.advance(1_000, false);
        for round in 0..3 {
            let task = job::TaskId { job: job::JobId(number), round, step: 0, index: 0 };
            sim.end_task(task, job::EndKind::Failed);
        }
        sim.advance(2 * NEXT_START_MS, false);
        assert_eq!(sim.phase(number), job::Phase::Running);
    },
    // A later run of a task that an earlier one has completed failed its job.
    a_failure_after_the_task_is_done_fails_no_job => {
        let queues = allowing(2, 1);
        let mut sim = sim::Sim::new(3, Vec::new());
        configure(&mut sim, &queues);
        let next = job::Step { after: vec![0], ..sim::step("plain", 1_000) };
        sim.submit_steps(JOB, QUEUE, vec![sim::step("plain", 1_000), next]);
        sim.advance(400, false);
        let first = sim.newest_order(task(0));
        sim.silent_workers.insert(first.worker.clone());
        sim.advance(SILENCE_MS, false);
        let second = sim.newest_order(task(0));
        assert_eq!(second.run, 2);
        sim.end_run(&first, job::EndKind::Done, String::new());
        sim.silent_workers.clear();
        sim.report_ended_runs(&first.worker);
        sim.end_run(&second, job::EndKind::Failed, String::new());
        sim.advance(2_000, false);
        assert_eq!(sim.phase(JOB), job::Phase::Running);
        assert!(sim.has_started(job::TaskId { step: 1, ..task(0) }));
    },
    // A number that was lowered for a while counted after it was raised again.
    attempts_lowered_and_raised_again_leave_a_job_alone => {
        let (mut sim, _) = started(4, sim::step("plain", 1_000));
        end(&mut sim, task(0), job::EndKind::Failed);
        configure(&mut sim, &allowing(3, 2));
        sim.advance(1_000, false);
        configure(&mut sim, &allowing(4, 4));
        assert_fails_by_run(&mut sim, 4);
    },
    // A run at work when the number fell used up the job's last attempt although the number had
    // risen before the run ended.
    a_run_at_work_is_judged_by_the_number_in_force_at_its_end => {
        let (mut sim, _) = started(4, sim::step("plain", 1_000));
        end(&mut sim, task(0), job::EndKind::Failed);
        configure(&mut sim, &allowing(3, 1));
        sim.advance(1_000, false);
        assert_eq!(sim.phase(JOB), job::Phase::Running, "the second run may still complete it");
        configure(&mut sim, &allowing(4, 4));
        end(&mut sim, task(0), job::EndKind::Failed);
        assert_eq!(sim.phase(JOB), job::Phase::Running);
        assert_eq!(sim.newest_order(task(0)).run, 3);
    },
    // A queue that went and came back had the number of its first revision.
    a_queue_added_again_counts_as_it_is_now => {
        let (mut sim, _) = started(2, sim::step("plain", 1_000));
        configure(&mut sim, &sim::queues_without(3, QUEUE));
        end(&mut sim, task(0), job::EndKind::Failed);
        configure(&mut sim, &allowing(4, 4));
        assert_fails_by_run(&mut sim, 4);
    },
    // A new holder that had read only an earlier revision went by its number.
    a_holder_with_an_older_revision_goes_by_what_the_store_keeps => {
        let (mut sim, rows) = started(2, sim::step("plain", 1_000));
        configure(&mut sim, &allowing(3, 4));
        end(&mut sim, task(0), job::EndKind::Failed);
        let mut sim = next_holder(&sim, &rows, &allowing(2, 2));
        sim.advance(NEXT_START_MS, false);
        for _ in 2..=4 {
            assert_eq!(sim.phase(JOB), job::Phase::Running);
            end(&mut sim, task(0), job::EndKind::Failed);
        }
        assert_eq!(sim.phase(JOB), job::Phase::Failed);
    },
    // A job whose queue no configuration and no row tells failed by an assumed number.
    a_job_whose_queue_is_not_known_fails_by_no_assumed_number => {
        let mut sim = sim::Sim::new(WORKERS, Vec::new());
        configure(&mut sim, &sim::queues_without(2, QUEUE));
        sim.accepting_hosts_queues = sync::Arc::default();
        sim.submit(JOB, QUEUE, sim::step("plain", 1_000));
        sim.advance(400, false);
        (0..3).for_each(|_| end(&mut sim, task(0), job::EndKind::Failed));
        assert_eq!(sim.phase(JOB), job::Phase::Running);
        configure(&mut sim, &allowing(3, 5));
        sim.advance(NEXT_START_MS, false);
        assert_eq!(sim.newest_order(task(0)).run, 4);
    },
}
