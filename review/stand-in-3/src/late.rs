//! A worker leaves an order to start unanswered, crashes, and is back under its id when the order is
//! carried out.

use std::io;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::worker::{Size, Work};
use crate::world::{Place, World};

/// Workers, of which one is disturbed.
const WORKERS: usize = 8;
/// How long after it was sent an order without an answer is carried out: 2 to 12 s on our pages.
const LATENESS: Duration = Duration::from_millis(4_500);
/// When the worker crashes, from the first order on.
const CRASH_AT: Duration = Duration::from_millis(3_300);
/// How long it is down.
const DOWN_TIME: Duration = Duration::from_millis(1_000);
/// How long after its start its first heartbeat reaches the store; it writes one every 1.1 s.
const LISTED_AFTER: Duration = Duration::from_millis(1_000);
/// How long the job's task takes.
const TASK_TIME: Duration = Duration::from_secs(10);
/// The id of the job.
const JOB: &str = "1a7e000000000001";

/// Plays the case.
///
/// TWICE: two runs of one task at once, on workers that are up.
pub fn play(place: &Place, trouble: bool) -> io::Result<bool> {
    let mut world = World::start(place, WORKERS, 3)?;
    thread::sleep(Duration::from_secs(2));
    // All eight may get the order; the first one that does is disturbed.
    let receivers: Vec<mpsc::Receiver<http::Request>> = if trouble {
        (0..WORKERS).map(|at| world.worker(at).leave_unanswered()).collect()
    } else {
        Vec::new()
    };
    world.sent.add(JOB, Work { time: Some(TASK_TIME), size: Size { cpu: 1_000, mem_mb: 100 } });
    let body = "{\"spec\":\"settle\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":100,\"estimate_ms\":10000}]}";
    if world.clients()[0].submit("fare", JOB, body) != Some(200) {
        return Err(io::Error::other("the job was not accepted"));
    }
    if trouble {
        return disturb(&mut world, &receivers);
    }
    Ok(watch(&world, TASK_TIME + Duration::from_secs(3)))
}

/// Disturbs the worker that gets the order; returns whether the rule held.
fn disturb(world: &mut World, receivers: &[mpsc::Receiver<http::Request>]) -> io::Result<bool> {
    let end = Instant::now() + Duration::from_secs(10);
    let mut first = None;
    while first.is_none() && Instant::now() < end {
        let orders = receivers.iter().enumerate();
        first = orders.filter_map(|(at, orders)| Some((at, orders.try_recv().ok()?))).next();
        thread::sleep(Duration::from_millis(1));
    }
    let Some((at, order)) = first else {
        return Err(io::Error::other("no order was given"));
    };
    let sent = Instant::now();
    for other in (0..WORKERS).filter(|other| *other != at) {
        world.worker(other).answer_again();
    }
    world.record.tell(&format!("worker {at} leaves the order unanswered"));
    thread::sleep(CRASH_AT.saturating_sub(sent.elapsed()));
    world.crash_worker(at);
    thread::sleep(DOWN_TIME);
    world.return_worker(at, LISTED_AFTER)?;
    thread::sleep(LATENESS.saturating_sub(sent.elapsed()));
    world.worker(at).carry_out(&order);
    Ok(watch(world, Duration::from_secs(12)))
}

/// Watches the task for a while; returns whether it never ran on two workers at once.
fn watch(world: &World, time: Duration) -> bool {
    let began = Instant::now();
    let look = Duration::from_millis(2);
    let mut twice = Duration::ZERO;
    while began.elapsed() < time {
        if world.count_runs(&format!("{JOB}.0.0.0")) > 1 {
            twice += look;
        }
        thread::sleep(look);
    }
    let (state, twice_ms) = (world.clients()[0].state("fare", JOB), twice.as_millis());
    world.record.tell(&format!("state {state:?}; the task ran on two workers for {twice_ms} ms"));
    twice.is_zero()
}
