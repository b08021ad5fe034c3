//! What one pass of placement has found out, so that its cost does not grow with what waits.
//!
//! A kind of task that found no worker finds none later in the same pass, since a pass only takes room
//! away; nor does a larger task of that kind. Behind 3,000 to 4,000 waiting tasks at 490 workers some 230
//! searches a pass were counted, by the figures `sought` and `commits` of the log.

use std::collections;

use super::interference;
use super::spec;
use super::work;
use crate::id;
use crate::size;

/// What decides which workers take a task, but for its size.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Kind {
    /// The service whose workers run it.
    service: id::ServiceId,
    /// The label that they need.
    label: Option<String>,
    /// What it runs, where that decides: harm is learned by image.
    fills: Option<interference::Image>,
}

/// What one pass has found out.
#[derive(Debug, Default)]
pub(super) struct Pass {
    /// Kinds that found no worker, with the sizes that were tried.
    hopeless: Vec<(Kind, size::Size)>,
    /// Whether it was found out what serving tasks bear, which only tasks that fill ask for.
    pub weighed: bool,
    /// How many lines were written about tasks that wait.
    pub told: usize,
    /// The tasks that found no worker and are in need, the first of each group.
    pub in_need: collections::BTreeMap<spec::TaskId, work::Ready>,
}

impl Pass {
    /// Returns whether a task can't find a worker in this pass any more.
    pub fn is_hopeless(
        &self,
        service: &id::ServiceId,
        step: &spec::Step,
        image: interference::Image,
    ) -> bool {
        let fills = step.fills.then_some(image);
        self.hopeless.iter().any(|(kind, size)| {
            kind.service == *service
                && kind.label == step.label
                && kind.fills == fills
                && size.fits(&step.size)
        })
    }

    /// Notes that a task found no worker. Bounds on a step's tasks by worker, and tickets, are its own, so
    /// nothing follows from them for others.
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
            fills: step.fills.then_some(image),
        };
        self.hopeless.push((kind, step.size));
    }
}
