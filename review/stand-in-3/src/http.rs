//! HTTP/1.1 with lengths only: a server with a thread for each connection, and a client.

use std::collections::BTreeMap;
use std::io::{self, BufRead as _, BufReader, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// A request as a stand-in reads it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The path without its query.
    pub path: String,
    /// The query.
    pub query: String,
    /// The incarnation that the caller means.
    pub instance: String,
    /// The body.
    pub body: Vec<u8>,
}

/// What a stand-in answers: nothing at all, or a status and a body.
pub type Answer = Option<(u16, String)>;

/// A server of a stand-in.
#[derive(Debug)]
pub struct Server {
    /// Its address.
    pub addr: SocketAddr,
    /// Whether its process has ended.
    closed: AtomicBool,
    /// Its open connections, by number.
    streams: Mutex<BTreeMap<u64, TcpStream>>,
}

impl Server {
    /// Ends the server as the end of its process would: its port is dead, and its connections are
    /// closed.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.addr);
        for stream in self.streams().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Locks the connections.
    fn streams(&self) -> MutexGuard<'_, BTreeMap<u64, TcpStream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves a listener until the server is closed.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Request) -> Answer + Send + Sync + 'static,
) -> io::Result<Arc<Server>> {
    let addr = listener.local_addr()?;
    let server =
        Arc::new(Server { addr, closed: AtomicBool::new(false), streams: Mutex::default() });
    let accepting = Arc::clone(&server);
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for (number, stream) in (0..).zip(listener.incoming().flatten()) {
            if accepting.closed.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(stream) = stream.try_clone() {
                accepting.streams().insert(number, stream);
            }
            let (handle, server) = (Arc::clone(&handle), Arc::clone(&accepting));
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let _ = connection(stream, &*handle);
                server.streams().remove(&number);
            });
        }
    });
    Ok(server)
}

/// Serves the requests of one connection.
fn connection(stream: TcpStream, handle: &impl Fn(&Request) -> Answer) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some((first, headers)) = head(&mut reader)? {
        let target = first.split(' ').nth(1).unwrap_or_default().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let mut body = vec![0; length(&headers)];
        reader.read_exact(&mut body)?;
        let request = Request {
            path: path.to_owned(),
            query: query.to_owned(),
            instance: header(&headers, "x-expect-instance").to_owned(),
            body,
        };
        let Some((status, body)) = handle(&request) else {
            // A call without an answer: its connection says nothing more.
            loop {
                thread::sleep(Duration::from_secs(60));
            }
        };
        let head = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(format!("{head}{body}").as_bytes())?;
    }
    Ok(())
}

/// Reads a head; `None` at the end of the connection.
fn head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<(String, Vec<String>)>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            let first = if lines.is_empty() { String::new() } else { lines.remove(0) };
            return Ok(Some((first, lines)));
        }
        lines.push(line);
    }
}

/// Returns the value of a header.
fn header<'a>(headers: &'a [String], name: &str) -> &'a str {
    let pairs = headers.iter().filter_map(|line| line.split_once(':'));
    let mut values = pairs.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    values.next().map_or("", |(_, value)| value.trim())
}

/// Returns the length of a body.
fn length(headers: &[String]) -> usize {
    header(headers, "content-length").parse().unwrap_or(0)
}

/// A connection of a client.
#[derive(Debug)]
pub struct Client {
    /// The address that it calls.
    addr: SocketAddr,
    /// How long it waits for an answer.
    patience: Duration,
    /// The connection, if one is open.
    reader: Option<BufReader<TcpStream>>,
}

impl Client {
    /// Creates a client without a connection.
    pub fn new(addr: SocketAddr, patience: Duration) -> Self {
        Self { addr, patience, reader: None }
    }

    /// Makes one call; `None` if no whole answer came in time.
    pub fn call(
        &mut self,
        method: &str,
        host: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let answer = self.try_call(method, host, path, body);
        if answer.is_err() {
            self.reader = None;
        }
        answer.ok()
    }

    /// Makes one call.
    fn try_call(
        &mut self,
        method: &str,
        host: &str,
        path: &str,
        body: &str,
    ) -> io::Result<(u16, String)> {
        let mut reader = match self.reader.take() {
            Some(reader) => reader,
            None => {
                let stream = TcpStream::connect_timeout(&self.addr, Duration::from_secs(1))?;
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(self.patience))?;
                stream.set_write_timeout(Some(self.patience))?;
                BufReader::new(stream)
            }
        };
        let patience_ms = self.patience.as_millis();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: {patience_ms}\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        reader.get_mut().write_all(request.as_bytes())?;
        let Some((first, headers)) = head(&mut reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
        let mut body = vec![0; length(&headers)];
        reader.read_exact(&mut body)?;
        let closes = header(&headers, "connection").eq_ignore_ascii_case("close");
        if !closes {
            self.reader = Some(reader);
        }
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }
}
