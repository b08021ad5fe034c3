//! A cancelled job ends: all its tasks stop in time, whichever host started them, whichever worker
//! runs them, and however late they start.
//!
//! After the cancel is acknowledged, the caller neither pays for the job nor watches it. A task
//! that keeps running holds resources that others wait for, and its work may conflict with what the
//! caller runs next instead. So a task stops within `CANCEL` and the time of a stop after the
//! acknowledgement, and a task whose start its worker carries out late stops within `CONTACT` and
//! the time of a stop after that start. This holds also if the host that ordered the start is gone
//! for good and the store no longer lists the worker.

mod cluster;
mod sim;

use std::time;

use wharflane::job;
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::{worker, world};

/// The time until a late start is found, as the platform allows it.
const CONTACT: time::Duration = world::LATE_START_GRACE;

/// Returns the longest time that a late start of a cancelled job runs, over a range of delays. The
/// next `lost_stops` stops are lost, and so are heartbeats in the first `lost_heartbeats_ms` after
/// the cancel, as requests or as answers.
fn longest_late_run(
    lost_stops: usize,
    lost_heartbeats_ms: u64,
    requests_lost: bool,
) -> time::Duration {
    let ran = |late_ms: u64| {
        let mut cluster = cluster::Cluster::new(1);
        cluster.submit(2);
        cluster.start_faults = [cluster::StartFault::Late(late_ms)].into();
        cluster.sim.submit(1, "first", cluster.step.clone());
        cluster.advance(300);
        cluster.cancel(1);
        cluster.lost_stops = lost_stops;
        let lost_heartbeats = time::Duration::from_millis(lost_heartbeats_ms);
        cluster.lost_heartbeats = (cluster.sim.now, cluster.sim.now + lost_heartbeats);
        cluster.requests_lost = requests_lost;
        cluster.advance(late_ms);
        let began = cluster.late_run_times.first().copied();
        began.map_or(time::Duration::ZERO, |began| cluster.running_time_after(1, began))
    };
    (2_000..3_900).step_by(50).map(ran).max().unwrap_or_default()
}

/// Orders a start that is not answered and carried out late, and whose repetition is refused.
/// Returns the cluster with a second worker. Heartbeats to the first worker are lost for
/// `lost_heartbeats_ms`.
fn refused_after_a_late_start(lost_heartbeats_ms: u64, requests_lost: bool) -> cluster::Cluster {
    let refused = job::StartAnswer::Refused(job::StartRefusal::Room);
    let mut cluster = cluster::Cluster::new(1);
    cluster.submit(2);
    cluster.start_faults =
        [cluster::StartFault::Late(3_900), cluster::StartFault::Answered(refused)].into();
    cluster.sim.submit(1, "first", cluster.step.clone());
    cluster.advance(500);
    let lost_heartbeats = time::Duration::from_millis(lost_heartbeats_ms);
    cluster.lost_heartbeats = (cluster.sim.now, cluster.sim.now + lost_heartbeats);
    cluster.requests_lost = requests_lost;
    cluster.workers.push(worker::Worker::new(
        sim::member(1).incarnation,
        sim::member(1).capacity,
        980,
    ));
    cluster.sim.handle(job::Event::Member(sim::member(1).incarnation.worker, Some(sim::member(1))));
    cluster.advance(15_000);
    cluster
}

cases! {
    a_task_on_an_unlisted_worker_is_stopped_by_the_next_holder => {
        let mut cluster = cluster::Cluster::new(2);
        let worker = cluster.submit(1);
        cluster.unlist(&worker);
        cluster.advance(100);
        let cancelled = cluster.replace_holder(&worker, (1, true), &[]);
        let after = cluster.running_time_after(1, cancelled);
        assert!(after <= cluster::CANCEL + world::settings().stop, "stopped {after:?} after the cancel");
    },
    a_task_on_an_unlisted_worker_keeps_running_under_the_next_holder => {
        let mut cluster = cluster::Cluster::new(2);
        let worker = cluster.submit(1);
        cluster.unlist(&worker);
        cluster.advance(100);
        cluster.replace_holder(&worker, (1, false), &[]);
        cluster.advance(10_000);
        assert_eq!(cluster.workers_running(1), [worker]);
        assert_eq!(cluster.ordered.len(), 1, "the task was started again");
    },
    a_stop_that_is_lost_twice_is_retried_in_time => {
        let mut cluster = cluster::Cluster::new(1);
        cluster.submit(1);
        cluster.lost_stops = 2;
        let cancelled = cluster.sim.now;
        cluster.cancel(1);
        let after = cluster.running_time_after(1, cancelled);
        assert!(after <= cluster::CANCEL + worker::STOP_DELAY, "stopped {after:?} after the cancel");
    },
    a_late_start_of_a_cancelled_job_is_stopped_in_time => {
        let ran = longest_late_run(0, 0, false);
        assert!(ran <= CONTACT + worker::STOP_DELAY, "the task ran for {ran:?}");
    },
    a_late_start_is_stopped_in_time_though_stops_are_lost => {
        let ran = longest_late_run(2, 0, false);
        assert!(ran <= CONTACT + worker::STOP_DELAY, "the task ran for {ran:?}");
    },
    a_late_start_is_stopped_in_time_though_heartbeats_are_lost => {
        for (lost_heartbeats_ms, requests_lost) in [(1_500, false), (2_500, true)] {
            let ran = longest_late_run(1, lost_heartbeats_ms, requests_lost);
            assert!(ran.is_zero(), "no run may begin if a heartbeat or a stop arrives, but one ran for {ran:?}");
        }
        for lost_stops in 2..=4 {
            let ran = longest_late_run(lost_stops, 2_500, true);
            assert!(!ran.is_zero(), "a run begins if neither arrives");
            assert!(ran <= CONTACT + worker::STOP_DELAY, "the task ran for {ran:?}");
        }
    },
    a_late_start_never_runs_beside_the_one_that_replaces_it => {
        let mut cluster = cluster::Cluster::new(1);
        cluster.submit(2);
        cluster.start_faults = [cluster::StartFault::Late(3_900), cluster::StartFault::Answered(job::StartAnswer::Refused(job::StartRefusal::Room))].into();
        cluster.sim.submit(1, "first", cluster.step.clone());
        cluster.advance(2_000);
        // The first worker is full from here on, so that the task must go to another one.
        cluster.workers.push(worker::Worker::new(sim::member(1).incarnation, sim::member(1).capacity, 980));
        cluster.step = sim::step("serving", 14_000);
        cluster.submit(3);
        cluster.step = sim::step("serving", 1_000);
        cluster.sim.handle(job::Event::Member(sim::member(1).incarnation.worker, Some(sim::member(1))));
        cluster.lost_heartbeats = (cluster.sim.now, cluster.sim.now + time::Duration::from_millis(4_000));
        cluster.advance(10_000);
        assert_eq!(cluster.workers_running(1).len(), 1, "the task runs");
        assert_eq!(cluster.max_concurrent_runs, 1, "the task ran on two workers at once");
    },
    a_task_leaves_a_worker_after_some_unanswered_starts => {
        let mut cluster = cluster::Cluster::new(1);
        cluster.advance(200);
        cluster.start_faults = [cluster::StartFault::Lost; 20].into();
        cluster.sim.submit(1, "first", cluster.step.clone());
        cluster.advance(500);
        let first_worker = sim::member(0).incarnation;
        cluster.workers.push(worker::Worker::new(sim::member(1).incarnation, sim::member(1).capacity, 980));
        cluster.sim.handle(job::Event::Member(sim::member(1).incarnation.worker, Some(sim::member(1))));
        for _ in 0..100 {
            cluster.advance(100);
            if cluster.ordered.iter().any(|ordered| ordered.start.order.worker != first_worker) {
                break;
            }
        }
        let there = cluster.ordered.iter().filter(|o| o.start.order.worker == first_worker).count();
        assert!(cluster.ordered.len() > there, "the task never went to another worker");
        assert!(there <= 3, "{there} starts without an answer");
    },
    after_a_refusal_a_task_waits_until_its_unanswered_start_is_fenced_off => {
        let cluster = refused_after_a_late_start(0, false);
        let (before, again) = cluster.last_two_starts();
        assert_eq!((before.start.order.run, again.start.order.run), (1, 2));
        let worker = &before.start.order.worker;
        assert!(again.answered_epochs[worker] > before.start.order.epoch, "no heartbeat with a higher fence was answered");
        assert_eq!((cluster.late_run_times.len(), cluster.max_concurrent_runs), (0, 1));
        assert_eq!(cluster.workers_running(1).len(), 1);
    },
    without_heartbeat_answers_a_task_waits_until_the_lease_of_its_unanswered_start_is_over => {
        for requests_lost in [false, true] {
            let cluster = refused_after_a_late_start(60_000, requests_lost);
            let (before, again) = cluster.last_two_starts();
            assert_eq!((before.start.order.run, again.start.order.run), (1, 2));
            assert!(again.clock_ms > before.start.lease_until_ms, "the lease was not over at {}", again.clock_ms);
            assert_eq!((cluster.workers_running(1).len(), cluster.max_concurrent_runs), (1, 1));
            assert_eq!(cluster.late_run_times.is_empty(), !requests_lost, "only the fence keeps the late start from running");
        }
    },
    an_order_that_a_raised_fence_overtakes_is_repeated => {
        let mut cluster = cluster::Cluster::new(1);
        cluster.submit(2);
        cluster.start_faults = [cluster::StartFault::Late(3_000), cluster::StartFault::Slow(2_500)].into();
        cluster.sim.submit(1, "first", cluster.step.clone());
        cluster.advance(200);
        cluster.sim.submit(3, "first", cluster.step.clone());
        cluster.advance(200);
        cluster.cancel(1);
        cluster.advance(6_000);
        assert_eq!(cluster.late_run_times, [], "the raised fence keeps the late start from running");
        assert_eq!(cluster.workers_running(3).len(), 1, "the task runs");
        assert!(cluster.sim.engine.holding().is_some(), "the holder gave up its domain");
    },
    a_raised_fence_stays_when_its_worker_is_listed_again => {
        let mut cluster = cluster::Cluster::new(1);
        cluster.advance(200);
        cluster.start_faults = [cluster::StartFault::Late(3_000)].into();
        cluster.sim.submit(1, "first", cluster.step.clone());
        cluster.advance(300);
        cluster.cancel(1);
        cluster.advance(3_500);
        assert_eq!(cluster.late_run_times, [], "the raised fence keeps the late start from running");
        let worker = sim::member(0);
        cluster.unlist(&worker.incarnation);
        cluster.advance(500);
        cluster.sim.handle(job::Event::Member(worker.incarnation.worker.clone(), Some(worker)));
        cluster.advance(500);
        cluster.submit(2);
        assert!(cluster.sim.engine.holding().is_some(), "the holder gave up its domain");
    },
    a_job_cancelled_while_nobody_holds_the_domain_is_stopped_by_the_next_holder => {
        let mut cluster = cluster::Cluster::new(2);
        let worker = cluster.submit(1);
        let cancelled = cluster.replace_holder(&worker, (1, true), &[0, 1]);
        let after = cluster.running_time_after(1, cancelled);
        assert!(after <= cluster::CANCEL + worker::STOP_DELAY, "stopped {after:?} after the cancel");
    },
    a_job_whose_task_still_runs_is_not_forgotten => {
        let mut cluster = cluster::Cluster::new(1);
        cluster.submit(1);
        cluster.cancel(1);
        cluster.lost_stops = usize::MAX;
        cluster.advance(1_000);
        let keep = u64::try_from(world::settings().keep.as_millis()).expect("fits into u64");
        cluster.advance(keep + 1_000);
        assert_eq!(cluster.workers_running(1).len(), 1, "no stop arrives");
        cluster.lost_stops = 0;
        cluster.advance(3_000);
        assert_eq!(cluster.workers_running(1), [], "the task is stopped");
        cluster.step = sim::step("serving", 16_000);
        cluster.submit(2);
    },
}
