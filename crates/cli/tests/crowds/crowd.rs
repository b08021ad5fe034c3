//! A crowd of clients, each with a connection of its own, which send what they are given and then
//! hold their connection open.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Time without progress after which a crowd has sent what it can, and its host has read it.
pub const SETTLED_AFTER: time::Duration = time::Duration::from_secs(1);
/// Interval between looks at the crowd's progress.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Number of bytes that a client writes at once.
const WRITE_BYTES: usize = 64 << 10;
/// Size of a piece, in bytes, and the pause after it.
const PIECE_BYTES: usize = 4 << 10;
const PIECE_PAUSE: time::Duration = time::Duration::from_millis(5);
/// Pause before a client that was closed connects again.
const RETURN_PAUSE: time::Duration = time::Duration::from_millis(5);

/// How a client writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Writing {
    /// As fast as its connection takes it.
    AtOnce,
    /// Small pieces with a pause after each.
    PieceByPiece,
}

/// What a client does once its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterClose {
    /// It stays away.
    Leaves,
    /// It connects again and sends the same.
    Returns,
}

/// Clients that hold their connections until the crowd is dropped.
pub struct Crowd {
    /// The clients; dropping them closes their connections.
    clients: tokio::task::JoinSet<()>,
    /// Bytes that all clients have sent, and connections that have ended.
    progress: sync::Arc<atomic::AtomicU64>,
}

impl Crowd {
    /// Starts `count` clients that send the same bytes.
    pub fn start(
        host: net::SocketAddr,
        count: usize,
        bytes: Vec<u8>,
        writing: Writing,
        after_close: AfterClose,
    ) -> Self {
        let bytes: sync::Arc<[u8]> = bytes.into();
        let progress = sync::Arc::<atomic::AtomicU64>::default();
        let mut clients = tokio::task::JoinSet::new();
        for _ in 0..count {
            let (bytes, progress) = (sync::Arc::clone(&bytes), sync::Arc::clone(&progress));
            clients.spawn(async move {
                loop {
                    hold_connection(host, &bytes, writing, &progress).await;
                    progress.fetch_add(1, atomic::Ordering::Relaxed);
                    if after_close == AfterClose::Leaves {
                        return;
                    }
                    tokio::time::sleep(RETURN_PAUSE).await;
                }
            });
        }
        Self { clients, progress }
    }

    /// Waits until no client makes progress any more, and the host, whose unread bytes `unread`
    /// returns, neither.
    pub async fn settle(&self, unread: impl Fn() -> u64) {
        let mut seen = (self.progress(), unread());
        let mut since = tokio::time::Instant::now();
        while since.elapsed() < SETTLED_AFTER {
            tokio::time::sleep(POLL_INTERVAL).await;
            let progress = (self.progress(), unread());
            if progress != seen {
                seen = progress;
                since = tokio::time::Instant::now();
            }
        }
    }

    /// Closes all connections.
    pub async fn leave(mut self) {
        self.clients.shutdown().await;
    }

    /// Returns what the clients have done so far.
    fn progress(&self) -> u64 {
        self.progress.load(atomic::Ordering::Relaxed)
    }
}

/// Sends the bytes over a new connection and holds it until its peer closes it.
async fn hold_connection(
    host: net::SocketAddr,
    bytes: &[u8],
    writing: Writing,
    progress: &atomic::AtomicU64,
) {
    let Ok(mut stream) = tokio::net::TcpStream::connect(host).await else {
        return;
    };
    let (mut reader, mut writer) = stream.split();
    let write = async {
        let (part_bytes, pause) = match writing {
            Writing::AtOnce => (WRITE_BYTES, time::Duration::ZERO),
            Writing::PieceByPiece => (PIECE_BYTES, PIECE_PAUSE),
        };
        for part in bytes.chunks(part_bytes) {
            if writer.write_all(part).await.is_err() {
                break;
            }
            tokio::time::sleep(pause).await;
            progress.fetch_add(part.len() as u64, atomic::Ordering::Relaxed);
        }
        // The connection stays open after the last byte.
        std::future::pending::<()>().await;
    };
    let read_to_end = async {
        let mut buf = [0; 1_024];
        while reader.read(&mut buf).await.is_ok_and(|count| count > 0) {}
    };
    tokio::select! {
        () = write => {}
        () = read_to_end => {}
    }
}
