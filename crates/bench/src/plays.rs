//! Plays days of a deployment with an outside player, in a tree of sources, and reads its reports.
//!
//! The player is started as `PLAYER run SITE DAY --seed N --no-cpu --report FILE` in the tree, and
//! leaves a JSON report with the worth of the day and the rules that were broken.

use std::collections;
use std::fs;
use std::path;
use std::process;
use std::sync::atomic;
use std::thread;

use serde::Deserialize;

/// A tree of sources with the name it has in tables.
#[derive(Clone, Debug)]
pub struct Tree {
    /// The name.
    pub name: String,
    /// Its folder.
    pub folder: path::PathBuf,
}

/// A day of a deployment with the seed that draws what the day leaves open.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Day {
    /// The file of the deployment.
    pub site: path::PathBuf,
    /// The name of the day, or a file.
    pub name: String,
    /// The seed.
    pub seed: u64,
}

impl Day {
    /// Returns the name of the deployment.
    #[must_use]
    pub fn deployment(&self) -> String {
        self.site.file_stem().unwrap_or_default().to_string_lossy().into_owned()
    }
}

/// What came of a day.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Report {
    /// What the day was worth.
    #[serde(rename = "G")]
    pub worth: f64,
    /// How often each rule was broken.
    pub breaks: collections::BTreeMap<String, u64>,
}

/// How days are played.
#[derive(Clone, Debug)]
pub struct Player {
    /// The program.
    pub program: path::PathBuf,
    /// How many days at once.
    pub jobs: usize,
    /// What the player notes of each run.
    pub why: String,
}

/// Why a day could not be played.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    /// A file could not be read or written, or the player not started.
    #[error("{path}")]
    Io {
        /// Which one.
        path: path::PathBuf,
        /// The reason.
        #[source]
        source: std::io::Error,
    },
    /// The player ended without a report.
    #[error("{day:?} in {tree} gave no report: {output}")]
    NoReport {
        /// The day.
        day: Box<Day>,
        /// The tree.
        tree: String,
        /// The last lines of what the player said.
        output: String,
    },
    /// A report is not of the form that is known.
    #[error("the report of {day:?} is not understood")]
    Form {
        /// The day.
        day: Box<Day>,
        /// The reason.
        #[source]
        source: serde_json::Error,
    },
}

impl Player {
    /// Builds a tree, so that its days don't each find it changed.
    ///
    /// # Errors
    /// Returns `PlayError::Io` where the player can't be started.
    pub fn build(&self, tree: &Tree) -> Result<(), PlayError> {
        let built = process::Command::new(&self.program)
            .arg("build")
            .current_dir(&tree.folder)
            .stdout(process::Stdio::null())
            .status();
        built.map(drop).map_err(|source| io(&self.program, source))
    }

    /// Plays days in trees, some at once; the reports come in the order of the plays.
    ///
    /// # Errors
    /// Returns the first `PlayError`.
    pub fn play_all(&self, plays: &[(&Tree, &Day)]) -> Result<Vec<Report>, PlayError> {
        let scratch = tempfile::tempdir().map_err(|source| io(path::Path::new("tmp"), source))?;
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
            let workers: Vec<_> = (0..self.jobs.max(1)).map(|_| scope.spawn(work)).collect();
            workers.into_iter().filter_map(|worker| worker.join().ok()).flatten().collect()
        });
        reports.sort_by_key(|(at, _)| *at);
        reports.into_iter().map(|(_, report)| report).collect()
    }

    /// Plays one day.
    fn play(&self, tree: &Tree, day: &Day, report: &path::Path) -> Result<Report, PlayError> {
        let output = process::Command::new(&self.program)
            .arg("run")
            .arg(&day.site)
            .arg(&day.name)
            .args(["--seed", &day.seed.to_string(), "--no-cpu", "--jobs", "1"])
            .args(["--why", &self.why])
            .arg("--report")
            .arg(report)
            .current_dir(&tree.folder)
            .output()
            .map_err(|source| io(&self.program, source))?;
        let Ok(text) = fs::read_to_string(report) else {
            let output = [output.stdout, output.stderr].concat();
            return Err(PlayError::NoReport {
                day: Box::new(day.clone()),
                tree: tree.name.clone(),
                output: tail(&String::from_utf8_lossy(&output)),
            });
        };
        serde_json::from_str(&text)
            .map_err(|source| PlayError::Form { day: Box::new(day.clone()), source })
    }
}

/// Returns the last lines of an output.
fn tail(output: &str) -> String {
    /// How many lines tell what went wrong.
    const LINES: usize = 5;
    let lines: Vec<&str> = output.lines().collect();
    lines[lines.len().saturating_sub(LINES)..].join(" | ")
}

/// Returns the error for a path.
pub fn io(path: &path::Path, source: std::io::Error) -> PlayError {
    PlayError::Io { path: path.to_owned(), source }
}
