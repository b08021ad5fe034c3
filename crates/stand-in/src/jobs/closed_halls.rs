//! Closes and reopens halls of the simulation, and sends the closed halls to hosts.

use std::collections;
use std::time;

use rand::RngExt as _;
use wharflane::{id, job, rows as table};
use wharflane_adapter::halls;

use super::{message, world};

/// The halls of the simulation; workers are assigned to them in turn.
const HALLS: [&str; 2] = ["h-0", "h-1"];
/// How long after a hall is closed, or after the last fault of the store or of a host, a start in
/// that hall may still be ordered: the interval of the feed, a message's delay and a commit. Users
/// accept 5 s.
const KNOWN_WITHIN: time::Duration = time::Duration::from_millis(1_000);
/// Probability, in thousandths, that a new holder can't read the closed halls though it can read
/// its own rows.
const READ_FAILS: u32 = 300;

/// The closed halls, each with the time at which it was closed.
pub(super) type ClosedSince = collections::BTreeMap<id::HallId, time::Duration>;

/// Returns the hall of the worker with this number.
pub(super) fn hall_of(number: usize) -> id::HallId {
    HALLS[number % HALLS.len()].into()
}

impl world::World {
    /// Closes a random hall, which may be closed already, and returns its index.
    pub(super) fn close_hall(&mut self) -> usize {
        let at = self.rng.random_range(0..HALLS.len());
        let hall = id::HallId::from(HALLS[at]);
        self.write_closed(&hall, Some("{}".to_owned()));
        let now = self.now;
        self.closed.entry(hall).or_insert(now);
        self.announce_closed_halls();
        at
    }

    /// Reopens a hall.
    pub(super) fn open_hall(&mut self, at: usize) {
        let hall = id::HallId::from(HALLS[at]);
        self.write_closed(&hall, None);
        self.closed.remove(&hall);
        self.announce_closed_halls();
    }

    /// Writes or removes the row of a hall; operators reach the store even while hosts can't.
    fn write_closed(&mut self, hall: &id::HallId, value: Option<String>) {
        let write = table::Write { key: halls::key(hall), value };
        self.rows.transact(&table::Txn { expects: Vec::new(), writes: vec![write] });
    }

    /// Sends the closed halls to all hosts, as their feeds do while the store answers.
    pub(super) fn announce_closed_halls(&mut self) {
        if self.down {
            return;
        }
        let event = job::Event::Closed(self.closed_halls());
        for host in self.hosts_with_feeds() {
            let incarnation = self.hosts[host].incarnation;
            let delay = self.draw_delay();
            self.send(delay, message::Message::Back(host, incarnation, Box::new(event.clone())));
        }
    }

    /// Sends the closed halls to a host that loads its state, unless this read fails.
    pub(super) fn send_closed_halls(&mut self, host: usize) {
        if self.faults.closings > 0 && self.chance(READ_FAILS) {
            return;
        }
        let event = job::Event::Closed(self.closed_halls());
        self.step(host, event);
    }

    /// Returns the closed halls.
    pub(super) fn closed_halls(&self) -> job::ClosedHalls {
        let halls = self.closed.keys().cloned().collect();
        job::ClosedHalls { version: self.rows.version(), halls }
    }

    /// Checks that a start, which was ordered at the time `ordered`, was not carried out in a
    /// closed hall.
    pub(super) fn check_closed_hall(
        &mut self,
        task: job::TaskId,
        worker: &id::Incarnation,
        ordered: time::Duration,
    ) {
        let hall =
            self.workers.iter().find(|found| found.has_same_id(worker)).map(|found| &found.hall);
        let since = hall.and_then(|hall| self.closed.get(hall));
        if since.is_some_and(|since| ordered > (*since).max(self.last_disturbed) + KNOWN_WITHIN) {
            self.checker.record_start_in_closed_hall(task);
        }
    }
}
