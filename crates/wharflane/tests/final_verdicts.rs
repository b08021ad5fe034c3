//! Accepted jobs end, and their rows go, by evidence alone.
//!
//! Guards against work that is given up for good by something that may be wrong: an end that was
//! never stored, a row that this version can't read, or silence of the store.

mod sim;

use std::time;

use wharflane::{job, rows};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::world;

/// The job of these tests.
const JOB: u64 = 11;
/// Its task.
const TASK: job::TaskId = job::TaskId { job: job::JobId(JOB), round: 0, step: 0, index: 0 };

/// Returns a simulation that runs the job, and the job's rows.
fn started() -> (sim::Sim, Vec<rows::Row>) {
    let mut sim = sim::Sim::new(2, Vec::new());
    let event = sim.accepted(JOB, "first", sim::step("plain", 1_000));
    sim.handle(event.clone());
    sim.advance(400, false);
    let job::Event::Jobs(rows) = event else {
        panic!("no rows");
    };
    (sim, rows)
}

/// Lets the time pass for which ended jobs are kept.
fn pass_keep_time(sim: &mut sim::Sim) {
    sim.now += world::settings().keep + time::Duration::from_secs(1);
    sim.advance(100, false);
}

/// Returns whether the row of the job was removed.
fn is_dropped(sim: &sim::Sim) -> bool {
    sim.removed.contains(&job::JOBS)
}

/// Returns a holder that takes over the job, of whose progress it can't read the row.
fn holder_that_cannot_read(before: &sim::Sim, jobs: &[rows::Row]) -> sim::Sim {
    let mut progress = before.table(job::PROGRESS);
    progress.iter_mut().for_each(|row| row.value = Some("of a newer version".to_owned()));
    let mut sim = sim::Sim::taking_over(2, (jobs.to_vec(), progress), Vec::new());
    sim.now = before.now;
    sim
}

cases! {
    // A job whose end is stored is removed after its time.
    a_job_whose_end_is_stored_is_removed => {
        let (mut sim, _) = started();
        sim.end_task(TASK, job::EndKind::Done);
        sim.advance(400, false);
        pass_keep_time(&mut sim);
        assert!(is_dropped(&sim));
    },
    // The store took no commit, and the row of a job was removed whose end nobody could have seen.
    a_job_whose_end_is_not_stored_keeps_its_row => {
        let (mut sim, _) = started();
        sim.leaves_txn_open = |_| true;
        sim.end_task(TASK, job::EndKind::Done);
        sim.advance(400, false);
        pass_keep_time(&mut sim);
        assert!(!is_dropped(&sim));
    },
    // The same where the store refuses the progress of the job for good.
    a_job_whose_end_the_store_refuses_keeps_its_row => {
        let (mut sim, _) = started();
        sim.refuses_txn = |txn| txn.writes.iter().any(|write| write.key.table == job::PROGRESS);
        sim.end_task(TASK, job::EndKind::Done);
        sim.advance(400, false);
        pass_keep_time(&mut sim);
        assert!(!is_dropped(&sim));
    },
    // A job that was handed in under the id of a removed one was dropped with the old progress.
    a_job_with_the_id_of_a_removed_one_is_run => {
        let (mut sim, _) = started();
        sim.end_task(TASK, job::EndKind::Done);
        sim.advance(400, false);
        sim.leaves_txn_open = |_| true;
        pass_keep_time(&mut sim);
        assert!(is_dropped(&sim));
        sim.submit(JOB, "first", sim::step("plain", 1_000));
        sim.store_answers();
        sim.ended_runs.clear();
        sim.advance(2_000, false);
        assert_eq!(sim.starts(JOB).len(), 2);
    },
    // A run was stopped since the holder couldn't read the progress of its job.
    a_run_of_an_unreadable_job_is_not_stopped => {
        let (before, rows) = started();
        let order = before.newest_order(TASK);
        let mut sim = holder_that_cannot_read(&before, &rows);
        let at = (0..2).find(|at| sim::member(*at).incarnation == order.worker).expect("a worker");
        let row = job::Running { task: TASK, run: order.run, percent: 10, load: 1_000 };
        sim.report_running(at, vec![row]);
        sim.advance(20, false);
        assert_eq!(sim.stops.len(), 0, "{:?}", sim.stops);
    },
    // An end of a job that the holder can't read was acknowledged, and nothing records it.
    an_end_of_an_unreadable_job_is_not_acknowledged => {
        let (before, rows) = started();
        let order = before.newest_order(TASK);
        let mut sim = holder_that_cannot_read(&before, &rows);
        sim.end_run(&order, job::EndKind::Done, String::new());
        sim.advance(10_000, false);
        let acknowledged = sim.acknowledgements.iter().filter(|(at, _)| *at == order.worker);
        assert_eq!(acknowledged.map(|(_, number)| *number).max(), Some(0));
    },
}
