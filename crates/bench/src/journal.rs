//! The scores of the users' bench by commit, from `journal/`, as a table and a plot.

use std::fs;
use std::path;

use serde::Deserialize;

use crate::table;

/// Where the users' bench leaves its entries.
const FOLDER: &str = "journal";
/// The width of a whole bar of the plot.
const WIDTH: f64 = 50.0;

/// One entry, as far as it is read here.
#[derive(Deserialize)]
struct Entry {
    /// When it was started and when it ended.
    at: Vec<String>,
    /// What was run.
    cmd: String,
    /// The commit that was measured.
    head: String,
    /// The site; nothing in an entry of a run that did not end.
    site: Option<String>,
    /// The score.
    score: Option<f64>,
    /// The days.
    days: Vec<Day>,
}

/// One day of an entry.
#[derive(Deserialize)]
struct Day {
    /// Its name.
    name: String,
    /// What it was worth.
    #[serde(rename = "G")]
    worth: f64,
}

/// Why the journal could not be shown.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The folder or an entry could not be read.
    #[error("{path} can't be read")]
    Read {
        /// What was read.
        path: path::PathBuf,
        /// The reason.
        #[source]
        source: std::io::Error,
    },
    /// An entry is not of the form that is known.
    #[error("{path} is no entry")]
    Form {
        /// The entry.
        path: path::PathBuf,
        /// The reason.
        #[source]
        source: serde_json::Error,
    },
}

/// Prints all whole scores.
///
/// # Errors
/// Returns `JournalError` where an entry can't be read.
pub fn print() -> Result<(), JournalError> {
    let entries = read()?;
    let mut shown = table::Table::new(&["when", "commit", "site", "score", "mean worth", "days"]);
    for entry in &entries {
        let days = standard(entry).map(|day| format!("{} {:.3}", day.name, day.worth));
        shown.row(vec![
            entry.at.first().cloned().unwrap_or_default(),
            entry.head.chars().take(8).collect(),
            entry.site.clone().unwrap_or_default(),
            entry.score.map(|score| format!("{score:.3}")).unwrap_or_default(),
            format!("{:.3}", mean(entry)),
            days.collect::<Vec<_>>().join(", "),
        ]);
    }
    shown.print();
    for entry in &entries {
        let bar = "#".repeat((mean(entry) * WIDTH).round() as usize);
        let site = entry.site.as_deref().unwrap_or_default();
        let commit: String = entry.head.chars().take(8).collect();
        println!("{commit} {site:18} {bar} {:.3}", mean(entry));
    }
    Ok(())
}

/// Reads the entries of all scores that came to their end, the oldest first.
fn read() -> Result<Vec<Entry>, JournalError> {
    let folder = path::PathBuf::from(FOLDER);
    let failed = |path: &path::Path, source| JournalError::Read { path: path.to_owned(), source };
    let listed = fs::read_dir(&folder).map_err(|source| failed(&folder, source))?;
    let mut paths: Vec<path::PathBuf> = listed.flatten().map(|entry| entry.path()).collect();
    paths.retain(|path| path.extension().is_some_and(|ext| ext == "json"));
    paths.sort();
    let mut entries = Vec::new();
    for path in paths {
        let text = fs::read_to_string(&path).map_err(|source| failed(&path, source))?;
        let entry: Entry = serde_json::from_str(&text)
            .map_err(|source| JournalError::Form { path: path.clone(), source })?;
        if entry.cmd == "score" && entry.site.is_some() {
            entries.push(entry);
        }
    }
    Ok(entries)
}

/// Returns the standard days of a score; the one drawn just now counts for the gate alone.
fn standard(entry: &Entry) -> impl Iterator<Item = &Day> {
    entry.days.iter().filter(|day| !day.name.starts_with("fresh"))
}

/// Returns the mean worth of the standard days.
fn mean(entry: &Entry) -> f64 {
    let worths: Vec<f64> = standard(entry).map(|day| day.worth).collect();
    worths.iter().sum::<f64>() / worths.len().max(1) as f64
}
