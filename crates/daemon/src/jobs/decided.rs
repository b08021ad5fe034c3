//! When something was decided that is to leave the process, and whether that is too long ago to be sent.
//!
//! A host may be suspended or frozen between a decision and its call. What holds then is not known before it is
//! looked at again, so such a call is not made: the engine takes it for one without an answer.

use std::sync;
use std::time;

use wharflane::clock;

/// How long after its decision an order or a look may still be sent. Orders are given until the lease has
/// `margin_ms` left, 400 ms by default; the call takes a few milliseconds of that.
const MOST: time::Duration = time::Duration::from_millis(200);

/// When something was decided.
#[derive(Clone, Debug)]
pub struct Decided {
    /// The clock, which goes on while the host is suspended.
    clock: sync::Arc<dyn clock::Clock>,
    /// When.
    at: time::Duration,
}

impl Decided {
    /// Notes that something is decided now.
    #[must_use]
    pub fn now(clock: &sync::Arc<dyn clock::Clock>) -> Self {
        Self { clock: sync::Arc::clone(clock), at: clock.now() }
    }

    /// Returns whether it may still be sent, and tells where it may not.
    #[must_use]
    pub fn may_be_sent(&self, what: &'static str) -> bool {
        let age = self.clock.now().saturating_sub(self.at);
        let fresh = age <= MOST;
        if !fresh {
            tracing::warn!(what, age_ms = age.as_millis(), "decided too long ago, not sent");
        }
        fresh
    }
}
