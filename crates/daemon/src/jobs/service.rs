//! Answers callers: accepts jobs, reports their state, cancels them and counts waiting jobs.
//!
//! Any host can answer for any job, since all answers come from the store's rows.

use std::collections;
use std::fmt;
use std::sync;
use std::time;

use wharflane::job::{early_cancel, retry_after, submission};
use wharflane::{job, rows};
use wharflane_adapter::store;

use super::Shared;
use super::cancelling;
use super::storing;

/// Largest age of a count that a caller may be given, from the time up to which it includes all
/// accepted jobs. The users' protocol sets this bound.
const MAX_COUNTS_AGE: time::Duration = time::Duration::from_secs(2);
/// Time for which counts are cached; bounds this host's reads of them to about two a second.
const COUNTS_TTL: time::Duration = time::Duration::from_millis(500);
/// Time for which a failed read of the counts is cached, for callers that waited for it or call
/// soon after.
const FAILURE_TTL: time::Duration = time::Duration::from_millis(100);

/// The job service as callers use it.
#[derive(Clone, Debug)]
pub struct Service {
    /// State that the parts of the job service share.
    shared: Shared,
    /// Last read of the counts of waiting jobs; the lock is held while they are read.
    counts: sync::Arc<tokio::sync::Mutex<Option<CountsRead>>>,
    /// How many cancels of jobs that are not stored this host may still record.
    early_cancels: sync::Arc<sync::Mutex<early_cancel::Limit>>,
}

/// Result of reading the counts of waiting jobs.
#[derive(Debug)]
struct CountsRead {
    /// Clock reading when the read started.
    started_at: time::Duration,
    /// Clock reading when the read ended.
    ended_at: time::Duration,
    /// The counts; `None` if the read failed.
    counts: Option<Counts>,
    /// Whether the counts of the last successful read were recent enough to be reported; `None`
    /// before the first.
    fresh: Option<bool>,
}

/// Counts of waiting jobs in all queues.
#[derive(Debug)]
struct Counts {
    /// Age of the counts when they were read; `None` if it is not known.
    age: Option<time::Duration>,
    /// Number of waiting jobs by queue.
    queues: collections::BTreeMap<String, u64>,
}

impl CountsRead {
    /// Returns the current age of the counts; `None` if it is not known.
    fn age(&self, now: time::Duration) -> Option<time::Duration> {
        Some(self.counts.as_ref()?.age? + now.saturating_sub(self.started_at))
    }

    /// Returns the counts if they are recent enough to be reported.
    fn fresh_counts(&self, now: time::Duration) -> Option<&Counts> {
        self.counts.as_ref().filter(|_| self.age(now).is_some_and(|age| age <= MAX_COUNTS_AGE))
    }

    /// Returns whether the cached result may be used for another call.
    fn is_valid(&self, now: time::Duration) -> bool {
        if self.counts.is_none() {
            return now.saturating_sub(self.ended_at) < FAILURE_TTL;
        }
        // Counts that were already too old when read stay cached, so that not every caller reads
        // them again; counts that have become too old since then are read again.
        let expired =
            self.fresh_counts(self.ended_at).is_some() && self.fresh_counts(now).is_none();
        now.saturating_sub(self.ended_at) < COUNTS_TTL && !expired
    }
}

impl Service {
    /// Creates the service with an empty cache.
    #[must_use]
    pub fn new(shared: Shared) -> Self {
        let limit = early_cancel::Limit::new(shared.clock.now());
        let early_cancels = sync::Arc::new(sync::Mutex::new(limit));
        Self { shared, counts: sync::Arc::default(), early_cancels }
    }

    /// Answers a call that was parsed by a configuration, before its deadline, a reading of the
    /// clock.
    pub async fn answer(
        &self,
        call: job::Call,
        queues: &job::Queues,
        deadline: time::Duration,
    ) -> job::Answer {
        match call {
            job::Call::Submit { id, job } => self.submit(id, job, queues, deadline).await,
            job::Call::State { id } => self.state(id, deadline).await,
            job::Call::Cancel { id } => self.cancel(id, deadline).await,
            job::Call::Waiting { queue } => self.waiting(&queue, deadline).await,
        }
    }

    /// Rejects a call while this host has no configuration.
    #[must_use]
    pub fn without_configuration(&self, path: &str, deadline: time::Duration) -> job::Answer {
        self.not_taken(retry_after::Cause::NoConfiguration, &path, deadline)
    }

    /// Rejects a call whose body this host has no memory for.
    #[must_use]
    pub fn without_room(&self, path: &str, deadline: time::Duration) -> job::Answer {
        self.not_taken(retry_after::Cause::NoRoom, &path, deadline)
    }

    /// Accepts a job; it counts as accepted once its row is written.
    async fn submit(
        &self,
        id: job::JobId,
        job: job::Job,
        queues: &job::Queues,
        deadline: time::Duration,
    ) -> job::Answer {
        if let Err(refusal) = job.check() {
            return job::Answer::Refused(refusal);
        }
        if let Some(answer) = self.refuse_for_load(id, &job, queues).await {
            return answer;
        }
        let (accepted_ms, policy) = (super::wall_ms(), queues.policy(&job.queue));
        let accepted = job::Accepted { job, cancelled: false, accepted_ms, policy };
        let Ok(row) = early_cancel::Submitted::new(self.domain(id), id, accepted) else {
            return job::Answer::BadBody;
        };
        let most = self.row_bytes();
        if row.bytes() > most {
            let refusal = job::Refusal::TooLong { bytes: row.bytes(), most };
            return job::Answer::Refused(refusal);
        }
        match storing::store_job_row(&self.shared, row, deadline).await {
            submission::End::Stored => job::Answer::Accepted,
            submission::End::Refused => job::Answer::Refused(job::Refusal::NotKept),
            submission::End::NotTaken(cause) => self.not_taken(cause, &id, deadline),
            submission::End::Unknown => self.unknown_outcome(id, deadline),
        }
    }

    /// Returns the answer to a job that would be missed for the load of its queue; `None` if it is
    /// to be accepted. A job that is stored already stays accepted, whatever the load.
    async fn refuse_for_load(
        &self,
        id: job::JobId,
        job: &job::Job,
        queues: &job::Queues,
    ) -> Option<job::Answer> {
        if self.shared.store_silence() >= submission::LOST_AFTER {
            return None;
        }
        let queue = queues.queues.get(&job.queue)?;
        let backlogs = self.shared.backlogs.load_full();
        let now = self.shared.clock.now();
        let admission = job::decide_admission(&backlogs, queue, job, now, rand::random());
        let job::Admission::Refused { retry_after, wait_ms } = admission else {
            return None;
        };
        let key = job::job_key(self.domain(id), id);
        if !matches!(self.get(&key).await, Ok(None)) {
            return None;
        }
        let age_ms = now.saturating_sub(backlogs.written).as_millis();
        self.shared.metrics.refused_for_load.with_label_values(&[&job.queue]).inc();
        tracing::info!(
            job = %id, queue = job.queue, wait_ms, age_ms, epoch = backlogs.epoch,
            retry_after_ms = retry_after.as_millis(), "job refused for load"
        );
        Some(job::Answer::Overloaded { retry_after })
    }

    /// Reports the state of a job.
    async fn state(&self, id: job::JobId, deadline: time::Duration) -> job::Answer {
        match self.read_state(id).await {
            Ok(answer) => answer,
            Err(cause) => self.not_taken(cause, &id, deadline),
        }
    }

    /// Reads the state of a job, or returns why it is not known.
    async fn read_state(&self, id: job::JobId) -> Result<job::Answer, retry_after::Cause> {
        let domain = self.domain(id);
        let progress =
            self.get(&job::progress_key(domain, id)).await.map_err(|err| retry_cause(&err))?;
        if let Some(text) = progress.and_then(|row| row.value) {
            return match job::Progress::decode(&text) {
                Ok(progress) => Ok(job::Answer::State(progress.phase)),
                Err(err) => {
                    tracing::error!(job = %id, %err, "progress can't be read");
                    Err(retry_after::Cause::NotKnown)
                }
            };
        }
        let accepted =
            self.get(&job::job_key(domain, id)).await.map_err(|err| retry_cause(&err))?;
        Ok(accepted.map_or(job::Answer::NoJob, |row| job::Answer::State(accepted_phase(&row))))
    }

    /// Cancels a job; it counts as cancelled once its row is marked, or once the cancel of a job that
    /// is not stored is recorded.
    async fn cancel(&self, id: job::JobId, deadline: time::Duration) -> job::Answer {
        match cancelling::cancel(&self.shared, &self.early_cancels, id, deadline).await {
            cancelling::End::Cancelled => job::Answer::Cancelled,
            cancelling::End::NoJob => job::Answer::NoJob,
            cancelling::End::NotTaken(cause) => self.not_taken(cause, &id, deadline),
            cancelling::End::Unknown => self.unknown_outcome(id, deadline),
        }
    }

    /// Reports the number of waiting jobs of a queue if a recent count is available in time.
    async fn waiting(&self, queue: &str, deadline: time::Duration) -> job::Answer {
        let left = deadline.saturating_sub(self.shared.clock.now());
        let count = tokio::time::timeout(left, self.count(queue)).await;
        match count {
            Ok(Some(count)) => job::Answer::Waiting(count),
            Ok(None) | Err(_) => self.not_taken(self.count_cause(), &queue, deadline),
        }
    }

    /// Returns the number of waiting jobs of a queue; concurrent callers share one read of the
    /// counts.
    async fn count(&self, queue: &str) -> Option<u64> {
        let mut last = self.counts.lock().await;
        if !last.as_ref().is_some_and(|last| last.is_valid(self.shared.clock.now())) {
            let started_at = self.shared.clock.now();
            let counts = self.read_counts().await;
            let before = last.as_ref().and_then(|last| last.fresh);
            let ended_at = self.shared.clock.now();
            let mut read = CountsRead { started_at, ended_at, counts, fresh: before };
            if read.counts.is_some() {
                read.fresh = Some(read.fresh_counts(ended_at).is_some());
            }
            log_freshness_change(before, &read);
            *last = Some(read);
        }
        let counts = last.as_ref()?.fresh_counts(self.shared.clock.now())?;
        Some(counts.queues.get(queue).copied().unwrap_or(0))
    }

    /// Reads the counts of all domains; their age is that of the oldest.
    async fn read_counts(&self) -> Option<Counts> {
        let mut all =
            Counts { age: Some(time::Duration::ZERO), queues: collections::BTreeMap::new() };
        for domain in 0..self.shared.domains() {
            let key = job::waiting_key(domain);
            let read = self.shared.call("get", self.shared.store.get_stamped(&key)).await;
            let (row, now_ms) = read.ok()?;
            let text = row.and_then(|row| row.value);
            let waiting =
                text.as_deref().map_or_else(|| Ok(job::Waiting::default()), serde_json::from_str);
            let waiting: job::Waiting = match waiting {
                Ok(waiting) => waiting,
                Err(err) => {
                    tracing::error!(domain, %err, "counts of waiting jobs can't be read");
                    return None;
                }
            };
            let age = now_ms.and_then(|now_ms| waiting.age(now_ms));
            all.age = all.age.zip(age).map(|(all, age)| all.max(age));
            for (queue, count) in waiting.queues {
                *all.queues.entry(queue).or_insert(0) += count;
            }
        }
        Some(all)
    }

    /// Returns the cause to report when there is no recent count.
    fn count_cause(&self) -> retry_after::Cause {
        if self.shared.store_silence() >= submission::LOST_AFTER {
            self.shared.store_failure_cause()
        } else {
            retry_after::Cause::NotKnown
        }
    }

    /// Rejects a call for which nothing was done.
    fn not_taken(
        &self,
        cause: retry_after::Cause,
        about: &dyn fmt::Display,
        deadline: time::Duration,
    ) -> job::Answer {
        job::Answer::NotTaken { retry_after: self.retry_delay(cause, about, deadline) }
    }

    /// Answers a call that may have been carried out.
    fn unknown_outcome(&self, id: job::JobId, deadline: time::Duration) -> job::Answer {
        let retry_after = self.retry_delay(retry_after::Cause::InDoubt, &id, deadline);
        job::Answer::Unknown { retry_after }
    }

    /// Returns the delay after which a caller may retry; counts and logs the cause.
    fn retry_delay(
        &self,
        cause: retry_after::Cause,
        about: &dyn fmt::Display,
        deadline: time::Duration,
    ) -> time::Duration {
        let idle = self.shared.store_silence();
        let left = deadline.saturating_sub(self.shared.clock.now());
        let answer_time = self.shared.contact.answer_time(self.shared.clock.now());
        // The caller has to return early enough for the store to answer once more.
        let usable = left.saturating_sub(answer_time);
        let after = retry_after::of(cause, idle, usable, rand::random());
        let (idle_ms, left_ms) = (idle.as_millis(), left.as_millis());
        let cause = cause.label();
        self.shared.metrics.gave_up.with_label_values(&["jobs", cause]).inc();
        tracing::info!(
            %about, cause, idle_ms, answer_ms = answer_time.as_millis(), left_ms,
            after_s = after.as_secs(),
            "call answered with a retry delay"
        );
        after
    }

    /// Returns the domain of a job.
    fn domain(&self, id: job::JobId) -> u32 {
        job::domain_of(id, self.shared.domains())
    }

    /// Returns the longest text that fits into a row of the store, which holds it as base64.
    fn row_bytes(&self) -> usize {
        let bytes = self.shared.settings.number("jobs", "row_bytes");
        usize::try_from(bytes).unwrap_or(usize::MAX) / 4 * 3
    }

    /// Reads a row and counts the call.
    async fn get(&self, key: &rows::Key) -> Result<Option<rows::Row>, store::StoreError> {
        self.shared.timed_call("get", self.shared.store.get(key)).await
    }
}

/// Returns the cause to report for a failed read of the store.
fn retry_cause(err: &store::StoreError) -> retry_after::Cause {
    match err {
        store::StoreError::TurnedAway { .. } => retry_after::Cause::StoreBusy,
        store::StoreError::Silent(_) => retry_after::Cause::StoreSilent,
        store::StoreError::Refused { .. } | store::StoreError::Unexpected { .. } => {
            retry_after::Cause::NotKnown
        }
    }
}

/// Logs when counts start or cease to be reported; failed reads change nothing.
fn log_freshness_change(before: Option<bool>, read: &CountsRead) {
    let age_ms = read.age(read.ended_at).map(|age| age.as_millis());
    let limit_ms = MAX_COUNTS_AGE.as_millis();
    match (before, read.fresh) {
        (before, after) if before == after => {}
        (_, Some(true)) => tracing::info!(age_ms, limit_ms, "counts of waiting jobs are reported"),
        _ => tracing::warn!(
            age_ms,
            limit_ms,
            "counts of waiting jobs are too old, or of unknown age, and not reported"
        ),
    }
}

/// Returns the phase of a job that no holder has begun.
fn accepted_phase(row: &rows::Row) -> job::Phase {
    let accepted = row.value.as_deref().map(serde_json::from_str::<job::Accepted>);
    match accepted {
        Some(Ok(accepted)) if accepted.cancelled => job::Phase::Cancelled,
        _ => job::Phase::Queued,
    }
}
