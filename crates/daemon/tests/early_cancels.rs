//! What callers are told of a cancel that finds no row of its job, and what becomes of the job.
//!
//! Guards against a job that runs although its cancel was answered: the write of its submission took
//! effect after another host had found no row.

use std::time;

use wharflane::job;
use wharflane_daemon::jobs;
use wharflane_daemon::jobs::service;
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::server;

mod common;

/// Id of the job.
const ID: job::JobId = job::JobId(7);
/// Time that a caller waits for its answer.
const CALLER_TIME: time::Duration = time::Duration::from_secs(3);
/// The same for a caller that is to be told before a late write takes effect.
const SHORT_CALLER_TIME: time::Duration = time::Duration::from_millis(400);
/// How late writes are carried out that are late, in milliseconds.
const LATE_MS: u64 = 1_200;
/// How often a test looks for a late write.
const POLL: time::Duration = time::Duration::from_millis(20);
/// More cancels of unknown jobs than a host records at once.
const MANY_CANCELS: u64 = 300;

/// A platform with two hosts that take calls; nobody holds the domain.
struct Setup {
    /// The stand-ins of the platform.
    platform: server::Platform,
    /// The hosts, each with its state.
    hosts: [(jobs::Shared, service::Service); 2],
}

impl Setup {
    /// Starts the platform.
    async fn start() -> Self {
        let platform = server::Platform::start(1, time::Duration::ZERO).await.expect("a platform");
        let hosts = [(); 2].map(|()| {
            let shared = common::shared(platform.store);
            (shared.clone(), service::Service::new(shared))
        });
        Self { platform, hosts }
    }

    /// Makes a call at a host whose caller waits for `left`.
    async fn call(&self, host: usize, call: job::Call, left: time::Duration) -> job::Answer {
        let (shared, service) = &self.hosts[host];
        let deadline = shared.clock.now() + left;
        service.answer(call, &job::Queues::default(), deadline).await
    }

    /// Submits the job at a host.
    async fn submit(&self, host: usize, left: time::Duration) -> job::Answer {
        self.call(host, job::Call::Submit { id: ID, job: common::job() }, left).await
    }

    /// Cancels the job at a host.
    async fn cancel(&self, host: usize) -> job::Answer {
        self.call(host, job::Call::Cancel { id: ID }, CALLER_TIME).await
    }

    /// Asks a host for the state of the job.
    async fn state(&self, host: usize) -> job::Answer {
        self.call(host, job::Call::State { id: ID }, CALLER_TIME).await
    }

    /// Makes writes of jobs late, or no longer.
    fn set_late(&self, late_ms: u64) {
        self.platform.lock().faults.late_jobs_ms = late_ms;
    }

    /// Returns how many reads of a host the store has left without an answer.
    fn reads_without_answer(&self, host: usize) -> u64 {
        let metrics = &self.hosts[host].0.metrics;
        metrics.platform_calls.with_label_values(&["get", "silent"]).get()
    }

    /// Waits until late writes have taken effect or failed.
    async fn wait_for_late_writes(&self, count: u64) {
        while self.platform.lock().late_transactions < count {
            tokio::time::sleep(POLL).await;
        }
    }
}

/// Runs a case on a runtime of its own.
fn run<F: Future<Output = ()>>(case: impl FnOnce(Setup) -> F) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async { case(Setup::start().await).await });
    runtime.shutdown_background();
}

cases! {
    // The job appeared 4.1 s after its cancel was answered 410, and ran.
    a_late_write_of_a_cancelled_job_takes_no_effect => run(async |setup: Setup| {
        setup.set_late(LATE_MS);
        let answer = setup.submit(0, SHORT_CALLER_TIME).await;
        assert!(matches!(answer, job::Answer::Unknown { .. }), "{answer:?}");
        setup.set_late(0);
        assert_eq!(setup.cancel(1).await, job::Answer::NoJob);
        setup.wait_for_late_writes(1).await;
        assert_eq!(setup.state(0).await, job::Answer::NoJob);
    }),
    // A repeated submission was accepted and run after its cancel.
    a_job_submitted_after_its_cancel_is_accepted_as_cancelled => run(async |setup: Setup| {
        assert_eq!(setup.cancel(1).await, job::Answer::NoJob);
        assert_eq!(setup.submit(0, CALLER_TIME).await, job::Answer::Accepted);
        assert_eq!(setup.state(1).await, job::Answer::State(job::Phase::Cancelled));
        assert_eq!(setup.cancel(1).await, job::Answer::Cancelled);
        assert_eq!(setup.submit(1, CALLER_TIME).await, job::Answer::Accepted);
        assert_eq!(setup.state(0).await, job::Answer::State(job::Phase::Cancelled));
    }),
    // The host of the submission still waits for its write when the cancel is answered.
    a_submission_under_way_is_accepted_as_cancelled => run(async |setup: Setup| {
        setup.set_late(LATE_MS);
        let cancel = async {
            tokio::time::sleep(SHORT_CALLER_TIME).await;
            setup.set_late(0);
            setup.cancel(1).await
        };
        let (submitted, cancelled) = tokio::join!(setup.submit(0, CALLER_TIME), cancel);
        assert_eq!((submitted, cancelled), (job::Answer::Accepted, job::Answer::NoJob));
        setup.wait_for_late_writes(1).await;
        assert_eq!(setup.state(1).await, job::Answer::State(job::Phase::Cancelled));
    }),
    // A trial showed a job that nobody had submitted as cancelled.
    a_job_that_nobody_submitted_is_not_shown => run(async |setup: Setup| {
        for host in [0, 1, 1] {
            assert_eq!(setup.cancel(host).await, job::Answer::NoJob);
            assert_eq!(setup.state(host).await, job::Answer::NoJob);
        }
    }),
    // 410 without a record would be the fault itself.
    a_cancel_that_can_not_be_recorded_is_not_answered_for_good => run(async |setup: Setup| {
        setup.platform.lock().faults.store_busy = true;
        let answer = setup.cancel(0).await;
        assert!(matches!(answer, job::Answer::NotTaken { .. }), "{answer:?}");
    }),
    // The caller waited for 3 s and was told 504, though the host knew that it reached no store.
    a_cancel_at_a_host_that_lost_the_store_is_refused_at_once => run(async |setup: Setup| {
        setup.platform.lock().faults.store_silent = true;
        let answer = setup.cancel(0).await;
        assert!(matches!(answer, job::Answer::NotTaken { .. }), "{answer:?}");
        let calls = setup.reads_without_answer(0);
        let answer = setup.cancel(0).await;
        assert!(matches!(answer, job::Answer::NotTaken { .. }), "{answer:?}");
        assert_eq!(setup.reads_without_answer(0), calls, "the store was asked again");
    }),
    a_cancel_whose_record_had_no_answer_is_in_doubt => run(async |setup: Setup| {
        setup.set_late(2 * LATE_MS);
        let call = job::Call::Cancel { id: ID };
        let answer = setup.call(0, call, time::Duration::from_millis(1_100)).await;
        assert!(matches!(answer, job::Answer::Unknown { .. }), "{answer:?}");
    }),
    a_cancel_whose_record_had_no_answer_is_recorded_once => run(async |setup: Setup| {
        setup.platform.lock().faults.lose_every = 1;
        assert_eq!(setup.cancel(0).await, job::Answer::NoJob);
    }),
    // Each record costs a write and a row for minutes, and anyone may send cancels.
    cancels_of_unknown_jobs_are_recorded_at_a_limited_rate => run(async |setup: Setup| {
        let mut recorded = 0;
        for id in 0..MANY_CANCELS {
            let call = job::Call::Cancel { id: job::JobId(id) };
            match setup.call(0, call, CALLER_TIME).await {
                job::Answer::NoJob => recorded += 1,
                job::Answer::NotTaken { .. } => break,
                answer => panic!("{answer:?}"),
            }
        }
        assert!((100..MANY_CANCELS).contains(&recorded), "{recorded} recorded");
    }),
}
