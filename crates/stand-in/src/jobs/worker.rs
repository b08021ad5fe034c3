//! Simulates a worker that runs tasks under a lease, measured by its own clock.

use std::collections;
use std::time;

use wharflane::{id, job, size};

use super::beside;

/// The longest lease that a worker grants, unless a plan sets another.
pub const MAX_LEASE: time::Duration = time::Duration::from_secs(6);
/// The maximum number of ended runs in one list; the others follow once these are acknowledged.
pub const MAX_LISTED_ENDS: usize = 500;
/// How long a run takes to stop after the order.
pub const STOP_DELAY: time::Duration = time::Duration::from_millis(300);

/// The time after a worker's capacity shrank in which a start may still overcommit it: the 3 s for
/// which a host counts as in contact, and the interval between two reports.
const CAPACITY_KNOWN_AFTER: time::Duration = time::Duration::from_millis(3_000 + 1_100);

/// A run on a worker.
#[derive(Clone, Debug)]
struct Run {
    /// The number of the run.
    run: u32,
    /// When the run began.
    began: time::Duration,
    /// When the run ends by itself; absent for a long-running task.
    ends_at: Option<time::Duration>,
    /// Whether it fails when it ends by itself.
    fails: bool,
    /// When an ordered stop takes effect; absent without an order.
    stops_at: Option<time::Duration>,
    /// The capacity that it uses.
    size: size::Size,
    /// What the task is to the others on the worker.
    role: Role,
    /// The share of full speed at which it works, in percent.
    share_percent: u8,
    /// When the share last changed, and the work that was left then, at full speed.
    work_left: (time::Duration, time::Duration),
}

/// What a task is to the others on its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// It neither disturbs others nor is disturbed.
    #[default]
    Plain,
    /// It serves users, with a target for its tail latency, in milliseconds.
    Serving(u64),
    /// It is a best-effort task, which reserves no CPU and disturbs those that serve; it would use
    /// this much, in thousandths of a core.
    BestEffort(u64),
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The id and birth of this incarnation.
    pub incarnation: id::Incarnation,
    /// Whether its process is alive.
    pub alive: bool,
    /// Whether hosts can reach it.
    pub reachable: bool,
    /// Since when hosts can't reach it, its earlier incarnations included; absent if they can.
    pub cut_since: Option<time::Duration>,
    /// Whether the store has its entry.
    pub listed: bool,
    /// Whether its entry has lapsed, so that it is to be listed again if it lives.
    pub lapsed: bool,
    /// Whether another incarnation under another id answers at its address.
    pub address_reused: bool,
    /// When it was last unreachable.
    pub last_unreachable: time::Duration,
    /// From when the answers to calls that it carries out are lost; absent if they arrive.
    pub answers_lost_from: Option<time::Duration>,
    /// Whether every task that it starts fails at once.
    pub fails_every_task: bool,
    /// The speed of its clock, in thousandths of virtual time.
    pub clock_milli: u32,
    /// When its clock had the first reading.
    pub clock_began: time::Duration,
    /// The first reading of its clock, in milliseconds.
    pub clock_from_ms: u64,
    /// The longest lease that it grants.
    pub longest_lease: time::Duration,
    /// The capacity that it offers to tasks.
    pub capacity: size::Size,
    /// Whether it refuses starts that exceed its capacity.
    pub checks_capacity: bool,
    /// When its capacity last shrank.
    pub shrunk_at: Option<time::Duration>,
    /// Whether it reports progress that changes, instead of a constant one.
    pub reports_progress: bool,
    /// How much a serving task is disturbed if best-effort tasks use the whole CPU of the worker.
    pub interference: f64,
    /// The hall of the worker.
    pub hall: id::HallId,
    /// Tasks whose start overcommitted it although the holder had known its capacity for long
    /// enough.
    pub overcommitted: Vec<job::TaskId>,
    /// The highest epoch seen, its fencing token.
    epoch: u64,
    /// When its lease expires, by its own clock.
    lease_until_ms: u64,
    /// The number of heartbeats that requested a lease.
    pub renewals: u64,
    /// The runs in progress, by task.
    runs: collections::BTreeMap<job::TaskId, Run>,
    /// The highest number of an ended run of each task.
    ended_runs: collections::BTreeMap<job::TaskId, u32>,
    /// Ended runs that no holder has acknowledged.
    ended: Vec<job::Ended>,
    /// The number of the last ended run.
    last_end: u64,
    /// The last ended run before its lease last expired. An acknowledgement of it does not prove
    /// that the holder accepted this end, since the holder may have assigned the task to another
    /// worker meanwhile.
    pub stale_upto: u64,
}

/// How a task behaves when it runs.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// How long its work takes; absent for a long-running task.
    pub work: Option<time::Duration>,
    /// Whether it fails when it ends by itself.
    pub fails: bool,
    /// The capacity that it uses.
    pub size: size::Size,
}

impl Worker {
    /// Creates a worker without any runs.
    #[must_use]
    pub fn new(incarnation: id::Incarnation, capacity: size::Size, clock_milli: u32) -> Self {
        Self {
            incarnation,
            alive: true,
            reachable: true,
            cut_since: None,
            listed: true,
            lapsed: false,
            address_reused: false,
            last_unreachable: time::Duration::ZERO,
            answers_lost_from: None,
            fails_every_task: false,
            clock_milli,
            clock_began: time::Duration::ZERO,
            clock_from_ms: 100_000,
            longest_lease: MAX_LEASE,
            capacity,
            checks_capacity: true,
            shrunk_at: None,
            reports_progress: false,
            interference: 0.0,
            hall: "hall".into(),
            overcommitted: Vec::new(),
            epoch: 0,
            lease_until_ms: 0,
            renewals: 0,
            runs: collections::BTreeMap::new(),
            ended_runs: collections::BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            stale_upto: 0,
        }
    }

    /// Returns the next incarnation of this worker: it has the same id and settings and no
    /// other state of this one, and its clock begins at zero.
    #[must_use]
    pub fn next_incarnation(&self, born_ms: u64, now: time::Duration) -> Self {
        let worker = self.incarnation.worker.clone();
        let incarnation = id::Incarnation { worker, born_ms: Some(born_ms) };
        Self {
            clock_from_ms: 0,
            clock_began: now,
            longest_lease: self.longest_lease,
            reports_progress: self.reports_progress,
            ..Self::new(incarnation, self.capacity, self.clock_milli)
        }
    }

    /// Returns whether calls that arrive are answered.
    #[must_use]
    pub fn answers(&self) -> bool {
        self.alive && self.reachable
    }

    /// Returns whether an order or heartbeat reaches this worker: messages carry its id, which all
    /// of its incarnations share.
    #[must_use]
    pub fn has_same_id(&self, incarnation: &id::Incarnation) -> bool {
        incarnation.worker == self.incarnation.worker
    }

    /// Returns the time of its clock, in milliseconds.
    #[must_use]
    pub fn clock_ms(&self, now: time::Duration) -> u64 {
        let passed = now.saturating_sub(self.clock_began) * self.clock_milli / 1_000;
        self.clock_from_ms + u64::try_from(passed.as_millis()).unwrap_or(0)
    }

    /// Returns the tasks that run here, with the number of each run.
    pub fn running(&self) -> impl Iterator<Item = (job::TaskId, u32)> + '_ {
        self.runs.iter().map(|(task, run)| (*task, run.run))
    }

    /// Returns the tasks that run here, with the time at which each run began.
    pub fn run_starts(&self) -> impl Iterator<Item = (job::TaskId, time::Duration)> + '_ {
        self.runs.iter().map(|(task, run)| (*task, run.began))
    }

    /// Returns the tasks that run here, with role and share in percent.
    pub fn roles(&self) -> impl Iterator<Item = (job::TaskId, Role, u8)> + '_ {
        self.runs.iter().map(|(task, run)| (*task, run.role, run.share_percent))
    }

    /// Sets the role of a run that has just begun.
    pub fn set_role(&mut self, task: job::TaskId, role: Role) {
        if let Some(run) = self.runs.get_mut(&task) {
            run.role = role;
        }
    }

    /// Changes the share of a run in progress.
    pub fn set_share(&mut self, change: &job::SetShare, now: time::Duration) {
        let order = &change.order;
        if !self.has_same_id(&order.worker) || order.epoch < self.epoch {
            return;
        }
        let run = self.runs.get_mut(&order.task).filter(|run| run.run == order.run);
        let Some(run) = run else {
            return;
        };
        let (since, left) = run.work_left;
        let left = beside::work_left(left, now.saturating_sub(since), run.share_percent);
        run.work_left = (now, left);
        run.share_percent = change.percent;
        if run.ends_at.is_some() {
            let rest = (left * 100).checked_div(u32::from(change.percent));
            run.ends_at = Some(rest.map_or(time::Duration::MAX, |rest| now + rest));
        }
    }

    /// Makes a run fail at the next tick.
    pub fn fail_run(&mut self, task: job::TaskId, now: time::Duration) {
        if let Some(run) = self.runs.get_mut(&task) {
            run.ends_at = Some(now);
            run.fails = true;
        }
    }

    /// Returns the capacity that its runs reserve; best-effort tasks reserve no CPU.
    #[must_use]
    pub fn reserved(&self) -> size::Size {
        self.runs.values().fold(size::Size::default(), |sum, run| sum.plus(&run.size))
    }

    /// Returns the ended runs that were not acknowledged.
    #[must_use]
    pub fn ended(&self) -> &[job::Ended] {
        &self.ended
    }

    /// Returns how many ended runs were not acknowledged.
    #[must_use]
    pub fn unacknowledged_ends(&self) -> usize {
        self.ended.len()
    }

    /// Handles an order to start; the second value is true if a run began.
    pub fn start(
        &mut self,
        start: &job::Start,
        behaviour: Behaviour,
        now: time::Duration,
    ) -> (job::StartAnswer, bool) {
        let refuse = |why| (job::StartAnswer::Refused(why), false);
        let (task, number) = (start.order.task, start.order.run);
        if !self.has_same_id(&start.order.worker) {
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
            return (self.taken(now), false);
        }
        let newest =
            self.runs.get(&task).map(|run| run.run).max(self.ended_runs.get(&task).copied());
        if newest.is_some_and(|newest| newest >= number) {
            return refuse(job::StartRefusal::Old);
        }
        let used = behaviour.size.plus(&self.reserved());
        if !used.fits(&self.capacity) && self.checks_capacity {
            return refuse(job::StartRefusal::Room);
        }
        let capacity_known = self.shrunk_at.is_none_or(|at| now >= at + CAPACITY_KNOWN_AFTER);
        if !used.fits(&self.capacity) && capacity_known {
            self.overcommitted.push(task);
        }
        let work = if self.fails_every_task { Some(time::Duration::ZERO) } else { behaviour.work };
        let run = Run {
            run: number,
            began: now,
            ends_at: work.map(|work| now + work),
            fails: behaviour.fails || self.fails_every_task,
            stops_at: None,
            size: behaviour.size,
            role: Role::Plain,
            share_percent: 100,
            work_left: (now, work.unwrap_or_default()),
        };
        self.runs.insert(task, run);
        (self.taken(now), true)
    }

    /// Returns the answer to a start whose run is in progress here.
    fn taken(&self, now: time::Duration) -> job::StartAnswer {
        job::StartAnswer::Taken { clock_ms: Some(self.clock_ms(now)) }
    }

    /// Handles an order to stop, and returns whether the run is in progress here.
    pub fn stop(&mut self, order: &job::Order, now: time::Duration) -> bool {
        if !self.has_same_id(&order.worker) || order.epoch < self.epoch {
            return false;
        }
        self.epoch = order.epoch;
        let run = self.runs.get_mut(&order.task).filter(|run| run.run == order.run);
        run.map(|run| run.stops_at.get_or_insert(now + STOP_DELAY)).is_some()
    }

    /// Answers a heartbeat: drops acknowledged ended runs, extends the lease and lists all runs.
    pub fn handle_heartbeat(
        &mut self,
        heartbeat: &job::Heartbeat,
        now: time::Duration,
    ) -> job::HeartbeatAnswer {
        if !self.has_same_id(&heartbeat.worker) {
            return job::HeartbeatAnswer::Gone;
        }
        if heartbeat.epoch < self.epoch {
            return job::HeartbeatAnswer::Fenced;
        }
        self.epoch = heartbeat.epoch;
        if let Some(lease_until_ms) = heartbeat.lease_until_ms {
            self.extend(lease_until_ms, now);
            self.renewals += 1;
        }
        self.ended.retain(|ended| ended.number > heartbeat.acknowledged_end);
        let running = self.runs.iter().map(|(task, run)| job::Running {
            task: *task,
            run: run.run,
            percent: if self.reports_progress { beside::percent(run.role, now) } else { 50 },
            load: self.load(run.role, run.share_percent),
        });
        job::HeartbeatAnswer::Lists(job::Lists {
            born_ms: self.incarnation.born_ms,
            clock_ms: self.clock_ms(now),
            running: running.collect(),
            ended: self.ended.iter().take(MAX_LISTED_ENDS).cloned().collect(),
            more_ended: self.ended.len() >= MAX_LISTED_ENDS,
        })
    }

    /// Ends the runs that are due, and all runs once the lease has expired.
    pub fn tick(&mut self, now: time::Duration) {
        let lease_expired = self.clock_ms(now) >= self.lease_until_ms;
        if lease_expired {
            self.stale_upto = self.last_end;
        }
        let mut due = Vec::new();
        for (task, run) in &self.runs {
            let kind = if run.stops_at.is_some_and(|at| at <= now) {
                job::EndKind::Stopped
            } else if run.ends_at.is_some_and(|at| at <= now) {
                if run.fails { job::EndKind::Failed } else { job::EndKind::Done }
            } else if lease_expired {
                job::EndKind::Lapsed
            } else {
                continue;
            };
            due.push((*task, run.run, kind));
        }
        for (task, run, kind) in due {
            self.runs.remove(&task);
            self.ended_runs.insert(task, run);
            self.last_end += 1;
            let number = self.last_end;
            self.ended.push(job::Ended { number, task, run, kind, checkpoint: String::new() });
        }
    }

    /// Extends the lease to at most the longest one from now; never shortens it.
    fn extend(&mut self, lease_until_ms: u64, now: time::Duration) {
        let longest =
            self.clock_ms(now) + u64::try_from(self.longest_lease.as_millis()).unwrap_or(0);
        self.lease_until_ms = self.lease_until_ms.max(lease_until_ms.min(longest));
    }
}
