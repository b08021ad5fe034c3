//! The state dump of a hall, for operators who diagnose a scheduling decision.

use std::collections;
use std::time;

use serde::Serialize;

use super::holding;
use super::slot;
use crate::id;
use crate::lease;
use crate::size;

/// One hall in the state dump.
#[derive(Debug, Serialize)]
pub struct Dump<'a> {
    /// The hall's id.
    pub hall: &'a id::HallId,
    /// The head row, as last seen.
    pub head: Option<&'a lease::Head>,
    /// The number of tasks in each state, if this host holds the hall.
    pub tasks: collections::BTreeMap<&'static str, usize>,
    /// Why tasks wait, grouped by size, priority and team.
    pub waiting: Vec<slot::WaitingShape>,
    /// The workers with their resources and health.
    pub workers: collections::BTreeMap<&'a id::WorkerId, WorkerDump>,
    /// The estimated harm of each job to each service.
    pub harms: collections::BTreeMap<&'a str, collections::BTreeMap<&'a str, f64>>,
    /// The most recent decisions, oldest first.
    pub decisions: Vec<&'a holding::Decision>,
    /// The holder's counters, if this host holds the hall.
    pub counters: Option<&'a holding::Counters>,
}

/// One worker in the state dump.
#[derive(Debug, Serialize)]
pub struct WorkerDump {
    /// The worker's total resources; `None` before its first report.
    pub capacity: Option<size::Size>,
    /// The reserved resources.
    pub used: size::Size,
    /// The age of the worker's last report; `None` before the first.
    pub report_age_ms: Option<u128>,
    /// Consecutive failures of tasks started on the worker.
    pub failures_in_row: u32,
}

impl super::Engine {
    /// Returns the state dump of the hall.
    #[must_use]
    pub fn dump(&self, now: time::Duration) -> Dump<'_> {
        let holding = self.holding();
        Dump {
            hall: &self.hall,
            head: holding.map(holding::Holding::head).or(self.last_head()),
            tasks: holding.map(holding::Holding::task_counts).unwrap_or_default(),
            waiting: holding.map(holding::Holding::wait_reasons).unwrap_or_default(),
            workers: holding.map(|h| h.worker_dumps(now)).unwrap_or_default(),
            harms: holding.map(holding::Holding::estimated_harm).unwrap_or_default(),
            decisions: holding.map(|h| h.decisions().collect()).unwrap_or_default(),
            counters: holding.map(holding::Holding::counters),
        }
    }
}
