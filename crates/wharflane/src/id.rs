//! Names of halls, workers, hosts, services, jobs, teams and tasks.

use std::fmt;
use std::str;
use std::sync;

use serde::{Deserialize, Serialize};

/// Declares a name type over text that stands in place up to 23 bytes, and is shared beyond: names are compared at each
/// step of each look-up, and every one that lies elsewhere is a line of memory more to fetch.
macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(smol_str::SmolStr);

        impl $name {
            /// Returns the name as text.
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

name! {
    /// The name of a hall.
    HallId
}
name! {
    /// The name of a worker.
    WorkerId
}
name! {
    /// The name of an entry host.
    HostId
}
name! {
    /// The name of a service.
    ServiceId
}
name! {
    /// The name of a batch job.
    JobId
}
name! {
    /// The name of a team.
    TeamId
}
name! {
    /// The name of a priority class.
    ClassId
}

/// One incarnation of a worker.
///
/// A worker may start again under its id. The new incarnation holds and knows nothing of the one before: its clock, its numbers of
/// ends and the fences that it has seen begin anew. Whatever is known of a worker is therefore kept under its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "KeptLife", into = "KeptLife")]
pub struct Incarnation {
    /// The id, which all incarnations of the worker share.
    pub worker: WorkerId,
    /// When the incarnation began, in milliseconds since 1970; nothing where that is not told.
    pub born_ms: Option<u64>,
}

impl Incarnation {
    /// Returns whether another incarnation of the same worker is a later one.
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

/// An incarnation as it is kept: the id alone where the beginning is not told, as in rows of older versions.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum KeptLife {
    /// The id.
    Untold(WorkerId),
    /// The id and the beginning.
    Told(WorkerId, u64),
}

impl From<KeptLife> for Incarnation {
    fn from(kept: KeptLife) -> Self {
        match kept {
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

/// The name of one task: its owner, the revision that created the owner, and its index.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The name of the service or job.
    pub owner: sync::Arc<str>,
    /// The configuration revision in which the owner first stood.
    pub born: u64,
    /// The index of the task within its owner.
    pub index: u32,
}

/// A text that is no task name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a task name reads owner@revision/index")]
pub struct BadTaskId;

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}/{}", self.owner, self.born, self.index)
    }
}

impl str::FromStr for TaskId {
    type Err = BadTaskId;

    fn from_str(text: &str) -> Result<Self, BadTaskId> {
        let (owner, rest) = text.split_once('@').ok_or(BadTaskId)?;
        let (born, index) = rest.split_once('/').ok_or(BadTaskId)?;
        let born = born.parse().or(Err(BadTaskId))?;
        let index = index.parse().or(Err(BadTaskId))?;
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
