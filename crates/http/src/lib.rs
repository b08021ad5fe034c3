//! Small HTTP pieces shared by the packages: JSON calls, JSON answers, and a bounded server.

pub mod client;
pub mod connection;
pub mod guard;
mod pool;
pub mod reply;
pub mod server;
