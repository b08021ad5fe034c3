//! A domain whose worker falls silent after a start was ordered there.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::time;

use wharflane::{id, job, rows};
use wharflane_stand_in::jobs::world;

use crate::sim;

/// The job whose only task was ordered from the worker that falls silent.
pub const JOB: u64 = 1;
/// The longest task lease that a worker grants.
pub const LONGEST_LEASE: time::Duration = time::Duration::from_secs(10);
/// How long after it was sent a call without an answer may still be carried out.
pub const LATE_CALL: time::Duration = time::Duration::from_secs(12);
/// How long a task may stay with its worker after its leases have expired: 400 ms for a slow clock,
/// 1,100 ms for a call in flight and the rest for the start.
pub const MAX_EXCESS: time::Duration = time::Duration::from_millis(2_000);
/// How long the workers have run when the task is ordered, in milliseconds.
pub const AGE_MS: u64 = 20_000;
/// A reading of the clock of an incarnation that has just begun, in milliseconds.
pub const YOUNG_CLOCK_MS: u64 = 300;

/// A domain with two workers that have restarted before and have run for a while.
pub struct Domain {
    /// The domain.
    pub sim: sim::Sim,
    /// The settings of its hosts.
    pub settings: job::Settings,
    /// The rows of the accepted job.
    pub jobs: Vec<rows::Row>,
    /// When the task was last known to be ordered, or its worker to be granted a lease.
    pub ordered: time::Duration,
}

impl Domain {
    /// Returns a domain whose workers have run for `AGE_MS` and lease for `LONGEST_LEASE`.
    pub fn new() -> Self {
        Self::with_longest_lease(LONGEST_LEASE)
    }

    /// Returns a domain whose workers have run for `AGE_MS` and lease for this long at most.
    pub fn with_longest_lease(longest: time::Duration) -> Self {
        Self::with_workers_of_age(AGE_MS, longest)
    }

    /// Returns a domain whose workers have run for this long and lease for `longest` at most.
    pub fn with_workers_of_age(age_ms: u64, longest: time::Duration) -> Self {
        let settings = job::Settings { task_lease_max: longest, ..world::settings() };
        let none = (Vec::new(), Vec::new());
        let mut sim = sim::Sim::with_settings(settings, 0, none, Vec::new());
        for at in 0..2 {
            sim.restart(at);
        }
        sim.advance(age_ms, false);
        Self { ordered: sim.now, sim, settings, jobs: Vec::new() }
    }

    /// Submits the job, whose start gets an answer; its worker answers no heartbeat from then on.
    pub fn start(&mut self, answer: job::StartAnswer) -> id::Incarnation {
        self.sim.start_answers.push_back(answer);
        self.submit();
        let idle = self.sim.heartbeats_sent.iter().rev().take(2);
        self.sim.silent_workers.extend(idle.map(|(_, worker)| worker.clone()));
        let order = loop {
            self.sim.advance(20, false);
            if let Some(order) = self.first_order() {
                break order;
            }
        };
        self.ordered = self.sim.now;
        self.sim.silent_workers.retain(|worker| *worker == order.worker);
        assert_eq!(self.sim.silent_workers.len(), 1, "its worker is silent");
        order.worker
    }

    /// Submits the job.
    pub fn submit(&mut self) {
        let accepted = self.sim.accepted(JOB, "first", sim::step("plain", 1_000));
        if let job::Event::Jobs(jobs) = &accepted {
            self.jobs = jobs.clone();
        }
        self.sim.handle(accepted);
    }

    /// Returns the first order to start the task, whatever its answer was.
    pub fn first_order(&self) -> Option<job::Order> {
        let taken = self.sim.pending.iter().filter_map(|effect| match effect {
            job::Effect::Start(start) => Some(&start.order),
            _ => None,
        });
        let not_taken = self.sim.not_taken.iter().map(|start| &start.order);
        taken.chain(not_taken).find(|order| order.task == task()).cloned()
    }

    /// Kills the holder; another host takes the lease and loads the state.
    pub fn change_holder(&mut self) {
        self.change_holder_among((0..2).map(old_member).collect());
    }

    /// Kills the holder; another host, to which the store lists these workers, takes the lease and
    /// loads the state.
    pub fn change_holder_among(&mut self, members: Vec<job::Member>) {
        self.take_lease(members);
        self.load();
    }

    /// Loads the state into the host that has taken the lease.
    pub fn load(&mut self) {
        self.sim.handle(job::Event::Closed(job::ClosedHalls::default()));
        let (jobs, progress) = (self.jobs.clone(), self.sim.table(job::PROGRESS));
        let learned = self.sim.table(job::LEARNED);
        self.sim.handle(job::Event::Loaded { jobs, progress, learned });
    }

    /// Kills the holder; another host, to which the store lists these workers, takes the lease.
    pub fn take_lease(&mut self, members: Vec<job::Member>) {
        self.sim.pending.retain(|effect| matches!(effect, job::Effect::Start(_)));
        let nonce = u64::try_from(self.sim.now.as_nanos()).expect("fits into u64");
        self.sim.engine = job::Engine::new("next-host".into(), self.settings, nonce);
        self.sim.handle(job::Event::Queues(sim::queues()));
        self.sim.handle(job::Event::Listed(members));
        self.read_lease();
        self.sim.now += self.settings.lease;
        self.read_lease();
        assert!(!self.sim.engine.is_watching(), "the lease is taken");
    }

    /// Submits another job of one step, which the next holder reads as well.
    pub fn submit_other(&mut self, number: u64, step: job::Step) {
        let accepted = self.sim.accepted(number, "first", step);
        if let job::Event::Jobs(jobs) = &accepted {
            self.jobs.extend(jobs.clone());
        }
        self.sim.handle(accepted);
    }

    /// Advances the time without any answer until the task is ordered, and returns that order.
    pub fn tick_until_ordered(&mut self) -> job::Order {
        loop {
            self.sim.now += time::Duration::from_millis(20);
            let wall_ms = u64::try_from(self.sim.now.as_millis()).expect("fits into u64");
            self.sim.handle(job::Event::Tick { wall_ms });
            if let Some(order) = self.first_order() {
                return order;
            }
        }
    }

    /// Answers the order to start the task that is under way.
    pub fn answer_start(&mut self, answer: job::StartAnswer) {
        let order = self.first_order().expect("an order");
        self.sim.pending.retain(|effect| !matches!(effect, job::Effect::Start(_)));
        self.sim.handle(job::Event::Started { order, answer });
    }

    /// Returns the newest version of the rows of a table.
    pub fn version_of(&self, table: &'static str) -> u64 {
        let versions = self.sim.row_versions.iter().filter(|((of, _), _)| *of == table);
        versions.map(|(_, version)| *version).max().expect("a row")
    }

    /// Returns the version up to which all starts are shown, as the lease row tells it.
    pub fn shown_upto(&self) -> u64 {
        let at = (job::LEASES, job::lease_key(0).name);
        let lease: job::Lease = serde_json::from_str(&self.sim.rows[&at]).expect("a lease");
        lease.shown_upto.expect("a version")
    }

    /// Returns how long after `ordered` a task is ordered from another worker.
    pub fn moved_after(&mut self, task: job::TaskId, first: &id::Incarnation) -> time::Duration {
        let until = self.sim.now + time::Duration::from_secs(60);
        while self.sim.last_order(task).is_none_or(|order| order.worker.worker == first.worker) {
            assert!(self.sim.now < until, "the task was never started again");
            self.sim.advance(20, false);
        }
        self.sim.now - self.ordered
    }

    /// Passes the lease row to the host.
    pub fn read_lease(&mut self) {
        let at = (job::LEASES, job::lease_key(0).name);
        let lease = serde_json::from_str(&self.sim.rows[&at]).expect("a lease");
        let row = Some((self.sim.row_versions[&at], lease));
        self.sim.handle(job::Event::LeaseRead { row, store_ms: None });
    }

    /// Returns how long after `ordered` the task is started on the other worker.
    pub fn started_again_after(&mut self, first: &id::Incarnation) -> time::Duration {
        let until = self.sim.now + time::Duration::from_secs(60);
        loop {
            assert!(self.sim.now < until, "the task was never started again");
            self.sim.advance(20, false);
            let second = self.sim.last_order(task()).filter(|order| order.worker != *first);
            if second.is_some() {
                return self.sim.now - self.ordered;
            }
        }
    }

    /// Checks that the task waits for the longest lease that a late call may have extended on the
    /// next incarnation of its worker, and not much longer.
    pub fn check_waits(&mut self, first: &id::Incarnation) {
        let after = self.started_again_after(first);
        let least = LATE_CALL + self.settings.task_lease_max;
        assert!(after >= least, "started again after {after:?}");
        assert!(after <= least + MAX_EXCESS, "started again only after {after:?}");
    }

    /// Checks that the task waits only for the lease that was requested for it.
    pub fn check_waits_for_its_own_lease(&mut self, first: &id::Incarnation) {
        let after = self.started_again_after(first);
        let own = self.settings.task_lease;
        assert!(after >= own, "started again after {after:?}");
        assert!(after <= own + MAX_EXCESS, "started again only after {after:?}");
    }
}

/// Returns the list entry of the incarnation with which a worker began.
pub fn old_member(at: usize) -> job::Member {
    let mut member = sim::member(at);
    member.incarnation.born_ms = Some(1_000);
    member
}

/// Returns the only task of the job.
pub fn task() -> job::TaskId {
    job::TaskId { job: job::JobId(JOB), round: 0, step: 0, index: 0 }
}

/// Returns the number of a worker.
pub fn number_of(worker: &id::Incarnation) -> usize {
    let at = (0..2).find(|at| sim::member(*at).incarnation.worker == worker.worker);
    at.expect("a worker")
}

/// Returns the answer of an incarnation that runs what was ordered.
pub fn running(
    incarnation: &id::Incarnation,
    order: &job::Order,
    now: time::Duration,
) -> job::HeartbeatAnswer {
    lists(
        incarnation,
        vec![job::Running { task: order.task, run: order.run, percent: 1, load: 0 }],
        now,
    )
}

/// Returns the answer of an incarnation that runs nothing.
pub fn idle(incarnation: &id::Incarnation, now: time::Duration) -> job::HeartbeatAnswer {
    lists(incarnation, Vec::new(), now)
}

/// Returns the lists of an incarnation whose clock began with the simulation.
fn lists(
    incarnation: &id::Incarnation,
    running: Vec<job::Running>,
    now: time::Duration,
) -> job::HeartbeatAnswer {
    job::HeartbeatAnswer::Lists(job::Lists {
        born_ms: incarnation.born_ms,
        clock_ms: u64::try_from(now.as_millis()).expect("fits into u64"),
        running,
        ..job::Lists::default()
    })
}

/// Returns the answer of the incarnation whose clock began with the simulation.
pub fn taken_by_the_addressed(domain: &Domain) -> job::StartAnswer {
    let clock_ms = u64::try_from(domain.sim.now.as_millis()).expect("fits into u64");
    job::StartAnswer::Taken { clock_ms: Some(clock_ms) }
}
