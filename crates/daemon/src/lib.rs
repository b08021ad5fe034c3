//! The gateway daemon as a library.
//!
//! Actors on one thread make the control decisions; a thread pool of its own serves requests.

pub mod caller_limits;
pub mod control;
pub mod host;
pub mod jobs;
pub mod metrics;
pub mod settings;
pub mod traffic;
