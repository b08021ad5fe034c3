//! The root actor: starts the other actors, routes messages between them and publishes the snapshot
//! that traffic reads.
//!
//! Older member lists and endpoint tables never replace newer ones.

use std::collections;
use std::net;
use std::sync;
use std::time;

use ractor::Actor;
use serde_json::json;
use wharflane::{digest, endpoints, hall, id, members};
use wharflane_operator as operator;
use wharflane_peer as peer;

use super::Shared;
use super::config;
use super::gossip;
use super::hall as hall_actor;
use super::msg;
use crate::traffic;

/// Longest time that the actor of a hall may take to return its dump.
const DUMP_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// State that handlers of peer calls may read outside the control thread.
#[derive(Debug, Default)]
pub struct PeerView {
    /// Configuration in force; `None` before the first.
    pub config: Option<msg::Loaded>,
    /// Newest endpoint table of each hall.
    pub tables: collections::BTreeMap<id::HallId, endpoints::Table>,
}

/// The root actor.
#[derive(Debug)]
pub struct Root;

/// State of the root actor.
#[derive(Debug)]
pub struct State {
    /// State that all actors share.
    shared: Shared,
    /// State that handlers of peer calls read.
    view: sync::Arc<sync::Mutex<PeerView>>,
    /// The configuration actor.
    config_actor: ractor::ActorRef<config::Msg>,
    /// The gossip actor.
    gossip: ractor::ActorRef<gossip::Msg>,
    /// Actors of the halls that the configuration names.
    halls: collections::BTreeMap<id::HallId, ractor::ActorRef<hall_actor::Msg>>,
    /// Last summary of each hall.
    summaries: collections::BTreeMap<id::HallId, msg::HallSummary>,
    /// Newest member list of the platform.
    members: sync::Arc<members::Members>,
    /// Whether the last read of the configuration's head row was answered.
    platform_up: bool,
    /// Whether this host is about to stop.
    stopping: bool,
}

impl Actor for Root {
    type Msg = msg::Msg;
    type State = State;
    type Arguments = (Shared, sync::Arc<sync::Mutex<PeerView>>);

    async fn pre_start(
        &self,
        myself: ractor::ActorRef<msg::Msg>,
        (shared, view): Self::Arguments,
    ) -> Result<State, ractor::ActorProcessingErr> {
        let args = (shared.clone(), myself.clone());
        let cell = myself.get_cell();
        let (config_actor, _) = Actor::spawn_linked(None, config::ConfigActor, args, cell).await?;
        let args = (shared.clone(), myself.clone());
        let cell = myself.get_cell();
        let (gossip, _) = Actor::spawn_linked(None, gossip::Gossip, args, cell).await?;
        myself.cast(msg::Msg::Poll)?;
        myself.send_interval(shared.time("poll_ms"), || msg::Msg::Poll);
        let state = State {
            shared,
            view,
            config_actor,
            gossip,
            halls: collections::BTreeMap::new(),
            summaries: collections::BTreeMap::new(),
            members: sync::Arc::default(),
            platform_up: false,
            stopping: false,
        };
        state.set_peers()?;
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ractor::ActorRef<msg::Msg>,
        message: msg::Msg,
        state: &mut State,
    ) -> Result<(), ractor::ActorProcessingErr> {
        match message {
            msg::Msg::Poll => read_members(&myself, state.shared.clone(), state.members.version),
            msg::Msg::Members(None) => {}
            msg::Msg::Members(Some(members)) => state.set_members(members)?,
            msg::Msg::HeadRead(revision) => state.note_platform_up(&myself, revision),
            msg::Msg::Config(loaded) => state.set_config(&myself, loaded).await?,
            msg::Msg::RevisionAnnounced(revision) => {
                state.config_actor.cast(config::Msg::RevisionAnnounced(revision))?;
                if !state.platform_up {
                    state.request_handovers(&myself);
                }
            }
            msg::Msg::Table(table) => state.set_table(table)?,
            msg::Msg::Summary(hall, summary) => state.set_summary(hall, summary)?,
            msg::Msg::Digest(digest) => state.forward_digest(digest)?,
            msg::Msg::Gossip(gossip) => state.handle_gossip(&myself, gossip)?,
            msg::Msg::Handover(handover) => state.apply_handover(handover)?,
            msg::Msg::Leave => state.leave()?,
            msg::Msg::IsReleased(port) => {
                let released = state.summaries.values().all(|summary| !summary.held);
                let _ = port.send(released);
            }
            msg::Msg::Status(port) => drop(port.send(state.status())),
            msg::Msg::Dump(port) => state.dump(port),
        }
        Ok(())
    }
}

impl State {
    /// Replaces the member list if the new one is newer.
    fn set_members(&mut self, members: members::Members) -> Result<(), ractor::ActorProcessingErr> {
        if members.version <= self.members.version {
            return Ok(());
        }
        self.members = sync::Arc::new(members);
        self.set_peers()?;
        for hall in self.halls.values() {
            let event = hall::Event::Members(sync::Arc::clone(&self.members));
            hall.cast(hall_actor::Msg::Event(Box::new(event)))?;
        }
        self.publish();
        Ok(())
    }

    /// Sends the addresses of the peers to the gossip actor.
    fn set_peers(&self) -> Result<(), ractor::ActorProcessingErr> {
        let own = self.shared.settings.peer_addr;
        let mut peers: collections::BTreeMap<id::HostId, net::SocketAddr> = self
            .members
            .hosts
            .iter()
            .map(|(host, member)| (host.clone(), member.peer_addr))
            .collect();
        for addr in &self.shared.settings.seed_peers {
            if *addr != own && !peers.values().any(|known| known == addr) {
                peers.insert(id::HostId::from(addr.to_string().as_str()), *addr);
            }
        }
        self.gossip.cast(gossip::Msg::Peers(peers))?;
        Ok(())
    }

    /// Records whether the platform answers; while it does not, a host without a configuration
    /// requests one from its peers.
    fn note_platform_up(&mut self, myself: &ractor::ActorRef<msg::Msg>, revision: Option<u64>) {
        let up = revision.is_some();
        if up != self.platform_up {
            tracing::info!(up, "platform");
        }
        self.platform_up = up;
        if !up && self.revision() == 0 {
            self.request_handovers(myself);
        }
    }

    /// Requests the configuration and tables of every peer.
    fn request_handovers(&self, myself: &ractor::ActorRef<msg::Msg>) {
        let timeout = self.shared.time("gossip_ms") * 2;
        let listed = self.members.hosts.values().map(|member| member.peer_addr);
        let seeds = self.shared.settings.seed_peers.iter().copied();
        let own = self.shared.settings.peer_addr;
        let addrs: collections::BTreeSet<net::SocketAddr> =
            listed.chain(seeds).filter(|addr| *addr != own).collect();
        for addr in addrs {
            let myself = myself.clone();
            tokio::spawn(async move {
                // A new connection each time: an existing one may have gone silent.
                if let Ok(link) = peer::Link::connect(addr, timeout).await
                    && let Ok(handover) = link.handover(timeout).await
                {
                    let _ = myself.cast(msg::Msg::Handover(handover));
                }
            });
        }
    }

    /// Applies the configuration and tables that a peer handed over.
    fn apply_handover(
        &mut self,
        handover: peer::Handover,
    ) -> Result<(), ractor::ActorProcessingErr> {
        if let Some(stored) = handover.config {
            self.config_actor.cast(config::Msg::Fetched(Box::new(stored)))?;
        }
        handover.tables.into_iter().try_for_each(|table| self.set_table(table))
    }

    /// Distributes a new configuration and starts the actors of new halls.
    async fn set_config(
        &mut self,
        myself: &ractor::ActorRef<msg::Msg>,
        loaded: msg::Loaded,
    ) -> Result<(), ractor::ActorProcessingErr> {
        for hall in &loaded.current.desired.halls {
            if !self.halls.contains_key(hall) {
                self.start_hall(myself, hall).await?;
            }
        }
        for actor in self.halls.values() {
            let event = hall::Event::Config(sync::Arc::clone(&loaded.current));
            actor.cast(hall_actor::Msg::Event(Box::new(event)))?;
        }
        self.gossip.cast(gossip::Msg::Revision(loaded.current.revision))?;
        self.lock().config = Some(loaded);
        self.publish();
        Ok(())
    }

    /// Starts the actor of a hall.
    async fn start_hall(
        &mut self,
        myself: &ractor::ActorRef<msg::Msg>,
        name: &id::HallId,
    ) -> Result<(), ractor::ActorProcessingErr> {
        let start = hall_actor::Start {
            shared: self.shared.clone(),
            root: myself.clone(),
            hall: name.clone(),
        };
        let cell = myself.get_cell();
        let (actor, _) = Actor::spawn_linked(None, hall_actor::Hall, start, cell).await?;
        let event = hall::Event::Members(sync::Arc::clone(&self.members));
        actor.cast(hall_actor::Msg::Event(Box::new(event)))?;
        let known = self.lock().tables.get(name).cloned();
        if let Some(table) = known {
            let event = hall::Event::Table(table);
            actor.cast(hall_actor::Msg::Event(Box::new(event)))?;
        }
        self.halls.insert(name.clone(), actor);
        Ok(())
    }

    /// Replaces a hall's table if the new one is newer.
    fn set_table(&mut self, table: endpoints::Table) -> Result<(), ractor::ActorProcessingErr> {
        let newer = self.lock().tables.get(&table.hall).is_none_or(|old| table.newer_than(old));
        if !newer {
            return Ok(());
        }
        let held = self.summaries.get(&table.hall).is_some_and(|summary| summary.held);
        if held {
            self.gossip.cast(gossip::Msg::Table(table.clone()))?;
        } else if let Some(actor) = self.halls.get(&table.hall) {
            let event = hall::Event::Table(table.clone());
            actor.cast(hall_actor::Msg::Event(Box::new(event)))?;
        }
        self.lock().tables.insert(table.hall.clone(), table);
        self.publish();
        Ok(())
    }

    /// Records the summary of a hall and passes changes of its holder to the gossip actor.
    fn set_summary(
        &mut self,
        hall: id::HallId,
        summary: msg::HallSummary,
    ) -> Result<(), ractor::ActorProcessingErr> {
        let before = self.summaries.get(&hall);
        let unchanged =
            before.is_some_and(|old| (old.held, old.epoch) == (summary.held, summary.epoch));
        if !unchanged || before.is_some_and(|old| old.holder != summary.holder) {
            self.gossip.cast(gossip::Msg::Holder(hall.clone(), summary.holder.clone()))?;
        }
        if summary.held && !unchanged {
            // A table that arrived before the summary was not sent to peers yet.
            let table = self.lock().tables.get(&hall).cloned();
            if let Some(table) = table.filter(|table| table.epoch == summary.epoch) {
                self.gossip.cast(gossip::Msg::Table(table))?;
            }
        }
        self.summaries.insert(hall, summary);
        Ok(())
    }

    /// Forwards a digest to the actor of its hall.
    fn forward_digest(&self, digest: digest::Digest) -> Result<(), ractor::ActorProcessingErr> {
        if let Some(actor) = self.halls.get(&digest.hall) {
            actor.cast(hall_actor::Msg::Digest(digest))?;
        }
        Ok(())
    }

    /// Handles a gossip message from a peer.
    fn handle_gossip(
        &mut self,
        myself: &ractor::ActorRef<msg::Msg>,
        gossip: peer::Gossip,
    ) -> Result<(), ractor::ActorProcessingErr> {
        if gossip.revision > self.revision() {
            myself.cast(msg::Msg::RevisionAnnounced(gossip.revision))?;
        }
        for table in gossip.tables {
            self.set_table(table)?;
        }
        gossip.digests.into_iter().try_for_each(|digest| self.forward_digest(digest))
    }

    /// Requests every hall's actor to release its hall.
    fn leave(&mut self) -> Result<(), ractor::ActorProcessingErr> {
        self.stopping = true;
        for actor in self.halls.values() {
            actor.cast(hall_actor::Msg::Event(Box::new(hall::Event::Leave)))?;
        }
        Ok(())
    }

    /// Builds the snapshot that traffic reads and swaps it in as a whole.
    fn publish(&self) {
        let view = self.lock();
        let Some(loaded) = &view.config else {
            return;
        };
        let desired = &loaded.current.desired;
        let leaving = |worker: &id::WorkerId| {
            let member = self.members.workers.get(worker);
            member.is_some_and(|member| member.presence == members::Presence::Leaving)
        };
        let mut endpoints: collections::BTreeMap<id::ServiceId, Vec<_>> =
            collections::BTreeMap::new();
        for table in view.tables.values() {
            for endpoint in &table.endpoints {
                let mut endpoint = endpoint.clone();
                // The member list shows leaving workers even while the hall has no holder.
                endpoint.leaving |= leaving(&endpoint.worker);
                let service = endpoint.service.clone();
                endpoints.entry(service).or_default().push((table.hall.clone(), endpoint));
            }
        }
        let classes = desired.classes.iter().map(|(name, class)| (name.clone(), class.priority));
        self.shared.traffic.publish(traffic::Snapshot {
            revision: loaded.current.revision,
            services: desired.services.clone(),
            classes: classes.collect(),
            endpoints,
            hosts: self.live_hosts(),
        });
    }

    /// Returns the number of hosts that accept requests, at least 1.
    fn live_hosts(&self) -> usize {
        let live = |host: &&members::Host| host.presence == members::Presence::Live;
        self.members.hosts.values().filter(live).count().max(1)
    }

    /// Returns the revision in force on this host; 0 if there is none.
    fn revision(&self) -> u64 {
        self.lock().config.as_ref().map_or(0, |loaded| loaded.current.revision)
    }

    /// Returns the status shown to operators.
    fn status(&self) -> operator::Status {
        let view = self.lock();
        let mut status = operator::Status {
            host: self.shared.host().to_string(),
            build: wharflane_build::DESCRIPTION.to_owned(),
            revision: view.config.as_ref().map_or(0, |loaded| loaded.current.revision),
            platform_up: self.platform_up,
            stopping: self.stopping,
            ..operator::Status::default()
        };
        let services = view.config.iter().flat_map(|loaded| &loaded.current.desired.services);
        for (name, service) in services {
            let wanted = service.count;
            let summary = operator::ServiceStatus { wanted, ..operator::ServiceStatus::default() };
            status.services.insert(name.to_string(), summary);
        }
        for endpoint in view.tables.values().flat_map(|table| &table.endpoints) {
            let service = status.services.entry(endpoint.service.to_string()).or_default();
            service.endpoints += usize::from(!endpoint.leaving);
            service.leaving += usize::from(endpoint.leaving);
        }
        for (hall, summary) in &self.summaries {
            let tasks = summary.tasks.iter().map(|(state, n)| ((*state).to_owned(), *n));
            let holder = summary.holder.as_ref().map(ToString::to_string);
            let hall_status =
                operator::HallStatus { holder, epoch: summary.epoch, tasks: tasks.collect() };
            status.halls.insert(hall.to_string(), hall_status);
        }
        status
    }

    /// Collects a dump of the whole state in a task of its own.
    fn dump(&self, port: ractor::RpcReplyPort<serde_json::Value>) {
        let status = serde_json::to_value(self.status()).unwrap_or_default();
        let balancers = serde_json::to_value(self.shared.traffic.dump()).unwrap_or_default();
        let members = serde_json::to_value(&*self.members).unwrap_or_default();
        let halls: Vec<_> = self.halls.values().cloned().collect();
        tokio::spawn(async move {
            let mut dumps = Vec::new();
            for hall in halls {
                let asked = hall.call(hall_actor::Msg::Dump, Some(DUMP_TIMEOUT)).await;
                if let Ok(ractor::rpc::CallResult::Success(dump)) = asked {
                    dumps.push(dump);
                }
            }
            let dump = json!({ "status": status, "balancers": balancers, "members": members, "halls": dumps });
            let _ = port.send(dump);
        });
    }

    /// Locks the state that handlers of peer calls read.
    fn lock(&self) -> sync::MutexGuard<'_, PeerView> {
        self.view.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Reads the platform's member list in a task of its own.
fn read_members(myself: &ractor::ActorRef<msg::Msg>, shared: Shared, known: u64) {
    let myself = myself.clone();
    tokio::spawn(async move {
        let members = shared.platform.members(known).await;
        shared.count_call("members", &members);
        let _ = myself.cast(msg::Msg::Members(members.ok().flatten()));
    });
}
