//! Closed halls: no task starts on their workers until an operator opens them again.
//!
//! Tasks that already run there run to their end. docs/design/shifted-work.md compares this with
//! moving them out.

use std::collections;
use std::time;

use crate::id;
use crate::job::engine;
use crate::job::holding;
use crate::job::place::group;
use crate::job::runs::work;
use crate::job::spec;
use crate::job::workers::worker;

/// The complete set of closed halls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClosedHalls {
    /// The version of the store at which the set was read.
    pub version: u64,
    /// The closed halls.
    pub halls: collections::BTreeSet<id::HallId>,
}

/// The last reading of the closed halls on this host.
#[derive(Debug, Default)]
pub(in crate::job) struct ClosedHallsReading {
    /// The closed halls as read last.
    pub closed: ClosedHalls,
    /// When they were read; `None` before the first reading.
    pub at: Option<time::Duration>,
}

impl engine::Engine {
    /// Applies a reading of the closed halls; one older than the last is ignored.
    pub(in crate::job) fn apply_closed_halls(&mut self, now: time::Duration, closed: ClosedHalls) {
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
            holding.set_closed_halls(&self.closed_halls);
        }
    }
}

impl holding::Holding {
    /// Applies a reading of the closed halls and releases staged starts on workers of closed halls.
    pub(in crate::job) fn set_closed_halls(&mut self, reading: &ClosedHallsReading) {
        self.closed_read_at = reading.at;
        if self.closed == reading.closed.halls {
            return;
        }
        self.closed.clone_from(&reading.closed.halls);
        self.changed = true;
        for view in self.views.values_mut() {
            view.closed = self.closed.contains(&view.member.hall);
        }
        let staged = self.staged.clone();
        self.release_barred(&staged);
    }

    /// Returns whether tasks may be placed.
    ///
    /// That requires a reading of the closed halls since the lease was acquired, or that
    /// `closed_wait` has passed. The operator's rows may be unavailable while the holder's own are
    /// not, and starting nothing for longer costs callers more than a start in a hall that was
    /// closed meanwhile.
    pub(in crate::job) fn closed_halls_known(&mut self, now: time::Duration) -> bool {
        if self.closed_read_at.is_some_and(|at| at >= self.acquired) {
            return true;
        }
        let waited = now.saturating_sub(self.acquired);
        if waited < self.settings.closed_wait {
            return false;
        }
        if !std::mem::replace(&mut self.closed_wait_logged, true) {
            tracing::warn!(
                waited_ms = worker::millis(waited),
                closed = self.closed.len(),
                "closed halls can't be read; placing by the last known ones"
            );
        }
        true
    }

    /// Releases the tasks among `starts` that must not be ordered any more, because their hall was
    /// closed or their worker leaves, and returns the others. A gang with one such member is
    /// released as a whole, since the others can't work without it.
    pub(in crate::job) fn release_barred(&mut self, starts: &[spec::TaskId]) -> Vec<spec::TaskId> {
        let barred: Vec<spec::TaskId> =
            starts.iter().copied().filter(|task| self.is_staged_on_barred(*task)).collect();
        let gangs: collections::BTreeSet<group::Group> = barred
            .iter()
            .filter(|task| self.is_in_gang(**task))
            .map(|task| group::group(*task))
            .collect();
        let (kept, released): (Vec<spec::TaskId>, Vec<spec::TaskId>) = starts
            .iter()
            .partition(|task| !barred.contains(task) && !gangs.contains(&group::group(**task)));
        for task in released {
            self.free(task, "worker is leaving or hall was closed before the start was ordered");
        }
        kept
    }

    /// Returns whether a task's start is staged or committed, but not yet ordered, on a worker that
    /// must not get starts any more.
    fn is_staged_on_barred(&self, task: spec::TaskId) -> bool {
        let staged =
            self.placed.get(&task).filter(|placed| placed.start_state == work::StartState::Staged);
        staged.is_some_and(|placed| {
            self.views.get(&placed.worker).is_some_and(worker::View::is_barred)
        })
    }
}
