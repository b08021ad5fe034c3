//! What the clients of a port may hold at once: connections, and memory for what they send.
//!
//! All limits are budgets: when one is spent, the oldest connection without a complete request, or
//! the oldest incomplete body, gives way to a newer one.

use std::fmt;
use std::net;
use std::sync;
use std::time;

use crate::budget;

/// Size up to which a request's head and body count as small, in bytes: far more than an ordinary
/// call needs.
pub const SMALL_BYTES: usize = 16 << 10;
/// Minimum time between two log lines about the same limit.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Number of limits.
const LIMITS: usize = 4;

/// A limit that a client has met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// A connection without a complete request was closed for a newer one.
    OldConnection,
    /// A new connection was closed, since all others have complete requests.
    NewConnection,
    /// A body was refused for the memory that heads and small bodies may take.
    SmallBodies,
    /// A body was refused for the memory that large bodies may take.
    LargeBodies,
}

impl Limit {
    /// Returns the name of the limit in metrics and log lines.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::OldConnection => "old-connection",
            Self::NewConnection => "new-connection",
            Self::SmallBodies => "small-bodies",
            Self::LargeBodies => "large-bodies",
        }
    }
}

/// Sizes of the budgets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Memory for heads, and for the first `SMALL_BYTES` of each body, in bytes.
    pub small_bytes: usize,
    /// Memory for the rest of larger bodies, in bytes.
    pub large_bytes: usize,
}

/// Is called each time a client has met a limit.
type Counter = dyn Fn(Limit) + Send + Sync;

/// The budgets of a port; clones share them.
#[derive(Clone)]
pub struct Admission {
    /// Open connections.
    pub(crate) connections: budget::Budget,
    /// Memory for heads and the first part of bodies, in bytes.
    pub(crate) small: budget::Budget,
    /// Memory for the rest of larger bodies, in bytes.
    pub(crate) large: budget::Budget,
    /// Counts how often clients met each limit.
    counter: sync::Arc<Counter>,
    /// What was logged about each limit.
    logged: sync::Arc<sync::Mutex<[Logged; LIMITS]>>,
}

/// What was logged about a limit.
#[derive(Clone, Copy, Debug, Default)]
struct Logged {
    /// When the last line was written; `None` before the first.
    at: Option<tokio::time::Instant>,
    /// How often clients met the limit since then.
    since: u64,
}

impl fmt::Debug for Admission {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Admission")
            .field("connections", &self.connections)
            .field("small", &self.small)
            .field("large", &self.large)
            .finish_non_exhaustive()
    }
}

impl Admission {
    /// Creates the budgets of a port; `counter` is called each time a client has met a limit.
    #[must_use]
    pub fn new(sizes: Sizes, counter: impl Fn(Limit) + Send + Sync + 'static) -> Self {
        Self {
            connections: budget::Budget::new(sizes.connections),
            small: budget::Budget::new(sizes.small_bytes),
            large: budget::Budget::new(sizes.large_bytes),
            counter: sync::Arc::new(counter),
            logged: sync::Arc::default(),
        }
    }

    /// Creates budgets that limit connections alone.
    #[must_use]
    pub fn of_connections(connections: usize) -> Self {
        let unlimited = usize::MAX / 2;
        let sizes = Sizes { connections, small_bytes: unlimited, large_bytes: unlimited };
        Self::new(sizes, |_| {})
    }

    /// Counts that a client has met a limit, and logs it unless the last line is recent.
    pub(crate) fn note(&self, limit: Limit, peer: net::SocketAddr) {
        (self.counter)(limit);
        let mut logged = self.logged.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let logged = &mut logged[limit as usize];
        logged.since += 1;
        let now = tokio::time::Instant::now();
        if logged.at.is_some_and(|at| now.saturating_duration_since(at) < LOG_INTERVAL) {
            return;
        }
        let times = std::mem::take(&mut logged.since);
        logged.at = Some(now);
        let budget = match limit {
            Limit::OldConnection | Limit::NewConnection => &self.connections,
            Limit::SmallBodies => &self.small,
            Limit::LargeBodies => &self.large,
        };
        tracing::warn!(
            limit = limit.label(), times, held = budget.held(), total = budget.total(), %peer,
            "clients met a limit"
        );
    }
}
