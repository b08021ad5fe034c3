//! Tells the loss of a single worker from one of many losses with a common cause.
//!
//! A task that crashes its worker takes that worker alone. Where many workers are lost at one
//! moment, a share of all or far more than at other times, something else failed, and the tasks
//! there only happened to run there.
//!
//! A worker falls silent at once and is known to be lost only later; those of one moment become
//! known seconds apart. So a loss stays open for a while before it counts as that of a single
//! worker, and by then workers that have been silent since the same moment count as lost with it.

use std::collections;
use std::time;

use crate::id;
use crate::job::holding;
use crate::job::loss::crash;
use crate::job::runs::work;
use crate::job::spec;
use crate::job::workers::worker;

/// Workers that fall silent within this time of each other may have been lost at one moment.
const SAME_MOMENT: time::Duration = time::Duration::from_millis(150);
/// Runs that began within this time of each other may have begun in the same placement pass.
const SAME_START: time::Duration = time::Duration::from_millis(250);
/// Losses are correlated if at least one other worker in this many was lost at the same moment.
const CORRELATED_DIVISOR: usize = 8;
/// They are so too if at least this many others were lost at that moment, as many as share a rack,
/// and more than chance brings together at the rate of the recent losses.
const MIN_BURST: usize = 8;
/// The time before a loss in which others show the rate of losses.
const RATE_WINDOW: time::Duration = time::Duration::from_secs(10);
/// By how many standard deviations a burst exceeds the losses that the rate explains.
const BURST_DEVIATIONS: f64 = 3.0;
/// The minimum number of other workers of correlated losses.
const MIN_CORRELATED: usize = 2;
/// How many idle workers are asked at most when a worker falls silent; so many show how large a
/// share is lost.
const MAX_ASKED: usize = 64;
/// How long lost workers are remembered: longer than a silent worker is missing until its loss
/// counts.
const REMEMBERED_FOR: time::Duration = time::Duration::from_secs(60);
/// Maximum number of lost workers that are remembered.
const MAX_REMEMBERED: usize = 4_096;

/// A worker that was lost.
#[derive(Debug)]
struct LostWorker {
    /// The incarnation that is over.
    worker: id::Incarnation,
    /// When it fell silent.
    silent_since: time::Duration,
    /// The runs there of tasks that had lost a worker before.
    suspects: Vec<Began>,
}

/// When a run on a lost worker was first confirmed; absent if it never was.
type Began = Option<time::Duration>;

/// A loss that still has to be told from a correlated one.
#[derive(Debug)]
struct OpenLoss {
    /// The worker that was lost.
    worker: id::Incarnation,
    /// When it fell silent.
    silent_since: time::Duration,
    /// The tasks against which the loss counts.
    losses: Vec<crash::CountedLoss>,
}

impl OpenLoss {
    /// Returns whether another worker was lost at the same moment.
    fn is_simultaneous(&self, lost: &LostWorker) -> bool {
        let apart = lost.silent_since.abs_diff(self.silent_since);
        lost.worker != self.worker && apart <= SAME_MOMENT
    }

    /// Returns whether another worker was lost so shortly before that it shows the rate of losses.
    fn is_recent(&self, lost: &LostWorker) -> bool {
        let since = self.silent_since.saturating_sub(RATE_WINDOW);
        lost.worker != self.worker && (since..self.silent_since).contains(&lost.silent_since)
    }

    /// Returns whether it has been open for so long that no further worker is awaited.
    fn is_due(&self, now: time::Duration) -> bool {
        now >= self.silent_since + crash::MAX_DETECTION
    }

    /// Returns whether a task may have crashed the other worker at the same moment as one crashed
    /// this worker: both began at the same time, and tasks that are alike crash their workers after
    /// the same time.
    fn is_suspected(&self, lost: &LostWorker) -> bool {
        self.has_begun_with_any(&lost.suspects)
    }

    /// Returns whether a task of this loss began at the same time as one of some suspects, or may
    /// have.
    fn has_begun_with_any(&self, suspects: &[Began]) -> bool {
        suspects.iter().any(|suspect| self.began_with(*suspect))
    }

    /// Returns whether a task of this loss began at the same time as a suspect, or may have.
    fn began_with(&self, suspect: Began) -> bool {
        let mut losses = self.losses.iter();
        losses.any(|loss| match (loss.began, suspect) {
            (Some(one), Some(other)) => one.abs_diff(other) <= SAME_START,
            _ => true,
        })
    }
}

/// The other workers that were lost at the same moment as one.
#[derive(Clone, Copy, Debug, Default)]
struct Others {
    /// The number of those that no task there is suspected to have crashed.
    unsuspected: usize,
    /// The number of the others.
    suspected: usize,
    /// The number of workers that answer and have such a suspect, so that they would have been lost
    /// too if that was the cause.
    spared: usize,
    /// The number of unsuspected ones that were lost within `RATE_WINDOW` before this loss or at
    /// its moment.
    recent: usize,
}

impl Others {
    /// Returns how many unsuspected ones show a common cause, given the number of workers of which
    /// a loss is noticed at once.
    fn needed(self, observed: usize) -> usize {
        let compared = observed.saturating_sub(self.suspected + self.spared);
        let share = compared / CORRELATED_DIVISOR;
        let moment = SAME_MOMENT.as_secs_f64() * 2.0 / RATE_WINDOW.as_secs_f64();
        let expected = self.recent as f64 * moment;
        let burst = (expected + BURST_DEVIATIONS * expected.sqrt()).ceil() as usize;
        share.min(burst.max(MIN_BURST)).max(MIN_CORRELATED)
    }
}

/// The workers that are not known to be lost.
#[derive(Debug, Default)]
struct Remaining {
    /// Those that don't answer.
    silent: Vec<LostWorker>,
    /// For each that answers, the runs there of tasks that had lost a worker before, if any.
    suspects: Vec<Vec<Began>>,
}

/// How a loss was decided.
#[derive(Debug)]
struct Decided {
    /// The loss.
    loss: OpenLoss,
    /// The other workers that were lost at the same moment.
    others: Others,
    /// Whether these are enough for a common cause.
    correlated: bool,
}

/// The recent losses of workers, and those of them that are still open.
#[derive(Debug, Default)]
pub(in crate::job) struct CorrelatedLosses {
    /// The workers that were lost, in the order in which that became known.
    workers: collections::VecDeque<LostWorker>,
    /// The open losses.
    open: Vec<OpenLoss>,
    /// Whether a loss was added since the open ones were last compared with the others.
    changed: bool,
}

impl CorrelatedLosses {
    /// Adds a worker that was lost, or suspects to one that is known as such.
    fn add_worker(&mut self, lost: LostWorker, now: time::Duration) {
        if let Some(known) = self.workers.iter_mut().find(|known| known.worker == lost.worker) {
            known.suspects.extend(lost.suspects);
            return;
        }
        let since = now.saturating_sub(REMEMBERED_FOR);
        self.workers.retain(|known| known.silent_since >= since);
        if self.workers.len() >= MAX_REMEMBERED {
            self.workers.pop_front();
        }
        self.workers.push_back(lost);
        self.changed = true;
    }

    /// Returns the other workers that were lost at the same moment.
    fn others(&self, loss: &OpenLoss, remaining: &Remaining) -> Others {
        let mut others = Others::default();
        for lost in self.workers.iter().chain(&remaining.silent) {
            let at_once = loss.is_simultaneous(lost);
            if !at_once && !loss.is_recent(lost) {
                continue;
            }
            if loss.is_suspected(lost) {
                others.suspected += usize::from(at_once);
            } else {
                others.unsuspected += usize::from(at_once);
                others.recent += 1;
            }
        }
        let spared = remaining.suspects.iter();
        others.spared = spared.filter(|suspects| loss.has_begun_with_any(suspects)).count();
        others
    }

    /// Returns whether a loss has been open for so long that it is decided by what is known.
    fn has_due(&self, now: time::Duration) -> bool {
        self.open.iter().any(|loss| loss.is_due(now))
    }

    /// Removes and returns the open losses that are correlated, given the number of workers of
    /// which a loss is noticed at once, and those that are due. For these, the remaining workers
    /// are compared too.
    fn take_decided(
        &mut self,
        observed: usize,
        remaining: &Remaining,
        now: time::Duration,
    ) -> Vec<Decided> {
        self.changed = false;
        let mut decided = Vec::new();
        for loss in std::mem::take(&mut self.open) {
            let is_due = loss.is_due(now);
            let others = if is_due {
                self.others(&loss, remaining)
            } else {
                self.others(&loss, &Remaining::default())
            };
            let correlated = others.unsuspected >= others.needed(observed);
            if correlated || is_due {
                decided.push(Decided { loss, others, correlated });
            } else {
                self.open.push(loss);
            }
        }
        decided
    }

    /// Returns the number of workers lost since a time without a common cause, on which no task
    /// ran that had lost a worker before.
    pub fn single_losses(&self, since: time::Duration, observed: usize) -> usize {
        let recent = self.workers.iter().filter(|lost| lost.silent_since >= since);
        let mut moments: Vec<time::Duration> =
            recent.clone().map(|lost| lost.silent_since).collect();
        moments.sort_unstable();
        let needed = (observed / CORRELATED_DIVISOR).clamp(MIN_CORRELATED, MIN_BURST);
        let is_single = |lost: &&LostWorker| {
            let first = lost.silent_since.saturating_sub(SAME_MOMENT);
            let last = lost.silent_since + SAME_MOMENT;
            let from = moments.partition_point(|at| *at < first);
            let to = moments.partition_point(|at| *at <= last);
            to - from <= needed
        };
        let unsuspected = recent.filter(|lost| lost.suspects.is_empty());
        unsuspected.filter(is_single).count()
    }

    /// Returns the open losses of a task.
    pub fn open_losses(&self, task: spec::TaskId) -> impl Iterator<Item = &crash::CountedLoss> {
        let losses = self.open.iter().flat_map(|open| &open.losses);
        losses.filter(move |loss| loss.task == task)
    }

    /// Takes back that a worker was lost.
    pub fn take_back(&mut self, worker: &id::Incarnation) {
        self.workers.retain(|lost| lost.worker != *worker);
        self.open.retain(|open| open.worker != *worker);
    }

    /// Drops the open losses of a task.
    pub fn forget(&mut self, task: spec::TaskId) {
        for open in &mut self.open {
            open.losses.retain(|loss| loss.task != task);
        }
    }
}

impl holding::Holding {
    /// Records that a worker was lost, with the tasks there that had lost one before. Its loss
    /// stays open for the tasks against which it counts.
    pub(in crate::job) fn note_lost_worker(
        &mut self,
        worker: &id::Incarnation,
        suspects: Vec<Began>,
        mut losses: Vec<crash::CountedLoss>,
    ) {
        let view = self.views.get(worker).filter(|view| !view.member.leaving);
        let Some(silent_since) = view.and_then(|view| view.silent_since) else {
            return;
        };
        let worker = worker.clone();
        losses.retain(|loss| may_be_chance(loss, silent_since));
        if !losses.is_empty() {
            let worker = worker.clone();
            self.correlated.open.push(OpenLoss { worker, silent_since, losses });
            self.correlated.changed = true;
        }
        self.correlated.add_worker(LostWorker { worker, silent_since, suspects }, self.now);
    }

    /// Sends heartbeats to idle workers at once when a worker falls silent under a task that lost
    /// one before, while workers are being lost. Idle workers get few heartbeats, and it would be
    /// unknown which of them were lost at the same moment.
    pub(in crate::job) fn ask_idle_workers(
        &mut self,
        silent: &id::Incarnation,
        now: time::Duration,
    ) {
        let tasks = self.views.get(silent).map(|view| &view.tasks);
        let has_suspect =
            tasks.is_some_and(|tasks| tasks.iter().any(|task| self.has_losses(*task)));
        if !has_suspect || self.correlated.workers.is_empty() {
            return;
        }
        let unasked = |view: &worker::View| {
            view.listed
                && view.tasks.is_empty()
                && view.missed_heartbeats == 0
                && view.heartbeat_sent.is_none()
                && self.services.contains(&view.member.service)
        };
        let idle = self.views.iter().filter(|(_, view)| unasked(view));
        let idle: Vec<id::Incarnation> = idle.map(|(worker, _)| worker.clone()).collect();
        let asked = idle.len().min(MAX_ASKED);
        tracing::info!(
            worker = %silent, asked, idle = idle.len(),
            "asking idle workers since a worker fell silent under a suspect"
        );
        for number in 0..asked {
            if let Some(view) = self.views.get_mut(&idle[number * idle.len() / asked]) {
                let gap_over = view.last_answer.map(|(_, at)| at + worker::HEARTBEAT_GAP);
                view.heartbeat_due = gap_over.unwrap_or(now).max(now);
            }
        }
    }

    /// Decides for each open loss whether it was correlated, as soon as that is known.
    pub(in crate::job) fn decide_open_losses(&mut self, now: time::Duration) {
        let has_due = self.correlated.has_due(now);
        if self.correlated.open.is_empty() || !self.correlated.changed && !has_due {
            return;
        }
        let remaining = if has_due { self.remaining_workers() } else { Remaining::default() };
        let idle = self.views.values().filter(|view| view.tasks.is_empty()).count();
        let observed = self.views.len() - idle + idle.min(MAX_ASKED);
        let decided = self.correlated.take_decided(observed, &remaining, now);
        for Decided { loss, others, correlated } in decided {
            tracing::info!(
                worker = %loss.worker, tasks = loss.losses.len(), observed,
                unsuspected = others.unsuspected, suspected = others.suspected,
                spared = others.spared, recent = others.recent,
                needed = others.needed(observed), silent = remaining.silent.len(),
                silent_ms = worker::millis(now.saturating_sub(loss.silent_since)), correlated,
                "loss of a worker compared with others at the same moment"
            );
            for counted in &loss.losses {
                if correlated {
                    self.discount_loss(counted);
                }
                self.fail_job_after_losses(counted.task, now);
            }
        }
    }

    /// Returns the workers that are not known to be lost, with the suspects there.
    fn remaining_workers(&self) -> Remaining {
        let mut remaining = Remaining::default();
        let lost = self.correlated.workers.iter().map(|lost| &lost.worker);
        let lost: collections::BTreeSet<&id::Incarnation> = lost.collect();
        let views = self.views.iter().filter(|(_, view)| !view.member.leaving);
        for (worker, view) in views.filter(|(worker, _)| !lost.contains(worker)) {
            let suspects = view.tasks.iter().filter(|task| self.has_losses(**task));
            let placed = suspects.filter_map(|task| self.placed.get(task));
            let suspects: Vec<Began> = placed.map(work::Placed::confirmed_at).collect();
            if let Some(silent_since) = view.silent_since {
                let worker = worker.clone();
                remaining.silent.push(LostWorker { worker, silent_since, suspects });
            } else if !suspects.is_empty() {
                remaining.suspects.push(suspects);
            }
        }
        remaining
    }

    /// Takes back that a loss counts against a task as that of a single worker.
    fn discount_loss(&mut self, counted: &crash::CountedLoss) {
        let entry = self.jobs.get_mut(&counted.task.job);
        let state = entry.and_then(|entry| entry.progress.tasks.get_mut(&counted.task.into()));
        let Some(state) = state else {
            return;
        };
        state.losses.discount(counted);
        self.mark_task(counted.task);
    }
}

/// Returns whether a worker may have been lost by chance while a task ran there. Few losses by
/// chance come at the very moment at which a run begins, but those that its start causes do.
fn may_be_chance(loss: &crash::CountedLoss, silent_since: time::Duration) -> bool {
    loss.began.is_some_and(|began| silent_since > began + SAME_MOMENT)
}
