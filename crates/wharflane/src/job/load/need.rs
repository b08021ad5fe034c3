//! What a round of a job still needs of the time that its queue allows.

/// Factor of the allowed time within which a round counts as late; a slower one counts as missed.
pub(in crate::job) const MAX_LATE_FACTOR: f64 = 3.0;

/// How the expected end of a round compares with the time that its queue allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outlook {
    /// The round can end in time.
    InTime,
    /// The round can end late, within `MAX_LATE_FACTOR` times its allowed time.
    Late,
    /// The round would end so late that it no longer has precedence.
    Missed,
}

/// The time that a round has had, still needs and is allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Time since the round was accepted or due, in milliseconds.
    pub waited_ms: f64,
    /// Time that its queue allows, in milliseconds; `None` if the queue promises none.
    pub allowed_ms: Option<f64>,
    /// Length of what remains of its critical path, in milliseconds.
    pub left_ms: f64,
    /// CPU work of its tasks that are not done, in core-milliseconds.
    pub left_core_ms: f64,
    /// Whether any of its tasks was started.
    pub begun: bool,
}

impl Need {
    /// Returns the outlook if the rest of the round begins now.
    #[must_use]
    pub fn outlook(&self) -> Outlook {
        let Some(allowed_ms) = self.allowed_ms else {
            return Outlook::InTime;
        };
        let needed_ms = self.waited_ms + self.left_ms;
        if needed_ms <= allowed_ms {
            Outlook::InTime
        } else if needed_ms <= allowed_ms * MAX_LATE_FACTOR {
            Outlook::Late
        } else {
            Outlook::Missed
        }
    }
}
