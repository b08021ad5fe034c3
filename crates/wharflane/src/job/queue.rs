//! The queues to which jobs are submitted, as configured by the operator.

use std::collections;

use serde::{Deserialize, Serialize};

use super::place::tickets;
use crate::id;

/// Priority of jobs whose queue nobody knows.
const ASSUMED_PRIORITY: u32 = 9;
/// Attempts per task for jobs whose queue nobody knows.
const ASSUMED_MAX_ATTEMPTS: u32 = 3;

/// The configuration of one queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Queue {
    /// The name of the queue.
    pub name: String,
    /// The host name that callers address.
    pub host: String,
    /// The prefix of the request paths that belong to the queue.
    pub prefix: String,
    /// How its jobs are run.
    pub policy: Policy,
}

/// What the configuration of a queue says of how its jobs are run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policy {
    /// The service whose workers run the queue's tasks.
    pub service: id::ServiceId,
    /// The priority; zero is the highest.
    pub priority: u32,
    /// The number of failures of one task after which its job fails.
    pub max_attempts: u32,
    /// The timing of the advice service; `None` if the queue needs no tickets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<tickets::AdviceTiming>,
    /// Allowed duration of a job relative to its critical path, in percent.
    pub stretch_percent: u64,
    /// Additional allowed duration, in milliseconds; zero if the queue promises none.
    pub objective_ms: u64,
}

impl Policy {
    /// Returns what counts for a job of which neither a configuration nor the store tells more than
    /// its service. Rows of versions that didn't store policies tell no more.
    pub(super) fn assumed(service: &id::ServiceId) -> Self {
        Self {
            service: service.clone(),
            priority: ASSUMED_PRIORITY,
            max_attempts: ASSUMED_MAX_ATTEMPTS,
            advice: None,
            stretch_percent: 0,
            objective_ms: 0,
        }
    }
}

/// The policy of a queue by one revision of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyVersion {
    /// The revision.
    pub revision: u64,
    /// What it says.
    #[serde(flatten)]
    pub policy: Policy,
}

/// All queues of one configuration revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Queues {
    /// The revision; zero before one was read.
    pub revision: u64,
    /// The queues by name.
    pub queues: collections::BTreeMap<String, Queue>,
}

impl Queues {
    /// Returns the policy of a queue by this revision; `None` if it lacks the queue.
    #[must_use]
    pub fn policy(&self, queue: &str) -> Option<PolicyVersion> {
        let policy = self.queues.get(queue)?.policy.clone();
        Some(PolicyVersion { revision: self.revision, policy })
    }

    /// Returns the queue for a request and the path after the queue's prefix. The longest matching
    /// prefix wins.
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
