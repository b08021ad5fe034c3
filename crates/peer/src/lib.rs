//! The tarpc protocol between hosts: gossip of configuration revisions, endpoint tables and
//! digests, and a transfer of state to hosts that start while the store is down.

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

/// Idle timeout of a peer's connection: two and a half times the longest interval between messages
/// to a peer that the settings allow, so that only dead connections are closed.
pub const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(150);
/// Maximum size of a message, in bytes.
const MAX_FRAME_BYTES: usize = 32 << 20;

/// A gossip message from one host to another.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Gossip {
    /// Configuration revision in force at the sender.
    pub revision: u64,
    /// Endpoint tables of the halls that the sender holds.
    pub tables: Vec<endpoints::Table>,
    /// Statistics that the sender measured in the halls that the receiver holds.
    pub digests: Vec<digest::Digest>,
}

/// Reply to a gossip message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GossipReply {
    /// Configuration revision in force at the receiver.
    pub revision: u64,
}

/// State that a starting host needs if the store is down.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Handover {
    /// Configuration in force at the sender; absent if it has none.
    pub config: Option<desired::Stored>,
    /// Latest endpoint table of each hall.
    pub tables: Vec<endpoints::Table>,
}

/// RPC interface between hosts.
#[tarpc::service]
pub trait Peer {
    /// Accepts a gossip message and returns the receiver's configuration revision.
    async fn gossip(gossip: Gossip) -> GossipReply;
    /// Returns the configuration in force and the endpoint tables of all halls.
    async fn handover() -> Handover;
}

/// Why a call to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The connection could not be established in time.
    #[error("peer can't be reached")]
    Connect(#[from] io::Error),
    /// The call failed or timed out.
    #[error("call to the peer failed")]
    Rpc(#[from] tarpc::client::RpcError),
}

/// A connection to a peer; dropping the last clone closes it, even with calls in flight.
#[derive(Clone, Debug)]
pub struct Link {
    /// Sends calls to the dispatch task.
    client: PeerClient,
    /// Dispatch task, aborted when the last clone is dropped.
    #[expect(dead_code, reason = "aborts the dispatch task when dropped")]
    dispatch: sync::Arc<Dispatch>,
}

/// The task that transports the calls of a connection; dropping this aborts it.
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
    /// Returns `PeerError` if the connection can't be established in time.
    pub async fn connect(
        addr: net::SocketAddr,
        timeout: time::Duration,
    ) -> Result<Self, PeerError> {
        let stream = tokio::time::timeout(timeout, tokio::net::TcpStream::connect(addr))
            .await
            .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let new_client = PeerClient::new(tarpc::client::Config::default(), transport(stream));
        let dispatch = tokio::spawn(async move {
            // An error of the connection is returned to each call in flight on it.
            drop(new_client.dispatch.await);
        });
        Ok(Self { client: new_client.client, dispatch: sync::Arc::new(Dispatch(dispatch)) })
    }

    /// Sends gossip to the peer and returns its reply.
    ///
    /// # Errors
    /// Returns `PeerError` if the call fails or times out.
    pub async fn gossip(
        &self,
        gossip: Gossip,
        timeout: time::Duration,
    ) -> Result<GossipReply, PeerError> {
        Ok(self.client.gossip(context(timeout), gossip).await?)
    }

    /// Requests the configuration in force and the endpoint tables of all halls.
    ///
    /// # Errors
    /// Returns `PeerError` if the call fails or times out.
    pub async fn handover(&self, timeout: time::Duration) -> Result<Handover, PeerError> {
        Ok(self.client.handover(context(timeout)).await?)
    }
}

/// Returns a call context with a timeout.
fn context(timeout: time::Duration) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = time::Instant::now() + timeout;
    context
}

/// Callback for a peer's gossip.
pub type OnGossip = dyn Fn(Gossip) -> GossipReply + Send + Sync;
/// Callback for a starting host that requests state.
pub type OnHandover = dyn Fn() -> Handover + Send + Sync;

/// Callbacks that serve the calls of peers.
#[derive(Clone)]
pub struct Handlers {
    /// Serves gossip.
    pub gossip: sync::Arc<OnGossip>,
    /// Serves the transfer of state.
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

/// Serves peers on a listener until the process ends, closing connections without a call for
/// `idle`.
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

/// Serves the calls of one peer in sequence until its connection closes or is idle for too long.
async fn answer_all(
    calls: impl futures::Stream<Item = impl Future<Output = ()>>,
    idle: time::Duration,
) {
    let mut calls = std::pin::pin!(calls);
    while let Ok(Some(answer)) = tokio::time::timeout(idle, calls.next()).await {
        answer.await;
    }
}

/// Wraps a stream in length-delimited JSON framing.
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
