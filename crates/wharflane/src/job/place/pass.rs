//! Findings of one placement pass, which keep its cost independent of the number of waiting tasks.
//!
//! Free capacity only shrinks during a pass. So once a task finds no worker, no task of the same
//! kind and at least its size finds one later in the pass. Some 230 searches per pass were counted
//! with 3,000 to 4,000 waiting tasks on 490 workers, by the figures `sought` and `commits` in the
//! log.

use std::collections;

use crate::id;
use crate::job::learn::interference;
use crate::job::runs::work;
use crate::job::spec;
use crate::size;

/// The properties of a task, other than its size, that determine which workers can run it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Kind {
    /// The service whose workers run it.
    service: id::ServiceId,
    /// The label that the worker must have.
    label: Option<String>,
    /// The image of a best-effort task, since interference is learned by image; `None` for other
    /// tasks.
    best_effort: Option<interference::Image>,
}

/// The findings of a placement pass.
#[derive(Debug, Default)]
pub(in crate::job) struct Pass {
    /// Which tasks can find no worker any more.
    pub unplaceable: Findings,
    /// The same for starving tasks, to which more workers are open.
    pub no_worker_left: Findings,
    /// Whether the headroom of all workers was refreshed, which only best-effort tasks need.
    pub headroom_refreshed: bool,
    /// The number of lines logged about waiting tasks.
    pub lines_logged: usize,
    /// The tasks of runs that may be at work though the holder didn't place them.
    pub unknown_runs: collections::BTreeSet<spec::TaskId>,
    /// The starving tasks, at most the first of each group.
    pub starving: collections::BTreeMap<spec::TaskId, work::Ready>,
}

/// Kinds of tasks that found no worker, with their sizes.
#[derive(Debug, Default)]
pub(in crate::job) struct Findings(Vec<(Kind, size::Size)>);

impl Findings {
    /// Returns whether a task can no longer find a worker in this pass: one of the same kind, and
    /// no larger, found none.
    pub fn rule_out(
        &self,
        service: &id::ServiceId,
        step: &spec::Step,
        image: interference::Image,
    ) -> bool {
        let image = step.fills.then_some(image);
        self.0.iter().any(|(kind, size)| {
            kind.service == *service
                && kind.label == step.label
                && kind.best_effort == image
                && size.fits(&step.size)
        })
    }

    /// Records that a single task found no worker. Steps with a limit per worker or with tickets
    /// have obstacles of their own, from which nothing follows for other steps.
    pub fn note(
        &mut self,
        service: &id::ServiceId,
        step: &spec::Step,
        image: interference::Image,
        ticket: bool,
    ) {
        if step.max_per_worker.is_some() || ticket {
            return;
        }
        let kind = Kind {
            service: service.clone(),
            label: step.label.clone(),
            best_effort: step.fills.then_some(image),
        };
        self.0.push((kind, step.size));
    }
}
