//! A pool of connections to many peers, which retires all connections to a peer once a call over
//! one times out.
//!
//! Only a call that times out reveals a dead connection: the kernel at the other end may keep
//! answering TCP keep-alive probes although no process reads from the connection any more.

use std::collections;
use std::sync;
use std::time;

use hyper::http::uri;

use crate::{client, connection};

/// Interval of the sweep over peers that are no longer called: half of the default idle timeout, so
/// that idle connections outlive that timeout by half of it at most.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Maximum number of log lines about retirements in a window; the next line reports how many were
/// suppressed.
const MAX_LOG_LINES: u32 = 20;
/// Window of the log limit.
const LOG_WINDOW: time::Duration = time::Duration::from_secs(1);

/// A connection that carries one exchange at a time.
#[derive(Debug)]
pub struct Conn {
    /// Sends requests over the connection.
    pub sender: connection::Sender,
    /// Whether it has carried an exchange before.
    pub reused: bool,
    /// Generation of its peer in which it was opened.
    generation: u64,
    /// When its last exchange ended, or when the call that opened it began.
    last_used: tokio::time::Instant,
}

/// Pooled connections to all peers.
#[derive(Debug)]
pub struct Pool {
    /// Limits on idle connections, applied to each peer.
    limits: client::PoolLimits,
    /// State of all peers, shared by concurrent calls.
    state: sync::Mutex<State>,
}

/// State of all peers.
#[derive(Debug)]
struct State {
    /// Peers with idle connections or calls in flight.
    peers: collections::HashMap<uri::Authority, Peer>,
    /// When idle connections of all peers were last swept.
    last_sweep: tokio::time::Instant,
    /// Limits the log lines about retirements.
    log_limiter: LogLimiter,
}

/// State of one peer.
#[derive(Debug, Default)]
struct Peer {
    /// Idle connections, the most recently used at the end.
    idle: Vec<Conn>,
    /// Incremented whenever its connections are retired; only connections of the current generation
    /// are reused.
    generation: u64,
    /// Number of calls in flight.
    in_flight: usize,
    /// Notifies waiting calls that a connection was released.
    released: sync::Arc<tokio::sync::Notify>,
}

/// Limits log lines to a maximum number in each window.
#[derive(Debug)]
struct LogLimiter {
    /// Start of the current window.
    since: tokio::time::Instant,
    /// Lines written in the current window.
    logged: u32,
    /// Lines suppressed since the last one that was written.
    suppressed: u32,
}

/// A call in flight to a peer.
#[derive(Debug)]
pub struct Call<'a> {
    /// Pool that its connection comes from and returns to.
    pool: &'a Pool,
    /// Authority of the peer.
    peer: uri::Authority,
    /// When the call began.
    began: tokio::time::Instant,
}

impl Pool {
    /// Creates an empty pool with limits for each peer.
    #[must_use]
    pub fn new(limits: client::PoolLimits) -> Self {
        let now = tokio::time::Instant::now();
        let log_limiter = LogLimiter { since: now, logged: 0, suppressed: 0 };
        let state = State { peers: collections::HashMap::new(), last_sweep: now, log_limiter };
        Self { limits, state: sync::Mutex::new(state) }
    }

    /// Registers a call to a peer as in flight until the returned value is dropped.
    pub fn begin(&self, peer: uri::Authority) -> Call<'_> {
        let began = tokio::time::Instant::now();
        let mut state = self.lock();
        state.sweep(began, self.limits);
        state.peers.entry(peer.clone()).or_default().in_flight += 1;
        Call { pool: self, peer, began }
    }

    /// Locks the state; a panic elsewhere leaves it usable.
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Call<'_> {
    /// Takes the most recently used idle connection to the peer.
    #[must_use]
    pub fn take_idle(&self) -> Option<Conn> {
        self.pool.lock().peers.get_mut(&self.peer)?.take(self.began, self.pool.limits)
    }

    /// Returns the notification of released connections and how long to wait for it, or `None` if
    /// the call should open a connection at once, because the number of calls in flight does not
    /// exceed the maximum number of idle connections.
    #[must_use]
    pub fn contended(&self) -> Option<(sync::Arc<tokio::sync::Notify>, time::Duration)> {
        let limits = self.pool.limits;
        let state = self.pool.lock();
        let peer = state.peers.get(&self.peer)?;
        let contended = !limits.acquire_wait.is_zero() && peer.in_flight > limits.max_idle;
        contended.then(|| (sync::Arc::clone(&peer.released), limits.acquire_wait))
    }

    /// Opens a connection to the peer.
    ///
    /// # Errors
    /// Returns `CallError` if the connection can't be established.
    pub async fn open(&self) -> Result<Conn, client::CallError> {
        let generation = self.pool.lock().peers.get(&self.peer).map_or(0, |peer| peer.generation);
        let port = self.peer.port_u16().unwrap_or(80);
        let host = self.peer.host().trim_start_matches('[').trim_end_matches(']');
        let sender = connection::open((host, port)).await?;
        Ok(Conn { sender, reused: false, generation, last_used: self.began })
    }

    /// Returns a connection to the pool after a complete response, unless it has been retired
    /// meanwhile.
    pub fn release(&self, mut conn: Conn) {
        conn.reused = true;
        conn.last_used = tokio::time::Instant::now();
        let mut state = self.pool.lock();
        if let Some(peer) = state.peers.get_mut(&self.peer) {
            peer.put(conn, self.pool.limits);
            peer.released.notify_one();
        }
    }

    /// Watches a call that waits for its response, to detect callers that drop it before its
    /// timeout.
    #[must_use]
    pub fn watch_response(
        &self,
        conn: &Conn,
        unanswered_after: time::Duration,
    ) -> PendingResponse<'_> {
        let since = tokio::time::Instant::now();
        PendingResponse {
            call: self,
            generation: conn.generation,
            reused: conn.reused,
            since,
            unanswered_after,
            waiting: true,
        }
    }

    /// Retires every connection to the peer after a call over this one timed out, because the
    /// others may be dead as well. Calls in flight continue; only the first timeout of a generation
    /// has an effect.
    pub fn retire(&self, conn: &Conn) {
        self.retire_generation(conn.generation, conn.reused);
    }

    /// Retires every connection of a generation, if that is the current one.
    fn retire_generation(&self, generation: u64, reused: bool) {
        let now = tokio::time::Instant::now();
        let mut state = self.pool.lock();
        let State { peers, log_limiter, .. } = &mut *state;
        let Some(peer) = peers.get_mut(&self.peer).filter(|peer| peer.generation == generation)
        else {
            return;
        };
        peer.generation += 1;
        let idle = std::mem::take(&mut peer.idle).len();
        // Otherwise a peer that never answers would cause a log line for each call.
        if (idle > 0 || reused)
            && let Some(untold) = log_limiter.allow(now)
        {
            tracing::info!(
                peer = %self.peer,
                idle,
                under_way = peer.in_flight,
                after_ms = (now - self.began).as_millis(),
                untold,
                "response timed out; retired all connections to the peer"
            );
        }
    }
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        if let Some(peer) = self.pool.lock().peers.get_mut(&self.peer) {
            peer.in_flight -= 1;
        }
    }
}

/// A call that waits for its response; if dropped before it completes, the caller has abandoned it.
#[derive(Debug)]
pub struct PendingResponse<'a> {
    /// Call that waits.
    call: &'a Call<'a>,
    /// Generation of the connection that carries the call.
    generation: u64,
    /// Whether that connection has carried an exchange before.
    reused: bool,
    /// When the wait began.
    since: tokio::time::Instant,
    /// Minimum wait after which an abandoned call counts as unanswered and retires the peer's
    /// connections.
    unanswered_after: time::Duration,
    /// Whether the call still waits.
    waiting: bool,
}

impl PendingResponse<'_> {
    /// Marks the wait as over, with a response or a failure.
    pub fn complete(mut self) {
        self.waiting = false;
    }
}

impl Drop for PendingResponse<'_> {
    fn drop(&mut self) {
        if self.waiting && self.since.elapsed() >= self.unanswered_after {
            self.call.retire_generation(self.generation, self.reused);
        }
    }
}

impl State {
    /// Closes connections past the idle timeout, and removes peers that have neither connections
    /// nor calls.
    fn sweep(&mut self, now: tokio::time::Instant, limits: client::PoolLimits) {
        if now - self.last_sweep < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        self.peers.retain(|_, peer| {
            peer.expire(now, limits);
            peer.in_flight > 0 || !peer.idle.is_empty()
        });
    }
}

impl Peer {
    /// Takes the most recently used connection.
    fn take(&mut self, now: tokio::time::Instant, limits: client::PoolLimits) -> Option<Conn> {
        self.expire(now, limits);
        self.idle.pop()
    }

    /// Keeps a connection of the current generation; if the peer has the maximum number, closes the
    /// least recently used.
    fn put(&mut self, conn: Conn, limits: client::PoolLimits) {
        self.expire(conn.last_used, limits);
        if conn.generation != self.generation || limits.max_idle == 0 {
            return;
        }
        if self.idle.len() >= limits.max_idle {
            self.idle.remove(0);
        }
        self.idle.push(conn);
    }

    /// Closes connections past the idle timeout, and those that the peer has closed.
    fn expire(&mut self, now: tokio::time::Instant, limits: client::PoolLimits) {
        self.idle.retain(|conn| {
            !conn.sender.is_closed() && now.duration_since(conn.last_used) < limits.idle_timeout
        });
    }
}

impl LogLimiter {
    /// Returns the number of lines suppressed before this one, or `None` if this one is suppressed
    /// too.
    fn allow(&mut self, now: tokio::time::Instant) -> Option<u32> {
        if now - self.since >= LOG_WINDOW {
            self.since = now;
            self.logged = 0;
        }
        if self.logged >= MAX_LOG_LINES {
            self.suppressed += 1;
            return None;
        }
        self.logged += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
