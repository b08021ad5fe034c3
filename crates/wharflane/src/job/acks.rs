//! Which ends of runs a worker may forget: those whose result is committed, worker by worker.

use super::holding;
use super::spec;
use crate::id;

impl holding::Holding {
    /// Notes an end that the next commit of its job makes last.
    pub(super) fn note_unrecorded(
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

    /// Hands the ends of jobs to the commit that writes their progress.
    pub(super) fn take_unrecorded(
        &mut self,
        jobs: &[spec::JobId],
    ) -> Vec<(spec::JobId, id::Incarnation, u64)> {
        let mut ends = Vec::new();
        for job in jobs {
            let open = self.unrecorded.remove(job).unwrap_or_default();
            ends.extend(open.into_iter().map(|(worker, number)| (*job, worker, number)));
        }
        ends
    }

    /// Notes that ends are committed, so that their workers may forget them.
    pub(super) fn recorded(&mut self, ends: &[(spec::JobId, id::Incarnation, u64)]) {
        for (_, worker, number) in ends {
            if let Some(view) = self.views.get_mut(worker) {
                view.unrecorded.remove(number);
            }
        }
    }
}
