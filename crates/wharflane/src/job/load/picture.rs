//! The rounds that wait for room and the load that they are for their queues.

use std::collections;

use crate::job::load::need;
use crate::job::spec;

/// How many rounds must be overtaken until their queue counts as overloaded: a single one may wait
/// for a worker that does not exist.
const MIN_OVERTAKEN: usize = 3;

/// A round of a job.
pub type Round = (spec::JobId, u32);

/// The rounds with waiting batch tasks, and the load of their queues.
#[derive(Clone, Debug, Default)]
pub struct Picture {
    /// What each of these rounds needs.
    rounds: collections::BTreeMap<Round, need::Need>,
    /// The load of each queue with such a round.
    queues: collections::BTreeMap<String, QueueLoad>,
}

/// The load of one queue.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueueLoad {
    /// Rounds with waiting tasks.
    pub waiting: usize,
    /// Those of them that could no longer end in time before their first task was started, and that
    /// are not missed yet.
    pub overtaken: usize,
    /// CPU work that goes before a new round's, in core-milliseconds: what the rounds still need
    /// that have begun and can be in time.
    pub ahead_core_ms: f64,
}

impl QueueLoad {
    /// Returns whether the queue has more work than room: several of its rounds waited for their
    /// first start until they could no longer end in time.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        self.overtaken >= MIN_OVERTAKEN
    }

    /// Returns how long the work before a new round takes where tasks of the queue use
    /// `at_work_milli` thousandths of a core, in milliseconds; `None` if that can't be told, since
    /// none are at work.
    #[must_use]
    pub fn wait_ms(&self, at_work_milli: u64) -> Option<u64> {
        if self.ahead_core_ms <= 0.0 {
            return Some(0);
        }
        let cores = at_work_milli as f64 / 1e3;
        (at_work_milli > 0).then(|| (self.ahead_core_ms / cores) as u64)
    }
}

impl Picture {
    /// Adds a round with waiting tasks.
    pub fn add(&mut self, queue: &str, round: Round, need: need::Need) {
        if !self.queues.contains_key(queue) {
            self.queues.insert(queue.to_owned(), QueueLoad::default());
        }
        if let Some(load) = self.queues.get_mut(queue) {
            let outlook = need.outlook();
            load.waiting += 1;
            load.overtaken += usize::from(!need.begun && outlook == need::Outlook::Late);
            if need.begun && outlook == need::Outlook::InTime {
                load.ahead_core_ms += need.left_core_ms;
            }
        }
        self.rounds.insert(round, need);
    }

    /// Returns what a round needs if it has waiting batch tasks.
    #[must_use]
    pub fn round(&self, round: Round) -> Option<&need::Need> {
        self.rounds.get(&round)
    }

    /// Returns the load of a queue, which is none for a queue without waiting rounds.
    #[must_use]
    pub fn queue(&self, queue: &str) -> QueueLoad {
        self.queues.get(queue).copied().unwrap_or_default()
    }

    /// Returns the queues with waiting rounds.
    pub fn queues(&self) -> impl Iterator<Item = (&str, &QueueLoad)> {
        self.queues.iter().map(|(queue, load)| (queue.as_str(), load))
    }
}
