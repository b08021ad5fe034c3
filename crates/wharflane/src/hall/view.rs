//! What the holder of a hall knows of one worker; nothing of it is kept.

use std::collections;
use std::net;
use std::sync;
use std::time;

use crate::id;
use crate::interference;
use crate::members;
use crate::size;
use crate::work;

/// Failures in a row after which a worker gets nothing new for a while.
const FAILURES_TO_QUARANTINE: u32 = 3;
/// How long a worker is set aside the first time.
const FIRST_QUARANTINE: time::Duration = time::Duration::from_secs(30);
/// The most times that a quarantine is doubled.
const MAX_DOUBLINGS: u32 = 6;

/// What is known of one incarnation of a worker, which ends when the worker loses its memory.
#[derive(Clone, Debug, Default)]
pub(super) struct Incarnation {
    /// Its boot, once it has reported.
    pub boot: Option<u64>,
    /// When the last report came.
    pub reported: Option<time::Duration>,
    /// The worker's clock in the last report.
    pub clock_ms: u64,
    /// What it has.
    pub capacity: Option<size::Size>,
    /// The tasks of its last report.
    pub tasks: collections::BTreeMap<id::TaskId, work::TaskReport>,
    /// The share of processors left to throttled tasks.
    pub throttles: collections::BTreeMap<id::TaskId, u8>,
    /// Failures in a row of tasks started there.
    pub failures_in_row: u32,
    /// Until when it gets nothing new.
    pub quarantined_until: Option<time::Duration>,
    /// How a disturbance there is followed.
    pub tracker: interference::Tracker,
    /// The service task that missed its target most in this interval, and by how much.
    pub missed: Option<(id::TaskId, f64)>,
}

/// One worker.
#[derive(Clone, Debug)]
pub(super) struct View {
    /// Where it takes commands, while the platform lists it.
    pub addr: Option<net::SocketAddr>,
    /// Its rack.
    pub rack: sync::Arc<str>,
    /// Since when its stop is planned.
    pub leaving_since: Option<time::Duration>,
    /// The boot that messages name; nothing until it is heard of, and after a message that another boot refused.
    pub boot: Option<u64>,
    /// The number of the last message.
    pub seq: u64,
    /// When the message under way was sent.
    pub in_flight: Option<time::Duration>,
    /// When the last message was sent.
    pub sent: Option<time::Duration>,
    /// When every lease of its tasks has lapsed, unless it reports again.
    pub lapse_at: time::Duration,
    /// What is known of the incarnation that reported last.
    pub incarnation: Incarnation,
    /// Whether there is something to tell at once.
    pub news: bool,
}

impl View {
    /// Makes a view of a worker not heard of, whose leases may last until a moment.
    pub fn new(lapse_at: time::Duration) -> Self {
        Self {
            addr: None,
            rack: "".into(),
            leaving_since: None,
            boot: None,
            seq: 0,
            in_flight: None,
            sent: None,
            lapse_at,
            incarnation: Incarnation::default(),
            news: false,
        }
    }

    /// Takes what the platform's list says.
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

    /// Returns whether it may get a new task.
    pub fn takes_new(&self, now: time::Duration, fresh: time::Duration) -> bool {
        let quarantined = self.incarnation.quarantined_until.is_some_and(|until| now < until);
        let heard = self.incarnation.reported.is_some_and(|at| now.saturating_sub(at) <= fresh);
        self.addr.is_some() && heard && !quarantined && self.leaving_since.is_none()
    }
}

impl Incarnation {
    /// Notes that a task started there has failed.
    pub fn note_failure(&mut self, now: time::Duration) {
        self.failures_in_row += 1;
        if self.failures_in_row >= FAILURES_TO_QUARANTINE {
            let doublings = (self.failures_in_row - FAILURES_TO_QUARANTINE).min(MAX_DOUBLINGS);
            self.quarantined_until = Some(now + FIRST_QUARANTINE * 2_u32.pow(doublings));
        }
    }
}
