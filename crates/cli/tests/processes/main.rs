//! End-to-end tests with separate processes on loopback: operator, hosts, platform, workers,
//! endpoints and callers.

mod builds;
mod cancels;
mod closed_halls;
mod config;
mod end_to_end;
mod fleet;
mod job_service;
mod jobs;
mod kills;
mod lost_workers;
mod restarted_and_cut;
mod silence;
mod stops;
