//! Decision logic of wharflane: scheduling, routing and admission.
//!
//! Plain functions over plain structs, without sockets or sleeps: they take events and the current
//! time and return effects, so that tests run them in virtual time.

pub mod clock;
pub mod commit;
pub mod desired;
pub mod digest;
mod duration_ms;
pub mod endpoints;
pub mod hall;
pub mod id;
pub mod interference;
pub mod job;
pub mod latency;
pub mod lease;
pub mod members;
pub mod outcome;
pub mod placement;
pub mod platform;
pub mod queue;
pub mod rendezvous;
pub mod retry;
pub mod route;
pub mod rows;
pub mod size;
pub mod task_table;
pub mod toml_read;
pub mod work;
