//! Compares two trees of sources, or one tree with each of its mechanisms taken out, day by day.
//!
//! Both sides play the same days with the same seeds, without processor time charged. What counts is
//! the mean of the differences with its standard error: single days move by 0.05 with any change.

use std::collections;
use std::fs;
use std::path;

use crate::ablate;
use crate::plays;
use crate::table;

/// How many standard errors a difference must exceed to count.
const ERRORS_TO_COUNT: f64 = 2.0;

/// What is compared.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// How days are played.
    pub player: plays::Player,
    /// The days.
    pub days: Vec<plays::Day>,
    /// Where new entries of the player's journal are gathered.
    pub journal: path::PathBuf,
}

/// The difference that a change made on one deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The deployment, or nothing for all of them.
    pub deployment: Option<String>,
    /// The pairs of days.
    pub pairs: usize,
    /// The mean worth without the change.
    pub before: f64,
    /// The mean worth with it.
    pub after: f64,
    /// The standard error of the mean difference; nothing for a single pair.
    pub error: Option<f64>,
    /// The days without the change on which a rule was broken.
    pub broken_before: usize,
    /// Such days with it, with the rules.
    pub broken_after: Vec<String>,
}

impl Difference {
    /// Returns whether the difference is too large to be chance.
    #[must_use]
    pub fn counts(&self) -> bool {
        let difference = (self.after - self.before).abs();
        self.error.is_some_and(|error| difference >= ERRORS_TO_COUNT * error && difference > 0.0)
    }

    /// Returns the row of a table.
    fn row(&self, what: &str) -> Vec<String> {
        let error = self.error.map_or("?".to_owned(), |error| format!("{error:.4}"));
        let verdict = if self.counts() { "counts" } else { "below two standard errors" };
        let broken = match self.broken_after.as_slice() {
            [] => "none".to_owned(),
            days => days.join("; "),
        };
        vec![
            what.to_owned(),
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
    pub fn print(&self, before: &plays::Tree, after: &plays::Tree) -> Result<(), plays::PlayError> {
        let mut shown = table();
        for difference in self.play(before, after)? {
            shown.row(difference.row(&after.name));
        }
        shown.print();
        Ok(())
    }

    /// Plays a tree with each mechanism of a list taken out, and prints what each is worth.
    ///
    /// # Errors
    /// Returns the first error of a play, of the list, or of a copy of the tree.
    pub fn print_ablation(
        &self,
        whole: &plays::Tree,
        list: &path::Path,
    ) -> Result<(), ablate::AblateError> {
        let mechanisms = ablate::read(list)?;
        let mut shown = table();
        self.player.build(whole)?;
        let reports = self.reports(whole)?;
        let mut copy = ablate::Copy::of(whole)?;
        for mechanism in &mechanisms {
            let text = copy.take_out(mechanism)?;
            self.player.build(&copy.tree)?;
            let pairs: Vec<_> = reports.iter().cloned().zip(self.reports(&copy.tree)?).collect();
            for difference in differences(&self.days, &pairs) {
                shown.row(difference.row(&copy.tree.name));
            }
            copy.put_back(mechanism, &text)?;
        }
        shown.print();
        Ok(())
    }

    /// Plays all days in both trees, the two sides of a pair one after the other.
    ///
    /// # Errors
    /// Returns the first `PlayError`.
    pub fn play(
        &self,
        before: &plays::Tree,
        after: &plays::Tree,
    ) -> Result<Vec<Difference>, plays::PlayError> {
        self.player.build(before)?;
        self.player.build(after)?;
        let sides = |day| [(before, day), (after, day)];
        let plays: Vec<_> = self.days.iter().flat_map(sides).collect();
        let reports = self.player.play_all(&plays)?;
        let pairs: Vec<_> =
            reports.chunks(2).map(|pair| (pair[0].clone(), pair[1].clone())).collect();
        self.gather(before)?;
        self.gather(after)?;
        Ok(differences(&self.days, &pairs))
    }

    /// Plays all days in one tree.
    fn reports(&self, tree: &plays::Tree) -> Result<Vec<plays::Report>, plays::PlayError> {
        let plays: Vec<_> = self.days.iter().map(|day| (tree, day)).collect();
        let reports = self.player.play_all(&plays)?;
        self.gather(tree)?;
        Ok(reports)
    }

    /// Copies entries of a tree's journal that are not here yet.
    fn gather(&self, tree: &plays::Tree) -> Result<(), plays::PlayError> {
        let from = tree.folder.join("journal");
        let Ok(listed) = fs::read_dir(&from) else {
            return Ok(());
        };
        for entry in listed.flatten().filter(|entry| entry.path().is_file()) {
            let to = self.journal.join(entry.file_name());
            if !to.exists() {
                fs::copy(entry.path(), &to).map_err(|source| plays::io(&to, source))?;
            }
        }
        Ok(())
    }
}

/// Starts the table of differences.
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

/// Returns the differences by deployment, and over all where there are several.
#[must_use]
pub fn differences(
    days: &[plays::Day],
    pairs: &[(plays::Report, plays::Report)],
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

/// A day with what it was worth without a change and with it.
type Pair<'a> = (&'a plays::Day, &'a plays::Report, &'a plays::Report);

/// Sums up pairs of days.
fn difference(deployment: Option<String>, pairs: &[Pair<'_>]) -> Difference {
    let count = pairs.len().max(1) as f64;
    let mean = |worth: fn(&Pair<'_>) -> f64| pairs.iter().map(worth).sum::<f64>() / count;
    let (before, after) = (mean(|pair| pair.1.worth), mean(|pair| pair.2.worth));
    let mean_difference = after - before;
    let squares = pairs.iter().map(|pair| (pair.2.worth - pair.1.worth - mean_difference).powi(2));
    let variance = squares.sum::<f64>() / (count - 1.0);
    let broken = pairs.iter().filter(|pair| !pair.2.breaks.is_empty());
    Difference {
        deployment,
        pairs: pairs.len(),
        before,
        after,
        error: (pairs.len() > 1).then(|| (variance / count).sqrt()),
        broken_before: pairs.iter().filter(|pair| !pair.1.breaks.is_empty()).count(),
        broken_after: broken.map(|(day, _, report)| told(day, report)).collect(),
    }
}

/// Names a day and the rules that were broken on it.
fn told(day: &plays::Day, report: &plays::Report) -> String {
    let rules: Vec<&str> = report.breaks.keys().map(String::as_str).collect();
    format!("{} {} seed {}: {}", day.deployment(), day.name, day.seed, rules.join(" "))
}
