//! Detects workers on which nothing moves.
//!
//! A worker stands still if all of its runs that show anything stand, at least two of them, and
//! keep standing for a while. Run times tell nothing: a slow run moves. A batch run stands while
//! its percentage stays the same; a serving one while its tail latency says that it answers nobody,
//! although other tasks of its job are answered in time.

use std::collections;
use std::time;

use crate::job::spec;

/// How many runs must stand at the least; one alone may be at fault itself.
const MIN_STANDING: usize = 2;
/// The shortest time without progress after which a batch run stands. It has begun to move by then:
/// the time to start or to restore a checkpoint doesn't count.
const NO_PROGRESS: time::Duration = time::Duration::from_millis(400);
/// How many times longer than expected a run may need for one percent before it stands.
const SLOW_FACTOR: u32 = 4;
/// The tail latency, in milliseconds, from which a serving run stands: twice the half second over
/// which workers measure it, so that no request of that time was answered.
const NO_ANSWER_MS: u64 = 1_000;
/// By how many times a standing run's tail latency exceeds its target at the least.
const NO_ANSWER_TARGETS: u64 = 10;
/// How long a new serving run's low tail latency shows nothing.
const NEW_RUN: time::Duration = time::Duration::from_millis(1_000);
/// How long all runs must stand together; a single answer may show a hiccup.
const CONFIRMED_AFTER: time::Duration = time::Duration::from_millis(200);
/// How long a worker without a run that shows anything rests before it gets one as a probe.
const REST: time::Duration = time::Duration::from_secs(4);
/// How long after it moves again a worker's tail latencies still contain the standstill.
const RECOVERY: time::Duration = time::Duration::from_secs(3);

/// What a worker's answer shows of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// The progress of a batch run that is not throttled.
    Progress {
        /// The completed part, in percent.
        percent: u64,
        /// The expected time for one percent.
        expected: time::Duration,
    },
    /// The tail latency of a serving run that gets requests.
    Tail {
        /// The tail latency, in milliseconds.
        tail_ms: u64,
        /// Its target, in milliseconds.
        target_ms: u64,
        /// Whether another task of the job met its target shortly before.
        others_serve: bool,
    },
    /// Nothing: the run is throttled, waits for other tasks, or serves nobody.
    Unknown,
}

/// One run in a worker's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The task.
    pub task: spec::TaskId,
    /// The number of the run.
    pub run: u32,
    /// What the answer shows of it.
    pub sign: Sign,
}

/// The state of a worker, as its runs show it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Nothing says that it stands still.
    #[default]
    Well,
    /// It stands still.
    Stalled {
        /// Since when its runs stand.
        since: time::Duration,
        /// When a run last showed that.
        shown: time::Duration,
    },
    /// Nothing runs there that shows anything; it gets one batch task as a probe.
    Probing,
    /// It moves again, but its tail latencies may still contain the standstill.
    Recovering {
        /// When it was seen to move.
        since: time::Duration,
    },
}

/// What is known of one run.
#[derive(Clone, Copy, Debug)]
struct Track {
    /// The number of the run.
    run: u32,
    /// Its percentage, or the highest tail latency since it stands.
    value: u64,
    /// Since when it shows no movement.
    since: time::Duration,
    /// Whether it has moved since it was first seen.
    moved: bool,
    /// What it shows now.
    motion: Motion,
}

/// Whether a run moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Motion {
    /// It moves.
    Moves,
    /// It stands.
    Stands,
    /// It shows neither.
    Unknown,
}

/// Detects from a worker's answers whether it stands still.
#[derive(Clone, Debug, Default)]
pub struct StallDetector {
    /// The state after the last answer.
    state: State,
    /// The runs in the last answer.
    tracks: collections::BTreeMap<spec::TaskId, Track>,
    /// Since when it waits for a probe, if it does.
    probing_since: Option<time::Duration>,
    /// Since when all runs that show anything stand together.
    together_since: Option<time::Duration>,
}

impl StallDetector {
    /// Takes in the runs of one answer; returns the new state if it changed.
    pub fn observe(&mut self, runs: &[Observation], now: time::Duration) -> Option<State> {
        let before = std::mem::take(&mut self.tracks);
        for run in runs {
            let known = before.get(&run.task).filter(|known| known.run == run.run);
            self.tracks.extend(track(known, run, now).map(|track| (run.task, track)));
        }
        let count = |motion| self.tracks.values().filter(|track| track.motion == motion).count();
        let (standing, moving) = (count(Motion::Stands), count(Motion::Moves));
        if moving > 0 || standing < MIN_STANDING {
            self.together_since = None;
        } else {
            self.together_since.get_or_insert(now);
        }
        let confirmed =
            self.together_since.is_some_and(|at| now.saturating_sub(at) >= CONFIRMED_AFTER);
        let state = self.next(standing, moving, confirmed, now);
        let changed = std::mem::discriminant(&state) != std::mem::discriminant(&self.state);
        self.state = state;
        self.probing_since = match state {
            State::Probing => self.probing_since.or(Some(now)),
            _ => None,
        };
        changed.then_some(state)
    }

    /// Returns the state that follows from the runs of an answer.
    fn next(&self, standing: usize, moving: usize, confirmed: bool, now: time::Duration) -> State {
        let stalled = || {
            let since = self.tracks.values().filter(|track| track.motion == Motion::Stands);
            State::Stalled {
                since: since.map(|track| track.since).min().unwrap_or(now),
                shown: now,
            }
        };
        match self.state {
            State::Stalled { .. } if moving > 0 => State::Recovering { since: now },
            State::Stalled { since, .. } if standing > 0 => State::Stalled { since, shown: now },
            State::Stalled { shown, .. } if now.saturating_sub(shown) >= REST => State::Probing,
            State::Stalled { .. } => self.state,
            _ if confirmed => stalled(),
            State::Probing if moving > 0 || self.probe_is_over(now) => {
                State::Recovering { since: now }
            }
            State::Recovering { since } if now.saturating_sub(since) >= RECOVERY => State::Well,
            State::Well | State::Probing | State::Recovering { .. } => self.state,
        }
    }

    /// Returns whether a worker has waited so long for the verdict of a probe that its room must not
    /// be withheld any longer.
    fn probe_is_over(&self, now: time::Duration) -> bool {
        self.probing_since.is_some_and(|since| now.saturating_sub(since) >= REST)
    }

    /// Records that a run made no progress for long; returns whether the worker stands still by
    /// that alone, which others that move disprove.
    pub fn note_stalled(&mut self, since: time::Duration, now: time::Duration) -> bool {
        let moves = self.tracks.values().any(|track| track.motion == Motion::Moves);
        if self.is_stalled() || moves {
            return false;
        }
        self.state = State::Stalled { since, shown: now };
        true
    }

    /// Records that a run ended there by itself; a probe has then succeeded.
    pub fn note_done(&mut self, now: time::Duration) {
        if self.state == State::Probing {
            self.state = State::Recovering { since: now };
        }
    }

    /// Returns the state after the last answer.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns whether the worker stands still.
    #[must_use]
    pub fn is_stalled(&self) -> bool {
        matches!(self.state, State::Stalled { .. })
    }

    /// Returns since when a run stands, or nothing if it moves or shows nothing.
    #[must_use]
    pub fn standing_since(&self, task: spec::TaskId) -> Option<time::Duration> {
        let track = self.tracks.get(&task).filter(|track| track.motion == Motion::Stands);
        track.map(|track| track.since)
    }

    /// Returns how many runs show whether the worker stands still.
    #[must_use]
    pub fn showing(&self) -> usize {
        self.tracks.values().filter(|track| track.motion != Motion::Unknown).count()
    }

    /// Returns whether latencies and progress there say nothing about the runs themselves.
    #[must_use]
    pub fn distorts(&self) -> bool {
        self.together_since.is_some()
            || matches!(self.state, State::Stalled { .. } | State::Recovering { .. })
    }
}

/// Returns what is known of a run after one more answer, or nothing if it shows nothing.
fn track(known: Option<&Track>, run: &Observation, now: time::Duration) -> Option<Track> {
    let first = Track { run: run.run, value: 0, since: now, moved: false, motion: Motion::Unknown };
    match run.sign {
        Sign::Progress { percent, expected } => {
            let first = Track { value: percent, ..first };
            Some(known.map_or(first, |known| progress_track(known, percent, expected, now)))
        }
        Sign::Tail { tail_ms, target_ms, others_serve } => {
            let silent = others_serve && tail_ms >= NO_ANSWER_MS.max(target_ms * NO_ANSWER_TARGETS);
            let meets = tail_ms <= target_ms;
            Some(tail_track(known.unwrap_or(&first), tail_ms, (silent, meets), now))
        }
        Sign::Unknown => None,
    }
}

/// Returns what is known of a serving run after one more answer, by whether its tail latency says
/// that it answers nobody, or that it meets its target.
fn tail_track(
    known: &Track,
    tail_ms: u64,
    (silent, meets): (bool, bool),
    now: time::Duration,
) -> Track {
    let stood = known.motion == Motion::Stands;
    // The latency falls as soon as requests are answered again, though it stays high for some time.
    let falls = known.value >= NO_ANSWER_MS && tail_ms < known.value / 2;
    if falls {
        let value = if silent { known.value } else { tail_ms };
        return Track { value, since: now, moved: true, motion: Motion::Moves, ..*known };
    }
    if silent {
        let since = if stood { known.since } else { now };
        let value = known.value.max(tail_ms);
        return Track { value, since, moved: true, motion: Motion::Stands, ..*known };
    }
    // A run that has just begun meets its target until its first requests are late.
    let moved = known.moved || meets && now.saturating_sub(known.since) >= NEW_RUN;
    let motion = if moved && meets { Motion::Moves } else { Motion::Unknown };
    Track { value: tail_ms, moved, motion, ..*known }
}

/// Returns what is known of a batch run after one more answer.
fn progress_track(
    known: &Track,
    percent: u64,
    expected: time::Duration,
    now: time::Duration,
) -> Track {
    if percent != known.value {
        let motion = Motion::Moves;
        return Track { value: percent, since: now, moved: true, motion, ..*known };
    }
    let stood = now.saturating_sub(known.since);
    let motion = if !known.moved {
        Motion::Unknown
    } else if stood >= NO_PROGRESS.max(expected * SLOW_FACTOR) {
        Motion::Stands
    } else if stood < NO_PROGRESS {
        known.motion
    } else {
        Motion::Unknown
    };
    Track { motion, ..*known }
}
