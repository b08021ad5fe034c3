//! Keys of a hall's head row and log, and recovery of the task table from snapshot and log.

use std::collections;

use crate::id;
use crate::lease;
use crate::platform;
use crate::task_table;

/// Returns the key of a hall's head row.
#[must_use]
pub fn head_key(hall: &id::HallId) -> String {
    format!("hall/{hall}/head")
}

/// Returns the key prefix of a hall's log.
#[must_use]
pub fn log_prefix(hall: &id::HallId) -> String {
    format!("hall/{hall}/log/")
}

/// Returns the key of one log row.
#[must_use]
pub fn log_key(hall: &id::HallId, seq: u64) -> String {
    format!("hall/{hall}/log/{seq:012}")
}

/// Rebuilds the task table from snapshot and log, or returns `None` if a row is missing or invalid.
pub(super) fn replay(
    hall: &id::HallId,
    head: &lease::Head,
    snapshot: Option<&str>,
    log: &[platform::Row],
) -> Option<task_table::TaskTable> {
    let from = head.snapshot.as_ref().map_or(0, |snapshot| snapshot.seq);
    let mut task_table = match (&head.snapshot, snapshot) {
        (None, _) => task_table::TaskTable::default(),
        (Some(_), text) => task_table::TaskTable::restore(text?).ok()?,
    };
    let rows: collections::BTreeMap<&str, &str> =
        log.iter().map(|row| (row.key.as_str(), row.value.as_str())).collect();
    for seq in from + 1..=head.seq {
        let row = rows.get(log_key(hall, seq).as_str())?;
        let records: Vec<task_table::Record> = serde_json::from_str(row).ok()?;
        for record in &records {
            task_table.apply(record).ok()?;
        }
    }
    Some(task_table)
}
