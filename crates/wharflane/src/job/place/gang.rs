//! Gangs: steps whose tasks work only together. They are placed, completed and failed as a unit.

use std::collections;
use std::time;

use crate::id;
use crate::job::holding;
use crate::job::place::assign;
use crate::job::progress;
use crate::job::runs::order;
use crate::job::runs::work;
use crate::job::spec;
use crate::size;

/// Chooses a worker for a task, within one rack if given.
type ChooseWorker = fn(
    &mut holding::Holding,
    spec::TaskId,
    &spec::Step,
    Option<&str>,
    time::Duration,
) -> Option<id::Incarnation>;

/// Places all tasks of a gang or none; returns whether they were placed.
pub(in crate::job) fn place(
    holding: &mut holding::Holding,
    ready: &work::Ready,
    step: &spec::Step,
    choose: ChooseWorker,
    now: time::Duration,
) -> bool {
    let member = |index| spec::TaskId { index, ..ready.task };
    // Members that still run, or may run, must end first.
    if (0..step.count).any(|index| holding.placed.contains_key(&member(index))) {
        return false;
    }
    let Some(workers) = choose_workers(holding, ready.task, step, choose, now) else {
        return false;
    };
    let members = 0..step.count;
    let last_runs = members.clone().map(|index| assign::last_run(holding, member(index)));
    let run = last_runs.max().unwrap_or(0) + 1;
    let checkpoint = common_checkpoint(holding, ready.task, step.count);
    for (index, worker) in members.zip(&workers) {
        let ready = work::Ready { task: member(index), ..*ready };
        assign::stage_start(holding, &ready, step, worker, run);
        if let Some(entry) = holding.jobs.get_mut(&ready.task.job)
            && let Some(state) = entry.progress.tasks.get_mut(&ready.task.into())
        {
            state.checkpoint.clone_from(&checkpoint);
        }
    }
    true
}

/// Returns a worker for each task of a gang, all in one rack if the step prefers that and one has
/// the capacity.
fn choose_workers(
    holding: &mut holding::Holding,
    task: spec::TaskId,
    step: &spec::Step,
    choose: ChooseWorker,
    now: time::Duration,
) -> Option<Vec<id::Incarnation>> {
    if step.same_rack {
        for rack in candidate_racks(holding, step) {
            let workers = choose_within(holding, task, step, (choose, Some(&rack)), now);
            if workers.is_some() {
                return workers;
            }
        }
    }
    choose_within(holding, task, step, (choose, None), now)
}

/// Returns the racks with enough free capacity for a gang: the one with the data first, then in
/// ascending order of free CPU.
fn candidate_racks(holding: &holding::Holding, step: &spec::Step) -> Vec<String> {
    let mut free = collections::BTreeMap::<&str, size::Size>::new();
    for view in holding.views.values() {
        if let Some(rack) = view.member.rack.as_deref() {
            let sum = free.entry(rack).or_default();
            *sum = sum.plus(&view.free());
        }
    }
    let need = step.reserved();
    let total = (0..step.count).fold(size::Size::default(), |sum, _| sum.plus(&need));
    let mut racks: Vec<_> = free.into_iter().filter(|(_, free)| total.fits(free)).collect();
    racks.sort_by_key(|(rack, free)| (step.rack.as_deref() != Some(*rack), free.cpu_milli));
    racks.into_iter().map(|(rack, _)| rack.to_owned()).collect()
}

/// Chooses a worker for each task of a gang. Capacity is taken only during the search, so that
/// members don't share it.
fn choose_within(
    holding: &mut holding::Holding,
    task: spec::TaskId,
    step: &spec::Step,
    (choose, rack): (ChooseWorker, Option<&str>),
    now: time::Duration,
) -> Option<Vec<id::Incarnation>> {
    let image = holding.learned.interference.image(step.image.as_deref());
    let mut workers = Vec::new();
    for index in 0..step.count {
        let task = spec::TaskId { index, ..task };
        let Some(worker) = choose(holding, task, step, rack, now) else {
            break;
        };
        if let Some(view) = holding.views.get_mut(&worker) {
            view.add(task, step, image, false);
        }
        workers.push(worker);
    }
    for (index, worker) in (0..step.count).zip(&workers) {
        if let Some(view) = holding.views.get_mut(worker) {
            view.remove(spec::TaskId { index, ..task }, step);
        }
    }
    (workers.len() == step.count as usize).then_some(workers)
}

/// Returns the checkpoint from which all members of a gang resume.
fn common_checkpoint(holding: &holding::Holding, task: spec::TaskId, count: u32) -> String {
    let tasks = (0..count).filter_map(|index| {
        let position = progress::TaskPosition::from(spec::TaskId { index, ..task });
        holding.jobs.get(&task.job)?.progress.tasks.get(&position)
    });
    // Checkpoints of a gang grow in lexical order, so the greatest contains the most work.
    tasks.map(|task| task.checkpoint.clone()).max().unwrap_or_default()
}

/// Records the end of one member's run for all members, since a gang completes or fails as a unit;
/// returns whether anything changed.
pub(in crate::job) fn note_end(
    progress: &mut progress::Progress,
    task: spec::TaskId,
    count: u32,
    run: u32,
    kind: order::EndKind,
) -> bool {
    let mut changed = false;
    for index in 0..count {
        let position = progress::TaskPosition::from(spec::TaskId { index, ..task });
        changed |= progress.tasks.entry(position).or_default().note_end(run, kind);
    }
    changed
}
