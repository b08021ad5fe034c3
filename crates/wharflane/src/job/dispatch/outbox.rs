//! The calls to workers that a holder has decided on and not sent yet.

use std::time;

use crate::job::dispatch::{pace, two_classes};
use crate::job::event;

/// Calls to workers that wait to be sent. Starts of the first priority are urgent, heartbeats to
/// workers that run such tasks, and stops.
#[derive(Debug)]
pub struct Outbox<T> {
    /// The calls.
    calls: two_classes::TwoClasses<Call<T>>,
    /// The starts that wait.
    unsent: pace::Unsent,
    /// How many starts are sent in a given time.
    rate: pace::StartRate,
}

/// A call that waits to be sent.
#[derive(Debug)]
struct Call<T> {
    /// What is to be sent.
    call: T,
    /// When it was decided on, if it orders a start; absent for other calls.
    start_decided: Option<time::Duration>,
}

impl<T> Default for Outbox<T> {
    fn default() -> Self {
        Self {
            calls: two_classes::TwoClasses::default(),
            unsent: pace::Unsent::default(),
            rate: pace::StartRate::default(),
        }
    }
}

impl<T> Outbox<T> {
    /// Adds the call that carries out an effect.
    pub fn push(&mut self, call: T, effect: impl Fn(&T) -> &event::Effect, now: time::Duration) {
        let effect = effect(&call);
        let (is_start, urgent) = (matches!(effect, event::Effect::Start(_)), effect.is_urgent());
        if is_start {
            self.unsent.count(urgent, 1);
            self.rate.note_added(self.unsent, now);
        }
        self.calls.push(Call { call, start_decided: is_start.then_some(now) }, urgent);
    }

    /// Removes the call that is sent next.
    pub fn pop(&mut self, now: time::Duration) -> Option<T> {
        let (next, urgent) = self.calls.pop()?;
        if let Some(decided) = next.start_decided {
            self.unsent.count(urgent, -1);
            let is_sent = now.saturating_sub(decided) <= pace::MAX_SEND_AGE;
            self.rate.note_taken(is_sent, now);
        }
        Some(next.call)
    }

    /// Returns the number of calls that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the starts that wait, and how many may wait.
    #[must_use]
    pub fn starts(&self) -> pace::Starts {
        pace::Starts { unsent: self.unsent, limit: self.rate.limit() }
    }
}
