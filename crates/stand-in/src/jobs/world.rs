//! Simulates hosts, a store, workers and callers of the job service in virtual time, with faults
//! drawn from a seed.

use std::collections;
use std::sync;
use std::time;

use rand::{RngExt as _, SeedableRng as _};
use wharflane::{id, job};

use super::message::Message;
use super::{
    checker, closed_halls, configuration, fault, injection, losses, message, plan, rows, waits,
    worker,
};

pub use super::fault::Faults;

/// The virtual time of one step.
pub(super) const STEP: time::Duration = time::Duration::from_millis(10);
/// When faults and submissions end.
pub(super) const FAULTS_UNTIL: time::Duration = time::Duration::from_secs(25);
/// How many attempts each task has.
pub(super) const ATTEMPTS: u32 = 3;
/// The name of the only queue.
pub(super) const QUEUE: &str = "queue";
/// The wall-clock time at which the simulation begins, in milliseconds since 1970; incarnations are
/// born after it.
const START_WALL_MS: u64 = 1_700_000_000_000;
/// The port of the first host; the others follow it.
pub(super) const FIRST_PORT: u16 = 7_000;
/// The mean time between two reads of a renewed lease where the store states its time.
const POLL_WITH_CLAIMS: time::Duration = time::Duration::from_millis(600);
/// The maximum age of a count of waiting jobs that hosts report to callers.
const MAX_COUNT_AGE: time::Duration = time::Duration::from_secs(2);
/// The time after a cancel in which a start may still be ordered without a violation.
pub const CANCEL_GRACE: time::Duration = time::Duration::from_secs(3);
/// The time in which the holder may not yet know of a start that was carried out late.
pub const LATE_START_GRACE: time::Duration = time::Duration::from_secs(3);

/// A host of the simulation.
#[derive(Debug, Default)]
pub(super) struct Host {
    /// The engine; absent while the host is down.
    pub(super) engine: Option<job::Engine>,
    /// Increases with every start and kill of the host; messages for an earlier incarnation are
    /// dropped.
    pub(super) incarnation: u64,
    /// Whether the host is frozen: it handles no event until it is thawed.
    pub(super) frozen: bool,
    /// The events that arrived while the host was frozen.
    pub(super) inbox: Vec<job::Event>,
    /// Since when the store leaves the host without answers; absent while it answers.
    pub(super) cut_since: Option<time::Duration>,
}

impl Host {
    /// Returns whether the host is frozen, or holds the domain without reaching the store.
    pub(super) fn is_disturbed(&self) -> bool {
        let holds = self.engine.as_ref().is_some_and(|engine| engine.holding().is_some());
        self.frozen || holds && self.cut_since.is_some()
    }
}

/// The state of a simulation.
#[derive(Debug)]
pub struct World {
    /// The current virtual time.
    pub(super) now: time::Duration,
    /// The random numbers of all draws, from the seed.
    pub(super) rng: rand::rngs::StdRng,
    /// How often each fault occurs.
    pub(super) faults: Faults,
    /// What happens beyond the faults that the seed draws.
    pub(super) plan: plan::Plan,
    /// The hosts, by index; a removed host keeps its index.
    pub(super) hosts: Vec<Host>,
    /// The operator's configuration.
    pub(super) configuration: configuration::Configuration,
    /// The rows of the store.
    pub rows: rows::Rows,
    /// Whether the store is down, so that no call is answered.
    pub(super) down: bool,
    /// The incarnations of all workers, stopped ones included.
    pub workers: Vec<worker::Worker>,
    /// The messages in flight, by time of arrival and number.
    pub(super) messages: collections::BTreeMap<(time::Duration, u64), Message>,
    /// The number of messages sent so far.
    pub(super) sent: u64,
    /// When the store was last down or a host last frozen.
    pub(super) last_disturbed: time::Duration,
    /// The halls that are closed.
    pub(super) closed: closed_halls::ClosedSince,
    /// When each cancelled job was cancelled.
    pub(super) cancelled: collections::BTreeMap<job::JobId, time::Duration>,
    /// The number of times that a series of the plan has ended the holder.
    pub changes: u32,
    /// The number of jobs that were stored by a late write.
    pub late_writes: u32,
    /// The number of cancels that came before their job was stored.
    pub early_cancels: u32,
    /// The number of entries that lapsed while an incarnation of their worker lived.
    pub living_unlisted: u32,
    /// Checks the guarantees of the service.
    pub checker: checker::Checker,
    /// Judges waits and missed targets; records disturbances even if it judges nothing.
    pub waits: waits::Judge,
    /// Judges the losses of workers that are counted against tasks.
    pub losses: losses::Judge,
}

impl World {
    /// Creates a simulation; the same arguments give the same simulation.
    #[must_use]
    pub fn new(seed: u64, faults: Faults, hosts: usize, workers: usize, jobs: usize) -> Self {
        Self::planned(seed, faults, plan::Plan::default(), (hosts, workers, jobs))
    }

    /// Creates a simulation with a plan beyond its faults, and with the given numbers of hosts,
    /// workers and jobs. The default plan makes no draws.
    #[must_use]
    pub fn planned(
        seed: u64,
        faults: Faults,
        plan: plan::Plan,
        (hosts, workers, jobs): (usize, usize, usize),
    ) -> Self {
        let mut world = Self {
            now: time::Duration::ZERO,
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            faults,
            configuration: configuration::Configuration::new(plan.configuration.as_ref()),
            plan,
            hosts: Vec::new(),
            rows: rows::Rows::default(),
            down: false,
            workers: Vec::new(),
            messages: collections::BTreeMap::new(),
            sent: 0,
            last_disturbed: time::Duration::ZERO,
            closed: closed_halls::ClosedSince::new(),
            cancelled: collections::BTreeMap::new(),
            changes: 0,
            late_writes: 0,
            early_cancels: 0,
            living_unlisted: 0,
            checker: checker::Checker::default(),
            waits: waits::Judge::default(),
            losses: losses::Judge::default(),
        };
        (0..workers).for_each(|_| world.add_worker());
        for _ in 0..hosts {
            world.hosts.push(Host::default());
        }
        (0..hosts).for_each(|host| world.start_host(host));
        (0..jobs).for_each(|_| world.send_at_random(Message::Submit));
        world.send(message::FEED_INTERVAL, Message::Feed);
        let kinds = [
            (faults.kills, fault::Kind::Kill),
            (faults.freezes, fault::Kind::Freeze),
            (faults.suspends, fault::Kind::Suspend),
            (faults.removals, fault::Kind::Remove),
            (faults.unlisted, fault::Kind::Unlist),
            (faults.outages, fault::Kind::Outage),
            (faults.store_cuts, fault::Kind::StoreCut),
            (faults.closings, fault::Kind::Close),
            (faults.shrinks, fault::Kind::Shrink),
            (faults.crashes, fault::Kind::Crash),
            (faults.cuts, fault::Kind::Cut),
            (faults.failing_workers, fault::Kind::FailTasks),
            (faults.restarts, fault::Kind::Restart),
            (faults.restarts_then_cut, fault::Kind::RestartThenCut),
            (faults.restarts_then_cut_from_all, fault::Kind::RestartThenCutFromAll),
            (faults.restarts_behind_cuts, fault::Kind::RestartBehindCut),
        ];
        for (count, fault) in kinds {
            (0..count).for_each(|_| world.send_at_random(Message::Fault(fault)));
        }
        world.schedule_waves();
        world.schedule_handovers();
        world.schedule_outages();
        world.schedule_configurations();
        world.schedule_doubtful_submissions();
        world
    }

    /// Runs the simulation to its end.
    pub fn run(&mut self) {
        while self.now < self.plan.end {
            self.now += STEP;
            self.tick_workers();
            self.check_cancelled_jobs();
            while let Some(entry) = self.messages.first_entry().filter(|e| e.key().0 <= self.now) {
                let message = entry.remove();
                self.deliver(message);
            }
            for host in 0..self.hosts.len() {
                let wall_ms = u64::try_from(self.now.as_millis()).unwrap_or(0);
                self.step(host, job::Event::Tick { wall_ms });
            }
            self.check_waiting_counts();
            self.judge_waits();
            self.judge_losses();
        }
    }

    /// Returns a line for each violation, each job that did not end as it should, and each job that
    /// failed although each of its tasks can complete.
    #[must_use]
    pub fn findings(&self) -> Vec<String> {
        let mut found: Vec<String> =
            self.checker.violations.iter().map(ToString::to_string).collect();
        found.extend(self.waits.broken.iter().map(ToString::to_string));
        found.extend(self.losses.finding());
        found.extend(self.unfinished());
        let early = self.failed_too_early();
        found.extend(early.iter().map(|job| format!("failed before its attempts were up: {job}")));
        found.extend(
            self.wrongly_failed()
                .iter()
                .map(|job| format!("failed although each task can complete: {job}")),
        );
        found
    }

    /// Returns the jobs that have not ended as they should have by the end of the simulation. A
    /// long-running job may go on if its crashing task is withheld.
    #[must_use]
    pub fn unfinished(&self) -> Vec<String> {
        let mut unfinished = Vec::new();
        for (id, job) in &self.checker.jobs {
            let is_stored = self.rows.get(&job::job_key(0, *id)).is_some();
            if !is_stored && self.cancelled.contains_key(id) && self.running(*id).next().is_none() {
                // Its cancel came first and its submission was not repeated.
                continue;
            }
            let phase = self.phase(*id);
            let running = self.running(*id).count();
            let has_ended = phase.ended() && running == 0;
            let lasting = job.steps.iter().any(|step| step.lasting);
            let is_as_expected = match (self.cancelled.contains_key(id), lasting) {
                (true, _) | (false, false) => has_ended,
                (false, true) if self.has_crashing_task(*id) => {
                    has_ended || self.withholds_crashing_task(*id, job)
                }
                (false, true) => running as u64 == job.task_count(),
            };
            if !is_as_expected {
                unfinished
                    .push(format!("{id}: {phase:?}, {running} of {} tasks run", job.task_count()));
            }
        }
        unfinished
    }

    /// Returns whether the crashing task of a job that has not ended is withheld, and each of its
    /// other tasks runs or is withheld too.
    fn withholds_crashing_task(&self, id: job::JobId, job: &job::Job) -> bool {
        let running: collections::BTreeSet<job::TaskId> = self.running(id).collect();
        let row = self.rows.get(&job::progress_key(0, id)).and_then(|row| row.value);
        let progress = row.and_then(|text| job::Progress::decode(&text).ok()).unwrap_or_default();
        let withheld = progress.tasks.iter().filter(|(_, task)| task.starts.withheld);
        let withheld: collections::BTreeSet<job::TaskId> =
            withheld.map(|(position, _)| position.of(id)).collect();
        let crashing_is_withheld = withheld.iter().any(|task| self.is_crashing_task(*task));
        let crashing_runs = running.iter().any(|task| self.is_crashing_task(*task));
        let all = running.union(&withheld).count() as u64 == job.task_count();
        !self.phase(id).ended() && crashing_is_withheld && !crashing_runs && all
    }

    /// Returns the phase of a job that a host would report to a caller.
    pub(super) fn phase(&self, id: job::JobId) -> job::Phase {
        let row = self.rows.get(&job::progress_key(0, id)).and_then(|row| row.value);
        let progress = row.and_then(|text| job::Progress::decode(&text).ok());
        progress.map_or(job::Phase::Queued, |progress| progress.phase)
    }

    /// Returns the tasks whose start overcommitted a worker.
    #[must_use]
    pub fn overcommitted(&self) -> Vec<job::TaskId> {
        self.workers.iter().flat_map(|worker| worker.overcommitted.clone()).collect()
    }

    /// Returns how many ended runs no holder has acknowledged.
    #[must_use]
    pub fn unacknowledged_ends(&self) -> usize {
        let alive = self.workers.iter().filter(|worker| worker.alive);
        alive.map(worker::Worker::unacknowledged_ends).sum()
    }

    /// Returns the tasks of a job that run.
    fn running(&self, id: job::JobId) -> impl Iterator<Item = job::TaskId> + '_ {
        let alive = self.workers.iter().filter(|worker| worker.alive);
        let running = alive.flat_map(worker::Worker::running).map(|(task, _)| task);
        running.filter(move |task| task.job == id)
    }

    /// Draws whether a fault with a probability in thousandths occurs now; none does after
    /// `FAULTS_UNTIL`.
    pub(super) fn chance(&mut self, milli: u32) -> bool {
        let occurs = self.now < FAULTS_UNTIL && self.rng.random_range(0..1_000) < milli;
        if occurs {
            self.waits.note_disturbance(self.now);
        }
        occurs
    }

    /// Adds a worker under a new id.
    pub(super) fn add_worker(&mut self) {
        self.add_incarnation(format!("w{}", self.workers.len()).as_str().into());
    }

    /// Adds an incarnation of a worker, which has no state of any earlier one.
    pub(super) fn add_incarnation(&mut self, id: id::WorkerId) {
        let clock_milli = self.rng.random_range(980..=1_000);
        let born_ms = Some(START_WALL_MS + millis(self.now));
        let incarnation = id::Incarnation { worker: id, born_ms };
        let mut worker = worker::Worker::new(incarnation, injection::CAPACITY, clock_milli);
        worker.checks_capacity = self.faults.shrinks == 0;
        worker.hall = closed_halls::hall_of(self.workers.len());
        worker.interference = self.plan.interference;
        worker.longest_lease = self.plan.longest_lease;
        if self.plan.clocks_begin_at_birth {
            worker.clock_began = self.now;
            worker.clock_from_ms = 0;
        }
        // Batch tasks that run for seconds without progress would be stopped as stalled.
        worker.reports_progress = self.plan.judged_from.is_some()
            || self.plan.handovers.is_some()
            || self.plan.work_ms.is_some();
        self.workers.push(worker);
    }

    /// Starts a host with a new engine.
    pub(super) fn start_host(&mut self, host: usize) {
        let own = id::HostId::from(format!("h{host}").as_str());
        let nonce = self.rng.random_range(1..u64::MAX);
        let port = FIRST_PORT + u16::try_from(host).unwrap_or(0);
        let poll = if self.plan.lease_claims { POLL_WITH_CLAIMS } else { settings().poll };
        let addr = Some(([127, 0, 0, 1], port).into());
        let task_lease_max = self.plan.longest_lease;
        let weak = host < self.plan.weak_hosts;
        let task_lease = if weak { task_lease_max } else { settings().task_lease };
        let settings = job::Settings { addr, poll, task_lease, task_lease_max, ..settings() };
        let mut engine = job::Engine::new(own, settings, nonce);
        let first_read_ms =
            self.plan.configuration.as_ref().map(|changes| changes.first_read_ms.clone());
        if first_read_ms.is_none() {
            let queues = sync::Arc::clone(&self.configuration.newest);
            engine.step(self.now, job::Event::Queues(queues));
        }
        let state = &mut self.hosts[host];
        state.engine = Some(engine);
        state.incarnation += 1;
        state.frozen = false;
        state.inbox.clear();
        if let Some(within_ms) = first_read_ms {
            self.read_configuration_within(host, within_ms);
        }
    }

    /// Returns whether the store leaves the calls of a host without answers.
    pub(super) fn is_store_silent(&self, host: usize) -> bool {
        self.down || self.hosts[host].cut_since.is_some()
    }

    /// Returns the hosts that the feeds of the store reach.
    pub(super) fn hosts_with_feeds(&self) -> Vec<usize> {
        (0..self.hosts.len()).filter(|host| self.hosts[*host].cut_since.is_none()).collect()
    }

    /// Passes an event to the engine of a host and performs the effects that it returns.
    pub(super) fn step(&mut self, host: usize, event: job::Event) {
        let now = self.now;
        let state = &mut self.hosts[host];
        let Some(engine) = &mut state.engine else {
            return;
        };
        if state.frozen {
            if !matches!(event, job::Event::Tick { .. }) {
                state.inbox.push(event);
            }
            return;
        }
        let incarnation = state.incarnation;
        for effect in engine.step(now, event) {
            self.perform(host, incarnation, effect);
        }
    }

    /// Checks the counts that a host would report to callers now.
    fn check_waiting_counts(&mut self) {
        let row = self.rows.get(&job::waiting_key(0)).and_then(|row| row.value);
        let Some(counts) = row.and_then(|text| serde_json::from_str::<job::Waiting>(&text).ok())
        else {
            return;
        };
        let Some(as_of_ms) = counts.as_of_ms else {
            return;
        };
        if counts.age(millis(self.now)).is_some_and(|age| age <= MAX_COUNT_AGE) {
            let reported = counts.queues.values().sum();
            let cancelled = &self.cancelled;
            self.checker.check_count(reported, as_of_ms, |job| cancelled.contains_key(&job));
        }
    }

    /// Returns the worker that an order reaches: the reachable incarnation with this id, even if
    /// the order is for another one.
    pub(super) fn reach(&mut self, incarnation: &id::Incarnation) -> Option<&mut worker::Worker> {
        self.reach_sent(incarnation, None)
    }

    /// Returns the worker that an order reaches, also behind a cut if it was sent before the cut, at
    /// `sent`, and the plan says so.
    pub(super) fn reach_sent(
        &mut self,
        incarnation: &id::Incarnation,
        sent: Option<time::Duration>,
    ) -> Option<&mut worker::Worker> {
        let sent = sent.filter(|_| self.plan.late_starts_pass_cuts);
        let mut reached = self.workers.iter_mut().filter(|worker| {
            let passes = sent.is_some_and(|sent| worker.cut_since.is_some_and(|cut| sent < cut));
            worker.alive && (worker.reachable || passes)
        });
        reached.find(|worker| worker.has_same_id(incarnation))
    }
}

/// Returns a duration in milliseconds.
pub(super) fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the usual configuration of the world, which has one queue.
pub(super) fn queues() -> job::Queues {
    job::Queues { revision: 1, queues: [(QUEUE.to_owned(), queue(QUEUE))].into() }
}

/// Returns a queue with the usual policy.
pub(super) fn queue(name: &str) -> job::Queue {
    let policy = job::Policy {
        service: "service".into(),
        priority: 0,
        max_attempts: ATTEMPTS,
        advice: None,
        stretch_percent: 200,
        objective_ms: 1_000,
    };
    job::Queue { name: name.to_owned(), host: String::new(), prefix: String::new(), policy }
}

/// Returns the entry of a worker.
pub(super) fn member(worker: &worker::Worker) -> job::Member {
    job::Member {
        incarnation: worker.incarnation.clone(),
        addr: ([127, 0, 0, 1], 1).into(),
        hall: worker.hall.clone(),
        service: "service".into(),
        leaving: false,
        capacity: worker.capacity,
        labels: Vec::new(),
        rack: None,
    }
}

/// Returns the settings of the engines; the values are those of the daemon's defaults.
#[must_use]
pub fn settings() -> job::Settings {
    let millis = time::Duration::from_millis;
    job::Settings {
        domain: 0,
        lease: millis(2_200),
        margin: millis(400),
        addr: None,
        probe: millis(500),
        silence: millis(1_200),
        vacate: millis(1_200),
        takeover_delay: millis(0),
        poll: millis(300),
        poll_standstill: millis(300),
        commit: millis(20),
        renew: millis(700),
        task_lease: millis(4_000),
        task_lease_max: worker::MAX_LEASE,
        stop: millis(900),
        heartbeat_wait: millis(1_000),
        idle_heartbeat_gap: millis(4_000),
        keep: millis(120_000),
        closed_wait: millis(5_000),
        stalled_moves: 1,
        link_bytes_per_s: None,
    }
}
