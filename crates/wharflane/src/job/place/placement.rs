//! The placement pass: searches workers for waiting tasks in order of precedence.

use std::ops;
use std::sync;
use std::time;

use crate::id;
use crate::job::holding;
use crate::job::load::picture;
use crate::job::loss::isolation;
use crate::job::place::assign;
use crate::job::place::choose;
use crate::job::place::gang;
use crate::job::place::group;
use crate::job::place::obstacle;
use crate::job::place::outlook;
use crate::job::place::pass;
use crate::job::place::precedence;
use crate::job::place::ranking;
use crate::job::place::starvation;
use crate::job::runs::work;
use crate::job::spec;

/// One worker in this many may be reserved for returning long-running tasks; the others stay
/// available to batch tasks.
const WORKERS_PER_RESERVED: usize = 12;
/// Interval of passes while nothing changes, since quarantines and throttling end by time.
const PASS_INTERVAL: time::Duration = time::Duration::from_millis(100);

impl holding::Holding {
    /// Runs a placement pass if one is due.
    pub(in crate::job) fn place_ready(&mut self, now: time::Duration) {
        let again = now.saturating_sub(self.placed_at) >= PASS_INTERVAL;
        self.best_effort_waits &= !self.ready.is_empty();
        if self.ready.is_empty() {
            self.backlogs.clear();
        }
        if self.pending.is_some() || self.ready.is_empty() || !(self.changed || again) {
            return;
        }
        if now.saturating_sub(self.placed_at) < self.pace.pass_gap() {
            return;
        }
        if now.saturating_sub(self.committed) < self.commit_gap() || !self.closed_halls_known(now) {
            return;
        }
        self.changed = false;
        self.placed_at = now;
        self.passes += 1;
        run_pass(self, now);
    }
}

/// Waiting tasks of one step and round.
#[derive(Clone, Copy, Debug)]
struct Group {
    /// The first of the tasks.
    first: work::Ready,
    /// Whether they are long-running tasks that have run before and have been without a worker for
    /// some time.
    returning: bool,
}

/// Stages a start for each task that finds a worker.
fn run_pass(holding: &mut holding::Holding, now: time::Duration) {
    holding.reserved_workers.clear();
    holding.best_effort_waits = false;
    holding.held_back = false;
    let mut pass = pass::Pass { unknown_runs: holding.unknown_runs(now), ..pass::Pass::default() };
    let (groups, picture) = ordered_groups(holding, now);
    holding.tell_backlogs(&picture, now);
    for group in groups {
        if startable(holding, group.first.priority) == 0 {
            // The remaining tasks can start once the host and its link have capacity again.
            holding.changed = true;
            holding.held_back =
                holding.pace.starts(group.first.priority, holding.staged.len()) == 0;
            break;
        }
        place_group(holding, &mut pass, group, now);
    }
    starvation::relieve(holding, &mut pass, now);
    holding.forget_logged_waits();
}

/// Returns how many more starts of a priority this host and its link can send soon.
fn startable(holding: &holding::Holding, priority: u32) -> usize {
    let staged = holding.staged.len();
    holding.link.starts(staged).min(holding.pace.starts(priority, staged))
}

/// Searches workers for the tasks of one group until one finds none.
fn place_group(
    holding: &mut holding::Holding,
    pass: &mut pass::Pass,
    group: Group,
    now: time::Duration,
) {
    if holding.is_set_aside(group.first.task.job) {
        return;
    }
    let Some((job, service)) = active_job(holding, group.first.task.job) else {
        return remove_waiting(holding, group.first.task);
    };
    let Some(step) = job.step(group.first.task.step) else {
        return remove_waiting(holding, group.first.task);
    };
    if step.fills && !std::mem::replace(&mut pass.headroom_refreshed, true) {
        holding.refresh_headroom(now);
    }
    let mut ranking = None;
    let mut next = Some(group.first);
    while let Some(ready) = next {
        let is_at_work = !pass.unknown_runs.is_empty()
            && isolation::started_together(&ready, step)
                .any(|task| pass.unknown_runs.contains(&task));
        if is_at_work || holding.defers_start(&ready, step, now) {
            next = next_in_group(holding, &group, ready.task, now);
            continue;
        }
        let placed = if step.gang {
            gang::place(holding, &ready, step, choose::choose, now)
        } else if group.returning {
            place_returning(holding, &ready, step, now)
        } else {
            place_one(holding, pass, &mut ranking, &ready, (&service, step), now)
        };
        if !placed {
            holding.best_effort_waits |= step.fills;
            holding.log_wait(pass, &ready, step, now);
            starvation::note_if_starving(holding, pass, &ready, now);
            request_tickets(holding, ready.task, now);
        }
        let host_full = startable(holding, ready.priority) == 0;
        if !group.returning && !placed || step.gang || host_full {
            return;
        }
        next = next_in_group(holding, &group, ready.task, now);
    }
}

/// Returns the task of a group that follows a given one.
fn next_in_group(
    holding: &holding::Holding,
    group: &Group,
    after: spec::TaskId,
    now: time::Duration,
) -> Option<work::Ready> {
    let end = *group::siblings(after).end();
    let later = holding.ready.range((ops::Bound::Excluded(after), ops::Bound::Included(end)));
    let mut later = later.map(|(_, ready)| *ready);
    later.find(|ready| ready.is_overdue(now) == group.returning)
}

/// Removes the waiting tasks of a group whose job has ended.
fn remove_waiting(holding: &mut holding::Holding, task: spec::TaskId) {
    let siblings: Vec<spec::TaskId> =
        holding.ready.range(group::siblings(task)).map(|(task, _)| *task).collect();
    for task in siblings {
        holding.ready.remove(&task);
    }
}

/// Returns the groups of waiting tasks in order of precedence, and the picture that it follows.
fn ordered_groups(
    holding: &holding::Holding,
    now: time::Duration,
) -> (Vec<Group>, picture::Picture) {
    let mut groups = groups(holding, now);
    let picture = picture(holding, &groups);
    let precedence = |group: &Group| {
        let task = group.first.task;
        let entry = holding.jobs.get(&task.job).filter(|_| !group.first.lasting);
        let Some(entry) = entry else {
            return precedence::lasting(group.returning);
        };
        let need = picture.round((task.job, task.round));
        precedence::batch(need, &picture.queue(&entry.job.queue), group.first.accepted_version)
    };
    groups.sort_by_cached_key(|group| {
        (group.first.priority, precedence(group), group.first.accepted_version, group.first.task)
    });
    (groups, picture)
}

/// Returns the groups of waiting tasks, by id. Batch tasks of a group are alike in all that matters
/// here, so the first represents them all. Long-running ones are split by how long they have been
/// without a worker.
fn groups(holding: &holding::Holding, now: time::Duration) -> Vec<Group> {
    let mut groups = Vec::new();
    let mut next = holding.ready.first_key_value();
    while let Some((task, first)) = next {
        let siblings = group::siblings(*task);
        if first.lasting {
            let of = |returning| {
                let mut siblings = holding.ready.range(siblings.clone()).map(|(_, ready)| *ready);
                siblings
                    .find(|ready| ready.is_overdue(now) == returning)
                    .map(|first| Group { first, returning })
            };
            groups.extend([false, true].into_iter().filter_map(of));
        } else {
            groups.push(Group { first: *first, returning: false });
        }
        let after = (ops::Bound::Excluded(*siblings.end()), ops::Bound::Unbounded);
        next = holding.ready.range(after).next();
    }
    groups
}

/// Requests tickets for the waiting tasks of a step if its queue needs them.
fn request_tickets(holding: &mut holding::Holding, task: spec::TaskId, now: time::Duration) {
    if holding.needs_ticket(task) {
        let wanted = holding.ready.range(group::siblings(task)).count();
        holding.request_tickets(task, wanted, now);
    }
}

/// Reserves the free capacity of one worker for a long-running task, since batch tasks would
/// otherwise take every piece of it.
///
/// A worker where enough capacity becomes free when batch tasks end is preferred. Without this
/// preference, the worker with the most free CPU might be reserved although its capacity beside
/// long-running tasks stays just too small: after the loss of two racks and a quarter of 490
/// workers, returning tasks waited for 17 s, where 6 s are allowed. If long-running tasks hold
/// nearly all capacity, there is no such worker, and the largest free capacity grows only as they
/// are cancelled: without any reservation, a task waited for 21 s on 58 workers of which
/// long-running tasks held 94 %.
fn reserve_capacity(
    holding: &mut holding::Holding,
    task: spec::TaskId,
    step: &spec::Step,
    now: time::Duration,
) {
    let max_reserved = (holding.views.len() / WORKERS_PER_RESERVED).max(1);
    let entry =
        holding.jobs.get(&task.job).filter(|_| holding.reserved_workers.len() < max_reserved);
    let Some(entry) = entry else {
        return;
    };
    let service = &entry.policy.service;
    let best = holding
        .views
        .values()
        .filter(|view| !holding.reserved_workers.contains(&view.member.incarnation))
        .filter(|view| {
            obstacle::hard(view, service, task, step, now) == Some(obstacle::Obstacle::Room)
                && obstacle::preference(view, task, step, now).is_none()
        })
        .max_by_key(|view| (step.reserved().fits(&view.free_in_time()), view.free().cpu_milli));
    if let Some(worker) = best.map(|view| view.member.incarnation.clone()) {
        holding.reserved_workers.insert(worker);
    }
}

/// Returns the picture of all rounds with waiting batch tasks.
fn picture(holding: &holding::Holding, groups: &[Group]) -> picture::Picture {
    let mut picture = picture::Picture::default();
    let batch = groups.iter().map(|group| group.first).filter(|ready| !ready.lasting);
    for round in batch.map(|ready| (ready.task.job, ready.task.round)) {
        let Some(entry) = holding.jobs.get(&round.0) else {
            continue;
        };
        if picture.round(round).is_none() {
            picture.add(&entry.job.queue, round, outlook::need(holding, entry, round.1));
        }
    }
    picture
}

/// Returns a job and the service whose workers run it if it is active.
fn active_job(
    holding: &holding::Holding,
    job: spec::JobId,
) -> Option<(sync::Arc<spec::Job>, id::ServiceId)> {
    let entry = holding.jobs.get(&job).filter(|entry| entry.is_active())?;
    Some((sync::Arc::clone(&entry.job), entry.policy.service.clone()))
}

/// Places a returning task. All returning tasks may use the capacity that is reserved for any of
/// them.
fn place_returning(
    holding: &mut holding::Holding,
    ready: &work::Ready,
    step: &spec::Step,
    now: time::Duration,
) -> bool {
    let reserved = std::mem::take(&mut holding.reserved_workers);
    let worker = choose::choose(holding, ready.task, step, None, now);
    holding.reserved_workers.extend(reserved);
    match &worker {
        Some(worker) => assign::assign(holding, ready, step, worker, now),
        None => reserve_capacity(holding, ready.task, step, now),
    }
    worker.is_some()
}

/// Places one task; returns whether it found a worker.
fn place_one(
    holding: &mut holding::Holding,
    pass: &mut pass::Pass,
    ranking: &mut Option<ranking::Ranking>,
    ready: &work::Ready,
    (service, step): (&id::ServiceId, &spec::Step),
    now: time::Duration,
) -> bool {
    let image = holding.learned.interference.image(step.image.as_deref());
    if pass.unplaceable.rule_out(service, step, image) {
        return false;
    }
    let Some(worker) = choose_worker(holding, ranking, ready.task, step, now) else {
        let ticket = holding.needs_ticket(ready.task);
        pass.unplaceable.note(service, step, image, ticket);
        return false;
    };
    assign::assign(holding, ready, step, &worker, now);
    if let Some(ranking) = ranking {
        ranking.update(holding, ready.task, step, &worker, now);
    }
    true
}

/// Searches a worker for one task of a group by the group's ranking. A task gets a search of its
/// own if it differs from its siblings by a worker where it failed or that was lost under it, or if
/// its rack is preferred for its siblings.
fn choose_worker(
    holding: &mut holding::Holding,
    ranking: &mut Option<ranking::Ranking>,
    task: spec::TaskId,
    step: &spec::Step,
    now: time::Duration,
) -> Option<id::Incarnation> {
    let entry = holding.jobs.get(&task.job)?;
    let differs = choose::failed_on(entry, task).is_some() || holding.avoids_suspects(task);
    if step.same_rack || differs {
        return choose::choose(holding, task, step, None, now);
    }
    if ranking.is_none() {
        *ranking = ranking::Ranking::of(holding, task, step, now);
    }
    ranking.as_mut()?.pop_best(holding, task, step, now)
}
