//! Workers that restart under the same id.
//!
//! The next incarnation has no state of the previous one: no runs, no ended runs and no fencing
//! epoch, and its clock and the numbers of its ended runs restart. Messages for the previous
//! incarnation may reach it, and answers of the previous incarnation may arrive after its own.

use std::time;

use rand::RngExt as _;
use wharflane::id;

use super::{message, world};

/// How long a restarting worker is down, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 20..1_500;
/// The extra delay of a slow answer, in milliseconds; calls of hosts time out after 600.
const SLOW_MS: std::ops::Range<u64> = 100..600;

impl world::World {
    /// Draws whether the next incarnation of a lost worker keeps its id.
    pub(super) fn draws_same_id(&mut self) -> bool {
        self.faults.same_id > 0 && self.chance(self.faults.same_id)
    }

    /// Restarts a worker; everything that runs there is lost.
    pub(super) fn restart(&mut self, at: usize) {
        if !self.workers[at].alive {
            return;
        }
        self.workers[at].alive = false;
        self.schedule_restart(at);
    }

    /// Schedules the next incarnation of a worker.
    pub(super) fn schedule_restart(&mut self, at: usize) {
        let away = self.draw_time_away();
        self.send(away, message::Message::Restart(at));
    }

    /// Draws how long a restarting worker is down.
    pub(super) fn draw_time_away(&mut self) -> time::Duration {
        time::Duration::from_millis(self.rng.random_range(AWAY_MS))
    }

    /// Adds the next incarnation of a worker under the same id and at the same address, unless one
    /// is running.
    pub(super) fn add_next_incarnation(&mut self, at: usize) {
        self.waits.note_disturbance(self.now);
        self.workers[at].listed = false;
        let (incarnation, hall) =
            (self.workers[at].incarnation.clone(), self.workers[at].hall.clone());
        if self.workers.iter().any(|found| found.alive && found.has_same_id(&incarnation)) {
            return;
        }
        self.unlist_all(&incarnation);
        self.add_incarnation(incarnation.worker);
        let next = self.workers.len() - 1;
        self.workers[next].hall = hall;
        self.announce_member(next);
    }

    /// Removes the entries of all incarnations of a worker from the store, before another one is
    /// listed.
    pub(super) fn unlist_all(&mut self, incarnation: &id::Incarnation) {
        let incarnations = self.workers.iter_mut();
        for worker in incarnations.filter(|worker| worker.has_same_id(incarnation)) {
            worker.listed = false;
        }
    }

    /// Draws the delay of an answer.
    pub(super) fn draw_answer_delay(&mut self) -> time::Duration {
        let delay = self.draw_delay();
        if self.faults.slow_answers == 0 || !self.chance(self.faults.slow_answers) {
            return delay;
        }
        delay + time::Duration::from_millis(self.rng.random_range(SLOW_MS))
    }
}
