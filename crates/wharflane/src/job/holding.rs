//! What the holder of a domain keeps of its jobs and workers.

use std::collections;
use std::sync;
use std::time;

use super::commit;
use super::engine;
use super::harm;
use super::order;
use super::pace;
use super::place;
use super::progress;
use super::queue;
use super::rows as kept;
use super::spec;
use super::worker;
use crate::id;
use crate::rows;

/// The priority of jobs whose queue is not configured any more.
const ORPHAN_PRIORITY: u32 = 9;
/// The attempts of jobs whose queue is not configured any more.
const ORPHAN_ATTEMPTS: u32 = 3;

/// A job and how far it has come.
#[derive(Debug)]
pub(super) struct Entry {
    /// What was handed in.
    pub job: sync::Arc<spec::Job>,
    /// The version of its row when it was accepted; earlier jobs have lower ones.
    pub order: u64,
    /// Whether its caller has cancelled it.
    pub cancelled: bool,
    /// How far it has come, ahead of the store by what is not committed yet.
    pub progress: progress::Progress,
    /// Whether the row of its progress is to be written.
    pub dirty: bool,
    /// Since when it has ended.
    pub ended: Option<time::Duration>,
}

impl Entry {
    /// Returns whether none of its tasks has begun.
    pub fn waits(&self) -> bool {
        self.progress.phase == progress::Phase::Queued && !self.cancelled
    }

    /// Returns whether its tasks are to run.
    pub fn active(&self) -> bool {
        !self.cancelled && !self.progress.phase.ended()
    }
}

/// What is known of a task that has a worker.
#[derive(Clone, Debug)]
pub(super) struct Placed {
    /// The worker.
    pub worker: id::WorkerId,
    /// The number of the start.
    pub run: u32,
    /// What is known of the start.
    pub link: Link,
    /// Until when an order for it may still be carried out, by the worker's clock.
    pub until_ms: u64,
    /// When a stop was last ordered.
    pub stopped: Option<time::Duration>,
}

/// What is known of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Link {
    /// It is not committed yet.
    Staged,
    /// The order is under way.
    Ordered,
    /// The order had no answer and is given again at a time.
    Doubtful(time::Duration),
    /// The worker has it, as it said at a time.
    There(time::Duration),
    /// An earlier holder ordered it.
    Inherited,
}

/// A task whose turn has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Ready {
    /// The task.
    pub task: spec::TaskId,
    /// The priority paid for.
    pub priority: u32,
    /// Whether it runs until its job is cancelled.
    pub lasting: bool,
    /// Earlier jobs have lower ones.
    pub order: u64,
    /// Since when it waits.
    pub since: time::Duration,
}

/// A domain on its holder.
#[derive(Debug)]
pub struct Holding {
    /// The times.
    pub(super) settings: engine::Settings,
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
    /// The jobs.
    pub(super) jobs: collections::BTreeMap<spec::JobId, Entry>,
    /// The workers.
    pub(super) views: collections::BTreeMap<id::WorkerId, worker::View>,
    /// The tasks that have a worker.
    pub(super) placed: collections::BTreeMap<spec::TaskId, Placed>,
    /// The tasks whose turn has come.
    pub(super) ready: collections::BTreeMap<spec::TaskId, Ready>,
    /// Rounds whose time has not come, by due time.
    pub(super) future: collections::BTreeSet<(u64, spec::JobId, u32)>,
    /// The jobs whose progress is to be written.
    pub(super) dirty: collections::VecDeque<spec::JobId>,
    /// The jobs whose rows are to be removed.
    pub(super) expired: Vec<spec::JobId>,
    /// Starts that wait for their commit.
    pub(super) staged: Vec<spec::TaskId>,
    /// The transaction under way.
    pub(super) pending: Option<commit::Pending>,
    /// When the last transaction was gathered.
    pub(super) committed: time::Duration,
    /// The number of commits.
    pub(super) commits: u64,
    /// When what waits was last counted.
    pub(super) counted_at: time::Duration,
    /// What waited then.
    pub(super) counted: kept::Waiting,
    /// Whether anything that placement looks at has changed.
    pub(super) changed: bool,
    /// When placement was last tried.
    pub(super) placed_at: time::Duration,
    /// What was learned of who harms whom.
    pub(super) model: harm::Model,
    /// The strains of serving tasks as they were last told.
    pub(super) strains: collections::BTreeMap<spec::TaskId, pace::Strain>,
    /// Whether a worker has seen a higher epoch.
    pub(super) fenced: bool,
    /// Whether the lease is to be given up.
    pub(super) leaving: bool,
    /// Effects that wait to be handed out.
    pub(super) out: Vec<engine::Effect>,
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
    /// The strain that one image is learned to cause another.
    pub harm: collections::BTreeMap<String, f64>,
}

impl Holding {
    /// Makes a holder that knows no job yet.
    pub(super) fn new(
        settings: engine::Settings,
        lease: kept::Lease,
        version: u64,
        (taken, inherited): (time::Duration, time::Duration),
        queues: sync::Arc<queue::Queues>,
    ) -> Self {
        Self {
            settings,
            lease,
            version,
            renewed: taken,
            taken,
            inherited,
            now: taken,
            wall_ms: 0,
            queues,
            jobs: collections::BTreeMap::new(),
            views: collections::BTreeMap::new(),
            placed: collections::BTreeMap::new(),
            ready: collections::BTreeMap::new(),
            future: collections::BTreeSet::new(),
            dirty: collections::VecDeque::new(),
            expired: Vec::new(),
            staged: Vec::new(),
            pending: None,
            committed: taken,
            commits: 0,
            counted_at: time::Duration::ZERO,
            counted: kept::Waiting::default(),
            changed: true,
            placed_at: time::Duration::ZERO,
            model: harm::Model::default(),
            strains: collections::BTreeMap::new(),
            fenced: false,
            leaving: false,
            out: Vec::new(),
        }
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
            harm: self.model.dump(),
        }
    }

    /// Asks to give the lease up as soon as everything is written.
    pub(super) fn leave(&mut self) {
        self.leaving = true;
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
        self.expire(now);
        self.free_lapsed(now);
    }

    /// Acts on what has happened and returns what is to be done.
    pub(super) fn pump(&mut self, now: time::Duration, number: u64) -> Vec<engine::Effect> {
        if self.may_order(now) && !self.leaving {
            self.place_ready(now);
            self.repeat_orders(now);
            self.look(now);
        }
        if let Some(effect) = self.commit(now, number) {
            self.out.push(effect);
        }
        std::mem::take(&mut self.out)
    }

    /// Takes in all rows of the domain.
    pub(super) fn load(&mut self, jobs: &[rows::Row], progress: &[rows::Row], now: time::Duration) {
        let mut known = collections::BTreeMap::new();
        for row in progress {
            let (Some(job), Some(text)) = (engine::job_of(row), &row.value) else {
                continue;
            };
            match progress::Progress::decode(text) {
                Ok(progress) => drop(known.insert(job, progress)),
                Err(err) => tracing::error!(%job, %err, "progress can't be read"),
            }
        }
        for row in jobs {
            let Some((job, accepted)) = read_job(row) else {
                continue;
            };
            let progress = known.remove(&job).unwrap_or_default();
            self.add_job(job, accepted, row.version, progress, now);
        }
    }

    /// Takes in rows of accepted jobs that were written.
    pub(super) fn jobs_read(&mut self, rows: &[rows::Row], now: time::Duration) {
        let part = kept::part(self.settings.domain);
        for row in rows.iter().filter(|row| row.part == part) {
            let Some((job, accepted)) = read_job(row) else {
                continue;
            };
            let cancelled = accepted.cancelled;
            if !self.jobs.contains_key(&job) {
                self.add_job(job, accepted, row.version, progress::Progress::default(), now);
            } else if cancelled {
                self.cancel(job, now);
            }
        }
    }

    /// Adds a job, with the tasks that may run and those whose turn has come.
    fn add_job(
        &mut self,
        job: spec::JobId,
        accepted: kept::Accepted,
        order: u64,
        progress: progress::Progress,
        now: time::Duration,
    ) {
        let kept::Accepted { job: spec, cancelled } = accepted;
        for (place, task) in &progress.tasks {
            let Some(worker) = &task.worker else {
                continue;
            };
            let placed = Placed {
                worker: worker.clone(),
                run: task.run,
                link: Link::Inherited,
                until_ms: 0,
                stopped: None,
            };
            self.placed.insert(place.of(job), placed);
        }
        let ended = progress.phase.ended().then_some(now);
        let spec = sync::Arc::new(spec);
        let (phase, rounds) = (progress.phase, spec.rounds());
        let due: Vec<u64> = (0..rounds).map(|round| spec.due_ms(round)).collect();
        let entry = Entry { job: spec, order, cancelled: false, progress, dirty: false, ended };
        self.jobs.insert(job, entry);
        if phase.ended() {
            return;
        }
        for (round, due_ms) in (0..rounds).zip(due) {
            if due_ms > self.wall_ms && due_ms > 0 {
                self.future.insert((due_ms, job, round));
            } else {
                self.open_round(job, round);
            }
        }
        tracing::debug!(%job, order, "job taken up");
        if cancelled {
            self.cancel(job, now);
        }
    }

    /// Puts up the tasks of a round whose turn has come.
    fn open_round(&mut self, job: spec::JobId, round: u32) {
        let Some(entry) = self.jobs.get(&job) else {
            return;
        };
        let steps = u32::try_from(entry.job.steps.len()).unwrap_or(0);
        for step in 0..steps {
            self.open_step(job, round, step);
        }
    }

    /// Puts up the tasks of a step if all steps before it are done.
    pub(super) fn open_step(&mut self, job: spec::JobId, round: u32, step: u32) {
        let Some(entry) = self.jobs.get(&job) else {
            return;
        };
        let Some(spec) = entry.job.step(step).filter(|_| entry.active()) else {
            return;
        };
        let due = entry.job.due_ms(round) <= self.wall_ms || entry.job.repeats.is_none();
        let open =
            spec.after.iter().all(|after| entry.progress.step_done(&entry.job, round, *after));
        if !due || !open {
            return;
        }
        let (priority, _) = self.terms(&entry.job);
        for index in 0..spec.count {
            let task = spec::TaskId { job, round, step, index };
            let done = entry.progress.tasks.get(&task.into()).is_some_and(|task| task.done);
            if !done && !self.placed.contains_key(&task) {
                let (lasting, order, since) = (spec.lasting, entry.order, self.now);
                let ready = Ready { task, priority, lasting, order, since };
                self.ready.entry(task).or_insert(ready);
            }
        }
        self.changed = true;
    }

    /// Returns the priority and the attempts that the queue of a job gives.
    pub(super) fn terms(&self, job: &spec::Job) -> (u32, u32) {
        let queue = self.queues.queues.get(&job.queue);
        queue.map_or((ORPHAN_PRIORITY, ORPHAN_ATTEMPTS), |q| (q.priority, q.max_attempts))
    }

    /// Returns the service whose workers run a job now.
    pub(super) fn service<'a>(&'a self, job: &'a spec::Job) -> &'a id::ServiceId {
        self.queues.queues.get(&job.queue).map_or(&job.service, |queue| &queue.service)
    }

    /// Notes that the row of a job's progress is to be written.
    pub(super) fn mark(&mut self, job: spec::JobId) {
        if let Some(entry) = self.jobs.get_mut(&job).filter(|entry| !entry.dirty) {
            entry.dirty = true;
            self.dirty.push_back(job);
        }
    }

    /// Cancels a job and stops what runs of it.
    fn cancel(&mut self, job: spec::JobId, now: time::Duration) {
        let Some(entry) = self.jobs.get_mut(&job).filter(|entry| entry.active()) else {
            return;
        };
        entry.cancelled = true;
        tracing::info!(%job, was = ?entry.progress.phase, "cancelled");
        self.end_job(job, progress::Phase::Cancelled, now);
    }

    /// Ends a job and stops what runs of it.
    pub(super) fn end_job(
        &mut self,
        job: spec::JobId,
        phase: progress::Phase,
        now: time::Duration,
    ) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        entry.progress.phase = phase;
        entry.ended = Some(now);
        self.ready.retain(|task, _| task.job != job);
        self.mark(job);
        let first = spec::TaskId { job, round: 0, step: 0, index: 0 };
        let tasks = self.placed.range(first..).take_while(|(task, _)| task.job == job);
        let tasks: Vec<spec::TaskId> = tasks.map(|(task, _)| *task).collect();
        for task in tasks {
            self.stop(task, now);
        }
    }

    /// Hands the rows of jobs that ended long ago to the next commit for removal.
    fn expire(&mut self, now: time::Duration) {
        let keep = self.settings.keep;
        let old = self.jobs.iter_mut().filter(|(_, entry)| {
            entry.ended.is_some_and(|ended| now.saturating_sub(ended) >= keep)
        });
        for (job, entry) in old {
            // One that is not removed after all is tried again after as long.
            entry.ended = Some(now);
            self.expired.push(*job);
        }
    }

    /// Gives a task's room back and puts it up again where it is still wanted.
    pub(super) fn free(&mut self, task: spec::TaskId, why: &'static str) {
        let Some(placed) = self.placed.remove(&task) else {
            return;
        };
        self.changed = true;
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
        self.staged.retain(|staged| *staged != task);
        tracing::info!(%task, run = placed.run, worker = %placed.worker, why, "task freed");
        self.mark(task.job);
        self.open_step(task.job, task.round, task.step);
    }

    /// Seeks workers for the tasks whose turn has come.
    fn place_ready(&mut self, now: time::Duration) {
        let again = now.saturating_sub(self.placed_at) >= place::RETRY;
        if self.pending.is_some() || self.ready.is_empty() || !(self.changed || again) {
            return;
        }
        if now.saturating_sub(self.committed) < self.settings.commit {
            return;
        }
        self.changed = false;
        self.placed_at = now;
        place::run(self, now);
    }
}

/// Reads the row of an accepted job.
fn read_job(row: &rows::Row) -> Option<(spec::JobId, kept::Accepted)> {
    let job = engine::job_of(row)?;
    let text = row.value.as_deref()?;
    match serde_json::from_str(text) {
        Ok(accepted) => Some((job, accepted)),
        Err(err) => {
            tracing::error!(%job, %err, "an accepted job can't be read");
            None
        }
    }
}

/// Makes the order for a placed task.
pub(super) fn order_for(
    placed: &Placed,
    addr: std::net::SocketAddr,
    task: spec::TaskId,
    epoch: u64,
) -> order::Order {
    order::Order { worker: placed.worker.clone(), addr, task, run: placed.run, epoch }
}
