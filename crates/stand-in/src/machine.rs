//! A worker without its sockets: leases, fences, tasks and their progress.

use std::collections;
use std::net;
use std::time;

use serde::{Deserialize, Serialize};
use wharflane::{id, size, work};

use crate::history;

/// What is wrong with a worker at the moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every batch task fails as it starts.
    pub fail_all: bool,
    /// Every service task fails as it starts.
    pub fail_services: bool,
    /// Tasks take so many percent of their expected time; zero for all of it.
    pub run_time_percent: u64,
    /// What each task of an owner truly uses, in thousandths of a core.
    pub uses_milli: collections::BTreeMap<String, u64>,
    /// Fences are not kept, which shows whether a proof would notice.
    pub unfenced: bool,
}

/// A task on the worker.
#[derive(Clone, Debug)]
struct Run {
    /// The attempt.
    attempt: u32,
    /// What it holds.
    size: size::Size,
    /// What kind of task it is.
    kind: work::Kind,
    /// What became of it.
    state: work::TaskState,
    /// The work done, in milliseconds.
    progress_ms: f64,
    /// The work saved, in milliseconds.
    saved_ms: u64,
    /// The share of processors left to it.
    percent: u8,
    /// When it started, by the worker's clock.
    started_ms: u64,
}

impl Run {
    /// Returns whether it runs.
    fn running(&self) -> bool {
        matches!(self.state, work::TaskState::Running { .. })
    }
}

/// How long it takes until the use of a task is reported, in milliseconds.
const USAGE_LAG_MS: u64 = 1_500;

/// How often a task that can saves its progress, in milliseconds of work.
const SAVE_EVERY_MS: u64 = 500;

/// A worker.
#[derive(Debug)]
pub struct Machine {
    /// Its name.
    pub worker: id::WorkerId,
    /// What it has.
    capacity: size::Size,
    /// Changes whenever it loses its memory.
    boot: u64,
    /// The highest epoch seen.
    epoch: u64,
    /// The last message taken in that epoch.
    seq: u64,
    /// Until when tasks may run, by its own clock.
    lease_until_ms: u64,
    /// When its clock was last read.
    now_ms: u64,
    /// The tasks.
    runs: collections::BTreeMap<id::TaskId, Run>,
    /// What is wrong.
    pub faults: Faults,
    /// How long its tasks truly used more processors than it has.
    pub overused_ms: u64,
    /// What it saw.
    history: history::History,
}

impl Machine {
    /// Makes a worker with nothing on it.
    #[must_use]
    pub fn new(
        worker: id::WorkerId,
        capacity: size::Size,
        boot: u64,
        history: history::History,
    ) -> Self {
        Self {
            worker,
            capacity,
            boot,
            epoch: 0,
            seq: 0,
            lease_until_ms: 0,
            now_ms: 0,
            runs: collections::BTreeMap::new(),
            faults: Faults::default(),
            overused_ms: 0,
            history,
        }
    }

    /// Loses every running task and all memory but that of tasks which came to their end.
    pub fn reboot(&mut self) {
        let running: Vec<id::TaskId> = self.running().map(|(task, _)| task.clone()).collect();
        for task in running {
            self.stop(&task);
        }
        self.runs.retain(|_, run| run.state == work::TaskState::Completed);
        self.boot += 1;
        self.epoch = 0;
        self.seq = 0;
        self.lease_until_ms = 0;
    }

    /// Lets time pass: tasks progress, and stop when the lease lapses.
    pub fn tick(&mut self, now: time::Duration) {
        let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        let passed_ms = now_ms.saturating_sub(self.now_ms);
        self.now_ms = self.now_ms.max(now_ms);
        if self.now_ms > self.lease_until_ms {
            let running: Vec<id::TaskId> = self.running().map(|(task, _)| task.clone()).collect();
            for task in running {
                self.stop(&task);
            }
            return;
        }
        if self.used_milli() > self.capacity.cpu_milli {
            self.overused_ms += passed_ms;
        }
        let share = self.faults.run_time_percent;
        let mut ended = Vec::new();
        for (task, run) in self.runs.iter_mut().filter(|(_, run)| run.running()) {
            let work::Kind::Batch { run_time_ms, checkpoint } = &run.kind else {
                continue;
            };
            let whole = if share == 0 { *run_time_ms } else { *run_time_ms * share / 100 };
            run.progress_ms += passed_ms as f64 * f64::from(run.percent) / 100.0;
            if *checkpoint {
                run.saved_ms = run.progress_ms as u64 / SAVE_EVERY_MS * SAVE_EVERY_MS;
                let checkpoint = Some(run.saved_ms);
                run.state = work::TaskState::Running { addr: None, checkpoint };
            }
            if run.progress_ms >= whole as f64 {
                run.state = work::TaskState::Completed;
                ended.push((task.clone(), run.attempt));
            }
        }
        for (task, attempt) in ended {
            let worker = self.worker.clone();
            self.history.add(history::Event::Completed { worker, task, attempt });
        }
    }

    /// Takes a message.
    pub fn sync(&mut self, now: time::Duration, sync: &work::Sync) -> work::Answer {
        self.tick(now);
        if let Some(why) = self.refusal(sync) {
            return work::Answer::Refused { why, epoch: self.epoch, boot: self.boot };
        }
        self.epoch = sync.epoch;
        self.seq = sync.seq;
        self.lease_until_ms = self.lease_until_ms.max(sync.lease_until_ms);
        for command in &sync.commands {
            self.obey(command);
        }
        work::Answer::Report(self.report())
    }

    /// Says where a service task answers.
    pub fn set_addr(&mut self, task: &id::TaskId, addr: net::SocketAddr) {
        if let Some(run) = self.runs.get_mut(task).filter(|run| run.running()) {
            run.state = work::TaskState::Running { addr: Some(addr), checkpoint: None };
        }
    }

    /// Returns the service tasks that run.
    #[must_use]
    pub fn services(&self) -> Vec<id::TaskId> {
        let service = |run: &Run| matches!(run.kind, work::Kind::Service { .. });
        self.running().filter(|(_, run)| service(run)).map(|(task, _)| task.clone()).collect()
    }

    /// Returns the tasks that run, with the share of processors left to each.
    pub fn shares(&self) -> impl Iterator<Item = (&id::TaskId, u8)> {
        self.running().map(|(task, run)| (task, run.percent))
    }

    /// Returns how many tasks run.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.running().count()
    }

    /// Returns the share of its processors that batch tasks use now.
    #[must_use]
    pub fn batch_load(&self) -> f64 {
        let batch = self.running().filter(|(_, run)| matches!(run.kind, work::Kind::Batch { .. }));
        let used: f64 =
            batch.map(|(_, run)| run.size.cpu_milli as f64 * f64::from(run.percent) / 100.0).sum();
        used / self.capacity.cpu_milli.max(1) as f64
    }

    /// Returns why a message is refused.
    fn refusal(&self, sync: &work::Sync) -> Option<work::Refusal> {
        if self.faults.unfenced {
            return None;
        }
        if sync.boot.is_some_and(|boot| boot != self.boot) {
            return Some(work::Refusal::OtherBoot);
        }
        if sync.epoch < self.epoch {
            return Some(work::Refusal::OldEpoch);
        }
        let old = sync.epoch == self.epoch && sync.seq <= self.seq;
        old.then_some(work::Refusal::OldSeq)
    }

    /// Carries out a command.
    fn obey(&mut self, command: &work::Command) {
        match command {
            work::Command::Start { task, attempt, size, checkpoint, kind } => {
                self.start(task, *attempt, size, *checkpoint, kind);
            }
            work::Command::Stop { task, attempt } => self.stop_attempt(task, *attempt),
            work::Command::Throttle { task, attempt, percent } => {
                let run = self.runs.get_mut(task).filter(|run| run.attempt == *attempt);
                if let Some(run) = run {
                    run.percent = *percent;
                }
            }
            work::Command::Forget { task, attempt } => {
                let ended = |run: &Run| run.attempt == *attempt && !run.running();
                if self.runs.get(task).is_some_and(ended) {
                    self.runs.remove(task);
                }
            }
        }
    }

    /// Starts a task unless this attempt or a later one is known.
    fn start(
        &mut self,
        task: &id::TaskId,
        attempt: u32,
        size: &size::Size,
        checkpoint: Option<u64>,
        kind: &work::Kind,
    ) {
        if self.runs.get(task).is_some_and(|run| run.attempt >= attempt) {
            return;
        }
        if self.now_ms > self.lease_until_ms {
            return;
        }
        let from_ms = checkpoint.unwrap_or(0);
        let batch = matches!(kind, work::Kind::Batch { .. });
        let failed = if batch { self.faults.fail_all } else { self.faults.fail_services };
        let state = if failed {
            work::TaskState::Failed
        } else {
            work::TaskState::Running { addr: None, checkpoint }
        };
        let run = Run {
            attempt,
            size: *size,
            kind: kind.clone(),
            state,
            progress_ms: from_ms as f64,
            saved_ms: from_ms,
            percent: 100,
            started_ms: self.now_ms,
        };
        self.runs.insert(task.clone(), run);
        if failed {
            return;
        }
        let (worker, task) = (self.worker.clone(), task.clone());
        let (held, capacity) = (self.held(), self.capacity);
        let event =
            history::Event::Started { worker, task, attempt, from_ms, batch, held, capacity };
        self.history.add(event);
    }

    /// Stops an attempt, and remembers it as stopped if it is not known.
    fn stop_attempt(&mut self, task: &id::TaskId, attempt: u32) {
        match self.runs.get(task) {
            Some(run) if run.attempt > attempt => {}
            Some(run) if run.attempt == attempt => self.stop(task),
            _ => {
                let run = Run {
                    attempt,
                    size: size::Size::default(),
                    kind: work::Kind::Batch { run_time_ms: 0, checkpoint: false },
                    state: work::TaskState::Stopped { checkpoint: None },
                    progress_ms: 0.0,
                    saved_ms: 0,
                    percent: 100,
                    started_ms: 0,
                };
                self.runs.insert(task.clone(), run);
            }
        }
    }

    /// Stops a task that runs, after a checkpoint where it has one.
    fn stop(&mut self, task: &id::TaskId) {
        let Some(run) = self.runs.get_mut(task).filter(|run| run.running()) else {
            return;
        };
        let can_save = matches!(run.kind, work::Kind::Batch { checkpoint: true, .. });
        let checkpoint = can_save.then_some(run.saved_ms);
        run.state = work::TaskState::Stopped { checkpoint };
        let (worker, task) = (self.worker.clone(), task.clone());
        let (attempt, saved_ms) = (run.attempt, run.saved_ms);
        self.history.add(history::Event::Stopped { worker, task, attempt, saved_ms });
    }

    /// Returns the processors that a task truly uses, in thousandths.
    fn use_of(&self, task: &id::TaskId, run: &Run) -> u64 {
        let uses = self.faults.uses_milli.get(&*task.owner).copied();
        uses.unwrap_or(run.size.cpu_milli) * u64::from(run.percent) / 100
    }

    /// Returns what all tasks truly use, in thousandths of a core.
    fn used_milli(&self) -> u64 {
        self.running().map(|(task, run)| self.use_of(task, run)).sum()
    }

    /// Returns the use of a task that has run for long enough to be measured.
    fn late_use(&self, task: &id::TaskId, run: &Run) -> Option<u64> {
        let measured = run.running() && self.now_ms >= run.started_ms + USAGE_LAG_MS;
        measured.then(|| self.use_of(task, run))
    }

    /// Returns the tasks that run.
    fn running(&self) -> impl Iterator<Item = (&id::TaskId, &Run)> {
        self.runs.iter().filter(|(_, run)| run.running())
    }

    /// Returns what all running tasks hold.
    fn held(&self) -> size::Size {
        self.running().fold(size::Size::default(), |sum, (_, run)| sum.plus(&run.size))
    }

    /// Returns the report.
    fn report(&self) -> work::Report {
        let task = |(task, run): (&id::TaskId, &Run)| work::TaskReport {
            task: task.clone(),
            attempt: run.attempt,
            state: run.state.clone(),
            used_cpu_milli: self.late_use(task, run),
        };
        work::Report {
            boot: self.boot,
            clock_ms: self.now_ms,
            seq: self.seq,
            capacity: self.capacity,
            tasks: self.runs.iter().map(task).collect(),
        }
    }
}
