//! Group commit: one transaction is in flight at a time, and each is conditional on the lease row
//! and renews it.
//!
//! Every transaction changes the lease row, so one that the store applies late, after its answer
//! was lost, fails its condition.

use std::collections;
use std::time;

use crate::job::event;
use crate::job::holding;
use crate::job::rows as job_rows;
use crate::job::runs::work;
use crate::job::spec;
use crate::job::store::pending;
use crate::job::workers::worker;
use crate::rows;

/// The most progress rows in one transaction. The store accepts 100 entries: the lease uses two,
/// the counts, the unlisted workers and the policies one each, and learned data ten.
const MAX_ROWS: usize = 85;
/// The most bytes of progress in one transaction. The store accepts 1 MB, which is 750 KB before
/// base64; learned data takes 210 KB at most, the policies 30 KB, and a single job 480 KB.
const MAX_BYTES: usize = 480_000;
/// The time between two counts of waiting jobs; readers are promised counts at most 2 s old.
const COUNT_INTERVAL: time::Duration = time::Duration::from_millis(700);
/// How long a new holder delays its first count until it knows which starts of its predecessor were
/// accepted; the predecessor's counts remain valid for 2 s.
const FIRST_COUNT_DELAY: time::Duration = time::Duration::from_millis(1_500);
/// The time between two writes of learned data, about 5 KB each with six images a side.
const LEARNED_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// The delay before a transaction without an answer is sent again.
const TXN_RETRY_DELAY: time::Duration = time::Duration::from_millis(150);

/// The outcome of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::job) enum CommitOutcome {
    /// It is committed.
    Committed,
    /// Its outcome is not known yet, or it is to be replaced by another.
    Pending,
    /// Another host holds the lease.
    LeaseLost,
    /// It is committed and released the lease.
    Released,
}

/// Returns the transaction that writes only the lease.
pub(in crate::job) fn lease_txn(
    domain: u32,
    version: u64,
    lease: &job_rows::Lease,
) -> Result<rows::Txn, serde_json::Error> {
    let key = job_rows::lease_key(domain);
    let value = Some(serde_json::to_string(lease)?);
    Ok(rows::Txn {
        expects: vec![rows::Expect { key: key.clone(), version }],
        writes: vec![rows::Write { key, value }],
    })
}

/// Returns the version of the lease row if the transaction that wrote it is committed.
pub(in crate::job) fn committed_version(
    outcome: &rows::Outcome,
    lease: &job_rows::Lease,
) -> Option<u64> {
    match outcome {
        rows::Outcome::Answered(rows::Answer::Done { version }) => Some(*version),
        // The conflict may come from an earlier attempt of the same transaction that was applied.
        rows::Outcome::Answered(rows::Answer::Conflict { rows }) => rows.iter().find_map(|row| {
            let found: job_rows::Lease = serde_json::from_str(row.value.as_deref()?).ok()?;
            (found == *lease).then_some(row.version)
        }),
        rows::Outcome::Refused | rows::Outcome::Unknown => None,
    }
}

/// The progress rows of one commit.
#[derive(Debug, Default)]
struct Batch {
    /// The jobs whose progress the writes contain.
    jobs: Vec<spec::JobId>,
    /// All changed rows of these jobs.
    writes: Vec<rows::Write>,
    /// The total length of the values.
    bytes: usize,
}

impl Batch {
    /// Adds all changed rows of a job; returns false if they don't fit. The first job always fits.
    fn add(&mut self, job: spec::JobId, writes: Vec<rows::Write>) -> bool {
        let bytes: usize =
            writes.iter().filter_map(|write| write.value.as_ref()).map(String::len).sum();
        let fits = self.writes.len() + writes.len() <= MAX_ROWS && self.bytes + bytes <= MAX_BYTES;
        if !fits && !self.jobs.is_empty() {
            return false;
        }
        self.jobs.push(job);
        self.writes.extend(writes);
        self.bytes += bytes;
        true
    }
}

impl holding::Holding {
    /// Returns the next transaction if one is due and none is in flight.
    pub(in crate::job) fn commit(
        &mut self,
        now: time::Duration,
        number: u64,
    ) -> Option<event::Effect> {
        if let Some(pending) = &mut self.pending {
            if pending.resend_at.is_none_or(|at| now < at) {
                return None;
            }
            pending.resend_at = None;
            pending.number = number;
            return Some(event::Effect::Txn(number, pending.txn.clone()));
        }
        let gap = now.saturating_sub(self.committed);
        let has_changes = !self.dirty.is_empty() || !self.expired.is_empty() || self.leaving;
        let due = gap >= self.commit_gap()
            && (has_changes || self.lacks_unlisted(now) || self.lacks_policies(now));
        if !(due || gap >= self.settings.renew) {
            return None;
        }
        match self.build_txn(now, number) {
            Ok(txn) => Some(event::Effect::Txn(number, txn)),
            Err(err) => {
                tracing::error!(%err, "a row can't be encoded; nothing of the domain is committed");
                None
            }
        }
    }

    /// Takes over a renewal of the lease that was sent while the state was loaded; the first commit
    /// follows it.
    pub(in crate::job) fn adopt_renewal(
        &mut self,
        number: Option<u64>,
        lease: &job_rows::Lease,
        sent: time::Duration,
    ) -> Result<(), serde_json::Error> {
        let resend_at = number.is_none().then_some(sent);
        let txn = lease_txn(self.settings.domain, self.version, lease)?;
        let pending = pending::Pending {
            number: number.unwrap_or_default(),
            txn,
            lease: lease.clone(),
            sent,
            resend_at,
            jobs: Vec::new(),
            extras: false,
            ends: Vec::new(),
            starts: Vec::new(),
            removed: Vec::new(),
        };
        self.pending = Some(pending);
        Ok(())
    }

    /// Collects all uncommitted changes into one transaction.
    fn build_txn(
        &mut self,
        now: time::Duration,
        number: u64,
    ) -> Result<rows::Txn, serde_json::Error> {
        let domain = self.settings.domain;
        let batch = self.take_dirty()?;
        let release = self.leaving && (self.release_now || self.dirty.is_empty());
        // Rows of an older version don't tell which starts are not shown. After a lease row that
        // doesn't either, a version is told only once all of them are written again.
        let rows_tell = self.lease.shown_upto.is_some() || self.dirty.is_empty();
        let shown_upto = rows_tell.then(|| self.unshown.shown_upto(self.version));
        let mut lease = job_rows::Lease {
            holder: if release { None } else { self.lease.holder.clone() },
            seq: self.lease.seq + 1,
            written_ms: self.store_clock.map(|clock| clock.ms(now)),
            backlogs: self.backlogs.clone(),
            shown_upto,
            ..self.lease.clone()
        };
        self.inherited.hand_on(&mut lease, now);
        let mut txn = lease_txn(domain, self.version, &lease)?;
        txn.writes.extend(batch.writes);
        let removed = self.remove_expired(&mut txn);
        if now >= self.commit_limits.counts_from {
            self.add_counts(&mut txn, now)?;
        }
        let before_extras = txn.writes.len();
        if now >= self.commit_limits.extras_from {
            self.add_learned(&mut txn, now)?;
            self.add_unlisted(&mut txn)?;
            self.add_policies(&mut txn)?;
        }
        let extras = txn.writes.len() > before_extras;
        let staged = std::mem::take(&mut self.staged);
        let (starts, later) =
            staged.into_iter().partition(|task: &spec::TaskId| batch.jobs.contains(&task.job));
        self.staged = later;
        let ends = self.take_unrecorded(&batch.jobs);
        let pending = pending::Pending {
            number,
            txn: txn.clone(),
            lease,
            sent: now,
            resend_at: None,
            jobs: batch.jobs,
            extras,
            ends,
            starts,
            removed,
        };
        self.pending = Some(pending);
        self.committed = now;
        let values = txn.writes.iter().filter_map(|write| write.value.as_ref());
        self.link.record_commit(values.map(String::len).sum());
        Ok(txn)
    }

    /// Returns the minimum time between two commits.
    pub(in crate::job) fn commit_gap(&self) -> time::Duration {
        self.settings.commit.max(self.link.commit_gap())
    }

    /// Removes jobs with changed progress from the queue, with all changed rows of each, up to the
    /// limits of one commit.
    fn take_dirty(&mut self) -> Result<Batch, serde_json::Error> {
        let domain = self.settings.domain;
        let mut batch = Batch::default();
        while batch.jobs.len() < self.commit_limits.jobs
            && let Some(job) = self.dirty.front().copied()
        {
            let Some(entry) = self.jobs.get_mut(&job) else {
                self.dirty.pop_front();
                continue;
            };
            let mut writes = Vec::new();
            for row in &entry.dirty {
                let value = entry.progress.encode(&entry.job, *row)?;
                let key = job_rows::progress_row_key(domain, job, *row);
                writes.push(rows::Write { key, value });
            }
            if !batch.add(job, writes) {
                break;
            }
            entry.dirty.clear();
            self.dirty.pop_front();
        }
        Ok(batch)
    }

    /// Removes the progress of jobs whose own rows are deleted, as far as the transaction has room.
    fn remove_expired(&mut self, txn: &mut rows::Txn) -> Vec<(spec::JobId, u32)> {
        let mut removed = Vec::new();
        while let Some((job, rows)) = self.expired.pop() {
            if txn.writes.len() + rows as usize > MAX_ROWS {
                self.expired.push((job, rows));
                break;
            }
            txn.writes.extend((0..rows).map(|row| rows::Write {
                key: job_rows::progress_row_key(self.settings.domain, job, row),
                value: None,
            }));
            removed.push((job, rows));
        }
        removed
    }

    /// Adds the counts of waiting jobs and the time up to which they hold, even if unchanged, since
    /// readers reject old counts.
    fn add_counts(
        &mut self,
        txn: &mut rows::Txn,
        now: time::Duration,
    ) -> Result<(), serde_json::Error> {
        if now.saturating_sub(self.counted_at) < COUNT_INTERVAL {
            return Ok(());
        }
        let starts_known = self.jobs_read_up_to_ms.is_some() && !self.has_unconfirmed_starts();
        if now < self.acquired + FIRST_COUNT_DELAY && !starts_known {
            return Ok(());
        }
        self.counted_at = now;
        self.review_policies();
        self.log_state();
        if self.jobs_read_up_to_ms.is_none() {
            return Ok(());
        }
        let key = job_rows::waiting_key(self.settings.domain);
        let value = Some(serde_json::to_string(&self.count_waiting())?);
        txn.writes.push(rows::Write { key, value });
        Ok(())
    }

    /// Returns whether jobs that may be waiting have starts of an earlier holder whose outcome is
    /// unknown.
    fn has_unconfirmed_starts(&self) -> bool {
        self.placed.iter().any(|(task, placed)| {
            matches!(placed.start_state, work::StartState::Inherited | work::StartState::Orphaned)
                && self.jobs.get(&task.job).is_some_and(work::Entry::is_waiting)
        })
    }

    /// Adds learned data at intervals of `LEARNED_INTERVAL`.
    fn add_learned(
        &mut self,
        txn: &mut rows::Txn,
        now: time::Duration,
    ) -> Result<(), serde_json::Error> {
        if now.saturating_sub(self.learned_written_at) < LEARNED_INTERVAL {
            return Ok(());
        }
        self.learned_written_at = now;
        for (name, value) in self.learned.rows()? {
            let key = job_rows::learned_key(self.settings.domain, name);
            txn.writes.push(rows::Write { key, value: Some(value) });
        }
        Ok(())
    }

    /// Logs the backlog of the domain and the use of its workers.
    fn log_state(&self) {
        let sum = |pick: fn(&worker::View) -> u64| self.views.values().map(pick).sum::<u64>();
        let over_target = |view| self.misses(view, self.now).count();
        tracing::info!(
            jobs = self.jobs.values().filter(|entry| entry.is_active()).count(),
            ready = self.ready.len(),
            ready_first = self.ready.values().filter(|ready| ready.priority == 0).count(),
            ready_lasting = self.ready.values().filter(|ready| ready.lasting).count(),
            largest_free_milli = self.views.values().map(|view| view.free().cpu_milli).max(),
            resting = self.views.values().filter(|view| view.is_closed_to_all(self.now)).count(),
            placed = self.placed.len(),
            workers = self.views.len(),
            capacity_milli = sum(|view| view.member.capacity.cpu_milli),
            reserved_milli = sum(|view| view.used.cpu_milli),
            serving_milli = sum(|view| view.lasting.cpu_milli),
            serving_idle_milli =
                sum(|view| view.headroom.as_ref().map_or(0, |headroom| headroom.idle_milli)),
            over_target = self.views.values().map(over_target).sum::<usize>(),
            filling_milli = sum(|view| view.filling_milli),
            filling_at_work_milli = sum(worker::View::filling_at_work_milli),
            capacity_mb = sum(|view| view.member.capacity.mem_mb),
            used_mb = sum(|view| view.used.mem_mb),
            commits = self.commits,
            sought = self.worker_searches,
            relieved = self.starvation_starts,
            starving = self.relief.starving,
            starving_busy = self.relief.busy,
            starving_unplaced = self.relief.unplaced,
            reserved_workers = self.reserved_workers.len(),
            given_up = self.given_up,
            false_losses = self.false_losses,
            unconfigured_queues = self.unconfigured_queues(),
            suspects = self.loss_record.len(),
            kept_alone = self.views.values().filter(|view| view.reserved_for.is_some()).count(),
            look_gap_ms = worker::millis(self.link.gap()),
            link_bytes_per_s = self.settings.link_bytes_per_s,
            "domain"
        );
    }

    /// Counts the waiting jobs by queue.
    fn count_waiting(&self) -> job_rows::Waiting {
        let mut queues = collections::BTreeMap::new();
        for entry in self.jobs.values().filter(|entry| entry.is_waiting()) {
            *queues.entry(entry.job.queue.clone()).or_insert(0) += 1;
        }
        job_rows::Waiting { queues, as_of_ms: self.jobs_read_up_to_ms }
    }

    /// Handles the outcome of the transaction in flight.
    pub(in crate::job) fn handle_txn(
        &mut self,
        number: u64,
        outcome: &rows::Outcome,
        now: time::Duration,
    ) -> CommitOutcome {
        let Some(pending) = self.pending.take_if(|pending| pending.number == number) else {
            return CommitOutcome::Pending;
        };
        let version = match (committed_version(outcome, &pending.lease), outcome) {
            (Some(version), _) => version,
            (None, rows::Outcome::Answered(_)) => return CommitOutcome::LeaseLost,
            (None, rows::Outcome::Refused) => {
                self.handle_refused_commit(pending, now);
                return CommitOutcome::Pending;
            }
            (None, rows::Outcome::Unknown) => {
                tracing::warn!(number, seq = pending.lease.seq, "commit in doubt, sent again");
                self.pending =
                    Some(pending::Pending { resend_at: Some(now + TXN_RETRY_DELAY), ..pending });
                return CommitOutcome::Pending;
            }
        };
        self.commit_limits.relax();
        self.version = version;
        self.renewed = pending.sent;
        let released = pending.lease.holder.is_none();
        self.lease = pending.lease;
        self.commits += 1;
        self.mark_recorded(&pending.ends);
        self.note_stored_ends(&pending.jobs, now);
        for (job, _) in &pending.removed {
            self.jobs.remove(job);
        }
        if released {
            return CommitOutcome::Released;
        }
        self.send_committed_starts(&pending.starts, now);
        CommitOutcome::Committed
    }
}
