//! Scores of past commits, read from the journal of scoring runs, as a table and a bar chart.

use std::fs;
use std::path;

use serde::Deserialize;

use crate::table;

/// The folder of journal entries, relative to the root of the tree.
const JOURNAL_DIR: &str = "journal";
/// The length of the bar for a mean worth of 1, in characters.
const BAR_WIDTH: f64 = 50.0;

/// A journal entry; other fields of its file are ignored.
#[derive(Deserialize)]
struct Entry {
    /// The start and end times of the run.
    at: Vec<String>,
    /// The command that was run.
    cmd: String,
    /// The commit that was measured.
    head: String,
    /// The site; `None` if the run did not finish.
    site: Option<String>,
    /// The score over all days, if there is one.
    score: Option<f64>,
    /// The days that were played.
    days: Vec<Day>,
}

/// The result of one day of an entry.
#[derive(Deserialize)]
struct Day {
    /// The name of the day.
    name: String,
    /// The worth of the day.
    #[serde(rename = "G")]
    worth: f64,
}

/// Why the journal could not be printed.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The folder or an entry could not be read.
    #[error("cannot read {path}")]
    Read {
        /// The folder or the entry.
        path: path::PathBuf,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// An entry does not have the expected form.
    #[error("{path} is not a valid journal entry")]
    MalformedEntry {
        /// The path of the entry.
        path: path::PathBuf,
        /// Error of the JSON parser.
        #[source]
        source: serde_json::Error,
    },
}

/// Prints the scores of all finished scoring runs.
///
/// # Errors
/// Returns `JournalError` if the folder or an entry can't be read.
pub fn print() -> Result<(), JournalError> {
    let entries = read()?;
    let mut rows = table::Table::new(&["when", "commit", "site", "score", "mean worth", "days"]);
    for entry in &entries {
        let days = standard_days(entry).map(|day| format!("{} {:.3}", day.name, day.worth));
        rows.row(vec![
            entry.at.first().cloned().unwrap_or_default(),
            entry.head.chars().take(8).collect(),
            entry.site.clone().unwrap_or_default(),
            entry.score.map(|score| format!("{score:.3}")).unwrap_or_default(),
            format!("{:.3}", mean_worth(entry)),
            days.collect::<Vec<_>>().join(", "),
        ]);
    }
    rows.print();
    for entry in &entries {
        let bar = "#".repeat((mean_worth(entry) * BAR_WIDTH).round() as usize);
        let site = entry.site.as_deref().unwrap_or_default();
        let commit: String = entry.head.chars().take(8).collect();
        println!("{commit} {site:18} {bar} {:.3}", mean_worth(entry));
    }
    Ok(())
}

/// Reads the entries of finished scoring runs, oldest first.
fn read() -> Result<Vec<Entry>, JournalError> {
    let folder = path::PathBuf::from(JOURNAL_DIR);
    let read_error =
        |path: &path::Path, source| JournalError::Read { path: path.to_owned(), source };
    let listed = fs::read_dir(&folder).map_err(|source| read_error(&folder, source))?;
    let mut paths: Vec<path::PathBuf> = listed.flatten().map(|entry| entry.path()).collect();
    paths.retain(|path| path.extension().is_some_and(|ext| ext == "json"));
    paths.sort();
    let mut entries = Vec::new();
    for path in paths {
        let text = fs::read_to_string(&path).map_err(|source| read_error(&path, source))?;
        let entry: Entry = serde_json::from_str(&text)
            .map_err(|source| JournalError::MalformedEntry { path: path.clone(), source })?;
        if entry.cmd == "score" && entry.site.is_some() {
            entries.push(entry);
        }
    }
    Ok(entries)
}

/// Returns the standard days of an entry. Randomly drawn days are left out: they differ between
/// runs and serve only as a pass-or-fail gate.
fn standard_days(entry: &Entry) -> impl Iterator<Item = &Day> {
    entry.days.iter().filter(|day| !day.name.starts_with("fresh"))
}

/// Returns the mean worth of the standard days.
fn mean_worth(entry: &Entry) -> f64 {
    let worths: Vec<f64> = standard_days(entry).map(|day| day.worth).collect();
    worths.iter().sum::<f64>() / worths.len().max(1) as f64
}
