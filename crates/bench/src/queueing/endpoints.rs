//! The endpoint side of the simulation: slots and faults.

use std::time;

use rand::RngExt as _;

use crate::queueing::{AttemptResult, Condition, Event, NETWORK_DELAY, Sim};

/// The state of an endpoint.
pub(super) struct Endpoint {
    /// Slots in use.
    used_slots: u32,
    /// When the condition ends and the endpoint is healthy again.
    condition_ends: time::Duration,
    /// The condition until `condition_ends`.
    condition: Condition,
}

impl Endpoint {
    /// Creates an idle endpoint with a condition and its end.
    pub(super) fn new((condition, condition_ends): &(Condition, time::Duration)) -> Self {
        Self { used_slots: 0, condition_ends: *condition_ends, condition: *condition }
    }
}

impl Sim {
    /// Handles an attempt that reaches an endpoint.
    pub(super) fn handle_attempt(&mut self, request: usize, endpoint: usize) {
        let now = self.now;
        let slots = self.setup.slots;
        let target = &mut self.endpoints[endpoint];
        let affected = target.condition != Condition::Well && now < target.condition_ends;
        if affected {
            self.outcome.faulty_attempts += 1;
            self.outcome.last_faulty_attempt = now;
        } else if target.condition != Condition::Well && self.outcome.reused_after.is_none() {
            self.outcome.reused_after = Some(now - target.condition_ends);
        }
        let condition = if affected { target.condition } else { Condition::Well };
        if condition == Condition::FailFast {
            self.schedule(
                now + NETWORK_DELAY,
                Event::AttemptReturned(request, endpoint, AttemptResult::Failure),
            );
            return;
        }
        if target.used_slots >= slots {
            self.schedule(
                now + NETWORK_DELAY,
                Event::AttemptReturned(request, endpoint, AttemptResult::Refusal),
            );
            return;
        }
        if condition == Condition::Hang {
            let deadline = self.requests[request].arrived + self.setup.caller_timeout;
            self.schedule(
                deadline.max(now),
                Event::AttemptReturned(request, endpoint, AttemptResult::Timeout),
            );
            return;
        }
        target.used_slots += 1;
        let factor = if let Condition::Slow(factor) = condition { factor } else { 1.0 };
        let spread = -self.rng.random::<f64>().max(1e-12).ln() * 0.5 + 0.5;
        let service_time = self.setup.service.mul_f64(spread * factor);
        self.schedule(now + service_time, Event::AttemptCompleted(request, endpoint));
    }

    /// Frees the slot of a completed request and sends the answer to the host.
    pub(super) fn complete_attempt(&mut self, request: usize, endpoint: usize) {
        self.endpoints[endpoint].used_slots -= 1;
        self.schedule(
            self.now + NETWORK_DELAY,
            Event::AttemptReturned(request, endpoint, AttemptResult::Answer),
        );
    }
}
