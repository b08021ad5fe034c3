//! Lines of logs, as far as they tell of jobs.

use std::time;

use serde::Deserialize;

/// A line that a host has written.
#[derive(Debug)]
pub struct Record {
    /// When it was written, since 1970.
    pub at: time::Duration,
    /// What it says.
    pub message: String,
    /// Its inputs.
    pub fields: serde_json::Map<String, serde_json::Value>,
}

/// A line as it is written.
#[derive(Deserialize)]
struct Line {
    /// When.
    timestamp: String,
    /// The message and its inputs.
    fields: serde_json::Map<String, serde_json::Value>,
}

/// Reads a line; lines of other programs are passed over.
pub fn record(line: &str) -> Option<Record> {
    let line: Line = serde_json::from_str(&line[line.find('{')?..]).ok()?;
    let at = humantime::parse_rfc3339(&line.timestamp).ok()?;
    let at = at.duration_since(time::UNIX_EPOCH).ok()?;
    let mut fields = line.fields;
    let message = fields.remove("message")?.as_str()?.to_owned();
    Some(Record { at, message, fields })
}

impl Record {
    /// Returns an input that is a text.
    pub fn text(&self, key: &str) -> Option<&str> {
        self.fields.get(key)?.as_str()
    }

    /// Returns an input that is a whole number.
    pub fn number(&self, key: &str) -> Option<u64> {
        self.fields.get(key)?.as_u64()
    }

    /// Returns the job that the line is about.
    pub fn job(&self) -> Option<&str> {
        let task = self.text("task").and_then(|task| task.split('.').next());
        let path = || self.text("path").and_then(|path| path.rsplit('/').next());
        self.text("job").or(task).or_else(path).filter(|job| !job.is_empty())
    }

    /// Returns the step of the task that the line is about.
    pub fn step(&self) -> Option<u32> {
        self.text("task")?.split('.').nth(2)?.parse().ok()
    }

    /// Returns whether the line is about a job.
    pub fn is_of(&self, job: &str) -> bool {
        self.job() == Some(job)
    }

    /// Returns the line for people.
    pub fn told(&self) -> String {
        let inputs = self.fields.iter().map(|(key, value)| format!("{key}={value}"));
        format!("{}  {}", self.message, inputs.collect::<Vec<_>>().join(" "))
    }
}
