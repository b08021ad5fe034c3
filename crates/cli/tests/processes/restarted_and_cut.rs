//! No task runs twice at once when its worker restarts under its id and is then cut off.
//!
//! An order names a worker by its id alone, so the next incarnation carries out an order that was
//! meant for the previous one. Guards against a second run elsewhere while the first goes on: its
//! holder had requested a shorter lease by the clock of the previous incarnation. The clock of the
//! next one begins anew, so that the worker grants its longest lease. Guards as well against one
//! that came since the worker was cut off from the store too: its entry had lapsed, and the holder
//! took that for its end.

use std::time;

use wharflane::{job, size};
use wharflane_caller::job as caller;
use wharflane_stand_in::cases;

use crate::fleet;
use crate::job_service;

cases! {
    no_task_runs_twice_while_restarted_workers_are_cut_off =>
        fleet::run(cut_off(Holder::Stays, LONGER_LEASE, Entries::Stay)),
    no_task_runs_twice_while_the_holder_dies_and_restarted_workers_are_cut_off =>
        fleet::run(cut_off(Holder::Dies, LONGER_LEASE, Entries::Stay)),
    no_task_runs_twice_while_entries_of_restarted_workers_lapse_under_leases_of_6_s =>
        fleet::run(cut_off(Holder::Stays, SHORTER_LEASE, Entries::Lapse)),
    no_task_runs_twice_while_entries_of_restarted_workers_lapse_under_leases_of_10_s =>
        fleet::run(cut_off(Holder::Stays, LONGER_LEASE, Entries::Lapse)),
    no_task_runs_twice_while_the_holder_dies_and_entries_lapse_under_leases_of_6_s =>
        fleet::run(cut_off(Holder::Dies, SHORTER_LEASE, Entries::Lapse)),
    no_task_runs_twice_while_the_holder_dies_and_entries_lapse_under_leases_of_10_s =>
        fleet::run(cut_off(Holder::Dies, LONGER_LEASE, Entries::Lapse)),
}

/// Number of hosts.
const HOSTS: usize = 3;
/// Number of workers; those that are cut off leave enough for all tasks.
const WORKERS: usize = 4;
/// Number of tasks of the job; each takes most of a worker.
const TASKS: u32 = 2;
/// Run time of a task, which is longer than any lease.
const TASK_TIME: time::Duration = time::Duration::from_secs(12);
/// The longest lease that workers grant, which is well beyond the one that a holder requests.
const LONGER_LEASE: time::Duration = time::Duration::from_secs(10);
/// The longest lease that workers grant, which is little beyond the one that a holder requests.
const SHORTER_LEASE: time::Duration = time::Duration::from_secs(6);
/// The times from the cut until the entry of each worker lapses, which is 2.2 to 3.3 s after it was
/// last written: the former incarnation wrote one of them 1.1 s before the restart.
const ENTRIES_LAPSE_AFTER: [time::Duration; TASKS as usize] =
    [time::Duration::from_millis(1_100), time::Duration::from_millis(2_200)];
/// The job.
const JOB: job::JobId = job::JobId(1);

/// What becomes of the holder between the return of the workers and their cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Holder {
    /// It goes on, and hears nothing of the restarts.
    Stays,
    /// It is killed, so that the next holder knows nothing of the restarts.
    Dies,
}

/// What becomes of the entries of the workers that are cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Entries {
    /// Those of the former incarnations stay through the cut.
    Stay,
    /// The workers are cut off from the store as well, and the entries of the former incarnations
    /// lapse.
    Lapse,
}

/// Workers restart just before their starts arrive, take these and a heartbeat with a lease, and are
/// cut off. Their new entries come once their runs are over or a task has started again.
async fn cut_off(holder: Holder, longest_lease: time::Duration, entries: Entries) {
    let mut service = start(longest_lease).await;
    service.platform.lock().faults.starts_after_restart = TASKS;
    service.submit_job(0, JOB, &submission()).await;
    fleet::wait_until("the restarted workers to take their orders", async || {
        restarted(&service).filter(|at| has_taken_orders(&service, *at)).count() == TASKS as usize
    })
    .await;
    let before = job_service::host_of(&service.lease());
    if holder == Holder::Dies {
        service.kill(before);
    }
    let cut: Vec<usize> = restarted(&service).collect();
    cut.iter().for_each(|at| service.platform.set_reachable(*at, false));
    if entries == Entries::Lapse {
        lapse_entries(&service, &cut).await;
    }
    fleet::wait_until("the runs to end or a task to start again", async || {
        let over = cut.iter().all(|at| runs(&service, *at) == 0);
        over || service.platform.lock().checker.starts > u64::from(TASKS)
    })
    .await;
    assert_eq!(service.platform.lock().checker.violations, Vec::new());
    cut.iter().for_each(|at| return_worker(&service, *at));
    let other = (before + 1) % HOSTS;
    service.wait_for_phase(other, JOB, job::Phase::Completed).await;
    assert_eq!(service.platform.lock().checker.violations, Vec::new());
}

/// Starts the hosts and workers, and waits until no worker can have a lease from before them: the
/// first holder assumes the longest on each.
async fn start(longest_lease: time::Duration) -> job_service::JobService {
    let setup =
        job_service::Setup { workers: WORKERS, longest_lease, ..job_service::Setup::default() };
    let service = job_service::JobService::start_with(HOSTS, setup).await;
    service.platform.lock().work = TASK_TIME;
    // A task without progress would be stopped as stalled before its end.
    service.platform.lock().workers.iter_mut().for_each(|worker| worker.reports_progress = true);
    fleet::wait_until("leases from before the holder to expire", async || {
        service.lease().earlier_left_ms == Some(0)
    })
    .await;
    service
}

/// Returns the job.
fn submission() -> caller::Submission {
    let size = size::Size { cpu_milli: 3_000, mem_mb: 100, accelerators: 0 };
    let steps = vec![job::Step { count: TASKS, size, ..job::Step::default() }];
    caller::Submission { spec: "spec".to_owned(), steps, repeats: None }
}

/// Returns the indices of the workers that have restarted and whose answers are lost.
fn restarted(service: &job_service::JobService) -> impl Iterator<Item = usize> + use<> {
    let state = service.platform.lock();
    let lost = state.workers.iter().map(|worker| worker.answers_lost_from.is_some());
    let lost: Vec<bool> = lost.collect();
    (0..WORKERS).filter(move |at| lost[*at])
}

/// Returns whether a worker has taken a start and a heartbeat with a lease.
fn has_taken_orders(service: &job_service::JobService, at: usize) -> bool {
    runs(service, at) > 0 && service.platform.lock().workers[at].renewals > 0
}

/// Returns how many runs are in progress on a worker.
fn runs(service: &job_service::JobService, at: usize) -> usize {
    service.platform.lock().workers[at].running().count()
}

/// Removes the entries of workers that have just been cut off, each when it lapses.
async fn lapse_entries(service: &job_service::JobService, cut: &[usize]) {
    let since = tokio::time::Instant::now();
    for (at, after) in cut.iter().zip(ENTRIES_LAPSE_AFTER) {
        tokio::time::sleep_until(since + after).await;
        let worker = service.platform.lock().workers[*at].incarnation.worker.clone();
        service.platform.unlist_worker(&worker);
    }
}

/// Lists the new incarnation of a worker, and lets hosts reach it and hear its answers again.
fn return_worker(service: &job_service::JobService, at: usize) {
    let mut state = service.platform.lock();
    state.workers[at].reachable = true;
    state.workers[at].answers_lost_from = None;
    drop(state);
    service.platform.list_worker(at);
}
