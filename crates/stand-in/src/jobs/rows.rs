//! An in-memory store of rows with tables, parts and conditional transactions.

use std::collections;

use wharflane::rows;

/// The most entries of a transaction, conditions included.
const MAX_ENTRIES: usize = 100;
/// The longest value of a row, in bytes of base64.
const MAX_ROW_BYTES: usize = 65_536;
/// The most bytes of a transaction, in base64.
const MAX_TXN_BYTES: usize = 1_000_000;

/// The address of a row: its table, part and name.
type Address = (&'static str, String, String);

/// The state of the store.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    /// The rows, with the version that wrote each of them.
    rows: collections::BTreeMap<Address, (u64, String)>,
    /// The version that removed each removed row.
    removed: collections::BTreeMap<Address, u64>,
    /// The version up to which the history of changes was dropped.
    dropped_upto: u64,
    /// The version of the newest transaction.
    version: u64,
    /// The number of committed transactions.
    pub committed: u64,
}

impl Rows {
    /// Performs a transaction, or refuses one that exceeds the store's limits.
    pub fn send(&mut self, txn: &rows::Txn) -> rows::Outcome {
        if is_within_limits(txn) {
            rows::Outcome::Answered(self.transact(txn))
        } else {
            rows::Outcome::Refused
        }
    }

    /// Performs a transaction; on a conflict, returns the current rows of its conditions.
    pub fn transact(&mut self, txn: &rows::Txn) -> rows::Answer {
        let holds = |expect: &rows::Expect| {
            self.rows.get(&address(&expect.key)).map_or(0, |(version, _)| *version)
                == expect.version
        };
        if !txn.expects.iter().all(holds) {
            let found = txn.expects.iter().filter_map(|expect| self.get(&expect.key));
            return rows::Answer::Conflict { rows: found.collect() };
        }
        self.version += 1;
        self.committed += 1;
        for write in &txn.writes {
            match &write.value {
                Some(value) => {
                    self.rows.insert(address(&write.key), (self.version, value.clone()));
                }
                None => {
                    self.rows.remove(&address(&write.key));
                    self.removed.insert(address(&write.key), self.version);
                }
            }
        }
        rows::Answer::Done { version: self.version }
    }

    /// Returns one row.
    #[must_use]
    pub fn get(&self, key: &rows::Key) -> Option<rows::Row> {
        let (version, value) = self.rows.get(&address(key))?;
        Some(row(&address(key), *version, value))
    }

    /// Returns the version of the newest transaction.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Drops the history of all changes so far.
    pub fn drop_history(&mut self) {
        self.dropped_upto = self.version;
    }

    /// Returns the rows of a table that changed after a version.
    #[must_use]
    pub fn changes(&self, table: &'static str, after: u64) -> rows::Changes {
        if after < self.dropped_upto {
            return rows::Changes::Forgotten;
        }
        let written = self.rows.iter().filter(|((t, _, _), (v, _))| *t == table && *v > after);
        let mut changed: Vec<rows::Row> =
            written.map(|(at, (version, value))| row(at, *version, value)).collect();
        let removed = self
            .removed
            .iter()
            .filter(|(at, v)| at.0 == table && **v > after && !self.rows.contains_key(*at));
        changed.extend(removed.map(|((_, part, name), version)| rows::Row {
            name: name.clone(),
            part: part.clone(),
            version: *version,
            value: None,
            gone: true,
        }));
        changed.sort_by_key(|row| row.version);
        rows::Changes::Rows(rows::Page {
            rows: changed,
            more: false,
            version: self.version,
            now_ms: None,
        })
    }

    /// Returns all rows of one part of a table.
    #[must_use]
    pub fn all(&self, table: &'static str, part: &str) -> Vec<rows::Row> {
        let rows = self.rows.iter().filter(|((t, p, _), _)| *t == table && p == part);
        rows.map(|(at, (version, value))| row(at, *version, value)).collect()
    }
}

/// Returns whether a transaction is within the store's limits: its entries, the length of each
/// value and the sum of their lengths.
#[must_use]
pub fn is_within_limits(txn: &rows::Txn) -> bool {
    let lengths =
        txn.writes.iter().filter_map(|write| write.value.as_ref()).map(|value| base64_bytes(value));
    let entries = txn.expects.len() + txn.writes.len();
    let longest = lengths.clone().max().unwrap_or(0);
    entries <= MAX_ENTRIES && longest <= MAX_ROW_BYTES && lengths.sum::<usize>() <= MAX_TXN_BYTES
}

/// Returns the length of a value in base64.
fn base64_bytes(value: &str) -> usize {
    value.len().div_ceil(3) * 4
}

/// Returns the address of the row with a key.
fn address(key: &rows::Key) -> Address {
    (key.table, key.part.clone(), key.name.clone())
}

/// Creates a row as a reader sees it.
fn row(at: &Address, version: u64, value: &str) -> rows::Row {
    let (_, part, name) = at.clone();
    rows::Row { name, part, version, value: Some(value.to_owned()), gone: false }
}
