//! HTTP/1.1 over plain sockets: a server with a thread for each connection, and single calls.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request as it was read.
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// Returns a header by its name in small letters; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }

    /// Returns a decoded parameter of the query; empty if it is absent.
    pub fn parameter(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map_or(String::new(), |(_, v)| decoded(v))
    }
}

/// Decodes percent signs.
fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut read, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                read.push(byte);
                at += 3;
            }
            None => {
                read.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&read).into_owned()
}

/// Answers a request with a status and a body, or leaves it without an answer.
pub type Handler = Arc<dyn Fn(&Request) -> Option<(u16, String)> + Send + Sync>;

/// Serves a free port of an address until the process ends; returns the port's address.
pub fn serve(ip: &str, handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("no free port");
    let addr = listener.local_addr().expect("no address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let spawned = thread::Builder::new()
                .stack_size(256 << 10)
                .spawn(move || drop(serve_connection(stream, &handler)));
            drop(spawned);
        }
    });
    addr
}

/// Answers the requests of a connection in turn. After one without an answer the connection says
/// nothing more.
fn serve_connection(stream: TcpStream, handler: &Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let Some((status, body)) = handler(&request) else {
            let mut rest = Vec::new();
            reader.read_to_end(&mut rest)?;
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all((head + &body).as_bytes())?;
    }
    Ok(())
}

/// Reads one request; nothing at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let target = line.split_whitespace().nth(1).unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let mut request = Request {
        path: target.split('?').next().unwrap_or_default().to_owned(),
        query: target.split_once('?').map_or(String::new(), |(_, query)| query.to_owned()),
        headers,
        body: String::new(),
    };
    let length = request.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    request.body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some(request))
}

/// Reads headers up to the empty line.
fn read_headers(reader: &mut BufReader<TcpStream>) -> std::io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Makes one call over a connection of its own; nothing if there is no whole answer in time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Deadline-Ms: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        timeout.as_millis(),
        body.len()
    );
    writer.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader).ok()?;
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let mut body = Vec::new();
    match length.and_then(|(_, length)| length.parse().ok()) {
        Some(length) => {
            body = vec![0; length];
            reader.read_exact(&mut body).ok()?;
        }
        None => drop(reader.read_to_end(&mut body).ok()?),
    }
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
