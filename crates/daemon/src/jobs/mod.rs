//! The job service of a host: answers callers' calls about jobs, and schedules the jobs while this
//! host holds their domain.

pub mod calls;
mod cancelling;
pub mod contact;
pub mod decided;
mod entries;
pub mod halls;
pub mod holder;
pub mod holder_load;
pub mod lag;
pub mod probe;
pub mod run;
pub mod service;
pub mod storing;
pub mod watch;

use std::sync;
use std::sync::atomic;
use std::time;

use wharflane::{clock, job};
use wharflane_adapter::{advice, store, workers};

use crate::metrics;
use crate::settings;

/// State that the parts of the job service share.
#[derive(Clone, Debug)]
pub struct Shared {
    /// Settings of this host.
    pub settings: sync::Arc<settings::Settings>,
    /// Monotonic clock of the engine.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Client of the store, which holds jobs, progress and leases.
    pub store: store::Store,
    /// Client of the workers.
    pub workers: workers::Workers,
    /// Client of the advice service, which decides which workers may run a step.
    pub advisor: advice::Advisor,
    /// Queues in force, from the configuration.
    pub queues: sync::Arc<arc_swap::ArcSwap<job::Queues>>,
    /// Closed halls, each with the time at which this host learned of its closure, in seconds since
    /// 1970.
    pub closed: sync::Arc<arc_swap::ArcSwap<halls::ClosedSince>>,
    /// What the holder last told of queues with more work than room.
    pub backlogs: sync::Arc<arc_swap::ArcSwap<job::Backlogs>>,
    /// Whether this host is stopping.
    pub stopping: sync::Arc<atomic::AtomicBool>,
    /// Clock reading when this host closes its connections; unset unless it is stopping.
    pub closes_at: sync::Arc<sync::OnceLock<time::Duration>>,
    /// Contact of this host with the store.
    pub contact: sync::Arc<contact::Contact>,
    /// Whether the store rejected the last call because it was overloaded.
    pub turned_away: sync::Arc<atomic::AtomicBool>,
    /// Metrics of this host.
    pub metrics: metrics::Metrics,
    /// Random number that identifies this process.
    pub nonce: u64,
}

impl Shared {
    /// Returns a duration from the `jobs` table of the settings.
    #[must_use]
    pub fn time(&self, key: &'static str) -> time::Duration {
        self.settings.time("jobs", key)
    }

    /// Returns the number of domains that jobs are distributed over.
    #[must_use]
    pub fn domains(&self) -> u32 {
        u32::try_from(self.settings.number("jobs", "domains")).unwrap_or(1)
    }

    /// Makes a call that the store answers at once, and counts it.
    ///
    /// # Errors
    /// Returns the error of the call.
    pub async fn call<T>(
        &self,
        name: &str,
        call: impl Future<Output = Result<T, store::StoreError>>,
    ) -> Result<T, store::StoreError> {
        self.contact.note_call(self.clock.now());
        let result = call.await;
        self.count_call(name, &result);
        result
    }

    /// Makes a call about a few rows, whose time tells how slow the store is at present.
    ///
    /// # Errors
    /// Returns the error of the call.
    pub async fn timed_call<T>(
        &self,
        name: &str,
        call: impl Future<Output = Result<T, store::StoreError>>,
    ) -> Result<T, store::StoreError> {
        let sent_at = self.clock.now();
        let result = self.call(name, call).await;
        if !matches!(result, Err(store::StoreError::Silent(_))) {
            self.contact.note_row_call(sent_at, self.clock.now());
        }
        result
    }

    /// Makes a call whose answer the store may hold back until there is a change, and counts it.
    ///
    /// # Errors
    /// Returns the error of the call.
    pub async fn poll<T>(
        &self,
        name: &str,
        call: impl Future<Output = Result<T, store::StoreError>>,
    ) -> Result<T, store::StoreError> {
        let result = call.await;
        if result.is_err() {
            self.contact.note_call(self.clock.now());
        }
        self.count_call(name, &result);
        result
    }

    /// Counts a call to the store and logs when the store is lost or answers again.
    fn count_call<T>(&self, call: &str, result: &Result<T, store::StoreError>) {
        let label = match result {
            Ok(_) => "ok",
            Err(store::StoreError::TurnedAway { .. }) => "turned-away",
            Err(store::StoreError::Silent(_)) => "silent",
            Err(store::StoreError::Unexpected { .. }) => "strange",
            Err(store::StoreError::Refused { status }) => {
                tracing::error!(call, status, "the store refused a call permanently");
                "refused"
            }
        };
        self.metrics.platform_calls.with_label_values(&[call, label]).inc();
        let turned_away = matches!(result, Err(store::StoreError::TurnedAway { .. }));
        self.turned_away.store(turned_away, atomic::Ordering::Relaxed);
        let up = matches!(result, Ok(_) | Err(store::StoreError::Refused { .. }));
        if up {
            self.contact.note_answer();
        }
        let before = self.metrics.platform_up.get() == 1;
        if before != up {
            self.metrics.platform_up.set(i64::from(up));
            match result {
                Err(err) if !up => tracing::warn!(call, %err, "the store is lost"),
                _ => tracing::info!(call, "the store answers"),
            }
        }
    }

    /// Returns for how long the store has left calls of this host unanswered.
    #[must_use]
    pub fn store_silence(&self) -> time::Duration {
        self.contact.silence(self.clock.now())
    }

    /// Returns what this host knows when it decides about a submission.
    #[must_use]
    pub fn submission_view(&self) -> job::submission::View {
        job::submission::View {
            silence: self.store_silence(),
            answer_time: self.contact.answer_time(self.clock.now()),
            latest_answered_sent_at: self.contact.latest_answered_sent_at(),
            failure: self.store_failure_cause(),
            closes_at: self.closes_at.get().copied(),
        }
    }

    /// Returns the cause to report for a call that failed because of the store.
    #[must_use]
    pub fn store_failure_cause(&self) -> job::retry_after::Cause {
        if self.turned_away.load(atomic::Ordering::Relaxed) {
            job::retry_after::Cause::StoreBusy
        } else {
            job::retry_after::Cause::StoreSilent
        }
    }

    /// Returns whether callers should be sent to this host.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stopping.load(atomic::Ordering::Relaxed)
            && self.queues.load().revision > 0
            && self.store_silence() < self.time("unready_ms")
    }
}

/// Returns the time of day in milliseconds since 1970.
fn wall_ms() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
