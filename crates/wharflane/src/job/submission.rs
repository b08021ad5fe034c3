//! Decides how a host stores a submitted job: whether it sends the write, how long it waits for an
//! answer, when it reads the row back, and what the caller is told.
//!
//! A write without an answer may take effect late, so only a caller for whom no write was sent, or
//! whose writes were all rejected by the store, is told that the job never runs. A host therefore
//! sends no write whose answer it doesn't expect in the caller's time, and waits for one that it
//! has sent. It gives up earlier only while the store answers none of its calls: then the host
//! itself may be cut off, and the caller may reach the store through another one.

use std::time;

use super::retry_after;

/// Silence of the store after which nothing is sent to it. A store 60 times slower than usual
/// answers a read within 0.6 s.
pub const LOST_AFTER: time::Duration = time::Duration::from_millis(900);
/// Share of a caller's time after which a host gives up whose store answers none of its calls, in
/// percent; as much is left for an attempt by another host.
const LOCAL_TIME_PERCENT: u32 = 45;
/// Shortest time between a call that brought no result and the next.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
/// Shortest time between reads of the row beside a write in flight.
const READ_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// How many times the answer time of the store a write is waited for beyond the timeout of a call,
/// before it counts as lost: unlike a read, a write takes its turn behind others.
const TURN_FACTOR: u32 = 4;

/// What a host knows when it decides about a submission.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// How long the store has left calls of this host unanswered.
    pub silence: time::Duration,
    /// Longest time that the store recently took for a call; zero if it is not known.
    pub answer_time: time::Duration,
    /// Clock reading when the latest call was sent that the store has answered; `None` if it has
    /// answered none.
    pub latest_answered_sent_at: Option<time::Duration>,
    /// Why the store is not reached, if it is silent.
    pub failure: retry_after::Cause,
    /// Clock reading when this host closes its connections; `None` unless it is stopping.
    pub closes_at: Option<time::Duration>,
}

/// What a host does next for a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Sends the write, in place of an earlier one if there is one.
    Write,
    /// Reads the row, beside a write in flight if there is one.
    Read,
    /// Waits for the calls in flight, until this clock reading at the latest.
    Wait {
        /// Clock reading at which to decide again.
        until: time::Duration,
    },
    /// Answers the caller.
    End(End),
}

/// What the caller of a submission is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The row is stored.
    Stored,
    /// The store rejected the row for good.
    Refused,
    /// Nothing was written, and nothing will be.
    NotTaken(retry_after::Cause),
    /// The row may be stored, now or later.
    Unknown,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteEnd {
    /// The row is stored, by this write or an earlier one.
    Stored,
    /// The job was cancelled before it was stored: neither this write nor an earlier one takes
    /// effect, and the next one stores the job as cancelled.
    Cancelled,
    /// The store rejected the write for good.
    Refused,
    /// The store rejected the write for now, without effect.
    TurnedAway,
    /// The write never left this host.
    NotSent,
    /// No answer arrived, or none that tells the outcome.
    NoAnswer,
}

/// State of the latest write of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Write {
    /// None was sent yet.
    None,
    /// It waits for its answer since this clock reading.
    InFlight {
        /// Clock reading when it was sent.
        sent_at: time::Duration,
    },
    /// It ended without a result at this clock reading.
    Failed {
        /// How it ended.
        end: WriteEnd,
        /// Clock reading when it ended.
        at: time::Duration,
    },
}

/// A submission that a host is storing.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Clock reading when the host received it.
    began_at: time::Duration,
    /// Clock reading by which the caller must have its answer.
    answer_by: time::Duration,
    /// How long a call to the store may take, without the turn of a write.
    call_timeout: time::Duration,
    /// The latest write.
    write: Write,
    /// Clock reading when the first write was sent.
    first_sent_at: Option<time::Duration>,
    /// Number of writes sent.
    writes: u32,
    /// Whether an earlier write may still take effect.
    in_doubt: bool,
    /// Whether a read of the row is in flight.
    reading: bool,
    /// Clock reading when the last read of the row ended.
    read_at: Option<time::Duration>,
    /// How the submission ended, once that is known for certain.
    end: Option<End>,
}

impl Submission {
    /// Starts a submission of which nothing is sent yet.
    #[must_use]
    pub fn new(
        began_at: time::Duration,
        answer_by: time::Duration,
        call_timeout: time::Duration,
    ) -> Self {
        Self {
            began_at,
            answer_by,
            call_timeout,
            write: Write::None,
            first_sent_at: None,
            writes: 0,
            in_doubt: false,
            reading: false,
            read_at: None,
            end: None,
        }
    }

    /// Returns what to do now.
    #[must_use]
    pub fn next(&self, view: &View, now: time::Duration) -> Step {
        if let Some(end) = self.end {
            return Step::End(end);
        }
        let give_up_at = self.give_up_at(view);
        match self.write {
            Write::None => self.first_step(view, now),
            Write::InFlight { sent_at } => self.step_in_flight(view, sent_at, give_up_at, now),
            Write::Failed { end: WriteEnd::TurnedAway, at } if !self.in_doubt => {
                self.step_turned_away(view, at, now)
            }
            Write::Failed { .. } if now >= give_up_at => Step::End(self.give_up(view)),
            Write::Failed { at, .. } if self.in_doubt => {
                self.step_in_doubt(view, at, give_up_at, now)
            }
            Write::Failed { at, .. } if now < at + RETRY_DELAY => {
                Step::Wait { until: give_up_at.min(at + RETRY_DELAY) }
            }
            Write::Failed { .. } => self.first_step(view, now),
        }
    }

    /// Records that a write was sent; an earlier one in flight is no longer waited for.
    pub fn write_sent(&mut self, now: time::Duration) {
        self.in_doubt |= matches!(self.write, Write::InFlight { .. });
        self.write = Write::InFlight { sent_at: now };
        self.first_sent_at.get_or_insert(now);
        self.writes += 1;
    }

    /// Records how the write in flight ended.
    pub fn write_ended(&mut self, end: WriteEnd, now: time::Duration) {
        match end {
            WriteEnd::Stored => self.end = Some(End::Stored),
            WriteEnd::Refused if !self.in_doubt => self.end = Some(End::Refused),
            WriteEnd::NoAnswer => self.in_doubt = true,
            WriteEnd::Cancelled => {
                self.in_doubt = false;
                self.write = Write::None;
                return;
            }
            // A rejection says nothing of an earlier write that may take effect.
            WriteEnd::Refused | WriteEnd::TurnedAway | WriteEnd::NotSent => {}
        }
        self.write = Write::Failed { end, at: now };
    }

    /// Records that a read of the row was sent.
    pub fn read_sent(&mut self) {
        self.reading = true;
    }

    /// Records that a read of the row ended; `found` tells whether it found the row.
    pub fn read_ended(&mut self, found: bool, now: time::Duration) {
        self.reading = false;
        self.read_at = Some(now);
        if found {
            self.end = Some(End::Stored);
        }
    }

    /// Decides whether to send a write while none of this submission can take effect.
    fn first_step(&self, view: &View, now: time::Duration) -> Step {
        let expected_at = now + view.answer_time;
        let not_taken = |cause| Step::End(End::NotTaken(cause));
        if view.silence >= LOST_AFTER {
            return not_taken(view.failure);
        }
        if view.closes_at.is_some_and(|closes_at| expected_at >= closes_at) {
            return not_taken(retry_after::Cause::Stopping);
        }
        if expected_at >= self.answer_by {
            return not_taken(retry_after::Cause::StoreSlow);
        }
        Step::Write
    }

    /// Decides after the store rejected a write at `rejected_at`, while none can take effect.
    ///
    /// A caller with time enough returns by itself, spread by its `Retry-After`. One that can't
    /// return in time is tried for here.
    fn step_turned_away(
        &self,
        view: &View,
        rejected_at: time::Duration,
        now: time::Duration,
    ) -> Step {
        let retry_at = rejected_at + RETRY_DELAY;
        let may_return = now + retry_after::MIN_DELAY + view.answer_time < self.answer_by;
        if may_return || now.max(retry_at) + view.answer_time >= self.latest(view) {
            return Step::End(End::NotTaken(retry_after::Cause::StoreBusy));
        }
        if now < retry_at { Step::Wait { until: retry_at } } else { self.first_step(view, now) }
    }

    /// Decides while a write waits for its answer.
    fn step_in_flight(
        &self,
        view: &View,
        sent_at: time::Duration,
        give_up_at: time::Duration,
        now: time::Duration,
    ) -> Step {
        if now >= give_up_at {
            return Step::End(End::Unknown);
        }
        let read_at = self.read_at.map_or(sent_at, |read_at| read_at.max(sent_at)) + READ_INTERVAL;
        if !self.reading && now >= read_at {
            return Step::Read;
        }
        // Each further write is waited for longer, so that a turn longer than expected ends.
        let lost_at = sent_at + self.call_timeout * self.writes + view.answer_time * TURN_FACTOR;
        let resend = now + view.answer_time < give_up_at;
        if now >= lost_at && resend {
            return Step::Write;
        }
        let lost_at = if resend { lost_at } else { give_up_at };
        let read_at = if self.reading { give_up_at } else { read_at };
        Step::Wait { until: give_up_at.min(read_at).min(lost_at) }
    }

    /// Decides after a write failed at `failed_at`, while it or an earlier one may take effect.
    fn step_in_doubt(
        &self,
        view: &View,
        failed_at: time::Duration,
        give_up_at: time::Duration,
        now: time::Duration,
    ) -> Step {
        if self.reading {
            return Step::Wait { until: give_up_at };
        }
        let Some(read_at) = self.read_at.filter(|read_at| *read_at >= failed_at) else {
            return Step::Read;
        };
        if now < read_at + RETRY_DELAY {
            return Step::Wait { until: give_up_at.min(read_at + RETRY_DELAY) };
        }
        if now + view.answer_time < give_up_at { Step::Write } else { Step::Read }
    }

    /// Returns when the caller gets its answer at the latest.
    fn give_up_at(&self, view: &View) -> time::Duration {
        let heard =
            self.first_sent_at.is_some_and(|sent_at| view.latest_answered_sent_at >= Some(sent_at));
        let give_up_at = if heard { self.answer_by } else { self.local_time_ends_at(view) };
        give_up_at.min(self.latest(view))
    }

    /// Returns until when an answer still reaches the caller.
    fn latest(&self, view: &View) -> time::Duration {
        view.closes_at.map_or(self.answer_by, |closes_at| self.answer_by.min(closes_at))
    }

    /// Returns when a host gives up whose store answers none of its calls: not before a slow store
    /// would have answered a read beside the write.
    fn local_time_ends_at(&self, view: &View) -> time::Duration {
        let local_time = self.answer_by.saturating_sub(self.began_at) * LOCAL_TIME_PERCENT / 100;
        let read_time = READ_INTERVAL + view.answer_time * 2;
        let read_by = self.first_sent_at.map_or(self.began_at, |sent_at| sent_at + read_time);
        (self.began_at + local_time).max(read_by)
    }

    /// Returns the answer to a caller whose time is over.
    fn give_up(&self, view: &View) -> End {
        if self.in_doubt { End::Unknown } else { End::NotTaken(view.failure) }
    }
}
