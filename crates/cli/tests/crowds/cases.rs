//! The crowds: what each sends, to which port, and whether it ends its bodies.

use std::sync;
use std::time;

use wharflane_stand_in::cases;

use crate::crowd;
use crate::crowd::{AfterClose, Writing};
use crate::fleet;
use crate::target;

/// A large job: a little less than a submission may have.
const LARGE_JOB: Body = Body { clients: 400, bytes: 250_000 };
/// A large request to a service: a little less than a request may have.
const LARGE_REQUEST: Body = Body { clients: 100, bytes: 1_000_000 };
/// A job in very small chunks.
const FINE_JOB: Body = Body { clients: 400, bytes: 200_000 };
/// A request to a service in very small chunks.
const FINE_REQUEST: Body = Body { clients: 60, bytes: 400_000 };
/// Size of a large chunk, in bytes.
const LARGE_CHUNK_BYTES: usize = 8_192;
/// Clients with a head that doesn't end.
const HEADS: usize = 2_000;
/// Bytes of such a head: a little less than a head may have.
const HEAD_BYTES: usize = 31_000;
/// Connections that are kept open after an answered call.
const IDLE: usize = 2_000;
/// Connections that send nothing: more than the host has descriptors.
const SILENT: usize = 450;
/// HTTP/2 connections, and streams on each.
const HTTP_2: usize = 60;
const STREAMS: u32 = 100;
/// Bytes of a stream's body that doesn't end.
const STREAM_BYTES: usize = 64 << 10;
/// Descriptors of a host where they aren't what the test is about.
const MANY_DESCRIPTORS: u64 = 4_100;
/// Descriptors of a host that a crowd could take all of.
const FEW_DESCRIPTORS: u64 = 300;
/// How long a crowd that returns is there before the ordinary call.
const RETURNING_TIME: time::Duration = time::Duration::from_secs(3);
/// Memory of a machine on which descriptors are scarcer, in kilobytes.
const LARGE_MACHINE_KB: u64 = 1 << 20;
/// Id of the job that is handed in beside a crowd; the next one is handed in after it.
const ORDINARY_ID: u64 = 1;

/// A body that each client of a crowd sends.
#[derive(Clone, Copy)]
struct Body {
    /// Number of clients.
    clients: usize,
    /// Size of the body, in bytes.
    bytes: usize,
}

/// How a body is sent.
#[derive(Clone, Copy)]
enum Framing {
    /// With its length.
    Sized,
    /// In chunks of a size, in bytes.
    Chunked(usize),
}

/// Whether a body ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    /// The whole body is sent.
    Whole,
    /// The body stops just short of its end.
    Short,
}

/// Which port a crowd calls.
#[derive(Clone, Copy)]
enum Port {
    /// Callers of the job service.
    Jobs,
    /// Callers of services.
    Services,
}

cases! {
    crowd_of_large_jobs_whole =>
        alone(bodies(Port::Jobs, LARGE_JOB, Framing::Sized, End::Whole)),
    crowd_of_large_jobs_short =>
        alone(bodies(Port::Jobs, LARGE_JOB, Framing::Sized, End::Short)),
    crowd_of_jobs_piece_by_piece_whole => alone(pieces(Port::Jobs, LARGE_JOB, End::Whole)),
    crowd_of_jobs_piece_by_piece_short => alone(pieces(Port::Jobs, LARGE_JOB, End::Short)),
    crowd_of_requests_piece_by_piece_whole =>
        alone(pieces(Port::Services, LARGE_REQUEST, End::Whole)),
    crowd_of_requests_piece_by_piece_short =>
        alone(pieces(Port::Services, LARGE_REQUEST, End::Short)),
    crowd_of_jobs_in_large_chunks_whole =>
        alone(bodies(Port::Jobs, LARGE_JOB, Framing::Chunked(LARGE_CHUNK_BYTES), End::Whole)),
    crowd_of_jobs_in_large_chunks_short =>
        alone(bodies(Port::Jobs, LARGE_JOB, Framing::Chunked(LARGE_CHUNK_BYTES), End::Short)),
    crowd_of_jobs_in_small_chunks_whole =>
        alone(bodies(Port::Jobs, FINE_JOB, Framing::Chunked(1), End::Whole)),
    crowd_of_jobs_in_small_chunks_short =>
        alone(bodies(Port::Jobs, FINE_JOB, Framing::Chunked(1), End::Short)),
    crowd_of_large_requests_whole =>
        alone(bodies(Port::Services, LARGE_REQUEST, Framing::Sized, End::Whole)),
    crowd_of_large_requests_short =>
        alone(bodies(Port::Services, LARGE_REQUEST, Framing::Sized, End::Short)),
    crowd_of_requests_in_large_chunks_whole => alone(bodies(
        Port::Services, LARGE_REQUEST, Framing::Chunked(LARGE_CHUNK_BYTES), End::Whole
    )),
    crowd_of_requests_in_large_chunks_short => alone(bodies(
        Port::Services, LARGE_REQUEST, Framing::Chunked(LARGE_CHUNK_BYTES), End::Short
    )),
    crowd_of_requests_in_small_chunks_whole =>
        alone(bodies(Port::Services, FINE_REQUEST, Framing::Chunked(1), End::Whole)),
    crowd_of_requests_in_small_chunks_short =>
        alone(bodies(Port::Services, FINE_REQUEST, Framing::Chunked(1), End::Short)),
    crowd_that_returns_with_large_jobs => alone(returning(Port::Jobs, LARGE_JOB)),
    crowd_that_returns_with_large_requests => alone(returning(Port::Services, LARGE_REQUEST)),
    crowd_of_heads_without_an_end_to_jobs => alone(heads(Port::Jobs)),
    crowd_of_heads_without_an_end_to_services => alone(heads(Port::Services)),
    crowd_of_idle_connections_to_jobs => alone(idle(Port::Jobs)),
    crowd_of_idle_connections_to_services => alone(idle(Port::Services)),
    crowd_of_silent_connections_to_jobs => alone(silent(Port::Jobs)),
    crowd_of_silent_connections_to_services => alone(silent(Port::Services)),
    crowd_on_a_large_machine_with_few_descriptors_to_jobs =>
        alone(silent_on_large_machine(Port::Jobs)),
    crowd_on_a_large_machine_with_few_descriptors_to_services =>
        alone(silent_on_large_machine(Port::Services)),
    crowd_of_http_2_streams_to_jobs => alone(streams(Port::Jobs)),
    crowd_of_http_2_streams_to_services => alone(streams(Port::Services)),
    a_call_about_an_unknown_queue_is_answered_before_its_body_ends =>
        alone(decided_by_head(Port::Jobs, "/jobs/unknown/00000000000000ff")),
    a_request_to_an_unknown_service_is_answered_before_its_body_ends =>
        alone(decided_by_head(Port::Services, "/unknown/crowd")),
    a_single_large_job_is_answered => alone(single(Port::Jobs, 262_144)),
    a_single_large_request_is_answered => alone(single(Port::Services, 1_048_576)),
}

/// Runs a test while no other one of this program runs.
fn alone(test: impl Future<Output = ()>) {
    /// Held by the test that runs.
    static RUNNING: sync::Mutex<()> = sync::Mutex::new(());
    let _running = RUNNING.lock().unwrap_or_else(sync::PoisonError::into_inner);
    fleet::run(test);
}

/// Starts a host with few or many descriptors.
async fn start(port: Port, descriptors: u64) -> target::Target {
    match port {
        Port::Jobs => target::Target::jobs(target::limits(descriptors)).await,
        Port::Services => target::Target::services(target::limits(descriptors)).await,
    }
}

/// Returns the bytes of a `POST` request with a body of filler, which is no job.
fn request(path: &str, body: Body, framing: Framing, end: End) -> Vec<u8> {
    let mut bytes = format!("POST {path} HTTP/1.1\r\nhost: host\r\n").into_bytes();
    let filler = vec![b' '; body.bytes];
    match framing {
        Framing::Sized => {
            bytes.extend(format!("content-length: {}\r\n\r\n", body.bytes).bytes());
            bytes.extend(filler);
            if end == End::Short {
                bytes.pop();
            }
        }
        Framing::Chunked(size) => {
            bytes.extend(b"transfer-encoding: chunked\r\n\r\n");
            for chunk in filler.chunks(size) {
                bytes.extend(format!("{:x}\r\n", chunk.len()).bytes());
                bytes.extend(chunk);
                bytes.extend(b"\r\n");
            }
            if end == End::Whole {
                bytes.extend(b"0\r\n\r\n");
            }
        }
    }
    bytes
}

/// Lets a crowd send, and checks the host beside the crowd and after it.
async fn check_crowd(
    mut target: target::Target,
    clients: usize,
    bytes: Vec<u8>,
    writing: Writing,
    after_close: AfterClose,
    descriptors: u64,
) {
    let watcher = target::Watcher::start(&target);
    let crowd = crowd::Crowd::start(target.addr(), clients, bytes, writing, after_close);
    match after_close {
        AfterClose::Leaves => {
            let port = target.addr().port();
            crowd.settle(|| target::unread_bytes(port)).await;
        }
        AfterClose::Returns => tokio::time::sleep(RETURNING_TIME).await,
    }
    target.check_lives();
    target.check_ready().await;
    target.make_ordinary_call(ORDINARY_ID).await;
    crowd.leave().await;
    target.make_ordinary_call(ORDINARY_ID + 1).await;
    target.check_lives();
    watcher.check_bounds(descriptors);
}

/// A crowd sends large bodies, or bodies in many chunks.
async fn bodies(port: Port, body: Body, framing: Framing, end: End) {
    let target = start(port, MANY_DESCRIPTORS).await;
    let bytes = request(&target.path(), body, framing, end);
    check_crowd(target, body.clients, bytes, Writing::AtOnce, AfterClose::Leaves, MANY_DESCRIPTORS)
        .await;
}

/// A crowd sends large bodies with their length, in small pieces.
async fn pieces(port: Port, body: Body, end: End) {
    let target = start(port, MANY_DESCRIPTORS).await;
    let bytes = request(&target.path(), body, Framing::Sized, end);
    let (writing, after_close) = (Writing::PieceByPiece, AfterClose::Leaves);
    check_crowd(target, body.clients, bytes, writing, after_close, MANY_DESCRIPTORS).await;
}

/// A crowd whose bodies stop short, and whose clients return as soon as they are closed.
async fn returning(port: Port, body: Body) {
    let target = start(port, MANY_DESCRIPTORS).await;
    let bytes = request(&target.path(), body, Framing::Sized, End::Short);
    check_crowd(
        target,
        body.clients,
        bytes,
        Writing::AtOnce,
        AfterClose::Returns,
        MANY_DESCRIPTORS,
    )
    .await;
}

/// A crowd sends heads that don't end.
async fn heads(port: Port) {
    let target = start(port, MANY_DESCRIPTORS).await;
    let mut bytes = format!("POST {} HTTP/1.1\r\nx: ", target.path()).into_bytes();
    bytes.resize(HEAD_BYTES, b'x');
    check_crowd(target, HEADS, bytes, Writing::AtOnce, AfterClose::Leaves, MANY_DESCRIPTORS).await;
}

/// A crowd keeps its connections open after one answered call each.
async fn idle(port: Port) {
    let target = start(port, MANY_DESCRIPTORS).await;
    let call = format!("GET {} HTTP/1.1\r\nhost: host\r\n\r\n", target.path());
    check_crowd(
        target,
        IDLE,
        call.into_bytes(),
        Writing::AtOnce,
        AfterClose::Leaves,
        MANY_DESCRIPTORS,
    )
    .await;
}

/// A crowd opens more connections than the host may have descriptors; a quarter of those has to be
/// left for what the host opens itself.
async fn silent(port: Port) {
    let target = start(port, FEW_DESCRIPTORS).await;
    let bound = FEW_DESCRIPTORS / 4 * 3;
    check_crowd(target, SILENT, Vec::new(), Writing::AtOnce, AfterClose::Leaves, bound).await;
}

/// The same, where memory limits nothing.
async fn silent_on_large_machine(port: Port) {
    let limits = fleet::ProcessLimits { data_kb: LARGE_MACHINE_KB, descriptors: FEW_DESCRIPTORS };
    let target = match port {
        Port::Jobs => target::Target::jobs(limits).await,
        Port::Services => target::Target::services(limits).await,
    };
    let bound = FEW_DESCRIPTORS / 4 * 3;
    check_crowd(target, SILENT, Vec::new(), Writing::AtOnce, AfterClose::Leaves, bound).await;
}

/// A crowd opens many streams on each connection, with bodies that don't end.
async fn streams(port: Port) {
    let mut target = start(port, MANY_DESCRIPTORS).await;
    let watcher = target::Watcher::start(&target);
    let (host, path) = (target.addr(), target.path());
    let mut clients = tokio::task::JoinSet::new();
    for _ in 0..HTTP_2 {
        clients.spawn(hold_streams(host, path.clone()));
    }
    tokio::time::sleep(crowd::SETTLED_AFTER).await;
    target.make_ordinary_call(ORDINARY_ID).await;
    clients.shutdown().await;
    target.make_ordinary_call(ORDINARY_ID + 1).await;
    target.check_lives();
    watcher.check_bounds(MANY_DESCRIPTORS);
}

/// Opens streams on one connection, sends a part of a body on each and holds them.
async fn hold_streams(host: std::net::SocketAddr, path: String) {
    use http_body_util::BodyExt as _;
    let Ok(stream) = tokio::net::TcpStream::connect(host).await else {
        return;
    };
    let executor = hyper_util::rt::TokioExecutor::new();
    let io = hyper_util::rt::TokioIo::new(stream);
    let Ok((sender, connection)) = hyper::client::conn::http2::handshake(executor, io).await else {
        return;
    };
    let streams = (0..STREAMS).map(|_| {
        let filler = bytes::Bytes::from(vec![b' '; STREAM_BYTES]);
        let start =
            futures::stream::iter([Ok::<_, std::io::Error>(hyper::body::Frame::data(filler))]);
        let body = futures::StreamExt::chain(start, futures::stream::pending());
        let body = http_body_util::StreamBody::new(body).boxed();
        let request = hyper::Request::post(format!("http://{host}{path}")).body(body);
        sender.clone().send_request(request.expect("can't build the request"))
    });
    let streams: Vec<_> = streams.collect();
    let _ends = tokio::join!(connection, futures::future::join_all(streams));
}

/// A single body of the largest size is answered in calm: a job is accepted, a request answered.
async fn single(port: Port, bytes: usize) {
    let mut target = start(port, MANY_DESCRIPTORS).await;
    let (path, mut body) = match port {
        Port::Jobs => {
            let path = target.path();
            let job = crate::job_service::two_steps();
            (path, serde_json::to_string(&job).expect("can't encode the job"))
        }
        Port::Services => (target.path(), String::new()),
    };
    body.extend(std::iter::repeat_n(' ', bytes - body.len()));
    assert_eq!(target::post(target.addr(), &path, &body).await, Some(200));
    target.check_lives();
}

/// A request whose head alone decides is answered though its body never ends.
async fn decided_by_head(port: Port, path: &str) {
    let mut target = start(port, MANY_DESCRIPTORS).await;
    let body = Body { clients: 1, bytes: 100_000 };
    let bytes = request(path, body, Framing::Sized, End::Short);
    let status = target::first_status(target.addr(), &bytes).await;
    assert_eq!(status, Some(404));
    target.check_lives();
}
