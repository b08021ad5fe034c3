//! Workers that are missing: the leases there are over, and it is unknown whether they live.
//!
//! A worker that this holder can't reach, or never could, looks like a lost one once its list entry
//! has lapsed. But entries lapse while the store is away, or while their worker is cut off from it,
//! and a new holder doesn't know the address of such a worker. So its loss stays undecided until
//! another incarnation answers in its place, or it has been missing for long. Meanwhile it is
//! marked in the progress of its tasks, also for the next holder: it bounds their starts, and ends
//! no job.

use std::collections;
use std::time;

use crate::id;
use crate::job::holding;
use crate::job::loss::crash;
use crate::job::loss::evidence;
use crate::job::progress;
use crate::job::spec;

/// How long a worker that answers nobody must be missing from the store's list until it counts as
/// lost. Workers that are cut off return within seconds, and so do entries after an outage of the
/// store.
const MISSING_FOR: time::Duration = time::Duration::from_secs(20);
/// Maximum number of missing workers that are marked in a task's progress, to bound its row; a task
/// with as many gets no start.
const MAX_MARKED: usize = 5;

/// A missing worker.
#[derive(Debug)]
struct MissingWorker {
    /// The incarnation; absent if an earlier holder marked it.
    worker: Option<id::Incarnation>,
    /// When its leases were over, or its list entry last vanished, whichever is later.
    since: time::Duration,
    /// The tasks that were there.
    present: Vec<crash::Presence>,
}

/// The missing workers, by the hash of their incarnation.
#[derive(Debug, Default)]
pub(in crate::job) struct MissingWorkers(collections::BTreeMap<u32, MissingWorker>);

impl MissingWorkers {
    /// Returns whether a worker is missing.
    pub fn contains(&self, worker: &id::Incarnation) -> bool {
        !self.0.is_empty() && self.0.contains_key(&hash(worker))
    }

    /// Returns whether a worker is missing under a run of a task.
    pub fn contains_run(&self, worker: &id::Incarnation, task: spec::TaskId, run: u32) -> bool {
        let missing = self.0.get(&hash(worker));
        missing.is_some_and(|missing| missing.present.iter().any(|p| p.is_run(task, run)))
    }

    /// Adds a worker that an earlier holder marked in the progress of a task.
    fn inherit(&mut self, key: u32, task: spec::TaskId, now: time::Duration) {
        let missing = MissingWorker { worker: None, since: now, present: Vec::new() };
        self.0.entry(key).or_insert(missing).present.push(crash::Presence::inherited(task));
    }
}

impl holding::Holding {
    /// Records a worker as missing under tasks whose leases are over.
    pub(in crate::job) fn record_missing(
        &mut self,
        worker: &id::Incarnation,
        tasks: &[spec::TaskId],
        now: time::Duration,
    ) {
        let leaving = self.views.get(worker).is_some_and(|view| view.member.leaving);
        let present = self.ordered_presences(tasks);
        if leaving || present.is_empty() {
            return;
        }
        let key = hash(worker);
        tracing::info!(%worker, tasks = present.len(), "worker is missing");
        for presence in &present {
            self.mark_missing(presence.task, key);
        }
        let worker = Some(worker.clone());
        let missing = MissingWorker { worker, since: now, present: Vec::new() };
        self.missing_workers.0.entry(key).or_insert(missing).present.extend(present);
    }

    /// Marks a missing worker in the progress of a task.
    fn mark_missing(&mut self, task: spec::TaskId, key: u32) {
        let entry = self.jobs.get_mut(&task.job);
        let state = entry.and_then(|entry| entry.progress.tasks.get_mut(&task.into()));
        if let Some(state) = state.filter(|state| state.missing.len() < MAX_MARKED) {
            state.missing.insert(key);
            self.mark_task(task);
        }
    }

    /// Adds the missing workers that an earlier holder marked in the progress of a job.
    pub(in crate::job) fn inherit_missing(
        &mut self,
        job: spec::JobId,
        progress: &progress::Progress,
        now: time::Duration,
    ) {
        for (position, task) in &progress.tasks {
            for key in &task.missing {
                self.missing_workers.inherit(*key, position.of(job), now);
            }
        }
    }

    /// Removes a worker from the missing ones, and returns the tasks that were there.
    pub(in crate::job) fn take_missing(
        &mut self,
        worker: &id::Incarnation,
    ) -> Vec<crash::Presence> {
        if !self.missing_workers.contains(worker) {
            return Vec::new();
        }
        self.take_missing_key(hash(worker))
    }

    /// Removes a missing worker by its hash, and returns the tasks that were there.
    fn take_missing_key(&mut self, key: u32) -> Vec<crash::Presence> {
        let missing = self.missing_workers.0.remove(&key);
        let present = missing.map(|missing| missing.present).unwrap_or_default();
        for presence in &present {
            let task = presence.task;
            let entry = self.jobs.get_mut(&task.job);
            let state = entry.and_then(|entry| entry.progress.tasks.get_mut(&task.into()));
            if state.is_some_and(|state| state.missing.remove(&key)) {
                self.mark_task(task);
                self.changed = true;
            }
        }
        present
    }

    /// Notes that the entry of a worker has vanished from the store's list.
    pub(in crate::job) fn note_unlisted(&mut self, worker: &id::Incarnation, now: time::Duration) {
        if self.missing_workers.contains(worker)
            && let Some(missing) = self.missing_workers.0.get_mut(&hash(worker))
        {
            missing.since = now;
        }
    }

    /// Notes that the entry of a worker has appeared in the store's list, which only a worker that
    /// lives writes. Entries that were there when this holder began may be old.
    pub(in crate::job) fn note_relisted(&mut self, worker: &id::Incarnation, now: time::Duration) {
        if !self.missing_workers.contains(worker) {
            return;
        }
        let missing = self.missing_workers.0.get(&hash(worker));
        if missing.is_some_and(|missing| missing.worker.is_some() || missing.since < now) {
            self.note_missing_is_back(worker);
        }
    }

    /// Notes that a worker lives that was missing.
    pub(in crate::job) fn note_missing_is_back(&mut self, worker: &id::Incarnation) {
        let present = self.take_missing(worker);
        if !present.is_empty() {
            tracing::info!(%worker, tasks = present.len(), "missing worker is there again");
        }
    }

    /// Counts the losses of workers that were missing for long.
    pub(in crate::job) fn count_missing_workers(&mut self, now: time::Duration) {
        let missing = self.missing_workers.0.iter();
        let due = missing.filter(|(_, missing)| now.saturating_sub(missing.since) >= MISSING_FOR);
        let due: Vec<u32> = due.map(|(key, _)| *key).collect();
        for key in due {
            let mut listed = self.views.iter().filter(|(_, view)| view.listed);
            let is_listed = listed.any(|(worker, _)| hash(worker) == key);
            let missing = self.missing_workers.0.get_mut(&key);
            if is_listed && let Some(missing) = missing {
                // It may live out of reach for long; each look takes a while in a large fleet.
                missing.since = now;
                continue;
            }
            let missing = self.missing_workers.0.get(&key);
            let worker = missing.and_then(|missing| missing.worker.clone());
            let worker = worker.unwrap_or_else(|| format!("missing-{key}").as_str().into());
            let present = self.take_missing_key(key);
            self.count_expired(&worker, &present, evidence::Evidence::Missing);
        }
    }
}

/// Returns a hash of an incarnation, short enough for the progress of many tasks.
fn hash(worker: &id::Incarnation) -> u32 {
    xxhash_rust::xxh3::xxh3_64(worker.to_string().as_bytes()) as u32
}
