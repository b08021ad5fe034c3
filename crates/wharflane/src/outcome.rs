//! What a caller is told about its request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The endpoint's own answer follows.
    Answered,
    /// The request did not run, with proof.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the outcome as it stands in the header.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// How one try at an endpoint ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request left this host.
    NotSent,
    /// The endpoint refused it with the promise that it did not run.
    Refused,
    /// It was sent, and nothing more is known.
    Lost,
    /// It was sent, and no answer came in time.
    TimedOut,
}

impl Failure {
    /// Returns the label of the failure in metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::NotSent => "not-sent",
            Self::Refused => "refused",
            Self::Lost => "lost",
            Self::TimedOut => "timed-out",
        }
    }
}

/// The story of a request over all its tries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Attempts that did not leave this host.
    pub unsent: u32,
    /// Attempts that an endpoint refused with its promise.
    pub refused: u32,
    /// Attempts that may have run.
    pub may_have_run: u32,
}

impl Attempts {
    /// Notes the end of a try.
    pub fn note(&mut self, failure: Failure) {
        match failure {
            Failure::NotSent => self.unsent += 1,
            Failure::Refused => self.refused += 1,
            Failure::Lost | Failure::TimedOut => self.may_have_run += 1,
        }
    }

    /// Returns how many tries count against the most that are made.
    #[must_use]
    pub fn made(&self) -> u32 {
        self.unsent + self.may_have_run
    }

    /// Returns whether the request may be sent once more.
    #[must_use]
    pub fn may_repeat(&self, repeatable: bool) -> bool {
        repeatable || self.may_have_run == 0
    }

    /// Returns what the caller is told when no more tries are made.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        if self.may_have_run == 0 { Outcome::NotRun } else { Outcome::Unknown }
    }
}
