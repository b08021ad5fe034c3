//! Wire types of the platform's table service.

use serde::{Deserialize, Serialize};

/// A row, as the service returned it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// Increases with every write of the row; zero means that the row is absent.
    pub version: u64,
    /// The value, as JSON text.
    pub value: String,
}

/// A precondition on the version of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// The required version; zero requires that the row is absent.
    pub version: u64,
}

/// A write of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// The new value; `None` deletes the row.
    pub value: Option<String>,
}

/// A transaction: if every check holds, all writes are applied, otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// The preconditions.
    pub checks: Vec<Check>,
    /// The writes, applied atomically.
    pub writes: Vec<Write>,
}

/// The result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "txn", rename_all = "kebab-case")]
pub enum TxnAnswer {
    /// All writes were applied.
    Committed,
    /// A check failed, and nothing was written.
    Conflict {
        /// The key whose version differed.
        key: String,
    },
}
