//! The request path of one host and the routing snapshot that it reads, for cost measurements.

use std::collections;
use std::sync;

use wharflane::{clock, desired, endpoints, id};
use wharflane_daemon::{metrics, settings, traffic};

use crate::hall;

/// Creates the request path of a host with default settings.
///
/// # Panics
/// Panics if the built-in settings are invalid, which would be a bug in this crate.
#[must_use]
pub fn traffic() -> traffic::Traffic {
    let text = "host = \"h\"\nhall = \"a\"\n[listen]\ncaller = \"127.0.0.1:0\"\n\
                operator = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\n\
                [platform]\naddr = \"127.0.0.1:1\"\n";
    let settings = settings::parse(text).expect("built-in settings are valid");
    let clock: sync::Arc<dyn clock::Clock> = sync::Arc::new(clock::SystemClock::new());
    let metrics = metrics::Metrics::new().expect("metrics are registered");
    traffic::Traffic::new(&settings, clock, metrics, 1)
}

/// Returns a routing snapshot with the given endpoints, grouped by service, for a number of hosts.
///
/// # Panics
/// Panics if the built-in desired state is invalid, which would be a bug in this crate.
#[must_use]
pub fn snapshot(table: &[endpoints::Endpoint], hosts: usize) -> traffic::Snapshot {
    let mut endpoints: collections::BTreeMap<id::ServiceId, Vec<_>> = collections::BTreeMap::new();
    let mut services = collections::BTreeMap::new();
    let desired =
        desired::parse(&hall::full_config(1, 0)).expect("built-in desired state is valid");
    let service =
        desired.services.values().next().expect("the built-in desired state has a service");
    for endpoint in table {
        services.insert(endpoint.service.clone(), service.clone());
        let entry = (id::HallId::from("hall"), endpoint.clone());
        endpoints.entry(endpoint.service.clone()).or_default().push(entry);
    }
    let classes = collections::BTreeMap::new();
    traffic::Snapshot { revision: 1, services, classes, endpoints, hosts }
}
