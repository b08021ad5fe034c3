//! The job service with hosts as separate processes, which reach the stand-in platform over its
//! protocol.

use std::fs;
use std::time;

use wharflane::job;
use wharflane_caller::job as caller;
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::server;

use crate::fleet;
use crate::job_service;

cases! {
    submitted_jobs_complete => fleet::run(completed_jobs()),
    jobs_end_once_when_holders_are_killed => fleet::run(killed_holders()),
    jobs_are_kept_when_all_hosts_die_after_the_answer => fleet::run(all_killed()),
    a_submission_whose_write_had_no_answer_is_one_job => fleet::run(lost_answers()),
    a_busy_store_refuses_submissions_with_retry_after => fleet::run(busy_store()),
    a_silent_store_gives_an_unknown_outcome_in_half_of_the_deadline => fleet::run(silent_store()),
    an_invalid_job_is_refused_with_a_reason_and_not_stored => fleet::run(invalid_jobs()),
    a_cancelled_job_stops => fleet::run(cancelled()),
    a_submission_with_unknown_outcome_is_read_back => fleet::run(read_back()),
    a_host_that_lost_the_store_refuses_at_once => fleet::run(store_lost()),
    jobs_end_once_on_workers_that_restart_under_their_id => fleet::run(restarted_workers()),
    jobs_of_a_queue_with_an_advisor_run_only_on_allowed_workers => fleet::run(with_advisor()),
    a_job_goes_on_by_its_queue_when_that_is_removed_and_all_hosts_die =>
        fleet::run(removed_queue()),
    a_job_accepted_by_a_host_that_lags_goes_on_when_its_queue_is_removed =>
        fleet::run(queue_removed_before_it_is_read()),
    a_count_without_a_running_writer_is_not_reported => fleet::run(frozen_writer()),
    callers_asking_for_a_count_are_answered_while_the_store_is_silent => fleet::run(many_callers()),
    callers_of_a_busy_store_get_different_retry_after_times => fleet::run(spread_retry_after()),
    an_unknown_outcome_stays_unknown_when_the_store_rejects_the_next_call =>
        fleet::run(outcome_stays_unknown()),
    sighup_does_not_stop_a_host => fleet::run(sighup()),
    the_command_line_submits_and_follows_jobs => fleet::run(command_line()),
}

/// Lease time of a host that must not take over while a test runs.
const STANDBY_LEASE_MS: u64 = 60_000;
/// Maximum age of a count of waiting jobs that hosts report to callers.
const MAX_COUNT_AGE: time::Duration = time::Duration::from_secs(2);

/// Jobs submitted at either host are reported as completed by both.
async fn completed_jobs() {
    let service = job_service::JobService::start(2).await;
    for id in 1..=6 {
        service.submit(usize::from(id % 2 == 0), id).await;
    }
    for id in 1..=6 {
        service.wait_for_phase(0, job::JobId(id), job::Phase::Completed).await;
        service.wait_for_phase(1, job::JobId(id), job::Phase::Completed).await;
    }
    let reply = service.jobs(0).count_waiting(server::QUEUE).await.expect("no answer");
    assert_eq!(reply, caller::JobReply::Waiting(0));
    service.check_violations_and_starts(30);
}

/// Restarts each worker under its id between two groups of jobs. The new incarnations number their
/// ended runs from one again; the holder must not discard their reports as known.
async fn restarted_workers() {
    /// Number of workers of the platform.
    const WORKERS: usize = 3;
    let service = job_service::JobService::start(2).await;
    for id in 1..=3 {
        service.submit(0, id).await;
        service.wait_for_phase(0, job::JobId(id), job::Phase::Completed).await;
    }
    (0..WORKERS).for_each(|at| service.platform.restart_worker(at));
    for id in 4..=6 {
        service.submit(1, id).await;
        service.wait_for_phase(1, job::JobId(id), job::Phase::Completed).await;
    }
    service.check_violations_and_starts(30);
}

/// Runs jobs of a queue whose tasks may run only on workers that the advice service allows.
async fn with_advisor() {
    let service = job_service::JobService::start(2).await;
    service.platform.lock().advice = true;
    service.platform.configure(2);
    for id in 1..=3 {
        service.submit(0, id).await;
    }
    for id in 1..=3 {
        service.wait_for_phase(1, job::JobId(id), job::Phase::Completed).await;
    }
    assert!(service.platform.lock().advice_calls > 0, "the advice service got no request");
    service.check_violations_and_starts(15);
}

/// Removes the queue of a job and kills all hosts: the next one has never read a configuration with
/// it, and yet starts the job only on workers that the advice service allows.
async fn removed_queue() {
    let mut service = job_service::JobService::start(2).await;
    service.platform.lock().advice = true;
    service.platform.configure(2);
    service.wait_for_revision(0, 2).await;
    service.submit(0, 1).await;
    assert!(service.remove_queue_and_hosts().await > 0, "no request for advice");
}

/// The same with a job accepted at once after the queue is to want advice: the host may not have read
/// that yet, so that the row of the job tells nothing of it.
async fn queue_removed_before_it_is_read() {
    let mut service = job_service::JobService::start(2).await;
    service.platform.lock().advice = true;
    service.platform.configure(2);
    service.submit(0, 1).await;
    service.remove_queue_and_hosts().await;
}

/// A host refuses a submission after the store was silent for 3.5 s, and accepts it once the store
/// is back.
async fn store_lost() {
    let service = job_service::JobService::start(1).await;
    service.platform.lock().faults.store_silent = true;
    // A feed call that was open before stays open for 1.5 s.
    tokio::time::sleep(time::Duration::from_millis(3_500)).await;
    let reply =
        service.jobs(0).submit(server::QUEUE, job::JobId(1), &job_service::two_steps()).await;
    let refused = matches!(reply, Err(caller::JobError::Refused { status: 503, .. }));
    assert!(refused, "{reply:?}");
    service.platform.lock().faults.store_silent = false;
    fleet::wait_until("a submission to be accepted again", async || {
        let reply =
            service.jobs(0).submit(server::QUEUE, job::JobId(1), &job_service::two_steps()).await;
        matches!(reply, Ok(caller::JobReply::Accepted))
    })
    .await;
}

/// Loses the answers to all writes: the host reads the row and finds that the submission is stored.
async fn read_back() {
    let service = job_service::JobService::start(1).await;
    service.platform.lock().faults.lose_every = 1;
    let reply =
        service.jobs(0).submit(server::QUEUE, job::JobId(1), &job_service::two_steps()).await;
    assert_eq!(reply.expect("no answer"), caller::JobReply::Accepted);
}

/// Kills two of three hosts in turn while jobs run; every job still completes.
async fn killed_holders() {
    let mut service = job_service::JobService::start(3).await;
    for id in 1..=4 {
        service.submit(2, id).await;
    }
    for host in 0..2 {
        service.hosts[host].0.kill();
        service.submit(2, 10 + host as u64).await;
        tokio::time::sleep(job_service::TASK_TIME).await;
    }
    for id in [1, 2, 3, 4, 10, 11] {
        service.wait_for_phase(2, job::JobId(id), job::Phase::Completed).await;
    }
    let state = service.platform.lock();
    assert_eq!(state.checker.violations, Vec::new());
}

/// Kills every host right after a job was accepted; a new host completes the job.
async fn all_killed() {
    let mut service = job_service::JobService::start(2).await;
    let id = service.submit(0, 7).await;
    for (process, _) in &mut service.hosts {
        process.kill();
    }
    service.add_host(job_service::LEASE_MS);
    let last = service.hosts.len() - 1;
    service.wait_until_ready(last).await;
    service.wait_for_phase(last, id, job::Phase::Completed).await;
    service.check_violations_and_starts(5);
}

/// Loses the answer of every third transaction and submits every job at two hosts: each job runs
/// once.
async fn lost_answers() {
    let service = job_service::JobService::start(2).await;
    service.platform.lock().faults.lose_every = 3;
    for id in 1..=4 {
        service.submit(0, id).await;
        service.submit(1, id).await;
    }
    for id in 1..=4 {
        service.wait_for_phase(0, job::JobId(id), job::Phase::Completed).await;
    }
    service.check_violations_and_starts(20);
}

/// A submission while the store rejects every call is refused with 503, and the job is not stored.
async fn busy_store() {
    let service = job_service::JobService::start(1).await;
    service.platform.lock().faults.store_busy = true;
    let reply =
        service.jobs(0).submit(server::QUEUE, job::JobId(1), &job_service::two_steps()).await;
    let refused = matches!(reply, Err(caller::JobError::Refused { status: 503, .. }));
    assert!(refused, "{reply:?}");
    service.platform.lock().faults.store_busy = false;
    let reply = service.jobs(0).state(server::QUEUE, job::JobId(1)).await;
    let gone = matches!(reply, Err(caller::JobError::Refused { status: 410, .. }));
    assert!(gone, "{reply:?}");
    service.check_violations_and_starts(0);
}

/// A submission while the store never answers gets 504, an unknown outcome, within half of the
/// caller's deadline.
///
/// A host assumes a deadline of 3 s for a caller that sends none, so it replies after 1.5 s, before
/// the client's limit of 2 s and long before the 5 s of the other tests.
async fn silent_store() {
    let service = job_service::JobService::start(1).await;
    service.platform.lock().faults.store_silent = true;
    let client = caller::Jobs::new(service.hosts[0].1, time::Duration::from_secs(2));
    let reply = client.submit(server::QUEUE, job::JobId(1), &job_service::two_steps()).await;
    let unknown = matches!(reply, Err(caller::JobError::Refused { status: 504, .. }));
    assert!(unknown, "{reply:?}");
    service.check_violations_and_starts(0);
}

/// Submits invalid jobs and one to an unknown queue: each is refused with its reason.
async fn invalid_jobs() {
    let service = job_service::JobService::start(1).await;
    let mut empty = job_service::two_steps();
    empty.steps.clear();
    let mut backwards = job_service::two_steps();
    backwards.steps[0].after = vec![1];
    let mut long = job_service::two_steps();
    long.spec = "x".repeat(job::MAX_SPEC_BYTES + 1);
    let mut wide = job_service::two_steps();
    wide.steps[0].count = u32::MAX;
    for (id, (submission, reason)) in [
        (empty, "at least one step"),
        (backwards, "not an earlier one"),
        (long, "bytes long"),
        (wide, "tasks are more"),
    ]
    .into_iter()
    .enumerate()
    {
        let id = job::JobId(id as u64);
        let reply = service.jobs(0).submit(server::QUEUE, id, &submission).await;
        let Err(caller::JobError::Refused { status: 400, title }) = reply else {
            panic!("{reply:?}");
        };
        assert!(title.contains(reason), "{title}");
        let state = service.jobs(0).state(server::QUEUE, id).await;
        assert!(matches!(state, Err(caller::JobError::Refused { status: 410, .. })), "{state:?}");
    }
    let reply = service.jobs(0).submit("nowhere", job::JobId(9), &job_service::two_steps()).await;
    assert!(matches!(reply, Err(caller::JobError::Refused { status: 404, .. })), "{reply:?}");
}

/// Cancels a job of long-running tasks: all of them stop.
async fn cancelled() {
    let service = job_service::JobService::start(2).await;
    let mut long_running = job_service::two_steps();
    long_running.steps.truncate(1);
    long_running.steps[0].lasting = true;
    let id = job::JobId(3);
    service.register(id, long_running.clone());
    let reply = service.jobs(0).submit(server::QUEUE, id, &long_running).await.expect("no answer");
    assert_eq!(reply, caller::JobReply::Accepted);
    let running = async || {
        let state = service.platform.lock();
        state.workers.iter().map(|worker| worker.running().count()).sum::<usize>()
    };
    fleet::wait_until("three running tasks", async || running().await == 3).await;
    let reply = service.jobs(1).cancel(server::QUEUE, id).await.expect("no answer");
    assert_eq!(reply, caller::JobReply::Cancelled);
    fleet::wait_until("no running task", async || running().await == 0).await;
    service.wait_for_phase(0, id, job::Phase::Cancelled).await;
    service.check_violations_and_starts(3);
}

/// Freezes the holder, submits a job at another host, and reads the count there once every count by
/// the holder is older than the maximum age.
///
/// Guards against outdated counts: callers got a count of 0 while seven jobs had waited for 5 s.
/// The holder had become several times slower, with 1 to 2 s between its commits, and accepted jobs
/// queued up before it. Hosts trusted the row of counts regardless of its age and of the lag of its
/// writer, since the row did not state how recent the underlying state was. A frozen holder
/// reproduces this deterministically.
async fn frozen_writer() {
    let mut service = job_service::JobService::start(1).await;
    service.add_host(STANDBY_LEASE_MS);
    service.wait_until_ready(1).await;
    service.hosts[0].0.signal("-STOP");
    let id = service.submit(1, 9).await;
    tokio::time::sleep(2 * MAX_COUNT_AGE).await;
    let reply = service.jobs(1).count_waiting(server::QUEUE).await;
    let known = matches!(&reply, Ok(caller::JobReply::Waiting(1)));
    let not_known = matches!(&reply, Err(caller::JobError::Refused { status: 503, .. }));
    assert!(known || not_known, "{reply:?}");
    service.hosts[0].0.signal("-CONT");
    service.wait_for_phase(1, id, job::Phase::Completed).await;
    let jobs = service.jobs(1);
    fleet::wait_until("a count of no waiting jobs", async || {
        matches!(jobs.count_waiting(server::QUEUE).await, Ok(caller::JobReply::Waiting(0)))
    })
    .await;
    service.check_violations_and_starts(5);
}

/// Many callers ask for the count of waiting jobs while the store never answers: all are refused in
/// time.
///
/// A read of the store times out after 0.8 s. Sequential reads, one for each caller, would exceed
/// the callers' limit of 5 s; a host assumes a deadline of 3 s for a caller that sends none.
async fn many_callers() {
    /// More callers than there are reads within a caller's limit.
    const CALLERS: usize = 12;
    let service = job_service::JobService::start(1).await;
    service.platform.lock().faults.store_silent = true;
    // A count read earlier may be reported until it reaches its maximum age.
    tokio::time::sleep(MAX_COUNT_AGE).await;
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..CALLERS {
        let jobs = service.jobs(0);
        calls.spawn(async move { jobs.count_waiting(server::QUEUE).await });
    }
    for reply in calls.join_all().await {
        let refused = matches!(&reply, Err(caller::JobError::Refused { status: 503, .. }));
        assert!(refused, "{reply:?}");
    }
}

/// Submits jobs while the store rejects every call, until each possible `retry-after` was returned.
///
/// Callers with a short deadline must not get the longest one, which ends after that deadline.
async fn spread_retry_after() {
    /// Longest `retry-after`, in seconds.
    const MAX_RETRY_AFTER_S: u64 = 3;
    /// A deadline that allows for the longest `retry-after`, and one that is shorter than it.
    const LONG_DEADLINE_MS: u64 = 10_000;
    const SHORT_DEADLINE_MS: u64 = 3_000;
    let service = job_service::JobService::start(1).await;
    let host = service.hosts[0].1;
    service.platform.lock().faults.store_busy = true;
    let mut returned = [0_u64; MAX_RETRY_AFTER_S as usize];
    let mut id = 0;
    fleet::wait_until("every retry-after to be returned", async || {
        id += 1;
        let (status, after) = job_service::submit_with_deadline(host, id, LONG_DEADLINE_MS).await;
        assert_eq!(status, 503);
        assert!((1..=MAX_RETRY_AFTER_S).contains(&after), "retry-after of {after} s");
        returned[usize::try_from(after - 1).expect("the index fits")] += 1;
        let (status, after) = job_service::submit_with_deadline(host, id, SHORT_DEADLINE_MS).await;
        assert_eq!(status, 503);
        assert!(
            (1..MAX_RETRY_AFTER_S).contains(&after),
            "retry-after of {after} s within {SHORT_DEADLINE_MS} ms"
        );
        returned.iter().all(|count| *count > 0)
    })
    .await;
    service.platform.lock().faults.store_busy = false;
    let state = service.jobs(0).state(server::QUEUE, job::JobId(id)).await;
    assert!(matches!(state, Err(caller::JobError::Refused { status: 410, .. })), "{state:?}");
    service.check_violations_and_starts(0);
}

/// Submits a job while the store does not answer, and lets the store reject calls once it has
/// received the write. The rejection of a later call does not prove that the first write failed, so
/// the outcome stays unknown.
async fn outcome_stays_unknown() {
    let mut service = job_service::JobService::start(1).await;
    service.add_host(STANDBY_LEASE_MS);
    service.wait_until_ready(1).await;
    // The holder writes as well; freeze it, so that only the submission is counted.
    service.hosts[0].0.signal("-STOP");
    tokio::time::sleep(job_service::TASK_TIME).await;
    service.platform.lock().faults.store_silent = true;
    let before = service.platform.lock().unanswered_txns;
    let jobs = service.jobs(1);
    let submission = job_service::two_steps();
    let submit = jobs.submit(server::QUEUE, job::JobId(1), &submission);
    let reject_calls = async {
        fleet::wait_until("the write to reach the store", async || {
            service.platform.lock().unanswered_txns > before
        })
        .await;
        let mut state = service.platform.lock();
        state.faults.store_busy = true;
        state.faults.store_silent = false;
    };
    let (reply, ()) = tokio::join!(submit, reject_calls);
    let unknown = matches!(reply, Err(caller::JobError::Refused { status: 504, .. }));
    assert!(unknown, "{reply:?}");
    service.hosts[0].0.signal("-CONT");
}

/// A host that receives SIGHUP while it runs jobs continues to run.
async fn sighup() {
    let service = job_service::JobService::start(1).await;
    let id = service.submit(0, 8).await;
    for _ in 0..3 {
        service.hosts[0].0.signal("-HUP");
    }
    service.wait_for_phase(0, id, job::Phase::Completed).await;
    service.check_violations_and_starts(5);
}

/// Submits, follows, counts and cancels a job with `wharflane job`.
async fn command_line() {
    let service = job_service::JobService::start(1).await;
    let path = service.folder.path().join("job.toml");
    let text = "spec = \"spec\"\n[[steps]]\ncount = 2\n\
                size = { cpu_milli = 300, mem_mb = 100, accelerators = 0 }\n";
    fs::write(&path, text).expect("can't write the job file");
    let submission: caller::Submission = toml::from_str(text).expect("can't parse the job");
    service.register(job::JobId(5), submission);
    let (host, file) = (service.hosts[0].1.to_string(), path.display().to_string());
    let id = "0000000000000005";
    let run = async |args: &[&str]| {
        let mut all = vec!["job"];
        all.extend(args);
        all.extend(["--host", &host]);
        let output = fleet::output("wharflane", &all).await;
        String::from_utf8_lossy(&output.stdout).trim().to_owned()
    };
    assert_eq!(run(&["submit", "work", id, &file]).await, "\"accepted\"");
    service.wait_for_phase(0, job::JobId(5), job::Phase::Completed).await;
    assert_eq!(run(&["state", "work", id]).await, "{\"state\":\"completed\"}");
    assert_eq!(run(&["list", "work"]).await, "{\"waiting\":0}");
    assert_eq!(run(&["cancel", "work", id]).await, "\"cancelled\"");
    service.check_violations_and_starts(2);
}
