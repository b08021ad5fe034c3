//! Builds the endpoint table that the holder of a hall distributes to all hosts.

use std::time;

use super::holding;
use super::view;
use crate::endpoints;
use crate::id;
use crate::task_table;
use crate::work;

/// How many sync intervals a new holder waits for the reports of all workers.
const MAX_SYNCS_BEFORE_TABLE: u32 = 5;

impl holding::Holding {
    /// Returns the endpoint table, once enough workers have reported to build one.
    #[must_use]
    pub fn table(&self) -> Option<&endpoints::Table> {
        (self.table.version > 0).then_some(&self.table)
    }

    /// Records the endpoints that the previous holder published, to use until their workers report.
    pub(super) fn set_inherited_endpoints(&mut self, known: Option<&endpoints::Table>) {
        for endpoint in known.into_iter().flat_map(|table| &table.endpoints) {
            self.inherited_endpoints.insert(endpoint.task.clone(), endpoint.clone());
        }
    }

    /// Rebuilds the endpoint table if its inputs have changed.
    pub(super) fn rebuild_table(&mut self, now: time::Duration) {
        // A table built before the workers have reported would remove working endpoints.
        let all_reported = self.task_table.workers().all(|worker| {
            self.views.get(worker).is_some_and(|view| view.incarnation.reported_at.is_some())
        });
        let max_wait = self.settings.sync * MAX_SYNCS_BEFORE_TABLE;
        if !all_reported
            && self.inherited_endpoints.is_empty()
            && now.saturating_sub(self.acquired_at) < max_wait
        {
            return;
        }
        if !self.table_changed {
            return;
        }
        self.table_changed = false;
        let mut endpoints = Vec::new();
        for (worker, view) in &self.views {
            for (task, entry) in self.task_table.on(worker) {
                endpoints.extend(self.endpoint(worker, view, task, entry));
            }
        }
        if endpoints != self.table.endpoints || self.table.version == 0 {
            self.table.endpoints = endpoints;
            self.table.version += 1;
        }
    }

    /// Returns the endpoint of a task, if its worker reports that it accepts requests.
    fn endpoint(
        &self,
        worker: &id::WorkerId,
        view: &view::WorkerView,
        task: &id::TaskId,
        entry: &task_table::Entry,
    ) -> Option<endpoints::Endpoint> {
        if view.incarnation.reported_at.is_none() {
            return self
                .inherited_endpoints
                .get(task)
                .filter(|known| known.worker == *worker)
                .cloned();
        }
        let report =
            view.incarnation.tasks.get(task).filter(|report| report.attempt == entry.attempt)?;
        let work::TaskState::Running { addr: Some(addr), .. } = &report.state else {
            return None;
        };
        let is_evicted = matches!(entry.state, task_table::State::Leaving { .. });
        Some(endpoints::Endpoint {
            task: task.clone(),
            service: task.owner.as_ref().into(),
            worker: worker.clone(),
            addr: *addr,
            leaving: is_evicted || view.leaving_since.is_some(),
        })
    }
}
