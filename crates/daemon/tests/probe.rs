//! What a probe of a lease holder's process tells, and how many connections it costs.
//!
//! Guards against probes of many hosts that fill the queue of connections of a busy process, which
//! then looks like a silent host.

use std::net;
use std::time;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use wharflane::job;
use wharflane_daemon::jobs::probe;
use wharflane_stand_in::cases;

/// Starts a process that answers each request on each connection with `answer`, or never; returns
/// its address and the number of connections that it has accepted so far.
async fn listen(
    answer: Option<&'static str>,
) -> (net::SocketAddr, tokio::sync::watch::Receiver<u32>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (accepted, count) = tokio::sync::watch::channel(0);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            accepted.send_modify(|count| *count += 1);
            tokio::spawn(async move {
                let mut request = [0; 1_024];
                while matches!(stream.read(&mut request).await, Ok(1..)) {
                    let Some(answer) = answer else {
                        continue;
                    };
                    let length = answer.len();
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
                    let sent = stream.write_all(format!("{head}{answer}").as_bytes()).await;
                    sent.expect("the prober reads");
                }
            });
        }
    });
    (addr, count)
}

/// Probes a process and returns the result and the number of connections that it cost.
async fn probe_listener(answer: Option<&'static str>) -> (job::ProbeResult, u32) {
    let (addr, accepted) = listen(answer).await;
    let result = probe::probe(addr, 7, time::Duration::ZERO).await;
    let count = *accepted.borrow();
    (result, count)
}

/// Runs a test on a runtime of its own.
fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().expect("a runtime").block_on(test);
}

cases! {
    a_probe_opens_one_connection => run(async {
        let claimed = r#"{"claim":"claimed","at_least_ms":450}"#;
        let claimed_for = Some(time::Duration::from_millis(450));
        assert_eq!(probe_listener(Some(claimed)).await, (job::ProbeResult::Listens { claimed_for }, 1));
        assert_eq!(probe_listener(Some(r#"{"claim":"vacated"}"#)).await, (job::ProbeResult::Vacated, 1));
    }),
    a_process_that_accepts_and_does_not_answer_listens => run(async {
        let claimed_for = None;
        assert_eq!(probe_listener(None).await, (job::ProbeResult::Listens { claimed_for }, 1));
    }),
    a_port_without_a_process_refuses => run(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        drop(listener);
        assert_eq!(probe::probe(addr, 7, time::Duration::ZERO).await, job::ProbeResult::Refused);
    }),
}
