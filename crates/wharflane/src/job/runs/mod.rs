//! Runs of tasks: their records, their orders and their ends.

pub(super) mod ends;
pub(super) mod order;
pub(super) mod orders;
pub(super) mod throttle;
pub(super) mod work;
