//! Timeouts for server connections whose client disappeared without closing them.
//!
//! They bound the start of a connection and stalled responses; limits of the HTTP implementation
//! bound everything else.

use std::io;
use std::pin;
use std::task;
use std::time;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net;

/// First bytes of an HTTP/2 connection; anything else is HTTP/1.1.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// A timer that runs only while I/O is pending and restarts on progress.
#[derive(Debug)]
pub struct StallTimer {
    /// Maximum time without progress.
    limit: time::Duration,
    /// Completes when the limit is reached; created by the first poll.
    sleep: Option<pin::Pin<Box<tokio::time::Sleep>>>,
    /// Whether the timer is running.
    running: bool,
}

impl StallTimer {
    /// Creates a timer that is not running.
    #[must_use]
    pub fn new(limit: time::Duration) -> Self {
        Self { limit, sleep: None, running: false }
    }

    /// Returns the maximum time without progress.
    #[must_use]
    pub fn limit(&self) -> time::Duration {
        self.limit
    }

    /// Stops the timer after progress; the next poll restarts it.
    pub fn reset(&mut self) {
        self.running = false;
    }

    /// Starts the timer if it is stopped; completes when it has run for its limit.
    pub fn poll(&mut self, cx: &mut task::Context<'_>) -> task::Poll<()> {
        let end = tokio::time::Instant::now() + self.limit;
        let sleep = self.sleep.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(end)));
        if !std::mem::replace(&mut self.running, true) {
            sleep.as_mut().reset(end);
        }
        sleep.as_mut().poll(cx)
    }
}

/// A connection that fails if its client takes too long to send the protocol's first bytes, or to
/// accept response data.
#[derive(Debug)]
pub struct GuardedStream {
    /// Underlying connection.
    stream: net::TcpStream,
    /// State of the connection's start; `None` once the HTTP version is known.
    start: Option<ConnectionStart>,
    /// Detects a stalled response.
    write_timer: StallTimer,
}

/// The start of a connection, until its HTTP version is known.
#[derive(Debug)]
struct ConnectionStart {
    /// Number of bytes received.
    received_bytes: usize,
    /// Bounds the wait for further bytes.
    timer: StallTimer,
}

impl GuardedStream {
    /// Guards a new connection with a timeout for its start and one for stalled writes.
    #[must_use]
    pub fn new(stream: net::TcpStream, start: time::Duration, stall: time::Duration) -> Self {
        let start = ConnectionStart { received_bytes: 0, timer: StallTimer::new(start) };
        Self { stream, start: Some(start), write_timer: StallTimer::new(stall) }
    }

    /// Passes on the result of a write, or `TimedOut` if writes have stalled for too long.
    fn guard_write(
        &mut self,
        cx: &mut task::Context<'_>,
        polled: task::Poll<io::Result<usize>>,
    ) -> task::Poll<io::Result<usize>> {
        if polled.is_ready() {
            self.write_timer.reset();
            return polled;
        }
        self.write_timer.poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl ConnectionStart {
    /// Records received bytes and returns whether the HTTP version is known; an end of file settles
    /// it too.
    fn record(&mut self, received: &[u8]) -> bool {
        let rest = &PREFACE[self.received_bytes..];
        self.received_bytes += received.len();
        received.is_empty() || received.len() >= rest.len() || !rest.starts_with(received)
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = pin::Pin::new(&mut self.stream).poll_read(cx, buf);
        let Some(start) = &mut self.start else {
            return polled;
        };
        if polled.is_pending() {
            return start.timer.poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()));
        }
        if start.record(&buf.filled()[before..]) {
            self.start = None;
        }
        polled
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.stream).poll_write(cx, buf);
        self.guard_write(cx, polled)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.guard_write(cx, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
