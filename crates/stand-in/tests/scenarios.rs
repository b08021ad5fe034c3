//! Runs every scenario in `tests/scenarios`.

use std::fs;
use std::path;

use wharflane_stand_in::scenario;

/// Runs the scenario in one file.
fn run_file(path: &path::Path) -> datatest_stable::Result<()> {
    let text = fs::read_to_string(path)?;
    Ok(scenario::run(&text)?)
}

datatest_stable::harness! {
    { test = run_file, root = "tests/scenarios", pattern = r".*\.scn$" },
}
