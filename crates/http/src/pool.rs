//! Connections to many peers, kept idle between calls and retired together once one goes silent.
//!
//! Only a call that got no answer in time notices silence: the kernel at the other end may go on to
//! answer TCP's own keep-alive for a connection that nobody reads any more.

use std::collections;
use std::sync;
use std::time;

use hyper::http::uri;

use crate::{client, connection};

/// How often idle connections to peers that nobody calls any more are looked for: half of the time for
/// which they are kept by default, so that they stay half as long again at most.
const SWEEP: time::Duration = time::Duration::from_secs(5);
/// How many retirements are told in a second; the next line says how many were not.
const LINES: u32 = 20;
/// The time in which so many are told.
const LINES_EVERY: time::Duration = time::Duration::from_secs(1);

/// A connection that carries one exchange at a time.
#[derive(Debug)]
pub struct Conn {
    /// Takes requests.
    pub sender: connection::Sender,
    /// Whether it carried an exchange before.
    pub reused: bool,
    /// The era of its peer in which it was opened.
    era: u64,
    /// When it carried an exchange last.
    used: tokio::time::Instant,
}

/// The connections to all peers.
#[derive(Debug)]
pub struct Pool {
    /// What is kept of idle connections.
    keep: client::Keep,
    /// What is known of the peers.
    state: sync::Mutex<State>,
}

/// What is known of all peers.
#[derive(Debug)]
struct State {
    /// The peers that were called lately.
    peers: collections::HashMap<uri::Authority, Peer>,
    /// When all peers were last gone through.
    swept: tokio::time::Instant,
    /// What was told of retirements.
    lines: Lines,
}

/// What is known of one peer.
#[derive(Debug, Default)]
struct Peer {
    /// The idle connections, the one used last at the end.
    idle: Vec<Conn>,
    /// Counts how often its connections were retired; only those of the era that is on are used again.
    era: u64,
    /// How many calls are under way.
    under_way: usize,
    /// Tells calls that wait that a connection was given back.
    freed: sync::Arc<tokio::sync::Notify>,
}

/// How many lines were written lately.
#[derive(Debug)]
struct Lines {
    /// When counting began.
    since: tokio::time::Instant,
    /// How many were written since.
    told: u32,
    /// How many were left out.
    untold: u32,
}

/// A call under way to a peer.
#[derive(Debug)]
pub struct Call<'a> {
    /// The pool.
    pool: &'a Pool,
    /// The peer.
    peer: uri::Authority,
    /// When it began.
    began: tokio::time::Instant,
}

impl Pool {
    /// Makes an empty pool that keeps so much of the connections to each peer.
    #[must_use]
    pub fn new(keep: client::Keep) -> Self {
        let now = tokio::time::Instant::now();
        let lines = Lines { since: now, told: 0, untold: 0 };
        let state = State { peers: collections::HashMap::new(), swept: now, lines };
        Self { keep, state: sync::Mutex::new(state) }
    }

    /// Begins a call to a peer.
    pub fn begin(&self, peer: uri::Authority) -> Call<'_> {
        let began = tokio::time::Instant::now();
        let mut state = self.lock();
        state.sweep(began, self.keep);
        state.peers.entry(peer.clone()).or_default().under_way += 1;
        Call { pool: self, peer, began }
    }

    /// Locks the state.
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Call<'_> {
    /// Takes an idle connection to the peer.
    #[must_use]
    pub fn idle(&self) -> Option<Conn> {
        self.pool.lock().peers.get_mut(&self.peer)?.take(self.began, self.pool.keep)
    }

    /// Returns what tells that a connection was given back, and how long that is waited for; nothing where fewer calls
    /// are under way than connections are kept.
    #[must_use]
    pub fn crowded(&self) -> Option<(sync::Arc<tokio::sync::Notify>, time::Duration)> {
        let keep = self.pool.keep;
        let state = self.pool.lock();
        let peer = state.peers.get(&self.peer)?;
        let crowded = !keep.wait.is_zero() && peer.under_way > keep.connections;
        crowded.then(|| (sync::Arc::clone(&peer.freed), keep.wait))
    }

    /// Opens a connection to the peer.
    ///
    /// # Errors
    /// Returns `CallError` where none can be made.
    pub async fn open(&self) -> Result<Conn, client::CallError> {
        let era = self.pool.lock().peers.get(&self.peer).map_or(0, |peer| peer.era);
        let port = self.peer.port_u16().unwrap_or(80);
        let host = self.peer.host().trim_start_matches('[').trim_end_matches(']');
        let sender = connection::open((host, port)).await?;
        Ok(Conn { sender, reused: false, era, used: self.began })
    }

    /// Keeps a connection after a whole answer, unless it was retired meanwhile.
    pub fn give_back(&self, mut conn: Conn) {
        conn.reused = true;
        conn.used = tokio::time::Instant::now();
        let mut state = self.pool.lock();
        if let Some(peer) = state.peers.get_mut(&self.peer) {
            peer.put(conn, self.pool.keep);
            peer.freed.notify_one();
        }
    }

    /// Watches a call that waits for its answer over a connection, for callers that give up before the call's limit.
    #[must_use]
    pub fn waits(&self, conn: &Conn, patience: time::Duration) -> Waiting<'_> {
        let since = tokio::time::Instant::now();
        Waiting { call: self, era: conn.era, reused: conn.reused, since, patience, open: true }
    }

    /// Retires every connection to the peer after a call over this one had no answer in time: they may have gone
    /// silent with it. Calls under way go on; the first of them to get no answer speaks for all of its era.
    pub fn retire(&self, conn: &Conn) {
        self.retire_era(conn.era, conn.reused);
    }

    /// Retires every connection of an era, if it is still on.
    fn retire_era(&self, era: u64, reused: bool) {
        let now = tokio::time::Instant::now();
        let mut state = self.pool.lock();
        let State { peers, lines, .. } = &mut *state;
        let Some(peer) = peers.get_mut(&self.peer).filter(|peer| peer.era == era) else {
            return;
        };
        peer.era += 1;
        let idle = std::mem::take(&mut peer.idle).len();
        // A peer that never answers at all would have a line for each call.
        if (idle > 0 || reused)
            && let Some(untold) = lines.tell(now)
        {
            tracing::info!(
                peer = %self.peer,
                idle,
                under_way = peer.under_way,
                after_ms = (now - self.began).as_millis(),
                untold,
                "no answer in time, the connections to a peer are retired"
            );
        }
    }
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        if let Some(peer) = self.pool.lock().peers.get_mut(&self.peer) {
            peer.under_way -= 1;
        }
    }
}

/// A call that waits for its answer; dropped before it is over, its caller has given it up.
#[derive(Debug)]
pub struct Waiting<'a> {
    /// The call.
    call: &'a Call<'a>,
    /// The era of the connection that carries it.
    era: u64,
    /// Whether that connection carried an exchange before.
    reused: bool,
    /// When it began to wait.
    since: tokio::time::Instant,
    /// How long it must have waited in vain for its connection to count as silent.
    patience: time::Duration,
    /// Whether it still waits.
    open: bool,
}

impl Waiting<'_> {
    /// Notes that the wait is over, with an answer or without.
    pub fn over(mut self) {
        self.open = false;
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.open && self.since.elapsed() >= self.patience {
            self.call.retire_era(self.era, self.reused);
        }
    }
}

impl State {
    /// Closes connections that were idle for long, and forgets peers to which there is neither connection nor call.
    fn sweep(&mut self, now: tokio::time::Instant, keep: client::Keep) {
        if now - self.swept < SWEEP {
            return;
        }
        self.swept = now;
        self.peers.retain(|_, peer| {
            peer.expire(now, keep);
            peer.under_way > 0 || !peer.idle.is_empty()
        });
    }
}

impl Peer {
    /// Takes the connection that was used last.
    fn take(&mut self, now: tokio::time::Instant, keep: client::Keep) -> Option<Conn> {
        self.expire(now, keep);
        self.idle.pop()
    }

    /// Keeps a connection of this era, and so many at most.
    fn put(&mut self, conn: Conn, keep: client::Keep) {
        self.expire(conn.used, keep);
        if conn.era != self.era || keep.connections == 0 {
            return;
        }
        if self.idle.len() >= keep.connections {
            self.idle.remove(0);
        }
        self.idle.push(conn);
    }

    /// Closes connections that were idle for long or that the peer has closed.
    fn expire(&mut self, now: tokio::time::Instant, keep: client::Keep) {
        self.idle
            .retain(|conn| !conn.sender.is_closed() && now.duration_since(conn.used) < keep.time);
    }
}

impl Lines {
    /// Returns how many lines were left out if one may be written now.
    fn tell(&mut self, now: tokio::time::Instant) -> Option<u32> {
        if now - self.since >= LINES_EVERY {
            self.since = now;
            self.told = 0;
        }
        if self.told >= LINES {
            self.untold += 1;
            return None;
        }
        self.told += 1;
        Some(std::mem::take(&mut self.untold))
    }
}
