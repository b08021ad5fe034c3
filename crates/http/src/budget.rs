//! A budget that many holders share. When it is spent, holders that may be revoked give way to newer
//! ones, oldest first.
//!
//! An honest client finishes soon after it started, so that it is seldom the oldest; a client that
//! leaves its request open becomes the oldest and can't lock others out.

use std::collections;
use std::sync;

use tokio::sync::{Notify, oneshot};

/// A budget in units, such as bytes or connections; clones share it.
#[derive(Clone, Debug)]
pub struct Budget {
    /// State that all holders share.
    state: sync::Arc<sync::Mutex<State>>,
    /// Size of the budget, in units.
    total: usize,
}

/// Who holds a budget and who waits for it.
#[derive(Debug)]
struct State {
    /// Units that nobody holds.
    free: usize,
    /// Units of revoked holders that are still to be returned.
    returning: usize,
    /// Units that the waiting holders lack.
    wanted: usize,
    /// Id of the next holder; a smaller id is older.
    next_id: u64,
    /// Holders that may be revoked.
    revocable: collections::BTreeMap<u64, Revocable>,
    /// Holders that wait for units of revoked ones, in the order of their requests.
    waiting: collections::VecDeque<Waiter>,
}

/// A holder that may be revoked.
#[derive(Debug)]
struct Revocable {
    /// Units that it holds.
    units: usize,
    /// Notified when it is revoked.
    revoked: sync::Arc<Notify>,
}

/// A holder that waits for units.
#[derive(Debug)]
struct Waiter {
    /// Id of the request, unique among waiters.
    id: u64,
    /// Units that it lacks.
    units: usize,
    /// Grants them.
    grant: oneshot::Sender<()>,
}

/// Why a holder gets no more units.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The budget is spent, and no older holder may be revoked.
    #[error("the budget is spent")]
    Spent,
    /// The holder was revoked for a newer one.
    #[error("the budget was needed for a newer request")]
    Revoked,
}

impl Budget {
    /// Creates a budget of `total` units.
    #[must_use]
    pub fn new(total: usize) -> Self {
        let state = State {
            free: total,
            returning: 0,
            wanted: 0,
            next_id: 0,
            revocable: collections::BTreeMap::new(),
            waiting: collections::VecDeque::new(),
        };
        Self { state: sync::Arc::new(sync::Mutex::new(state)), total }
    }

    /// Creates a holder without units, which may be revoked.
    #[must_use]
    pub fn hold(&self) -> Hold {
        let revoked = sync::Arc::<Notify>::default();
        let id = self.lock().add_revocable(0, &revoked);
        Hold { budget: self.clone(), revocable: Some(id), units: 0, revoked }
    }

    /// Returns the size of the budget, in units.
    #[must_use]
    pub fn total(&self) -> usize {
        self.total
    }

    /// Returns the units that holders have.
    #[must_use]
    pub fn held(&self) -> usize {
        self.total - self.lock().free
    }

    /// Locks the state; a panic elsewhere leaves it usable.
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl State {
    /// Adds a holder that may be revoked, as the newest, and returns its id.
    fn add_revocable(&mut self, units: usize, revoked: &sync::Arc<Notify>) -> u64 {
        let id = self.take_id();
        self.revocable.insert(id, Revocable { units, revoked: sync::Arc::clone(revoked) });
        id
    }

    /// Returns a new id.
    fn take_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// Revokes holders older than `id`, oldest first, until those that wait get their units. Returns
    /// false, and revokes none, if the older ones don't have enough.
    fn revoke_for_waiting(&mut self, id: u64) -> bool {
        let mut lacking = self.wanted.saturating_sub(self.free + self.returning);
        let mut oldest = Vec::new();
        for (id, holder) in self.revocable.range(..id).filter(|(_, holder)| holder.units > 0) {
            if lacking == 0 {
                break;
            }
            lacking = lacking.saturating_sub(holder.units);
            oldest.push(*id);
        }
        if lacking > 0 {
            return false;
        }
        for holder in oldest.iter().filter_map(|id| self.revocable.remove(id)).collect::<Vec<_>>() {
            self.returning += holder.units;
            holder.revoked.notify_one();
        }
        true
    }

    /// Grants free units to those that wait, in order.
    fn grant(&mut self) {
        while self.waiting.front().is_some_and(|waiter| waiter.units <= self.free) {
            let Some(waiter) = self.waiting.pop_front() else {
                return;
            };
            self.wanted -= waiter.units;
            // A waiter that has given up meanwhile takes nothing.
            if waiter.grant.send(()).is_ok() {
                self.free -= waiter.units;
            }
        }
    }
}

/// Units of a budget, returned when this is dropped.
#[derive(Debug)]
pub struct Hold {
    /// The budget.
    budget: Budget,
    /// Id among the holders that may be revoked; `None` while it may not be.
    revocable: Option<u64>,
    /// Units that it holds.
    units: usize,
    /// Notified when it is revoked.
    revoked: sync::Arc<Notify>,
}

impl Hold {
    /// Takes more units; waits until revoked holders have returned theirs, if they are needed.
    ///
    /// # Errors
    /// Returns `Refusal` if older holders don't have enough, or if this one was revoked.
    pub async fn grow(&mut self, units: usize) -> Result<(), Refusal> {
        let pending = self.request(units)?;
        if let Some(mut pending) = pending {
            tokio::select! {
                granted = pending.granted() => granted?,
                () = self.revoked.notified() => return Err(Refusal::Revoked),
            }
        }
        self.units += units;
        let mut state = self.budget.lock();
        if let Some(entry) = self.revocable.and_then(|id| state.revocable.get_mut(&id)) {
            entry.units += units;
            return Ok(());
        }
        if self.revocable.is_some() {
            // It was revoked while the units were granted: they return with the others.
            state.returning += units;
            return Err(Refusal::Revoked);
        }
        Ok(())
    }

    /// Takes free units, or queues a request for those of revoked holders.
    fn request(&self, units: usize) -> Result<Option<Pending>, Refusal> {
        let mut state = self.budget.lock();
        if self.revocable.is_some_and(|id| !state.revocable.contains_key(&id)) {
            return Err(Refusal::Revoked);
        }
        if state.waiting.is_empty() && units <= state.free {
            state.free -= units;
            return Ok(None);
        }
        let id = state.take_id();
        state.wanted += units;
        if !state.revoke_for_waiting(self.revocable.unwrap_or(id)) {
            state.wanted -= units;
            return Err(Refusal::Spent);
        }
        let (grant, granted) = oneshot::channel();
        state.waiting.push_back(Waiter { id, units, grant });
        drop(state);
        Ok(Some(Pending { budget: self.budget.clone(), id, units, granted, taken: false }))
    }

    /// Keeps the units until this is dropped: it may not be revoked any more.
    ///
    /// # Errors
    /// Returns `Refusal::Revoked` if it was revoked before.
    pub fn keep(&mut self) -> Result<(), Refusal> {
        let Some(id) = self.revocable else {
            return Ok(());
        };
        match self.budget.lock().revocable.remove(&id) {
            Some(_) => {
                self.revocable = None;
                Ok(())
            }
            None => Err(Refusal::Revoked),
        }
    }

    /// Lets the units be revoked again, as those of the newest holder.
    pub fn offer(&mut self) {
        if self.revocable.is_none() {
            let mut state = self.budget.lock();
            self.revocable = Some(state.add_revocable(self.units, &self.revoked));
        }
    }

    /// Returns what is notified when the holder is revoked.
    #[must_use]
    pub fn revocation(&self) -> sync::Arc<Notify> {
        sync::Arc::clone(&self.revoked)
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        state.free += self.units;
        let was_revoked = self.revocable.is_some_and(|id| state.revocable.remove(&id).is_none());
        if was_revoked {
            state.returning -= self.units;
        }
        state.grant();
    }
}

/// A request for units that waits; dropping it takes the request back.
#[derive(Debug)]
struct Pending {
    /// The budget.
    budget: Budget,
    /// Id of the request.
    id: u64,
    /// Units that it waits for.
    units: usize,
    /// Completes when the units are granted.
    granted: oneshot::Receiver<()>,
    /// Whether the holder has taken note of the grant.
    taken: bool,
}

impl Pending {
    /// Waits until the units are granted.
    async fn granted(&mut self) -> Result<(), Refusal> {
        // The sender is dropped only with the budget itself.
        (&mut self.granted).await.map_err(|_closed| Refusal::Spent)?;
        self.taken = true;
        Ok(())
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let mut state = self.budget.lock();
        let before = state.waiting.len();
        state.waiting.retain(|waiter| waiter.id != self.id);
        if state.waiting.len() < before {
            state.wanted -= self.units;
        } else if self.granted.try_recv().is_ok() {
            state.free += self.units;
        }
        state.grant();
    }
}
