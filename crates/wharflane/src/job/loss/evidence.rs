//! What shows that a worker was lost, and whether that turns out wrong.
//!
//! Whatever was counted, a worker that lives is listed again or answers, under the same
//! incarnation. Its loss is then taken back.

use std::collections;
use std::time;

use crate::id;
use crate::job::holding;
use crate::job::loss::crash;
use crate::job::spec;
use crate::job::workers::worker;

/// How long a counted loss is remembered, to notice a worker that is there again.
const REMEMBERED_FOR: time::Duration = time::Duration::from_secs(120);
/// Maximum number of counted losses that are remembered.
const MAX_REMEMBERED: usize = 4_096;

/// What shows that an incarnation of a worker is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::job) enum Evidence {
    /// Another incarnation answers at its address or follows it under its id.
    Replaced,
    /// It was missing for long (see `missing`).
    Missing,
}

/// A lost worker with the tasks against which its loss counts.
#[derive(Clone, Debug)]
struct Counted {
    /// When the loss was counted.
    at: time::Duration,
    /// What showed that the worker was lost.
    evidence: Evidence,
    /// The losses, as they were counted.
    losses: Vec<crash::CountedLoss>,
}

/// The losses that were counted recently, by the incarnation that was lost.
#[derive(Debug, Default)]
pub(in crate::job) struct CountedLosses(collections::BTreeMap<id::Incarnation, Counted>);

impl CountedLosses {
    /// Adds the loss of a worker; drops what was remembered for long enough.
    pub fn add(
        &mut self,
        worker: &id::Incarnation,
        evidence: Evidence,
        losses: &[crash::CountedLoss],
        now: time::Duration,
    ) {
        let since = now.saturating_sub(REMEMBERED_FOR);
        self.0.retain(|_, counted| counted.at >= since);
        if losses.is_empty() || self.0.len() >= MAX_REMEMBERED {
            return;
        }
        let counted = Counted { at: now, evidence, losses: losses.to_vec() };
        self.0.insert(worker.clone(), counted);
    }

    /// Drops the losses of a task, which no longer count.
    pub fn forget(&mut self, task: spec::TaskId) {
        for counted in self.0.values_mut() {
            counted.losses.retain(|loss| loss.task != task);
        }
    }
}

impl holding::Holding {
    /// Notes that the store lists an incarnation. The entry of one that was replaced may last on.
    pub(in crate::job) fn note_listed(&mut self, worker: &id::Incarnation) {
        let counted = self.counted_losses.0.get(worker);
        if counted.is_some_and(|counted| counted.evidence != Evidence::Replaced) {
            self.note_alive(worker);
        }
    }

    /// Notes that an incarnation lives, and takes back its loss if that was counted.
    pub(in crate::job) fn note_alive(&mut self, worker: &id::Incarnation) {
        self.note_missing_is_back(worker);
        let Some(counted) = self.counted_losses.0.remove(worker) else {
            return;
        };
        self.false_losses += counted.losses.len() as u64;
        tracing::warn!(
            %worker, evidence = ?counted.evidence, tasks = counted.losses.len(),
            ago_ms = worker::millis(self.now.saturating_sub(counted.at)),
            "worker that counted as lost is there again"
        );
        self.correlated.take_back(worker);
        for loss in &counted.losses {
            self.take_back_loss(loss);
        }
    }

    /// Takes back that a loss counts against a task.
    fn take_back_loss(&mut self, loss: &crash::CountedLoss) {
        let entry = self.jobs.get_mut(&loss.task.job);
        let state = entry.and_then(|entry| entry.progress.tasks.get_mut(&loss.task.into()));
        let Some(state) = state else {
            return;
        };
        state.losses.take_back(loss);
        if state.losses.all() == 0 {
            self.loss_record.forget(loss.task);
        }
        self.mark_task(loss.task);
        self.changed = true;
    }
}
