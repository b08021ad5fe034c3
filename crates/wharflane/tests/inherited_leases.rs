//! How long a holder counts with task leases that earlier holders granted.
//!
//! Guards against tasks that run at two places at once. A weak host had granted long leases to
//! workers that then couldn't be reached and ran on; after the second change of the holder these
//! leases were forgotten, and the tasks were started again seconds too early. Each row of the lease
//! therefore tells how much longer leases of all earlier holders may last.

mod sim;

use std::time;

use wharflane::{id, job, rows};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::world;

/// The job whose only task runs on a worker that can't be reached.
const JOB: u64 = 1;
/// The number of workers.
const WORKERS: usize = 3;
/// The longest task lease that a worker grants.
const LONGEST_LEASE: time::Duration = time::Duration::from_secs(10);
/// The time between two changes of the holder, in milliseconds.
const HELD_MS: u64 = 1_200;
/// How long after it was sent an order without an answer may still be carried out.
const LATE_ORDER: time::Duration = time::Duration::from_secs(12);
/// How long a task may stay with its worker after its leases have expired: 400 ms for slow clocks,
/// 700 ms for the age of a row when it is first read, 100 ms for the start.
const MAX_EXCESS: time::Duration = time::Duration::from_millis(1_200);

/// How a holder ends.
#[derive(Clone, Copy, Debug)]
enum End {
    /// It releases its lease.
    Released,
    /// It is killed, and a probe of its address is refused.
    Killed,
    /// It is killed, and its host starts again at once.
    Restarted,
    /// It is killed, and its lease expires.
    Expired,
}

/// A domain whose holder changes while a worker can't be reached and runs on.
struct Chain {
    /// The domain under the present holder.
    sim: sim::Sim,
    /// The rows of the accepted job.
    jobs: Vec<rows::Row>,
    /// The lease row as it was last read, with its version.
    row: (u64, String),
    /// The number of hosts so far, which names the next one.
    hosts: u64,
    /// The worker that can't be reached.
    worker: id::Incarnation,
    /// When the worker's lease was last renewed.
    renewed: time::Duration,
    /// Whether the store lists that worker.
    listed: bool,
}

impl Chain {
    /// Returns a domain that a weak host holds. One of its workers runs a task and can't be reached
    /// any more.
    fn of_a_weak_host() -> Self {
        let mut sim =
            sim::Sim::with_settings(weak(), WORKERS, (Vec::new(), Vec::new()), Vec::new());
        let accepted = sim.accepted(JOB, "first", sim::step("plain", 1_000));
        let job::Event::Jobs(jobs) = accepted.clone() else {
            panic!("no rows");
        };
        sim.handle(accepted);
        sim.advance(2_000, false);
        let worker = sim.worker_of(task());
        sim.silent_workers.insert(worker.clone());
        let sent = sim.heartbeats_sent.iter().rev().find(|(_, to)| *to == worker);
        let renewed = sent.expect("a heartbeat").0;
        let row = (0, String::new());
        Self { sim, jobs, row, hosts: 1, worker, renewed, listed: true }
    }

    /// Ends the holder and lets a strong host take the lease and hold the domain for `HELD_MS`.
    fn change(&mut self, end: End) {
        self.take(end);
        self.load(HELD_MS);
    }

    /// Ends the holder and lets a strong host take the lease.
    fn take(&mut self, end: End) {
        if matches!(end, End::Released) {
            self.sim.handle(job::Event::Leave);
            self.sim.advance(100, false);
            assert!(self.sim.engine.is_watching(), "the lease is released");
        }
        self.sim.pending.retain(|effect| matches!(effect, job::Effect::Start(_)));
        self.hosts += u64::from(!matches!(end, End::Restarted));
        let own = format!("host-{}", self.hosts);
        let nonce = u64::try_from(self.sim.now.as_nanos()).expect("fits into u64");
        let addr = Some(([127, 0, 0, 1], 9).into());
        let settings = job::Settings { addr, ..strong() };
        self.sim.engine = job::Engine::new(own.as_str().into(), settings, nonce);
        self.sim.handle(job::Event::Queues(sim::queues()));
        self.sim.handle(job::Event::Listed(self.members()));
        let version = self.read_lease();
        match end {
            End::Released | End::Restarted => {}
            End::Killed => {
                self.sim.now += strong().probe;
                let result = job::ProbeResult::Refused;
                self.sim.handle(job::Event::Probed { version, result });
            }
            End::Expired => {
                self.sim.now += strong().lease;
                self.read_lease();
            }
        }
        assert!(!self.sim.engine.is_watching(), "the lease is taken after {end:?}");
    }

    /// Loads the state and holds the domain for a time.
    fn load(&mut self, held_ms: u64) {
        self.sim.handle(job::Event::Closed(job::ClosedHalls::default()));
        let (jobs, progress) = (self.jobs.clone(), self.sim.table(job::PROGRESS));
        let learned = self.sim.table(job::LEARNED);
        self.sim.handle(job::Event::Loaded { jobs, progress, learned });
        self.sim.advance(held_ms, false);
    }

    /// Passes the lease row to the host, and returns its version.
    fn read_lease(&mut self) -> u64 {
        let at = (job::LEASES, job::lease_key(0).name);
        let text = self.sim.rows[&at].clone();
        if self.row.1 != text {
            self.row = (self.row.0 + 1, text);
        }
        let (version, text) = self.row.clone();
        let lease = serde_json::from_str(&text).expect("a lease");
        self.sim.handle(job::Event::LeaseRead { row: Some((version, lease)), store_ms: None });
        version
    }

    /// Restarts the worker that can't be reached, under its id; the next incarnation can't either.
    fn restart_worker(&mut self) -> id::Incarnation {
        let next = self.sim.restart(0);
        assert_eq!(next.worker, self.worker.worker);
        self.sim.silent_workers.insert(next.clone());
        self.worker = next.clone();
        next
    }

    /// Submits another job, and returns the number of the worker that runs its task.
    fn start_another_job(&mut self) -> usize {
        let accepted = self.sim.accepted(JOB + 1, "first", sim::step("plain", 1_000));
        if let job::Event::Jobs(jobs) = &accepted {
            self.jobs.extend(jobs.clone());
        }
        self.sim.handle(accepted);
        self.sim.advance(100, false);
        let task = job::TaskId { job: job::JobId(JOB + 1), ..task() };
        let worker = self.sim.worker_of(task);
        let at = (0..WORKERS).find(|at| sim::member(*at).incarnation == worker);
        at.expect("a worker")
    }

    /// Returns the workers that the store lists.
    fn members(&self) -> Vec<job::Member> {
        let mut members: Vec<job::Member> = (0..WORKERS).map(sim::member).collect();
        members.retain(|member| member.incarnation.worker != self.worker.worker);
        if self.listed {
            let incarnation = self.worker.clone();
            members.push(job::Member { incarnation, ..sim::member(0) });
        }
        members
    }

    /// Returns how long after the last renewal of its lease the task is started again.
    fn restarted_after(&mut self) -> time::Duration {
        let until = self.sim.now + time::Duration::from_secs(60);
        while self.sim.newest_order(task()).run < 2 {
            assert!(self.sim.now < until, "the task was never started again");
            self.sim.advance(20, false);
        }
        self.sim.now - self.renewed
    }

    /// Checks that the task is started again once the lease of the weak host has expired by the
    /// clock of a worker that is 2 % slow, and not much later.
    fn check(&mut self) {
        let after = self.restarted_after();
        assert!(after * 98 / 100 >= LONGEST_LEASE, "started again after {after:?}");
        assert!(after <= LONGEST_LEASE + MAX_EXCESS, "started again only after {after:?}");
    }
}

/// Returns the settings of a strong host.
fn strong() -> job::Settings {
    job::Settings { task_lease_max: LONGEST_LEASE, ..world::settings() }
}

/// Returns the settings of a weak host, which requests the longest leases.
fn weak() -> job::Settings {
    job::Settings { task_lease: LONGEST_LEASE, ..strong() }
}

/// Returns the answer of an incarnation that carried out an order for the one before.
fn running(
    incarnation: &id::Incarnation,
    order: &job::Order,
    now: time::Duration,
) -> job::HeartbeatAnswer {
    let run = job::Running { task: order.task, run: order.run, percent: 1, load: 0 };
    job::HeartbeatAnswer::Lists(job::Lists {
        born_ms: incarnation.born_ms,
        clock_ms: u64::try_from(now.as_millis()).expect("fits into u64"),
        running: vec![run],
        ..job::Lists::default()
    })
}

/// Returns the only task of the job.
fn task() -> job::TaskId {
    job::TaskId { job: job::JobId(JOB), round: 0, step: 0, index: 0 }
}

/// Checks a chain whose holder ends in several ways, one after the other; strong hosts follow.
fn check(ends: &[End]) {
    let mut chain = Chain::of_a_weak_host();
    for end in ends {
        chain.change(*end);
    }
    chain.check();
}

/// Checks that a task of a worker that restarts and then doesn't answer is not started again, over
/// several changes of the holder, while an order for the incarnation before may be carried out.
fn check_late_orders(listed: bool, changes: usize) {
    let mut chain = Chain::of_a_weak_host();
    chain.change(End::Released);
    chain.restart_worker();
    let restarted = chain.sim.now;
    chain.sim.advance(HELD_MS, false);
    chain.listed = listed;
    for _ in 0..changes {
        chain.change(End::Released);
    }
    let again = chain.renewed + chain.restarted_after() - restarted;
    assert!(again >= LATE_ORDER + LONGEST_LEASE, "started again after {again:?}");
    assert!(again <= LATE_ORDER + LONGEST_LEASE + MAX_EXCESS * 2, "only after {again:?}");
}

cases! {
    leases_of_a_weak_host_last_over_one_change_of_the_holder => check(&[End::Released]),
    leases_of_a_weak_host_last_over_two_released_leases => check(&[End::Released, End::Released]),
    leases_of_a_weak_host_last_over_many_released_leases => check(&[End::Released; 4]),
    leases_of_a_weak_host_last_after_a_holder_whose_host_starts_again => {
        check(&[End::Released, End::Restarted]);
    },
    // The second takeover adds the time for which the killed holder may have gone on.
    leases_of_a_weak_host_last_after_a_holder_that_is_killed => {
        check(&[End::Released, End::Killed]);
    },
    leases_of_a_weak_host_last_after_a_holder_whose_lease_expires => {
        check(&[End::Released, End::Expired]);
    },
    leases_of_a_weak_host_last_after_a_host_that_ends_before_its_state_is_loaded => {
        let mut chain = Chain::of_a_weak_host();
        chain.take(End::Released);
        chain.sim.advance(HELD_MS, false);
        chain.change(End::Killed);
        chain.check();
    },
    leases_of_a_weak_host_last_on_a_worker_that_is_not_listed => {
        let mut chain = Chain::of_a_weak_host();
        chain.listed = false;
        chain.sim.handle(job::Event::Listed(chain.members()));
        for _ in 0..3 {
            chain.change(End::Released);
        }
        chain.check();
    },
    // Its leases never become shorter by what a later holder grants.
    leases_of_a_weak_host_last_on_a_worker_that_answers_a_later_holder_once => {
        let mut chain = Chain::of_a_weak_host();
        chain.change(End::Released);
        chain.take(End::Released);
        chain.sim.silent_workers.clear();
        chain.load(100);
        chain.sim.silent_workers.insert(chain.worker.clone());
        chain.check();
    },
    // An order for the incarnation before may be carried out by the next one, and only the holder
    // that saw the worker restart knows when it can't any more.
    late_orders_to_a_restarted_worker_count_after_a_change_of_the_holder => {
        check_late_orders(true, 1);
    },
    late_orders_to_a_restarted_worker_count_after_many_changes_of_the_holder => {
        check_late_orders(true, 6);
    },
    late_orders_to_a_restarted_worker_count_if_it_is_not_listed_any_more => {
        check_late_orders(false, 2);
    },
    // Its answer keeps out later orders; the run that it reports has the longest lease from then on.
    a_late_order_that_a_restarted_worker_carried_out_counts_after_a_change_of_the_holder => {
        let mut chain = Chain::of_a_weak_host();
        chain.change(End::Released);
        let order = chain.sim.newest_order(task());
        let next = chain.restart_worker();
        chain.sim.answer_heartbeat(&next, running(&next, &order, chain.sim.now));
        let answered = chain.sim.now;
        for _ in 0..2 {
            chain.change(End::Released);
        }
        let again = chain.renewed + chain.restarted_after() - answered;
        assert!(again >= LONGEST_LEASE, "started again after {again:?}");
        assert!(again <= LONGEST_LEASE + MAX_EXCESS * 2, "only after {again:?}");
    },
    // Guards against tasks of all lost workers that wait for those of one that restarted.
    late_orders_to_a_restarted_worker_do_not_prolong_leases_elsewhere => {
        let mut chain = Chain::of_a_weak_host();
        chain.change(End::Released);
        let other = chain.start_another_job();
        let next = chain.sim.restart(other);
        chain.sim.silent_workers.insert(next);
        chain.change(End::Released);
        chain.check();
    },
    // The time is handed on as a rest, so that changes of the holder don't renew it: each of them
    // adds only the leases that its own holder granted.
    many_changes_of_the_holder_do_not_prolong_inherited_leases => {
        let mut chain = Chain::of_a_weak_host();
        for _ in 0..12 {
            chain.change(End::Released);
        }
        let held = time::Duration::from_millis(HELD_MS);
        let released = chain.sim.now - chain.renewed - held;
        let after = chain.restarted_after();
        assert!(after <= released + strong().task_lease + MAX_EXCESS, "{after:?}");
    },
    // A host of an older version doesn't tell what it inherited.
    leases_last_as_long_as_any_after_a_row_that_does_not_tell => {
        let mut chain = Chain::of_a_weak_host();
        chain.change(End::Released);
        let at = (job::LEASES, job::lease_key(0).name);
        chain.sim.handle(job::Event::Leave);
        chain.sim.advance(100, false);
        let text = chain.sim.rows[&at].clone();
        let mut lease: job::Lease = serde_json::from_str(&text).expect("a lease");
        lease.earlier_left_ms = None;
        chain.sim.rows.insert(at, serde_json::to_string(&lease).expect("encodes"));
        let read = chain.sim.now;
        chain.change(End::Restarted);
        let restarted = chain.renewed + chain.restarted_after();
        assert!(restarted >= read + LONGEST_LEASE, "{:?}", restarted - read);
    },
}
