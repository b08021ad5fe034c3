//! The whole path as separate processes: operator, hosts, platform, workers, endpoints, callers.

mod fleet;
mod path;
mod stops;
