//! The job service in virtual time: engines on hosts, a store of rows and workers, with faults.

pub mod judge;
pub mod rows;
pub mod server;
pub mod worker;
pub mod world;
