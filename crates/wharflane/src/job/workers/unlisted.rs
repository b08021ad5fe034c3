//! Stores the addresses of busy workers that are unlisted, or soon will be, for the next holder.
//!
//! A worker's entry may vanish from the store's list seconds before its tasks end. Only the holder
//! that started them knows its address; without it the next holder can neither renew their leases
//! nor stop cancelled tasks. The row is written only when its workers change. Storing the address
//! with each task's progress would need no row of its own, but adds a third to the bytes of every
//! write of a running task. Shorter leases would end sound work at each change of the holder.

use std::time;

use crate::job::holding;
use crate::job::learn::learned;
use crate::job::rows as job_rows;
use crate::rows;

/// The most workers in the row; with names of 200 bytes, the store's limit, they take 18 KB.
const MAX_UNLISTED: usize = 64;

impl holding::Holding {
    /// Returns the busy workers that the next holder may not find in the list.
    fn soon_unlisted(&self) -> Vec<job_rows::Unlisted> {
        let busy = self.views.values().filter(|view| !view.tasks.is_empty());
        let soon = busy.filter(|view| !view.listed || view.member.leaving);
        soon.map(|view| job_rows::Unlisted::of(&view.member)).take(MAX_UNLISTED).collect()
    }

    /// Returns whether the row lacks a worker and may be written now.
    pub(in crate::job) fn lacks_unlisted(&self, now: time::Duration) -> bool {
        now >= self.commit_limits.extras_from
            && self.soon_unlisted().iter().any(|unlisted| !self.unlisted.contains(unlisted))
    }

    /// Adds the row to a transaction if it has changed.
    pub(in crate::job) fn add_unlisted(
        &mut self,
        txn: &mut rows::Txn,
    ) -> Result<(), serde_json::Error> {
        let unlisted = self.soon_unlisted();
        if unlisted == self.unlisted {
            return Ok(());
        }
        let key = job_rows::learned_key(self.settings.domain, learned::UNLISTED.to_owned());
        let value = Some(serde_json::to_string(&unlisted)?);
        txn.writes.push(rows::Write { key, value });
        self.unlisted = unlisted;
        Ok(())
    }

    /// Restores workers from the row that are not listed.
    pub(in crate::job) fn restore_unlisted(&mut self, learned: &[rows::Row], now: time::Duration) {
        let row = learned.iter().find(|row| row.name == learned::UNLISTED);
        let Some(text) = row.and_then(|row| row.value.as_deref()) else {
            return;
        };
        match serde_json::from_str::<Vec<job_rows::Unlisted>>(text) {
            Ok(unlisted) => self.unlisted = unlisted,
            Err(err) => {
                return tracing::warn!(%err, "row of unlisted workers can't be decoded");
            }
        }
        for unlisted in self.unlisted.clone() {
            if self.views.keys().any(|known| known.worker == unlisted.incarnation.worker) {
                continue;
            }
            tracing::info!(
                worker = %unlisted.incarnation, addr = %unlisted.addr,
                "unlisted worker restored from the previous holder"
            );
            self.begin_incarnation(unlisted.member(), false, now);
            if let Some(view) = self.views.get_mut(&unlisted.incarnation) {
                view.unlisted_since = Some(now);
            }
        }
    }
}
