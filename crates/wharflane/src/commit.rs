//! Group commit with a single writer.
//!
//! At most one transaction is in flight. If its outcome is unknown, the writer reads the head row
//! back and compares the token, and sends the identical transaction again only if the row is
//! unchanged. An outcome is never assumed.

use crate::lease;
use crate::platform;

/// The writer of one hall's head row and log.
#[derive(Clone, Debug)]
pub struct Committer {
    /// The key of the head row.
    key: String,
    /// The version of the head row after the last commit.
    version: u64,
    /// The head row after the last commit.
    head: lease::Head,
    /// The transaction in flight, if any.
    pending: Option<Pending>,
}

/// A transaction whose outcome is not known yet.
#[derive(Clone, Debug)]
struct Pending {
    /// The head row that the transaction writes.
    head: lease::Head,
    /// The complete transaction, kept so that a retry is identical.
    txn: platform::Txn,
}

/// What the writer must do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send this transaction.
    Send(platform::Txn),
    /// Read the head row, because the outcome of the transaction is unknown.
    ReadBack,
    /// The transaction was applied.
    Committed,
    /// Another writer has replaced the row; only the log shows whether the transaction was applied
    /// before.
    Lost,
    /// Nothing to do.
    Idle,
}

/// The error for a head row that can't be encoded.
#[derive(Debug, thiserror::Error)]
#[error("head row can't be encoded")]
pub struct EncodeError(#[from] serde_json::Error);

impl Committer {
    /// Creates a writer from the head row as it was read; version zero means that the row is
    /// absent.
    #[must_use]
    pub fn new(key: &str, version: u64, head: lease::Head) -> Self {
        Self { key: key.to_owned(), version, head, pending: None }
    }

    /// Returns the head row after the last commit.
    #[must_use]
    pub fn head(&self) -> &lease::Head {
        &self.head
    }

    /// Returns whether no transaction is in flight.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.pending.is_none()
    }

    /// Starts a commit. The caller must ensure that no transaction is in flight.
    ///
    /// # Errors
    /// Returns `EncodeError` if the head row can't be encoded.
    pub fn begin(
        &mut self,
        head: lease::Head,
        mut writes: Vec<platform::Write>,
    ) -> Result<platform::Txn, EncodeError> {
        let value = Some(serde_json::to_string(&head)?);
        writes.push(platform::Write { key: self.key.clone(), value });
        let check = platform::Check { key: self.key.clone(), version: self.version };
        let txn = platform::Txn { checks: vec![check], writes };
        self.pending = Some(Pending { head, txn: txn.clone() });
        Ok(txn)
    }

    /// Handles the answer to a transaction; `None` means that the answer was lost.
    pub fn answered(&mut self, answer: Option<&platform::TxnAnswer>) -> Step {
        if self.pending.is_none() {
            return Step::Idle;
        }
        match answer {
            Some(platform::TxnAnswer::Committed) => self.settle(),
            // The conflict may be with an earlier send of the same transaction.
            Some(platform::TxnAnswer::Conflict { .. }) | None => Step::ReadBack,
        }
    }

    /// Handles the head row that was read to resolve an unknown outcome.
    pub fn read_back(&mut self, version: u64, head: Option<&lease::Head>) -> Step {
        let Some(pending) = &self.pending else {
            return Step::Idle;
        };
        if head.is_some_and(|head| head.token == pending.head.token) {
            return self.settle();
        }
        match version.cmp(&self.version) {
            std::cmp::Ordering::Less => Step::ReadBack,
            std::cmp::Ordering::Equal => Step::Send(pending.txn.clone()),
            std::cmp::Ordering::Greater => Step::Lost,
        }
    }

    /// Records that the transaction in flight was applied.
    fn settle(&mut self) -> Step {
        if let Some(pending) = self.pending.take() {
            self.version += 1;
            self.head = pending.head;
        }
        Step::Committed
    }
}
