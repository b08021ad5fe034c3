//! A worker that runs tasks under a lease, by a clock of its own.

use std::collections;
use std::time;

use wharflane::{id, job, size};

/// The longest lease that it grants.
pub const HOLD_MAX: time::Duration = time::Duration::from_secs(6);
/// How long a stop takes.
pub const STOP: time::Duration = time::Duration::from_millis(300);

/// How long after it shrank a room may be overfilled: the time in which a host counts as in touch, and a beat.
const ROOM_KNOWN: time::Duration = time::Duration::from_millis(3_000 + 1_100);

/// A run on a worker.
#[derive(Clone, Debug)]
struct Run {
    /// The number of the start.
    run: u32,
    /// When it began.
    began: time::Duration,
    /// When it ends by itself; nothing for one that lasts.
    ends: Option<time::Duration>,
    /// Whether it fails at its end.
    fails: bool,
    /// When a stop takes effect.
    stops: Option<time::Duration>,
    /// What it takes.
    size: size::Size,
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// This incarnation.
    pub incarnation: id::Incarnation,
    /// Whether it lives.
    pub alive: bool,
    /// Whether it can be reached.
    pub reachable: bool,
    /// Whether the store lists it.
    pub listed: bool,
    /// Whether another incarnation answers at its address.
    pub replaced: bool,
    /// When it was out of reach last.
    pub cut: time::Duration,
    /// Whether everything it starts fails at once.
    pub fails_all: bool,
    /// How fast its clock goes, in thousandths.
    pub clock_milli: u32,
    /// What its clock showed at the beginning, in milliseconds.
    pub clock_from_ms: u64,
    /// What it has.
    pub capacity: size::Size,
    /// Whether it refuses what does not fit.
    pub guards: bool,
    /// When its room shrank last.
    pub shrunk: Option<time::Duration>,
    /// The hall that it stands in.
    pub hall: id::HallId,
    /// Starts that brought it over its room, though that was known for long enough.
    pub overfilled: Vec<job::TaskId>,
    /// The highest epoch seen.
    epoch: u64,
    /// Until when its tasks may run, by its clock.
    lease_until_ms: u64,
    /// What runs.
    runs: collections::BTreeMap<job::TaskId, Run>,
    /// The highest run of each task that was stopped or ended here.
    over: collections::BTreeMap<job::TaskId, u32>,
    /// Ends that were not acknowledged.
    ended: Vec<job::Ended>,
    /// The number of the last end.
    number: u64,
    /// The last end that lies before a lapse of the lease: acknowledging it proves nothing, since
    /// a holder may have given the task to another worker meanwhile.
    pub stale: u64,
}

/// How a task behaves.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// How long its work takes; nothing for one that lasts.
    pub work: Option<time::Duration>,
    /// Whether it fails at its end.
    pub fails: bool,
    /// What it takes.
    pub size: size::Size,
}

impl Worker {
    /// Makes a worker with nothing on it.
    #[must_use]
    pub fn new(incarnation: id::Incarnation, capacity: size::Size, clock_milli: u32) -> Self {
        Self {
            incarnation,
            alive: true,
            reachable: true,
            listed: true,
            replaced: false,
            cut: time::Duration::ZERO,
            fails_all: false,
            clock_milli,
            clock_from_ms: 100_000,
            capacity,
            guards: true,
            shrunk: None,
            hall: "hall".into(),
            overfilled: Vec::new(),
            epoch: 0,
            lease_until_ms: 0,
            runs: collections::BTreeMap::new(),
            over: collections::BTreeMap::new(),
            ended: Vec::new(),
            number: 0,
            stale: 0,
        }
    }

    /// Returns whether an order or a look means this worker: they name it by the id, which its incarnations share.
    #[must_use]
    pub fn is_meant(&self, incarnation: &id::Incarnation) -> bool {
        incarnation.worker == self.incarnation.worker
    }

    /// Returns what its clock shows.
    #[must_use]
    pub fn clock_ms(&self, now: time::Duration) -> u64 {
        let passed = now * self.clock_milli / 1_000;
        self.clock_from_ms + u64::try_from(passed.as_millis()).unwrap_or(0)
    }

    /// Returns what runs here.
    pub fn running(&self) -> impl Iterator<Item = (job::TaskId, u32)> + '_ {
        self.runs.iter().map(|(task, run)| (*task, run.run))
    }

    /// Returns since when each run is here.
    pub fn since(&self) -> impl Iterator<Item = (job::TaskId, time::Duration)> + '_ {
        self.runs.iter().map(|(task, run)| (*task, run.began))
    }

    /// Returns the ends that were not acknowledged.
    #[must_use]
    pub fn ended(&self) -> &[job::Ended] {
        &self.ended
    }

    /// Returns how many ends were not acknowledged.
    #[must_use]
    pub fn open_ends(&self) -> usize {
        self.ended.len()
    }

    /// Takes an order to start; the second part tells whether a run began.
    pub fn start(
        &mut self,
        start: &job::Start,
        behaviour: Behaviour,
        now: time::Duration,
    ) -> (job::StartAnswer, bool) {
        let refuse = |why| (job::StartAnswer::Refused(why), false);
        let (task, number) = (start.order.task, start.order.run);
        if !self.is_meant(&start.order.worker) {
            return (job::StartAnswer::Gone, false);
        }
        if start.order.epoch < self.epoch {
            return refuse(job::StartRefusal::Fenced);
        }
        self.epoch = start.order.epoch;
        if start.lease_until_ms <= self.clock_ms(now) {
            return refuse(job::StartRefusal::Late);
        }
        self.extend(start.lease_until_ms, now);
        if self.runs.get(&task).is_some_and(|run| run.run == number) {
            return (job::StartAnswer::Taken, false);
        }
        let newest = self.runs.get(&task).map(|run| run.run).max(self.over.get(&task).copied());
        if newest.is_some_and(|newest| newest >= number) {
            return refuse(job::StartRefusal::Old);
        }
        let used = self.runs.values().fold(behaviour.size, |sum, run| sum.plus(&run.size));
        if !used.fits(&self.capacity) && self.guards {
            return refuse(job::StartRefusal::Room);
        }
        let known = self.shrunk.is_none_or(|at| now >= at + ROOM_KNOWN);
        if !used.fits(&self.capacity) && known {
            self.overfilled.push(task);
        }
        let work = if self.fails_all { Some(time::Duration::ZERO) } else { behaviour.work };
        let run = Run {
            run: number,
            began: now,
            ends: work.map(|work| now + work),
            fails: behaviour.fails || self.fails_all,
            stops: None,
            size: behaviour.size,
        };
        self.runs.insert(task, run);
        (job::StartAnswer::Taken, true)
    }

    /// Takes an order to stop, and returns whether the run is there.
    pub fn stop(&mut self, order: &job::Order, now: time::Duration) -> bool {
        if !self.is_meant(&order.worker) || order.epoch < self.epoch {
            return false;
        }
        self.epoch = order.epoch;
        let run = self.runs.get_mut(&order.task).filter(|run| run.run == order.run);
        run.map(|run| run.stops.get_or_insert(now + STOP)).is_some()
    }

    /// Answers a look.
    pub fn handle_heartbeat(
        &mut self,
        heartbeat: &job::Heartbeat,
        now: time::Duration,
    ) -> job::HeartbeatAnswer {
        if !self.is_meant(&heartbeat.worker) {
            return job::HeartbeatAnswer::Gone;
        }
        if heartbeat.epoch < self.epoch {
            return job::HeartbeatAnswer::Fenced;
        }
        self.epoch = heartbeat.epoch;
        if let Some(lease_until_ms) = heartbeat.lease_until_ms {
            self.extend(lease_until_ms, now);
        }
        self.ended.retain(|ended| ended.number > heartbeat.seen);
        let running = self.runs.iter().map(|(task, run)| job::Running {
            task: *task,
            run: run.run,
            percent: 50,
            load: 0,
        });
        job::HeartbeatAnswer::Lists(job::Lists {
            born_ms: self.incarnation.born_ms,
            clock_ms: self.clock_ms(now),
            running: running.collect(),
            ended: self.ended.clone(),
        })
    }

    /// Lets what is due end, and kills everything once the lease is over.
    pub fn tick(&mut self, now: time::Duration) {
        let lapsed = self.clock_ms(now) >= self.lease_until_ms;
        if lapsed {
            self.stale = self.number;
        }
        let mut over = Vec::new();
        for (task, run) in &self.runs {
            let kind = if run.stops.is_some_and(|at| at <= now) {
                job::EndKind::Stopped
            } else if run.ends.is_some_and(|at| at <= now) {
                if run.fails { job::EndKind::Failed } else { job::EndKind::Done }
            } else if lapsed {
                job::EndKind::Lapsed
            } else {
                continue;
            };
            over.push((*task, run.run, kind));
        }
        for (task, run, kind) in over {
            self.runs.remove(&task);
            self.over.insert(task, run);
            self.number += 1;
            let number = self.number;
            self.ended.push(job::Ended { number, task, run, kind, checkpoint: String::new() });
        }
    }

    /// Extends the lease; it never gets shorter and never longer than allowed.
    fn extend(&mut self, lease_until_ms: u64, now: time::Duration) {
        let most = self.clock_ms(now) + u64::try_from(HOLD_MAX.as_millis()).unwrap_or(0);
        self.lease_until_ms = self.lease_until_ms.max(lease_until_ms.min(most));
    }
}
