//! The holder's view of workers and how it stays current.

pub(super) mod closed;
pub(super) mod fence;
pub(super) mod heartbeats;
pub(super) mod incarnations;
pub(super) mod link;
pub(super) mod lists;
pub(super) mod members;
pub(super) mod moves;
pub(super) mod slowness;
pub(super) mod stalled;
pub(super) mod unlisted;
pub(super) mod unshown;
pub(super) mod worker;
