//! The row of a submitted job, as a host stores it beside cancels that may have come first.

use super::Found;
use crate::job::rows as job_rows;
use crate::job::spec;
use crate::rows;

/// What a conflict tells about the row that was to be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conflict {
    /// The job is stored already.
    Stored,
    /// The job was cancelled before it was stored; the next transaction stores it as cancelled.
    Cancelled,
    /// The answer shows neither.
    Unclear,
}

/// The row of a submitted job that is to be stored.
#[derive(Clone, Debug)]
pub struct Submitted {
    /// The domain of the job.
    domain: u32,
    /// The id of the job.
    id: spec::JobId,
    /// What the row tells.
    accepted: job_rows::Accepted,
    /// The encoded row.
    value: String,
    /// The version of the early cancel that the row replaces; zero for none.
    early_cancel: u64,
}

impl Submitted {
    /// Creates the row of a job of which no cancel is known.
    ///
    /// # Errors
    /// Returns an error if the row can't be encoded.
    pub fn new(
        domain: u32,
        id: spec::JobId,
        accepted: job_rows::Accepted,
    ) -> Result<Self, serde_json::Error> {
        let value = serde_json::to_string(&accepted)?;
        Ok(Self { domain, id, accepted, value, early_cancel: 0 })
    }

    /// Returns the id of the job.
    #[must_use]
    pub fn id(&self) -> spec::JobId {
        self.id
    }

    /// Returns the version of the early cancel that the row replaces; `None` if none is known.
    #[must_use]
    pub fn early_cancel(&self) -> Option<u64> {
        (self.early_cancel > 0).then_some(self.early_cancel)
    }

    /// Returns the key of the row.
    #[must_use]
    pub fn key(&self) -> rows::Key {
        job_rows::job_key(self.domain, self.id)
    }

    /// Returns the length of the encoded row, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.value.len()
    }

    /// Returns the transaction that stores the row. It has a conflict if the job is stored already, or
    /// if its early cancel is not the known one.
    #[must_use]
    pub fn txn(&self) -> rows::Txn {
        let (key, cancel) = (self.key(), super::key(self.domain, self.id));
        let mut writes = vec![rows::Write { key: key.clone(), value: Some(self.value.clone()) }];
        if self.early_cancel > 0 {
            writes.push(rows::Write { key: cancel.clone(), value: None });
        }
        rows::Txn {
            expects: vec![
                rows::Expect { key, version: 0 },
                rows::Expect { key: cancel, version: self.early_cancel },
            ],
            writes,
        }
    }

    /// Takes in the rows that the store returned in place of carrying out the transaction.
    ///
    /// # Errors
    /// Returns an error if the row can't be encoded as that of a cancelled job.
    pub fn take_in_conflict(
        &mut self,
        conflict: &[rows::Row],
    ) -> Result<Conflict, serde_json::Error> {
        let version = match super::find(conflict, self.id) {
            Found::Job(_) => return Ok(Conflict::Stored),
            Found::Nothing => return Ok(Conflict::Unclear),
            Found::EarlyCancel(version) => version,
        };
        self.accepted.cancelled = true;
        self.value = serde_json::to_string(&self.accepted)?;
        self.early_cancel = version;
        Ok(Conflict::Cancelled)
    }
}
