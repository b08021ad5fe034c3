//! Checks the guarantees of the job service from the events at workers and the answers to callers,
//! without access to the state of any engine.

use std::collections;
use std::time;

use wharflane::job;

use super::worker;

/// A violated guarantee of the job service.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// Two runs of a task were in progress at once.
    #[error("{task} runs on two workers at once")]
    RunsTwice {
        /// The task that ran twice.
        task: job::TaskId,
    },
    /// A task was started after its end as done was acknowledged.
    #[error("{task} started after it was done")]
    StartedAfterDone {
        /// The task that was started again.
        task: job::TaskId,
    },
    /// A task was started before the steps that it depends on were done.
    #[error("{task} started before the steps it depends on were done")]
    StartedTooEarly {
        /// The task that was started too early.
        task: job::TaskId,
    },
    /// A task was started whose job or step was never submitted.
    #[error("{task} was started but never submitted")]
    NotSubmitted {
        /// The task that was started.
        task: job::TaskId,
    },
    /// A task was started by an order that a holder sent well after the job was cancelled.
    #[error("{task} was ordered to start after its job was cancelled")]
    OrderedAfterCancel {
        /// The task that was started.
        task: job::TaskId,
    },
    /// A count of waiting jobs was lower than the number of jobs that were accepted before the time
    /// of the count and of which no task had started.
    #[error("{reported} jobs were counted as waiting, but {waiting} are")]
    Undercounted {
        /// The count that a host would report to a caller.
        reported: u64,
        /// The actual number of waiting jobs.
        waiting: u64,
    },
    /// A task of a cancelled job continued to run for longer than allowed.
    #[error("{task} still runs after its job was cancelled")]
    RunsAfterCancel {
        /// The task that still runs.
        task: job::TaskId,
    },
    /// A task was started again after it had failed as often as allowed.
    #[error("{task} started after it had failed too often")]
    TooManyAttempts {
        /// The task that was started.
        task: job::TaskId,
    },
    /// A task was started by an order that a holder sent well after the worker's hall was closed.
    #[error("{task} was ordered to start in a closed hall")]
    OrderedInClosedHall {
        /// The task that was started.
        task: job::TaskId,
    },
    /// A task was started without the ticket that its queue demands.
    #[error("{task} was started without a ticket")]
    StartedWithoutTicket {
        /// The task that was started.
        task: job::TaskId,
    },
    /// A crashing task was started too often after `CRASHES` workers had crashed under it.
    #[error(
        "{task} was started {FURTHER_STARTS} more times after {CRASHES} workers had crashed under it"
    )]
    TooManyCrashes {
        /// The task that was started.
        task: job::TaskId,
    },
}

/// The number of workers that crash under a task before its further starts are counted.
const CRASHES: u32 = 3;
/// The number of further starts that is a violation.
const FURTHER_STARTS: u32 = 3;

/// The state of the checker, from the events recorded so far.
#[derive(Debug, Default)]
pub struct Checker {
    /// The submitted jobs by id.
    pub jobs: collections::BTreeMap<job::JobId, job::Job>,
    /// When each job was accepted, in milliseconds of simulated time.
    pub accepted_ms: collections::BTreeMap<job::JobId, u64>,
    /// The jobs of which at least one task was started.
    started_jobs: collections::BTreeSet<job::JobId>,
    /// How many counts of waiting jobs were checked.
    pub checked_counts: u64,
    /// Tasks that ended as done, whether or not a holder acknowledged it.
    done: collections::BTreeSet<job::TaskId>,
    /// Tasks whose end as done was acknowledged.
    acknowledged_done: collections::BTreeSet<job::TaskId>,
    /// The runs that failed, whether or not a holder acknowledged it.
    failed_runs: collections::BTreeSet<(job::TaskId, u32)>,
    /// The number of acknowledged failures of each task.
    failures: collections::BTreeMap<job::TaskId, u32>,
    /// For each crashing task, how many workers crashed under it, and how often it was started
    /// after `CRASHES` crashes.
    crashes: collections::BTreeMap<job::TaskId, (u32, u32)>,
    /// The lost work of tasks that ran next to a crashing task; long-running tasks don't count.
    pub collateral_loss: time::Duration,
    /// The violations found so far.
    pub violations: Vec<Violation>,
    /// The number of starts that were carried out.
    pub starts: u64,
}

impl Checker {
    /// Records the ended runs that a heartbeat acknowledges, before the worker drops them: those
    /// numbered up to `acknowledged_end` and after `stale`.
    pub fn record_acknowledged(&mut self, ended: &[job::Ended], acknowledged_end: u64, stale: u64) {
        for ended in
            ended.iter().filter(|ended| ended.number <= acknowledged_end && ended.number > stale)
        {
            match ended.kind {
                job::EndKind::Done => drop(self.acknowledged_done.insert(ended.task)),
                job::EndKind::Failed => *self.failures.entry(ended.task).or_insert(0) += 1,
                _ => {}
            }
        }
    }

    /// Records an ended run as it happens.
    pub fn record_end(&mut self, ended: &job::Ended) {
        match ended.kind {
            job::EndKind::Done => drop(self.done.insert(ended.task)),
            job::EndKind::Failed => drop(self.failed_runs.insert((ended.task, ended.run))),
            _ => {}
        }
    }

    /// Returns how many runs of a task have failed, whether or not a holder acknowledged it.
    #[must_use]
    pub fn failed_runs(&self, task: job::TaskId) -> usize {
        self.failed_runs.range((task, 0)..=(task, u32::MAX)).count()
    }

    /// Checks a count of waiting jobs that hosts may report to callers as the count at the time
    /// `as_of_ms`.
    pub fn check_count(
        &mut self,
        reported: u64,
        as_of_ms: u64,
        cancelled: impl Fn(job::JobId) -> bool,
    ) {
        self.checked_counts += 1;
        let before = self.accepted_ms.iter().filter(|(_, at_ms)| **at_ms <= as_of_ms);
        let not_begun =
            before.filter(|(job, _)| !self.started_jobs.contains(job) && !cancelled(**job));
        let waiting = not_begun.count() as u64;
        if reported < waiting {
            self.violations.push(Violation::Undercounted { reported, waiting });
        }
    }

    /// Records a start in a hall that was closed well before the order.
    pub fn record_start_in_closed_hall(&mut self, task: job::TaskId) {
        self.violations.push(Violation::OrderedInClosedHall { task });
    }

    /// Records a start that a worker turned away for want of a ticket.
    pub fn record_start_without_ticket(&mut self, task: job::TaskId) {
        self.violations.push(Violation::StartedWithoutTicket { task });
    }

    /// Records a run of a cancelled job that should have stopped by now, once for each task.
    pub fn record_run_after_cancel(&mut self, task: job::TaskId) {
        let violation = Violation::RunsAfterCancel { task };
        if !self.violations.contains(&violation) {
            self.violations.push(violation);
        }
    }

    /// Records a task that was lost in the crash of its worker; `work` is the work that is lost if
    /// the task didn't cause the crash.
    pub fn record_crash(&mut self, task: job::TaskId, caused_crash: bool, work: time::Duration) {
        if caused_crash {
            self.crashes.entry(task).or_default().0 += 1;
        } else {
            self.collateral_loss += work;
        }
    }

    /// Returns whether the end of a task as done was acknowledged.
    #[must_use]
    pub fn is_acknowledged_done(&self, task: job::TaskId) -> bool {
        self.acknowledged_done.contains(&task)
    }

    /// Returns how many failures of a task were acknowledged.
    #[must_use]
    pub fn failures(&self, task: job::TaskId) -> u32 {
        self.failures.get(&task).copied().unwrap_or(0)
    }

    /// Returns how many workers crashed because of a task.
    #[must_use]
    pub fn crashed_workers(&self) -> u32 {
        self.crashes.values().map(|(crashes, _)| crashes).sum()
    }

    /// Checks a start that was carried out.
    pub fn check_start(
        &mut self,
        task: job::TaskId,
        attempts: u32,
        late_cancel: bool,
        workers: &[worker::Worker],
    ) {
        self.starts += 1;
        self.started_jobs.insert(task.job);
        let alive = workers.iter().filter(|worker| worker.alive);
        let running = alive.flat_map(worker::Worker::running).filter(|(t, _)| *t == task).count();
        if running > 1 {
            self.violations.push(Violation::RunsTwice { task });
        }
        if self.acknowledged_done.contains(&task) {
            self.violations.push(Violation::StartedAfterDone { task });
        }
        if late_cancel {
            self.violations.push(Violation::OrderedAfterCancel { task });
        }
        let step = self.jobs.get(&task.job).and_then(|job| job.step(task.step));
        // A long-running task is restarted however often it has failed.
        let has_attempt_limit = step.is_none_or(|step| !step.lasting);
        if has_attempt_limit
            && self.failures.get(&task).is_some_and(|failures| *failures >= attempts)
        {
            self.violations.push(Violation::TooManyAttempts { task });
        }
        if let Some((_, further)) = self.crashes.get_mut(&task).filter(|(all, _)| *all >= CRASHES) {
            *further += 1;
            if *further == FURTHER_STARTS {
                self.violations.push(Violation::TooManyCrashes { task });
            }
        }
        let Some(job) = self.jobs.get(&task.job) else {
            return self.violations.push(Violation::NotSubmitted { task });
        };
        let Some(step) = job.step(task.step) else {
            return self.violations.push(Violation::NotSubmitted { task });
        };
        let depends_on_unfinished = step.after.iter().any(|after| {
            let count = job.step(*after).map_or(0, |step| step.count);
            (0..count)
                .any(|index| !self.done.contains(&job::TaskId { step: *after, index, ..task }))
        });
        if depends_on_unfinished {
            self.violations.push(Violation::StartedTooEarly { task });
        }
    }
}
