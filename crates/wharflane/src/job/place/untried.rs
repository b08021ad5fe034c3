//! Starts starving tasks that passes don't come to.
//!
//! A pass ends once the groups before theirs have taken all starts that the host can send, and the
//! next one begins with groups that come first again. So a part of the starts is kept for tasks
//! that starve meanwhile, although most of their service is idle.

use std::collections;
use std::time;

use crate::id;
use crate::job::holding;
use crate::job::place::pass;
use crate::job::place::starvation;
use crate::job::runs::work;
use crate::job::spec;
use crate::job::workers::worker;

/// At most one start in this many is kept.
const STARTS_PER_KEPT: usize = 4;
/// Number of workers that are weighed for one of these tasks: there are many of them, and a pass that
/// weighs all workers for each delays all that follow.
const WORKERS_WEIGHED: usize = 16;
/// Maximum number of these tasks per pass for which all workers are weighed.
const MAX_FULL_SEARCHES: usize = 2;

/// What passes know of starving tasks that they did not come to.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::job) struct Untried {
    /// How many starts the next pass has use for.
    wanted: usize,
    /// How many starts were sent since the last one that was kept.
    others: usize,
    /// The task that was tried last; the next search begins after it.
    last: Option<spec::TaskId>,
}

/// Workers of a service in the order in which they are weighed: those with the least in use first.
type Candidates = collections::VecDeque<id::Incarnation>;

/// Returns how many of the starts that the host can send are kept in a pass.
pub(in crate::job) fn kept_starts(holding: &holding::Holding, startable: usize) -> usize {
    let is_due = startable > 0 && holding.untried.others + 1 >= STARTS_PER_KEPT;
    holding.untried.wanted.min((startable / STARTS_PER_KEPT).max(usize::from(is_due)))
}

/// Records which of the groups that a pass did not come to are starving though most of their service
/// is idle; `first` are the first tasks of these groups.
pub(in crate::job) fn note_starving(
    holding: &holding::Holding,
    pass: &mut pass::Pass,
    first: impl Iterator<Item = work::Ready>,
    now: time::Duration,
) {
    let mut idle = collections::BTreeMap::<id::ServiceId, bool>::new();
    for ready in first {
        let Some(entry) = holding.jobs.get(&ready.task.job).filter(|entry| entry.is_active())
        else {
            continue;
        };
        let service = &entry.policy.service;
        if !idle.contains_key(service) {
            idle.insert(service.clone(), starvation::is_mostly_idle(holding, service));
        }
        if idle[service] && starvation::is_starving(holding, &ready, now) {
            pass.untried.insert(ready.task, ready);
        }
    }
}

/// Starts tasks that the pass did not come to, in round-robin order, as many as starts were kept.
pub(in crate::job) fn relieve(
    holding: &mut holding::Holding,
    pass: &mut pass::Pass,
    now: time::Duration,
) {
    let staged = holding.staged.len();
    let mut started = 0;
    let mut full_searches = 0;
    let mut candidates = collections::BTreeMap::<id::ServiceId, Candidates>::new();
    let in_turn = starvation::in_turn(&pass.untried, holding.untried.last);
    for ready in in_turn.into_iter().take(pass.kept_starts) {
        let Some((service, step)) = starvation::waiting_step(holding, ready.task) else {
            continue;
        };
        let weighs_all = step.gang || holding.avoids_suspects(ready.task);
        if weighs_all && full_searches >= MAX_FULL_SEARCHES
            || holding.defers_start(&ready, &step, now)
        {
            continue;
        }
        holding.untried.last = Some(ready.task);
        pass.refresh_headroom_for(holding, &step, now);
        let found = if weighs_all {
            full_searches += 1;
            starvation::start(holding, &ready, &step, now)
        } else {
            let candidates = candidates
                .entry(service)
                .or_insert_with_key(|service| ordered(holding, service, now));
            start_on_one_of(holding, candidates, &ready, &step, now)
        };
        started += usize::from(found);
    }
    note_use(&mut holding.untried, pass, staged, started);
}

/// Records what a pass did with the starts that it kept. Where none could be used, the next pass
/// keeps one, so that tasks that fit nowhere don't hold back the others.
fn note_use(untried: &mut Untried, pass: &pass::Pass, others: usize, started: usize) {
    untried.others = if started > 0 { 0 } else { untried.others.saturating_add(others) };
    let is_futile = pass.kept_starts > 0 && started == 0;
    untried.wanted = pass.untried.len().min(if is_futile { 1 } else { usize::MAX });
}

/// Returns the workers of a service in the order in which they are weighed.
fn ordered(holding: &holding::Holding, service: &id::ServiceId, now: time::Duration) -> Candidates {
    let throttled = |view: &worker::View| {
        view.filling.values().filter(|filling| filling.started_throttled).count()
    };
    let views = holding.views.values().filter(|view| view.member.service == *service);
    let mut views: Vec<(bool, usize, u64, &worker::View)> = views
        .map(|view| {
            let in_use_percent = (view.part(view.at_work_milli()) * 1e2) as u64;
            (view.is_quarantined(now), throttled(view), in_use_percent, view)
        })
        .collect();
    views.sort_by_key(|(quarantined, throttled, in_use_percent, _)| {
        (*quarantined, *throttled, *in_use_percent)
    });
    views.into_iter().map(|(.., view)| view.member.incarnation.clone()).collect()
}

/// Starts a task on the worker of the lowest cost among the next few; returns whether one was found.
/// The chosen one becomes the last of the candidates, or all that were weighed if there is none.
fn start_on_one_of(
    holding: &mut holding::Holding,
    candidates: &mut Candidates,
    ready: &work::Ready,
    step: &spec::Step,
    now: time::Duration,
) -> bool {
    holding.worker_searches += 1;
    let image = holding.learned.interference.image(step.image.as_deref());
    let weighed = candidates.len().min(WORKERS_WEIGHED);
    let views = candidates.iter().take(weighed).filter_map(|worker| holding.views.get(worker));
    let found = starvation::choose_among(holding, views, (ready.task, step, image), None, now);
    let Some(worker) = found else {
        candidates.rotate_left(weighed);
        return false;
    };
    candidates.retain(|candidate| *candidate != worker);
    candidates.push_back(worker.clone());
    starvation::start_on(holding, ready, step, &worker, now);
    true
}
