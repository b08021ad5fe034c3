//! The queues that jobs are handed in to, as the operator configures them.

use std::collections;

use super::tickets;
use crate::id;

/// One queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The name of the host that callers address.
    pub host: String,
    /// The start of the paths that belong to it.
    pub prefix: String,
    /// The service whose workers run its tasks.
    pub service: id::ServiceId,
    /// Its priority; zero comes first.
    pub priority: u32,
    /// How often a task may fail before its job has failed.
    pub max_attempts: u32,
    /// The terms of the advice service, where it must be asked which workers may run a step.
    pub advice: Option<tickets::AdviceTiming>,
    /// How many times its longest chain of work a job may take, in hundredths.
    pub stretch_percent: u64,
    /// What a job may take beyond that, in milliseconds; zero where nothing is promised.
    pub objective_ms: u64,
}

/// All queues of one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Queues {
    /// The revision; zero before any was read.
    pub revision: u64,
    /// The queues by name.
    pub queues: collections::BTreeMap<String, Queue>,
}

impl Queues {
    /// Returns the queue of a path and what follows its prefix; the longest prefix wins.
    #[must_use]
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let host = host.split(':').next().unwrap_or(host);
        let fits = |queue: &&Queue| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.prefix)
        };
        let queue = self.queues.values().filter(fits).max_by_key(|queue| queue.prefix.len())?;
        Some((queue, &path[queue.prefix.len()..]))
    }
}
