//! HTTP building blocks shared by the packages: a JSON client, JSON responses, and a server with
//! limits.

pub mod admission;
pub mod budget;
pub mod client;
pub mod connection;
pub mod excerpt;
mod exchange;
pub mod guard;
mod pool;
pub mod reply;
pub mod request_body;
pub mod server;
