//! The engine of the job service, event by event: the holder's lease, harm learned, who goes first.

use std::collections;
use std::sync;
use std::time;

use wharflane::{job, rows, size};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::world;

/// The target of the serving task, in milliseconds.
const TARGET_MS: u64 = 50;
/// The tail of the serving task where nothing fills.
const QUIET_MS: u64 = 13;
/// Its tail beside a task that harms it.
const HARMED_MS: u64 = 40;

/// An engine with a store that answers at once, and everything it asked for.
struct Desk {
    /// The engine.
    engine: job::Engine,
    /// The time.
    now: time::Duration,
    /// The version of the store.
    version: u64,
    /// The rows that were written last.
    rows: collections::BTreeMap<(&'static str, String), String>,
    /// Orders and looks that were asked for and not answered yet.
    asked: Vec<job::Effect>,
}

impl Desk {
    /// Makes an engine that holds its domain, with so many workers.
    fn new(workers: usize, learned: Option<String>) -> Self {
        let engine = job::Engine::new("host".into(), world::settings(), 1);
        let mut desk = Self {
            engine,
            now: time::Duration::from_secs(1),
            version: 0,
            rows: collections::BTreeMap::new(),
            asked: Vec::new(),
        };
        let queue = |name: &str, priority| job::Queue {
            name: name.to_owned(),
            host: String::new(),
            prefix: String::new(),
            service: "service".into(),
            priority,
            max_attempts: 3,
        };
        let queues = ["first", "last"].into_iter().zip([0, 2]);
        let queues = queues.map(|(name, priority)| (name.to_owned(), queue(name, priority)));
        let queues = job::Queues { revision: 1, queues: queues.collect() };
        desk.take(job::Event::Queues(sync::Arc::new(queues)));
        desk.take(job::Event::Listed((0..workers).map(member).collect()));
        desk.take(job::Event::LeaseRead(None));
        let (jobs, progress) = (Vec::new(), Vec::new());
        desk.take(job::Event::Loaded { jobs, progress, learned });
        desk
    }

    /// Lets the engine take an event; transactions are answered at once.
    fn take(&mut self, event: job::Event) {
        let mut effects = self.engine.step(self.now, event);
        while !effects.is_empty() {
            let effect = effects.remove(0);
            let job::Effect::Txn(number, txn) = effect else {
                self.asked.push(effect);
                continue;
            };
            self.version += 1;
            for write in txn.writes {
                let at = (write.key.table, write.key.name);
                self.rows.insert(at, write.value.unwrap_or_default());
            }
            let answer = Some(rows::Answer::Done { version: self.version });
            effects.extend(self.engine.step(self.now, job::Event::Txn { number, answer }));
        }
    }

    /// Lets time pass; looks are answered with what runs, starts are taken.
    ///
    /// A serving task beside one that fills has the higher tail where `harmed` says so.
    fn pass(&mut self, millis: u64, harmed: bool) {
        let mut started: Vec<job::Start> = Vec::new();
        for _ in 0..millis / 20 {
            self.now += time::Duration::from_millis(20);
            self.take(job::Event::Tick { wall_ms: 0 });
            for effect in std::mem::take(&mut self.asked) {
                match effect {
                    job::Effect::Start(start) => {
                        let order = start.order.clone();
                        started.push(start);
                        let answer = job::StartAnswer::Taken;
                        self.take(job::Event::Started { order, answer });
                    }
                    job::Effect::Look(look) => {
                        let clock_ms = u64::try_from(self.now.as_millis()).expect("a small number");
                        let here = |start: &&job::Start| start.order.worker == look.worker;
                        let here: Vec<&job::Start> = started.iter().filter(here).collect();
                        let beside = here.iter().any(|start| start.order.task.job.0 == 2);
                        let row = |start: &&job::Start| row(start, harmed && beside);
                        let running = here.iter().map(row).collect();
                        let lists = job::Lists { clock_ms, running, ended: Vec::new() };
                        let answer = job::LookAnswer::Lists(lists);
                        let (worker, epoch) = (look.worker, look.epoch);
                        self.take(job::Event::Looked { worker, epoch, answer });
                    }
                    _ => {}
                }
            }
        }
        self.asked.extend(started.into_iter().map(job::Effect::Start));
    }

    /// Hands in a job of one step.
    fn submit(&mut self, number: u64, queue: &str, step: job::Step) {
        let event = self.accepted(number, queue, step);
        self.take(event);
    }

    /// Returns the event of a job of one step that was accepted.
    fn accepted(&mut self, number: u64, queue: &str, step: job::Step) -> job::Event {
        let job = job::Job {
            queue: queue.to_owned(),
            service: "service".into(),
            spec: String::new(),
            steps: vec![step],
            repeats: None,
        };
        let value = serde_json::to_string(&job::Accepted { job, cancelled: false });
        self.version += 1;
        job::Event::Jobs(vec![rows::Row {
            name: job::JobId(number).to_string(),
            part: job::part(0),
            version: self.version,
            value: value.ok(),
        }])
    }

    /// Returns the harm that is learned between the two images of these tests.
    fn harm(&self) -> Option<f64> {
        let dump = self.engine.holding().expect("a holder").dump();
        dump.harm.get("serving by filling").copied()
    }
}

/// Returns a worker as the store lists it.
fn member(at: usize) -> job::Member {
    job::Member {
        id: format!("worker-{at}").as_str().into(),
        addr: ([127, 0, 0, 1], 1).into(),
        hall: "hall".into(),
        service: "service".into(),
        leaving: false,
        capacity: size::Size { cpu_milli: 16_000, mem_mb: 64_000, accelerators: 0 },
        labels: Vec::new(),
    }
}

/// Returns a task that serves, or one that fills.
fn step(image: &str, cpu_milli: u64) -> job::Step {
    let serving = image == "serving";
    job::Step {
        count: 1,
        size: size::Size { cpu_milli, mem_mb: 1_000, accelerators: 0 },
        lasting: serving,
        target_ms: serving.then_some(TARGET_MS),
        fills: image == "filling",
        image: Some(image.to_owned()),
        ..job::Step::default()
    }
}

/// Returns how a started task is told to run beside others that do or don't harm it.
fn row(start: &job::Start, harmed: bool) -> job::Running {
    let serving = start.order.task.job.0 == 1;
    let tail = if harmed { HARMED_MS } else { QUIET_MS };
    let load = if serving { tail } else { 4_000 };
    job::Running { task: start.order.task, run: start.order.run, percent: 100, load }
}

/// Lets two tasks serve, one of them beside a task that fills, and returns the desk.
fn learn(harmed: bool) -> Desk {
    let mut desk = Desk::new(2, None);
    let serving = step("serving", 4_000);
    desk.submit(1, "first", job::Step { count: 2, max_per_worker: Some(1), ..serving });
    desk.pass(3_000, harmed);
    desk.submit(2, "last", step("filling", 4_000));
    desk.pass(9_000, harmed);
    desk
}

/// Returns the names of the jobs whose tasks were started, in order.
fn order(desk: &Desk) -> Vec<u64> {
    let starts = desk.asked.iter().filter_map(|effect| match effect {
        job::Effect::Start(start) => Some(start.order.task.job.0),
        _ => None,
    });
    starts.collect()
}

cases! {
    a_free_domain_is_taken_and_held => {
        let desk = Desk::new(1, None);
        assert!(desk.engine.holding().is_some());
    },
    harm_is_learned_where_there_is_some => {
        let (some, none) = (learn(true).harm(), learn(false).harm());
        let (some, none) = (some.expect("learned"), none.expect("learned"));
        assert!(some > 2.0 * none, "{some} beside harm, {none} without");
    },
    what_was_learned_is_kept_for_the_next_holder => {
        let desk = learn(true);
        let kept = desk.rows.get(&(job::LEARNED, "only".to_owned())).cloned();
        let next = Desk::new(1, Some(kept.expect("a row")));
        let (before, after) = (desk.harm().expect("learned"), next.harm().expect("restored"));
        assert!((before - after).abs() < 0.2 * before, "{before} before, {after} after");
    },
    learned_rows_that_cannot_be_read_are_learned_anew => {
        assert_eq!(Desk::new(1, Some("{".to_owned())).harm(), None);
    },
    higher_priority_goes_first_and_lasting_tasks_after_those_that_end => {
        let mut desk = Desk::new(1, None);
        desk.submit(1, "last", step("plain", 9_000));
        desk.submit(2, "first", step("serving", 9_000));
        desk.submit(3, "first", step("plain", 9_000));
        desk.pass(200, false);
        assert_eq!(order(&desk), [3], "only one of them has room");
    },
    a_lasting_task_waits_behind_those_that_end_however_long_it_was_away => {
        let mut desk = Desk::new(1, None);
        desk.submit(1, "first", step("plain", 9_000));
        desk.pass(200, false);
        desk.submit(2, "first", step("serving", 9_000));
        desk.pass(10_000, false);
        desk.submit(3, "first", step("plain", 9_000));
        desk.take(job::Event::Member("worker-1".into(), Some(member(1))));
        desk.pass(400, false);
        assert_eq!(order(&desk), [1, 3], "there is room for one more");
    },
    nothing_is_ordered_once_the_lease_may_be_over => {
        let mut desk = Desk::new(1, None);
        desk.pass(500, false);
        // The store is silent from here on: nothing renews the lease.
        // Long enough for a look at the idle worker to be due.
        desk.now += world::settings().lease + world::settings().look_idle;
        let event = desk.accepted(1, "first", step("plain", 1_000));
        let mut effects = desk.engine.step(desk.now, event);
        effects.extend(desk.engine.step(desk.now, job::Event::Tick { wall_ms: 0 }));
        let order = |effect: &job::Effect| {
            matches!(effect, job::Effect::Start(_) | job::Effect::Look(_) | job::Effect::Stop(_))
        };
        let ordered = effects.iter().any(order);
        assert!(!ordered, "an order was given");
    },
}
