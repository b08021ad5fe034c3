//! A worker that restarts under its id: what its new incarnation tells is news.
//!
//! Seen on two deployments: workers restarted within half a second of each other. What they ran from then on was done and
//! started again, up to 21 times, and steps that waited for it never began. Cause: what the holder knew of a worker was kept
//! under its id. A new incarnation numbers its ends from one, those numbers had been heard, so each end was dropped as told before
//! and acknowledged. Shown by the holder's log (runs "not there" after just as long as their work, no end taken in until a
//! number above the last incarnation's) and by these tests, which failed at each run until views were kept by incarnation.

mod desk;

use wharflane::{id, job};
use wharflane_stand_in::cases;

/// The job that runs on the first incarnation.
const BEFORE: u64 = 10;
/// The job that runs on the second.
const AFTER: u64 = 11;

/// Returns the only task of a step.
fn task(number: u64, step: u32) -> job::TaskId {
    job::TaskId { job: job::JobId(number), round: 0, step, index: 0 }
}

/// Returns a desk whose only worker has restarted after a task was done there, and has run another one to its end.
fn done_after_a_restart(steps: Vec<job::Step>) -> desk::Desk {
    let mut desk = desk::Desk::new(1, Vec::new());
    desk.submit(BEFORE, "first", desk::step("plain", 1_000));
    desk.pass(200, false);
    desk.end(task(BEFORE, 0), job::EndKind::Done);
    desk.pass(2_000, false);
    desk.restart(0);
    desk.submit_steps(AFTER, "first", steps);
    desk.pass(400, false);
    desk.end(task(AFTER, 0), job::EndKind::Done);
    desk.pass(4_000, false);
    desk
}

/// Checks that a task which a new incarnation has told as done is not started again.
fn is_started_once() {
    let desk = done_after_a_restart(vec![desk::step("plain", 1_000)]);
    assert_eq!(desk.starts(AFTER), [(0, 1)]);
}

/// Checks that the step after it begins.
fn opens_the_next_step() {
    let next = job::Step { after: vec![0], ..desk::step("plain", 1_000) };
    let desk = done_after_a_restart(vec![desk::step("plain", 1_000), next]);
    assert!(desk.has_started(task(AFTER, 1)), "the second step has not begun");
}

/// Returns a desk whose only worker runs a task, and the order for it.
fn running() -> (desk::Desk, job::Order) {
    let mut desk = desk::Desk::new(1, Vec::new());
    desk.submit(BEFORE, "first", desk::step("plain", 1_000));
    desk.pass(200, false);
    let order = desk.order_of(task(BEFORE, 0));
    (desk, order)
}

/// Returns the lists of an incarnation on which a run is, by the clock of that incarnation.
fn lists(incarnation: &id::Incarnation, run: Option<&job::Order>) -> job::HeartbeatAnswer {
    let row =
        |order: &job::Order| job::Running { task: order.task, run: order.run, percent: 1, load: 0 };
    let running = run.into_iter().map(row).collect();
    let born_ms = incarnation.born_ms;
    job::HeartbeatAnswer::Lists(job::Lists { born_ms, clock_ms: 7, running, ended: Vec::new() })
}

/// Returns how many starts of a job were ordered.
fn starts(desk: &desk::Desk, number: u64) -> usize {
    desk.starts(number).len()
}

/// Checks that an order which the next incarnation carried out is taken for the run that it is.
fn keeps_what_the_next_incarnation_carried_out() {
    let (mut desk, order) = running();
    let next = desk.restart(0);
    assert_eq!(starts(&desk, BEFORE), 1, "the next life may have the order");
    let heartbeat = desk.answer_heartbeat(&next, lists(&next, Some(&order)));
    assert!(heartbeat.epoch > order.epoch, "no order for the last life comes later");
    desk.take(job::Event::Tick { wall_ms: 1 });
    assert_eq!(starts(&desk, BEFORE), 1, "it runs");
}

/// Checks that a task goes on once the next incarnation is known not to have it.
fn starts_anew_what_the_next_incarnation_does_not_have() {
    let (mut desk, _) = running();
    let next = desk.restart(0);
    desk.answer_heartbeat(&next, lists(&next, None));
    desk.pass(100, false);
    assert_eq!(starts(&desk, BEFORE), 2);
    assert_eq!(desk.order_of(task(BEFORE, 0)).worker, next);
}

/// Checks that a next incarnation which answers where the last one was meant is found out by that, though no list tells of it.
fn is_found_out_by_a_look() {
    let mut desk = desk::Desk::new(0, Vec::new());
    let first = desk.restart(0);
    desk.answer_heartbeat(&first, lists(&first, None));
    desk.submit(BEFORE, "first", desk::step("plain", 1_000));
    desk.pass(200, false);
    assert_eq!(starts(&desk, BEFORE), 1);
    let next =
        id::Incarnation { born_ms: first.born_ms.map(|born_ms| born_ms + 1), ..first.clone() };
    desk.answer_heartbeat(&first, lists(&next, None));
    desk.answer_heartbeat(&next, lists(&next, None));
    desk.submit(AFTER, "first", desk::step("plain", 1_000));
    desk.pass(100, false);
    assert_eq!(starts(&desk, AFTER), 0, "its room is not known until it is listed");
}

/// Checks that neither an entry nor an answer of the last incarnation counts for the next one.
fn passes_over_what_the_last_incarnation_says_late() {
    let (mut desk, order) = running();
    let next = desk.restart(0);
    desk.answer_heartbeat(&next, lists(&next, None));
    desk.pass(100, false);
    assert_eq!(desk.order_of(order.task).worker, next);
    let late = desk::member(0);
    desk.take(job::Event::Member(late.incarnation.worker.clone(), Some(late.clone())));
    desk.heartbeats_sent.clear();
    desk.pass(400, false);
    assert!(desk.heartbeats_sent.iter().any(|(_, worker)| *worker == next));
    assert!(
        !desk.heartbeats_sent.iter().any(|(_, worker)| *worker == late.incarnation),
        "nobody lives there"
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
    desk.take(job::Event::HeartbeatAnswered {
        worker: late.incarnation,
        epoch: order.epoch,
        answer,
    });
    desk.pass(400, false);
    assert_eq!(starts(&desk, BEFORE), 2, "it runs on where it is");
    desk.end(order.task, job::EndKind::Done);
    desk.pass(2_000, false);
    assert_eq!(starts(&desk, BEFORE), 2, "its end is heard");
}

/// Checks that a look names an end only to the incarnation that told it in its last answer.
fn names_no_end_of_the_last_incarnation() {
    let (mut desk, order) = running();
    let incarnation = &order.worker;
    let (task, run, kind) = (order.task, order.run, job::EndKind::Done);
    let ended = vec![job::Ended { number: 1, task, run, kind, checkpoint: String::new() }];
    let told =
        job::HeartbeatAnswer::Lists(job::Lists { clock_ms: 2_000, ended, ..Default::default() });
    desk.answer_heartbeat(incarnation, told.clone());
    assert_eq!(desk.answer_heartbeat(incarnation, job::HeartbeatAnswer::Silent).seen, 1);
    assert_eq!(
        desk.answer_heartbeat(incarnation, told).seen,
        0,
        "the worker may have started again"
    );
    assert_eq!(desk.answer_heartbeat(incarnation, lists(incarnation, None)).seen, 1);
    assert_eq!(
        desk.answer_heartbeat(incarnation, lists(incarnation, None)).seen,
        0,
        "it was forgotten before"
    );
}

/// Checks that a next holder takes a task of an incarnation that is over for one that the next incarnation may have.
fn is_settled_by_the_next_holder() {
    let (jobs, rows) = desk::started_rows();
    let mut desk = desk::Desk::after(0, (jobs, rows), Vec::new());
    let next = desk.restart(0);
    assert_eq!(starts(&desk, 1), 0);
    desk.answer_heartbeat(&next, lists(&next, None));
    desk.pass(100, false);
    assert_eq!(desk.starts(1), [(0, 2)]);
}

/// Checks that a task which crashes its worker at each start is given up, though each is back at once under its id.
fn gives_up_what_crashes_workers() {
    let mut desk = desk::Desk::new(0, Vec::new());
    for at in 0..10 {
        desk.restart(at);
    }
    desk.pass(300, false);
    desk.submit(BEFORE, "first", desk::step("plain", 1_000));
    for _ in 0..8 {
        desk.pass(100, false);
        let Some(order) = desk.last_order(task(BEFORE, 0)) else {
            break;
        };
        let at = (0..10).find(|at| desk::member(*at).incarnation.worker == order.worker.worker);
        desk.restart(at.expect("a worker"));
    }
    desk.pass(300, false);
    assert!(starts(&desk, BEFORE) <= 5, "{} starts", starts(&desk, BEFORE));
    assert_eq!(desk.phase(BEFORE), job::Phase::Failed);
}

/// Checks that a ticket for the last incarnation is not shown to the next one.
fn asks_anew_for_tickets() {
    let mut desk = desk::Desk::new(1, Vec::new());
    desk.good = vec![desk::member(0).incarnation];
    desk.submit(BEFORE, desk::ADVISED, desk::step("plain", 1_000));
    desk.pass(300, false);
    assert_eq!(desk.questions.len(), 1);
    let next = desk.restart(0);
    desk.good = vec![next];
    desk.pass(600, false);
    assert_eq!(desk.questions.len(), 2);
    assert_eq!(starts(&desk, BEFORE), 2);
}

/// Checks that a lease by the last incarnation's clock does not outlast it: a silent next incarnation is given up after the longest
/// lease that it can grant.
fn waits_for_no_lease_of_the_last_incarnation() {
    let mut desk = desk::Desk::new(2, Vec::new());
    desk.submit(BEFORE, "first", desk::step("plain", 1_000));
    desk.pass(60_000, false);
    let order = desk.order_of(task(BEFORE, 0));
    let at = (0..2).find(|at| desk::member(*at).incarnation == order.worker).expect("a worker");
    let next = desk.restart(at);
    desk.answer_heartbeat(&next, lists(&next, Some(&order)));
    desk.silent.insert(next);
    desk.pass(8_000, false);
    assert_eq!(starts(&desk, BEFORE), 2, "its lease of 6 s at most is over");
}

cases! {
    a_task_done_on_a_new_incarnation_is_not_started_again => is_started_once(),
    a_step_after_one_done_on_a_new_incarnation_begins => opens_the_next_step(),
    an_order_that_the_next_incarnation_carried_out_is_not_given_again => {
        keeps_what_the_next_incarnation_carried_out();
    },
    a_task_lost_with_the_last_incarnation_is_started_anew => {
        starts_anew_what_the_next_incarnation_does_not_have();
    },
    a_next_incarnation_is_found_out_by_a_look => is_found_out_by_a_look(),
    what_the_last_incarnation_says_late_is_passed_over => passes_over_what_the_last_incarnation_says_late(),
    a_look_names_no_end_of_the_last_incarnation => names_no_end_of_the_last_incarnation(),
    a_next_holder_settles_what_the_last_incarnation_had => is_settled_by_the_next_holder(),
    a_task_that_crashes_workers_that_restart_is_given_up => gives_up_what_crashes_workers(),
    tickets_belong_to_an_incarnation => asks_anew_for_tickets(),
    leases_belong_to_an_incarnation => waits_for_no_lease_of_the_last_incarnation(),
}
