//! Halls that operators have closed: nothing new is started on their workers until they are open again.
//!
//! What runs there runs on to its end. Moving it out was measured as the other way (docs/design/shifted-work.md).

use std::collections;
use std::time;

use super::engine;
use super::group;
use super::holding;
use super::spec;
use super::work;
use super::worker;
use crate::id;

/// The halls that are closed, all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClosedHalls {
    /// The version of the store up to which this is true.
    pub version: u64,
    /// The halls.
    pub halls: collections::BTreeSet<id::HallId>,
}

/// What a host knows of closed halls.
#[derive(Debug, Default)]
pub(super) struct ClosedHallsReading {
    /// What it heard last.
    pub closed: ClosedHalls,
    /// When; nothing before the first time.
    pub at: Option<time::Duration>,
}

impl engine::Engine {
    /// Takes in which halls are closed; an older reading that comes late says nothing.
    pub(super) fn apply_closed_halls(&mut self, now: time::Duration, closed: ClosedHalls) {
        if closed.version < self.closed_halls.closed.version {
            return;
        }
        for hall in closed.halls.difference(&self.closed_halls.closed.halls) {
            tracing::info!(%hall, version = closed.version, "hall closed");
        }
        for hall in self.closed_halls.closed.halls.difference(&closed.halls) {
            tracing::info!(%hall, version = closed.version, "hall open again");
        }
        self.closed_halls = ClosedHallsReading { closed, at: Some(now) };
        if let engine::Role::Holding(holding) = &mut self.role {
            holding.set_closed(&self.closed_halls);
        }
    }
}

impl holding::Holding {
    /// Takes in which halls are closed, and takes back what was to be started there.
    pub(super) fn set_closed(&mut self, heard: &ClosedHallsReading) {
        self.closed_read_at = heard.at;
        if self.closed == heard.closed.halls {
            return;
        }
        self.closed.clone_from(&heard.closed.halls);
        self.changed = true;
        for view in self.views.values_mut() {
            view.closed = self.closed.contains(&view.member.hall);
        }
        let staged = self.staged.clone();
        self.release_barred(&staged);
    }

    /// Returns whether tasks may be placed: this holder has heard which halls are closed since it took the lease, or
    /// has waited for it long enough. The operator's rows may be away while the holder's own are not, and work that
    /// stands still for that long costs callers more than a start in a hall that was closed meanwhile.
    pub(super) fn knows_closed(&mut self, now: time::Duration) -> bool {
        if self.closed_read_at.is_some_and(|at| at >= self.taken) {
            return true;
        }
        let waited = now.saturating_sub(self.taken);
        if waited < self.settings.closed_wait {
            return false;
        }
        if !std::mem::replace(&mut self.closed_doubted, true) {
            tracing::warn!(
                waited_ms = worker::millis(waited),
                closed = self.closed.len(),
                "it can't be heard which halls are closed, those known before count"
            );
        }
        true
    }

    /// Frees the tasks among some with recorded starts that would be ordered in a closed hall or on a worker that leaves, and
    /// returns the others.
    /// A gang with one such member is freed as a whole, since the others would wait for it in vain.
    pub(super) fn release_barred(&mut self, starts: &[spec::TaskId]) -> Vec<spec::TaskId> {
        let closed: Vec<spec::TaskId> =
            starts.iter().copied().filter(|task| self.is_staged_where_barred(*task)).collect();
        let gangs: collections::BTreeSet<group::Group> = closed
            .iter()
            .filter(|task| self.is_in_gang(**task))
            .map(|task| group::group(*task))
            .collect();
        let (kept, freed): (Vec<spec::TaskId>, Vec<spec::TaskId>) = starts
            .iter()
            .partition(|task| !closed.contains(task) && !gangs.contains(&group::group(**task)));
        for task in freed {
            self.free(
                task,
                "its worker leaves or its hall was closed before its start was ordered",
            );
        }
        kept
    }

    /// Returns whether a task's start is recorded, or about to be, and not ordered, where nothing may start any more.
    fn is_staged_where_barred(&self, task: spec::TaskId) -> bool {
        let staged =
            self.placed.get(&task).filter(|placed| placed.start_state == work::StartState::Staged);
        staged.is_some_and(|placed| {
            self.views.get(&placed.worker).is_some_and(worker::View::is_barred)
        })
    }
}
