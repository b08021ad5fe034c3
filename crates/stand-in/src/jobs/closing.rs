//! Halls of the world that operators close for a time, and what hosts hear of it.

use std::collections;
use std::time;

use rand::RngExt as _;
use wharflane::{id, job, rows as table};
use wharflane_adapter::halls;

use super::{mail, world};

/// The halls of the world; workers join them in turn.
const HALLS: [&str; 2] = ["h-0", "h-1"];
/// How long a start in a closed hall may be ordered after it was closed, or after the last trouble of the store or of a
/// host's own: the feed's time, a way, and a commit. The users allow 5 s.
const HEARD_WITHIN: time::Duration = time::Duration::from_millis(1_000);
/// Reads of closed halls by a new holder that fail while its own rows can be read, in thousandths.
const UNREAD: u32 = 300;

/// The halls that are closed, with the time since when.
pub(super) type Closed = collections::BTreeMap<id::HallId, time::Duration>;

/// Returns the hall that the worker of a number joins.
pub(super) fn hall_of(number: usize) -> id::HallId {
    HALLS[number % HALLS.len()].into()
}

impl world::World {
    /// Closes a hall; it may be closed already.
    pub(super) fn close(&mut self) -> usize {
        let at = self.rng.random_range(0..HALLS.len());
        let hall = id::HallId::from(HALLS[at]);
        self.write_closed(&hall, Some("{}".to_owned()));
        let now = self.now;
        self.closed.entry(hall).or_insert(now);
        self.tell_closed();
        at
    }

    /// Opens a hall again.
    pub(super) fn open(&mut self, at: usize) {
        let hall = id::HallId::from(HALLS[at]);
        self.write_closed(&hall, None);
        self.closed.remove(&hall);
        self.tell_closed();
    }

    /// Writes the row of a hall, or removes it; operators reach the store also while hosts don't.
    fn write_closed(&mut self, hall: &id::HallId, value: Option<String>) {
        let write = table::Write { key: halls::key(hall), value };
        self.rows.transact(&table::Txn { expects: Vec::new(), writes: vec![write] });
    }

    /// Tells all hosts which halls are closed, as their feeds do while the store answers.
    pub(super) fn tell_closed(&mut self) {
        if self.down {
            return;
        }
        let event = job::Event::Closed(self.closed_halls());
        for host in 0..self.hosts.len() {
            let incarnation = self.hosts[host].incarnation;
            let way = self.way();
            self.send(way, mail::Message::Back(host, incarnation, Box::new(event.clone())));
        }
    }

    /// Tells a host that reads the state which halls are closed, unless just that can't be read.
    pub(super) fn load_closed(&mut self, host: usize) {
        if self.faults.closings > 0 && self.chance(UNREAD) {
            return;
        }
        let event = job::Event::Closed(self.closed_halls());
        self.step(host, event);
    }

    /// Returns which halls are closed.
    fn closed_halls(&self) -> job::ClosedHalls {
        let halls = self.closed.keys().cloned().collect();
        job::ClosedHalls { version: self.rows.version(), halls }
    }

    /// Judges where a start was carried out that was ordered at some time.
    pub(super) fn judge_closed(
        &mut self,
        task: job::TaskId,
        worker: &id::Incarnation,
        ordered: time::Duration,
    ) {
        let hall =
            self.workers.iter().find(|found| found.is_meant(worker)).map(|found| &found.hall);
        let since = hall.and_then(|hall| self.closed.get(hall));
        if since.is_some_and(|since| ordered > (*since).max(self.disturbed) + HEARD_WITHIN) {
            self.judge.closed(task);
        }
    }
}
