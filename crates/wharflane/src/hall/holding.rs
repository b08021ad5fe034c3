//! What the holder of a hall keeps, and how it commits its decisions.

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

/// How many decisions are kept for the state dump.
const DECISIONS_KEPT: usize = 64;
/// Stands for the number of the commit that a record has yet to become part of.
const NO_COMMIT_YET: u64 = u64::MAX;
/// The number of commits that the lease spans without news.
const BEATS_PER_LEASE: u32 = 3;

/// A decision as the state dump shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Decision {
    /// When, by this process's clock.
    pub at_ms: u128,
    /// The task.
    pub task: id::TaskId,
    /// What was decided.
    pub what: Action,
}

/// What was decided about a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "decision", rename_all = "kebab-case")]
pub enum Action {
    /// It got a worker.
    Placed {
        /// The worker.
        worker: id::WorkerId,
    },
    /// It is to leave its worker.
    Evicted {
        /// Why.
        cause: task_table::Cause,
    },
    /// It is known to have stopped.
    Freed {
        /// How it is known.
        proof: task_table::Proof,
    },
    /// It came to its end.
    Done,
    /// It runs at a share of its processors.
    Throttled {
        /// The share.
        percent: u8,
    },
}

/// What the holder has done since it took the hall.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Commits that stand.
    pub commits: u64,
    /// Records in them.
    pub records: u64,
    /// Bytes of their values.
    pub commit_bytes: u64,
    /// Times that the fate of a commit was in doubt.
    pub doubts: u64,
    /// Messages to workers.
    pub syncs: u64,
    /// Tasks placed.
    pub placed: u64,
    /// Tasks that came to their end.
    pub done: u64,
    /// Evictions by cause.
    pub evicted: collections::BTreeMap<task_table::Cause, u64>,
    /// Throttles set.
    pub throttled: u64,
    /// Records that did not fit the state, which shows a fault of this program.
    pub invalid_records: u64,
}

/// The state of a hall's holder.
#[derive(Debug)]
pub struct Holding {
    /// The hall.
    pub(super) hall: id::HallId,
    /// The times.
    pub(super) settings: super::Settings,
    /// The writer.
    committer: commit::Committer,
    /// All tasks, with every record proposed.
    pub(super) task_table: task_table::TaskTable,
    /// Records proposed and not yet part of a commit.
    queue: Vec<task_table::Record>,
    /// Tasks that a record not yet committed has changed, with the commit that holds it.
    ahead: collections::BTreeMap<id::TaskId, u64>,
    /// The workers.
    pub(super) views: collections::BTreeMap<id::WorkerId, view::View>,
    /// When every lease given by an earlier holder has lapsed.
    pub(super) old_leases_lapse: time::Duration,
    /// The configuration that is acted on.
    pub(super) current: Option<sync::Arc<super::Current>>,
    /// The tasks that it gives to this hall.
    pub(super) wanted: spec::Wanted,
    /// Wanted tasks without a worker, by priority.
    pub(super) waiting: collections::BTreeSet<slot::QueueKey>,
    /// Why tasks of a shape could not be placed in the last pass.
    pub(super) blocked: collections::BTreeMap<slot::Shape, slot::WaitReason>,
    /// The workers on which room is being made for a task.
    pub(super) promised: collections::BTreeMap<id::TaskId, id::WorkerId>,
    /// The processors that a task of each owner was seen to use, in thousandths of a core.
    pub(super) uses: collections::BTreeMap<String, f64>,
    /// The learned harm of pairs.
    pub(super) harms: interference::Model,
    /// The endpoints told to the hosts.
    pub(super) table: endpoints::Table,
    /// Whether anything has changed that the table is made of.
    pub(super) table_changed: bool,
    /// When disturbances were last looked at.
    pub(super) looked: time::Duration,
    /// The endpoints that the holder before told.
    pub(super) known: collections::BTreeMap<id::TaskId, endpoints::Endpoint>,
    /// When the hall was taken.
    pub(super) taken: time::Duration,
    /// When the last commit was begun.
    begun: time::Duration,
    /// When the last commit that stands was begun.
    confirmed: time::Duration,
    /// When the head row was last asked for in a doubt.
    doubted: Option<time::Duration>,
    /// The snapshot that the head row names.
    named: Option<lease::Snapshot>,
    /// Whether a snapshot is being stored.
    storing: bool,
    /// A stored snapshot that the next commit will name.
    stored: Option<lease::Snapshot>,
    /// The last decisions.
    decisions: collections::VecDeque<Decision>,
    /// What was done.
    pub(super) counters: Counters,
}

impl Holding {
    /// Starts from the state that was read.
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
        let old_leases_lapse = now + settings.authority + lease;
        let named = committer.head().snapshot.clone();
        let views = task_table
            .workers()
            .map(|worker| (worker.clone(), view::View::new(old_leases_lapse)))
            .collect();
        Self {
            hall,
            settings,
            committer,
            task_table,
            queue: Vec::new(),
            ahead: collections::BTreeMap::new(),
            views,
            old_leases_lapse,
            current: None,
            wanted: spec::Wanted::new(),
            waiting: collections::BTreeSet::new(),
            blocked: collections::BTreeMap::new(),
            promised: collections::BTreeMap::new(),
            uses: collections::BTreeMap::new(),
            harms: interference::Model::default(),
            table,
            table_changed: true,
            looked: now,
            known: collections::BTreeMap::new(),
            taken: now,
            begun: now,
            confirmed: now,
            doubted: None,
            named,
            storing: false,
            stored: None,
            decisions: collections::VecDeque::new(),
            counters: Counters::default(),
        }
    }

    /// Does what is due: decides, commits, and tells the workers.
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
        effects.extend(self.commit(now, token, leaving));
        effects.extend(self.ask_again(now));
        effects.extend(self.snapshot());
        if now.saturating_sub(self.confirmed) <= self.settings.authority {
            effects.extend(self.syncs(now));
        }
        self.refresh_table(now);
        effects
    }

    /// Returns the head row after the last commit.
    #[must_use]
    pub fn head(&self) -> &lease::Head {
        self.committer.head()
    }

    /// Returns the tasks with every record proposed.
    #[must_use]
    pub fn task_table(&self) -> &task_table::TaskTable {
        &self.task_table
    }

    /// Returns what was done.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the last decisions, the oldest first.
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
        let dump = |worker: &id::WorkerId, view: &view::View| super::WorkerDump {
            capacity: view.incarnation.capacity,
            used: self.task_table.used(worker),
            report_age_ms: view.incarnation.reported.map(|at| now.saturating_sub(at).as_millis()),
            failures_in_row: view.incarnation.failures_in_row,
        };
        self.views.iter().map(|(worker, view)| (worker, dump(worker, view))).collect()
    }

    /// Takes a configuration.
    pub(super) fn set_current(&mut self, current: &sync::Arc<super::Current>, now: time::Duration) {
        if self.current.as_ref().is_some_and(|old| old.revision >= current.revision) {
            return;
        }
        self.wanted = spec::wanted(&self.hall, &current.desired);
        self.current = Some(sync::Arc::clone(current));
        if self.config_is_current() {
            self.rebuild_waiting(now);
        }
    }

    /// Takes the platform's list.
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
            let mut view = view::View::new(self.old_leases_lapse);
            view.set_member(Some(member), now);
            self.views.insert(worker.clone(), view);
        }
    }

    /// Proposes a record: it counts for decisions at once, and for workers when committed.
    pub(super) fn propose(&mut self, now: time::Duration, record: task_table::Record) {
        if self.task_table.apply(&record).is_err() {
            self.counters.invalid_records += 1;
            return;
        }
        let task = record.task().clone();
        self.table_changed = true;
        self.ahead.insert(task.clone(), NO_COMMIT_YET);
        self.note(now, &record);
        self.queue.push(record);
        self.update_waiting(now, &task);
    }

    /// Returns whether a task's state stands in the store as it is here.
    pub(super) fn is_committed(&self, task: &id::TaskId) -> bool {
        !self.ahead.contains_key(task)
    }

    /// Keeps a decision for the state dump, and counts it.
    fn note(&mut self, now: time::Duration, record: &task_table::Record) {
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
        self.decided(now, record.task().clone(), what);
    }

    /// Keeps a decision for the state dump.
    pub(super) fn decided(&mut self, now: time::Duration, task: id::TaskId, what: Action) {
        if self.decisions.len() == DECISIONS_KEPT {
            self.decisions.pop_front();
        }
        self.decisions.push_back(Decision { at_ms: now.as_millis(), task, what });
    }

    /// Returns whether the configuration is not older than the one last acted on.
    pub(super) fn config_is_current(&self) -> bool {
        let acted_on = self.committer.head().config_revision;
        self.current.as_ref().is_some_and(|current| current.revision >= acted_on)
    }

    /// Begins a commit where one is due.
    fn commit(
        &mut self,
        now: time::Duration,
        token: String,
        leaving: bool,
    ) -> Option<super::Effect> {
        let since = now.saturating_sub(self.begun);
        let news = !self.queue.is_empty() && since >= self.settings.commit;
        let beat = since >= self.settings.timing.lease / BEATS_PER_LEASE;
        if !self.committer.idle() || !(news || beat || leaving) {
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
        if let Some(snapshot) = self.stored.take() {
            writes.extend(self.log_deletes(&head, &snapshot));
            head.snapshot = Some(snapshot);
        }
        if leaving {
            head.holder = None;
        }
        self.begun = now;
        let txn = self.committer.begin(head, writes).ok()?;
        Some(super::Effect::Txn(txn))
    }

    /// Moves the queue into a write of the log.
    fn log_write(&mut self, seq: u64) -> Option<platform::Write> {
        let value = serde_json::to_string(&self.queue).ok()?;
        for record in &self.queue {
            self.ahead.insert(record.task().clone(), seq);
        }
        self.counters.records += self.queue.len() as u64;
        self.counters.commit_bytes += value.len() as u64;
        self.queue.clear();
        Some(platform::Write { key: super::log_key(&self.hall, seq), value: Some(value) })
    }

    /// Returns the deletes of log rows that a snapshot holds.
    fn log_deletes(&self, head: &lease::Head, snapshot: &lease::Snapshot) -> Vec<platform::Write> {
        let from = head.snapshot.as_ref().map_or(0, |old| old.seq);
        (from + 1..=snapshot.seq)
            .map(|seq| platform::Write { key: super::log_key(&self.hall, seq), value: None })
            .collect()
    }

    /// Takes the answer to a commit.
    pub(super) fn answered(&mut self, answer: Option<&platform::TxnAnswer>) -> commit::Step {
        self.committer.answered(answer)
    }

    /// Takes the head row read after a doubt.
    pub(super) fn read_back(&mut self, version: u64, head: Option<&lease::Head>) -> commit::Step {
        self.committer.read_back(version, head)
    }

    /// Notes that the fate of a commit is in doubt.
    pub(super) fn doubt(&mut self, now: time::Duration) {
        self.counters.doubts += 1;
        self.doubted = Some(now);
    }

    /// Asks for the head row again while a doubt lasts.
    fn ask_again(&mut self, now: time::Duration) -> Option<super::Effect> {
        let since = now.saturating_sub(self.doubted?);
        if self.committer.idle() || since < self.settings.poll {
            return None;
        }
        self.doubted = Some(now);
        Some(super::Effect::ReadHead)
    }

    /// Notes that a commit stands; returns the snapshot that it has replaced.
    pub(super) fn committed(&mut self, now: time::Duration) -> Option<lease::Snapshot> {
        let seq = self.committer.head().seq;
        let told: Vec<id::WorkerId> = self
            .ahead
            .iter()
            .filter(|(_, at)| **at <= seq)
            .filter_map(|(task, _)| self.task_table.get(task)?.state.worker().cloned())
            .collect();
        self.ahead.retain(|_, at| *at > seq);
        for worker in told {
            if let Some(view) = self.views.get_mut(&worker) {
                view.news = true;
            }
        }
        self.counters.commits += 1;
        // The write took effect after it was begun, so the authority counts from there.
        self.confirmed = self.begun.min(now);
        self.doubted = None;
        let named = self.committer.head().snapshot.clone();
        let old = std::mem::replace(&mut self.named, named);
        old.filter(|old| Some(old) != self.named.as_ref())
    }

    /// Returns a snapshot to store where one is due and the task table holds just what is committed.
    fn snapshot(&mut self) -> Option<super::Effect> {
        let head = self.committer.head();
        let last = head.snapshot.as_ref().map_or(0, |snapshot| snapshot.seq);
        let due = head.seq >= last + self.settings.snapshot_every;
        let clean = self.committer.idle() && self.queue.is_empty();
        if !due || !clean || self.storing || self.stored.is_some() {
            return None;
        }
        let text = serde_json::to_string(&self.task_table).ok()?;
        let key = format!("hall/{}/snapshot/{}-{}", self.hall, head.epoch, head.seq);
        self.storing = true;
        Some(super::Effect::Store(lease::Snapshot { key, seq: head.seq }, text))
    }

    /// Notes that a snapshot was stored; a failed store has a sequence of zero.
    pub(super) fn stored(&mut self, snapshot: lease::Snapshot) {
        self.storing = false;
        if snapshot.seq > 0 {
            self.stored = Some(snapshot);
        }
    }
}
