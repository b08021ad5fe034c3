//! Halls that operators have closed: nothing starts there, running tasks keep running, and the
//! capacity is used again once the hall is open.

mod sim;

use std::time;

use wharflane::{job, rows};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::world;

/// The processors of a task of these tests, in thousandths of a core: a worker has room for two.
const TASK_MILLI: u64 = 8_000;
/// The halls of these tests; workers are assigned to them alternately.
const HALLS: [&str; 2] = ["north", "south"];

/// Returns a worker in the hall that its number assigns it to.
fn in_hall(at: usize) -> job::Member {
    job::Member { hall: HALLS[at % HALLS.len()].into(), ..sim::member(at) }
}

/// Returns a worker in the rack of its hall.
fn in_rack(at: usize) -> job::Member {
    let hall = in_hall(at);
    job::Member { rack: Some(hall.hall.to_string()), ..hall }
}

/// Returns a simulation with `workers` workers, assigned to the halls alternately.
fn sim_with_workers(workers: usize) -> sim::Sim {
    let mut sim = sim::Sim::new(0, Vec::new());
    sim.handle(job::Event::Listed((0..workers).map(in_hall).collect()));
    sim.advance(100, false);
    sim
}

/// Passes a reading of the closed halls to the engine; all other halls are open.
fn close(sim: &mut sim::Sim, halls: &[&str]) {
    sim.version += 1;
    let halls = halls.iter().map(|hall| (*hall).into()).collect();
    sim.handle(job::Event::Closed(job::ClosedHalls { version: sim.version, halls }));
}

/// Returns the id of the first task of a job.
fn task(job: u64) -> job::TaskId {
    job::TaskId { job: job::JobId(job), round: 0, step: 0, index: 0 }
}

/// Returns the hall of the worker of a task's newest start.
fn hall_of(sim: &sim::Sim, task: job::TaskId) -> &'static str {
    let worker = sim.newest_order(task).worker;
    let at = (0..8).find(|at| in_hall(*at).incarnation == worker).expect("a worker of these tests");
    HALLS[at % HALLS.len()]
}

/// Returns whether a transaction writes the progress of a job.
fn writes_progress(txn: &rows::Txn) -> bool {
    txn.writes.iter().any(|write| write.key.table == job::PROGRESS)
}

/// Returns a step of `count` plain tasks.
fn tasks(count: u32) -> job::Step {
    job::Step { count, ..sim::step("plain", TASK_MILLI) }
}

/// Returns a simulation whose engine has taken over the domain and has not yet read which halls are
/// closed.
fn taken_over(jobs: Vec<rows::Row>, progress: Vec<rows::Row>) -> sim::Sim {
    let mut sim = sim::Sim::new(0, Vec::new());
    sim.engine = job::Engine::new("host".into(), world::settings(), 2);
    sim.pending.clear();
    sim.handle(job::Event::Queues(sim::queues()));
    sim.handle(job::Event::Listed((0..2).map(in_hall).collect()));
    sim.handle(job::Event::LeaseRead { row: None, store_ms: None });
    sim.handle(job::Event::Loaded { jobs, progress, learned: Vec::new() });
    assert!(sim.engine.holding().is_some(), "the engine holds the domain without that reading");
    sim
}

cases! {
    nothing_starts_in_a_closed_hall => {
        let mut sim = sim_with_workers(2);
        close(&mut sim, &["north"]);
        sim.submit(1, "first", tasks(4));
        sim.advance(3_000, false);
        assert_eq!(sim.starts(1).len(), 2, "only the open hall has room");
        for index in 0..2 {
            assert_eq!(hall_of(&sim, job::TaskId { index, ..task(1) }), "south");
        }
    },
    a_committed_start_is_not_ordered_in_a_hall_closed_since => {
        let mut sim = sim_with_workers(1);
        sim.leaves_txn_open = writes_progress;
        sim.submit(1, "first", tasks(1));
        sim.advance(100, false);
        close(&mut sim, &["north"]);
        sim.store_answers();
        sim.advance(1_000, false);
        assert_eq!(sim.starts(1).len(), 0);
        close(&mut sim, &[]);
        sim.advance(200, false);
        assert_eq!(sim.starts(1).len(), 1, "the task starts once the hall is open");
    },
    an_unanswered_order_is_not_repeated_in_a_closed_hall => {
        let mut sim = sim_with_workers(1);
        sim.start_answers.push_back(job::StartAnswer::Silent);
        sim.submit(1, "first", tasks(1));
        sim.advance(100, false);
        assert_eq!(sim.not_taken.len(), 1, "one order without an answer");
        close(&mut sim, &["north"]);
        sim.advance(3_000, false);
        assert_eq!(sim.not_taken.len() + sim.starts(1).len(), 1);
    },
    a_task_with_an_unanswered_order_goes_to_another_hall => {
        let mut sim = sim_with_workers(1);
        sim.start_answers.push_back(job::StartAnswer::Silent);
        sim.submit(1, "first", tasks(1));
        sim.advance(100, false);
        sim.handle(job::Event::Member(in_hall(1).incarnation.worker, Some(in_hall(1))));
        close(&mut sim, &["north"]);
        sim.advance(1_000, false);
        assert_eq!(sim.starts(1).len(), 1);
        assert_eq!(hall_of(&sim, task(1)), "south");
    },
    a_gang_with_a_member_in_a_hall_closed_since_starts_in_another_hall_or_not_at_all => {
        let mut sim = sim_with_workers(2);
        sim.leaves_txn_open = writes_progress;
        let gang = job::Step { gang: true, ..sim::step("plain", 12_000) };
        sim.submit(1, "first", job::Step { count: 2, ..gang });
        sim.advance(100, false);
        close(&mut sim, &["north"]);
        sim.store_answers();
        sim.advance(1_000, false);
        assert_eq!(sim.starts(1).len(), 0, "half of a gang must not start");
        close(&mut sim, &[]);
        sim.advance(200, false);
        assert_eq!(sim.starts(1).len(), 2);
    },
    a_running_task_goes_on_and_its_end_is_recorded => {
        let mut sim = sim_with_workers(1);
        sim.submit(1, "first", tasks(1));
        sim.advance(100, false);
        close(&mut sim, &["north"]);
        sim.heartbeats_sent.clear();
        sim.advance(4_000, false);
        assert_eq!(sim.stops.len(), 0);
        assert!(sim.heartbeats_sent.len() > 10, "its lease is renewed: {:?}", sim.heartbeats_sent);
        sim.end_task(task(1), job::EndKind::Done);
        sim.advance(1_200, false);
        let key = (job::PROGRESS, job::JobId(1).to_string());
        let progress = job::Progress::decode(&sim.rows[&key]).expect("a row");
        assert_eq!(progress.phase, job::Phase::Completed);
    },
    a_hall_that_is_open_again_is_used_at_once => {
        let mut sim = sim_with_workers(2);
        close(&mut sim, &HALLS);
        sim.submit(1, "first", tasks(4));
        sim.advance(4_000, false);
        assert_eq!(sim.starts(1).len(), 0, "all halls are closed");
        close(&mut sim, &["north"]);
        sim.advance(200, false);
        assert_eq!(sim.starts(1).len(), 2);
        close(&mut sim, &[]);
        sim.advance(200, false);
        assert_eq!(sim.starts(1).len(), 4);
    },
    a_worker_that_joins_a_closed_hall_gets_nothing => {
        let mut sim = sim_with_workers(0);
        close(&mut sim, &["north"]);
        sim.submit(1, "first", tasks(1));
        sim.handle(job::Event::Member(in_hall(0).incarnation.worker, Some(in_hall(0))));
        sim.advance(1_000, false);
        assert_eq!(sim.starts(1).len(), 0);
    },
    an_older_reading_opens_no_hall => {
        let mut sim = sim_with_workers(1);
        let before = job::ClosedHalls { version: sim.version, ..job::ClosedHalls::default() };
        close(&mut sim, &["north"]);
        sim.handle(job::Event::Closed(before));
        sim.submit(1, "first", tasks(1));
        sim.advance(1_000, false);
        assert_eq!(sim.starts(1).len(), 0);
    },
    an_unknown_closed_hall_closes_no_other => {
        let mut sim = sim_with_workers(1);
        close(&mut sim, &["nowhere", ""]);
        sim.submit(1, "first", tasks(1));
        sim.advance(200, false);
        assert_eq!(sim.starts(1).len(), 1);
    },
    a_new_holder_starts_nothing_before_it_has_read_which_halls_are_closed => {
        let mut sim = taken_over(Vec::new(), Vec::new());
        sim.submit(1, "first", tasks(1));
        sim.advance(1_000, false);
        assert_eq!(sim.starts(1).len(), 0);
        close(&mut sim, &["north"]);
        sim.advance(200, false);
        assert_eq!(hall_of(&sim, task(1)), "south");
    },
    a_new_holder_that_cannot_read_closed_halls_starts_tasks_after_a_while => {
        let mut sim = taken_over(Vec::new(), Vec::new());
        sim.submit(1, "first", tasks(1));
        let wait = world::settings().closed_wait;
        sim.advance(u64::try_from(wait.as_millis()).expect("fits into u64") - 200, false);
        assert_eq!(sim.starts(1).len(), 0);
        sim.advance(600, false);
        assert_eq!(sim.starts(1).len(), 1, "the task starts without the reading");
    },
    a_start_that_the_previous_holder_recorded_but_did_not_order_goes_elsewhere => {
        let mut before = sim_with_workers(1);
        before.submit(1, "first", tasks(1));
        before.advance(100, false);
        assert_eq!(hall_of(&before, task(1)), "north");
        let job::Event::Jobs(jobs) = before.accepted(1, "first", tasks(1)) else {
            panic!("no rows");
        };
        let mut sim = taken_over(jobs, before.table(job::PROGRESS));
        close(&mut sim, &["north"]);
        sim.advance(400, false);
        assert_eq!(hall_of(&sim, task(1)), "south");
    },
    a_task_that_only_a_closed_hall_can_run_waits_and_others_start => {
        let mut sim = sim_with_workers(2);
        let labelled = job::Member { labels: vec!["rare".to_owned()], ..in_hall(0) };
        sim.handle(job::Event::Member(labelled.incarnation.worker.clone(), Some(labelled)));
        close(&mut sim, &["north"]);
        sim.submit(1, "first", job::Step { label: Some("rare".to_owned()), ..tasks(1) });
        sim.submit(2, "first", tasks(1));
        sim.advance(4_000, false);
        assert_eq!(sim.starts(1).len(), 0);
        assert_eq!(hall_of(&sim, task(2)), "south");
        close(&mut sim, &[]);
        sim.advance(200, false);
        assert_eq!(sim.starts(1).len(), 1);
    },
    a_task_with_its_data_in_a_closed_hall_goes_elsewhere => {
        let mut sim = sim_with_workers(0);
        sim.handle(job::Event::Listed((0..2).map(in_rack).collect()));
        sim.advance(100, false);
        close(&mut sim, &["north"]);
        sim.submit(1, "first", job::Step { rack: Some(HALLS[0].to_owned()), ..tasks(1) });
        sim.advance(400, false);
        assert_eq!(hall_of(&sim, task(1)), "south", "the task starts away from its data");
    },
    a_gang_of_one_rack_goes_to_a_rack_of_an_open_hall => {
        let mut sim = sim_with_workers(0);
        sim.handle(job::Event::Listed((0..4).map(in_rack).collect()));
        sim.advance(100, false);
        close(&mut sim, &["north"]);
        let gang = job::Step { gang: true, same_rack: true, ..sim::step("plain", 12_000) };
        sim.submit(1, "first", job::Step { count: 2, ..gang });
        sim.advance(400, false);
        for index in 0..2 {
            assert_eq!(hall_of(&sim, job::TaskId { index, ..task(1) }), "south");
        }
    },
    a_restarting_long_running_task_reserves_no_room_in_a_closed_hall => {
        let mut sim = sim_with_workers(2);
        sim.submit(1, "first", job::Step { lasting: true, ..tasks(1) });
        sim.advance(200, false);
        close(&mut sim, &HALLS);
        sim.end_task(task(1), job::EndKind::Failed);
        sim.advance(5_000, false);
        assert_eq!(sim.starts(1).len(), 1);
        close(&mut sim, &[]);
        sim.advance(200, false);
        assert_eq!(sim.starts(1).len(), 2);
    },
    a_hall_can_be_closed_and_opened_repeatedly => {
        let mut sim = sim_with_workers(1);
        let from = sim.now;
        for turn in 1..=3 {
            close(&mut sim, &["north"]);
            sim.submit(turn, "first", tasks(1));
            sim.advance(1_000, false);
            assert_eq!(sim.starts(turn).len(), 0);
            close(&mut sim, &[]);
            sim.advance(200, false);
            assert_eq!(sim.starts(turn).len(), 1);
            sim.end_task(task(turn), job::EndKind::Done);
            sim.advance(1_200, false);
        }
        assert!(sim.now - from < time::Duration::from_secs(10));
    },
}
