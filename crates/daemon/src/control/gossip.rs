//! Sends configuration revisions, endpoint tables and digests to the other hosts.
//!
//! New revisions and tables are sent at once, digests once per round. Each peer has at most one
//! message in flight. A peer that did not reply is sent all tables again, since it may have
//! restarted without them.

use std::collections;
use std::net;
use std::time;

use ractor::Actor;
use wharflane::{digest, endpoints, id};
use wharflane_peer as peer;

use super::Shared;
use super::msg;

/// Messages to the gossip actor.
#[derive(Debug)]
pub enum Msg {
    /// Round timer: send to every peer.
    Round,
    /// The list of peers changed.
    Peers(collections::BTreeMap<id::HostId, net::SocketAddr>),
    /// A revision came into force on this host.
    Revision(u64),
    /// A hall held by this host has a new endpoint table.
    Table(endpoints::Table),
    /// The holder of a hall changed; `None` if it has none.
    Holder(id::HallId, Option<id::HostId>),
    /// A peer replied with its revision; `None` if it did not reply.
    Replied(id::HostId, Option<peer::GossipReply>),
    /// A connection to a peer was used successfully and is to be reused.
    Connected(id::HostId, peer::Link),
    /// A peer did not reply over a reused connection.
    NoReply(id::HostId),
}

/// The gossip actor.
#[derive(Debug)]
pub struct Gossip;

/// State of the exchange with one peer.
#[derive(Debug)]
struct PeerState {
    /// Address of the peer.
    addr: net::SocketAddr,
    /// Connection to reuse; `None` if the next message must open one.
    link: Option<peer::Link>,
    /// Whether a message is in flight.
    awaiting_reply: bool,
    /// Epoch and version of the tables that the peer acknowledged, by hall.
    acked: collections::BTreeMap<id::HallId, (u64, u64)>,
    /// Epoch and version of the tables in the message in flight, by hall.
    in_message: collections::BTreeMap<id::HallId, (u64, u64)>,
}

/// State of the gossip actor.
#[derive(Debug)]
pub struct State {
    /// State that all actors share.
    shared: Shared,
    /// The root actor, which receives digests and newer revisions.
    root: ractor::ActorRef<msg::Msg>,
    /// Peers by host, without this host.
    peers: collections::BTreeMap<id::HostId, PeerState>,
    /// Revision in force on this host.
    revision: u64,
    /// Endpoint tables of the halls held by this host.
    tables: collections::BTreeMap<id::HallId, endpoints::Table>,
    /// Holder of each hall that has one.
    holders: collections::BTreeMap<id::HallId, id::HostId>,
}

impl Actor for Gossip {
    type Msg = Msg;
    type State = State;
    type Arguments = (Shared, ractor::ActorRef<msg::Msg>);

    async fn pre_start(
        &self,
        myself: ractor::ActorRef<Msg>,
        (shared, root): Self::Arguments,
    ) -> Result<State, ractor::ActorProcessingErr> {
        myself.send_interval(shared.time("gossip_ms"), || Msg::Round);
        Ok(State {
            shared,
            root,
            peers: collections::BTreeMap::new(),
            revision: 0,
            tables: collections::BTreeMap::new(),
            holders: collections::BTreeMap::new(),
        })
    }

    async fn handle(
        &self,
        myself: ractor::ActorRef<Msg>,
        message: Msg,
        state: &mut State,
    ) -> Result<(), ractor::ActorProcessingErr> {
        match message {
            Msg::Round => state.round(&myself)?,
            Msg::Peers(peers) => state.set_peers(&peers),
            Msg::Revision(revision) => {
                state.revision = revision;
                state.send_all(&myself, &[], "news");
            }
            Msg::Table(table) => {
                state.tables.insert(table.hall.clone(), table);
                state.send_all(&myself, &[], "news");
            }
            Msg::Holder(hall, holder) => state.set_holder(hall, holder),
            Msg::Replied(host, reply) => state.handle_reply(&host, reply)?,
            Msg::NoReply(host) => {
                tracing::info!(peer = %host, "no reply over a reused connection, which is closed");
                state.handle_reply(&host, None)?;
                // Retries at once instead of in the next round; digests are not sent again, as they
                // only describe their own interval.
                state.send(&myself, &host, &[], "again");
            }
            Msg::Connected(host, link) => {
                if let Some(peer_state) = state.peers.get_mut(&host) {
                    peer_state.link = Some(link);
                }
            }
        }
        Ok(())
    }
}

impl State {
    /// Replaces the list of peers; those whose address is unchanged keep their state.
    fn set_peers(&mut self, peers: &collections::BTreeMap<id::HostId, net::SocketAddr>) {
        self.peers.retain(|host, peer_state| peers.get(host) == Some(&peer_state.addr));
        for (host, addr) in peers {
            if host != self.shared.host() {
                self.peers.entry(host.clone()).or_insert_with(|| PeerState::new(*addr));
            }
        }
    }

    /// Records the holder of a hall; tables of halls not held by this host are not sent.
    fn set_holder(&mut self, hall: id::HallId, holder: Option<id::HostId>) {
        if holder.as_ref() != Some(self.shared.host()) {
            self.tables.remove(&hall);
        }
        match holder {
            Some(holder) => self.holders.insert(hall, holder),
            None => self.holders.remove(&hall),
        };
    }

    /// Collects the digests of the interval and sends to every peer.
    fn round(&mut self, myself: &ractor::ActorRef<Msg>) -> Result<(), ractor::ActorProcessingErr> {
        let digests = self.shared.traffic.take_digests(self.shared.host());
        let own = self.shared.host().clone();
        for digest in &digests {
            if self.holders.get(&digest.hall) == Some(&own) {
                self.root.cast(msg::Msg::Digest(digest.clone()))?;
            }
        }
        self.send_all(myself, &digests, "round");
        Ok(())
    }

    /// Sends to every peer that has no message in flight.
    fn send_all(
        &mut self,
        myself: &ractor::ActorRef<Msg>,
        digests: &[digest::Digest],
        cause: &str,
    ) {
        let hosts: Vec<id::HostId> = self.peers.keys().cloned().collect();
        for host in hosts {
            self.send(myself, &host, digests, cause);
        }
    }

    /// Sends to one peer unless it has a message in flight.
    fn send(
        &mut self,
        myself: &ractor::ActorRef<Msg>,
        host: &id::HostId,
        digests: &[digest::Digest],
        cause: &str,
    ) {
        let timeout = self.shared.time("gossip_ms") * 2;
        let gossip = self.gossip_for(host, digests);
        let Some(peer_state) =
            self.peers.get_mut(host).filter(|peer_state| !peer_state.awaiting_reply)
        else {
            return;
        };
        peer_state.awaiting_reply = true;
        self.shared.metrics.gossip.with_label_values(&[cause]).inc();
        peer_state.in_message =
            gossip.tables.iter().map(|t| (t.hall.clone(), (t.epoch, t.version))).collect();
        let link = peer_state.link.clone();
        tokio::spawn(send(myself.clone(), host.clone(), peer_state.addr, link, gossip, timeout));
    }

    /// Returns the message for a peer: unacknowledged tables and digests of the halls that it
    /// holds.
    fn gossip_for(&self, host: &id::HostId, digests: &[digest::Digest]) -> peer::Gossip {
        let acked = self.peers.get(host).map(|peer_state| &peer_state.acked);
        let unacked = |table: &&endpoints::Table| {
            let known = acked.and_then(|acked| acked.get(&table.hall));
            known != Some(&(table.epoch, table.version))
        };
        let held_by_peer = |digest: &&digest::Digest| self.holders.get(&digest.hall) == Some(host);
        peer::Gossip {
            revision: self.revision,
            tables: self.tables.values().filter(unacked).cloned().collect(),
            digests: digests.iter().filter(held_by_peer).cloned().collect(),
        }
    }

    /// Handles a peer's reply; `None` means that there was none.
    fn handle_reply(
        &mut self,
        host: &id::HostId,
        reply: Option<peer::GossipReply>,
    ) -> Result<(), ractor::ActorProcessingErr> {
        let Some(peer_state) = self.peers.get_mut(host) else {
            return Ok(());
        };
        peer_state.awaiting_reply = false;
        let in_message = std::mem::take(&mut peer_state.in_message);
        match reply {
            Some(reply) => {
                peer_state.acked.extend(in_message);
                if reply.revision > self.revision {
                    self.root.cast(msg::Msg::RevisionAnnounced(reply.revision))?;
                }
            }
            None => {
                // The peer may have restarted without any state, so all tables are sent again.
                peer_state.link = None;
                peer_state.acked.clear();
            }
        }
        Ok(())
    }
}

impl PeerState {
    /// Creates the state of a peer that has not been contacted.
    fn new(addr: net::SocketAddr) -> Self {
        Self {
            addr,
            link: None,
            awaiting_reply: false,
            acked: collections::BTreeMap::new(),
            in_message: collections::BTreeMap::new(),
        }
    }
}

/// Sends one message to a peer, over a new connection if there is none to reuse.
async fn send(
    myself: ractor::ActorRef<Msg>,
    host: id::HostId,
    addr: net::SocketAddr,
    link: Option<peer::Link>,
    gossip: peer::Gossip,
    timeout: time::Duration,
) {
    let reused = link.is_some();
    let link = match link {
        Some(link) => Some(link),
        None => peer::Link::connect(addr, timeout).await.ok(),
    };
    let reply = match &link {
        Some(link) => link.gossip(gossip, timeout).await.ok(),
        None => None,
    };
    let result = match (reply, link) {
        (Some(reply), Some(link)) => {
            let _ = myself.cast(Msg::Connected(host.clone(), link));
            Msg::Replied(host, Some(reply))
        }
        _ if reused => Msg::NoReply(host),
        _ => Msg::Replied(host, None),
    };
    let _ = myself.cast(result);
}
