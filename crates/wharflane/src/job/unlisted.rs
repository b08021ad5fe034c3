//! Workers that may run something and are not listed, or soon won't be, as a holder leaves them to the next.
//!
//! A worker's entry may go from the store's list seconds before its tasks do. The holder that started them
//! knows the worker's address; without it the next one can neither renew them nor stop what is cancelled.
//! Weighed: the address beside each task in its row of progress, which takes no row of its own and a third
//! more bytes in every write of a task that runs; shorter leases, which end sound work at each change of the
//! holder. This row is written only where its workers change.

use std::time;

use super::holding;
use super::learned;
use super::rows as kept;
use crate::rows;

/// The most workers in the row; with names of 200 bytes, the longest of the store, it takes 18 KB.
const MOST: usize = 64;

impl holding::Holding {
    /// Returns the workers that the next holder may not find in the list, though something runs there.
    fn soon_unlisted(&self) -> Vec<kept::Unlisted> {
        let busy = self.views.values().filter(|view| !view.tasks.is_empty());
        let soon = busy.filter(|view| !view.listed || view.member.leaving);
        soon.map(|view| kept::Unlisted::of(&view.member)).take(MOST).collect()
    }

    /// Returns whether the row lacks a worker and may be written.
    pub(super) fn lacks_unlisted(&self, now: time::Duration) -> bool {
        now >= self.commit_limits.extras_from
            && self.soon_unlisted().iter().any(|unlisted| !self.unlisted.contains(unlisted))
    }

    /// Adds the row to a transaction, where it has changed.
    pub(super) fn add_unlisted(&mut self, txn: &mut rows::Txn) -> Result<(), serde_json::Error> {
        let unlisted = self.soon_unlisted();
        if unlisted == self.unlisted {
            return Ok(());
        }
        let key = kept::learned_key(self.settings.domain, learned::UNLISTED.to_owned());
        let value = Some(serde_json::to_string(&unlisted)?);
        txn.writes.push(rows::Write { key, value });
        self.unlisted = unlisted;
        Ok(())
    }

    /// Takes over the workers of the row that nobody lists.
    pub(super) fn restore_unlisted(&mut self, learned: &[rows::Row], now: time::Duration) {
        let row = learned.iter().find(|row| row.name == learned::UNLISTED);
        let Some(text) = row.and_then(|row| row.value.as_deref()) else {
            return;
        };
        match serde_json::from_str::<Vec<kept::Unlisted>>(text) {
            Ok(unlisted) => self.unlisted = unlisted,
            Err(err) => {
                return tracing::warn!(%err, "workers that are not listed can't be read");
            }
        }
        for unlisted in self.unlisted.clone() {
            if self.views.keys().any(|known| known.worker == unlisted.incarnation.worker) {
                continue;
            }
            tracing::info!(worker = %unlisted.incarnation, addr = %unlisted.addr, "worker known from before");
            self.begin_incarnation(unlisted.member(), false, now);
        }
    }
}
