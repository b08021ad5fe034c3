//! Ended runs that are reported late: the run counted as lost while its worker was silent.
//!
//! Guards against this failure on hosts whose links were full: a worker was silent for longer than
//! its lease, its task was staged again, and then the worker reported that the first run was done.
//! The holder acknowledged and dropped that end, and the next run started, 350 times in a day. So
//! no end that was acknowledged may be dropped. Whichever run is the newest by then, a run that is
//! done completes its task, a failure counts once, and a saved checkpoint stays available.

mod sim;

use std::{collections, time};

use wharflane::{job, rows};
use wharflane_stand_in::{cases, jobs::world};

/// The job of these tests.
const JOB: u64 = 10;
/// How long a worker must be silent until its runs count as lost, in milliseconds: the 6 s that an
/// earlier holder may have granted, by a clock that may be 2 % slow.
const SILENCE_MS: u64 = 6_500;

/// Returns the id of a task of the job.
fn task(index: u32) -> job::TaskId {
    job::TaskId { job: job::JobId(JOB), round: 0, step: 0, index }
}

/// Returns a simulation in which the first run of a task counts as lost and the next run is staged
/// in a commit that the store has not answered, and the order for the first run.
fn staged_again(step: job::Step) -> (sim::Sim, job::Order) {
    staged_again_on(sim::Sim::new(3, Vec::new()), step)
}

/// Does the same as `staged_again` with a given simulation.
fn staged_again_on(mut sim: sim::Sim, step: job::Step) -> (sim::Sim, job::Order) {
    sim.submit(JOB, "first", step);
    sim.advance(200, false);
    let first = sim.newest_order(task(0));
    sim.silent_workers.insert(first.worker.clone());
    sim.leaves_txn_open = stages_second_run;
    sim.advance(SILENCE_MS, false);

    let open = sim.pending.iter().filter(|effect| matches!(effect, job::Effect::Txn(..)));
    assert_eq!(open.count(), 1, "only the commit of the second run is open");
    (sim, first)
}

/// Returns the number of tasks that are placed on a worker.
fn placed(sim: &sim::Sim) -> usize {
    sim.engine.holding().expect("a holder").dump().placed
}

/// Returns whether a transaction writes a second run.
fn stages_second_run(txn: &rows::Txn) -> bool {
    let rows = txn.writes.iter().filter(|write| write.key.table == job::PROGRESS);
    let mut rows = rows.filter_map(|row| job::Progress::decode(row.value.as_deref()?).ok());
    rows.any(|progress| progress.tasks.values().any(|task| task.run == 2))
}

/// Ends the run of an order and lets its worker answer heartbeats again.
fn report_late(sim: &mut sim::Sim, order: &job::Order, kind: job::EndKind, saved: &str) {
    sim.end_run(order, kind, saved.to_owned());
    sim.silent_workers.remove(&order.worker);
}

/// Returns the highest number of an ended run that heartbeats to the worker of an order have
/// acknowledged.
fn acknowledged(sim: &sim::Sim, order: &job::Order) -> u64 {
    let seen = sim.acknowledgements.iter().filter(|(worker, _)| *worker == order.worker);
    seen.map(|(_, seen)| *seen).max().unwrap_or(0)
}

/// Returns a simulation whose engine takes the job over from another holder.
fn next_holder(before: &mut sim::Sim) -> sim::Sim {
    let job::Event::Jobs(jobs) = before.accepted(JOB, "first", sim::step("plain", 1_000)) else {
        panic!("no rows");
    };
    let rows = before.table(job::PROGRESS);
    let mut sim = sim::Sim::taking_over(3, (jobs, rows), Vec::new());
    sim.now = before.now;
    sim
}

/// Returns the progress that the job's row records.
fn progress(sim: &sim::Sim) -> job::Progress {
    let key = job::progress_key(0, job::JobId(JOB));
    let text = sim.rows.get(&(job::PROGRESS, key.name)).expect("a row");
    job::Progress::decode(text).expect("progress")
}

/// Returns the state that the job's row records for the first task.
fn recorded_task(sim: &sim::Sim) -> job::Task {
    progress(sim).tasks.get(&task(0).into()).cloned().expect("a task")
}

/// Returns the numbers of the runs that were ordered of the first task.
fn runs(sim: &sim::Sim) -> Vec<u32> {
    let starts = sim.starts(JOB).into_iter().filter(|(index, _)| *index == 0);
    let runs: collections::BTreeSet<u32> = starts.map(|(_, run)| run).collect();
    runs.into_iter().collect()
}

/// Returns the numbers of the runs of the first task that were ordered to stop.
fn stopped(sim: &sim::Sim) -> Vec<u32> {
    sim.stops.iter().filter(|order| order.task == task(0)).map(|order| order.run).collect()
}

/// Returns a simulation in which the second run has started, and the order for the first run.
fn running_again() -> (sim::Sim, job::Order) {
    let (mut sim, first) = staged_again(sim::step("plain", 1_000));
    sim.store_answers();
    sim.advance(100, false);
    assert_eq!(runs(&sim), [1, 2]);
    (sim, first)
}

cases! {
    a_late_completion_withdraws_a_staged_run => {
        let (mut sim, first) = staged_again(sim::step("plain", 1_000));
        report_late(&mut sim, &first, job::EndKind::Done, "");
        sim.advance(2_000, false);
        sim.store_answers();
        sim.advance(2_000, false);
        assert_eq!(runs(&sim), [1], "the second run was never ordered");
        assert_eq!(progress(&sim).phase, job::Phase::Completed);
    },
    a_late_completion_stops_a_run_whose_order_is_in_flight => {
        let (mut sim, first) = staged_again(sim::step("plain", 1_000));
        sim.store_answers();
        let second = sim.newest_order(task(0));
        assert_eq!(second.run, 2);
        // The order is in flight while the first worker reports the end.
        report_late(&mut sim, &first, job::EndKind::Done, "");
        let start = sim.pending.iter().position(|e| matches!(e, job::Effect::Start(_)));
        let start = sim.pending.remove(start.expect("an order"));
        sim.advance(2_000, false);
        sim.pending.push(start);
        let taken = job::StartAnswer::Taken { clock_ms: None };
        sim.handle(job::Event::Started { order: second, answer: taken });
        sim.advance(200, false);
        assert_eq!(stopped(&sim).first(), Some(&2));
        assert_eq!(progress(&sim).phase, job::Phase::Completed);
        assert_eq!(runs(&sim).last(), Some(&2), "a third run was ordered");
    },
    a_late_completion_gives_up_an_unanswered_order => {
        let (mut sim, first) = staged_again(sim::step("plain", 1_000));
        let others = sim.starts(JOB).len();
        sim.start_answers.extend(vec![job::StartAnswer::Taken { clock_ms: None }; others]);
        sim.start_answers.push_back(job::StartAnswer::Silent);
        sim.store_answers();
        sim.advance(20, false);
        report_late(&mut sim, &first, job::EndKind::Done, "");
        sim.report_ended_runs(&first.worker);
        sim.advance(6_000, false);
        assert_eq!(sim.not_taken.len(), 1, "the unanswered order is not repeated");
        assert_eq!(progress(&sim).phase, job::Phase::Completed);
        assert_eq!(placed(&sim), 0);
    },
    a_late_completion_stops_the_next_run => {
        let (mut sim, first) = running_again();
        report_late(&mut sim, &first, job::EndKind::Done, "");
        sim.advance(2_000, false);
        assert_eq!(stopped(&sim).first(), Some(&2));
        assert_eq!(progress(&sim).phase, job::Phase::Completed);
        sim.end_task(task(0), job::EndKind::Stopped);
        sim.advance(2_000, false);
        assert_eq!(runs(&sim), [1, 2], "a third run was ordered");
        assert_eq!(placed(&sim), 0);
    },
    a_late_completion_after_the_next_run_has_failed_starts_no_other => {
        let (mut sim, first) = running_again();
        let second = sim.newest_order(task(0));
        sim.silent_workers.insert(second.worker.clone());
        sim.advance(SILENCE_MS, false);
        report_late(&mut sim, &second, job::EndKind::Failed, "");
        report_late(&mut sim, &first, job::EndKind::Done, "");
        sim.advance(1_000, false);
        assert_eq!(progress(&sim).phase, job::Phase::Completed);
        let before = runs(&sim);
        sim.advance(3_000, false);
        assert_eq!(runs(&sim), before, "nothing starts after the job has completed");
    },
    a_late_end_is_acknowledged_once_its_commit_has_succeeded => {
        // Idle workers get frequent heartbeats, since otherwise the lease would be over before the
        // second one.
        let idle_heartbeat_gap = time::Duration::from_millis(200);
        let settings = job::Settings { idle_heartbeat_gap, ..world::settings() };
        let sim = sim::Sim::with_settings(settings, 3, (Vec::new(), Vec::new()), Vec::new());
        let (mut sim, first) = staged_again_on(sim, sim::step("plain", 1_000));
        sim.store_answers();
        sim.advance(100, false);
        sim.leaves_txn_open = |_| true;
        report_late(&mut sim, &first, job::EndKind::Done, "");
        sim.report_ended_runs(&first.worker);
        sim.acknowledgements.clear();
        sim.advance(1_600, false);
        assert_eq!(acknowledged(&sim, &first), 0, "acknowledged before the commit");
        sim.store_answers();
        sim.advance(5_000, false);
        assert_eq!(progress(&sim).phase, job::Phase::Completed);
        assert_eq!(acknowledged(&sim, &first), 1);
    },
    a_late_completion_stops_the_next_run_at_once => {
        let step = job::Step { count: 2, ..sim::step("plain", 1_000) };
        let (mut sim, first) = staged_again(step);
        sim.store_answers();
        sim.advance(100, false);
        report_late(&mut sim, &first, job::EndKind::Done, "");
        sim.report_ended_runs(&first.worker);
        let stopped = sim.pending.iter().any(|effect| {
            matches!(effect, job::Effect::Stop(order) if (order.task, order.run) == (task(0), 2))
        });
        assert!(stopped, "the second run is stopped before the next heartbeat to its worker");
    },
    a_late_completion_removes_a_waiting_task_from_the_queue => {
        let mut sim = sim::Sim::new(1, Vec::new());
        sim.submit(JOB, "first", job::Step { count: 2, ..sim::step("plain", 1_000) });
        sim.advance(200, false);
        let first = sim.newest_order(task(0));
        sim.silent_workers.insert(first.worker.clone());
        sim.advance(SILENCE_MS, false);
        assert_eq!(sim.engine.holding().expect("a holder").dump().ready, 2);
        report_late(&mut sim, &first, job::EndKind::Done, "");
        sim.advance(3_000, false);
        assert_eq!(runs(&sim), [1], "the completed task is started again");
        assert_eq!(sim.starts(JOB).len(), 3, "the other task is started again");
    },
    a_late_completion_is_recorded_by_the_next_holder => {
        let (mut before, first) = running_again();
        let mut sim = next_holder(&mut before);
        report_late(&mut sim, &first, job::EndKind::Done, "");
        let second = before.newest_order(task(0));
        let row = job::Running { task: task(0), run: second.run, percent: 10, load: 1_000 };
        sim.advance(20, false);
        let at: usize = second.worker.worker.as_str()["worker-".len()..].parse().expect("a number");
        sim.report_running(at, vec![row]);
        sim.advance(1_000, false);
        assert_eq!(progress(&sim).phase, job::Phase::Completed);
        assert_eq!(sim.starts(JOB), [], "a task is started again");
    },
    a_failure_reported_late_counts_once_across_holders => {
        let (mut before, first) = running_again();
        report_late(&mut before, &first, job::EndKind::Failed, "");
        before.advance(1_000, false);
        assert_eq!(recorded_task(&before).failures(), 1);
        let mut sim = next_holder(&mut before);
        report_late(&mut sim, &first, job::EndKind::Failed, "");
        sim.advance(1_000, false);
        assert_eq!(sim.engine.holding().expect("a holder").dump().ready, 0);
        assert!(recorded_task(&before).failures() == 1);
        let rows = sim.table(job::PROGRESS);
        let failures = rows.iter().filter_map(|row| {
            let progress = job::Progress::decode(row.value.as_deref()?).ok()?;
            progress.tasks.get(&task(0).into()).map(job::Task::failures)
        });
        assert!(failures.max().unwrap_or(1) <= 1, "the same failure was counted twice");
    },
    failures_reported_late_use_up_the_attempts => {
        let (mut sim, first) = running_again();
        let second = sim.newest_order(task(0));
        sim.silent_workers.insert(second.worker.clone());
        sim.advance(SILENCE_MS, false);
        let third = sim.newest_order(task(0));
        assert_eq!(third.run, 3);
        report_late(&mut sim, &first, job::EndKind::Failed, "");
        report_late(&mut sim, &second, job::EndKind::Failed, "");
        sim.advance(1_000, false);
        sim.end_task(task(0), job::EndKind::Failed);
        sim.advance(6_000, false);
        assert_eq!(progress(&sim).phase, job::Phase::Failed, "three attempts are allowed");
        assert_eq!(runs(&sim), [1, 2, 3]);
    },
    the_checkpoint_of_a_lost_run_is_kept_for_the_next_run => {
        let step = job::Step { checkpoint: true, ..sim::step("plain", 1_000) };
        let (mut sim, first) = staged_again(step);
        report_late(&mut sim, &first, job::EndKind::Lapsed, "saved by the first run");
        sim.advance(1_000, false);
        sim.store_answers();
        sim.advance(200, false);
        assert_eq!(recorded_task(&sim).checkpoint, "saved by the first run");
    },
    the_checkpoint_of_an_earlier_run_does_not_replace_that_of_a_later_one => {
        let (mut sim, first) = running_again();
        let second = sim.newest_order(task(0));
        report_late(&mut sim, &second, job::EndKind::Stopped, "later");
        sim.advance(500, false);
        report_late(&mut sim, &first, job::EndKind::Lapsed, "earlier");
        sim.report_ended_runs(&first.worker);
        sim.advance(500, false);
        assert_eq!(recorded_task(&sim).checkpoint, "later");
    },
    a_gang_completed_by_an_earlier_run_is_not_started_again => {
        let gang = job::Step { count: 2, gang: true, ..sim::step("plain", 1_000) };
        let (mut sim, first) = staged_again(gang);
        report_late(&mut sim, &first, job::EndKind::Done, "");
        sim.advance(2_000, false);
        sim.store_answers();
        sim.advance(2_000, false);
        assert_eq!(progress(&sim).phase, job::Phase::Completed);
        assert!(sim.starts(JOB).iter().all(|(_, run)| *run == 1), "{:?}", sim.starts(JOB));
    },
}
