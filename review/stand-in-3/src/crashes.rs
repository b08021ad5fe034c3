//! Workers crash one at a time, each under the same task.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::worker::{Size, Work};
use crate::world::{Place, World};

/// Workers, of which one crashes at a time: an eighth, where the site file has 0.14.
const WORKERS: usize = 8;
/// How long a crashed worker is down, as in the site file.
const DOWN_TIME: Duration = Duration::from_millis(4_500);
/// How often the runs are looked at.
const LOOK: Duration = Duration::from_millis(20);
/// The id of the job.
const JOB: &str = "c0ffee0000000001";
/// The queue of the job.
const QUEUE: &str = "ride";

/// How often the worker of a lasting task crashes.
const CRASHES: usize = 5;
/// How long a lasting task has run when its worker crashes.
const RUN_TIME: Duration = Duration::from_millis(2_000);
/// How often one worker goes down and up by turns.
const FLAPS: usize = 4;
/// How long that worker is up, and down, each time.
const FLAP_TIMES: (Duration, Duration) = (Duration::from_millis(700), Duration::from_millis(2_000));

/// A task that lasts has its worker crash five times; then nothing happens any more.
///
/// LOST: each task that lasts, from 6 s after its last run, runs for 3 s nothing while there is
/// room; the 3 s and the 4 s before them are calm.
pub fn lasting(place: &Place, trouble: bool) -> io::Result<bool> {
    let mut world = World::start(place, WORKERS, 3)?;
    let step = "\"count\":1,\"cpu\":3200,\"mem_mb\":1000,\"estimate_ms\":500,\"long_running\":true";
    submit(&world, step, None)?;
    crash_under_task(&mut world, trouble)?;
    // 3 s until the hosts are in touch again, and the calm 4 s.
    let mut away = Duration::ZERO;
    thread::sleep(Duration::from_secs(7));
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(30) {
        let running = world.worker_of(&task()).is_some();
        thread::sleep(LOOK);
        away = if running { Duration::ZERO } else { away + LOOK };
    }
    let state = world.clients()[0].state(QUEUE, JOB);
    let away_s = away.as_secs_f64();
    world
        .record
        .tell(&format!("state {state:?}; the task has run nothing for the last {away_s:.1} s"));
    Ok(away < Duration::from_secs(3))
}

/// One worker goes down and up by turns while a batch task waits to be run; then nothing happens any
/// more.
///
/// LOST: the job is shown as `failed` without cause (only ends `failed` count as attempts).
pub fn batch(place: &Place, trouble: bool) -> io::Result<bool> {
    let mut world = World::start(place, WORKERS, 3)?;
    let step = "\"count\":1,\"cpu\":3200,\"mem_mb\":1000,\"estimate_ms\":4000";
    submit(&world, step, Some(Duration::from_secs(4)))?;
    flap_worker(&mut world, trouble)?;
    let mut clients = world.clients();
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(50) {
        let state = clients[0].state(QUEUE, JOB).map(|(_, body)| body).unwrap_or_default();
        if state.contains("failed") {
            world.record.tell(&format!("state {state}, and no run has ended failed"));
            return Ok(false);
        }
        if state.contains("completed") {
            world.record.tell(&format!("state {state}"));
            return Ok(true);
        }
        thread::sleep(Duration::from_secs(1));
    }
    Err(io::Error::other("the job has not ended"))
}

/// Returns the name of the job's only task.
fn task() -> String {
    format!("{JOB}.0.0.0")
}

/// Submits the job with one step and waits until its task runs.
fn submit(world: &World, step: &str, time: Option<Duration>) -> io::Result<()> {
    world.sent.add(JOB, Work { time, size: Size { cpu: 3_200, mem_mb: 1_000 } });
    let body = format!("{{\"spec\":\"watch\",\"steps\":[{{{step}}}]}}");
    match world.clients()[0].submit(QUEUE, JOB, &body) {
        Some(200) => Ok(()),
        status => Err(io::Error::other(format!("the job was answered {status:?}"))),
    }
}

/// Crashes the worker of the task again and again, each time once the task has run for a while, and
/// starts it again.
fn crash_under_task(world: &mut World, trouble: bool) -> io::Result<()> {
    for number in 1..=CRASHES {
        let end = Instant::now() + Duration::from_secs(10);
        let Some(at) = wait_until_running(world, RUN_TIME, end) else {
            world.record.tell(&format!("the task did not run before crash {number}"));
            break;
        };
        if trouble {
            world.record.tell(&format!("crash {number}, of worker {at}"));
            world.crash_worker(at);
            thread::sleep(DOWN_TIME);
            world.restart_worker(at)?;
        }
    }
    Ok(())
}

/// Lets the worker on which the task was started first go down and up by turns, whatever runs there.
fn flap_worker(world: &mut World, trouble: bool) -> io::Result<()> {
    let (up, down) = FLAP_TIMES;
    let end = Instant::now() + Duration::from_secs(10);
    let Some(at) = wait_until_running(world, Duration::ZERO, end) else {
        return Err(io::Error::other("the task was not started"));
    };
    for number in 1..=FLAPS {
        thread::sleep(up);
        if trouble {
            world.record.tell(&format!("crash {number} of worker {at}"));
            world.crash_worker(at);
            thread::sleep(down);
            world.restart_worker(at)?;
        }
    }
    Ok(())
}

/// Waits until the task has run on one worker for some time; returns that worker.
fn wait_until_running(world: &World, time: Duration, end: Instant) -> Option<usize> {
    let mut since: Option<(usize, Instant)> = None;
    while Instant::now() < end {
        match (world.worker_of(&task()), since) {
            (Some(at), Some((before, began))) if at == before => {
                if began.elapsed() >= time {
                    return Some(at);
                }
            }
            (Some(at), _) => since = Some((at, Instant::now())),
            (None, _) => since = None,
        }
        thread::sleep(LOOK);
    }
    None
}
