//! Group commit: one transaction at a time, each conditional on the lease and renewing it.
//!
//! Every transaction changes the lease row, so one that the store carries out late, after its
//! answer was lost, finds its condition gone.

use std::collections;
use std::time;

use super::event;
use super::holding;
use super::rows as kept;
use super::spec;
use super::worker;
use crate::id;
use crate::rows;

/// The most jobs in one transaction; the store takes 100 entries, the lease and counts among them.
const MAX_JOBS: usize = 45;
/// The time between two counts of what waits; readers are promised counts of at most 2 s.
const COUNT_EVERY: time::Duration = time::Duration::from_millis(700);
/// The time between two writes of what was learned; some 5 KB each.
const LEARNED_EVERY: time::Duration = time::Duration::from_secs(2);
/// The wait before a transaction without an answer is sent again.
const RETRY: time::Duration = time::Duration::from_millis(150);

/// What became of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    /// It stands.
    Done,
    /// Nothing is known yet.
    Open,
    /// Another host has the lease.
    Lost,
    /// It stands, and gave the lease up.
    Released,
}

/// Returns the transaction that only writes the lease.
pub(super) fn lease_txn(
    domain: u32,
    version: u64,
    lease: &kept::Lease,
) -> Result<rows::Txn, serde_json::Error> {
    let key = kept::lease_key(domain);
    let value = Some(serde_json::to_string(lease)?);
    Ok(rows::Txn {
        expects: vec![rows::Expect { key: key.clone(), version }],
        writes: vec![rows::Write { key, value }],
    })
}

/// Returns the version of a lease row that stands as it was written.
pub(super) fn settled(answer: Option<&rows::Answer>, lease: &kept::Lease) -> Option<u64> {
    match answer? {
        rows::Answer::Done { version } => Some(*version),
        // An earlier sending of the same transaction may be what this one conflicts with.
        rows::Answer::Conflict { rows } => rows.iter().find_map(|row| {
            let found: kept::Lease = serde_json::from_str(row.value.as_deref()?).ok()?;
            (found == *lease).then_some(row.version)
        }),
    }
}

impl holding::Holding {
    /// Returns the next transaction, if one is due and none is under way.
    pub(super) fn commit(&mut self, now: time::Duration, number: u64) -> Option<event::Effect> {
        if let Some(pending) = &mut self.pending {
            if pending.again.is_none_or(|at| now < at) {
                return None;
            }
            pending.again = None;
            pending.number = number;
            return Some(event::Effect::Txn(number, pending.txn.clone()));
        }
        let gap = now.saturating_sub(self.committed);
        let news = !self.dirty.is_empty() || !self.expired.is_empty() || self.leaving;
        if !(news && gap >= self.settings.commit || gap >= self.settings.renew) {
            return None;
        }
        match self.gather(now, number) {
            Ok(txn) => Some(event::Effect::Txn(number, txn)),
            Err(err) => {
                tracing::error!(%err, "a row can't be encoded; the domain stands still");
                None
            }
        }
    }

    /// Gathers what has changed into one transaction.
    fn gather(&mut self, now: time::Duration, number: u64) -> Result<rows::Txn, serde_json::Error> {
        let domain = self.settings.domain;
        let taken = self.dirty.len().min(MAX_JOBS);
        let jobs: Vec<spec::JobId> = self.dirty.drain(..taken).collect();
        let whole = self.dirty.is_empty();
        let release = self.leaving && whole;
        let lease = kept::Lease {
            holder: if release { None } else { self.lease.holder.clone() },
            seq: self.lease.seq + 1,
            ..self.lease.clone()
        };
        let mut txn = lease_txn(domain, self.version, &lease)?;
        for job in &jobs {
            if let Some(entry) = self.jobs.get_mut(job) {
                entry.dirty = false;
                let key = kept::progress_key(domain, *job);
                let value = Some(entry.progress.encode()?);
                txn.writes.push(rows::Write { key, value });
            }
        }
        let room = (MAX_JOBS - jobs.len()).min(self.expired.len());
        let removed: Vec<spec::JobId> = self.expired.drain(..room).collect();
        for job in &removed {
            let key = kept::progress_key(domain, *job);
            txn.writes.push(rows::Write { key, value: None });
        }
        self.add_counts(&mut txn, now)?;
        self.add_learned(&mut txn, now)?;
        let staged = std::mem::take(&mut self.staged);
        let (starts, later) =
            staged.into_iter().partition(|task: &spec::TaskId| jobs.contains(&task.job));
        self.staged = later;
        // Ends are acknowledged only with everything that followed from them.
        let heard = if whole { self.unacknowledged() } else { Vec::new() };
        let pending = holding::Pending {
            number,
            txn: txn.clone(),
            lease,
            sent: now,
            again: None,
            heard,
            starts,
            removed,
        };
        self.pending = Some(pending);
        self.committed = now;
        Ok(txn)
    }

    /// Adds the counts of what waits, where they have changed.
    fn add_counts(
        &mut self,
        txn: &mut rows::Txn,
        now: time::Duration,
    ) -> Result<(), serde_json::Error> {
        if now.saturating_sub(self.counted_at) < COUNT_EVERY {
            return Ok(());
        }
        self.counted_at = now;
        self.log_state();
        let counts = self.count_waiting();
        if counts != self.counted {
            let key = kept::waiting_key(self.settings.domain);
            let value = Some(serde_json::to_string(&counts)?);
            txn.writes.push(rows::Write { key, value });
            self.counted = counts;
        }
        Ok(())
    }

    /// Adds what was learned, from time to time.
    fn add_learned(
        &mut self,
        txn: &mut rows::Txn,
        now: time::Duration,
    ) -> Result<(), serde_json::Error> {
        if now.saturating_sub(self.kept_at) < LEARNED_EVERY {
            return Ok(());
        }
        self.kept_at = now;
        let key = kept::learned_key(self.settings.domain);
        let value = Some(serde_json::to_string(&self.learned)?);
        txn.writes.push(rows::Write { key, value });
        Ok(())
    }

    /// Logs how much there is to do and what is in use.
    fn log_state(&self) {
        let sum = |pick: fn(&worker::View) -> u64| self.views.values().map(pick).sum::<u64>();
        let at_work = |view: &worker::View| -> u64 {
            let shares = view.filling.values();
            shares.map(|filling| filling.cpu_milli * u64::from(filling.percent) / 100).sum()
        };
        tracing::info!(
            jobs = self.jobs.values().filter(|entry| entry.active()).count(),
            ready = self.ready.len(),
            ready_first = self.ready.values().filter(|ready| ready.priority == 0).count(),
            ready_lasting = self.ready.values().filter(|ready| ready.lasting).count(),
            largest_free_milli = self.views.values().map(|view| view.free().cpu_milli).max(),
            resting = self.views.values().filter(|view| !view.takes(self.now)).count(),
            placed = self.placed.len(),
            workers = self.views.len(),
            capacity_milli = sum(|view| view.member.capacity.cpu_milli),
            reserved_milli = sum(|view| view.used.cpu_milli),
            serving_milli = sum(|view| view.serving_milli),
            filling_milli = sum(|view| view.filling_milli),
            filling_at_work_milli = sum(at_work),
            capacity_mb = sum(|view| view.member.capacity.mem_mb),
            used_mb = sum(|view| view.used.mem_mb),
            commits = self.commits,
            "domain"
        );
    }

    /// Counts the jobs that wait, by queue.
    fn count_waiting(&self) -> kept::Waiting {
        let mut queues = collections::BTreeMap::new();
        for entry in self.jobs.values().filter(|entry| entry.waits()) {
            *queues.entry(entry.job.queue.clone()).or_insert(0) += 1;
        }
        kept::Waiting { queues }
    }

    /// Returns the ends that were taken in and not yet acknowledged, by worker.
    fn unacknowledged(&self) -> Vec<(id::WorkerId, u64)> {
        let open = self.views.iter().filter(|(_, view)| view.heard > view.seen);
        open.map(|(worker, view)| (worker.clone(), view.heard)).collect()
    }

    /// Takes the answer to a transaction.
    pub(super) fn answered(
        &mut self,
        number: u64,
        answer: Option<&rows::Answer>,
        now: time::Duration,
    ) -> Fate {
        let Some(pending) = self.pending.take_if(|pending| pending.number == number) else {
            return Fate::Open;
        };
        let Some(version) = settled(answer, &pending.lease) else {
            if answer.is_some() {
                return Fate::Lost;
            }
            tracing::warn!(number, seq = pending.lease.seq, "commit in doubt, sent again");
            self.pending = Some(holding::Pending { again: Some(now + RETRY), ..pending });
            return Fate::Open;
        };
        self.version = version;
        self.renewed = pending.sent;
        let released = pending.lease.holder.is_none();
        self.lease = pending.lease;
        self.commits += 1;
        for (worker, heard) in &pending.heard {
            if let Some(view) = self.views.get_mut(worker) {
                view.seen = *heard;
            }
        }
        for job in &pending.removed {
            self.jobs.remove(job);
        }
        if released {
            return Fate::Released;
        }
        self.release(&pending.starts, now);
        Fate::Done
    }
}
