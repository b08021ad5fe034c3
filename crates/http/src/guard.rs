//! Guards a server's connection against a caller that is gone without a close.

use std::io;
use std::pin;
use std::task;
use std::time;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net;

/// How a connection of HTTP/2 starts; anything else is HTTP/1.1.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Tells a standstill: runs only while something is awaited, and begins anew with each step forward.
#[derive(Debug)]
pub struct StallTimer {
    /// How long something may be awaited.
    limit: time::Duration,
    /// Ends when it was; made at the first wait.
    sleep: Option<pin::Pin<Box<tokio::time::Sleep>>>,
    /// Whether something is awaited.
    waits: bool,
}

impl StallTimer {
    /// Makes a watch that does not run yet.
    #[must_use]
    pub fn new(limit: time::Duration) -> Self {
        Self { limit, sleep: None, waits: false }
    }

    /// Returns how long something may be awaited.
    #[must_use]
    pub fn limit(&self) -> time::Duration {
        self.limit
    }

    /// Notes a step forward.
    pub fn reset(&mut self) {
        self.waits = false;
    }

    /// Ends once something was awaited for too long.
    pub fn poll(&mut self, cx: &mut task::Context<'_>) -> task::Poll<()> {
        let end = tokio::time::Instant::now() + self.limit;
        let sleep = self.sleep.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(end)));
        if !std::mem::replace(&mut self.waits, true) {
            sleep.as_mut().reset(end);
        }
        sleep.as_mut().poll(cx)
    }
}

/// A connection that breaks where its caller sends no start, or takes nothing of an answer, for too long.
///
/// What comes between is bounded by the protocol's own limits.
#[derive(Debug)]
pub struct Guarded {
    /// The connection.
    stream: net::TcpStream,
    /// What is awaited of the start; nothing once it tells the version of HTTP.
    start: Option<Start>,
    /// Tells whether an answer stands still.
    writes: StallTimer,
}

/// The start of a connection, up to where its version of HTTP is told.
#[derive(Debug)]
struct Start {
    /// How much of the preface came.
    come_bytes: usize,
    /// Tells whether the rest takes too long.
    rest: StallTimer,
}

impl Guarded {
    /// Guards a new connection.
    #[must_use]
    pub fn new(stream: net::TcpStream, start: time::Duration, stall: time::Duration) -> Self {
        let start = Start { come_bytes: 0, rest: StallTimer::new(start) };
        Self { stream, start: Some(start), writes: StallTimer::new(stall) }
    }

    /// Returns what a write came to, or the end of the connection after a standstill.
    fn written(
        &mut self,
        cx: &mut task::Context<'_>,
        polled: task::Poll<io::Result<usize>>,
    ) -> task::Poll<io::Result<usize>> {
        if polled.is_ready() {
            self.writes.reset();
            return polled;
        }
        self.writes.poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl Start {
    /// Takes what came and returns whether the version is told; the end of all tells it too.
    fn told(&mut self, come: &[u8]) -> bool {
        let rest = &PREFACE[self.come_bytes..];
        self.come_bytes += come.len();
        come.is_empty() || come.len() >= rest.len() || !rest.starts_with(come)
    }
}

impl AsyncRead for Guarded {
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
            return start.rest.poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()));
        }
        if start.told(&buf.filled()[before..]) {
            self.start = None;
        }
        polled
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.stream).poll_write(cx, buf);
        self.written(cx, polled)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.written(cx, polled)
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
