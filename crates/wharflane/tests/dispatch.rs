//! Guards against too little being served of the first priority while a holder has more to do than
//! it can: what is urgent goes first, nothing waits for good, and no more is taken on than can be
//! done soon.

mod sim;

use std::time;

use wharflane::job;
use wharflane_stand_in::cases;

/// A job of the first priority, and one of a lower priority.
const JOBS: [(u64, &str); 2] = [(10, "first"), (20, "last")];

/// Returns a duration in milliseconds.
fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// Returns an outbox with starts that are numbered from zero, each urgent as given.
fn outbox(urgent: &[bool], now: time::Duration) -> job::Outbox<(usize, job::Effect)> {
    let mut outbox = job::Outbox::default();
    for (number, urgent) in urgent.iter().enumerate() {
        outbox.push((number, job::Effect::Start(start(*urgent))), |(_, effect)| effect, now);
    }
    outbox
}

/// Returns an order to start.
fn start(urgent: bool) -> job::Start {
    let task = job::TaskId { job: job::JobId(1), round: 0, step: 0, index: 0 };
    let addr = ([127, 0, 0, 1], 1).into();
    let order = job::Order { worker: "worker".into(), addr, task, run: 1, epoch: 1 };
    let (spec, checkpoint, ticket) = (String::new(), String::new(), String::new());
    job::Start { order, spec, lease_until_ms: 1, checkpoint, ticket, urgent }
}

/// Returns the numbers of all starts in the order in which they are sent.
fn order_of(mut outbox: job::Outbox<(usize, job::Effect)>) -> Vec<usize> {
    std::iter::from_fn(|| outbox.pop(millis(0))).map(|(number, _)| number).collect()
}

/// Returns how many starts may wait at a host that sends one each `gap` for a while, each of which
/// was decided on `age` before another one is sent.
fn limit(gap: time::Duration, age: time::Duration) -> usize {
    let mut now = millis(10_000);
    let mut outbox = outbox(&[false; 40], now - age);
    for _ in 0..400 {
        outbox.pop(now);
        let effect = job::Effect::Start(start(false));
        outbox.push((0, effect), |(_, effect)| effect, now - age);
        now += gap;
    }
    outbox.starts().limit
}

/// Returns an event that arrived at a time.
fn arrival(event: job::Event, urgent: bool, at: time::Duration) -> job::Arrival {
    job::Arrival { event, at, urgent, call: millis(0) }
}

/// Returns the answer to a heartbeat to a worker.
fn heartbeat_answer(worker: &str) -> job::Event {
    let answer = job::HeartbeatAnswer::Silent;
    job::Event::HeartbeatAnswered { worker: worker.into(), epoch: 1, answer }
}

/// Returns a simulation with 20 workers in which each of `JOBS` has `count` tasks.
fn sim(pace: job::Pace, count: u32) -> sim::Sim {
    let mut sim = sim::Sim::new(20, Vec::new());
    sim.advance(1_000, false);
    sim.engine.set_pace(pace);
    for (job, queue) in JOBS {
        sim.submit(job, queue, job::Step { count, ..sim::step("plain", 1_000) });
    }
    sim
}

/// Returns how many tasks of each of `JOBS` have been started.
fn started(sim: &sim::Sim) -> [usize; 2] {
    JOBS.map(|(job, _)| sim.starts(job).len())
}

/// The pace of a holder whose oldest answer has waited for a time.
fn behind(behind: time::Duration) -> job::Pace {
    job::Pace { behind, ..job::Pace::default() }
}

/// Returns the longest time between two heartbeats of the last two seconds to the worker of the
/// first task of a job.
fn longest_gap(pace: job::Pace, (job, queue): (u64, &str)) -> time::Duration {
    let mut sim = sim::Sim::new(1, Vec::new());
    sim.advance(1_000, false);
    sim.submit(job, queue, sim::step("plain", 1_000));
    sim.advance(1_000, false);
    let task = job::TaskId { job: job::JobId(job), round: 0, step: 0, index: 0 };
    let worker = sim.worker_of(task);
    sim.engine.set_pace(pace);
    let from = sim.now + millis(1_000);
    sim.advance(4_000, false);
    let sent = sim.heartbeats_sent.iter();
    let times: Vec<_> =
        sent.filter(|(at, to)| *at >= from && *to == worker).map(|(at, _)| *at).collect();
    times.windows(2).map(|pair| pair[1] - pair[0]).max().expect("two heartbeats")
}

cases! {
    every_second_call_is_an_urgent_one_while_some_wait => {
        let outbox = outbox(&[false, false, false, true, true], millis(0));
        assert_eq!(order_of(outbox), [3, 0, 4, 1, 2]);
    },
    a_stop_and_a_heartbeat_for_urgent_tasks_are_urgent => {
        let order = start(false).order;
        let heartbeat = |urgent| job::Effect::SendHeartbeat(job::Heartbeat {
            worker: order.worker.clone(), addr: order.addr, epoch: 1, acknowledged_end: 0,
            lease_until_ms: None, wait: millis(0), urgent,
        });
        assert!(job::Effect::Stop(order.clone()).is_urgent());
        assert!(heartbeat(true).is_urgent() && !heartbeat(false).is_urgent());
    },
    as_many_starts_may_wait_as_are_sent_soon => {
        // A host that sends one each millisecond sends 75 in 75 ms; more were assumed at first.
        let limit = limit(millis(1), millis(0));
        assert!((75..=135).contains(&limit), "{limit}");
    },
    a_few_starts_may_always_wait => assert_eq!(limit(millis(4), millis(0)), 32),
    the_limit_rises_while_it_keeps_starts_back_that_could_be_sent => {
        let limits = [false, true].map(|keeps_back| {
            let mut outbox = outbox(&[], millis(0));
            for at in 0..20 {
                let count = if keeps_back { outbox.starts().limit } else { 20 };
                for _ in 0..count {
                    let effect = job::Effect::Start(start(false));
                    outbox.push((0, effect), |(_, effect)| effect, millis(at * 50));
                }
                while outbox.pop(millis(at * 50)).is_some() {}
            }
            outbox.starts().limit
        });
        assert!(limits[0] == 300 && limits[1] >= 1_500, "{limits:?}");
    },
    starts_that_are_too_old_to_be_sent_do_not_raise_the_limit => {
        let limit = limit(millis(1), job::MAX_SEND_AGE + millis(1));
        assert!(limit <= 40, "{limit}");
    },
    answers_of_the_store_go_before_answers_of_workers => {
        let mut inbox = job::Inbox::default();
        for (worker, urgent) in [("a", false), ("b", false), ("c", true)] {
            inbox.push(arrival(heartbeat_answer(worker), urgent, millis(0)));
        }
        inbox.push(arrival(job::Event::Leave, false, millis(0)));
        let order = std::iter::from_fn(|| inbox.pop()).map(|arrival| match arrival.event {
            job::Event::HeartbeatAnswered { worker, .. } => worker.to_string(),
            _ => "store".to_owned(),
        });
        assert_eq!(order.collect::<Vec<_>>(), ["store", "c", "a", "b"]);
    },
    a_holder_is_behind_by_its_oldest_answer_that_is_not_urgent => {
        let mut inbox = job::Inbox::default();
        inbox.push(arrival(heartbeat_answer("urgent"), true, millis(100)));
        assert_eq!(inbox.behind(millis(500)), millis(0));
        inbox.push(arrival(heartbeat_answer("a"), false, millis(200)));
        inbox.push(arrival(heartbeat_answer("b"), false, millis(300)));
        assert_eq!(inbox.behind(millis(500)), millis(300));
    },
    a_holder_that_is_behind_starts_only_the_first_priority => {
        let mut sim = sim(behind(millis(200)), 8);
        sim.advance(1_000, false);
        assert_eq!(started(&sim), [8, 0]);
        sim.engine.set_pace(behind(millis(0)));
        sim.advance(1_000, false);
        assert_eq!(started(&sim), [8, 8], "it catches up");
    },
    starts_that_wait_hold_back_others_but_not_the_first_priority => {
        let unsent = job::Unsent { urgent: 0, usual: 40 };
        let starts = Some(job::Starts { unsent, limit: 40 });
        let mut sim = sim(job::Pace { starts, ..job::Pace::default() }, 8);
        sim.advance(1_000, false);
        assert_eq!(started(&sim), [8, 0]);
    },
    // Guards against this failure: jobs accepted 87 s before ran nothing while most of the workers'
    // room was free, since each pass ended with the groups before theirs, which took all that the
    // host could send, and came to no starving task.
    a_job_runs_within_the_bound_though_no_pass_comes_to_it => {
        let mut sim = sim::Sim::new(20, Vec::new());
        sim.advance(1_000, false);
        let starts = Some(job::Starts { unsent: job::Unsent::default(), limit: 4 });
        sim.engine.set_pace(job::Pace { starts, ..job::Pace::default() });
        sim.submit(10, "first", job::Step { count: 4_000, ..sim::step("plain", 10) });
        sim.submit(20, "last", sim::step("filling", 10));
        sim.advance(3_000, false);
        let [wide, single] = started(&sim);
        assert!(wide < 4_000, "the host could start all tasks");
        assert_eq!(single, 1);
    },
    passes_leave_most_of_the_time_for_everything_else => {
        let mut sim = sim(job::Pace { last_pass: millis(100), ..job::Pace::default() }, 400);
        let passes = |sim: &sim::Sim| sim.engine.holding().expect("a holder").passes();
        let before = passes(&sim);
        sim.advance(6_000, false);
        assert!((8..=11).contains(&(passes(&sim) - before)), "{}", passes(&sim) - before);
    },
    an_overloaded_holder_asks_workers_less_often => {
        let usual = longest_gap(behind(millis(0)), JOBS[1]);
        let overloaded = longest_gap(behind(millis(200)), JOBS[1]);
        assert!(overloaded >= usual + millis(400), "{usual:?} {overloaded:?}");
    },
    an_overloaded_holder_asks_workers_with_urgent_tasks_as_often_as_usual => {
        let [usual, overloaded] =
            [millis(0), millis(200)].map(|waited| longest_gap(behind(waited), JOBS[0]));
        assert_eq!(usual, overloaded);
    },
    a_heartbeat_that_was_not_sent_shows_nothing_of_its_worker => {
        let started = [job::HeartbeatAnswer::Silent, job::HeartbeatAnswer::NotSent].map(|answer| {
            let mut sim = sim::Sim::new(1, Vec::new());
            sim.advance(1_000, false);
            let worker = sim::member(0).incarnation;
            sim.answer_heartbeat(&worker, answer);
            sim.submit(10, "first", sim::step("plain", 1_000));
            let wall_ms = u64::try_from(sim.now.as_millis()).expect("fits into u64");
            sim.handle(job::Event::Tick { wall_ms });
            sim.store_answers();
            sim.engine.holding().expect("a holder").dump().placed
        });
        assert_eq!(started, [0, 1]);
    },
}
