//! Seeks workers for the tasks whose turn has come, the first in line first.

use std::collections;
use std::ops;
use std::sync;
use std::time;

use super::assign;
use super::choose;
use super::gang;
use super::group;
use super::holding;
use super::obstacle;
use super::outlook;
use super::pass;
use super::ranking;
use super::spec;
use super::starvation;
use super::work;
use crate::id;

/// How long a lasting task that was at work may be away until it goes first; the users allow 6 s, a
/// start takes 50 ms.
const LONG_AWAY: time::Duration = time::Duration::from_millis(3_000);
/// One worker in so many may be kept for lasting tasks that come back; shorter work has the others.
const KEPT_PART: usize = 12;
/// The time between two tries while nothing has changed, since rests and paces end by time.
const RETRY: time::Duration = time::Duration::from_millis(100);

impl holding::Holding {
    /// Seeks workers for the tasks whose turn has come.
    pub(super) fn place_ready(&mut self, now: time::Duration) {
        let again = now.saturating_sub(self.placed_at) >= RETRY;
        self.fills_wait &= !self.ready.is_empty();
        if self.pending.is_some() || self.ready.is_empty() || !(self.changed || again) {
            return;
        }
        if now.saturating_sub(self.committed) < self.commit_gap() || !self.knows_closed(now) {
            return;
        }
        self.changed = false;
        self.placed_at = now;
        run(self, now);
    }
}

/// The order among tasks of one priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Turn {
    /// A lasting task that was at work and has been away for some time.
    Returning,
    /// A task that ends: somebody waits for its end, and its room is soon free again.
    Ending(outlook::Outlook),
    /// A lasting task that is new, or was away for a moment only.
    Lasting,
}

/// Tasks of one step that wait together.
#[derive(Clone, Copy, Debug)]
struct Group {
    /// The first of them.
    first: work::Ready,
    /// Whether they are lasting ones that were at work and have been away for long.
    returning: bool,
}

/// Stages a start for each task that finds a worker.
fn run(holding: &mut holding::Holding, now: time::Duration) {
    holding.kept_for.clear();
    holding.fills_wait = false;
    let mut pass = pass::Pass::default();
    for group in in_turn(holding, now) {
        if holding.link.starts(holding.staged.len()) == 0 {
            // What could start next follows as soon as the link takes it.
            holding.changed = true;
            break;
        }
        place_group(holding, &mut pass, group, now);
    }
    starvation::relieve(holding, &pass, now);
    holding.forget_told();
}

/// Seeks workers for the tasks of one group, until one finds none.
fn place_group(
    holding: &mut holding::Holding,
    pass: &mut pass::Pass,
    group: Group,
    now: time::Duration,
) {
    if holding.is_aside(group.first.task.job) {
        return;
    }
    let Some(job) = active_job(holding, group.first.task.job) else {
        return forget(holding, group.first.task);
    };
    let Some(step) = job.step(group.first.task.step) else {
        return forget(holding, group.first.task);
    };
    if step.fills && !std::mem::replace(&mut pass.weighed, true) {
        holding.refresh_headroom(now);
    }
    let mut ranking = None;
    let mut next = Some(group.first);
    while let Some(ready) = next {
        if holding.defers_start(&ready, step, now) {
            next = next_of(holding, &group, ready.task, now);
            continue;
        }
        let placed = if step.gang {
            gang::place(holding, &ready, step, choose::choose, now)
        } else if group.returning {
            place_returning(holding, &ready, step, now)
        } else {
            place_one(holding, pass, &mut ranking, &ready, (&job, step), now)
        };
        if !placed {
            holding.fills_wait |= step.fills;
            holding.tell_wait(pass, &ready, step, now);
            starvation::note(holding, pass, &ready, now);
            ask_workers(holding, ready.task, now);
        }
        let full = holding.link.starts(holding.staged.len()) == 0;
        if !group.returning && !placed || step.gang || full {
            return;
        }
        next = next_of(holding, &group, ready.task, now);
    }
}

/// Returns the next task of a group after one of them.
fn next_of(
    holding: &holding::Holding,
    group: &Group,
    after: spec::TaskId,
    now: time::Duration,
) -> Option<work::Ready> {
    let end = *group::kin(after).end();
    let later = holding.ready.range((ops::Bound::Excluded(after), ops::Bound::Included(end)));
    let mut later = later.map(|(_, ready)| *ready);
    later.find(|ready| returns(ready, now) == group.returning)
}

/// Forgets tasks that nobody wants any more.
fn forget(holding: &mut holding::Holding, task: spec::TaskId) {
    let kin: Vec<spec::TaskId> =
        holding.ready.range(group::kin(task)).map(|(task, _)| *task).collect();
    for task in kin {
        holding.ready.remove(&task);
    }
}

/// Returns the groups of tasks whose turn has come, the first in line first.
fn in_turn(holding: &holding::Holding, now: time::Duration) -> Vec<Group> {
    let mut groups = groups(holding, now);
    let outlooks = outlooks(holding, &groups);
    let turn = |group: &Group| {
        let task = group.first.task;
        let outlook = outlooks.get(&(task.job, task.round)).copied();
        match outlook.filter(|_| !group.first.lasting) {
            Some(outlook) => Turn::Ending(outlook),
            None if group.returning => Turn::Returning,
            None => Turn::Lasting,
        }
    };
    groups.sort_by_cached_key(|group| {
        (group.first.priority, turn(group), group.first.accepted_version, group.first.task)
    });
    groups
}

/// Returns the groups of tasks whose turn has come, by name. Tasks that end are alike in all that counts here, so that
/// the first of a group speaks for it; of lasting ones some may have been away for longer than others.
fn groups(holding: &holding::Holding, now: time::Duration) -> Vec<Group> {
    let mut groups = Vec::new();
    let mut next = holding.ready.first_key_value();
    while let Some((task, first)) = next {
        let kin = group::kin(*task);
        if first.lasting {
            let of = |returning| {
                let mut kin = holding.ready.range(kin.clone()).map(|(_, ready)| *ready);
                kin.find(|ready| returns(ready, now) == returning)
                    .map(|first| Group { first, returning })
            };
            groups.extend([false, true].into_iter().filter_map(of));
        } else {
            groups.push(Group { first: *first, returning: false });
        }
        let after = (ops::Bound::Excluded(*kin.end()), ops::Bound::Unbounded);
        next = holding.ready.range(after).next();
    }
    groups
}

/// Returns whether a lasting task has been away for so long that it goes first.
fn returns(ready: &work::Ready, now: time::Duration) -> bool {
    ready.has_run && now.saturating_sub(ready.since) >= LONG_AWAY
}

/// Asks for workers of a step whose queue wants advice, for all of its tasks that wait.
fn ask_workers(holding: &mut holding::Holding, task: spec::TaskId, now: time::Duration) {
    let entry = holding.jobs.get(&task.job);
    if entry.is_some_and(|entry| holding.terms_of_advice(&entry.job).is_some()) {
        let wanted = holding.ready.range(group::kin(task)).count();
        holding.ask(task, wanted, now);
    }
}

/// Keeps what is free on one worker for a lasting task, or shorter work would take every piece of it.
///
/// One where enough becomes free by tasks that end goes first. Without that the rooms kept were the ones beside lasting
/// tasks, just too small for good: after two racks and a quarter of 490 workers were lost, tasks that came back waited for
/// 17 s, longer than the 6 s allowed. Where lasting tasks have nearly everything there is no such worker, and the greatest
/// room grows as they are cancelled: without any kept, one waited for 21 s on 58 workers of which they had 94 %.
fn keep_room(
    holding: &mut holding::Holding,
    task: spec::TaskId,
    step: &spec::Step,
    now: time::Duration,
) {
    let most = (holding.views.len() / KEPT_PART).max(1);
    let entry = holding.jobs.get(&task.job).filter(|_| holding.kept_for.len() < most);
    let Some(entry) = entry else {
        return;
    };
    let service = holding.service(&entry.job);
    let best = holding
        .views
        .values()
        .filter(|view| !holding.kept_for.contains(&view.member.incarnation))
        .filter(|view| {
            obstacle::plain(view, service, task, step, view.takes(task, now))
                == Some(obstacle::Obstacle::Room)
        })
        .max_by_key(|view| (step.reserved().fits(&view.free_in_time()), view.free().cpu_milli));
    if let Some(worker) = best.map(|view| view.member.incarnation.clone()) {
        holding.kept_for.insert(worker);
    }
}

/// Returns how the rounds of jobs stand that have tasks to place.
fn outlooks(
    holding: &holding::Holding,
    groups: &[Group],
) -> collections::BTreeMap<(spec::JobId, u32), outlook::Outlook> {
    let mut outlooks = collections::BTreeMap::new();
    let ending = groups.iter().map(|group| group.first).filter(|ready| !ready.lasting);
    for task in ending.map(|ready| ready.task) {
        if let Some(entry) = holding.jobs.get(&task.job) {
            outlooks
                .entry((task.job, task.round))
                .or_insert_with(|| outlook::outlook(holding, entry, task.round));
        }
    }
    outlooks
}

/// Returns a job that is still wanted.
fn active_job(holding: &holding::Holding, job: spec::JobId) -> Option<sync::Arc<spec::Job>> {
    let entry = holding.jobs.get(&job).filter(|entry| entry.active())?;
    Some(sync::Arc::clone(&entry.job))
}

/// Places a task that comes back; what is kept for one of them is there for all.
fn place_returning(
    holding: &mut holding::Holding,
    ready: &work::Ready,
    step: &spec::Step,
    now: time::Duration,
) -> bool {
    let kept = std::mem::take(&mut holding.kept_for);
    let worker = choose::choose(holding, ready.task, step, None, now);
    holding.kept_for.extend(kept);
    match &worker {
        Some(worker) => assign::take(holding, ready, step, worker, now),
        None => keep_room(holding, ready.task, step, now),
    }
    worker.is_some()
}

/// Places one task; returns whether it found a worker.
fn place_one(
    holding: &mut holding::Holding,
    pass: &mut pass::Pass,
    ranking: &mut Option<ranking::Ranking>,
    ready: &work::Ready,
    (job, step): (&spec::Job, &spec::Step),
    now: time::Duration,
) -> bool {
    let image = holding.learned.interference.image(step.image.as_deref());
    if pass.is_hopeless(holding.service(job), step, image) {
        return false;
    }
    let Some(worker) = seek(holding, ranking, ready.task, step, now) else {
        let ticket = holding.terms_of_advice(job).is_some();
        pass.note(holding.service(job), step, image, ticket);
        return false;
    };
    assign::take(holding, ready, step, &worker, now);
    if let Some(ranking) = ranking {
        ranking.placed(holding, ready.task, step, &worker, now);
    }
    true
}

/// Seeks a worker for one task of a group: in the group's ranking, unless it differs from its kin by a worker where
/// it failed or that was lost under it, or draws its kin near.
fn seek(
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
    ranking.as_mut()?.next(holding, task, step, now)
}
