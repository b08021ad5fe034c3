//! The request queue of one service at one host.
//!
//! Requests leave the queue by priority. Admission is bounded by the length of the queue and by the
//! deadline: a request that could not start in time is refused at once instead of being queued.

use std::collections;
use std::time;

/// Weight of the moving average of the service interval, in requests; completions come in bursts.
const INTERVAL_WEIGHT: u32 = 32;

/// A queued request.
#[derive(Debug)]
struct QueuedRequest<T> {
    /// The latest time at which the request may start and still be answered before its deadline.
    start_by: time::Duration,
    /// The caller's handle, returned when the request starts or is refused.
    value: T,
}

/// The sort key of queued requests: higher priority first, then order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SortKey {
    /// The priority, reversed so that a higher one sorts first.
    priority: std::cmp::Reverse<u32>,
    /// Whether it is the first attempt; requests that an endpoint refused sort before first
    /// attempts.
    first: bool,
    /// The arrival number, which keeps the order within a priority.
    arrival: u64,
}

/// The queued requests of one service.
#[derive(Debug)]
pub struct Queue<T> {
    /// The requests by sort key.
    waiting: collections::BTreeMap<SortKey, QueuedRequest<T>>,
    /// The maximum number of queued requests.
    limit: usize,
    /// The arrival number of the next request.
    next_arrival: u64,
    /// The moving average of the time between two dequeued requests; `None` before the second one.
    service_interval: Option<time::Duration>,
    /// When the last request was dequeued; `None` after a pop found the queue empty, so that idle
    /// time is not averaged in.
    last_dequeued: Option<time::Duration>,
}

/// The refusal of a request because of overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// After what time the caller should retry.
    pub retry_after: time::Duration,
}

/// The result of an admission.
#[derive(Debug)]
pub enum Admission<T> {
    /// The request was queued.
    Queued,
    /// The request was queued, and the one of lowest rank was removed and is refused instead.
    Displaced(T, Refused),
    /// The request was refused.
    Refused(Refused),
}

impl<T> Queue<T> {
    /// Creates an empty queue for at most `limit` requests.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            waiting: collections::BTreeMap::new(),
            limit,
            next_arrival: 0,
            service_interval: None,
            last_dequeued: None,
        }
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Queues a request, or refuses it at once if it is not expected to start before `start_by`.
    ///
    /// `first` is false for a request that returns to the queue because an endpoint refused it.
    pub fn push(
        &mut self,
        priority: u32,
        start_by: time::Duration,
        now: time::Duration,
        first: bool,
        value: T,
    ) -> Admission<T> {
        let key =
            SortKey { priority: std::cmp::Reverse(priority), first, arrival: self.next_arrival };
        // Most arrivals sort last, which spares counting the ones ahead.
        let sorts_last = self.waiting.last_key_value().is_none_or(|(last, _)| *last < key);
        let ahead = if sorts_last { self.len() } else { self.waiting.range(..key).count() };
        let wait = self.expected_wait(ahead);
        if now + wait >= start_by {
            return Admission::Refused(Refused { retry_after: wait });
        }
        self.next_arrival += 1;
        self.waiting.insert(key, QueuedRequest { start_by, value });
        if self.waiting.len() <= self.limit {
            return Admission::Queued;
        }
        let refused = Refused { retry_after: self.expected_wait(self.limit) };
        match self.waiting.pop_last() {
            Some((last, _)) if last == key => Admission::Refused(refused),
            Some((_, waiting)) => Admission::Displaced(waiting.value, refused),
            None => Admission::Queued,
        }
    }

    /// Removes the next request that can still start in time, and returns the expired ones before
    /// it as the first value.
    pub fn pop(&mut self, now: time::Duration) -> (Vec<T>, Option<T>) {
        self.pop_for(now, |_| true)
    }

    /// Removes the next request that can still start in time and that `fits` accepts, and returns
    /// the expired ones before it as the first value.
    pub fn pop_for(
        &mut self,
        now: time::Duration,
        fits: impl Fn(&T) -> bool,
    ) -> (Vec<T>, Option<T>) {
        let mut expired = Vec::new();
        let mut next = None;
        for (key, waiting) in &self.waiting {
            if waiting.start_by <= now {
                expired.push(*key);
            } else if fits(&waiting.value) {
                next = Some(*key);
                break;
            }
        }
        let expired = expired.into_iter().filter_map(|key| self.remove(key)).collect();
        let next = next.and_then(|key| self.remove(key));
        if next.is_some() {
            self.record_dequeue(now);
        } else if self.waiting.is_empty() {
            self.last_dequeued = None;
        }
        (expired, next)
    }

    /// Removes the request at a position.
    fn remove(&mut self, key: SortKey) -> Option<T> {
        self.waiting.remove(&key).map(|waiting| waiting.value)
    }

    /// Returns after what time a request that is refused now should be retried.
    #[must_use]
    pub fn retry_after(&self) -> time::Duration {
        self.expected_wait(self.waiting.len())
    }

    /// Returns the expected wait of a request with `ahead` requests before it.
    fn expected_wait(&self, ahead: usize) -> time::Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.service_interval.unwrap_or_default().saturating_mul(ahead)
    }

    /// Updates the moving average after a request was dequeued.
    fn record_dequeue(&mut self, now: time::Duration) {
        if let Some(last) = self.last_dequeued.replace(now) {
            let gap = now.saturating_sub(last);
            let rest = INTERVAL_WEIGHT - 1;
            self.service_interval =
                Some(self.service_interval.map_or(gap, |service_interval| {
                    (service_interval * rest + gap) / INTERVAL_WEIGHT
                }));
        }
    }
}
