//! Runs that an unknown next incarnation of a worker may have.
//!
//! Guards against tasks that run at two places at once. A worker restarted under its id and was cut
//! off before anybody knew. Orders for the incarnation before had reached the next one, whose clock
//! had begun again: it cut the lease in them to the longest that it grants, while the holder
//! counted the shorter one that it had requested.

mod sim;

use std::time;

use wharflane::{id, job, rows};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::world;

/// The job whose only task was ordered from the worker that falls silent.
const JOB: u64 = 1;
/// The longest task lease that a worker grants.
const LONGEST_LEASE: time::Duration = time::Duration::from_secs(10);
/// How long after it was sent a call without an answer may still be carried out.
const LATE_CALL: time::Duration = time::Duration::from_secs(12);
/// How long a task may stay with its worker after its leases have expired: 400 ms for a slow clock,
/// 1,100 ms for a call in flight and the rest for the start.
const MAX_EXCESS: time::Duration = time::Duration::from_millis(2_000);
/// How long the workers have run when the task is ordered, in milliseconds.
const AGE_MS: u64 = 20_000;
/// A reading of the clock of an incarnation that has just begun, in milliseconds.
const YOUNG_CLOCK_MS: u64 = 300;

/// A domain with two workers that have restarted before and have run for a while.
struct Domain {
    /// The domain.
    sim: sim::Sim,
    /// The rows of the accepted job.
    jobs: Vec<rows::Row>,
    /// When the task was last known to be ordered, or its worker to be granted a lease.
    ordered: time::Duration,
}

impl Domain {
    /// Returns a domain whose workers have run for `AGE_MS`.
    fn new() -> Self {
        let settings = settings();
        let mut sim = sim::Sim::with_settings(settings, 0, (Vec::new(), Vec::new()), Vec::new());
        for at in 0..2 {
            sim.restart(at);
        }
        sim.advance(AGE_MS, false);
        Self { ordered: sim.now, sim, jobs: Vec::new() }
    }

    /// Submits the job, whose start gets an answer; its worker answers no heartbeat from then on.
    fn start(&mut self, answer: job::StartAnswer) -> id::Incarnation {
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
    fn submit(&mut self) {
        let accepted = self.sim.accepted(JOB, "first", sim::step("plain", 1_000));
        if let job::Event::Jobs(jobs) = &accepted {
            self.jobs = jobs.clone();
        }
        self.sim.handle(accepted);
    }

    /// Returns the first order to start the task, whatever its answer was.
    fn first_order(&self) -> Option<job::Order> {
        let taken = self.sim.pending.iter().filter_map(|effect| match effect {
            job::Effect::Start(start) => Some(&start.order),
            _ => None,
        });
        let not_taken = self.sim.not_taken.iter().map(|start| &start.order);
        taken.chain(not_taken).find(|order| order.task == task()).cloned()
    }

    /// Kills the holder; another host takes the lease and loads the state.
    fn change_holder(&mut self) {
        self.sim.pending.retain(|effect| matches!(effect, job::Effect::Start(_)));
        let nonce = u64::try_from(self.sim.now.as_nanos()).expect("fits into u64");
        let members: Vec<job::Member> = (0..2).map(old_member).collect();
        self.sim.engine = job::Engine::new("next-host".into(), settings(), nonce);
        self.sim.handle(job::Event::Queues(sim::queues()));
        self.sim.handle(job::Event::Listed(members));
        self.read_lease();
        self.sim.now += settings().lease;
        self.read_lease();
        assert!(!self.sim.engine.is_watching(), "the lease is taken");
        self.sim.handle(job::Event::Closed(job::ClosedHalls::default()));
        let (jobs, progress) = (self.jobs.clone(), self.sim.table(job::PROGRESS));
        let learned = self.sim.table(job::LEARNED);
        self.sim.handle(job::Event::Loaded { jobs, progress, learned });
    }

    /// Passes the lease row to the host.
    fn read_lease(&mut self) {
        let at = (job::LEASES, job::lease_key(0).name);
        let lease = serde_json::from_str(&self.sim.rows[&at]).expect("a lease");
        let row = Some((self.sim.row_versions[&at], lease));
        self.sim.handle(job::Event::LeaseRead { row, store_ms: None });
    }

    /// Returns how long after `ordered` the task is started on the other worker.
    fn started_again_after(&mut self, first: &id::Incarnation) -> time::Duration {
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
    fn check_waits(&mut self, first: &id::Incarnation) {
        let after = self.started_again_after(first);
        let least = LATE_CALL + LONGEST_LEASE;
        assert!(after >= least, "started again after {after:?}");
        assert!(after <= least + MAX_EXCESS, "started again only after {after:?}");
    }

    /// Checks that the task waits only for the lease that was requested for it.
    fn check_waits_for_its_own_lease(&mut self, first: &id::Incarnation) {
        let after = self.started_again_after(first);
        let own = settings().task_lease;
        assert!(after >= own, "started again after {after:?}");
        assert!(after <= own + MAX_EXCESS, "started again only after {after:?}");
    }
}

/// Returns the settings of the hosts.
fn settings() -> job::Settings {
    job::Settings { task_lease_max: LONGEST_LEASE, ..world::settings() }
}

/// Returns the list entry of the incarnation with which a worker began.
fn old_member(at: usize) -> job::Member {
    let mut member = sim::member(at);
    member.incarnation.born_ms = Some(1_000);
    member
}

/// Returns the only task of the job.
fn task() -> job::TaskId {
    job::TaskId { job: job::JobId(JOB), round: 0, step: 0, index: 0 }
}

/// Returns the answer of the incarnation whose clock began with the simulation.
fn taken_by_the_addressed(domain: &Domain) -> job::StartAnswer {
    let clock_ms = u64::try_from(domain.sim.now.as_millis()).expect("fits into u64");
    job::StartAnswer::Taken { clock_ms: Some(clock_ms) }
}

cases! {
    a_start_without_an_answer_waits_for_the_longest_lease_of_a_next_incarnation => {
        let mut domain = Domain::new();
        let worker = domain.start(job::StartAnswer::Silent);
        domain.check_waits(&worker);
    },
    a_start_that_the_next_incarnation_took_waits_for_its_longest_lease => {
        let mut domain = Domain::new();
        let taken = job::StartAnswer::Taken { clock_ms: Some(YOUNG_CLOCK_MS) };
        let worker = domain.start(taken);
        domain.check_waits(&worker);
    },
    a_start_taken_by_an_unknown_incarnation_waits_for_its_longest_lease => {
        let mut domain = Domain::new();
        let worker = domain.start(job::StartAnswer::Taken { clock_ms: None });
        domain.check_waits(&worker);
    },
    // The first order may still reach the next incarnation, though the second one was answered.
    a_start_with_an_earlier_order_in_doubt_waits_for_the_longest_lease => {
        let mut domain = Domain::new();
        domain.sim.start_answers.push_back(job::StartAnswer::Silent);
        domain.submit();
        domain.sim.advance(2_000, false);
        let order = domain.first_order().expect("an order");
        assert!(domain.sim.last_order(task()).is_some(), "the second order is taken");
        domain.ordered = domain.sim.now;
        domain.sim.silent_workers.insert(order.worker.clone());
        let after = domain.started_again_after(&order.worker);
        assert!(after >= LONGEST_LEASE, "started again after {after:?}");
    },
    // The next holder doesn't know what its predecessor heard of the start.
    a_start_of_a_killed_holder_waits_for_the_longest_lease_of_a_next_incarnation => {
        let mut domain = Domain::new();
        let worker = domain.start(job::StartAnswer::Silent);
        domain.change_holder();
        let after = domain.started_again_after(&worker);
        assert!(after >= LATE_CALL + LONGEST_LEASE, "started again after {after:?}");
    },
    // The clock in the answer tells of a restart before a heartbeat does.
    a_start_taken_by_the_next_incarnation_is_counted_and_followed_by_a_heartbeat => {
        let mut domain = Domain::new();
        let young = job::StartAnswer::Taken { clock_ms: Some(YOUNG_CLOCK_MS) };
        domain.sim.start_answers.push_back(young);
        domain.submit();
        while domain.first_order().is_none() {
            domain.sim.advance(20, false);
        }
        let ordered = domain.sim.now;
        domain.sim.heartbeats_sent.clear();
        domain.sim.advance(40, false);
        let worker = domain.sim.worker_of(task());
        let asked = domain.sim.heartbeats_sent.iter().find(|(_, to)| *to == worker);
        let asked = asked.expect("a heartbeat").0;
        assert!(asked <= ordered + time::Duration::from_millis(20), "{asked:?} after {ordered:?}");
        assert_eq!(domain.sim.engine.holding().expect("a holder").taken_by_others(), 1);
    },
    // Guards against tasks of every lost worker that wait for the longest lease.
    a_run_that_the_addressed_incarnation_has_listed_waits_for_its_own_lease => {
        let mut domain = Domain::new();
        domain.submit();
        domain.sim.advance(2_000, false);
        let worker = domain.sim.worker_of(task());
        domain.ordered = domain.sim.now;
        domain.sim.silent_workers.insert(worker.clone());
        domain.check_waits_for_its_own_lease(&worker);
    },
    a_start_that_the_addressed_incarnation_took_by_its_clock_waits_for_its_own_lease => {
        let mut domain = Domain::new();
        let taken = taken_by_the_addressed(&domain);
        let worker = domain.start(taken);
        domain.check_waits_for_its_own_lease(&worker);
    },
    // Guards against a change of the holder that makes every task of a lost worker wait for the
    // longest lease.
    a_run_listed_under_the_holder_before_waits_for_the_lease_that_it_requested => {
        let mut domain = Domain::new();
        domain.submit();
        domain.sim.advance(2_000, false);
        let worker = domain.sim.worker_of(task());
        domain.sim.silent_workers.insert(worker.clone());
        domain.change_holder();
        domain.ordered = domain.sim.now;
        let after = domain.started_again_after(&worker);
        let least = settings().task_lease + settings().lease;
        assert!(after <= least + MAX_EXCESS, "started again only after {after:?}");
    },
}
