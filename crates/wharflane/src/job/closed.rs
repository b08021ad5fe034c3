//! Halls that operators have closed: nothing new is started on their workers until they are open again.

use std::collections;

use crate::id;

/// The halls that are closed, all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClosedHalls {
    /// The version of the store up to which this is true.
    pub version: u64,
    /// The halls.
    pub halls: collections::BTreeSet<id::HallId>,
}
