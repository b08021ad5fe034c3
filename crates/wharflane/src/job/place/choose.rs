//! Chooses a worker for a task: one where it fits, near its data, with the least interference.

use std::cmp;
use std::time;

use crate::id;
use crate::job::holding;
use crate::job::learn::interference;
use crate::job::loss::isolation;
use crate::job::place::group;
use crate::job::place::obstacle;
use crate::job::runs::work;
use crate::job::spec;
use crate::job::workers::worker;

/// Minimum CPU that must be left for a best-effort task, as a fraction of what it requests.
const MIN_BEST_EFFORT_FRACTION: f64 = 0.8;
/// Fraction of a worker's CPU below which a remainder is too small for most batch tasks.
const MIN_USEFUL_FRACTION: f64 = 0.15;
/// Cost of leaving an unusably small fragment of CPU, relative to one more image on the worker.
const FRAGMENT_WEIGHT: f64 = 1.5;
/// Strain that one more best-effort task may always cause, since a tail latency hardly shows it.
const NEGLIGIBLE_STRAIN: f64 = 0.015;
/// Factor by which the interference of a task may exceed its average for some seconds, since tasks
/// work in phases.
pub(in crate::job) const PEAK_FACTOR: f64 = 2.0;
/// Weight of a worker's idle CPU against the strain on its serving tasks.
const IDLE_WEIGHT: f64 = 0.1;

/// Returns the best worker for a task, or `None`; with `within`, only workers of that rack count.
/// Workers reserved for returning tasks are excluded.
pub(in crate::job) fn choose(
    holding: &mut holding::Holding,
    task: spec::TaskId,
    step: &spec::Step,
    within: Option<&str>,
    now: time::Duration,
) -> Option<id::Incarnation> {
    holding.worker_searches += 1;
    let image = holding.learned.interference.image(step.image.as_deref());
    let holding = &*holding;
    let search = Search::of(holding, task, step, image, now)?;
    let outside = |view: &worker::View| within.is_some() && view.member.rack.as_deref() != within;
    let isolated = holding.avoids_suspects(task);
    let evaluate = |view: &worker::View| {
        let cost = if outside(view) { None } else { search.evaluate(holding, view) };
        let isolation_cost = || isolation::IsolationCost::of(holding, task, view, now);
        cost.map(|cost| {
            (if isolated { isolation_cost() } else { isolation::IsolationCost::default() }, cost)
        })
    };
    let is_cheaper = |a: &(isolation::IsolationCost, Cost),
                      b: &(isolation::IsolationCost, Cost)| {
        a.0.cmp(&b.0).then_with(|| a.1.compare(&b.1)).is_lt()
    };
    cheapest(holding, evaluate, is_cheaper)
}

/// The criteria of a search for a worker.
pub(in crate::job) struct Search<'a> {
    /// The task to place.
    task: spec::TaskId,
    /// The step of the task.
    step: &'a spec::Step,
    /// The image that the task runs.
    image: interference::Image,
    /// The job of the task, with its progress.
    entry: &'a work::Entry,
    /// The service whose workers may run the task.
    service: &'a id::ServiceId,
    /// The preferred rack: the one with the data, or the one where siblings run.
    preferred_rack: Option<&'a str>,
    /// The worker where the task last failed.
    failed_worker: Option<&'a id::Incarnation>,
    /// Average strain that the task would cause each serving image if it used a whole worker,
    /// indexed by the number of the image; empty unless the task is best-effort.
    strains: Vec<f64>,
    /// Whether the worker needs a ticket for the step.
    needs_ticket: bool,
    /// The time of the search, by the clock of the engine.
    now: time::Duration,
}

impl<'a> Search<'a> {
    /// Returns the search criteria for a task, or `None` if its job is unknown.
    pub fn of(
        holding: &'a holding::Holding,
        task: spec::TaskId,
        step: &'a spec::Step,
        image: interference::Image,
        now: time::Duration,
    ) -> Option<Self> {
        let entry = holding.jobs.get(&task.job)?;
        let preferred_rack = step.rack.as_deref().or_else(|| sibling_rack(holding, task, step));
        Some(Self {
            task,
            step,
            image,
            entry,
            service: &entry.policy.service,
            preferred_rack,
            failed_worker: failed_on(entry, task),
            strains: best_effort_strains(holding, step, image),
            needs_ticket: holding.advice_timing(entry, task).is_some(),
            now,
        })
    }

    /// Returns the cost of a worker, or `None` if it can't take the task.
    pub fn evaluate(&self, holding: &holding::Holding, view: &worker::View) -> Option<Cost> {
        let (step, now) = (self.step, self.now);
        if obstacle::plain(view, self.service, self.task, step, now).is_some() {
            return None;
        }
        if holding.reserved_workers.contains(&view.member.incarnation) {
            return None;
        }
        if self.needs_ticket
            && holding
                .ticket_obstacle(self.entry, self.task, &view.member.incarnation, now)
                .is_some()
        {
            return None;
        }
        let off_rack =
            self.preferred_rack.is_some() && view.member.rack.as_deref() != self.preferred_rack;
        let failed_here = self.failed_worker == Some(&view.member.incarnation);
        let score = cost(holding, view, step, self.image, &self.strains, now)?;
        Some(Cost { failed_here, off_rack, score })
    }
}

/// Returns the worker where a task last failed.
pub(in crate::job) fn failed_on(
    entry: &work::Entry,
    task: spec::TaskId,
) -> Option<&id::Incarnation> {
    let state = entry.progress.tasks.get(&task.into());
    state.filter(|state| !state.failed_runs.is_empty())?.failed_on.as_ref()
}

/// Returns the worker of the lowest cost, the first among equals; `None` excludes a worker.
pub(in crate::job) fn cheapest<C>(
    holding: &holding::Holding,
    evaluate: impl Fn(&worker::View) -> Option<C>,
    is_cheaper: impl Fn(&C, &C) -> bool,
) -> Option<id::Incarnation> {
    let mut best: Option<(C, &worker::View)> = None;
    for view in holding.views.values() {
        let Some(cost) = evaluate(view) else {
            continue;
        };
        if best.as_ref().is_none_or(|(least, _)| is_cheaper(&cost, least)) {
            best = Some((cost, view));
        }
    }
    best.map(|(_, view)| view.member.incarnation.clone())
}

/// Returns the average strain that a task would cause each serving image, indexed by the number of
/// the image. The list is empty for tasks that are not best-effort.
pub(in crate::job) fn best_effort_strains(
    holding: &holding::Holding,
    step: &spec::Step,
    image: interference::Image,
) -> Vec<f64> {
    if !step.fills {
        return Vec::new();
    }
    holding.learned.interference.slopes_of(image)
}

/// Returns the rack where a sibling of a task runs, for steps that are slower across racks.
fn sibling_rack<'a>(
    holding: &'a holding::Holding,
    task: spec::TaskId,
    step: &spec::Step,
) -> Option<&'a str> {
    if !step.same_rack {
        return None;
    }
    let (_, sibling) = holding.placed.range(group::siblings(task)).next()?;
    holding.views.get(&sibling.worker)?.member.rack.as_deref()
}

/// The cost of a worker for a task, compared field by field in this order.
#[derive(Clone, Copy, Debug)]
pub(in crate::job) struct Cost {
    /// Whether the task last failed there.
    failed_here: bool,
    /// Whether the worker is outside the preferred rack.
    off_rack: bool,
    /// Score by kind of task; lower is better.
    score: f64,
}

impl Cost {
    /// Compares two costs.
    pub fn compare(&self, other: &Self) -> cmp::Ordering {
        let preference =
            (self.failed_here, self.off_rack).cmp(&(other.failed_here, other.off_rack));
        preference.then(self.score.total_cmp(&other.score))
    }
}

/// Returns the score of a worker by kind of task, or `None` if interference forbids the task there.
pub(in crate::job) fn cost(
    holding: &holding::Holding,
    view: &worker::View,
    step: &spec::Step,
    image: interference::Image,
    strains: &[f64],
    now: time::Duration,
) -> Option<f64> {
    if step.fills {
        return best_effort_cost(holding, view, step, strains, now);
    }
    let left = view.part(view.free().cpu_milli);
    if step.target_ms.is_none() {
        return Some(left);
    }
    // Serving tasks of one image share workers, which leaves other workers to tasks that would
    // interfere with that image.
    let others = view.serving.values().filter(|serving| serving.image != image).count();
    let empty = if view.serving.is_empty() { 0.5 } else { 0.0 };
    Some(others as f64 + empty + left + fragmentation_cost(view, step))
}

/// Returns the cost of a CPU remainder that would be too small for most batch tasks.
fn fragmentation_cost(view: &worker::View, step: &spec::Step) -> f64 {
    let left = view.part(view.free().minus(&step.reserved()).cpu_milli);
    if left < MIN_USEFUL_FRACTION { left / MIN_USEFUL_FRACTION * FRAGMENT_WEIGHT } else { 0.0 }
}

/// Returns the strain that a best-effort task would add, minus a small bonus for idle CPU, or
/// `None` if a serving task can't tolerate it.
fn best_effort_cost(
    holding: &holding::Holding,
    view: &worker::View,
    step: &spec::Step,
    strains: &[f64],
    now: time::Duration,
) -> Option<f64> {
    let headroom = holding.known_headroom(view, now);
    let left = (view.free().cpu_milli + headroom.idle_milli).saturating_sub(view.filling_milli);
    let wanted = step.size.cpu_milli;
    if (left as f64) < wanted as f64 * MIN_BEST_EFFORT_FRACTION {
        return None;
    }
    if headroom.missed {
        return None;
    }
    let part = view.part(wanted);
    let mut worst = 0.0_f64;
    for (serving, room) in &headroom.left {
        let strain = strains.get(serving.number()).copied().unwrap_or(0.0) * part * PEAK_FACTOR;
        if strain > room.max(NEGLIGIBLE_STRAIN) {
            return None;
        }
        worst = worst.max(strain);
    }
    Some(worst - view.part(left) * IDLE_WEIGHT)
}
