//! A worker of the platform, as the users' protocol describes it.
//!
//! A task's `spec` tells how it works: `work=MS` ends as done after so much work, `lasts` runs until
//! it is stopped, `serves=TAIL` lasts and reports this tail latency, in milliseconds. `GET
//! /x-running` tells the case what runs there.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{self, Value};
use crate::log::Log;

/// How long a stop takes.
const STOP_TIME: Duration = Duration::from_millis(100);
/// How often the worker looks for runs that are over.
const STEP: Duration = Duration::from_millis(10);
/// The longest time for which an answer waits for an end.
const MAX_WAIT: Duration = Duration::from_millis(2_000);

/// What a worker is.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The address at which it takes orders.
    pub addr: SocketAddr,
    /// The address of the store.
    pub store: SocketAddr,
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its rack.
    pub rack: String,
    /// Its processors, in thousandths of a core.
    pub cpu: u64,
    /// Its memory, in megabytes.
    pub mem_mb: u64,
    /// Pause between two heartbeats.
    pub beat: Duration,
    /// Longest lease that it grants.
    pub hold_max: Duration,
}

/// How a task works.
#[derive(Clone, Copy, Debug)]
enum Work {
    /// It is done after so much work.
    Ends(Duration),
    /// It lasts, and reports a tail latency unless that is zero.
    Lasts(u64),
}

/// A run.
#[derive(Clone, Debug)]
struct Run {
    /// Its number.
    run: u32,
    /// How it works.
    work: Work,
    /// When it began.
    began: Instant,
    /// Work done up to `paced_at`.
    worked: Duration,
    /// Since when it works at `percent`.
    paced_at: Instant,
    /// The share at which it works.
    percent: u64,
    /// When a stop of it is over.
    stops_at: Option<Instant>,
    /// The processors that it was told to have.
    cpu: u64,
}

impl Run {
    /// Returns the work done until a time.
    fn worked(&self, now: Instant) -> Duration {
        let passed = now.saturating_duration_since(self.paced_at);
        self.worked + passed * u32::try_from(self.percent).unwrap_or(100) / 100
    }

    /// Returns the progress in percent.
    fn progress(&self, now: Instant) -> u64 {
        match self.work {
            Work::Ends(whole) => {
                let part = self.worked(now).as_millis() * 100 / whole.as_millis().max(1);
                part.min(99) as u64
            }
            Work::Lasts(_) => 100,
        }
    }

    /// Returns the rough figure of its last half second.
    fn load(&self) -> u64 {
        match self.work {
            Work::Ends(_) => self.cpu * self.percent / 100,
            Work::Lasts(tail) => tail,
        }
    }
}

/// What runs on a worker.
#[derive(Debug, Default)]
struct State {
    /// The highest fence seen.
    fence: u64,
    /// The end of the lease, by the worker's clock.
    until_ms: u64,
    /// The runs.
    runs: BTreeMap<String, Run>,
    /// The highest run of each task that was stopped or has ended.
    over: BTreeMap<String, u32>,
    /// The ends that are not taken note of: number, task, run, how.
    ended: Vec<(u64, String, u32, &'static str)>,
    /// The number of the last end.
    last_end: u64,
}

/// A running worker.
#[derive(Debug)]
struct Running {
    /// What it is.
    worker: Worker,
    /// What runs there.
    state: Mutex<State>,
    /// Tells of ends.
    changed: Condvar,
    /// When it was started.
    began: Instant,
    /// Record of orders and ends.
    log: Log,
}

/// Runs a worker until its process ends.
pub fn run(worker: Worker, log: Log) {
    let addr = worker.addr;
    let running = Running {
        worker,
        state: Mutex::default(),
        changed: Condvar::new(),
        began: Instant::now(),
        log,
    };
    let running = Arc::new(running);
    let (beats, steps) = (Arc::clone(&running), Arc::clone(&running));
    thread::spawn(move || beats.beat());
    thread::spawn(move || {
        loop {
            thread::sleep(STEP);
            steps.step();
        }
    });
    http::serve(addr, move |request| running.answer(request));
}

impl Running {
    /// Writes the worker's entry to the store again and again.
    fn beat(&self) {
        let Worker { addr, store, id, service, rack, cpu, mem_mb, beat, .. } = &self.worker;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"tb-vake\",\
             \"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\
             \"capacity\":{{\"cpu\":{cpu},\"mem_mb\":{mem_mb},\"gpu\":0}},\
             \"labels\":[\"a\",\"{rack}\"],\"seq\":1}}"
        );
        let entry = json::quoted(&entry);
        let body = format!("{{\"table\":\"servers\",\"name\":\"{id}\",\"value\":{entry}}}");
        loop {
            http::call(*store, ("POST", "/x-beat"), &[], &body, *beat);
            thread::sleep(*beat);
        }
    }

    /// Locks the state.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the worker's clock.
    fn clock_ms(&self) -> u64 {
        100_000 + self.began.elapsed().as_millis() as u64
    }

    /// Ends the runs that are over.
    fn step(&self) {
        let (now, clock_ms) = (Instant::now(), self.clock_ms());
        let mut state = self.lock();
        let lapsed = clock_ms > state.until_ms;
        let over = state.runs.iter().filter_map(|(task, run)| {
            let done = matches!(run.work, Work::Ends(whole) if run.worked(now) >= whole);
            let stopped = run.stops_at.is_some_and(|at| now >= at);
            let how = match (lapsed, stopped, done) {
                (true, ..) => "lapsed",
                (_, true, _) => "stopped",
                (.., true) => "done",
                _ => return None,
            };
            Some((task.clone(), run.run, how))
        });
        let over: Vec<(String, u32, &'static str)> = over.collect();
        for (task, run, how) in &over {
            state.runs.remove(task);
            state.last_end += 1;
            let number = state.last_end;
            state.ended.push((number, task.clone(), *run, how));
            let highest = state.over.entry(task.clone()).or_default();
            *highest = (*highest).max(*run);
            self.log.line(&format!("{}: {task} run {run} ended {how}", self.worker.id));
        }
        drop(state);
        if !over.is_empty() {
            self.changed.notify_all();
        }
    }

    /// Answers a request.
    fn answer(&self, request: &Request) -> Reply {
        let clock = |more: &str| format!("{{\"clock_ms\":{}{more}}}", self.clock_ms());
        if request.path == "/health" {
            return (200, "{}".to_owned());
        }
        if request.path == "/x-running" {
            let state = self.lock();
            let tasks: Vec<String> = state.runs.keys().map(|task| json::quoted(task)).collect();
            return (200, format!("[{}]", tasks.join(",")));
        }
        let meant = request.header("x-expect-instance");
        if !meant.is_empty() && meant != self.worker.id {
            return (421, clock(""));
        }
        let Some(body) = json::parse(&request.body) else {
            return (400, clock(""));
        };
        {
            let mut state = self.lock();
            let fence = body.get("fence").number();
            if fence < state.fence {
                return (409, clock(",\"reason\":\"fence\""));
            }
            state.fence = fence;
        }
        match request.path.as_str() {
            "/run-start" => match self.start(&body) {
                Ok(()) => (200, clock("")),
                Err(reason) => (409, clock(&format!(",\"reason\":\"{reason}\""))),
            },
            "/run-stop" => match self.stop(&body) {
                true => (200, clock("")),
                false => (409, clock(",\"reason\":\"old\"")),
            },
            "/pace" => {
                self.pace(&body);
                (200, clock(""))
            }
            "/hold" => (200, self.hold(&body)),
            _ => (404, clock("")),
        }
    }

    /// Renews the lease.
    fn renew(&self, state: &mut State, body: &Value) {
        let longest = self.clock_ms() + self.worker.hold_max.as_millis() as u64;
        let until_ms = body.get("until_ms").number().min(longest);
        state.until_ms = state.until_ms.max(until_ms);
    }

    /// Starts a run; returns the reason of a refusal.
    fn start(&self, body: &Value) -> Result<(), &'static str> {
        let task = body.get("task").text().to_owned();
        let run = body.get("run").number() as u32;
        let spec = body.get("spec").text();
        let mut state = self.lock();
        if body.get("until_ms").number() <= self.clock_ms() {
            return Err("late");
        }
        if state.runs.get(&task).is_some_and(|known| known.run == run) {
            self.renew(&mut state, body);
            return Ok(());
        }
        let highest = state.over.get(&task).copied().unwrap_or(0);
        if run <= highest || state.runs.contains_key(&task) {
            self.renew(&mut state, body);
            return Err("old");
        }
        let cpu = number_after(spec, "cpu=").unwrap_or(0);
        let fills = spec.contains("fills");
        let used: u64 = state.runs.values().map(|run| run.cpu).sum();
        if !fills && used + cpu > self.worker.cpu {
            self.renew(&mut state, body);
            return Err("room");
        }
        let work = match (number_after(spec, "work="), number_after(spec, "serves=")) {
            (Some(ms), _) => Work::Ends(Duration::from_millis(ms)),
            (_, tail) => Work::Lasts(tail.unwrap_or(0)),
        };
        let now = Instant::now();
        let started = Run {
            run,
            work,
            began: now,
            worked: Duration::ZERO,
            paced_at: now,
            percent: 100,
            stops_at: None,
            cpu: if fills { 0 } else { cpu },
        };
        self.renew(&mut state, body);
        state.runs.insert(task.clone(), started);
        drop(state);
        let fence = body.get("fence").number();
        let id = &self.worker.id;
        self.log.line(&format!("{id}: {task} run {run} started, fence {fence}"));
        Ok(())
    }

    /// Stops a run; returns whether it is there.
    fn stop(&self, body: &Value) -> bool {
        let task = body.get("task").text();
        let run = body.get("run").number() as u32;
        let mut state = self.lock();
        let Some(known) = state.runs.get_mut(task).filter(|known| known.run == run) else {
            return false;
        };
        known.stops_at.get_or_insert(Instant::now() + STOP_TIME);
        let ran_ms = known.began.elapsed().as_millis();
        let id = &self.worker.id;
        self.log.line(&format!("{id}: {task} run {run} told to stop after {ran_ms} ms"));
        true
    }

    /// Sets the share of a run.
    fn pace(&self, body: &Value) {
        let mut state = self.lock();
        let Some(run) = state.runs.get_mut(body.get("task").text()) else {
            return;
        };
        let now = Instant::now();
        run.worked = run.worked(now);
        run.paced_at = now;
        run.percent = body.get("percent").number();
        let id = &self.worker.id;
        let (task, percent) = (body.get("task").text(), run.percent);
        self.log.line(&format!("{id}: {task} paced to {percent} percent"));
    }

    /// Renews the lease and lists what runs and what has ended.
    fn hold(&self, body: &Value) -> String {
        let wait = Duration::from_millis(body.get("wait_ms").number()).min(MAX_WAIT);
        let end = Instant::now() + wait;
        let mut state = self.lock();
        if body.get("until_ms").is_given() {
            self.renew(&mut state, body);
        }
        let seen = body.get("seen_upto").number();
        state.ended.retain(|(number, ..)| *number > seen);
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if !state.ended.is_empty() || left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let now = Instant::now();
        let running = state.runs.iter().map(|(task, run)| {
            let (number, percent, load) = (run.run, run.progress(now), run.load());
            format!("[\"{task}\",{number},\"\",{percent},{load}]")
        });
        let running: Vec<String> = running.collect();
        let ended = state.ended.iter().take(500);
        let ended = ended
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"));
        let ended: Vec<String> = ended.collect();
        format!(
            "{{\"clock_ms\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.clock_ms(),
            running.join(","),
            ended.join(",")
        )
    }
}

/// Returns the number that follows a word in a text.
fn number_after(text: &str, word: &str) -> Option<u64> {
    let rest = &text[text.find(word)? + word.len()..];
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
