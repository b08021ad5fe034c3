//! Connections of a server and the requests on them: which connection may be closed for a newer one.

use std::net;
use std::sync;
use std::sync::atomic;

use crate::{admission, budget};

/// An open connection and its place among those of the port.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Address of the client.
    pub(crate) peer: net::SocketAddr,
    /// Budgets of the port.
    pub(crate) admission: admission::Admission,
    /// State that the requests on the connection share.
    handling: sync::Mutex<Handling>,
}

/// How a connection is used.
#[derive(Debug)]
struct Handling {
    /// The connection's place; revoked to close the connection.
    place: budget::Hold,
    /// Number of requests that have arrived as a whole and are not answered yet.
    unanswered: usize,
}

impl Connection {
    /// Creates a connection that has no request yet.
    pub(crate) fn new(
        peer: net::SocketAddr,
        admission: admission::Admission,
        place: budget::Hold,
    ) -> Self {
        Self { peer, admission, handling: sync::Mutex::new(Handling { place, unanswered: 0 }) }
    }

    /// Returns what is notified when the connection is to be closed for a newer one.
    pub(crate) fn revocation(&self) -> sync::Arc<tokio::sync::Notify> {
        let handling = self.handling.lock().unwrap_or_else(sync::PoisonError::into_inner);
        handling.place.revocation()
    }

    /// Records that a request has arrived as a whole: its answer is not given up for a newer connection.
    fn note_complete_request(&self) {
        let mut handling = self.handling.lock().unwrap_or_else(sync::PoisonError::into_inner);
        handling.unanswered += 1;
        if handling.place.keep().is_err() {
            tracing::debug!(peer = %self.peer, "a request came whole as its connection was closed");
        }
    }

    /// Records that a complete request is answered.
    fn note_answer(&self) {
        let mut handling = self.handling.lock().unwrap_or_else(sync::PoisonError::into_inner);
        handling.unanswered -= 1;
        if handling.unanswered == 0 {
            handling.place.offer();
        }
    }
}

/// A request on its connection; dropped once it is answered.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// The connection.
    connection: sync::Arc<Connection>,
    /// Whether the whole request has arrived.
    is_complete: atomic::AtomicBool,
}

impl Exchange {
    /// Creates an exchange whose request is not complete.
    pub(crate) fn new(connection: sync::Arc<Connection>) -> Self {
        Self { connection, is_complete: atomic::AtomicBool::new(false) }
    }

    /// Returns the connection of the request.
    pub(crate) fn connection(&self) -> &sync::Arc<Connection> {
        &self.connection
    }

    /// Records that the whole request has arrived.
    pub(crate) fn note_complete(&self) {
        if !self.is_complete.swap(true, atomic::Ordering::Relaxed) {
            self.connection.note_complete_request();
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if self.is_complete.load(atomic::Ordering::Relaxed) {
            self.connection.note_answer();
        }
    }
}
