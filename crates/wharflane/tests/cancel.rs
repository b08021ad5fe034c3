//! A cancelled job is over: its tasks end in time, whoever started them, wherever they run, however late.
//!
//! A caller that cancels a job was told so, and stops paying for it and watching it. A task that runs on
//! holds room that others wait for, and does work that nobody wants, maybe against what the caller does
//! next in its place. So a task is gone within `CANCEL` and the time of a stop after the cancel was
//! acknowledged, and one that its worker started late within `CONTACT` and the time of a stop after that
//! start: also where the host that ordered it is gone for good and the store no longer lists the worker.

mod desk;

use std::collections;
use std::time;

use wharflane::{id, job};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::{worker, world};

/// The time that a cancel may take before its stop, as the platform allows it.
const CANCEL: time::Duration = world::CANCEL;
/// The time that a late start may take to be found, as the platform allows it.
const CONTACT: time::Duration = world::CONTACT;
/// How long a call to a worker waits for its answer.
const UNANSWERED: time::Duration = time::Duration::from_millis(600);
/// How finely time passes.
const STEP: time::Duration = time::Duration::from_millis(10);

/// An engine with workers that keep leases by their own clocks, and calls that go astray.
struct Floor {
    /// The engine and its store.
    desk: desk::Desk,
    /// The workers.
    workers: Vec<worker::Worker>,
    /// Looks that wait for an end, with when they must be answered.
    heartbeats: Vec<(time::Duration, job::Heartbeat)>,
    /// What the engine will be told, and when.
    back: Vec<(time::Duration, job::Event)>,
    /// The only step of each job that is handed in.
    step: job::Step,
    /// What becomes of the next starts, before all others are carried out and answered.
    fates: collections::VecDeque<Fate>,
    /// Starts that are carried out late, and when.
    late: Vec<(time::Duration, job::Start)>,
    /// Starts on their way, and when they arrive.
    slow: Vec<(time::Duration, job::Start)>,
    /// How many stops more are lost.
    lost_stops: usize,
    /// Looks at the first worker that come back within this time have no answer.
    lost_heartbeats: (time::Duration, time::Duration),
    /// Whether they are lost on the way there, rather than on the way back.
    lost_on_the_way: bool,
    /// The starts that were ordered, and what was known of their worker then.
    ordered: Vec<Ordered>,
    /// The highest fence that each worker has answered a look of.
    answered: collections::BTreeMap<id::Incarnation, u64>,
    /// When runs began that were carried out late.
    began_late: Vec<time::Duration>,
    /// The most workers that ran the task of one job at once.
    most_at_once: usize,
}

/// A start as it was ordered.
struct Ordered {
    /// The order.
    start: job::Start,
    /// The highest fences answered by then.
    answered: collections::BTreeMap<id::Incarnation, u64>,
    /// What the clock of the first worker showed.
    clock_ms: u64,
}

/// What becomes of a start.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// It has no answer and is carried out after a time.
    Late(u64),
    /// It has no answer and is never carried out.
    Lost,
    /// It is answered so and not carried out.
    Answered(job::StartAnswer),
    /// It takes its time on the way.
    Slow(u64),
}

impl Floor {
    /// Makes a floor with so many workers, whose clocks are slow.
    fn new(workers: usize) -> Self {
        let member = |at| desk::member(at);
        let worker = |at| worker::Worker::new(member(at).incarnation, member(at).capacity, 980);
        Self {
            desk: desk::Desk::new(workers, Vec::new()),
            workers: (0..workers).map(worker).collect(),
            heartbeats: Vec::new(),
            back: Vec::new(),
            step: desk::step("serving", 1_000),
            fates: collections::VecDeque::new(),
            late: Vec::new(),
            lost_stops: 0,
            lost_heartbeats: Default::default(),
            lost_on_the_way: false,
            ordered: Vec::new(),
            answered: collections::BTreeMap::new(),
            slow: Vec::new(),
            began_late: Vec::new(),
            most_at_once: 0,
        }
    }

    /// Lets time pass.
    fn pass(&mut self, millis: u64) {
        let until = self.desk.now + time::Duration::from_millis(millis);
        while self.desk.now < until {
            self.step();
        }
    }

    /// Lets a moment pass.
    fn step(&mut self) {
        self.desk.now += STEP;
        let now = self.desk.now;
        self.workers.iter_mut().for_each(|worker| worker.tick(now));
        self.start_late();
        self.most_at_once = self.most_at_once.max(self.run_on(1).len());
        self.answer_heartbeats();
        let (due, later) = std::mem::take(&mut self.back).into_iter().partition(|b| b.0 <= now);
        self.back = later;
        let due: Vec<(time::Duration, job::Event)> = due;
        due.into_iter().for_each(|(_, event)| self.desk.take(event));
        let wall_ms = u64::try_from(now.as_millis()).expect("a small number");
        self.desk.take(job::Event::Tick { wall_ms });
        for effect in std::mem::take(&mut self.desk.asked) {
            self.carry_out(effect);
        }
    }

    /// Carries out what the engine asks of workers.
    fn carry_out(&mut self, effect: job::Effect) {
        let now = self.desk.now;
        match effect {
            job::Effect::Start(start) => self.order(start),
            job::Effect::Stop(order) if self.lost_stops > 0 => {
                self.lost_stops -= 1;
                self.back.push((now + UNANSWERED, job::Event::StopNotTaken(order)));
            }
            job::Effect::Stop(order) => self.stop(order),
            job::Effect::SendHeartbeat(heartbeat) => {
                self.heartbeats.push((now + heartbeat.wait, heartbeat))
            }
            _ => {}
        }
    }

    /// Lets a worker take a stop.
    fn stop(&mut self, order: job::Order) {
        let now = self.desk.now;
        if !self.worker(&order.worker).stop(&order, now) {
            self.back.push((now, job::Event::StopNotTaken(order)));
        }
    }

    /// Lets an order to start meet its fate.
    fn order(&mut self, start: job::Start) {
        let (now, order) = (self.desk.now, start.order.clone());
        let clock_ms = self.workers[0].clock_ms(now);
        let answered = self.answered.clone();
        self.ordered.push(Ordered { start: start.clone(), answered, clock_ms });
        let (after, answer) = match self.fates.pop_front() {
            None => (time::Duration::ZERO, self.start(&start).0),
            Some(Fate::Answered(answer)) => (time::Duration::ZERO, answer),
            Some(Fate::Slow(millis)) => {
                return self.slow.push((now + time::Duration::from_millis(millis), start));
            }
            Some(Fate::Lost) => (UNANSWERED, job::StartAnswer::Silent),
            Some(Fate::Late(millis)) => {
                self.late.push((now + time::Duration::from_millis(millis), start));
                (UNANSWERED, job::StartAnswer::Silent)
            }
        };
        self.back.push((now + after, job::Event::Started { order, answer }));
    }

    /// Lets a worker take a start; the second part tells whether a run began.
    fn start(&mut self, start: &job::Start) -> (job::StartAnswer, bool) {
        let (now, size) = (self.desk.now, self.step.size);
        let behaviour = worker::Behaviour { work: None, fails: false, size };
        self.worker(&start.order.worker).start(start, behaviour, now)
    }

    /// Carries out the starts that are late or slow and due.
    fn start_late(&mut self) {
        let now = self.desk.now;
        let (due, later) = std::mem::take(&mut self.late).into_iter().partition(|l| l.0 <= now);
        self.late = later;
        let due: Vec<(time::Duration, job::Start)> = due;
        for (_, start) in due {
            if self.start(&start).1 {
                self.began_late.push(now);
            }
        }
        let (due, later) = std::mem::take(&mut self.slow).into_iter().partition(|s| s.0 <= now);
        self.slow = later;
        let due: Vec<(time::Duration, job::Start)> = due;
        for (_, start) in due {
            let (answer, order) = (self.start(&start).0, start.order);
            self.back.push((now, job::Event::Started { order, answer }));
        }
    }

    /// Answers the looks whose time has come.
    fn answer_heartbeats(&mut self) {
        let now = self.desk.now;
        for (latest, heartbeat) in std::mem::take(&mut self.heartbeats) {
            let lost = heartbeat.worker == desk::member(0).incarnation
                && (self.lost_heartbeats.0..self.lost_heartbeats.1).contains(&now);
            if lost && self.lost_on_the_way {
                let (worker, epoch) = (heartbeat.worker, heartbeat.epoch);
                let answer = job::HeartbeatAnswer::Silent;
                let event = job::Event::HeartbeatAnswered { worker, epoch, answer };
                self.back.push((now + UNANSWERED, event));
                continue;
            }
            let answer = self.worker(&heartbeat.worker).handle_heartbeat(&heartbeat, now);
            let news =
                matches!(&answer, job::HeartbeatAnswer::Lists(lists) if !lists.ended.is_empty());
            if !news && now < latest {
                self.heartbeats.push((latest, heartbeat));
                continue;
            }
            let (worker, epoch) = (heartbeat.worker, heartbeat.epoch);
            let (after, answer) = if lost {
                (UNANSWERED, job::HeartbeatAnswer::Silent)
            } else {
                self.answered.insert(worker.clone(), epoch);
                (time::Duration::ZERO, answer)
            };
            self.back.push((now + after, job::Event::HeartbeatAnswered { worker, epoch, answer }));
        }
    }

    /// Returns a worker.
    fn worker(&mut self, id: &id::Incarnation) -> &mut worker::Worker {
        self.workers.iter_mut().find(|worker| worker.incarnation == *id).expect("a worker")
    }

    /// Returns the workers that run the only task of a job.
    fn run_on(&self, job: u64) -> Vec<id::Incarnation> {
        let here = |worker: &&worker::Worker| worker.running().any(|(task, _)| task == first(job));
        self.workers.iter().filter(here).map(|worker| worker.incarnation.clone()).collect()
    }

    /// Returns the last two starts of the first job.
    fn last_two_starts(&self) -> (&Ordered, &Ordered) {
        let starts = self.ordered.iter().filter(|ordered| ordered.start.order.task == first(1));
        let starts: Vec<&Ordered> = starts.collect();
        let [.., before, again] = starts[..] else {
            panic!("{} starts", starts.len());
        };
        (before, again)
    }

    /// Hands a job in and waits until its task runs; returns where.
    fn submit(&mut self, job: u64) -> id::Incarnation {
        self.desk.submit(job, "first", self.step.clone());
        self.pass(300);
        self.run_on(job).first().expect("a started task").clone()
    }

    /// Takes a worker from the store's list, which serves on.
    fn unlist(&mut self, worker: &id::Incarnation) {
        self.desk.take(job::Event::Member(worker.worker.clone(), None));
    }

    /// Returns the row of a job, cancelled or not.
    fn row(&mut self, job: u64, cancelled: bool) -> Vec<wharflane::rows::Row> {
        let job::Event::Jobs(mut rows) = self.desk.accepted(job, "first", self.step.clone()) else {
            panic!("no rows");
        };
        for row in &mut rows {
            let accepted = serde_json::from_str(row.value.as_deref().expect("a value"));
            let accepted = job::Accepted { cancelled, ..accepted.expect("a job") };
            row.value = serde_json::to_string(&accepted).ok();
        }
        rows
    }

    /// Cancels a job.
    fn cancel(&mut self, job: u64) {
        let rows = self.row(job, true);
        self.desk.take(job::Event::Jobs(rows));
    }

    /// Takes the holder away for good at the moment when it has just renewed the leases on a worker, and lets
    /// another host find that out, which lists only some workers; returns when.
    fn replace_holder(
        &mut self,
        seen: &id::Incarnation,
        (job, cancelled): (u64, bool),
        listed: &[usize],
    ) -> time::Duration {
        while !self.heartbeats.iter().any(|(latest, heartbeat)| {
            heartbeat.worker == *seen
                && *latest >= self.desk.now + heartbeat.wait
                && !heartbeat.wait.is_zero()
        }) {
            self.step();
        }
        self.answer_heartbeats();
        let removed = self.desk.now;
        self.heartbeats.clear();
        self.back.clear();
        let jobs = self.row(job, cancelled);
        let lease = self.desk.rows[&(job::LEASES, job::lease_key(0).name)].clone();
        let lease: job::Lease = serde_json::from_str(&lease).expect("a lease");
        let row = Some((self.desk.version, lease));
        self.desk.engine = job::Engine::new("next".into(), world::settings(), 2);
        self.desk.asked.clear();
        self.desk.take(job::Event::Queues(desk::queues()));
        let listed = listed.iter().map(|at| desk::member(*at)).collect();
        self.desk.take(job::Event::Listed(listed));
        self.desk.take(job::Event::LeaseRead(row.clone()));
        while self.desk.now < removed + world::settings().probe {
            self.step();
        }
        let version = row.map_or(0, |(version, _)| version);
        self.desk.take(job::Event::Probed { version, sign: job::ProbeResult::Refused });
        let progress = self.desk.table(job::PROGRESS);
        let learned = self.desk.table(job::LEARNED);
        self.desk.take(job::Event::Closed(job::ClosedHalls::default()));
        self.desk.take(job::Event::Loaded { jobs, progress, learned });
        assert!(self.desk.engine.holding().is_some(), "nobody holds the domain");
        removed
    }

    /// Returns how long the task of a job runs on, from a moment on.
    fn gone_after(&mut self, job: u64, from: time::Duration) -> time::Duration {
        while !self.run_on(job).is_empty() {
            self.step();
            assert!(self.desk.now < from + 10 * CANCEL, "it runs on");
        }
        self.desk.now - from
    }
}

/// Returns the name of the first task of a job.
fn first(job: u64) -> job::TaskId {
    job::TaskId { job: job::JobId(job), round: 0, step: 0, index: 0 }
}

/// Returns the longest time that a late start of a cancelled job ran, over starts of all lateness, with so
/// many stops lost and the looks of a while after the cancel, on the way there or back.
fn longest_late_run(
    lost_stops: usize,
    lost_heartbeats_ms: u64,
    lost_on_the_way: bool,
) -> time::Duration {
    let ran = |late_ms: u64| {
        let mut floor = Floor::new(1);
        floor.submit(2);
        floor.fates = [Fate::Late(late_ms)].into();
        floor.desk.submit(1, "first", floor.step.clone());
        floor.pass(300);
        floor.cancel(1);
        floor.lost_stops = lost_stops;
        let lost_heartbeats = time::Duration::from_millis(lost_heartbeats_ms);
        floor.lost_heartbeats = (floor.desk.now, floor.desk.now + lost_heartbeats);
        floor.lost_on_the_way = lost_on_the_way;
        floor.pass(late_ms);
        let began = floor.began_late.first().copied();
        began.map_or(time::Duration::ZERO, |began| floor.gone_after(1, began))
    };
    (2_000..3_900).step_by(50).map(ran).max().unwrap_or_default()
}

/// Orders a start that has no answer and is carried out late, and again, which is refused; returns the floor
/// with a second worker, and looks at the first that have no answer for so long.
fn refused_after_a_late_one(lost_heartbeats_ms: u64, lost_on_the_way: bool) -> Floor {
    let refused = job::StartAnswer::Refused(job::StartRefusal::Room);
    let mut floor = Floor::new(1);
    floor.submit(2);
    floor.fates = [Fate::Late(3_900), Fate::Answered(refused)].into();
    floor.desk.submit(1, "first", floor.step.clone());
    floor.pass(500);
    let lost_heartbeats = time::Duration::from_millis(lost_heartbeats_ms);
    floor.lost_heartbeats = (floor.desk.now, floor.desk.now + lost_heartbeats);
    floor.lost_on_the_way = lost_on_the_way;
    floor.workers.push(worker::Worker::new(
        desk::member(1).incarnation,
        desk::member(1).capacity,
        980,
    ));
    floor.desk.take(job::Event::Member(desk::member(1).incarnation.worker, Some(desk::member(1))));
    floor.pass(15_000);
    floor
}

cases! {
    a_task_on_a_worker_that_nobody_lists_is_stopped_by_the_next_holder => {
        let mut floor = Floor::new(2);
        let worker = floor.submit(1);
        floor.unlist(&worker);
        floor.pass(100);
        let cancelled = floor.replace_holder(&worker, (1, true), &[]);
        let after = floor.gone_after(1, cancelled);
        assert!(after <= CANCEL + world::settings().stop, "gone {after:?} after the cancel");
    },
    a_task_on_a_worker_that_nobody_lists_runs_on_under_the_next_holder => {
        let mut floor = Floor::new(2);
        let worker = floor.submit(1);
        floor.unlist(&worker);
        floor.pass(100);
        floor.replace_holder(&worker, (1, false), &[]);
        floor.pass(10_000);
        assert_eq!(floor.run_on(1), [worker]);
        assert_eq!(floor.ordered.len(), 1, "it was never started again");
    },
    a_stop_that_is_lost_twice_is_given_again_in_time => {
        let mut floor = Floor::new(1);
        floor.submit(1);
        floor.lost_stops = 2;
        let cancelled = floor.desk.now;
        floor.cancel(1);
        let after = floor.gone_after(1, cancelled);
        assert!(after <= CANCEL + worker::STOP, "gone {after:?} after the cancel");
    },
    a_late_start_of_a_cancelled_job_is_over_in_time => {
        let ran = longest_late_run(0, 0, false);
        assert!(ran <= CONTACT + worker::STOP, "it ran for {ran:?}");
    },
    so_it_is_where_its_stop_is_lost => {
        let ran = longest_late_run(2, 0, false);
        assert!(ran <= CONTACT + worker::STOP, "it ran for {ran:?}");
    },
    so_it_is_where_looks_have_no_answer => {
        for (lost_heartbeats_ms, lost_on_the_way) in [(1_500, false), (2_500, true)] {
            let ran = longest_late_run(1, lost_heartbeats_ms, lost_on_the_way);
            assert!(ran.is_zero(), "where a look or a stop arrives, none begins, but one ran for {ran:?}");
        }
        for lost_stops in 2..=4 {
            let ran = longest_late_run(lost_stops, 2_500, true);
            assert!(!ran.is_zero(), "one begins where neither arrives");
            assert!(ran <= CONTACT + worker::STOP, "it ran for {ran:?}");
        }
    },
    a_late_start_never_comes_beside_the_one_that_replaces_it => {
        let mut floor = Floor::new(1);
        floor.submit(2);
        floor.fates = [Fate::Late(3_900), Fate::Answered(job::StartAnswer::Refused(job::StartRefusal::Room))].into();
        floor.desk.submit(1, "first", floor.step.clone());
        floor.pass(2_000);
        // The worker is full from here on, so that the task must go to another one.
        floor.workers.push(worker::Worker::new(desk::member(1).incarnation, desk::member(1).capacity, 980));
        floor.step = desk::step("serving", 14_000);
        floor.submit(3);
        floor.step = desk::step("serving", 1_000);
        floor.desk.take(job::Event::Member(desk::member(1).incarnation.worker, Some(desk::member(1))));
        floor.lost_heartbeats = (floor.desk.now, floor.desk.now + time::Duration::from_millis(4_000));
        floor.pass(10_000);
        assert_eq!(floor.run_on(1).len(), 1, "it runs");
        assert_eq!(floor.most_at_once, 1, "it ran on two workers at once");
    },
    a_worker_that_leaves_starts_unanswered_loses_the_task_after_some => {
        let mut floor = Floor::new(1);
        floor.pass(200);
        floor.fates = [Fate::Lost; 20].into();
        floor.desk.submit(1, "first", floor.step.clone());
        floor.pass(500);
        let first_one = desk::member(0).incarnation;
        floor.workers.push(worker::Worker::new(desk::member(1).incarnation, desk::member(1).capacity, 980));
        floor.desk.take(job::Event::Member(desk::member(1).incarnation.worker, Some(desk::member(1))));
        for _ in 0..100 {
            floor.pass(100);
            if floor.ordered.iter().any(|ordered| ordered.start.order.worker != first_one) {
                break;
            }
        }
        let there = floor.ordered.iter().filter(|o| o.start.order.worker == first_one).count();
        assert!(floor.ordered.len() > there, "it never went elsewhere");
        assert!(there <= 3, "{there} starts without an answer");
    },
    a_start_refused_after_one_without_answer_waits_until_that_can_t_come => {
        let floor = refused_after_a_late_one(0, false);
        let (before, again) = floor.last_two_starts();
        assert_eq!((before.start.order.run, again.start.order.run), (1, 2));
        let worker = &before.start.order.worker;
        assert!(again.answered[worker] > before.start.order.epoch, "its fence was not answered");
        assert_eq!((floor.began_late.len(), floor.most_at_once), (0, 1));
        assert_eq!(floor.run_on(1).len(), 1);
    },
    without_answers_of_its_worker_it_waits_for_the_lease => {
        for lost_on_the_way in [false, true] {
            let floor = refused_after_a_late_one(60_000, lost_on_the_way);
            let (before, again) = floor.last_two_starts();
            assert_eq!((before.start.order.run, again.start.order.run), (1, 2));
            assert!(again.clock_ms > before.start.lease_until_ms, "{} is not over", again.clock_ms);
            assert_eq!((floor.run_on(1).len(), floor.most_at_once), (1, 1));
            assert_eq!(floor.began_late.is_empty(), !lost_on_the_way, "by the fence alone");
        }
    },
    an_order_that_a_raised_fence_overtakes_is_given_again => {
        let mut floor = Floor::new(1);
        floor.submit(2);
        floor.fates = [Fate::Late(3_000), Fate::Slow(2_500)].into();
        floor.desk.submit(1, "first", floor.step.clone());
        floor.pass(200);
        floor.desk.submit(3, "first", floor.step.clone());
        floor.pass(200);
        floor.cancel(1);
        floor.pass(6_000);
        assert_eq!(floor.began_late, [], "the fence was raised");
        assert_eq!(floor.run_on(3).len(), 1, "it runs");
        assert!(floor.desk.engine.holding().is_some(), "the holder took itself for deposed");
    },
    a_raised_fence_stays_when_its_worker_is_listed_anew => {
        let mut floor = Floor::new(1);
        floor.pass(200);
        floor.fates = [Fate::Late(3_000)].into();
        floor.desk.submit(1, "first", floor.step.clone());
        floor.pass(300);
        floor.cancel(1);
        floor.pass(3_500);
        assert_eq!(floor.began_late, [], "the fence was raised");
        let worker = desk::member(0);
        floor.unlist(&worker.incarnation);
        floor.pass(500);
        floor.desk.take(job::Event::Member(worker.incarnation.worker.clone(), Some(worker)));
        floor.pass(500);
        floor.submit(2);
        assert!(floor.desk.engine.holding().is_some(), "the holder took itself for deposed");
    },
    a_job_cancelled_while_nobody_holds_the_domain_is_stopped_by_the_next_holder => {
        let mut floor = Floor::new(2);
        let worker = floor.submit(1);
        let cancelled = floor.replace_holder(&worker, (1, true), &[0, 1]);
        let after = floor.gone_after(1, cancelled);
        assert!(after <= CANCEL + worker::STOP, "gone {after:?} after the cancel");
    },
    a_job_whose_task_still_runs_is_not_forgotten => {
        let mut floor = Floor::new(1);
        floor.submit(1);
        floor.cancel(1);
        floor.lost_stops = usize::MAX;
        floor.pass(1_000);
        let keep = u64::try_from(world::settings().keep.as_millis()).expect("a small number");
        floor.pass(keep + 1_000);
        assert_eq!(floor.run_on(1).len(), 1, "no stop arrives");
        floor.lost_stops = 0;
        floor.pass(3_000);
        assert_eq!(floor.run_on(1), [], "it is stopped");
        floor.step = desk::step("serving", 16_000);
        floor.submit(2);
    },
}
