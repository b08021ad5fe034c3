//! Group commit with a single writer: one transaction at a time, and never a guess about its fate.

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
    /// The commit that is under way.
    pending: Option<Pending>,
}

/// A commit whose fate is open.
#[derive(Clone, Debug)]
struct Pending {
    /// The head row that it writes.
    head: lease::Head,
    /// The whole transaction, sent again unchanged where it must be.
    txn: platform::Txn,
}

/// What the writer does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send this transaction.
    Send(platform::Txn),
    /// Read the head row, since the fate of the transaction is in doubt.
    ReadBack,
    /// The transaction stands.
    Committed,
    /// Another writer has the row; the log tells whether the transaction stood before.
    Lost,
    /// Nothing.
    Idle,
}

/// A head row that could not be encoded.
#[derive(Debug, thiserror::Error)]
#[error("head row can't be encoded")]
pub struct EncodeError(#[from] serde_json::Error);

impl Committer {
    /// Starts from a row as it was read; version zero stands for an absent row.
    #[must_use]
    pub fn new(key: &str, version: u64, head: lease::Head) -> Self {
        Self { key: key.to_owned(), version, head, pending: None }
    }

    /// Returns the head row after the last commit.
    #[must_use]
    pub fn head(&self) -> &lease::Head {
        &self.head
    }

    /// Returns whether no commit is under way.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.pending.is_none()
    }

    /// Begins a commit; the caller has seen to it that none is under way.
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

    /// Takes the answer to a transaction; nothing stands for a lost answer.
    pub fn answered(&mut self, answer: Option<&platform::TxnAnswer>) -> Step {
        if self.pending.is_none() {
            return Step::Idle;
        }
        match answer {
            Some(platform::TxnAnswer::Committed) => self.settle(),
            // An earlier sending of the same transaction may be what it conflicts with.
            Some(platform::TxnAnswer::Conflict { .. }) | None => Step::ReadBack,
        }
    }

    /// Takes the head row as it was read after a doubt.
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

    /// Notes that the transaction stands.
    fn settle(&mut self) -> Step {
        if let Some(pending) = self.pending.take() {
            self.version += 1;
            self.head = pending.head;
        }
        Step::Committed
    }
}
