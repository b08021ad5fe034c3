//! What a plan adds to a simulation: waves of crashes, given jobs, and long-running tasks that fail.

use std::time;

use rand::RngExt as _;
use wharflane::job;

use super::{message, world};

impl world::World {
    /// Schedules the waves of the plan.
    pub(super) fn schedule_waves(&mut self) {
        let Some(waves) = self.plan.waves else {
            return;
        };
        for wave in 0..waves.count {
            self.send(waves.first + waves.every * wave, message::Message::Wave);
        }
    }

    /// Crashes a share of the workers.
    pub(super) fn crash_wave(&mut self) {
        let share_milli = self.plan.waves.map_or(0, |waves| waves.share_milli);
        let mut alive: Vec<usize> =
            (0..self.workers.len()).filter(|at| self.workers[*at].alive).collect();
        let crashes = alive.len() * usize::try_from(share_milli).unwrap_or(0) / 1_000;
        for _ in 0..crashes {
            let at = alive.swap_remove(self.rng.random_range(0..alive.len()));
            self.crash(at);
        }
    }

    /// Submits a job at a time from the start; returns its id. Its tasks don't fail by themselves.
    pub fn submit_at(&mut self, at: time::Duration, job: job::Job) -> job::JobId {
        let id = job::JobId(self.rng.random_range(0..u64::MAX) & !7);
        self.send(at, message::Message::SubmitJob(id, Box::new(job)));
        id
    }

    /// Submits a job of one step at a time from the start, as `submit_at` does.
    pub fn submit_step_at(&mut self, at: time::Duration, step: job::Step) -> job::JobId {
        self.submit_steps_at(at, world::QUEUE, vec![step])
    }

    /// Submits a job of several steps to a queue at a time from the start, as `submit_at` does.
    pub fn submit_steps_at(
        &mut self,
        at: time::Duration,
        queue: &str,
        steps: Vec<job::Step>,
    ) -> job::JobId {
        let job = job::Job {
            queue: queue.to_owned(),
            service: "service".into(),
            spec: "spec".to_owned(),
            steps,
            repeats: None,
        };
        self.submit_at(at, job)
    }

    /// Cancels a job at a time from the start.
    pub fn cancel_at(&mut self, at: time::Duration, job: job::JobId) {
        self.send(at, message::Message::Cancel(job));
    }

    /// Makes one long-running task fail at a time from the start.
    pub fn fail_lasting_at(&mut self, at: time::Duration) {
        self.send(at, message::Message::FailLasting);
    }

    /// Makes a random long-running task fail.
    pub(super) fn fail_lasting(&mut self) {
        let now = self.now;
        let mut running = Vec::new();
        for (at, worker) in self.workers.iter().enumerate().filter(|(_, worker)| worker.alive) {
            let lasting = worker.running().map(|(task, _)| task);
            let lasting = lasting.filter(|task| self.behaviour(*task).work.is_none());
            running.extend(lasting.map(|task| (at, task)));
        }
        if running.is_empty() {
            return;
        }
        let (at, task) = running[self.rng.random_range(0..running.len())];
        self.workers[at].fail_run(task, now);
    }
}
