//! What a holder writes to the store: group commits, and what happens when one is refused.

pub(super) mod acks;
pub(super) mod commit;
pub(super) mod pending;
pub(super) mod refused;
