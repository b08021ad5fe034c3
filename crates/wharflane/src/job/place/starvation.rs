//! Bounds the time for which a task that could run waits, over all reasons of the engine together.
//!
//! Learned interference, quarantines, workers reserved for suspects and capacity reserved for
//! returning tasks are preferences: each keeps a task from workers that could run it. Learned
//! interference may be wrong, and nothing corrects it while the image does not run; the others may
//! follow one another without end. So all of them give way to a task that has waited for too long.

use std::cmp;
use std::collections;
use std::time;

use crate::id;
use crate::job::holding;
use crate::job::learn::interference;
use crate::job::loss::isolation;
use crate::job::place::assign;
use crate::job::place::choose;
use crate::job::place::gang;
use crate::job::place::obstacle;
use crate::job::place::pass;
use crate::job::runs::work;
use crate::job::spec;
use crate::job::workers::worker;

/// How long a task waits without a worker until it counts as starving. The requirement allows 3 s;
/// the other half covers a commit, a start and some attempts on workers that turn out not to accept
/// the task.
const STARVATION_DELAY: time::Duration = time::Duration::from_millis(1_500);
/// How long a job may run nothing until preferences give way to its batch tasks that come back from
/// a lost worker. The requirement allows 3 s; the rest covers a commit, a start and one more
/// attempt.
const MAX_IDLE: time::Duration = time::Duration::from_millis(2_000);
/// Reserved CPU of a service, in percent, from which on other tasks don't count as starving; given
/// by the requirement.
const BUSY_PERCENT: u64 = 50;
/// Lowest share at which the starving tasks of one worker run together, in percent, so that their
/// strain can be distinguished from noise.
const MIN_SHARE_PERCENT: f64 = 10.0;
/// Lowest share at which one of them runs, in percent.
const MIN_SHARE_EACH_PERCENT: f64 = 2.0;
/// Maximum number of starving tasks that are started per pass; each search evaluates all workers.
const MAX_STARTS_PER_PASS: usize = 8;
/// Maximum number of searches within `FAILED_SEARCHES_WINDOW` that find no worker.
const MAX_FAILED_SEARCHES: usize = 8;
/// The time over which these are counted, so that their cost does not grow with the rate of passes.
const FAILED_SEARCHES_WINDOW: time::Duration = time::Duration::from_millis(100);

/// Records a task that found no worker if it is starving.
pub(in crate::job) fn note_if_starving(
    holding: &holding::Holding,
    pass: &mut pass::Pass,
    ready: &work::Ready,
    now: time::Duration,
) {
    if is_starving(holding, ready, now) {
        pass.starving.insert(ready.task, *ready);
    }
}

/// Returns whether a task has waited for so long that its job counts as starving.
pub(in crate::job) fn is_starving(
    holding: &holding::Holding,
    ready: &work::Ready,
    now: time::Duration,
) -> bool {
    let has_waited = now.saturating_sub(ready.since) >= STARVATION_DELAY;
    if ready.lasting {
        return has_waited;
    }
    let came_back =
        assign::last_run(holding, ready.task) > 0 && is_idle(holding, ready.task.job, now);
    (has_waited || came_back) && !has_active_task(holding, ready.task.job)
}

/// Returns whether a job has run nothing for `MAX_IDLE`, counted from the last answer that showed a
/// task of it running: the loss of a worker becomes known only later.
fn is_idle(holding: &holding::Holding, job: spec::JobId, now: time::Duration) -> bool {
    let entry = holding.jobs.get(&job);
    entry.is_some_and(|entry| now.saturating_sub(entry.last_ran) >= MAX_IDLE)
}

/// Returns whether a batch task must no longer be deferred for its isolation, since its job has run
/// nothing for long although most of its service is idle.
pub(in crate::job) fn ends_deferral(
    holding: &holding::Holding,
    ready: &work::Ready,
    now: time::Duration,
) -> bool {
    let Some(entry) = holding.jobs.get(&ready.task.job).filter(|_| !ready.lasting) else {
        return false;
    };
    is_idle(holding, ready.task.job, now)
        && !has_active_task(holding, ready.task.job)
        && is_mostly_idle(holding, &entry.policy.service)
}

/// What one placement pass did for its starving tasks, for operators. Those that were not tried,
/// since enough others were, are in none of the counts but `starving`.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::job) struct Relief {
    /// The starving tasks, at most the first of each group.
    pub starving: usize,
    /// Those in a service that is not mostly idle.
    pub busy: usize,
    /// Those that were started, gangs counted once.
    pub started: usize,
    /// Those for which no worker was found.
    pub unplaced: usize,
}

/// The searches for starving tasks that recently found no worker.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::job) struct FailedSearches {
    /// When the current window began.
    since: time::Duration,
    /// The number of these searches in that window.
    count: usize,
}

impl FailedSearches {
    /// Returns whether one more search may fail now; begins a new window if the last one is over.
    fn allows_another(&mut self, now: time::Duration) -> bool {
        if now.saturating_sub(self.since) >= FAILED_SEARCHES_WINDOW {
            *self = Self { since: now, count: 0 };
        }
        self.count < MAX_FAILED_SEARCHES
    }
}

/// Starts starving tasks in round-robin order, a bounded number per pass.
pub(in crate::job) fn relieve(
    holding: &mut holding::Holding,
    pass: &mut pass::Pass,
    now: time::Duration,
) {
    let mut relief = Relief { starving: pass.starving.len(), ..Relief::default() };
    let mut idle = collections::BTreeMap::<id::ServiceId, bool>::new();
    for ready in in_turn(holding, pass) {
        if relief.started >= MAX_STARTS_PER_PASS || !holding.failed_searches.allows_another(now) {
            break;
        }
        let Some((service, step)) = waiting_step(holding, ready.task) else {
            continue;
        };
        let is_idle = *idle
            .entry(service.clone())
            .or_insert_with_key(|service| is_mostly_idle(holding, service));
        if !is_idle && !ready.is_overdue(now) {
            relief.busy += 1;
            continue;
        }
        let image = holding.learned.interference.image(step.image.as_deref());
        if pass.no_worker_left.rule_out(&service, &step, image) {
            continue;
        }
        holding.last_starving = Some(ready.task);
        if start(holding, &ready, &step, now) {
            relief.started += 1;
            continue;
        }
        relief.unplaced += 1;
        holding.failed_searches.count += 1;
        // A gang that does not fit as a whole says nothing about single tasks.
        if !step.gang {
            let ticket = holding.needs_ticket(ready.task);
            pass.no_worker_left.note(&service, &step, image, ticket);
        }
    }
    // The next pass goes on as soon as these starts are committed. Each group has only one task
    // among the starving ones of a pass.
    holding.changed |= relief.started > 0;
    holding.relief = relief;
}

/// Returns the starving tasks in the order in which they are tried: those after the last one that
/// was tried, then the others.
fn in_turn(holding: &holding::Holding, pass: &pass::Pass) -> Vec<work::Ready> {
    let last = holding.last_starving;
    let later = pass.starving.iter().filter(|(task, _)| Some(**task) > last);
    let earlier = pass.starving.iter().filter(|(task, _)| Some(**task) <= last);
    later.chain(earlier).map(|(_, ready)| *ready).collect()
}

/// Returns whether any task of a job runs or is about to.
fn has_active_task(holding: &holding::Holding, job: spec::JobId) -> bool {
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
fn waiting_step(
    holding: &holding::Holding,
    task: spec::TaskId,
) -> Option<(id::ServiceId, spec::Step)> {
    let entry = holding.jobs.get(&task.job).filter(|_| holding.ready.contains_key(&task))?;
    Some((entry.policy.service.clone(), entry.job.step(task.step)?.clone()))
}

/// Returns whether the CPU reserved on a service's workers is below `BUSY_PERCENT`.
fn is_mostly_idle(holding: &holding::Holding, service: &id::ServiceId) -> bool {
    let (reserved, whole) = reserved_milli(holding, service);
    reserved * 100 < whole * BUSY_PERCENT
}

/// Returns the CPU reserved on a service's workers and their whole CPU, in thousandths of a core.
/// What best-effort tasks use beyond that is free for others, by the requirement.
fn reserved_milli(holding: &holding::Holding, service: &id::ServiceId) -> (u64, u64) {
    let views =
        holding.views.values().filter(|view| view.listed && view.member.service == *service);
    views.fold((0, 0), |(reserved, whole), view| {
        (reserved + view.used.cpu_milli, whole + view.member.capacity.cpu_milli)
    })
}

impl holding::Holding {
    /// Returns the CPU reserved on the workers of a task's service, in percent, by the account that
    /// decides whether starving tasks are started.
    pub(in crate::job) fn in_use_percent(&self, task: spec::TaskId) -> Option<u64> {
        let entry = self.jobs.get(&task.job)?;
        let (reserved, whole) = reserved_milli(self, &entry.policy.service);
        (reserved * 100).checked_div(whole)
    }
}

/// Starts a starving task or its whole gang; returns whether workers were found.
fn start(
    holding: &mut holding::Holding,
    ready: &work::Ready,
    step: &spec::Step,
    now: time::Duration,
) -> bool {
    if step.gang {
        let placed = gang::place(holding, ready, step, choose_worker, now);
        for index in (0..step.count).filter(|_| placed) {
            let task = spec::TaskId { index, ..ready.task };
            throttle(holding, &work::Ready { task, ..*ready }, step, now);
        }
        return placed;
    }
    let Some(worker) = choose_worker(holding, ready.task, step, None, now) else {
        return false;
    };
    assign::assign(holding, ready, step, &worker, now);
    throttle(holding, ready, step, now);
    true
}

/// The cost of a worker for a starving task, compared field by field in this order.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Cost {
    /// Whether the task last failed there.
    failed_here: bool,
    /// Whether a best-effort task would run beside a task that misses its target.
    target_missed: bool,
    /// Whether the worker is in quarantine after failures.
    quarantined: bool,
    /// The cost of isolating the task, if it must be.
    isolation: isolation::IsolationCost,
    /// Whether the worker is reserved for the isolated start of a suspect, which may crash it.
    isolated: bool,
    /// Whether its capacity is reserved for another task.
    reserved: bool,
    /// The number of its tasks that were started throttled.
    throttled: usize,
    /// The fraction of the task that its serving tasks can't tolerate.
    excess: f64,
    /// The fraction of its CPU in use.
    cpu_used: f64,
}

/// Returns the worker of the lowest cost for a starving task, or `None`.
fn choose_worker(
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
    let service = &entry.policy.service;
    let failed_worker = choose::failed_on(entry, task);
    let strains = choose::best_effort_strains(holding, step, image);
    let obstacle_at = |view: &worker::View| {
        obstacle::hard(view, service, task, step, now)
            .or_else(|| holding.ticket_obstacle(entry, task, &view.member.incarnation, now))
    };
    // Both tasks would count a loss of the worker, and it might fail both jobs.
    let is_isolated_from = |view: &worker::View| {
        let other = view.reserved_for.filter(|reserved| *reserved != task);
        other.is_some_and(|other| {
            holding.has_one_loss_left(task)
                || holding.has_losses(task) && holding.has_one_loss_left(other)
        })
    };
    let evaluate = |view: &worker::View| {
        let worker = &view.member.incarnation;
        let outside = within.is_some() && view.member.rack.as_deref() != within;
        if outside || is_isolated_from(view) || obstacle_at(view).is_some() {
            return None;
        }
        if step.fills && holding.misses_too_long(worker, now) {
            return None;
        }
        let failed_here = failed_worker == Some(worker);
        Some(Cost { failed_here, ..cost(holding, view, (task, step), &strains, now) })
    };
    let is_cheaper = |a: &Cost, b: &Cost| a.partial_cmp(b) == Some(cmp::Ordering::Less);
    choose::cheapest(holding, evaluate, is_cheaper)
}

/// Returns the cost of a worker for a starving task.
fn cost(
    holding: &holding::Holding,
    view: &worker::View,
    (task, step): (spec::TaskId, &spec::Step),
    strains: &[f64],
    now: time::Duration,
) -> Cost {
    let headroom = holding.known_headroom(view, now);
    let part = view.part(step.size.cpu_milli);
    let strain =
        |image: interference::Image| strains.get(image.number()).copied().unwrap_or(0.0) * part;
    let left = headroom.left.iter().map(|(image, left)| (*left, strain(*image)));
    Cost {
        failed_here: false,
        target_missed: step.fills && headroom.missed,
        quarantined: view.is_quarantined(now),
        isolation: if holding.avoids_suspects(task) {
            isolation::IsolationCost::of(holding, task, view, now)
        } else {
            isolation::IsolationCost::default()
        },
        isolated: view.reserved_for.is_some_and(|reserved| reserved != task),
        reserved: holding.reserved_workers.contains(&view.member.incarnation),
        throttled: view.filling.values().filter(|filling| filling.started_throttled).count(),
        excess: if step.fills { 1.0 - tolerable_fraction(left) } else { 0.0 },
        cpu_used: view.part(view.at_work_milli()),
    }
}

/// Returns the fraction of a task that serving tasks can tolerate, from the headroom of each and
/// the strain of the whole task on it.
fn tolerable_fraction(left: impl Iterator<Item = (f64, f64)>) -> f64 {
    let shares = left.map(
        |(left, strain)| if strain > 0.0 { left / (strain * choose::PEAK_FACTOR) } else { 1.0 },
    );
    shares.fold(1.0, f64::min)
}

/// Throttles a starving task from its start, down to the fraction that its neighbours can tolerate.
fn throttle(
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
    let (strain, room, tolerable_fraction) = strain_and_headroom(holding, view, ready.task, now);
    let throttled = view.filling.values().filter(|filling| filling.started_throttled).count();
    let least = (MIN_SHARE_PERCENT / (1 + throttled) as f64).max(MIN_SHARE_EACH_PERCENT);
    let percent = (tolerable_fraction * 1e2).clamp(least, 1e2) as u8;
    holding.starvation_starts += 1;
    tracing::info!(
        task = %ready.task,
        waited_ms = worker::millis(now.saturating_sub(ready.since)),
        %worker,
        share = percent,
        strain,
        room,
        rests = view.is_quarantined(now),
        isolated = view.reserved_for.is_some_and(|reserved| reserved != ready.task),
        kept = holding.reserved_workers.contains(&worker),
        losses = holding.losses(ready.task).all(),
        fills = step.fills,
        relieved = holding.starvation_starts,
        "started a starving task"
    );
    let view = holding.views.get_mut(&worker);
    if let Some(filling) = view.and_then(|view| view.filling.get_mut(&ready.task)) {
        filling.percent = percent;
        filling.started_throttled = percent < 100;
        filling.was_throttled |= filling.started_throttled;
        filling.share_unsent = filling.started_throttled;
    }
    holding.refresh_headroom_of(&worker, now);
}

/// Returns the greatest strain of a placed task on its neighbours, their least headroom without it,
/// and the fraction of the task that they can tolerate.
fn strain_and_headroom(
    holding: &holding::Holding,
    view: &worker::View,
    task: spec::TaskId,
    now: time::Duration,
) -> (f64, f64, f64) {
    let Some(filling) = view.filling.get(&task) else {
        return (0.0, 1.0, 1.0);
    };
    let part = view.part(filling.cpu_milli);
    // The headroom already accounts for the placed task.
    let neighbours = holding.headroom(view, now).left.into_iter().map(|(serving, left)| {
        let strain = holding.learned.interference.slope(serving, filling.image) * part;
        (left + strain, strain)
    });
    let neighbours: Vec<(f64, f64)> = neighbours.collect();
    let strain = neighbours.iter().map(|(_, strain)| *strain).fold(0.0, f64::max);
    let room = neighbours.iter().map(|(left, _)| *left).fold(1.0, f64::min);
    (strain, room, tolerable_fraction(neighbours.into_iter()))
}
