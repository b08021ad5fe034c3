//! Whether room was lost just now: many workers at once were closed, left or fell silent.

use std::time;

use crate::job::workers::worker;

/// Share of the workers that must be unusable for room to count as lost, in percent. The tasks of
/// fewer fit in elsewhere.
const LOST_PERCENT: usize = 2;
/// Number of workers that must be unusable for the same.
const MIN_LOST: usize = 3;
/// How long room counts as lost at the longest while no further worker becomes unusable.
const LOST_FOR: time::Duration = time::Duration::from_secs(15);
/// How long room must not be lost until it is calm again. The return of long-running tasks is
/// promised within 3 s that follow 4 s of calm, by the users' rule.
const CALM_AFTER: time::Duration = time::Duration::from_secs(4);
/// Number of unanswered heartbeats from which a worker counts as silent; a single one may be lost.
const SILENT_AFTER: u32 = 2;

/// When room was last lost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Calm {
    /// The last time; absent if it never was.
    lost_at: Option<time::Duration>,
    /// When more workers than before were last unusable.
    grew_at: time::Duration,
    /// How many workers were unusable when this was last recorded.
    unusable: usize,
}

impl Calm {
    /// Records how many of the workers are unusable. Room goes on being lost while many are, since
    /// closed halls and workers that leave give up their tasks one by one, but not without bound: a
    /// hall may stay closed for hours.
    pub fn note(&mut self, unusable: usize, workers: usize, now: time::Duration) {
        if unusable > self.unusable {
            self.grew_at = now;
        }
        self.unusable = unusable;
        let many = unusable >= MIN_LOST && unusable * 100 > workers * LOST_PERCENT;
        if many && now.saturating_sub(self.grew_at) < LOST_FOR {
            self.lost_at = Some(now);
        }
    }

    /// Returns whether no room was lost for some time.
    #[must_use]
    pub fn is_calm(&self, now: time::Duration) -> bool {
        self.lost_at.is_none_or(|at| now.saturating_sub(at) >= CALM_AFTER)
    }
}

/// Returns whether a worker is closed, leaves or is silent.
pub(in crate::job) fn is_unusable(view: &worker::View) -> bool {
    view.is_barred() || view.missed_heartbeats >= SILENT_AFTER
}
