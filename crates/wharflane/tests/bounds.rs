//! Rows and commits stay within the limits of the store, and a commit that the store refuses
//! permanently stops nothing else.

mod sim;

use wharflane::{id, job, rows, size};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::rows as store;

/// The longest row value that the store accepts, in bytes of base64.
const MAX_ROW_BYTES: usize = 65_536;

/// Returns the id of a task of a job with one step.
fn task(job: u64, index: u32) -> job::TaskId {
    job::TaskId { job: job::JobId(job), round: 0, step: 0, index }
}

/// Returns a step of `count` small tasks.
fn small_step(count: u32) -> job::Step {
    job::Step { count, ..sim::step("plain", 10) }
}

/// Returns the length of the longest row value, in bytes of base64.
fn longest_row_bytes(rows: &[rows::Row]) -> usize {
    let lengths = rows.iter().filter_map(|row| row.value.as_ref()).map(|value| value.len());
    lengths.max().unwrap_or(0).div_ceil(3) * 4
}

/// Returns the progress of a job as its rows record it.
fn recorded_progress(sim: &sim::Sim, job: u64) -> job::Progress {
    let mut whole = job::Progress::default();
    let name = job::JobId(job).to_string();
    let rows = sim.table(job::PROGRESS);
    for row in rows.iter().filter(|row| row.name.starts_with(&name)) {
        let at = row.name.split_once('.').map_or(0, |(_, at)| at.parse().expect("a number"));
        let read = job::Progress::decode(row.value.as_ref().expect("a value"));
        whole.add_row(at, read.expect("a row"));
    }
    whole
}

/// Returns a simulation in which serving tasks run beside best-effort tasks, each of its own image,
/// with image names of about `name_bytes` bytes.
fn many_images(serving: u64, filling: u64, name_bytes: usize) -> sim::Sim {
    let mut sim = sim::Sim::new(2, Vec::new());
    let name = |kind: &str, at: u64| format!("{kind}{at:03}{}", "x".repeat(name_bytes));
    for at in 0..serving {
        let step = job::Step { image: Some(name("s", at)), ..sim::step("serving", 10) };
        sim.submit(sim::SERVING_JOBS.start + at, "first", step);
    }
    sim.advance(3_000, false);
    let size = size::Size { cpu_milli: 10, mem_mb: 1, accelerators: 0 };
    for at in 0..filling {
        let step = job::Step { image: Some(name("f", at)), size, ..sim::step("filling", 10) };
        sim.submit(5_000 + at, "last", step);
        sim.advance(60, false);
    }
    sim.advance(12_000, false);
    sim
}

/// Returns the size in bytes of a row of 100 tasks that all have the same state.
fn encoded_row_bytes(state: &job::Task) -> usize {
    let step = small_step(100);
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
    // A row is written at each start and end of one of its tasks. At 46 bytes a task, rows took as
    // much of a link of 2 Mbit/s as starts and heartbeats together.
    a_running_task_takes_few_bytes_of_its_row => {
        let worker: id::Incarnation = "i-0123456789".into();
        let running = job::Task { run: 1, worker: Some(worker), ..job::Task::default() };
        let bytes = encoded_row_bytes(&running);
        assert!(bytes < 2_800, "{bytes} bytes for 100 tasks");
    },
    completed_tasks_take_no_bytes_each => {
        let bytes = encoded_row_bytes(&job::Task { run: 1, done: true, ..job::Task::default() });
        assert!(bytes < 60, "{bytes} bytes for 100 tasks");
    },
    tasks_with_the_largest_state_fit_a_row => {
        let worker: id::Incarnation = "w".repeat(200).as_str().into();
        let state = job::Task {
            run: 1_000_000,
            failed_runs: [999_998, 999_999].into(),
            worker: Some(worker),
            checkpoint: "x".repeat(160),
            losses: job::Losses { suspected: 4, sole_suspect: 2, unexplained: 99, correlated: 99 },
            ..job::Task::default()
        };
        let bytes = encoded_row_bytes(&state);
        assert!(bytes <= MAX_ROW_BYTES, "{bytes} bytes for 100 tasks");
    },
    interference_learned_for_many_images_fits_its_rows => {
        let mut sim = many_images(40, 200, 300);
        assert_eq!(sim.refusals, 0);
        let rows = sim.table(job::LEARNED);
        assert!(rows.len() > 3, "{} rows", rows.len());
        assert!(longest_row_bytes(&rows) <= MAX_ROW_BYTES, "{} bytes", longest_row_bytes(&rows));
        assert!(sim.engine.holding().is_some());
        sim.submit(1, "first", sim::step("plain", 100));
        sim.advance(300, false);
        assert_eq!(sim.starts(1).len(), 1, "the engine still starts tasks");
    },
    progress_of_a_job_with_many_tasks_fits_its_rows_and_is_read_back => {
        let mut sim = sim::Sim::new(40, Vec::new());
        sim.submit(1, "first", small_step(1_000));
        sim.advance(1_000, false);
        assert_eq!(sim.starts(1).len(), 1_000, "{} refusals", sim.refusals);
        for index in 0..1_000 {
            sim.end_task(task(1, index), job::EndKind::Stopped);
            let saved = sim.ended_runs.last_mut().expect("an end");
            saved.1.checkpoint = "x".repeat(150);
        }
        sim.advance(3_000, false);
        assert_eq!(sim.refusals, 0);
        assert!(longest_row_bytes(&sim.table(job::PROGRESS)) <= MAX_ROW_BYTES);
        let progress = recorded_progress(&sim, 1);
        assert_eq!(progress.tasks.len(), 1_000);
        assert!(progress.tasks.values().all(|task| task.checkpoint.len() == 150));
    },
    large_jobs_that_change_at_once_take_several_commits => {
        let mut sim = sim::Sim::new(40, Vec::new());
        for job in 1..=3 {
            sim.submit(job, "first", job::Step { size: size::Size::default(), ..small_step(1_000) });
        }
        sim.advance(2_000, false);
        for (job, index) in (1..=3).flat_map(|job| (0..1_000).map(move |index| (job, index))) {
            sim.end_task(task(job, index), job::EndKind::Stopped);
            sim.ended_runs.last_mut().expect("an end").1.checkpoint = "x".repeat(160);
        }
        sim.advance(3_000, false);
        assert_eq!(sim.refusals, 0);
        for job in 1..=3 {
            let progress = recorded_progress(&sim, job);
            assert!(progress.tasks.values().all(|task| task.checkpoint.len() == 160));
        }
    },
    a_completed_job_of_many_tasks_leaves_one_row => {
        let mut sim = sim::Sim::new(40, Vec::new());
        sim.submit(1, "first", small_step(250));
        sim.advance(1_000, false);
        assert_eq!(sim.table(job::PROGRESS).len(), 3);
        for index in 0..250 {
            sim.end_task(task(1, index), job::EndKind::Done);
        }
        sim.advance(3_000, false);
        let progress = recorded_progress(&sim, 1);
        assert_eq!(progress.phase, job::Phase::Completed);
        assert_eq!(sim.table(job::PROGRESS).len(), 1);
    },
    a_checkpoint_that_is_too_long_is_dropped => {
        let mut sim = sim::Sim::new(1, Vec::new());
        sim.submit(1, "first", small_step(1));
        sim.advance(200, false);
        sim.end_task(task(1, 0), job::EndKind::Stopped);
        sim.ended_runs.last_mut().expect("an end").1.checkpoint = "x".repeat(70_000);
        sim.advance(2_000, false);
        assert_eq!(sim.refusals, 0);
        assert_eq!(sim.starts(1), [(0, 1), (0, 2)], "it starts without a checkpoint");
    },
    learned_rows_are_left_out_of_commits_after_a_refusal => {
        let mut sim = sim::Sim::new(1, Vec::new());
        sim.refuses_txn = |txn| txn.writes.iter().any(|write| write.key.table == job::LEARNED);
        sim.submit(1, "first", sim::step("plain", 100));
        sim.advance(10_000, false);
        assert_eq!(sim.starts(1).len(), 1);
        assert_eq!(sim.refusals, 1, "the refused commit is not retried at once");
        sim.submit(2, "first", sim::step("plain", 100));
        sim.advance(300, false);
        assert_eq!(sim.starts(2).len(), 1, "the engine still starts tasks");
    },
    a_job_whose_progress_is_refused_does_not_hold_up_the_others => {
        let mut sim = sim::Sim::new(4, Vec::new());
        sim.refuses_txn = |txn| txn.writes.iter().any(|w| w.key.name == job::JobId(7).to_string());
        for job in 1..20 {
            sim.submit(job, "first", sim::step("plain", 100));
        }
        sim.advance(2_000, false);
        for job in (1..20).filter(|job| *job != 7) {
            assert_eq!(sim.starts(job).len(), 1, "job {job}");
        }
        assert_eq!(sim.starts(7), [], "a task whose start can't be recorded is not started");
        let refusals = sim.refusals;
        assert!(refusals < 10, "{refusals}");
        sim.refuses_txn = |_| false;
        sim.advance(12_000, false);
        assert_eq!(sim.starts(7).len(), 1, "the refused commit is retried after a while");
    },
    ended_runs_are_acknowledged_separately_for_each_worker => {
        let mut sim = sim::Sim::new(2, Vec::new());
        sim.refuses_txn = |txn| txn.writes.iter().any(|w| w.key.name == job::JobId(1).to_string());
        let spread = job::Step { max_per_worker: Some(1), ..sim::step("plain", 9_000) };
        sim.submit(2, "first", spread);
        sim.advance(300, false);
        sim.refuses_txn = |_| false;
        sim.submit(1, "first", sim::step("plain", 9_000));
        sim.advance(300, false);
        let (own, other) = (sim.worker_of(task(1, 0)), sim.worker_of(task(2, 0)));
        assert_ne!(own, other);
        sim.refuses_txn = |txn| txn.writes.iter().any(|w| w.key.name == job::JobId(1).to_string());
        sim.end_task(task(1, 0), job::EndKind::Done);
        sim.end_task(task(2, 0), job::EndKind::Done);
        sim.advance(3_000, false);
        assert_eq!(acknowledged(&sim, &other), 1, "the end of its run is recorded");
        assert_eq!(acknowledged(&sim, &own), 0, "the end of its run can't be recorded");
        sim.advance(10_000, false);
        assert_eq!(acknowledged(&sim, &own), 0, "the end still can't be recorded");
    },
}

/// Returns the number of the last ended run that a heartbeat to a worker acknowledged.
fn acknowledged(sim: &sim::Sim, worker: &id::Incarnation) -> u64 {
    let heartbeats = sim.acknowledgements.iter().filter(|(at, _)| at == worker);
    heartbeats.map(|(_, seen)| *seen).max().expect("a heartbeat")
}

/// `MAX_ROW_BYTES` is the limit of the simulated store.
#[test]
fn the_simulated_store_refuses_longer_rows() {
    let txn = |bytes: usize| rows::Txn {
        expects: Vec::new(),
        writes: vec![rows::Write { key: job::lease_key(0), value: Some("x".repeat(bytes)) }],
    };
    assert!(store::is_within_limits(&txn(MAX_ROW_BYTES / 4 * 3)));
    assert!(!store::is_within_limits(&txn(MAX_ROW_BYTES / 4 * 3 + 1)));
}
