//! Workers that restart under the same id while they are cut off from the hosts and from the store.
//!
//! A worker that can't write lives on, and its entry lapses after three heartbeats of silence. The
//! first entry of the next incarnation may come only after the cut, so that the list of workers
//! lacks the worker while tasks run there.

use std::time;

use super::{message, restarted_and_cut, world};

/// How long before a crash or a cut a worker has last written its entry, in milliseconds.
const WRITTEN_BEFORE_MS: std::ops::Range<u64> = 0..1_100;
/// The time from the last write of an entry until it lapses, in milliseconds.
const LAPSES_AFTER_MS: std::ops::Range<u64> = 2_200..3_300;
/// In how many cases of a thousand the first entry of the next incarnation comes before the cut.
const LISTED_BEFORE_CUT_MILLI: u32 = 250;
/// The time from a cut until the crash of a worker behind it, in milliseconds.
const CRASHES_AFTER_CUT_MS: std::ops::Range<u64> = 0..2_500;

impl world::World {
    /// Restarts a worker that hosts can reach; it is cut off from all after its return.
    pub(super) fn restart_then_cut_from_all(&mut self) {
        let Some(at) = self.draw_worker_within_reach() else {
            return;
        };
        self.workers[at].alive = false;
        self.schedule_lapse(at);
        let away = self.draw_time_away();
        self.send(away, message::Message::ReturnThenCutFromAll(at));
    }

    /// Adds the next incarnation of a worker, and schedules its cut from all.
    pub(super) fn return_then_cut_from_all(&mut self, at: usize) {
        let Some(next) = self.add_unlisted_incarnation(at) else {
            return;
        };
        let until_cut = self.draw_time_until_cut(next);
        self.send(until_cut, message::Message::CutOffFromAll(next));
        if self.draws(LISTED_BEFORE_CUT_MILLI) {
            let until_listed = self.draw_ms(0..world::millis(until_cut).max(1));
            self.send(until_listed, message::Message::ListIncarnation(next));
        }
        self.kill_holder_beside_cut(until_cut);
    }

    /// Cuts a worker off from all after its return, unless it is gone.
    pub(super) fn cut_off_from_all(&mut self, at: usize) {
        if !self.workers[at].alive {
            return;
        }
        self.cut_off_worker(at, restarted_and_cut::CUT);
        self.schedule_lapse(at);
        self.schedule_list_after_cut(at, restarted_and_cut::CUT);
    }

    /// Cuts a worker that hosts can reach off from all; it restarts behind the cut.
    pub(super) fn cut_from_all_then_restart(&mut self) {
        let Some(at) = self.draw_worker_within_reach() else {
            return;
        };
        let until_cut = self.draw_time_until_cut(at);
        self.send(until_cut, message::Message::CutThenRestart(at));
        self.kill_holder_beside_cut(until_cut);
    }

    /// Cuts a worker off from all and schedules its crash behind the cut, unless it is gone.
    pub(super) fn cut_then_restart(&mut self, at: usize) {
        if !self.workers[at].alive {
            return;
        }
        self.cut_off_worker(at, restarted_and_cut::CUT);
        self.schedule_lapse(at);
        let cut_until = self.now + restarted_and_cut::CUT;
        let until_crash = self.draw_ms(CRASHES_AFTER_CUT_MS);
        self.send(until_crash, message::Message::CrashBehindCut(at, cut_until));
    }

    /// Crashes a worker behind a cut that lasts until `cut_until`, and schedules its return.
    pub(super) fn crash_behind_cut(&mut self, at: usize, cut_until: time::Duration) {
        if !self.workers[at].alive {
            return;
        }
        self.waits.note_disturbance(self.now);
        self.workers[at].alive = false;
        let away = self.draw_time_away();
        self.send(away, message::Message::ReturnBehindCut(at, cut_until));
    }

    /// Adds the next incarnation of a worker behind a cut that lasts until `cut_until`.
    pub(super) fn return_behind_cut(&mut self, at: usize, cut_until: time::Duration) {
        let Some(next) = self.add_unlisted_incarnation(at) else {
            return;
        };
        let left = cut_until.saturating_sub(self.now);
        self.cut_off_worker(next, left);
        self.workers[next].cut_since = self.workers[at].cut_since;
        self.schedule_list_after_cut(next, left);
    }

    /// Removes the entry of a worker that writes no more, if the store still has it.
    pub(super) fn lapse_entry(&mut self, at: usize) {
        if !self.workers[at].listed {
            return;
        }
        self.workers[at].listed = false;
        self.announce_member(at);
        let incarnation = self.workers[at].incarnation.clone();
        let mut living = self.workers.iter().filter(|worker| worker.alive);
        self.living_unlisted += u32::from(living.any(|worker| worker.has_same_id(&incarnation)));
    }

    /// Schedules the lapse of the entry of a worker that is about to write no more.
    fn schedule_lapse(&mut self, at: usize) {
        let written_before = self.draw_ms(WRITTEN_BEFORE_MS);
        let lapses_after = self.draw_ms(LAPSES_AFTER_MS);
        self.send(lapses_after - written_before, message::Message::LapseEntry(at));
    }
}
