//! Stores a duration as whole milliseconds, for `serde(with)`.

use std::time;

use serde::{Deserialize as _, Serialize as _};

/// Writes a duration as its number of milliseconds.
pub(crate) fn serialize<S: serde::Serializer>(
    duration: &time::Duration,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX).serialize(serializer)
}

/// Reads a duration from a number of milliseconds.
pub(crate) fn deserialize<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<time::Duration, D::Error> {
    u64::deserialize(deserializer).map(time::Duration::from_millis)
}
