//! Rows, transactions and change feeds of the partitioned store that the job service uses.
//!
//! Versions come from one counter that increases with every transaction of the store.

/// The address of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The table that the row is in.
    pub table: &'static str,
    /// The partition; a transaction stays within one partition.
    pub part: String,
    /// The key within the partition.
    pub name: String,
}

/// A row, as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The key within its table and partition.
    pub name: String,
    /// The partition that the row is in.
    pub part: String,
    /// The version of the transaction that wrote the row; zero if the row is absent.
    pub version: u64,
    /// The value; `None` if the row was removed or its value is not text.
    pub value: Option<String>,
    /// Whether the row was removed.
    pub gone: bool,
}

/// A precondition on the version of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expect {
    /// The row that the precondition is on.
    pub key: Key,
    /// The required version; zero requires that the row is absent.
    pub version: u64,
}

/// A write of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The row to write.
    pub key: Key,
    /// The new value; `None` removes the row.
    pub value: Option<String>,
}

/// A transaction: if every precondition holds, all writes are applied, otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The preconditions.
    pub expects: Vec<Expect>,
    /// The writes, applied atomically.
    pub writes: Vec<Write>,
}

/// The store's answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// All writes were applied.
    Done {
        /// The new version of every written row.
        version: u64,
    },
    /// A precondition failed, and nothing was written.
    Conflict {
        /// The current rows of the preconditions.
        rows: Vec<Row>,
    },
}

/// What is known about a transaction that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The store answered.
    Answered(Answer),
    /// The store rejected the transaction for its form or size: it was not applied and never will
    /// be.
    Refused,
    /// No definite answer, or a temporary refusal: the transaction may have been applied, or may be
    /// later.
    Unknown,
}

/// Rows as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows, in ascending order of key.
    pub rows: Vec<Row>,
    /// Whether more rows follow the last one.
    pub more: bool,
    /// The version of the store at that moment.
    pub version: u64,
    /// The store's monotonic clock at that moment, in milliseconds; `None` if the store did not
    /// report it.
    pub now_ms: Option<u64>,
}

/// The changes of a table since a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// The changed rows in order, and the version to continue from.
    Rows(Page),
    /// The store no longer has the history: the table must be read again in full.
    Forgotten,
}
