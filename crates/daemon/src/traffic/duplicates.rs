//! Remembers the ids of recent requests that are not repeatable, so that a repeated one is not run
//! again by this host.

use std::collections;
use std::sync;
use std::time;

/// Largest number of ids; beyond it the oldest are dropped.
const MAX_IDS: usize = 200_000;

/// Ids of recent requests.
#[derive(Debug)]
pub struct RecentRequests {
    /// How long an id is remembered.
    window: time::Duration,
    /// Ids in both orders, under one lock.
    state: sync::Mutex<State>,
}

/// The ids, for lookup and by age.
#[derive(Debug, Default)]
struct State {
    /// Ids for lookup.
    ids: collections::HashSet<sync::Arc<str>>,
    /// Ids by the time at which they were inserted, oldest first.
    ages: collections::VecDeque<(time::Duration, sync::Arc<str>)>,
}

impl RecentRequests {
    /// Creates an empty set that remembers ids for `window`.
    pub fn new(window: time::Duration) -> Self {
        Self { window, state: sync::Mutex::default() }
    }

    /// Inserts an id; returns whether it was not there.
    pub fn insert(&self, id: &str, now: time::Duration) -> bool {
        let mut state = self.state.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let is_expired = |at: time::Duration| now.saturating_sub(at) > self.window;
        while state.ages.front().is_some_and(|(at, _)| is_expired(*at))
            || state.ages.len() > MAX_IDS
        {
            if let Some((_, old)) = state.ages.pop_front() {
                state.ids.remove(&old);
            }
        }
        let id: sync::Arc<str> = id.into();
        let is_new = state.ids.insert(sync::Arc::clone(&id));
        if is_new {
            state.ages.push_back((now, id));
        }
        is_new
    }

    /// Removes the id of a request that did not run, so that it may be sent again.
    pub fn forget(&self, id: &str) {
        let mut state = self.state.lock().unwrap_or_else(sync::PoisonError::into_inner);
        state.ids.remove(id);
    }
}
