//! Reads the entries of workers from the store's rows.
//!
//! Other programs write these rows. An invalid entry is skipped, and logged once per version of its
//! row.

use std::collections;
use std::sync;

use wharflane::{id, job, rows};
use wharflane_adapter::{config, entry};

/// Largest number of invalid entries that are remembered, so that rows written by others can't
/// exhaust the memory.
const MAX_REMEMBERED: usize = 1_000;

/// Parses worker entries and remembers the invalid ones.
#[derive(Debug, Default)]
pub struct EntryReader {
    /// Row version of each entry that was invalid when it was last read, by key.
    invalid: sync::Mutex<collections::BTreeMap<String, u64>>,
}

impl EntryReader {
    /// Returns the workers of a complete read of the table.
    pub fn list(&self, rows: &[rows::Row]) -> Vec<job::Member> {
        rows.iter().filter_map(|row| self.read(row)?.1).collect()
    }

    /// Returns the worker that a row is about and its entry; `None` for a row of another partition.
    ///
    /// An entry that has become invalid counts as removed: the worker gets no further tasks.
    pub fn read(&self, row: &rows::Row) -> Option<(id::WorkerId, Option<job::Member>)> {
        if row.part != config::EXTERNAL_PART {
            return None;
        }
        let member = match entry::member(row) {
            Ok(member) => {
                self.invalid().remove(&row.name);
                member
            }
            Err(err) => {
                self.log_invalid(row, &err);
                None
            }
        };
        Some((id::WorkerId::from(row.name.as_str()), member))
    }

    /// Logs why an entry is skipped, once per version of its row.
    fn log_invalid(&self, row: &rows::Row, err: &entry::BadEntry) {
        let mut invalid = self.invalid();
        if invalid.get(&row.name) == Some(&row.version) {
            return;
        }
        if invalid.len() >= MAX_REMEMBERED {
            invalid.clear();
        }
        invalid.insert(row.name.clone(), row.version);
        tracing::warn!(
            key = %row.name, version = row.version, %err,
            "invalid worker entry skipped"
        );
    }

    /// Locks the versions of the invalid entries.
    fn invalid(&self) -> sync::MutexGuard<'_, collections::BTreeMap<String, u64>> {
        self.invalid.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
