//! Answers callers: takes jobs, tells how far they are, cancels them, counts what waits.
//!
//! Any host does this for any job, by the rows of the store alone.

use std::collections;
use std::fmt;
use std::sync;
use std::time;

use wharflane::job::retry_after;
use wharflane::{job, rows};
use wharflane_adapter::store;

use super::Shared;

/// How long the store must have been silent until submissions are not tried any more.
const LOST_AFTER: time::Duration = time::Duration::from_millis(1_200);
/// The part of a caller's time in which a job that is handed in is tried here, in percent; leaves
/// as much for another host.
const TRY_PERCENT: u32 = 45;
/// The wait before a call of the store is made again.
const AGAIN: time::Duration = time::Duration::from_millis(100);
/// How old a count may be that a caller is told, from the moment up to which it holds all accepted jobs: what
/// the users' protocol allows.
const MOST_AGE: time::Duration = time::Duration::from_secs(2);
/// How long a host keeps what it read of the counts; bounds its reads of them to some two a second.
const COUNTS_KEPT: time::Duration = time::Duration::from_millis(500);
/// How long a read of them that failed stands for those who waited behind it, and come right after.
const FAILURE_KEPT: time::Duration = time::Duration::from_millis(100);

/// The job service towards callers.
#[derive(Clone, Debug)]
pub struct Service {
    /// What the parts of the job service share.
    shared: Shared,
    /// What was last read of the counts of what waits.
    counts: sync::Arc<tokio::sync::Mutex<Option<Reading>>>,
}

/// What came of a read of the counts of what waits.
#[derive(Debug)]
struct Reading {
    /// When it was begun.
    asked: time::Duration,
    /// When it was over.
    over: time::Duration,
    /// The counts, or nothing where they could not be read.
    counts: Option<Counts>,
    /// Whether the counts that were last read were new enough to be told; nothing before any were read.
    believed: Option<bool>,
}

/// What came of writing the row of a job.
#[derive(Debug)]
enum Kept {
    /// It stands, or never will.
    Told(job::Answer),
    /// The store turned every write away, so nothing stands and nothing will.
    TurnedAway,
    /// It is not known whether it stands.
    InDoubt,
}

/// What waits in all queues.
#[derive(Debug)]
struct Counts {
    /// How old they were when they were read; nothing where that is not known.
    age: Option<time::Duration>,
    /// Jobs that wait, by queue.
    queues: collections::BTreeMap<String, u64>,
}

impl Reading {
    /// Returns how old the counts are now; nothing where that is not known.
    fn age(&self, now: time::Duration) -> Option<time::Duration> {
        Some(self.counts.as_ref()?.age? + now.saturating_sub(self.asked))
    }

    /// Returns the counts where they are new enough to be told.
    fn told(&self, now: time::Duration) -> Option<&Counts> {
        self.counts.as_ref().filter(|_| self.age(now).is_some_and(|age| age <= MOST_AGE))
    }

    /// Returns whether it still stands for another read.
    fn stands(&self, now: time::Duration) -> bool {
        if self.counts.is_none() {
            return now.saturating_sub(self.over) < FAILURE_KEPT;
        }
        // Counts that were too old at once are not read again by every caller; those that have become so are.
        let became_old = self.told(self.over).is_some() && self.told(now).is_none();
        now.saturating_sub(self.over) < COUNTS_KEPT && !became_old
    }
}

impl Service {
    /// Makes the service.
    #[must_use]
    pub fn new(shared: Shared) -> Self {
        Self { shared, counts: sync::Arc::default() }
    }

    /// Answers a call before its deadline, by the clock.
    pub async fn answer(&self, call: job::Call, deadline: time::Duration) -> job::Answer {
        match call {
            job::Call::Submit { id, job } => self.submit(id, job, deadline).await,
            job::Call::State { id } => self.state(id, deadline).await,
            job::Call::Cancel { id } => self.cancel(id, deadline).await,
            job::Call::Waiting { queue } => self.waiting(&queue, deadline).await,
        }
    }

    /// Sends a caller off while there is no configuration.
    #[must_use]
    pub fn without_configuration(&self, path: &str, deadline: time::Duration) -> job::Answer {
        self.not_taken(retry_after::Cause::NoConfiguration, &path, deadline)
    }

    /// Takes a job: it is accepted once its row stands.
    async fn submit(&self, id: job::JobId, job: job::Job, deadline: time::Duration) -> job::Answer {
        if let Err(refusal) = job.check() {
            return job::Answer::Refused(refusal);
        }
        if self.shared.store_silent() >= LOST_AFTER {
            // Nothing was sent, so another host may be asked at once.
            return self.not_taken(self.shared.store_cause(), &id, deadline);
        }
        let key = job::job_key(self.domain(id), id);
        let accepted = job::Accepted { job, cancelled: false, accepted_ms: super::wall_ms() };
        let Ok(value) = serde_json::to_string(&accepted) else {
            return job::Answer::BadBody;
        };
        let most = self.row_bytes();
        if value.len() > most {
            let refusal = job::Refusal::TooLong { bytes: value.len(), most };
            return job::Answer::Refused(refusal);
        }
        let txn = rows::Txn {
            expects: vec![rows::Expect { key: key.clone(), version: 0 }],
            writes: vec![rows::Write { key: key.clone(), value: Some(value) }],
        };
        // Another host may reach the store where this one does not, so the caller is told in time
        // to ask there.
        let now = self.shared.clock.now();
        let give_up = now + deadline.saturating_sub(now) * TRY_PERCENT / 100;
        let tries = self.keep(&key, &txn, give_up);
        let left = give_up.saturating_sub(now);
        match tokio::time::timeout(left, tries).await {
            Ok(Kept::Told(answer)) => answer,
            Ok(Kept::TurnedAway) => self.not_taken(retry_after::Cause::StoreBusy, &id, deadline),
            Ok(Kept::InDoubt) | Err(_) => self.in_doubt(id, deadline),
        }
    }

    /// Writes the row of a job until it is known to stand, or known not to.
    async fn keep(&self, key: &rows::Key, txn: &rows::Txn, give_up: time::Duration) -> Kept {
        // Once a write had no answer it may land late, so only its row tells what is true.
        let mut doubt = false;
        loop {
            match self.transact(txn).await {
                // The same job came before, or an earlier sending of this write has landed.
                Ok(_) => return Kept::Told(job::Answer::Accepted),
                Err(store::StoreError::Refused { .. }) => {
                    return Kept::Told(job::Answer::Refused(job::Refusal::NotKept));
                }
                Err(store::StoreError::TurnedAway { .. }) if !doubt => {
                    return Kept::TurnedAway;
                }
                Err(err) => doubt |= !matches!(err, store::StoreError::TurnedAway { .. }),
            }
            // Reads don't queue behind the writes of a slow store, and the row tells as much.
            if doubt && matches!(self.get(key).await, Ok(Some(_))) {
                return Kept::Told(job::Answer::Accepted);
            }
            if !self.again(give_up).await {
                return Kept::InDoubt;
            }
        }
    }

    /// Tells how far a job is.
    async fn state(&self, id: job::JobId, deadline: time::Duration) -> job::Answer {
        match self.read_state(id).await {
            Ok(answer) => answer,
            Err(cause) => self.not_taken(cause, &id, deadline),
        }
    }

    /// Reads how far a job is, or returns why that is not known.
    async fn read_state(&self, id: job::JobId) -> Result<job::Answer, retry_after::Cause> {
        let domain = self.domain(id);
        let progress = self.get(&job::progress_key(domain, id)).await.map_err(|err| cause(&err))?;
        if let Some(text) = progress.and_then(|row| row.value) {
            return match job::Progress::decode(&text) {
                Ok(progress) => Ok(job::Answer::State(progress.phase)),
                Err(err) => {
                    tracing::error!(job = %id, %err, "progress can't be read");
                    Err(retry_after::Cause::NotKnown)
                }
            };
        }
        let accepted = self.get(&job::job_key(domain, id)).await.map_err(|err| cause(&err))?;
        Ok(accepted.map_or(job::Answer::NoJob, |row| job::Answer::State(accepted_phase(&row))))
    }

    /// Cancels a job: it is cancelled once its row says so.
    async fn cancel(&self, id: job::JobId, deadline: time::Duration) -> job::Answer {
        let key = job::job_key(self.domain(id), id);
        loop {
            match self.get(&key).await {
                Ok(None) => return job::Answer::NoJob,
                Ok(Some(row)) => {
                    if let Some(answer) = self.write_cancel(&key, &row).await {
                        return answer;
                    }
                }
                Err(_) => {}
            }
            if !self.again(deadline).await {
                return self.in_doubt(id, deadline);
            }
        }
    }

    /// Writes that a job is cancelled; nothing stands for a write that has to be made again.
    async fn write_cancel(&self, key: &rows::Key, row: &rows::Row) -> Option<job::Answer> {
        let text = row.value.as_deref()?;
        let mut accepted: job::Accepted = match serde_json::from_str(text) {
            Ok(accepted) => accepted,
            Err(err) => {
                tracing::error!(job = %row.name, %err, "an accepted job can't be read");
                return Some(job::Answer::NoJob);
            }
        };
        if accepted.cancelled {
            return Some(job::Answer::Cancelled);
        }
        accepted.cancelled = true;
        let txn = rows::Txn {
            expects: vec![rows::Expect { key: key.clone(), version: row.version }],
            writes: vec![rows::Write {
                key: key.clone(),
                value: serde_json::to_string(&accepted).ok(),
            }],
        };
        match self.transact(&txn).await {
            Ok(rows::Answer::Done { .. }) => Some(job::Answer::Cancelled),
            Ok(rows::Answer::Conflict { .. }) | Err(_) => None,
        }
    }

    /// Counts the jobs of a queue that wait, where that is known well enough.
    async fn waiting(&self, queue: &str, deadline: time::Duration) -> job::Answer {
        let left = deadline.saturating_sub(self.shared.clock.now());
        let count = tokio::time::timeout(left, self.count(queue)).await;
        match count {
            Ok(Some(count)) => job::Answer::Waiting(count),
            Ok(None) | Err(_) => self.not_taken(self.count_cause(), &queue, deadline),
        }
    }

    /// Returns how many jobs of a queue wait; those who ask while the counts are read share what comes of it.
    async fn count(&self, queue: &str) -> Option<u64> {
        let mut last = self.counts.lock().await;
        if !last.as_ref().is_some_and(|last| last.stands(self.shared.clock.now())) {
            let asked = self.shared.clock.now();
            let counts = self.read_counts().await;
            let before = last.as_ref().and_then(|last| last.believed);
            let over = self.shared.clock.now();
            let mut reading = Reading { asked, over, counts, believed: before };
            if reading.counts.is_some() {
                reading.believed = Some(reading.told(over).is_some());
            }
            log_belief(before, &reading);
            *last = Some(reading);
        }
        let counts = last.as_ref()?.told(self.shared.clock.now())?;
        Some(counts.queues.get(queue).copied().unwrap_or(0))
    }

    /// Reads the counts of all domains; their age is that of the oldest.
    async fn read_counts(&self) -> Option<Counts> {
        let mut all =
            Counts { age: Some(time::Duration::ZERO), queues: collections::BTreeMap::new() };
        for domain in 0..self.shared.domains() {
            let read = self.shared.store.get_stamped(&job::waiting_key(domain)).await;
            self.shared.count_call("get", &read);
            let (row, now_ms) = read.ok()?;
            let text = row.and_then(|row| row.value);
            let waiting =
                text.as_deref().map_or_else(|| Ok(job::Waiting::default()), serde_json::from_str);
            let waiting: job::Waiting = match waiting {
                Ok(waiting) => waiting,
                Err(err) => {
                    tracing::error!(domain, %err, "counts of what waits can't be read");
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

    /// Returns why no count is told.
    fn count_cause(&self) -> retry_after::Cause {
        if self.shared.store_silent() >= LOST_AFTER {
            self.shared.store_cause()
        } else {
            retry_after::Cause::NotKnown
        }
    }

    /// Sends off a caller for whom nothing was done.
    fn not_taken(
        &self,
        cause: retry_after::Cause,
        about: &dyn fmt::Display,
        deadline: time::Duration,
    ) -> job::Answer {
        job::Answer::NotTaken { retry_after: self.come_back(cause, about, deadline) }
    }

    /// Sends off a caller whose call may have been done.
    fn in_doubt(&self, id: job::JobId, deadline: time::Duration) -> job::Answer {
        let retry_after = self.come_back(retry_after::Cause::InDoubt, &id, deadline);
        job::Answer::Unknown { retry_after }
    }

    /// Returns when a caller may come back; counts and logs why.
    fn come_back(
        &self,
        cause: retry_after::Cause,
        about: &dyn fmt::Display,
        deadline: time::Duration,
    ) -> time::Duration {
        let idle = self.shared.store_silent();
        let left = deadline.saturating_sub(self.shared.clock.now());
        let after = retry_after::of(cause, idle, left, rand::random());
        let (idle_ms, left_ms) = (idle.as_millis(), left.as_millis());
        let cause = cause.label();
        self.shared.metrics.gave_up.with_label_values(&["jobs", cause]).inc();
        tracing::info!(%about, cause, idle_ms, left_ms, after_s = after.as_secs(), "caller sent off");
        after
    }

    /// Returns the domain of a job.
    fn domain(&self, id: job::JobId) -> u32 {
        job::domain_of(id, self.shared.domains())
    }

    /// Returns the longest text that a row of the store takes: it stands there as base64.
    fn row_bytes(&self) -> usize {
        let bytes = self.shared.settings.number("jobs", "row_bytes");
        usize::try_from(bytes).unwrap_or(usize::MAX) / 4 * 3
    }

    /// Waits a little before a call is made again; returns whether there is time for it.
    async fn again(&self, deadline: time::Duration) -> bool {
        tokio::time::sleep(AGAIN).await;
        self.shared.clock.now() + AGAIN < deadline
    }

    /// Makes a transaction and counts the call.
    async fn transact(&self, txn: &rows::Txn) -> Result<rows::Answer, store::StoreError> {
        let answer = self.shared.store.transact(txn).await;
        self.shared.count_call("submit", &answer);
        answer
    }

    /// Reads a row and counts the call.
    async fn get(&self, key: &rows::Key) -> Result<Option<rows::Row>, store::StoreError> {
        let row = self.shared.store.get(key).await;
        self.shared.count_call("get", &row);
        row
    }
}

/// Returns why a call can't be done whose read of the store failed.
fn cause(err: &store::StoreError) -> retry_after::Cause {
    match err {
        store::StoreError::TurnedAway { .. } => retry_after::Cause::StoreBusy,
        store::StoreError::Silent(_) => retry_after::Cause::StoreSilent,
        store::StoreError::Refused { .. } | store::StoreError::Unexpected { .. } => {
            retry_after::Cause::NotKnown
        }
    }
}

/// Logs whether counts are told, when that has changed; reads that failed change nothing.
fn log_belief(before: Option<bool>, reading: &Reading) {
    let age_ms = reading.age(reading.over).map(|age| age.as_millis());
    let limit_ms = MOST_AGE.as_millis();
    match (before, reading.believed) {
        (before, after) if before == after => {}
        (_, Some(true)) => tracing::info!(age_ms, limit_ms, "counts of what waits are told"),
        _ => tracing::warn!(
            age_ms,
            limit_ms,
            "counts of what waits are too old, or of unknown age, and not told"
        ),
    }
}

/// Returns what is told of a job that nobody has begun.
fn accepted_phase(row: &rows::Row) -> job::Phase {
    let accepted = row.value.as_deref().map(serde_json::from_str::<job::Accepted>);
    match accepted {
        Some(Ok(accepted)) if accepted.cancelled => job::Phase::Cancelled,
        _ => job::Phase::Queued,
    }
}
