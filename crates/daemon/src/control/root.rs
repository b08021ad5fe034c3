//! The root of control: starts the other actors, and puts together what traffic reads.

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

/// How long an actor may take to tell its state.
const DUMP_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// What peers may read at any time.
#[derive(Debug, Default)]
pub struct Known {
    /// The configuration in force.
    pub config: Option<msg::Loaded>,
    /// The newest table of each hall.
    pub tables: collections::BTreeMap<id::HallId, endpoints::Table>,
}

/// The root actor.
#[derive(Debug)]
pub struct Root;

/// What the root knows.
#[derive(Debug)]
pub struct State {
    /// What all actors share.
    shared: Shared,
    /// What peers may read.
    known: sync::Arc<sync::Mutex<Known>>,
    /// The actor of the configuration.
    config_actor: ractor::ActorRef<config::Msg>,
    /// The gossip actor.
    gossip: ractor::ActorRef<gossip::Msg>,
    /// The actors of halls.
    halls: collections::BTreeMap<id::HallId, ractor::ActorRef<hall_actor::Msg>>,
    /// What is known of each hall.
    summaries: collections::BTreeMap<id::HallId, msg::HallSummary>,
    /// The platform's list.
    members: sync::Arc<members::Members>,
    /// Whether the platform answered last.
    platform_up: bool,
    /// Whether this host is about to stop.
    stopping: bool,
}

impl Actor for Root {
    type Msg = msg::Msg;
    type State = State;
    type Arguments = (Shared, sync::Arc<sync::Mutex<Known>>);

    async fn pre_start(
        &self,
        myself: ractor::ActorRef<msg::Msg>,
        (shared, known): Self::Arguments,
    ) -> Result<State, ractor::ActorProcessingErr> {
        let link = (shared.clone(), myself.clone());
        let cell = myself.get_cell();
        let (config_actor, _) = Actor::spawn_linked(None, config::ConfigActor, link, cell).await?;
        let link = (shared.clone(), myself.clone());
        let cell = myself.get_cell();
        let (gossip, _) = Actor::spawn_linked(None, gossip::Gossip, link, cell).await?;
        myself.cast(msg::Msg::Poll)?;
        myself.send_interval(shared.time("poll_ms"), || msg::Msg::Poll);
        let state = State {
            shared,
            known,
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
            msg::Msg::HeadSeen(revision) => state.head_seen(&myself, revision),
            msg::Msg::Config(loaded) => state.set_config(&myself, loaded).await?,
            msg::Msg::Nudged(revision) => {
                state.config_actor.cast(config::Msg::Nudged(revision))?;
                if !state.platform_up {
                    state.ask_peers(&myself);
                }
            }
            msg::Msg::Table(table) => state.set_table(table)?,
            msg::Msg::Summary(hall, summary) => state.set_summary(hall, summary)?,
            msg::Msg::Digest(digest) => state.pass_digest(digest)?,
            msg::Msg::Gossip(gossip) => state.hear(&myself, gossip)?,
            msg::Msg::Handover(handover) => state.take_over(handover)?,
            msg::Msg::Leave => state.leave()?,
            msg::Msg::Left(port) => {
                let left = state.summaries.values().all(|summary| !summary.held);
                let _ = port.send(left);
            }
            msg::Msg::Status(port) => drop(port.send(state.status())),
            msg::Msg::Dump(port) => state.dump(port),
        }
        Ok(())
    }
}

impl State {
    /// Takes the platform's list unless it is older than the one known.
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

    /// Tells the gossip actor who the peers are.
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

    /// Notes whether the platform answers; a host without a configuration then asks its peers.
    fn head_seen(&mut self, myself: &ractor::ActorRef<msg::Msg>, revision: Option<u64>) {
        let up = revision.is_some();
        if up != self.platform_up {
            tracing::info!(up, "platform");
        }
        self.platform_up = up;
        if !up && self.revision() == 0 {
            self.ask_peers(myself);
        }
    }

    /// Asks every peer for what it knows.
    fn ask_peers(&self, myself: &ractor::ActorRef<msg::Msg>) {
        let timeout = self.shared.time("gossip_ms") * 2;
        let listed = self.members.hosts.values().map(|member| member.peer_addr);
        let seeds = self.shared.settings.seed_peers.iter().copied();
        let own = self.shared.settings.peer_addr;
        let addrs: collections::BTreeSet<net::SocketAddr> =
            listed.chain(seeds).filter(|addr| *addr != own).collect();
        for addr in addrs {
            let myself = myself.clone();
            tokio::spawn(async move {
                // A connection of its own: one that was open before may be silent.
                if let Ok(link) = peer::Link::connect(addr, timeout).await
                    && let Ok(handover) = link.handover(timeout).await
                {
                    let _ = myself.cast(msg::Msg::Handover(handover));
                }
            });
        }
    }

    /// Takes what a peer handed over.
    fn take_over(&mut self, handover: peer::Handover) -> Result<(), ractor::ActorProcessingErr> {
        if let Some(stored) = handover.config {
            self.config_actor.cast(config::Msg::Offered(Box::new(stored)))?;
        }
        handover.tables.into_iter().try_for_each(|table| self.set_table(table))
    }

    /// Takes a configuration: starts the actors of new halls and tells all.
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

    /// Takes a table unless it is older than the one known.
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

    /// Takes the summary of a hall.
    fn set_summary(
        &mut self,
        hall: id::HallId,
        summary: msg::HallSummary,
    ) -> Result<(), ractor::ActorProcessingErr> {
        let before = self.summaries.get(&hall);
        let same = before.is_some_and(|old| (old.held, old.epoch) == (summary.held, summary.epoch));
        if !same || before.is_some_and(|old| old.holder != summary.holder) {
            self.gossip.cast(gossip::Msg::Holder(hall.clone(), summary.holder.clone()))?;
        }
        if summary.held && !same {
            // A table made before the summary came is told now.
            let table = self.lock().tables.get(&hall).cloned();
            if let Some(table) = table.filter(|table| table.epoch == summary.epoch) {
                self.gossip.cast(gossip::Msg::Table(table))?;
            }
        }
        self.summaries.insert(hall, summary);
        Ok(())
    }

    /// Passes a digest on to the actor of its hall.
    fn pass_digest(&self, digest: digest::Digest) -> Result<(), ractor::ActorProcessingErr> {
        if let Some(actor) = self.halls.get(&digest.hall) {
            actor.cast(hall_actor::Msg::Digest(digest))?;
        }
        Ok(())
    }

    /// Takes a peer's news.
    fn hear(
        &mut self,
        myself: &ractor::ActorRef<msg::Msg>,
        gossip: peer::Gossip,
    ) -> Result<(), ractor::ActorProcessingErr> {
        if gossip.revision > self.revision() {
            myself.cast(msg::Msg::Nudged(gossip.revision))?;
        }
        for table in gossip.tables {
            self.set_table(table)?;
        }
        gossip.digests.into_iter().try_for_each(|digest| self.pass_digest(digest))
    }

    /// Gives up every hall.
    fn leave(&mut self) -> Result<(), ractor::ActorProcessingErr> {
        self.stopping = true;
        for actor in self.halls.values() {
            actor.cast(hall_actor::Msg::Event(Box::new(hall::Event::Leave)))?;
        }
        Ok(())
    }

    /// Puts together what traffic reads, and swaps it in whole.
    fn publish(&self) {
        let known = self.lock();
        let Some(loaded) = &known.config else {
            return;
        };
        let desired = &loaded.current.desired;
        let leaving = |worker: &id::WorkerId| {
            let member = self.members.workers.get(worker);
            member.is_some_and(|member| member.presence == members::Presence::Leaving)
        };
        let mut endpoints: collections::BTreeMap<id::ServiceId, Vec<_>> =
            collections::BTreeMap::new();
        for table in known.tables.values() {
            for endpoint in &table.endpoints {
                let mut endpoint = endpoint.clone();
                // The list says so even while the hall has no holder.
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

    /// Returns the number of entry hosts that take requests.
    fn live_hosts(&self) -> usize {
        let live = |host: &&members::Host| host.presence == members::Presence::Live;
        self.members.hosts.values().filter(live).count().max(1)
    }

    /// Returns the revision in force here.
    fn revision(&self) -> u64 {
        self.lock().config.as_ref().map_or(0, |loaded| loaded.current.revision)
    }

    /// Returns the summary for operators.
    fn status(&self) -> operator::Status {
        let known = self.lock();
        let mut status = operator::Status {
            host: self.shared.host().to_string(),
            revision: known.config.as_ref().map_or(0, |loaded| loaded.current.revision),
            platform_up: self.platform_up,
            stopping: self.stopping,
            ..operator::Status::default()
        };
        let services = known.config.iter().flat_map(|loaded| &loaded.current.desired.services);
        for (name, service) in services {
            let wanted = service.count;
            let summary = operator::ServiceStatus { wanted, ..operator::ServiceStatus::default() };
            status.services.insert(name.to_string(), summary);
        }
        for endpoint in known.tables.values().flat_map(|table| &table.endpoints) {
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

    /// Gathers the whole state beside the actor.
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

    /// Locks what peers may read.
    fn lock(&self) -> sync::MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Reads the platform's list beside the actor.
fn read_members(myself: &ractor::ActorRef<msg::Msg>, shared: Shared, known: u64) {
    let myself = myself.clone();
    tokio::spawn(async move {
        let members = shared.platform.members(known).await;
        shared.count_call("members", &members);
        let _ = myself.cast(msg::Msg::Members(members.ok().flatten()));
    });
}
