//! Callers of the simulation, which submit and cancel jobs.

use std::time;

use rand::RngExt as _;
use wharflane::{job, rows as table, size};

use super::{message, world};

/// How long the batch tasks of random jobs usually work, in milliseconds.
const USUAL_WORK_MS: std::ops::Range<u64> = 50..2_500;

impl world::World {
    /// Submits a random job; retries every second while the store is down.
    pub(super) fn submit(&mut self) {
        if self.down {
            return self.send(time::Duration::from_secs(1), message::Message::Submit);
        }
        let id = job::JobId(self.rng.random_range(0..u64::MAX));
        let lasting = self.rng.random_range(0..6) == 0;
        let steps = if lasting { 1 } else { self.rng.random_range(1..4) };
        let steps: Vec<job::Step> = (0..steps).map(|at| self.draw_step(at, lasting)).collect();
        let job = job::Job {
            queue: world::QUEUE.to_owned(),
            service: "service".into(),
            spec: "spec".to_owned(),
            steps,
            repeats: None,
        };
        self.accept(id, job);
        if self.rng.random_range(0..4) == 0 {
            let after = time::Duration::from_millis(self.rng.random_range(10..6_000));
            self.send(after, message::Message::Cancel(id));
        }
    }

    /// Accepts a job; retries every second while the store is down.
    pub(super) fn accept(&mut self, id: job::JobId, job: job::Job) {
        if self.down {
            let again = message::Message::SubmitJob(id, Box::new(job));
            return self.send(time::Duration::from_secs(1), again);
        }
        if !self.configuration.newest.queues.contains_key(&job.queue) {
            // The answer is that there is no such queue.
            let again = message::Message::SubmitJob(id, Box::new(job));
            return self.send(time::Duration::from_secs(1), again);
        }
        let accepted = self.accepted(job.clone(), false);
        self.checker.jobs.insert(id, job);
        self.checker.accepted_ms.insert(id, world::millis(self.now));
        self.write_job(id, &accepted);
    }

    /// Draws a step that depends on all steps before it.
    pub(super) fn draw_step(&mut self, at: u32, lasting: bool) -> job::Step {
        let work_ms = self.plan.work_ms.clone().unwrap_or(USUAL_WORK_MS);
        job::Step {
            count: self.rng.random_range(1..4),
            size: size::Size { cpu_milli: 300, mem_mb: 100, accelerators: 0 },
            estimate_ms: self.rng.random_range(work_ms),
            after: (0..at).collect(),
            lasting,
            ..job::Step::default()
        }
    }

    /// Cancels a job; retries every second while the store is down.
    pub(super) fn cancel(&mut self, id: job::JobId) {
        if self.down {
            return self.send(time::Duration::from_secs(1), message::Message::Cancel(id));
        }
        let Some(job) = self.checker.jobs.get(&id).cloned() else {
            return;
        };
        self.cancelled.insert(id, self.now);
        self.write_job(id, &self.accepted(job, true));
    }

    /// Returns what the row of a job says.
    pub(super) fn accepted(&self, job: job::Job, cancelled: bool) -> job::Accepted {
        let policy = self.configuration.newest.policy(&job.queue);
        job::Accepted { job, cancelled, accepted_ms: 0, policy }
    }

    /// Writes the row of a job and sends it to all hosts, as the feed of the table does.
    pub(super) fn write_job(&mut self, id: job::JobId, accepted: &job::Accepted) {
        let key = job::job_key(0, id);
        let value = serde_json::to_string(accepted).unwrap_or_default();
        let write = table::Write { key, value: Some(value) };
        let txn = table::Txn { expects: Vec::new(), writes: vec![write] };
        self.rows.transact(&txn);
        self.feed_writes(&txn);
    }

    /// Sends the rows that a transaction has written or removed to all hosts, as the feed of the table
    /// does.
    pub(super) fn feed_writes(&mut self, txn: &table::Txn) {
        let version = self.rows.version();
        let rows = txn.writes.iter().map(|write| table::Row {
            name: write.key.name.clone(),
            part: write.key.part.clone(),
            version,
            value: write.value.clone(),
            gone: write.value.is_none(),
        });
        let event = job::Event::Jobs(rows.collect());
        for host in self.hosts_with_feeds() {
            let incarnation = self.hosts[host].incarnation;
            let delay = self.draw_delay();
            self.send(delay, message::Message::Back(host, incarnation, Box::new(event.clone())));
        }
    }
}
