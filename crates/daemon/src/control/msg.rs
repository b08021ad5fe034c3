//! Messages to the root actor.

use std::collections;
use std::sync;

use wharflane::{desired, digest, endpoints, hall, id, members};
use wharflane_operator as operator;
use wharflane_peer as peer;

/// Summary of one hall as this host knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HallSummary {
    /// Host that holds the hall; `None` if no holder is known.
    pub holder: Option<id::HostId>,
    /// Epoch of the hall's lease.
    pub epoch: u64,
    /// Whether this host holds the hall.
    pub held: bool,
    /// Whether this host has nothing of the hall left to release.
    pub released: bool,
    /// Number of tasks by state; empty unless this host holds the hall.
    pub tasks: collections::BTreeMap<&'static str, usize>,
}

/// Messages to the root actor.
#[derive(Debug)]
pub enum Msg {
    /// Poll timer: read the platform's member list.
    Poll,
    /// The member list was read; `None` if it is unchanged or the read failed.
    Members(Option<members::Members>),
    /// The head row of the configuration was read with this revision; `None` if the read failed.
    HeadRead(Option<u64>),
    /// A configuration came into force.
    Config(Loaded),
    /// A peer reported a newer revision.
    RevisionAnnounced(u64),
    /// Endpoint table of a hall, from its holder on this or another host.
    Table(endpoints::Table),
    /// The summary of a hall changed.
    Summary(id::HallId, HallSummary),
    /// A host's statistics about the endpoints of a hall held by this host.
    Digest(digest::Digest),
    /// A gossip message from a peer.
    Gossip(peer::Gossip),
    /// A peer's configuration and tables, as answer to a handover call.
    Handover(peer::Handover),
    /// This host is about to stop.
    Leave,
    /// Request for whether every hall is released.
    IsReleased(ractor::RpcReplyPort<bool>),
    /// Request for the status shown to operators.
    Status(ractor::RpcReplyPort<operator::Status>),
    /// Request for a dump of the whole state.
    Dump(ractor::RpcReplyPort<serde_json::Value>),
}

/// A configuration in its stored and its parsed form.
#[derive(Clone, Debug)]
pub struct Loaded {
    /// Form that is stored and handed to peers.
    pub stored: sync::Arc<desired::Stored>,
    /// Parsed form that the engines act on.
    pub current: sync::Arc<hall::Current>,
}
