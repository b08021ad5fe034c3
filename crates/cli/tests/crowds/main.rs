//! Crowds of callers that send large or finely chunked bodies and leave them open, with hosts as
//! separate processes on loopback.
//!
//! Each test checks that the host lives, stays within its memory and descriptors, and answers an
//! ordinary call. They run one at a time.

mod cases;
mod crowd;
#[allow(dead_code, reason = "shared with the other tests of processes")]
#[path = "../processes/fleet.rs"]
mod fleet;
#[allow(dead_code, reason = "shared with the other tests of processes")]
#[path = "../processes/job_service.rs"]
mod job_service;
mod target;
