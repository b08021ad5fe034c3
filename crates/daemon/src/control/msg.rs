//! What the root actor is told by the other actors of a host.

use std::collections;
use std::sync;

use wharflane::{desired, digest, endpoints, hall, id, members};
use wharflane_operator as operator;
use wharflane_peer as peer;

/// What is known of a hall at a glance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HallSummary {
    /// The host that holds it.
    pub holder: Option<id::HostId>,
    /// The epoch of its lease.
    pub epoch: u64,
    /// Whether it is held here.
    pub held: bool,
    /// Whether nothing of it is left to give up here.
    pub left: bool,
    /// The tasks by state, if it is held here.
    pub tasks: collections::BTreeMap<&'static str, usize>,
}

/// What the root is told.
#[derive(Debug)]
pub enum Msg {
    /// It is time to read the platform's list.
    Poll,
    /// The platform's list was read and is new, or nothing is known.
    Members(Option<members::Members>),
    /// The configuration's head row was read, or could not be.
    HeadSeen(Option<u64>),
    /// A configuration came into force.
    Config(Loaded),
    /// A peer has a newer revision.
    Nudged(u64),
    /// The endpoints of a hall, from its holder here or elsewhere.
    Table(endpoints::Table),
    /// A hall changed.
    Summary(id::HallId, HallSummary),
    /// What a host saw of a hall held here.
    Digest(digest::Digest),
    /// A peer told news.
    Gossip(peer::Gossip),
    /// A peer handed over what it knows.
    Handover(peer::Handover),
    /// This host is about to stop.
    Leave,
    /// Whether every hall has been given up is asked for.
    Left(ractor::RpcReplyPort<bool>),
    /// The summary is asked for.
    Status(ractor::RpcReplyPort<operator::Status>),
    /// The whole state is asked for.
    Dump(ractor::RpcReplyPort<serde_json::Value>),
}

/// A configuration as it is stored and as it is acted on.
#[derive(Clone, Debug)]
pub struct Loaded {
    /// As it is stored.
    pub stored: sync::Arc<desired::Stored>,
    /// As it is acted on.
    pub current: sync::Arc<hall::Current>,
}
