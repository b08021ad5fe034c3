//! Amounts of CPU, memory and accelerators.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The resources that a task requests, or that a worker has.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Size {
    /// CPU, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in mebibytes.
    pub mem_mb: u64,
    /// The number of whole accelerators.
    pub accelerators: u64,
}

impl Size {
    /// Returns whether this amount fits into `room` in every dimension.
    #[must_use]
    pub fn fits(&self, room: &Self) -> bool {
        self.cpu_milli <= room.cpu_milli
            && self.mem_mb <= room.mem_mb
            && self.accelerators <= room.accelerators
    }

    /// Returns the sum of two amounts; each dimension saturates.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            mem_mb: self.mem_mb.saturating_add(other.mem_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns what remains after subtracting `other`; each dimension saturates at zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            mem_mb: self.mem_mb.saturating_sub(other.mem_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} mcpu, {} MB, {} accelerators", self.cpu_milli, self.mem_mb, self.accelerators)
    }
}
