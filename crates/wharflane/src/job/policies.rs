//! What holds for the jobs of each queue.
//!
//! A configuration may leave out a queue whose jobs are under way. What the queue said before still
//! holds for them, and no process is sure to remember it: the row of each job tells what the host
//! that accepted it knew, and a row of the holder tells what later configurations said. The newest
//! revision that has the queue counts, whoever knows it, since revisions only rise.

use std::collections;
use std::sync;
use std::time;

use super::holding;
use super::learn::learned;
use super::queue;
use super::rows as job_rows;
use super::runs::work;
use super::spec;
use crate::id;
use crate::rows;

/// Maximum number of queues in the holder's row. With a name and a service of at most
/// `MAX_NAME_BYTES` each, they take up to 30 KB.
const MAX_QUEUES: usize = 100;
/// Maximum length of the names of a queue and its service in the holder's row, in bytes.
const MAX_NAME_BYTES: usize = 70;

/// The policies in the holder's row, by the name of their queue.
type Stored = collections::BTreeMap<String, queue::PolicyVersion>;

/// The policies of the queues with jobs, and the configuration in force.
#[derive(Debug, Default)]
pub(super) struct Policies {
    /// The configuration in force.
    configured: sync::Arc<queue::Queues>,
    /// The newest known policy of each queue with jobs, by the name of the queue.
    newest: collections::BTreeMap<String, Newest>,
    /// The holder's row as last written.
    stored: Stored,
    /// Whether the holder's row may differ from `stored`.
    row_changed: bool,
    /// The number of queues with active jobs that the configuration in force lacks, as last
    /// counted.
    unconfigured: usize,
}

/// The newest known policy of a queue.
#[derive(Clone, Debug)]
struct Newest {
    /// The newest revision that is known to have it; zero if it is assumed.
    revision: u64,
    /// The policy.
    policy: sync::Arc<queue::Policy>,
    /// Whether the row of a job tells something else or nothing, so that the holder's row has to
    /// tell it.
    needs_row: bool,
}

impl Policies {
    /// Returns the revision of the configuration in force; zero before one was read.
    pub fn revision(&self) -> u64 {
        self.configured.revision
    }

    /// Returns whether the configuration in force has a queue.
    pub fn is_configured(&self, queue: &str) -> bool {
        self.configured.queues.contains_key(queue)
    }

    /// Returns whether all that counts for a queue is an assumption, and no configuration was read
    /// yet that may tell more.
    pub fn is_unknown(&self, queue: &str) -> bool {
        self.revision() == 0 && self.is_assumed(queue)
    }

    /// Returns whether all that counts for a queue is an assumption: no configuration and no row
    /// that the holder has read tells of it.
    pub fn is_assumed(&self, queue: &str) -> bool {
        self.newest.get(queue).is_none_or(|newest| newest.revision == 0)
    }

    /// Returns whether a queue has jobs that the holder knows.
    pub fn knows(&self, queue: &str) -> bool {
        self.newest.contains_key(queue)
    }

    /// Returns the newest known policy of a queue with jobs.
    pub fn newest(&self, queue: &str) -> Option<&sync::Arc<queue::Policy>> {
        self.newest.get(queue).map(|newest| &newest.policy)
    }

    /// Returns the newest known policies by the names of their queues, for operators.
    pub fn dump(&self) -> collections::BTreeMap<String, queue::PolicyVersion> {
        self.newest.iter().map(|(name, newest)| (name.clone(), newest.version())).collect()
    }

    /// Puts a configuration in force; forgets the queues that have no jobs.
    fn configure(&mut self, queues: sync::Arc<queue::Queues>, has_jobs: impl Fn(&str) -> bool) {
        self.configured = queues;
        self.newest.retain(|queue, _| has_jobs(queue));
        for (name, newest) in &mut self.newest {
            if let Some(configured) = self.configured.policy(name) {
                // The rows of jobs that were accepted before can't tell a change.
                newest.needs_row |= newest.update(&configured);
                self.row_changed |= newest.needs_row;
            }
        }
    }

    /// Takes in what the row of a job tells of its queue; `None` if the row tells nothing.
    ///
    /// Returns whether jobs of the queue that are known already have another policy from now on.
    pub fn take_in(&mut self, job: &spec::Job, told: Option<&queue::PolicyVersion>) -> bool {
        let known = self.newest.contains_key(&job.queue);
        if !known {
            let assumed = Newest::assumed(&job.service);
            self.newest.insert(job.queue.clone(), assumed);
        }
        let Some(newest) = self.newest.get_mut(&job.queue) else {
            return false;
        };
        let configured = self.configured.policy(&job.queue);
        let sources = [told, self.stored.get(&job.queue), configured.as_ref()];
        let before = sync::Arc::clone(&newest.policy);
        for source in sources.into_iter().flatten() {
            newest.update(source);
        }
        let changed = known && newest.policy != before;
        let tells_newest = told.is_some_and(|told| told.policy == *newest.policy);
        if newest.revision > 0 && (changed || !tells_newest) {
            newest.needs_row = true;
            self.row_changed = true;
        }
        changed
    }

    /// Returns the row that the holder has to write, where `has_active_jobs` tells the queues that
    /// still need one.
    fn row(&self, has_active_jobs: impl Fn(&str) -> bool) -> Stored {
        let needed = |unconfigured| {
            let queues = self.newest.iter().filter(|(name, newest)| {
                newest.needs_row
                    && name.len() <= MAX_NAME_BYTES
                    && newest.policy.service.as_str().len() <= MAX_NAME_BYTES
            });
            queues.filter(move |(name, _)| self.is_configured(name) != unconfigured)
        };
        // What the configuration doesn't tell is needed first.
        let queues = needed(true).chain(needed(false));
        let queues = queues.filter(|(name, _)| has_active_jobs(name)).take(MAX_QUEUES);
        queues.map(|(name, newest)| (name.clone(), newest.version())).collect()
    }
}

impl Newest {
    /// Returns the record of a queue of which nothing is known.
    fn assumed(service: &id::ServiceId) -> Self {
        let policy = sync::Arc::new(queue::Policy::assumed(service));
        Self { revision: 0, policy, needs_row: false }
    }

    /// Takes in what a revision says, unless a newer one is known; returns whether the policy
    /// changed.
    fn update(&mut self, version: &queue::PolicyVersion) -> bool {
        if version.revision < self.revision {
            return false;
        }
        self.revision = version.revision;
        let changed = *self.policy != version.policy;
        if changed {
            self.policy = sync::Arc::new(version.policy.clone());
        }
        changed
    }

    /// Returns the policy with its revision.
    fn version(&self) -> queue::PolicyVersion {
        queue::PolicyVersion { revision: self.revision, policy: self.policy.as_ref().clone() }
    }
}

impl holding::Holding {
    /// Puts a configuration in force, also for the jobs that are under way.
    pub(super) fn set_queues(&mut self, queues: sync::Arc<queue::Queues>) {
        self.services.extend(queues.queues.values().map(|queue| queue.policy.service.clone()));
        let before = sync::Arc::clone(&self.policies.configured);
        let jobs = self.count_jobs(|_| true);
        self.policies.configure(queues, |queue| jobs.contains_key(queue));
        let is_first = before.revision == 0 && self.policies.revision() > 0;
        let changed = self.count_jobs(|entry| {
            let newest = self.policies.newest(&entry.job.queue);
            is_first || newest.is_some_and(|newest| *newest != entry.policy)
        });
        for queue in self.count_jobs(work::Entry::is_active).keys() {
            if before.queues.get(queue) != self.policies.configured.queues.get(queue) {
                self.log_queue(queue, before.revision);
            }
            if changed.contains_key(queue) {
                self.apply_policy(queue);
            }
        }
        self.count_unconfigured_queues();
    }

    /// Restores the policies that an earlier holder wrote.
    pub(super) fn restore_policies(&mut self, learned: &[rows::Row]) {
        let row = learned.iter().find(|row| row.name == learned::POLICIES);
        let Some(text) = row.and_then(|row| row.value.as_deref()) else {
            return;
        };
        match serde_json::from_str(text) {
            Ok(stored) => self.policies.stored = stored,
            Err(err) => tracing::error!(%err, "row of queue policies can't be decoded"),
        }
    }

    /// Logs the queues of loaded jobs that the configuration in force lacks.
    pub(super) fn log_unconfigured_queues(&mut self) {
        for queue in self.count_jobs(work::Entry::is_active).keys() {
            self.log_if_unconfigured(queue);
        }
        self.count_unconfigured_queues();
    }

    /// Returns the number of queues with active jobs that the configuration in force lacks, as last
    /// counted.
    #[must_use]
    pub fn unconfigured_queues(&self) -> usize {
        self.policies.unconfigured
    }

    /// Takes in what the row of a job tells of its queue, which may change what holds for others.
    pub(super) fn take_in_policy(&mut self, accepted: &job_rows::Accepted) {
        let job_rows::Accepted { job, policy, .. } = accepted;
        if self.policies.take_in(job, policy.as_ref()) {
            self.apply_policy(&job.queue);
            self.log_queue(&job.queue, 0);
        }
    }

    /// Puts the newest policy of a queue in force for its active jobs: for the tasks that wait, and
    /// for those whose failures it rates anew.
    fn apply_policy(&mut self, queue: &str) {
        let Some(policy) = self.policies.newest(queue).cloned() else {
            return;
        };
        self.services.insert(policy.service.clone());
        let mut jobs = Vec::new();
        for (job, entry) in &mut self.jobs {
            if entry.is_active() && entry.job.queue == queue {
                entry.policy = sync::Arc::clone(&policy);
                jobs.push((*job, entry.job.rounds()));
            }
        }
        for (job, rounds) in jobs {
            let first = spec::TaskId { job, round: 0, step: 0, index: 0 };
            let waiting = self.ready.range_mut(first..).take_while(|(task, _)| task.job == job);
            waiting.for_each(|(_, ready)| ready.priority = policy.priority);
            self.tickets.forget_refusals(job);
            self.fail_if_any_exhausted(job, self.now);
            (0..rounds).for_each(|round| self.open_round(job, round));
        }
        self.changed = true;
    }

    /// Returns whether the holder's row lacks a policy and may be written now.
    pub(super) fn lacks_policies(&self, now: time::Duration) -> bool {
        self.policies.row_changed && now >= self.commit_limits.extras_from
    }

    /// Adds the holder's row to a transaction if it has changed.
    pub(super) fn add_policies(&mut self, txn: &mut rows::Txn) -> Result<(), serde_json::Error> {
        if !self.policies.row_changed {
            return Ok(());
        }
        let active = self.count_jobs(work::Entry::is_active);
        let row = self.policies.row(|queue| active.contains_key(queue));
        self.policies.row_changed = false;
        if row == self.policies.stored {
            return Ok(());
        }
        let key = job_rows::learned_key(self.settings.domain, learned::POLICIES.to_owned());
        let value = Some(serde_json::to_string(&row)?);
        txn.writes.push(rows::Write { key, value });
        let names: Vec<&str> = row.keys().map(String::as_str).collect();
        let before = self.policies.stored.len();
        tracing::info!(queues = ?names, before, "storing the policies of queues");
        self.policies.stored = row;
        Ok(())
    }

    /// Follows jobs that have ended: counts the queues that the configuration lacks, and makes the
    /// holder's row due if queues in it may have no active jobs left.
    pub(super) fn review_policies(&mut self) {
        self.count_unconfigured_queues();
        self.policies.row_changed |= !self.policies.stored.is_empty();
    }

    /// Counts the queues with active jobs that the configuration in force lacks.
    fn count_unconfigured_queues(&mut self) {
        let queues = self.count_jobs(|entry| {
            entry.is_active() && !self.policies.is_configured(&entry.job.queue)
        });
        self.policies.unconfigured = queues.len();
    }

    /// Makes the holder's row due again after its write was refused.
    pub(super) fn restore_policies_due(&mut self) {
        self.policies.stored.clear();
        self.policies.row_changed = true;
    }

    /// Logs what holds for the jobs of a queue if the configuration in force lacks it.
    pub(super) fn log_if_unconfigured(&self, queue: &str) {
        if !self.policies.is_configured(queue) {
            self.log_queue(queue, 0);
        }
    }

    /// Logs what holds for the active jobs of a queue, if it has any, and by which revision;
    /// `before_revision` is the configuration before the one in force, zero if that isn't what
    /// changed.
    fn log_queue(&self, queue: &str, before_revision: u64) {
        let newest = self.policies.newest.get(queue);
        let active = self.jobs.values().filter(|entry| entry.is_active());
        let jobs = active.filter(|entry| entry.job.queue == queue).count();
        if jobs == 0 {
            return;
        }
        let policy = newest.map(|newest| newest.policy.as_ref());
        tracing::info!(
            queue,
            jobs,
            before_revision,
            revision = self.policies.revision(),
            configured = self.policies.is_configured(queue),
            policy_revision = newest.map(|newest| newest.revision),
            service = policy.map(|policy| policy.service.as_str()),
            priority = policy.map(|policy| policy.priority),
            max_attempts = policy.map(|policy| policy.max_attempts),
            advice = policy.map(|policy| policy.advice.is_some()),
            "queue of active jobs changed"
        );
    }

    /// Returns how many jobs of each queue a condition holds for; queues without one are absent.
    fn count_jobs(
        &self,
        counts: impl Fn(&work::Entry) -> bool,
    ) -> collections::BTreeMap<String, usize> {
        let mut queues = collections::BTreeMap::<String, usize>::new();
        for entry in self.jobs.values().filter(|entry| counts(entry)) {
            match queues.get_mut(&entry.job.queue) {
                Some(count) => *count += 1,
                None => drop(queues.insert(entry.job.queue.clone(), 1)),
            }
        }
        queues
    }
}
