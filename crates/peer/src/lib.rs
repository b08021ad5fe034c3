//! Speaks between hosts over tarpc: nudges, endpoint tables, digests, and state for newcomers.

use std::fmt;
use std::future;
use std::io;
use std::net;
use std::sync;
use std::time;

use futures::StreamExt as _;
use serde::{Deserialize, Serialize};
use tarpc::server::{self, Channel as _};
use tarpc::tokio_serde::formats;
use wharflane::{desired, digest, endpoints};

/// How long a peer's connection may bring no call: two and a half times the longest time between two
/// messages to a peer that the settings allow, so that only a silent one is closed.
pub const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(150);
/// The largest message, in bytes.
const MAX_FRAME_BYTES: usize = 32 << 20;

/// What one peer tells another at once.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Gossip {
    /// The configuration revision that the sender has in force.
    pub revision: u64,
    /// Endpoint tables of halls that the sender holds.
    pub tables: Vec<endpoints::Table>,
    /// What the sender saw of halls that the receiver holds.
    pub digests: Vec<digest::Digest>,
}

/// What a peer answers to gossip.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GossipReply {
    /// The configuration revision that the receiver has in force.
    pub revision: u64,
}

/// All that a newcomer needs when the store is down.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Handover {
    /// The configuration in force.
    pub config: Option<desired::Stored>,
    /// The newest endpoint table of each hall.
    pub tables: Vec<endpoints::Table>,
}

/// The calls between hosts.
#[tarpc::service]
pub trait Peer {
    /// Takes news and says what the receiver has.
    async fn gossip(gossip: Gossip) -> GossipReply;
    /// Returns the configuration in force and all endpoint tables.
    async fn handover() -> Handover;
}

/// Why a peer gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// No connection.
    #[error("peer can't be reached")]
    Connect(#[from] io::Error),
    /// The call failed.
    #[error("peer gave no answer")]
    Rpc(#[from] tarpc::client::RpcError),
}

/// A connection to a peer; it is closed with its last clone, whatever it waits for.
#[derive(Clone, Debug)]
pub struct Link {
    /// Makes calls.
    client: PeerClient,
    /// Carries them.
    #[expect(dead_code, reason = "carries until it is dropped")]
    dispatch: sync::Arc<Dispatch>,
}

/// The task that carries the calls of a connection until it is dropped.
#[derive(Debug)]
struct Dispatch(tokio::task::JoinHandle<()>);

impl Drop for Dispatch {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Link {
    /// Connects to a peer.
    ///
    /// # Errors
    /// Returns `PeerError` where there is no connection in time.
    pub async fn connect(
        addr: net::SocketAddr,
        timeout: time::Duration,
    ) -> Result<Self, PeerError> {
        let stream = tokio::time::timeout(timeout, tokio::net::TcpStream::connect(addr))
            .await
            .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let made = PeerClient::new(tarpc::client::Config::default(), transport(stream));
        let dispatch = tokio::spawn(async move {
            // What ends a connection is told to the calls that run on it.
            drop(made.dispatch.await);
        });
        Ok(Self { client: made.client, dispatch: sync::Arc::new(Dispatch(dispatch)) })
    }

    /// Tells the peer news and returns what it has.
    ///
    /// # Errors
    /// Returns `PeerError` where there is no answer in time.
    pub async fn gossip(
        &self,
        gossip: Gossip,
        timeout: time::Duration,
    ) -> Result<GossipReply, PeerError> {
        Ok(self.client.gossip(context(timeout), gossip).await?)
    }

    /// Asks for the configuration in force and all endpoint tables.
    ///
    /// # Errors
    /// Returns `PeerError` where there is no answer in time.
    pub async fn handover(&self, timeout: time::Duration) -> Result<Handover, PeerError> {
        Ok(self.client.handover(context(timeout)).await?)
    }
}

/// Returns a context whose deadline is so far off.
fn context(timeout: time::Duration) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = time::Instant::now() + timeout;
    context
}

/// What answers a peer's gossip.
pub type OnGossip = dyn Fn(Gossip) -> GossipReply + Send + Sync;
/// What answers a newcomer.
pub type OnHandover = dyn Fn() -> Handover + Send + Sync;

/// The answers to peers.
#[derive(Clone)]
pub struct Handlers {
    /// Takes news.
    pub gossip: sync::Arc<OnGossip>,
    /// Hands over.
    pub handover: sync::Arc<OnHandover>,
}

impl fmt::Debug for Handlers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Answers").finish_non_exhaustive()
    }
}

impl Peer for Handlers {
    async fn gossip(self, _: tarpc::context::Context, gossip: Gossip) -> GossipReply {
        (self.gossip)(gossip)
    }

    async fn handover(self, _: tarpc::context::Context) -> Handover {
        (self.handover)()
    }
}

/// Serves peers on a listener until the process ends; a connection without a call for `idle` is closed.
pub async fn serve(listener: tokio::net::TcpListener, idle: time::Duration, server: Handlers) {
    let accepted = futures::stream::unfold(listener, |listener| async move {
        Some((listener.accept().await, listener))
    });
    accepted
        .filter_map(|accepted| future::ready(accepted.ok()))
        .map(|(stream, _)| server::BaseChannel::with_defaults(transport(stream)))
        .for_each(|channel| {
            tokio::spawn(answer_all(channel.execute(server.clone().serve()), idle));
            future::ready(())
        })
        .await;
}

/// Answers the calls of one peer, one after the other, until it ends its connection or is silent.
async fn answer_all(
    calls: impl futures::Stream<Item = impl Future<Output = ()>>,
    idle: time::Duration,
) {
    let mut calls = std::pin::pin!(calls);
    while let Ok(Some(answer)) = tokio::time::timeout(idle, calls.next()).await {
        answer.await;
    }
}

/// Frames a connection.
fn transport<I, O>(
    stream: tokio::net::TcpStream,
) -> tarpc::serde_transport::Transport<tokio::net::TcpStream, I, O, formats::Json<I, O>>
where
    I: for<'de> Deserialize<'de>,
    O: Serialize,
{
    let mut codec = tarpc::tokio_util::codec::length_delimited::Builder::new();
    codec.max_frame_length(MAX_FRAME_BYTES);
    tarpc::serde_transport::new(codec.new_framed(stream), formats::Json::default())
}
