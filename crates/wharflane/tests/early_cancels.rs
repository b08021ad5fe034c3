//! Cancels that come before their jobs are stored, and submissions that arrive after them.
//!
//! Guards against jobs that run although their caller was told that there is no such job: the write
//! of a submission may take effect after a cancel that found no row.

mod sim;

use std::time;

use wharflane::job::{early_cancel, submission};
use wharflane::{job, rows};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::{rows as store, world};

/// The job of these tests.
const JOB: u64 = 11;
/// Its id.
const ID: job::JobId = job::JobId(JOB);

/// Returns a job as a host accepts it.
fn accepted() -> job::Accepted {
    let job = job::Job {
        queue: "first".to_owned(),
        service: "service".into(),
        spec: String::new(),
        steps: vec![sim::step("plain", 1_000)],
        repeats: None,
    };
    job::Accepted { job, cancelled: false, accepted_ms: 0, policy: None }
}

/// Returns the submission of the job.
fn submitted() -> early_cancel::Submitted {
    early_cancel::Submitted::new(0, ID, accepted()).expect("a row")
}

/// Records the cancel of the job; returns whether the store did so.
fn record(store: &mut store::Rows) -> bool {
    let txn = early_cancel::record(0, ID, Some(0)).expect("a record");
    matches!(store.transact(&txn), rows::Answer::Done { .. })
}

/// Sends the submission until it has no conflict with a cancel; returns how it ended.
fn send(
    store: &mut store::Rows,
    submitted: &mut early_cancel::Submitted,
) -> early_cancel::Conflict {
    loop {
        let rows::Answer::Conflict { rows } = store.transact(&submitted.txn()) else {
            return early_cancel::Conflict::Stored;
        };
        match submitted.take_in_conflict(&rows).expect("a row") {
            early_cancel::Conflict::Cancelled => {}
            end => return end,
        }
    }
}

/// Returns whether the stored job is cancelled; `None` if it is not stored.
fn is_cancelled(store: &store::Rows) -> Option<bool> {
    let row = store.get(&job::job_key(0, ID))?;
    let accepted: job::Accepted = serde_json::from_str(&row.value?).expect("a job");
    Some(accepted.cancelled)
}

/// Returns the row of an early cancel of the job, recorded at a time of the store's clock.
fn cancel_row(recorded_ms: Option<u64>) -> rows::Row {
    let mut store = store::Rows::default();
    store.transact(&early_cancel::record(0, ID, recorded_ms).expect("a record"));
    store.get(&early_cancel::key(0, ID)).expect("a row")
}

/// Returns the row of the job as a host of the version before stores it, after any early cancel.
fn job_row(sim: &mut sim::Sim) -> rows::Row {
    let job::Event::Jobs(rows) = sim.accepted(JOB, "first", sim::step("plain", 1_000)) else {
        panic!("no rows");
    };
    rows.into_iter().next().expect("a row")
}

/// Returns a holder that has loaded rows at a time of the store's clock.
fn holder(rows: Vec<rows::Row>, store_ms: u64) -> sim::Sim {
    let mut sim = sim::Sim::watching(world::settings());
    sim.handle(job::Event::Queues(sim::queues()));
    sim.handle(job::Event::Listed((0..2).map(sim::member).collect()));
    sim.handle(job::Event::LeaseRead { row: None, store_ms: Some(store_ms) });
    sim.handle(job::Event::Closed(job::ClosedHalls::default()));
    sim.handle(job::Event::Loaded { jobs: rows, progress: Vec::new(), learned: Vec::new() });
    sim
}

/// Lets time pass at once; returns the number of early cancels that are to be removed then.
fn removals_after(sim: &mut sim::Sim, time: time::Duration) -> usize {
    sim.now += time;
    sim.pending.clear();
    sim.handle(job::Event::Tick { wall_ms: 0 });
    let removed = |effect: &&job::Effect| matches!(effect, job::Effect::RemoveEarlyCancel { job, .. } if *job == ID);
    sim.pending.iter().filter(removed).count()
}

/// Returns the phase of the job that the holder has stored, if any.
fn phase(sim: &sim::Sim) -> Option<job::Phase> {
    let text = sim.rows.get(&(job::PROGRESS, ID.to_string()))?;
    Some(job::Progress::decode(text).expect("progress").phase)
}

/// A second, as a margin around the time for which records are kept.
const SECOND: time::Duration = time::Duration::from_secs(1);

cases! {
    // The write of a submission took effect after a cancel that had found no row.
    a_write_sent_before_the_cancel_takes_no_effect_after_it => {
        let mut store = store::Rows::default();
        let late = submitted().txn();
        assert!(record(&mut store));
        assert!(matches!(store.transact(&late), rows::Answer::Conflict { .. }));
        assert_eq!(is_cancelled(&store), None);
    },
    // A job was accepted and run although its cancel had been answered before.
    a_job_submitted_after_its_cancel_is_stored_as_cancelled => {
        let mut store = store::Rows::default();
        assert!(record(&mut store));
        assert_eq!(send(&mut store, &mut submitted()), early_cancel::Conflict::Stored);
        assert_eq!(is_cancelled(&store), Some(true));
        assert!(store.get(&early_cancel::key(0, ID)).is_none(), "the record is of no more use");
    },
    // A write from before the cancel must not take effect either once the record is replaced.
    an_old_write_takes_no_effect_beside_the_cancelled_job => {
        let mut store = store::Rows::default();
        let late = submitted().txn();
        assert!(record(&mut store));
        send(&mut store, &mut submitted());
        assert!(matches!(store.transact(&late), rows::Answer::Conflict { .. }));
        assert_eq!(is_cancelled(&store), Some(true));
    },
    a_stored_job_is_not_recorded_as_cancelled => {
        let mut store = store::Rows::default();
        send(&mut store, &mut submitted());
        assert!(!record(&mut store));
        assert_eq!(is_cancelled(&store), Some(false));
    },
    a_repeated_cancel_finds_the_record => {
        let mut store = store::Rows::default();
        assert!(record(&mut store));
        assert!(!record(&mut store), "recorded twice");
        let key = job::job_key(0, ID);
        let mut read = store.all(key.table, &key.part);
        let (first, end) = early_cancel::key_range(ID);
        read.retain(|row| (&first..&end).contains(&&row.name));
        assert!(matches!(early_cancel::find(&read, ID), early_cancel::Found::EarlyCancel(_)));
    },
    // A store may list rows of a condition that are absent; they are no proof of anything.
    absent_rows_of_a_conflict_prove_nothing => {
        let absent = |name: String| rows::Row {
            name, part: String::new(), version: 0, value: None, gone: false,
        };
        let rows = [absent(ID.to_string()), absent(early_cancel::key(0, ID).name)];
        assert_eq!(early_cancel::find(&rows, ID), early_cancel::Found::Nothing);
        let end = submitted().take_in_conflict(&rows).expect("a row");
        assert_eq!(end, early_cancel::Conflict::Unclear);
    },
    // Nothing of the submission may be in doubt once the cancel is known, so that the next write is
    // sent at once.
    a_submission_that_meets_a_cancel_is_written_again_at_once => {
        let millis = time::Duration::from_millis;
        let mut submission = submission::Submission::new(millis(0), millis(3_000), millis(800));
        let view = submission::View {
            silence: millis(0),
            answer_time: millis(10),
            latest_answered_sent_at: None,
            failure: job::retry_after::Cause::StoreSilent,
            closes_at: None,
        };
        submission.write_sent(millis(0));
        submission.write_ended(submission::WriteEnd::NoAnswer, millis(800));
        submission.write_sent(millis(900));
        submission.write_ended(submission::WriteEnd::Cancelled, millis(910));
        assert_eq!(submission.next(&view, millis(910)), submission::Step::Write);
    },
    // A host of the version before stores a job without regard to the record.
    a_job_stored_in_spite_of_its_cancel_is_not_run => {
        let mut sim = holder(vec![cancel_row(Some(0))], 0);
        let row = job_row(&mut sim);
        sim.handle(job::Event::Jobs(vec![row]));
        sim.advance(2_000, false);
        assert_eq!(sim.starts(JOB).len(), 0);
        assert_eq!(phase(&sim), Some(job::Phase::Cancelled));
    },
    a_job_stored_in_spite_of_its_cancel_is_not_run_by_the_next_holder => {
        let row = job_row(&mut sim::Sim::new(2, Vec::new()));
        let mut sim = holder(vec![row, cancel_row(Some(0))], 0);
        sim.advance(2_000, false);
        assert_eq!(sim.starts(JOB).len(), 0);
        assert_eq!(phase(&sim), Some(job::Phase::Cancelled));
    },
    a_cancel_that_the_feed_tells_holds_too => {
        let mut sim = holder(Vec::new(), 0);
        sim.handle(job::Event::Jobs(vec![cancel_row(Some(0))]));
        let row = job_row(&mut sim);
        sim.handle(job::Event::Jobs(vec![row]));
        sim.advance(2_000, false);
        assert_eq!(sim.starts(JOB).len(), 0);
    },
    // A record of a newer form is no reason to run its job.
    a_cancel_that_can_not_be_read_holds_too => {
        let unreadable = rows::Row { value: Some("newer".to_owned()), ..cancel_row(None) };
        let mut sim = holder(vec![unreadable], 0);
        let row = job_row(&mut sim);
        sim.handle(job::Event::Jobs(vec![row]));
        sim.advance(2_000, false);
        assert_eq!(sim.starts(JOB).len(), 0);
    },
    // Records stay longer than a write can be late, and not for ever.
    a_record_is_removed_after_its_time => {
        let mut sim = holder(vec![cancel_row(Some(0))], 0);
        let keep = world::settings().keep;
        assert_eq!(removals_after(&mut sim, keep - SECOND), 0);
        assert_eq!(removals_after(&mut sim, 2 * SECOND), 1);
    },
    // Records never went where holders changed more often than records are kept.
    a_record_ages_while_holders_change => {
        let keep = world::settings().keep;
        let age_ms = u64::try_from((keep - SECOND).as_millis()).expect("an age");
        let mut sim = holder(vec![cancel_row(Some(0))], age_ms);
        assert_eq!(removals_after(&mut sim, time::Duration::ZERO), 0);
        assert_eq!(removals_after(&mut sim, 2 * SECOND), 1);
    },
    a_record_of_unknown_age_is_kept_from_when_it_is_read => {
        let keep = world::settings().keep;
        let mut sim = holder(vec![cancel_row(None)], 10 * 60_000);
        assert_eq!(removals_after(&mut sim, keep - SECOND), 0);
        assert_eq!(removals_after(&mut sim, 2 * SECOND), 1);
    },
    a_removal_that_failed_is_repeated => {
        let keep = world::settings().keep;
        let mut sim = holder(vec![cancel_row(Some(0))], 0);
        assert_eq!(removals_after(&mut sim, keep + SECOND), 1);
        assert_eq!(removals_after(&mut sim, SECOND), 0);
        assert_eq!(removals_after(&mut sim, keep), 1);
        sim.handle(job::Event::EarlyCancelRemoved { job: ID, version: cancel_row(None).version });
        assert_eq!(removals_after(&mut sim, keep), 0);
    },
    // A late word of the removal of an earlier record must not remove a newer one.
    a_newer_record_outlives_the_removal_of_an_earlier_one => {
        let mut sim = holder(vec![cancel_row(Some(0))], 0);
        let newer = rows::Row { version: 9, ..cancel_row(Some(0)) };
        sim.handle(job::Event::Jobs(vec![newer]));
        sim.handle(job::Event::EarlyCancelRemoved { job: ID, version: 1 });
        let row = job_row(&mut sim);
        sim.handle(job::Event::Jobs(vec![row]));
        sim.advance(2_000, false);
        assert_eq!(sim.starts(JOB).len(), 0);
    },
    a_job_runs_whose_record_was_removed => {
        let mut sim = holder(vec![cancel_row(Some(0))], 0);
        let version = cancel_row(None).version + 1;
        let gone = rows::Row { value: None, gone: true, version, ..cancel_row(None) };
        sim.handle(job::Event::Jobs(vec![gone]));
        let row = job_row(&mut sim);
        sim.handle(job::Event::Jobs(vec![row]));
        sim.advance(2_000, false);
        assert_eq!(sim.starts(JOB).len(), 1);
    },
    // Anyone may cancel jobs that never were; each costs a write and a row.
    a_host_records_cancels_at_a_limited_rate => {
        let mut limit = early_cancel::Limit::new(time::Duration::ZERO);
        let taken = |limit: &mut early_cancel::Limit, now| (0..1_000).filter(|_| limit.try_take(now)).count();
        assert_eq!(taken(&mut limit, time::Duration::ZERO), 100);
        assert_eq!(taken(&mut limit, 10 * SECOND), 50);
        assert_eq!(taken(&mut limit, 10 * SECOND), 0);
        assert_eq!(taken(&mut limit, 1_000 * SECOND), 100);
    },
}
