//! Tasks that could run and don't: none waits without bound while most of its service's room is free.
//!
//! The bound is the users': for 3 s a job runs nothing although a task's turn has come, there is room for it
//! twice over and less than half of the service is in use.

mod desk;

use std::{collections, time};

use wharflane::{job, rows};
use wharflane_stand_in::cases;

/// How long a task may wait by the users' rule, in milliseconds; a look and a commit are within it.
const BOUND_MS: u64 = 3_000;
/// The target of a serving task, in milliseconds.
const TARGET_MS: u64 = 50;
/// How long a target may be missed by what fills, in the users' words.
const HARM: time::Duration = time::Duration::from_secs(4);
/// The job whose tasks serve.
const SERVING: u64 = 1;
/// The first job that waits.
const WAITING: u64 = 10;
/// The processors of a task that fills, in thousandths.
const FILLING_MILLI: u64 = 4_000;

/// Returns rows of a model by which one image strains the other so much, with little doubt.
fn learned(harm: f64) -> Vec<rows::Row> {
    let row = |name: &str, value: String| rows::Row {
        name: name.to_owned(),
        part: job::part(0),
        version: 1,
        value: Some(value),
        gone: false,
    };
    let images = r#"{"names":["serving","filling"],"rest_ms":{"0":13.0}}"#;
    let fit = format!(r#"{{"images":[1],"factors":[0.06,{harm}],"covariance":[0.0005,0.0,0.01]}}"#);
    vec![row("images", images.to_owned()), row("fit-0", fit)]
}

/// Returns a tail that nothing harms.
fn quiet(_filled_milli: u64) -> u64 {
    14
}

/// Returns a desk whose workers hold one serving task each, with such a harm learned.
fn serving(workers: usize, harm: f64) -> desk::Desk {
    let mut desk = desk::Desk::new(workers, learned(harm));
    desk.tail_ms = Some(quiet);
    let count = u32::try_from(workers).expect("a small number");
    let alone = job::Step { count, max_per_worker: Some(1), ..desk::step("serving", 4_000) };
    desk.submit(SERVING, "first", alone);
    desk.pass(1_000, false);
    assert_eq!(desk.starts(SERVING).len(), workers);
    desk
}

/// Returns the name of a task.
fn task(job: u64, index: u32) -> job::TaskId {
    job::TaskId { job: job::JobId(job), round: 0, step: 0, index }
}

/// The strain of a whole worker's processors at work for what harms most.
const GREAT_HARM: f64 = 8.0;

/// Returns the tail of a serving task beside work that harms it greatly.
fn harmed(filled_milli: u64) -> u64 {
    let strain = (0.06 + GREAT_HARM * filled_milli as f64 / 16_000.0).min(0.98);
    (13.0 / (1.0 - strain)) as u64
}

/// Returns the longest time for which a worker told one missed target after the other.
fn longest_miss(desk: &desk::Desk) -> time::Duration {
    let mut since = collections::BTreeMap::new();
    let mut longest = time::Duration::ZERO;
    for (at, worker, tail_ms) in &desk.tails {
        if *tail_ms > TARGET_MS {
            let first = *since.entry(worker.clone()).or_insert(*at);
            longest = longest.max(*at - first);
        } else {
            since.remove(worker);
        }
    }
    longest
}

/// Returns the shares that were ordered for a job.
fn shares(desk: &desk::Desk, job: u64) -> Vec<u8> {
    let own = desk.paces.iter().filter(|(_, pace)| pace.order.task.job.0 == job);
    own.map(|(_, pace)| pace.percent).collect()
}

/// Hands in so many jobs of one task each that fills.
fn submit_filling(desk: &mut desk::Desk, jobs: u64) {
    for job in WAITING..WAITING + jobs {
        desk.submit(job, "last", desk::step("filling", FILLING_MILLI));
    }
}

/// Returns how many of so many jobs have started.
fn started(desk: &desk::Desk, jobs: u64) -> usize {
    (WAITING..WAITING + jobs).filter(|job| !desk.starts(*job).is_empty()).count()
}

cases! {
    // Seen: a task of a job accepted 78 s before ran nothing, while most of the workers' room was free.
    // How it can come about: all workers hold serving tasks, and the task's image is learned to harm them more
    // than they bear. Cause: no worker is found by that figure, and nothing corrects it while the image does not
    // run; the next holder reads it back from the store. Proof: this case restores such a figure, and without
    // starts in need nothing starts. The record itself has no log of the figures that were learned then.
    a_task_whose_learned_harm_fits_nowhere_runs_within_the_bound => {
        let mut desk = serving(4, 2.5);
        desk.submit(WAITING, "last", desk::step("filling", FILLING_MILLI));
        desk.pass(BOUND_MS, false);
        assert_eq!(desk.starts(WAITING).len(), 1);
    },
    a_round_that_was_open_stays_so_when_the_time_of_day_goes_back => {
        let mut desk = desk::Desk::new(1, Vec::new());
        let job::Event::Jobs(mut rows) =
            desk.accepted(WAITING, "first", desk::step("plain", 1_000))
        else {
            panic!("no rows");
        };
        let text = rows[0].value.take().expect("a job");
        let mut accepted: job::Accepted = serde_json::from_str(&text).expect("a job");
        accepted.job.repeats = Some(job::Repeats { times: 1, first_ms: 1_500, every_ms: 0 });
        rows[0].value = serde_json::to_string(&accepted).ok();
        desk.take(job::Event::Jobs(rows));
        desk.pass(1_000, false);
        assert_eq!(desk.starts(WAITING).len(), 1);
        desk.behind_ms = 1_000;
        desk.pass(100, false);
        desk.end(task(WAITING, 0), job::EndKind::Lapsed);
        desk.pass(400, false);
        desk.pass(BOUND_MS, false);
        assert_eq!(desk.starts(WAITING).len(), 2);
    },
    what_was_held_back_goes_on_once_nothing_serves_beside_it => {
        let mut desk = serving(1, 0.0);
        desk.submit(WAITING, "last", desk::step("filling", FILLING_MILLI));
        desk.pass(1_000, false);
        desk.tail_ms = Some(|_| 200);
        desk.pass(6_000, false);
        assert_eq!(desk.paces.last().map(|(_, pace)| pace.percent), Some(0));
        let job::Event::Jobs(mut rows) =
            desk.accepted(SERVING, "first", desk::step("serving", 4_000))
        else {
            panic!("no rows");
        };
        let text = rows[0].value.take().expect("a job");
        let mut accepted: job::Accepted = serde_json::from_str(&text).expect("a job");
        accepted.cancelled = true;
        rows[0].value = serde_json::to_string(&accepted).ok();
        desk.take(job::Event::Jobs(rows));
        desk.end(task(SERVING, 0), job::EndKind::Stopped);
        desk.pass(BOUND_MS, false);
        assert_eq!(desk.paces.last().map(|(_, pace)| pace.percent), Some(100));
    },
    a_task_wider_than_what_any_worker_leaves_runs_within_the_bound => {
        let mut desk = serving(4, 0.0);
        desk.submit(WAITING, "last", desk::step("filling", 20_000));
        desk.pass(BOUND_MS, false);
        assert_eq!(desk.starts(WAITING).len(), 1);
    },
    a_lasting_task_that_fills_comes_back_within_the_bound => {
        let mut desk = serving(4, 2.5);
        let lasting = job::Step { lasting: true, count: 2, ..desk::step("filling", FILLING_MILLI) };
        desk.submit(WAITING, "last", lasting);
        desk.pass(2 * BOUND_MS, false);
        assert_eq!(desk.starts(WAITING).len(), 2, "each of them, not only the first");
    },
    a_gang_that_fills_runs_within_the_bound => {
        let mut desk = serving(4, 2.5);
        let gang = job::Step { gang: true, count: 2, ..desk::step("filling", FILLING_MILLI) };
        desk.submit(WAITING, "last", gang);
        desk.pass(BOUND_MS, false);
        assert_eq!(desk.starts(WAITING).len(), 2);
    },
    a_gang_with_room_twice_over_runs_though_smaller_tasks_keep_coming => {
        let mut desk = desk::Desk::new(4, Vec::new());
        let gang = job::Step { gang: true, count: 4, ..desk::step("plain", 4_000) };
        desk.submit(WAITING, "last", gang);
        for job in 0..20 {
            desk.submit(100 + job, "first", desk::step("plain", 1_000));
            desk.pass(100, false);
        }
        assert_eq!(desk.starts(WAITING).len(), 4);
    },
    a_job_that_is_long_overdue_runs_beside_newer_ones_where_there_is_room => {
        let mut desk = desk::Desk::new(4, Vec::new());
        desk.pass(30_000, false);
        desk.submit(WAITING, "last", desk::step("plain", 4_000));
        for job in 0..20 {
            desk.submit(100 + job, "first", desk::step("plain", 1_000));
        }
        desk.pass(500, false);
        assert_eq!(desk.starts(WAITING).len(), 1);
    },
    room_kept_for_a_larger_task_is_not_kept_from_a_small_one_for_ever => {
        let mut desk = desk::Desk::new(1, Vec::new());
        desk.submit(SERVING, "first", desk::step("serving", 7_000));
        desk.pass(500, false);
        desk.take(job::Event::Member("worker-1".into(), Some(desk::member(1))));
        desk.pass(500, false);
        desk.submit(1_001, "first", desk::step("serving", 14_000));
        desk.pass(500, false);
        assert_eq!(desk.worker_of(task(1_001, 0)), desk::member(1).incarnation);
        let order = desk.order_of(task(1_001, 0));
        let answer = job::HeartbeatAnswer::Gone;
        desk.take(job::Event::HeartbeatAnswered { worker: order.worker, epoch: order.epoch, answer });
        desk.pass(4_000, false);
        desk.submit(WAITING, "first", desk::step("plain", 1_000));
        desk.pass(BOUND_MS, false);
        assert_eq!(desk.starts(WAITING).len(), 1);
    },
    a_job_does_not_wait_until_all_workers_have_rested => {
        let mut desk = desk::Desk::new(2, Vec::new());
        let hopeless = job::Step { count: 4, max_per_worker: Some(2), ..desk::step("plain", 1_000) };
        desk.submit(2, "first", hopeless);
        desk.pass(500, false);
        for index in 0..4 {
            desk.end(task(2, index), job::EndKind::Failed);
        }
        desk.pass(1_100, false);
        desk.submit(WAITING, "first", desk::step("plain", 1_000));
        desk.pass(2_400, false);
        assert_eq!(desk.starts(WAITING).len(), 1);
    },
    what_was_held_back_goes_on_while_nobody_uses_what_serves => {
        let mut desk = serving(1, 0.0);
        submit_filling(&mut desk, 1);
        desk.pass(1_000, false);
        desk.tail_ms = Some(|_| 200);
        desk.pass(6_000, false);
        assert_eq!(shares(&desk, WAITING).last(), Some(&0));
        desk.tail_ms = Some(|_| 0);
        desk.pass(2 * BOUND_MS, false);
        assert_eq!(shares(&desk, WAITING).last(), Some(&100));
    },
    a_miss_that_is_not_told_any_more_keeps_no_task_away => {
        let mut desk = serving(4, 0.0);
        desk.tail_ms = Some(|_| 80);
        desk.pass(3_000, false);
        desk.tail_ms = Some(|_| 0);
        desk.pass(1_000, false);
        submit_filling(&mut desk, 1);
        desk.pass(BOUND_MS, false);
        assert_eq!(started(&desk, 1), 1);
    },
    it_is_held_back_from_its_start_and_let_go_where_the_figure_was_wrong => {
        let mut desk = serving(4, 2.5);
        submit_filling(&mut desk, 1);
        desk.pass(BOUND_MS, false);
        let first = shares(&desk, WAITING)[0];
        assert!((10..60).contains(&first), "strains of 0.65 in place of 1.25: {first} %");
        desk.pass(20_000, false);
        assert_eq!(shares(&desk, WAITING).last(), Some(&100), "{:?}", shares(&desk, WAITING));
        assert!(desk.harm().expect("learned") < 1.0, "learned anew: {:?}", desk.harm());
        desk.submit(20, "last", desk::step("filling", FILLING_MILLI));
        desk.pass(500, false);
        assert_eq!(desk.starts(20).len(), 1, "as any other");
    },
    targets_are_kept_beside_it_where_the_figure_was_right => {
        let mut desk = serving(4, GREAT_HARM);
        desk.tail_ms = Some(harmed);
        submit_filling(&mut desk, 4);
        desk.pass(60_000, false);
        assert!(started(&desk, 4) > 0);
        assert!(longest_miss(&desk) < HARM, "{:?} of misses", longest_miss(&desk));
    },
    targets_are_kept_where_the_harm_is_learned_far_too_low => {
        let mut desk = serving(4, 0.0);
        desk.tail_ms = Some(harmed);
        submit_filling(&mut desk, 4);
        desk.pass(60_000, false);
        assert!(longest_miss(&desk) < HARM, "{:?} of misses", longest_miss(&desk));
    },
    few_at_once_are_started_in_need => {
        let mut desk = serving(16, GREAT_HARM);
        desk.tail_ms = Some(harmed);
        submit_filling(&mut desk, 20);
        desk.pass(2 * BOUND_MS, false);
        assert_eq!(started(&desk, 20), 2, "one worker in eight");
    },
    a_job_of_which_one_task_runs_is_not_in_need => {
        let mut desk = serving(16, GREAT_HARM);
        desk.tail_ms = Some(harmed);
        let many = job::Step { count: 5, ..desk::step("filling", FILLING_MILLI) };
        desk.submit(WAITING, "last", many);
        desk.pass(2 * BOUND_MS, false);
        assert_eq!(desk.starts(WAITING).len(), 1);
    },
    nothing_is_started_in_need_where_half_of_the_service_is_in_use => {
        let mut desk = serving(4, 2.5);
        for job in 100..104 {
            desk.submit(job, "first", desk::step("plain", 4_000));
        }
        desk.pass(500, false);
        submit_filling(&mut desk, 1);
        desk.pass(2 * BOUND_MS, false);
        assert_eq!(started(&desk, 1), 0);
    },
    nothing_is_started_in_need_where_a_target_is_missed_for_long => {
        let mut desk = serving(4, 2.5);
        desk.tail_ms = Some(|_| 80);
        desk.pass(3_000, false);
        submit_filling(&mut desk, 1);
        desk.pass(2 * BOUND_MS, false);
        assert_eq!(started(&desk, 1), 0);
    },
    the_share_is_ordered_as_soon_as_the_start_is_taken => {
        let mut desk = serving(4, 2.5);
        submit_filling(&mut desk, 1);
        desk.pass(1_400, false);
        // No look is answered from here on.
        while desk.starts(WAITING).is_empty() {
            assert!(desk.now < time::Duration::from_secs(5), "no start");
            desk.now += time::Duration::from_millis(20);
            let wall_ms = u64::try_from(desk.now.as_millis()).expect("a small number");
            desk.take(job::Event::Tick { wall_ms });
        }
        let order = desk.order_of(task(WAITING, 0));
        desk.take(job::Event::Started { order, answer: job::StartAnswer::Taken });
        let paced = |effect: &job::Effect| matches!(effect, job::Effect::Pace(pace) if pace.percent < 100);
        assert!(desk.asked.iter().any(paced));
    },
    the_share_of_a_start_without_answer_is_ordered_once_the_task_is_there => {
        let mut desk = serving(4, 3.0 * GREAT_HARM);
        submit_filling(&mut desk, 1);
        desk.answers = [job::StartAnswer::Silent].into();
        desk.pass(BOUND_MS, false);
        let first = desk.asked.iter().find_map(|effect| match effect {
            job::Effect::Start(start) if start.order.task.job.0 == WAITING => Some(start),
            _ => None,
        });
        assert!(first.is_some());
        assert_eq!(shares(&desk, WAITING).first(), Some(&10));
    },
}
