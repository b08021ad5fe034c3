//! Outages of the store in which entries of workers lapse, and times at which workers can't be
//! reached and run on.

use std::time;

use rand::RngExt as _;

use super::{fault, message, world};

impl world::World {
    /// Schedules the outages and the cuts of the plan.
    pub(super) fn schedule_outages(&mut self) {
        if let Some(outages) = self.plan.outages.clone() {
            let mut at = outages.first;
            for _ in 0..outages.count {
                self.send(at, message::Message::BeginOutage);
                at += self.draw_ms(outages.every_ms.clone());
            }
        }
        if let Some(cuts) = self.plan.cuts {
            for number in 0..cuts.count {
                self.send(cuts.first + cuts.every * number, message::Message::BeginCut);
            }
        }
    }

    /// Begins an outage of the store unless there is one.
    pub(super) fn begin_outage(&mut self) {
        let Some(outages) = self.plan.outages.clone().filter(|_| !self.down) else {
            return;
        };
        self.down = true;
        self.waits.note_disturbance(self.now);
        self.waits.open_faults += 1;
        let lasts = self.draw_ms(outages.lasts_ms);
        self.send(lasts, message::Message::EndFault(fault::Kind::Outage, 0));
    }

    /// Ends an outage of the store: the entries that have lapsed are missing, and all hosts catch up.
    pub(super) fn end_outage(&mut self) {
        self.down = false;
        let Some(outages) = self.plan.outages.clone() else {
            return;
        };
        for at in 0..self.workers.len() {
            let lapses = self.rng.random_range(0..1_000) < outages.lapse_milli;
            let worker = &mut self.workers[at];
            worker.lapsed |= worker.listed && lapses;
            worker.listed &= !lapses;
            if worker.alive && worker.lapsed {
                let after = self.draw_ms(outages.relisted_ms.clone());
                self.send(after, message::Message::ListAgain(at));
            }
        }
        self.hosts_with_feeds().into_iter().for_each(|host| self.catch_up_feeds(host));
    }

    /// Lists a worker whose entry has lapsed again, unless it has crashed or the store is down.
    pub(super) fn list_again(&mut self, at: usize) {
        let worker = &mut self.workers[at];
        if self.down || !worker.alive || !worker.lapsed {
            return;
        }
        worker.lapsed = false;
        worker.listed = true;
        self.announce_member(at);
    }

    /// Cuts off workers as the plan says.
    pub(super) fn begin_cut(&mut self) {
        if let Some(cuts) = self.plan.cuts {
            self.cut_off_share(cuts.share_milli, cuts.lasts);
        }
    }

    /// Makes a share of the workers, in thousandths, unreachable for a time.
    pub(super) fn cut_off_share(&mut self, share_milli: u64, lasts: time::Duration) {
        for at in 0..self.workers.len() {
            let cut = self.rng.random_range(0..1_000) < share_milli;
            if cut && self.workers[at].alive && self.workers[at].reachable {
                self.cut_off_worker(at, lasts);
            }
        }
    }

    /// Draws a time in milliseconds.
    pub(super) fn draw_ms(&mut self, range_ms: std::ops::Range<u64>) -> time::Duration {
        time::Duration::from_millis(self.rng.random_range(range_ms))
    }
}
