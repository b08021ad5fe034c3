//! A cancelled job is over: its tasks end in time, whoever started them, wherever they run, however late.
//!
//! A caller that cancels a job was told so, and stops paying for it and watching it. A task that runs on
//! holds room that others wait for, and does work that nobody wants, maybe against what the caller does
//! next in its place. So a task is gone within `CANCEL` and the time of a stop after the cancel was
//! acknowledged, and one that its worker started late within `CONTACT` and the time of a stop after that
//! start: also where the host that ordered it is gone for good and the store no longer lists the worker.

mod desk;

use std::time;

use wharflane::{id, job};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::{worker, world};

/// The time that a cancel may take before its stop, as the platform allows it.
const CANCEL: time::Duration = world::CANCEL;
/// How finely time passes.
const STEP: time::Duration = time::Duration::from_millis(10);

/// An engine with workers that keep leases by their own clocks, and calls that go astray.
struct Floor {
    /// The engine and its store.
    desk: desk::Desk,
    /// The workers.
    workers: Vec<worker::Worker>,
    /// Looks that wait for an end, with when they must be answered.
    looks: Vec<(time::Duration, job::Look)>,
    /// What the engine will be told, and when.
    back: Vec<(time::Duration, job::Event)>,
    /// The only step of each job that is handed in.
    step: job::Step,
}

impl Floor {
    /// Makes a floor with so many workers, whose clocks are slow.
    fn new(workers: usize) -> Self {
        let member = |at| desk::member(at);
        let worker = |at| worker::Worker::new(member(at).id, member(at).capacity, 980);
        Self {
            desk: desk::Desk::new(workers, Vec::new()),
            workers: (0..workers).map(worker).collect(),
            looks: Vec::new(),
            back: Vec::new(),
            step: desk::step("serving", 1_000),
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
        self.answer_looks();
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
            job::Effect::Start(start) => {
                let answer = self.start(&start);
                self.back.push((now, job::Event::Started { order: start.order, answer }));
            }
            job::Effect::Stop(order) => self.worker(&order.worker).stop(&order, now),
            job::Effect::Look(look) => self.looks.push((now + look.wait, look)),
            _ => {}
        }
    }

    /// Lets a worker take a start.
    fn start(&mut self, start: &job::Start) -> job::StartAnswer {
        let (now, size) = (self.desk.now, self.step.size);
        let behaviour = worker::Behaviour { work: None, fails: false, size };
        self.worker(&start.order.worker).start(start, behaviour, now).0
    }

    /// Answers the looks whose time has come.
    fn answer_looks(&mut self) {
        let now = self.desk.now;
        for (latest, look) in std::mem::take(&mut self.looks) {
            let answer = self.worker(&look.worker).look(&look, now);
            let news = matches!(&answer, job::LookAnswer::Lists(lists) if !lists.ended.is_empty());
            if !news && now < latest {
                self.looks.push((latest, look));
                continue;
            }
            let (worker, epoch) = (look.worker, look.epoch);
            self.back.push((now, job::Event::Looked { worker, epoch, answer }));
        }
    }

    /// Returns a worker.
    fn worker(&mut self, id: &id::WorkerId) -> &mut worker::Worker {
        self.workers.iter_mut().find(|worker| worker.id == *id).expect("a worker")
    }

    /// Returns the workers that run the only task of a job.
    fn run_on(&self, job: u64) -> Vec<id::WorkerId> {
        let here = |worker: &&worker::Worker| worker.running().any(|(task, _)| task == first(job));
        self.workers.iter().filter(here).map(|worker| worker.id.clone()).collect()
    }

    /// Hands a job in and waits until its task runs; returns where.
    fn submit(&mut self, job: u64) -> id::WorkerId {
        self.desk.submit(job, "first", self.step.clone());
        self.pass(300);
        self.run_on(job).first().expect("a started task").clone()
    }

    /// Takes a worker from the store's list, which serves on.
    fn unlist(&mut self, worker: &id::WorkerId) {
        self.desk.take(job::Event::Member(worker.clone(), None));
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

    /// Takes the holder away for good at the moment when it has just renewed the leases on a worker, and lets
    /// another host find that out, which lists only some workers; returns when.
    fn replace_holder(
        &mut self,
        seen: &id::WorkerId,
        (job, cancelled): (u64, bool),
        listed: &[usize],
    ) -> time::Duration {
        while !self.looks.iter().any(|(latest, look)| {
            look.worker == *seen && *latest >= self.desk.now + look.wait && !look.wait.is_zero()
        }) {
            self.step();
        }
        self.answer_looks();
        let removed = self.desk.now;
        (self.looks.clear(), self.back.clear());
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
        self.desk.take(job::Event::Probed { version, sign: job::Sign::Refused });
        let progress = self.desk.table(job::PROGRESS);
        let learned = self.desk.table(job::LEARNED);
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
}
