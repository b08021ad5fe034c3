//! Tells the other hosts at once what they need: revisions, endpoint tables, digests.

use std::collections;
use std::net;
use std::time;

use ractor::Actor;
use wharflane::{digest, endpoints, id};
use wharflane_peer as peer;

use super::Shared;
use super::msg;

/// What the gossip actor is told.
#[derive(Debug)]
pub enum Msg {
    /// It is time to tell every peer.
    Round,
    /// The peers changed.
    Peers(collections::BTreeMap<id::HostId, net::SocketAddr>),
    /// A revision came into force here.
    Revision(u64),
    /// A hall held here has a new table.
    Table(endpoints::Table),
    /// A hall is held by another host now, or by this one.
    Holder(id::HallId, Option<id::HostId>),
    /// A peer said which revision it has.
    Heard(id::HostId, Option<peer::GossipReply>),
    /// A connection to a peer stands.
    Connected(id::HostId, peer::Link),
    /// A connection to a peer that was kept from an earlier message gave no answer.
    Silent(id::HostId),
}

/// The gossip actor.
#[derive(Debug)]
pub struct Gossip;

/// A peer.
#[derive(Debug)]
struct PeerState {
    /// Where it is reached.
    addr: net::SocketAddr,
    /// The connection.
    client: Option<peer::Link>,
    /// Whether an answer is awaited.
    busy: bool,
    /// The tables it was told, by hall.
    told: collections::BTreeMap<id::HallId, (u64, u64)>,
    /// The tables told in the message under way.
    telling: collections::BTreeMap<id::HallId, (u64, u64)>,
}

/// What the actor knows.
#[derive(Debug)]
pub struct State {
    /// What all actors share.
    shared: Shared,
    /// The root actor.
    root: ractor::ActorRef<msg::Msg>,
    /// The peers.
    peers: collections::BTreeMap<id::HostId, PeerState>,
    /// The revision in force here.
    revision: u64,
    /// The tables of halls held here.
    tables: collections::BTreeMap<id::HallId, endpoints::Table>,
    /// The holder of each hall.
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
                state.tell_all(&myself, &[], "news");
            }
            Msg::Table(table) => {
                state.tables.insert(table.hall.clone(), table);
                state.tell_all(&myself, &[], "news");
            }
            Msg::Holder(hall, holder) => state.set_holder(hall, holder),
            Msg::Heard(host, heard) => state.heard(&host, heard)?,
            Msg::Silent(host) => {
                tracing::info!(peer = %host, "no answer over a kept connection, which is closed");
                state.heard(&host, None)?;
                // What it was to be told waits no further round; digests are of their interval only.
                state.tell(&myself, &host, &[], "again");
            }
            Msg::Connected(host, client) => {
                if let Some(peer_state) = state.peers.get_mut(&host) {
                    peer_state.client = Some(client);
                }
            }
        }
        Ok(())
    }
}

impl State {
    /// Takes the list of peers; connections to those that stay are kept.
    fn set_peers(&mut self, peers: &collections::BTreeMap<id::HostId, net::SocketAddr>) {
        self.peers.retain(|host, peer_state| peers.get(host) == Some(&peer_state.addr));
        for (host, addr) in peers {
            if host != self.shared.host() {
                self.peers.entry(host.clone()).or_insert_with(|| PeerState::new(*addr));
            }
        }
    }

    /// Notes the holder of a hall; what is not held here is not told.
    fn set_holder(&mut self, hall: id::HallId, holder: Option<id::HostId>) {
        if holder.as_ref() != Some(self.shared.host()) {
            self.tables.remove(&hall);
        }
        match holder {
            Some(holder) => self.holders.insert(hall, holder),
            None => self.holders.remove(&hall),
        };
    }

    /// Takes the digests of the interval and tells every peer.
    fn round(&mut self, myself: &ractor::ActorRef<Msg>) -> Result<(), ractor::ActorProcessingErr> {
        let digests = self.shared.traffic.take_digests(self.shared.host());
        let own = self.shared.host().clone();
        for digest in &digests {
            if self.holders.get(&digest.hall) == Some(&own) {
                self.root.cast(msg::Msg::Digest(digest.clone()))?;
            }
        }
        self.tell_all(myself, &digests, "round");
        Ok(())
    }

    /// Tells every peer that is not being told already.
    fn tell_all(
        &mut self,
        myself: &ractor::ActorRef<Msg>,
        digests: &[digest::Digest],
        cause: &str,
    ) {
        let hosts: Vec<id::HostId> = self.peers.keys().cloned().collect();
        for host in hosts {
            self.tell(myself, &host, digests, cause);
        }
    }

    /// Tells one peer unless it is being told already.
    fn tell(
        &mut self,
        myself: &ractor::ActorRef<Msg>,
        host: &id::HostId,
        digests: &[digest::Digest],
        cause: &str,
    ) {
        let timeout = self.shared.time("gossip_ms") * 2;
        let gossip = self.gossip_for(host, digests);
        let Some(peer_state) = self.peers.get_mut(host).filter(|peer_state| !peer_state.busy)
        else {
            return;
        };
        peer_state.busy = true;
        self.shared.metrics.gossip.with_label_values(&[cause]).inc();
        peer_state.telling =
            gossip.tables.iter().map(|t| (t.hall.clone(), (t.epoch, t.version))).collect();
        let client = peer_state.client.clone();
        tokio::spawn(tell(myself.clone(), host.clone(), peer_state.addr, client, gossip, timeout));
    }

    /// Returns what a peer has not been told yet.
    fn gossip_for(&self, host: &id::HostId, digests: &[digest::Digest]) -> peer::Gossip {
        let told = self.peers.get(host).map(|peer_state| &peer_state.told);
        let fresh = |table: &&endpoints::Table| {
            let known = told.and_then(|told| told.get(&table.hall));
            known != Some(&(table.epoch, table.version))
        };
        let theirs = |digest: &&digest::Digest| self.holders.get(&digest.hall) == Some(host);
        peer::Gossip {
            revision: self.revision,
            tables: self.tables.values().filter(fresh).cloned().collect(),
            digests: digests.iter().filter(theirs).cloned().collect(),
        }
    }

    /// Takes a peer's answer, or notes that none came.
    fn heard(
        &mut self,
        host: &id::HostId,
        heard: Option<peer::GossipReply>,
    ) -> Result<(), ractor::ActorProcessingErr> {
        let Some(peer_state) = self.peers.get_mut(host) else {
            return Ok(());
        };
        peer_state.busy = false;
        let telling = std::mem::take(&mut peer_state.telling);
        match heard {
            Some(heard) => {
                peer_state.told.extend(telling);
                if heard.revision > self.revision {
                    self.root.cast(msg::Msg::Nudged(heard.revision))?;
                }
            }
            None => {
                // A peer that was away may be a new process that knows nothing.
                peer_state.client = None;
                peer_state.told.clear();
            }
        }
        Ok(())
    }
}

impl PeerState {
    /// Makes a peer not talked to yet.
    fn new(addr: net::SocketAddr) -> Self {
        Self {
            addr,
            client: None,
            busy: false,
            told: collections::BTreeMap::new(),
            telling: collections::BTreeMap::new(),
        }
    }
}

/// Tells one peer, over a new connection where there is none.
async fn tell(
    myself: ractor::ActorRef<Msg>,
    host: id::HostId,
    addr: net::SocketAddr,
    client: Option<peer::Link>,
    gossip: peer::Gossip,
    timeout: time::Duration,
) {
    let kept = client.is_some();
    let link = match client {
        Some(link) => Some(link),
        None => peer::Link::connect(addr, timeout).await.ok(),
    };
    let heard = match &link {
        Some(link) => link.gossip(gossip, timeout).await.ok(),
        None => None,
    };
    let told = match (heard, link) {
        (Some(heard), Some(link)) => {
            let _ = myself.cast(Msg::Connected(host.clone(), link));
            Msg::Heard(host, Some(heard))
        }
        _ if kept => Msg::Silent(host),
        _ => Msg::Heard(host, None),
    };
    let _ = myself.cast(told);
}
