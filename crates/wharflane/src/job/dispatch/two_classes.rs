//! A queue of two classes in which neither waits for long.

use std::collections;

/// A queue whose urgent items make up every second one that is removed for as long as some wait, so
/// that neither urgent items nor the others starve.
#[derive(Debug)]
pub(super) struct TwoClasses<T> {
    /// The urgent items, in the order of their arrival.
    urgent: collections::VecDeque<T>,
    /// The other items, in the order of their arrival.
    usual: collections::VecDeque<T>,
    /// Whether the last item that was removed was urgent.
    urgent_last: bool,
}

impl<T> Default for TwoClasses<T> {
    fn default() -> Self {
        let (urgent, usual) = (collections::VecDeque::new(), collections::VecDeque::new());
        Self { urgent, usual, urgent_last: false }
    }
}

impl<T> TwoClasses<T> {
    /// Adds an item.
    pub fn push(&mut self, item: T, urgent: bool) {
        let queue = if urgent { &mut self.urgent } else { &mut self.usual };
        queue.push_back(item);
    }

    /// Removes the next item; returns it and whether it is urgent.
    pub fn pop(&mut self) -> Option<(T, bool)> {
        let urgent = !self.urgent.is_empty() && (!self.urgent_last || self.usual.is_empty());
        let queue = if urgent { &mut self.urgent } else { &mut self.usual };
        let item = queue.pop_front()?;
        self.urgent_last = urgent;
        Some((item, urgent))
    }

    /// Returns the oldest item that is not urgent.
    pub fn oldest_usual(&self) -> Option<&T> {
        self.usual.front()
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.urgent.len() + self.usual.len()
    }
}
