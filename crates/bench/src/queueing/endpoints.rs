//! What an endpoint does with tries, in trouble and without.

use std::time;

use rand::RngExt as _;

use crate::queueing::{Back, Event, Sim, Trouble, WAY};

/// An endpoint.
pub(super) struct Endpoint {
    /// Slots in use.
    used: u32,
    /// When trouble ends.
    until: time::Duration,
    /// What is wrong until then.
    trouble: Trouble,
}

impl Endpoint {
    /// Makes an endpoint with what is wrong with it and until when.
    pub(super) fn new((trouble, until): &(Trouble, time::Duration)) -> Self {
        Self { used: 0, until: *until, trouble: *trouble }
    }
}

impl Sim {
    /// Lets an endpoint take a try.
    pub(super) fn reach(&mut self, request: usize, endpoint: usize) {
        let now = self.now;
        let slots = self.setup.slots;
        let place = &mut self.endpoints[endpoint];
        let troubled = place.trouble != Trouble::Well && now < place.until;
        if troubled {
            self.outcome.at_trouble += 1;
            self.outcome.left_after = now;
        } else if place.trouble != Trouble::Well && self.outcome.used_again.is_none() {
            self.outcome.used_again = Some(now - place.until);
        }
        let trouble = if troubled { place.trouble } else { Trouble::Well };
        if trouble == Trouble::FailFast {
            self.at(now + WAY, Event::Back(request, endpoint, Back::Failure));
            return;
        }
        if place.used >= slots {
            self.at(now + WAY, Event::Back(request, endpoint, Back::Refusal));
            return;
        }
        if trouble == Trouble::Hang {
            let deadline = self.requests[request].came + self.setup.patience;
            self.at(deadline.max(now), Event::Back(request, endpoint, Back::Timeout));
            return;
        }
        place.used += 1;
        let factor = if let Trouble::Slow(factor) = trouble { factor } else { 1.0 };
        let spread = -self.rng.random::<f64>().max(1e-12).ln() * 0.5 + 0.5;
        let took = self.setup.service.mul_f64(spread * factor);
        self.at(now + took, Event::Done(request, endpoint));
    }

    /// Frees the slot of a request that an endpoint has run, and sends the answer back.
    pub(super) fn done(&mut self, request: usize, endpoint: usize) {
        self.endpoints[endpoint].used -= 1;
        self.at(self.now + WAY, Event::Back(request, endpoint, Back::Answer));
    }
}
