//! The order in which waiting tasks of one priority are tried: what can still be kept goes first.
//!
//! Under more load than room not all promises can be kept. Tasks of rounds that have begun go
//! before new rounds, since work on a round that ends too late is of little use to its caller. Once
//! rounds have waited until they can't end in time, the newest of the others go first: in order of
//! acceptance, every round would begin when its time is used up, and all would be late.

use crate::job::load::need;
use crate::job::load::picture;

/// Precedence among tasks of one priority, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Precedence {
    /// A long-running task that has run before and has been without a worker for some time.
    Returning,
    /// A batch task of a round that can end in time.
    InTime(Turn),
    /// A batch task of a round that can end late.
    Late(Turn),
    /// A batch task of a round that would end too late to be of use.
    Missed(Turn),
    /// A long-running task that is new or has been without a worker only briefly.
    LongRunning,
}

/// The order of batch tasks whose rounds have the same outlook.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Turn {
    /// The round has begun; by the version of its job's acceptance.
    Begun(u64),
    /// It has not; by that version, or the newest first among those that can be in time in an
    /// overloaded queue.
    Waiting(u64),
}

/// Returns the precedence of batch tasks of a round, by its need, the load of its queue and the
/// version at which its job was accepted.
#[must_use]
pub fn batch(
    need: Option<&need::Need>,
    load: &picture::QueueLoad,
    accepted_version: u64,
) -> Precedence {
    let Some(need) = need else {
        return Precedence::Missed(Turn::Waiting(accepted_version));
    };
    let by_acceptance =
        if need.begun { Turn::Begun(accepted_version) } else { Turn::Waiting(accepted_version) };
    match need.outlook() {
        need::Outlook::InTime if load.is_overloaded() && !need.begun => {
            Precedence::InTime(Turn::Waiting(u64::MAX - accepted_version))
        }
        need::Outlook::InTime => Precedence::InTime(by_acceptance),
        need::Outlook::Late => Precedence::Late(by_acceptance),
        need::Outlook::Missed => Precedence::Missed(by_acceptance),
    }
}

/// Returns the precedence of long-running tasks, by whether they have been without a worker for some
/// time.
#[must_use]
pub fn lasting(returning: bool) -> Precedence {
    if returning { Precedence::Returning } else { Precedence::LongRunning }
}
