//! Series of changes of the holder, one soon after the other, while workers can't be reached and run
//! on.

use std::time;

use rand::RngExt as _;
use wharflane::job;

use super::{message, plan, world};

/// How long a host that was stopped has to release the lease, before its process ends.
const STOP_TIME: time::Duration = time::Duration::from_millis(1_200);
/// How long a host is down that is restarted.
const RESTART_TIME: time::Duration = time::Duration::from_millis(400);
/// How long a host is down that was killed.
const KILLED_TIME: time::Duration = time::Duration::from_secs(4);
/// The time to the next try if nobody holds the domain.
const HOLDER_RETRY: time::Duration = time::Duration::from_millis(50);

impl world::World {
    /// Schedules the series of the plan.
    pub(super) fn schedule_handovers(&mut self) {
        let Some(handovers) = self.plan.handovers.clone() else {
            return;
        };
        for series in 0..handovers.count {
            let at = handovers.first + handovers.every * series;
            self.send(at, message::Message::BeginHandovers);
        }
    }

    /// Begins a series: cuts off a share of the workers and schedules the first change.
    pub(super) fn begin_handovers(&mut self) {
        let Some(handovers) = self.plan.handovers.clone() else {
            return;
        };
        self.cut_off_share(handovers.cut_milli, handovers.cut);
        self.schedule_change(handovers.changes, &handovers);
    }

    /// Ends the holder in one of the plan's ways, and schedules the remaining changes of the series.
    pub(super) fn change_holder(&mut self, left: u32) {
        let Some(handovers) = self.plan.handovers.clone() else {
            return;
        };
        let holds = |host: &world::Host| {
            host.engine.as_ref().is_some_and(|engine| engine.holding().is_some())
        };
        let Some(at) = self.hosts.iter().position(holds) else {
            return self.send(HOLDER_RETRY, message::Message::ChangeHolder(left));
        };
        self.changes += 1;
        match handovers.ends[self.rng.random_range(0..handovers.ends.len())] {
            plan::HolderEnd::Killed => self.kill_host(at, KILLED_TIME),
            plan::HolderEnd::Restarted => self.kill_host(at, RESTART_TIME),
            plan::HolderEnd::Stopped => {
                let incarnation = self.hosts[at].incarnation;
                self.step(at, job::Event::Leave);
                self.send(STOP_TIME, message::Message::EndHost(at, incarnation));
            }
        }
        self.schedule_change(left - 1, &handovers);
    }

    /// Ends the process of a host that was stopped; it starts again soon.
    pub(super) fn end_host(&mut self, at: usize, incarnation: u64) {
        if self.hosts[at].engine.is_some() && self.hosts[at].incarnation == incarnation {
            self.kill_host(at, RESTART_TIME);
        }
    }

    /// Schedules the next of the changes that are left in a series.
    fn schedule_change(&mut self, left: u32, handovers: &plan::Handovers) {
        if left > 0 {
            let gap = time::Duration::from_millis(self.rng.random_range(handovers.gap_ms.clone()));
            self.send(gap, message::Message::ChangeHolder(left));
        }
    }
}
