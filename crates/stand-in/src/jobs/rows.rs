//! A store of rows with tables, parts and conditional transactions, in memory.

use std::collections;

use wharflane::rows;

/// The most entries of a transaction, conditions among them.
const MAX_ENTRIES: usize = 100;
/// The longest value, as base64.
const MAX_ROW_BYTES: usize = 65_536;
/// The most bytes of a transaction.
const MAX_TXN_BYTES: usize = 1_000_000;

/// The place of a row: table, part and key.
type At = (&'static str, String, String);

/// The store's state.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    /// The rows with the version that wrote them.
    rows: collections::BTreeMap<At, (u64, String)>,
    /// The versions that removed rows.
    gone: collections::BTreeMap<At, u64>,
    /// Changes up to this version are forgotten.
    forgotten: u64,
    /// Grows with every transaction.
    version: u64,
    /// The number of transactions that were made.
    pub made: u64,
}

impl Rows {
    /// Makes a transaction where the store takes its form.
    pub fn send(&mut self, txn: &rows::Txn) -> rows::Outcome {
        if takes(txn) {
            rows::Outcome::Answered(self.transact(txn))
        } else {
            rows::Outcome::Refused
        }
    }

    /// Makes a transaction, or tells how the rows of its conditions are.
    pub fn transact(&mut self, txn: &rows::Txn) -> rows::Answer {
        let holds = |expect: &rows::Expect| {
            self.rows.get(&at(&expect.key)).map_or(0, |(version, _)| *version) == expect.version
        };
        if !txn.expects.iter().all(holds) {
            let found = txn.expects.iter().filter_map(|expect| self.get(&expect.key));
            return rows::Answer::Conflict { rows: found.collect() };
        }
        self.version += 1;
        self.made += 1;
        for write in &txn.writes {
            match &write.value {
                Some(value) => {
                    self.rows.insert(at(&write.key), (self.version, value.clone()));
                }
                None => {
                    self.rows.remove(&at(&write.key));
                    self.gone.insert(at(&write.key), self.version);
                }
            }
        }
        rows::Answer::Done { version: self.version }
    }

    /// Returns one row.
    #[must_use]
    pub fn get(&self, key: &rows::Key) -> Option<rows::Row> {
        let (version, value) = self.rows.get(&at(key))?;
        Some(row(&at(key), *version, value))
    }

    /// Returns the version of the newest transaction.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Forgets all changes so far.
    pub fn forget(&mut self) {
        self.forgotten = self.version;
    }

    /// Returns what has changed in a table after a version.
    #[must_use]
    pub fn changes(&self, table: &'static str, after: u64) -> rows::Changes {
        if after < self.forgotten {
            return rows::Changes::Forgotten;
        }
        let written = self.rows.iter().filter(|((t, _, _), (v, _))| *t == table && *v > after);
        let mut changed: Vec<rows::Row> =
            written.map(|(at, (version, value))| row(at, *version, value)).collect();
        let gone = self
            .gone
            .iter()
            .filter(|(at, v)| at.0 == table && **v > after && !self.rows.contains_key(*at));
        changed.extend(gone.map(|((_, part, name), version)| rows::Row {
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

/// Returns whether a transaction keeps the store's bounds: entries, the length of rows, and its own.
#[must_use]
pub fn takes(txn: &rows::Txn) -> bool {
    let lengths =
        txn.writes.iter().filter_map(|write| write.value.as_ref()).map(|value| base64_bytes(value));
    let entries = txn.expects.len() + txn.writes.len();
    let longest = lengths.clone().max().unwrap_or(0);
    entries <= MAX_ENTRIES && longest <= MAX_ROW_BYTES && lengths.sum::<usize>() <= MAX_TXN_BYTES
}

/// Returns the length of a value as base64.
fn base64_bytes(value: &str) -> usize {
    value.len().div_ceil(3) * 4
}

/// Returns the place that a key names.
fn at(key: &rows::Key) -> At {
    (key.table, key.part.clone(), key.name.clone())
}

/// Makes a row as it is read.
fn row(at: &At, version: u64, value: &str) -> rows::Row {
    let (_, part, name) = at.clone();
    rows::Row { name, part, version, value: Some(value.to_owned()), gone: false }
}
