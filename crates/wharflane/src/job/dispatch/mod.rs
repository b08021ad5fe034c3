//! The order in which a holder does its work, and how much of it it takes on.
//!
//! A holder that can't keep up has to choose. What waits in the order of its arrival delays all
//! alike: answers that free room, commits and starts of the first priority wait behind starts of
//! the last. So work waits where its precedence is known: events in an inbox, calls to workers in
//! an outbox, and tasks among those that wait for a worker until their starts can be sent.

pub(super) mod inbox;
pub(super) mod outbox;
pub(super) mod pace;
mod two_classes;
