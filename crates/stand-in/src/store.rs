//! An in-memory fake of the platform: its table service, object store and list of machines.

use std::collections;

use serde::{Deserialize, Serialize};
use wharflane::{members, platform};

/// The faults that are switched on at the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// No call is answered or performed.
    pub down: bool,
    /// How long each call takes, in milliseconds.
    pub slow_ms: u64,
    /// Every n-th transaction is committed without an answer; zero for none.
    pub lose_every: u64,
    /// Reads return the state before the last transaction.
    pub stale_reads: bool,
    /// Scans return the state at the moment when this was switched on.
    pub stale_scans: bool,
    /// Readers no longer see changes of the list of machines.
    pub list_frozen: bool,
}

/// Counts of the use of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The number of transactions, conflicts included.
    pub txns: u64,
    /// The number of reads and scans.
    pub reads: u64,
    /// The number of bytes written to rows and objects.
    pub written_bytes: u64,
}

/// The state of the platform.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// The rows by key.
    rows: collections::BTreeMap<String, platform::Row>,
    /// The rows before the last transaction, for stale reads.
    rows_before: collections::BTreeMap<String, platform::Row>,
    /// The rows at the moment when scans became stale.
    stale_rows: collections::BTreeMap<String, platform::Row>,
    /// The objects by key.
    objects: collections::BTreeMap<String, String>,
    /// The list of machines.
    members: members::Members,
    /// The list of machines as readers see it.
    visible_members: members::Members,
    /// The faults that are switched on.
    pub faults: Faults,
    /// Counts of calls and written bytes.
    pub counts: Counts,
}

/// The error of a call that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no answer")]
pub struct NoAnswer;

impl Store {
    /// Sets the faults.
    pub fn set_faults(&mut self, faults: Faults) {
        if faults.stale_scans && !self.faults.stale_scans {
            self.stale_rows = self.rows.clone();
        }
        self.faults = faults;
    }

    /// Performs a transaction.
    ///
    /// # Errors
    /// Returns `NoAnswer` if the answer is lost, whether or not the transaction was committed.
    pub fn transact(&mut self, txn: &platform::Txn) -> Result<platform::TxnAnswer, NoAnswer> {
        if self.faults.down {
            return Err(NoAnswer);
        }
        self.counts.txns += 1;
        let failed = txn.checks.iter().find(|check| {
            let version = self.rows.get(&check.key).map_or(0, |row| row.version);
            version != check.version
        });
        if let Some(check) = failed {
            return Ok(platform::TxnAnswer::Conflict { key: check.key.clone() });
        }
        if self.faults.stale_reads {
            self.rows_before = self.rows.clone();
        }
        for write in &txn.writes {
            self.apply(write);
        }
        let lose = self.faults.lose_every;
        if lose > 0 && self.counts.txns.is_multiple_of(lose) {
            return Err(NoAnswer);
        }
        Ok(platform::TxnAnswer::Committed)
    }

    /// Reads the rows with the given keys.
    ///
    /// # Errors
    /// Returns `NoAnswer` while the platform is down.
    pub fn read(&mut self, keys: &[String]) -> Result<Vec<platform::Row>, NoAnswer> {
        let rows = self.readable_rows()?;
        Ok(keys.iter().filter_map(|key| rows.get(key).cloned()).collect())
    }

    /// Reads all rows whose key has a prefix.
    ///
    /// # Errors
    /// Returns `NoAnswer` while the platform is down.
    pub fn scan(&mut self, prefix: &str) -> Result<Vec<platform::Row>, NoAnswer> {
        let stale = self.faults.stale_scans.then(|| self.stale_rows.clone());
        let fresh = self.readable_rows()?;
        let rows = stale.as_ref().unwrap_or(fresh).range(prefix.to_owned()..);
        Ok(rows.take_while(|(k, _)| k.starts_with(prefix)).map(|(_, row)| row.clone()).collect())
    }

    /// Stores an object.
    ///
    /// # Errors
    /// Returns `NoAnswer` while the platform is down.
    pub fn put_object(&mut self, key: &str, value: String) -> Result<(), NoAnswer> {
        if self.faults.down {
            return Err(NoAnswer);
        }
        self.counts.written_bytes += value.len() as u64;
        self.objects.insert(key.to_owned(), value);
        Ok(())
    }

    /// Reads an object.
    ///
    /// # Errors
    /// Returns `NoAnswer` while the platform is down.
    pub fn get_object(&mut self, key: &str) -> Result<Option<String>, NoAnswer> {
        if self.faults.down {
            return Err(NoAnswer);
        }
        Ok(self.objects.get(key).cloned())
    }

    /// Deletes an object.
    ///
    /// # Errors
    /// Returns `NoAnswer` while the platform is down.
    pub fn delete_object(&mut self, key: &str) -> Result<(), NoAnswer> {
        if self.faults.down {
            return Err(NoAnswer);
        }
        self.objects.remove(key);
        Ok(())
    }

    /// Returns how many objects are stored.
    #[must_use]
    pub fn object_count(&self) -> usize {
        self.objects.len()
    }

    /// Replaces the list of machines; readers see the change unless the list is frozen.
    pub fn set_members(&mut self, members: members::Members) {
        let version = self.members.version + 1;
        self.members = members::Members { version, ..members };
        if !self.faults.list_frozen {
            self.visible_members = self.members.clone();
        }
    }

    /// Reads the list of machines.
    ///
    /// # Errors
    /// Returns `NoAnswer` while the platform is down.
    pub fn members(&self) -> Result<members::Members, NoAnswer> {
        if self.faults.down { Err(NoAnswer) } else { Ok(self.visible_members.clone()) }
    }

    /// Counts a read and returns the rows as readers see them.
    fn readable_rows(&mut self) -> Result<&collections::BTreeMap<String, platform::Row>, NoAnswer> {
        if self.faults.down {
            return Err(NoAnswer);
        }
        self.counts.reads += 1;
        Ok(if self.faults.stale_reads { &self.rows_before } else { &self.rows })
    }

    /// Applies one write of a transaction.
    fn apply(&mut self, write: &platform::Write) {
        let Some(value) = &write.value else {
            self.rows.remove(&write.key);
            return;
        };
        self.counts.written_bytes += value.len() as u64;
        let version = self.rows.get(&write.key).map_or(0, |row| row.version) + 1;
        let row = platform::Row { key: write.key.clone(), version, value: value.clone() };
        self.rows.insert(write.key.clone(), row);
    }
}
