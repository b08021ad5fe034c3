//! Connections between hosts that go silent: gossip over a reused connection, a handover call, and
//! the serving side.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use ractor::Actor;
use tokio::io::AsyncReadExt as _;
use wharflane::{clock, id};
use wharflane_daemon::control::{self, gossip, msg};
use wharflane_daemon::{metrics, settings, traffic};
use wharflane_peer as peer;
use wharflane_platform as platform;
use wharflane_stand_in::proxy;
use wharflane_worker as worker;

/// Interval of gossip rounds.
const ROUND: time::Duration = time::Duration::from_millis(500);
/// Idle timeout of a peer's connection in these tests.
const IDLE: time::Duration = time::Duration::from_millis(1_500);
/// Idle timeout for tests that don't examine it; longer than any pause of a busy machine.
const LONG_IDLE: time::Duration = time::Duration::from_secs(120);
/// Interval between checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);
/// More bytes than the buffers of two loopback sockets hold.
const LONG_MESSAGE_BYTES: usize = 24 << 20;

/// After its connection has gone silent, gossip continues over a new one, and what was lost is sent
/// again at once.
pub async fn gossip_goes_on() {
    let log = PeerLog::default();
    let proxy = start_peer(LONG_IDLE, &log).await;
    let metrics = metrics::Metrics::new().expect("metrics");
    let sent = |cause: &str| metrics.gossip.with_label_values(&[cause]).get();
    let actor = start_gossip(proxy.addr, metrics.clone()).await;
    until(|| log.calls() >= 3).await;
    assert_eq!(proxy.opened(), 1, "the connection is kept between rounds");
    // A new revision is sent outside the rounds, so the lost call may be the one that carries it.
    proxy.silence();
    actor.cast(gossip::Msg::Revision(5)).expect("told");
    until(|| log.revision() == 5).await;
    assert_eq!(proxy.opened(), 2, "one new connection");
    assert_eq!(sent("again"), 1, "the one call that was lost is made up for at once");
    let lost = sent("round") + sent("news") + sent("again") - log.calls();
    assert!(
        lost <= 2,
        "{lost}: the call over the silent connection, and one whose answer is on its way"
    );
    let calls = log.calls();
    until(|| log.calls() >= calls + 3).await;
    assert_eq!(proxy.opened(), 2, "which is kept in turn");
}

/// A handover call over a new connection is answered after an older connection has gone silent.
pub async fn handover() {
    let proxy = start_peer(IDLE, &PeerLog::default()).await;
    let old_link = peer::Link::connect(proxy.addr, ROUND).await.expect("a connection");
    old_link.handover(ROUND).await.expect("answered before");
    proxy.silence();
    let silent = old_link.handover(ROUND).await;
    assert!(matches!(silent, Err(peer::PeerError::Rpc(_))), "{silent:?}");
    let new_link = peer::Link::connect(proxy.addr, ROUND * 10).await.expect("a connection");
    new_link.handover(ROUND * 10).await.expect("answered after");
}

/// The serving side closes a connection without calls, and keeps one with calls.
pub async fn served_side() {
    let proxy = start_peer(IDLE, &PeerLog::default()).await;
    let mut quiet = tokio::net::TcpStream::connect(proxy.addr).await.expect("connected");
    let link = peer::Link::connect(proxy.addr, ROUND).await.expect("a connection");
    for _ in 0..8 {
        link.gossip(peer::Gossip::default(), ROUND * 10).await.expect("kept while it calls");
        tokio::time::sleep(IDLE / 4).await;
    }
    assert_eq!(quiet.read(&mut [0]).await.expect("no reset"), 0, "closed");
}

/// Dropping a connection on which a long message is stuck leaves no task behind.
pub async fn given_up_in_a_message() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let tasks = || tokio::runtime::Handle::current().metrics().num_alive_tasks();
    let before = tasks();
    let link = peer::Link::connect(addr, ROUND).await.expect("a connection");
    let accepted = listener.accept().await.expect("accepted");
    let long = peer::Gossip {
        digests: vec![wharflane::digest::Digest {
            host: "x".repeat(LONG_MESSAGE_BYTES).as_str().into(),
            hall: "hall".into(),
            endpoints: Vec::new(),
        }],
        ..peer::Gossip::default()
    };
    link.gossip(long, IDLE).await.expect_err("nobody reads");
    drop(link);
    until(|| tasks() == before).await;
    drop(accepted);
}

/// Counts the gossip that a peer received.
#[derive(Clone, Debug, Default)]
struct PeerLog {
    /// Number of gossip calls.
    calls: sync::Arc<atomic::AtomicU64>,
    /// Newest revision received.
    revision: sync::Arc<atomic::AtomicU64>,
}

impl PeerLog {
    /// Returns the number of gossip calls.
    fn calls(&self) -> u64 {
        self.calls.load(atomic::Ordering::Relaxed)
    }

    /// Returns the newest revision received.
    fn revision(&self) -> u64 {
        self.revision.load(atomic::Ordering::Relaxed)
    }
}

/// Waits until a condition holds.
async fn until(holds: impl Fn() -> bool) {
    while !holds() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Starts a peer and a proxy in front of it.
async fn start_peer(idle: time::Duration, log: &PeerLog) -> proxy::Proxy {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let log = log.clone();
    let record = move |gossip: peer::Gossip| {
        log.calls.fetch_add(1, atomic::Ordering::Relaxed);
        log.revision.fetch_max(gossip.revision, atomic::Ordering::Relaxed);
        peer::GossipReply { revision: 0 }
    };
    let handover = || peer::Handover { config: None, tables: Vec::new() };
    let answers =
        peer::Handlers { gossip: sync::Arc::new(record), handover: sync::Arc::new(handover) };
    tokio::spawn(peer::serve(listener, idle, answers));
    proxy::Proxy::start(addr).await.expect("a proxy")
}

/// Stands in for the root actor and ignores all messages.
#[derive(Debug)]
struct Root;

impl Actor for Root {
    type Msg = msg::Msg;
    type State = ();
    type Arguments = ();

    async fn pre_start(
        &self,
        _: ractor::ActorRef<msg::Msg>,
        (): (),
    ) -> Result<(), ractor::ActorProcessingErr> {
        Ok(())
    }
}

/// Starts the gossip actor of a host with one peer.
async fn start_gossip(
    peer: net::SocketAddr,
    metrics: metrics::Metrics,
) -> ractor::ActorRef<gossip::Msg> {
    let text = format!(
        "host = \"entry\"\nhall = \"hall\"\n[listen]\ncaller = \"127.0.0.1:0\"\n\
         operator = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\n[platform]\naddr = \"127.0.0.1:1\"\n\
         [control]\ngossip_ms = {}\n",
        ROUND.as_millis()
    );
    let settings = settings::parse(&text).unwrap_or_else(|faults| panic!("{faults:?}"));
    let clock: sync::Arc<dyn clock::Clock> = sync::Arc::new(clock::SystemClock::new());
    let traffic = traffic::Traffic::new(&settings, sync::Arc::clone(&clock), metrics.clone(), 7);
    let closed = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 1));
    let shared = control::Shared {
        settings: sync::Arc::new(settings),
        clock,
        platform: platform::Platform::new(closed, ROUND),
        workers: worker::Workers::new(ROUND),
        traffic: sync::Arc::new(traffic),
        metrics,
        nonce: 7,
    };
    let (root, _) = Actor::spawn(None, Root, ()).await.expect("a root");
    let (actor, _) = Actor::spawn(None, gossip::Gossip, (shared, root)).await.expect("gossip");
    let peers = [(id::HostId::from("peer"), peer)].into();
    actor.cast(gossip::Msg::Peers(peers)).expect("told");
    actor
}
