//! The daemon of an entry host as a library: control on one thread, traffic on others.

pub mod control;
pub mod host;
pub mod jobs;
pub mod metrics;
pub mod settings;
pub mod traffic;
