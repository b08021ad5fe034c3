//! The holder's view of one worker incarnation: leases, reserved capacity, and the reasons for
//! which it gets no new tasks.

use std::collections;
use std::time;

use crate::job::learn::interference;
use crate::job::lease::inherited;
use crate::job::runs::order;
use crate::job::spec;
use crate::job::workers::stalled;
use crate::size;

/// How much slower than real time a worker's clock may run, in thousandths; the platform guarantees
/// 2 %.
const SLOW_CLOCK_MILLI: u32 = 20;
/// The number of consecutive failed runs after which a worker is quarantined.
const FAILURES_BEFORE_QUARANTINE: u32 = 2;
/// A tail latency above this percentage of its target counts as a miss; the figures are rough.
const MISSED_PERCENT: u64 = 100;
/// How long a target must be met without a break until a period of misses is over.
const RECOVERED_AFTER: time::Duration = time::Duration::from_millis(700);
/// The duration of a quarantine; such disturbances last about 4 to 8 s.
const QUARANTINE_TIME: time::Duration = time::Duration::from_secs(4);

/// The minimum time between two heartbeats to a worker that runs something.
pub(in crate::job) const HEARTBEAT_GAP: time::Duration = time::Duration::from_millis(50);

/// A serving task, with the latency target that its neighbours on the worker must not violate.
#[derive(Clone, Copy, Debug)]
pub(in crate::job) struct Serving {
    /// The image that it runs.
    pub image: interference::Image,
    /// The target for its tail latency, in milliseconds.
    pub target_ms: u64,
    /// The CPU that it reserves, in thousandths of a core.
    pub cpu_milli: u64,
}

/// A best-effort task on a worker, with its throttling.
#[derive(Clone, Copy, Debug)]
pub(in crate::job) struct Filling {
    /// The image that it runs.
    pub image: interference::Image,
    /// The CPU that it requests, in thousandths of a core.
    pub cpu_milli: u64,
    /// The share of full speed at which it runs, in percent.
    pub percent: u8,
    /// Whether it was ever throttled.
    pub was_throttled: bool,
    /// Whether it was started throttled to prevent starvation and has not reached full speed since.
    pub started_throttled: bool,
    /// Whether the share must be sent to the worker once the run is confirmed there.
    pub share_unsent: bool,
    /// Since when it is throttled so far that moving it would be better.
    pub low_since: Option<time::Duration>,
}

/// The strain of a serving task as last reported.
#[derive(Clone, Copy, Debug)]
pub(in crate::job) struct Strain {
    /// When it was reported.
    pub at: time::Duration,
    /// The interference that its tail latency shows, as the interference model defines strain.
    pub strain: f64,
    /// The period of misses, if the target is being missed.
    pub missed: Option<Missed>,
}

/// A period of missed targets, including recoveries too short to end it.
#[derive(Clone, Copy, Debug)]
pub(in crate::job) struct Missed {
    /// When it began.
    pub since: time::Duration,
    /// When the latest miss was reported.
    pub last: time::Duration,
}

impl Missed {
    /// Extends or ends a period of misses with one more tail latency.
    pub fn next(
        before: Option<Self>,
        tail_ms: u64,
        target_ms: u64,
        now: time::Duration,
    ) -> Option<Self> {
        if tail_ms * 100 > target_ms * MISSED_PERCENT {
            let since = before.map_or(now, |missed| missed.since);
            return Some(Self { since, last: now });
        }
        before.filter(|missed| now.saturating_sub(missed.last) < RECOVERED_AFTER)
    }
}

/// What a worker can offer to one more best-effort task, by the load of its serving tasks.
#[derive(Clone, Debug)]
pub(in crate::job) struct Headroom {
    /// When it was computed.
    pub at: time::Duration,
    /// Whether one of the serving tasks misses its target.
    pub missed: bool,
    /// The remaining tolerance of each serving task, with its image.
    pub left: Vec<(interference::Image, f64)>,
    /// The reserved CPU that its long-running tasks are expected to leave idle, in thousandths of a
    /// core.
    pub idle_milli: u64,
}

/// The holder's view of a worker incarnation.
#[derive(Debug)]
pub(in crate::job) struct View {
    /// The list entry of the worker as last read.
    pub member: order::Member,
    /// When this holder first learned of it.
    pub known_since: time::Duration,
    /// Whether the store lists it.
    pub listed: bool,
    /// Since when the store doesn't list it; absent while it does.
    pub unlisted_since: Option<time::Duration>,
    /// Whether its hall is closed.
    pub closed: bool,
    /// Whether it has answered a heartbeat of this epoch, so that it rejects orders of earlier
    /// holders.
    pub fenced: bool,
    /// The worker's clock in its last answer, and when that answer arrived.
    pub last_answer: Option<(u64, time::Duration)>,
    /// When this holder last granted a lease.
    pub granted_at: Option<time::Duration>,
    /// Until when tasks may run there by this holder's grants, by the worker's clock, in
    /// milliseconds.
    pub granted_until_ms: u64,
    /// Leases and orders from before this holder knew the worker.
    pub inherited: inherited::Leases,
    /// The handled ends whose result is not committed yet.
    pub unrecorded: collections::BTreeSet<u64>,
    /// The number of the last end that was handled.
    pub last_end_handled: u64,
    /// The number of the last end in its latest answer; zero if that listed none.
    pub last_end_listed: u64,
    /// When the heartbeat in flight was sent.
    pub heartbeat_sent: Option<time::Duration>,
    /// When the next heartbeat is due.
    pub heartbeat_due: time::Duration,
    /// Whether this host was too slow to send the last heartbeat, so that the next one is urgent.
    pub heartbeat_delayed: bool,
    /// The number of consecutive heartbeats without an answer.
    pub missed_heartbeats: u32,
    /// When the first of these was found to have no answer.
    pub silent_since: Option<time::Duration>,
    /// When a heartbeat was last found to have no answer.
    pub last_silent: Option<time::Duration>,
    /// The capacity reserved for tasks.
    pub used: size::Size,
    /// The capacity of runs that this holder didn't place, by the last answer; they are being
    /// stopped.
    pub unknown_capacity: size::Size,
    /// The tasks of these runs.
    pub unknown_runs: collections::BTreeSet<spec::TaskId>,
    /// The CPU requested by best-effort tasks, in thousandths of a core.
    pub filling_milli: u64,
    /// The part of the reserved capacity that long-running tasks take.
    pub lasting: size::Size,
    /// The batch tasks of the first priority there.
    pub urgent: collections::BTreeSet<spec::TaskId>,
    /// The tasks that may run there.
    pub tasks: collections::BTreeSet<spec::TaskId>,
    /// Until when it gets no new tasks after it refused a start.
    pub backoff_until: time::Duration,
    /// The end of its quarantine after runs failed there; only starving tasks are placed on it
    /// meanwhile.
    pub quarantined_until: time::Duration,
    /// Whether it stands still, as its runs show it.
    pub stall: stalled::StallDetector,
    /// The number of consecutive failed runs.
    pub failures: u32,
    /// The suspect that the worker is reserved for, because it may have crashed its last worker.
    pub reserved_for: Option<spec::TaskId>,
    /// The serving tasks there.
    pub serving: collections::BTreeMap<spec::TaskId, Serving>,
    /// The best-effort tasks there.
    pub filling: collections::BTreeMap<spec::TaskId, Filling>,
    /// When the share of a best-effort task last changed.
    pub share_changed: time::Duration,
    /// How much interference its serving tasks tolerate, as last computed.
    pub headroom: Option<Headroom>,
}

impl View {
    /// Creates the view of a worker before its first heartbeat.
    pub fn new(member: order::Member, inherited: inherited::Leases, now: time::Duration) -> Self {
        Self {
            member,
            known_since: now,
            listed: true,
            unlisted_since: None,
            closed: false,
            fenced: false,
            last_answer: None,
            granted_at: None,
            granted_until_ms: 0,
            inherited,
            unrecorded: collections::BTreeSet::new(),
            last_end_handled: 0,
            last_end_listed: 0,
            heartbeat_sent: None,
            heartbeat_due: time::Duration::ZERO,
            heartbeat_delayed: false,
            missed_heartbeats: 0,
            silent_since: None,
            last_silent: None,
            used: size::Size::default(),
            unknown_capacity: size::Size::default(),
            unknown_runs: collections::BTreeSet::new(),
            filling_milli: 0,
            lasting: size::Size::default(),
            urgent: collections::BTreeSet::new(),
            tasks: collections::BTreeSet::new(),
            backoff_until: time::Duration::ZERO,
            quarantined_until: time::Duration::ZERO,
            stall: stalled::StallDetector::default(),
            failures: 0,
            reserved_for: None,
            serving: collections::BTreeMap::new(),
            filling: collections::BTreeMap::new(),
            share_changed: time::Duration::ZERO,
            headroom: None,
        }
    }

    /// Returns the earliest time that the worker's clock can show now, once it has answered.
    pub fn clock_ms(&self, now: time::Duration) -> Option<u64> {
        let (clock_ms, at) = self.last_answer?;
        let passed = now.saturating_sub(at);
        Some(clock_ms + millis(passed.saturating_sub(slowness(passed))))
    }

    /// Returns the time since the worker last answered, or nothing if it never did.
    pub fn silence(&self, now: time::Duration) -> Option<time::Duration> {
        self.last_answer.map(|(_, answered)| now.saturating_sub(answered))
    }

    /// Grants a lease of a duration; returns its end by the worker's clock, or nothing if that
    /// clock is unknown.
    pub fn grant(&mut self, now: time::Duration, duration: time::Duration) -> Option<u64> {
        let lease_until_ms = self.clock_ms(now)? + millis(duration);
        self.granted_until_ms = self.granted_until_ms.max(lease_until_ms);
        self.granted_at = Some(now);
        Some(lease_until_ms)
    }

    /// Returns whether all granted leases have expired, so that nothing can run there any more.
    pub fn leases_expired(&self, now: time::Duration) -> bool {
        if !self.fenced && now < self.inherited.until {
            return false;
        }
        match self.clock_ms(now) {
            Some(clock_ms) => clock_ms > self.granted_until_ms,
            None => now >= self.inherited.until,
        }
    }

    /// Returns whether runs that this holder didn't place may still be at work there.
    pub fn may_have_unknown_runs(&self, now: time::Duration) -> bool {
        !self.unknown_runs.is_empty() && !self.leases_expired(now)
    }

    /// Returns whether it is quarantined because runs failed or stalled there.
    pub fn is_quarantined(&self, now: time::Duration) -> bool {
        now < self.quarantined_until || self.stall.is_stalled()
    }

    /// Returns whether a task would not be a probe on a worker that stood still and now gets only
    /// one of them: a single batch task.
    pub fn probes_without(&self, step: &spec::Step) -> bool {
        let probing = self.stall.state() == stalled::State::Probing;
        probing && (step.lasting || step.gang || !self.tasks.is_empty())
    }

    /// Returns whether the state of the worker itself permits new tasks.
    pub fn is_available(&self, now: time::Duration) -> bool {
        self.listed
            && self.fenced
            && !self.member.leaving
            && self.missed_heartbeats == 0
            && now >= self.backoff_until
    }

    /// Returns whether no start may be sent there, not even a retry, because the worker is leaving
    /// or its hall is closed.
    pub fn is_barred(&self) -> bool {
        self.member.leaving || self.closed
    }

    /// Returns whether no task of any kind may be placed there for now.
    pub fn is_closed_to_all(&self, now: time::Duration) -> bool {
        !self.is_available(now) || self.is_quarantined(now) || self.reserved_for.is_some()
    }

    /// Returns the last end that the worker may forget, all ends up to it being committed. Zero if
    /// the worker has already forgotten them, or may have restarted since its last answer: the next
    /// incarnation numbers its ends from one.
    pub fn acknowledged_end(&self) -> u64 {
        let committed = self.unrecorded.first().map_or(self.last_end_handled, |first| first - 1);
        if self.missed_heartbeats > 0 { 0 } else { committed.min(self.last_end_listed) }
    }

    /// Returns the capacity that neither reserved nor unknown runs take.
    pub fn free(&self) -> size::Size {
        self.member.capacity.minus(&self.used).minus(&self.unknown_capacity)
    }

    /// Returns the capacity that neither long-running tasks nor unknown runs take; batch tasks free
    /// theirs in time.
    pub fn free_in_time(&self) -> size::Size {
        self.member.capacity.minus(&self.lasting).minus(&self.unknown_capacity)
    }

    /// Returns whether everything reserved fits the capacity that the worker last reported.
    pub fn fits(&self) -> bool {
        self.used.plus(&self.unknown_capacity).fits(&self.member.capacity)
    }

    /// Returns an amount of CPU as a fraction of the worker's capacity.
    pub fn part(&self, cpu_milli: u64) -> f64 {
        cpu_milli as f64 / self.member.capacity.cpu_milli.max(1) as f64
    }

    /// Returns the CPU that is reserved or used by best-effort tasks.
    pub fn at_work_milli(&self) -> u64 {
        self.used.cpu_milli + self.filling_at_work_milli()
    }

    /// Returns the CPU used by best-effort tasks at their shares.
    pub fn filling_at_work_milli(&self) -> u64 {
        let shares = self.filling.values();
        shares.map(|filling| filling.cpu_milli * u64::from(filling.percent) / 100).sum()
    }

    /// Returns whether the worker has a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.member.labels.iter().any(|own| own == label)
    }

    /// Records how a run ended, and quarantines a worker after repeated failures.
    pub fn note_end(&mut self, kind: order::EndKind, now: time::Duration) {
        match kind {
            order::EndKind::Done => {
                self.failures = 0;
                self.stall.note_done(now);
            }
            order::EndKind::Failed => {
                self.failures += 1;
                if self.failures >= FAILURES_BEFORE_QUARANTINE {
                    self.quarantine(now);
                }
            }
            _ => {}
        }
    }

    /// Quarantines the worker.
    pub fn quarantine(&mut self, now: time::Duration) {
        self.quarantined_until = now + QUARANTINE_TIME;
    }

    /// Reserves capacity for a task.
    pub fn add(
        &mut self,
        task: spec::TaskId,
        step: &spec::Step,
        image: interference::Image,
        urgent: bool,
    ) {
        if self.tasks.insert(task) {
            if urgent && !step.lasting {
                self.urgent.insert(task);
            }
            self.headroom = None;
            if let Some(target_ms) = step.target_ms {
                let cpu_milli = step.reserved().cpu_milli;
                self.serving.insert(task, Serving { image, target_ms, cpu_milli });
            }
            if step.fills {
                let cpu_milli = step.size.cpu_milli;
                let filling = Filling {
                    image,
                    cpu_milli,
                    percent: 100,
                    was_throttled: false,
                    started_throttled: false,
                    share_unsent: false,
                    low_since: None,
                };
                self.filling.insert(task, filling);
            }
            self.used = self.used.plus(&step.reserved());
            self.filling_milli += filling(step);
            self.lasting = self.lasting.plus(&lasting(step));
        }
    }

    /// Releases the capacity of a task.
    pub fn remove(&mut self, task: spec::TaskId, step: &spec::Step) {
        if self.tasks.remove(&task) {
            self.reserved_for.take_if(|reserved| *reserved == task);
            self.headroom = None;
            self.urgent.remove(&task);
            self.serving.remove(&task);
            self.filling.remove(&task);
            self.used = self.used.minus(&step.reserved());
            self.filling_milli = self.filling_milli.saturating_sub(filling(step));
            self.lasting = self.lasting.minus(&lasting(step));
        }
    }
}

/// Returns the CPU that a task uses beyond what is reserved.
fn filling(step: &spec::Step) -> u64 {
    if step.fills { step.size.cpu_milli } else { 0 }
}

/// Returns the capacity reserved for a long-running task.
fn lasting(step: &spec::Step) -> size::Size {
    if step.lasting { step.reserved() } else { size::Size::default() }
}

/// Returns how much less than real time a worker's clock may show as passed.
pub(in crate::job) fn slowness(passed: time::Duration) -> time::Duration {
    passed * SLOW_CLOCK_MILLI / 1_000
}

/// Returns the longest time that a lease may last by the holder's clock: the worker's clock may be
/// 2 % slow, and as much again allows for rounding and round trips.
pub(in crate::job) fn longest_by_holder_clock(lease: time::Duration) -> time::Duration {
    lease + lease * (2 * SLOW_CLOCK_MILLI) / 1_000
}

/// Returns a duration in whole milliseconds.
pub(in crate::job) fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
