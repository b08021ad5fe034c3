//! A holder on a slow link sends no more than the link carries in time.
//!
//! Guards against this failure on hosts of 2 Mbit/s with 144 workers and more work than they can
//! order: each start and heartbeat took longer than its timeout and was sent again, and 96 % of the
//! due work was not done. The settings state the bandwidth of a link; 250,000 bytes a second are 2
//! Mbit/s.

mod sim;

use std::{collections, time};

use wharflane::{id, job};
use wharflane_stand_in::{cases, jobs::world};

/// The bytes per second of the slowest link that hosts have.
const SLOW_LINK: u64 = 250_000;
/// The job of these tests.
const JOB: u64 = 10;
/// The number of its tasks: more than a slow link starts within seconds.
const TASKS: u32 = 1_600;
/// The number of workers: each runs 16 tasks.
const WORKERS: usize = 100;

/// Returns a simulation of a host with a link of `link_bytes_per_s`, to which a job was submitted.
fn sim(link_bytes_per_s: Option<u64>) -> sim::Sim {
    let settings = job::Settings { link_bytes_per_s, ..world::settings() };
    let mut sim = sim::Sim::with_settings(settings, WORKERS, (Vec::new(), Vec::new()), Vec::new());
    sim.advance(1_000, false);
    sim.submit(JOB, "first", job::Step { count: TASKS, ..sim::step("plain", 1_000) });
    sim
}

/// Returns the shortest time between two heartbeats to the same worker after `from`.
fn shortest_gap(sim: &sim::Sim, from: time::Duration) -> time::Duration {
    let mut last = collections::BTreeMap::<id::Incarnation, time::Duration>::new();
    let mut gaps = Vec::new();
    for (at, worker) in sim.heartbeats_sent.iter().filter(|(at, _)| *at >= from) {
        gaps.extend(last.insert(worker.clone(), *at).map(|before| *at - before));
    }
    gaps.into_iter().min().expect("two heartbeats to one worker")
}

cases! {
    a_slow_link_starts_what_it_carries => {
        let mut sim = sim(Some(SLOW_LINK));
        sim.advance(200, false);
        let first = sim.starts(JOB).len();
        sim.advance(2_000, false);
        let later = sim.starts(JOB).len() - first;
        // At 700 bytes a start and 0.4 of the link: 143 starts a second, of which 86 may go at
        // once.
        assert!((60..=120).contains(&first), "{first} at once");
        assert!((200..=300).contains(&later), "{later} in 2 s");
    },
    everything_starts_eventually_on_a_slow_link => {
        let mut sim = sim(Some(SLOW_LINK));
        sim.advance(14_000, false);
        assert_eq!(sim.starts(JOB).len(), TASKS as usize);
    },
    // Starving tasks are started beyond other limits, but not beyond this one.
    starving_tasks_keep_to_what_a_slow_link_carries => {
        let mut sim = sim(Some(SLOW_LINK / 10));
        for job in JOB + 1..JOB + 200 {
            sim.submit(job, "last", sim::step("filling", 10));
        }
        sim.advance(4_000, false);
        // 14 starts a second, of which 8 may go at once.
        let started: usize = (JOB..JOB + 200).map(|job| sim.starts(job).len()).sum();
        assert!((40..=70).contains(&started), "{started} in 4 s");
    },
    a_fast_link_starts_everything_at_once => {
        for link in [None, Some(500 * SLOW_LINK)] {
            let mut sim = sim(link);
            sim.advance(400, false);
            assert_eq!(sim.starts(JOB).len(), TASKS as usize);
        }
    },
    a_slow_link_spreads_heartbeats => {
        let mut sim = sim(Some(SLOW_LINK));
        sim.advance(14_000, false);
        let from = sim.now;
        sim.advance(4_000, false);
        // 100 busy workers at 1,000 bytes a heartbeat and 0.4 of the link take one second, which is
        // also a quarter of a lease of 4 s.
        let gap = shortest_gap(&sim, from);
        assert!(gap >= time::Duration::from_millis(950), "{gap:?}");
        assert_eq!(sim.engine.holding().expect("a holder").dump().placed, TASKS as usize);
    },
    a_fast_link_sends_heartbeats_as_often_as_one_of_unknown_speed => {
        let gaps = [None, Some(500 * SLOW_LINK)].map(|link| {
            let mut sim = sim(link);
            sim.advance(3_000, false);
            let from = sim.now;
            sim.advance(2_000, false);
            shortest_gap(&sim, from)
        });
        assert_eq!(gaps[0], gaps[1]);
    },
    a_slow_link_commits_less_often => {
        let count = |link| {
            let mut sim = sim(link);
            let from = sim.now;
            sim.advance(4_000, false);
            sim.commit_times.iter().filter(|at| **at > from).count()
        };
        // Rows of 100 tasks take 2.7 KB, of which 0.2 of a tenth of the link carries two a second.
        // Rows of fewer tasks take less.
        let (slow, fast) = (count(Some(SLOW_LINK / 10)), count(Some(SLOW_LINK)));
        assert!((4..=25).contains(&slow), "{slow} commits");
        assert!(2 * fast > 3 * slow, "{slow} and {fast} commits");
    },
    silence_of_most_workers_at_once_is_waited_out => {
        let mut sim = sim::Sim::new(6, Vec::new());
        sim.submit(JOB, "first", job::Step { count: 12, max_per_worker: Some(2), ..sim::step("plain", 1_000) });
        sim.advance(500, false);
        assert_eq!(sim.starts(JOB).len(), 12);
        let workers: Vec<id::Incarnation> = (0..5).map(|at| sim::member(at).incarnation).collect();
        sim.silent_workers.extend(workers.iter().cloned());
        sim.advance(8_000, false);
        assert_eq!(sim.starts(JOB).len(), 12, "the holder itself may be cut off");
        for index in 0..12 {
            let task = job::TaskId { job: job::JobId(JOB), round: 0, step: 0, index };
            sim.end_task(task, job::EndKind::Done);
        }
        sim.silent_workers.clear();
        sim.advance(2_000, false);
        assert_eq!(sim.starts(JOB).len(), 12, "a completed task is started again");
    },
    most_workers_silent_for_longer_count_as_lost => {
        let mut sim = sim::Sim::new(6, Vec::new());
        sim.submit(JOB, "first", job::Step { count: 12, max_per_worker: Some(2), ..sim::step("plain", 1_000) });
        sim.advance(500, false);
        sim.silent_workers.extend((0..5).map(|at| sim::member(at).incarnation));
        sim.advance(12_000, false);
        let dump = sim.engine.holding().expect("a holder").dump();
        assert_eq!((dump.ready, dump.placed), (10, 2));
    },
    few_silent_workers_count_as_lost_in_time => {
        let mut sim = sim::Sim::new(6, Vec::new());
        sim.submit(JOB, "first", job::Step { count: 6, max_per_worker: Some(1), ..sim::step("plain", 1_000) });
        sim.advance(7_000, false);
        sim.silent_workers.insert(sim::member(0).incarnation);
        sim.advance(4_500, false);
        assert_eq!(sim.starts(JOB).len(), 6);
        let dump = sim.engine.holding().expect("a holder").dump();
        assert_eq!((dump.ready, dump.placed), (1, 5), "freed after a lease of 4 s");
    },
}
