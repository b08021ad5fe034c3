//! HTTP/1.1 over blocking sockets: a server with one thread for each connection, and a client.

use std::io::{self, BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The path, without the query.
    pub path: String,
    /// The parameters of the query, decoded.
    pub query: Vec<(String, String)>,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: String,
}

impl Request {
    /// Returns a parameter of the query; empty if it is absent.
    pub fn parameter(&self, name: &str) -> &str {
        find(&self.query, name)
    }

    /// Returns a header by its name in lower case; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

/// Returns the value of a name; empty if it is absent.
fn find<'a>(pairs: &'a [(String, String)], name: &str) -> &'a str {
    pairs.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
}

/// An answer: its status and its JSON body.
pub type Reply = (u16, String);

/// Serves an address for as long as the process runs.
pub fn serve(addr: SocketAddr, handle: impl Fn(&Request) -> Reply + Send + Sync + 'static) {
    let listener = TcpListener::bind(addr).expect("the address can't be opened");
    let handle = Arc::new(handle);
    for stream in listener.incoming().flatten() {
        let handle = Arc::clone(&handle);
        thread::spawn(move || serve_connection(stream, &*handle));
    }
}

/// Serves one connection until it is closed.
fn serve_connection(stream: TcpStream, handle: &dyn Fn(&Request) -> Reply) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_request(&mut reader) {
        let (status, body) = handle(&request);
        let length = body.len();
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
        );
        if writer.write_all(format!("{head}{body}").as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads one request; `None` at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1).unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let length: usize = find(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    Ok(Some(Request {
        path: path.to_owned(),
        query: query.map(|(name, value)| (name.to_owned(), decoded(value))).collect(),
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    }))
}

/// Reads headers up to the blank line.
fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<(String, String)>> {
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

/// Decodes percent signs of a query.
fn decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        let code = after.get(..2).filter(|_| byte == b'%');
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(code) => {
                bytes.push(code);
                rest = &after[2..];
            }
            None => {
                bytes.push(byte);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// What a client saw of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// The status; `None` if no complete answer came.
    pub status: Option<u16>,
    /// The body of the answer.
    pub body: String,
    /// How long the call took.
    pub took: Duration,
}

/// Makes one call over a connection of its own, and leaves it after `patience`.
pub fn call(
    addr: SocketAddr,
    (method, path): (&str, &str),
    headers: &[(&str, &str)],
    body: &str,
    patience: Duration,
) -> Seen {
    let began = Instant::now();
    let answer = try_call(addr, (method, path), headers, body, patience);
    let (status, body) =
        answer.map_or((None, String::new()), |(status, body)| (Some(status), body));
    Seen { status, body, took: began.elapsed() }
}

/// Makes one call and returns the status and the body of its answer.
fn try_call(
    addr: SocketAddr,
    (method, path): (&str, &str),
    headers: &[(&str, &str)],
    body: &str,
    patience: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, patience)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {addr}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    let length = body.len();
    head.push_str(&format!(
        "Content-Type: application/json\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    ));
    stream.write_all(format!("{head}{body}").as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split_whitespace().nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status"))?;
    let headers = read_headers(&mut reader)?;
    let length: usize = find(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
