//! A holder on a thin link sends no more than the link carries in time.
//!
//! The pattern: hosts of 2 Mbit/s, 144 workers, more work than they can order. Each start and look took longer than its
//! limit, was sent again, and 96 % of the work owed was not done. What a link carries is by settings; 250,000 bytes a
//! second are 2 Mbit/s.

mod desk;

use std::{collections, time};

use wharflane::{id, job};
use wharflane_stand_in::{cases, jobs::world};

/// The bytes in a second of the thinnest link that hosts have.
const THIN: u64 = 250_000;
/// The job of these tests.
const JOB: u64 = 10;
/// Its tasks: more than a thin link starts in seconds.
const TASKS: u32 = 1_600;
/// The workers: 16 tasks on each.
const WORKERS: usize = 100;

/// Returns a desk on a host with such a link, and a job handed in.
fn desk(link_bytes_per_s: Option<u64>) -> desk::Desk {
    let settings = job::Settings { link_bytes_per_s, ..world::settings() };
    let mut desk = desk::Desk::with(settings, WORKERS, (Vec::new(), Vec::new()), Vec::new());
    desk.pass(1_000, false);
    desk.submit(JOB, "first", job::Step { count: TASKS, ..desk::step("plain", 1_000) });
    desk
}

/// Returns the shortest time between two looks at one worker from a moment on.
fn shortest_gap(desk: &desk::Desk, from: time::Duration) -> time::Duration {
    let mut last = collections::BTreeMap::<id::Incarnation, time::Duration>::new();
    let mut gaps = Vec::new();
    for (at, worker) in desk.heartbeats_sent.iter().filter(|(at, _)| *at >= from) {
        gaps.extend(last.insert(worker.clone(), *at).map(|before| *at - before));
    }
    gaps.into_iter().min().expect("two looks at one worker")
}

cases! {
    a_thin_link_starts_what_it_carries => {
        let mut desk = desk(Some(THIN));
        desk.pass(200, false);
        let first = desk.starts(JOB).len();
        desk.pass(2_000, false);
        let later = desk.starts(JOB).len() - first;
        // At 700 bytes a start and 0.4 of the link: 143 a second, and 86 at once.
        assert!((60..=120).contains(&first), "{first} at once");
        assert!((200..=300).contains(&later), "{later} in 2 s");
    },
    everything_starts_in_the_end => {
        let mut desk = desk(Some(THIN));
        desk.pass(14_000, false);
        assert_eq!(desk.starts(JOB).len(), TASKS as usize);
    },
    a_wide_link_starts_everything_at_once => {
        for link in [None, Some(500 * THIN)] {
            let mut desk = desk(link);
            desk.pass(400, false);
            assert_eq!(desk.starts(JOB).len(), TASKS as usize);
        }
    },
    a_thin_link_spreads_looks => {
        let mut desk = desk(Some(THIN));
        desk.pass(14_000, false);
        let from = desk.now;
        desk.pass(4_000, false);
        // 100 busy workers at 1,000 bytes a look and 0.4 of the link: one second; a quarter of a lease of 4 s as well.
        let gap = shortest_gap(&desk, from);
        assert!(gap >= time::Duration::from_millis(950), "{gap:?}");
        assert_eq!(desk.engine.holding().expect("a holder").dump().placed, TASKS as usize);
    },
    a_wide_link_looks_as_often_as_one_that_is_not_known => {
        let gaps = [None, Some(500 * THIN)].map(|link| {
            let mut desk = desk(link);
            desk.pass(3_000, false);
            let from = desk.now;
            desk.pass(2_000, false);
            shortest_gap(&desk, from)
        });
        assert_eq!(gaps[0], gaps[1]);
    },
    a_thin_link_commits_larger_parts => {
        let count = |link| {
            let mut desk = desk(link);
            let from = desk.now;
            desk.pass(4_000, false);
            desk.commits.iter().filter(|at| **at > from).count()
        };
        // Rows of 100 tasks take 2.7 KB, of which 0.2 of a tenth of the link carries two a second, fewer tasks less.
        let (thin, wide) = (count(Some(THIN / 10)), count(Some(THIN)));
        assert!((4..=25).contains(&thin), "{thin} commits");
        assert!(2 * wide > 3 * thin, "{thin} and {wide} commits");
    },
    most_workers_silent_at_once_are_waited_for => {
        let mut desk = desk::Desk::new(6, Vec::new());
        desk.submit(JOB, "first", job::Step { count: 12, max_per_worker: Some(2), ..desk::step("plain", 1_000) });
        desk.pass(500, false);
        assert_eq!(desk.starts(JOB).len(), 12);
        let workers: Vec<id::Incarnation> = (0..5).map(|at| desk::member(at).incarnation).collect();
        desk.silent.extend(workers.iter().cloned());
        desk.pass(8_000, false);
        assert_eq!(desk.starts(JOB).len(), 12, "the silence may be the holder's");
        for index in 0..12 {
            let task = job::TaskId { job: job::JobId(JOB), round: 0, step: 0, index };
            desk.end(task, job::EndKind::Done);
        }
        desk.silent.clear();
        desk.pass(2_000, false);
        assert_eq!(desk.starts(JOB).len(), 12, "none is started again that was done");
    },
    most_workers_silent_for_longer_are_given_up => {
        let mut desk = desk::Desk::new(6, Vec::new());
        desk.submit(JOB, "first", job::Step { count: 12, max_per_worker: Some(2), ..desk::step("plain", 1_000) });
        desk.pass(500, false);
        desk.silent.extend((0..5).map(|at| desk::member(at).incarnation));
        desk.pass(12_000, false);
        let dump = desk.engine.holding().expect("a holder").dump();
        assert_eq!((dump.ready, dump.placed), (10, 2));
    },
    few_silent_workers_are_given_up_in_time => {
        let mut desk = desk::Desk::new(6, Vec::new());
        desk.submit(JOB, "first", job::Step { count: 6, max_per_worker: Some(1), ..desk::step("plain", 1_000) });
        desk.pass(7_000, false);
        desk.silent.insert(desk::member(0).incarnation);
        desk.pass(4_500, false);
        assert_eq!(desk.starts(JOB).len(), 6);
        let dump = desk.engine.holding().expect("a holder").dump();
        assert_eq!((dump.ready, dump.placed), (1, 5), "freed after a lease of 4 s");
    },
}
