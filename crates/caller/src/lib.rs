//! Speaks to the callers: reads their requests and tells each what became of its own.

pub mod job;
pub mod reply;
pub mod request;
