//! How a host acquires a domain's lease and loads the domain's state.

pub(super) mod acquire;
pub(super) mod inherited;
pub(super) mod loading;
pub(super) mod store_clock;
