//! The protocol of callers: parses requests and job calls, and builds the replies that state the
//! outcome.

pub mod job;
pub mod reply;
pub mod request;
