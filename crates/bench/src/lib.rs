//! Measures the decisions in virtual time, and what a host and a hall cost.

pub mod ablate;
pub mod capacity;
pub mod compare;
pub mod crashes;
pub mod fleet;
pub mod forwarder;
pub mod hall;
pub mod harm;
pub mod host;
pub mod journal;
pub mod limits;
pub mod load;
pub mod plays;
pub mod queueing;
pub mod recovery;
pub mod routing;
pub mod sharing;
pub mod table;
pub mod threads;
