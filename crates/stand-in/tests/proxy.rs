//! Tests what the proxy forwards, and that a silenced connection neither closes nor resets.

use std::time;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use wharflane_stand_in::{cases, proxy, runtime};

cases! {
    an_open_connection_goes_silent_and_a_new_one_works => runtime::on_one_thread(silence_one()),
}

/// How long a test waits for a byte: an echo on loopback takes less than a thousandth of it.
const ECHO_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Starts an echo server.
async fn echo() -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                drop(tokio::io::copy(&mut from, &mut to).await);
            });
        }
    });
    addr
}

/// Sends one byte and returns whether it was echoed within `ECHO_TIMEOUT`.
async fn echoes(stream: &mut tokio::net::TcpStream) -> bool {
    stream.write_all(b"x").await.expect("written");
    let mut byte = [0];
    matches!(tokio::time::timeout(ECHO_TIMEOUT, stream.read_exact(&mut byte)).await, Ok(Ok(_)))
}

/// Silences one connection and opens another, which must work.
async fn silence_one() {
    let proxy = proxy::Proxy::start(echo().await).await.expect("a proxy");
    let mut old = tokio::net::TcpStream::connect(proxy.addr).await.expect("connected");
    assert!(echoes(&mut old).await, "forwarded before");
    proxy.silence();
    assert!(!echoes(&mut old).await, "silent, but neither closed nor reset");
    let mut new = tokio::net::TcpStream::connect(proxy.addr).await.expect("connected");
    assert!(echoes(&mut new).await, "a new connection works");
    assert_eq!(proxy.opened(), 2);
}
