//! The table of a hall's endpoints, as its holder tells it to every host.

use std::time;

use super::holding;
use super::view;
use crate::endpoints;
use crate::id;
use crate::task_table;
use crate::work;

/// How many intervals between messages a new holder waits to hear all workers.
const SYNCS_BEFORE_TABLE: u32 = 5;

impl holding::Holding {
    /// Returns the endpoints to tell the hosts, once enough workers have been heard.
    #[must_use]
    pub fn table(&self) -> Option<&endpoints::Table> {
        (self.table.version > 0).then_some(&self.table)
    }

    /// Takes the endpoints that the holder before told, for workers not heard yet.
    pub(super) fn set_known(&mut self, known: Option<&endpoints::Table>) {
        for endpoint in known.into_iter().flat_map(|table| &table.endpoints) {
            self.known.insert(endpoint.task.clone(), endpoint.clone());
        }
    }

    /// Makes the table of endpoints anew where it has changed.
    pub(super) fn refresh_table(&mut self, now: time::Duration) {
        // A table made before the workers were heard would take good endpoints out of use.
        let heard = self.task_table.workers().all(|worker| {
            self.views.get(worker).is_some_and(|view| view.incarnation.reported.is_some())
        });
        let patience = self.settings.sync * SYNCS_BEFORE_TABLE;
        if !heard && self.known.is_empty() && now.saturating_sub(self.taken) < patience {
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

    /// Returns the endpoint that a task is, if its worker reports that it answers.
    fn endpoint(
        &self,
        worker: &id::WorkerId,
        view: &view::View,
        task: &id::TaskId,
        entry: &task_table::Entry,
    ) -> Option<endpoints::Endpoint> {
        if view.incarnation.reported.is_none() {
            return self.known.get(task).filter(|known| known.worker == *worker).cloned();
        }
        let report =
            view.incarnation.tasks.get(task).filter(|report| report.attempt == entry.attempt)?;
        let work::TaskState::Running { addr: Some(addr), .. } = &report.state else {
            return None;
        };
        let going = matches!(entry.state, task_table::State::Leaving { .. });
        Some(endpoints::Endpoint {
            task: task.clone(),
            service: task.owner.as_ref().into(),
            worker: worker.clone(),
            addr: *addr,
            leaving: going || view.leaving_since.is_some(),
        })
    }
}
