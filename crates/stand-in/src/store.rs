//! The platform's table service, object store and list of machines, in memory.

use std::collections;

use serde::{Deserialize, Serialize};
use wharflane::{members, platform};

/// What is wrong with the platform at the moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Nothing is answered and nothing is done.
    pub down: bool,
    /// How long each call takes, in milliseconds.
    pub slow_ms: u64,
    /// Of so many transactions, one is made and its answer lost; zero for none.
    pub lose_every: u64,
    /// Reads show the state before the last write.
    pub stale_reads: bool,
    /// Scans show the state of the moment when this was switched on.
    pub stale_scans: bool,
    /// The list of machines does not change any more.
    pub list_frozen: bool,
}

/// How much the platform was used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Transactions.
    pub txns: u64,
    /// Reads and scans.
    pub reads: u64,
    /// Bytes written.
    pub written_bytes: u64,
}

/// The platform's state.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// The rows.
    rows: collections::BTreeMap<String, platform::Row>,
    /// The rows before the last transaction.
    before: collections::BTreeMap<String, platform::Row>,
    /// The rows when scans became stale.
    scanned: collections::BTreeMap<String, platform::Row>,
    /// The objects.
    objects: collections::BTreeMap<String, String>,
    /// The list of machines.
    members: members::Members,
    /// The list as readers see it.
    shown: members::Members,
    /// What is wrong.
    pub faults: Faults,
    /// How much was used.
    pub counts: Counts,
}

/// A call that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no answer")]
pub struct NoAnswer;

impl Store {
    /// Sets what is wrong.
    pub fn set_faults(&mut self, faults: Faults) {
        if faults.stale_scans && !self.faults.stale_scans {
            self.scanned = self.rows.clone();
        }
        self.faults = faults;
    }

    /// Makes a transaction.
    ///
    /// # Errors
    /// Returns `NoAnswer` where the answer is lost, whether the transaction was made or not.
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
            self.before = self.rows.clone();
        }
        for write in &txn.writes {
            self.write(write);
        }
        let lose = self.faults.lose_every;
        if lose > 0 && self.counts.txns.is_multiple_of(lose) {
            return Err(NoAnswer);
        }
        Ok(platform::TxnAnswer::Committed)
    }

    /// Reads rows.
    ///
    /// # Errors
    /// Returns `NoAnswer` while the platform is down.
    pub fn read(&mut self, keys: &[String]) -> Result<Vec<platform::Row>, NoAnswer> {
        let rows = self.reading()?;
        Ok(keys.iter().filter_map(|key| rows.get(key).cloned()).collect())
    }

    /// Reads all rows below a prefix.
    ///
    /// # Errors
    /// Returns `NoAnswer` while the platform is down.
    pub fn scan(&mut self, prefix: &str) -> Result<Vec<platform::Row>, NoAnswer> {
        let stale = self.faults.stale_scans.then(|| self.scanned.clone());
        let fresh = self.reading()?;
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

    /// Returns how many objects there are.
    #[must_use]
    pub fn object_count(&self) -> usize {
        self.objects.len()
    }

    /// Changes the list of machines; readers see it unless the list is frozen.
    pub fn set_members(&mut self, members: members::Members) {
        let version = self.members.version + 1;
        self.members = members::Members { version, ..members };
        if !self.faults.list_frozen {
            self.shown = self.members.clone();
        }
    }

    /// Reads the list of machines.
    ///
    /// # Errors
    /// Returns `NoAnswer` while the platform is down.
    pub fn members(&self) -> Result<members::Members, NoAnswer> {
        if self.faults.down { Err(NoAnswer) } else { Ok(self.shown.clone()) }
    }

    /// Returns the rows as readers see them.
    fn reading(&mut self) -> Result<&collections::BTreeMap<String, platform::Row>, NoAnswer> {
        if self.faults.down {
            return Err(NoAnswer);
        }
        self.counts.reads += 1;
        Ok(if self.faults.stale_reads { &self.before } else { &self.rows })
    }

    /// Makes one write.
    fn write(&mut self, write: &platform::Write) {
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
