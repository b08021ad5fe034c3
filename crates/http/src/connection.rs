//! Connections of HTTP/1.1 to a peer, which notice before each request that the peer has ended them.

use std::io;
use std::io::Read as _;
use std::pin;
use std::task;
use std::time;

use bytes::Bytes;
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net;

/// How much is read at once past the runtime, in bytes: the head of a usual answer; what is longer follows as usual.
const EAGER_BYTES: usize = 1_024;
/// How long the task of an idle connection may take until it is ready: no network is asked for it, so it takes
/// microseconds, and beside load milliseconds. One that still sends a body which its peer answered early takes longer.
const READY_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// The body of a request, whole so that it can be sent again.
pub type Body = http_body_util::Full<Bytes>;
/// Takes the requests of one connection.
pub type Sender = http1::SendRequest<Body>;

/// Why a connection was not made; no byte of a request was sent.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The peer takes none.
    #[error("no connection: {0}")]
    Connect(#[from] io::Error),
    /// The connection could not be prepared for requests.
    #[error("no connection for requests: {0}")]
    Handshake(#[from] hyper::Error),
}

/// Opens a connection to a peer; it ends with its sender or its peer.
///
/// # Errors
/// Returns `OpenError` where none can be made. Time is for the caller to bound.
pub async fn open(peer: impl net::ToSocketAddrs) -> Result<Sender, OpenError> {
    let stream = net::TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    let (sender, conn) = http1::handshake(rt::TokioIo::new(EagerStream(stream))).await?;
    // What breaks a connection is told to the exchange on it.
    tokio::spawn(async move { drop(conn.await) });
    Ok(sender)
}

/// Takes idle connections until one is ready, and drops those that are not; returns nothing where none is.
///
/// A connection is ready once its task is through with the answer before, which its caller may hear of sooner.
pub async fn first_ready<C>(
    deadline: tokio::time::Instant,
    mut idle: impl FnMut() -> Option<C>,
    sender: impl Fn(&mut C) -> &mut Sender,
) -> Option<C> {
    let end = deadline.min(tokio::time::Instant::now() + READY_TIMEOUT);
    while let Some(mut conn) = idle() {
        if matches!(tokio::time::timeout_at(end, sender(&mut conn).ready()).await, Ok(Ok(()))) {
            return Some(conn);
        }
    }
    None
}

/// A TCP stream that reads from the kernel also where the runtime knows of nothing to read.
///
/// The runtime hears of what came only when it polls for events, which takes milliseconds beside load. A request handed to an
/// idle connection in that time would be written after its peer's close and be lost, or take what the peer said before
/// the close (such as a 408) for its answer. hyper reads once before it writes a request to an idle connection: by
/// reading at once, that read sees the end, and hyper gives the request back unwritten. It costs a system call for each read that
/// finds nothing, and saves a request after each close that would not be seen: 28 of 3,000 runs of three calls to a peer
/// that closes after each answer lost one beside 12 busy loops on 5 cores. A close that is still under way is not seen.
#[derive(Debug)]
struct EagerStream(net::TcpStream);

impl EagerStream {
    /// Reads what the kernel holds now.
    fn read_now(&self, buf: &mut ReadBuf<'_>) -> io::Result<()> {
        let room = buf.remaining().min(EAGER_BYTES);
        let socket = socket2::SockRef::from(&self.0);
        let read = (&*socket).read(buf.initialize_unfilled_to(room))?;
        buf.advance(read);
        Ok(())
    }
}

impl AsyncRead for EagerStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let polled = pin::Pin::new(&mut self.0).poll_read(cx, buf);
        if polled.is_ready() {
            return polled;
        }
        match self.read_now(buf) {
            // The runtime wakes the reader, as it was asked to.
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => task::Poll::Pending,
            read => task::Poll::Ready(read),
        }
    }
}

impl AsyncWrite for EagerStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.0).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
