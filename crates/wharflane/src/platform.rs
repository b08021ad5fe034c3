//! The platform's table service in the terms of its protocol.

use serde::{Deserialize, Serialize};

/// A row as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// Grows with every write of the row; zero stands for an absent row.
    pub version: u64,
    /// The value, a JSON text.
    pub value: String,
}

/// A condition on the version of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The key.
    pub key: String,
    /// The version that the row must have; zero where it must be absent.
    pub version: u64,
}

/// A write of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value, or nothing to delete the row.
    pub value: Option<String>,
}

/// A transaction: all writes are made, or none, after all checks held.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// The conditions.
    pub checks: Vec<Check>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "txn", rename_all = "kebab-case")]
pub enum TxnAnswer {
    /// All writes were made.
    Committed,
    /// A check did not hold, and nothing was written.
    Conflict {
        /// The row that had another version.
        key: String,
    },
}
