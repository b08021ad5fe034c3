//! Compares two source trees, or one tree with and without each of its mechanisms, over paired
//! days.
//!
//! Both sides play the same days with the same seeds, without charging processor time. The result
//! is the mean of the paired differences with its standard error, because the worth of a single day
//! varies by 0.05 with any change, however small.

use std::collections;
use std::fs;
use std::path;

use crate::ablate;
use crate::player;
use crate::table;

/// The number of standard errors that a difference must reach to be significant.
const SIGNIFICANT_ERRORS: f64 = 2.0;

/// The days to play and how to play them.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// Runs the days.
    pub player: player::Player,
    /// The days, each played on both sides.
    pub days: Vec<player::Day>,
    /// The folder that collects new journal entries of all trees.
    pub journal: path::PathBuf,
}

/// The mean difference that a change makes on one deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The deployment, or `None` for all of them together.
    pub deployment: Option<String>,
    /// The number of paired days.
    pub pairs: usize,
    /// The mean worth without the change.
    pub before: f64,
    /// The mean worth with the change.
    pub after: f64,
    /// The standard error of the mean difference; `None` for a single pair.
    pub standard_error: Option<f64>,
    /// The number of days without the change on which a rule was broken.
    pub broken_before: usize,
    /// The days with the change on which a rule was broken, each with its rules.
    pub broken_after: Vec<String>,
}

impl Difference {
    /// Returns whether the difference is significant, that is, unlikely to be due to chance.
    #[must_use]
    pub fn is_significant(&self) -> bool {
        let difference = (self.after - self.before).abs();
        self.standard_error
            .is_some_and(|error| difference >= SIGNIFICANT_ERRORS * error && difference > 0.0)
    }

    /// Formats the difference as a row of the table.
    fn row(&self, change: &str) -> Vec<String> {
        let error = self.standard_error.map_or("?".to_owned(), |error| format!("{error:.4}"));
        let verdict = if self.is_significant() { "counts" } else { "below two standard errors" };
        let broken = match self.broken_after.as_slice() {
            [] => "none".to_owned(),
            days => days.join("; "),
        };
        vec![
            change.to_owned(),
            self.deployment.clone().unwrap_or_else(|| "all".to_owned()),
            self.pairs.to_string(),
            format!("{:.3}", self.before),
            format!("{:.3}", self.after),
            format!("{:+.4}", self.after - self.before),
            error,
            verdict.to_owned(),
            self.broken_before.to_string(),
            broken,
        ]
    }
}

impl Comparison {
    /// Plays both trees and prints the differences.
    ///
    /// # Errors
    /// Returns the first `PlayError`.
    pub fn print(
        &self,
        before: &player::Tree,
        after: &player::Tree,
    ) -> Result<(), player::PlayError> {
        let mut rows = table();
        for difference in self.play(before, after)? {
            rows.row(difference.row(&after.name));
        }
        rows.print();
        Ok(())
    }

    /// Plays a tree with and without each mechanism of a list, and prints the differences.
    ///
    /// # Errors
    /// Returns the first error of a play, of the list, or of the copy of the tree.
    pub fn print_ablation(
        &self,
        full: &player::Tree,
        list: &path::Path,
    ) -> Result<(), ablate::AblateError> {
        let mechanisms = ablate::read(list)?;
        let mut rows = table();
        self.player.build(full)?;
        let reports = self.reports(full)?;
        let mut copy = ablate::TreeCopy::of(full)?;
        for mechanism in &mechanisms {
            let text = copy.remove(mechanism)?;
            self.player.build(&copy.tree)?;
            let pairs: Vec<_> = reports.iter().cloned().zip(self.reports(&copy.tree)?).collect();
            for difference in differences(&self.days, &pairs) {
                rows.row(difference.row(&copy.tree.name));
            }
            copy.restore(mechanism, &text)?;
        }
        rows.print();
        Ok(())
    }

    /// Plays all days in both trees, with the two sides of each pair in succession.
    ///
    /// # Errors
    /// Returns the first `PlayError`.
    pub fn play(
        &self,
        before: &player::Tree,
        after: &player::Tree,
    ) -> Result<Vec<Difference>, player::PlayError> {
        self.player.build(before)?;
        self.player.build(after)?;
        let sides = |day| [(before, day), (after, day)];
        let plays: Vec<_> = self.days.iter().flat_map(sides).collect();
        let reports = self.player.play_all(&plays)?;
        let pairs: Vec<_> =
            reports.chunks(2).map(|pair| (pair[0].clone(), pair[1].clone())).collect();
        self.collect_journal(before)?;
        self.collect_journal(after)?;
        Ok(differences(&self.days, &pairs))
    }

    /// Plays all days in one tree.
    fn reports(&self, tree: &player::Tree) -> Result<Vec<player::Report>, player::PlayError> {
        let plays: Vec<_> = self.days.iter().map(|day| (tree, day)).collect();
        let reports = self.player.play_all(&plays)?;
        self.collect_journal(tree)?;
        Ok(reports)
    }

    /// Copies new entries of a tree's journal to the common journal.
    fn collect_journal(&self, tree: &player::Tree) -> Result<(), player::PlayError> {
        let source_dir = tree.folder.join("journal");
        let Ok(listed) = fs::read_dir(&source_dir) else {
            return Ok(());
        };
        for entry in listed.flatten().filter(|entry| entry.path().is_file()) {
            let target = self.journal.join(entry.file_name());
            if !target.exists() {
                fs::copy(entry.path(), &target)
                    .map_err(|source| player::io_error(&target, source))?;
            }
        }
        Ok(())
    }
}

/// Creates the table of differences.
fn table() -> table::Table {
    table::Table::new(&[
        "change",
        "deployment",
        "pairs",
        "before",
        "after",
        "difference",
        "standard error",
        "verdict",
        "days broken before",
        "days broken after",
    ])
}

/// Returns the difference for each deployment, and over all deployments if there are several.
#[must_use]
pub fn differences(
    days: &[player::Day],
    pairs: &[(player::Report, player::Report)],
) -> Vec<Difference> {
    let mut deployments = collections::BTreeMap::<String, Vec<Pair<'_>>>::new();
    for (day, (before, after)) in days.iter().zip(pairs) {
        deployments.entry(day.deployment()).or_default().push((day, before, after));
    }
    let all: Vec<Pair<'_>> = deployments.values().flatten().copied().collect();
    let several = deployments.len() > 1;
    let mut differences: Vec<Difference> =
        deployments.into_iter().map(|(name, pairs)| difference(Some(name), &pairs)).collect();
    if several {
        differences.push(difference(None, &all));
    }
    differences
}

/// A day with its reports without and with the change.
type Pair<'a> = (&'a player::Day, &'a player::Report, &'a player::Report);

/// Returns the difference over pairs of days.
fn difference(deployment: Option<String>, pairs: &[Pair<'_>]) -> Difference {
    let count = pairs.len().max(1) as f64;
    let mean = |worth: fn(&Pair<'_>) -> f64| pairs.iter().map(worth).sum::<f64>() / count;
    let (before, after) = (mean(|pair| pair.1.worth), mean(|pair| pair.2.worth));
    let mean_difference = after - before;
    let squared_deviations =
        pairs.iter().map(|pair| (pair.2.worth - pair.1.worth - mean_difference).powi(2));
    let variance = squared_deviations.sum::<f64>() / (count - 1.0);
    let broken = pairs.iter().filter(|pair| !pair.2.breaks.is_empty());
    Difference {
        deployment,
        pairs: pairs.len(),
        before,
        after,
        standard_error: (pairs.len() > 1).then(|| (variance / count).sqrt()),
        broken_before: pairs.iter().filter(|pair| !pair.1.breaks.is_empty()).count(),
        broken_after: broken.map(|(day, _, report)| describe_violations(day, report)).collect(),
    }
}

/// Names a day and the rules broken on it.
fn describe_violations(day: &player::Day, report: &player::Report) -> String {
    let rules: Vec<&str> = report.breaks.keys().map(String::as_str).collect();
    format!("{} {} seed {}: {}", day.deployment(), day.name, day.seed, rules.join(" "))
}
