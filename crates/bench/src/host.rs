//! The traffic of a host, and what it reads.

use std::collections;
use std::sync;

use wharflane::{clock, desired, endpoints, id};
use wharflane_daemon::{metrics, settings, traffic};

use crate::hall;

/// Makes the traffic of a host with default settings.
///
/// # Panics
/// Panics on settings with faults, which would be a fault of the bench.
#[must_use]
pub fn traffic() -> traffic::Traffic {
    let text = "host = \"h\"\nhall = \"a\"\n[listen]\ncaller = \"127.0.0.1:0\"\n\
                operator = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\n\
                [platform]\naddr = \"127.0.0.1:1\"\n";
    let settings = settings::parse(text).expect("the bench's own settings");
    let clock: sync::Arc<dyn clock::Clock> = sync::Arc::new(clock::SystemClock::new());
    let metrics = metrics::Metrics::new().expect("metrics");
    traffic::Traffic::new(&settings, clock, metrics, 1)
}

/// Returns what traffic reads, with endpoints of any services and so many hosts.
///
/// # Panics
/// Panics on a text with faults, which would be a fault of the bench.
#[must_use]
pub fn snapshot(all: &[endpoints::Endpoint], hosts: usize) -> traffic::Snapshot {
    let mut endpoints: collections::BTreeMap<id::ServiceId, Vec<_>> = collections::BTreeMap::new();
    let mut services = collections::BTreeMap::new();
    let desired = desired::parse(&hall::filled(1, 0)).expect("the bench's own text");
    let service = desired.services.values().next().expect("its one service");
    for endpoint in all {
        services.insert(endpoint.service.clone(), service.clone());
        let entry = (id::HallId::from("hall"), endpoint.clone());
        endpoints.entry(endpoint.service.clone()).or_default().push(entry);
    }
    let classes = collections::BTreeMap::new();
    traffic::Snapshot { revision: 1, services, classes, endpoints, hosts }
}
