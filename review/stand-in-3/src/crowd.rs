//! One client that the platform does not control submits many jobs that can never be done, each
//! inside the limits, while ordinary clients go on.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::host::MEMORY_MB;
use crate::worker::{Size, Work};
use crate::world::{JobClient, Place, World};

/// How long ordinary clients submit jobs.
const DAY: Duration = Duration::from_secs(60);
/// When the crowd begins.
const CROWD_AT: Duration = Duration::from_secs(5);
/// How long it submits at most.
const CROWD_TIME: Duration = Duration::from_secs(30);
/// How long after its last request the crowd counts as a disturbance: a choked link counts for 5 s
/// after the press, and `contact_ms` is 3 s.
const CALM_AFTER: Duration = Duration::from_secs(8);
/// How long a job with room for it may run nothing.
const MAX_IDLE: Duration = Duration::from_secs(3);
/// How many connections the crowd has.
const CONNECTIONS: usize = 6;
/// After how long an ended process is started again.
const RESTART_AFTER: Duration = Duration::from_secs(1);

/// What the crowd submits.
#[derive(Clone, Copy, Debug)]
enum Crowd {
    /// Jobs of many steps, each step with a label of its own that no worker has.
    Labels,
    /// Jobs of one step with many tasks, and a label that no worker has.
    Tasks,
}

impl Crowd {
    /// Returns the number of its jobs.
    fn jobs(self) -> usize {
        match self {
            Crowd::Labels => 1_000,
            Crowd::Tasks => 2_500,
        }
    }

    /// Returns the body of one of its jobs.
    fn body(self, job: usize) -> String {
        let step = |count: usize, label: &str| {
            format!(
                "{{\"count\":{count},\"cpu\":100,\"mem_mb\":10,\"estimate_ms\":1000,\
                 \"requirements\":\"{label}\"}}"
            )
        };
        let steps = match self {
            Crowd::Labels => {
                let steps = (0..64).map(|at| step(1, &format!("kind-{job}-{at}")));
                steps.collect::<Vec<_>>().join(",")
            }
            Crowd::Tasks => step(1_000, "kind-z"),
        };
        format!("{{\"spec\":\"crowd\",\"steps\":[{steps}]}}")
    }
}

/// An ordinary job.
#[derive(Debug)]
struct Ordinary {
    /// Its id.
    id: String,
    /// When it was accepted.
    accepted: Instant,
}

/// A thousand jobs of 64 steps, each step with a label of its own.
pub fn labels(place: &Place, trouble: bool) -> io::Result<bool> {
    let world = World::start(place, 6, 3)?;
    play(world, Crowd::Labels, trouble)
}

/// 2,500 jobs of a thousand tasks.
pub fn memory(place: &Place, trouble: bool) -> io::Result<bool> {
    let world = World::start(place, 6, 3)?;
    play(world, Crowd::Tasks, trouble)
}

/// Plays ordinary clients beside a crowd; returns whether the rules held.
fn play(mut world: World, crowd: Crowd, trouble: bool) -> io::Result<bool> {
    let began = Instant::now();
    let crowd_over = Arc::new(AtomicBool::new(!trouble));
    let mut submitting = Vec::new();
    let mut crowd_ended = if trouble { None } else { Some(began) };
    let mut ordinary = Vec::new();
    let mut clients = world.clients();
    let mut keeper = Keeper::new(clients.len());
    let mut next_job = began;
    while began.elapsed() < DAY {
        if trouble && submitting.is_empty() && began.elapsed() >= CROWD_AT {
            submitting = start_crowd(&world, crowd, &crowd_over);
        }
        if crowd_ended.is_none() && crowd_over.load(Ordering::SeqCst) {
            crowd_ended = Some(Instant::now());
            world
                .record
                .tell(&format!("the crowd ended at {:.1} s", began.elapsed().as_secs_f64()));
        }
        keeper.keep(&mut world)?;
        if Instant::now() >= next_job {
            next_job += Duration::from_secs(1);
            ordinary.extend(submit_ordinary(&world, &mut clients, ordinary.len()));
        }
        thread::sleep(Duration::from_millis(20));
    }
    for thread in submitting {
        let _ = thread.join();
    }
    let calm = crowd_ended.map(|ended| ended + CALM_AFTER);
    judge(&world, &ordinary, calm, &keeper)
}

/// Starts the crowd's connections.
fn start_crowd(world: &World, crowd: Crowd, over: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<()>> {
    world.record.tell("the crowd begins");
    let counted = Arc::new(());
    let connection = |at: usize| {
        let mut clients = world.clients();
        let (over, counted) = (Arc::clone(over), Arc::clone(&counted));
        thread::spawn(move || {
            let began = Instant::now();
            for job in (at..crowd.jobs()).step_by(CONNECTIONS) {
                if began.elapsed() > CROWD_TIME {
                    break;
                }
                let id = format!("{:016x}", 0xbad0_0000_0000_0000_u64 + job as u64);
                let hosts = clients.len();
                // A client asks another host if one does not answer.
                for attempt in 0..3 {
                    let status =
                        clients[(at + attempt) % hosts].submit("fare", &id, &crowd.body(job));
                    if status == Some(200) {
                        break;
                    }
                }
            }
            // The last connection that is done ends the crowd.
            if Arc::strong_count(&counted) == 1 {
                over.store(true, Ordering::SeqCst);
            }
            drop(counted);
        })
    };
    let threads: Vec<_> = (0..CONNECTIONS).map(connection).collect();
    drop(counted);
    threads
}

/// Submits an ordinary job, at another host if one does not answer; returns it if it was accepted.
fn submit_ordinary(world: &World, clients: &mut [JobClient], number: usize) -> Option<Ordinary> {
    let id = format!("{:016x}", 0x600d_0000_0000_0000_u64 + number as u64);
    let size = Size { cpu: 1_000, mem_mb: 100 };
    world.sent.add(&id, Work { time: Some(Duration::from_millis(500)), size });
    let body = "{\"spec\":\"ride\",\"steps\":[{\"count\":4,\"cpu\":1000,\"mem_mb\":100,\"estimate_ms\":500}]}";
    let hosts = clients.len();
    let mut accepted =
        (0..hosts).map(|at| clients[(number + at) % hosts].submit("ride", &id, body));
    let accepted = accepted.any(|status| status == Some(200));
    accepted.then(|| Ordinary { id, accepted: Instant::now() })
}

/// Judges the day: LOST, if an ordinary job ran nothing for 3 s in calm while the workers were idle;
/// and the fault of processes that end by themselves, three times on two machines.
fn judge(
    world: &World,
    ordinary: &[Ordinary],
    calm: Option<Instant>,
    keeper: &Keeper,
) -> io::Result<bool> {
    let Some(calm) = calm else {
        return not_judged(keeper.holds(world), "the crowd did not end in time");
    };
    let end = Instant::now();
    let judged: Vec<&Ordinary> = ordinary
        .iter()
        .filter(|job| job.accepted >= calm && job.accepted + MAX_IDLE < end)
        .collect();
    let idle = |job: &&&Ordinary| {
        let began = world.sent.began(&job.id).unwrap_or(end);
        began.saturating_duration_since(job.accepted) > MAX_IDLE
    };
    let lost = judged.iter().filter(idle).count();
    let never = judged.iter().filter(|job| world.sent.began(&job.id).is_none()).count();
    world.record.tell(&format!(
        "{} ordinary jobs accepted, {} of them in calm; of those {lost} ran nothing for over 3 s, and \
         {never} nothing at all",
        ordinary.len(),
        judged.len(),
    ));
    let keeps = keeper.holds(world);
    if judged.is_empty() {
        return not_judged(keeps, "no ordinary job was accepted in calm");
    }
    Ok(lost == 0 && keeps)
}

/// Returns the verdict where LOST can't be judged: only the rule of ended processes may be broken.
fn not_judged(keeps: bool, why: &'static str) -> io::Result<bool> {
    if keeps { Err(io::Error::other(why)) } else { Ok(false) }
}

/// Ends processes that take more memory than their machine has, as the platform does, and starts
/// ended ones again.
#[derive(Debug)]
struct Keeper {
    /// When the process of each host is started again.
    restarts: Vec<Option<Instant>>,
    /// How often the process of each host took more memory than its machine has.
    over_memory: Vec<u32>,
    /// The most memory that the process of each host took, in megabytes.
    most_mb: Vec<u64>,
}

impl Keeper {
    /// Creates the keeper of some hosts.
    fn new(hosts: usize) -> Self {
        Self { restarts: vec![None; hosts], over_memory: vec![0; hosts], most_mb: vec![0; hosts] }
    }

    /// Looks after all hosts once.
    fn keep(&mut self, world: &mut World) -> io::Result<()> {
        for at in 0..self.restarts.len() {
            match self.restarts[at] {
                Some(due) if Instant::now() >= due => {
                    self.restarts[at] = None;
                    world.restart_host(at)?;
                }
                Some(_) => {}
                None => self.look(world, at),
            }
        }
        Ok(())
    }

    /// Looks after a host whose process runs.
    fn look(&mut self, world: &mut World, at: usize) {
        let mb = world.memory_mb(at);
        self.most_mb[at] = self.most_mb[at].max(mb);
        if mb > MEMORY_MB {
            self.over_memory[at] += 1;
            world.record.tell(&format!("entry-{at} takes {mb} MB of {MEMORY_MB} MB and is killed"));
            world.kill_host(at);
            self.restarts[at] = Some(Instant::now() + RESTART_AFTER);
        } else if world.has_host_ended(at) {
            world.record.tell(&format!("the process of entry-{at} has ended by itself"));
            self.restarts[at] = Some(Instant::now() + RESTART_AFTER);
        }
    }

    /// Returns whether fewer than two machines had their process end three times for its memory.
    fn holds(&self, world: &World) -> bool {
        let (over, most) = (&self.over_memory, &self.most_mb);
        world
            .record
            .tell(&format!("over the memory, by host: {over:?} times; at most {most:?} MB"));
        over.iter().filter(|times| **times >= 3).count() < 2
    }
}
