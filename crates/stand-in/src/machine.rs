//! The state machine of a worker, without sockets: lease, fencing, tasks and their progress.

use std::collections;
use std::net;
use std::time;

use serde::{Deserialize, Serialize};
use wharflane::{id, size, work};

use crate::history;

/// The faults that are switched on at a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every batch task fails when it starts.
    pub fail_all: bool,
    /// Every service task fails when it starts.
    pub fail_services: bool,
    /// The run time of tasks in percent of the expected time; zero means 100 percent.
    pub run_time_percent: u64,
    /// The real use of each task of an owner, in thousandths of a core; the declared size if
    /// absent.
    pub uses_milli: collections::BTreeMap<String, u64>,
    /// No message is refused as stale, which shows whether a test detects missing fencing.
    pub unfenced: bool,
}

/// A task on the worker.
#[derive(Clone, Debug)]
struct Run {
    /// The number of its newest attempt.
    attempt: u32,
    /// The declared size.
    size: size::Size,
    /// The kind of the task, batch or service, with the run time of a batch task.
    kind: work::Kind,
    /// The state of the task, as reported to the holder.
    state: work::TaskState,
    /// The work done, in milliseconds.
    progress_ms: f64,
    /// The work in the last checkpoint, in milliseconds.
    saved_ms: u64,
    /// The share of full speed to which it is throttled, in percent.
    percent: u8,
    /// When it started, in milliseconds of the worker's clock.
    started_ms: u64,
}

impl Run {
    /// Returns whether it is running.
    fn is_running(&self) -> bool {
        matches!(self.state, work::TaskState::Running { .. })
    }
}

/// How long a task runs before its use is reported, in milliseconds.
const USAGE_LAG_MS: u64 = 1_500;

/// The time between two checkpoints of a task, in milliseconds of work.
const CHECKPOINT_INTERVAL_MS: u64 = 500;

/// A worker and its tasks.
#[derive(Debug)]
pub struct Machine {
    /// The id of the worker.
    pub worker: id::WorkerId,
    /// The capacity of the worker.
    capacity: size::Size,
    /// The boot id, which changes whenever the worker reboots and loses its memory.
    boot: u64,
    /// The highest epoch seen, its fencing token.
    epoch: u64,
    /// The sequence number of the last message accepted in that epoch.
    seq: u64,
    /// When the lease of its tasks expires, in milliseconds of its own clock.
    lease_until_ms: u64,
    /// The time of its clock at the last tick, in milliseconds.
    now_ms: u64,
    /// When its clock began, in milliseconds of simulated time.
    booted_ms: u64,
    /// The tasks that run or have ended, by id.
    runs: collections::BTreeMap<id::TaskId, Run>,
    /// The faults that are switched on.
    pub faults: Faults,
    /// The time during which its tasks used more than its processors, in milliseconds.
    pub overused_ms: u64,
    /// Records what happens on the worker.
    history: history::History,
}

impl Machine {
    /// Creates a worker without any tasks.
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
            booted_ms: 0,
            runs: collections::BTreeMap::new(),
            faults: Faults::default(),
            overused_ms: 0,
            history,
        }
    }

    /// Stops every running task and drops all state except that of completed tasks; the clock
    /// begins again.
    pub fn reboot(&mut self) {
        let running: Vec<id::TaskId> = self.running().map(|(task, _)| task.clone()).collect();
        for task in running {
            self.stop(&task);
        }
        self.runs.retain(|_, run| run.state == work::TaskState::Completed);
        self.boot += 1;
        self.booted_ms += self.now_ms;
        self.now_ms = 0;
        self.epoch = 0;
        self.seq = 0;
        self.lease_until_ms = 0;
    }

    /// Advances the clock: tasks progress, and stop when the lease expires.
    pub fn tick(&mut self, now: time::Duration) {
        let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        let now_ms = now_ms.saturating_sub(self.booted_ms);
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
        let percent = self.faults.run_time_percent;
        let mut ended = Vec::new();
        for (task, run) in self.runs.iter_mut().filter(|(_, run)| run.is_running()) {
            let work::Kind::Batch { run_time_ms, checkpoint } = &run.kind else {
                continue;
            };
            let total_ms = if percent == 0 { *run_time_ms } else { *run_time_ms * percent / 100 };
            run.progress_ms += passed_ms as f64 * f64::from(run.percent) / 100.0;
            if *checkpoint {
                run.saved_ms =
                    run.progress_ms as u64 / CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS;
                let checkpoint = Some(run.saved_ms);
                run.state = work::TaskState::Running { addr: None, checkpoint };
            }
            if run.progress_ms >= total_ms as f64 {
                run.state = work::TaskState::Completed;
                ended.push((task.clone(), run.attempt));
            }
        }
        for (task, attempt) in ended {
            let worker = self.worker.clone();
            self.history.add(history::Event::Completed { worker, task, attempt });
        }
    }

    /// Handles a message from a holder.
    pub fn sync(&mut self, now: time::Duration, sync: &work::Sync) -> work::Answer {
        self.tick(now);
        if let Some(why) = self.refusal(sync) {
            return work::Answer::Refused { why, epoch: self.epoch, boot: self.boot };
        }
        self.epoch = sync.epoch;
        self.seq = sync.seq;
        self.lease_until_ms = self.lease_until_ms.max(sync.lease_until_ms);
        for command in &sync.commands {
            self.execute(command);
        }
        work::Answer::Report(self.report())
    }

    /// Sets the address of a running service task.
    pub fn set_addr(&mut self, task: &id::TaskId, addr: net::SocketAddr) {
        if let Some(run) = self.runs.get_mut(task).filter(|run| run.is_running()) {
            run.state = work::TaskState::Running { addr: Some(addr), checkpoint: None };
        }
    }

    /// Returns the running service tasks.
    #[must_use]
    pub fn services(&self) -> Vec<id::TaskId> {
        let service = |run: &Run| matches!(run.kind, work::Kind::Service { .. });
        self.running().filter(|(_, run)| service(run)).map(|(task, _)| task.clone()).collect()
    }

    /// Returns the running tasks, each with its share of full speed in percent.
    pub fn shares(&self) -> impl Iterator<Item = (&id::TaskId, u8)> {
        self.running().map(|(task, run)| (task, run.percent))
    }

    /// Returns how many tasks run.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.running().count()
    }

    /// Returns the share of its processors that batch tasks declare, after throttling; 1.0 for all.
    #[must_use]
    pub fn batch_load(&self) -> f64 {
        let batch = self.running().filter(|(_, run)| matches!(run.kind, work::Kind::Batch { .. }));
        let used: f64 =
            batch.map(|(_, run)| run.size.cpu_milli as f64 * f64::from(run.percent) / 100.0).sum();
        used / self.capacity.cpu_milli.max(1) as f64
    }

    /// Returns the reason to refuse a message, or `None` if it is accepted.
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

    /// Executes a command of the holder.
    fn execute(&mut self, command: &work::Command) {
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
                let ended = |run: &Run| run.attempt == *attempt && !run.is_running();
                if self.runs.get(task).is_some_and(ended) {
                    self.runs.remove(task);
                }
            }
        }
    }

    /// Starts a task, unless this attempt or a later one was started or stopped before.
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
        let (held, capacity) = (self.reserved(), self.capacity);
        let event =
            history::Event::Started { worker, task, attempt, from_ms, batch, held, capacity };
        self.history.add(event);
    }

    /// Stops an attempt; an unknown attempt is remembered as stopped, so that a late start is
    /// ignored.
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

    /// Stops a running task; a task with checkpoints keeps its last one.
    fn stop(&mut self, task: &id::TaskId) {
        let Some(run) = self.runs.get_mut(task).filter(|run| run.is_running()) else {
            return;
        };
        let has_checkpoints = matches!(run.kind, work::Kind::Batch { checkpoint: true, .. });
        let checkpoint = has_checkpoints.then_some(run.saved_ms);
        run.state = work::TaskState::Stopped { checkpoint };
        let (worker, task) = (self.worker.clone(), task.clone());
        let (attempt, saved_ms) = (run.attempt, run.saved_ms);
        self.history.add(history::Event::Stopped { worker, task, attempt, saved_ms });
    }

    /// Returns the real use of a task after throttling, in thousandths of a core.
    fn real_use(&self, task: &id::TaskId, run: &Run) -> u64 {
        let uses = self.faults.uses_milli.get(&*task.owner).copied();
        uses.unwrap_or(run.size.cpu_milli) * u64::from(run.percent) / 100
    }

    /// Returns the real use of all tasks, in thousandths of a core.
    fn used_milli(&self) -> u64 {
        self.running().map(|(task, run)| self.real_use(task, run)).sum()
    }

    /// Returns the use of a task that has run for long enough to be measured.
    fn measured_use(&self, task: &id::TaskId, run: &Run) -> Option<u64> {
        let measured = run.is_running() && self.now_ms >= run.started_ms + USAGE_LAG_MS;
        measured.then(|| self.real_use(task, run))
    }

    /// Returns the running tasks.
    fn running(&self) -> impl Iterator<Item = (&id::TaskId, &Run)> {
        self.runs.iter().filter(|(_, run)| run.is_running())
    }

    /// Returns the declared size of all running tasks.
    fn reserved(&self) -> size::Size {
        self.running().fold(size::Size::default(), |sum, (_, run)| sum.plus(&run.size))
    }

    /// Returns the report to the holder.
    fn report(&self) -> work::Report {
        let task = |(task, run): (&id::TaskId, &Run)| work::TaskReport {
            task: task.clone(),
            attempt: run.attempt,
            state: run.state.clone(),
            used_cpu_milli: self.measured_use(task, run),
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
