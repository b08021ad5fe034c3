//! Connections between hosts: gossip over a kept one, a newcomer's question, the side that serves.

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

/// The time between two messages to a peer.
const ROUND: time::Duration = time::Duration::from_millis(500);
/// How long a peer's connection may be quiet in these tests.
const IDLE: time::Duration = time::Duration::from_millis(1_500);
/// How long one may be quiet where that is not what is looked at: longer than any pause of a busy machine.
const LONG_IDLE: time::Duration = time::Duration::from_secs(120);
/// The time between looks at what has come.
const LOOK: time::Duration = time::Duration::from_millis(5);
/// More text than the buffers of two sockets on loopback hold, in bytes.
const LONG_BYTES: usize = 24 << 20;

/// Gossip goes on over a new connection, and what changed meanwhile is told at once.
pub async fn gossip_goes_on() {
    let news = News::default();
    let proxy = start_peer(LONG_IDLE, &news).await;
    let metrics = metrics::Metrics::new().expect("metrics");
    let sent = |cause: &str| metrics.gossip.with_label_values(&[cause]).get();
    let actor = start_gossip(proxy.addr, metrics.clone()).await;
    until(|| news.calls() >= 3).await;
    assert_eq!(proxy.opened(), 1, "the connection is kept between rounds");
    // A revision is told beside the rounds, so the call that is lost may be the one with the news.
    proxy.silence();
    actor.cast(gossip::Msg::Revision(5)).expect("told");
    until(|| news.revision() == 5).await;
    assert_eq!(proxy.opened(), 2, "one new connection");
    assert_eq!(sent("again"), 1, "the one call that was lost is made up for at once");
    let lost = sent("round") + sent("news") + sent("again") - news.calls();
    assert!(
        lost <= 2,
        "{lost}: the call over the silent connection, and one whose answer is on its way"
    );
    let calls = news.calls();
    until(|| news.calls() >= calls + 3).await;
    assert_eq!(proxy.opened(), 2, "which is kept in turn");
}

/// A host that asks for all is answered over a connection of its own.
pub async fn handover() {
    let proxy = start_peer(IDLE, &News::default()).await;
    let old = peer::Link::connect(proxy.addr, ROUND).await.expect("a connection");
    old.handover(ROUND).await.expect("answered before");
    proxy.silence();
    let silent = old.handover(ROUND).await;
    assert!(matches!(silent, Err(peer::PeerError::Rpc(_))), "{silent:?}");
    let new = peer::Link::connect(proxy.addr, ROUND * 10).await.expect("a connection");
    new.handover(ROUND * 10).await.expect("answered after");
}

/// The side that serves closes a connection without calls, and keeps one with calls.
pub async fn served_side() {
    let proxy = start_peer(IDLE, &News::default()).await;
    let mut quiet = tokio::net::TcpStream::connect(proxy.addr).await.expect("connected");
    let link = peer::Link::connect(proxy.addr, ROUND).await.expect("a connection");
    for _ in 0..8 {
        link.gossip(peer::Gossip::default(), ROUND * 10).await.expect("kept while it calls");
        tokio::time::sleep(IDLE / 4).await;
    }
    assert_eq!(quiet.read(&mut [0]).await.expect("no reset"), 0, "closed");
}

/// A connection that is given up while a long message stands still in it leaves no task behind.
pub async fn given_up_in_a_message() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let tasks = || tokio::runtime::Handle::current().metrics().num_alive_tasks();
    let before = tasks();
    let link = peer::Link::connect(addr, ROUND).await.expect("a connection");
    let held = listener.accept().await.expect("accepted");
    let long = peer::Gossip {
        digests: vec![wharflane::digest::Digest {
            host: "x".repeat(LONG_BYTES).as_str().into(),
            hall: "hall".into(),
            endpoints: Vec::new(),
        }],
        ..peer::Gossip::default()
    };
    link.gossip(long, IDLE).await.expect_err("nobody reads");
    drop(link);
    until(|| tasks() == before).await;
    drop(held);
}

/// What a peer heard.
#[derive(Clone, Debug, Default)]
struct News {
    /// How many calls.
    calls: sync::Arc<atomic::AtomicU64>,
    /// The newest revision.
    revision: sync::Arc<atomic::AtomicU64>,
}

impl News {
    /// Returns how many calls came.
    fn calls(&self) -> u64 {
        self.calls.load(atomic::Ordering::Relaxed)
    }

    /// Returns the newest revision told.
    fn revision(&self) -> u64 {
        self.revision.load(atomic::Ordering::Relaxed)
    }
}

/// Waits until something holds.
async fn until(holds: impl Fn() -> bool) {
    while !holds() {
        tokio::time::sleep(LOOK).await;
    }
}

/// Starts a peer and a proxy before it.
async fn start_peer(idle: time::Duration, news: &News) -> proxy::Proxy {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let news = news.clone();
    let hear = move |gossip: peer::Gossip| {
        news.calls.fetch_add(1, atomic::Ordering::Relaxed);
        news.revision.fetch_max(gossip.revision, atomic::Ordering::Relaxed);
        peer::GossipReply { revision: 0 }
    };
    let all = || peer::Handover { config: None, tables: Vec::new() };
    let answers = peer::Handlers { gossip: sync::Arc::new(hear), handover: sync::Arc::new(all) };
    tokio::spawn(peer::serve(listener, idle, answers));
    proxy::Proxy::start(addr).await.expect("a proxy")
}

/// Takes what the gossip actor tells its root.
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

/// Starts the gossip of a host with one peer.
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
