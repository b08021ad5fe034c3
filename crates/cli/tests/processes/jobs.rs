//! The job service with hosts as separate processes, over the platform's protocol.

use std::fs;
use std::net;
use std::time;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use wharflane::{job, size};
use wharflane_caller::job as caller;
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::server;

use crate::fleet;

cases! {
    jobs_handed_in_run_to_their_end => fleet::run(whole_path()),
    jobs_end_once_when_holders_are_killed => fleet::run(killed_holders()),
    jobs_are_kept_when_all_hosts_die_after_the_answer => fleet::run(all_killed()),
    a_submission_whose_write_had_no_answer_is_one_job => fleet::run(lost_answers()),
    a_busy_store_means_not_taken_and_when_to_come_back => fleet::run(busy_store()),
    a_silent_store_means_not_known_within_half_of_the_callers_time => fleet::run(silent_store()),
    a_bad_job_is_refused_with_a_reason_and_nothing_is_kept => fleet::run(bad_jobs()),
    a_cancelled_job_stops => fleet::run(cancelled()),
    a_submission_in_doubt_is_read_back => fleet::run(read_back()),
    a_host_that_lost_the_store_refuses_at_once => fleet::run(store_lost()),
    jobs_end_once_on_workers_that_restart_under_their_id => fleet::run(restarted_workers()),
    jobs_that_want_advice_run_only_where_they_may => fleet::run(advised()),
    a_count_without_a_living_writer_is_not_told => fleet::run(frozen_writer()),
    all_who_ask_for_a_count_behind_a_silent_store_are_answered => fleet::run(many_askers()),
    callers_of_a_busy_store_are_sent_off_for_different_times => fleet::run(spread()),
    a_write_in_doubt_stays_so_when_the_store_turns_the_next_away => fleet::run(doubt_stays()),
    a_hang_up_ends_nothing => fleet::run(hang_up()),
    the_command_line_hands_in_and_follows_jobs => fleet::run(command_line()),
}

/// How long a call may take.
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// How long a task's work takes.
const WORK: time::Duration = time::Duration::from_millis(300);

/// How long a lease must stand unchanged until a host takes it.
const LEASE_MS: u64 = 1_500;
/// The same for a host that is to take none while a test runs.
const LEASE_OF_A_WATCHER_MS: u64 = 60_000;
/// How old a count may be that a caller is told.
const COUNT_AGE: time::Duration = time::Duration::from_secs(2);

/// Hosts that run the job service on one platform.
pub(crate) struct Service {
    /// The platform.
    pub(crate) platform: server::Platform,
    /// The hosts, with where callers reach each.
    hosts: Vec<(fleet::Process, net::SocketAddr)>,
    /// Where operators reach each.
    pub(crate) operators: Vec<net::SocketAddr>,
    /// Where settings lie.
    folder: tempfile::TempDir,
}

impl Service {
    /// Starts a platform with three workers, and hosts.
    pub(crate) async fn start(hosts: usize) -> Self {
        let platform = server::Platform::start(3, WORK).await.expect("a platform");
        let folder = tempfile::tempdir().expect("a folder");
        let mut service = Self { platform, hosts: Vec::new(), operators: Vec::new(), folder };
        (0..hosts).for_each(|_| service.add_host(LEASE_MS));
        for host in 0..hosts {
            service.until_answers(host).await;
        }
        service
    }

    /// Waits until a host has a configuration.
    async fn until_answers(&self, host: usize) {
        let jobs = self.jobs(host);
        fleet::until("an answer", async || jobs.waiting(server::QUEUE).await.is_ok()).await;
    }

    /// Starts one more host, which takes a lease that stood unchanged for so long.
    fn add_host(&mut self, lease_ms: u64) {
        let [caller, operator, peer] = [fleet::free_port(), fleet::free_port(), fleet::free_port()];
        self.operators.push(operator);
        let name = format!("host-{}", self.hosts.len());
        let (store, advisor) = (self.platform.store, self.platform.advisor);
        let text = format!(
            "host = \"{name}\"\nhall = \"hall\"\n[listen]\ncaller = \"{caller}\"\n\
             operator = \"{operator}\"\npeer = \"{peer}\"\n[jobs]\nstore = \"{store}\"\nadvisor = \"{advisor}\"\n\
             lease_ms = {lease_ms}\n[log]\nlevel = \"warn\"\n"
        );
        let path = self.folder.path().join(format!("{name}.toml"));
        fs::write(&path, text).expect("settings written");
        let path = path.display().to_string();
        self.hosts.push((fleet::spawn("wharflaned", &["--config", &path]), caller));
    }

    /// Kills a host.
    pub(crate) fn kill(&mut self, host: usize) {
        self.hosts[host].0.kill();
    }

    /// Returns a client of one of the hosts.
    pub(crate) fn jobs(&self, host: usize) -> caller::Jobs {
        caller::Jobs::new(self.hosts[host].1, TIMEOUT)
    }

    /// Hands a job of two steps in and lets the judge know of it.
    pub(crate) async fn submit(&self, host: usize, id: u64) -> job::JobId {
        let id = job::JobId(id);
        self.note(id, two_steps());
        // A caller that is told that nothing is known asks again, as it is told to.
        fleet::until("the job accepted", async || {
            match self.jobs(host).submit(server::QUEUE, id, &two_steps()).await {
                Ok(told) => told == caller::JobReply::Accepted,
                Err(caller::JobError::Refused { status: 504, .. }) => false,
                Err(err) => panic!("{err}"),
            }
        })
        .await;
        id
    }

    /// Lets the judge know of a job.
    fn note(&self, id: job::JobId, submission: caller::Submission) {
        let job = job::Job {
            queue: server::QUEUE.to_owned(),
            service: "service".into(),
            spec: submission.spec,
            steps: submission.steps,
            repeats: submission.repeats,
        };
        self.platform.lock().judge.jobs.insert(id, job);
    }

    /// Waits until a job is told to have come to a phase.
    pub(crate) async fn until(&self, host: usize, id: job::JobId, phase: job::Phase) {
        let jobs = self.jobs(host);
        fleet::until("the phase", async || {
            let told = jobs.state(server::QUEUE, id).await;
            matches!(told, Ok(caller::JobReply::State(found)) if found == phase)
        })
        .await;
    }

    /// Checks that nothing was broken and that so many tasks were started.
    pub(crate) fn judge(&self, starts: u64) {
        let state = self.platform.lock();
        assert_eq!(state.judge.breaches, Vec::new());
        assert_eq!(state.judge.starts, starts);
    }
}

/// Returns a job of two steps with five tasks.
fn two_steps() -> caller::Submission {
    let size = size::Size { cpu_milli: 300, mem_mb: 100, accelerators: 0 };
    let first = job::Step { count: 3, size, ..job::Step::default() };
    let second = job::Step { count: 2, size, after: vec![0], ..job::Step::default() };
    caller::Submission { spec: "spec".to_owned(), steps: vec![first, second], repeats: None }
}

/// Hands jobs in at both hosts and sees them completed at both.
async fn whole_path() {
    let service = Service::start(2).await;
    for id in 1..=6 {
        service.submit(usize::from(id % 2 == 0), id).await;
    }
    for id in 1..=6 {
        service.until(0, job::JobId(id), job::Phase::Completed).await;
        service.until(1, job::JobId(id), job::Phase::Completed).await;
    }
    let told = service.jobs(0).waiting(server::QUEUE).await.expect("an answer");
    assert_eq!(told, caller::JobReply::Waiting(0));
    service.judge(30);
}

/// Hands jobs in, restarts each worker under its id, and hands jobs in again: ends of the new incarnations are numbered like those
/// of the incarnations before, and what they tell is news.
async fn restarted_workers() {
    /// The workers of the platform.
    const WORKERS: usize = 3;
    let service = Service::start(2).await;
    for id in 1..=3 {
        service.submit(0, id).await;
        service.until(0, job::JobId(id), job::Phase::Completed).await;
    }
    (0..WORKERS).for_each(|at| service.platform.restart_worker(at));
    for id in 4..=6 {
        service.submit(1, id).await;
        service.until(1, job::JobId(id), job::Phase::Completed).await;
    }
    service.judge(30);
}

/// Hands jobs in to a queue whose tasks only some workers may run.
async fn advised() {
    let service = Service::start(2).await;
    service.platform.lock().advice = true;
    service.platform.configure(2);
    for id in 1..=3 {
        service.submit(0, id).await;
    }
    for id in 1..=3 {
        service.until(1, job::JobId(id), job::Phase::Completed).await;
    }
    assert!(service.platform.lock().questions > 0, "the service was asked");
    service.judge(15);
}

/// Hands a job in once the store has been silent for longer than a moment, and once it is back.
async fn store_lost() {
    let service = Service::start(1).await;
    service.platform.lock().faults.store_silent = true;
    // A feed that was open before goes on for 1.5 s.
    tokio::time::sleep(time::Duration::from_millis(3_500)).await;
    let told = service.jobs(0).submit(server::QUEUE, job::JobId(1), &two_steps()).await;
    let refused = matches!(told, Err(caller::JobError::Refused { status: 503, .. }));
    assert!(refused, "{told:?}");
    service.platform.lock().faults.store_silent = false;
    fleet::until("the store found again", async || {
        let told = service.jobs(0).submit(server::QUEUE, job::JobId(1), &two_steps()).await;
        matches!(told, Ok(caller::JobReply::Accepted))
    })
    .await;
}

/// Loses the answers to all writes: the row tells that a submission stands.
async fn read_back() {
    let service = Service::start(1).await;
    service.platform.lock().faults.lose_every = 1;
    let told = service.jobs(0).submit(server::QUEUE, job::JobId(1), &two_steps()).await;
    assert_eq!(told.expect("an answer"), caller::JobReply::Accepted);
}

/// Kills one host after the other while jobs run.
async fn killed_holders() {
    let mut service = Service::start(3).await;
    for id in 1..=4 {
        service.submit(2, id).await;
    }
    for host in 0..2 {
        service.hosts[host].0.kill();
        service.submit(2, 10 + host as u64).await;
        tokio::time::sleep(WORK).await;
    }
    for id in [1, 2, 3, 4, 10, 11] {
        service.until(2, job::JobId(id), job::Phase::Completed).await;
    }
    let state = service.platform.lock();
    assert_eq!(state.judge.breaches, Vec::new());
}

/// Kills every host right after an answer, and starts others.
async fn all_killed() {
    let mut service = Service::start(2).await;
    let id = service.submit(0, 7).await;
    for (process, _) in &mut service.hosts {
        process.kill();
    }
    service.add_host(LEASE_MS);
    let last = service.hosts.len() - 1;
    service.until_answers(last).await;
    service.until(last, id, job::Phase::Completed).await;
    service.judge(5);
}

/// Loses the answer of every third transaction, and hands every job in twice.
async fn lost_answers() {
    let service = Service::start(2).await;
    service.platform.lock().faults.lose_every = 3;
    for id in 1..=4 {
        service.submit(0, id).await;
        service.submit(1, id).await;
    }
    for id in 1..=4 {
        service.until(0, job::JobId(id), job::Phase::Completed).await;
    }
    service.judge(20);
}

/// Hands a job in while the store turns every call away.
async fn busy_store() {
    let service = Service::start(1).await;
    service.platform.lock().faults.store_busy = true;
    let told = service.jobs(0).submit(server::QUEUE, job::JobId(1), &two_steps()).await;
    let refused = matches!(told, Err(caller::JobError::Refused { status: 503, .. }));
    assert!(refused, "{told:?}");
    service.platform.lock().faults.store_busy = false;
    let told = service.jobs(0).state(server::QUEUE, job::JobId(1)).await;
    let gone = matches!(told, Err(caller::JobError::Refused { status: 410, .. }));
    assert!(gone, "{told:?}");
    service.judge(0);
}

/// Hands a job in while the store takes calls and never answers.
///
/// The host's own time for a caller that names none is 3 s: it tells that nothing is known by one
/// and a half, long before the client's own 5 s.
async fn silent_store() {
    let service = Service::start(1).await;
    service.platform.lock().faults.store_silent = true;
    let client = caller::Jobs::new(service.hosts[0].1, time::Duration::from_secs(2));
    let told = client.submit(server::QUEUE, job::JobId(1), &two_steps()).await;
    let unknown = matches!(told, Err(caller::JobError::Refused { status: 504, .. }));
    assert!(unknown, "{told:?}");
    service.judge(0);
}

/// Hands in jobs that can't be taken.
async fn bad_jobs() {
    let service = Service::start(1).await;
    let mut empty = two_steps();
    empty.steps.clear();
    let mut backwards = two_steps();
    backwards.steps[0].after = vec![1];
    let mut long = two_steps();
    long.spec = "x".repeat(job::MAX_SPEC_BYTES + 1);
    let mut wide = two_steps();
    wide.steps[0].count = u32::MAX;
    for (id, (bad, why)) in [
        (empty, "at least one step"),
        (backwards, "not an earlier one"),
        (long, "bytes long"),
        (wide, "tasks are more"),
    ]
    .into_iter()
    .enumerate()
    {
        let id = job::JobId(id as u64);
        let told = service.jobs(0).submit(server::QUEUE, id, &bad).await;
        let Err(caller::JobError::Refused { status: 400, title }) = told else {
            panic!("{told:?}");
        };
        assert!(title.contains(why), "{title}");
        let state = service.jobs(0).state(server::QUEUE, id).await;
        assert!(matches!(state, Err(caller::JobError::Refused { status: 410, .. })), "{state:?}");
    }
    let told = service.jobs(0).submit("nowhere", job::JobId(9), &two_steps()).await;
    assert!(matches!(told, Err(caller::JobError::Refused { status: 404, .. })), "{told:?}");
}

/// Cancels a job that lasts.
async fn cancelled() {
    let service = Service::start(2).await;
    let mut lasting = two_steps();
    lasting.steps.truncate(1);
    lasting.steps[0].lasting = true;
    let id = job::JobId(3);
    service.note(id, lasting.clone());
    let told = service.jobs(0).submit(server::QUEUE, id, &lasting).await.expect("an answer");
    assert_eq!(told, caller::JobReply::Accepted);
    let running = async || {
        let state = service.platform.lock();
        state.workers.iter().map(|worker| worker.running().count()).sum::<usize>()
    };
    fleet::until("three at work", async || running().await == 3).await;
    let told = service.jobs(1).cancel(server::QUEUE, id).await.expect("an answer");
    assert_eq!(told, caller::JobReply::Cancelled);
    fleet::until("none at work", async || running().await == 0).await;
    service.until(0, id, job::Phase::Cancelled).await;
    service.judge(3);
}

/// Freezes the holder, hands a job in at another host, and asks there how many wait once every count of the
/// holder is older than callers are promised.
///
/// Callers were told that no job waits while seven had waited for 5 s. The holder's host had become several
/// times slower, and accepted jobs stood in an ever longer queue of events before the holder. The cause: every
/// host believed the row of counts however old it was and however far its writer lagged, since nothing in
/// the row told how old the truth behind it is. What proved it is the trace of that day: commits 1 to 2 s
/// apart, and the count of 0 in force while jobs waited. A frozen holder is the same case without chance.
async fn frozen_writer() {
    let mut service = Service::start(1).await;
    service.add_host(LEASE_OF_A_WATCHER_MS);
    service.until_answers(1).await;
    service.hosts[0].0.signal("-STOP");
    let id = service.submit(1, 9).await;
    tokio::time::sleep(2 * COUNT_AGE).await;
    let told = service.jobs(1).waiting(server::QUEUE).await;
    let known = matches!(&told, Ok(caller::JobReply::Waiting(1)));
    let not_known = matches!(&told, Err(caller::JobError::Refused { status: 503, .. }));
    assert!(known || not_known, "{told:?}");
    service.hosts[0].0.signal("-CONT");
    service.until(1, id, job::Phase::Completed).await;
    let jobs = service.jobs(1);
    fleet::until("a count", async || {
        matches!(jobs.waiting(server::QUEUE).await, Ok(caller::JobReply::Waiting(0)))
    })
    .await;
    service.judge(5);
}

/// Lets many callers ask at once how many jobs wait while the store takes calls and never answers.
///
/// A read of the store is given up after 0.8 s. One read after the other would take longer than the callers'
/// 5 s, and the host's own time for a caller that names none is 3 s.
async fn many_askers() {
    /// More than there are reads in a caller's time.
    const ASKERS: usize = 12;
    let service = Service::start(1).await;
    service.platform.lock().faults.store_silent = true;
    // What was read before may be told for as long as a count may be old.
    tokio::time::sleep(COUNT_AGE).await;
    let mut askers = tokio::task::JoinSet::new();
    for _ in 0..ASKERS {
        let jobs = service.jobs(0);
        askers.spawn(async move { jobs.waiting(server::QUEUE).await });
    }
    for told in askers.join_all().await {
        let refused = matches!(&told, Err(caller::JobError::Refused { status: 503, .. }));
        assert!(refused, "{told:?}");
    }
}

/// Hands a job in with so much time, and returns the status and for how many seconds the caller is sent off.
async fn sent_off(host: net::SocketAddr, id: u64, patience_ms: u64) -> (u16, u64) {
    let body = serde_json::to_string(&two_steps()).expect("a body");
    let request = format!(
        "POST /jobs/{}/{} HTTP/1.1\r\nhost: host\r\nconnection: close\r\n{}: {patience_ms}\r\n\
         content-length: {}\r\n\r\n{body}",
        server::QUEUE,
        job::JobId(id),
        server::DEADLINE_HEADER,
        body.len()
    );
    let mut stream = tokio::net::TcpStream::connect(host).await.expect("a connection");
    stream.write_all(request.as_bytes()).await.expect("a request sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.expect("an answer");
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
    let after =
        text.lines().find_map(|line| line.strip_prefix("retry-after: ")?.trim().parse().ok());
    (status.expect("a status"), after.expect("when to come back"))
}

/// Hands jobs in while the store turns every call away, until callers are sent off for each time that there is.
async fn spread() {
    /// The longest time, in seconds.
    const MOST: u64 = 3;
    /// What a patient caller allows, and one whose time would be over by the longest.
    const PATIENT_MS: u64 = 10_000;
    const HURRIED_MS: u64 = 3_000;
    let service = Service::start(1).await;
    let host = service.hosts[0].1;
    service.platform.lock().faults.store_busy = true;
    let mut told = [0_u64; MOST as usize];
    let mut id = 0;
    fleet::until("every time told", async || {
        id += 1;
        let (status, after) = sent_off(host, id, PATIENT_MS).await;
        assert_eq!(status, 503);
        assert!((1..=MOST).contains(&after), "{after} s");
        told[usize::try_from(after - 1).expect("small")] += 1;
        let (status, after) = sent_off(host, id, HURRIED_MS).await;
        assert_eq!(status, 503);
        assert!((1..MOST).contains(&after), "{after} s of {HURRIED_MS} ms");
        told.iter().all(|count| *count > 0)
    })
    .await;
    service.platform.lock().faults.store_busy = false;
    let state = service.jobs(0).state(server::QUEUE, job::JobId(id)).await;
    assert!(matches!(state, Err(caller::JobError::Refused { status: 410, .. })), "{state:?}");
    service.judge(0);
}

/// Hands a job in while the store is silent, and lets the store turn calls away once it has the write.
async fn doubt_stays() {
    let mut service = Service::start(1).await;
    service.add_host(LEASE_OF_A_WATCHER_MS);
    service.until_answers(1).await;
    // The holder writes too, and only submissions are to be seen.
    service.hosts[0].0.signal("-STOP");
    tokio::time::sleep(WORK).await;
    service.platform.lock().faults.store_silent = true;
    let before = service.platform.lock().unanswered;
    let jobs = service.jobs(1);
    let submission = two_steps();
    let submit = jobs.submit(server::QUEUE, job::JobId(1), &submission);
    let turn_away = async {
        fleet::until("the write", async || service.platform.lock().unanswered > before).await;
        let mut state = service.platform.lock();
        state.faults.store_busy = true;
        state.faults.store_silent = false;
    };
    let (told, ()) = tokio::join!(submit, turn_away);
    let unknown = matches!(told, Err(caller::JobError::Refused { status: 504, .. }));
    assert!(unknown, "{told:?}");
    service.hosts[0].0.signal("-CONT");
}

/// Sends hang-ups to a host while it runs jobs.
async fn hang_up() {
    let service = Service::start(1).await;
    let id = service.submit(0, 8).await;
    for _ in 0..3 {
        service.hosts[0].0.signal("-HUP");
    }
    service.until(0, id, job::Phase::Completed).await;
    service.judge(5);
}

/// Runs the command line against a host.
async fn command_line() {
    let service = Service::start(1).await;
    let path = service.folder.path().join("job.toml");
    let text = "spec = \"spec\"\n[[steps]]\ncount = 2\n\
                size = { cpu_milli = 300, mem_mb = 100, accelerators = 0 }\n";
    fs::write(&path, text).expect("a job file");
    let submission: caller::Submission = toml::from_str(text).expect("a job");
    service.note(job::JobId(5), submission);
    let (host, file) = (service.hosts[0].1.to_string(), path.display().to_string());
    let id = "0000000000000005";
    let run = async |args: &[&str]| {
        let mut all = vec!["job"];
        all.extend(args);
        all.extend(["--host", &host]);
        let output = fleet::output("wharflane", &all).await;
        String::from_utf8_lossy(&output.stdout).trim().to_owned()
    };
    assert_eq!(run(&["submit", "work", id, &file]).await, "\"accepted\"");
    service.until(0, job::JobId(5), job::Phase::Completed).await;
    assert_eq!(run(&["state", "work", id]).await, "{\"state\":\"completed\"}");
    assert_eq!(run(&["list", "work"]).await, "{\"waiting\":0}");
    assert_eq!(run(&["cancel", "work", id]).await, "\"cancelled\"");
    service.judge(2);
}
