//! Tells for how long the store has left this host without an answer, and how long it takes for one.
//!
//! Time in which the host asks nothing doesn't count, so that a host that asks rarely does not take
//! the store for lost.

use std::sync;
use std::sync::atomic;
use std::time;

/// Reading of `asked_ms` while no call waits for its answer.
const NOTHING_ASKED: u64 = u64::MAX;
/// Time for which a slow answer tells how slow the store is: longer than a weak host's pause between
/// two reads of the lease, which each host makes also while it serves no caller.
const ANSWER_TIME_TTL: time::Duration = time::Duration::from_secs(2);

/// The contact of a host with the store.
#[derive(Debug, Default)]
pub struct Contact {
    /// When the first call was sent that the store has not answered since its last answer, in
    /// milliseconds of the host's clock. At its start a host counts as having asked at zero.
    asked_ms: atomic::AtomicU64,
    /// What answers to calls about a few rows tell.
    answers: sync::Mutex<Answers>,
}

/// What answers to calls about a few rows tell.
#[derive(Clone, Copy, Debug, Default)]
struct Answers {
    /// The slowest of the recent answers; `None` before the first.
    slowest: Option<AnswerTime>,
    /// Clock reading when the latest call was sent that was answered; `None` before the first.
    latest_sent_at: Option<time::Duration>,
}

/// How long the store took for one call.
#[derive(Clone, Copy, Debug)]
struct AnswerTime {
    /// Time from the call to its answer.
    took: time::Duration,
    /// Clock reading when the answer arrived.
    answered_at: time::Duration,
}

impl Contact {
    /// Records that a call is sent that the store must answer at once.
    pub fn note_call(&self, now: time::Duration) {
        let asked = (NOTHING_ASKED, millis(now));
        let relaxed = atomic::Ordering::Relaxed;
        // A call that is sent while others wait does not make the silence shorter.
        let _earlier = self.asked_ms.compare_exchange(asked.0, asked.1, relaxed, relaxed);
    }

    /// Records an answer of the store.
    pub fn note_answer(&self) {
        self.asked_ms.store(NOTHING_ASKED, atomic::Ordering::Relaxed);
    }

    /// Records when a call about a few rows was sent that the store has now answered.
    pub fn note_row_call(&self, sent_at: time::Duration, now: time::Duration) {
        let took = now.saturating_sub(sent_at);
        let mut answers = self.answers();
        answers.latest_sent_at = answers.latest_sent_at.max(Some(sent_at));
        let slower = |slowest: AnswerTime| took >= slowest.took || slowest.is_outdated(now);
        if answers.slowest.is_none_or(slower) {
            answers.slowest = Some(AnswerTime { took, answered_at: now });
        }
    }

    /// Returns how long the store may take to answer a call: the slowest of the recent answers;
    /// zero without one.
    #[must_use]
    pub fn answer_time(&self, now: time::Duration) -> time::Duration {
        let recent = self.answers().slowest.filter(|slowest| !slowest.is_outdated(now));
        recent.map_or(time::Duration::ZERO, |slowest| slowest.took)
    }

    /// Returns when the latest call about a few rows was sent that the store has answered; `None`
    /// if it has answered none.
    #[must_use]
    pub fn latest_answered_sent_at(&self) -> Option<time::Duration> {
        self.answers().latest_sent_at
    }

    /// Locks the answers; a panic elsewhere leaves them usable.
    fn answers(&self) -> sync::MutexGuard<'_, Answers> {
        self.answers.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns for how long the store has left calls unanswered.
    #[must_use]
    pub fn silence(&self, now: time::Duration) -> time::Duration {
        match self.asked_ms.load(atomic::Ordering::Relaxed) {
            NOTHING_ASKED => time::Duration::ZERO,
            asked_ms => now.saturating_sub(time::Duration::from_millis(asked_ms)),
        }
    }
}

impl AnswerTime {
    /// Returns whether the answer is too old to tell how slow the store is.
    fn is_outdated(&self, now: time::Duration) -> bool {
        now.saturating_sub(self.answered_at) >= ANSWER_TIME_TTL
    }
}

/// Returns a reading of the clock in milliseconds.
fn millis(now: time::Duration) -> u64 {
    u64::try_from(now.as_millis()).unwrap_or(NOTHING_ASKED - 1)
}
