//! The control of a host: actors on one thread, with typed messages.

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

/// What all actors share.
#[derive(Clone, Debug)]
pub struct Shared {
    /// The settings.
    pub settings: sync::Arc<settings::Settings>,
    /// The clock.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// The platform.
    pub platform: platform::Platform,
    /// The workers.
    pub workers: worker::Workers,
    /// The traffic of this host.
    pub traffic: sync::Arc<traffic::Traffic>,
    /// The metrics.
    pub metrics: metrics::Metrics,
    /// The mark of this process.
    pub nonce: u64,
}

impl Shared {
    /// Returns the name of this host.
    #[must_use]
    pub fn host(&self) -> &id::HostId {
        &self.settings.host
    }

    /// Returns a time from the control settings.
    #[must_use]
    pub fn time(&self, key: &'static str) -> time::Duration {
        self.settings.time("control", key)
    }

    /// Counts a call of the platform and notes whether it answered.
    pub fn count_call<T, E>(&self, call: &str, result: &Result<T, E>) {
        let label = if result.is_ok() { "ok" } else { "failed" };
        self.metrics.platform_calls.with_label_values(&[call, label]).inc();
        self.metrics.platform_up.set(i64::from(result.is_ok()));
    }
}
