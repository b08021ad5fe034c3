//! Workers that start again under the id that they had.
//!
//! The next incarnation knows nothing of the one before: no run, no end, no fence, and its clock and its numbers of ends begin
//! anew. What was sent to the last incarnation may reach it, and answers of the last incarnation may come after its own.

use std::time;

use rand::RngExt as _;

use super::{mail, world};

/// How long a worker that restarts is away, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 20..1_500;
/// How much longer a slow answer takes, in milliseconds; calls are given up after 600.
const SLOW_MS: std::ops::Range<u64> = 100..600;

impl world::World {
    /// Returns whether a worker that is lost comes back under its id.
    pub(super) fn keeps_id(&mut self) -> bool {
        self.faults.same_id > 0 && self.chance(self.faults.same_id)
    }

    /// Lets a worker restart with all that runs there lost.
    pub(super) fn restart(&mut self, at: usize) {
        if !self.workers[at].alive {
            return;
        }
        self.workers[at].alive = false;
        self.restart_soon(at);
    }

    /// Lets the next incarnation of a worker come after a while.
    pub(super) fn restart_soon(&mut self, at: usize) {
        let away = time::Duration::from_millis(self.rng.random_range(AWAY_MS));
        self.send(away, mail::Message::Restart(at));
    }

    /// Lets the next incarnation of a worker come, under the same id and at the same address.
    pub(super) fn start_again(&mut self, at: usize) {
        self.workers[at].listed = false;
        let (incarnation, hall) =
            (self.workers[at].incarnation.clone(), self.workers[at].hall.clone());
        if self.workers.iter().any(|found| found.alive && found.is_meant(&incarnation)) {
            return;
        }
        self.add_incarnation(incarnation.worker);
        let next = self.workers.len() - 1;
        self.workers[next].hall = hall;
        self.tell_member(next);
    }

    /// Returns how long an answer is on its way.
    pub(super) fn way_back(&mut self) -> time::Duration {
        let way = self.way();
        if self.faults.slow_answers == 0 || !self.chance(self.faults.slow_answers) {
            return way;
        }
        way + time::Duration::from_millis(self.rng.random_range(SLOW_MS))
    }
}
