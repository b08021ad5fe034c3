//! The entries of workers as they are read, with one line for each change of one that names no worker.

use std::collections;
use std::sync;

use wharflane::{id, job, rows};
use wharflane_adapter::{config, entry};

/// The most entries whose last line is remembered; a store of another writer's rows must not fill the memory.
const MOST_REMEMBERED: usize = 1_000;

/// Reads entries.
#[derive(Debug, Default)]
pub struct Entries {
    /// The versions of the entries that named no worker when they were read last, by key.
    refused: sync::Mutex<collections::BTreeMap<String, u64>>,
}

impl Entries {
    /// Returns the workers of a whole reading.
    pub fn list(&self, rows: &[rows::Row]) -> Vec<job::Member> {
        rows.iter().filter_map(|row| self.read(row)?.1).collect()
    }

    /// Returns what a row says of a worker; nothing for a row that is not in the place of entries.
    ///
    /// An entry that names no worker any more counts like one that is gone: the worker gets nothing new.
    pub fn read(&self, row: &rows::Row) -> Option<(id::WorkerId, Option<job::Member>)> {
        if row.part != config::EXTERNAL_PART {
            return None;
        }
        let member = match entry::member(row) {
            Ok(member) => {
                self.refused().remove(&row.name);
                member
            }
            Err(err) => {
                self.tell(row, &err);
                None
            }
        };
        Some((id::WorkerId::from(row.name.as_str()), member))
    }

    /// Tells why an entry is passed over, once for each of its versions.
    fn tell(&self, row: &rows::Row, err: &entry::BadEntry) {
        let mut refused = self.refused();
        if refused.get(&row.name) == Some(&row.version) {
            return;
        }
        if refused.len() >= MOST_REMEMBERED {
            refused.clear();
        }
        refused.insert(row.name.clone(), row.version);
        tracing::warn!(key = %row.name, version = row.version, %err, "an entry names no worker");
    }

    /// Returns the entries that named no worker.
    fn refused(&self) -> sync::MutexGuard<'_, collections::BTreeMap<String, u64>> {
        self.refused.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
