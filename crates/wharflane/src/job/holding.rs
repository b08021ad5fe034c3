//! The state that the holder of a domain's lease keeps of the domain's jobs and workers.

use std::collections;
use std::sync;
use std::time;

use super::dispatch::pace;
use super::early_cancel::records as early_cancels;
use super::event;
use super::learn::learned;
use super::lease::inherited;
use super::lease::store_clock;
use super::load::admission;
use super::loss::correlated;
use super::loss::evidence;
use super::loss::loss_record;
use super::loss::missing;
use super::place::group;
use super::place::starvation;
use super::place::tickets;
use super::policies;
use super::progress;
use super::queue;
use super::rows as job_rows;
use super::runs::work;
use super::spec;
use super::store::pending;
use super::workers::link;
use super::workers::moves;
use super::workers::unshown;
use super::workers::worker;
use crate::id;

/// A domain, as its holder sees it.
#[derive(Debug)]
pub struct Holding {
    /// The timing settings of the engine.
    pub(super) settings: event::Settings,
    /// The lease as last written.
    pub(super) lease: job_rows::Lease,
    /// The version of the lease row.
    pub(super) version: u64,
    /// When the write that last renewed the lease was sent.
    pub(super) renewed: time::Duration,
    /// When the lease was acquired.
    pub(super) acquired: time::Duration,
    /// The task leases that earlier holders may have granted.
    pub(super) inherited: inherited::Inherited,
    /// When the event in progress arrived.
    pub(super) now: time::Duration,
    /// The wall clock time, in milliseconds since 1970.
    pub(super) wall_ms: u64,
    /// What holds for the jobs of each queue.
    pub(super) policies: policies::Policies,
    /// The services to whose workers jobs were ever assigned; workers of other services are not
    /// contacted.
    pub(super) services: collections::BTreeSet<id::ServiceId>,
    /// The jobs whose progress can't be decoded. None of their tasks is started, since it may
    /// already be done.
    pub(super) unreadable: collections::BTreeSet<spec::JobId>,
    /// The cancels that came before their jobs were stored.
    pub(super) early_cancels: early_cancels::Records,
    /// All jobs of the domain that are stored and readable, by id.
    pub(super) jobs: collections::BTreeMap<spec::JobId, work::Entry>,
    /// The known workers, by incarnation.
    pub(super) views: collections::BTreeMap<id::Incarnation, worker::View>,
    /// The closed halls.
    pub(super) closed: collections::BTreeSet<id::HallId>,
    /// When the closed halls were last read; `None` before the first reading.
    pub(super) closed_read_at: Option<time::Duration>,
    /// Whether a missing reading of the closed halls was logged.
    pub(super) closed_wait_logged: bool,
    /// The tasks that have a worker.
    pub(super) placed: collections::BTreeMap<spec::TaskId, work::Placed>,
    /// The tasks that wait for a worker.
    pub(super) ready: collections::BTreeMap<spec::TaskId, work::Ready>,
    /// Rounds that are not due yet, by due time in milliseconds since 1970.
    pub(super) future: collections::BTreeSet<(u64, spec::JobId, u32)>,
    /// The jobs whose progress must be written, in the order of their first change.
    pub(super) dirty: collections::VecDeque<spec::JobId>,
    /// The jobs whose own rows are removed and whose progress rows must follow, with the number of
    /// the latter.
    pub(super) expired: Vec<(spec::JobId, u32)>,
    /// The ends that were received and whose result is not committed yet, by job.
    pub(super) unrecorded: collections::BTreeMap<spec::JobId, Vec<(id::Incarnation, u64)>>,
    /// The limits on commits after one was refused.
    pub(super) commit_limits: pending::CommitLimits,
    /// The tasks whose start waits for its commit.
    pub(super) staged: Vec<spec::TaskId>,
    /// The transaction in flight.
    pub(super) pending: Option<pending::Pending>,
    /// When the last transaction was built.
    pub(super) committed: time::Duration,
    /// The number of commits since the lease was acquired.
    pub(super) commits: u64,
    /// When the counts of waiting jobs were last written.
    pub(super) counted_at: time::Duration,
    /// All jobs accepted up to this time of the store's clock are known, in milliseconds.
    pub(super) jobs_read_up_to_ms: Option<u64>,
    /// The store's clock; absent if it was never read.
    pub(super) store_clock: Option<store_clock::StoreClock>,
    /// Whether anything that affects placement changed since the last pass.
    pub(super) changed: bool,
    /// What this host can take on.
    pub(super) pace: pace::Pace,
    /// Whether the last pass left tasks waiting because this host can't send their starts soon.
    pub(super) held_back: bool,
    /// When the last placement pass ran.
    pub(super) placed_at: time::Duration,
    /// The number of placement passes since the lease was acquired.
    pub(super) passes: u64,
    /// The number of searches for a worker since the lease was acquired.
    pub(super) worker_searches: u64,
    /// The number of starving tasks that were started since the lease was acquired.
    pub(super) starvation_starts: u64,
    /// What the last placement pass did for its starving tasks.
    pub(super) relief: starvation::Relief,
    /// The searches for starving tasks that recently found no worker.
    pub(super) failed_searches: starvation::FailedSearches,
    /// The starving task for which a worker was last searched; the next search begins after it, so
    /// that starving tasks are served in round-robin order.
    pub(super) last_starving: Option<spec::TaskId>,
    /// The queues with more work than room, by the last pass.
    pub(super) backlogs: Vec<admission::Backlog>,
    /// When these were last updated.
    pub(super) backlogs_told_at: time::Duration,
    /// Whether a best-effort task found no worker in the last pass.
    pub(super) best_effort_waits: bool,
    /// Workers whose free capacity is reserved for returning long-running tasks until the next
    /// pass.
    pub(super) reserved_workers: collections::BTreeSet<id::Incarnation>,
    /// Tickets of steps whose queue uses the advice service.
    pub(super) tickets: tickets::Tickets,
    /// When the reason why a group waits was last logged.
    pub(super) wait_logged_at: collections::BTreeMap<group::Group, time::Duration>,
    /// The learned run times and interference.
    pub(super) learned: learned::Learned,
    /// When the learned state was last written.
    pub(super) learned_written_at: time::Duration,
    /// The strain of each serving task, from its last reported tail latency.
    pub(super) strains: collections::BTreeMap<spec::TaskId, worker::Strain>,
    /// How far the fencing token of each worker is above the epoch. An offset lasts as long as the
    /// lease, since workers remember the highest token. All incarnations of a worker share it,
    /// because an order for one may reach the next.
    pub(super) fence_offsets: collections::BTreeMap<id::WorkerId, u64>,
    /// The starts that the addressed incarnations have not shown to have taken.
    pub(super) unshown: unshown::UnshownStarts,
    /// Workers with starts to be abandoned, which the next heartbeat resolves.
    pub(super) unsettled: collections::BTreeSet<id::Incarnation>,
    /// When to repeat the stop orders that were not accepted.
    pub(super) stop_retries: collections::BTreeMap<spec::TaskId, time::Duration>,
    /// The workers missing from the store's list, as last written.
    pub(super) unlisted: Vec<job_rows::Unlisted>,
    /// The load on this host's network link.
    pub(super) link: link::Link,
    /// When most of the workers with running tasks last fell silent at once.
    pub(super) mass_silence_at: Option<time::Duration>,
    /// The tasks under which a worker was lost, while their losses count.
    pub(super) loss_record: loss_record::LossRecord,
    /// The recent losses of workers, to tell single ones from those with a common cause.
    pub(super) correlated: correlated::CorrelatedLosses,
    /// The workers whose loss is undecided.
    pub(super) missing_workers: missing::MissingWorkers,
    /// The losses that were counted recently.
    pub(super) counted_losses: evidence::CountedLosses,
    /// The number of jobs that failed because workers crashed under one of their tasks.
    pub(super) given_up: u64,
    /// The number of losses counted against tasks whose worker turned out to live.
    pub(super) false_losses: u64,
    /// The number of times that a worker turned out to have restarted under its id.
    pub(super) restarted: u64,
    /// The number of starts that another incarnation took than the addressed one, by the clock in
    /// its answer.
    pub(super) taken_by_others: u64,
    /// The number of runs that were kept because the next incarnation of their worker may have them.
    pub(super) kept_for_next: u64,
    /// The number of runs that were given up although their start was not shown.
    pub(super) unshown_given_up: u64,
    /// The number of runs that were kept because their ends may not have been listed yet.
    pub(super) unlisted_ends: u64,
    /// What was done about workers that stood still since the lease was acquired.
    pub(super) stalls: moves::StallCounts,
    /// Whether a worker has seen a higher epoch.
    pub(super) fenced: bool,
    /// Whether the lease is to be released.
    pub(super) leaving: bool,
    /// Whether the lease is released with the next commit even if other state is unwritten; the
    /// next holder gets that state from the workers.
    pub(super) release_now: bool,
    /// Effects to return to the caller of the engine.
    pub(super) out: Vec<event::Effect>,
}

/// A summary of the state for operators.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Dump {
    /// The epoch of the lease.
    pub epoch: u64,
    /// The number of commits since the lease was acquired.
    pub commits: u64,
    /// How much longer leases of earlier holders may last, in milliseconds.
    pub inherited_left_ms: u64,
    /// The phase of each job, by id.
    pub jobs: collections::BTreeMap<String, progress::Phase>,
    /// The revision of the configuration in force; zero before one was read.
    pub revision: u64,
    /// What holds for the jobs of each queue, by the newest revision that is known to have it.
    pub policies: collections::BTreeMap<String, queue::PolicyVersion>,
    /// The number of tasks that wait for a worker.
    pub ready: usize,
    /// The number of tasks that have a worker.
    pub placed: usize,
    /// The number of known workers.
    pub workers: usize,
    /// The number of searches for a worker since the lease was acquired.
    pub sought: u64,
    /// The number of starving tasks that were started since the lease was acquired.
    pub relieved: u64,
    /// The number of jobs that failed because workers crashed under one of their tasks, since the
    /// lease was acquired.
    pub given_up: u64,
    /// The number of losses counted against tasks whose worker turned out to live, since the lease
    /// was acquired.
    pub false_losses: u64,
    /// The number of times that a worker turned out to have restarted under its id, since the lease
    /// was acquired.
    pub restarted: u64,
    /// The number of starts that another incarnation took than the addressed one, since the lease
    /// was acquired.
    pub taken_by_others: u64,
    /// The number of runs that were kept because the next incarnation of their worker may have them,
    /// since the lease was acquired.
    pub kept_for_next: u64,
    /// The number of runs that were given up although their start was not shown, since the lease was
    /// acquired.
    pub unshown_given_up: u64,
    /// The number of runs that were kept because their ends may not have been listed yet, since the
    /// lease was acquired.
    pub unlisted_ends: u64,
    /// The interval between heartbeats of a busy worker, in milliseconds; more than 50 if the
    /// host's link has little bandwidth.
    pub look_gap_ms: u64,
    /// The expected run time of a task whose caller estimates one second, in milliseconds, by
    /// queue.
    pub times_ms: collections::BTreeMap<String, f64>,
    /// The learned strain that one image causes another, by image names.
    pub harm: collections::BTreeMap<String, f64>,
}

impl Holding {
    /// Creates the state of a domain without jobs.
    pub(super) fn new(
        settings: event::Settings,
        lease: job_rows::Lease,
        version: u64,
        (acquired, inherited): (time::Duration, inherited::Inherited),
        queues: sync::Arc<queue::Queues>,
    ) -> Self {
        let mut holding = Self {
            settings,
            lease,
            version,
            renewed: acquired,
            acquired,
            inherited,
            now: acquired,
            wall_ms: 0,
            policies: policies::Policies::default(),
            services: collections::BTreeSet::new(),
            unreadable: collections::BTreeSet::new(),
            early_cancels: early_cancels::Records::default(),
            jobs: collections::BTreeMap::new(),
            views: collections::BTreeMap::new(),
            closed: collections::BTreeSet::new(),
            closed_read_at: None,
            closed_wait_logged: false,
            placed: collections::BTreeMap::new(),
            ready: collections::BTreeMap::new(),
            future: collections::BTreeSet::new(),
            dirty: collections::VecDeque::new(),
            expired: Vec::new(),
            unrecorded: collections::BTreeMap::new(),
            commit_limits: pending::CommitLimits::default(),
            staged: Vec::new(),
            pending: None,
            committed: acquired,
            commits: 0,
            counted_at: time::Duration::ZERO,
            jobs_read_up_to_ms: None,
            store_clock: None,
            changed: true,
            pace: pace::Pace::default(),
            held_back: false,
            placed_at: time::Duration::ZERO,
            passes: 0,
            worker_searches: 0,
            starvation_starts: 0,
            relief: starvation::Relief::default(),
            failed_searches: starvation::FailedSearches::default(),
            last_starving: None,
            backlogs: Vec::new(),
            backlogs_told_at: time::Duration::ZERO,
            best_effort_waits: false,
            reserved_workers: collections::BTreeSet::new(),
            tickets: tickets::Tickets::default(),
            wait_logged_at: collections::BTreeMap::new(),
            learned: learned::Learned::default(),
            learned_written_at: acquired,
            strains: collections::BTreeMap::new(),
            fence_offsets: collections::BTreeMap::new(),
            unshown: unshown::UnshownStarts::default(),
            unsettled: collections::BTreeSet::new(),
            stop_retries: collections::BTreeMap::new(),
            unlisted: Vec::new(),
            link: link::Link::new(settings.link_bytes_per_s, acquired),
            mass_silence_at: None,
            loss_record: loss_record::LossRecord::default(),
            correlated: correlated::CorrelatedLosses::default(),
            missing_workers: missing::MissingWorkers::default(),
            counted_losses: evidence::CountedLosses::default(),
            given_up: 0,
            false_losses: 0,
            restarted: 0,
            taken_by_others: 0,
            kept_for_next: 0,
            unshown_given_up: 0,
            unlisted_ends: 0,
            stalls: moves::StallCounts::default(),
            fenced: false,
            leaving: false,
            release_now: false,
            out: Vec::new(),
        };
        holding.set_queues(queues);
        holding
    }

    /// Returns a summary of the state for operators.
    #[must_use]
    pub fn dump(&self) -> Dump {
        let jobs = self.jobs.iter().map(|(job, entry)| (job.to_string(), entry.progress.phase));
        Dump {
            epoch: self.lease.epoch,
            commits: self.commits,
            inherited_left_ms: self.inherited.left_ms(self.now),
            jobs: jobs.collect(),
            revision: self.policies.revision(),
            policies: self.policies.dump(),
            ready: self.ready.len(),
            placed: self.placed.len(),
            workers: self.views.len(),
            sought: self.worker_searches,
            relieved: self.starvation_starts,
            given_up: self.given_up,
            false_losses: self.false_losses,
            restarted: self.restarted,
            taken_by_others: self.taken_by_others,
            kept_for_next: self.kept_for_next,
            unshown_given_up: self.unshown_given_up,
            unlisted_ends: self.unlisted_ends,
            look_gap_ms: worker::millis(self.link.gap()),
            times_ms: self.learned.times.dump(),
            harm: self.learned.interference.dump(),
        }
    }

    /// Returns the number of starts that wait for their commit.
    #[must_use]
    pub fn staged(&self) -> usize {
        self.staged.len()
    }

    /// Returns the number of placement passes since the lease was acquired.
    #[must_use]
    pub fn passes(&self) -> u64 {
        self.passes
    }

    /// Returns the number of searches for a worker since the lease was acquired.
    #[must_use]
    pub fn worker_searches(&self) -> u64 {
        self.worker_searches
    }

    /// Returns the number of known cancels that came before their jobs were stored.
    #[must_use]
    pub fn early_cancels(&self) -> usize {
        self.early_cancels.len()
    }

    /// Returns the number of jobs that failed because workers crashed under one of their tasks,
    /// since the lease was acquired.
    #[must_use]
    pub fn given_up(&self) -> u64 {
        self.given_up
    }

    /// Returns the number of losses counted against tasks whose worker turned out to live, since
    /// the lease was acquired.
    #[must_use]
    pub fn false_losses(&self) -> u64 {
        self.false_losses
    }

    /// Returns the number of times that a worker turned out to have restarted under its id, since
    /// the lease was acquired.
    #[must_use]
    pub fn restarted(&self) -> u64 {
        self.restarted
    }

    /// Returns the number of starts that another incarnation took than the addressed one, since the
    /// lease was acquired.
    #[must_use]
    pub fn taken_by_others(&self) -> u64 {
        self.taken_by_others
    }

    /// Returns the number of runs that were kept because the next incarnation of their worker may
    /// have them, since the lease was acquired.
    #[must_use]
    pub fn kept_for_next(&self) -> u64 {
        self.kept_for_next
    }

    /// Returns the number of runs that were given up although their start was not shown, since the
    /// lease was acquired.
    #[must_use]
    pub fn unshown_given_up(&self) -> u64 {
        self.unshown_given_up
    }

    /// Returns the number of runs that were kept because their ends may not have been listed yet,
    /// since the lease was acquired.
    #[must_use]
    pub fn unlisted_ends(&self) -> u64 {
        self.unlisted_ends
    }

    /// Returns what was done about workers that stood still since the lease was acquired.
    #[must_use]
    pub fn stalls(&self) -> moves::StallCounts {
        self.stalls
    }

    /// Returns whether this host has more to do than it can.
    pub(super) fn is_overloaded(&self) -> bool {
        self.held_back || self.pace.is_behind()
    }

    /// Requests that the lease be released once everything is written.
    pub(super) fn leave(&mut self) {
        self.leaving = true;
    }

    /// Requests that the lease be released with the next commit.
    pub(super) fn hand_over(&mut self) {
        self.leaving = true;
        self.release_now = true;
    }

    /// Returns whether orders may be sent, which requires that no other host can have acquired the
    /// lease yet.
    pub(super) fn may_order(&self, now: time::Duration) -> bool {
        now < self.renewed + self.settings.lease.saturating_sub(self.settings.margin)
    }

    /// Advances the wall clock, opens rounds that became due, and runs periodic work.
    pub(super) fn tick(&mut self, now: time::Duration, wall_ms: u64) {
        self.wall_ms = wall_ms;
        while let Some((due_ms, job, round)) = self.future.first().copied() {
            if due_ms > wall_ms {
                break;
            }
            self.future.pop_first();
            self.open_round(job, round);
        }
        let busy = self.views.values().filter(|view| !view.tasks.is_empty()).count();
        self.link.replenish(busy, self.settings.task_lease, now);
        self.expire(now);
        self.expire_early_cancels(now);
        self.retry_set_aside_jobs(now);
        if self.may_order(now) && !self.leaving {
            self.resend_starts(now);
            self.resend_stops(now);
            self.send_due_heartbeats(now);
        }
        self.free_expired(now);
        self.decide_open_losses(now);
    }

    /// Places tasks, builds the next commit and returns all pending effects.
    pub(super) fn collect_effects(
        &mut self,
        now: time::Duration,
        number: u64,
    ) -> Vec<event::Effect> {
        if self.may_order(now) && !self.leaving {
            self.place_ready(now);
        }
        if let Some(effect) = self.commit(now, number) {
            self.out.push(effect);
        }
        std::mem::take(&mut self.out)
    }

    /// Releases a task from its worker, like `release`, and logs why.
    pub(super) fn free(&mut self, task: spec::TaskId, why: &'static str) {
        if let Some(placed) = self.placed.get(&task) {
            tracing::info!(%task, run = placed.run, worker = %placed.worker, why, "task freed");
        }
        self.release(task);
    }

    /// Releases a task from its worker and queues it again if it should still run. Logs nothing,
    /// for callers that have logged why the run ended.
    pub(super) fn release(&mut self, task: spec::TaskId) {
        self.note_last_ran(task);
        let Some(placed) = self.placed.remove(&task) else {
            return;
        };
        self.unshown.remove(task);
        self.changed = true;
        self.note_other_end(task, &placed);
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if let Some(state) = entry.progress.tasks.get_mut(&task.into()) {
            state.worker = None;
        }
        let spec = sync::Arc::clone(&entry.job);
        if let (Some(view), Some(step)) = (self.views.get_mut(&placed.worker), spec.step(task.step))
        {
            view.remove(task, step);
        }
        self.strains.remove(&task);
        if self.loss_record.contains(task) && !self.should_run(task) {
            self.loss_record.forget(task);
        }
        self.staged.retain(|staged| *staged != task);
        self.mark_task(task);
        self.open_task(task);
        self.fail_if_exhausted(task, self.now);
        self.fail_job_after_losses(task, self.now);
    }
}
