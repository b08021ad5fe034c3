//! The messages between the holder of a hall and its workers.

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

/// How much of a greater use is learned at once.
const USE_RATE_UP: f64 = 0.5;
/// How much of a smaller use is learned at once.
const USE_RATE_DOWN: f64 = 0.01;
/// How long the holder waits for a worker's answer, in intervals between messages.
const ANSWER_INTERVALS: u32 = 2;

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

    /// Returns the message to a worker if one is due.
    fn sync(&mut self, now: time::Duration, worker: &id::WorkerId) -> Option<super::Effect> {
        if !self.is_due(now, self.views.get(worker)?) {
            return None;
        }
        let commands = self.commands(worker);
        let lease_ms = millis(self.settings.worker_lease);
        let epoch = self.head().epoch;
        let view = self.views.get_mut(worker)?;
        let addr = view.addr?;
        view.seq += 1;
        view.news = false;
        view.in_flight = Some(now);
        view.sent = Some(now);
        // The lease counts from the worker's own clock in its last report, so that a message
        // delayed on its way can't lengthen it.
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

    /// Returns whether a worker is to be told something now.
    fn is_due(&self, now: time::Duration, view: &view::View) -> bool {
        let patience = self.settings.sync * ANSWER_INTERVALS;
        let waits = view.in_flight.is_some_and(|at| now.saturating_sub(at) < patience);
        let rested = view.sent.is_none_or(|at| now.saturating_sub(at) >= self.settings.sync);
        !waits && (view.news || rested)
    }

    /// Returns what a worker is still to do, from what is committed and what it reported.
    fn commands(&self, worker: &id::WorkerId) -> Vec<work::Command> {
        let Some(view) = self.views.get(worker) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        for (task, entry) in self.task_table.on(worker) {
            if self.is_committed(task) {
                commands.extend(self.command(view, task, entry));
            }
        }
        for report in view.incarnation.tasks.values() {
            commands.extend(self.cleanup(worker, report));
        }
        commands
    }

    /// Returns what a worker is still to do about a task that belongs there.
    fn command(
        &self,
        view: &view::View,
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

    /// Returns what to do about a reported task that does not belong there.
    fn cleanup(&self, worker: &id::WorkerId, report: &work::TaskReport) -> Option<work::Command> {
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

    /// Takes a worker's answer; returns whether another holder has a higher epoch.
    pub(super) fn synced(
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
        view.in_flight = None;
        match answer {
            None => false,
            Some(work::Answer::Refused { epoch: seen, .. }) if seen > epoch => true,
            Some(work::Answer::Refused { .. }) => {
                // First contact anew: the next message carries no command and learns the boot.
                view.boot = None;
                view.news = true;
                false
            }
            Some(work::Answer::Report(report)) => {
                if report.seq == seq {
                    self.reported(now, worker, report);
                }
                false
            }
        }
    }

    /// Takes a worker's report.
    fn reported(&mut self, now: time::Duration, worker: &id::WorkerId, report: work::Report) {
        let lapse = self.settings.worker_lease + self.settings.margin;
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        let tasks = report.tasks.into_iter().map(|task| (task.task.clone(), task)).collect();
        let first = view.boot.is_none();
        let before = std::mem::take(&mut view.incarnation.tasks);
        if view.incarnation.boot != Some(report.boot) {
            tracing::info!(%worker, boot = report.boot, before = view.incarnation.boot, "life of a worker begins");
            view.incarnation =
                view::Incarnation { boot: Some(report.boot), ..view::Incarnation::default() };
        }
        view.incarnation.tasks = tasks;
        view.boot = Some(report.boot);
        view.incarnation.clock_ms = report.clock_ms;
        view.incarnation.capacity = Some(report.capacity);
        view.incarnation.reported = Some(now);
        view.lapse_at = now + lapse;
        view.news = view.news || first;
        let addrs = |tasks: &collections::BTreeMap<id::TaskId, work::TaskReport>| {
            let services = tasks.values().filter_map(|task| match task.state {
                work::TaskState::Running { addr, .. } => Some((addr?, task.attempt)),
                _ => None,
            });
            services.collect::<Vec<_>>()
        };
        let changed = first || addrs(&before) != addrs(&view.incarnation.tasks);
        self.table_changed |= changed;
        self.note_uses(worker);
        self.settle_tasks(now, worker, &before, first);
    }

    /// Learns what the tasks on a worker truly use: up quickly, down slowly.
    fn note_uses(&mut self, worker: &id::WorkerId) {
        let Some(view) = self.views.get(worker) else {
            return;
        };
        for report in view.incarnation.tasks.values() {
            // A throttled task shows less than it would use.
            let throttled =
                view.incarnation.throttles.get(&report.task).is_some_and(|share| *share < 100);
            let Some(used) = report.used_cpu_milli.filter(|_| !throttled) else {
                continue;
            };
            let used = used as f64;
            let seen = self.uses.entry(report.task.owner.to_string()).or_insert(used);
            let rate = if used > *seen { USE_RATE_UP } else { USE_RATE_DOWN };
            *seen += (used - *seen) * rate;
        }
    }

    /// Proposes what follows from a report for each task that belongs on the worker.
    fn settle_tasks(
        &mut self,
        now: time::Duration,
        worker: &id::WorkerId,
        before: &collections::BTreeMap<id::TaskId, work::TaskReport>,
        first: bool,
    ) {
        let Some(view) = self.views.get(worker) else {
            return;
        };
        let mut records = Vec::new();
        let mut failed = 0;
        let mut well = false;
        for (task, entry) in self.task_table.on(worker) {
            let attempt = entry.attempt;
            let here = |reports: &collections::BTreeMap<id::TaskId, work::TaskReport>| {
                reports.get(task).filter(|report| report.attempt == attempt).cloned()
            };
            let free = |checkpoint: Option<u64>, proof: task_table::Proof| {
                task_table::Record::Free { task: task.clone(), attempt, checkpoint, proof }
            };
            let Some(report) = here(&view.incarnation.tasks) else {
                let lost = here(before);
                // The worker has taken this epoch, so no start of an earlier one can come any
                // more: what it does not know at first contact does not run there.
                if lost.is_some() || first {
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
                    well = true;
                    records.push(task_table::Record::Done { task: task.clone(), attempt });
                }
                work::TaskState::Failed => {
                    failed += 1;
                    records.push(free(None, task_table::Proof::Failed));
                }
            }
        }
        if let Some(view) = self.views.get_mut(worker) {
            if well {
                view.incarnation.failures_in_row = 0;
            }
            (0..failed).for_each(|_| view.incarnation.note_failure(now));
        }
        for record in records {
            self.propose(now, record);
        }
    }

    /// Returns whether a task of a lost worker waits until its fate is known.
    fn is_held(&self, worker: &id::WorkerId, task: &id::TaskId) -> bool {
        let given_up = self
            .current
            .as_ref()
            .is_some_and(|current| current.desired.lost_workers.contains(worker));
        let holds = |spec: &sync::Arc<spec::Spec>| spec.on_loss == desired::OnLoss::Hold;
        !given_up && self.wanted.get(task).is_some_and(holds)
    }

    /// Proposes to free the tasks of workers whose leases have lapsed.
    pub(super) fn free_lapsed(&mut self, now: time::Duration) {
        let mut records = Vec::new();
        for (worker, view) in &self.views {
            if now < view.lapse_at {
                continue;
            }
            for (task, entry) in self.task_table.on(worker) {
                if self.is_held(worker, task) {
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

/// Returns the progress that a report names.
fn checkpoint_of(state: &work::TaskState) -> Option<u64> {
    match state {
        work::TaskState::Running { checkpoint, .. } | work::TaskState::Stopped { checkpoint } => {
            *checkpoint
        }
        work::TaskState::Completed | work::TaskState::Failed => None,
    }
}

/// Returns a duration in whole milliseconds.
fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
