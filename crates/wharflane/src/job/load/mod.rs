//! The picture of load: what waits, what was promised, and what that means for new jobs.
//!
//! Everything here is a function of its arguments; the modules that decide read it.

pub(super) mod admission;
pub(super) mod need;
pub(super) mod picture;
