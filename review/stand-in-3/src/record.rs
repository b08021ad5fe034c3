//! The record of a case: what was sent, answered and run, with the time of each line.

use std::fs::File;
use std::io::{self, Write as _};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// A record.
#[derive(Debug)]
pub struct Record {
    /// The file.
    file: Mutex<File>,
    /// When it began.
    began: Instant,
}

impl Record {
    /// Begins the record of a case in its folder.
    pub fn begin(folder: &Path) -> io::Result<Self> {
        let file = Mutex::new(File::create(folder.join("record.txt"))?);
        Ok(Self { file, began: Instant::now() })
    }

    /// Adds a line.
    pub fn note(&self, line: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{:9.3} {line}", self.began.elapsed().as_secs_f64());
    }

    /// Adds a line and shows it.
    pub fn tell(&self, line: &str) {
        println!("{line}");
        self.note(line);
    }
}
