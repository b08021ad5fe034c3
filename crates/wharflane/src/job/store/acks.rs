//! Tracks which ends of runs are committed, per worker, since a worker keeps an end until the
//! holder acknowledges it. An end is acknowledged only once its result is committed.

use crate::id;
use crate::job::holding;
use crate::job::spec;

impl holding::Holding {
    /// Notes an end whose result is not committed yet, so that it is not acknowledged to its
    /// worker.
    pub(in crate::job) fn note_unrecorded(
        &mut self,
        job: spec::JobId,
        worker: &id::Incarnation,
        number: u64,
    ) {
        if let Some(view) = self.views.get_mut(worker) {
            view.unrecorded.insert(number);
        }
        self.unrecorded.entry(job).or_default().push((worker.clone(), number));
    }

    /// Removes and returns the uncommitted ends of jobs, for the commit that writes their progress.
    pub(in crate::job) fn take_unrecorded(
        &mut self,
        jobs: &[spec::JobId],
    ) -> Vec<(spec::JobId, id::Incarnation, u64)> {
        let mut ends = Vec::new();
        for job in jobs {
            let uncommitted = self.unrecorded.remove(job).unwrap_or_default();
            ends.extend(uncommitted.into_iter().map(|(worker, number)| (*job, worker, number)));
        }
        ends
    }

    /// Marks ends as committed, so that their workers may drop them.
    pub(in crate::job) fn mark_recorded(&mut self, ends: &[(spec::JobId, id::Incarnation, u64)]) {
        for (_, worker, number) in ends {
            if let Some(view) = self.views.get_mut(worker) {
                view.unrecorded.remove(number);
            }
        }
    }
}
