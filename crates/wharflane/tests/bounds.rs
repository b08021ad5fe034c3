//! Rows and commits stay within what the store takes, and a commit refused for good stops nothing else.

mod desk;

use wharflane::{id, job, rows, size};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::rows as store;

/// The longest value of a row, as base64.
const MAX_ROW_BYTES: usize = 65_536;

/// Returns the name of a task of a job's only step.
fn task(job: u64, index: u32) -> job::TaskId {
    job::TaskId { job: job::JobId(job), round: 0, step: 0, index }
}

/// Returns a task that is small.
fn small(count: u32) -> job::Step {
    job::Step { count, ..desk::step("plain", 10) }
}

/// Returns the length of the longest row in base64.
fn longest(rows: &[rows::Row]) -> usize {
    let lengths = rows.iter().filter_map(|row| row.value.as_ref()).map(|value| value.len());
    lengths.max().unwrap_or(0).div_ceil(3) * 4
}

/// Returns a job's progress as it is kept.
fn kept(desk: &desk::Desk, job: u64) -> job::Progress {
    let mut whole = job::Progress::default();
    let name = job::JobId(job).to_string();
    let rows = desk.table(job::PROGRESS);
    for row in rows.iter().filter(|row| row.name.starts_with(&name)) {
        let at = row.name.split_once('.').map_or(0, |(_, at)| at.parse().expect("a number"));
        let read = job::Progress::decode(row.value.as_ref().expect("a value"));
        whole.add_row(at, read.expect("a row"));
    }
    whole
}

/// Lets serving tasks of many images run beside filling ones of many, with names of some length.
fn many_images(serving: u64, filling: u64, name_bytes: usize) -> desk::Desk {
    let mut desk = desk::Desk::new(2, Vec::new());
    let name = |kind: &str, at: u64| format!("{kind}{at:03}{}", "x".repeat(name_bytes));
    for at in 0..serving {
        let step = job::Step { image: Some(name("s", at)), ..desk::step("serving", 10) };
        desk.submit(desk::SERVING_JOBS.start + at, "first", step);
    }
    desk.pass(3_000, false);
    let size = size::Size { cpu_milli: 10, mem_mb: 1, accelerators: 0 };
    for at in 0..filling {
        let step = job::Step { image: Some(name("f", at)), size, ..desk::step("filling", 10) };
        desk.submit(5_000 + at, "last", step);
        desk.pass(60, false);
    }
    desk.pass(12_000, false);
    desk
}

/// Returns the bytes of a row of 100 tasks that all are so.
fn row_bytes(state: &job::Task) -> usize {
    let step = small(100);
    let place = |index| job::TaskPosition { round: 0, step: 0, index };
    let tasks = (0..100).map(|index| (place(index), state.clone())).collect();
    let progress = job::Progress { phase: job::Phase::Running, tasks };
    let job = job::Job {
        queue: "first".to_owned(),
        service: "service".into(),
        spec: String::new(),
        steps: vec![step],
        repeats: None,
    };
    let row = progress.encode(&job, 0).expect("a row").expect("a value");
    let read = job::Progress::decode(&row).expect("progress");
    assert!(
        read.tasks.values().all(|task| (task.done, &task.worker) == (state.done, &state.worker))
    );
    assert_eq!(read.tasks.len(), 100);
    row.len()
}

cases! {
    // Rows are written at each start and end of their tasks: on hosts of 2 Mbit/s with 46 bytes a task they took
    // as much as starts and looks together.
    a_task_that_runs_takes_few_bytes_of_its_row => {
        let worker: id::Incarnation = "i-0123456789".into();
        let running = job::Task { run: 1, worker: Some(worker), ..job::Task::default() };
        let bytes = row_bytes(&running);
        assert!(bytes < 2_800, "{bytes} bytes for 100 tasks");
    },
    tasks_that_are_done_take_no_bytes_each => {
        let bytes = row_bytes(&job::Task { run: 1, done: true, ..job::Task::default() });
        assert!(bytes < 60, "{bytes} bytes for 100 tasks");
    },
    tasks_of_which_much_is_known_fit_a_row => {
        let worker: id::Incarnation = "w".repeat(200).as_str().into();
        let state = job::Task {
            run: 1_000_000,
            failed_runs: [999_998, 999_999].into(),
            worker: Some(worker),
            checkpoint: "x".repeat(160),
            losses: job::Losses { suspected: 4, alone: 2, unexplained: 4 },
            ..job::Task::default()
        };
        let bytes = row_bytes(&state);
        assert!(bytes <= MAX_ROW_BYTES, "{bytes} bytes for 100 tasks");
    },
    what_was_learned_of_many_images_fits_its_rows => {
        let mut desk = many_images(40, 200, 300);
        assert_eq!(desk.refusals, 0);
        let rows = desk.table(job::LEARNED);
        assert!(rows.len() > 3, "{} rows", rows.len());
        assert!(longest(&rows) <= MAX_ROW_BYTES, "{} bytes", longest(&rows));
        assert!(desk.engine.holding().is_some());
        desk.submit(1, "first", desk::step("plain", 100));
        desk.pass(300, false);
        assert_eq!(desk.starts(1).len(), 1, "the domain goes on");
    },
    progress_of_a_job_with_many_tasks_fits_its_rows_and_is_read_back => {
        let mut desk = desk::Desk::new(40, Vec::new());
        desk.submit(1, "first", small(1_000));
        desk.pass(1_000, false);
        assert_eq!(desk.starts(1).len(), 1_000, "{} refusals", desk.refusals);
        for index in 0..1_000 {
            desk.end(task(1, index), job::EndKind::Stopped);
            let saved = desk.over.last_mut().expect("an end");
            saved.1.checkpoint = "x".repeat(150);
        }
        desk.pass(3_000, false);
        assert_eq!(desk.refusals, 0);
        assert!(longest(&desk.table(job::PROGRESS)) <= MAX_ROW_BYTES);
        let progress = kept(&desk, 1);
        assert_eq!(progress.tasks.len(), 1_000);
        assert!(progress.tasks.values().all(|task| task.checkpoint.len() == 150));
    },
    large_jobs_that_change_at_once_take_several_commits => {
        let mut desk = desk::Desk::new(40, Vec::new());
        for job in 1..=3 {
            desk.submit(job, "first", job::Step { size: size::Size::default(), ..small(1_000) });
        }
        desk.pass(2_000, false);
        for (job, index) in (1..=3).flat_map(|job| (0..1_000).map(move |index| (job, index))) {
            desk.end(task(job, index), job::EndKind::Stopped);
            desk.over.last_mut().expect("an end").1.checkpoint = "x".repeat(160);
        }
        desk.pass(3_000, false);
        assert_eq!(desk.refusals, 0);
        for job in 1..=3 {
            let progress = kept(&desk, job);
            assert!(progress.tasks.values().all(|task| task.checkpoint.len() == 160));
        }
    },
    a_job_of_many_tasks_that_is_done_leaves_one_row => {
        let mut desk = desk::Desk::new(40, Vec::new());
        desk.submit(1, "first", small(250));
        desk.pass(1_000, false);
        assert_eq!(desk.table(job::PROGRESS).len(), 3);
        for index in 0..250 {
            desk.end(task(1, index), job::EndKind::Done);
        }
        desk.pass(3_000, false);
        let progress = kept(&desk, 1);
        assert_eq!(progress.phase, job::Phase::Completed);
        assert_eq!(desk.table(job::PROGRESS).len(), 1);
    },
    a_checkpoint_that_is_too_long_is_not_kept => {
        let mut desk = desk::Desk::new(1, Vec::new());
        desk.submit(1, "first", small(1));
        desk.pass(200, false);
        desk.end(task(1, 0), job::EndKind::Stopped);
        desk.over.last_mut().expect("an end").1.checkpoint = "x".repeat(70_000);
        desk.pass(2_000, false);
        assert_eq!(desk.refusals, 0);
        assert_eq!(desk.starts(1), [(0, 1), (0, 2)], "it starts anew");
    },
    advice_is_left_out_of_commits_after_a_refusal => {
        let mut desk = desk::Desk::new(1, Vec::new());
        desk.refuses = |txn| txn.writes.iter().any(|write| write.key.table == job::LEARNED);
        desk.submit(1, "first", desk::step("plain", 100));
        desk.pass(10_000, false);
        assert_eq!(desk.starts(1).len(), 1);
        assert_eq!(desk.refusals, 1, "it is not tried again at once");
        desk.submit(2, "first", desk::step("plain", 100));
        desk.pass(300, false);
        assert_eq!(desk.starts(2).len(), 1, "the domain goes on");
    },
    a_job_whose_progress_is_refused_is_set_aside_and_the_others_go_on => {
        let mut desk = desk::Desk::new(4, Vec::new());
        desk.refuses = |txn| txn.writes.iter().any(|w| w.key.name == job::JobId(7).to_string());
        for job in 1..20 {
            desk.submit(job, "first", desk::step("plain", 100));
        }
        desk.pass(2_000, false);
        for job in (1..20).filter(|job| *job != 7) {
            assert_eq!(desk.starts(job).len(), 1, "job {job}");
        }
        assert_eq!(desk.starts(7), [], "nothing starts that can't be recorded");
        let refusals = desk.refusals;
        assert!(refusals < 10, "{refusals}");
        desk.refuses = |_| false;
        desk.pass(12_000, false);
        assert_eq!(desk.starts(7).len(), 1, "it is tried again from time to time");
    },
    ends_are_acknowledged_worker_by_worker => {
        let mut desk = desk::Desk::new(2, Vec::new());
        desk.refuses = |txn| txn.writes.iter().any(|w| w.key.name == job::JobId(1).to_string());
        let spread = job::Step { max_per_worker: Some(1), ..desk::step("plain", 9_000) };
        desk.submit(2, "first", spread);
        desk.pass(300, false);
        desk.refuses = |_| false;
        desk.submit(1, "first", desk::step("plain", 9_000));
        desk.pass(300, false);
        let (own, other) = (desk.worker_of(task(1, 0)), desk.worker_of(task(2, 0)));
        assert_ne!(own, other);
        desk.refuses = |txn| txn.writes.iter().any(|w| w.key.name == job::JobId(1).to_string());
        desk.end(task(1, 0), job::EndKind::Done);
        desk.end(task(2, 0), job::EndKind::Done);
        desk.pass(3_000, false);
        assert_eq!(seen(&desk, &other), 1, "its end is recorded");
        assert_eq!(seen(&desk, &own), 0, "its end can't be recorded");
        desk.pass(10_000, false);
        assert_eq!(seen(&desk, &own), 0, "nor later");
    },
}

/// Returns the last end that any look at a worker has acknowledged.
fn seen(desk: &desk::Desk, worker: &id::Incarnation) -> u64 {
    let heartbeats = desk.seen.iter().filter(|(at, _)| at == worker);
    heartbeats.map(|(_, seen)| *seen).max().expect("a look")
}

/// The bound of this file is that of the stand-in's store.
#[test]
fn the_stand_in_refuses_what_is_longer() {
    let txn = |bytes: usize| rows::Txn {
        expects: Vec::new(),
        writes: vec![rows::Write { key: job::lease_key(0), value: Some("x".repeat(bytes)) }],
    };
    assert!(store::takes(&txn(MAX_ROW_BYTES / 4 * 3)));
    assert!(!store::takes(&txn(MAX_ROW_BYTES / 4 * 3 + 1)));
}
