//! An HTTP/1.1 peer on a thread of its own that ends its connections while they are idle, at a moment the test chooses.
//!
//! A test that calls [`ClosingPeer::end`] from a runtime of one thread keeps that runtime from running: when the call
//! returns, the end lies in the kernel and no task of the runtime has seen it.

use std::io;
use std::io::{BufRead as _, Write as _};
use std::net;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

/// The answer to each request.
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
/// What a server says that gives up waiting for the next request.
const GIVEN_UP: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// How the peer ends an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Closes it.
    Close,
    /// Resets it.
    Reset,
    /// Answers 408 unasked, then closes it.
    GiveUp,
}

/// A peer that serves a batch of connections at a time: one request on each, then it ends them all.
#[derive(Debug)]
pub struct ClosingPeer {
    /// Where it listens.
    pub addr: net::SocketAddr,
    /// How many requests it has read.
    requests: sync::Arc<atomic::AtomicUsize>,
    /// Asks for the end of the batch.
    ask: mpsc::Sender<()>,
    /// Tells that the batch has ended.
    ended: mpsc::Receiver<()>,
}

impl ClosingPeer {
    /// Starts a peer on a free port of loopback that serves so many connections at a time.
    ///
    /// # Errors
    /// Returns the error of a port that can't be opened.
    pub fn start(batch: usize, end: End) -> io::Result<Self> {
        let listener = net::TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let requests = sync::Arc::new(atomic::AtomicUsize::new(0));
        let (ask, asked) = mpsc::channel();
        let (tell, ended) = mpsc::channel();
        let read = sync::Arc::clone(&requests);
        thread::spawn(move || {
            let serve_batch = || -> io::Result<()> {
                let idle: io::Result<Vec<_>> =
                    (0..batch).map(|_| serve_one(&listener, &read)).collect();
                let idle = idle?;
                if asked.recv().is_ok() {
                    idle.into_iter().try_for_each(|stream| end_one(stream, end))?;
                }
                Ok(())
            };
            // The thread ends with its test, which then no longer hears it.
            while serve_batch().is_ok() && tell.send(()).is_ok() {}
        });
        Ok(Self { addr, requests, ask, ended })
    }

    /// Ends the connections of the batch; when it returns, the ends lie in the kernel.
    ///
    /// # Panics
    /// Panics where the peer has not ended them within seconds, or met an error.
    pub fn end(&self) {
        /// Many times what a thread beside load takes.
        const PATIENCE: time::Duration = time::Duration::from_secs(30);
        self.ask.send(()).expect("a peer that runs");
        self.ended.recv_timeout(PATIENCE).expect("the ends of all connections");
    }

    /// Returns how many requests were read.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.load(atomic::Ordering::SeqCst)
    }
}

/// Takes a connection, reads one request without a body and answers it.
fn serve_one(
    listener: &net::TcpListener,
    requests: &atomic::AtomicUsize,
) -> io::Result<net::TcpStream> {
    let (mut stream, _) = listener.accept()?;
    let mut head = io::BufReader::new(stream.try_clone()?).lines();
    while head.next().transpose()?.is_some_and(|line| !line.is_empty()) {}
    requests.fetch_add(1, atomic::Ordering::SeqCst);
    stream.write_all(ANSWER)?;
    Ok(stream)
}

/// Ends an idle connection.
fn end_one(mut stream: net::TcpStream, end: End) -> io::Result<()> {
    match end {
        End::Close => Ok(()),
        End::Reset => socket2::SockRef::from(&stream).set_linger(Some(time::Duration::ZERO)),
        End::GiveUp => stream.write_all(GIVEN_UP),
    }
}
