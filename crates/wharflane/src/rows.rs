//! Rows of a store with tables, parts and transactions, in the terms that the job service needs.
//!
//! Versions come from one counter that grows with every transaction of the store.

/// The place of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The table.
    pub table: &'static str,
    /// The part; a transaction stays within one.
    pub part: String,
    /// The key within the part.
    pub name: String,
}

/// A row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The key within its table and part.
    pub name: String,
    /// The part.
    pub part: String,
    /// The version of the transaction that wrote it; zero where it is absent.
    pub version: u64,
    /// The value, or nothing for a row that was removed or whose value is no text.
    pub value: Option<String>,
    /// Whether it was removed.
    pub gone: bool,
}

/// A condition on the version of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expect {
    /// The row.
    pub key: Key,
    /// The version that it must have; zero where it must be absent.
    pub version: u64,
}

/// A write of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The row.
    pub key: Key,
    /// The new value, or nothing to remove the row.
    pub value: Option<String>,
}

/// A transaction: all writes are made, or none, after all conditions held.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions.
    pub expects: Vec<Expect>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// What became of a transaction that was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// All writes were made.
    Done {
        /// The version that the written rows have now.
        version: u64,
    },
    /// A condition did not hold, and nothing was written.
    Conflict {
        /// The rows of the conditions as they are.
        rows: Vec<Row>,
    },
}

/// What is known of a transaction after it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered(Answer),
    /// The store never takes it as it is, for its form or its size: nothing was or will be written.
    Refused,
    /// It may have been made, may be made later, or was turned away for the moment.
    Unknown,
}

/// Rows as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows, keys rising.
    pub rows: Vec<Row>,
    /// Whether there are more behind the last.
    pub more: bool,
    /// The version of the store at that moment.
    pub version: u64,
    /// What the store's steady clock showed then, in milliseconds; nothing where it did not say.
    pub now_ms: Option<u64>,
}

/// What has changed in a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// The changed rows, in order, and the version to go on from.
    Rows(Page),
    /// The history is gone: the table must be read anew.
    Forgotten,
}
