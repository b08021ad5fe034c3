//! The operator's configuration in the simulation: it loses and regains queues that have jobs, and
//! hosts read it late.
//!
//! What holds for a job is judged by all that configurations ever said of its queue, since hosts may
//! have different revisions at one time.

use std::collections;
use std::ops;
use std::sync;
use std::time;

use rand::RngExt as _;
use wharflane::job;

use super::{message, plan, world};

/// How long the advice service takes for an answer.
const ADVICE_TIME: time::Duration = time::Duration::from_millis(30);
/// How long a ticket is valid.
const TICKET_TIME: time::Duration = time::Duration::from_secs(3);
/// The longest delay until a host has read a change of the configuration, in milliseconds.
const CHANGE_DELAY_MS: u64 = 300;
/// How long all hosts are down that are started anew at once.
const COLD_START_TIME: time::Duration = time::Duration::from_millis(500);
/// The number of failing runs of a job's tasks is below this.
const MAX_FAILING_RUNS: u64 = 4;

/// The configuration, and what was ever said of its queues.
#[derive(Debug)]
pub(super) struct Configuration {
    /// The newest revision.
    pub(super) newest: sync::Arc<job::Queues>,
    /// All queues that a revision may have.
    queues: collections::BTreeMap<String, job::Queue>,
    /// The least and the most attempts that a revision ever gave the tasks of a queue.
    attempts: collections::BTreeMap<String, (u32, u32)>,
}

impl Configuration {
    /// Returns a configuration with all queues of a plan; without any there, the usual one.
    pub(super) fn new(plan: Option<&plan::ConfigurationChanges>) -> Self {
        let mut queues = world::queues();
        if let Some(changes) = plan {
            queues.queues = changes.queues.iter().map(queue).collect();
        }
        let all = queues.queues.clone();
        let mut configuration =
            Self { newest: sync::Arc::default(), queues: all, attempts: Default::default() };
        configuration.put_in_force(queues);
        configuration
    }

    /// Makes a revision the newest.
    fn put_in_force(&mut self, queues: job::Queues) {
        for (name, queue) in &queues.queues {
            let attempts = queue.policy.max_attempts;
            let (least, most) = self.attempts.entry(name.clone()).or_insert((attempts, attempts));
            (*least, *most) = ((*least).min(attempts), (*most).max(attempts));
        }
        self.newest = sync::Arc::new(queues);
    }

    /// Returns the least and the most attempts that tasks of a queue ever had.
    fn attempts(&self, queue: &str) -> (u32, u32) {
        self.attempts.get(queue).copied().unwrap_or((world::ATTEMPTS, world::ATTEMPTS))
    }
}

/// Returns a queue of a plan, by its name.
fn queue(planned: &plan::PlannedQueue) -> (String, job::Queue) {
    let mut queue = world::queue(planned.name);
    queue.policy.max_attempts = planned.attempts.start;
    queue.policy.advice = planned.advised.then(job::AdviceTiming::default);
    (planned.name.to_owned(), queue)
}

impl world::World {
    /// Schedules the changes of the plan.
    pub(super) fn schedule_configurations(&mut self) {
        let Some(changes) = self.plan.configuration.clone() else {
            return;
        };
        for change in 0..changes.count {
            let at = changes.first + changes.every * change;
            self.send(at, message::Message::ChangeConfiguration);
        }
        // At the end each queue is there.
        self.send(changes.first + changes.every * changes.count, message::Message::RestoreQueues);
    }

    /// Draws which queues the next revision has and how many attempts each gives, and starts all
    /// hosts anew if the plan says so.
    pub(super) fn change_configuration(&mut self) {
        let Some(changes) = self.plan.configuration.clone() else {
            return;
        };
        let mut left = collections::BTreeSet::new();
        for planned in &changes.queues {
            let attempts = self.rng.random_range(planned.attempts.clone());
            if let Some(queue) = self.configuration.queues.get_mut(planned.name) {
                queue.policy.max_attempts = attempts;
            }
            if self.rng.random_range(0..2) == 0 {
                left.insert(planned.name);
            }
        }
        self.write_configuration(|queue| left.contains(queue));
        if self.rng.random_range(0..1_000) < changes.cold_starts_milli {
            self.start_all_hosts_anew();
        }
    }

    /// Writes a revision that has all queues.
    pub(super) fn restore_queues(&mut self) {
        self.write_configuration(|_| true);
    }

    /// Writes the next revision, with the queues for which `has` holds; all hosts read it soon.
    fn write_configuration(&mut self, has: impl Fn(&str) -> bool) {
        let queues = self.configuration.queues.clone().into_iter().filter(|(name, _)| has(name));
        let revision = self.configuration.newest.revision + 1;
        self.configuration.put_in_force(job::Queues { revision, queues: queues.collect() });
        for host in 0..self.hosts.len() {
            self.read_configuration_within(host, 1..CHANGE_DELAY_MS);
        }
    }

    /// Lets a host read the configuration that is the newest after a drawn time.
    pub(super) fn read_configuration_within(&mut self, host: usize, within_ms: ops::Range<u64>) {
        let delay = time::Duration::from_millis(self.rng.random_range(within_ms));
        let incarnation = self.hosts[host].incarnation;
        self.send(delay, message::Message::ReadConfiguration(host, incarnation));
    }

    /// Kills all hosts; they start at the same moment.
    fn start_all_hosts_anew(&mut self) {
        self.changes += 1;
        for host in 0..self.hosts.len() {
            if self.hosts[host].engine.is_some() {
                self.kill_host(host, COLD_START_TIME);
            }
        }
    }

    /// Answers a request for advice: each worker may run the step.
    pub(super) fn advise(&mut self, host: usize, incarnation: u64, request: job::AdviceRequest) {
        let accepted = request.workers.iter().map(|worker| (worker.clone(), "ticket".to_owned()));
        let advice = job::Advice { accepted: accepted.collect(), valid: TICKET_TIME };
        let event = job::Event::AdviceAnswered { request, answer: Some(advice) };
        self.send(ADVICE_TIME, message::Message::Back(host, incarnation, Box::new(event)));
    }

    /// Returns whether a start lacks the ticket that its queue demands.
    pub(super) fn lacks_ticket(&self, start: &job::Start) -> bool {
        let queue = self.queue_of(start.order.task.job);
        queue.is_some_and(|queue| queue.policy.advice.is_some()) && start.ticket.is_empty()
    }

    /// Returns the most attempts that the tasks of a job ever had.
    pub(super) fn most_attempts(&self, job: job::JobId) -> u32 {
        let queue = self.checker.jobs.get(&job).map_or("", |job| job.queue.as_str());
        self.configuration.attempts(queue).1
    }

    /// Returns whether the next run of a task fails in a plan with changes of the configuration: a
    /// job's id tells how many do.
    pub(super) fn fails_next(&self, task: job::TaskId) -> bool {
        u64::from(self.checker.failures(task)) < task.job.0 / 8 % MAX_FAILING_RUNS
    }

    /// Returns the jobs that have failed although no task of them failed as often as any revision
    /// demands; none without changes of the configuration, where crashes of workers may end a job.
    #[must_use]
    pub fn failed_too_early(&self) -> Vec<job::JobId> {
        if self.plan.configuration.is_none() {
            return Vec::new();
        }
        let failed =
            self.checker.jobs.iter().filter(|(id, _)| self.phase(**id) == job::Phase::Failed);
        let early = failed.filter(|(id, job)| {
            let (least, _) = self.configuration.attempts(&job.queue);
            let steps = job.steps.iter().zip(0..);
            let mut tasks = steps.flat_map(|(step, number)| {
                (0..step.count).map(move |index| job::TaskId {
                    job: **id,
                    round: 0,
                    step: number,
                    index,
                })
            });
            tasks.all(|task| self.checker.failed_runs(task) < least as usize)
        });
        early.map(|(id, _)| *id).collect()
    }

    /// Returns the queue of a job.
    fn queue_of(&self, job: job::JobId) -> Option<&job::Queue> {
        self.configuration.queues.get(&self.checker.jobs.get(&job)?.queue)
    }
}
