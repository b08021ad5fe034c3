//! Runs days of a deployment in a source tree with an external player program, and reads its
//! reports.
//!
//! A day is a scenario of demand and faults. The player runs in the tree's root as
//! `PLAYER run SITE DAY --seed N --no-cpu --report FILE` and writes a JSON report with the worth of
//! the day and the rules that were broken.

use std::collections;
use std::fs;
use std::path;
use std::process;
use std::sync::atomic;
use std::thread;

use serde::Deserialize;

/// A source tree and its name in tables.
#[derive(Clone, Debug)]
pub struct Tree {
    /// The name in tables.
    pub name: String,
    /// The root folder.
    pub folder: path::PathBuf,
}

/// A day of a deployment, with the seed of its random choices.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Day {
    /// The file that describes the deployment.
    pub site: path::PathBuf,
    /// The name of the day, or the path of a file that describes it.
    pub name: String,
    /// The seed for what the day does not specify.
    pub seed: u64,
}

impl Day {
    /// Returns the name of the deployment, which is the stem of its file name.
    #[must_use]
    pub fn deployment(&self) -> String {
        self.site.file_stem().unwrap_or_default().to_string_lossy().into_owned()
    }
}

/// The player's report on one day.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Report {
    /// The worth of the day, as the player computes it.
    #[serde(rename = "G")]
    pub worth: f64,
    /// The number of violations by rule.
    pub breaks: collections::BTreeMap<String, u64>,
}

/// The player program and its settings.
#[derive(Clone, Debug)]
pub struct Player {
    /// The path of the program.
    pub program: path::PathBuf,
    /// The number of days that run at a time.
    pub parallelism: usize,
    /// A note that the player records with each run.
    pub note: String,
}

/// Why a day could not be played.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    /// A file could not be read or written, or the player could not be started.
    #[error("cannot access {path}")]
    Io {
        /// The file or program.
        path: path::PathBuf,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// The player ended without a report.
    #[error("the player wrote no report for {day:?} in {tree}: {output}")]
    NoReport {
        /// The day that was played.
        day: Box<Day>,
        /// The name of the tree.
        tree: String,
        /// The last lines of the player's output.
        output: String,
    },
    /// A report does not have the expected form.
    #[error("the report of {day:?} is malformed")]
    MalformedReport {
        /// The day that was played.
        day: Box<Day>,
        /// Error of the JSON parser.
        #[source]
        source: serde_json::Error,
    },
}

impl Player {
    /// Builds a tree once, so that the runs of its days need no build. The player's exit code is
    /// ignored.
    ///
    /// # Errors
    /// Returns `PlayError::Io` if the player can't be started.
    pub fn build(&self, tree: &Tree) -> Result<(), PlayError> {
        let status = process::Command::new(&self.program)
            .arg("build")
            .current_dir(&tree.folder)
            .stdout(process::Stdio::null())
            .status();
        status.map(drop).map_err(|source| io_error(&self.program, source))
    }

    /// Runs the days in parallel and returns the reports in the order of `plays`.
    ///
    /// # Errors
    /// Returns the first `PlayError` in that order.
    pub fn play_all(&self, plays: &[(&Tree, &Day)]) -> Result<Vec<Report>, PlayError> {
        let scratch =
            tempfile::tempdir().map_err(|source| io_error(path::Path::new("tmp"), source))?;
        let next = atomic::AtomicUsize::new(0);
        let work = || {
            let mut done = Vec::new();
            loop {
                let at = next.fetch_add(1, atomic::Ordering::Relaxed);
                let Some((tree, day)) = plays.get(at) else {
                    return done;
                };
                let report = scratch.path().join(format!("{at}.json"));
                done.push((at, self.play(tree, day, &report)));
            }
        };
        let mut reports: Vec<(usize, Result<Report, PlayError>)> = thread::scope(|scope| {
            let workers: Vec<_> = (0..self.parallelism.max(1)).map(|_| scope.spawn(work)).collect();
            workers.into_iter().filter_map(|worker| worker.join().ok()).flatten().collect()
        });
        reports.sort_by_key(|(at, _)| *at);
        reports.into_iter().map(|(_, report)| report).collect()
    }

    /// Runs one day and reads its report.
    fn play(&self, tree: &Tree, day: &Day, report: &path::Path) -> Result<Report, PlayError> {
        let output = process::Command::new(&self.program)
            .arg("run")
            .arg(&day.site)
            .arg(&day.name)
            .args(["--seed", &day.seed.to_string(), "--no-cpu", "--jobs", "1"])
            .args(["--why", &self.note])
            .arg("--report")
            .arg(report)
            .current_dir(&tree.folder)
            .output()
            .map_err(|source| io_error(&self.program, source))?;
        let Ok(text) = fs::read_to_string(report) else {
            let output = [output.stdout, output.stderr].concat();
            return Err(PlayError::NoReport {
                day: Box::new(day.clone()),
                tree: tree.name.clone(),
                output: last_lines(&String::from_utf8_lossy(&output)),
            });
        };
        serde_json::from_str(&text)
            .map_err(|source| PlayError::MalformedReport { day: Box::new(day.clone()), source })
    }
}

/// Returns the last lines of the output, joined into one line.
fn last_lines(output: &str) -> String {
    /// Enough lines to show an error message.
    const LINES: usize = 5;
    let lines: Vec<&str> = output.lines().collect();
    lines[lines.len().saturating_sub(LINES)..].join(" | ")
}

/// Returns the error for a failed access to a path.
pub fn io_error(path: &path::Path, source: std::io::Error) -> PlayError {
    PlayError::Io { path: path.to_owned(), source }
}
