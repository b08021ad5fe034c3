//! The decisions of wharflane as plain functions over plain structs, without sockets or sleeping.

pub mod clock;
pub mod commit;
pub mod desired;
pub mod digest;
pub mod endpoints;
pub mod hall;
pub mod id;
pub mod interfere;
pub mod job;
pub mod latency;
pub mod lease;
pub mod limit;
pub mod members;
pub mod outcome;
pub mod place;
pub mod platform;
pub mod rendezvous;
pub mod retry;
pub mod route;
pub mod rows;
pub mod size;
pub mod task_table;
pub mod toml_read;
pub mod work;
