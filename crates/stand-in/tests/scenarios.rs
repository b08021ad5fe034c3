//! Runs every scenario under tests/scenarios.

use std::fs;
use std::path;

use wharflane_stand_in::scenario;

/// Runs one scenario.
fn run_file(path: &path::Path) -> datatest_stable::Result<()> {
    let text = fs::read_to_string(path)?;
    Ok(scenario::run(&text)?)
}

datatest_stable::harness! {
    { test = run_file, root = "tests/scenarios", pattern = r".*\.scn$" },
}
