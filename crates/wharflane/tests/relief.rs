//! What may not hold up the relief of starving tasks, nor set the clock of their wait back.

mod sim;

use std::time;

use wharflane::{job, rows};
use wharflane_stand_in::cases;

use sim::serving;

/// How long a task may wait, in milliseconds.
const BOUND_MS: u64 = 3_000;
/// How long a long-running task may be without a worker, in milliseconds, however full its service
/// is.
const AWAY_MS: u64 = 6_000;
/// How long all must have been calm until a long-running task must run, in milliseconds.
const CALM_MS: u64 = 7_000;
/// The first job that waits.
const WAITING: u64 = 10;
/// The processors of a best-effort task, in thousandths of a core.
const FILLING_MILLI: u64 = 4_000;

/// Returns the id of a task.
fn task(job: u64, index: u32) -> job::TaskId {
    job::TaskId { job: job::JobId(job), round: 0, step: 0, index }
}

/// Returns after how many milliseconds a job has this many starts, or nothing within 20 s.
fn starts_after_ms(sim: &mut sim::Sim, job: u64, starts: usize) -> Option<u64> {
    (1..=200).map(|at| at * 100).find(|_| {
        sim.advance(100, false);
        sim.starts(job).len() >= starts
    })
}

cases! {
    // Guards against this failure: the clock of a starving task begins anew with each start that is
    // refused or not sent, so two of them take longer than the bound.
    a_starving_task_whose_starts_fail_does_not_wait_all_over_again => {
        for answer in [job::StartAnswer::NotSent, job::StartAnswer::Refused(job::StartRefusal::Room)] {
            let mut sim = serving::workers(4, 2.5);
            // The simulation answers the four starts in `pending` once more.
            sim.start_answers.extend([job::StartAnswer::Taken { clock_ms: None }; 4]);
            sim.start_answers.push_back(answer);
            sim.submit(WAITING, "last", sim::step("filling", FILLING_MILLI));
            sim.advance(BOUND_MS, false);
            assert_eq!(sim.starts(WAITING).len(), 1, "{answer:?}, 3 other workers have room");
        }
    },
    // Guards against this failure: the absence of a long-running task is counted anew from a start
    // that was refused or not sent.
    a_long_running_task_whose_start_fails_returns_within_its_bound => {
        for answer in [job::StartAnswer::NotSent, job::StartAnswer::Refused(job::StartRefusal::Room)] {
            let mut sim = serving::workers(4, 2.5);
            sim.submit(WAITING, "last", job::Step { lasting: true, ..sim::step("filling", FILLING_MILLI) });
            sim.advance(2_000, false);
            assert_eq!(sim.starts(WAITING).len(), 1);
            for job in 100..104 {
                sim.submit(job, "first", sim::step("plain", 5_000));
            }
            sim.advance(500, false);
            sim.end_task(task(WAITING, 0), job::EndKind::Failed);
            // The simulation answers the nine starts in `pending` once more.
            sim.start_answers.extend([job::StartAnswer::Taken { clock_ms: None }; 9]);
            sim.start_answers.push_back(answer);
            sim.advance(AWAY_MS, false);
            assert_eq!(sim.not_taken.len(), 1);
            assert_eq!(sim.starts(WAITING).len(), 2, "{answer:?}, 3 other workers have room");
        }
    },
    // Guards against this failure: relief starts a suspect beside another that was isolated in the
    // same pass, and one loss fails both jobs.
    two_suspects_that_may_lose_one_more_worker_are_not_started_on_one_worker_at_once => {
        let rows_of = |number: u64| {
            let mut before = sim::Sim::new(1, Vec::new());
            let job::Event::Jobs(jobs) = before.accepted(number, "first", sim::step("plain", 1_000)) else {
                panic!("no rows");
            };
            let lost = r#"{"suspected":0,"alone":0,"unexplained":4}"#;
            let row = rows::Row {
                name: job::progress_key(0, job::JobId(number)).name,
                part: job::part(0),
                version: 1,
                value: Some(format!(r#"{{"phase":"running","tasks":[{{"at":[0,0,0],"run":4,"lost":{lost}}}]}}"#)),
                gone: false,
            };
            (jobs, vec![row])
        };
        let (mut jobs, mut progress) = rows_of(20);
        let (more_jobs, more_progress) = rows_of(21);
        jobs.extend(more_jobs);
        progress.extend(more_progress);
        let mut sim = sim::Sim::taking_over(4, (jobs, progress), Vec::new());
        for job in 1_000..1_003 {
            // It leaves no memory to others, and most of the service's processors.
            let step = sim::step("serving", 4_000);
            let size = wharflane::size::Size { mem_mb: 64_000, ..step.size };
            sim.submit(job, "first", job::Step { size, ..step });
        }
        while sim.starts(20).is_empty() {
            assert!(sim.now < time::Duration::from_secs(30), "no start");
            sim.advance(20, false);
        }
        sim.advance(200, false);
        sim::losses::crash(&mut sim, 20);
        sim.advance(100, false);
        let failed = [20, 21].iter().filter(|job| sim.phase(**job) == job::Phase::Failed).count();
        assert_eq!(failed, 1, "one loss fails one job at most");
    },
    // Guards against this failure: a long-running suspect waits for an empty worker after the calm
    // that the users allow, in a service where long-running tasks leave none empty.
    a_long_running_suspect_returns_once_all_is_calm_though_no_worker_is_empty => {
        let mut sim = sim::Sim::new(8, Vec::new());
        let spread = job::Step { count: 8, max_per_worker: Some(1), ..sim::step("serving", 4_000) };
        sim.submit(serving::JOB, "first", spread);
        sim.advance(500, false);
        sim.submit(WAITING, "first", job::Step { lasting: true, ..sim::step("plain", 500) });
        for loss in 1..=3 {
            while sim.starts(WAITING).len() < loss {
                assert!(sim.now < time::Duration::from_secs(60), "no start");
                sim.advance(100, false);
            }
            sim.advance(2_200, false);
            sim::losses::crash(&mut sim, WAITING);
        }
        let after = starts_after_ms(&mut sim, WAITING, 4).map(|ms| ms + sim::losses::AWAY_MS);
        assert!(after.is_some_and(|ms| ms <= CALM_MS), "{after:?} after the last loss");
    },
    // Guards against this failure: no ticket is requested for a worker that is only not preferred, so
    // relief has none to use.
    a_job_that_needs_tickets_does_not_wait_until_all_workers_leave_quarantine => {
        let mut sim = sim::Sim::new(2, Vec::new());
        sim.allowed_workers = (0..2).map(|at| sim::member(at).incarnation).collect();
        let failing = job::Step { count: 4, max_per_worker: Some(2), ..sim::step("plain", 1_000) };
        sim.submit(2, "first", failing);
        sim.advance(500, false);
        for index in 0..4 {
            sim.end_task(task(2, index), job::EndKind::Failed);
        }
        sim.advance(200, false);
        sim.submit(WAITING, sim::ADVISED, sim::step("plain", 1_000));
        let after = starts_after_ms(&mut sim, WAITING, 1);
        assert!(after.is_some_and(|ms| ms <= BOUND_MS), "{after:?}");
    },
    // Guards against this failure: relief excludes a quarantined worker where the task last failed,
    // though it is the only one.
    a_job_that_failed_on_the_only_worker_it_can_run_on_runs_within_the_bound => {
        let mut sim = sim::Sim::new(1, Vec::new());
        sim.submit(WAITING, "first", sim::step("plain", 1_000));
        for run in 1..=2 {
            sim.advance(1_000, false);
            assert_eq!(sim.starts(WAITING).len(), run);
            sim.end_task(task(WAITING, 0), job::EndKind::Failed);
        }
        let after = starts_after_ms(&mut sim, WAITING, 3);
        assert!(after.is_some_and(|ms| ms <= BOUND_MS), "{after:?}");
    },
    // Guards against this failure: relief knows the first task of a group alone, so a wide step of
    // tasks that last starts one a pass.
    every_long_running_task_of_one_wide_step_runs_within_the_bound => {
        let mut sim = serving::workers(16, 2.5);
        let wide = job::Step { lasting: true, count: 100, ..sim::step("filling", FILLING_MILLI) };
        sim.submit(WAITING, "last", wide);
        let after = starts_after_ms(&mut sim, WAITING, 100);
        assert!(after.is_some_and(|ms| ms <= AWAY_MS), "{after:?}");
    },
    // Guards against this failure: two searches a pass go to tasks that fit nowhere.
    a_starving_task_is_not_held_up_by_others_that_fit_no_worker => {
        let mut sim = serving::workers(4, 2.5);
        let large = job::Step { max_per_worker: Some(1), ..sim::step("plain", 13_000) };
        for at in 0..100 {
            sim.submit(100 + at, "first", large.clone());
        }
        sim.submit(300, "last", sim::step("filling", FILLING_MILLI));
        let after = starts_after_ms(&mut sim, 300, 1);
        assert!(after.is_some_and(|ms| ms <= BOUND_MS), "{after:?}");
    },
    // Guards against this failure: a gang that does not fit as a whole counts as a finding that no
    // single task of its size fits.
    a_starving_task_is_not_held_up_by_gangs_that_do_not_fit_as_a_whole => {
        let mut sim = serving::workers(4, 2.5);
        let gang = job::Step { gang: true, count: 70, ..sim::step("filling", FILLING_MILLI) };
        let gang = job::Step { size: wharflane::size::Size { mem_mb: 20_000, ..gang.size }, ..gang };
        for at in 0..60 {
            sim.submit(100 + at, "last", gang.clone());
        }
        let single = sim::step("filling", FILLING_MILLI);
        let single = job::Step { size: wharflane::size::Size { mem_mb: 20_000, ..single.size }, ..single };
        sim.submit(300, "last", single);
        let after = starts_after_ms(&mut sim, 300, 1);
        assert!(after.is_some_and(|ms| ms <= BOUND_MS), "{after:?}");
    },
}
