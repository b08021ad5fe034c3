//! The cases.

use std::collections::HashMap;
use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Host, Site};
use crate::http::{self, Request};
use crate::json::{self, Json};
use crate::judge;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{self, Work, Worker, Works};

/// Host name and path of the queue that the cases use.
const QUEUE_HOST: &str = "dispatch.example";
const PREFIX: &str = "/ride/";
/// The service of all workers.
const SERVICE: &str = "dispatch";
/// How long a client waits for an answer.
const DEADLINE: Duration = Duration::from_secs(3);

/// Plays a case; returns the breaks of its rule, or why it couldn't run.
pub fn play(
    case: &str,
    root: &Path,
    trouble: bool,
    record: &Arc<Record>,
) -> Result<Vec<String>, String> {
    match case {
        "handover" => handover(root, trouble, record),
        "ends" => ends(root, trouble, record),
        "route" => route(root, trouble, record),
        _ => Err(format!("no case {case}")),
    }
}

/// The platform of a case: the store, the advice service, workers and hosts.
struct Platform {
    site: Site,
    store: Arc<Store>,
    works: Works,
    workers: Vec<Arc<Worker>>,
    record: Arc<Record>,
}

impl Platform {
    fn start(root: &Path, hold_max_ms: u64, config_ms: u64, record: &Arc<Record>) -> Self {
        let store = Store::new();
        let served = Arc::clone(&store);
        let addr = http::serve("127.0.0.1", Arc::new(move |request| served.answer(request)));
        let advice = http::serve("127.0.0.1", Arc::new(advise));
        let folder = env::temp_dir().join(format!("wharflane-review-{}", process::id()));
        fs::create_dir_all(&folder).expect("can't create a folder");
        let site = Site {
            root: fs::canonicalize(root).expect("no such folder"),
            folder,
            store: addr,
            advice,
            hold_max_ms,
            config_ms,
            stop_ms: 900,
        };
        let works: Works = Arc::new(Mutex::new(HashMap::new()));
        Self { site, store, works, workers: Vec::new(), record: Arc::clone(record) }
    }

    /// Adds a worker with a kind and a rack.
    fn add_worker(&mut self, zone: &str, kind: &str, rack: &str) -> Arc<Worker> {
        let id = format!("i-{:02}", self.workers.len());
        let settings = worker::Settings {
            id: &id,
            service: SERVICE,
            zone,
            labels: &[kind, rack],
            hold_max_ms: self.site.hold_max_ms,
            stop_ms: self.site.stop_ms,
        };
        let worker = Worker::start(&settings, &self.works, &self.record, &self.store);
        self.workers.push(Arc::clone(&worker));
        worker
    }

    /// Writes a configuration with the given routes.
    fn configure(&self, version: u64, routes: Vec<Json>) {
        let service = json::object(vec![
            ("name", json::text(SERVICE)),
            ("health_path", json::text("/health")),
            ("max_conns", json::number(64)),
            ("protocol", json::text("h1")),
            ("tls", Json::Bool(false)),
            ("enforces_capacity", Json::Bool(true)),
            ("spare", Json::Bool(false)),
        ]);
        let limits = json::object(vec![
            ("max_header_bytes", json::number(16_384)),
            ("max_body_bytes", json::number(262_144)),
            ("header_timeout_ms", json::number(3_000)),
            ("idle_timeout_ms", json::number(15_000)),
        ]);
        let names: Vec<&str> = routes.iter().map(|route| route.get("name").text()).collect();
        self.record.say(&format!("configuration {version} is acknowledged: routes {names:?}"));
        let config = json::object(vec![
            ("version", json::number(version)),
            ("routes", Json::List(routes)),
            ("services", Json::List(vec![service])),
            ("limits", limits),
        ]);
        self.store.write("op", "config", Some(&config));
    }

    fn host(&self, name: &str, zone: &str, cores: &str, mbps: &str) -> Host {
        Host::start(&self.site, name, zone, cores, mbps, &self.record)
    }

    /// Submits a job until it is accepted.
    fn submit(
        &self,
        front: SocketAddr,
        prefix: &str,
        id: &str,
        steps: Vec<(Json, Work)>,
    ) -> Result<(), String> {
        let mut works = self.works.lock().expect("works");
        for (at, (_, work)) in steps.iter().enumerate() {
            works.insert(format!("{id}.0.{at}"), work.clone());
        }
        drop(works);
        let steps = steps.into_iter().map(|(step, _)| step).collect();
        let job = json::object(vec![("spec", json::text("a job")), ("steps", Json::List(steps))]);
        let path = format!("{prefix}{id}");
        for _ in 0..10 {
            let answer = http::call(front, "POST", &path, QUEUE_HOST, &job.to_string(), DEADLINE);
            let status = answer.as_ref().map(|(status, _)| *status);
            self.record.say(&format!("POST {path}: {status:?}"));
            if status == Some(200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(500));
        }
        Err(format!("job {id} was not accepted"))
    }

    /// Asks for the state of a job.
    fn state(&self, front: SocketAddr, prefix: &str, id: &str) -> String {
        let path = format!("{prefix}{id}");
        let answer = http::call(front, "GET", &path, QUEUE_HOST, "", DEADLINE);
        let text = match answer {
            Some((200, body)) => {
                Json::read(&body).map_or(String::new(), |body| body.get("state").text().to_owned())
            }
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        };
        self.record.line(&format!("GET {path}: {text}"));
        text
    }

    /// Waits until a job is shown with a state that is final; returns the last state.
    fn wait_final(&self, front: SocketAddr, prefix: &str, id: &str, limit: Duration) -> String {
        let end = Instant::now() + limit;
        loop {
            let state = self.state(front, prefix, id);
            if ["completed", "failed", "cancelled"].contains(&state.as_str())
                || Instant::now() > end
            {
                self.record.say(&format!("job {id} is shown as {state}"));
                return state;
            }
            thread::sleep(Duration::from_millis(500));
        }
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        if env::var_os("KEEP_LOGS").is_none() {
            drop(fs::remove_dir_all(&self.site.folder));
        }
    }
}

/// The advice service: every worker may run each step.
fn advise(request: &Request) -> Option<(u16, String)> {
    let body = Json::read(&request.body)?;
    let step = body.get("step").text().to_owned();
    thread::sleep(Duration::from_millis(20));
    let good = body.get("workers").items().iter().map(|worker| {
        let ticket = format!("{step}@{}", worker.text());
        Json::List(vec![worker.clone(), json::text(&ticket)])
    });
    let answer = vec![("good", Json::List(good.collect())), ("valid_ms", json::number(3_000))];
    Some((200, json::object(answer).to_string()))
}

/// Returns a route of the configuration.
fn route_of(name: &str, prefix: &str, max_attempts: u64, advice: bool) -> Json {
    let mut fields = vec![
        ("name", json::text(name)),
        ("host", json::text(QUEUE_HOST)),
        ("path_prefix", json::text(prefix)),
        ("kind", json::text("non_idempotent")),
        ("timeout_ms", json::number(3_000)),
        ("objective_ms", json::number(1_000)),
        ("priority", json::number(0)),
        ("service", json::text(SERVICE)),
        ("max_attempts", json::number(max_attempts)),
        ("stretch", json::number(2)),
    ];
    if advice {
        let timing = vec![
            ("decide_ms", json::number(20)),
            ("each_ms", json::number(1)),
            ("valid_ms", json::number(3_000)),
        ];
        fields.push(("advice", json::object(timing)));
    }
    json::object(fields)
}

/// Waits until something holds, or returns what was waited for.
fn wait_for(what: &str, limit: Duration, mut holds: impl FnMut() -> bool) -> Result<(), String> {
    let end = Instant::now() + limit;
    while !holds() {
        if Instant::now() > end {
            return Err(format!("waited in vain for {what}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Returns the host that schedules the jobs.
fn holder(hosts: &[Host]) -> Option<usize> {
    hosts.iter().position(Host::holds)
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Two hosts are stopped one after the other while a worker is cut off and runs on.
fn handover(root: &Path, trouble: bool, record: &Arc<Record>) -> Result<Vec<String>, String> {
    const GAP: f64 = 1.3;
    let mut platform = Platform::start(root, 10_000, 3_000, record);
    platform.site.stop_ms = 200;
    let zones = ["gent-hal", "brugge-hal", "antwerpen-hal", "leuven-hal"];
    for at in 0..8 {
        platform.add_worker(zones[at % 4], "a", &format!("r{}-1", at % 4));
    }
    platform.configure(1, vec![route_of("r-ride", PREFIX, 3, false)]);
    // A deployment with hosts of 0.12 to 0.5 cores: the first is a small one, the others are added.
    let mut hosts = vec![platform.host("edge-gent-hal-1", zones[0], "0.12", "10")];
    wait_for("the first host", seconds(15.0), || hosts[0].is_ready() && hosts[0].holds())?;
    for (at, zone) in zones.iter().enumerate().skip(1) {
        hosts.push(platform.host(&format!("edge-{zone}-{at}"), zone, "0.5", "200"));
    }
    wait_for("all hosts", seconds(15.0), || hosts.iter().all(Host::is_ready))?;
    thread::sleep(seconds(1.5));
    let id = "5c0e7a21d94b36f8";
    let step = json::object(vec![
        ("count", json::number(4)),
        ("cpu", json::number(2_000)),
        ("mem_mb", json::number(1_024)),
        ("estimate_ms", json::number(16_000)),
        ("anti_affinity", json::number(1)),
    ]);
    let work = Work {
        cpu: 2_000,
        mem_mb: 1_024,
        run_ms: 16_000,
        more_us: 0,
        failing_runs: 0,
        needs_ticket: false,
    };
    platform.submit(hosts[0].front, PREFIX, id, vec![(step, work)])?;
    let running = || platform.workers.iter().map(|worker| worker.running()).sum::<usize>();
    wait_for("all tasks to run", seconds(10.0), || running() == 4)?;
    thread::sleep(seconds(2.0));
    if trouble {
        if holder(&hosts) != Some(0) {
            return Err("the small host doesn't schedule".to_owned());
        }
        let busy = platform.workers.iter().find(|worker| worker.running() > 0);
        let cut = Arc::clone(busy.ok_or("no busy worker")?);
        record.say(&format!("{} is cut off from all hosts and runs on", cut.id));
        cut.cut.store(true, Ordering::Relaxed);
        let cut_at = Instant::now();
        thread::sleep(seconds(0.1));
        let stopped_at = Instant::now();
        hosts[0].terminate();
        wait_for("a second holder", seconds(4.0), || holder(&hosts[1..]).is_some())?;
        let second = 1 + holder(&hosts[1..]).ok_or("no holder")?;
        record.say(&format!("{} schedules", hosts[second].name));
        thread::sleep(seconds(GAP).saturating_sub(stopped_at.elapsed()));
        hosts[second].terminate();
        for at in [0, second] {
            hosts[at].wait_ended(seconds(6.0));
            hosts[at].begin();
        }
        thread::sleep(seconds(7.5).saturating_sub(cut_at.elapsed()));
        cut.cut.store(false, Ordering::Relaxed);
        record.say(&format!("{} is reached again", cut.id));
    }
    let front = hosts[3].front;
    platform.wait_final(front, PREFIX, id, seconds(60.0));
    drop(hosts);
    Ok(judge::twice(&record.events()))
}

/// The host that schedules freezes shortly before many small tasks end on one worker.
fn ends(root: &Path, trouble: bool, record: &Arc<Record>) -> Result<Vec<String>, String> {
    const TASKS: u64 = 900;
    let mut platform = Platform::start(root, 6_000, 2_000, record);
    let zones = ["gent-hal", "brugge-hal", "antwerpen-hal"];
    for at in 0..4 {
        let kind = if at == 0 { "b" } else { "a" };
        platform.add_worker(zones[at % 3], kind, &format!("r{}-1", at % 3));
    }
    platform.configure(1, vec![route_of("r-ride", PREFIX, 3, false)]);
    let hosts: Vec<Host> = zones
        .iter()
        .map(|zone| platform.host(&format!("edge-{zone}-1"), zone, "0.25", "1000"))
        .collect();
    wait_for("all hosts", seconds(15.0), || hosts.iter().all(Host::is_ready))?;
    wait_for("a holder", seconds(15.0), || holder(&hosts).is_some())?;
    thread::sleep(seconds(1.5));
    let id = "5c0e7a21d94b36f8";
    let step = json::object(vec![
        ("count", json::number(TASKS)),
        ("cpu", json::number(10)),
        ("mem_mb", json::number(16)),
        ("estimate_ms", json::number(6_000)),
        ("requirements", json::text("b")),
    ]);
    let work = Work {
        cpu: 10,
        mem_mb: 16,
        run_ms: 5_500,
        more_us: 1_400,
        failing_runs: 0,
        needs_ticket: false,
    };
    platform.submit(hosts[0].front, PREFIX, id, vec![(step, work)])?;
    let worker = Arc::clone(&platform.workers[0]);
    wait_for("the first task to run", seconds(10.0), || worker.running() > 0)?;
    let begun_at = Instant::now();
    wait_for("all tasks to run", seconds(4.0), || worker.running() as u64 == TASKS)?;
    record.say("all tasks run");
    if trouble {
        let frozen = holder(&hosts).ok_or("no holder")?;
        thread::sleep(seconds(5.4).saturating_sub(begun_at.elapsed()));
        hosts[frozen].freeze();
        thread::sleep(seconds(3.5));
        hosts[frozen].wake();
    }
    platform.wait_final(hosts[0].front, PREFIX, id, seconds(40.0));
    drop(hosts);
    Ok(judge::twice(&record.events()))
}

/// Two routes are removed while a job of each is under way, and come back later as they were.
fn route(root: &Path, trouble: bool, record: &Arc<Record>) -> Result<Vec<String>, String> {
    const ATTEMPTS: u64 = 4;
    const FINISH: f64 = 14.0;
    let mut platform = Platform::start(root, 6_000, 2_000, record);
    let zones = ["gent-hal", "brugge-hal", "antwerpen-hal"];
    for at in 0..6 {
        platform.add_worker(zones[at % 3], "a", &format!("r{}-1", at % 3));
    }
    let all = || {
        vec![
            route_of("r-ride", PREFIX, ATTEMPTS, false),
            route_of("r-fare", "/fare/", ATTEMPTS, true),
            route_of("r-watch", "/watch/", ATTEMPTS, false),
        ]
    };
    platform.configure(1, all());
    let hosts: Vec<Host> = zones
        .iter()
        .map(|zone| platform.host(&format!("edge-{zone}-1"), zone, "0.25", "1000"))
        .collect();
    wait_for("all hosts", seconds(15.0), || hosts.iter().all(Host::is_ready))?;
    wait_for("a holder", seconds(15.0), || holder(&hosts).is_some())?;
    thread::sleep(seconds(1.5));
    let front = hosts[0].front;
    let step = |count, after: Option<u64>| {
        json::object(vec![
            ("count", json::number(count)),
            ("cpu", json::number(1_000)),
            ("mem_mb", json::number(512)),
            ("estimate_ms", json::number(1_500)),
            ("after", Json::List(after.map(json::number).into_iter().collect())),
        ])
    };
    let work = Work {
        cpu: 1_000,
        mem_mb: 512,
        run_ms: 1_500,
        more_us: 0,
        failing_runs: 0,
        needs_ticket: false,
    };
    let (failing, advised) = ("5c0e7a21d94b36f8", "7d1f8b32ea5c4709");
    // Its task fails three times, and would be done in its fourth run.
    let fails = Work { failing_runs: ATTEMPTS - 1, ..work.clone() };
    platform.submit(front, PREFIX, failing, vec![(step(1, None), fails)])?;
    let ticket = Work { needs_ticket: true, ..work };
    let steps = vec![(step(1, None), ticket.clone()), (step(2, Some(0)), ticket)];
    platform.submit(front, "/fare/", advised, steps)?;
    thread::sleep(seconds(0.5));
    let left = if trouble { vec![route_of("r-watch", "/watch/", ATTEMPTS, false)] } else { all() };
    platform.configure(5, left);
    thread::sleep(seconds(FINISH));
    platform.configure(9, all());
    thread::sleep(seconds(2.5));
    let ended = platform.state(front, PREFIX, failing);
    record.say(&format!("job {failing} is shown as {ended}"));
    platform.wait_final(front, "/fare/", advised, seconds(20.0));
    drop(hosts);
    let events = record.events();
    let mut breaks = Vec::new();
    if let Some((since, idle_ms)) = judge::longest_idle(&events, advised, 3) {
        breaks.push(format!(
            "LOST: job {advised} runs nothing for {idle_ms} ms from {since} ms on, though a task's \
             turn has come and most of the service is idle; {} starts were turned away for their \
             ticket",
            judge::refusals(&events, advised, "ticket")
        ));
    }
    let failures = judge::ends(&events, failing, "failed");
    if ended == "failed" && failures < ATTEMPTS {
        breaks.push(format!(
            "LOST: job {failing} is shown as failed after {failures} ends `failed` of its task, \
             where max_attempts is {ATTEMPTS} in each configuration that has its queue"
        ));
    }
    Ok(breaks)
}
