//! The queue of a service at one host: by paid priority, bounded by length and by deadline.

use std::collections;
use std::time;

/// Over how many requests the pace is averaged; they end in bursts.
const PACE_WEIGHT: u32 = 32;

/// A request that waits.
#[derive(Debug)]
struct Waiting<T> {
    /// When it must be taken at the latest to be answered in time.
    start_by: time::Duration,
    /// What is woken when its turn comes.
    value: T,
}

/// The order of waiting requests: higher priority first, then first come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    /// The priority, turned round so that a higher one sorts first.
    priority: std::cmp::Reverse<u32>,
    /// Whether it comes for the first time; those that were refused by an endpoint go before.
    first: bool,
    /// The order of arrival.
    arrival: u64,
}

/// The waiting requests of one service.
#[derive(Debug)]
pub struct Queue<T> {
    /// The requests by their order.
    waiting: collections::BTreeMap<Position, Waiting<T>>,
    /// The most that may wait.
    limit: usize,
    /// The order of the next arrival.
    next: u64,
    /// The average time between two requests taken from the queue.
    pace: Option<time::Duration>,
    /// When the last request was taken.
    last_taken: Option<time::Duration>,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// When it is worth to ask again.
    pub retry_after: time::Duration,
}

/// What happened to an arrival.
#[derive(Debug)]
pub enum Admission<T> {
    /// It waits.
    Queued,
    /// It waits in place of one of lower priority, which is refused.
    Displaced(T, Refused),
    /// It is refused.
    Refused(Refused),
}

impl<T> Queue<T> {
    /// Makes an empty queue with room for so many requests.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { waiting: collections::BTreeMap::new(), limit, next: 0, pace: None, last_taken: None }
    }

    /// Returns how many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes an arrival, or refuses at once what can't be taken before `start_by`.
    ///
    /// `first` is false for a request that comes again since an endpoint refused it.
    pub fn push(
        &mut self,
        priority: u32,
        start_by: time::Duration,
        now: time::Duration,
        first: bool,
        value: T,
    ) -> Admission<T> {
        let place = Position { priority: std::cmp::Reverse(priority), first, arrival: self.next };
        // Most arrivals go to the end, which needs no count.
        let last = self.waiting.last_key_value().is_none_or(|(last, _)| *last < place);
        let ahead = if last { self.len() } else { self.waiting.range(..place).count() };
        let wait = self.expected_wait(ahead);
        if now + wait >= start_by {
            return Admission::Refused(Refused { retry_after: wait });
        }
        self.next += 1;
        self.waiting.insert(place, Waiting { start_by, value });
        if self.waiting.len() <= self.limit {
            return Admission::Queued;
        }
        let refused = Refused { retry_after: self.expected_wait(self.limit) };
        match self.waiting.pop_last() {
            Some((last, _)) if last == place => Admission::Refused(refused),
            Some((_, waiting)) => Admission::Displaced(waiting.value, refused),
            None => Admission::Queued,
        }
    }

    /// Takes the next request that is still in time; those that come too late are returned first.
    pub fn pop(&mut self, now: time::Duration) -> (Vec<T>, Option<T>) {
        self.pop_for(now, |_| true)
    }

    /// Takes the next request that is still in time and fits what is free; those before it that come too late
    /// are returned first.
    pub fn pop_for(
        &mut self,
        now: time::Duration,
        fits: impl Fn(&T) -> bool,
    ) -> (Vec<T>, Option<T>) {
        let mut late = Vec::new();
        let mut next = None;
        for (place, waiting) in &self.waiting {
            if waiting.start_by <= now {
                late.push(*place);
            } else if fits(&waiting.value) {
                next = Some(*place);
                break;
            }
        }
        let late = late.into_iter().filter_map(|place| self.take(place)).collect();
        let next = next.and_then(|place| self.take(place));
        if next.is_some() {
            self.note_pace(now);
        } else if self.waiting.is_empty() {
            self.last_taken = None;
        }
        (late, next)
    }

    /// Takes a request out of the queue.
    fn take(&mut self, place: Position) -> Option<T> {
        self.waiting.remove(&place).map(|waiting| waiting.value)
    }

    /// Returns when a request refused now should come back.
    #[must_use]
    pub fn retry_after(&self) -> time::Duration {
        self.expected_wait(self.waiting.len())
    }

    /// Returns when a request with so many ahead of it would be served.
    fn expected_wait(&self, ahead: usize) -> time::Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.pace.unwrap_or_default().saturating_mul(ahead)
    }

    /// Notes that a request was taken.
    fn note_pace(&mut self, now: time::Duration) {
        if let Some(last) = self.last_taken.replace(now) {
            let gap = now.saturating_sub(last);
            let rest = PACE_WEIGHT - 1;
            self.pace = Some(self.pace.map_or(gap, |pace| (pace * rest + gap) / PACE_WEIGHT));
        }
    }
}
