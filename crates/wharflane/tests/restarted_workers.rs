//! A worker that restarts under its id: reports of its new incarnation must not be mistaken for
//! reports of the previous one.
//!
//! Guards against a failure of two deployments in which workers restarted within half a second of
//! each other. Each task that ran on them afterwards was done and started again, up to 21 times,
//! and steps that waited for it never began. The holder kept its view of a worker under the
//! worker's id. A new incarnation numbers its ended runs from one, so the holder mistook each of
//! them for one that it knew, dropped and acknowledged it, until a number exceeded the last one of
//! the previous incarnation. Views are therefore kept by incarnation.

mod sim;

use wharflane::{id, job};
use wharflane_stand_in::cases;

/// The job that runs on the first incarnation.
const BEFORE: u64 = 10;
/// The job that runs on the second incarnation.
const AFTER: u64 = 11;

/// Returns the id of the only task of a step.
fn task(number: u64, step: u32) -> job::TaskId {
    job::TaskId { job: job::JobId(number), round: 0, step, index: 0 }
}

/// Returns a simulation whose only worker completed a task, restarted, and completed another one.
fn done_after_a_restart(steps: Vec<job::Step>) -> sim::Sim {
    let mut sim = sim::Sim::new(1, Vec::new());
    sim.submit(BEFORE, "first", sim::step("plain", 1_000));
    sim.advance(200, false);
    sim.end_task(task(BEFORE, 0), job::EndKind::Done);
    sim.advance(2_000, false);
    sim.restart(0);
    sim.submit_steps(AFTER, "first", steps);
    sim.advance(400, false);
    sim.end_task(task(AFTER, 0), job::EndKind::Done);
    sim.advance(4_000, false);
    sim
}

/// Checks that a task which the new incarnation reports as done is not started again.
fn is_started_once() {
    let sim = done_after_a_restart(vec![sim::step("plain", 1_000)]);
    assert_eq!(sim.starts(AFTER), [(0, 1)]);
}

/// Checks that a step begins after the step before it was done on the new incarnation.
fn opens_the_next_step() {
    let next = job::Step { after: vec![0], ..sim::step("plain", 1_000) };
    let sim = done_after_a_restart(vec![sim::step("plain", 1_000), next]);
    assert!(sim.has_started(task(AFTER, 1)), "the second step has not begun");
}

/// Returns a simulation whose only worker runs a task, and the order for the task.
fn running() -> (sim::Sim, job::Order) {
    let mut sim = sim::Sim::new(1, Vec::new());
    sim.submit(BEFORE, "first", sim::step("plain", 1_000));
    sim.advance(200, false);
    let order = sim.newest_order(task(BEFORE, 0));
    (sim, order)
}

/// Returns a heartbeat answer of an incarnation that runs at most one task.
fn heartbeat_lists(
    incarnation: &id::Incarnation,
    run: Option<&job::Order>,
) -> job::HeartbeatAnswer {
    let row =
        |order: &job::Order| job::Running { task: order.task, run: order.run, percent: 1, load: 0 };
    let running = run.into_iter().map(row).collect();
    let born_ms = incarnation.born_ms;
    job::HeartbeatAnswer::Lists(job::Lists {
        born_ms,
        clock_ms: 7,
        running,
        ..job::Lists::default()
    })
}

/// Returns how many starts of a job were ordered.
fn start_count(sim: &sim::Sim, number: u64) -> usize {
    sim.starts(number).len()
}

/// Checks that a run which the next incarnation carried out is kept.
fn keeps_a_run_of_the_next_incarnation() {
    let (mut sim, order) = running();
    let next = sim.restart(0);
    assert_eq!(start_count(&sim, BEFORE), 1, "the next incarnation may have carried out the order");
    let heartbeat = sim.answer_heartbeat(&next, heartbeat_lists(&next, Some(&order)));
    assert!(
        heartbeat.epoch > order.epoch,
        "the fence keeps out late orders for the previous incarnation"
    );
    sim.handle(job::Event::Tick { wall_ms: 1 });
    assert_eq!(start_count(&sim, BEFORE), 1, "the run was not kept");
}

/// Checks that a task is started again once the next incarnation is known not to run it.
fn restarts_a_task_that_the_next_incarnation_does_not_run() {
    let (mut sim, _) = running();
    let next = sim.restart(0);
    sim.answer_heartbeat(&next, heartbeat_lists(&next, None));
    sim.advance(100, false);
    assert_eq!(start_count(&sim, BEFORE), 2);
    assert_eq!(sim.newest_order(task(BEFORE, 0)).worker, next);
}

/// Checks that a next incarnation is detected by its heartbeat answer, before the store lists it.
fn is_detected_by_a_heartbeat() {
    let mut sim = sim::Sim::new(0, Vec::new());
    let first = sim.restart(0);
    sim.answer_heartbeat(&first, heartbeat_lists(&first, None));
    sim.submit(BEFORE, "first", sim::step("plain", 1_000));
    sim.advance(200, false);
    assert_eq!(start_count(&sim, BEFORE), 1);
    let next =
        id::Incarnation { born_ms: first.born_ms.map(|born_ms| born_ms + 1), ..first.clone() };
    sim.answer_heartbeat(&first, heartbeat_lists(&next, None));
    sim.answer_heartbeat(&next, heartbeat_lists(&next, None));
    sim.submit(AFTER, "first", sim::step("plain", 1_000));
    sim.advance(100, false);
    assert_eq!(start_count(&sim, AFTER), 0, "the room of a worker is unknown until it is listed");
}

/// Checks that neither a list entry nor a heartbeat answer of the previous incarnation counts for
/// the next one.
fn ignores_late_reports_of_the_previous_incarnation() {
    let (mut sim, order) = running();
    let next = sim.restart(0);
    sim.answer_heartbeat(&next, heartbeat_lists(&next, None));
    sim.advance(100, false);
    assert_eq!(sim.newest_order(order.task).worker, next);
    let late = sim::member(0);
    sim.handle(job::Event::Member(late.incarnation.worker.clone(), Some(late.clone())));
    sim.heartbeats_sent.clear();
    sim.advance(400, false);
    assert!(sim.heartbeats_sent.iter().any(|(_, worker)| *worker == next));
    assert!(
        !sim.heartbeats_sent.iter().any(|(_, worker)| *worker == late.incarnation),
        "the previous incarnation gets no heartbeat"
    );
    let ended = job::Ended {
        number: 9,
        task: order.task,
        run: order.run + 1,
        kind: job::EndKind::Done,
        checkpoint: String::new(),
    };
    let answer = job::Lists { clock_ms: 900_000, ended: vec![ended], ..job::Lists::default() };
    let answer = job::HeartbeatAnswer::Lists(answer);
    sim.handle(job::Event::HeartbeatAnswered {
        worker: late.incarnation,
        epoch: order.epoch,
        answer,
    });
    sim.advance(400, false);
    assert_eq!(start_count(&sim, BEFORE), 2, "the run on the next incarnation is kept");
    sim.end_task(order.task, job::EndKind::Done);
    sim.advance(2_000, false);
    assert_eq!(start_count(&sim, BEFORE), 2, "the end of its run is recorded");
}

/// Checks that a heartbeat acknowledges an ended run only to the incarnation that reported it in
/// its last answer.
fn acknowledges_no_end_of_the_previous_incarnation() {
    let (mut sim, order) = running();
    let incarnation = &order.worker;
    let (task, run, kind) = (order.task, order.run, job::EndKind::Done);
    let ended = vec![job::Ended { number: 1, task, run, kind, checkpoint: String::new() }];
    let report =
        job::HeartbeatAnswer::Lists(job::Lists { clock_ms: 2_000, ended, ..Default::default() });
    sim.answer_heartbeat(incarnation, report.clone());
    assert_eq!(sim.answer_heartbeat(incarnation, job::HeartbeatAnswer::Silent).acknowledged_end, 1);
    assert_eq!(
        sim.answer_heartbeat(incarnation, report).acknowledged_end,
        0,
        "the worker may have restarted"
    );
    assert_eq!(
        sim.answer_heartbeat(incarnation, heartbeat_lists(incarnation, None)).acknowledged_end,
        1
    );
    assert_eq!(
        sim.answer_heartbeat(incarnation, heartbeat_lists(incarnation, None)).acknowledged_end,
        0,
        "the worker has dropped it after the first acknowledgement"
    );
}

/// Checks that a new holder does not start a task of a lost incarnation again until the next
/// incarnation is known not to run it.
fn is_resolved_by_the_next_holder() {
    let (jobs, rows) = sim::started_rows();
    let mut sim = sim::Sim::taking_over(0, (jobs, rows), Vec::new());
    let next = sim.restart(0);
    assert_eq!(start_count(&sim, 1), 0);
    sim.answer_heartbeat(&next, heartbeat_lists(&next, None));
    sim.advance(100, false);
    assert_eq!(sim.starts(1), [(0, 2)]);
}

/// Checks that a task which crashes its worker at each start is given up, although each worker is
/// back at once under its id.
fn gives_up_a_task_that_crashes_workers() {
    let mut sim = sim::Sim::new(0, Vec::new());
    for at in 0..10 {
        sim.restart(at);
    }
    sim.advance(300, false);
    sim.submit(BEFORE, "first", sim::step("plain", 1_000));
    for _ in 0..8 {
        sim.advance(100, false);
        let Some(order) = sim.last_order(task(BEFORE, 0)) else {
            break;
        };
        let at = (0..10).find(|at| sim::member(*at).incarnation.worker == order.worker.worker);
        sim.restart(at.expect("a worker"));
    }
    sim.advance(300, false);
    assert!(start_count(&sim, BEFORE) <= 5, "{} starts", start_count(&sim, BEFORE));
    assert_eq!(sim.phase(BEFORE), job::Phase::Failed);
}

/// Checks that a ticket for the previous incarnation is not sent to the next one.
fn requests_new_tickets() {
    let mut sim = sim::Sim::new(1, Vec::new());
    sim.allowed_workers = vec![sim::member(0).incarnation];
    sim.submit(BEFORE, sim::ADVISED, sim::step("plain", 1_000));
    sim.advance(300, false);
    assert_eq!(sim.advice_requests.len(), 1);
    let next = sim.restart(0);
    sim.allowed_workers = vec![next];
    sim.advance(600, false);
    assert_eq!(sim.advice_requests.len(), 2);
    assert_eq!(start_count(&sim, BEFORE), 2);
}

/// Checks that a lease by the clock of the previous incarnation does not outlast it: a silent next
/// incarnation counts as lost after the longest lease that it can grant.
fn waits_for_no_lease_of_the_previous_incarnation() {
    let mut sim = sim::Sim::new(2, Vec::new());
    sim.submit(BEFORE, "first", sim::step("plain", 1_000));
    sim.advance(60_000, false);
    let order = sim.newest_order(task(BEFORE, 0));
    let at = (0..2).find(|at| sim::member(*at).incarnation == order.worker).expect("a worker");
    let next = sim.restart(at);
    sim.answer_heartbeat(&next, heartbeat_lists(&next, Some(&order)));
    sim.silent_workers.insert(next);
    sim.advance(8_000, false);
    assert_eq!(start_count(&sim, BEFORE), 2, "its lease of 6 s at most is over");
}

cases! {
    a_task_done_on_a_new_incarnation_is_not_started_again => is_started_once(),
    a_step_after_one_done_on_a_new_incarnation_begins => opens_the_next_step(),
    an_order_that_the_next_incarnation_carried_out_is_not_repeated => {
        keeps_a_run_of_the_next_incarnation();
    },
    a_task_lost_with_the_previous_incarnation_is_started_again => {
        restarts_a_task_that_the_next_incarnation_does_not_run();
    },
    a_next_incarnation_is_detected_by_a_heartbeat => is_detected_by_a_heartbeat(),
    late_reports_of_the_previous_incarnation_are_ignored => ignores_late_reports_of_the_previous_incarnation(),
    no_end_of_the_previous_incarnation_is_acknowledged_to_the_next_one => acknowledges_no_end_of_the_previous_incarnation(),
    a_next_holder_resolves_tasks_of_the_previous_incarnation => is_resolved_by_the_next_holder(),
    a_task_that_crashes_workers_that_restart_is_given_up => gives_up_a_task_that_crashes_workers(),
    a_ticket_is_valid_for_one_incarnation_only => requests_new_tickets(),
    a_lease_ends_with_its_incarnation => waits_for_no_lease_of_the_previous_incarnation(),
}
