//! The whole path as separate processes: operator, hosts, platform, workers, endpoints, callers.

mod config;
mod fleet;
mod kills;
mod path;
mod stops;
