//! What holders learn from runs: run times and interference between images.

pub(super) mod interference;
pub(super) mod learned;
pub(super) mod run_times;
pub(super) mod times;
