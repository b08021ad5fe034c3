//! Callers of the simulation whose submission has no answer, and who cancel what they don't know to be
//! stored.
//!
//! The write of such a submission takes effect late. Meanwhile its caller repeats it and cancels it
//! at hosts that reach the store at once.

use std::ops;
use std::time;

use rand::RngExt as _;
use wharflane::job::early_cancel;
use wharflane::{job, rows as table};

use super::message::Message;
use super::world;

/// How long a caller waits before it repeats a call to a store that is down.
const RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

impl world::World {
    /// Schedules the doubtful submissions of the plan.
    pub(super) fn schedule_doubtful_submissions(&mut self) {
        let Some(plan) = self.plan.doubtful.clone() else {
            return;
        };
        for number in 0..plan.count {
            self.send(plan.first + plan.every * number, Message::SubmitInDoubt);
        }
    }

    /// Submits a job by a write that takes effect late, and draws what its caller does meanwhile.
    pub(super) fn submit_in_doubt(&mut self) {
        let Some(plan) = self.plan.doubtful.clone() else {
            return;
        };
        let id = job::JobId(self.rng.random_range(0..u64::MAX));
        let lasting = self.rng.random_range(0..6) == 0;
        let job = job::Job {
            queue: world::QUEUE.to_owned(),
            service: "service".into(),
            spec: "spec".to_owned(),
            steps: vec![self.draw_step(0, lasting)],
            repeats: None,
        };
        self.checker.jobs.insert(id, job);
        let within = |range: &ops::Range<u64>, rng: &mut rand::rngs::StdRng| {
            time::Duration::from_millis(rng.random_range(range.clone()))
        };
        let late = within(&plan.late_ms, &mut self.rng);
        self.send(late, Message::WriteLate(self.submitted(id)));
        // One in four is never cancelled and must run all the same.
        if self.rng.random_range(0..4) > 0 {
            for _ in 0..self.rng.random_range(1..3) {
                let after = within(&plan.cancelled_ms, &mut self.rng);
                self.send(after, Message::CancelAnywhere(id));
            }
        }
        for _ in 0..self.rng.random_range(0..3) {
            let after = within(&plan.repeated_ms, &mut self.rng);
            self.send(after, Message::SubmitAgain(id));
        }
    }

    /// Returns the row of a job as a host submits it that knows of no cancel.
    fn submitted(&self, id: job::JobId) -> early_cancel::Submitted {
        let accepted = self.accepted(self.checker.jobs[&id].clone(), false);
        early_cancel::Submitted::new(0, id, accepted).expect("a row")
    }

    /// Carries out the write of a submission whose host has given up.
    pub(super) fn write_late(&mut self, submitted: early_cancel::Submitted) {
        if self.down {
            return self.send(RETRY_DELAY, Message::WriteLate(submitted));
        }
        let txn = submitted.txn();
        if let table::Answer::Done { .. } = self.rows.transact(&txn) {
            self.late_writes += 1;
            self.note_stored(submitted.id());
            self.feed_writes(&txn);
        }
    }

    /// Submits a job again at a host that reaches the store; it is told that the job is accepted.
    pub(super) fn submit_again(&mut self, id: job::JobId) {
        if self.down {
            return self.send(RETRY_DELAY, Message::SubmitAgain(id));
        }
        let mut submitted = self.submitted(id);
        loop {
            let txn = submitted.txn();
            let table::Answer::Conflict { rows } = self.rows.transact(&txn) else {
                self.note_stored(id);
                return self.feed_writes(&txn);
            };
            match submitted.take_in_conflict(&rows).expect("a row") {
                early_cancel::Conflict::Cancelled => {}
                early_cancel::Conflict::Stored => return,
                early_cancel::Conflict::Unclear => panic!("a conflict without its cause"),
            }
        }
    }

    /// Cancels a job at a host that reaches the store, whether or not the job is stored.
    pub(super) fn cancel_anywhere(&mut self, id: job::JobId) {
        if self.down {
            return self.send(RETRY_DELAY, Message::CancelAnywhere(id));
        }
        let key = job::job_key(0, id);
        let stored = self.rows.all(key.table, &key.part);
        match early_cancel::find(&stored, id) {
            early_cancel::Found::Job(_) => return self.cancel(id),
            early_cancel::Found::EarlyCancel(_) => {}
            early_cancel::Found::Nothing => {
                let now_ms = Some(world::millis(self.now));
                let txn = early_cancel::record(0, id, now_ms).expect("a record");
                self.rows.transact(&txn);
                self.early_cancels += 1;
                self.feed_writes(&txn);
            }
        }
        self.cancelled.entry(id).or_insert(self.now);
    }

    /// Notes that a job is stored and, unless it is cancelled, waits from now on.
    fn note_stored(&mut self, id: job::JobId) {
        if !self.cancelled.contains_key(&id) {
            self.checker.accepted_ms.insert(id, world::millis(self.now));
        }
    }
}
