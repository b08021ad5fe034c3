//! What holders learn, and leave in the store to the next one.

use serde::{Deserialize, Serialize};

use super::harm;
use super::times;

/// What holders learn.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct Learned {
    /// Who harms whom.
    pub harm: harm::Model,
    /// How long tasks take.
    pub times: times::Times,
}
