//! The names of requests that are not repeatable and were taken lately by this host.

use std::collections;
use std::sync;
use std::time;

/// The most names kept; beyond it the oldest are dropped.
const MAX_NAMES: usize = 200_000;

/// Names with the time they were taken.
#[derive(Debug)]
pub struct Duplicates {
    /// How long a name is kept.
    window: time::Duration,
    /// The names and their order.
    state: sync::Mutex<State>,
}

/// The names and their order.
#[derive(Debug, Default)]
struct State {
    /// The names.
    names: collections::HashSet<sync::Arc<str>>,
    /// The names by age, the oldest first.
    ages: collections::VecDeque<(time::Duration, sync::Arc<str>)>,
}

impl Duplicates {
    /// Makes an empty set that keeps names so long.
    pub fn new(window: time::Duration) -> Self {
        Self { window, state: sync::Mutex::default() }
    }

    /// Notes a name; returns whether it was not known.
    pub fn note(&self, name: &str, now: time::Duration) -> bool {
        let mut state = self.state.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let stale = |at: time::Duration| now.saturating_sub(at) > self.window;
        while state.ages.front().is_some_and(|(at, _)| stale(*at)) || state.ages.len() > MAX_NAMES {
            if let Some((_, old)) = state.ages.pop_front() {
                state.names.remove(&old);
            }
        }
        let name: sync::Arc<str> = name.into();
        let fresh = state.names.insert(sync::Arc::clone(&name));
        if fresh {
            state.ages.push_back((now, name));
        }
        fresh
    }

    /// Drops the name of a request that did not run, so that it may be sent again.
    pub fn forget(&self, name: &str) {
        let mut state = self.state.lock().unwrap_or_else(sync::PoisonError::into_inner);
        state.names.remove(name);
    }
}
