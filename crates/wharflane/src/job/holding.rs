//! What the holder of a domain keeps of its jobs and workers.

use std::collections;
use std::sync;
use std::time;

use super::event;
use super::group;
use super::learned;
use super::link;
use super::loss_record;
use super::pending;
use super::progress;
use super::queue;
use super::rows as kept;
use super::spec;
use super::tickets;
use super::work;
use super::worker;
use crate::id;

/// A domain on its holder.
#[derive(Debug)]
pub struct Holding {
    /// The times.
    pub(super) settings: event::Settings,
    /// The lease as it was written last.
    pub(super) lease: kept::Lease,
    /// The version of the lease row.
    pub(super) version: u64,
    /// When the write that last renewed the lease was sent.
    pub(super) renewed: time::Duration,
    /// When the lease was taken.
    pub(super) taken: time::Duration,
    /// The longest lease of tasks that the holder before asked for.
    pub(super) inherited: time::Duration,
    /// When the event that is being taken came.
    pub(super) now: time::Duration,
    /// The time of day, in milliseconds since 1970.
    pub(super) wall_ms: u64,
    /// The queues in force.
    pub(super) queues: sync::Arc<queue::Queues>,
    /// The services whose workers jobs have been sent to; others are none of ours to call.
    pub(super) services: collections::BTreeSet<id::ServiceId>,
    /// The jobs whose progress can't be read: nothing of them is started, since it may have been done.
    pub(super) unreadable: collections::BTreeSet<spec::JobId>,
    /// The jobs.
    pub(super) jobs: collections::BTreeMap<spec::JobId, work::Entry>,
    /// The workers.
    pub(super) views: collections::BTreeMap<id::Incarnation, worker::View>,
    /// The halls that are closed.
    pub(super) closed: collections::BTreeSet<id::HallId>,
    /// When it was last heard which halls are closed.
    pub(super) closed_read_at: Option<time::Duration>,
    /// Whether it was told that this can't be heard.
    pub(super) closed_doubted: bool,
    /// The tasks that have a worker.
    pub(super) placed: collections::BTreeMap<spec::TaskId, work::Placed>,
    /// The tasks whose turn has come.
    pub(super) ready: collections::BTreeMap<spec::TaskId, work::Ready>,
    /// Rounds whose time has not come, by due time.
    pub(super) future: collections::BTreeSet<(u64, spec::JobId, u32)>,
    /// The jobs whose progress is to be written.
    pub(super) dirty: collections::VecDeque<spec::JobId>,
    /// The jobs whose progress is to be removed, since their own rows are, with the number of its rows.
    pub(super) expired: Vec<(spec::JobId, u32)>,
    /// The ends that were taken in and not committed yet, by job.
    pub(super) unrecorded: collections::BTreeMap<spec::JobId, Vec<(id::Incarnation, u64)>>,
    /// What commits leave out after one was refused.
    pub(super) commit_limits: pending::CommitLimits,
    /// Starts that wait for their commit.
    pub(super) staged: Vec<spec::TaskId>,
    /// The transaction under way.
    pub(super) pending: Option<pending::Pending>,
    /// When the last transaction was gathered.
    pub(super) committed: time::Duration,
    /// The number of commits.
    pub(super) commits: u64,
    /// When what waits was last counted.
    pub(super) counted_at: time::Duration,
    /// Up to which time of the store's clock all accepted jobs were heard of, in milliseconds.
    pub(super) jobs_read_up_to_ms: Option<u64>,
    /// Whether anything that placement looks at has changed.
    pub(super) changed: bool,
    /// When placement was last tried.
    pub(super) placed_at: time::Duration,
    /// How often a worker was sought for a task.
    pub(super) worker_searches: u64,
    /// How many tasks were started in need.
    pub(super) starvation_starts: u64,
    /// The task in need for which a worker was sought last, so that they take turns.
    pub(super) relieved_last: Option<spec::TaskId>,
    /// Whether tasks that fill found no worker when they were last tried.
    pub(super) fills_wait: bool,
    /// Workers whose room is kept for lasting tasks that come back, until the next try.
    pub(super) kept_for: collections::BTreeSet<id::Incarnation>,
    /// Which workers may run steps whose queue asks for advice.
    pub(super) tickets: tickets::Tickets,
    /// When it was last told what keeps the tasks of a step waiting.
    pub(super) told: collections::BTreeMap<group::Group, time::Duration>,
    /// What was learned.
    pub(super) learned: learned::Learned,
    /// When what was learned was last written.
    pub(super) kept_at: time::Duration,
    /// The strains of serving tasks as they were last told.
    pub(super) strains: collections::BTreeMap<spec::TaskId, worker::Strain>,
    /// By how much the fences of workers are raised above the epoch; kept while the lease is, since the
    /// workers remember it. All incarnations of a worker share it: an order meant for one may reach the next.
    pub(super) fence_offsets: collections::BTreeMap<id::WorkerId, u64>,
    /// Workers with starts that are to be given up, which the next look there settles.
    pub(super) unsettled: collections::BTreeSet<id::Incarnation>,
    /// When stops that were not taken are given again.
    pub(super) stop_retries: collections::BTreeMap<spec::TaskId, time::Duration>,
    /// The workers that are not listed, as they were written last.
    pub(super) unlisted: Vec<kept::Unlisted>,
    /// What this host's link carries.
    pub(super) link: link::Link,
    /// When most of the workers on which something runs were last silent at once.
    pub(super) mass_silence_at: Option<time::Duration>,
    /// The tasks under which a worker was lost, as far as that still counts.
    pub(super) loss_record: loss_record::LossRecord,
    /// The jobs that were given up since workers crashed under a task.
    pub(super) given_up: u64,
    /// How often a worker was found to have started again under its id.
    pub(super) restarted: u64,
    /// Whether a worker has seen a higher epoch.
    pub(super) fenced: bool,
    /// Whether the lease is to be given up.
    pub(super) leaving: bool,
    /// Whether it is given up with the next commit, whatever is not written yet: workers tell that to the next holder.
    pub(super) release_now: bool,
    /// Effects that wait to be handed out.
    pub(super) out: Vec<event::Effect>,
}

/// The state for operators.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Dump {
    /// The epoch of the lease.
    pub epoch: u64,
    /// Commits since the lease was taken.
    pub commits: u64,
    /// Jobs by name with their phase.
    pub jobs: collections::BTreeMap<String, progress::Phase>,
    /// Tasks whose turn has come.
    pub ready: usize,
    /// Tasks that have a worker.
    pub placed: usize,
    /// Workers that are looked at.
    pub workers: usize,
    /// How often a worker was sought for a task, since the lease was taken.
    pub sought: u64,
    /// How many tasks were started in need, since the lease was taken.
    pub relieved: u64,
    /// How many jobs were given up since workers crashed under a task, since the lease was taken.
    pub given_up: u64,
    /// How often a worker was found to have started again under its id, since the lease was taken.
    pub restarted: u64,
    /// The pause between two looks at a busy worker, in milliseconds; more than 50 where the host's link is thin.
    pub look_gap_ms: u64,
    /// How long a task that its caller guesses at one second is likely to take, in milliseconds, by
    /// queue.
    pub times_ms: collections::BTreeMap<String, f64>,
    /// The strain that one image is learned to cause another.
    pub harm: collections::BTreeMap<String, f64>,
}

impl Holding {
    /// Makes a holder that knows no job yet.
    pub(super) fn new(
        settings: event::Settings,
        lease: kept::Lease,
        version: u64,
        (taken, inherited): (time::Duration, time::Duration),
        queues: sync::Arc<queue::Queues>,
    ) -> Self {
        let mut holding = Self {
            settings,
            lease,
            version,
            renewed: taken,
            taken,
            inherited,
            now: taken,
            wall_ms: 0,
            queues: sync::Arc::default(),
            services: collections::BTreeSet::new(),
            unreadable: collections::BTreeSet::new(),
            jobs: collections::BTreeMap::new(),
            views: collections::BTreeMap::new(),
            closed: collections::BTreeSet::new(),
            closed_read_at: None,
            closed_doubted: false,
            placed: collections::BTreeMap::new(),
            ready: collections::BTreeMap::new(),
            future: collections::BTreeSet::new(),
            dirty: collections::VecDeque::new(),
            expired: Vec::new(),
            unrecorded: collections::BTreeMap::new(),
            commit_limits: pending::CommitLimits::default(),
            staged: Vec::new(),
            pending: None,
            committed: taken,
            commits: 0,
            counted_at: time::Duration::ZERO,
            jobs_read_up_to_ms: None,
            changed: true,
            placed_at: time::Duration::ZERO,
            worker_searches: 0,
            starvation_starts: 0,
            relieved_last: None,
            fills_wait: false,
            kept_for: collections::BTreeSet::new(),
            tickets: tickets::Tickets::default(),
            told: collections::BTreeMap::new(),
            learned: learned::Learned::default(),
            kept_at: taken,
            strains: collections::BTreeMap::new(),
            fence_offsets: collections::BTreeMap::new(),
            unsettled: collections::BTreeSet::new(),
            stop_retries: collections::BTreeMap::new(),
            unlisted: Vec::new(),
            link: link::Link::new(settings.link_bytes_per_s, taken),
            mass_silence_at: None,
            loss_record: loss_record::LossRecord::default(),
            given_up: 0,
            restarted: 0,
            fenced: false,
            leaving: false,
            release_now: false,
            out: Vec::new(),
        };
        holding.set_queues(queues);
        holding
    }

    /// Puts queues in force.
    pub(super) fn set_queues(&mut self, queues: sync::Arc<queue::Queues>) {
        self.services.extend(queues.queues.values().map(|queue| queue.service.clone()));
        self.queues = queues;
    }

    /// Returns the state for operators.
    #[must_use]
    pub fn dump(&self) -> Dump {
        let jobs = self.jobs.iter().map(|(job, entry)| (job.to_string(), entry.progress.phase));
        Dump {
            epoch: self.lease.epoch,
            commits: self.commits,
            jobs: jobs.collect(),
            ready: self.ready.len(),
            placed: self.placed.len(),
            workers: self.views.len(),
            sought: self.worker_searches,
            relieved: self.starvation_starts,
            given_up: self.given_up,
            restarted: self.restarted,
            look_gap_ms: worker::millis(self.link.gap()),
            times_ms: self.learned.times.dump(),
            harm: self.learned.interference.dump(),
        }
    }

    /// Returns how often a worker was sought for a task, since the lease was taken.
    #[must_use]
    pub fn worker_searches(&self) -> u64 {
        self.worker_searches
    }

    /// Returns how many jobs were given up since workers crashed under a task, since the lease was taken.
    #[must_use]
    pub fn given_up(&self) -> u64 {
        self.given_up
    }

    /// Returns how often a worker was found to have started again under its id, since the lease was taken.
    #[must_use]
    pub fn restarted(&self) -> u64 {
        self.restarted
    }

    /// Asks to give the lease up as soon as everything is written.
    pub(super) fn leave(&mut self) {
        self.leaving = true;
    }

    /// Asks to give the lease up with the next commit.
    pub(super) fn hand_over(&mut self) {
        self.leaving = true;
        self.release_now = true;
    }

    /// Returns whether orders may be given: no other host may have taken the lease yet.
    pub(super) fn may_order(&self, now: time::Duration) -> bool {
        now < self.renewed + self.settings.lease.saturating_sub(self.settings.margin)
    }

    /// Notes the time of day and the rounds that have become due.
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
        self.link.pass(busy, self.settings.task_lease, now);
        self.expire(now);
        self.take_up_again(now);
        if self.may_order(now) && !self.leaving {
            self.repeat_orders(now);
            self.repeat_stops(now);
            self.send_due_heartbeats(now);
        }
        self.free_lapsed(now);
    }

    /// Acts on what has happened and returns what is to be done.
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

    /// Gives a task's room back and puts it up again where it is still wanted.
    pub(super) fn free(&mut self, task: spec::TaskId, why: &'static str) {
        if let Some(placed) = self.placed.get(&task) {
            tracing::info!(%task, run = placed.run, worker = %placed.worker, why, "task freed");
        }
        self.give_back(task);
    }

    /// Gives a task's room back without a line of its own, for a run whose end was logged.
    pub(super) fn give_back(&mut self, task: spec::TaskId) {
        let Some(placed) = self.placed.remove(&task) else {
            return;
        };
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
        self.open_step(task.job, task.round, task.step);
        self.give_up_if_lost(task, self.now);
    }
}
