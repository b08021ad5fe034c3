//! What the callers of a host may hold at once, so that a crowd of them can't take the memory and the
//! descriptors that the host's own work needs.

use std::fs;

use nix::sys::resource;
use wharflane_http::{admission, server};

use crate::metrics;
use crate::settings;

/// Memory that is counted for an open connection, in bytes: the largest head in the read buffer, and as
/// much that has arrived and is not read.
const CONNECTION_BYTES: u64 = 64 << 10;
/// Part of the callers' memory that is for connections, as a divisor.
const CONNECTIONS_DIVISOR: u64 = 2;
/// Part of the callers' memory that is for heads and small bodies, as a divisor; the rest is for
/// large bodies.
const SMALL_DIVISOR: u64 = 8;
/// Part of the descriptors that callers may take, as a divisor. The others are for the store, workers,
/// peers and operators.
const DESCRIPTORS_DIVISOR: u64 = 2;
/// Memory of a host whose memory is not known, in bytes: that of the smallest machines in use.
const UNKNOWN_MEMORY_BYTES: u64 = 160 << 20;
/// Fewest connections of callers, however small the host is.
const MIN_CONNECTIONS: u64 = 16;

/// Limits of a host's callers.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Limits of each connection.
    pub bounds: server::Bounds,
    /// What all callers may hold together.
    pub sizes: admission::Sizes,
    /// Resources that the sizes follow from.
    resources: Resources,
}

/// Resources of a host, of which callers may take a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resources {
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Descriptors that the process may open.
    pub descriptors: u64,
}

impl CallerLimits {
    /// Returns the limits of this host's callers, whose requests have at most `largest_body_bytes`.
    #[must_use]
    pub fn new(settings: &settings::Settings, largest_body_bytes: usize) -> Self {
        let bounds = server::Bounds {
            connections: settings.count("traffic", "caller_connections"),
            head_bytes: settings.count("traffic", "head_limit_bytes"),
            head_timeout: settings.time("traffic", "head_timeout_ms"),
            stall: settings.time("traffic", "stall_timeout_ms"),
            ..server::Bounds::default()
        };
        let resources = Resources::of_this_process(&settings.limits);
        let percent = settings.number("traffic", "caller_memory_percent");
        let sizes = sizes(resources, percent, bounds, largest_body_bytes);
        Self { bounds, sizes, resources }
    }

    /// Logs the limits, and what they follow from.
    pub fn log(&self) {
        let (resources, sizes) = (self.resources, self.sizes);
        tracing::info!(?resources, ?sizes, "limits of callers");
    }

    /// Creates the budgets of the callers' port.
    #[must_use]
    pub fn admission(&self, metrics: &metrics::Metrics) -> admission::Admission {
        let met = metrics.caller_limits.clone();
        admission::Admission::new(self.sizes, move |limit| {
            met.with_label_values(&[limit.label()]).inc();
        })
    }
}

/// Divides the part of a host's resources that callers may take.
#[must_use]
pub fn sizes(
    resources: Resources,
    memory_percent: u64,
    bounds: server::Bounds,
    largest_body_bytes: usize,
) -> admission::Sizes {
    let size = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
    let callers_bytes = resources.memory_bytes / 100 * memory_percent;
    let connections_bytes = callers_bytes / CONNECTIONS_DIVISOR;
    let connections = (connections_bytes / CONNECTION_BYTES)
        .min(resources.descriptors / DESCRIPTORS_DIVISOR)
        .max(MIN_CONNECTIONS);
    let small_bytes = callers_bytes / SMALL_DIVISOR;
    let large_bytes = callers_bytes - connections_bytes - small_bytes;
    admission::Sizes {
        connections: size(connections).min(bounds.connections),
        small_bytes: size(small_bytes).max(bounds.head_bytes + admission::SMALL_BYTES),
        large_bytes: size(large_bytes).max(largest_body_bytes),
    }
}

impl Resources {
    /// Returns the least of what the settings state, what the operating system allows this process
    /// and what the machine has.
    fn of_this_process(limits: &settings::Limits) -> Self {
        let memory_bytes = [
            limits.memory_mb.map(|mb| mb << 20),
            soft_limit(resource::Resource::RLIMIT_DATA),
            soft_limit(resource::Resource::RLIMIT_AS),
            machine_memory_bytes(),
        ];
        let descriptors = [limits.max_fds, soft_limit(resource::Resource::RLIMIT_NOFILE)];
        let least = |values: &[Option<u64>]| {
            values.iter().copied().flatten().filter(|value| *value > 0).min()
        };
        Self {
            memory_bytes: least(&memory_bytes).unwrap_or(UNKNOWN_MEMORY_BYTES),
            descriptors: least(&descriptors).unwrap_or(u64::MAX),
        }
    }
}

/// Returns a limit of the operating system on this process; `None` if there is none.
fn soft_limit(resource: resource::Resource) -> Option<u64> {
    match resource::getrlimit(resource) {
        Ok((resource::RLIM_INFINITY, _)) => None,
        Ok((soft, _)) => Some(soft),
        Err(err) => {
            tracing::warn!(?resource, %err, "a limit of the process can't be read");
            None
        }
    }
}

/// Returns the memory of the machine; `None` if the system doesn't tell it.
fn machine_memory_bytes() -> Option<u64> {
    let text = match fs::read_to_string("/proc/meminfo") {
        Ok(text) => text,
        Err(err) => {
            tracing::warn!(%err, "the machine's memory can't be read");
            return None;
        }
    };
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kb: u64 = total.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kb << 10)
}
