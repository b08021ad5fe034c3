//! What happens in a simulation beyond the faults that its seed draws. The default plan changes
//! nothing and makes no draws.

use std::ops;
use std::time;

/// What happens beyond the faults that the seed draws.
#[derive(Clone, Debug)]
pub struct Plan {
    /// When the simulation ends; every job must have ended by then.
    pub end: time::Duration,
    /// From when waits of batch tasks are judged, whether or not the last seconds are calm; absent
    /// if no waits and no targets are judged.
    pub judged_from: Option<time::Duration>,
    /// Whether the store states its time and holders answer claims to their lease, so that hosts
    /// read a renewed lease rarely. Otherwise they watch it by its standstill alone.
    pub lease_claims: bool,
    /// Whether a connection to a worker that has crashed is refused at once, instead of staying
    /// without an answer.
    pub dead_workers_refuse: bool,
    /// How much a serving task is disturbed if best-effort tasks use all CPU of its worker.
    pub interference: f64,
    /// The waves that crash workers; absent for none.
    pub waves: Option<Waves>,
    /// The time from the crash of a worker until another incarnation answers at its address, in
    /// milliseconds; absent for the usual one.
    pub away_ms: Option<ops::Range<u64>>,
}

/// Waves that each crash a share of the workers.
#[derive(Clone, Copy, Debug)]
pub struct Waves {
    /// The share of the workers that a wave crashes, in thousandths.
    pub share_milli: u64,
    /// The time of the first wave.
    pub first: time::Duration,
    /// The time from one wave to the next.
    pub every: time::Duration,
    /// The number of waves.
    pub count: u32,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            end: time::Duration::from_secs(75),
            judged_from: None,
            lease_claims: false,
            dead_workers_refuse: false,
            interference: 0.0,
            waves: None,
            away_ms: None,
        }
    }
}
