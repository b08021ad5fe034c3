//! Judges what users are promised about waits, from what the workers ran and what the checker saw.
//!
//! No accepted job may run nothing for 3 s while a task of it could run: its turn has come, there is
//! capacity for it twice over, and less than half of the CPU is reserved. A long-running task that
//! has run may not be away for such a time from 6 s after its last run on, however full the service
//! is. No serving task may be over its target for more than 4 s because of best-effort tasks.

use std::collections;
use std::time;

use wharflane::{job, size};

use super::{worker, world};

/// The interval between two looks at the workers.
const INTERVAL: time::Duration = time::Duration::from_millis(100);
/// How long a task may wait while it could run.
const MAX_WAIT: time::Duration = time::Duration::from_secs(3);
/// The time from the end of the last run of a long-running task until its absence is judged.
const RETURN_TIME: time::Duration = time::Duration::from_secs(6);
/// The time without a disturbance until the simulation counts as calm: the judged time and the 4 s
/// before it.
const CALM_AFTER: time::Duration = time::Duration::from_secs(7);
/// How long after a change of the holder no wait is judged. The new holder can't know at first what
/// runs on workers that don't answer, and has to wait for the longest lease that its predecessor
/// may have granted there. This is more than users allow for, and the only leniency of this judge.
const TAKEOVER: time::Duration = worker::MAX_LEASE.saturating_add(time::Duration::from_secs(1));
/// The share of the CPU that is reserved from which on waits of batch tasks are allowed, in percent.
const BUSY_PERCENT: u64 = 50;
/// How long a serving task may be over its target because of best-effort tasks.
const MAX_MISS: time::Duration = time::Duration::from_secs(4);

/// A promise about waits that was not kept.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Broken {
    /// A job ran nothing although a task of it could run.
    #[error("from {since:?} on, {task} could run for {MAX_WAIT:?} and nothing of its job did")]
    Waits {
        /// The first task of the job that could run.
        task: job::TaskId,
        /// Since when it could.
        since: time::Duration,
    },
    /// A long-running task did not return although it could run.
    #[error("{task} last ran at {last_run:?} and could run from {since:?} on")]
    Away {
        /// The task.
        task: job::TaskId,
        /// When it was last seen at work.
        last_run: time::Duration,
        /// Since when it could run and was judged.
        since: time::Duration,
    },
    /// A serving task was over its target because of best-effort tasks.
    #[error("from {since:?} on, {task} was over its target for {MAX_MISS:?} beside best effort")]
    OverTarget {
        /// The task.
        task: job::TaskId,
        /// Since when it was over the target.
        since: time::Duration,
    },
}

/// The state of the judge.
#[derive(Debug, Default)]
pub struct Judge {
    /// The promises that were not kept, at most one per task.
    pub broken: Vec<Broken>,
    /// How many waits were looked at, for tests of the judge itself.
    pub judged_waits: u64,
    /// The faults that have begun and not ended.
    pub(super) open_faults: usize,
    /// When a fault last began, ended or had an effect.
    disturbed: time::Duration,
    /// The index of the host that held the domain at the last look, with its incarnation.
    holder: Option<(usize, u64)>,
    /// When the domain was last without a holder, or its holder changed.
    unheld: time::Duration,
    /// The time of the last look.
    looked: time::Duration,
    /// When each long-running task was last seen at work.
    last_runs: collections::BTreeMap<job::TaskId, time::Duration>,
    /// Since when each task or, by its first waiting task, each job waits that could run.
    waiting: collections::BTreeMap<job::TaskId, time::Duration>,
    /// Since when each serving task is over its target because of best-effort tasks.
    over_target: collections::BTreeMap<job::TaskId, time::Duration>,
}

impl Judge {
    /// Records that a fault begins, ends or has an effect.
    pub(super) fn note_disturbance(&mut self, now: time::Duration) {
        self.disturbed = now;
    }

    /// Returns whether there has been no disturbance for some time.
    fn is_calm(&self, now: time::Duration) -> bool {
        self.open_faults == 0
            && now >= self.disturbed + CALM_AFTER
            && now >= self.unheld + CALM_AFTER
    }

    /// Replaces the waits by those of this look, and reports those that are too long.
    fn note_waits(
        &mut self,
        waits: &collections::BTreeMap<job::TaskId, Option<time::Duration>>,
        now: time::Duration,
    ) {
        let before = std::mem::take(&mut self.waiting);
        for (task, last_run) in waits {
            let since = before.get(task).copied().unwrap_or(now);
            self.waiting.insert(*task, since);
            let judged = last_run.is_none() || self.is_calm(now);
            if !judged || now.saturating_sub(since) <= MAX_WAIT {
                continue;
            }
            let known = self.broken.iter().any(|broken| match broken {
                Broken::Waits { task: known, .. } => last_run.is_none() && known.job == task.job,
                Broken::Away { task: known, .. } => known == task,
                Broken::OverTarget { .. } => false,
            });
            if !known {
                let task = *task;
                self.broken.push(match *last_run {
                    None => Broken::Waits { task, since },
                    Some(last_run) => Broken::Away { task, last_run, since },
                });
            }
        }
    }

    /// Replaces the serving tasks over their targets by those of this look, and reports those that
    /// are over them for too long.
    fn note_over_target(&mut self, over: &collections::BTreeSet<job::TaskId>, now: time::Duration) {
        let before = std::mem::take(&mut self.over_target);
        for task in over {
            let since = before.get(task).copied().unwrap_or(now);
            self.over_target.insert(*task, since);
            let broken = Broken::OverTarget { task: *task, since };
            if now.saturating_sub(since) > MAX_MISS && !self.broken.contains(&broken) {
                self.broken.push(broken);
            }
        }
    }
}

/// What one look at the workers shows.
struct Look {
    /// The tasks that run on a worker that is alive.
    running: collections::BTreeSet<job::TaskId>,
    /// The tasks whose end as done is listed by a worker that is alive.
    listed_done: collections::BTreeSet<job::TaskId>,
    /// How many listed ends of each task are failures.
    listed_failures: collections::BTreeMap<job::TaskId, u32>,
    /// The free capacity of each usable worker.
    free: Vec<size::Size>,
    /// Whether less than half of the CPU of usable workers is reserved.
    mostly_free: bool,
}

impl world::World {
    /// Looks at the workers from time to time and judges waits and targets, if the plan says so.
    pub(super) fn judge_waits(&mut self) {
        let now = self.now;
        let Some(judged_from) = self.plan.judged_from else {
            return;
        };
        self.note_holder();
        if now < self.waits.looked + INTERVAL {
            return;
        }
        self.waits.looked = now;
        let look = self.look();
        for task in &look.running {
            if self.is_lasting(*task) {
                self.waits.last_runs.insert(*task, now);
            }
        }
        let held = now >= self.waits.unheld + TAKEOVER;
        let mut waits = collections::BTreeMap::new();
        if held {
            let judges_batch = now >= judged_from && look.mostly_free;
            for id in self.checker.jobs.keys().copied() {
                if judges_batch && let Some(task) = self.waiting_task(&look, id) {
                    waits.insert(task, None);
                }
                waits.extend(
                    self.away_tasks(&look, id, now).into_iter().map(|(t, at)| (t, Some(at))),
                );
            }
        }
        self.waits.judged_waits += waits.len() as u64;
        self.waits.note_waits(&waits, now);
        let alive = self.workers.iter().filter(|worker| worker.alive);
        let over = alive.flat_map(worker::Worker::disturbed).collect();
        self.waits.note_over_target(&over, now);
    }

    /// Records when the domain has no holder that acts, or its holder changes.
    fn note_holder(&mut self) {
        let holds = |host: &world::Host| {
            !host.frozen && host.engine.as_ref().is_some_and(|engine| engine.holding().is_some())
        };
        let holders: Vec<_> = (0..self.hosts.len())
            .filter(|at| holds(&self.hosts[*at]))
            .map(|at| (at, self.hosts[at].incarnation))
            .collect();
        let holder = holders.first().copied().filter(|_| holders.len() == 1);
        if self.down || holder.is_none() || holder != self.waits.holder {
            self.waits.unheld = self.now;
        }
        self.waits.holder = holder;
    }

    /// Looks at all workers.
    fn look(&self) -> Look {
        let alive = || self.workers.iter().filter(|worker| worker.alive);
        let usable: Vec<&worker::Worker> = alive()
            .filter(|worker| worker.reachable && worker.listed && !worker.fails_every_task)
            .filter(|worker| !self.closed.contains_key(&worker.hall))
            .collect();
        let whole: u64 = usable.iter().map(|worker| worker.capacity.cpu_milli).sum();
        let reserved: u64 = usable.iter().map(|worker| worker.reserved().cpu_milli).sum();
        let ended = || alive().flat_map(worker::Worker::ended);
        let mut listed_failures = collections::BTreeMap::new();
        for end in ended().filter(|end| end.kind == job::EndKind::Failed) {
            *listed_failures.entry(end.task).or_insert(0) += 1;
        }
        let done = ended().filter(|end| end.kind == job::EndKind::Done);
        Look {
            running: alive().flat_map(worker::Worker::running).map(|(task, _)| task).collect(),
            listed_done: done.map(|end| end.task).collect(),
            listed_failures,
            free: usable.iter().map(|worker| worker.capacity.minus(&worker.reserved())).collect(),
            mostly_free: reserved * 100 < whole * BUSY_PERCENT,
        }
    }

    /// Returns the first task of a batch job that could run while nothing of the job does.
    fn waiting_task(&self, look: &Look, id: job::JobId) -> Option<job::TaskId> {
        let first = job::TaskId { job: id, round: 0, step: 0, index: 0 };
        let mut running = look.running.range(first..).take_while(|task| task.job == id);
        if running.next().is_some() {
            return None;
        }
        let job = self.checker.jobs.get(&id)?;
        let steps = job.steps.iter().zip(0..).filter(|(step, _)| !step.lasting);
        let mut ready = steps.filter(|(step, _)| {
            step.after.iter().all(|after| {
                let count = job.step(*after).map_or(0, |step| step.count);
                let mut tasks =
                    (0..count).map(|index| job::TaskId { step: *after, index, ..first });
                tasks.all(|task| self.checker.is_acknowledged_done(task))
            })
        });
        let waiting = ready.find_map(|(step, number)| {
            let mut tasks =
                (0..step.count).map(|index| job::TaskId { step: number, index, ..first });
            let task = tasks.find(|task| {
                let failures = self.checker.failures(*task)
                    + look.listed_failures.get(task).copied().unwrap_or(0);
                !self.checker.is_acknowledged_done(*task)
                    && !look.listed_done.contains(task)
                    && failures < self.most_attempts(id)
            })?;
            fits_twice(&look.free, step).then_some(task)
        });
        waiting.filter(|_| !self.is_over(id))
    }

    /// Returns the long-running tasks of a job that have run and are away though they could run, each
    /// with the time at which it was last seen at work.
    fn away_tasks(
        &self,
        look: &Look,
        id: job::JobId,
        now: time::Duration,
    ) -> Vec<(job::TaskId, time::Duration)> {
        let first = job::TaskId { job: id, round: 0, step: 0, index: 0 };
        let last_runs = self.waits.last_runs.range(first..).take_while(|(task, _)| task.job == id);
        let away = last_runs.filter(|(task, at)| {
            let job = self.checker.jobs.get(&id);
            let step = job.and_then(|job| job.step(task.step));
            now >= **at + RETURN_TIME
                && !look.running.contains(task)
                && step.is_some_and(|step| fits_twice(&look.free, step))
        });
        let away: Vec<_> = away.map(|(task, at)| (*task, *at)).collect();
        if away.is_empty() || self.is_over(id) { Vec::new() } else { away }
    }

    /// Returns whether nothing of a job is to run any more: it is cancelled, has ended, or can't be
    /// done.
    fn is_over(&self, id: job::JobId) -> bool {
        self.cancelled.contains_key(&id) || self.has_crashing_task(id) || self.phase(id).ended()
    }

    /// Returns whether a task is long-running.
    fn is_lasting(&self, task: job::TaskId) -> bool {
        let step = self.checker.jobs.get(&task.job).and_then(|job| job.step(task.step));
        step.is_some_and(|step| step.lasting)
    }
}

/// Returns whether the free capacity of workers takes two tasks of a step; a best-effort task needs
/// no CPU.
fn fits_twice(free: &[size::Size], step: &job::Step) -> bool {
    let cpu_milli = if step.fills { 0 } else { step.size.cpu_milli };
    let needed = size::Size { cpu_milli, ..step.size };
    let of = |free: u64, needed: u64| free.checked_div(needed).unwrap_or(u64::MAX);
    let places = free.iter().map(|free| {
        let cpu = of(free.cpu_milli, needed.cpu_milli);
        let memory = of(free.mem_mb, needed.mem_mb);
        cpu.min(memory).min(of(free.accelerators, needed.accelerators)).min(2)
    });
    places.sum::<u64>() >= 2
}
