//! Workers, as the pages tell them: they run tasks on orders, under a lease by their own clock.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::json::{Json, quoted};
use crate::record::Record;
use crate::store::Store;

/// The longest lease that a worker grants, in milliseconds.
const HOLD_MAX_MS: u64 = 6_000;
/// How long a stop takes.
const STOP_TIME: Duration = Duration::from_millis(300);
/// How long after a crash a worker's entry goes: three heartbeats.
const LAPSE: Duration = Duration::from_millis(3_300);
/// The most ends that are listed at once.
const MAX_LISTED: usize = 500;

/// The service of all workers and queues.
pub const SERVICE: &str = "dispatch";
/// What a worker has.
const CAPACITY: Size = Size { cpu: 16_000, mem_mb: 60_000 };

/// An amount of processors and memory.
#[derive(Clone, Copy, Debug, Default)]
pub struct Size {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Megabytes.
    pub mem_mb: u64,
}

/// What the stand-ins know of the tasks of a job.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// How long a task takes; absent for one that lasts.
    pub time: Option<Duration>,
    /// What a task asks.
    pub size: Size,
}

/// The jobs that clients sent, by id, and when a task of each first began.
#[derive(Debug, Default)]
pub struct Sent(Mutex<BTreeMap<String, (Work, Option<Instant>)>>);

impl Sent {
    /// Locks the jobs.
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, (Work, Option<Instant>)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a job that a client is about to send.
    pub fn add(&self, id: &str, work: Work) {
        self.lock().insert(id.to_owned(), (work, None));
    }

    /// Returns when a task of a job first began.
    pub fn began(&self, id: &str) -> Option<Instant> {
        self.lock().get(id).and_then(|(_, began)| *began)
    }

    /// Notes that a task begins.
    fn begin(&self, task: &str) {
        let mut jobs = self.lock();
        if let Some((_, began)) = jobs.get_mut(task.split('.').next().unwrap_or_default()) {
            began.get_or_insert_with(Instant::now);
        }
    }

    /// Returns what is known of the job of a task.
    fn work(&self, task: &str) -> Option<Work> {
        self.lock().get(task.split('.').next().unwrap_or_default()).map(|(work, _)| *work)
    }
}

/// A run of a task.
#[derive(Debug)]
struct Run {
    /// Its number.
    run: u64,
    /// When it began.
    began: Instant,
    /// How long its work takes; absent if it lasts.
    time: Option<Duration>,
    /// When an ordered stop takes effect.
    stops_at: Option<Instant>,
    /// What it takes.
    size: Size,
}

impl Run {
    /// Returns how much of its work is done, in percent; one that lasts is at work.
    fn percent(&self) -> u128 {
        let time_ms = self.time.map_or(0, |time| time.as_millis());
        (self.began.elapsed().as_millis() * 100)
            .checked_div(time_ms)
            .map_or(100, |done| done.min(99))
    }
}

/// An end that a worker lists.
#[derive(Debug)]
struct End {
    /// Its number.
    number: u64,
    /// The task.
    task: String,
    /// The run.
    run: u64,
    /// How the run ended.
    how: &'static str,
}

/// The state of one incarnation.
#[derive(Debug, Default)]
struct State {
    /// The highest fence seen.
    fence: u64,
    /// Until when its runs are leased, by its clock.
    lease_until_ms: u64,
    /// The runs in progress, by task.
    runs: BTreeMap<String, Run>,
    /// The highest run that was stopped or has ended, by task.
    over: BTreeMap<String, u64>,
    /// The ends that are not taken note of.
    ended: Vec<End>,
    /// The number of the last end.
    last_end: u64,
}

/// A life of a worker.
#[derive(Debug)]
pub struct Worker {
    /// Its id.
    pub id: String,
    /// The Unix millisecond at which it started.
    born_ms: u128,
    /// Its server; absent until it is started.
    server: OnceLock<Arc<http::Server>>,
    /// Whether it has crashed.
    crashed: AtomicBool,
    /// Where orders to start go that it leaves unanswered; absent while it answers them.
    late: Mutex<Option<mpsc::Sender<http::Request>>>,
    /// Its state.
    state: Mutex<State>,
    /// Is notified of each end.
    ended: Condvar,
    /// When its clock began.
    began: Instant,
    /// The jobs that clients sent.
    sent: Arc<Sent>,
    /// Where what happens is recorded.
    record: Arc<Record>,
}

impl Worker {
    /// Starts a worker, at a free port unless an address is given, and lists it in the store after
    /// a while.
    pub fn start(
        id: &str,
        addr: Option<SocketAddr>,
        listed_after: Duration,
        (store, sent, record): (&Arc<Store>, &Arc<Sent>, &Arc<Record>),
    ) -> io::Result<Arc<Self>> {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(addr.unwrap_or(free))?;
        let worker = Arc::new(Self {
            id: id.to_owned(),
            born_ms: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis(),
            late: Mutex::default(),
            server: OnceLock::new(),
            crashed: AtomicBool::new(false),
            state: Mutex::default(),
            ended: Condvar::new(),
            began: Instant::now(),
            sent: Arc::clone(sent),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&worker);
        let addr = listener.local_addr()?;
        let server = http::serve(listener, move |request| served.answer(request))?;
        let _ = worker.server.set(server);
        let ticked = Arc::clone(&worker);
        thread::spawn(move || {
            while !ticked.crashed.load(Ordering::SeqCst) {
                ticked.tick();
                thread::sleep(Duration::from_millis(5));
            }
        });
        let entry = entry(addr, worker.born_ms);
        let (store, id) = (Arc::clone(store), id.to_owned());
        thread::spawn(move || {
            thread::sleep(listed_after);
            store.write("servers", &id, &entry);
        });
        Ok(worker)
    }

    /// Leaves orders to start unanswered from now on and hands them to the receiver.
    pub fn leave_unanswered(&self) -> mpsc::Receiver<http::Request> {
        let (sender, receiver) = mpsc::channel();
        *self.late.lock().unwrap_or_else(PoisonError::into_inner) = Some(sender);
        receiver
    }

    /// Answers orders to start again.
    pub fn answer_again(&self) {
        *self.late.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    /// Carries out an order that was left unanswered, also by an earlier life.
    pub fn carry_out(&self, order: &http::Request) {
        let answer = self.take(order);
        self.record.note(&format!("late order on {}: {answer:?}", self.id));
    }

    /// Crashes it: all that runs there is lost, and its port is dead. Its entry goes after three
    /// heartbeats of silence.
    pub fn crash(&self, store: &Arc<Store>) {
        self.record.note(&format!("crash of {}", self.id));
        self.crashed.store(true, Ordering::SeqCst);
        self.lock().runs.clear();
        if let Some(server) = self.server.get() {
            server.close();
        }
        let (store, id) = (Arc::clone(store), self.id.clone());
        thread::spawn(move || {
            thread::sleep(LAPSE);
            store.remove("servers", &id);
        });
    }

    /// Returns its address.
    pub fn addr(&self) -> Option<SocketAddr> {
        self.server.get().map(|server| server.addr)
    }

    /// Returns whether a run of a task is in progress here.
    pub fn runs(&self, task: &str) -> bool {
        self.lock().runs.contains_key(task)
    }

    /// Locks the state.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time of its clock.
    fn clock_ms(&self) -> u64 {
        100_000 + u64::try_from(self.began.elapsed().as_millis()).unwrap_or(0)
    }

    /// Ends the runs that are due.
    fn tick(&self) {
        let now = Instant::now();
        let clock_ms = self.clock_ms();
        let mut state = self.lock();
        let lapsed = clock_ms >= state.lease_until_ms;
        let over = |run: &Run| match run {
            run if run.stops_at.is_some_and(|at| at <= now) => Some("stopped"),
            run if run.time.is_some_and(|time| run.began + time <= now) => Some("done"),
            _ if lapsed => Some("lapsed"),
            _ => None,
        };
        let due = state.runs.iter().filter_map(|(task, run)| Some((task.clone(), over(run)?)));
        let due: Vec<(String, &'static str)> = due.collect();
        for (task, how) in due {
            let Some(Run { run, .. }) = state.runs.remove(&task) else {
                continue;
            };
            state.over.insert(task.clone(), run);
            state.last_end += 1;
            let number = state.last_end;
            self.record.note(&format!("end {task} run {run} on {} {how}", self.id));
            state.ended.push(End { number, task, run, how });
            self.ended.notify_all();
        }
    }

    /// Answers a call.
    fn answer(&self, request: &http::Request) -> http::Answer {
        if self.crashed.load(Ordering::SeqCst) {
            return None;
        }
        let late = self.late.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(late) = late.filter(|_| request.path == "/run-start") {
            let text = String::from_utf8_lossy(&request.body);
            self.record.note(&format!("order without an answer on {}: {text}", self.id));
            let _ = late.send(request.clone());
            return None;
        }
        self.take(request)
    }

    /// Takes a call.
    fn take(&self, request: &http::Request) -> http::Answer {
        if request.instance != self.id {
            return Some((421, "{}".to_owned()));
        }
        let Some(order) = Json::parse(&request.body) else {
            return Some((400, "{}".to_owned()));
        };
        let fence = order.number("fence").unwrap_or(0);
        let mut state = self.lock();
        if fence < state.fence {
            return Some(self.refuse("fence"));
        }
        state.fence = fence;
        match request.path.as_str() {
            "/run-start" => Some(self.start_run(&mut state, &order)),
            "/run-stop" => Some(self.stop_run(&mut state, &order)),
            "/hold" => Some(self.hold(state, &order)),
            "/pace" => Some(self.done()),
            _ => Some((404, "{}".to_owned())),
        }
    }

    /// Returns the answer to an order that is carried out.
    fn done(&self) -> (u16, String) {
        (200, format!("{{\"clock_ms\":{},\"born\":{}}}", self.clock_ms(), self.born_ms))
    }

    /// Returns the answer to an order that is refused.
    fn refuse(&self, reason: &str) -> (u16, String) {
        let (clock_ms, born_ms) = (self.clock_ms(), self.born_ms);
        (409, format!("{{\"clock_ms\":{clock_ms},\"born\":{born_ms},\"reason\":\"{reason}\"}}"))
    }

    /// Prolongs the lease.
    fn prolong(&self, state: &mut State, order: &Json) {
        if let Some(until_ms) = order.number("until_ms") {
            let until_ms = until_ms.min(self.clock_ms() + HOLD_MAX_MS);
            state.lease_until_ms = state.lease_until_ms.max(until_ms);
        }
    }

    /// Starts a run.
    fn start_run(&self, state: &mut State, order: &Json) -> (u16, String) {
        let (task, run) = (order.text("task").to_owned(), order.number("run").unwrap_or(0));
        if order.number("until_ms").unwrap_or(0) <= self.clock_ms() {
            return self.refuse("late");
        }
        self.prolong(state, order);
        if state.runs.get(&task).is_some_and(|known| known.run == run) {
            return self.done();
        }
        if state.over.get(&task).is_some_and(|over| *over >= run) || state.runs.contains_key(&task)
        {
            return self.refuse("old");
        }
        let Some(work) = self.sent.work(&task) else {
            self.record.note(&format!("start {task} run {run} on {} that nobody sent", self.id));
            return self.done();
        };
        let cpu: u64 = state.runs.values().map(|run| run.size.cpu).sum();
        let mem_mb: u64 = state.runs.values().map(|run| run.size.mem_mb).sum();
        if cpu + work.size.cpu > CAPACITY.cpu || mem_mb + work.size.mem_mb > CAPACITY.mem_mb {
            return self.refuse("room");
        }
        self.sent.begin(&task);
        self.record.note(&format!("start {task} run {run} on {}", self.id));
        state.runs.insert(
            task,
            Run { run, began: Instant::now(), time: work.time, stops_at: None, size: work.size },
        );
        self.done()
    }

    /// Stops a run.
    fn stop_run(&self, state: &mut State, order: &Json) -> (u16, String) {
        let run = order.number("run").unwrap_or(0);
        match state.runs.get_mut(order.text("task")).filter(|known| known.run == run) {
            Some(known) => {
                known.stops_at.get_or_insert(Instant::now() + STOP_TIME);
                self.done()
            }
            None => self.refuse("old"),
        }
    }

    /// Answers a look once a run has ended, or its wait is over.
    fn hold(&self, mut state: MutexGuard<'_, State>, order: &Json) -> (u16, String) {
        self.prolong(&mut state, order);
        let seen = order.number("seen_upto").unwrap_or(0);
        state.ended.retain(|end| end.number > seen);
        let wait = order.number("wait_ms").unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        while state.ended.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.ended.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let (clock_ms, born_ms) = (self.clock_ms(), self.born_ms);
        let mut body = format!("{{\"clock_ms\":{clock_ms},\"born\":{born_ms},\"running\":[");
        for (at, (task, run)) in state.runs.iter().enumerate() {
            let comma = if at > 0 { "," } else { "" };
            let percent = run.percent();
            let _ = write!(body, "{comma}[{},{},\"\",{percent},0]", quoted(task), run.run);
        }
        body.push_str("],\"ended\":[");
        for (at, end) in state.ended.iter().take(MAX_LISTED).enumerate() {
            let comma = if at > 0 { "," } else { "" };
            let End { number, task, run, how } = end;
            let _ = write!(body, "{comma}[{number},{},{run},\"{how}\",\"\"]", quoted(task));
        }
        body.push_str("]}");
        (200, body)
    }
}

/// Returns the entry of a worker in the store.
fn entry(addr: SocketAddr, born_ms: u128) -> String {
    let Size { cpu, mem_mb } = CAPACITY;
    let service = quoted(SERVICE);
    format!(
        "{{\"service\":{service},\"address\":\"{addr}\",\"zone\":\"hall\",\"version\":\"v1\",\
         \"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":{born_ms},\"labels\":[\"a\",\"r1-1\"],\
         \"capacity\":{{\"cpu\":{cpu},\"mem_mb\":{mem_mb},\"gpu\":0}}}}"
    )
}
