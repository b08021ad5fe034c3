//! The outcome of a request, as reported to its caller.
//!
//! A caller may rely on `NotRun` to retry any request, so that outcome is reported only with proof.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An endpoint responded; its response follows.
    Answered,
    /// The request provably did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the outcome header.
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

/// How an attempt at an endpoint ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request left this host.
    NotSent,
    /// The endpoint refused the request and guarantees that it did not run.
    Refused,
    /// The request was sent and the connection was lost.
    Lost,
    /// The request was sent and no response arrived in time.
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

/// The attempts of one request, counted by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Attempts that did not leave this host.
    pub unsent: u32,
    /// Attempts that an endpoint refused with the guarantee that they did not run.
    pub refused: u32,
    /// Attempts that may have run.
    pub may_have_run: u32,
}

impl Attempts {
    /// Records the end of an attempt.
    pub fn note(&mut self, failure: Failure) {
        match failure {
            Failure::NotSent => self.unsent += 1,
            Failure::Refused => self.refused += 1,
            Failure::Lost | Failure::TimedOut => self.may_have_run += 1,
        }
    }

    /// Returns how many attempts count towards the maximum; refusals do not.
    #[must_use]
    pub fn made(&self) -> u32 {
        self.unsent + self.may_have_run
    }

    /// Returns whether the request may be sent again.
    #[must_use]
    pub fn may_repeat(&self, repeatable: bool) -> bool {
        repeatable || self.may_have_run == 0
    }

    /// Returns the outcome to report when no further attempt is made.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        if self.may_have_run == 0 { Outcome::NotRun } else { Outcome::Unknown }
    }
}
