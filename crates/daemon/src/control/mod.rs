//! The control plane of a host: actors on one thread that exchange typed messages.

pub mod config;
pub mod gossip;
pub mod hall;
pub mod msg;
pub mod root;

use std::sync;
use std::time;

use wharflane::{clock, id};
use wharflane_platform as platform;
use wharflane_worker as worker;

use crate::metrics;
use crate::settings;
use crate::traffic;

/// State that all actors share.
#[derive(Clone, Debug)]
pub struct Shared {
    /// Settings of this host.
    pub settings: sync::Arc<settings::Settings>,
    /// Monotonic clock of the engines.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Client of the platform, which stores rows and objects.
    pub platform: platform::Platform,
    /// Client of the workers.
    pub workers: worker::Workers,
    /// Request path of this host, which receives snapshots of control state.
    pub traffic: sync::Arc<traffic::Traffic>,
    /// Metrics of this host.
    pub metrics: metrics::Metrics,
    /// Random number that identifies this process.
    pub nonce: u64,
}

impl Shared {
    /// Returns the name of this host.
    #[must_use]
    pub fn host(&self) -> &id::HostId {
        &self.settings.host
    }

    /// Returns a duration from the `control` table of the settings.
    #[must_use]
    pub fn time(&self, key: &'static str) -> time::Duration {
        self.settings.time("control", key)
    }

    /// Counts a call to the platform and records whether it was answered.
    pub fn count_call<T, E>(&self, call: &str, result: &Result<T, E>) {
        let label = if result.is_ok() { "ok" } else { "failed" };
        self.metrics.platform_calls.with_label_values(&[call, label]).inc();
        self.metrics.platform_up.set(i64::from(result.is_ok()));
    }
}
