//! The record of a case: lines with the time since its start, in one file that all processes share.

use std::fs::{File, OpenOptions};
use std::io::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// A record.
#[derive(Clone, Debug)]
pub struct Log {
    /// The file.
    file: Arc<Mutex<File>>,
    /// The start of the case, in milliseconds since 1970.
    start_ms: u64,
}

impl Log {
    /// Opens a record for appending; `start_ms` is the start of the case.
    pub fn open(path: &Path, start_ms: u64) -> Self {
        let file = OpenOptions::new().create(true).append(true).open(path);
        let file = file.expect("the record can't be opened");
        Self { file: Arc::new(Mutex::new(file)), start_ms }
    }

    /// Returns the time since the start of the case, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        wall_ms().saturating_sub(self.start_ms)
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now_ms());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        drop(file.write_all(line.as_bytes()));
    }
}

/// Returns the time of day, in milliseconds since 1970.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
