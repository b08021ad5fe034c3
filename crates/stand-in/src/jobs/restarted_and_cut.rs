//! Workers that restart under the same id and are cut off before any host learns of the restart.
//!
//! The next incarnation takes what hosts still send to the previous one. The answers to its last
//! calls are lost, and the list of workers shows it late.

use std::time;

use rand::RngExt as _;
use wharflane::id;

use super::{message, world};

/// The time from the return of the worker to the cut, in milliseconds.
const CUT_AFTER_MS: std::ops::Range<u64> = 0..1_200;
/// How long before the cut answers are lost already, in milliseconds.
const ANSWERS_LOST_MS: std::ops::Range<u64> = 0..400;
/// How long the worker can't be reached.
pub(super) const CUT: time::Duration = time::Duration::from_secs(9);
/// The time from the return of the worker until the store lists it, in milliseconds, unless that
/// comes after the cut.
const LISTED_AFTER_MS: std::ops::Range<u64> = 0..1_500;
/// The time from the end of the cut until the store lists the worker, in milliseconds.
const LISTED_AFTER_CUT_MS: std::ops::Range<u64> = 0..500;
/// In how many cases of a thousand the store lists the worker only after the cut.
const LISTED_AFTER_CUT_MILLI: u32 = 500;
/// The time from the cut until the last moment at which the holder is killed beside it.
const KILLED_AFTER_CUT: time::Duration = time::Duration::from_millis(1_000);
/// How long the host of a killed holder is down.
const HOST_DOWN: time::Duration = time::Duration::from_secs(4);

impl world::World {
    /// Restarts a worker that hosts can reach; it is cut off after its return.
    pub(super) fn restart_then_cut(&mut self) {
        let Some(at) = self.draw_worker_within_reach() else {
            return;
        };
        self.workers[at].alive = false;
        let away = self.draw_time_away();
        self.send(away, message::Message::ReturnThenCut(at));
    }

    /// Draws a worker that hosts can reach, if there is one.
    pub(super) fn draw_worker_within_reach(&mut self) -> Option<usize> {
        let within_reach: Vec<usize> =
            (0..self.workers.len()).filter(|at| self.workers[*at].answers()).collect();
        if within_reach.is_empty() {
            return None;
        }
        Some(within_reach[self.rng.random_range(0..within_reach.len())])
    }

    /// Adds the next incarnation of a worker without an entry, unless one is running, and returns its
    /// index.
    pub(super) fn add_unlisted_incarnation(&mut self, at: usize) -> Option<usize> {
        self.waits.note_disturbance(self.now);
        let (incarnation, hall) =
            (self.workers[at].incarnation.clone(), self.workers[at].hall.clone());
        if self.workers.iter().any(|found| found.alive && found.has_same_id(&incarnation)) {
            return None;
        }
        self.add_incarnation(incarnation.worker);
        let next = self.workers.len() - 1;
        let worker = &mut self.workers[next];
        worker.hall = hall;
        worker.listed = false;
        Some(next)
    }

    /// Draws the time until the cut of a worker, and from when its answers are lost.
    pub(super) fn draw_time_until_cut(&mut self, at: usize) -> time::Duration {
        let until_cut = self.draw_ms(CUT_AFTER_MS);
        let lost_before = self.draw_ms(ANSWERS_LOST_MS);
        let lost_from = self.now + until_cut.saturating_sub(lost_before);
        self.workers[at].answers_lost_from = Some(lost_from);
        until_cut
    }

    /// Adds the next incarnation of a worker, and schedules its cut and its late list entry.
    pub(super) fn return_then_cut(&mut self, at: usize) {
        let Some(next) = self.add_unlisted_incarnation(at) else {
            return;
        };
        let until_cut = self.draw_time_until_cut(next);
        let until_listed = self.draw_time_until_listed(until_cut);
        self.send(until_cut, message::Message::CutOff(next));
        self.send(until_listed, message::Message::ListIncarnation(next));
        self.kill_holder_beside_cut(until_cut);
    }

    /// Cuts a worker off after its return, unless it is gone.
    pub(super) fn cut_off_after_return(&mut self, at: usize) {
        if self.workers[at].alive {
            self.cut_off_worker(at, CUT);
        }
    }

    /// Lists an incarnation in place of the one before it, or removes the entry if it is gone. The
    /// entry stays as it is if a later incarnation has followed.
    pub(super) fn list_incarnation(&mut self, at: usize) {
        let incarnation = self.workers[at].incarnation.clone();
        if self.workers[at + 1..].iter().any(|later| later.has_same_id(&incarnation)) {
            return;
        }
        self.unlist_all(&incarnation);
        self.workers[at].listed = self.workers[at].alive;
        self.announce_member(at);
    }

    /// Returns whether the answer to a call that has just reached a worker is lost.
    pub(super) fn loses_answers(&self, incarnation: &id::Incarnation) -> bool {
        let answering = self.workers.iter().filter(|worker| worker.answers());
        let mut reached = answering.filter(|worker| worker.has_same_id(incarnation));
        reached.any(|worker| worker.answers_lost_from.is_some_and(|from| self.now >= from))
    }

    /// Schedules the entry of a worker after a cut that ends in this time.
    pub(super) fn schedule_list_after_cut(&mut self, at: usize, left: time::Duration) {
        let after_cut = self.draw_ms(LISTED_AFTER_CUT_MS);
        self.send(left + after_cut, message::Message::ListIncarnation(at));
    }

    /// Draws whether something comes about that does so in this many cases of a thousand.
    pub(super) fn draws(&mut self, milli: u32) -> bool {
        self.rng.random_range(0..1_000) < milli
    }

    /// Draws the time from the return of a worker until the store lists it.
    fn draw_time_until_listed(&mut self, until_cut: time::Duration) -> time::Duration {
        if self.draws(LISTED_AFTER_CUT_MILLI) {
            return until_cut + CUT + self.draw_ms(LISTED_AFTER_CUT_MS);
        }
        self.draw_ms(LISTED_AFTER_MS)
    }

    /// Schedules the kill of the holder between the return of a worker and a moment after its cut,
    /// if one is drawn.
    pub(super) fn kill_holder_beside_cut(&mut self, until_cut: time::Duration) {
        if self.faults.kills_beside_cuts == 0 || !self.chance(self.faults.kills_beside_cuts) {
            return;
        }
        let latest = world::millis(until_cut + KILLED_AFTER_CUT);
        let after = self.draw_ms(0..latest);
        self.send(after, message::Message::KillHolder);
    }

    /// Kills the holder, if there is one.
    pub(super) fn kill_holder(&mut self) {
        if let Some(holder) = self.holder() {
            self.kill_host(holder, HOST_DOWN);
        }
    }
}
