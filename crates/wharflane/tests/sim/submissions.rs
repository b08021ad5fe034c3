//! Jobs that callers submit to the simulation.

use wharflane::{job, rows};

use super::Sim;

impl Sim {
    /// Submits a job of one step.
    pub fn submit(&mut self, number: u64, queue: &str, step: job::Step) {
        let event = self.accepted(number, queue, step);
        self.handle(event);
    }

    /// Submits a job of several steps.
    pub fn submit_steps(&mut self, number: u64, queue: &str, steps: Vec<job::Step>) {
        let event = self.accepted_steps(number, queue, steps);
        self.handle(event);
    }

    /// Returns the event by which the engine learns of an accepted job of one step.
    pub fn accepted(&mut self, number: u64, queue: &str, step: job::Step) -> job::Event {
        self.accepted_steps(number, queue, vec![step])
    }

    /// Returns the event by which the engine learns of an accepted job.
    fn accepted_steps(&mut self, number: u64, queue: &str, steps: Vec<job::Step>) -> job::Event {
        let job = job::Job {
            queue: queue.to_owned(),
            service: "service".into(),
            spec: String::new(),
            steps,
            repeats: None,
        };
        let policy = self.accepting_hosts_queues.policy(queue);
        let accepted = job::Accepted { job, cancelled: false, accepted_ms: 0, policy };
        let value = serde_json::to_string(&accepted);
        self.version += 1;
        job::Event::Jobs(vec![rows::Row {
            name: job::JobId(number).to_string(),
            part: job::job_key(0, job::JobId(number)).part,
            version: self.version,
            value: value.ok(),
            gone: false,
        }])
    }
}
