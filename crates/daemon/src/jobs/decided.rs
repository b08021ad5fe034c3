//! Prevents the sending of a decision that has become too old.
//!
//! A host may be suspended or frozen between a decision and the call that carries it out, and the
//! state that the decision was based on may have changed since. Such a call is not made; the engine
//! treats a start as not sent and the rest like a call without an answer.

use std::sync;
use std::time;

use wharflane::{clock, job};

/// The time at which a decision was made.
#[derive(Clone, Debug)]
pub struct DecisionTime {
    /// Clock that keeps running while the host is suspended.
    clock: sync::Arc<dyn clock::Clock>,
    /// Reading of the clock at the decision.
    at: time::Duration,
}

impl DecisionTime {
    /// Records a decision made now.
    #[must_use]
    pub fn now(clock: &sync::Arc<dyn clock::Clock>) -> Self {
        Self { clock: sync::Arc::clone(clock), at: clock.now() }
    }

    /// Returns the reading of the clock at the decision.
    #[must_use]
    pub fn at(&self) -> time::Duration {
        self.at
    }

    /// Returns whether the decision is recent enough to be sent; logs if it is not.
    #[must_use]
    pub fn allows_sending(&self, what: &'static str) -> bool {
        let age = self.clock.now().saturating_sub(self.at);
        let fresh = age <= job::MAX_SEND_AGE;
        if !fresh {
            tracing::warn!(what, age_ms = age.as_millis(), "decision too old; not sent");
        }
        fresh
    }
}
