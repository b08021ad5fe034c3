//! Identifiers of halls, workers, hosts, services, jobs, teams and tasks.

use std::fmt;
use std::str;
use std::sync;

use serde::{Deserialize, Serialize};

/// Declares an identifier type over a string that is stored inline up to 23 bytes and shared beyond
/// that. Every lookup compares identifiers, and one on the heap costs an additional cache line per
/// comparison.
macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(smol_str::SmolStr);

        impl $name {
            /// Returns the identifier as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

string_id! {
    /// The id of a hall.
    HallId
}
string_id! {
    /// The id of a worker.
    WorkerId
}
string_id! {
    /// The id of a host, an instance of the gateway daemon.
    HostId
}
string_id! {
    /// The id of a service.
    ServiceId
}
string_id! {
    /// The id of a batch job.
    JobId
}
string_id! {
    /// The id of a team.
    TeamId
}
string_id! {
    /// The id of a priority class.
    ClassId
}

/// One incarnation of a worker: the time between one start of its process and the next.
///
/// A restarted worker has the same id but none of its state: its clock, its numbering of ended runs
/// and the fencing tokens that it has seen start over. All knowledge about a worker is therefore
/// keyed by its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "KeptLife", into = "KeptLife")]
pub struct Incarnation {
    /// The worker id, which all incarnations of the worker share.
    pub worker: WorkerId,
    /// When the incarnation started, in milliseconds since 1970; `None` if the store does not
    /// record it.
    pub born_ms: Option<u64>,
}

impl Incarnation {
    /// Returns whether `other` is a later incarnation of the same worker.
    #[must_use]
    pub fn is_before(&self, other: &Self) -> bool {
        self.worker == other.worker && self.born_ms < other.born_ms
    }
}

impl From<WorkerId> for Incarnation {
    fn from(worker: WorkerId) -> Self {
        Self { worker, born_ms: None }
    }
}

impl From<&str> for Incarnation {
    fn from(text: &str) -> Self {
        WorkerId::from(text).into()
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born_ms {
            Some(born_ms) => write!(f, "{}@{born_ms}", self.worker),
            None => self.worker.fmt(f),
        }
    }
}

/// The serialized form: only the id if the start time is unknown, as in rows of older versions.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum KeptLife {
    /// The worker id; the start time is unknown.
    Untold(WorkerId),
    /// The worker id and the start time, in milliseconds since 1970.
    Told(WorkerId, u64),
}

impl From<KeptLife> for Incarnation {
    fn from(serialized: KeptLife) -> Self {
        match serialized {
            KeptLife::Untold(worker) => worker.into(),
            KeptLife::Told(worker, born_ms) => Self { worker, born_ms: Some(born_ms) },
        }
    }
}

impl From<Incarnation> for KeptLife {
    fn from(incarnation: Incarnation) -> Self {
        match incarnation.born_ms {
            Some(born_ms) => Self::Told(incarnation.worker, born_ms),
            None => Self::Untold(incarnation.worker),
        }
    }
}

/// The id of one task: its owner, the revision that created the owner, and its index.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The service or job that the task belongs to.
    pub owner: sync::Arc<str>,
    /// The configuration revision that created the owner; a recreated owner gets new task ids.
    pub born: u64,
    /// The index of the task within its owner, from zero.
    pub index: u32,
}

/// The error for a string that is not a task id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a task id must have the form owner@revision/index")]
pub struct ParseTaskIdError;

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}/{}", self.owner, self.born, self.index)
    }
}

impl str::FromStr for TaskId {
    type Err = ParseTaskIdError;

    fn from_str(text: &str) -> Result<Self, ParseTaskIdError> {
        let (owner, rest) = text.split_once('@').ok_or(ParseTaskIdError)?;
        let (born, index) = rest.split_once('/').ok_or(ParseTaskIdError)?;
        let born = born.parse().or(Err(ParseTaskIdError))?;
        let index = index.parse().or(Err(ParseTaskIdError))?;
        Ok(Self { owner: owner.into(), born, index })
    }
}

impl Serialize for TaskId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TaskId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
