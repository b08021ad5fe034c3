//! Starts one task of a job that waits in vain while most of its service is idle.
//!
//! Learned harm may be wrong, and nothing corrects it while the image does not run. Rests and room kept for
//! others are preferences. None of them may keep a job from all workers for longer than a bounded time.

use std::cmp;
use std::collections;
use std::sync;
use std::time;

use super::assign;
use super::choose;
use super::gang;
use super::holding;
use super::interference;
use super::obstacle;
use super::pass;
use super::spec;
use super::work;
use super::worker;
use crate::id;

/// How long a task waits in vain until it is in need. The users allow 3 s; a commit, a start and some tries on
/// workers that turn out not to take it are within the other half.
const NEED_AFTER: time::Duration = time::Duration::from_millis(1_500);
/// The part of a service's processors in use from which on nothing is expected of it, in percent; the users'.
const IN_USE_PERCENT: u64 = 50;
/// The least share at which a task in need works, in percent: what it strains can still be told from noise.
const LEAST_SHARE: f64 = 10.0;
/// One worker in so many may hold a task that was started in need and is held back still, so that this does
/// not become the usual way; its figures then tell how the others fare.
const EASED_PART: usize = 8;
/// The most tasks in need for which a worker is sought in one pass; each search looks at all workers.
const MOST_SOUGHT: usize = 2;

/// Notes a task that found no worker, where it is in need.
pub(super) fn note(
    holding: &holding::Holding,
    pass: &mut pass::Pass,
    ready: &work::Ready,
    now: time::Duration,
) {
    let waited = now.saturating_sub(ready.since);
    if waited >= NEED_AFTER && (ready.lasting || !works(holding, ready.task.job)) {
        pass.in_need.insert(ready.task, *ready);
    }
}

/// Starts one of the tasks in need, by turns.
pub(super) fn relieve(holding: &mut holding::Holding, pass: &pass::Pass, now: time::Duration) {
    let mut idle = collections::BTreeMap::<id::ServiceId, bool>::new();
    let mut sought = 0;
    let last = holding.relieved_last;
    let later = pass.in_need.iter().filter(|(task, _)| Some(**task) > last);
    let earlier = pass.in_need.iter().filter(|(task, _)| Some(**task) <= last);
    for ready in later.chain(earlier).map(|(_, ready)| ready) {
        let Some((job, step)) = wanted(holding, ready.task) else {
            continue;
        };
        let service = holding.service(&job);
        let idle = match idle.get(service) {
            Some(idle) => *idle,
            None => *idle.entry(service.clone()).or_insert(is_idle(holding, service)),
        };
        if !idle || step.fills && !may_ease(holding, &step) {
            continue;
        }
        if sought >= MOST_SOUGHT {
            return;
        }
        sought += 1;
        holding.relieved_last = Some(ready.task);
        if start(holding, ready, &step, now) {
            return;
        }
    }
}

/// Returns whether anything of a job is at work, or on its way there.
fn works(holding: &holding::Holding, job: spec::JobId) -> bool {
    let first = spec::TaskId { job, round: 0, step: 0, index: 0 };
    let mut placed = holding.placed.range(first..).take_while(|(task, _)| task.job == job);
    placed.any(|(_, placed)| match placed.start_state {
        work::StartState::Staged
        | work::StartState::Ordered
        | work::StartState::Confirmed(_)
        | work::StartState::Inherited => true,
        work::StartState::Orphaned
        | work::StartState::Unanswered(_)
        | work::StartState::Expiring => false,
    })
}

/// Returns job and step of a task that still waits.
fn wanted(
    holding: &holding::Holding,
    task: spec::TaskId,
) -> Option<(sync::Arc<spec::Job>, spec::Step)> {
    let entry = holding.jobs.get(&task.job).filter(|_| holding.ready.contains_key(&task))?;
    Some((sync::Arc::clone(&entry.job), entry.job.step(task.step)?.clone()))
}

/// Returns whether less than a part of a service's processors are in use, by shares.
fn is_idle(holding: &holding::Holding, service: &id::ServiceId) -> bool {
    let views =
        holding.views.values().filter(|view| view.listed && view.member.service == *service);
    let (used, whole) = views.fold((0, 0), |(used, whole), view| {
        (used + view.at_work_milli(), whole + view.member.capacity.cpu_milli)
    });
    used * 100 < whole * IN_USE_PERCENT
}

/// Returns whether one more step may have tasks that are held back from their start.
fn may_ease(holding: &holding::Holding, step: &spec::Step) -> bool {
    let filling = holding.views.values().flat_map(|view| view.filling.values());
    let eased = filling.filter(|filling| filling.started_throttled).count();
    let members = if step.gang { step.count as usize } else { 1 };
    eased == 0 || eased + members <= holding.views.len() / EASED_PART
}

/// Starts a task in need, or its whole gang; returns whether workers were found.
fn start(
    holding: &mut holding::Holding,
    ready: &work::Ready,
    step: &spec::Step,
    now: time::Duration,
) -> bool {
    if step.gang {
        let placed = gang::place(holding, ready, step, seek, now);
        for index in (0..step.count).filter(|_| placed) {
            let task = spec::TaskId { index, ..ready.task };
            ease(holding, &work::Ready { task, ..*ready }, step, now);
        }
        return placed;
    }
    let Some(worker) = seek(holding, ready.task, step, None, now) else {
        return false;
    };
    assign::take(holding, ready, step, &worker, now);
    ease(holding, ready, step, now);
    true
}

/// What speaks against a worker for a task in need, the graver first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Cost {
    /// A target is being missed there.
    missed: bool,
    /// It rests after failures.
    rests: bool,
    /// Its room is kept for another task.
    kept: bool,
    /// The tasks there that are held back from their start.
    eased: usize,
    /// The share of the task that its serving tasks do not bear.
    unborne: f64,
    /// The part of its processors that is in use.
    used: f64,
}

/// Returns the worker that a task in need does least harm to, or nothing.
fn seek(
    holding: &mut holding::Holding,
    task: spec::TaskId,
    step: &spec::Step,
    within: Option<&str>,
    now: time::Duration,
) -> Option<id::Incarnation> {
    holding.worker_searches += 1;
    let image = holding.learned.interference.image(step.image.as_deref());
    let holding = &*holding;
    let entry = holding.jobs.get(&task.job)?;
    let service = holding.service(&entry.job);
    let state = entry.progress.tasks.get(&task.into());
    let avoided = state.and_then(|state| state.failed_on.as_ref());
    let harms = choose::harms(holding, step, image);
    let kept_off = |view: &worker::View| {
        obstacle::plain(view, service, task, step, view.takes_in_need(task, now))
            .or_else(|| holding.without_ticket(&entry.job, task, &view.member.incarnation, now))
    };
    let weigh = |view: &worker::View| {
        let worker = &view.member.incarnation;
        let outside = within.is_some() && view.member.rack.as_deref() != within;
        let again = view.is_quarantined(now) && avoided == Some(worker);
        if outside || again || kept_off(view).is_some() {
            return None;
        }
        if step.fills && holding.missed_long(worker, now) {
            return None;
        }
        Some(cost(holding, view, step, &harms, now))
    };
    let before = |a: &Cost, b: &Cost| a.partial_cmp(b) == Some(cmp::Ordering::Less);
    choose::cheapest(holding, weigh, before)
}

/// Returns what speaks against a worker for a task in need.
fn cost(
    holding: &holding::Holding,
    view: &worker::View,
    step: &spec::Step,
    harms: &[f64],
    now: time::Duration,
) -> Cost {
    let headroom = holding.headroom(view, now);
    let part = view.part(step.size.cpu_milli);
    let strain =
        |image: interference::Image| harms.get(image.number()).copied().unwrap_or(0.0) * part;
    let left = headroom.left.iter().map(|(image, left)| (*left, strain(*image)));
    Cost {
        missed: step.fills && headroom.missed,
        rests: view.is_quarantined(now),
        kept: holding.kept_for.contains(&view.member.incarnation),
        eased: view.filling.values().filter(|filling| filling.started_throttled).count(),
        unborne: if step.fills { 1.0 - borne(left) } else { 0.0 },
        used: view.part(view.at_work_milli()),
    }
}

/// Returns which share of a task serving tasks bear, by what each has left and the strain of the whole task.
fn borne(left: impl Iterator<Item = (f64, f64)>) -> f64 {
    let shares =
        left.map(|(left, strain)| if strain > 0.0 { left / (strain * choose::SURGE) } else { 1.0 });
    shares.fold(1.0, f64::min)
}

/// Holds a task in need back from its start on, as far as its neighbours don't bear it.
fn ease(
    holding: &mut holding::Holding,
    ready: &work::Ready,
    step: &spec::Step,
    now: time::Duration,
) {
    let Some(worker) = holding.placed.get(&ready.task).map(|placed| placed.worker.clone()) else {
        return;
    };
    let Some(view) = holding.views.get(&worker) else {
        return;
    };
    let (strain, room, borne) = told(holding, view, ready.task, now);
    let percent = (borne * 1e2).clamp(LEAST_SHARE, 1e2) as u8;
    holding.starvation_starts += 1;
    tracing::info!(
        task = %ready.task,
        waited_ms = worker::millis(now.saturating_sub(ready.since)),
        %worker,
        share = percent,
        strain,
        room,
        rests = view.is_quarantined(now),
        kept = holding.kept_for.contains(&worker),
        fills = step.fills,
        relieved = holding.starvation_starts,
        "started in need"
    );
    let view = holding.views.get_mut(&worker);
    if let Some(filling) = view.and_then(|view| view.filling.get_mut(&ready.task)) {
        filling.percent = percent;
        filling.started_throttled = percent < 100;
        filling.paced |= filling.started_throttled;
        filling.share_unsent = filling.started_throttled;
    }
    holding.refresh_headroom_of(&worker, now);
}

/// Returns the greatest strain of a placed task on its neighbours, the least that they have left beside it,
/// and the share of the task that they bear.
fn told(
    holding: &holding::Holding,
    view: &worker::View,
    task: spec::TaskId,
    now: time::Duration,
) -> (f64, f64, f64) {
    let Some(filling) = view.filling.get(&task) else {
        return (0.0, 1.0, 1.0);
    };
    let part = view.part(filling.cpu_milli);
    // What is left is told with the task at work.
    let beside = holding.headroom(view, now).left.into_iter().map(|(serving, left)| {
        let strain = holding.learned.interference.slope(serving, filling.image) * part;
        (left + strain, strain)
    });
    let beside: Vec<(f64, f64)> = beside.collect();
    let strain = beside.iter().map(|(_, strain)| *strain).fold(0.0, f64::max);
    let room = beside.iter().map(|(left, _)| *left).fold(1.0, f64::min);
    (strain, room, borne(beside.into_iter()))
}
