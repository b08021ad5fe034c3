//! The cases that are played with processes.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{CouldNotRun, Fleet, Queue};

/// Whether a rule held.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// It did.
    Held,
    /// It was broken, and how.
    Broken(String),
}

/// Plays a case by its name; without trouble, it does the same without the disruption.
pub fn play(name: &str, trouble: bool, record: &Path) -> Result<Verdict, CouldNotRun> {
    match name {
        "crashed-workers" => crashed_workers(trouble, record),
        "own-load" => own_load(trouble, record),
        "cancelled-in-doubt" => cancelled_in_doubt(trouble, record),
        _ => Err(CouldNotRun(format!("no case {name}"))),
    }
}

/// Writes the verdict into the record.
fn conclude(fleet: &Fleet, verdict: Verdict) -> Verdict {
    fleet.log.line(&format!("verdict: {verdict:?}"));
    verdict
}

/// One worker in eight crashes, five times one after the other, each time the one that runs the job.
fn crashed_workers(trouble: bool, record: &Path) -> Result<Verdict, CouldNotRun> {
    /// How often a worker crashes.
    const CRASHES: u32 = 5;
    /// How long the task runs before its worker crashes.
    const RUNS_FOR: Duration = Duration::from_millis(2_500);
    /// How long a crashed worker is down; the site file has 4.5 s at most.
    const DOWN_FOR: Duration = Duration::from_millis(2_000);
    const JOB: &str = "5c0e7a21d94b36f8";
    const PATH: &str = "/watch/5c0e7a21d94b36f8";
    let queues = [Queue { name: "watch", priority: 0, max_attempts: 4 }];
    let mut fleet = Fleet::start(8, 3, &queues, record)?;
    let body = "{\"spec\":\"lasts cpu=4000\",\"steps\":[{\"count\":1,\"cpu\":4000,\"mem_mb\":1000,\
                \"estimate_ms\":400,\"long_running\":true}]}";
    fleet.submit(PATH, body)?;
    let mut crashes = 0;
    let latest = Instant::now() + Duration::from_secs(80);
    while crashes < CRASHES && Instant::now() < latest {
        let end = Instant::now() + Duration::from_secs(20);
        let mut found = None;
        while found.is_none() && Instant::now() < end {
            thread::sleep(Duration::from_millis(100));
            found = fleet.worker_of(JOB);
        }
        let Some(worker) = found else {
            fleet.log.line("the task runs nowhere");
            break;
        };
        thread::sleep(RUNS_FOR);
        crashes += 1;
        if trouble {
            fleet.crash(worker);
        }
        thread::sleep(DOWN_FOR);
        if trouble {
            fleet.restart(worker)?;
        }
    }
    thread::sleep(Duration::from_secs(4));
    let states: Vec<String> = (0..3).map(|host| fleet.state(host, PATH)).collect();
    fleet.quote_host_logs(&["job failed", "worker lost under a task"]);
    if states.iter().any(|state| state == "failed") {
        let why = "the job is shown as failed, and no run of it has ended as failed";
        return Ok(conclude(&fleet, Verdict::Broken(why.to_owned())));
    }
    Ok(conclude(&fleet, Verdict::Held))
}

/// The tasks that serve are over their target by their own load.
fn own_load(trouble: bool, record: &Path) -> Result<Verdict, CouldNotRun> {
    const JOB: &str = "6d1f8b32ea5c4709";
    const PATH: &str = "/rebuild/6d1f8b32ea5c4709";
    let queues = [
        Queue { name: "watch", priority: 0, max_attempts: 4 },
        Queue { name: "rebuild", priority: 2, max_attempts: 3 },
    ];
    let fleet = Fleet::start(4, 3, &queues, record)?;
    let tail = if trouble { 40 } else { 15 };
    let body = format!(
        "{{\"spec\":\"serves={tail} cpu=4000\",\"steps\":[{{\"count\":4,\"cpu\":4000,\
         \"mem_mb\":1000,\"estimate_ms\":400,\"long_running\":true,\"anti_affinity\":1,\
         \"image\":\"watch\",\"target_ms\":25}}]}}"
    );
    fleet.submit("/watch/5c0e7a21d94b36f8", &body)?;
    fleet.wait_until("all tasks serve", || (0..4).all(|at| !fleet.tasks_on(at).is_empty()))?;
    thread::sleep(Duration::from_secs(6));
    let body = "{\"spec\":\"work=1000 fills cpu=2000\",\"steps\":[{\"count\":2,\"cpu\":2000,\
                \"mem_mb\":500,\"estimate_ms\":1000,\"image\":\"rebuild\",\"fills\":true}]}";
    fleet.submit(PATH, body)?;
    let (began, mut ran) = (Instant::now(), false);
    let mut state = String::new();
    while began.elapsed() < Duration::from_secs(30) && state != "completed" {
        ran |= fleet.worker_of(JOB).is_some();
        thread::sleep(Duration::from_millis(500));
        state = fleet.state(1, PATH);
    }
    fleet.quote_host_logs(&["task waits", "started a starving task"]);
    if !ran && state != "completed" {
        let why = "the job has run nothing for 30 s, with three quarters of the processors free";
        return Ok(conclude(&fleet, Verdict::Broken(why.to_owned())));
    }
    Ok(conclude(&fleet, Verdict::Held))
}

/// A host is cut from the store while a client hands a job in there; the client then cancels it.
fn cancelled_in_doubt(trouble: bool, record: &Path) -> Result<Verdict, CouldNotRun> {
    /// How long the host is cut from the store; the site file has 5.5 s at most.
    const CUT_FOR: Duration = Duration::from_millis(5_500);
    /// The bound of the rule, `cancel_ms`.
    const CANCEL_TIME: Duration = Duration::from_millis(3_000);
    const JOB: &str = "7e2a9c43fb6d581a";
    const PATH: &str = "/rebuild/7e2a9c43fb6d581a";
    let queues = [Queue { name: "rebuild", priority: 2, max_attempts: 3 }];
    let fleet = Fleet::start(4, 3, &queues, record)?;
    let body = "{\"spec\":\"work=3000 cpu=2000\",\"steps\":[{\"count\":2,\"cpu\":2000,\
                \"mem_mb\":500,\"estimate_ms\":3000}]}";
    let cut_host = fleet.host_without_lease()?;
    let other_host = (cut_host + 1) % fleet.hosts.len();
    let began = Instant::now();
    if trouble {
        fleet.cut_from_store(cut_host, true);
    }
    // Later in the cut it is likelier that the host has no open connection left that it would use.
    thread::sleep(Duration::from_millis(10));
    let submitted = fleet.client(cut_host, ("POST", PATH), body, Duration::from_millis(3_000));
    let cancelled = fleet.client(other_host, ("DELETE", PATH), "", Duration::from_millis(3_000));
    let acknowledged = Instant::now();
    if cancelled.status.is_none_or(|status| status != 410 && !(200..300).contains(&status)) {
        return Err(CouldNotRun(format!("the cancel had no answer: {submitted:?} {cancelled:?}")));
    }
    thread::sleep(CUT_FOR.saturating_sub(began.elapsed()));
    if trouble {
        fleet.cut_from_store(cut_host, false);
    }
    let mut started_after = None;
    while acknowledged.elapsed() < Duration::from_secs(12) {
        let after = acknowledged.elapsed();
        if started_after.is_none() && fleet.worker_of(JOB).is_some() {
            started_after = Some(after);
        }
        thread::sleep(Duration::from_millis(50));
    }
    fleet.state(other_host, PATH);
    let late = started_after.filter(|after| *after > CANCEL_TIME);
    let verdict = late.map_or(Verdict::Held, |after| {
        let (status, after_ms) = (cancelled.status.unwrap_or(0), after.as_millis());
        Verdict::Broken(format!("a task runs {after_ms} ms after its cancel was answered {status}"))
    });
    Ok(conclude(&fleet, verdict))
}
