//! Ends that are told late: of a run that counted as lost while its worker was silent.
//!
//! Seen on hosts whose links were full: a worker was silent for longer than its lease, the task was staged
//! anew, and then the worker told that the first run was done. That end was acknowledged and dropped, and
//! the next run started, 350 times in a day. Nothing that is acknowledged may be forgotten: whichever run is
//! the last by then, a run that is done ends its task, a failure counts once, and what was saved is kept.

mod desk;

use std::{collections, time};

use wharflane::{job, rows};
use wharflane_stand_in::{cases, jobs::world};

/// The job of these tests.
const JOB: u64 = 10;
/// A silence after which what ran on a worker counts as lost, in milliseconds: the 6 s that an earlier holder may
/// have granted, by a clock that may be 2 % slow.
const SILENCE_MS: u64 = 6_500;

/// Returns the task with an index.
fn task(index: u32) -> job::TaskId {
    job::TaskId { job: job::JobId(JOB), round: 0, step: 0, index }
}

/// Returns a desk on which the first run of a task counts as lost, the order for it, and the next run staged in
/// a commit that the store has not answered.
fn staged_again(step: job::Step) -> (desk::Desk, job::Order) {
    staged_again_on(desk::Desk::new(3, Vec::new()), step)
}

/// Does the same on a given desk.
fn staged_again_on(mut desk: desk::Desk, step: job::Step) -> (desk::Desk, job::Order) {
    desk.submit(JOB, "first", step);
    desk.pass(200, false);
    let first = desk.order_of(task(0));
    desk.silent.insert(first.worker.clone());
    desk.leaves_open = stages_again;
    desk.pass(SILENCE_MS, false);

    let open = desk.asked.iter().filter(|effect| matches!(effect, job::Effect::Txn(..)));
    assert_eq!(open.count(), 1, "the commit of the second run");
    (desk, first)
}

/// Returns the number of tasks that have a worker.
fn placed(desk: &desk::Desk) -> usize {
    desk.engine.holding().expect("a holder").dump().placed
}

/// Returns whether a transaction writes a second run.
fn stages_again(txn: &rows::Txn) -> bool {
    let rows = txn.writes.iter().filter(|write| write.key.table == job::PROGRESS);
    let mut rows = rows.filter_map(|row| job::Progress::decode(row.value.as_deref()?).ok());
    rows.any(|progress| progress.tasks.values().any(|task| task.run == 2))
}

/// Lets a worker be heard again that tells how a run ended.
fn told(desk: &mut desk::Desk, order: &job::Order, kind: job::EndKind, saved: &str) {
    desk.end_run(order, kind, saved.to_owned());
    desk.silent.remove(&order.worker);
}

/// Returns the highest number of an end that looks at the worker of an order have acknowledged.
fn acknowledged(desk: &desk::Desk, order: &job::Order) -> u64 {
    let seen = desk.seen.iter().filter(|(worker, _)| *worker == order.worker);
    seen.map(|(_, seen)| *seen).max().unwrap_or(0)
}

/// Returns a desk that takes over the job from another.
fn next_holder(before: &mut desk::Desk) -> desk::Desk {
    let job::Event::Jobs(jobs) = before.accepted(JOB, "first", desk::step("plain", 1_000)) else {
        panic!("no rows");
    };
    let rows = before.table(job::PROGRESS);
    let mut desk = desk::Desk::after(3, (jobs, rows), Vec::new());
    desk.now = before.now;
    desk
}

/// Returns what the job's row says.
fn progress(desk: &desk::Desk) -> job::Progress {
    let key = job::progress_key(0, job::JobId(JOB));
    let text = desk.rows.get(&(job::PROGRESS, key.name)).expect("a row");
    job::Progress::decode(text).expect("progress")
}

/// Returns what the job's row says of the first task.
fn kept(desk: &desk::Desk) -> job::Task {
    progress(desk).tasks.get(&task(0).into()).cloned().expect("a task")
}

/// Returns the runs that were ordered of the first task.
fn runs(desk: &desk::Desk) -> Vec<u32> {
    let starts = desk.starts(JOB).into_iter().filter(|(index, _)| *index == 0);
    let runs: collections::BTreeSet<u32> = starts.map(|(_, run)| run).collect();
    runs.into_iter().collect()
}

/// Returns the runs of the first task that were ordered to stop.
fn stopped(desk: &desk::Desk) -> Vec<u32> {
    desk.stops.iter().filter(|order| order.task == task(0)).map(|order| order.run).collect()
}

/// Returns a desk whose second run is there, and the order for the first.
fn running_again() -> (desk::Desk, job::Order) {
    let (mut desk, first) = staged_again(desk::step("plain", 1_000));
    desk.store_answers();
    desk.pass(100, false);
    assert_eq!(runs(&desk), [1, 2]);
    (desk, first)
}

cases! {
    done_while_the_next_run_is_staged_withdraws_it => {
        let (mut desk, first) = staged_again(desk::step("plain", 1_000));
        told(&mut desk, &first, job::EndKind::Done, "");
        desk.pass(2_000, false);
        desk.store_answers();
        desk.pass(2_000, false);
        assert_eq!(runs(&desk), [1], "the second run was never ordered");
        assert_eq!(progress(&desk).phase, job::Phase::Completed);
    },
    done_while_the_next_run_is_ordered_stops_it => {
        let (mut desk, first) = staged_again(desk::step("plain", 1_000));
        desk.store_answers();
        let second = desk.order_of(task(0));
        assert_eq!(second.run, 2);
        // The order is on its way while the first worker is heard.
        told(&mut desk, &first, job::EndKind::Done, "");
        let start = desk.asked.iter().position(|e| matches!(e, job::Effect::Start(_)));
        let start = desk.asked.remove(start.expect("an order"));
        desk.pass(2_000, false);
        desk.asked.push(start);
        let taken = job::StartAnswer::Taken;
        desk.take(job::Event::Started { order: second, answer: taken });
        desk.pass(200, false);
        assert_eq!(stopped(&desk).first(), Some(&2));
        assert_eq!(progress(&desk).phase, job::Phase::Completed);
        assert_eq!(runs(&desk).last(), Some(&2), "no third run");
    },
    done_while_an_order_is_in_doubt_gives_it_up => {
        let (mut desk, first) = staged_again(desk::step("plain", 1_000));
        let others = desk.starts(JOB).len();
        desk.answers.extend(vec![job::StartAnswer::Taken; others]);
        desk.answers.push_back(job::StartAnswer::Silent);
        desk.store_answers();
        desk.pass(20, false);
        told(&mut desk, &first, job::EndKind::Done, "");
        desk.hear_ends(&first.worker);
        desk.pass(6_000, false);
        assert_eq!(desk.not_taken.len(), 1, "an order without an answer is not given again");
        assert_eq!(progress(&desk).phase, job::Phase::Completed);
        assert_eq!(placed(&desk), 0);
    },
    done_while_the_next_run_works_stops_it => {
        let (mut desk, first) = running_again();
        told(&mut desk, &first, job::EndKind::Done, "");
        desk.pass(2_000, false);
        assert_eq!(stopped(&desk).first(), Some(&2));
        assert_eq!(progress(&desk).phase, job::Phase::Completed);
        desk.end(task(0), job::EndKind::Stopped);
        desk.pass(2_000, false);
        assert_eq!(runs(&desk), [1, 2], "no third run");
        assert_eq!(placed(&desk), 0);
    },
    done_after_the_next_run_has_ended_starts_no_other => {
        let (mut desk, first) = running_again();
        let second = desk.order_of(task(0));
        desk.silent.insert(second.worker.clone());
        desk.pass(SILENCE_MS, false);
        told(&mut desk, &second, job::EndKind::Failed, "");
        told(&mut desk, &first, job::EndKind::Done, "");
        desk.pass(1_000, false);
        assert_eq!(progress(&desk).phase, job::Phase::Completed);
        let before = runs(&desk);
        desk.pass(3_000, false);
        assert_eq!(runs(&desk), before, "nothing starts after the job is done");
    },
    a_late_end_is_acknowledged_once_its_commit_stands => {
        // Idle workers are looked at often, or the lease would be over before the second look.
        let idle_heartbeat_gap = time::Duration::from_millis(200);
        let settings = job::Settings { idle_heartbeat_gap, ..world::settings() };
        let desk = desk::Desk::with(settings, 3, (Vec::new(), Vec::new()), Vec::new());
        let (mut desk, first) = staged_again_on(desk, desk::step("plain", 1_000));
        desk.store_answers();
        desk.pass(100, false);
        desk.leaves_open = |_| true;
        told(&mut desk, &first, job::EndKind::Done, "");
        desk.hear_ends(&first.worker);
        desk.seen.clear();
        desk.pass(1_600, false);
        assert_eq!(acknowledged(&desk, &first), 0, "not committed");
        desk.store_answers();
        desk.pass(5_000, false);
        assert_eq!(progress(&desk).phase, job::Phase::Completed);
        assert_eq!(acknowledged(&desk, &first), 1);
    },
    done_stops_the_next_run_as_soon_as_it_is_heard => {
        let step = job::Step { count: 2, ..desk::step("plain", 1_000) };
        let (mut desk, first) = staged_again(step);
        desk.store_answers();
        desk.pass(100, false);
        told(&mut desk, &first, job::EndKind::Done, "");
        desk.hear_ends(&first.worker);
        let stopped = desk.asked.iter().any(|effect| {
            matches!(effect, job::Effect::Stop(order) if (order.task, order.run) == (task(0), 2))
        });
        assert!(stopped, "before the worker that runs it is looked at");
    },
    done_while_the_task_waits_for_room_takes_it_out_of_line => {
        let mut desk = desk::Desk::new(1, Vec::new());
        desk.submit(JOB, "first", job::Step { count: 2, ..desk::step("plain", 1_000) });
        desk.pass(200, false);
        let first = desk.order_of(task(0));
        desk.silent.insert(first.worker.clone());
        desk.pass(SILENCE_MS, false);
        assert_eq!(desk.engine.holding().expect("a holder").dump().ready, 2);
        told(&mut desk, &first, job::EndKind::Done, "");
        desk.pass(3_000, false);
        assert_eq!(runs(&desk), [1], "nothing is started that is done");
        assert_eq!(desk.starts(JOB).len(), 3, "the other task is started again");
    },
    done_is_heard_by_the_next_holder => {
        let (mut before, first) = running_again();
        let mut desk = next_holder(&mut before);
        told(&mut desk, &first, job::EndKind::Done, "");
        let second = before.order_of(task(0));
        let row = job::Running { task: task(0), run: second.run, percent: 10, load: 1_000 };
        desk.pass(20, false);
        let at: usize = second.worker.worker.as_str()["worker-".len()..].parse().expect("a number");
        desk.hear(at, vec![row]);
        desk.pass(1_000, false);
        assert_eq!(progress(&desk).phase, job::Phase::Completed);
        assert_eq!(desk.starts(JOB), [], "nothing is started again");
    },
    failures_told_late_count_once_also_for_the_next_holder => {
        let (mut before, first) = running_again();
        told(&mut before, &first, job::EndKind::Failed, "");
        before.pass(1_000, false);
        assert_eq!(kept(&before).failures(), 1);
        let mut desk = next_holder(&mut before);
        told(&mut desk, &first, job::EndKind::Failed, "");
        desk.pass(1_000, false);
        assert_eq!(desk.engine.holding().expect("a holder").dump().ready, 0);
        assert!(kept(&before).failures() == 1);
        let rows = desk.table(job::PROGRESS);
        let failures = rows.iter().filter_map(|row| {
            let progress = job::Progress::decode(row.value.as_deref()?).ok()?;
            progress.tasks.get(&task(0).into()).map(job::Task::failures)
        });
        assert!(failures.max().unwrap_or(1) <= 1, "the same failure was counted twice");
    },
    failures_told_late_use_up_the_attempts => {
        let (mut desk, first) = running_again();
        let second = desk.order_of(task(0));
        desk.silent.insert(second.worker.clone());
        desk.pass(SILENCE_MS, false);
        let third = desk.order_of(task(0));
        assert_eq!(third.run, 3);
        told(&mut desk, &first, job::EndKind::Failed, "");
        told(&mut desk, &second, job::EndKind::Failed, "");
        desk.pass(1_000, false);
        desk.end(task(0), job::EndKind::Failed);
        desk.pass(6_000, false);
        assert_eq!(progress(&desk).phase, job::Phase::Failed, "three attempts are allowed");
        assert_eq!(runs(&desk), [1, 2, 3]);
    },
    what_a_lost_run_saved_is_kept_for_the_next => {
        let step = job::Step { checkpoint: true, ..desk::step("plain", 1_000) };
        let (mut desk, first) = staged_again(step);
        told(&mut desk, &first, job::EndKind::Lapsed, "saved by the first run");
        desk.pass(1_000, false);
        desk.store_answers();
        desk.pass(200, false);
        assert_eq!(kept(&desk).checkpoint, "saved by the first run");
    },
    what_an_earlier_run_saved_does_not_replace_what_a_later_one_did => {
        let (mut desk, first) = running_again();
        let second = desk.order_of(task(0));
        told(&mut desk, &second, job::EndKind::Stopped, "later");
        desk.pass(500, false);
        told(&mut desk, &first, job::EndKind::Lapsed, "earlier");
        desk.hear_ends(&first.worker);
        desk.pass(500, false);
        assert_eq!(kept(&desk).checkpoint, "later");
    },
    a_gang_that_is_done_by_an_earlier_run_is_not_started_again => {
        let gang = job::Step { count: 2, gang: true, ..desk::step("plain", 1_000) };
        let (mut desk, first) = staged_again(gang);
        told(&mut desk, &first, job::EndKind::Done, "");
        desk.pass(2_000, false);
        desk.store_answers();
        desk.pass(2_000, false);
        assert_eq!(progress(&desk).phase, job::Phase::Completed);
        assert!(desk.starts(JOB).iter().all(|(_, run)| *run == 1), "{:?}", desk.starts(JOB));
    },
}
