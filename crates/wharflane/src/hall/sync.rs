//! Messages between the holder of a hall and its workers.
//!
//! The holder sends each worker its commands with a task lease, and derives from the report which
//! tasks run, have ended or are lost.

use std::collections;
use std::sync;
use std::time;

use super::holding;
use super::spec;
use super::view;
use crate::desired;
use crate::id;
use crate::task_table;
use crate::work;

/// The share of an increase in measured CPU use that is adopted with each report.
const CPU_USE_RATE_UP: f64 = 0.5;
/// The share of a decrease in measured CPU use that is adopted with each report.
const CPU_USE_RATE_DOWN: f64 = 0.01;
/// How long the holder waits for a worker's answer, in sync intervals.
const ANSWER_TIMEOUT_SYNCS: u32 = 2;

impl holding::Holding {
    /// Returns the messages that are due.
    pub(super) fn syncs(&mut self, now: time::Duration) -> Vec<super::Effect> {
        let workers: Vec<id::WorkerId> = self.views.keys().cloned().collect();
        let mut effects = Vec::new();
        for worker in &workers {
            effects.extend(self.sync(now, worker));
        }
        self.counters.syncs += effects.len() as u64;
        effects
    }

    /// Returns the message to a worker, if one is due.
    fn sync(&mut self, now: time::Duration, worker: &id::WorkerId) -> Option<super::Effect> {
        if !self.is_sync_due(now, self.views.get(worker)?) {
            return None;
        }
        let commands = self.commands_for(worker);
        let lease_ms = as_whole_millis(self.settings.worker_lease);
        let epoch = self.head().epoch;
        let view = self.views.get_mut(worker)?;
        let addr = view.addr?;
        view.seq += 1;
        view.update_pending = false;
        view.in_flight_since = Some(now);
        view.sent_at = Some(now);
        // The lease counts from the worker's own clock in its last report, so a message that is
        // delayed in transit can't extend it.
        let lease_until_ms = view.boot.map_or(0, |_| view.incarnation.clock_ms + lease_ms);
        let commands = if view.boot.is_some() { commands } else { Vec::new() };
        let sync = work::Sync {
            worker: worker.clone(),
            boot: view.boot,
            epoch,
            seq: view.seq,
            lease_until_ms,
            commands,
        };
        Some(super::Effect::Sync(addr, sync))
    }

    /// Returns whether a message to a worker is due.
    fn is_sync_due(&self, now: time::Duration, view: &view::WorkerView) -> bool {
        let timeout = self.settings.sync * ANSWER_TIMEOUT_SYNCS;
        let awaiting_answer =
            view.in_flight_since.is_some_and(|at| now.saturating_sub(at) < timeout);
        let interval_passed =
            view.sent_at.is_none_or(|at| now.saturating_sub(at) >= self.settings.sync);
        !awaiting_answer && (view.update_pending || interval_passed)
    }

    /// Returns the commands for a worker: the difference between what is committed and what it
    /// reported.
    fn commands_for(&self, worker: &id::WorkerId) -> Vec<work::Command> {
        let Some(view) = self.views.get(worker) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        for (task, entry) in self.task_table.on(worker) {
            if self.is_committed(task) {
                commands.extend(self.task_commands(view, task, entry));
            }
        }
        for report in view.incarnation.tasks.values() {
            commands.extend(self.cleanup_command(worker, report));
        }
        commands
    }

    /// Returns the commands about a task that is assigned to the worker.
    fn task_commands(
        &self,
        view: &view::WorkerView,
        task: &id::TaskId,
        entry: &task_table::Entry,
    ) -> Vec<work::Command> {
        let attempt = entry.attempt;
        let known =
            view.incarnation.tasks.get(task).is_some_and(|report| report.attempt == attempt);
        if matches!(entry.state, task_table::State::Leaving { .. }) {
            return vec![work::Command::Stop { task: task.clone(), attempt }];
        }
        let start = self.wanted.get(task).filter(|_| !known).map(|spec| work::Command::Start {
            task: task.clone(),
            attempt,
            size: entry.size,
            checkpoint: entry.checkpoint,
            kind: spec.kind.clone(),
        });
        let throttle = view.incarnation.throttles.get(task).map(|percent| {
            work::Command::Throttle { task: task.clone(), attempt, percent: *percent }
        });
        start.into_iter().chain(throttle).collect()
    }

    /// Returns the command about a reported task that is not assigned to the worker.
    fn cleanup_command(
        &self,
        worker: &id::WorkerId,
        report: &work::TaskReport,
    ) -> Option<work::Command> {
        let (task, attempt) = (report.task.clone(), report.attempt);
        let belongs = self
            .task_table
            .get(&task)
            .is_some_and(|e| e.attempt == attempt && e.state.worker() == Some(worker));
        if belongs || !self.is_committed(&task) {
            return None;
        }
        Some(match report.state {
            work::TaskState::Running { .. } => work::Command::Stop { task, attempt },
            _ => work::Command::Forget { task, attempt },
        })
    }

    /// Handles a worker's answer; returns whether the worker has seen a higher epoch.
    pub(super) fn handle_answer(
        &mut self,
        now: time::Duration,
        worker: &id::WorkerId,
        seq: u64,
        answer: Option<work::Answer>,
    ) -> bool {
        let epoch = self.head().epoch;
        let Some(view) = self.views.get_mut(worker).filter(|view| view.seq == seq) else {
            return false;
        };
        view.in_flight_since = None;
        match answer {
            None => false,
            Some(work::Answer::Refused { epoch: highest, .. }) if highest > epoch => true,
            Some(work::Answer::Refused { .. }) => {
                // Repeats the first contact: the next message carries no command and learns the
                // boot id.
                view.boot = None;
                view.update_pending = true;
                false
            }
            Some(work::Answer::Report(report)) => {
                if report.seq == seq {
                    self.apply_report(now, worker, report);
                }
                false
            }
        }
    }

    /// Handles a worker's report.
    fn apply_report(&mut self, now: time::Duration, worker: &id::WorkerId, report: work::Report) {
        let lease = self.settings.worker_lease + self.settings.margin;
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        let tasks = report.tasks.into_iter().map(|task| (task.task.clone(), task)).collect();
        let first_contact = view.boot.is_none();
        let previous = std::mem::take(&mut view.incarnation.tasks);
        if view.incarnation.boot != Some(report.boot) {
            tracing::info!(
                %worker, boot = report.boot, before = view.incarnation.boot,
                "worker reported a new boot id"
            );
            view.incarnation =
                view::Incarnation { boot: Some(report.boot), ..view::Incarnation::default() };
        }
        view.incarnation.tasks = tasks;
        view.boot = Some(report.boot);
        view.incarnation.clock_ms = report.clock_ms;
        view.incarnation.capacity = Some(report.capacity);
        view.incarnation.reported_at = Some(now);
        view.leases_expire_at = now + lease;
        view.update_pending = view.update_pending || first_contact;
        let addrs = |tasks: &collections::BTreeMap<id::TaskId, work::TaskReport>| {
            let services = tasks.values().filter_map(|task| match task.state {
                work::TaskState::Running { addr, .. } => Some((addr?, task.attempt)),
                _ => None,
            });
            services.collect::<Vec<_>>()
        };
        let changed = first_contact || addrs(&previous) != addrs(&view.incarnation.tasks);
        self.table_changed |= changed;
        self.update_cpu_use(worker);
        self.propose_from_report(now, worker, &previous, first_contact);
    }

    /// Updates the measured CPU use per owner: increases quickly, decreases slowly.
    fn update_cpu_use(&mut self, worker: &id::WorkerId) {
        let Some(view) = self.views.get(worker) else {
            return;
        };
        for report in view.incarnation.tasks.values() {
            // The measured use of a throttled task is lower than its demand.
            let throttled =
                view.incarnation.throttles.get(&report.task).is_some_and(|share| *share < 100);
            let Some(used) = report.used_cpu_milli.filter(|_| !throttled) else {
                continue;
            };
            let used = used as f64;
            let average = self.cpu_use.entry(report.task.owner.to_string()).or_insert(used);
            let rate = if used > *average { CPU_USE_RATE_UP } else { CPU_USE_RATE_DOWN };
            *average += (used - *average) * rate;
        }
    }

    /// Proposes the records that follow from a report, for each task assigned to the worker.
    fn propose_from_report(
        &mut self,
        now: time::Duration,
        worker: &id::WorkerId,
        previous: &collections::BTreeMap<id::TaskId, work::TaskReport>,
        first_contact: bool,
    ) {
        let Some(view) = self.views.get(worker) else {
            return;
        };
        let mut records = Vec::new();
        let mut failed = 0;
        let mut any_completed = false;
        for (task, entry) in self.task_table.on(worker) {
            let attempt = entry.attempt;
            let in_report = |reports: &collections::BTreeMap<id::TaskId, work::TaskReport>| {
                reports.get(task).filter(|report| report.attempt == attempt).cloned()
            };
            let free = |checkpoint: Option<u64>, proof: task_table::Proof| {
                task_table::Record::Free { task: task.clone(), attempt, checkpoint, proof }
            };
            let Some(report) = in_report(&view.incarnation.tasks) else {
                let lost = in_report(previous);
                // The worker has accepted this epoch, so it rejects starts of earlier epochs. A
                // task that it does not know at first contact can no longer be started there.
                if lost.is_some() || first_contact {
                    let checkpoint = lost.and_then(|lost| checkpoint_of(&lost.state));
                    records.push(free(checkpoint, task_table::Proof::Absent));
                }
                continue;
            };
            match report.state {
                work::TaskState::Running { .. } => {}
                work::TaskState::Stopped { checkpoint } => {
                    records.push(free(checkpoint, task_table::Proof::Stopped));
                }
                work::TaskState::Completed => {
                    any_completed = true;
                    records.push(task_table::Record::Done { task: task.clone(), attempt });
                }
                work::TaskState::Failed => {
                    failed += 1;
                    records.push(free(None, task_table::Proof::Failed));
                }
            }
        }
        if let Some(view) = self.views.get_mut(worker) {
            if any_completed {
                view.incarnation.failures_in_row = 0;
            }
            (0..failed).for_each(|_| view.incarnation.record_failure(now));
        }
        for record in records {
            self.propose(now, record);
        }
    }

    /// Returns whether a task of an unreachable worker must wait for the worker.
    fn is_held_on_loss(&self, worker: &id::WorkerId, task: &id::TaskId) -> bool {
        let given_up = self
            .current
            .as_ref()
            .is_some_and(|current| current.desired.lost_workers.contains(worker));
        let holds = |spec: &sync::Arc<spec::Spec>| spec.on_loss == desired::OnLoss::Hold;
        !given_up && self.wanted.get(task).is_some_and(holds)
    }

    /// Proposes to free the tasks of workers whose task leases have expired.
    pub(super) fn free_expired(&mut self, now: time::Duration) {
        let mut records = Vec::new();
        for (worker, view) in &self.views {
            if now < view.leases_expire_at {
                continue;
            }
            for (task, entry) in self.task_table.on(worker) {
                if self.is_held_on_loss(worker, task) {
                    continue;
                }
                let report =
                    view.incarnation.tasks.get(task).filter(|r| r.attempt == entry.attempt);
                let checkpoint = report.and_then(|report| checkpoint_of(&report.state));
                records.push(task_table::Record::Free {
                    task: task.clone(),
                    attempt: entry.attempt,
                    checkpoint,
                    proof: task_table::Proof::Lapsed,
                });
            }
        }
        for record in records {
            self.propose(now, record);
        }
    }
}

/// Returns the checkpoint in a task's reported state.
fn checkpoint_of(state: &work::TaskState) -> Option<u64> {
    match state {
        work::TaskState::Running { checkpoint, .. } | work::TaskState::Stopped { checkpoint } => {
            *checkpoint
        }
        work::TaskState::Completed | work::TaskState::Failed => None,
    }
}

/// Returns a duration in whole milliseconds.
fn as_whole_millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
