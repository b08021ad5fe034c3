//! Measurements behind the design decisions, in virtual time, and of the resources that hosts and
//! halls use.
//!
//! Each module measures one subject and prints its result as Markdown tables. Runs in virtual time
//! give the same counts for the same seed; processor time and memory depend on the machine.

pub mod ablate;
pub mod capacity;
pub mod compare;
pub mod crashes;
pub mod forwarder;
pub mod hall;
pub mod host;
pub mod interference;
pub mod job_engine;
pub mod journal;
pub mod limits;
pub mod load;
pub mod player;
pub mod queueing;
pub mod recovery;
pub mod routing;
pub mod sharing;
pub mod table;
pub mod threads;
