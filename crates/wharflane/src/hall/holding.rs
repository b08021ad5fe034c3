//! The state of a hall's holder, and its commits to the log.
//!
//! Decisions apply to the holder's own state at once, but a worker gets no command before the
//! record behind it is committed.

use std::collections;
use std::sync;
use std::time;

use serde::Serialize;

use super::slot;
use super::spec;
use super::view;
use crate::commit;
use crate::endpoints;
use crate::id;
use crate::interference;
use crate::lease;
use crate::members;
use crate::platform;
use crate::task_table;

/// Maximum number of decisions in the state dump.
const MAX_DECISIONS: usize = 64;
/// A sequence number that marks a record that is not part of any commit yet.
const NOT_IN_COMMIT: u64 = u64::MAX;
/// How many commits fall into one lease when there are no records to commit.
const RENEWALS_PER_LEASE: u32 = 3;

/// A decision in the state dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Decision {
    /// The time of the decision, in milliseconds by this process's clock.
    pub at_ms: u128,
    /// The task that the decision is about.
    pub task: id::TaskId,
    /// The decision.
    pub what: Action,
}

/// A decision about a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "decision", rename_all = "kebab-case")]
pub enum Action {
    /// The task was assigned to a worker.
    Placed {
        /// The worker that the task was assigned to.
        worker: id::WorkerId,
    },
    /// The task must leave its worker.
    Evicted {
        /// The reason for the eviction.
        cause: task_table::Cause,
    },
    /// The task is proven to have stopped.
    Freed {
        /// The proof that it stopped.
        proof: task_table::Proof,
    },
    /// The task finished successfully.
    Done,
    /// The task was limited to a share of its CPU.
    Throttled {
        /// The share, in percent.
        percent: u8,
    },
}

/// Counts of the holder's actions since it acquired the hall, for the state dump and metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Successful commits.
    pub commits: u64,
    /// Records in the commits.
    pub records: u64,
    /// Total size of the committed log rows, in bytes.
    pub commit_bytes: u64,
    /// How often the outcome of a commit was unknown.
    pub doubts: u64,
    /// Messages to workers.
    pub syncs: u64,
    /// Tasks placed.
    pub placed: u64,
    /// Tasks finished successfully.
    pub done: u64,
    /// Evictions by cause.
    pub evicted: collections::BTreeMap<task_table::Cause, u64>,
    /// Throttle changes.
    pub throttled: u64,
    /// Records that did not apply to the state of their task; any such record is a bug.
    pub invalid_records: u64,
}

/// The state of a hall's holder.
#[derive(Debug)]
pub struct Holding {
    /// The hall that is held.
    pub(super) hall: id::HallId,
    /// Intervals, leases and policies.
    pub(super) settings: super::Settings,
    /// The writer of the head row and the log.
    committer: commit::Committer,
    /// All tasks, including the effects of records that are not committed yet.
    pub(super) task_table: task_table::TaskTable,
    /// Proposed records that are not part of a commit yet.
    queue: Vec<task_table::Record>,
    /// Tasks changed by a record that is not committed yet, with the sequence number of its commit.
    uncommitted: collections::BTreeMap<id::TaskId, u64>,
    /// The holder's view of each worker.
    pub(super) views: collections::BTreeMap<id::WorkerId, view::WorkerView>,
    /// When every lease granted by an earlier holder has expired.
    pub(super) old_leases_expire_at: time::Duration,
    /// The configuration in force.
    pub(super) current: Option<sync::Arc<super::Current>>,
    /// The tasks that the configuration assigns to this hall.
    pub(super) wanted: spec::Wanted,
    /// Wanted tasks without a worker, by priority.
    pub(super) waiting: collections::BTreeSet<slot::WaitingKey>,
    /// Why tasks of each shape could not be placed in the last pass.
    pub(super) blocked: collections::BTreeMap<slot::Shape, slot::WaitReason>,
    /// Tasks that wait for a preemption, with the worker whose tasks are evicted for them.
    pub(super) preempting: collections::BTreeMap<id::TaskId, id::WorkerId>,
    /// The measured CPU use of a task of each owner, in thousandths of a core.
    pub(super) cpu_use: collections::BTreeMap<String, f64>,
    /// The interference model.
    pub(super) interference: interference::Model,
    /// The endpoint table that is distributed to the hosts.
    pub(super) table: endpoints::Table,
    /// Whether the inputs of the endpoint table have changed since it was built.
    pub(super) table_changed: bool,
    /// When the workers were last checked for interference.
    pub(super) last_interference_check: time::Duration,
    /// The endpoints that the previous holder published.
    pub(super) inherited_endpoints: collections::BTreeMap<id::TaskId, endpoints::Endpoint>,
    /// When the hall was acquired.
    pub(super) acquired_at: time::Duration,
    /// When the last commit was started.
    commit_started_at: time::Duration,
    /// When the last successful commit was started.
    confirmed_at: time::Duration,
    /// When the head row was last requested to resolve an unknown commit outcome.
    read_back_at: Option<time::Duration>,
    /// The snapshot that the head row refers to.
    named_snapshot: Option<lease::Snapshot>,
    /// Whether a snapshot upload is in progress.
    snapshot_uploading: bool,
    /// An uploaded snapshot that the next commit will refer to.
    uploaded_snapshot: Option<lease::Snapshot>,
    /// The most recent decisions.
    decisions: collections::VecDeque<Decision>,
    /// The counts of the holder's actions.
    pub(super) counters: Counters,
}

impl Holding {
    /// Creates the holder's state from the loaded task table.
    pub(super) fn new(
        hall: id::HallId,
        settings: super::Settings,
        committer: commit::Committer,
        task_table: task_table::TaskTable,
        now: time::Duration,
    ) -> Self {
        let lease = settings.worker_lease + settings.margin;
        let epoch = committer.head().epoch;
        let table =
            endpoints::Table { hall: hall.clone(), epoch, version: 0, endpoints: Vec::new() };
        let old_leases_expire_at = now + settings.authority + lease;
        let named_snapshot = committer.head().snapshot.clone();
        let views = task_table
            .workers()
            .map(|worker| (worker.clone(), view::WorkerView::new(old_leases_expire_at)))
            .collect();
        Self {
            hall,
            settings,
            committer,
            task_table,
            queue: Vec::new(),
            uncommitted: collections::BTreeMap::new(),
            views,
            old_leases_expire_at,
            current: None,
            wanted: spec::Wanted::new(),
            waiting: collections::BTreeSet::new(),
            blocked: collections::BTreeMap::new(),
            preempting: collections::BTreeMap::new(),
            cpu_use: collections::BTreeMap::new(),
            interference: interference::Model::default(),
            table,
            table_changed: true,
            last_interference_check: now,
            inherited_endpoints: collections::BTreeMap::new(),
            acquired_at: now,
            commit_started_at: now,
            confirmed_at: now,
            read_back_at: None,
            named_snapshot,
            snapshot_uploading: false,
            uploaded_snapshot: None,
            decisions: collections::VecDeque::new(),
            counters: Counters::default(),
        }
    }

    /// Makes the decisions, commits and messages to workers that are due.
    pub(super) fn tick(
        &mut self,
        now: time::Duration,
        token: String,
        leaving: bool,
    ) -> Vec<super::Effect> {
        let mut effects = Vec::new();
        if self.committer.idle() && !leaving && self.config_is_current() {
            self.plan(now);
        }
        effects.extend(self.start_commit(now, token, leaving));
        effects.extend(self.retry_read_back(now));
        effects.extend(self.start_snapshot());
        if now.saturating_sub(self.confirmed_at) <= self.settings.authority {
            effects.extend(self.syncs(now));
        }
        self.rebuild_table(now);
        effects
    }

    /// Returns the head row after the last commit.
    #[must_use]
    pub fn head(&self) -> &lease::Head {
        self.committer.head()
    }

    /// Returns all tasks, including the effects of records that are not committed yet.
    #[must_use]
    pub fn task_table(&self) -> &task_table::TaskTable {
        &self.task_table
    }

    /// Returns the counts of the holder's actions.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the most recent decisions, oldest first.
    pub fn decisions(&self) -> impl Iterator<Item = &Decision> {
        self.decisions.iter()
    }

    /// Returns how many wanted tasks wait for a worker.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of tasks in each state.
    #[must_use]
    pub fn task_counts(&self) -> collections::BTreeMap<&'static str, usize> {
        let mut counts = collections::BTreeMap::from([("waiting", self.waiting.len())]);
        for entry in self.task_table.entries().values() {
            let label = match entry.state {
                task_table::State::Waiting => continue,
                task_table::State::Placed { .. } => "placed",
                task_table::State::Leaving { .. } => "leaving",
                task_table::State::Done => "done",
            };
            *counts.entry(label).or_default() += 1;
        }
        counts
    }

    /// Returns the workers for the state dump.
    pub(super) fn worker_dumps(
        &self,
        now: time::Duration,
    ) -> collections::BTreeMap<&id::WorkerId, super::WorkerDump> {
        let dump = |worker: &id::WorkerId, view: &view::WorkerView| super::WorkerDump {
            capacity: view.incarnation.capacity,
            used: self.task_table.used(worker),
            report_age_ms: view
                .incarnation
                .reported_at
                .map(|at| now.saturating_sub(at).as_millis()),
            failures_in_row: view.incarnation.failures_in_row,
        };
        self.views.iter().map(|(worker, view)| (worker, dump(worker, view))).collect()
    }

    /// Applies a configuration; an older or equal revision is ignored.
    pub(super) fn set_current(&mut self, current: &sync::Arc<super::Current>, now: time::Duration) {
        if self.current.as_ref().is_some_and(|previous| previous.revision >= current.revision) {
            return;
        }
        self.wanted = spec::wanted(&self.hall, &current.desired);
        self.current = Some(sync::Arc::clone(current));
        if self.config_is_current() {
            self.rebuild_waiting(now);
        }
    }

    /// Applies the platform's list of members.
    pub(super) fn set_members(&mut self, members: &members::Members, now: time::Duration) {
        self.table_changed = true;
        for (worker, view) in &mut self.views {
            let member = members.workers.get(worker).filter(|member| member.hall == self.hall);
            view.set_member(member, now);
        }
        for (worker, member) in &members.workers {
            if member.hall != self.hall || self.views.contains_key(worker) {
                continue;
            }
            let mut view = view::WorkerView::new(self.old_leases_expire_at);
            view.set_member(Some(member), now);
            self.views.insert(worker.clone(), view);
        }
    }

    /// Applies a record to the holder's own state and queues it for the next commit. Workers get
    /// commands that follow from it only after the commit.
    pub(super) fn propose(&mut self, now: time::Duration, record: task_table::Record) {
        if self.task_table.apply(&record).is_err() {
            self.counters.invalid_records += 1;
            return;
        }
        let task = record.task().clone();
        self.table_changed = true;
        self.uncommitted.insert(task.clone(), NOT_IN_COMMIT);
        self.count_record(now, &record);
        self.queue.push(record);
        self.update_waiting(now, &task);
    }

    /// Returns whether every change of a task is committed.
    pub(super) fn is_committed(&self, task: &id::TaskId) -> bool {
        !self.uncommitted.contains_key(task)
    }

    /// Counts a record and adds it to the decisions of the state dump.
    fn count_record(&mut self, now: time::Duration, record: &task_table::Record) {
        let what = match record {
            task_table::Record::Place { worker, .. } => {
                self.counters.placed += 1;
                Action::Placed { worker: worker.clone() }
            }
            task_table::Record::Evict { cause, .. } => {
                *self.counters.evicted.entry(*cause).or_default() += 1;
                Action::Evicted { cause: *cause }
            }
            task_table::Record::Free { proof, .. } => Action::Freed { proof: *proof },
            task_table::Record::Done { .. } => {
                self.counters.done += 1;
                Action::Done
            }
            task_table::Record::Forget { .. } => return,
        };
        self.record_decision(now, record.task().clone(), what);
    }

    /// Adds a decision to the state dump.
    pub(super) fn record_decision(&mut self, now: time::Duration, task: id::TaskId, what: Action) {
        if self.decisions.len() == MAX_DECISIONS {
            self.decisions.pop_front();
        }
        self.decisions.push_back(Decision { at_ms: now.as_millis(), task, what });
    }

    /// Returns whether the configuration is at least as recent as the last one that a holder acted
    /// on.
    pub(super) fn config_is_current(&self) -> bool {
        let acted_on = self.committer.head().config_revision;
        self.current.as_ref().is_some_and(|current| current.revision >= acted_on)
    }

    /// Starts a commit if one is due.
    fn start_commit(
        &mut self,
        now: time::Duration,
        token: String,
        leaving: bool,
    ) -> Option<super::Effect> {
        let since = now.saturating_sub(self.commit_started_at);
        let has_records = !self.queue.is_empty() && since >= self.settings.commit;
        let renewal_due = since >= self.settings.timing.lease / RENEWALS_PER_LEASE;
        if !self.committer.idle() || !(has_records || renewal_due || leaving) {
            return None;
        }
        let before = self.committer.head().clone();
        let mut writes = Vec::new();
        let mut head = lease::Head { token, ..before };
        if !self.queue.is_empty() {
            head.seq += 1;
            writes.push(self.log_write(head.seq)?);
        }
        if let Some(current) = &self.current {
            head.config_revision = head.config_revision.max(current.revision);
        }
        if let Some(snapshot) = self.uploaded_snapshot.take() {
            writes.extend(self.log_deletes(&head, &snapshot));
            head.snapshot = Some(snapshot);
        }
        if leaving {
            head.holder = None;
        }
        self.commit_started_at = now;
        let txn = self.committer.begin(head, writes).ok()?;
        Some(super::Effect::Txn(txn))
    }

    /// Moves the queued records into a write of the log.
    fn log_write(&mut self, seq: u64) -> Option<platform::Write> {
        let value = serde_json::to_string(&self.queue).ok()?;
        for record in &self.queue {
            self.uncommitted.insert(record.task().clone(), seq);
        }
        self.counters.records += self.queue.len() as u64;
        self.counters.commit_bytes += value.len() as u64;
        self.queue.clear();
        Some(platform::Write { key: super::log_key(&self.hall, seq), value: Some(value) })
    }

    /// Returns the deletions of the log rows that a snapshot covers.
    fn log_deletes(&self, head: &lease::Head, snapshot: &lease::Snapshot) -> Vec<platform::Write> {
        let from = head.snapshot.as_ref().map_or(0, |previous| previous.seq);
        (from + 1..=snapshot.seq)
            .map(|seq| platform::Write { key: super::log_key(&self.hall, seq), value: None })
            .collect()
    }

    /// Handles the answer to a commit.
    pub(super) fn answered(&mut self, answer: Option<&platform::TxnAnswer>) -> commit::Step {
        self.committer.answered(answer)
    }

    /// Handles the head row that was read to resolve an unknown commit outcome.
    pub(super) fn read_back(&mut self, version: u64, head: Option<&lease::Head>) -> commit::Step {
        self.committer.read_back(version, head)
    }

    /// Records that the outcome of a commit is unknown.
    pub(super) fn note_unknown_outcome(&mut self, now: time::Duration) {
        self.counters.doubts += 1;
        self.read_back_at = Some(now);
    }

    /// Requests the head row again while the outcome of a commit is unknown.
    fn retry_read_back(&mut self, now: time::Duration) -> Option<super::Effect> {
        let since = now.saturating_sub(self.read_back_at?);
        if self.committer.idle() || since < self.settings.poll {
            return None;
        }
        self.read_back_at = Some(now);
        Some(super::Effect::ReadHead)
    }

    /// Records a successful commit; returns the snapshot that it replaced.
    pub(super) fn commit_succeeded(&mut self, now: time::Duration) -> Option<lease::Snapshot> {
        let seq = self.committer.head().seq;
        let affected: Vec<id::WorkerId> = self
            .uncommitted
            .iter()
            .filter(|(_, at)| **at <= seq)
            .filter_map(|(task, _)| self.task_table.get(task)?.state.worker().cloned())
            .collect();
        self.uncommitted.retain(|_, at| *at > seq);
        for worker in affected {
            if let Some(view) = self.views.get_mut(&worker) {
                view.update_pending = true;
            }
        }
        self.counters.commits += 1;
        // The write took effect only after its start, so the authority counts from the start.
        self.confirmed_at = self.commit_started_at.min(now);
        self.read_back_at = None;
        let named_snapshot = self.committer.head().snapshot.clone();
        let previous = std::mem::replace(&mut self.named_snapshot, named_snapshot);
        previous.filter(|previous| Some(previous) != self.named_snapshot.as_ref())
    }

    /// Starts a snapshot if one is due and the task table contains only committed records.
    fn start_snapshot(&mut self) -> Option<super::Effect> {
        let head = self.committer.head();
        let last = head.snapshot.as_ref().map_or(0, |snapshot| snapshot.seq);
        let due = head.seq >= last + self.settings.snapshot_every;
        let clean = self.committer.idle() && self.queue.is_empty();
        if !due || !clean || self.snapshot_uploading || self.uploaded_snapshot.is_some() {
            return None;
        }
        let text = serde_json::to_string(&self.task_table).ok()?;
        let key = format!("hall/{}/snapshot/{}-{}", self.hall, head.epoch, head.seq);
        self.snapshot_uploading = true;
        Some(super::Effect::Store(lease::Snapshot { key, seq: head.seq }, text))
    }

    /// Records the end of a snapshot upload; a sequence number of zero means that it failed.
    pub(super) fn snapshot_stored(&mut self, snapshot: lease::Snapshot) {
        self.snapshot_uploading = false;
        if snapshot.seq > 0 {
            self.uploaded_snapshot = Some(snapshot);
        }
    }
}
