//! The holder's view of one worker. It is not persisted: a new holder rebuilds it from reports.

use std::collections;
use std::net;
use std::sync;
use std::time;

use crate::id;
use crate::interference;
use crate::members;
use crate::size;
use crate::work;

/// Consecutive task failures after which a worker is quarantined and gets no new tasks.
const FAILURES_TO_QUARANTINE: u32 = 3;
/// The duration of the first quarantine.
const FIRST_QUARANTINE: time::Duration = time::Duration::from_secs(30);
/// The maximum number of times that the quarantine is doubled.
const MAX_DOUBLINGS: u32 = 6;

/// What is known about one boot of a worker; discarded when the worker loses its in-memory state.
#[derive(Clone, Debug, Default)]
pub(super) struct Incarnation {
    /// The boot id in the worker's last report; `None` before the first report.
    pub boot: Option<u64>,
    /// When the last report arrived.
    pub reported_at: Option<time::Duration>,
    /// The worker's clock in the last report.
    pub clock_ms: u64,
    /// The worker's total resources in the last report.
    pub capacity: Option<size::Size>,
    /// The tasks in the last report.
    pub tasks: collections::BTreeMap<id::TaskId, work::TaskReport>,
    /// The CPU share of each throttled task, in percent.
    pub throttles: collections::BTreeMap<id::TaskId, u8>,
    /// Consecutive failures of tasks started on the worker.
    pub failures_in_row: u32,
    /// When the quarantine ends, if there was one.
    pub quarantined_until: Option<time::Duration>,
    /// The state of the interference control loop.
    pub tracker: interference::Tracker,
    /// The service task that missed its latency target most in this interval, with the share of the
    /// miss.
    pub worst_miss: Option<(id::TaskId, f64)>,
}

/// The holder's view of one worker.
#[derive(Clone, Debug)]
pub(super) struct WorkerView {
    /// The address for commands; `None` if the platform does not list the worker.
    pub addr: Option<net::SocketAddr>,
    /// The rack that the worker is in.
    pub rack: sync::Arc<str>,
    /// Since when the worker is known to be about to leave.
    pub leaving_since: Option<time::Duration>,
    /// The boot id for messages; `None` before the first report and after a refusal.
    pub boot: Option<u64>,
    /// The sequence number of the last message.
    pub seq: u64,
    /// When the message in flight was sent, if there is one.
    pub in_flight_since: Option<time::Duration>,
    /// When the last message was sent.
    pub sent_at: Option<time::Duration>,
    /// When all task leases of the worker have expired, unless it reports again.
    pub leases_expire_at: time::Duration,
    /// What is known about the boot that reported last.
    pub incarnation: Incarnation,
    /// Whether a message is due without waiting for the sync interval.
    pub update_pending: bool,
}

impl WorkerView {
    /// Creates the view of a worker that has not reported; its leases may last until
    /// `leases_expire_at`.
    pub fn new(leases_expire_at: time::Duration) -> Self {
        Self {
            addr: None,
            rack: "".into(),
            leaving_since: None,
            boot: None,
            seq: 0,
            in_flight_since: None,
            sent_at: None,
            leases_expire_at,
            incarnation: Incarnation::default(),
            update_pending: false,
        }
    }

    /// Applies the worker's entry in the platform's list, or its absence.
    pub fn set_member(&mut self, member: Option<&members::Worker>, now: time::Duration) {
        self.addr = member.map(|member| member.addr);
        let Some(member) = member else {
            return;
        };
        self.rack = member.rack.as_str().into();
        match member.presence {
            members::Presence::Live => self.leaving_since = None,
            members::Presence::Leaving => {
                self.leaving_since.get_or_insert(now);
            }
        }
    }

    /// Returns whether the worker may get new tasks: it is listed, not quarantined, not about to
    /// leave, and its last report is not older than `max_report_age`.
    pub fn accepts_tasks(&self, now: time::Duration, max_report_age: time::Duration) -> bool {
        let quarantined = self.incarnation.quarantined_until.is_some_and(|until| now < until);
        let reported_recently =
            self.incarnation.reported_at.is_some_and(|at| now.saturating_sub(at) <= max_report_age);
        self.addr.is_some() && reported_recently && !quarantined && self.leaving_since.is_none()
    }
}

impl Incarnation {
    /// Records that a task started on the worker has failed.
    pub fn record_failure(&mut self, now: time::Duration) {
        self.failures_in_row += 1;
        if self.failures_in_row >= FAILURES_TO_QUARANTINE {
            let doublings = (self.failures_in_row - FAILURES_TO_QUARANTINE).min(MAX_DOUBLINGS);
            self.quarantined_until = Some(now + FIRST_QUARANTINE * 2_u32.pow(doublings));
        }
    }
}
