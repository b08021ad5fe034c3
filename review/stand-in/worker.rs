//! A worker: runs tasks under a lease, by the platform's protocol, and guards its capacity.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::{self, Json};
use crate::record::{Event, Record};
use crate::store::Store;

/// Number of ends in one answer.
const MOST_ENDS: usize = 500;
/// How often runs that are due end.
const TICK: Duration = Duration::from_millis(2);
/// Time between two entries in the store.
const BEAT: Duration = Duration::from_millis(1_100);

/// What the tasks of one step are like.
#[derive(Clone)]
pub struct Work {
    pub cpu: u64,
    pub mem_mb: u64,
    /// How long a run takes, in milliseconds.
    pub run_ms: u64,
    /// How much longer a run takes than that of the task before, in microseconds.
    pub more_us: u64,
    /// How many runs of a task fail at their end before one ends well.
    pub failing_runs: u64,
    /// Whether a start needs a ticket of the advice service.
    pub needs_ticket: bool,
}

/// The steps of all jobs, by "ID.K.STEP".
pub type Works = Arc<Mutex<HashMap<String, Work>>>;

struct Run {
    number: u64,
    since: Instant,
    takes: Duration,
    work: Work,
    stops_at: Option<Instant>,
}

struct Ended {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    fence: u64,
    until_ms: u64,
    lapsed: bool,
    running: BTreeMap<String, Run>,
    ended: Vec<Ended>,
    ends: u64,
    seen_upto: u64,
    last_runs: HashMap<String, u64>,
}

/// A worker.
pub struct Worker {
    pub id: String,
    service: String,
    zone: String,
    labels: Vec<String>,
    cpu: u64,
    mem_mb: u64,
    hold_max_ms: u64,
    stop_ms: u64,
    began: Instant,
    state: Mutex<State>,
    changed: Condvar,
    works: Works,
    record: Arc<Record>,
    /// Whether it is cut off from all machines of the system: what is sent to it is lost, and so is
    /// what it sends.
    pub cut: AtomicBool,
}

/// What a worker is started with.
pub struct Settings<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub labels: &'a [&'a str],
    pub hold_max_ms: u64,
    pub stop_ms: u64,
}

impl Worker {
    /// Starts a worker of 16 cores on a free port, and writes its entry for as long as the process
    /// runs.
    pub fn start(
        settings: &Settings,
        works: &Works,
        record: &Arc<Record>,
        store: &Arc<Store>,
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            id: settings.id.to_owned(),
            service: settings.service.to_owned(),
            zone: settings.zone.to_owned(),
            labels: settings.labels.iter().map(|label| (*label).to_owned()).collect(),
            cpu: 16_000,
            mem_mb: 64_000,
            hold_max_ms: settings.hold_max_ms,
            stop_ms: settings.stop_ms,
            began: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            works: Arc::clone(works),
            record: Arc::clone(record),
            cut: AtomicBool::new(false),
        });
        let served = Arc::clone(&worker);
        let addr = http::serve("127.0.0.1", Arc::new(move |request| served.answer(request)));
        let ticking = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                ticking.tick();
            }
        });
        let (beating, store) = (Arc::clone(&worker), Arc::clone(store));
        thread::spawn(move || {
            for seq in 1.. {
                store.write("servers", &beating.id, Some(&beating.entry(addr, seq)));
                thread::sleep(BEAT);
            }
        });
        worker
    }

    /// Returns how many tasks run there.
    pub fn running(&self) -> usize {
        self.state.lock().expect("state").running.len()
    }

    fn entry(&self, addr: SocketAddr, seq: u64) -> Json {
        let labels = self.labels.iter().map(|label| json::text(label)).collect();
        json::object(vec![
            ("service", json::text(&self.service)),
            ("address", json::text(&addr.to_string())),
            ("zone", json::text(&self.zone)),
            ("version", json::text("v1")),
            ("slots", json::number(8)),
            ("state", json::text("ready")),
            ("cold_left_ms", json::number(0)),
            (
                "capacity",
                json::object(vec![
                    ("cpu", json::number(self.cpu)),
                    ("mem_mb", json::number(self.mem_mb)),
                    ("gpu", json::number(0)),
                ]),
            ),
            ("labels", Json::List(labels)),
            ("clock_ms", json::number(self.clock_ms())),
            ("seq", json::number(seq)),
        ])
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.began.elapsed().as_millis() as u64
    }

    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        if self.cut.load(Ordering::Relaxed) {
            return None;
        }
        let body = Json::read(&request.body)?;
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return Some((421, "{}".to_owned()));
        }
        let answer = match request.path.as_str() {
            "/run-start" => self.start_run(&body),
            "/run-stop" => self.stop_run(&body),
            "/hold" => self.hold(&body),
            "/pace" => (200, Vec::new()),
            _ => (400, Vec::new()),
        };
        // The answer is lost as well if the worker was cut off meanwhile.
        if self.cut.load(Ordering::Relaxed) {
            return None;
        }
        let (status, mut fields) = answer;
        fields.insert(0, ("clock_ms", json::number(self.clock_ms())));
        Some((status, json::object(fields).to_string()))
    }

    fn refuse(&self, body: &Json, reason: &'static str) -> (u16, Vec<(&'static str, Json)>) {
        let task = body.get("task").text();
        if !task.is_empty() {
            let (worker, task) = (self.id.clone(), task.to_owned());
            let run = body.get("run").number();
            self.record.event(Event::Refused { worker, task, run, reason });
        }
        (409, vec![("reason", json::text(reason))])
    }

    /// Takes in a fence; returns whether it is not too low.
    fn admit(state: &mut State, body: &Json) -> bool {
        let fence = body.get("fence").number();
        let admitted = fence >= state.fence;
        state.fence = state.fence.max(fence);
        admitted
    }

    /// Extends the lease of all that runs.
    fn extend(&self, state: &mut State, body: &Json) {
        let wanted = body.get("until_ms");
        if wanted.is_number() {
            let most = self.clock_ms() + self.hold_max_ms;
            state.until_ms = state.until_ms.max(wanted.number().min(most));
            state.lapsed &= state.until_ms <= self.clock_ms();
        }
    }

    fn start_run(&self, body: &Json) -> (u16, Vec<(&'static str, Json)>) {
        let mut state = self.state.lock().expect("state");
        if !Self::admit(&mut state, body) {
            return self.refuse(body, "fence");
        }
        let task = body.get("task").text().to_owned();
        let run = body.get("run").number();
        if body.get("until_ms").number() <= self.clock_ms() {
            return self.refuse(body, "late");
        }
        self.extend(&mut state, body);
        if state.running.get(&task).is_some_and(|known| known.number == run) {
            return (200, Vec::new());
        }
        let last = state.last_runs.get(&task).copied().unwrap_or(0);
        if run <= last || state.running.contains_key(&task) {
            return self.refuse(body, "old");
        }
        let step = task.rsplit_once('.').map_or("", |(step, _)| step);
        let Some(work) = self.works.lock().expect("works").get(step).cloned() else {
            self.record.say(&format!("{}: nobody sent {task}", self.id));
            return (400, Vec::new());
        };
        let ticket = format!("{step}@{}", self.id);
        if work.needs_ticket && body.get("ticket").text() != ticket {
            return self.refuse(body, "ticket");
        }
        let sum = |size: fn(&Work) -> u64| -> u64 {
            state.running.values().map(|run| size(&run.work)).sum()
        };
        if sum(|work| work.cpu) + work.cpu > self.cpu
            || sum(|work| work.mem_mb) + work.mem_mb > self.mem_mb
        {
            return self.refuse(body, "room");
        }
        let index: u64 = task.rsplit('.').next().and_then(|at| at.parse().ok()).unwrap_or(0);
        let takes = Duration::from_micros(work.run_ms * 1_000 + index * work.more_us);
        let begun = Run { number: run, since: Instant::now(), takes, work, stops_at: None };
        state.running.insert(task.clone(), begun);
        self.record.event(Event::Start { worker: self.id.clone(), task, run });
        (200, Vec::new())
    }

    fn stop_run(&self, body: &Json) -> (u16, Vec<(&'static str, Json)>) {
        let mut state = self.state.lock().expect("state");
        if !Self::admit(&mut state, body) {
            return self.refuse(body, "fence");
        }
        let stops_at = Instant::now() + Duration::from_millis(self.stop_ms / 3);
        let number = body.get("run").number();
        let known = state.running.get_mut(body.get("task").text());
        match known.filter(|run| run.number == number) {
            Some(run) => {
                run.stops_at.get_or_insert(stops_at);
                (200, Vec::new())
            }
            None => (200, Vec::new()),
        }
    }

    fn hold(&self, body: &Json) -> (u16, Vec<(&'static str, Json)>) {
        let end = Instant::now() + Duration::from_millis(body.get("wait_ms").number().min(2_000));
        let mut state = self.state.lock().expect("state");
        if !Self::admit(&mut state, body) {
            return self.refuse(body, "fence");
        }
        self.extend(&mut state, body);
        let upto = body.get("seen_upto").number();
        if upto > state.seen_upto {
            state.seen_upto = upto;
            state.ended.retain(|ended| ended.number > upto);
            self.record.event(Event::Seen { worker: self.id.clone(), upto });
        }
        while state.ended.is_empty() {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).expect("state").0;
        }
        let running = state.running.iter().map(|(task, run)| {
            let done = run.since.elapsed().as_millis() * 100 / run.takes.as_millis().max(1);
            Json::List(vec![
                json::text(task),
                json::number(run.number),
                json::text(""),
                json::number(done.min(99) as u64),
                json::number(run.work.cpu),
            ])
        });
        let ended = state.ended.iter().take(MOST_ENDS).map(|ended| {
            Json::List(vec![
                json::number(ended.number),
                json::text(&ended.task),
                json::number(ended.run),
                json::text(ended.how),
                json::text(""),
            ])
        });
        let fields = vec![
            ("running", Json::List(running.collect())),
            ("ended", Json::List(ended.collect())),
        ];
        if state.ended.len() > MOST_ENDS {
            self.record.line(&format!(
                "{} lists the first {MOST_ENDS} of {} ends",
                self.id,
                state.ended.len()
            ));
        }
        (200, fields)
    }

    /// Ends what is due: runs that are done, stopped ones, and all of them after the lease.
    fn tick(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().expect("state");
        let over = state.until_ms > 0 && self.clock_ms() > state.until_ms;
        if over && !state.lapsed {
            state.lapsed = true;
            self.record.event(Event::Lapse { worker: self.id.clone() });
        }
        let due: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter_map(|(task, run)| {
                let done = now >= run.since + run.takes;
                let how = if over {
                    "lapsed"
                } else if done && run.number <= run.work.failing_runs {
                    "failed"
                } else if done {
                    "done"
                } else if run.stops_at.is_some_and(|at| now >= at) {
                    "stopped"
                } else {
                    return None;
                };
                Some((task.clone(), how))
            })
            .collect();
        let any = !due.is_empty();
        for (task, how) in due {
            let Some(run) = state.running.remove(&task) else {
                continue;
            };
            state.ends += 1;
            let number = state.ends;
            state.last_runs.insert(task.clone(), run.number);
            state.ended.push(Ended { number, task: task.clone(), run: run.number, how });
            let worker = self.id.clone();
            self.record.event(Event::End { worker, task, run: run.number, how, number });
        }
        drop(state);
        if any {
            self.changed.notify_all();
        }
    }
}
