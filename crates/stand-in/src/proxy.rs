//! A TCP proxy on loopback whose open connections can be made silent while new ones work.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::sync::watch;

/// How much is read from one side at once, in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// A proxy before one address; clones speak of the same proxy.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Where it listens.
    pub addr: net::SocketAddr,
    /// The number of the era; connections of earlier eras are silent.
    era: sync::Arc<watch::Sender<u64>>,
    /// How many connections were opened so far.
    opened: sync::Arc<atomic::AtomicUsize>,
}

impl Proxy {
    /// Starts a proxy on a free port of loopback; it runs until the runtime ends.
    ///
    /// # Errors
    /// Returns the error of a port that can't be opened.
    pub async fn start(target: net::SocketAddr) -> io::Result<Self> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Self {
            addr: listener.local_addr()?,
            era: sync::Arc::new(watch::channel(0).0),
            opened: sync::Arc::default(),
        };
        tokio::spawn(proxy.clone().accept(listener, target));
        Ok(proxy)
    }

    /// Makes every connection that is open now silent for good, in both directions and without a reset.
    pub fn silence(&self) {
        self.era.send_modify(|era| *era += 1);
    }

    /// Returns how many connections were opened so far.
    #[must_use]
    pub fn opened(&self) -> usize {
        self.opened.load(atomic::Ordering::Relaxed)
    }

    /// Takes connections for as long as the runtime runs.
    async fn accept(self, listener: tokio::net::TcpListener, target: net::SocketAddr) {
        loop {
            // An error is that of one connection, which its caller sees closed.
            if let Ok((caller, _)) = listener.accept().await {
                self.opened.fetch_add(1, atomic::Ordering::Relaxed);
                tokio::spawn(carry(caller, target, self.era.subscribe()));
            }
        }
    }
}

/// Carries one connection until a side ends it; a silent one is held open and carries nothing.
async fn carry(
    caller: tokio::net::TcpStream,
    target: net::SocketAddr,
    mut era: watch::Receiver<u64>,
) {
    let Ok(callee) = tokio::net::TcpStream::connect(target).await else {
        return;
    };
    era.mark_unchanged();
    let (mut from_caller, mut to_caller) = caller.into_split();
    let (mut from_callee, mut to_callee) = callee.into_split();
    let there = pass(&mut from_caller, &mut to_callee);
    let back = pass(&mut from_callee, &mut to_caller);
    let both = async { drop(tokio::join!(there, back)) };
    tokio::select! {
        () = both => return,
        changed = era.changed() => if changed.is_err() { return },
    }
    // Both sides stay open and unread: only a time limit or a keep-alive of their own tells them.
    std::future::pending::<()>().await;
}

/// Passes bytes on in one direction until it ends, then ends the other side's reading.
async fn pass(
    from: &mut tokio::net::tcp::OwnedReadHalf,
    to: &mut tokio::net::tcp::OwnedWriteHalf,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = from.read(&mut chunk).await?;
        if read == 0 {
            return to.shutdown().await;
        }
        to.write_all(&chunk[..read]).await?;
    }
}
