//! An HTTP/1.1 peer on its own thread that ends idle connections on request of the test.
//!
//! A test that calls [`ClosingPeer::end`] from a single-threaded runtime blocks that runtime: when
//! the call returns, the kernel has received the end, but no task of the runtime has handled it.

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
/// The answer of a server that times out waiting for the next request.
const REQUEST_TIMEOUT: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// How the peer ends an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Sends an unsolicited 408, then closes the connection.
    RequestTimeout,
}

/// A peer that serves connections in batches: it answers one request on each, then ends them all.
#[derive(Debug)]
pub struct ClosingPeer {
    /// The address that it listens on.
    pub addr: net::SocketAddr,
    /// How many requests it has read.
    requests: sync::Arc<atomic::AtomicUsize>,
    /// Requests the end of the current batch.
    end_request: mpsc::Sender<()>,
    /// Reports that the current batch has ended.
    ended: mpsc::Receiver<()>,
}

impl ClosingPeer {
    /// Starts a peer on a free loopback port that serves `batch` connections at a time.
    ///
    /// # Errors
    /// Returns an error if a port can't be opened.
    pub fn start(batch: usize, end: End) -> io::Result<Self> {
        let listener = net::TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let requests = sync::Arc::new(atomic::AtomicUsize::new(0));
        let (end_request, end_requested) = mpsc::channel();
        let (report, ended) = mpsc::channel();
        let read = sync::Arc::clone(&requests);
        thread::spawn(move || {
            let serve_batch = || -> io::Result<()> {
                let idle: io::Result<Vec<_>> =
                    (0..batch).map(|_| serve_one(&listener, &read)).collect();
                let idle = idle?;
                if end_requested.recv().is_ok() {
                    idle.into_iter().try_for_each(|stream| end_one(stream, end))?;
                }
                Ok(())
            };
            // The thread ends with its test, which drops the other ends of the channels.
            while serve_batch().is_ok() && report.send(()).is_ok() {}
        });
        Ok(Self { addr, requests, end_request, ended })
    }

    /// Ends the connections of the batch; when it returns, the kernel has received every end.
    ///
    /// # Panics
    /// Panics if the peer does not end them within `END_TIMEOUT`, or if an error occurred.
    pub fn end(&self) {
        /// Many times what the thread needs on a loaded machine.
        const END_TIMEOUT: time::Duration = time::Duration::from_secs(30);
        self.end_request.send(()).expect("the peer runs");
        self.ended.recv_timeout(END_TIMEOUT).expect("the ends of all connections");
    }

    /// Returns how many requests were read.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.load(atomic::Ordering::SeqCst)
    }
}

/// Accepts a connection, and reads and answers one request without a body.
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
        End::RequestTimeout => stream.write_all(REQUEST_TIMEOUT),
    }
}
