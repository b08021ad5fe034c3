//! The state of a hall for people who ask why.

use std::collections;
use std::time;

use serde::Serialize;

use super::holding;
use super::slot;
use crate::id;
use crate::lease;
use crate::size;

/// A hall in the state dump.
#[derive(Debug, Serialize)]
pub struct Dump<'a> {
    /// The hall.
    pub hall: &'a id::HallId,
    /// The head row seen last.
    pub head: Option<&'a lease::Head>,
    /// The tasks by state, if this host holds the hall.
    pub tasks: collections::BTreeMap<&'static str, usize>,
    /// Why tasks wait, by their size and owner.
    pub waiting: Vec<slot::WaitingShape>,
    /// What the workers have and hold.
    pub workers: collections::BTreeMap<&'a id::WorkerId, WorkerDump>,
    /// The learned harm of each job to each service.
    pub harms: collections::BTreeMap<&'a str, collections::BTreeMap<&'a str, f64>>,
    /// The last decisions.
    pub decisions: Vec<&'a holding::Decision>,
    /// The counters.
    pub counters: Option<&'a holding::Counters>,
}

/// A worker in the state dump.
#[derive(Debug, Serialize)]
pub struct WorkerDump {
    /// What it has.
    pub capacity: Option<size::Size>,
    /// What is set aside.
    pub used: size::Size,
    /// The age of its last report.
    pub report_age_ms: Option<u128>,
    /// Failures in a row of tasks started there.
    pub failures_in_row: u32,
}

impl super::Engine {
    /// Returns the state of the hall for people who ask why.
    #[must_use]
    pub fn dump(&self, now: time::Duration) -> Dump<'_> {
        let holding = self.holding();
        Dump {
            hall: &self.hall,
            head: holding.map(holding::Holding::head).or(self.seen()),
            tasks: holding.map(holding::Holding::task_counts).unwrap_or_default(),
            waiting: holding.map(holding::Holding::wait_reasons).unwrap_or_default(),
            workers: holding.map(|h| h.worker_dumps(now)).unwrap_or_default(),
            harms: holding.map(holding::Holding::learned).unwrap_or_default(),
            decisions: holding.map(|h| h.decisions().collect()).unwrap_or_default(),
            counters: holding.map(holding::Holding::counters),
        }
    }
}
