//! Ranks the workers for the tasks of a group, the best first.
//!
//! Tasks of a group are alike, and a start changes the cost of one worker only. So all workers are
//! evaluated once per group and one of them again after each start, instead of all for each task:
//! for 39 tasks on 890 workers 929 evaluations instead of 34,710. The chosen workers are exactly
//! the same.

use std::cmp;
use std::collections;
use std::time;

use crate::id;
use crate::job::holding;
use crate::job::learn::interference;
use crate::job::place::choose;
use crate::job::spec;

/// A worker with its cost.
#[derive(Debug)]
struct Candidate {
    /// The cost at the time of the evaluation.
    cost: choose::Cost,
    /// The worker; among equal costs the smallest id comes first.
    worker: id::Incarnation,
}

impl Ord for Candidate {
    /// The cheapest worker is the greatest, so that the heap returns it first.
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        other.cost.compare(&self.cost).then_with(|| other.worker.cmp(&self.worker))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Candidate {}

/// The ranked workers for the tasks of a group.
#[derive(Debug)]
pub(in crate::job) struct Ranking {
    /// The workers. One that was given a task is added again with its new cost.
    heap: collections::BinaryHeap<Candidate>,
    /// The image that the tasks run.
    image: interference::Image,
}

impl Ranking {
    /// Evaluates all workers for the tasks of a group.
    pub fn of(
        holding: &mut holding::Holding,
        task: spec::TaskId,
        step: &spec::Step,
        now: time::Duration,
    ) -> Option<Self> {
        holding.worker_searches += 1;
        let image = holding.learned.interference.image(step.image.as_deref());
        let holding = &*holding;
        let search = choose::Search::of(holding, task, step, image, now)?;
        let candidates = holding.views.values().filter_map(|view| {
            let cost = search.evaluate(holding, view)?;
            Some(Candidate { cost, worker: view.member.incarnation.clone() })
        });
        Some(Self { heap: candidates.collect(), image })
    }

    /// Removes and returns the best worker for a task. `update` must follow once the task is
    /// assigned to it.
    pub fn pop_best(
        &mut self,
        holding: &holding::Holding,
        task: spec::TaskId,
        step: &spec::Step,
        now: time::Duration,
    ) -> Option<id::Incarnation> {
        let search = choose::Search::of(holding, task, step, self.image, now)?;
        while let Some(best) = self.heap.pop() {
            // An entry that was evaluated before the last start on the worker is outdated.
            let view = holding.views.get(&best.worker);
            let cost = view.and_then(|view| search.evaluate(holding, view));
            if cost.is_some_and(|cost| cost.compare(&best.cost).is_eq()) {
                return Some(best.worker);
            }
        }
        None
    }

    /// Evaluates a worker again after a task was assigned to it.
    pub fn update(
        &mut self,
        holding: &holding::Holding,
        task: spec::TaskId,
        step: &spec::Step,
        worker: &id::Incarnation,
        now: time::Duration,
    ) {
        let search = choose::Search::of(holding, task, step, self.image, now);
        let view = holding.views.get(worker);
        let cost = search.zip(view).and_then(|(search, view)| search.evaluate(holding, view));
        if let Some(cost) = cost {
            self.heap.push(Candidate { cost, worker: worker.clone() });
        }
    }
}
