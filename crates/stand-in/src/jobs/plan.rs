//! What happens in a simulation beyond the faults that its seed draws. The default plan changes
//! nothing and makes no draws.

use std::ops;
use std::time;

use super::worker;

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
    /// The number of weak hosts, the first ones; they request the longest leases that workers grant.
    pub weak_hosts: usize,
    /// The longest lease that workers grant.
    pub longest_lease: time::Duration,
    /// Series of changes of the holder; absent for none.
    pub handovers: Option<Handovers>,
    /// Changes of the configuration under the jobs of its queues; absent for none.
    pub configuration: Option<ConfigurationChanges>,
    /// The time from the crash of a worker until another incarnation answers at its address, in
    /// milliseconds; absent for the usual one.
    pub away_ms: Option<ops::Range<u64>>,
    /// Outages of the store in which entries of workers lapse; absent for none.
    pub outages: Option<Outages>,
    /// Times at which workers can't be reached; absent for none.
    pub cuts: Option<Cuts>,
    /// Whether the clock of each incarnation of a worker begins at zero at its birth. Otherwise those
    /// of all workers begin together.
    pub clocks_begin_at_birth: bool,
    /// Whether a start that gets no answer is also carried out by a worker that was cut off after the
    /// start was sent.
    pub late_starts_pass_cuts: bool,
    /// How long the batch tasks of random jobs work, in milliseconds; absent for the usual times.
    pub work_ms: Option<ops::Range<u64>>,
    /// Whether the losses of workers that are counted against tasks are judged.
    pub judges_losses: bool,
    /// Submissions whose write takes effect late; absent for none.
    pub doubtful: Option<DoubtfulSubmissions>,
}

/// Submissions whose write takes effect late; their callers repeat and cancel them meanwhile.
#[derive(Clone, Debug)]
pub struct DoubtfulSubmissions {
    /// The time of the first.
    pub first: time::Duration,
    /// The time from one to the next.
    pub every: time::Duration,
    /// Their number.
    pub count: u32,
    /// The time until the write takes effect, in milliseconds.
    pub late_ms: ops::Range<u64>,
    /// The time until the caller cancels the job, in milliseconds.
    pub cancelled_ms: ops::Range<u64>,
    /// The time until the caller submits the job again, in milliseconds.
    pub repeated_ms: ops::Range<u64>,
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

/// Outages of the store, in which no worker can renew its entry and the feeds are silent.
#[derive(Clone, Debug)]
pub struct Outages {
    /// The time of the first outage.
    pub first: time::Duration,
    /// The time from the begin of one outage to that of the next, in milliseconds.
    pub every_ms: ops::Range<u64>,
    /// The number of outages.
    pub count: u32,
    /// How long an outage lasts, in milliseconds.
    pub lasts_ms: ops::Range<u64>,
    /// The share of the entries that lapse in an outage, in thousandths.
    pub lapse_milli: u64,
    /// The time from the end of an outage until a worker whose entry has lapsed is listed again, in
    /// milliseconds.
    pub relisted_ms: ops::Range<u64>,
}

/// Times at which the hosts can't reach a share of the workers, which run on.
#[derive(Clone, Copy, Debug)]
pub struct Cuts {
    /// The share of the workers, in thousandths.
    pub share_milli: u64,
    /// The time of the first cut.
    pub first: time::Duration,
    /// The time from one cut to the next.
    pub every: time::Duration,
    /// The number of cuts.
    pub count: u32,
    /// How long a cut lasts.
    pub lasts: time::Duration,
}

/// Series of changes of the holder, each of which begins when a share of the workers can't be reached
/// any more and runs on.
#[derive(Clone, Debug)]
pub struct Handovers {
    /// The time of the first series.
    pub first: time::Duration,
    /// The time from one series to the next.
    pub every: time::Duration,
    /// The number of series.
    pub count: u32,
    /// The number of changes in a series.
    pub changes: u32,
    /// The time before each change, in milliseconds.
    pub gap_ms: ops::Range<u64>,
    /// How a holder may end.
    pub ends: &'static [HolderEnd],
    /// The share of the workers that can't be reached, in thousandths.
    pub cut_milli: u64,
    /// How long they can't be reached.
    pub cut: time::Duration,
}

/// Changes of the configuration, each of which draws anew which queues are there.
#[derive(Clone, Debug)]
pub struct ConfigurationChanges {
    /// The queues.
    pub queues: Vec<PlannedQueue>,
    /// The time of the first change.
    pub first: time::Duration,
    /// The time from one change to the next.
    pub every: time::Duration,
    /// The number of changes; one more has all queues again.
    pub count: u32,
    /// In how many changes of a thousand all hosts are started anew at once.
    pub cold_starts_milli: u32,
    /// How long a host that starts takes to read its first configuration, in milliseconds.
    pub first_read_ms: ops::Range<u64>,
}

/// A queue of a plan.
#[derive(Clone, Debug)]
pub struct PlannedQueue {
    /// Its name.
    pub name: &'static str,
    /// How many attempts it may give a task; the first revision gives the least.
    pub attempts: ops::Range<u32>,
    /// Whether its starts need tickets.
    pub advised: bool,
}

/// How a holder ends.
#[derive(Clone, Copy, Debug)]
pub enum HolderEnd {
    /// It releases the lease and ends.
    Stopped,
    /// It is killed, and its host is down for a while.
    Killed,
    /// It is killed, and its host starts again at once.
    Restarted,
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
            weak_hosts: 0,
            longest_lease: worker::MAX_LEASE,
            handovers: None,
            configuration: None,
            away_ms: None,
            outages: None,
            cuts: None,
            clocks_begin_at_birth: false,
            late_starts_pass_cuts: false,
            work_ms: None,
            judges_losses: false,
            doubtful: None,
        }
    }
}
