//! Chooses a worker for a task: where it fits, near its data, and harms least.

use std::borrow;
use std::cmp;
use std::time;

use super::group;
use super::holding;
use super::interference;
use super::isolation;
use super::obstacle;
use super::spec;
use super::work;
use super::worker;
use crate::id;

/// The share of a lasting task's processors that it is taken to use.
const SERVING_USE_PERCENT: u64 = 50;
/// The least part of its processors that a task that fills should find.
const FILL_LEAST: f64 = 0.8;
/// The part of a worker's processors that most tasks that end find enough.
const USEFUL_ROOM: f64 = 0.15;
/// What a room left too small weighs against one more image on a worker.
const SCRAP_WEIGHT: f64 = 1.5;
/// The strain that one more neighbour may always cause; a tail hardly shows it.
const HARMLESS: f64 = 0.015;
/// How much more than on average a task may harm for some seconds: tasks work in phases.
pub(super) const SURGE: f64 = 2.0;
/// What a worker's idle processors weigh against the strain on its serving tasks.
const IDLE_WEIGHT: f64 = 0.1;

/// Returns the best worker for a task, within one rack where it is given, or nothing; workers whose
/// room is kept for others don't count.
pub(super) fn choose(
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
    let kept_off = holding.avoids_suspects(task);
    let weigh = |view: &worker::View| {
        let cost = if outside(view) { None } else { search.weigh(holding, view) };
        let stake = || isolation::IsolationCost::of(holding, task, view, now);
        cost.map(|cost| {
            (if kept_off { stake() } else { isolation::IsolationCost::default() }, cost)
        })
    };
    let before = |a: &(isolation::IsolationCost, Cost), b: &(isolation::IsolationCost, Cost)| {
        a.0.cmp(&b.0).then_with(|| a.1.compare(&b.1)).is_lt()
    };
    cheapest(holding, weigh, before)
}

/// What a worker is sought by.
pub(super) struct Search<'a> {
    /// The task.
    task: spec::TaskId,
    /// Its step.
    step: &'a spec::Step,
    /// What it runs.
    image: interference::Image,
    /// Its job.
    job: &'a spec::Job,
    /// The service whose workers run it.
    service: &'a id::ServiceId,
    /// The rack that it had better run in.
    near: Option<&'a str>,
    /// The worker where it failed last.
    avoided: Option<&'a id::Incarnation>,
    /// The strain that it causes each serving image, by the image's number.
    harms: Vec<f64>,
    /// Whether a ticket is wanted.
    advised: bool,
    /// The time.
    now: time::Duration,
}

impl<'a> Search<'a> {
    /// Returns what a worker for a task is sought by, or nothing for a job that is not known.
    pub fn of(
        holding: &'a holding::Holding,
        task: spec::TaskId,
        step: &'a spec::Step,
        image: interference::Image,
        now: time::Duration,
    ) -> Option<Self> {
        let entry = holding.jobs.get(&task.job)?;
        let near = step.rack.as_deref().or_else(|| kin_rack(holding, task, step));
        Some(Self {
            task,
            step,
            image,
            job: &entry.job,
            service: holding.service(&entry.job),
            near,
            avoided: failed_on(entry, task),
            harms: harms(holding, step, image),
            advised: holding.terms_of_advice(&entry.job).is_some(),
            now,
        })
    }

    /// Returns what speaks against a worker, or nothing where it does not take the task.
    pub fn weigh(&self, holding: &holding::Holding, view: &worker::View) -> Option<Cost> {
        let (step, now) = (self.step, self.now);
        if obstacle::plain(view, self.service, self.task, step, view.takes(self.task, now))
            .is_some()
        {
            return None;
        }
        if holding.kept_for.contains(&view.member.incarnation) {
            return None;
        }
        if self.advised
            && holding.without_ticket(self.job, self.task, &view.member.incarnation, now).is_some()
        {
            return None;
        }
        let away = self.near.is_some() && view.member.rack.as_deref() != self.near;
        let again = self.avoided == Some(&view.member.incarnation);
        let order = cost(holding, view, step, self.image, &self.harms, now)?;
        Some(Cost { again, away, order })
    }
}

/// Returns the worker where a task failed last.
pub(super) fn failed_on(entry: &work::Entry, task: spec::TaskId) -> Option<&id::Incarnation> {
    let state = entry.progress.tasks.get(&task.into());
    state.filter(|state| !state.failed_runs.is_empty())?.failed_on.as_ref()
}

/// Returns the worker of the least cost among those that have one, the first of equals.
pub(super) fn cheapest<C>(
    holding: &holding::Holding,
    weigh: impl Fn(&worker::View) -> Option<C>,
    before: impl Fn(&C, &C) -> bool,
) -> Option<id::Incarnation> {
    let mut best: Option<(C, &worker::View)> = None;
    for view in holding.views.values() {
        let Some(cost) = weigh(view) else {
            continue;
        };
        if best.as_ref().is_none_or(|(least, _)| before(&cost, least)) {
            best = Some((cost, view));
        }
    }
    best.map(|(_, view)| view.member.incarnation.clone())
}

/// Returns the strain that a task causes each serving image on average, by the image's number; none for
/// tasks that don't fill.
pub(super) fn harms(
    holding: &holding::Holding,
    step: &spec::Step,
    image: interference::Image,
) -> Vec<f64> {
    if !step.fills {
        return Vec::new();
    }
    holding.learned.interference.slopes_of(image)
}

/// Returns the rack where a task of the same step runs, for steps that are slower across racks.
fn kin_rack<'a>(
    holding: &'a holding::Holding,
    task: spec::TaskId,
    step: &spec::Step,
) -> Option<&'a str> {
    if !step.same_rack {
        return None;
    }
    let (_, kin) = holding.placed.range(group::kin(task)).next()?;
    holding.views.get(&kin.worker)?.member.rack.as_deref()
}

/// What speaks against a worker, the graver first.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    /// The task failed there last.
    again: bool,
    /// Its data or its kin lie on another rack.
    away: bool,
    /// The rest, by kind of task.
    order: f64,
}

impl Cost {
    /// Returns how this cost compares with another.
    pub fn compare(&self, other: &Self) -> cmp::Ordering {
        let graver = (self.again, self.away).cmp(&(other.again, other.away));
        graver.then(self.order.total_cmp(&other.order))
    }
}

/// Returns the cost of a worker by kind of task, or nothing where the task would do harm.
pub(super) fn cost(
    holding: &holding::Holding,
    view: &worker::View,
    step: &spec::Step,
    image: interference::Image,
    harms: &[f64],
    now: time::Duration,
) -> Option<f64> {
    if step.fills {
        return fill_cost(holding, view, step, harms, now);
    }
    let left = view.part(view.free().cpu_milli);
    if step.target_ms.is_none() {
        return Some(left);
    }
    // Serving tasks of one image together leave other workers to what would harm them.
    let others = view.serving.values().filter(|serving| serving.image != image).count();
    let empty = if view.serving.is_empty() { 0.5 } else { 0.0 };
    Some(others as f64 + empty + left + scrap(view, step))
}

/// Returns what speaks against a room that would be left too small for most tasks that end.
fn scrap(view: &worker::View, step: &spec::Step) -> f64 {
    let left = view.part(view.free().minus(&step.reserved()).cpu_milli);
    if left < USEFUL_ROOM { left / USEFUL_ROOM * SCRAP_WEIGHT } else { 0.0 }
}

/// Returns the harm of a task that fills, with a little for processors that are short.
fn fill_cost(
    holding: &holding::Holding,
    view: &worker::View,
    step: &spec::Step,
    harms: &[f64],
    now: time::Duration,
) -> Option<f64> {
    let left = left_for_filling(view);
    let want = step.size.cpu_milli;
    if (left as f64) < want as f64 * FILL_LEAST {
        return None;
    }
    let known = view.headroom.as_ref().map(borrow::Cow::Borrowed);
    let headroom = known.unwrap_or_else(|| borrow::Cow::Owned(holding.headroom(view, now)));
    if headroom.missed {
        return None;
    }
    let part = view.part(want);
    let mut worst = 0.0_f64;
    for (serving, room) in &headroom.left {
        let strain = harms.get(serving.number()).copied().unwrap_or(0.0) * part * SURGE;
        if strain > room.max(HARMLESS) {
            return None;
        }
        worst = worst.max(strain);
    }
    Some(worst - view.part(left) * IDLE_WEIGHT)
}

/// Returns the processors that a worker is thought to leave to tasks that fill.
fn left_for_filling(view: &worker::View) -> u64 {
    let idle = view.lasting.cpu_milli * (100 - SERVING_USE_PERCENT) / 100;
    (view.free().cpu_milli + idle).saturating_sub(view.filling_milli)
}
