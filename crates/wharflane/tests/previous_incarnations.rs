//! Messages for an incarnation of a worker that the next one carries out.
//!
//! A worker may restart under its id. Messages name their addressee by the id alone, so the next
//! incarnation carries out what was meant for the previous one, until it has answered a heartbeat
//! with a higher fence. What the previous incarnation reported then holds for it alone.

mod cluster;
mod sim;

use std::time;

use wharflane::{id, job};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::{worker, world};

/// The job of most cases.
const JOB: u64 = 1;
/// A job whose task has ended on the previous incarnation.
const BEFORE: u64 = 2;
/// How long a restarted worker is missing from the store's list, in milliseconds.
const UNLISTED_MS: u64 = 400;

/// Returns the id of a task of a job.
fn task(job: u64, index: u32) -> job::TaskId {
    job::TaskId { job: job::JobId(job), round: 0, step: 0, index }
}

/// Returns a cluster whose first worker tells its birth.
fn cluster_of(workers: usize) -> cluster::Cluster {
    let mut cluster = cluster::Cluster::new(workers);
    cluster.restart(0);
    cluster.list(0);
    cluster.advance(500);
    cluster
}

/// Returns how many starts of a job's task were ordered.
fn start_count(cluster: &cluster::Cluster, job: u64) -> usize {
    let starts = cluster.ordered.iter().map(|ordered| ordered.start.order.task);
    starts.filter(|started| *started == task(job, 0)).count()
}

/// Checks that the end of a task is recorded which the next incarnation runs while a heartbeat to
/// the previous one is on its way. If that one has reported an end, the heartbeat acknowledges the
/// number of it.
fn records_an_end(after_another: bool) {
    let mut cluster = cluster_of(1);
    cluster.step = sim::step("plain", 1_000);
    cluster.work = Some(time::Duration::from_millis(100));
    if after_another {
        cluster.sim.submit(BEFORE, "first", cluster.step.clone());
        while cluster.sim.phase(BEFORE) != job::Phase::Completed {
            cluster.advance(10);
        }
    }
    cluster.heartbeat_delay = time::Duration::from_millis(300);
    cluster.restart(0);
    cluster.sim.submit(JOB, "first", cluster.step.clone());
    cluster.advance(UNLISTED_MS);
    cluster.list(0);
    cluster.advance(3_000);
    assert_eq!(cluster.sim.phase(JOB), job::Phase::Completed);
    assert_eq!(start_count(&cluster, JOB), 1, "its end is not recorded");
}

/// Returns the most workers that run a task at once. Its first start is carried out late, by the
/// next incarnation of its worker; a heartbeat of the previous one has ruled it out before.
fn concurrent_runs_after_a_ruled_out_start() -> usize {
    const LATE_MS: u64 = 3_900;
    const RESTART_MS: u64 = 3_800;
    let mut cluster = cluster_of(1);
    cluster.start_faults = [
        cluster::StartFault::Late(LATE_MS),
        cluster::StartFault::Answered(job::StartAnswer::Unwell),
    ]
    .into();
    cluster.sim.submit(JOB, "first", cluster.step.clone());
    cluster.advance(500);
    let other = sim::member(1);
    cluster.workers.push(worker::Worker::new(other.incarnation, other.capacity, 980));
    cluster.list(1);
    cluster.advance(RESTART_MS - 500);
    assert_eq!(cluster.workers_running(JOB), [sim::member(1).incarnation]);
    cluster.restart(0);
    cluster.advance(UNLISTED_MS);
    cluster.list(0);
    cluster.advance(5_000);
    assert_eq!(cluster.workers_running(JOB).len(), 1, "the task runs");
    cluster.max_concurrent_runs
}

/// Checks that no order for the previous incarnation is carried out once the next one has answered
/// a heartbeat.
fn refuses_a_late_start_after_an_answer() {
    let mut cluster = cluster_of(1);
    cluster.start_faults = [cluster::StartFault::Late(3_000)].into();
    cluster.sim.submit(JOB, "first", cluster.step.clone());
    cluster.advance(200);
    cluster.restart(0);
    cluster.advance(UNLISTED_MS);
    cluster.list(0);
    cluster.advance(5_000);
    assert_eq!(cluster.late_run_times, []);
    assert_eq!(cluster.workers_running(JOB).len(), 1, "the task runs");
    let (before, again) = cluster.last_two_starts();
    assert!(again.start.order.epoch > before.start.order.epoch);
}

/// Returns how long a cancelled task runs on the next incarnation, which carries its start out
/// `late_ms` after it was ordered; zero if it doesn't run there. It is cancelled after the restart
/// and before the store lists the worker.
fn run_time_after_cancel(late_ms: u64) -> time::Duration {
    let mut cluster = cluster_of(1);
    cluster.start_faults = [cluster::StartFault::Late(late_ms)].into();
    cluster.sim.submit(JOB, "first", cluster.step.clone());
    cluster.advance(100);
    cluster.restart(0);
    cluster.advance(50);
    cluster.cancel(JOB);
    cluster.advance(UNLISTED_MS);
    cluster.list(0);
    cluster.advance(late_ms);
    let began = cluster.late_run_times.first().copied();
    began.map_or(time::Duration::ZERO, |began| cluster.running_time_after(JOB, began))
}

/// Checks that a cancel stops the run that the next incarnation has confirmed in place of the
/// previous one.
fn stops_a_run_that_the_next_incarnation_confirmed() {
    let mut cluster = cluster_of(1);
    cluster.restart(0);
    cluster.submit(JOB);
    let cancelled = cluster.sim.now;
    cluster.cancel(JOB);
    let after = cluster.running_time_after(JOB, cancelled);
    assert!(after <= cluster::CANCEL + worker::STOP_DELAY, "stopped {after:?} after the cancel");
}

/// Returns the answer of an incarnation that runs tasks, each with the CPU that it uses.
fn runs_there(incarnation: &id::Incarnation, runs: &[(job::TaskId, u64)]) -> job::HeartbeatAnswer {
    let row = |(task, load): &(job::TaskId, u64)| job::Running {
        task: *task,
        run: 1,
        percent: 40,
        load: *load,
    };
    let running = runs.iter().map(row).collect();
    let born_ms = incarnation.born_ms;
    job::HeartbeatAnswer::Lists(job::Lists {
        born_ms,
        clock_ms: 7,
        running,
        ..job::Lists::default()
    })
}

/// Checks that a share is ordered anew for a run that the next incarnation carried out: an order
/// for the previous one may not have reached it.
fn orders_the_share_anew() {
    let mut sim = sim::Sim::new(1, Vec::new());
    sim.submit(1, "first", sim::step("serving", 4_000));
    sim.submit(2, "first", sim::step("filling", 4_000));
    sim.advance(500, false);
    let before = sim.newest_order(task(2, 0));
    let next = sim.restart(0);
    let runs = [(task(1, 0), 13), (task(2, 0), 1_000)];
    sim.answer_heartbeat(&next, runs_there(&next, &runs));
    let changes = sim.pending.iter().filter_map(|effect| match effect {
        job::Effect::SetShare(change) => Some(change),
        _ => None,
    });
    let changes: Vec<&job::SetShare> = changes.collect();
    let [change] = changes[..] else {
        panic!("{} shares were ordered", changes.len());
    };
    assert_eq!((change.order.task, change.percent), (task(2, 0), 25));
    assert_eq!(change.order.worker, next);
    assert!(change.order.epoch > before.epoch, "it outlasts a late order of another share");
}

/// Returns a simulation of a gang of two, whose second member's worker has restarted, and the next
/// incarnation. There is room for another two.
fn gang_on_a_restarted_worker() -> (sim::Sim, id::Incarnation) {
    let mut sim = sim::Sim::new(4, Vec::new());
    let gang = job::Step { count: 2, gang: true, ..sim::step("plain", 9_000) };
    sim.submit(BEFORE, "first", gang);
    sim.advance(200, false);
    assert_eq!(sim.starts(BEFORE), [(0, 1), (1, 1)]);
    let restarted = sim.newest_order(task(BEFORE, 1)).worker;
    let at = (0..4).find(|at| sim::member(*at).incarnation == restarted).expect("a worker");
    let next = sim.restart(at);
    (sim, next)
}

/// Checks that a gang one of whose members is lost with the previous incarnation starts again as a
/// whole, once its other member has ended.
fn restarts_a_gang_as_a_whole() {
    let (mut sim, next) = gang_on_a_restarted_worker();
    sim.answer_heartbeat(&next, runs_there(&next, &[]));
    sim.advance(1_000, false);
    assert_eq!(sim.starts(BEFORE).len(), 2, "the other member still runs");
    sim.end_task(task(BEFORE, 0), job::EndKind::Alone);
    sim.advance(1_000, false);
    assert_eq!(sim.starts(BEFORE)[2..], [(0, 2), (1, 2)]);
}

/// Checks that a gang goes on one of whose members the next incarnation carried out.
fn keeps_a_gang_with_a_member_on_the_next_incarnation() {
    let (mut sim, next) = gang_on_a_restarted_worker();
    sim.answer_heartbeat(&next, runs_there(&next, &[(task(BEFORE, 1), 4_000)]));
    sim.handle(job::Event::Tick { wall_ms: 1 });
    assert_eq!(sim.starts(BEFORE).len(), 2);
    assert_eq!(sim.phase(BEFORE), job::Phase::Running);
}

cases! {
    an_end_on_the_next_incarnation_is_recorded => records_an_end(false),
    // A task ran again although its end as done had been acknowledged: the heartbeat was meant for
    // the previous incarnation, whose ends have the same numbers.
    an_end_on_the_next_incarnation_outlasts_an_acknowledgement_to_the_previous_one => {
        records_an_end(true);
    },
    // Two runs of a task were at work at once: the previous incarnation had answered a heartbeat
    // with a higher fence, and the next one had seen none when the late start arrived.
    a_start_ruled_out_by_the_previous_incarnation_never_runs_on_the_next_one => {
        assert_eq!(concurrent_runs_after_a_ruled_out_start(), 1);
    },
    no_late_start_runs_once_the_next_incarnation_has_answered => {
        refuses_a_late_start_after_an_answer();
    },
    a_cancelled_task_that_the_next_incarnation_starts_late_is_stopped_in_time => {
        let longest = (150..1_500).step_by(50).map(run_time_after_cancel).max();
        let longest = longest.unwrap_or_default();
        assert!(!longest.is_zero(), "no start was late");
        assert!(longest <= world::LATE_START_GRACE + worker::STOP_DELAY, "it ran for {longest:?}");
    },
    a_cancelled_task_that_the_next_incarnation_confirmed_is_stopped_in_time => {
        stops_a_run_that_the_next_incarnation_confirmed();
    },
    a_share_is_ordered_anew_from_the_next_incarnation => orders_the_share_anew(),
    a_gang_with_a_member_lost_in_a_restart_starts_again_as_a_whole => restarts_a_gang_as_a_whole(),
    a_gang_with_a_member_on_the_next_incarnation_goes_on => {
        keeps_a_gang_with_a_member_on_the_next_incarnation();
    },
}
