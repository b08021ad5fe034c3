//! The whole path as separate processes: operator, hosts, platform, workers, endpoints, callers.

mod closed_halls;
mod config;
mod fleet;
mod jobs;
mod kills;
mod path;
mod silence;
mod stops;
