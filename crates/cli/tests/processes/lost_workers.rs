//! Workers that crash under a sound task, or only seem to, don't fail its job.
//!
//! Guards against two ways in which hosts showed a job as failed although no run of it had failed.
//! Workers crashed for a reason of their own under one task of it, one after the other. And workers
//! that lived counted as lost: the store was away, their entries lapsed, and no host reached them.

use std::collections;
use std::time;

use wharflane::{job, size};
use wharflane_caller::job as caller;
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::server;

use crate::fleet;
use crate::job_service;

cases! {
    a_job_is_shown_as_running_while_workers_crash_under_its_task => fleet::run(crashes()),
    a_worker_that_lives_through_outages_of_the_store_counts_as_lost_under_no_task =>
        fleet::run(outages(KillHolder::AfterReturn)),
    a_worker_that_lives_through_outages_and_kills_of_the_holder_counts_as_lost_under_no_task =>
        fleet::run(outages(KillHolder::BeforeReturn)),
    the_logs_tell_that_a_job_failed_by_its_attempts => fleet::run(failed_job()),
}

/// Number of hosts.
const HOSTS: usize = 3;
/// Number of workers.
const WORKERS: usize = 8;
/// Number of tasks of the job; each takes most of a worker.
const TASKS: u32 = 3;
/// The job.
const JOB: job::JobId = job::JobId(1);
/// The task that loses its workers.
const TASK: job::TaskId = job::TaskId { job: JOB, round: 0, step: 0, index: 0 };

/// Number of crashes under one task.
const CRASHES: usize = 5;
/// How often hosts are asked after the last crash, each time after `AWAY`.
const LAST_LOOKS: usize = 4;
/// How long the task runs before its worker crashes.
const RUNS: time::Duration = time::Duration::from_secs(2);
/// How long a crashed worker is away.
const AWAY: time::Duration = time::Duration::from_secs(2);
/// How long the entry of a crashed worker stays after its successor's is there.
const ENTRY_STAYS: time::Duration = time::Duration::from_millis(2_400);

/// Number of outages of the store.
const OUTAGES: usize = 2;
/// Time from the cut of workers until an outage.
const CUT_BEFORE: time::Duration = time::Duration::from_secs(1);
/// Time from the start of an outage until entries lapse, and from then until its end.
const HALF_OUTAGE: time::Duration = time::Duration::from_secs(2);
/// Time from the end of an outage until the lapsed entries are back.
const ENTRY_RETURNS: time::Duration = time::Duration::from_millis(1_900);
/// Time from a kill of the holder until the return of the entries, where the kill comes first.
const KILL_BEFORE: time::Duration = time::Duration::from_millis(400);
/// Time from the return of the entries until the next outage.
const CALM: time::Duration = time::Duration::from_secs(2);

/// When the holder is killed and started again, in each outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KillHolder {
    /// After the store is back, and before the lapsed entries are.
    BeforeReturn,
    /// After the lapsed entries are back.
    AfterReturn,
}

/// The different phases that hosts have shown for the job, in order.
#[derive(Debug, Default)]
struct Shown(Vec<job::Phase>);

impl Shown {
    /// Asks every host for the job; a host that can't answer shows nothing. Returns whether one
    /// shows that the job has ended.
    async fn ask_all(&mut self, service: &job_service::JobService) -> bool {
        let mut ended = false;
        for host in 0..HOSTS {
            let reply = service.jobs(host).state(server::QUEUE, JOB).await;
            if let Ok(caller::JobReply::State(phase)) = reply {
                ended |= phase.ended();
                self.0.push(phase);
            }
        }
        self.0.dedup();
        ended
    }
}

/// Starts the hosts and workers; a weak host leaves a lease to its holder for longer.
async fn start(weak: bool) -> job_service::JobService {
    let setup = job_service::Setup {
        workers: WORKERS,
        log: job_service::Log::Files,
        weak,
        ..Default::default()
    };
    job_service::JobService::start_with(HOSTS, setup).await
}

/// Submits the job until it is accepted; its tasks run until cancelled if `lasting` is set.
async fn submit(service: &job_service::JobService, lasting: bool) {
    let size = size::Size { cpu_milli: 3_000, mem_mb: 100, accelerators: 0 };
    let steps = vec![job::Step { count: TASKS, size, lasting, ..job::Step::default() }];
    let submission = caller::Submission { spec: "spec".to_owned(), steps, repeats: None };
    service.register(JOB, submission.clone());
    fleet::wait_until("the job to be accepted", async || {
        let reply = service.jobs(0).submit(server::QUEUE, JOB, &submission).await;
        matches!(reply, Ok(caller::JobReply::Accepted))
    })
    .await;
}

/// Returns the worker of each running task, by the task, with the number of its run.
fn running(service: &job_service::JobService) -> collections::BTreeMap<job::TaskId, (usize, u32)> {
    let state = service.platform.lock();
    let workers = state.workers.iter().enumerate();
    workers
        .flat_map(|(at, worker)| worker.running().map(move |(task, run)| (task, (at, run))))
        .collect()
}

/// Waits until all tasks of the job run.
async fn wait_for_all_tasks(service: &job_service::JobService) {
    fleet::wait_until("all tasks to run", async || running(service).len() == TASKS as usize).await;
}

/// Crashes the worker of the task, once that has run for a while, and brings the worker back under
/// another id. The entry of its former id lapses later.
async fn crash_worker(service: &job_service::JobService) {
    tokio::time::sleep(RUNS).await;
    fleet::wait_until("the task to run", async || running(service).contains_key(&TASK)).await;
    let (at, _) = running(service)[&TASK];
    let over = service.platform.crash_worker(at);
    tokio::time::sleep(AWAY).await;
    service.platform.replace_worker(at);
    let platform = service.platform.clone();
    tokio::spawn(async move {
        tokio::time::sleep(ENTRY_STAYS).await;
        platform.unlist_worker(&over);
    });
}

/// Crashes the worker of the task five times in succession; returns the phases that hosts showed.
async fn crash_workers(service: &job_service::JobService) -> Shown {
    let mut shown = Shown::default();
    for crashed in 1..=CRASHES {
        crash_worker(service).await;
        if crashed == CRASHES {
            break;
        }
        fleet::wait_until("the task to start again", async || {
            let run = running(service).get(&TASK).map_or(0, |(_, run)| *run as usize);
            shown.ask_all(service).await || run > crashed
        })
        .await;
        if !running(service).contains_key(&TASK) {
            break;
        }
    }
    // The task may get no start for minutes; its loss is decided within seconds.
    for _ in 0..LAST_LOOKS {
        tokio::time::sleep(AWAY).await;
        shown.ask_all(service).await;
    }
    shown
}

/// No host shows the job as failed after five workers crashed under one of its tasks.
async fn crashes() {
    let service = start(false).await;
    submit(&service, true).await;
    wait_for_all_tasks(&service).await;
    let shown = crash_workers(&service).await;
    let report = why(&service).await;
    assert_eq!(shown.0, [job::Phase::Running], "{report}");
    assert_eq!(service.platform.lock().checker.violations, Vec::new());
}

/// Outages of the store, silent and busy, in each of which the entries of all workers with a task
/// lapse while no host reaches them; the holder resumes after it. No loss counts afterwards, and no
/// host has shown the job as failed.
async fn outages(kill: KillHolder) {
    let mut service = start(true).await;
    submit(&service, true).await;
    let (mut shown, mut known_as_false) = (Shown::default(), 0);
    for outage in 0..OUTAGES {
        wait_for_all_tasks(&service).await;
        let cut: Vec<usize> = running(&service).into_values().map(|(at, _)| at).collect();
        lapse_in_outage(&service, &cut, outage % 2 == 0).await;
        tokio::time::sleep(ENTRY_RETURNS - KILL_BEFORE).await;
        let before = service.lease();
        if kill == KillHolder::BeforeReturn {
            service.restart(job_service::host_of(&before));
        }
        tokio::time::sleep(KILL_BEFORE).await;
        for at in cut {
            service.platform.list_worker(at);
            service.platform.set_reachable(at, true);
        }
        tokio::time::sleep(CALM).await;
        if kill == KillHolder::AfterReturn {
            known_as_false +=
                service.metric(job_service::host_of(&before), "wharflane_false_losses").await;
            service.restart(job_service::host_of(&before));
        }
        fleet::wait_until("the next holder", async || {
            shown.ask_all(&service).await;
            service.lease().epoch > before.epoch
        })
        .await;
    }
    wait_for_all_tasks(&service).await;
    shown.ask_all(&service).await;
    let report = why(&service).await;
    assert_eq!(shown.0, [job::Phase::Running], "{report}");
    let losses = stored_losses(&service);
    let none = losses.iter().all(|lost| *lost == job::Losses::default());
    assert!(none, "{known_as_false} losses were known as false, {losses:?} count\n{report}");
    assert_eq!(service.platform.lock().checker.violations, Vec::new());
}

/// Cuts off workers, lets the store be away, silent or busy, and lets the workers' entries lapse
/// meanwhile.
async fn lapse_in_outage(service: &job_service::JobService, cut: &[usize], silent: bool) {
    cut.iter().for_each(|at| service.platform.set_reachable(*at, false));
    tokio::time::sleep(CUT_BEFORE).await;
    service.platform.lock().faults =
        server::Faults { store_silent: silent, store_busy: !silent, ..server::Faults::default() };
    tokio::time::sleep(HALF_OUTAGE).await;
    for at in cut {
        let worker = service.platform.lock().workers[*at].incarnation.worker.clone();
        service.platform.unlist_worker(&worker);
    }
    tokio::time::sleep(HALF_OUTAGE).await;
    service.platform.lock().faults = server::Faults::default();
}

/// Returns the losses of workers that count against each task, as stored.
fn stored_losses(service: &job_service::JobService) -> Vec<job::Losses> {
    let row = service.platform.lock().rows.get(&job::progress_key(0, JOB));
    let text = row.and_then(|row| row.value).expect("no progress is stored");
    let progress = job::Progress::decode(&text).expect("unreadable progress");
    progress.tasks.values().map(|task| task.losses).collect()
}

/// An engineer sees from the logs of the hosts by which failed runs a job has failed.
async fn failed_job() {
    let service = start(false).await;
    submit(&service, false).await;
    service.platform.lock().workers.iter_mut().for_each(|worker| worker.fails_every_task = true);
    let mut shown = Shown::default();
    fleet::wait_until("the job to fail", async || shown.ask_all(&service).await).await;
    let report = why(&service).await;
    assert!(report.contains("job failed  attempts=3 failures=3"), "{report}");
}

/// Runs `wharflane why` on the logs of all hosts, and returns what it prints of the job.
async fn why(service: &job_service::JobService) -> String {
    let mut args = vec!["why".to_owned(), JOB.to_string()];
    for host in 0..HOSTS {
        args.extend(["--log".to_owned(), service.log_path(host).display().to_string()]);
    }
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let output = fleet::output("wharflane", &args).await;
    String::from_utf8_lossy(&output.stdout).into_owned()
}
