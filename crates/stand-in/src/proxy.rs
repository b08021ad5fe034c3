//! A TCP proxy on loopback whose open connections can be silenced while new ones work.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::sync::watch;

/// How much is read from one side at a time, in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// A proxy for one address; clones share it.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// The address that it listens on.
    pub addr: net::SocketAddr,
    /// The current generation; connections of earlier generations are silent.
    generation: sync::Arc<watch::Sender<u64>>,
    /// How many connections were accepted so far.
    opened: sync::Arc<atomic::AtomicUsize>,
}

impl Proxy {
    /// Starts a proxy on a free loopback port; it runs until the runtime ends.
    ///
    /// # Errors
    /// Returns an error if the port can't be opened.
    pub async fn start(target: net::SocketAddr) -> io::Result<Self> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Self {
            addr: listener.local_addr()?,
            generation: sync::Arc::new(watch::channel(0).0),
            opened: sync::Arc::default(),
        };
        tokio::spawn(proxy.clone().accept(listener, target));
        Ok(proxy)
    }

    /// Silences every open connection permanently, in both directions and without a reset.
    pub fn silence(&self) {
        self.generation.send_modify(|generation| *generation += 1);
    }

    /// Returns how many connections were accepted so far.
    #[must_use]
    pub fn opened(&self) -> usize {
        self.opened.load(atomic::Ordering::Relaxed)
    }

    /// Accepts connections for as long as the runtime runs.
    async fn accept(self, listener: tokio::net::TcpListener, target: net::SocketAddr) {
        loop {
            // An error concerns one connection, whose caller sees it closed.
            if let Ok((caller, _)) = listener.accept().await {
                self.opened.fetch_add(1, atomic::Ordering::Relaxed);
                tokio::spawn(forward(caller, target, self.generation.subscribe()));
            }
        }
    }
}

/// Forwards one connection until a side ends it; a silenced one stays open without forwarding.
async fn forward(
    caller: tokio::net::TcpStream,
    target: net::SocketAddr,
    mut generation: watch::Receiver<u64>,
) {
    let Ok(callee) = tokio::net::TcpStream::connect(target).await else {
        return;
    };
    generation.mark_unchanged();
    let (mut from_caller, mut to_caller) = caller.into_split();
    let (mut from_callee, mut to_callee) = callee.into_split();
    let request_half = forward_half(&mut from_caller, &mut to_callee);
    let response_half = forward_half(&mut from_callee, &mut to_caller);
    let both_halves = async { drop(tokio::join!(request_half, response_half)) };
    tokio::select! {
        () = both_halves => return,
        changed = generation.changed() => if changed.is_err() { return },
    }
    // Both sides stay open and unread, so that only their own timeout or keep-alive detects the
    // silence.
    std::future::pending::<()>().await;
}

/// Forwards bytes in one direction until it ends, then shuts down the other side's reading.
async fn forward_half(
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
