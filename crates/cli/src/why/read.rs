//! Reads the JSON lines of host logs and finds the job and the step that a line is about.

use std::time;

use serde::Deserialize;

/// A parsed log line of a host.
#[derive(Debug)]
pub struct Record {
    /// Time of writing, since the Unix epoch (1970).
    pub at: time::Duration,
    /// The log message, by which the summary recognizes events.
    pub message: String,
    /// The other fields of the line, by name.
    pub fields: serde_json::Map<String, serde_json::Value>,
}

/// A log line as serialized.
#[derive(Deserialize)]
struct Line {
    /// Time of writing, in the format of RFC 3339.
    timestamp: String,
    /// The message and the other fields.
    fields: serde_json::Map<String, serde_json::Value>,
}

/// Parses a log line; returns `None` for lines that are not a host's JSON log.
pub fn parse_line(line: &str) -> Option<Record> {
    let line: Line = serde_json::from_str(&line[line.find('{')?..]).ok()?;
    let at = humantime::parse_rfc3339(&line.timestamp).ok()?;
    let at = at.duration_since(time::UNIX_EPOCH).ok()?;
    let mut fields = line.fields;
    let message = fields.remove("message")?.as_str()?.to_owned();
    Some(Record { at, message, fields })
}

impl Record {
    /// Returns a field whose value is a string.
    pub fn text(&self, key: &str) -> Option<&str> {
        self.fields.get(key)?.as_str()
    }

    /// Returns a field whose value is an unsigned integer.
    pub fn number(&self, key: &str) -> Option<u64> {
        self.fields.get(key)?.as_u64()
    }

    /// Returns the id of the job that the line is about: the field `job`, else the first part of
    /// `task`, else the last segment of `path`.
    pub fn job(&self) -> Option<&str> {
        let task = self.text("task").and_then(|task| task.split('.').next());
        let path = || self.text("path").and_then(|path| path.rsplit('/').next());
        self.text("job").or(task).or_else(path).filter(|job| !job.is_empty())
    }

    /// Returns the index of the step that the line's `task` belongs to.
    pub fn step(&self) -> Option<u32> {
        self.text("task")?.split('.').nth(2)?.parse().ok()
    }

    /// Returns whether the line is about the given job.
    pub fn is_of(&self, job: &str) -> bool {
        self.job() == Some(job)
    }

    /// Returns whether the line tells that the loss of a worker counts against a task.
    pub fn is_loss(&self) -> bool {
        self.message == "worker lost under a task"
    }

    /// Returns whether the line tells that a worker whose loss counted lives.
    pub fn is_return(&self) -> bool {
        self.message == "worker that counted as lost is there again"
    }

    /// Formats the message and the fields for people.
    pub fn to_line(&self) -> String {
        let fields = self.fields.iter().map(|(key, value)| format!("{key}={value}"));
        format!("{}  {}", self.message, fields.collect::<Vec<_>>().join(" "))
    }
}
