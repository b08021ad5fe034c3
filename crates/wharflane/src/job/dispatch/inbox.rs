//! The events that wait for the engine of a holder.

use std::collections;
use std::time;

use crate::job::dispatch::two_classes;
use crate::job::event;

/// An event that waits to be handled.
#[derive(Debug)]
pub struct Arrival {
    /// The event.
    pub event: event::Event,
    /// When it arrived.
    pub at: time::Duration,
    /// Whether it answers an urgent call.
    pub urgent: bool,
    /// The time of the call that it answers; zero for other events.
    pub call: time::Duration,
}

/// Events that wait to be handled.
///
/// Answers of workers wait for all others, of which there are few: answers of the store, on which
/// every decision waits, jobs, and what changes the holder's view.
#[derive(Debug, Default)]
pub struct Inbox {
    /// Events other than answers of workers, in the order of their arrival.
    first: collections::VecDeque<Arrival>,
    /// Answers of workers.
    answers: two_classes::TwoClasses<Arrival>,
}

impl Inbox {
    /// Adds an event.
    pub fn push(&mut self, arrival: Arrival) {
        let urgent = match &arrival.event {
            event::Event::HeartbeatAnswered { .. } => arrival.urgent,
            // They take little time, and stops wait for them.
            event::Event::Started { .. } | event::Event::StopNotTaken(_) => true,
            _ => return self.first.push_back(arrival),
        };
        self.answers.push(arrival, urgent);
    }

    /// Removes the event that is handled next.
    pub fn pop(&mut self) -> Option<Arrival> {
        self.first.pop_front().or_else(|| Some(self.answers.pop()?.0))
    }

    /// Returns for how long the oldest answer that is not urgent has waited; zero without one.
    #[must_use]
    pub fn behind(&self, now: time::Duration) -> time::Duration {
        let oldest = self.answers.oldest_usual();
        oldest.map_or(time::Duration::ZERO, |arrival| now.saturating_sub(arrival.at))
    }

    /// Returns the number of events that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.first.len() + self.answers.len()
    }

    /// Returns whether no event waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
