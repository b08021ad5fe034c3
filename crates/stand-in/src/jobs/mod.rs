//! Simulates the job service in virtual time: engines on hosts, a store of rows and workers, with
//! injected faults.

mod beside;
mod callers;
pub mod checker;
mod closed_halls;
mod configuration;
mod crashing_task;
mod cut_from_all;
mod doubtful;
mod effects;
mod fault;
mod handovers;
mod injection;
pub mod losses;
mod message;
mod outages;
pub mod plan;
mod restart;
mod restarted_and_cut;
pub mod rows;
pub mod server;
pub mod waits;
mod waves;
pub mod worker;
mod workers;
pub mod world;
